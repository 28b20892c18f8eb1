"""Orders that change an engine's role, and what an engine says of itself.

How both are written is the dialect's; whether an order may leave is the
authority's. Here an order is written once, on a connection whose bytes die
with it.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple, Protocol

from result import Err, Ok, Result

from mulberrywharf import _exchange, errors, fleet
from mulberrywharf.engines import orders

REPORT_TIMEOUT_S = 0.5
"""An engine that is alive reports within milliseconds."""

_REPORT_LIMIT_BYTES = 256 * 1024
_ACCEPTED_STATUSES = (200, 202)
_REFUSED_STATUSES = range(400, 500)
_BUSY_STATUS = 409
_STALE_STATUS = 412


class RoleOrder(NamedTuple):
    """One order to one start of one engine.

    Attributes:
        server: The engine.
        role: The role that it shall play.
        holder: Who orders.
        number: The fencing number.
        expected_count: Orders that it has accepted before; it refuses the
            order if there were others meanwhile.
    """

    server: fleet.Server
    role: fleet.Role
    holder: str
    number: int
    expected_count: int


class EngineReport(NamedTuple):
    """What an engine says of itself.

    Attributes:
        role: The role that it plays.
        running_count: Requests that it works on.
        waiting_count: Requests in its queue.
        is_changing: Whether it carries out an order.
        accepted_count: Orders that it has accepted since its start.
        started_unix_ms: Its start, see ``fleet.ServerStart``.
    """

    role: fleet.Role
    running_count: int
    waiting_count: int
    is_changing: bool
    accepted_count: int
    started_unix_ms: int | None = None


class RoleDialect(Protocol):
    """How engines are ordered and asked."""

    report_request: _exchange.Request
    order_path: str

    def encode_order(self, order: RoleOrder) -> tuple[bytes, Mapping[str, str]]:
        """Returns the body and the header fields of an order."""
        ...

    def decode_report(
        self, server: fleet.Server, body: bytes
    ) -> Result[EngineReport, errors.EngineError]:
        """Reads a report."""
        ...


class RoleClient:
    """Speaks to engines about their roles."""

    def __init__(self, dialect: RoleDialect):
        self._dialect = dialect

    def report(
        self, server: fleet.Server
    ) -> Result[EngineReport, errors.EngineError]:
        """Asks an engine how it is."""
        fetched = _exchange.fetch(
            server.address,
            self._dialect.report_request,
            timeout_s=REPORT_TIMEOUT_S,
            limit_bytes=_REPORT_LIMIT_BYTES,
        )
        if isinstance(fetched, Err):
            return fetched
        answer, body = fetched.ok_value
        if answer.status_code != 200:
            message = f"{server.address} reported {answer.status_code}"
            return Err(errors.AnswerLostError(message))
        return self._dialect.decode_report(server, body)

    def send(
        self,
        order: RoleOrder,
        *,
        user_timeout_s: float,
        before_send: Callable[[], None],
    ) -> Result[None, errors.EngineError | errors.AuthorityLostError]:
        """Sends an order once.

        Args:
            order: The order, which is recorded already.
            user_timeout_s: How long its bytes may live unacknowledged.
            before_send: Called right before the first byte leaves; raises
                AuthorityLostError to stop the order.

        Returns:
            Nothing if the engine took it on, or as ``orders.send_order``.
        """
        body, headers = self._dialect.encode_order(order)
        answered = orders.deliver(
            order.server.address,
            self._dialect.order_path,
            body,
            headers,
            user_timeout_s=user_timeout_s,
            before_send=before_send,
        )
        if isinstance(answered, Err):
            return answered
        return _interpret(order, answered.ok_value[0])


def _interpret(
    order: RoleOrder, status: int
) -> Result[None, errors.EngineError | errors.AuthorityLostError]:
    told = f"{order.server.address} answered {status} to an order"
    if status in _ACCEPTED_STATUSES:
        return Ok(None)
    if status == _BUSY_STATUS:
        return Err(errors.EngineBusyError(told))
    if status == _STALE_STATUS:
        return Err(errors.StaleFencingNumberError(told))
    if status in _REFUSED_STATUSES:
        return Err(errors.OrderRefusedError(told))
    return Err(errors.OrderOutcomeUnknownError(told))
