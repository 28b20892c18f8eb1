"""Customers' limits, shared by the nodes without a call for each request.

Each node holds a share of every customer's rate and spends it from its own
token buckets. Once a round, each node tells the others how much each of its
busiest customers asked for, and all nodes work out the same shares from the
same figures (``shares.py`` says how, and what happens when figures are lost).
"""

from collections.abc import Mapping
from typing import NamedTuple

from result import Err, Ok, Result

from mulberrywharf import errors
from mulberrywharf.policy import shares, token_bucket


class CustomerLimit(NamedTuple):
    """What a customer may use over the whole deployment.

    Attributes:
        requests_per_s: Requests each second, or None for no limit.
        tokens_per_s: Prompt and output tokens each second, or None.
    """

    requests_per_s: float | None = None
    tokens_per_s: float | None = None


class LimitSettings(NamedTuple):
    """Bounds of the limits' state.

    Attributes:
        burst_s: Seconds of its share that a customer may save up.
        reported_limit_count: Customers in one report (the busiest).
        demand_constant_s: Time over which demand is averaged.
    """

    burst_s: float = 2.0
    reported_limit_count: int = 16
    demand_constant_s: float = 1.5


class _CustomerState:
    """One customer's buckets and demand at this node."""

    __slots__ = ("_requests", "_tokens", "demand")

    def __init__(
        self, share: CustomerLimit, settings: LimitSettings, now_s: float
    ):
        self.demand = shares.DemandMeter(now_s)
        self._requests: token_bucket.TokenBucket | None = None
        self._tokens: token_bucket.TokenBucket | None = None
        self.set_share(share, settings, now_s)

    def set_share(
        self, share: CustomerLimit, settings: LimitSettings, now_s: float
    ) -> None:
        """Takes a new share; what is saved up or owed stays."""
        self._requests = _resized(
            self._requests, share.requests_per_s, settings, now_s
        )
        self._tokens = _resized(
            self._tokens, share.tokens_per_s, settings, now_s
        )

    def wait_s(self, tokens: float, now_s: float) -> float:
        """Returns how long until a request of ``tokens`` may pass."""
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
        """Takes tokens, or gives them back if negative."""
        if self._tokens is not None:
            self._tokens.take(tokens)


def _resized(
    bucket: token_bucket.TokenBucket | None,
    rate_per_s: float | None,
    settings: LimitSettings,
    now_s: float,
) -> token_bucket.TokenBucket | None:
    if rate_per_s is None:
        return None
    # One request must fit, however small the node's share is; a limit of
    # zero lets none pass.
    capacity = max(1.0, rate_per_s * settings.burst_s) if rate_per_s else 0.0
    if bucket is None:
        return token_bucket.TokenBucket(rate_per_s, capacity, now_s)
    bucket.set_rate(rate_per_s, capacity, now_s)
    return bucket


class CustomerLimits:
    """One node's shares of all customers' limits."""

    def __init__(
        self,
        node_id: str,
        limits: Mapping[str, CustomerLimit],
        settings: LimitSettings,
        now_s: float,
    ):
        self._node_id = node_id
        self._settings = settings
        self._division = shares.Division.alone_of(1)
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
        made = cls(node_id, limits, settings or LimitSettings(), now_s)
        made.set_division(shares.Division.alone_of(nodes_count), now_s)
        return made

    def set_limits(
        self, limits: Mapping[str, CustomerLimit], now_s: float
    ) -> None:
        """Takes the limits of a new configuration.

        State is kept for the customers that have a limit and for no others,
        so that unknown names cannot fill the memory.
        """
        before = self._customers
        self._limits = {
            customer: limit
            for customer, limit in limits.items()
            if limit != CustomerLimit()
        }
        self._customers = {}
        for customer in self._limits:
            share = self.share_of(customer)
            state = before.get(customer)
            if state is None:
                state = _CustomerState(share, self._settings, now_s)
            else:
                state.set_share(share, self._settings, now_s)
            self._customers[customer] = state

    def set_division(self, division: shares.Division, now_s: float) -> None:
        """Takes the shares of a new round."""
        self._division = division
        for customer, state in self._customers.items():
            state.set_share(self.share_of(customer), self._settings, now_s)

    def take(
        self, customer: str, tokens: float, now_s: float
    ) -> Result[None, errors.OverLimitError]:
        """Takes one request and its expected tokens, or nothing at all.

        Args:
            customer: Who asks.
            tokens: Prompt tokens and expected output tokens.
            now_s: The present.

        Returns:
            Nothing, or an error that says when the share allows it.
        """
        state = self._customers.get(customer)
        if state is None:
            return Ok(None)
        # What is refused counts too, else a node with a small share would
        # never show that it needs more.
        state.demand.add(tokens, now_s, self._settings.demand_constant_s)
        wait_s = state.wait_s(tokens, now_s)
        if wait_s > 0:
            return Err(_over_limit(customer, wait_s))
        state.take(tokens)
        return Ok(None)

    def settle(
        self, customer: str, taken_tokens: float, used_tokens: float
    ) -> None:
        """Corrects the tokens taken once it is known what was used."""
        state = self._customers.get(customer)
        if state is not None:
            state.settle(used_tokens - taken_tokens)

    def demand(self, now_s: float) -> tuple[shares.CustomerDemand, ...]:
        """Returns the demand of the busiest limited customers here."""
        demands = [
            state.demand.read(customer, now_s, self._settings.demand_constant_s)
            for customer, state in self._customers.items()
        ]
        demands = [d for d in demands if d.requests_per_s > 0.0]
        demands.sort(key=lambda d: (-d.tokens_per_s, d.customer))
        return tuple(demands[: self._settings.reported_limit_count])

    def share_of(self, customer: str) -> CustomerLimit:
        """Returns what this node may use of the customer's limit now."""
        limit = self._limits.get(customer, CustomerLimit())
        part = self._division.part_of(self._node_id, customer)
        return CustomerLimit(
            _times(limit.requests_per_s, part.requests_share),
            _times(limit.tokens_per_s, part.tokens_share),
        )


def _times(rate: float | None, share: float) -> float | None:
    return None if rate is None else rate * share


def _over_limit(customer: str, wait_s: float) -> errors.OverLimitError:
    retry_after_s = None if wait_s == float("inf") else wait_s
    return errors.OverLimitError(
        f"customer {customer!r} has spent its limit at this node",
        retry_after_s=retry_after_s,
        advice="Wait as Retry-After says, or ask the operators for more.",
    )
