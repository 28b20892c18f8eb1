"""Blocks requests that crash the servers that process them.

When several servers end while processing the same request, the request is
blocked: it is refused immediately and sent to no server. Gateways and routers,
both called nodes here, use this module.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple, NoReturn, Protocol

import gevent
from loguru import logger

from mulberrywharf import clock, errors, fleet, metrics
from mulberrywharf.crashes import server_ends
from mulberrywharf.peers import notice_codec
from mulberrywharf.policy import crash_blocks, crash_suspects

PROBE_WAIT_S = 0.05
"""How long a request waits for the result of a probe. A running VM refuses a
connection within a few milliseconds; a server counts as running only after
``_connections.CONFIRM_S``."""

_PENDING_RESULT_TIMEOUT_S = 0.01
"""Time to process a probe result that is already pending."""

_CONNECT_TIMEOUT_S = 0.2
_SUSPECTED_PART = "servers may have ended because of a part of this request"
_LOGGED_PART_ID_LIMIT = 64

_ends_total = metrics.counter(
    "mulberry_server_ends_total",
    "Requests whose server ended while processing them, by whether it had"
    " made any of the answer.",
)
_blocked_gauge = metrics.gauge(
    "mulberry_requests_blocked_count",
    "Requests and prompt parts that are blocked because servers ended while"
    " processing them, by cause.",
)
_refused_total = metrics.counter(
    "mulberry_blocked_requests_refused_total",
    "Requests refused because they are blocked, by cause.",
)
_trials_total = metrics.counter(
    "mulberry_blocked_requests_tried_total",
    "Blocked requests sent to find out whether servers can process them now, by"
    " cause.",
)
_parts_cleared_total = metrics.counter(
    "mulberry_prompt_parts_cleared_total",
    "Suspected prompt parts that an answer to another request cleared.",
)
_CAUSES = ("request", "part")


class CallerRequest(Protocol):
    """A caller's request."""

    @property
    def request_id(self) -> str:
        """Id of the request; a repeat by the caller may have another id."""
        ...

    def fingerprint(self) -> int:
        """Returns 64 bits that are the same when the request is repeated."""
        ...

    def part_keys(self, service: str) -> Mapping[str, int]:
        """Returns the keys of the shared parts of its prompt, by their ids."""
        ...

    def customer_key(self) -> int:
        """Returns 64 bits that identify its customer."""
        ...


class RequestRun(NamedTuple):
    """A request that was sent to a server.

    Attributes:
        request: The request.
        start: The server process.
        address: Where the server listens.
        began_s: Monotonic time at which it was sent, None if unknown.
        service: Service that the server belongs to, empty if unknown.
    """

    request: CallerRequest
    start: fleet.ServerStart
    address: fleet.Address
    began_s: float | None = None
    service: str = ""

    @classmethod
    def at(
        cls, request: CallerRequest, server: fleet.Server, began_s: float
    ) -> "RequestRun":
        """Returns the run of a request at a registered server."""
        return cls(
            request, server.start, server.address, began_s, server.service
        )


def may_be_crash(error: errors.EngineError) -> bool:
    """Returns whether an exchange may have failed because its server ended.

    The connections of a server close when it ends. A server that stops
    responding or sends another request's answer has not ended.
    """
    return isinstance(
        error, errors.AnswerLostError | errors.StreamBrokenError
    ) and not isinstance(
        error, errors.PeerSilentError | errors.ForeignAnswerError
    )


class Reports(Protocol):
    """Exchanges reports on ended servers with the other gateways."""

    def on_change(self, callback: Callable[[], object]) -> None:
        """Sets the callback for news of other gateways on suspects."""
        ...

    def tell(self, fingerprint: int) -> None:
        """Sends all gateways the known ends of servers during a request."""
        ...

    def broadcast_completed(self, fingerprint: int) -> None:
        """Informs all gateways that a request has completed."""
        ...

    def broadcast_parts_cleared(
        self, parts: Iterable[int], answered: crash_suspects.Answered
    ) -> None:
        """Informs all gateways of an answer to a request with some parts."""
        ...

    def broadcast_trial(self, key: int) -> None:
        """Informs all gateways that this one sends a request as a trial."""
        ...


class Records(Protocol):
    """Stores what is blocked, for gateways that start later."""

    def on_read(self, callback: Callable[[], object]) -> None:
        """Sets the callback that runs after each read of the records."""
        ...

    def schedule_write(self) -> None:
        """Schedules an update that writes missing records."""
        ...

    def remove(self, block_key: int) -> None:
        """Deletes the record of a block that has ended."""
        ...


class NullReportsAndRecords:
    """Reports and records that do nothing, for nodes without either."""

    def on_change(self, callback: Callable[[], object]) -> None:
        """Ignores the callback, as there are no reports."""

    def tell(self, fingerprint: int) -> None:
        """Does nothing."""

    def broadcast_completed(self, fingerprint: int) -> None:
        """Does nothing."""

    def broadcast_parts_cleared(
        self, parts: Iterable[int], answered: crash_suspects.Answered
    ) -> None:
        """Does nothing."""

    def broadcast_trial(self, key: int) -> None:
        """Does nothing."""

    def on_read(self, callback: Callable[[], object]) -> None:
        """Ignores the callback, as there are no records."""

    def schedule_write(self) -> None:
        """Does nothing."""

    def remove(self, block_key: int) -> None:
        """Does nothing."""


class CrashWatch:
    """Detects ends of servers during requests; blocks suspected requests."""

    def __init__(
        self,
        ends: server_ends.ServerEnds,
        suspects: crash_suspects.CrashSuspects,
        reports: Reports,
        records: Records,
        system_clock: clock.Clock,
        *,
        restarts_are_visible: bool = True,
    ):
        """Creates it and registers it with the reports and the records.

        Args:
            ends: Distinguishes ends of servers from lost connections.
            suspects: Remembers the ends of servers during each request.
            reports: Exchanges ends of servers with the other gateways.
            records: Stores the blocked requests.
            system_clock: Measures ages.
            restarts_are_visible: Whether the ``ServerStart`` of a server
                changes when it restarts. If not, each end counts as that of a
                different server.
        """
        self._ends = ends
        self._suspects = suspects
        self._reports = reports
        self._records = records
        self._restarts_are_visible = restarts_are_visible
        self._decided: list[crash_blocks.Block] = []
        self._blocks: dict[int, crash_blocks.Block] = {}
        reports.on_change(self._refresh)
        records.on_read(self._refresh)
        self._clock = system_clock

    @classmethod
    def standalone(cls, system_clock: clock.Clock) -> "CrashWatch":
        """Creates one for a node without reports and records.

        Such a node knows servers only by their IDs.

        Args:
            system_clock: Measures ages.
        """
        prober = server_ends.TcpProber(_CONNECT_TIMEOUT_S)
        no_peers = NullReportsAndRecords()
        return cls(
            server_ends.ServerEnds(prober, system_clock),
            crash_suspects.CrashSuspects(),
            no_peers,
            no_peers,
            system_clock,
            restarts_are_visible=False,
        )

    def of(self, request: CallerRequest, service: str) -> "RequestWatch":
        """Returns the watch of one request to a service."""
        return RequestWatch(self, request, service)

    def check(self, request: CallerRequest, service: str = "") -> float | None:
        """Refuses a blocked request, unless it may be tried again.

        Args:
            request: The request.
            service: Service that is to run it, empty if its prompt has no
                parts.

        Returns:
            The time, if the request is a trial of its suspected parts.

        Raises:
            CrashingRequestError: The request is blocked.
        """
        block = self._block_of(request, service)
        if block is None:
            return self._check_suspected_parts(request, service)
        now_s = self._clock.monotonic_s()
        if not self._suspects.may_try(block, now_s):
            self._refuse(request, block)
        self._record_trial(block.key)
        _trials_total.inc({"cause": _cause(block)})
        logger.bind(
            request_id=request.request_id, **_loggable(block, now_s)
        ).info("a blocked request is tried again")
        return None

    def check_repeat(
        self,
        request: CallerRequest,
        service: str = "",
        tried_s: float | None = None,
    ) -> None:
        """Refuses to send a request once more if it is blocked.

        Args:
            request: The request, which ``check`` has let pass.
            service: Service that is to run it, empty if its prompt has no
                parts.
            tried_s: What ``check`` returned.

        Raises:
            CrashingRequestError: The request is blocked.
        """
        block = self._block_of(request, service)
        if block is not None:
            self._refuse(request, block)
        if self._has_failed_trial(request, tried_s):
            raise errors.CrashingRequestError(
                _SUSPECTED_PART,
                retry_after_s=crash_suspects.PART_TRIAL_RESULT_S,
            )

    def _has_failed_trial(
        self, request: CallerRequest, tried_s: float | None
    ) -> bool:
        return tried_s is not None and self._suspects.has_ended_server_since(
            request.fingerprint(), tried_s, self._clock.monotonic_s()
        )

    def _refuse(
        self, request: CallerRequest, block: crash_blocks.Block
    ) -> NoReturn:
        now_s = self._clock.monotonic_s()
        _refused_total.inc({"cause": _cause(block)})
        logger.bind(
            request_id=request.request_id, **_loggable(block, now_s)
        ).info("a blocked request is refused")
        raise errors.CrashingRequestError(
            _refusal(block),
            retry_after_s=self._suspects.retry_after_s(block, now_s),
        )

    def _check_suspected_parts(
        self, request: CallerRequest, service: str
    ) -> float | None:
        """Lets requests with suspected parts pass one at a time.

        Returns:
            The time, if the request has such parts.

        Raises:
            CrashingRequestError: The result of another request is awaited.
        """
        if self._suspects.is_empty:
            return None
        now_s = self._clock.monotonic_s()
        traits = _traits(request, service)
        parts = self._suspects.suspected_parts(traits, now_s)
        if not parts:
            return None
        log = logger.bind(request_id=request.request_id, parts=_hex_keys(parts))
        delay_s = self._suspects.trial_delay_s_of(parts, traits.customer, now_s)
        if delay_s > 0.0:
            _refused_total.inc({"cause": "suspected-part"})
            log.info("a request with a suspected part is refused")
            raise errors.CrashingRequestError(
                _SUSPECTED_PART, retry_after_s=delay_s
            )
        for part in parts:
            self._record_trial(part)
        _trials_total.inc({"cause": "suspected-part"})
        log.info("a request with a suspected part is tried")
        return now_s

    def _record_trial(self, key: int) -> None:
        self._suspects.record_trial(key, self._clock.monotonic_s())
        self._reports.broadcast_trial(key)

    def is_blocked(
        self,
        request: CallerRequest,
        service: str = "",
        tried_s: float | None = None,
    ) -> bool:
        """Returns whether a request must not be sent to another server.

        A trial of suspected parts is over once a server has ended under it.

        Args:
            request: The request.
            service: Service that is to run it, empty if its prompt has no
                parts.
            tried_s: What ``check`` returned.
        """
        return self._block_of(
            request, service
        ) is not None or self._has_failed_trial(request, tried_s)

    def allowed_servers(
        self, request: CallerRequest, servers: Sequence[fleet.Server]
    ) -> list[fleet.Server]:
        """Returns the servers of one kind that a request may be sent to.

        If a server recently ended while processing a request, the request may
        crash another server before the other gateways learn of the first end.
        It is not sent to the last remaining server, so that other requests can
        still be served.

        Args:
            request: The request.
            servers: The servers of that kind that could run it.
        """
        if self._suspects.is_empty or not servers:
            return list(servers)
        now_s = self._clock.monotonic_s()
        traits = _traits(request, servers[0].service)
        if not self._suspects.is_recent_suspect(traits, now_s):
            return list(servers)
        ended = self._suspects.ended_servers()
        alive = [
            server
            for server in servers
            if notice_codec.hash_server_start(server.start) not in ended
        ]
        return alive if len(alive) > 1 else []

    def note_answer_began(self, request: CallerRequest, service: str) -> None:
        """Records that a server made the first output for a request."""
        parts = request.part_keys(service).values()
        if not parts:
            return
        now_s = self._clock.monotonic_s()
        customer = request.customer_key()
        cleared = self._suspects.record_answer_began(
            customer, parts, service, now_s
        )
        if not cleared:
            self._note_changes()
            return
        _parts_cleared_total.add({}, len(cleared))
        logger.bind(
            request_id=request.request_id, parts=_hex_keys(cleared)
        ).info("suspected parts are cleared by an answer")
        self._reports.broadcast_parts_cleared(
            cleared, crash_suspects.Answered(customer, now_s)
        )
        self._note_changes()

    def note_completed(self, request: CallerRequest) -> None:
        """Records that a server answered a request completely."""
        fingerprint = request.fingerprint()
        now_s = self._clock.monotonic_s()
        if self._suspects.record_completed(fingerprint, now_s):
            self._reports.broadcast_completed(fingerprint)
            self._refresh()

    def note_failed(
        self,
        run: RequestRun,
        error: errors.EngineError,
        *,
        made_output: bool = False,
    ) -> None:
        """Checks whether a server has ended, if its failure may mean that.

        Args:
            run: The request and its server.
            error: How the exchange failed.
            made_output: Whether any part of the answer had arrived.
        """
        if may_be_crash(error):
            self.note_connection_lost(run, made_output=made_output)

    def note_connection_lost(
        self, run: RequestRun, *, made_output: bool
    ) -> None:
        """Checks whether a server has ended after an exchange was interrupted.

        Waits only briefly for the probe of the server; a later result is
        still recorded. During a network partition, a connection attempt takes
        longer than the request should wait for its next server.

        Args:
            run: The request and its server.
            made_output: Whether any part of the answer had arrived.
        """
        probing = gevent.spawn(self._probe_and_note_end, run, made_output)
        probing.join(timeout=PROBE_WAIT_S)
        # After a process pause, the timeout may fire before a pending probe
        # result is processed.
        probing.join(timeout=_PENDING_RESULT_TIMEOUT_S)

    def _probe_and_note_end(self, run: RequestRun, made_output: bool) -> None:
        ended_s = self._ends.ended_s(run.start, run.address)
        if ended_s is None:
            return
        traits = _traits(run.request, run.service)
        fingerprint = traits.fingerprint
        _ends_total.inc({"made_output": str(made_output).lower()})
        end = crash_suspects.ServerEnd(
            self._server_key(run.start, ended_s), made_output, ended_s
        )
        if self._suspects.record_server_end(traits, end):
            self._reports.tell(fingerprint)
        logger.bind(
            request_id=run.request.request_id,
            fingerprint=f"{fingerprint:016x}",
            server_id=run.start.server_id,
            ran_s=None
            if run.began_s is None
            else round(ended_s - run.began_s, 3),
            made_output=made_output,
            ends_count=len(self._suspects.ends(fingerprint, ended_s)),
            parts=_loggable_parts(run),
        ).warning("a server ended while it worked on a request")
        self._refresh()
        if any(block.covers(traits) for block in self._blocks.values()):
            self._records.schedule_write()

    def _server_key(self, start: fleet.ServerStart, ended_s: float) -> int:
        if self._restarts_are_visible:
            return notice_codec.hash_server_start(start)
        return notice_codec.hash_name(f"{start} {ended_s}")

    def _block_of(
        self, request: CallerRequest, service: str
    ) -> crash_blocks.Block | None:
        if self._suspects.is_empty:
            return None
        return self._suspects.block_of(
            _traits(request, service), self._clock.monotonic_s()
        )

    def _note_changes(self) -> None:
        """Updates what is blocked after an event at this gateway."""
        if not self._suspects.is_empty and self._refresh():
            self._records.schedule_write()

    def _refresh(self) -> bool:
        """Updates what is blocked; returns whether there is a new block.

        New information on one request may also unblock another one.
        """
        now_s = self._clock.monotonic_s()
        decided = self._suspects.blocks(now_s)
        if decided is self._decided:
            return False
        self._decided = decided
        blocks = {block.key: block for block in decided}
        known, self._blocks = self._blocks, blocks
        added = [block for key, block in blocks.items() if key not in known]
        ended = [block for key, block in known.items() if key not in blocks]
        for block in added:
            logger.bind(**_loggable(block, now_s)).warning(
                "a request is blocked: servers ended while processing it"
            )
        for block in ended:
            logger.bind(**_loggable(block, now_s)).info("a block has ended")
            self._records.remove(block.key)
        for cause in _CAUSES:
            count = sum(_cause(block) == cause for block in decided)
            _blocked_gauge.set({"cause": cause}, count)
        return bool(added)


class RequestWatch:
    """The watch of one request; each method is that of ``CrashWatch``."""

    def __init__(
        self, crashes: CrashWatch, request: CallerRequest, service: str
    ):
        self._crashes = crashes
        self._request = request
        self._service = service
        self._tried_s: float | None = None

    def check(self) -> None:
        """Refuses the request if it is blocked, unless it may be tried again.

        Raises:
            CrashingRequestError: It is blocked.
        """
        self._tried_s = self._crashes.check(self._request, self._service)

    def check_repeat(self) -> None:
        """Refuses to send the request once more if it is blocked.

        Raises:
            CrashingRequestError: It is blocked.
        """
        self._crashes.check_repeat(self._request, self._service, self._tried_s)

    def is_blocked(self) -> bool:
        """Returns whether the request must not be sent to another server."""
        return self._crashes.is_blocked(
            self._request, self._service, self._tried_s
        )

    def allowed_servers(
        self, servers: Sequence[fleet.Server]
    ) -> list[fleet.Server]:
        """Returns the servers of one kind that it may be sent to."""
        return self._crashes.allowed_servers(self._request, servers)

    def note_answer_began(self) -> None:
        """Records that a server made the first output for the request."""
        self._crashes.note_answer_began(self._request, self._service)

    def note_completed(self) -> None:
        """Records that a server answered the request completely."""
        self._crashes.note_completed(self._request)

    def note_failed(
        self,
        server: fleet.Server,
        began_s: float,
        error: errors.EngineError,
        *,
        made_output: bool = False,
    ) -> None:
        """Checks whether a server has ended, if its failure may mean that."""
        run = RequestRun.at(self._request, server, began_s)
        self._crashes.note_failed(run, error, made_output=made_output)


def _traits(request: CallerRequest, service: str) -> crash_blocks.Traits:
    return crash_blocks.Traits(
        request.fingerprint(),
        request.customer_key(),
        frozenset(request.part_keys(service).values()),
    )


def _cause(block: crash_blocks.Block) -> str:
    return "part" if block.fingerprint is None else "request"


def _refusal(block: crash_blocks.Block) -> str:
    if block.fingerprint is None:
        return "servers ended while processing requests with a part of it"
    return "servers ended while processing this request"


def _loggable(block: crash_blocks.Block, now_s: float) -> dict[str, object]:
    """Returns the log fields that identify a block and its reason."""
    return {
        "block": f"{block.key:016x}",
        "cause": _cause(block),
        "parts": _hex_keys(block.parts),
        "customer": "one" if block.customer is not None else "all",
        "ends_count": block.servers_count,
        "last_end_age_s": round(now_s - block.last_end_s, 1),
    }


def _hex_keys(keys: Iterable[int]) -> list[str]:
    return [f"{key:016x}" for key in sorted(keys)]


def _loggable_parts(run: RequestRun) -> dict[str, str]:
    """Returns the shared parts of a prompt, each id with its key."""
    part_keys = run.request.part_keys(run.service)
    return {
        part_id[:_LOGGED_PART_ID_LIMIT]: f"{key:016x}"
        for part_id, key in part_keys.items()
    }
