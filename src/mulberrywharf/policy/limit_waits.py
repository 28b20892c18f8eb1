"""Decides how long a request may wait for a server's request limit.

While callers send more than a limit, every request that is sent has waited for
as long as any may wait. So the bound decides whether answers are in time.
"""

MAX_TARGET_SHARE = 0.4
"""Longest wait as a share of the target time to the answer, or to its first
part. The rest is needed for the answer itself."""

MAX_LEFT_SHARE = 0.3
"""Longest wait as a share of the caller's remaining time. A caller that has
begun to get its answer, or has no target, waits for this long."""


def longest_wait_s(left_s: float, target_s: float | None = None) -> float:
    """Returns the longest time in seconds that a request may wait.

    Args:
        left_s: Time until the caller gives up.
        target_s: Target time from the arrival of the request, None if there is
            none or if it can no longer be met.
    """
    longest_s = MAX_LEFT_SHARE * left_s
    if target_s is None:
        return longest_s
    return min(longest_s, MAX_TARGET_SHARE * target_s)
