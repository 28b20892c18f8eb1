"""Gateways tell each other under which requests servers ended.

A request that ends servers comes again at any gateway. Each one would lose
servers of its own before it knows.

A datagram may be lost, and a gateway may be cut off or begin later. So what
concerns a request under which two servers have ended is told again, and
whoever tells of one that others have blocked already gets it from some of
them.
"""

import random
from collections.abc import Callable, Iterable
from typing import Protocol

import gevent
from loguru import logger
from result import Err

from mulberrywharf import clock, fleet
from mulberrywharf.peers import crash_codec, datagrams
from mulberrywharf.policy import crash_suspects

COLLECTING_S = 0.002
"""Everything that a server was working on breaks off at the same moment."""

TOLD_AGAIN_S = (0.3, 1.5)
"""How long behind the first time a request is told of again. Operators allow
gateways 3 s to know."""

REPLIES_COUNT = 3
"""Gateways that answer a report on a request which is blocked, on the mean."""


class Peers(Protocol):
    """The other gateways."""

    @property
    def gateways_count(self) -> int:
        """All gateways, this one included."""
        ...

    def all_addresses(self) -> tuple[fleet.Address, ...]:
        """Returns where the others take datagrams."""
        ...


class CrashReports:
    """Tells the others, and takes in what they tell."""

    def __init__(
        self,
        peers: Peers,
        socket: datagrams.PeerSocket,
        suspects: crash_suspects.CrashSuspects,
        system_clock: clock.Clock,
        later: Callable[..., object] = gevent.spawn_later,
    ):
        """Makes it; hooks it to the socket, whose owner starts it.

        Args:
            peers: The other gateways.
            socket: Carries the reports.
            suspects: Takes in what the others tell.
            system_clock: Measures ages.
            later: Calls a function with arguments after some seconds.
        """
        self._later = later
        self._peers = peers
        self._socket = socket
        self._suspects = suspects
        self._clock = system_clock
        self._pending: dict[tuple[int, int], crash_codec.ToldEnd] = {}
        self._cleared: set[int] = set()
        self._is_due = False
        self._on_told: Callable[[int], None] = lambda _: None
        socket.on_datagram(b"c", self._take)

    def on_told(self, callback: Callable[[int], None]) -> None:
        """Calls back with the fingerprint of each request that is told of."""
        self._on_told = callback

    def tell(self, fingerprint: int) -> None:
        """Tells what is known of a request, to all.

        Args:
            fingerprint: Of the request; a server ended under it here.
        """
        self._add(fingerprint)
        now_s = self._clock.monotonic_s()
        ends = self._suspects.ends(fingerprint, now_s)
        if len(ends) >= crash_suspects.SURE_ENDS_COUNT:
            for pause_s in TOLD_AGAIN_S:
                self._later(pause_s, self._add, fingerprint)

    def tell_cleared(self, fingerprint: int) -> None:
        """Tells that a request ended whole."""
        self._cleared.add(fingerprint)
        self._send_soon()

    def _add(self, fingerprint: int) -> None:
        for told in self._told_ends(fingerprint):
            self._pending[told.fingerprint, told.server_key] = told
        self._send_soon()

    def _told_ends(self, fingerprint: int) -> list[crash_codec.ToldEnd]:
        now_s = self._clock.monotonic_s()
        return [
            crash_codec.ToldEnd(
                fingerprint, end.server_key, end.made_output, now_s - end.at_s
            )
            for end in self._suspects.ends(fingerprint, now_s)
        ]

    def _send_soon(self) -> None:
        if not self._is_due:
            self._is_due = True
            self._later(COLLECTING_S, self._send)

    def _send(self) -> None:
        pending, self._pending = list(self._pending.values()), {}
        cleared, self._cleared = tuple(self._cleared), set()
        self._is_due = False
        for some in _split(pending) or [()]:
            report = crash_codec.CrashReport(some, cleared)
            self._send_to(report, self._peers.all_addresses())
            cleared = ()

    def _send_to(
        self, report: crash_codec.CrashReport, peers: tuple[fleet.Address, ...]
    ) -> None:
        self._socket.send(b"c", crash_codec.encode(report), peers)

    def _take(self, datagram: bytes, source: fleet.Address) -> bool:
        decoded = crash_codec.decode(datagram)
        if isinstance(decoded, Err):
            logger.warning("report dropped: {}", decoded.err_value.message)
            return False
        report = decoded.ok_value
        now_s = self._clock.monotonic_s()
        for fingerprint in report.cleared:
            self._suspects.note_whole(fingerprint, now_s)
        if not report.is_reply:
            self._reply(report, source)
        for told in report.ends:
            end = crash_suspects.End(
                told.server_key, told.made_output, now_s - told.age_s
            )
            if self._suspects.note_end(told.fingerprint, end):
                self._on_told(told.fingerprint)
        return True

    def _reply(
        self, report: crash_codec.CrashReport, source: fleet.Address
    ) -> None:
        """Tells a gateway what is known of a request that is blocked here."""
        now_s = self._clock.monotonic_s()
        found: list[crash_codec.ToldEnd] = []
        for fingerprint in {told.fingerprint for told in report.ends}:
            is_new = any(
                told.fingerprint == fingerprint
                and not self._suspects.has_end(fingerprint, told.server_key)
                for told in report.ends
            )
            if is_new and self._suspects.is_blocked(fingerprint, now_s):
                found += self._told_ends(fingerprint)
        if found and random.random() < REPLIES_COUNT / max(
            1, self._peers.gateways_count - 1
        ):
            for some in _split(found):
                reply = crash_codec.CrashReport(some, is_reply=True)
                self._send_to(reply, (source,))


def _split(
    ends: Iterable[crash_codec.ToldEnd],
) -> list[tuple[crash_codec.ToldEnd, ...]]:
    """Returns the ends in parts that a datagram holds."""
    told = tuple(ends)
    step = crash_codec.ENDS_LIMIT_COUNT
    return [told[at : at + step] for at in range(0, len(told), step)]
