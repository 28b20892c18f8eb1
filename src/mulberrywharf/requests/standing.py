"""What the configuration says about customers' standing and the targets."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from mulberrywharf.policy import limits
from mulberrywharf.rules.document import Limit

_DEFAULT_WEIGHT = 1.0
_DEFAULT_PRIORITY = 5
_MS_PER_S = 1000.0


class Standing(NamedTuple):
    """One customer's standing when the fleet is short.

    Attributes:
        weight: Its share against others.
        priority: 0 (first) to 9.
    """

    weight: float = _DEFAULT_WEIGHT
    priority: int = _DEFAULT_PRIORITY


class Standings(NamedTuple):
    """What the pipeline reads from one configuration.

    Attributes:
        customers: By name.
        first_token_target_s: Admission's target, or None for none.
        between_tokens_target_s: What engines' limits aim at, or None.
        prefer_zone: Zone that the rule in force prefers, or empty.
    """

    customers: Mapping[str, Standing] = {}
    first_token_target_s: float | None = None
    between_tokens_target_s: float | None = None
    prefer_zone: str = ""

    @classmethod
    def from_config(
        cls, document: Mapping[str, Any], *, prefer_zone: str = ""
    ) -> "Standings":
        """Reads it from a checked configuration document."""
        customers = {
            name: Standing(entry["weight"], entry["priority"])
            for name, entry in document.get("customers", {}).items()
        }
        shed = document.get("shed")
        first_token_s = between_tokens_s = None
        if shed is not None:
            first_token_s = shed["first_token_target_ms"] / _MS_PER_S
            between_tokens_s = shed["between_tokens_target_ms"] / _MS_PER_S
        return cls(customers, first_token_s, between_tokens_s, prefer_zone)

    def of(self, customer: str) -> Standing:
        """Returns a customer's standing."""
        return self.customers.get(customer, Standing())


def customer_limits(
    document: Mapping[str, Any], rule_limit: Limit | None = None
) -> dict[str, limits.CustomerLimit]:
    """Returns the customers' limits over the whole deployment.

    Args:
        document: A checked configuration document.
        rule_limit: What the rule in force limits besides; it can only lower
            the customer's own limit.
    """
    found = {
        name: limits.CustomerLimit(
            entry["requests_per_s"], entry["tokens_per_s"]
        )
        for name, entry in document.get("customers", {}).items()
    }
    if rule_limit is not None and rule_limit["customer"] in found:
        own = found[rule_limit["customer"]]
        lowered = min(own.requests_per_s or 0.0, rule_limit["requests_per_s"])
        found[rule_limit["customer"]] = own._replace(requests_per_s=lowered)
    return found
