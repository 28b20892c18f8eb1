"""Selects the prompt parts that decide placement and are reported to peers."""

from mulberrywharf.forwarding import request
from mulberrywharf.policy import part_caches

REPORTED_PART_MIN_TOKENS = 1_000
"""Shorter parts are not reported: their prefill takes some 10 to 20 ms, less
than the error of a queue estimate."""

REPORTED_PARTS_LIMIT_COUNT = 4
"""Maximum number of parts reported of one prompt; the longest are chosen. Each
takes about 13 bytes in a message."""


def chain_of(
    prompt: request.Prompt | None,
) -> tuple[part_caches.ChainPart, ...]:
    """Returns the parts of a prompt.

    The key of each covers the prompt up to the end of that part.
    """
    return part_caches.chain(prompt.parts) if prompt else ()


def home_part_of(
    parts: tuple[part_caches.ChainPart, ...],
) -> part_caches.ChainPart | None:
    """Returns the part whose home engine a prompt prefers, None without one.

    It is the longest shared part, so that prompts with a long common prefix go
    to the same engine, whatever short parts follow it.
    """
    shared = parts[:-1]
    found = max(shared, key=lambda one: one.held.tokens, default=None)
    if found is None or found.held.tokens < REPORTED_PART_MIN_TOKENS:
        return None
    return found


def reported_parts(
    parts: tuple[part_caches.ChainPart, ...],
) -> tuple[part_caches.HeldPart, ...]:
    """Returns the shared parts that are reported to peers, in order."""
    return tuple(part.held for part in reported_chain(parts))


def reported_chain(
    parts: tuple[part_caches.ChainPart, ...],
) -> tuple[part_caches.ChainPart, ...]:
    """Returns the parts of ``reported_parts``, each with its end position.

    The prefill of a part below the minimum takes less time than sending one
    placement notice; see also ``REPORTED_PART_MIN_TOKENS``.
    """
    long = [
        part
        for part in parts[:-1]
        if part.held.tokens >= REPORTED_PART_MIN_TOKENS
    ]
    by_length = sorted(long, key=lambda part: part.held.tokens, reverse=True)
    kept = set(by_length[:REPORTED_PARTS_LIMIT_COUNT])
    return tuple(part for part in long if part in kept)
