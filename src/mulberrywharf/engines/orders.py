"""Sends one order to one engine over a new connection.

``_OrderConnection`` makes sure that no byte of an order reaches the engine
after the sender has lost its authority to give orders.
"""

import json
import socket
from collections.abc import Callable, Mapping
from typing import Any, Literal, NamedTuple

import geventhttpclient
import orjson
from geventhttpclient import connectionpool, response
from result import Err, Ok, Result

from mulberrywharf import _answer_bounds, _connections, errors, fleet

OrderAction = Literal["set-role", "load-model", "drain", "resume"]

_ORDERS_PATH = "/orders"
_ACCEPTED_STATUSES = (200, 202)
_REFUSED_STATUSES = range(400, 500)
_BUSY = "busy"
_STALE = "stale-fencing-number"
_JSON_HEADERS = {"content-type": "application/json"}
_ANSWER_LIMIT_BYTES = 1 << 20


class Order(NamedTuple):
    """One order to one engine.

    Attributes:
        order_id: Unique id; sending the same id again has no further effect.
        fencing_number: Fencing number of the lease under which it is sent.
        action: The action that the engine must perform.
        role: The new role, for ``set-role``.
        model: The model to load, for ``load-model``.
        adapter: The adapter to load, for ``load-model``; may be empty.
        version: The model version, for ``load-model``; may be empty.
    """

    order_id: str
    fencing_number: int
    action: OrderAction
    role: str = ""
    model: str = ""
    adapter: str = ""
    version: str = ""

    def body(self) -> bytes:
        """Returns the order as JSON without its empty fields."""
        fields = {k: v for k, v in self._asdict().items() if v != ""}
        return json.dumps(fields).encode()


class OrderAccepted(NamedTuple):
    """The engine accepted the order.

    Attributes:
        order_id: Id of the order.
        state: The engine's state after accepting it, or empty if not reported.
    """

    order_id: str
    state: str


OrderResult = Result[
    OrderAccepted, errors.EngineError | errors.AuthorityLostError
]


class _OrderConnection(connectionpool.ConnectionPool):
    """A connection that delivers no bytes after it was closed or timed out.

    With default socket options, the kernel could deliver an order minutes
    later, once a network partition heals. By then another node may hold the
    authority, and the engine would carry out an order that the new holder did
    not give.
    TCP_USER_TIMEOUT limits retransmission. SO_LINGER with timeout 0 discards
    unsent data when the socket is closed, also when the process is killed.
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

    def _create_tcp_socket(
        self, family: int, socktype: int, protocol: int
    ) -> Any:
        return _answer_bounds.BoundedSocket(
            family,
            socktype,
            protocol,
            bounds=_answer_bounds.Bounds(
                _ANSWER_LIMIT_BYTES, self.network_timeout
            ),
        )

    def after_connect(self, sock: Any) -> None:
        """Sets the socket options, then calls ``before_send``.

        Connecting takes time, in which the authority may be lost.
        ``before_send`` checks it as late as possible: no greenlet switch occurs
        between it and the first byte.
        """
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, self._user_timeout_ms
        )
        _connections.reset_on_close(sock)
        self._before_send()
        self.was_connected = True


class _OrderClient(geventhttpclient.HTTPClient):
    """An HTTP client that sends one request on an ``_OrderConnection``."""

    def __init__(self, address: fleet.Address, connection: _OrderConnection):
        super().__init__(
            address.ip,
            address.port,
            headers_type=_answer_bounds.BoundedHeaders,
        )
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
        address: The engine's address for orders.
        order: The order; the caller has already written its order record.
        user_timeout_s: How long sent bytes may stay unacknowledged, in seconds;
            also the timeout of the connect and of each read.
        before_send: Called right before the first byte is sent; raises
            AuthorityLostError to stop the order.

    Returns:
        The engine's acceptance; AuthorityLostError or EngineUnreachableError
        if no byte was sent; OrderRefusedError, or a more specific error, if the
        engine refused the order; OrderOutcomeUnknownError if it is unknown
        whether the engine accepted it.
    """
    answered = post_once(
        address,
        _ORDERS_PATH,
        order.body(),
        _JSON_HEADERS,
        user_timeout_s=user_timeout_s,
        before_send=before_send,
    )
    if isinstance(answered, Err):
        return answered
    return _parse_answer(order, *answered.ok_value)


def post_once(
    address: fleet.Address,
    path: str,
    body: bytes,
    headers: Mapping[str, str],
    *,
    user_timeout_s: float,
    before_send: Callable[[], None],
) -> Result[tuple[int, bytes], errors.EngineError | errors.AuthorityLostError]:
    """Posts an encoded order once and waits for the answer.

    Args:
        address: The address to send it to.
        path: The path to post it to.
        body: The encoded order.
        headers: Header fields of the request.
        user_timeout_s: See ``send_order``.
        before_send: See ``send_order``.

    Returns:
        Status and body of the answer; AuthorityLostError or
        EngineUnreachableError if no byte was sent; OrderOutcomeUnknownError if
        the order may have been delivered but no answer was received.
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
        return Err(_delivery_error(address, connection.was_connected, error))
    finally:
        client.close()


def _delivery_error(
    address: fleet.Address, was_connected: bool, error: Exception
) -> errors.EngineError:
    if was_connected:
        return errors.OrderOutcomeUnknownError(f"order to {address}: {error}")
    return errors.EngineUnreachableError(f"{address}: {error}")


def _parse_answer(order: Order, status: int, body: bytes) -> OrderResult:
    fields = _parse_fields(body)
    if status in _ACCEPTED_STATUSES:
        state = str(fields.get("state", ""))
        return Ok(OrderAccepted(order.order_id, state))
    reason = str(fields.get("type", ""))
    if status not in _REFUSED_STATUSES:
        return Err(
            errors.OrderOutcomeUnknownError(
                f"order {order.order_id}: unexpected status {status}"
            )
        )
    if reason == _BUSY:
        return Err(errors.EngineBusyError(f"order {order.order_id}"))
    if reason == _STALE:
        return Err(
            errors.StaleFencingNumberError(
                f"order {order.order_id}: fencing number"
                f" {order.fencing_number} is stale"
            )
        )
    return Err(
        errors.OrderRefusedError(f"order {order.order_id}: {status} {reason}")
    )


def _parse_fields(body: bytes) -> dict[str, Any]:
    try:
        fields = orjson.loads(body)
    except ValueError:
        return {}
    return fields if isinstance(fields, dict) else {}
