"""The demand reports of a zone's nodes, as heartbeats carry them."""

from collections.abc import Collection, Iterable, Mapping

from result import Ok

from mulberrywharf import fleet
from mulberrywharf.nodes import link, messages
from mulberrywharf.policy import shares

DEMAND_LIMIT_BYTES = 128
"""Room for the demand report in a heartbeat; the busiest come first."""

_DEMAND_OVERHEAD_BYTES = 14
_ROUNDS_KEPT_COUNT = 3


class DemandBook:
    """Own and others' reports, and who has had the own one."""

    def __init__(self) -> None:
        self._own: shares.DemandReport | None = None
        self._reports: dict[str, dict[int, shares.DemandReport]] = {}
        self._told: dict[fleet.Address, int] = {}

    def publish(self, report: shares.DemandReport) -> None:
        """Sets the own report.

        Customers that find no room in a heartbeat are left out of the own
        report as well: counted here and nowhere else, they would give this
        node more than its part.
        """
        self._own = report._replace(demands=_busiest(report.demands))
        self._keep(self._own)

    def note(self, sender_vm_id: str, heartbeat: messages.Heartbeat) -> None:
        """Notes the report that a heartbeat carries, if it carries one."""
        if not heartbeat.round_number:
            return
        self._keep(
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
        """Returns each node's report of a round, or its last one."""
        found = {}
        for vm_id, reports in self._reports.items():
            wanted = max(reports) if round_number is None else round_number
            if wanted in reports:
                found[vm_id] = reports[wanted]
        return found

    def keep_only(
        self, vm_ids: Collection[str], addresses: Collection[fleet.Address]
    ) -> None:
        """Forgets nodes that left the VM list."""
        for vm_id in self._reports.keys() - set(vm_ids):
            del self._reports[vm_id]
        for address in self._told.keys() - set(addresses):
            del self._told[address]

    def tell(self, neighbour: link.Link, heartbeat: messages.Heartbeat) -> None:
        """Sends a heartbeat, with the own report if it is new there.

        The report is a third of a heartbeat and stays the same for a round,
        in which each neighbour is told more than once.
        """
        report = self._own
        told_round_number = self._told.get(neighbour.address)
        if report is None or told_round_number == report.round_number:
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
            self._told[neighbour.address] = report.round_number

    def _keep(self, report: shares.DemandReport) -> None:
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
