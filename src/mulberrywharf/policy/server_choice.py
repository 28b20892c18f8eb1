"""Chooses the server of a plain service.

The load it answers: a few servers with few slots each, whose callers expect
an answer within some five times the work it takes, some servers of which turn
slow or fail a part of their requests while they report themselves healthy.
"""

import random
from collections.abc import Sequence
from typing import NamedTuple

from mulberrywharf import fleet

OTHER_ZONE_COST = 0.15
"""In shares of a server's slots: the own zone is left once it is that much
fuller. A hop to another zone takes about 1 ms of some 20 ms of work, and its
bytes are paid for."""

FAILURE_COST = 2.0
"""In shares of slots for a server that fails everything. One that fails a
tenth more than its peers is left when it is a fifth fuller, so that noise in
the failures of a healthy service moves little load."""

SUSPECT_COST = 10.0
"""More than any load: a server that did not answer gets work only when every
other one did not answer either."""


class Candidate(NamedTuple):
    """A server as this node sees it.

    Attributes:
        server: The server.
        own_count: Requests that this node has there.
        others_count: Requests that other nodes are believed to have there.
        failure_share: Share of its recent answers that were failures.
        pace: Its recent answer time against that of its peers, 1 for equal.
        is_suspected: Whether it did not answer a moment ago.
        is_near: Whether it stands in the node's availability zone.
    """

    server: fleet.Server
    own_count: int = 0
    others_count: float = 0.0
    failure_share: float = 0.0
    pace: float = 1.0
    is_suspected: bool = False
    is_near: bool = True


def cost(candidate: Candidate) -> float:
    """Returns what sending one more request there costs, in shares of slots."""
    busy_count = candidate.own_count + candidate.others_count + 1
    occupied_share = busy_count / max(1, candidate.server.slots_count)
    return (
        occupied_share * candidate.pace
        + FAILURE_COST * candidate.failure_share
        + (SUSPECT_COST if candidate.is_suspected else 0.0)
        + (0.0 if candidate.is_near else OTHER_ZONE_COST)
    )


def choose(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate | None:
    """Returns the cheapest candidate, one of the equals at random.

    Args:
        candidates: Servers that the request was not sent to yet.
        rng: Breaks ties, so that nodes in step do not choose alike.
    """
    if not candidates:
        return None
    return min(candidates, key=lambda one: (cost(one), rng.random()))
