"""Decides at once whether a request is admitted, waits, or is refused.

A request that cannot meet its deadline or its first-token target only delays
those that can, so it is refused at once, while its caller still has time to
ask elsewhere. Under load the less important go first: each priority may use
only a part of the queue and of the time to the first token.
"""

from typing import NamedTuple

from mulberrywharf import errors

LOWEST_PRIORITY = 9
"""Priorities run from 0, the most important, to this."""


class AdmissionSettings(NamedTuple):
    """Bounds of admission.

    Attributes:
        queue_limit_count: Requests that may wait at this node.
        low_priority_queue_share: Part of the queue open to the lowest
            priority; those between get a part in proportion.
        first_token_tolerance: Times the target that the most important may
            be estimated at; estimates are rough.
        low_priority_tolerance: The same for the lowest priority.
        retry_after_least_s: Shortest wait told to a refused caller.
        retry_after_most_s: Longest wait told to a refused caller.
    """

    queue_limit_count: int = 256
    low_priority_queue_share: float = 0.25
    first_token_tolerance: float = 1.25
    low_priority_tolerance: float = 0.8
    retry_after_least_s: float = 0.5
    retry_after_most_s: float = 30.0


class Demand(NamedTuple):
    """What a request needs.

    Attributes:
        time_left_s: Until the caller's deadline.
        priority: 0 (first) to 9 (last).
        first_token_target_s: Target of the first token; None for none.
    """

    time_left_s: float
    priority: int = 5
    first_token_target_s: float | None = None


class Outlook(NamedTuple):
    """What the request would meet now.

    Attributes:
        first_token_s: Estimated time to the first token once it starts.
        total_s: Estimated time to the whole answer once it starts.
        queue_wait_s: Estimated wait in this node's queue.
        queued_count: Requests that wait at this node.
        has_slot: Whether the engine's concurrency limit leaves a place.
    """

    first_token_s: float
    total_s: float
    queue_wait_s: float = 0.0
    queued_count: int = 0
    has_slot: bool = True


class Admit(NamedTuple):
    """The request may be sent now."""


class Wait(NamedTuple):
    """The request may wait for a place.

    Attributes:
        limit_s: After this it is refused, while an answer can still be of
            use; the caller is then told at once.
    """

    limit_s: float


class Shed(NamedTuple):
    """The request is refused.

    Attributes:
        error: What to answer, with its Retry-After.
    """

    error: errors.RequestError

    @property
    def retry_after_s(self) -> float | None:
        """When the caller may come back."""
        return self.error.retry_after_s


def decide(
    demand: Demand, outlook: Outlook, settings: AdmissionSettings | None = None
) -> Admit | Wait | Shed:
    """Decides what becomes of a request that has just arrived."""
    settings = settings or AdmissionSettings()
    if demand.time_left_s <= 0:
        return Shed(
            errors.DeadlineExceededError("the deadline has passed already")
        )
    slack_s = _slack_s(demand, outlook, settings)
    wait_s = 0.0 if outlook.has_slot else outlook.queue_wait_s
    if wait_s > slack_s:
        over_s = wait_s - slack_s
        return Shed(
            _overloaded("the answer would come too late", over_s, settings)
        )
    if outlook.has_slot:
        return Admit()
    if outlook.queued_count >= queue_limit(demand.priority, settings):
        return Shed(
            _overloaded("the queue is full", outlook.queue_wait_s, settings)
        )
    return Wait(slack_s)


def queue_limit(priority: int, settings: AdmissionSettings) -> int:
    """Returns how many may wait before one of this priority is refused."""
    share = _between(1.0, settings.low_priority_queue_share, priority)
    return max(1, int(settings.queue_limit_count * share))


def _slack_s(
    demand: Demand, outlook: Outlook, settings: AdmissionSettings
) -> float:
    """Returns how long the request may still wait; negative if too late."""
    slack_s = demand.time_left_s - outlook.total_s
    if demand.first_token_target_s is None:
        return slack_s
    tolerance = _between(
        settings.first_token_tolerance,
        settings.low_priority_tolerance,
        demand.priority,
    )
    allowed_s = demand.first_token_target_s * tolerance
    return min(slack_s, allowed_s - outlook.first_token_s)


def _between(first: float, last: float, priority: int) -> float:
    part = min(max(priority, 0), LOWEST_PRIORITY) / LOWEST_PRIORITY
    return first + (last - first) * part


def _overloaded(
    message: str, over_s: float, settings: AdmissionSettings
) -> errors.OverloadedError:
    retry_after_s = min(
        max(over_s, settings.retry_after_least_s), settings.retry_after_most_s
    )
    return errors.OverloadedError(message, retry_after_s=retry_after_s)
