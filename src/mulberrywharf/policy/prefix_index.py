"""Which engine is believed to hold which blocks of prompts.

Engines publish cache events late and with gaps, so every entry is a belief
that ages. After a gap an eviction may have been missed: what was known of that
engine before the gap is believed only for a short while longer. Memory is
bounded; the block used least recently goes first.
"""

import collections
from collections.abc import Iterable, Sequence
from typing import Literal, NamedTuple

import xxhash

BLOCK_TOKENS = 64
"""Prompt tokens (words split on white space) in one block."""


class CacheEvent(NamedTuple):
    """One change of an engine's prefix cache, as the engine published it.

    Attributes:
        sequence: Rises by one with each event of the engine.
        kind: What happened to the block.
        block_hash: Hash of the prompt's text up to the end of the block.
    """

    sequence: int
    kind: Literal["stored", "evicted"]
    block_hash: str


class PrefixSettings(NamedTuple):
    """Bounds of the index.

    Attributes:
        entries_limit_count: Most pairs of block and engine held.
        lifetime_s: How long an entry is believed without being renewed.
        gap_lifetime_s: How long entries from before a gap are believed.
    """

    entries_limit_count: int = 100_000
    lifetime_s: float = 300.0
    gap_lifetime_s: float = 5.0


class _Feed:
    """What is known of one engine's stream of events."""

    __slots__ = ("forgotten_s", "gap_s", "last_sequence")

    def __init__(self) -> None:
        self.last_sequence: int | None = None
        self.gap_s = float("-inf")
        self.forgotten_s = float("-inf")


def prompt_block_hashes(prompt: str) -> tuple[str, ...]:
    """Returns the hash of each whole block of the prompt.

    The hash of a block is the xxh64 hex digest of the prompt's words up to
    the block's end, joined by single spaces, so equal hashes mean equal
    beginnings. An incomplete last block has none.
    """
    words = prompt.split()
    digest = xxhash.xxh64()
    hashes = []
    for start in range(0, len(words) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        block_text = " ".join(words[start : start + BLOCK_TOKENS])
        separator = "" if start == 0 else " "
        digest.update((separator + block_text).encode())
        hashes.append(digest.hexdigest())
    return tuple(hashes)


class PrefixIndex:
    """Beliefs about the engines' prefix caches, bounded and ageing."""

    def __init__(self, settings: PrefixSettings):
        self._settings = settings
        # block -> engine id -> when the entry was last confirmed.
        self._holders: collections.OrderedDict[int, dict[str, float]] = (
            collections.OrderedDict()
        )
        self._feeds: dict[str, _Feed] = {}
        self._entry_count = 0

    @classmethod
    def from_config(
        cls, settings: PrefixSettings | None = None
    ) -> "PrefixIndex":
        """Makes an empty index, with the default bounds when none given."""
        return cls(settings or PrefixSettings())

    @property
    def entry_count(self) -> int:
        """Pairs of block and engine held now."""
        return self._entry_count

    def last_sequence(self, engine_id: str) -> int:
        """Returns the last sequence seen of the engine, 0 if none."""
        feed = self._feeds.get(engine_id)
        if feed is None or feed.last_sequence is None:
            return 0
        return feed.last_sequence

    def apply(
        self,
        engine_id: str,
        events: Iterable[CacheEvent],
        last_sequence: int,
        now_s: float,
    ) -> None:
        """Takes in one batch of events.

        Args:
            engine_id: The engine that published them.
            events: Those that arrived, in order; some may be missing.
            last_sequence: The engine's last sequence; a jump past the last
                event is a gap too, a number that went back a restart.
            now_s: The present.
        """
        feed = self._feeds.setdefault(engine_id, _Feed())
        if feed.last_sequence is not None and (
            last_sequence < feed.last_sequence
        ):
            # A restarted engine counts anew and has an empty cache.
            feed.forgotten_s = now_s
            feed.last_sequence = 0
        for event in events:
            self._take_event(engine_id, feed, event, now_s)
        if feed.last_sequence is None or last_sequence > feed.last_sequence:
            if feed.last_sequence is not None:
                feed.gap_s = now_s
            feed.last_sequence = last_sequence

    def note_sent(
        self, engine_id: str, block_hashes: Sequence[str], now_s: float
    ) -> None:
        """Records that a prompt was prefilled at the engine.

        Events come late; a prompt that we sent ourselves is known at once.
        """
        for block_hash in block_hashes:
            self._store(engine_id, int(block_hash, 16), now_s)

    def forget(self, engine_id: str) -> None:
        """Drops all that is known of an engine that went or changed."""
        self._feeds.pop(engine_id, None)
        empty = []
        for block, holders in self._holders.items():
            if holders.pop(engine_id, None) is not None:
                self._entry_count -= 1
            if not holders:
                empty.append(block)
        for block in empty:
            del self._holders[block]

    def cached_block_counts(
        self, block_hashes: Sequence[str], now_s: float
    ) -> dict[str, int]:
        """Returns how many leading blocks each engine is believed to hold.

        Engines that hold none are left out.
        """
        counts: dict[str, int] = {}
        for depth, block_hash in enumerate(block_hashes):
            block = int(block_hash, 16)
            holders = self._holders.get(block)
            if not holders:
                break
            any_left = False
            for engine_id, confirmed_s in holders.items():
                if counts.get(engine_id, 0) != depth:
                    continue
                if self._is_believed(engine_id, confirmed_s, now_s):
                    counts[engine_id] = depth + 1
                    any_left = True
            if not any_left:
                break
            self._holders.move_to_end(block)
        return counts

    def _is_believed(
        self, engine_id: str, confirmed_s: float, now_s: float
    ) -> bool:
        if now_s - confirmed_s > self._settings.lifetime_s:
            return False
        feed = self._feeds.get(engine_id)
        if feed is None:
            return True
        if confirmed_s < feed.forgotten_s:
            return False
        if confirmed_s >= feed.gap_s:
            return True
        return now_s - feed.gap_s <= self._settings.gap_lifetime_s

    def _take_event(
        self, engine_id: str, feed: _Feed, event: CacheEvent, now_s: float
    ) -> None:
        if feed.last_sequence is not None:
            if event.sequence <= feed.last_sequence:
                return
            if event.sequence > feed.last_sequence + 1:
                feed.gap_s = now_s
        feed.last_sequence = event.sequence
        block = int(event.block_hash, 16)
        if event.kind == "stored":
            self._store(engine_id, block, now_s)
        else:
            self._evict(engine_id, block)

    def _store(self, engine_id: str, block: int, now_s: float) -> None:
        holders = self._holders.setdefault(block, {})
        self._holders.move_to_end(block)
        if engine_id not in holders:
            self._entry_count += 1
        holders[engine_id] = now_s
        while self._entry_count > self._settings.entries_limit_count:
            _, dropped = self._holders.popitem(last=False)
            self._entry_count -= len(dropped)

    def _evict(self, engine_id: str, block: int) -> None:
        holders = self._holders.get(block)
        if holders is None or holders.pop(engine_id, None) is None:
            return
        self._entry_count -= 1
        if not holders:
            del self._holders[block]
