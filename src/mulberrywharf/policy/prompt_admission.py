"""Refuses requests that the engines can't answer in time, at a gateway.

The workload has bursts of long prompts, each over within seconds, at several
times the rate that the engines can prefill. A prompt that waits longer than its
caller does is prefilled for nobody and delays all prompts behind it. If its
caller is told to retry once the queue is empty, it is served then.
"""

import random
from collections.abc import Sequence
from typing import Literal, NamedTuple

from mulberrywharf.policy import prompt_placement

ADMIT_ALL_TARGET_SHARE = 0.6
"""Share of the first-token target up to which every request is admitted.
Estimates are right on average and off by a third either way, so about one in
four of the requests admitted just below ``REFUSE_ALL_TARGET_SHARE`` comes
late."""

REFUSE_ALL_TARGET_SHARE = 0.8
"""Share of the first-token target from which every request is refused. Between
the two bounds the probability of refusal rises linearly: if all gateways
refused everything from one estimate on, the engines would be idle a moment
later, and all gateways would send again.

Admitting requests with longer waits serves fewer callers: late requests delay
all behind them, streams last longer, and the loss of an engine or a zone ends
more of them. On a day with failures, bounds of 1.0 and 1.5 earn 0.72 of the
value of all requests, and bounds of 0.6 and 0.8 earn 0.77. With the
latter, 0.9 more of 100 callers end with a refusal, and 1.6 fewer with a
failure. With ``ADMIT_ALL_TARGET_SHARE`` at 0.4, prompts whose own prefill takes
a large part of the first-token target of their route are hardly ever
served."""

Claim = Literal["usual", "assured", "yielding"]
"""Claim of a request to the engines, by its customer's part of them.

- ``usual``: decided by the bounds above.
- ``assured``: its customer uses less than its fair part. The request is
  admitted as long as it can be answered in time.
- ``yielding``: its customer uses more. The request is also refused if it waits
  longer than the yield bounds, which leaves assured ones the room above.
"""

ASSURED_TARGET_SHARE = 0.8
"""Share of the first-token target from which an assured request is refused: the
bound from which all are refused today, but not drawn. In a trial with 1.0, an
eighth of the work started late, since estimates are off by a third."""

MIN_YIELD_TARGET_SHARE = 0.2
MAX_YIELD_TARGET_SHARE = 0.4
"""Bounds of the wait from which a yielding request is refused, as shares of the
first-token target. Estimates are off by a third, so with waits around the usual
bounds some assured requests would be late or refused. Its own prefill doesn't
count, or long prompts of a large customer would never be served."""

MAX_OWN_PREFILL_TARGET_SHARE = 0.5
"""A request's own prefill counts as at most this share of the first-token
target. A large prompt is late because of its size and would be refused at every
retry, so beyond this only its queueing delay decides."""

MIN_RETRY_AFTER_S = 0.1
"""Minimum retry delay. A caller that retries sooner would come back before its
refusal has any effect on the queue."""

MAX_RETRY_AFTER_LEFT_SHARE = 0.3
"""Maximum retry delay, as a share of the caller's remaining time. Callers
ignore longer delays, and need time for their answer afterwards."""

MIN_SPREAD_SHARE = 0.5
"""Retry delays are spread over at least the upper half of the range while
engines are divided among customers. If the queue is longer than the maximum
delay, all would otherwise come back after the same time."""


class AdmissionEstimate(NamedTuple):
    """Estimated delays of a request, for the admission decision.

    Attributes:
        first_token_s: Estimated time to its first token.
        queue_s: The part of that time spent in a queue.
        target_s: When its caller expects the first token, None if unknown.
        left_s: Time until its caller gives up.
    """

    first_token_s: float
    queue_s: float
    target_s: float | None
    left_s: float


class Refusal(NamedTuple):
    """The request is refused.

    Attributes:
        retry_after_s: Delay after which the caller may retry.
    """

    retry_after_s: float


def decide(
    estimate: AdmissionEstimate,
    rng: random.Random,
    *,
    claim: Claim = "usual",
) -> Refusal | None:
    """Decides whether a request is refused.

    Args:
        estimate: Its estimated delays.
        rng: Spreads refusals and retries.
        claim: Its claim to the engines.

    Returns:
        The refusal, or None if the request may be sent.
    """
    if estimate.first_token_s < estimate.left_s and not _draw_refusal(
        estimate, rng, claim
    ):
        return None
    max_retry_after_s = max(
        MIN_RETRY_AFTER_S, estimate.left_s * MAX_RETRY_AFTER_LEFT_SHARE
    )
    min_retry_after_s = min(
        max_retry_after_s, max(MIN_RETRY_AFTER_S, estimate.queue_s)
    )
    if claim != "usual":
        min_retry_after_s = min(
            min_retry_after_s, MIN_SPREAD_SHARE * max_retry_after_s
        )
    return Refusal(rng.uniform(min_retry_after_s, max_retry_after_s))


def _draw_refusal(
    estimate: AdmissionEstimate, rng: random.Random, claim: Claim
) -> bool:
    """Returns whether a request is refused because its first token is late.

    The bound is drawn at random, so two calls with equal estimates may differ.
    """
    if estimate.target_s is None:
        return False
    if claim == "assured":
        return _target_share_of(estimate) > ASSURED_TARGET_SHARE
    if claim == "yielding" and estimate.queue_s > estimate.target_s * (
        rng.uniform(MIN_YIELD_TARGET_SHARE, MAX_YIELD_TARGET_SHARE)
    ):
        return True
    return _target_share_of(estimate) > rng.uniform(
        ADMIT_ALL_TARGET_SHARE, REFUSE_ALL_TARGET_SHARE
    )


def _target_share_of(estimate: AdmissionEstimate) -> float:
    """Returns the estimated delay as a share of the first-token target.

    It is 0 without a target.
    """
    if estimate.target_s is None:
        return 0.0
    return _target_share(
        estimate.first_token_s, estimate.queue_s, estimate.target_s
    )


def choose_plan(
    plans: Sequence[prompt_placement.Plan], target_s: float | None
) -> prompt_placement.Plan:
    """Returns the cheapest plan, or one that is admitted in its place.

    Where engines are known to differ lastingly in speed, fast ones are the
    cheapest until their queue is so long that requests are refused, although
    slow engines are idle and would answer in time. Only plans of prefill
    engines whose queue is reported replace the cheapest one: other engines may
    only look idle, and prefills at decode engines make streams pause. The
    engine must hold as much of the prompt: in an overload, prefilling cached
    parts again elsewhere left 0.58 of the callers served in time, not 0.79.

    Args:
        plans: At least one plan, the cheapest first.
        target_s: When the caller expects the first token, None if unknown.
    """
    best = plans[0]
    if target_s is None or _is_admitted(best, target_s):
        return best
    for plan in plans:
        engine = plan.prefill
        if (
            engine is not None
            and engine.lasting_slowdown != 1.0
            and engine.reported_wait_s is not None
            and engine.cached_tokens >= best.prefill_engine.cached_tokens
            and plan.first_token_s <= target_s
            and _is_admitted(plan, target_s)
        ):
            return plan
    return best


def _is_admitted(plan: prompt_placement.Plan, target_s: float) -> bool:
    """Returns whether a plan's request is certainly not refused."""
    share = _target_share(plan.first_token_s, plan.queue_s, target_s)
    return share <= ADMIT_ALL_TARGET_SHARE


def _target_share(
    first_token_s: float, queue_s: float, target_s: float
) -> float:
    counted_prefill_s = min(
        first_token_s - queue_s, MAX_OWN_PREFILL_TARGET_SHARE * target_s
    )
    return (counted_prefill_s + queue_s) / target_s
