"""Holds repeats against the budget as operators count them.

Repeats are arrivals of requests at servers beyond the first of each request;
its first accepted prefill is none. In every window, in continuous time, they
may be a ratio of the requests that callers sent in that window, in the one
before it or in the one half a window before it, whichever has most, and an
allowance more.
"""

import bisect
import itertools
from collections.abc import Iterable, Iterator
from typing import NamedTuple

_STEP_SHARE = 0.005
"""Distance of the windows that are compared, as a fraction of their length,
besides those that begin or end with a repeat."""


class Rule(NamedTuple):
    """What operators allow.

    Attributes:
        ratio: Repeats for each request.
        window_s: Length of a window.
        allowance_count: Repeats in each window besides.
    """

    ratio: float = 0.2
    window_s: float = 10.0
    allowance_count: float = 0.0


class Arrival(NamedTuple):
    """A request that came to a server.

    Attributes:
        at_s: When it came.
        request_id: Its id.
        is_accepted_prefill: Whether the server accepted to prefill it.
    """

    at_s: float
    request_id: str
    is_accepted_prefill: bool = False


class Window(NamedTuple):
    """One window.

    Attributes:
        from_s: Its begin.
        taken_count: Repeats in it.
        allowed_count: Repeats that are allowed in it.
    """

    from_s: float
    taken_count: int
    allowed_count: float

    @property
    def excess_count(self) -> float:
        """Repeats beyond what is allowed; 0 or less if there are none."""
        return self.taken_count - self.allowed_count


def repeats(arrivals: Iterable[Arrival]) -> list[Arrival]:
    """Returns the arrivals that are repeats, in order."""
    prefilled: set[str] = set()
    arrived: set[str] = set()
    found = []
    for arrival in sorted(arrivals):
        is_first_prefill = (
            arrival.is_accepted_prefill and arrival.request_id not in prefilled
        )
        if is_first_prefill:
            prefilled.add(arrival.request_id)
        elif arrival.request_id in arrived:
            found.append(arrival)
        else:
            arrived.add(arrival.request_id)
    return found


def worst(
    sent_s: Iterable[float], repeated_s: Iterable[float], rule: Rule
) -> Window:
    """Returns the window with the largest excess.

    Args:
        sent_s: When callers sent the requests.
        repeated_s: When repeats arrived at servers.
        rule: What is allowed.
    """
    return max(
        _windows(sorted(sent_s), sorted(repeated_s), rule),
        key=lambda window: window.excess_count,
        default=Window(0.0, 0, rule.allowance_count),
    )


def _windows(
    sent_s: list[float], repeated_s: list[float], rule: Rule
) -> Iterator[Window]:
    if not repeated_s:
        return
    step_s = _STEP_SHARE * rule.window_s
    first_s = repeated_s[0] - rule.window_s
    steps_count = int((repeated_s[-1] - first_s) / step_s) + 1
    for from_s in itertools.chain(
        (first_s + step * step_s for step in range(steps_count)),
        repeated_s,
        (at_s - rule.window_s for at_s in repeated_s),
    ):
        requests_count = max(
            _count(sent_s, from_s - earlier_s, rule.window_s)
            for earlier_s in (0.0, rule.window_s / 2, rule.window_s)
        )
        yield Window(
            from_s,
            _count(repeated_s, from_s, rule.window_s),
            rule.ratio * requests_count + rule.allowance_count,
        )


def _count(times_s: list[float], from_s: float, length_s: float) -> int:
    first = bisect.bisect_left(times_s, from_s)
    return bisect.bisect_right(times_s, from_s + length_s) - first
