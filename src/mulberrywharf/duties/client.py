"""Client for the operators' platform.

Only one gateway at a time may make these calls.

Each call is checked against the duty's lease right before its first byte is
sent. A ``DutyDialect`` encodes the calls.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple, Protocol

from result import Err, Ok, Result

from mulberrywharf import errors, fleet, metrics
from mulberrywharf.engines import orders

_STALE_FENCING_STATUS = 409
_TOO_MANY_CALLS_STATUS = 429
_OK_STATUSES = (200, 202)

_calls_total = metrics.counter(
    "mulberry_duty_calls_total",
    "Calls to the operators' platform, by duty and outcome.",
)


class UsageReport(NamedTuple):
    """Usage of all customers in one window.

    Attributes:
        window: Window number.
        counts: Started requests by customer.
    """

    window: int
    counts: Mapping[str, int]


class ServiceOrder(NamedTuple):
    """Number of engines of one kind that a service is to have in a zone.

    Attributes:
        service: Name of the service.
        availability_zone: The zone.
        is_reclaimable: Whether reclaimable engines are ordered.
        desired_count: Their absolute number.
    """

    service: str
    availability_zone: str
    is_reclaimable: bool
    desired_count: int


class DutyCall(NamedTuple):
    """An encoded call.

    Attributes:
        path: Request path.
        body: Encoded body.
        headers: Header fields, including the holder's name and fencing number.
    """

    path: str
    body: bytes
    headers: Mapping[str, str]


class HolderIdentity(NamedTuple):
    """Identifies the gateway that makes a call.

    Attributes:
        holder: Name of the gateway.
        number: Its fencing number.
    """

    holder: str
    number: int


class DutyDialect(Protocol):
    """Encodes calls for the operators' platform."""

    def encode_usage(
        self, report: UsageReport, identity: HolderIdentity
    ) -> DutyCall:
        """Returns the call that reports usage."""
        ...

    def encode_capacity(
        self, order: ServiceOrder, identity: HolderIdentity
    ) -> DutyCall:
        """Returns the call that orders engines."""
        ...


class DutyClient:
    """Sends each call on a separate connection."""

    def __init__(
        self,
        address: fleet.Address,
        dialect: DutyDialect,
        *,
        user_timeout_s: float,
        before_send: Callable[[], None],
    ):
        """Creates the client.

        Args:
            address: Address of the operators' platform.
            dialect: Encodes the calls.
            user_timeout_s: How long sent bytes may stay unacknowledged, in
                seconds; also the timeout of the connect and of each read.
            before_send: Raises AuthorityLostError if the call must not be
                sent.
        """
        self._address = address
        self._dialect = dialect
        self._user_timeout_s = user_timeout_s
        self._before_send = before_send

    def report_usage(
        self, report: UsageReport, identity: HolderIdentity
    ) -> Result[None, errors.MulberryError]:
        """Reports usage; sending an identical report again is safe.

        Returns:
            Nothing if the platform accepted the report;
            StaleFencingNumberError if another gateway has the duty; another
            error if the call may be retried. PlatformUnavailableError concerns
            the operators' platform here, and the key-value service or the VM
            list elsewhere.
        """
        return self._send("usage", self._dialect.encode_usage(report, identity))

    def order_engines(
        self, order: ServiceOrder, identity: HolderIdentity
    ) -> Result[None, errors.MulberryError]:
        """Orders engines; sending an identical order again is safe.

        Returns:
            Nothing if the platform accepted the order.
            ConflictingOrderError if another gateway has the duty or no such
            engines are available now, which the response does not tell apart.
            TooManyCallsError if the order was not accepted and may be sent
            again later. Another error if it may have been accepted.
        """
        sent = self._send(
            "capacity", self._dialect.encode_capacity(order, identity)
        )
        if isinstance(sent, Err) and isinstance(
            sent.err_value, errors.StaleFencingNumberError
        ):
            return Err(errors.ConflictingOrderError(sent.err_value.message))
        return sent

    def _send(
        self, duty: str, call: DutyCall
    ) -> Result[None, errors.MulberryError]:
        sent = orders.post_once(
            self._address,
            call.path,
            call.body,
            call.headers,
            user_timeout_s=self._user_timeout_s,
            before_send=self._before_send,
        )
        result = (
            sent
            if isinstance(sent, Err)
            else _interpret(call.path, sent.ok_value[0])
        )
        outcome = "ok" if isinstance(result, Ok) else result.err_value.code
        _calls_total.inc({"duty": duty, "outcome": outcome})
        return result


def _interpret(path: str, status: int) -> Result[None, errors.MulberryError]:
    if status in _OK_STATUSES:
        return Ok(None)
    message = f"{path} answered {status}"
    if status == _STALE_FENCING_STATUS:
        return Err(errors.StaleFencingNumberError(message))
    if status == _TOO_MANY_CALLS_STATUS:
        return Err(errors.TooManyCallsError(message))
    return Err(errors.PlatformUnavailableError(message))
