"""Chooses the home engines of shared parts, and the engines to compare.

The home engines of a part are those that all gateways prefer for prompts with
the part. Only a sample of all engines is compared for a prompt.
"""

import heapq
import random
from collections.abc import Callable, Iterable, Sequence

import xxhash

from mulberrywharf import fleet

HOMES_COUNT = 3
"""Home engines of a part, per role; they are always compared."""

SAMPLE_COUNT = 8
"""Engines of each role that are compared for a prompt. All plans between them
are scored, so the cost of a decision grows with the square of this. The best of
eight is seldom much worse than the best of all, and gateways that compare all
engines would all choose the same one."""


def home_engines_of(
    part_key: int, candidates: Iterable[fleet.Server], count: int = HOMES_COUNT
) -> list[fleet.Server]:
    """Returns the home engines of a part, the first home first.

    Rendezvous hashing: every gateway gets the same result without
    communication, and an engine that joins or leaves moves only the parts that
    it gains or loses.

    Args:
        part_key: Key of the part, see ``part_caches.HeldPart``.
        candidates: Engines that may be its home.
        count: Number of engines to return.
    """
    return heapq.nlargest(
        count,
        candidates,
        key=lambda one: xxhash.xxh3_64_intdigest(
            one.server_id.encode(), seed=part_key
        ),
    )


def sample(
    home_engines: Sequence[fleet.Server],
    candidates: Sequence[fleet.Server],
    rng: random.Random,
    *,
    is_preferred: Callable[[fleet.Server], bool] = lambda _: False,
    is_suspected: Callable[[fleet.Server], bool] = lambda _: False,
) -> list[fleet.Server]:
    """Returns the engines of one role that are compared for a prompt.

    Args:
        home_engines: Home engines of its shared part; always included.
        candidates: All engines of the role.
        rng: Draws the other engines.
        is_preferred: Returns whether an engine is drawn before others.
        is_suspected: Returns whether an engine is drawn only if no other is
            left.
    """
    if len(candidates) <= SAMPLE_COUNT:
        return list(candidates)
    others = [one for one in candidates if one not in home_engines]
    rng.shuffle(others)
    others.sort(key=lambda one: (is_suspected(one), not is_preferred(one)))
    return [*home_engines, *others[: SAMPLE_COUNT - len(home_engines)]]
