"""Builders for customers and their keys."""

from typing import Any

from mulberrywharf.customers import directory
from mulberrywharf.routes import table
from tests import builders_routes

KEY = "first-key-of-ann"
SECOND_KEY = "second-key-of-ann"
OTHER_KEY = "key-of-bob"


def customer_keys(
    name: str = "ann", *keys: str, priority: int | None = None
) -> directory.CustomerKeys:
    return directory.CustomerKeys(directory.Customer(name, priority), keys)


def tenants() -> list[dict[str, Any]]:
    return [
        {"name": "ann", "api-keys": [KEY, SECOND_KEY], "priority": 1},
        {"name": "bob", "api-keys": [OTHER_KEY]},
    ]


def digests(*keys: str) -> frozenset[directory.KeyDigest]:
    return frozenset(directory.digest(key.encode()) for key in keys)


def routes(
    version: int, *customers: directory.CustomerKeys, **route: Any
) -> table.RouteTable:
    return table.RouteTable(
        version,
        [builders_routes.route(**route)],
        {},
        customers=directory.CustomerDirectory.from_config(customers),
    )


class FreshnessStub:
    """Simulates confirmations of the configuration.

    Attributes:
        current_s: The current time.
        confirmed_s: Time of the last confirmation.
        confirms_on_wait: Whether waiting for a confirmation succeeds.
        on_wait: Called at the start of each wait.
    """

    def __init__(self) -> None:
        self.current_s = 1000.0
        self.confirmed_s = self.current_s
        self.confirms_on_wait = False
        self.on_wait = lambda: None

    def now_s(self) -> float:
        return self.current_s

    def is_confirmed(self, at_s: float, age_s: float) -> bool:
        return at_s - self.confirmed_s <= age_s

    def wait_confirmed(self, at_s: float, age_s: float, limit_s: float) -> bool:
        self.on_wait()
        if self.confirms_on_wait:
            self.confirmed_s = self.current_s
        return self.confirms_on_wait
