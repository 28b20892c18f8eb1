"""Types of the key-value client, and etcd's base64 encoding of them."""

import base64
from collections.abc import Mapping
from typing import Any, Literal, NamedTuple

from mulberrywharf import stated_numbers


class KeyValue(NamedTuple):
    """A key with its value and revisions.

    Attributes:
        key: Name of the key.
        value: Value, at most 1 MB.
        create_revision: Revision at which the key was created. It increases
            with each creation, so it serves as a fencing number.
        mod_revision: Revision of the last write.
        lease_id: Lease whose expiry deletes the key; 0 for none.
    """

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    lease_id: int = 0


class Guard(NamedTuple):
    """Condition of a write: the key has this revision.

    Attributes:
        key: Name of the key.
        mod_revision: Expected revision of the last write; 0 if the key must
            not exist.
    """

    key: str
    mod_revision: int


class ServiceState(NamedTuple):
    """State of the service when it sent a response.

    Attributes:
        revision: Revision of the service.
        cluster_id: Changes when the service is restored from a backup.
    """

    revision: int
    cluster_id: str


class WatchEvent(NamedTuple):
    """A change reported by a watch.

    Attributes:
        kind: ``put`` or ``delete``.
        key_value: The key; its value is empty for a deletion.
        is_restored: Whether the difference was found after the service was
            restored from an older copy. It is then not a change made by a
            client: a put may be older than the last reported value, and a
            delete may be of a key that the restore lost.
    """

    kind: Literal["put", "delete"]
    key_value: KeyValue
    is_restored: bool = False


def encode_key(key: str) -> str:
    """Returns a key encoded for the wire."""
    return base64.b64encode(key.encode()).decode()


def encode_prefix_end(prefix: str) -> str:
    """Returns the encoded exclusive end of the range of keys with a prefix."""
    data = bytearray(prefix.encode())
    data[-1] += 1
    return base64.b64encode(bytes(data)).decode()


def decode_key_value(kv: Mapping[str, Any]) -> KeyValue:
    """Decodes a key-value record; etcd omits numbers that are 0."""
    return KeyValue(
        base64.b64decode(kv["key"]).decode(),
        base64.b64decode(kv.get("value", "")),
        stated_numbers.count_or_text(
            kv.get("create_revision", 0), "create_revision"
        ),
        stated_numbers.count_or_text(kv.get("mod_revision", 0), "mod_revision"),
        stated_numbers.count_or_text(kv.get("lease", 0), "lease"),
    )


def decode_header(answer: Mapping[str, Any]) -> ServiceState:
    """Decodes the header that every response of etcd contains."""
    header = answer.get("header", {})
    return ServiceState(
        stated_numbers.count_or_text(header.get("revision", 0), "revision"),
        str(header.get("cluster_id", "")),
    )
