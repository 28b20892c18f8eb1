"""Decodes and validates the records with which servers register themselves."""

import ipaddress
import math
import re
from collections.abc import Mapping
from typing import Any, TypeVar

import orjson
from result import Err, Ok, Result

from mulberrywharf import errors, fleet, stated_numbers

ROLES: Mapping[str, fleet.Role] = {"prefill": "prefill", "decode": "decode"}

_STATES_DRAINING = {"ready": False, "draining": True}
_MS_PER_S = 1000.0
_PORT_LIMIT = 65_535
_SERVER_ID = re.compile(r"[\x21-\x7e]{1,200}")
"""A server's id is sent in a header field of each request to it."""

_SLOTS_LIMIT_COUNT = 1_000_000
"""More slots than any server can have. A record with more was not written by a
server, and accepting it would send all requests to the server that it names."""


_Meaning = TypeVar("_Meaning")


class _FieldError(ValueError):
    """A field is missing or has an invalid value."""


def decode(
    server_id: str, value: bytes
) -> Result[fleet.Server, errors.StoredRecordError]:
    """Decodes the record of a server.

    Args:
        server_id: Id of the server, from the key of the record.
        value: The record as JSON.
    """
    try:
        fields = orjson.loads(value)
        if not _SERVER_ID.fullmatch(server_id) or not isinstance(fields, dict):
            raise _FieldError("it is not a JSON object under a server id")
        return Ok(_server(server_id, fields))
    except ValueError as error:
        message = f"the record of {server_id!r:.210} can't be used: {error}"
        return Err(errors.StoredRecordError(message))


def started_unix_ms(fields: Mapping[str, Any]) -> int | None:
    """Returns the start time that a server states, None if it states none.

    Raises:
        ValueError: The start time is invalid.
    """
    if "born" not in fields:
        # In some deployments no server states it. Whether a record may lack
        # it is decided elsewhere, by comparison with other records.
        return None
    return stated_numbers.count(fields["born"], "born", minimum=1)


def _server(server_id: str, fields: Mapping[str, Any]) -> fleet.Server:
    # These fields are not used. They are validated because a record with other
    # values was not written by a server.
    _integer(fields, "sequence", minimum=0, maximum=math.inf)
    _duration_ms(fields, "cold-remaining-ms")
    return fleet.Server(
        start=fleet.ServerStart(server_id, started_unix_ms(fields)),
        service=_string(fields, "service"),
        address=_address(_string(fields, "address")),
        availability_zone=_string(fields, "zone"),
        slots_count=_integer(
            fields, "slots", minimum=1, maximum=_SLOTS_LIMIT_COUNT
        ),
        is_draining=_enum_value(fields, "state", _STATES_DRAINING),
        # Only engines have a ``stage``, which is their role.
        role=_enum_value(fields, "stage", ROLES) if "stage" in fields else None,
        is_reclaimable=_optional_bool(fields, "spot"),
        leaves_in_s=_duration_ms(fields, "leaves_ms") / _MS_PER_S
        if "leaves_ms" in fields
        else None,
        software_version=_string(fields, "version"),
    )


def _string(fields: Mapping[str, Any], name: str) -> str:
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise _FieldError(f"invalid {name}: {value!r:.40}")
    return value


def _integer(
    fields: Mapping[str, Any], name: str, *, minimum: int, maximum: float
) -> int:
    value: Any = fields.get(name)
    if not _is_integer(value) or not minimum <= int(value) <= maximum:
        raise _FieldError(f"invalid {name}: {value!r:.40}")
    return int(value)


def _duration_ms(fields: Mapping[str, Any], name: str) -> float:
    value: Any = fields.get(name)
    is_number = _is_integer(value) or isinstance(value, float)
    if not is_number or not math.isfinite(value) or value < 0:
        raise _FieldError(f"invalid {name}: {value!r:.40}")
    return float(value)


def _optional_bool(fields: Mapping[str, Any], name: str) -> bool:
    value = fields.get(name, False)
    if not isinstance(value, bool):
        raise _FieldError(f"invalid {name}: {value!r:.40}")
    return value


def _is_integer(value: Any) -> bool:
    # In Python a bool is an int; in JSON it is not a number.
    return isinstance(value, int) and not isinstance(value, bool)


def _enum_value(
    fields: Mapping[str, Any], name: str, meanings: Mapping[str, _Meaning]
) -> _Meaning:
    value = _string(fields, name)
    if value not in meanings:
        raise _FieldError(f"invalid {name}: {value!r:.40}")
    return meanings[value]


def _address(text: str) -> fleet.Address:
    ip, _, port_text = text.rpartition(":")
    ipaddress.IPv4Address(ip)
    if not (port_text.isascii() and port_text.isdigit()):
        raise _FieldError(f"invalid address: {text!r:.40}")
    port = int(port_text)
    if not 0 < port <= _PORT_LIMIT:
        raise _FieldError(f"invalid address: {text!r:.40}")
    return fleet.Address(ip, port)
