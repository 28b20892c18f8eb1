"""Hands requests over to other gateways."""

import itertools
import re
from collections.abc import Callable
from typing import NamedTuple, Protocol

from result import Err, Ok, Result

from mulberrywharf import (
    _answers,
    _connections,
    _exchange,
    _headers,
    errors,
    fleet,
    stated_numbers,
)
from mulberrywharf.forwarding import request
from mulberrywharf.peers import handover_codec
from mulberrywharf.peers import handover_fields as hop
from mulberrywharf.policy import helpers, stream_version

CONNECT_TIMEOUT_S = 0.2
"""As for servers: nothing was sent when it expires."""

ACCEPT_TIMEOUT_S = 0.25
"""How long a gateway may take to accept a request. One that is suspended or
overloaded does not, and the request is then certain not to run there."""

_MESSAGE_LIMIT_BYTES = 4096
_MESSAGE_TIMEOUT_S = 0.5
_VERSION_KEY = re.compile(r"[0-9a-f]{16}")

_REQUEST_ERRORS: dict[str, type[errors.RequestError]] = {
    error.code: error
    for error in (
        errors.BadRequestError,
        errors.BackEndLostError,
        errors.CrashingRequestError,
        errors.DeadlineExceededError,
        errors.NoEngineError,
        errors.OverloadedError,
        errors.StreamNotResumableError,
    )
}


class Helper(NamedTuple):
    """A gateway that requests are handed over to.

    Attributes:
        address: Where it listens for handed over requests.
        token: Token of its registration.
    """

    address: fleet.Address
    token: str


class HandedAnswer(NamedTuple):
    """An answer that another gateway relays.

    Attributes:
        exchange: Reads the body.
        head: The head of the server's answer.
        vm_id: Name of the gateway.
        load: Handed over requests that it is serving.
        is_framed: Whether the answer itself tells where its body ends.
        version_key: Software version of the server that began the stream, None
            if it is unknown.
    """

    exchange: _exchange.Exchange
    head: request.AnswerHead
    vm_id: str
    load: float
    is_framed: bool = True
    version_key: stream_version.VersionKey | None = None


class HeadReader(Protocol):
    """Reads the heads of servers' answers."""

    def read_head(self, answer: _answers.Answer) -> request.AnswerHead:
        """Reads the head of an answer."""
        ...


HandoverError = (
    errors.HelperRefusedError | errors.HelperLostError | errors.RequestError
)


class HandoverClient:
    """Sends requests to other gateways, each at most once."""

    def __init__(self, vm_id: str, dialect: HeadReader):
        """Makes a client.

        Args:
            vm_id: Name of this gateway.
            dialect: Reads the heads of servers' answers.
        """
        self._vm_id = vm_id
        self._dialect = dialect
        self._pool = _connections.ConnectionPool()
        self._numbers = itertools.count(1)

    def close(self) -> None:
        """Closes idle connections."""
        self._pool.close()

    def send(
        self,
        helper: Helper,
        request_id: str,
        handed: handover_codec.HandedRequest,
        wait_s: float,
        on_accepted: Callable[[], None],
    ) -> Result[HandedAnswer, HandoverError]:
        """Hands a request over and waits for the head of its answer.

        Args:
            helper: The gateway that is to serve it.
            request_id: Its id.
            handed: The request.
            wait_s: Longest wait for the answer, in seconds.
            on_accepted: Called before the request's body is sent. Until then it
                certainly does not run.

        Returns:
            The answer; ``HelperRefusedError`` if the gateway certainly did not
            run it and another one can be tried, ``HelperLostError`` if it may
            have run, or the error with which the gateway ended it.
        """
        number = str(next(self._numbers))
        encoded = self._encode(helper, request_id, handed, number)
        offered = self._offer(helper.address, encoded)
        if isinstance(offered, Err):
            return offered
        exchange, is_accepted = offered.ok_value
        try:
            if is_accepted:
                on_accepted()
                sent = exchange.send_body(encoded.body, wait_s)
                if isinstance(sent, Err):
                    return Err(_sending_error(helper, sent.err_value))
            received = exchange.receive(wait_s)
            if isinstance(received, Err):
                message = received.err_value.message
                if is_accepted:
                    return Err(errors.HelperLostError(message))
                return Err(_silent(message))
            return self._read(exchange, received.ok_value, number, is_accepted)
        except BaseException:
            exchange.close()
            raise

    def _offer(
        self, address: fleet.Address, encoded: _exchange.Request
    ) -> Result[tuple[_exchange.Exchange, bool], errors.HelperRefusedError]:
        """Offers a request; on a new connection if an idle one has failed."""
        while True:
            opened = _exchange.Exchange.open(
                address,
                connect_timeout_s=CONNECT_TIMEOUT_S,
                pool=self._pool,
            )
            if isinstance(opened, Err):
                return Err(_silent(opened.err_value.message))
            exchange = opened.ok_value
            offered = exchange.offer(encoded, ACCEPT_TIMEOUT_S)
            if isinstance(offered, Ok):
                return Ok((exchange, offered.ok_value))
            if exchange.is_new_connection:
                return Err(_silent(offered.err_value.message))
            # Idle connections to a gateway that has ended fail together.
            self._pool.forget(address)

    def _encode(
        self,
        helper: Helper,
        request_id: str,
        handed: handover_codec.HandedRequest,
        number: str,
    ) -> _exchange.Request:
        fields = {
            hop.TOKEN: helper.token,
            hop.SENDER: self._vm_id,
            hop.NUMBER: number,
            hop.REQUEST_ID: request_id,
            hop.SERVICE: handed.service,
            hop.PROTOCOL: str(hop.PROTOCOL_VERSION),
        }
        body = handover_codec.encode(handed)
        is_new = handed.version_key is None
        path = hop.PATH if is_new else hop.PATH_AT_VERSION
        return _exchange.Request("POST", path, fields, body)

    def _read(
        self,
        exchange: _exchange.Exchange,
        answer: _answers.Answer,
        number: str,
        is_accepted: bool,
    ) -> Result[HandedAnswer, HandoverError]:
        result = answer.header(hop.RESULT)
        if answer.header(hop.NUMBER) != number:
            exchange.close()
            message = "a gateway answered another request, or none"
            if is_accepted:
                return Err(errors.HelperLostError(message))
            return Err(_silent(message))
        if result == hop.ANSWER and is_accepted:
            head = self._dialect.read_head(answer)
            return Ok(
                HandedAnswer(
                    exchange,
                    head._replace(
                        fields=_server_fields(answer, head.fields),
                        server=_server(answer),
                    ),
                    answer.header(hop.HELPER) or "",
                    _number(answer.header(hop.LOAD)),
                    _is_framed(answer),
                    _version_key(answer),
                )
            )
        if result == hop.ERROR and is_accepted:
            return Err(_request_error(exchange, answer))
        exchange.drain(_MESSAGE_TIMEOUT_S)
        return Err(_refusal_error(result))


def _request_error(
    exchange: _exchange.Exchange, answer: _answers.Answer
) -> errors.RequestError:
    body = exchange.read_all(_MESSAGE_TIMEOUT_S, _MESSAGE_LIMIT_BYTES)
    exchange.finish()
    message = body.unwrap_or(b"").decode(errors="replace")
    code = answer.header(hop.CODE) or ""
    outcome: errors.Outcome = (
        "not-run" if answer.header(hop.OUTCOME) == "not-run" else "unknown"
    )
    if code in _REQUEST_ERRORS:
        kind = _REQUEST_ERRORS[code]
    elif outcome == "not-run":
        kind = errors.OverloadedError
    else:
        kind = errors.BackEndLostError
    return kind(
        message or "the other gateway gave no reason",
        outcome=outcome,
        retry_after_s=_headers.retry_after_s(answer.header(hop.RETRY_AFTER_S)),
    )


def _refusal_error(result: str | None) -> errors.HelperRefusedError:
    refusals: dict[str | None, helpers.Refusal] = {
        hop.NO_PATH: "no-path",
        hop.BUSY: "busy",
    }
    return errors.HelperRefusedError(
        f"the other gateway did not take the request: {result}",
        refusal=refusals.get(result, "silent"),
    )


def _sending_error(
    helper: Helper, error: errors.EngineError
) -> errors.HelperRefusedError | errors.HelperLostError:
    if error.outcome == "not-run":
        return _silent(error.message)
    return errors.HelperLostError(f"{helper.address}: {error.message}")


def _silent(message: str) -> errors.HelperRefusedError:
    return errors.HelperRefusedError(message, refusal="silent")


def _server_fields(
    answer: _answers.Answer, fields: tuple[tuple[str, str], ...]
) -> tuple[tuple[str, str], ...]:
    """Returns the header fields of a relayed answer as the server sent them."""
    kept = tuple(
        (name, value)
        for name, value in fields
        if name != "content-length" and not name.startswith(hop.PREFIX)
    )
    length = answer.header(hop.CONTENT_LENGTH)
    return kept if length is None else (*kept, ("content-length", length))


def _version_key(
    answer: _answers.Answer,
) -> stream_version.VersionKey | None:
    text = answer.header(hop.VERSION_KEY)
    return int(text, 16) if text and _VERSION_KEY.fullmatch(text) else None


def _is_framed(answer: _answers.Answer) -> bool:
    """Returns whether the server marked the end of a relayed answer.

    A helper of an earlier build marks each end, whatever the server did.
    """
    return (
        answer.is_framed
        and hop.protocol_of(answer.header(hop.PROTOCOL))
        >= hop.PROTOCOL_WITH_ENDS
        and answer.header(hop.END) != hop.UNMARKED
    )


def _server(answer: _answers.Answer) -> fleet.ServerStart | None:
    server_id = answer.header(hop.SERVER_ID)
    if not server_id:
        return None
    started_ms = answer.header(hop.SERVER_STARTED_MS) or ""
    return fleet.ServerStart(server_id, stated_numbers.from_digits(started_ms))


def _number(text: str | None) -> float:
    return float(stated_numbers.from_digits(text or "") or 0)
