"""Fetches the load report of one engine over a new connection.

``load_reader`` polls engines over kept connections instead.
"""

from result import Err, Result

from mulberrywharf import _exchange, errors, fleet
from mulberrywharf.engines import load_reader

_LOAD_PATH = "/load"
_OK_STATUS = 200
_BODY_LIMIT_BYTES = 1 << 20


def read_load(
    address: fleet.Address, *, timeout_s: float
) -> Result[fleet.LoadReport, errors.EngineError]:
    """Fetches an engine's load report over a new connection.

    Args:
        address: The engine's address.
        timeout_s: Timeout of the connect, and again of the whole answer, in
            seconds.

    Returns:
        The report, or EngineUnreachableError for every failure: no
        connection or a lost one, an unsuccessful status, a malformed report.
    """
    fetched = _exchange.fetch(
        address,
        _exchange.Request("GET", _LOAD_PATH),
        timeout_s=timeout_s,
        limit_bytes=_BODY_LIMIT_BYTES,
    )
    if isinstance(fetched, Err):
        message = f"{address}: {fetched.err_value.message}"
        return Err(errors.EngineUnreachableError(message))
    answer, body = fetched.ok_value
    if answer.status_code != _OK_STATUS:
        return Err(
            errors.EngineUnreachableError(
                f"{address}: /load returned status {answer.status_code}"
            )
        )
    return parse_load(body)


def parse_load(body: bytes) -> Result[fleet.LoadReport, errors.EngineError]:
    """Parses a load report from JSON, as ``load_reader.parse_report`` does.

    Returns:
        The report, or EngineUnreachableError for a malformed one.
    """
    return load_reader.parse_report(body).map_err(
        lambda error: errors.EngineUnreachableError(error.message)
    )
