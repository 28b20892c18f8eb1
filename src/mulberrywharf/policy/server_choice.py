"""Chooses the server for a request to a plain service.

The servers of a plain service are not language-model engines. The
choice is made for services with a few servers of a few slots each, whose
callers expect an answer within about five times the processing time. Some of
the servers become slow or fail a part of their requests while they report that
they are healthy.
"""

import random
from collections.abc import Sequence
from typing import NamedTuple

from mulberrywharf import fleet

OTHER_ZONE_COST = 0.15
"""Cost of a server in another zone; 1 is the cost of all slots in use. A server
in this gateway's own zone is preferred until it is fuller by this fraction of
its slots. A hop to another zone adds about 1 ms to about 20 ms of work, and its
traffic is billed."""

FAILURE_COST = 2.0
"""Cost of a server that fails all requests; 1 is the cost of all slots in use.
A failure share that is 0.1 higher costs as much as another fifth of the slots
in use, so that random failures of a healthy service shift little load."""

SUSPECT_COST = 10.0
"""Cost of a server that recently did not answer. It exceeds the cost of any
load, so such a server gets requests only if no other server answered either."""


class Candidate(NamedTuple):
    """A server as this gateway sees it.

    Attributes:
        server: The server.
        own_in_flight_count: This gateway's requests in flight at the server.
        others_in_flight_count: Estimated requests in flight there from other
            gateways.
        failure_share: Fraction of its recent answers that were failures.
        slowdown: Its recent answer time relative to its peers; 1 if equal, more
            if it is slower.
        is_suspected: Whether it recently did not answer.
        is_same_zone: Whether it is in this gateway's availability zone.
        longest_s: Time within which it almost certainly answers; None if
            unknown, as for servers that state no pace.
    """

    server: fleet.Server
    own_in_flight_count: int = 0
    others_in_flight_count: float = 0.0
    failure_share: float = 0.0
    slowdown: float = 1.0
    is_suspected: bool = False
    is_same_zone: bool = True
    longest_s: float | None = None


def cost(candidate: Candidate) -> float:
    """Returns the cost of one more request; 1 is that of all slots in use."""
    busy_count = (
        candidate.own_in_flight_count + candidate.others_in_flight_count + 1
    )
    occupied_share = busy_count / max(1, candidate.server.slots_count)
    return (
        occupied_share * candidate.slowdown
        + FAILURE_COST * candidate.failure_share
        + (SUSPECT_COST if candidate.is_suspected else 0.0)
        + (0.0 if candidate.is_same_zone else OTHER_ZONE_COST)
    )


def choose(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate | None:
    """Returns the candidate of the lowest cost; ties are broken at random.

    Args:
        candidates: Servers that the request was not sent to yet.
        rng: Breaks ties, so that gateways that choose at the same time do not
            all choose the same server.
    """
    if not candidates:
        return None
    return min(
        candidates, key=lambda candidate: (cost(candidate), rng.random())
    )


def choose_most_certain(
    candidates: Sequence[Candidate], left_s: float, rng: random.Random
) -> Candidate | None:
    """Returns the candidate for a call that can't be sent again if it is late.

    Under load, some servers need longer than the time that is left. The call is
    not sent to these if another almost certainly answers in time. If none does,
    it is sent to the one with the shortest time. Other calls may be repeated at
    another server, so they are not restricted.

    Args:
        candidates: Servers that the call was not sent to yet.
        left_s: Time left for the server until the caller's deadline.
        rng: Breaks ties, as in ``choose``.
    """
    timely = [
        candidate
        for candidate in candidates
        if candidate.longest_s is None or candidate.longest_s <= left_s
    ]
    if timely:
        return choose(timely, rng)
    return min(
        candidates,
        key=lambda candidate: (
            candidate.is_suspected,
            candidate.longest_s,
            rng.random(),
        ),
        default=None,
    )
