"""Customers' weights, priorities and limits, and the latency targets."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from mulberrywharf.policy import limits
from mulberrywharf.rules.document import Limit

_DEFAULT_WEIGHT = 1.0
_DEFAULT_PRIORITY = 5
_MS_PER_S = 1000.0


class CustomerPriority(NamedTuple):
    """How one customer's requests are scheduled while capacity is short.

    Attributes:
        weight: Weight of the customer in the fair queue.
        priority: 0 (highest) to 9 (lowest).
    """

    weight: float = _DEFAULT_WEIGHT
    priority: int = _DEFAULT_PRIORITY


class Standings(NamedTuple):
    """The scheduling settings for generations, from one configuration.

    Attributes:
        customers: Weight and priority of each customer, by name.
        first_token_target_s: Target time to the first token, used by
            admission; None for no target.
        between_tokens_target_s: Target time between output tokens, used by
            the engines' concurrency limits; None for no target.
        prefer_zone: Zone that the rule in force prefers, or empty.
    """

    customers: Mapping[str, CustomerPriority] = {}
    first_token_target_s: float | None = None
    between_tokens_target_s: float | None = None
    prefer_zone: str = ""

    @classmethod
    def from_config(
        cls, document: Mapping[str, Any], *, prefer_zone: str = ""
    ) -> "Standings":
        """Reads the values from a validated configuration document."""
        customers = {
            name: CustomerPriority(entry["weight"], entry["priority"])
            for name, entry in document.get("customers", {}).items()
        }
        shed = document.get("shed")
        first_token_s = between_tokens_s = None
        if shed is not None:
            first_token_s = shed["first_token_target_ms"] / _MS_PER_S
            between_tokens_s = shed["between_tokens_target_ms"] / _MS_PER_S
        return cls(customers, first_token_s, between_tokens_s, prefer_zone)

    def of(self, customer: str) -> CustomerPriority:
        """Returns a customer's weight and priority; defaults if unknown."""
        return self.customers.get(customer, CustomerPriority())


def customer_limits(
    document: Mapping[str, Any], rule_limit: Limit | None = None
) -> dict[str, limits.CustomerLimit]:
    """Returns the configured limits of customers for the whole deployment.

    Args:
        document: A validated configuration document.
        rule_limit: Limit that the rule in force sets for one customer; it can
            only lower the customer's own limit.
    """
    limit_by_customer = {
        name: limits.CustomerLimit(
            entry["requests_per_s"], entry["tokens_per_s"]
        )
        for name, entry in document.get("customers", {}).items()
    }
    if rule_limit is not None and rule_limit["customer"] in limit_by_customer:
        own_limit = limit_by_customer[rule_limit["customer"]]
        requests_per_s = min(
            own_limit.requests_per_s or 0.0, rule_limit["requests_per_s"]
        )
        limit_by_customer[rule_limit["customer"]] = own_limit._replace(
            requests_per_s=requests_per_s
        )
    return limit_by_customer
