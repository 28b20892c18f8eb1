"""Shows the engines that are desired, ordered and present."""

from mulberrywharf import metrics
from mulberrywharf.duties import capacity_records

KIND_NAMES = {False: "regular", True: "reclaimable"}
"""Names of the kinds of engines, by whether they are reclaimable."""

_desired_gauge = metrics.gauge(
    "mulberry_capacity_desired_count",
    "Engines that the holder of the duty last ordered, or that are present if"
    " no order is in force, by service, zone and kind; 0 at other gateways.",
)
_ordered_gauge = metrics.gauge(
    "mulberry_capacity_ordered_count",
    "Engines ordered and not yet present, by service, zone and kind; 0 at"
    " gateways that don't hold the duty.",
)
_present_gauge = metrics.gauge(
    "mulberry_capacity_present_count",
    "Engines that serve, by service, zone and kind; 0 at gateways that don't"
    " hold the duty.",
)


class CapacityGauges:
    """The gauges of all subjects, set only when they change.

    Setting all of them in each round took half of its time.
    """

    def __init__(self) -> None:
        self._shown: dict[capacity_records.Subject, tuple[int, int]] = {}

    def show(
        self,
        subject: capacity_records.Subject,
        desired_count: int,
        present_count: int,
    ) -> None:
        """Shows the engines of a subject."""
        if self._shown.get(subject) == (desired_count, present_count):
            return
        self._shown[subject] = desired_count, present_count
        labels = {
            "service": subject.service,
            "zone": subject.availability_zone,
            "kind": KIND_NAMES[subject.is_reclaimable],
        }
        _desired_gauge.set(labels, desired_count)
        _ordered_gauge.set(labels, max(0, desired_count - present_count))
        _present_gauge.set(labels, present_count)

    def clear(self) -> None:
        """Shows no engines, because another gateway may hold the duty."""
        for subject in tuple(self._shown):
            self.show(subject, 0, 0)
        self._shown.clear()
