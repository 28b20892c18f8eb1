"""Sends role orders to engines and fetches their role reports.

A ``RoleWireFormat`` defines the format of both; ``before_send``
decides whether an order may be sent. An order is sent once, on a connection
that delivers no bytes after it was closed.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple, Protocol

from result import Err, Ok, Result

from mulberrywharf import _exchange, errors, fleet
from mulberrywharf.engines import orders

REPORT_TIMEOUT_S = 0.5
"""Timeout for fetching a role report. A live engine answers within
milliseconds."""

_REPORT_LIMIT_BYTES = 256 * 1024
_ACCEPTED_STATUSES = (200, 202)
_REFUSED_STATUSES = range(400, 500)
_BUSY_STATUS = 409
_STALE_STATUS = 412


class RoleOrder(NamedTuple):
    """An order that changes the role of an engine.

    Attributes:
        server: The run of the engine's process that gets the order.
        role: The new role.
        holder: Id of the VM that holds the authority to give role orders.
        number: Fencing number of the holder's lease.
        expected_count: Number of orders that the sender expects the engine to
            have accepted so far; the engine refuses the order if it differs.
    """

    server: fleet.Server
    role: fleet.Role
    holder: str
    number: int
    expected_count: int


class EngineReport(NamedTuple):
    """An engine's role report: its role and the work that it still has.

    It is fetched separately from the load report, ``fleet.LoadReport``.

    Attributes:
        role: Its current role.
        running_count: Number of requests that it processes.
        waiting_count: Number of requests in its queue.
        is_changing: Whether it is executing an order.
        accepted_count: Number of orders accepted since the process started.
        started_unix_ms: Start time of the process, see ``fleet.ServerStart``.
    """

    role: fleet.Role
    running_count: int
    waiting_count: int
    is_changing: bool
    accepted_count: int
    started_unix_ms: int | None = None


class RoleWireFormat(Protocol):
    """Wire format of role orders and role reports.

    Attributes:
        report_request: The request that fetches a role report.
        order_path: URL path to which orders are posted.
    """

    report_request: _exchange.Request
    order_path: str

    def encode_order(self, order: RoleOrder) -> tuple[bytes, Mapping[str, str]]:
        """Returns the body and header fields of an order."""
        ...

    def decode_report(
        self, server: fleet.Server, body: bytes
    ) -> Result[EngineReport, errors.EngineError]:
        """Parses a role report."""
        ...


class RoleClient:
    """Sends role orders to engines and fetches their role reports."""

    def __init__(self, wire_format: RoleWireFormat):
        self._wire_format = wire_format

    def report(
        self, server: fleet.Server
    ) -> Result[EngineReport, errors.EngineError]:
        """Fetches the role report of an engine."""
        fetched = _exchange.fetch(
            server.address,
            self._wire_format.report_request,
            timeout_s=REPORT_TIMEOUT_S,
            limit_bytes=_REPORT_LIMIT_BYTES,
        )
        if isinstance(fetched, Err):
            return fetched
        answer, body = fetched.ok_value
        if answer.status_code != 200:
            message = f"{server.address}: report status {answer.status_code}"
            return Err(errors.AnswerLostError(message))
        return self._wire_format.decode_report(server, body)

    def send(
        self,
        order: RoleOrder,
        *,
        user_timeout_s: float,
        before_send: Callable[[], None],
    ) -> Result[None, errors.EngineError | errors.AuthorityLostError]:
        """Sends an order once.

        Args:
            order: The order; the caller has already recorded it in the
                key-value service.
            user_timeout_s: How long sent bytes may stay unacknowledged, in
                seconds.
            before_send: Called right before the first byte is sent; raises
                AuthorityLostError to stop the order.

        Returns:
            None if the engine accepted the order; otherwise the same errors as
            ``orders.send_order``.
        """
        body, headers = self._wire_format.encode_order(order)
        answered = orders.post_once(
            order.server.address,
            self._wire_format.order_path,
            body,
            headers,
            user_timeout_s=user_timeout_s,
            before_send=before_send,
        )
        if isinstance(answered, Err):
            return answered
        return _check_status(order, answered.ok_value[0])


def _check_status(
    order: RoleOrder, status: int
) -> Result[None, errors.EngineError | errors.AuthorityLostError]:
    message = f"{order.server.address} returned status {status} to an order"
    if status in _ACCEPTED_STATUSES:
        return Ok(None)
    if status == _BUSY_STATUS:
        return Err(errors.EngineBusyError(message))
    if status == _STALE_STATUS:
        return Err(errors.StaleFencingNumberError(message))
    if status in _REFUSED_STATUSES:
        return Err(errors.OrderRefusedError(message))
    return Err(errors.OrderOutcomeUnknownError(message))
