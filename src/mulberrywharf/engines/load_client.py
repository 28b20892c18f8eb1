"""Fetches the load report of one engine over a new connection.

``load_reader`` polls engines over kept connections instead.
"""

import json
from typing import Any

import geventhttpclient
import pydantic
from geventhttpclient import response
from result import Err, Ok, Result

from mulberrywharf import errors, fleet

_LOAD_PATH = "/load"
_OK_STATUS = 200
_BODY_LIMIT_BYTES = 1 << 20
_REPORT_ADAPTER = pydantic.TypeAdapter(fleet.LoadReport)


def read_load(
    address: fleet.Address, *, timeout_s: float
) -> Result[fleet.LoadReport, errors.EngineError]:
    """Fetches an engine's load report over a new connection.

    Args:
        address: The engine's address.
        timeout_s: Timeout of the connect and of each read, in seconds.

    Returns:
        The report, or EngineUnreachableError for every failure: no
        connection or a lost one, an unsuccessful status, a malformed report.
    """
    client = geventhttpclient.HTTPClient(
        address.ip,
        address.port,
        connection_timeout=timeout_s,
        network_timeout=timeout_s,
    )
    try:
        answer = client.get(_LOAD_PATH)
        body = answer.read(_BODY_LIMIT_BYTES)
        if answer.status_code != _OK_STATUS:
            return Err(
                errors.EngineUnreachableError(
                    f"{address}: /load returned status {answer.status_code}"
                )
            )
        return parse_load(body)
    except (OSError, response.HTTPParseError) as error:
        return Err(errors.EngineUnreachableError(f"{address}: {error}"))
    finally:
        client.close()


def parse_load(body: bytes) -> Result[fleet.LoadReport, errors.EngineError]:
    """Parses a load report from JSON and ignores unknown fields.

    Unlike ``load_reader.parse_report``, it accepts negative and non-finite
    figures and returns EngineUnreachableError for a malformed report.
    """
    try:
        fields: dict[str, Any] = json.loads(body)
        known = {k: fields[k] for k in fleet.LoadReport._fields if k in fields}
        return Ok(_REPORT_ADAPTER.validate_python(known))
    except (ValueError, TypeError) as error:
        return Err(
            errors.EngineUnreachableError(f"malformed load report: {error}")
        )
