"""Maps keys to customers.

The directory holds only digests of the keys of a configuration, and log
messages show only the first digits of a digest.
"""

import hashlib
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from mulberrywharf import errors

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
        """Indexes the keys of a configuration.

        Args:
            customers: All customers, as ``without_faults`` returns them.
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


class UsableCustomers(NamedTuple):
    """What can be used of a list of customers.

    Attributes:
        customers: The customers without what is faulty.
        faults: What is wrong with the rest. Faults are logged, so their
            messages never contain a key.
    """

    customers: list[CustomerKeys]
    faults: list[errors.Fault]


def without_faults(customers: Iterable[CustomerKeys]) -> UsableCustomers:
    """Leaves out customers and keys that cannot be used.

    One customer's fault must not keep the keys of all others out of force,
    among them keys that were revoked.
    """
    usable: list[CustomerKeys] = []
    faults: list[errors.Fault] = []
    holders: dict[bytes, str] = {}
    for customer_index, (customer, keys) in enumerate(customers):
        if not customer.name:
            path = f"customers[{customer_index}].name"
            faults.append(errors.Fault(path, "it is empty", "name it"))
            continue
        path = f"customers.{customer.name}"
        if customer.priority is not None and customer.priority < 0:
            faults.append(
                errors.Fault(
                    f"{path}.priority",
                    f"priority {customer.priority} is negative",
                    "use 0 for the highest priority",
                )
            )
            customer = customer._replace(priority=None)
        usable_keys = []
        for key_index, key in enumerate(keys):
            fault = _key_fault(
                f"{path}.keys[{key_index}]", key, customer.name, holders
            )
            if fault is None:
                usable_keys.append(key)
            else:
                faults.append(fault)
        usable.append(CustomerKeys(customer, tuple(usable_keys)))
    return UsableCustomers(usable, faults)


def _key_fault(
    path: str, key: str, name: str, holders: dict[bytes, str]
) -> errors.Fault | None:
    """Returns why a customer does not get a key; the first holder keeps it."""
    if not key:
        return errors.Fault(path, "the key is empty", "remove it")
    holder = holders.setdefault(digest(key.encode()), name)
    if holder == name:
        return None
    return errors.Fault(
        path,
        f"customer {holder!r} holds the same key",
        "use each key for one customer only",
    )
