"""Reports failures of servers to the gateways that add them up."""

from collections.abc import Callable, Iterable
from typing import Protocol

import gevent

from mulberrywharf import clock, fleet, metrics
from mulberrywharf.peers import directory, ejection_codec, notice_codec, topics
from mulberrywharf.policy import outcome_counts, token_bucket

MATTER = "outcomes"
"""Kind of matter by which the gateways that add up outcomes are ranked."""

AGGREGATORS_COUNT = 2
"""Gateways that add up the outcomes of a server: one that decides, and one that
decides if the first one does not."""

BATCH_DELAY_S = 0.1
"""Delay before failures are reported together. All gateways must know of a
failing server within 0.5 s; the question to them and its replies take up to
0.1 s more, and a standby decides 0.15 s later."""

SENT_BYTES_PER_S = 500
SENT_BURST_BYTES = 4_000
"""Limit of the reports of one gateway, a quarter of its control traffic. If all
servers fail, reports wait; they carry the counts of a window, so nothing is
lost by that."""

_REPORT_BYTES = 60
"""Size of a report of one server to one gateway, with its headers."""

_reports_total = metrics.counter(
    "mulberry_outcome_reports_total",
    "Outcomes of servers reported to the gateways that add them up, by whether"
    " they were sent or waited for the byte limit.",
)


class Peers(Protocol):
    """The gateways, ranked for a matter."""

    def ranked_gateways(
        self, matter: str, key: int, availability_zone: str
    ) -> tuple[directory.RankedGateway, ...]:
        """Returns the gateways that handle a matter, by rank."""
        ...


class Carrier(Protocol):
    """Carries messages between gateways, see ``topics.TopicExchange``."""

    def register(self, topic: topics.Topic, handler: topics.Handler) -> None:
        """Sets the handler for the messages of a topic."""
        ...

    def send(
        self,
        topic: topics.Topic,
        body: bytes,
        addresses: Iterable[fleet.Address],
        *,
        is_urgent: bool,
    ) -> bool:
        """Sends a message to each address; returns whether it was sent."""
        ...


Receiver = Callable[
    [ejection_codec.OutcomeReport, fleet.Address | None], object
]
"""Receives a report of a gateway, None for this one."""


class OutcomeReports:
    """Counts outcomes at this gateway, and reports them when servers fail.

    Attributes:
        counts: The outcomes.
    """

    def __init__(
        self,
        peers: Peers,
        carrier: Carrier,
        receive: Receiver,
        system_clock: clock.Clock,
        call_later: Callable[..., object] = gevent.spawn_later,
    ):
        """Initializes it; nothing is reported.

        Args:
            peers: The gateways that reports are sent to.
            carrier: Carries the reports.
            receive: Receives the reports to this gateway itself.
            system_clock: Source of monotonic time.
            call_later: Calls a function with arguments after a delay in
                seconds.
        """
        self._peers = peers
        self._carrier = carrier
        self._receive = receive
        self._clock = system_clock
        self._call_later = call_later
        self.counts = outcome_counts.OutcomeCounts()
        self._groups: dict[
            tuple[str, str | None], tuple[fleet.ServerStart, ...]
        ] = {}
        self._pending: dict[fleet.ServerStart, fleet.Server] = {}
        self._is_send_scheduled = False
        self._budget = token_bucket.TokenBucket(
            SENT_BYTES_PER_S, SENT_BURST_BYTES, system_clock.monotonic_s()
        )

    def set_servers(self, known: Iterable[fleet.Server]) -> None:
        """Updates the servers; forgets those that ended."""
        groups: dict[tuple[str, str | None], list[fleet.ServerStart]] = {}
        for server in known:
            group = groups.setdefault((server.service, server.role), [])
            group.append(server.start)
        self._groups = {key: tuple(group) for key, group in groups.items()}
        starts = frozenset(
            start for group in groups.values() for start in group
        )
        self.counts.keep_only(starts)
        self._pending = {
            start: server
            for start, server in self._pending.items()
            if start in starts
        }

    def counted(self, server: fleet.Server) -> ejection_codec.ServerCounts:
        """Returns this gateway's recent counts for a server."""
        group = self._groups.get((server.service, server.role), ())
        return ejection_codec.ServerCounts(
            notice_codec.hash_server_start(server.start),
            self.counts.windows(server.start, group, self._clock.monotonic_s()),
        )

    def schedule(self, server: fleet.Server) -> None:
        """Reports the counts of a server with the next batch."""
        self._pending[server.start] = server
        self._schedule_send(BATCH_DELAY_S)

    def _schedule_send(self, delay_s: float) -> None:
        if not self._is_send_scheduled:
            self._is_send_scheduled = True
            self._call_later(delay_s, self._send)

    def _send(self) -> None:
        self._is_send_scheduled = False
        now_s = self._clock.monotonic_s()
        cost = float(len(self._pending) * AGGREGATORS_COUNT * _REPORT_BYTES)
        wait_s = self._budget.wait_s(cost, now_s)
        if wait_s > 0:
            _reports_total.inc({"result": "waited"})
            self._schedule_send(max(BATCH_DELAY_S, wait_s))
            return
        self._budget.take(cost)
        pending, self._pending = list(self._pending.values()), {}
        by_receiver: dict[
            fleet.Address | None, list[ejection_codec.ServerCounts]
        ] = {}
        for server in pending:
            counted = self.counted(server)
            for ranked in self._aggregators(server):
                by_receiver.setdefault(ranked.address, []).append(counted)
        for address, entries in by_receiver.items():
            self._send_to(address, entries)

    def _aggregators(
        self, server: fleet.Server
    ) -> tuple[directory.RankedGateway, ...]:
        key = notice_codec.hash_server_start(server.start)
        ranked = self._peers.ranked_gateways(
            MATTER, key, server.availability_zone
        )
        return ranked[:AGGREGATORS_COUNT]

    def _send_to(
        self,
        address: fleet.Address | None,
        entries: list[ejection_codec.ServerCounts],
    ) -> None:
        size = ejection_codec.ENTRIES_LIMIT_COUNT
        for at in range(0, len(entries), size):
            report = ejection_codec.OutcomeReport(
                False, tuple(entries[at : at + size])
            )
            _reports_total.inc({"result": "sent"})
            if address is None:
                self._receive(report, None)
            else:
                body = ejection_codec.encode_report(report)
                self._carrier.send(b"o", body, (address,), is_urgent=True)
