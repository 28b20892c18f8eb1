"""Which parts of a prompt decide where it goes, and are told to peers."""

from mulberrywharf.forwarding import request
from mulberrywharf.policy import part_caches

TOLD_PART_TOKENS = 1_000
"""Shorter parts are not told: reading one takes some 10 to 20 ms, less than
what an estimate of a queue is off by."""

TOLD_PARTS_LIMIT_COUNT = 4
"""Parts told of one prompt, its longest ones, some 13 bytes each."""


def chain_of(
    prompt: request.Prompt | None,
) -> tuple[part_caches.ChainPart, ...]:
    """Returns the parts of a prompt by what they share with others."""
    return part_caches.chain(prompt.parts) if prompt else ()


def part_of_home(
    parts: tuple[part_caches.ChainPart, ...],
) -> part_caches.ChainPart | None:
    """Returns the part by which a prompt has a home, None if it has none.

    It is the longest one that others share, so that prompts with a long
    common beginning meet at one engine, whatever short parts follow it.
    """
    shared = parts[:-1]
    found = max(shared, key=lambda one: one.held.tokens, default=None)
    if found is None or found.held.tokens < TOLD_PART_TOKENS:
        return None
    return found


def told(
    parts: tuple[part_caches.ChainPart, ...],
) -> tuple[part_caches.HeldPart, ...]:
    """Returns the shared parts that are worth an account of their own."""
    return tuple(part.held for part in told_chain(parts))


def told_chain(
    parts: tuple[part_caches.ChainPart, ...],
) -> tuple[part_caches.ChainPart, ...]:
    """Returns the same with where in the prompt they end.

    The others together take less time to read than one placement to tell.
    """
    long = [part for part in parts[:-1] if part.held.tokens >= TOLD_PART_TOKENS]
    by_length = sorted(long, key=lambda part: part.held.tokens, reverse=True)
    kept = set(by_length[:TOLD_PARTS_LIMIT_COUNT])
    return tuple(part for part in long if part in kept)
