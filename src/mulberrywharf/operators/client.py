"""Reads status reports from the admin listeners of nodes, for mulberryctl.

A node here is a router or a controller process.
"""

from collections.abc import Sequence
from typing import NamedTuple

import gevent.pool
import pydantic
from result import Err, Ok, Result

from mulberrywharf import _exchange
from mulberrywharf.errors import (
    AdminListenerError,
    MulberryError,
    NotAuthorisedError,
    OperatorError,
)
from mulberrywharf.fleet import Address
from mulberrywharf.operators.status import REPORT_ADAPTER, StatusReport

DEFAULT_TIMEOUT_S = 3.0

_CONCURRENT_READS_LIMIT_COUNT = 32
_BODY_LIMIT_BYTES = 16 * 1024 * 1024


class NodeAnswer(NamedTuple):
    """The result of reading the status report of one node.

    Also stands for a node that did not answer.

    Attributes:
        address: Address of the node's admin listener.
        report: The status report, or None if reading it failed.
        error: The failure, or None.
    """

    address: Address
    report: StatusReport | None
    error: MulberryError | None


def read_status(
    address: Address, token: str, timeout_s: float = DEFAULT_TIMEOUT_S
) -> Result[StatusReport, OperatorError]:
    """Reads the status report of one node.

    Args:
        address: Address of the node's admin listener.
        token: Token of the operator.
        timeout_s: Timeout, in seconds, for the whole read, including the
            connect.
    """
    if not _is_valid_in_a_header(token):
        message = "the token holds characters that no header can carry"
        return Err(NotAuthorisedError(message))
    message = f"{address} did not answer in {timeout_s:g} s"
    try:
        with gevent.Timeout(timeout_s):
            return _fetch_status(address, token, timeout_s)
    except gevent.Timeout:
        return Err(AdminListenerError(message))
    except ValueError as error:
        return Err(AdminListenerError(f"{address}: {error}"))


def read_all(
    addresses: Sequence[Address],
    token: str,
    timeout_s: float = DEFAULT_TIMEOUT_S,
) -> list[NodeAnswer]:
    """Reads the status reports of several nodes concurrently.

    Returns:
        One result for each address, in the order of the addresses.
    """

    def read(address: Address) -> NodeAnswer:
        read_report = read_status(address, token, timeout_s)
        if isinstance(read_report, Err):
            return NodeAnswer(address, None, read_report.err_value)
        return NodeAnswer(address, read_report.ok_value, None)

    pool = gevent.pool.Pool(_CONCURRENT_READS_LIMIT_COUNT)
    return list(pool.map(read, addresses))


def _is_valid_in_a_header(token: str) -> bool:
    # With a line break in the token, the HTTP client would fail as if the node
    # did not answer, and the operator would wrongly take the node to be down.
    return token.isascii() and (token.isprintable() or not token)


def _fetch_status(
    address: Address, token: str, timeout_s: float
) -> Result[StatusReport, OperatorError]:
    fetched = _exchange.fetch(
        address,
        _exchange.Request(
            "GET", "/status", {"authorization": f"Bearer {token}"}
        ),
        timeout_s=timeout_s,
        limit_bytes=_BODY_LIMIT_BYTES,
    )
    if isinstance(fetched, Err):
        message = f"{address}: {fetched.err_value.message}"
        return Err(AdminListenerError(message))
    answer, body = fetched.ok_value
    http_status = answer.status_code
    if http_status == 401:
        return Err(NotAuthorisedError(f"{address} refuses the token"))
    if http_status != 200:
        return Err(AdminListenerError(f"{address} answered {http_status}"))
    try:
        return Ok(REPORT_ADAPTER.validate_json(body))
    except pydantic.ValidationError as error:
        first_error = error.errors()[0]
        where = ".".join(map(str, first_error["loc"]))
        return Err(
            AdminListenerError(f"{address}: {where}: {first_error['msg']}")
        )
