"""The promise on request limits, held against what came to servers.

In any ``WINDOW_S`` that begins later than ``DIVIDED_WITHIN_S`` behind the first
answer with a limit, a server gets at most one and a half times the highest
limit that it stated in that window, and ``EXTRA_COUNT`` requests more. A
malformed limit leaves the one before in force; a later start of the server has
none until it states one.

Two kinds of requests are not counted: those of a gateway that has had an answer
with a readable limit for less than ``TOLD_S`` since its start, and those while
the way to the server is harmed, which holds requests back and lets them through
together.
"""

import bisect
import math
from collections.abc import Iterator
from typing import NamedTuple

from soak import calls, fleet
from standins import platform_server

DIVIDED_WITHIN_S = 3.0
WINDOW_S = 4.0
FACTOR = 1.5
EXTRA_COUNT = 5
TOLD_S = 1.0
HELD_S = 0.5


class _Sent(NamedTuple):
    """A request that came to a server, and the gateway that sent it."""

    at_s: float
    gateway: int
    server_born: int
    limit_text: str | None
    limit_per_s: float | None


def broken(played: fleet.Fleet, made: list[calls.Call]) -> Iterator[str]:
    """Yields a line for each server that got more than its limit."""
    request_ids = {call.request_id for call in made}
    for name, server in played.all_servers.items():
        sent = [
            _Sent(
                arrival.at_s,
                sender,
                arrival.born,
                arrival.limits[0] if arrival.limits else None,
                _limit_per_s(arrival),
            )
            for arrival in server.arrivals
            if arrival.request_id in request_ids
            and (sender := played.sender_of(arrival)) is not None
        ]
        for span in _limited_spans(sent):
            yield from _over_limit(played, name, span)


def _limit_per_s(arrival: platform_server.Arrival) -> float | None:
    """Returns the limit in an answer, None if there is none to be read."""
    if not arrival.limits or not _is_readable(arrival.limits[0]):
        return None
    return float(arrival.limits[0])


def _is_readable(text: str | None) -> bool:
    return text is not None and text.replace(".", "", 1).isdecimal()


def _limited_spans(sent: list[_Sent]) -> Iterator[list[_Sent]]:
    """Yields the requests of each span in which a limit was in force."""
    span: list[_Sent] = []
    for one in sent:
        if span and one.server_born != span[-1].server_born:
            yield span
            span = []
        if one.limit_per_s is not None:
            span.append(one)
        elif one.limit_text is not None and span:
            span.append(one._replace(limit_per_s=span[-1].limit_per_s))
        else:
            yield span
            span = []
    yield span


def _over_limit(
    played: fleet.Fleet, name: str, span: list[_Sent]
) -> Iterator[str]:
    first_s: dict[tuple[int, float], float] = {}
    counted = []
    for one in span:
        run = one.gateway, _started_s(played, one)
        if _is_readable(one.limit_text):
            first_s.setdefault(run, one.at_s)
        told_s = first_s.get(run, math.inf) + TOLD_S
        is_due = one.at_s >= span[0].at_s + DIVIDED_WITHIN_S
        if is_due and one.at_s >= told_s and not _was_held(played, name, one):
            counted.append(one)
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


def _started_s(played: fleet.Fleet, one: _Sent) -> float:
    """Returns when the gateway's process that sent a request was started."""
    return max(
        (
            ended_s
            for index, _, ended_s in played.starts
            if index == one.gateway and ended_s <= one.at_s
        ),
        default=0.0,
    )


def _was_held(played: fleet.Fleet, name: str, one: _Sent) -> bool:
    """Tells whether a request may have been held back on its way."""
    ways = f"server-{name}", f"path-{one.gateway}"
    return any(
        way in ways and began_s <= one.at_s <= ended_s + HELD_S
        for way, began_s, ended_s in played.harms
    )
