"""Typed records of the key-value service and their base64 wire form."""

import base64
from collections.abc import Mapping
from typing import Any, Literal, NamedTuple


class KeyValue(NamedTuple):
    """One key as the service holds it.

    Attributes:
        key: Its name.
        value: At most 1 MB.
        create_revision: Revision that created it; rises with each new
            creation, so that it serves as a fencing number.
        mod_revision: Revision that last wrote it.
        lease_id: Lease that it lives under, 0 for none.
    """

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    lease_id: int = 0


class Guard(NamedTuple):
    """A key that must still have this ``mod_revision`` (0: not exist)."""

    key: str
    mod_revision: int


class ServiceState(NamedTuple):
    """Where the service stood when it answered.

    Attributes:
        revision: Its revision.
        cluster_id: Changes when the service is restored from a backup.
    """

    revision: int
    cluster_id: str


class WatchEvent(NamedTuple):
    """A change that a watch saw.

    Attributes:
        kind: ``put`` or ``delete``.
        key_value: The key; a deleted one has an empty value.
        is_restored: Whether it was found when the service was back from an
            older copy. Nobody has done that now: a put may be older than what
            was known, and a delete may be of a key that was lost.
    """

    kind: Literal["put", "delete"]
    key_value: KeyValue
    is_restored: bool = False


def encode(key: str) -> str:
    """Returns a key in the wire form."""
    return base64.b64encode(key.encode()).decode()


def prefix_end(prefix: str) -> str:
    """Returns the wire form of the first key behind all of a prefix."""
    data = bytearray(prefix.encode())
    data[-1] += 1
    return base64.b64encode(bytes(data)).decode()


def decode_key_value(kv: Mapping[str, Any]) -> KeyValue:
    """Reads a key-value record; absent numbers are 0 on the wire."""
    return KeyValue(
        base64.b64decode(kv["key"]).decode(),
        base64.b64decode(kv.get("value", "")),
        int(kv.get("create_revision", 0)),
        int(kv.get("mod_revision", 0)),
        int(kv.get("lease", 0)),
    )


def decode_header(answer: Mapping[str, Any]) -> ServiceState:
    """Reads the header that every answer of the service carries."""
    header = answer.get("header", {})
    return ServiceState(
        int(header.get("revision", 0)), str(header.get("cluster_id", ""))
    )
