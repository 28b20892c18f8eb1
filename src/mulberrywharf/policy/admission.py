"""Admission control of a router: admits, queues or refuses each request.

The decision is made on arrival; ``prompt_admission`` decides at a gateway.

A request that cannot meet its deadline or its first-token target would only
delay requests that can. It is refused immediately, while its caller still has
time to try elsewhere. Under load, low-priority requests are refused first: the
lower the priority, the smaller the part of the queue that a request may use
and the less time it may take to its first token.
"""

from typing import NamedTuple

from mulberrywharf import errors

LOWEST_PRIORITY = 9
"""Priorities range from 0 (highest) to this value."""


class AdmissionSettings(NamedTuple):
    """Limits that admission applies.

    Attributes:
        queue_limit_count: Maximum requests that wait at this router.
        low_priority_queue_share: Fraction of the queue that the lowest
            priority may use; interpolated linearly for the priorities above.
        first_token_tolerance: Estimated time to the first token that the
            highest priority may have, as a multiple of its target. Above 1
            because estimates are rough.
        low_priority_tolerance: The same multiple for the lowest priority.
        retry_after_min_s: Lower bound of the Retry-After of a refusal.
        retry_after_max_s: Upper bound of the Retry-After of a refusal.
    """

    queue_limit_count: int = 256
    low_priority_queue_share: float = 0.25
    first_token_tolerance: float = 1.25
    low_priority_tolerance: float = 0.8
    retry_after_min_s: float = 0.5
    retry_after_max_s: float = 30.0


class RequestRequirements(NamedTuple):
    """Requirements of a request.

    Attributes:
        time_left_s: Time until the caller's deadline.
        priority: 0 (highest) to 9 (lowest).
        first_token_target_s: Target for the time to the first token; None if
            the request has no such target.
    """

    time_left_s: float
    priority: int = 5
    first_token_target_s: float | None = None


class AdmissionEstimate(NamedTuple):
    """Estimates for the request under the current load.

    Attributes:
        first_token_s: Estimated time from the start to the first token.
        total_s: Estimated time from the start to the complete answer.
        queue_wait_s: Estimated wait in this router's queue.
        queued_count: Requests that wait at this router.
        has_slot: Whether the request may be sent now, under the engine's
            concurrency limit.
    """

    first_token_s: float
    total_s: float
    queue_wait_s: float = 0.0
    queued_count: int = 0
    has_slot: bool = True


class Admit(NamedTuple):
    """The request may be sent now."""


class Wait(NamedTuple):
    """The request may wait for a free slot.

    Attributes:
        limit_s: Maximum wait; after it the request is refused, as a later
            start would miss its deadline or its first-token target.
    """

    limit_s: float


class Shed(NamedTuple):
    """The request is refused.

    Attributes:
        error: Error returned to the caller, with its Retry-After.
    """

    error: errors.RequestError

    @property
    def retry_after_s(self) -> float | None:
        """Time after which the caller may retry."""
        return self.error.retry_after_s


def decide(
    requirements: RequestRequirements,
    estimate: AdmissionEstimate,
    settings: AdmissionSettings | None = None,
) -> Admit | Wait | Shed:
    """Decides whether a new request is admitted, queued or refused."""
    settings = settings or AdmissionSettings()
    if requirements.time_left_s <= 0:
        return Shed(
            errors.DeadlineExceededError("the deadline has already passed")
        )
    slack_s = _slack_s(requirements, estimate, settings)
    wait_s = 0.0 if estimate.has_slot else estimate.queue_wait_s
    if wait_s > slack_s:
        excess_s = wait_s - slack_s
        return Shed(
            _overloaded("the answer would come too late", excess_s, settings)
        )
    if estimate.has_slot:
        return Admit()
    if estimate.queued_count >= queue_limit(requirements.priority, settings):
        return Shed(
            _overloaded("the queue is full", estimate.queue_wait_s, settings)
        )
    return Wait(slack_s)


def queue_limit(priority: int, settings: AdmissionSettings) -> int:
    """Returns the queue length at which this priority is refused."""
    share = _interpolate(1.0, settings.low_priority_queue_share, priority)
    return max(1, int(settings.queue_limit_count * share))


def _slack_s(
    requirements: RequestRequirements,
    estimate: AdmissionEstimate,
    settings: AdmissionSettings,
) -> float:
    """Returns how long the request may wait; negative if it is too late."""
    slack_s = requirements.time_left_s - estimate.total_s
    if requirements.first_token_target_s is None:
        return slack_s
    tolerance = _interpolate(
        settings.first_token_tolerance,
        settings.low_priority_tolerance,
        requirements.priority,
    )
    allowed_s = requirements.first_token_target_s * tolerance
    return min(slack_s, allowed_s - estimate.first_token_s)


def _interpolate(at_highest: float, at_lowest: float, priority: int) -> float:
    """Interpolates between the values of the highest and lowest priority."""
    fraction = min(max(priority, 0), LOWEST_PRIORITY) / LOWEST_PRIORITY
    return at_highest + (at_lowest - at_highest) * fraction


def _overloaded(
    message: str, delay_s: float, settings: AdmissionSettings
) -> errors.OverloadedError:
    retry_after_s = min(
        max(delay_s, settings.retry_after_min_s), settings.retry_after_max_s
    )
    return errors.OverloadedError(message, retry_after_s=retry_after_s)
