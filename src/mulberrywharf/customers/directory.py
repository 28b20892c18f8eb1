"""Maps keys to customers.

The directory holds only digests of the keys of a configuration, and log
messages show only the first digits of a digest.
"""

import hashlib
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from mulberrywharf import errors

KEY_LIMIT_BYTES = 8_192
"""Maximum size of a key in a configuration."""

_DIGEST_BYTES = 16
_FINGERPRINT_DIGITS = 8


class KeyDigest(bytes):
    """The digest of a key: the first bytes of its SHA-256 hash.

    The text form shows only the first digits, so logs do not contain the whole
    digest.
    """

    def __repr__(self) -> str:
        """Returns ``key`` and the first hexadecimal digits of the digest."""
        return f"key {self.hex()[:_FINGERPRINT_DIGITS]}"

    __str__ = __repr__


def digest(key: bytes) -> KeyDigest:
    """Returns the digest by which a key is looked up."""
    return KeyDigest(hashlib.sha256(key).digest()[:_DIGEST_BYTES])


class Customer(NamedTuple):
    """A customer of the operators.

    Attributes:
        name: Name that is sent to backend servers.
        priority: Overrides the priority of the route, 0 is the highest; None
            to use that of the route.
    """

    name: str
    priority: int | None = None


class CustomerKeys(NamedTuple):
    """A customer and its keys, as listed in a configuration.

    Attributes:
        customer: The customer.
        keys: Its valid keys in plain text; empty if all were revoked.
    """

    customer: Customer
    keys: Sequence[str]


class CustomerDirectory:
    """All customers in one version of the configuration."""

    def __init__(
        self, by_digest: Mapping[bytes, Customer], customers_count: int
    ):
        self._by_digest = by_digest
        self.customers_count = customers_count

    @classmethod
    def from_config(
        cls, customers: Iterable[CustomerKeys]
    ) -> "CustomerDirectory":
        """Indexes the keys of a valid configuration.

        Args:
            customers: All customers; ``find_faults`` must return none.
        """
        by_digest: dict[bytes, Customer] = {}
        names = set()
        for customer, keys in customers:
            names.add(customer.name)
            by_digest.update((digest(key.encode()), customer) for key in keys)
        return cls(by_digest, len(names))

    def find(self, key_digest: bytes) -> Customer | None:
        """Returns the customer that holds a key, None if it is unknown."""
        return self._by_digest.get(key_digest)


def find_faults(customers: Iterable[CustomerKeys]) -> list[errors.Fault]:
    """Validates a list of customers.

    Faults are logged, so their messages never contain a key.
    """
    faults = []
    holders: dict[bytes, str] = {}
    names: set[str] = set()
    for customer_index, (customer, keys) in enumerate(customers):
        path = f"customers[{customer_index}]"
        if not customer.name or customer.name in names:
            faults.append(
                errors.Fault(
                    f"{path}.name",
                    f"{customer.name!r} is empty or a duplicate",
                    "give each customer one entry with a unique name",
                )
            )
        names.add(customer.name)
        faults += _priority_faults(path, customer.priority)
        for key_index, key in enumerate(keys):
            faults += _key_faults(f"{path}.keys[{key_index}]", key)
            holder = holders.setdefault(digest(key.encode()), customer.name)
            if holder != customer.name:
                faults.append(
                    errors.Fault(
                        f"{path}.keys[{key_index}]",
                        f"customer {holder!r} holds the same key",
                        "use each key for one customer only",
                    )
                )
    return faults


def _priority_faults(path: str, priority: int | None) -> list[errors.Fault]:
    if priority is None or priority >= 0:
        return []
    return [
        errors.Fault(
            f"{path}.priority",
            f"priority {priority} is negative",
            "use 0 for the highest priority",
        )
    ]


def _key_faults(path: str, key: str) -> list[errors.Fault]:
    size_bytes = len(key.encode())
    if 0 < size_bytes <= KEY_LIMIT_BYTES:
        return []
    return [
        errors.Fault(
            path,
            f"the key has an invalid size of {size_bytes} bytes",
            f"use 1 to {KEY_LIMIT_BYTES} bytes",
        )
    ]
