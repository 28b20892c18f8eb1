"""Sends one order to one engine, over a connection of its own.

The connection is made so that no byte of an order outlives the authority
behind it: see ``_OrderConnection``.
"""

import json
import socket
import struct
from collections.abc import Callable, Mapping
from typing import Any, Literal, NamedTuple

import geventhttpclient
from geventhttpclient import connectionpool, response
from result import Err, Ok, Result

from mulberrywharf import errors, fleet

OrderAction = Literal["set-role", "load-model", "drain", "resume"]

_ORDERS_PATH = "/orders"
_ACCEPTED_STATUSES = (200, 202)
_REFUSED_STATUSES = range(400, 500)
_BUSY = "busy"
_STALE = "stale-fencing-number"
_LINGER_ZERO = struct.pack("ii", 1, 0)
_JSON_HEADERS = {"content-type": "application/json"}


class Order(NamedTuple):
    """One order to one engine.

    Attributes:
        order_id: Repeating an id is harmless.
        fencing_number: Of the lease under which it is sent.
        action: What the engine shall do.
        role: For ``set-role``.
        model: For ``load-model``.
        adapter: For ``load-model``, or empty.
        version: For ``load-model``, or empty.
    """

    order_id: str
    fencing_number: int
    action: OrderAction
    role: str = ""
    model: str = ""
    adapter: str = ""
    version: str = ""

    def body(self) -> bytes:
        """Returns the JSON body of the order; empty fields are left out."""
        fields = {k: v for k, v in self._asdict().items() if v != ""}
        return json.dumps(fields).encode()


class OrderAccepted(NamedTuple):
    """The engine took the order on.

    Attributes:
        order_id: Of the order.
        state: What the engine says that it is doing now.
    """

    order_id: str
    state: str


OrderResult = Result[
    OrderAccepted, errors.EngineError | errors.AuthorityLostError
]


class _OrderConnection(connectionpool.ConnectionPool):
    """A connection whose bytes die with it.

    Without these options a partition that heals could deliver an order that
    was written before it, minutes after the authority has passed on; the
    engine would be seen to change without any order of the new holder.
    TCP_USER_TIMEOUT ends retransmission; linger 0 makes a close, or the
    kernel's close after a kill, drop what is still unsent.
    """

    def __init__(
        self,
        address: fleet.Address,
        *,
        user_timeout_s: float,
        before_send: Callable[[], None],
    ):
        super().__init__(
            address.ip,
            address.port,
            address.ip,
            address.port,
            size=1,
            connection_timeout=user_timeout_s,
            network_timeout=user_timeout_s,
        )
        self._user_timeout_ms = max(1, int(user_timeout_s * 1000))
        self._before_send = before_send
        self.was_connected = False

    def after_connect(self, sock: Any) -> None:
        """Sets the options, then checks the authority a last time.

        Connecting takes time; between here and the first byte nothing
        yields, so the check is as late as a check can be.
        """
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, self._user_timeout_ms
        )
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
        self._before_send()
        self.was_connected = True


class _OrderClient(geventhttpclient.HTTPClient):
    """An HTTP client for one request on an ``_OrderConnection``."""

    def __init__(self, address: fleet.Address, connection: _OrderConnection):
        super().__init__(address.ip, address.port)
        self._connection_pool = connection


def send_order(
    address: fleet.Address,
    order: Order,
    *,
    user_timeout_s: float,
    before_send: Callable[[], None],
) -> OrderResult:
    """Sends one order and waits for the engine's answer.

    Args:
        address: Where the engine takes orders.
        order: The recorded order.
        user_timeout_s: How long its bytes may live unacknowledged; also the
            bound on connecting and on each wait for the answer.
        before_send: Called right before the first byte leaves; raises
            AuthorityLostError to stop the order.

    Returns:
        The engine's acceptance, or: AuthorityLostError and
        EngineUnreachableError when no byte left, OrderRefusedError when the
        engine refused, OrderOutcomeUnknownError when nobody knows.
    """
    answered = deliver(
        address,
        _ORDERS_PATH,
        order.body(),
        _JSON_HEADERS,
        user_timeout_s=user_timeout_s,
        before_send=before_send,
    )
    if isinstance(answered, Err):
        return answered
    return _interpret(order, *answered.ok_value)


def deliver(
    address: fleet.Address,
    path: str,
    body: bytes,
    headers: Mapping[str, str],
    *,
    user_timeout_s: float,
    before_send: Callable[[], None],
) -> Result[tuple[int, bytes], errors.EngineError | errors.AuthorityLostError]:
    """Posts the body of an order once, and waits for the answer.

    Args:
        address: Where the engine takes orders.
        path: The path that it takes them at.
        body: The order, encoded.
        headers: Its header fields.
        user_timeout_s: See ``send_order``.
        before_send: See ``send_order``.

    Returns:
        Status and body of the answer; AuthorityLostError and
        EngineUnreachableError when no byte left, OrderOutcomeUnknownError
        when nobody knows.
    """
    connection = _OrderConnection(
        address, user_timeout_s=user_timeout_s, before_send=before_send
    )
    client = _OrderClient(address, connection)
    try:
        answer = client.post(path, body, dict(headers))
        return Ok((answer.status_code, answer.read()))
    except errors.AuthorityLostError as error:
        return Err(error)
    except (OSError, response.HTTPParseError) as error:
        return Err(_lost(address, connection.was_connected, error))
    finally:
        client.close()


def _lost(
    address: fleet.Address, was_connected: bool, error: Exception
) -> errors.EngineError:
    if was_connected:
        return errors.OrderOutcomeUnknownError(f"order to {address}: {error}")
    return errors.EngineUnreachableError(f"{address}: {error}")


def _interpret(order: Order, status: int, body: bytes) -> OrderResult:
    fields = _fields(body)
    if status in _ACCEPTED_STATUSES:
        state = str(fields.get("state", ""))
        return Ok(OrderAccepted(order.order_id, state))
    kind = str(fields.get("type", ""))
    if status not in _REFUSED_STATUSES:
        return Err(
            errors.OrderOutcomeUnknownError(
                f"order {order.order_id}: status {status}"
            )
        )
    if kind == _BUSY:
        return Err(errors.EngineBusyError(f"order {order.order_id}"))
    if kind == _STALE:
        return Err(
            errors.StaleFencingNumberError(
                f"order {order.order_id}: {order.fencing_number} is old"
            )
        )
    return Err(
        errors.OrderRefusedError(f"order {order.order_id}: {status} {kind}")
    )


def _fields(body: bytes) -> dict[str, Any]:
    try:
        fields = json.loads(body)
    except ValueError:
        return {}
    return fields if isinstance(fields, dict) else {}
