"""Reads the admin listeners of nodes, for mulberryctl."""

from collections.abc import Sequence
from typing import NamedTuple

import gevent.pool
import pydantic
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError
from result import Err, Ok, Result

from mulberrywharf.errors import (
    AdminListenerError,
    MulberryError,
    NotAuthorisedError,
    OperatorError,
)
from mulberrywharf.fleet import Address
from mulberrywharf.operators.status import ADAPTER, StatusReport

DEFAULT_TIMEOUT_S = 3.0

_CONCURRENT_COUNT = 32
_LIMIT_BYTES = 16 * 1024 * 1024


class NodeAnswer(NamedTuple):
    """What one node said, or why it said nothing.

    Attributes:
        address: Its admin listener.
        report: Its status, or None.
        error: The failure, or None.
    """

    address: Address
    report: StatusReport | None
    error: MulberryError | None


def read_status(
    address: Address, token: str, timeout_s: float = DEFAULT_TIMEOUT_S
) -> Result[StatusReport, OperatorError]:
    """Reads the status of one node.

    Args:
        address: Its admin listener.
        token: The operator's token.
        timeout_s: For connecting and for the whole answer.
    """
    if not _fits_in_a_header(token):
        message = "the token holds characters that no header can carry"
        return Err(NotAuthorisedError(message))
    message = f"{address} did not answer in {timeout_s:g} s"
    try:
        with gevent.Timeout(timeout_s):
            return _exchange(address, token, timeout_s)
    except gevent.Timeout:
        return Err(AdminListenerError(message))
    except (OSError, HTTPParseError, ValueError) as error:
        return Err(AdminListenerError(f"{address}: {error}"))


def read_all(
    addresses: Sequence[Address],
    token: str,
    timeout_s: float = DEFAULT_TIMEOUT_S,
) -> list[NodeAnswer]:
    """Reads the status of several nodes at once, in their order."""

    def read(address: Address) -> NodeAnswer:
        found = read_status(address, token, timeout_s)
        if isinstance(found, Err):
            return NodeAnswer(address, None, found.err_value)
        return NodeAnswer(address, found.ok_value, None)

    pool = gevent.pool.Pool(_CONCURRENT_COUNT)
    return list(pool.map(read, addresses))


def _fits_in_a_header(token: str) -> bool:
    # Sent all the same, a token with a line end would make the client fail
    # as if the node did not answer, and the operator would look for a node
    # that is down.
    return token.isascii() and (token.isprintable() or not token)


def _exchange(
    address: Address, token: str, timeout_s: float
) -> Result[StatusReport, OperatorError]:
    client = HTTPClient(
        address.ip,
        address.port,
        connection_timeout=timeout_s,
        network_timeout=timeout_s,
    )
    try:
        response = client.request(
            "GET", "/status", headers={"authorization": f"Bearer {token}"}
        )
        body = bytes(response.read(_LIMIT_BYTES))
    finally:
        client.close()
    status = response.status_code
    if status == 401:
        return Err(NotAuthorisedError(f"{address} refuses the token"))
    if status != 200:
        return Err(AdminListenerError(f"{address} answered {status}"))
    try:
        return Ok(ADAPTER.validate_json(body))
    except pydantic.ValidationError as error:
        found = error.errors()[0]
        where = ".".join(map(str, found["loc"]))
        return Err(AdminListenerError(f"{address}: {where}: {found['msg']}"))
