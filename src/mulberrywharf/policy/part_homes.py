"""Where the shared parts of prompts live, and which engines are looked at."""

import heapq
import random
from collections.abc import Callable, Iterable, Sequence

import xxhash

from mulberrywharf import fleet

SHORTLIST_COUNT = 3
"""Homes of a part that are always looked at, of each role."""

SAMPLE_COUNT = 8
"""Engines of each role that are looked at. All ways between them are compared,
so a decision costs the square of it; the best of eight is seldom much worse
than the best of all, and gateways that look at all herd to the same one."""


def homes(
    part_key: int, among: Iterable[fleet.Server], count: int = SHORTLIST_COUNT
) -> list[fleet.Server]:
    """Returns the engines where a part lives, the first home first.

    Rendezvous hashing: every node finds the same ones without a message, and
    an engine that comes or goes moves only the parts that it has or gets.

    Args:
        part_key: Of the part, see ``part_caches.HeldPart``.
        among: Engines that may be its home.
        count: How many to return.
    """
    return heapq.nlargest(
        count,
        among,
        key=lambda one: xxhash.xxh3_64_intdigest(
            one.server_id.encode(), seed=part_key
        ),
    )


def sample(
    homes_first: Sequence[fleet.Server],
    among: Sequence[fleet.Server],
    rng: random.Random,
    *,
    is_preferred: Callable[[fleet.Server], bool] = lambda _: False,
) -> list[fleet.Server]:
    """Returns the engines of one role that are looked at for a prompt.

    Args:
        homes_first: Homes of its shared part; always among them.
        among: All engines of the role.
        rng: Draws the others.
        is_preferred: Tells which of these are drawn first.
    """
    if len(among) <= SAMPLE_COUNT:
        return list(among)
    others = [one for one in among if one not in homes_first]
    rng.shuffle(others)
    others.sort(key=lambda one: not is_preferred(one))
    return [*homes_first, *others[: SAMPLE_COUNT - len(homes_first)]]
