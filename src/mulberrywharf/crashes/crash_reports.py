"""Exchanges reports between gateways on servers that end during requests.

A request that crashes servers may be repeated at any gateway. Without reports,
each gateway would lose servers of its own before it blocks the request.

A datagram may be lost, and a gateway may be partitioned or start later. A
report on a request during which two servers ended is therefore repeated. If
other gateways already block the request, some of them reply to the report with
the server ends that they know.
"""

import random
from collections.abc import Callable, Iterable
from typing import Protocol

import gevent
from loguru import logger
from result import Err

from mulberrywharf import clock, fleet
from mulberrywharf.crashes import crash_codec
from mulberrywharf.peers import datagrams
from mulberrywharf.policy import crash_suspects

BATCH_DELAY_S = 0.002
"""Delay before pending reports are sent together. All requests at a server fail
at the same time when it ends."""

REPEAT_DELAYS_S = (0.3, 1.5)
"""Delays after the first report on a request at which it is repeated. Operators
require that all gateways block the request within 3 s."""

MEAN_REPLIES_COUNT = 3
"""Mean number of gateways that reply to a report on a request that they block.
Each one decides at random whether to reply."""


class Peers(Protocol):
    """The other gateways."""

    @property
    def gateways_count(self) -> int:
        """Number of gateways, including this one."""
        ...

    def all_addresses(self) -> tuple[fleet.Address, ...]:
        """Returns the datagram addresses of the other gateways."""
        ...


class CrashReports:
    """Sends reports to the other gateways and applies theirs."""

    def __init__(
        self,
        peers: Peers,
        socket: datagrams.PeerSocket,
        suspects: crash_suspects.CrashSuspects,
        system_clock: clock.Clock,
        call_later: Callable[..., object] = gevent.spawn_later,
    ):
        """Creates it and registers it with the socket.

        Args:
            peers: The other gateways.
            socket: Carries the reports; the caller starts it.
            suspects: Receives the server ends that other gateways report.
            system_clock: Measures ages.
            call_later: Calls a function with arguments after a delay in
                seconds.
        """
        self._call_later = call_later
        self._peers = peers
        self._socket = socket
        self._suspects = suspects
        self._clock = system_clock
        self._pending: dict[tuple[int, int], crash_codec.ReportedEnd] = {}
        self._cleared: set[int] = set()
        self._is_send_scheduled = False
        self._on_report: Callable[[int], None] = lambda _: None
        socket.set_handler(b"c", self._on_datagram)

    def on_report(self, callback: Callable[[int], None]) -> None:
        """Sets the callback for server ends that other gateways newly report.

        Args:
            callback: Called with the fingerprint of the request.
        """
        self._on_report = callback

    def tell(self, fingerprint: int) -> None:
        """Sends the known server ends during a request to all gateways.

        Args:
            fingerprint: Fingerprint of a request during which this gateway
                saw a server end.
        """
        self._enqueue(fingerprint)
        now_s = self._clock.monotonic_s()
        ends = self._suspects.ends(fingerprint, now_s)
        if len(ends) >= crash_suspects.BLOCK_ENDS_WITHOUT_OUTPUT_COUNT:
            for delay_s in REPEAT_DELAYS_S:
                self._call_later(delay_s, self._enqueue, fingerprint)

    def broadcast_cleared(self, fingerprint: int) -> None:
        """Informs all gateways that a request has completed."""
        self._cleared.add(fingerprint)
        self._schedule_send()

    def _enqueue(self, fingerprint: int) -> None:
        for end in self._known_ends(fingerprint):
            self._pending[end.fingerprint, end.server_key] = end
        self._schedule_send()

    def _known_ends(self, fingerprint: int) -> list[crash_codec.ReportedEnd]:
        now_s = self._clock.monotonic_s()
        return [
            crash_codec.ReportedEnd(
                fingerprint, end.server_key, end.made_output, now_s - end.at_s
            )
            for end in self._suspects.ends(fingerprint, now_s)
        ]

    def _schedule_send(self) -> None:
        if not self._is_send_scheduled:
            self._is_send_scheduled = True
            self._call_later(BATCH_DELAY_S, self._send)

    def _send(self) -> None:
        pending, self._pending = list(self._pending.values()), {}
        cleared, self._cleared = tuple(self._cleared), set()
        self._is_send_scheduled = False
        for batch in _split(pending) or [()]:
            report = crash_codec.CrashReport(batch, cleared)
            self._send_to(report, self._peers.all_addresses())
            cleared = ()

    def _send_to(
        self, report: crash_codec.CrashReport, peers: tuple[fleet.Address, ...]
    ) -> None:
        self._socket.send(b"c", crash_codec.encode(report), peers)

    def _on_datagram(self, body: bytes, source: fleet.Address) -> bool:
        decoded = crash_codec.decode(body)
        if isinstance(decoded, Err):
            logger.warning("datagram dropped: {}", decoded.err_value.message)
            return False
        report = decoded.ok_value
        now_s = self._clock.monotonic_s()
        for fingerprint in report.cleared:
            self._suspects.record_completed(fingerprint, now_s)
        if not report.is_reply:
            self._reply(report, source)
        for reported in report.ends:
            end = crash_suspects.ServerEnd(
                reported.server_key,
                reported.made_output,
                now_s - reported.age_s,
            )
            if self._suspects.record_server_end(reported.fingerprint, end):
                self._on_report(reported.fingerprint)
        return True

    def _reply(
        self, report: crash_codec.CrashReport, source: fleet.Address
    ) -> None:
        """Sends the known server ends during requests that are blocked here.

        Only reports with a server end that is new to this gateway get a
        reply.
        """
        now_s = self._clock.monotonic_s()
        found: list[crash_codec.ReportedEnd] = []
        for fingerprint in {end.fingerprint for end in report.ends}:
            is_new = any(
                end.fingerprint == fingerprint
                and not self._suspects.has_server_end(
                    fingerprint, end.server_key
                )
                for end in report.ends
            )
            if is_new and self._suspects.is_blocked(fingerprint, now_s):
                found += self._known_ends(fingerprint)
        if found and random.random() < MEAN_REPLIES_COUNT / max(
            1, self._peers.gateways_count - 1
        ):
            for batch in _split(found):
                reply = crash_codec.CrashReport(batch, is_reply=True)
                self._send_to(reply, (source,))


def _split(
    ends: Iterable[crash_codec.ReportedEnd],
) -> list[tuple[crash_codec.ReportedEnd, ...]]:
    """Splits server ends into batches that each fit into one datagram."""
    all_ends = tuple(ends)
    size = crash_codec.ENDS_LIMIT_COUNT
    return [all_ends[at : at + size] for at in range(0, len(all_ends), size)]
