"""One attempt at one server, with what went wrong told apart by type."""

from collections.abc import Callable
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
)
from mulberrywharf.forwarding import request, server_book

CONNECT_TIMEOUT_S = 0.2
"""A living server of the same region completes a handshake within a few ms,
and within 100 ms if its machine was out of processor time. Nothing was sent
yet, so another server can be tried at once."""

_REFUSAL_BODY_LIMIT_BYTES = 64 * 1024
_RELEASE_TIMEOUT_S = 1.0


class Begun(NamedTuple):
    """An answer whose head was read and checked.

    Attributes:
        exchange: Reads the rest of it.
        head: Its head.
        is_framed: Whether the answer itself says where it ends.
    """

    exchange: _exchange.Exchange
    head: request.AnswerHead
    is_framed: bool


class ServerClient:
    """Sends attempts; each is written at most once."""

    def __init__(
        self,
        dialect: request.ServerDialect,
        book: server_book.ServerBook,
        system_clock: clock.Clock,
        on_leaving: Callable[[fleet.ServerStart], None] = lambda _: None,
    ):
        """Makes a client.

        Args:
            dialect: What servers speak.
            book: Told how exchanges ended.
            system_clock: Measures ages.
            on_leaving: Called each time that a server states that it leaves.
        """
        self._on_leaving = on_leaving
        self._dialect = dialect
        self._book = book
        self._clock = system_clock
        self._pool = _connections.ConnectionPool()

    def close(self) -> None:
        """Closes idle connections."""
        self._pool.close()

    def forget(self, server: fleet.Server) -> None:
        """Closes idle connections to a server that left."""
        self._pool.forget(server.address)

    def probe(
        self, address: fleet.Address
    ) -> Result[None, errors.EngineUnreachableError]:
        """Connects to a server; keeps the connection for a later request."""
        opened = _connections.Connection.open(address, CONNECT_TIMEOUT_S)
        return opened.map(self._pool.put)

    def send(
        self, attempt: request.Attempt, *, may_run_again: bool, wait_s: float
    ) -> Result[Begun, errors.EngineError]:
        """Sends one attempt and waits for the head of its answer.

        Args:
            attempt: What to send where.
            wait_s: How long each wait for the server may last.
            may_run_again: Whether the request may be sent again if nobody
                knows whether it ran. One that may not never takes an idle
                connection, which the server may close just then.

        Returns:
            The answer; ``EngineUnreachableError`` if no byte left,
            ``EngineRefusedError`` if the server states that nothing ran,
            ``AnswerLostError`` or ``ForeignAnswerError`` if it may have run.

        Raises:
            BadRequestError: The request is malformed; nothing was sent.
        """
        wanted = self._dialect.encode(attempt)
        opened = _exchange.Exchange.open(
            attempt.server.address,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            pool=self._pool if may_run_again else None,
        )
        if isinstance(opened, Err):
            self._note_failure(attempt.server, opened.err_value)
            return opened
        # Every connection is kept for later requests that may run again.
        exchange = opened.ok_value.keep_in(self._pool)
        try:
            received = self._receive(exchange, attempt, wanted, wait_s)
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
        """Reads the answer of a server that prefilled a prompt."""
        return self._dialect.decode_handle(server, body)

    def release(self, cache: request.CacheHandle) -> None:
        """Frees a prefilled KV cache that nobody will take, in background.

        Unfreed it would fill the engine's memory until its lifetime ends.
        """
        gevent.spawn(self._release, cache)

    def _release(self, cache: request.CacheHandle) -> None:
        freed = _exchange.fetch(
            cache.address,
            self._dialect.encode_release(cache),
            timeout_s=_RELEASE_TIMEOUT_S,
            limit_bytes=_REFUSAL_BODY_LIMIT_BYTES,
            pool=self._pool,
        )
        if isinstance(freed, Err):
            logger.bind(address=str(cache.address), handle=cache.handle).info(
                "a KV cache was not freed, it lapses: {}",
                freed.err_value.message,
            )

    def _receive(
        self,
        exchange: _exchange.Exchange,
        attempt: request.Attempt,
        wanted: _exchange.Request,
        wait_s: float,
    ) -> Result[Begun, errors.EngineError]:
        sent = exchange.send(wanted, wait_s)
        if isinstance(sent, Err):
            return sent
        answer = sent.ok_value
        head = self._dialect.read_head(answer)
        server = attempt.server
        self._book.reported(server.start, head.load, self._clock.monotonic_s())
        if head.rest_s is not None:
            self._book.rests(
                server.start, head.rest_s, self._clock.monotonic_s()
            )
        if head.is_leaving:
            self._on_leaving(server.start)
        if head.request_id not in (None, attempt.request.request_id):
            _answers.count_foreign(server.address)
            message = f"{server.address} answered another request"
            return Err(errors.ForeignAnswerError(message))
        if head.not_executed:
            return Err(self._refused(exchange, server, head))
        return Ok(Begun(exchange, head, answer.is_framed))

    def _refused(
        self,
        exchange: _exchange.Exchange,
        server: fleet.Server,
        head: request.AnswerHead,
    ) -> errors.EngineError:
        # Read to its end the connection can be used again.
        exchange.drain(_RELEASE_TIMEOUT_S)
        return errors.EngineRefusedError(
            f"{server.address} refused with {head.status}", status=head.status
        )

    def _note_failure(
        self, server: fleet.Server, error: errors.EngineError
    ) -> None:
        now_s = self._clock.monotonic_s()
        if isinstance(error, errors.EngineRefusedError):
            self._note_refusal(server, now_s)
        elif isinstance(
            error, errors.EngineUnreachableError | errors.PeerSilentError
        ):
            self._book.unreachable(server.start, now_s)
        else:
            self._book.lost(server.start, now_s)

    def _note_refusal(self, server: fleet.Server, now_s: float) -> None:
        # A plain server refuses while its few slots are taken, for the time
        # of one request; it is compared by its load instead.
        if server.role is None:
            self._book.failed(server.start)
        else:
            self._book.refused(server.start, now_s)
