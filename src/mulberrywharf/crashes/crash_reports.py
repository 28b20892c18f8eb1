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
from mulberrywharf.policy import crash_blocks, crash_suspects

BATCH_DELAY_S = 0.002
"""Delay before pending reports are sent together. All requests at a server fail
at the same time when it ends."""

REPEAT_DELAYS_S = (0.3, 1.5)
"""Delays after the first report on a request at which it is repeated. Operators
require that all gateways block the request within 3 s."""

MEAN_REPLIES_COUNT = 3
"""Mean number of gateways that reply to a report on a request that they block.
Each one decides at random whether to reply."""

CLEAR_SPREAD_S = 0.0003
"""Time for each gateway of the fleet within which those that know a reported
part to be harmless tell the others so."""

_CLEARED_REMEMBERED_S = 1.0
_CLEARED_REMEMBERED_COUNT = 1_024


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
        self._completed: set[int] = set()
        self._cleared_parts: dict[tuple[int, int], crash_suspects.Answered] = {}
        self._trials: set[int] = set()
        self._cleared_s: dict[tuple[int, int], float] = {}
        self._is_send_scheduled = False
        self._on_change: Callable[[], object] = lambda: None
        socket.set_handler(b"c", self._on_datagram)

    def on_change(self, callback: Callable[[], object]) -> None:
        """Sets the callback for news of other gateways on suspects."""
        self._on_change = callback

    def tell(self, fingerprint: int) -> None:
        """Sends the known server ends during a request to all gateways.

        Args:
            fingerprint: Fingerprint of a request during which this gateway
                saw a server end.
        """
        self._enqueue(fingerprint)
        if self._suspects.is_repeated(fingerprint):
            for delay_s in REPEAT_DELAYS_S:
                self._call_later(delay_s, self._enqueue, fingerprint)

    def broadcast_completed(self, fingerprint: int) -> None:
        """Informs all gateways that a request has completed."""
        self._completed.add(fingerprint)
        self._schedule_send()

    def broadcast_parts_cleared(
        self, parts: Iterable[int], answered: crash_suspects.Answered
    ) -> None:
        """Informs all gateways of an answer to a request with some parts."""
        for part in parts:
            self._cleared_parts[part, answered.customer] = answered
            self._cleared_s[part, answered.customer] = answered.at_s
        self._schedule_send()

    def broadcast_trial(self, key: int) -> None:
        """Informs all gateways that this one sends a request as a trial.

        Args:
            key: Key of a block, or of a suspected part.
        """
        self._trials.add(key)
        self._schedule_send()

    def _enqueue(self, fingerprint: int) -> None:
        for end in self._known_ends(fingerprint):
            self._pending[end.fingerprint, end.server_key] = end
        self._schedule_send()

    def _known_ends(self, fingerprint: int) -> list[crash_codec.ReportedEnd]:
        now_s = self._clock.monotonic_s()
        return [
            crash_codec.ReportedEnd(
                fingerprint,
                run.server_key,
                run.made_output,
                now_s - run.at_s,
                run.customer,
                run.parts,
            )
            for run in self._suspects.runs(fingerprint, now_s)
        ]

    def _schedule_send(self) -> None:
        if not self._is_send_scheduled:
            self._is_send_scheduled = True
            self._call_later(BATCH_DELAY_S, self._send)

    def _send(self) -> None:
        now_s = self._clock.monotonic_s()
        self._is_send_scheduled = False
        limit_count = crash_codec.CLEARED_LIMIT_COUNT
        cleared_parts = [
            crash_codec.ClearedPart(part, customer, now_s - answered.at_s)
            for (part, customer), answered in self._cleared_parts.items()
        ]
        report = crash_codec.CrashReport(
            tuple(self._pending.values()),
            tuple(self._completed)[:limit_count],
            cleared_parts=tuple(cleared_parts[:limit_count]),
            trials=tuple(self._trials),
        )
        self._pending = {}
        self._completed.difference_update(report.cleared)
        for one in report.cleared_parts:
            del self._cleared_parts[one.part, one.customer]
        self._trials = set()
        self._send_to(report, self._peers.all_addresses())
        if self._completed or self._cleared_parts:
            self._schedule_send()

    def _send_to(
        self, report: crash_codec.CrashReport, peers: tuple[fleet.Address, ...]
    ) -> None:
        for batch in crash_codec.batches(report):
            self._socket.send(b"c", crash_codec.encode(batch), peers)

    def _on_datagram(self, body: bytes, source: fleet.Address) -> bool:
        decoded = crash_codec.decode(body)
        if isinstance(decoded, Err):
            logger.warning("datagram dropped: {}", decoded.err_value.message)
            return False
        report = decoded.ok_value
        now_s = self._clock.monotonic_s()
        for fingerprint in report.cleared:
            self._suspects.record_completed(fingerprint, now_s)
        for one in report.cleared_parts:
            self._apply_cleared(one, now_s)
        for key in report.trials:
            self._suspects.record_trial(key, now_s)
        if not report.is_reply:
            self._reply(report, source)
        for reported in report.ends:
            self._apply_end(reported, now_s, is_reply=report.is_reply)
        self._on_change()
        return True

    def _apply_cleared(
        self, one: crash_codec.ClearedPart, now_s: float
    ) -> None:
        self._cleared_s[one.part, one.customer] = now_s
        answered = crash_suspects.Answered(one.customer, now_s - one.age_s)
        self._suspects.record_part_cleared(one.part, answered)

    def _apply_end(
        self, reported: crash_codec.ReportedEnd, now_s: float, *, is_reply: bool
    ) -> None:
        traits = _traits(reported)
        end = crash_suspects.ServerEnd(
            reported.server_key, reported.made_output, now_s - reported.age_s
        )
        # Only gateways that block a request reply.
        self._suspects.record_server_end(traits, end, is_accepted=is_reply)
        unsuspected = self._suspects.unsuspected_parts(traits, end)
        for part, answered in unsuspected.items():
            # Only some of the gateways that know better reply: the others
            # hear of it first.
            delay_s = random.uniform(
                0.0, CLEAR_SPREAD_S * self._peers.gateways_count
            )
            self._call_later(
                delay_s, self._broadcast_unless_known, part, answered, now_s
            )

    def _broadcast_unless_known(
        self, part: int, answered: crash_suspects.Answered, since_s: float
    ) -> None:
        known_s = self._cleared_s.get((part, answered.customer))
        if known_s is None or known_s < since_s:
            self.broadcast_parts_cleared((part,), answered)
        self._drop_old_cleared()

    def _drop_old_cleared(self) -> None:
        since_s = self._clock.monotonic_s() - _CLEARED_REMEMBERED_S
        if len(self._cleared_s) > _CLEARED_REMEMBERED_COUNT:
            self._cleared_s = {
                key: at_s
                for key, at_s in self._cleared_s.items()
                if at_s > since_s
            }

    def _reply(
        self, report: crash_codec.CrashReport, source: fleet.Address
    ) -> None:
        """Sends the known server ends during requests that are blocked here.

        Only reports with a server end that is new to this gateway get a
        reply.
        """
        now_s = self._clock.monotonic_s()
        reasons: set[int] = set()
        for end in report.ends:
            if self._suspects.has_server_end(end.fingerprint, end.server_key):
                continue
            block = self._suspects.block_of(_traits(end), now_s)
            if block is not None:
                reasons.update(run.fingerprint for run in block.runs)
        if reasons and random.random() < MEAN_REPLIES_COUNT / max(
            1, self._peers.gateways_count - 1
        ):
            found = [
                end
                for fingerprint in sorted(reasons)
                for end in self._known_ends(fingerprint)
            ]
            reply = crash_codec.CrashReport(tuple(found), is_reply=True)
            self._send_to(reply, (source,))


def _traits(reported: crash_codec.ReportedEnd) -> crash_blocks.Traits:
    return crash_blocks.Traits(
        reported.fingerprint, reported.customer, reported.parts
    )
