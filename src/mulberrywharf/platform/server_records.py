"""The records in which servers register themselves, read strictly."""

import ipaddress
import math
from collections.abc import Mapping
from typing import Any, TypeVar

import orjson
from result import Err, Ok, Result

from mulberrywharf import errors, fleet

ROLES: Mapping[str, fleet.Role] = {"prefill": "prefill", "decode": "decode"}

_STATES_DRAINING = {"ready": False, "draining": True}
_PORT_LIMIT = 65_535
_COUNT_LIMIT = 1_000_000
"""Above every number of slots that a server can have; a record beyond it is no
server's, and would draw all work to the server that it names."""


_Meaning = TypeVar("_Meaning")


class _FieldError(ValueError):
    """A field is missing, or is not what it has to be."""


def decode(
    server_id: str, value: bytes
) -> Result[fleet.Server, errors.StoredRecordError]:
    """Reads the record of a server.

    Args:
        server_id: From the record's key.
        value: The record, JSON.
    """
    try:
        fields = orjson.loads(value)
        if not server_id or not isinstance(fields, dict):
            raise _FieldError("it is no object with a name")
        return Ok(_server(server_id, fields))
    except ValueError as error:
        message = f"the record of {server_id!r} can't be used: {error}"
        return Err(errors.StoredRecordError(message))


def started_unix_ms(fields: Mapping[str, Any]) -> int | None:
    """Returns the start that a server tells of itself, None if it does not.

    Raises:
        ValueError: What it tells is no start.
    """
    if "born" not in fields:
        # Not every deployment's servers tell it; whether a record may lack it
        # is seen where there are others to compare it with.
        return None
    born = fields["born"]
    if not _is_whole(born) or born <= 0:
        raise _FieldError(f"born is {born!r:.40}")
    return int(born)


def _server(server_id: str, fields: Mapping[str, Any]) -> fleet.Server:
    # Checked although nothing uses them: who writes another ``sequence`` or
    # ``version`` is no server.
    _text(fields, "version")
    _whole(fields, "sequence", least=0)
    _wait(fields, "cold-remaining-ms")
    return fleet.Server(
        start=fleet.ServerStart(server_id, started_unix_ms(fields)),
        service=_text(fields, "service"),
        address=_address(_text(fields, "address")),
        availability_zone=_text(fields, "zone"),
        slots_count=_whole(fields, "slots", least=1),
        is_draining=_one_of(fields, "state", _STATES_DRAINING),
        # Only engines have a stage; it is their role.
        role=_one_of(fields, "stage", ROLES) if "stage" in fields else None,
    )


def _text(fields: Mapping[str, Any], name: str) -> str:
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise _FieldError(f"{name} is {value!r:.40}")
    return value


def _whole(fields: Mapping[str, Any], name: str, *, least: int) -> int:
    value: Any = fields.get(name)
    if not _is_whole(value) or not least <= int(value) <= _COUNT_LIMIT:
        raise _FieldError(f"{name} is {value!r:.40}")
    return int(value)


def _wait(fields: Mapping[str, Any], name: str) -> None:
    value: Any = fields.get(name)
    is_number = _is_whole(value) or isinstance(value, float)
    if not is_number or not math.isfinite(value) or value < 0:
        raise _FieldError(f"{name} is {value!r:.40}")


def _is_whole(value: Any) -> bool:
    # A bool is an int in Python, and none in JSON.
    return isinstance(value, int) and not isinstance(value, bool)


def _one_of(
    fields: Mapping[str, Any], name: str, meanings: Mapping[str, _Meaning]
) -> _Meaning:
    value = _text(fields, name)
    if value not in meanings:
        raise _FieldError(f"{name} is {value!r:.40}")
    return meanings[value]


def _address(text: str) -> fleet.Address:
    ip, _, port_text = text.rpartition(":")
    ipaddress.IPv4Address(ip)
    if not (port_text.isascii() and port_text.isdigit()):
        raise _FieldError(f"address is {text!r:.40}")
    port = int(port_text)
    if not 0 < port <= _PORT_LIMIT:
        raise _FieldError(f"address is {text!r:.40}")
    return fleet.Address(ip, port)
