"""The demand reports of a zone's routers, which heartbeats carry."""

from collections.abc import Collection, Iterable, Mapping

from result import Ok

from mulberrywharf import fleet
from mulberrywharf.nodes import link, messages
from mulberrywharf.policy import shares

DEMAND_LIMIT_BYTES = 128
"""Maximum size of the demands in a heartbeat.

The customers with the most requests are included first.
"""

_DEMAND_OVERHEAD_BYTES = 14
_ROUNDS_KEPT_COUNT = 3


class DemandReports:
    """Demand reports of all routers; sends each neighbour the own one once."""

    def __init__(self) -> None:
        self._own: shares.DemandReport | None = None
        self._reports: dict[str, dict[int, shares.DemandReport]] = {}
        self._sent_rounds: dict[fleet.Address, int] = {}

    def publish(self, report: shares.DemandReport) -> None:
        """Sets this router's report.

        Customers that do not fit into a heartbeat are left out of the report
        here too. If only this router counted their demand, it would get more
        than its share of their limits.
        """
        self._own = report._replace(demands=_busiest(report.demands))
        self._store(self._own)

    def note(self, sender_vm_id: str, heartbeat: messages.Heartbeat) -> None:
        """Stores the report that a heartbeat carries, if any."""
        if not heartbeat.round_number:
            return
        self._store(
            shares.DemandReport(
                sender_vm_id,
                heartbeat.round_number,
                heartbeat.live_digest,
                tuple(
                    shares.CustomerDemand(*demand)
                    for demand in heartbeat.demands
                ),
            )
        )

    def reports(
        self, round_number: int | None
    ) -> Mapping[str, shares.DemandReport]:
        """Returns each router's report of a round, or its last if None."""
        found = {}
        for vm_id, reports in self._reports.items():
            wanted = max(reports) if round_number is None else round_number
            if wanted in reports:
                found[vm_id] = reports[wanted]
        return found

    def keep_only(
        self, vm_ids: Collection[str], addresses: Collection[fleet.Address]
    ) -> None:
        """Removes the routers that are no longer in the VM list."""
        for vm_id in self._reports.keys() - set(vm_ids):
            del self._reports[vm_id]
        for address in self._sent_rounds.keys() - set(addresses):
            del self._sent_rounds[address]

    def send_heartbeat(
        self, neighbour: link.Link, heartbeat: messages.Heartbeat
    ) -> None:
        """Sends a heartbeat, with the report only once in each round.

        The report takes a third of a heartbeat and does not change during a
        round, in which each neighbour gets several heartbeats.
        """
        report = self._own
        sent_round_number = self._sent_rounds.get(neighbour.address)
        if report is None or sent_round_number == report.round_number:
            neighbour.send(heartbeat)
            return
        sent = neighbour.send(
            heartbeat._replace(
                round_number=report.round_number,
                live_digest=report.live_digest,
                demands=tuple(
                    messages.Demand(*demand) for demand in report.demands
                ),
            )
        )
        if isinstance(sent, Ok):
            self._sent_rounds[neighbour.address] = report.round_number

    def _store(self, report: shares.DemandReport) -> None:
        reports = self._reports.setdefault(report.node_id, {})
        reports[report.round_number] = report
        while len(reports) > _ROUNDS_KEPT_COUNT:
            del reports[min(reports)]


def _busiest(
    demands: Iterable[shares.CustomerDemand],
) -> tuple[shares.CustomerDemand, ...]:
    left_bytes = DEMAND_LIMIT_BYTES
    taken = []
    for demand in sorted(demands, key=lambda each: -each.requests_per_s):
        left_bytes -= len(demand.customer) + _DEMAND_OVERHEAD_BYTES
        if left_bytes < 0:
            break
        taken.append(demand)
    return tuple(taken)
