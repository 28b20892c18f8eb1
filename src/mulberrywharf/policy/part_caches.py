"""Which engine is believed to hold which parts of prompts.

An engine keeps the parts of the prompts that it read and drops the least
recently used ones when its memory is full. A node knows those that it sent,
hears of those that others sent, and replays the same rule on them. A notice
that was lost makes the belief too small or, by the parts that the engine
dropped for it, too large; either costs time, never a wrong answer.
"""

import collections
from collections.abc import Sequence

import xxhash

from mulberrywharf.forwarding import request

USABLE_SHARE = 0.9
"""Part of an engine's memory that cached parts can count on. The rest is taken
by running requests, which never yield to cached parts."""

_OWN_KEY_BITS = 64


class _Cache:
    """Parts of one engine, the least recently used first."""

    def __init__(self) -> None:
        self.parts: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self.tokens = 0

    def use(self, key: int, tokens: int, limit_tokens: float) -> None:
        self.drop(key)
        self.parts[key] = tokens
        self.tokens += tokens
        while self.tokens > limit_tokens and len(self.parts) > 1:
            _, tokens = self.parts.popitem(last=False)
            self.tokens -= tokens

    def drop(self, key: int) -> None:
        self.tokens -= self.parts.pop(key, 0)


def part_key(part_id: str) -> int:
    """Returns the 64 bits that stand for a part's id."""
    return xxhash.xxh3_64_intdigest(part_id.encode())


class PartCaches:
    """Beliefs about all engines."""

    def __init__(self) -> None:
        self._by_engine: dict[str, _Cache] = {}
        self._own_count = 0

    def keep_only(self, engine_ids: frozenset[str]) -> None:
        """Forgets engines that left."""
        self._by_engine = {
            engine_id: cache
            for engine_id, cache in self._by_engine.items()
            if engine_id in engine_ids
        }

    def note_read(
        self,
        engine_id: str,
        key: int,
        tokens: int,
        memory_tokens: int,
    ) -> None:
        """Records that an engine holds a part now.

        Args:
            engine_id: The engine.
            key: Of the part, see ``part_key``.
            tokens: Length of the part.
            memory_tokens: What the engine's memory holds.
        """
        cache = self._by_engine.setdefault(engine_id, _Cache())
        cache.use(key, tokens, memory_tokens * USABLE_SHARE)

    def note_own(self, engine_id: str, tokens: int, memory_tokens: int) -> None:
        """Records tokens that no other prompt will share.

        An engine keeps them like any others, so they push shared parts out:
        left out of the account, parts are believed held that were dropped
        seconds ago, and prompts are sent where they must be read anew.

        Args:
            engine_id: The engine.
            tokens: How many.
            memory_tokens: What the engine's memory holds.
        """
        self._own_count += 1
        key = (1 << _OWN_KEY_BITS) + self._own_count
        self.note_read(engine_id, key, tokens, memory_tokens)

    def note_dropped(self, engine_id: str, key: int) -> None:
        """Records that an engine no longer holds a part."""
        cache = self._by_engine.get(engine_id)
        if cache is not None:
            cache.drop(key)

    def forget(self, engine_id: str) -> None:
        """Forgets all parts of an engine, such as after its restart."""
        self._by_engine.pop(engine_id, None)

    def holds(self, engine_id: str, key: int) -> bool:
        """Tells whether an engine is believed to hold a part."""
        cache = self._by_engine.get(engine_id)
        return cache is not None and key in cache.parts

    def cached_tokens(
        self, engine_id: str, parts: Sequence[request.PromptPart]
    ) -> int:
        """Returns the leading tokens of a prompt that an engine holds.

        A part counts only if all parts before it are held too.
        """
        cache = self._by_engine.get(engine_id)
        if cache is None:
            return 0
        tokens = 0
        for part in parts:
            if part_key(part.part_id) not in cache.parts:
                break
            tokens += part.tokens
        return tokens
