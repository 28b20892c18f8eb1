"""Customer rate limits, shared by the nodes without a call per request.

Each node holds a share of every customer's rate limit and enforces it with its
own token buckets. Once per round, each node reports the demand of its busiest
customers to the others, and all nodes compute the same shares from the same
reports. ``shares.py`` describes the computation and what happens when reports
are lost.
"""

from collections.abc import Mapping
from typing import NamedTuple

from result import Err, Ok, Result

from mulberrywharf import errors
from mulberrywharf.policy import shares, token_bucket


class CustomerLimit(NamedTuple):
    """A customer's rate limit, of the whole deployment or of one node.

    Attributes:
        requests_per_s: Requests per second, or None for no limit.
        tokens_per_s: Prompt and output tokens per second, or None for no
            limit.
    """

    requests_per_s: float | None = None
    tokens_per_s: float | None = None


class LimitSettings(NamedTuple):
    """Parameters of the customer limits.

    Attributes:
        burst_s: Burst that a customer may send, in seconds of its share.
        reported_customers_limit_count: Maximum customers in one report; the
            busiest are reported.
        demand_time_constant_s: Time constant of the exponential average of
            demand.
    """

    burst_s: float = 2.0
    reported_customers_limit_count: int = 16
    demand_time_constant_s: float = 1.5


class _CustomerState:
    """One customer's token buckets and demand at this node."""

    __slots__ = ("_requests", "_tokens", "demand")

    def __init__(
        self, node_limit: CustomerLimit, settings: LimitSettings, now_s: float
    ):
        self.demand = shares.DemandMeter(now_s)
        self._requests: token_bucket.TokenBucket | None = None
        self._tokens: token_bucket.TokenBucket | None = None
        self.set_node_limit(node_limit, settings, now_s)

    def set_node_limit(
        self, node_limit: CustomerLimit, settings: LimitSettings, now_s: float
    ) -> None:
        """Applies a new limit of this node; the buckets keep their levels."""
        self._requests = _updated_bucket(
            self._requests, node_limit.requests_per_s, settings, now_s
        )
        self._tokens = _updated_bucket(
            self._tokens, node_limit.tokens_per_s, settings, now_s
        )

    def wait_s(self, tokens: float, now_s: float) -> float:
        """Returns the time until a request of ``tokens`` is allowed."""
        wait_s = 0.0
        if self._requests is not None:
            wait_s = self._requests.wait_s(1.0, now_s)
        if self._tokens is not None:
            wait_s = max(wait_s, self._tokens.wait_s(tokens, now_s))
        return wait_s

    def take(self, tokens: float) -> None:
        """Takes one request and its tokens."""
        if self._requests is not None:
            self._requests.take(1.0)
        self.settle(tokens)

    def settle(self, tokens: float) -> None:
        """Takes tokens, or returns them if negative."""
        if self._tokens is not None:
            self._tokens.take(tokens)


def _updated_bucket(
    bucket: token_bucket.TokenBucket | None,
    rate_per_s: float | None,
    settings: LimitSettings,
    now_s: float,
) -> token_bucket.TokenBucket | None:
    if rate_per_s is None:
        return None
    # The bucket must hold at least one request, however small the node's
    # share is. A limit of zero allows no request.
    capacity = max(1.0, rate_per_s * settings.burst_s) if rate_per_s else 0.0
    if bucket is None:
        return token_bucket.TokenBucket(rate_per_s, capacity, now_s)
    bucket.set_rate(rate_per_s, capacity, now_s)
    return bucket


class CustomerLimits:
    """One node's shares of all customers' rate limits."""

    def __init__(
        self,
        node_id: str,
        limits: Mapping[str, CustomerLimit],
        settings: LimitSettings,
        now_s: float,
    ):
        self._node_id = node_id
        self._settings = settings
        self._division = shares.Division.equal_split(1)
        self._customers: dict[str, _CustomerState] = {}
        self.set_limits(limits, now_s)

    @classmethod
    def from_config(
        cls,
        node_id: str,
        limits: Mapping[str, CustomerLimit],
        now_s: float,
        *,
        nodes_count: int,
        settings: LimitSettings | None = None,
    ) -> "CustomerLimits":
        """Starts with an equal share for each of ``nodes_count`` nodes."""
        customer_limits = cls(
            node_id, limits, settings or LimitSettings(), now_s
        )
        customer_limits.set_division(
            shares.Division.equal_split(nodes_count), now_s
        )
        return customer_limits

    def set_limits(
        self, limits: Mapping[str, CustomerLimit], now_s: float
    ) -> None:
        """Applies the limits of a new configuration.

        State is kept only for customers that have a limit, so that unknown
        customer names cannot exhaust the memory.
        """
        previous_states = self._customers
        self._limits = {
            customer: limit
            for customer, limit in limits.items()
            if limit != CustomerLimit()
        }
        self._customers = {}
        for customer in self._limits:
            node_limit = self.node_limit_of(customer)
            state = previous_states.get(customer)
            if state is None:
                state = _CustomerState(node_limit, self._settings, now_s)
            else:
                state.set_node_limit(node_limit, self._settings, now_s)
            self._customers[customer] = state

    def set_division(self, division: shares.Division, now_s: float) -> None:
        """Applies the shares of a new round."""
        self._division = division
        for customer, state in self._customers.items():
            state.set_node_limit(
                self.node_limit_of(customer), self._settings, now_s
            )

    def take(
        self, customer: str, tokens: float, now_s: float
    ) -> Result[None, errors.OverLimitError]:
        """Takes one request and its expected tokens, or nothing at all.

        Args:
            customer: Customer that sends the request.
            tokens: Prompt tokens and expected output tokens.
            now_s: Current time.

        Returns:
            None, or an error with the time after which this node's share
            allows the request.
        """
        state = self._customers.get(customer)
        if state is None:
            return Ok(None)
        # Refused requests count as demand too. Otherwise a node with a small
        # share would never report that it needs a larger one.
        state.demand.add(tokens, now_s, self._settings.demand_time_constant_s)
        wait_s = state.wait_s(tokens, now_s)
        if wait_s > 0:
            return Err(_over_limit(customer, wait_s))
        state.take(tokens)
        return Ok(None)

    def settle(
        self, customer: str, taken_tokens: float, used_tokens: float
    ) -> None:
        """Corrects the tokens taken once the tokens used are known."""
        state = self._customers.get(customer)
        if state is not None:
            state.settle(used_tokens - taken_tokens)

    def demand(self, now_s: float) -> tuple[shares.CustomerDemand, ...]:
        """Returns the demand at this node of its busiest limited customers."""
        demands = [
            state.demand.read(
                customer, now_s, self._settings.demand_time_constant_s
            )
            for customer, state in self._customers.items()
        ]
        demands = [d for d in demands if d.requests_per_s > 0.0]
        demands.sort(key=lambda d: (-d.tokens_per_s, d.customer))
        return tuple(demands[: self._settings.reported_customers_limit_count])

    def node_limit_of(self, customer: str) -> CustomerLimit:
        """Returns the rates that this node currently allows the customer.

        They are this node's shares of the deployment's limit.
        """
        limit = self._limits.get(customer, CustomerLimit())
        part = self._division.part_of(self._node_id, customer)
        return CustomerLimit(
            _scaled(limit.requests_per_s, part.requests_share),
            _scaled(limit.tokens_per_s, part.tokens_share),
        )


def _scaled(rate: float | None, share: float) -> float | None:
    return None if rate is None else rate * share


def _over_limit(customer: str, wait_s: float) -> errors.OverLimitError:
    retry_after_s = None if wait_s == float("inf") else wait_s
    return errors.OverLimitError(
        f"customer {customer!r} exceeded its limit at this node",
        retry_after_s=retry_after_s,
        advice="Retry after the time in Retry-After, or ask the operators for"
        " a higher limit.",
    )
