"""Sends an attempt to a server; each kind of failure has its own type."""

import time
import weakref
from collections.abc import Callable, Iterable
from typing import NamedTuple

import gevent
from loguru import logger
from result import Err, Ok, Result

from mulberrywharf import (
    _answers,
    _connections,
    _exchange,
    clock,
    errors,
    fleet,
    server_limits,
)
from mulberrywharf.forwarding import request, server_tracker
from mulberrywharf.policy import outcome, reachability

CONNECT_TIMEOUT_S = 0.2
"""A working server in the same region completes the TCP handshake within a few
ms, or within 100 ms if its machine is short of CPU time. Nothing has been sent
when the timeout expires, so another server can be tried at once."""

_SHORT_ANSWER_LIMIT_BYTES = 64 * 1024
_SHORT_ANSWER_TIMEOUT_S = 1.0


class StartedAnswer(NamedTuple):
    """An answer whose head was read and checked.

    Attributes:
        exchange: Reads the body.
        head: The head.
        is_framed: Whether the answer itself tells where its body ends. If not,
            the end of the connection ends it.
    """

    exchange: _exchange.Exchange
    head: request.AnswerHead
    is_framed: bool


class ServerClient:
    """Sends attempts to servers, each at most once."""

    def __init__(
        self,
        dialect: request.ServerDialect,
        tracker: server_tracker.ServerTracker,
        system_clock: clock.Clock,
        limits: server_limits.ServerLimits,
        on_leaving: Callable[[fleet.ServerStart], None] = lambda _: None,
    ):
        """Makes a client.

        Args:
            dialect: Encodes requests and reads answers.
            tracker: Records reported load, failures and refusals of servers.
            system_clock: Time source of these records.
            limits: Records the request limits that answers state.
            on_leaving: Called whenever an answer states that its server is
                leaving.
        """
        self._on_leaving = on_leaving
        self._dialect = dialect
        self._tracker = tracker
        self._limits = limits
        self._clock = system_clock
        self._pool = _connections.ConnectionPool()
        self._repeatable: dict[
            fleet.ServerStart, weakref.WeakSet[_exchange.Exchange]
        ] = {}

    def close(self) -> None:
        """Closes idle connections."""
        self._pool.close()

    def forget(self, server: fleet.Server) -> None:
        """Closes idle connections to a server that has left."""
        self._pool.forget(server.address)

    def probe(
        self,
        address: fleet.Address,
        confirm_s: float = _connections.CONFIRM_S,
    ) -> Result[None, errors.EngineUnreachableError]:
        """Connects to a server and keeps the connection for later requests.

        Checks first that the server keeps the connection open for
        ``confirm_s``.
        """
        opened = _connections.Connection.open_confirmed(
            address, CONNECT_TIMEOUT_S, confirm_s
        )
        return opened.map(self._pool.put)

    def can_connect(self, address: fleet.Address) -> bool:
        """Connects to a server and keeps the connection for later requests."""
        opened = _connections.Connection.open(address, CONNECT_TIMEOUT_S)
        if isinstance(opened, Err):
            return False
        self._pool.put(opened.ok_value)
        return True

    def interrupt_idle(
        self, starts: Iterable[fleet.ServerStart], idle_s: float
    ) -> int:
        """Ends exchanges with unreachable servers that may be repeated.

        Args:
            starts: The servers.
            idle_s: Time without a byte after which an exchange is ended.

        Returns:
            The number of exchanges.
        """
        idle_since_s = time.monotonic() - idle_s
        found = [
            exchange
            for start in starts
            for exchange in self._repeatable.get(start, ())
            if exchange.is_open and exchange.active_s < idle_since_s
        ]
        for exchange in found:
            exchange.interrupt()
        return len(found)

    def keep_only(self, starts: Iterable[fleet.ServerStart]) -> None:
        """Forgets the exchanges with servers that have ended."""
        kept = frozenset(starts)
        self._repeatable = {
            start: exchanges
            for start, exchanges in self._repeatable.items()
            if start in kept
        }

    def send(
        self,
        attempt: request.Attempt,
        permit: server_limits.SendPermit,
        *,
        may_run_again: bool,
        wait_s: float,
        on_write: Callable[[], Result[None, errors.RepeatRefusedError]],
    ) -> Result[StartedAnswer, errors.EngineError]:
        """Sends one attempt and waits for the head of its answer.

        Args:
            attempt: The request and the server to send it to.
            permit: Permits this request, see ``ServerLimits.acquire``.
            may_run_again: Whether the request may be sent again if it is
                unknown whether it ran. If not, it never uses an idle
                connection, as the server may close that while the request is
                being sent.
            wait_s: Maximum length of each wait for the server, in seconds.
            on_write: Called on an open connection, immediately before the
                request is written; its error keeps the request from being sent.

        Returns:
            The answer; ``EngineUnreachableError`` if no byte was sent,
            ``ServerLimitError`` if the permit has expired,
            ``RepeatRefusedError`` if ``on_write`` returned it,
            ``EngineRefusedError`` if the server states that nothing ran, or
            its subtype ``MisdirectedError`` if it isn't the addressed one,
            ``AnswerLostError`` or ``ForeignAnswerError`` if it may have run.

        Raises:
            BadRequestError: The request is malformed; nothing was sent.
        """
        encoded_request = self._dialect.encode(attempt)
        checked = self._limits.check(permit, attempt.server)
        if isinstance(checked, Err):
            return checked
        opened = _exchange.Exchange.open(
            attempt.server.address,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            pool=self._pool if may_run_again else None,
        )
        if isinstance(opened, Err):
            self._note_failure(attempt.server, opened.err_value)
            return opened
        if opened.ok_value.is_new_connection:
            self._tracker.reachability.note_connected(
                attempt.server.start, self._clock.monotonic_s()
            )
        # Every connection is kept, also one opened for a request that must not
        # run again; only requests that may run again reuse it.
        exchange = opened.ok_value.keep_in(self._pool)
        charged = on_write()
        if isinstance(charged, Err):
            exchange.release()
            return charged
        if may_run_again:
            self._repeatable.setdefault(
                attempt.server.start, weakref.WeakSet()
            ).add(exchange)
        try:
            received = self._receive(exchange, attempt, encoded_request, wait_s)
        except BaseException:
            exchange.close()
            raise
        if isinstance(received, Err):
            exchange.close()
            self._note_failure(attempt.server, received.err_value)
        return received

    def decode_handle(
        self, server: fleet.Server, body: bytes
    ) -> Result[request.CacheHandle, errors.EngineError]:
        """Reads the KV cache handle from the answer to a prefill request."""
        return self._dialect.decode_handle(server, body)

    def release(self, cache: request.CacheHandle) -> None:
        """Releases an unused prefilled KV cache, in the background.

        Otherwise it would occupy the engine's memory until it expires.
        """
        gevent.spawn(self._release, cache)

    def _release(self, cache: request.CacheHandle) -> None:
        released = _exchange.fetch(
            cache.address,
            self._dialect.encode_release(cache),
            timeout_s=_SHORT_ANSWER_TIMEOUT_S,
            limit_bytes=_SHORT_ANSWER_LIMIT_BYTES,
            pool=self._pool,
        )
        if isinstance(released, Err):
            logger.bind(address=str(cache.address), handle=cache.handle).info(
                "KV cache was not released and will expire: {}",
                released.err_value.message,
            )

    def _receive(
        self,
        exchange: _exchange.Exchange,
        attempt: request.Attempt,
        encoded_request: _exchange.Request,
        wait_s: float,
    ) -> Result[StartedAnswer, errors.EngineError]:
        sent = exchange.send(encoded_request, wait_s)
        if isinstance(sent, Err):
            return sent
        answer = sent.ok_value
        server = attempt.server
        head = self._dialect.read_head(answer)._replace(server=server.start)
        self._tracker.answer_began(server.start, self._clock.monotonic_s())
        load = head.load
        if isinstance(load, request.ReportedLoad):
            load = load.limited_to(server.slots_count)
            if load.pace:
                self._tracker.paces.note(
                    server, load.pace, self._clock.monotonic_s()
                )
        self._tracker.reported(server.start, load, self._clock.monotonic_s())
        if head.retry_after_s is not None:
            self._tracker.pause_until_retry_after(
                server.start, head.retry_after_s, self._clock.monotonic_s()
            )
        if head.is_leaving:
            self._on_leaving(server.start)
        if head.request_id not in (None, attempt.request.request_id):
            _answers.count_foreign(server.address)
            message = f"{server.address} answered another request"
            return Err(errors.ForeignAnswerError(message))
        self._limits.note_answer(
            server.start, head.limit, may_end=head.is_success
        )
        if head.not_executed:
            return Err(self._read_refusal_to_end(exchange, server, head))
        if (
            head.is_success
            and not head.has_signature
            and not attempt.prefill_only
        ):
            return Err(
                errors.UnsignedAnswerError(
                    f"{server.address} answered {head.status} without a "
                    "signature"
                )
            )
        if not outcome.is_server_fault(head.status):
            self._tracker.answered(server.start)
        return Ok(StartedAnswer(exchange, head, answer.is_framed))

    def _read_refusal_to_end(
        self,
        exchange: _exchange.Exchange,
        server: fleet.Server,
        head: request.AnswerHead,
    ) -> errors.EngineError:
        # The connection can be reused only if the answer is read to its end.
        exchange.drain(_SHORT_ANSWER_TIMEOUT_S)
        error_type = (
            errors.MisdirectedError
            if head.is_misdirected
            else errors.EngineRefusedError
        )
        return error_type(
            f"{server.address} refused with {head.status}", status=head.status
        )

    def _note_failure(
        self, server: fleet.Server, error: errors.EngineError
    ) -> None:
        now_s = self._clock.monotonic_s()
        if isinstance(error, errors.MisdirectedError):
            self._tracker.misdirected(server.start, now_s)
        elif isinstance(error, errors.EngineRefusedError):
            self._note_refusal(server, now_s)
        elif isinstance(error, errors.EngineUnreachableError):
            cause: reachability.Cause = (
                "refused" if error.was_refused else "silent"
            )
            self._tracker.unreachable(server.start, now_s, cause)
        elif isinstance(error, errors.UnsignedAnswerError):
            self._tracker.failed(server.start, now_s, is_fault=True)
        elif isinstance(error, errors.PeerSilentError):
            self._tracker.fell_silent(server.start, now_s)
        else:
            self._tracker.connection_lost(server.start, now_s)

    def note_relayed(self, head: request.AnswerHead) -> None:
        """Records what a server states in an answer to another gateway.

        Whoever passes such an answer on must keep to it, too.
        """
        if head.server is None:
            return
        if head.is_leaving:
            self._on_leaving(head.server)
        self._limits.note_answer(
            head.server, head.limit, may_end=head.is_success
        )

    def note_answer_broken(
        self, server: fleet.Server, error: errors.EngineError
    ) -> None:
        """Records that an answer broke off behind its head."""
        is_silent = isinstance(error, errors.PeerSilentError)
        self._tracker.connection_lost(
            server.start,
            self._clock.monotonic_s(),
            "silent" if is_silent else "interrupted",
        )

    def _note_refusal(self, server: fleet.Server, now_s: float) -> None:
        # A plain server has few slots and refuses only until a running request
        # ends, so it is not passed over; its load decides how often it is
        # chosen.
        if server.role is None:
            self._tracker.failed(server.start, now_s, is_fault=False)
        else:
            self._tracker.refused(server.start, now_s)
