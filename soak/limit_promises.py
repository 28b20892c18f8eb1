"""The promise on request limits, held against what came to servers.

In any ``WINDOW_S`` that begins later than ``DIVIDED_WITHIN_S`` behind the first
answer with a limit, a server gets at most one and a half times the highest
limit that it stated in that window, and ``EXTRA_COUNT`` requests more. Requests
of a gateway that has had an answer with a limit for less than ``TOLD_S``, or
that was upset shortly before, are not counted.
"""

import bisect
from collections.abc import Iterator
from typing import NamedTuple

from soak import calls, fleet
from standins import platform_server

DIVIDED_WITHIN_S = 3.0
WINDOW_S = 4.0
FACTOR = 1.5
EXTRA_COUNT = 5
TOLD_S = 1.0


class _Sent(NamedTuple):
    """A request that came to a server, and the gateway that sent it."""

    at_s: float
    gateway: int
    limit_per_s: float | None


def broken(played: fleet.Fleet, made: list[calls.Call]) -> Iterator[str]:
    """Yields a line for each server that got more than its limit."""
    gateways = {call.request_id: call.gateway for call in made}
    for name, server in played.servers.items():
        sent = [
            _Sent(
                arrival.at_s,
                gateways[arrival.request_id],
                _limit_per_s(arrival),
            )
            for arrival in server.arrivals
            if arrival.request_id in gateways
        ]
        for span in _limited_spans(sent):
            yield from _over_limit(played, name, span)


def _limit_per_s(arrival: platform_server.Arrival) -> float | None:
    """Returns the limit in an answer, None if there is none to be read."""
    if not arrival.limits:
        return None
    text = arrival.limits[0]
    return float(text) if text.replace(".", "", 1).isdecimal() else None


def _limited_spans(sent: list[_Sent]) -> Iterator[list[_Sent]]:
    """Yields the requests of each span in which every answer had a limit."""
    span: list[_Sent] = []
    for one in sent:
        if one.limit_per_s is not None:
            span.append(one)
            continue
        if span:
            yield span
        span = []
    if span:
        yield span


def _over_limit(
    played: fleet.Fleet, name: str, span: list[_Sent]
) -> Iterator[str]:
    first_s: dict[int, float] = {}
    for one in span:
        first_s.setdefault(one.gateway, one.at_s)
    counted = [
        one
        for one in span
        if one.at_s >= span[0].at_s + DIVIDED_WITHIN_S
        and one.at_s >= first_s[one.gateway] + TOLD_S
        and not _was_upset(played, one)
    ]
    times_s = [one.at_s for one in counted]
    for index, one in enumerate(counted):
        end = bisect.bisect_right(times_s, one.at_s + WINDOW_S)
        window = counted[index:end]
        highest = max(each.limit_per_s or 0.0 for each in window)
        allowed = FACTOR * highest * WINDOW_S + EXTRA_COUNT
        if len(window) > allowed:
            yield (
                f"{name} stated {highest} a second, sent {len(window)} in"
                f" {WINDOW_S} s; allowed {allowed:.0f}"
            )
            return


def _was_upset(played: fleet.Fleet, one: _Sent) -> bool:
    return any(
        index == one.gateway
        and began_s <= one.at_s <= ended_s + DIVIDED_WITHIN_S
        for index, began_s, ended_s in played.upsets
    )
