"""Which engine is believed to hold which parts of prompts.

A prompt is a chain of parts. A part is known by itself and all parts before
it, since what an engine keeps of it depends on them; so the parts that one
engine holds form a tree. An engine keeps what it read and drops the least
recently used parts when its memory is full, those at the end of a chain first.
A node knows the prompts that it sent, hears of those that others sent, and
replays the same rule on them. A notice that was lost makes the belief too
small or, by the parts that the engine dropped for it, too large; either costs
time, never a wrong answer.
"""

import collections
from collections.abc import Iterable, Sequence
from typing import NamedTuple

import xxhash

from mulberrywharf import fleet

USABLE_SHARE = 0.9
"""Part of an engine's memory that cached parts can count on. The rest is taken
by running requests, which never yield to cached parts."""

_OWN_KEY_BITS = 64


class HeldPart(NamedTuple):
    """A part with all that comes before it.

    Attributes:
        key: 64 bits that stand for the part and all parts before it.
        tokens: Length of the part alone.
    """

    key: int
    tokens: int


class ChainPart(NamedTuple):
    """A part of one prompt.

    Attributes:
        held: What an engine that holds it is known to hold.
        end_tokens: Length of the prompt up to the part's end.
    """

    held: HeldPart
    end_tokens: int


def chain(parts: Iterable[tuple[str, int]]) -> tuple[ChainPart, ...]:
    """Returns the parts of a prompt by what they share with other prompts.

    Args:
        parts: Id and length of each part, in order.
    """
    found = []
    key = 0
    end_tokens = 0
    for part_id, tokens in parts:
        key = xxhash.xxh3_64_intdigest(part_id.encode(), seed=key)
        end_tokens += tokens
        found.append(ChainPart(HeldPart(key, tokens), end_tokens))
    return tuple(found)


class _Cache:
    """Parts of one engine, the least recently used first.

    Whoever uses a part uses all parts before it. Noted from the end of the
    chain to its beginning, a part is always older than those before it, so
    the oldest one is the end of a chain.
    """

    def __init__(self) -> None:
        self.parts: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self.tokens = 0

    def use(self, part: HeldPart) -> None:
        self.tokens += part.tokens - self.parts.pop(part.key, 0)
        self.parts[part.key] = part.tokens

    def shrink(self, limit_tokens: float) -> None:
        while self.tokens > limit_tokens and len(self.parts) > 1:
            _, tokens = self.parts.popitem(last=False)
            self.tokens -= tokens


class PartCaches:
    """Beliefs about all engines."""

    def __init__(self) -> None:
        self._by_engine: dict[fleet.ServerStart, _Cache] = {}
        self._own_count = 0

    def keep_only(self, engines: frozenset[fleet.ServerStart]) -> None:
        """Forgets engines that left."""
        self._by_engine = {
            engine: cache
            for engine, cache in self._by_engine.items()
            if engine in engines
        }

    def note_read(
        self,
        engine: fleet.ServerStart,
        parts: Sequence[HeldPart],
        memory_tokens: int,
    ) -> None:
        """Records that an engine holds the beginning of a prompt now.

        Args:
            engine: The engine.
            parts: Its parts in order; some may be left out.
            memory_tokens: What the engine's memory holds.
        """
        cache = self._by_engine.setdefault(engine, _Cache())
        for part in reversed(parts):
            cache.use(part)
        cache.shrink(memory_tokens * USABLE_SHARE)

    def note_own(
        self, engine: fleet.ServerStart, tokens: int, memory_tokens: int
    ) -> None:
        """Records tokens that no other prompt will share.

        An engine keeps them like any others, so they push shared parts out:
        left out of the account, parts are believed held that were dropped
        seconds ago, and prompts are sent where they must be read anew.

        Args:
            engine: The engine.
            tokens: How many.
            memory_tokens: What the engine's memory holds.
        """
        self._own_count += 1
        key = (1 << _OWN_KEY_BITS) + self._own_count
        self.note_read(engine, (HeldPart(key, tokens),), memory_tokens)

    def holds(self, engine: fleet.ServerStart, key: int) -> bool:
        """Tells whether an engine is believed to hold a part."""
        cache = self._by_engine.get(engine)
        return cache is not None and key in cache.parts

    def cached_tokens(
        self, engine: fleet.ServerStart, parts: Sequence[ChainPart]
    ) -> int:
        """Returns the leading tokens of a prompt that an engine holds.

        An engine that holds a part holds all parts before it, also those
        that nobody told of.
        """
        cache = self._by_engine.get(engine)
        if cache is None:
            return 0
        for part in reversed(parts):
            if part.held.key in cache.parts:
                return part.end_tokens
        return 0
