"""Which engine is believed to hold which parts of prompts.

An engine keeps the parts of the prompts that it read and drops the least
recently used ones when its memory is full. A node knows the parts that it sent
itself and replays the same rule on them; what other nodes send there is told
by them or stays unknown, so the belief errs towards too much.
"""

import collections
from collections.abc import Sequence

from mulberrywharf.forwarding import request

USABLE_SHARE = 0.8
"""Part of an engine's memory that cached parts can count on. The rest is taken
by running requests, which never yield to cached parts."""


class _Cache:
    """Parts of one engine, the least recently used first."""

    def __init__(self) -> None:
        self.parts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.tokens = 0

    def use(self, part: request.PromptPart, limit_tokens: float) -> None:
        self.drop(part.part_id)
        self.parts[part.part_id] = part.tokens
        self.tokens += part.tokens
        while self.tokens > limit_tokens and len(self.parts) > 1:
            _, tokens = self.parts.popitem(last=False)
            self.tokens -= tokens

    def drop(self, part_id: str) -> None:
        self.tokens -= self.parts.pop(part_id, 0)


class PartCaches:
    """Beliefs about all engines."""

    def __init__(self) -> None:
        self._by_engine: dict[str, _Cache] = {}

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
        parts: Sequence[request.PromptPart],
        memory_tokens: int,
    ) -> None:
        """Records that an engine holds the parts of a prompt now.

        Args:
            engine_id: The engine.
            parts: All parts in order. The last one belongs to the request
                alone and isn't worth remembering.
            memory_tokens: What the engine's memory holds.
        """
        cache = self._by_engine.setdefault(engine_id, _Cache())
        for part in parts[:-1]:
            cache.use(part, memory_tokens * USABLE_SHARE)

    def note_dropped(self, engine_id: str, part_id: str) -> None:
        """Records that an engine no longer holds a part."""
        cache = self._by_engine.get(engine_id)
        if cache is not None:
            cache.drop(part_id)

    def forget(self, engine_id: str) -> None:
        """Forgets all parts of an engine, such as after its restart."""
        self._by_engine.pop(engine_id, None)

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
            if part.part_id not in cache.parts:
                break
            tokens += part.tokens
        return tokens
