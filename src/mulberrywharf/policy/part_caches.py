"""Estimates which parts of prompts each engine has cached.

A prompt is a chain of parts. The KV cache of a part depends on all parts before
it, so a part is identified by itself and its predecessors, and the parts that
an engine holds form a tree. An engine caches what it prefilled and evicts the
least recently used parts when its memory is full, those at the end of a chain
first.

A gateway applies the same eviction rule to the prompts that it sent and to
those that other gateways reported. If a report is lost, the gateway misses a
part, or still assumes parts that the engine evicted for it. Either costs time
but never gives a wrong answer.
"""

import collections
from collections.abc import Iterable, Sequence
from typing import NamedTuple

import xxhash

from mulberrywharf import fleet

CACHE_MEMORY_SHARE = 0.9
"""Share of an engine's memory that is available to cached parts. Running
requests use the rest, and are never evicted for cached parts."""

_PART_KEY_BITS = 64


class HeldPart(NamedTuple):
    """Identity and length of a part, whether or not any engine holds it.

    A part is identified together with all parts before it.

    Attributes:
        key: 64-bit hash of the part and all parts before it.
        tokens: Length of the part alone.
    """

    key: int
    tokens: int


class ChainPart(NamedTuple):
    """A part of one prompt.

    Attributes:
        held: Identity and length of the part, as tracked in caches.
        end_tokens: Length of the prompt up to the end of the part.
    """

    held: HeldPart
    end_tokens: int


def chain(parts: Iterable[tuple[str, int]]) -> tuple[ChainPart, ...]:
    """Returns the parts of a prompt with keys that equal prefixes share.

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


class _LruCache:
    """The cached parts of one engine, the least recently used first.

    A prompt that uses a part uses all parts before it. Parts are recorded from
    the end of the chain to its beginning, so a part is always older than those
    before it, and the oldest part is the end of a chain.
    """

    def __init__(self) -> None:
        self.parts: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self.tokens = 0

    def touch(self, part: HeldPart) -> None:
        self.tokens += part.tokens - self.parts.pop(part.key, 0)
        self.parts[part.key] = part.tokens

    def evict_beyond(self, limit_tokens: float) -> None:
        while self.tokens > limit_tokens and len(self.parts) > 1:
            _, tokens = self.parts.popitem(last=False)
            self.tokens -= tokens


class PartCaches:
    """Estimated cache contents of all engines."""

    def __init__(self) -> None:
        self._by_engine: dict[fleet.ServerStart, _LruCache] = {}
        self._unshared_count = 0

    def keep_only(self, engines: frozenset[fleet.ServerStart]) -> None:
        """Forgets engines that are not in ``engines``."""
        self._by_engine = {
            engine: cache
            for engine, cache in self._by_engine.items()
            if engine in engines
        }

    def record_cached(
        self,
        engine: fleet.ServerStart,
        parts: Sequence[HeldPart],
        memory_tokens: int,
    ) -> None:
        """Records that an engine now has the beginning of a prompt cached.

        Args:
            engine: The engine.
            parts: The prompt's parts in order; some may be left out.
            memory_tokens: Capacity of the engine's memory.
        """
        cache = self._by_engine.setdefault(engine, _LruCache())
        for part in reversed(parts):
            cache.touch(part)
        cache.evict_beyond(memory_tokens * CACHE_MEMORY_SHARE)

    def record_unshared(
        self, engine: fleet.ServerStart, tokens: int, memory_tokens: int
    ) -> None:
        """Records tokens that no other prompt will share.

        An engine caches them like any others, so they evict shared parts. If
        they weren't counted, parts that were evicted seconds ago would be
        assumed to be held, and prompts would be sent to engines that must
        prefill them again.

        Args:
            engine: The engine.
            tokens: Number of tokens.
            memory_tokens: Capacity of the engine's memory.
        """
        self._unshared_count += 1
        key = (1 << _PART_KEY_BITS) + self._unshared_count
        self.record_cached(engine, (HeldPart(key, tokens),), memory_tokens)

    def holds(self, engine: fleet.ServerStart, key: int) -> bool:
        """Returns whether an engine is estimated to hold a part."""
        cache = self._by_engine.get(engine)
        return cache is not None and key in cache.parts

    def cached_tokens(
        self, engine: fleet.ServerStart, parts: Sequence[ChainPart]
    ) -> int:
        """Returns the leading tokens of a prompt that an engine holds.

        An engine that holds a part holds all parts before it, including those
        that were not reported.
        """
        cache = self._by_engine.get(engine)
        if cache is None:
            return 0
        for part in reversed(parts):
            if part.held.key in cache.parts:
                return part.end_tokens
        return 0
