"""Reads one engine's own word about itself."""

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
_ADAPTER = pydantic.TypeAdapter(fleet.LoadReport)


def read_load(
    address: fleet.Address, *, timeout_s: float
) -> Result[fleet.LoadReport, errors.EngineError]:
    """Asks an engine for its load report, over a connection of its own.

    Args:
        address: Where the engine answers.
        timeout_s: Bound on connecting and on each wait for bytes.

    Returns:
        The report, or EngineUnreachableError when none could be had.
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
                    f"{address}: load answered {answer.status_code}"
                )
            )
        return parse_load(body)
    except (OSError, response.HTTPParseError) as error:
        return Err(errors.EngineUnreachableError(f"{address}: {error}"))
    finally:
        client.close()


def parse_load(body: bytes) -> Result[fleet.LoadReport, errors.EngineError]:
    """Reads a load report from JSON; unknown fields are ignored."""
    try:
        fields: dict[str, Any] = json.loads(body)
        known = {k: fields[k] for k in fleet.LoadReport._fields if k in fields}
        return Ok(_ADAPTER.validate_python(known))
    except (ValueError, TypeError) as error:
        return Err(errors.EngineUnreachableError(f"bad load report: {error}"))
