"""How many requests this router gets, by customer and by model."""

from typing import NamedTuple

from mulberrywharf.policy import shares

_CONSTANT_S = 10.0


class Rates(NamedTuple):
    """Requests each second at one router.

    Attributes:
        customers: By customer; one who is absent sends none.
        models: By model; one that is absent gets none.
    """

    customers: dict[str, float]
    models: dict[str, float]


class DemandRates:
    """Averages over the last seconds.

    Customers and models come from the configuration, so there are few; those
    that have faded are forgotten.
    """

    def __init__(self) -> None:
        self._customers: dict[str, shares.DemandMeter] = {}
        self._models: dict[str, shares.DemandMeter] = {}

    def count(self, customer: str, model: str, now_s: float) -> None:
        """Counts one request, refused or not.

        Args:
            customer: Who sent it.
            model: What it asked, or empty for a plain service.
            now_s: Monotonic time.
        """
        _meter(self._customers, customer, now_s)
        if model:
            _meter(self._models, model, now_s)

    def read(self, now_s: float) -> Rates:
        """Returns the present averages."""
        return Rates(_read(self._customers, now_s), _read(self._models, now_s))


def _meter(
    meters: dict[str, shares.DemandMeter], name: str, now_s: float
) -> None:
    meter = meters.setdefault(name, shares.DemandMeter(now_s))
    meter.add(0.0, now_s, _CONSTANT_S)


def _read(
    meters: dict[str, shares.DemandMeter], now_s: float
) -> dict[str, float]:
    rates = {}
    for name, meter in list(meters.items()):
        rate = meter.read(name, now_s, _CONSTANT_S).requests_per_s
        if rate > 0:
            rates[name] = rate
        else:
            del meters[name]
    return rates
