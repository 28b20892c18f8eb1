"""Which requests servers were working on when they ended.

A request under which servers end one after the other is blocked: it gets an
answer at once and is sent to none.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

import gevent
from loguru import logger

from mulberrywharf import clock, errors, fleet, metrics, server_ends
from mulberrywharf.peers import codec
from mulberrywharf.policy import crash_suspects

KNOWN_WITHIN_S = 0.05
"""A VM that lives refuses a connection within some ms."""

_PENDING_RESULT_TIMEOUT_S = 0.01
"""Time to process a probe result that is already pending."""

_CONNECT_TIMEOUT_S = 0.2

_ends_total = metrics.counter(
    "mulberry_server_ends_total",
    "Requests whose server ended while it worked on them, by whether it had"
    " made any of the answer.",
)
_blocked_gauge = metrics.gauge(
    "mulberry_requests_blocked_count",
    "Requests that are sent to no server, as servers ended under them.",
)


class Request(Protocol):
    """A caller's request."""

    @property
    def request_id(self) -> str:
        """Names this attempt of the caller."""
        ...

    def fingerprint(self) -> int:
        """Returns 64 bits that are equal when the same is asked again."""
        ...


class Run(NamedTuple):
    """A request that a server works on.

    Attributes:
        wanted: The request.
        start: The server's start.
        address: Where the server listens.
        began_s: Monotonic instant at which it was sent, None if not known.
    """

    wanted: Request
    start: fleet.ServerStart
    address: fleet.Address
    began_s: float | None = None


def may_be_crash(error: errors.EngineError) -> bool:
    """Tells whether an exchange may have failed so because its server ended.

    A server that ends closes its connections; one that falls silent, or sends
    another answer, is there still.
    """
    return isinstance(
        error, errors.AnswerLostError | errors.StreamBrokenError
    ) and not isinstance(
        error, errors.PeerSilentError | errors.ForeignAnswerError
    )


class Reports(Protocol):
    """Carries what gateways know to each other."""

    def on_report(self, callback: Callable[[int], None]) -> None:
        """Calls back with the fingerprint of each request that is told of."""
        ...

    def tell(self, fingerprint: int) -> None:
        """Tells what is known of a request, to all."""
        ...

    def broadcast_cleared(self, fingerprint: int) -> None:
        """Tells that a request ended whole."""
        ...


class Records(Protocol):
    """Keeps what is blocked for gateways that begin."""

    def on_read(self, callback: Callable[[], None]) -> None:
        """Calls back each time that they were read."""
        ...

    def write_soon(self) -> None:
        """Lets what is blocked be written, unless it is there already."""
        ...

    def remove(self, fingerprint: int) -> None:
        """Lets the record of a request that is cleared go."""
        ...


class Alone:
    """Tells nobody and keeps nothing, for nodes without either."""

    def on_report(self, callback: Callable[[int], None]) -> None:
        """Nobody tells."""

    def tell(self, fingerprint: int) -> None:
        """Tells nobody."""

    def broadcast_cleared(self, fingerprint: int) -> None:
        """Tells nobody."""

    def on_read(self, callback: Callable[[], None]) -> None:
        """Nothing is read."""

    def write_soon(self) -> None:
        """Writes nothing."""

    def remove(self, fingerprint: int) -> None:
        """Removes nothing."""


class CrashWatch:
    """Takes in which exchanges broke off, and blocks requests."""

    def __init__(
        self,
        ends: server_ends.ServerEnds,
        suspects: crash_suspects.CrashSuspects,
        reports: Reports,
        records: Records,
        system_clock: clock.Clock,
        *,
        starts_are_told: bool = True,
    ):
        """Makes it; hooks it to the reports.

        Args:
            ends: Tells ends of servers from lost answers.
            suspects: Remembers what ended under which request.
            reports: Tells the other gateways.
            records: Keeps what is blocked.
            system_clock: Measures ages.
            starts_are_told: Whether a server that starts again has another
                start. Without it each end counts for itself.
        """
        self._ends = ends
        self._suspects = suspects
        self._reports = reports
        self._records = records
        self._starts_are_told = starts_are_told
        self._blocked: frozenset[int] = frozenset()
        reports.on_report(self._on_report)
        records.on_read(self._refresh)
        self._clock = system_clock

    @classmethod
    def of_node_alone(cls, system_clock: clock.Clock) -> "CrashWatch":
        """Makes one for a node that tells nobody, of servers by their ids."""
        prober = server_ends.Connector(_CONNECT_TIMEOUT_S)
        alone = Alone()
        return cls(
            server_ends.ServerEnds(prober, system_clock),
            crash_suspects.CrashSuspects(),
            alone,
            alone,
            system_clock,
            starts_are_told=False,
        )

    def check(self, wanted: Request) -> None:
        """Lets a request pass that is not blocked.

        Raises:
            CrashingRequestError: It is blocked.
        """
        if self._suspects.is_empty:
            return
        now_s = self._clock.monotonic_s()
        fingerprint = wanted.fingerprint()
        if not self._suspects.is_blocked(fingerprint, now_s):
            return
        raise errors.CrashingRequestError(
            "servers ended while they worked on this request",
            retry_after_s=self._suspects.blocked_for_s(fingerprint, now_s),
        )

    def is_blocked(self, wanted: Request) -> bool:
        """Tells whether a request must not be sent to another server."""
        now_s = self._clock.monotonic_s()
        return not self._suspects.is_empty and self._suspects.is_blocked(
            wanted.fingerprint(), now_s
        )

    def allowed_servers(
        self, wanted: Request, servers: Sequence[fleet.Server]
    ) -> list[fleet.Server]:
        """Returns the servers of one kind that a request may be sent to.

        A request under which a server recently ended may crash another before
        the other gateways learn of the first. It is not sent to the last
        remaining server, so that other requests can still be served.

        Args:
            wanted: The request.
            servers: The servers of that kind that could run it.
        """
        now_s = self._clock.monotonic_s()
        if self._suspects.is_empty or not self._suspects.is_recent_suspect(
            wanted.fingerprint(), now_s
        ):
            return list(servers)
        ended = self._suspects.ended_servers()
        alive = [
            server
            for server in servers
            if codec.key_of_server(server.start) not in ended
        ]
        return alive if len(alive) > 1 else []

    def ended_whole(self, wanted: Request) -> None:
        """Notes that a server answered a request to its end."""
        fingerprint = wanted.fingerprint()
        now_s = self._clock.monotonic_s()
        if self._suspects.note_whole(fingerprint, now_s):
            self._reports.broadcast_cleared(fingerprint)
            self._records.remove(fingerprint)

    def broke_off(self, run: Run, *, made_output: bool) -> None:
        """Notes that a server broke off what it was working on.

        Whether it has ended is awaited for a moment only, and taken in
        whenever it is known: behind a cut a connection takes longer than the
        request should wait for its next server.

        Args:
            run: The request there.
            made_output: Whether any of its answer had come.
        """
        noting = gevent.spawn(self._note_end, run, made_output)
        noting.join(timeout=KNOWN_WITHIN_S)
        # After a process pause, the timeout may fire before a pending probe
        # result is processed.
        noting.join(timeout=_PENDING_RESULT_TIMEOUT_S)

    def _note_end(self, run: Run, made_output: bool) -> None:
        ended_s = self._ends.ended_s(run.start, run.address)
        if ended_s is None:
            return
        fingerprint = run.wanted.fingerprint()
        _ends_total.inc({"made_output": str(made_output).lower()})
        end = crash_suspects.End(
            self._server_key(run.start, ended_s), made_output, ended_s
        )
        if self._suspects.note_end(fingerprint, end):
            self._reports.tell(fingerprint)
        logger.bind(
            request_id=run.wanted.request_id,
            fingerprint=f"{fingerprint:016x}",
            server_id=run.start.server_id,
            ran_s=None
            if run.began_s is None
            else round(ended_s - run.began_s, 3),
            made_output=made_output,
            ends_count=len(self._suspects.ends(fingerprint, ended_s)),
        ).warning("a server ended while it worked on a request")
        self._on_report(fingerprint)
        if fingerprint in self._blocked:
            self._records.write_soon()

    def _server_key(self, start: fleet.ServerStart, ended_s: float) -> int:
        if self._starts_are_told:
            return codec.key_of_server(start)
        return codec.key_of(f"{start} {ended_s}")

    def _on_report(self, fingerprint: int) -> None:
        now_s = self._clock.monotonic_s()
        ends_count = len(self._suspects.ends(fingerprint, now_s))
        if ends_count >= crash_suspects.SURE_ENDS_COUNT:
            self._refresh()

    def _refresh(self) -> None:
        """Takes in what is blocked now.

        What is learnt of one request may also show that another is harmless.
        """
        now_s = self._clock.monotonic_s()
        blocked = frozenset(self._suspects.blocked(now_s))
        for one in blocked - self._blocked:
            logger.bind(
                fingerprint=f"{one:016x}",
                ends_count=len(self._suspects.ends(one, now_s)),
            ).warning("a request is blocked: servers end under it")
        self._blocked = blocked
        _blocked_gauge.set({}, len(blocked))
