"""Tracks which prompt blocks each engine is assumed to cache.

Engines publish cache events late and with gaps, so entries are estimates that
expire. After a gap, an eviction may have been missed; entries of that engine
from before the gap then expire early. Memory is bounded: the least recently
used block is dropped first.
"""

import collections
from collections.abc import Iterable, Sequence
from typing import Literal, NamedTuple

import xxhash

BLOCK_TOKENS = 64
"""Words in one block, separated by white space. The router does not tokenize
prompts, so it counts each word as one token."""


class CacheEvent(NamedTuple):
    """One change of an engine's prefix cache, as the engine published it.

    Attributes:
        sequence: Sequence number, one higher than that of the engine's
            previous event.
        kind: Whether the block was stored or evicted.
        block_hash: Hash of the prompt's text up to the end of the block.
    """

    sequence: int
    kind: Literal["stored", "evicted"]
    block_hash: str


class PrefixSettings(NamedTuple):
    """Limits of the index.

    Attributes:
        entries_limit_count: Maximum number of (block, engine) entries.
        lifetime_s: Time after which an entry that was not confirmed again
            expires.
        gap_lifetime_s: How long an engine's entries from before a gap in its
            events remain valid after the gap.
    """

    entries_limit_count: int = 100_000
    lifetime_s: float = 300.0
    gap_lifetime_s: float = 5.0


class _EventStream:
    """State of one engine's cache event stream.

    Attributes:
        last_sequence: Sequence number of the last event, None before the
            first one.
        gap_s: Time of the last gap in the sequence numbers.
        forgotten_s: Time of the engine's last restart; older entries are
            invalid.
    """

    __slots__ = ("forgotten_s", "gap_s", "last_sequence")

    def __init__(self) -> None:
        self.last_sequence: int | None = None
        self.gap_s = float("-inf")
        self.forgotten_s = float("-inf")


def prompt_block_hashes(prompt: str) -> tuple[str, ...]:
    """Returns the hash of each full block of the prompt.

    The hash of a block is the xxh64 hex digest of the prompt's words up to
    the block's end, joined by single spaces, so equal hashes mean equal
    prefixes. An incomplete last block has no hash.
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
    """Estimated contents of the engines' prefix caches, bounded in size."""

    def __init__(self, settings: PrefixSettings):
        self._settings = settings
        # block hash -> engine ID -> time at which the entry was last confirmed.
        self._holders: collections.OrderedDict[int, dict[str, float]] = (
            collections.OrderedDict()
        )
        self._event_streams: dict[str, _EventStream] = {}
        self._entry_count = 0

    @classmethod
    def from_config(
        cls, settings: PrefixSettings | None = None
    ) -> "PrefixIndex":
        """Creates an empty index, with the default limits if none are given."""
        return cls(settings or PrefixSettings())

    @property
    def entry_count(self) -> int:
        """Number of (block, engine) entries."""
        return self._entry_count

    def last_sequence(self, engine_id: str) -> int:
        """Returns the engine's last known sequence number, 0 if none."""
        stream = self._event_streams.get(engine_id)
        if stream is None or stream.last_sequence is None:
            return 0
        return stream.last_sequence

    def apply(
        self,
        engine_id: str,
        events: Iterable[CacheEvent],
        last_sequence: int,
        now_s: float,
    ) -> None:
        """Applies one batch of events.

        Args:
            engine_id: The engine that published them.
            events: The events that arrived, in order; some may be missing.
            last_sequence: The engine's last sequence number. A number past
                the last event also means a gap. A number lower than in an
                earlier batch means that the engine restarted.
            now_s: Current time.
        """
        stream = self._event_streams.setdefault(engine_id, _EventStream())
        if stream.last_sequence is not None and (
            last_sequence < stream.last_sequence
        ):
            # A restarted engine numbers its events from 1 again, and its
            # cache is empty.
            stream.forgotten_s = now_s
            stream.last_sequence = 0
        for event in events:
            self._apply_event(engine_id, stream, event, now_s)
        if stream.last_sequence is None or last_sequence > stream.last_sequence:
            if stream.last_sequence is not None:
                stream.gap_s = now_s
            stream.last_sequence = last_sequence

    def record_prefill(
        self, engine_id: str, block_hashes: Sequence[str], now_s: float
    ) -> None:
        """Records that this router sent a prompt to the engine for prefill.

        This makes the blocks known before the engine's events arrive.
        """
        for block_hash in block_hashes:
            self._store(engine_id, int(block_hash, 16), now_s)

    def forget(self, engine_id: str) -> None:
        """Drops all state of an engine that was removed or replaced."""
        self._event_streams.pop(engine_id, None)
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
        """Returns how many leading blocks each engine is assumed to cache.

        Engines that cache none are left out.
        """
        counts: dict[str, int] = {}
        for depth, block_hash in enumerate(block_hashes):
            block = int(block_hash, 16)
            holders = self._holders.get(block)
            if not holders:
                break
            any_match = False
            for engine_id, confirmed_s in holders.items():
                if counts.get(engine_id, 0) != depth:
                    continue
                if self._is_current(engine_id, confirmed_s, now_s):
                    counts[engine_id] = depth + 1
                    any_match = True
            if not any_match:
                break
            self._holders.move_to_end(block)
        return counts

    def _is_current(
        self, engine_id: str, confirmed_s: float, now_s: float
    ) -> bool:
        if now_s - confirmed_s > self._settings.lifetime_s:
            return False
        stream = self._event_streams.get(engine_id)
        if stream is None:
            return True
        if confirmed_s < stream.forgotten_s:
            return False
        if confirmed_s >= stream.gap_s:
            return True
        return now_s - stream.gap_s <= self._settings.gap_lifetime_s

    def _apply_event(
        self,
        engine_id: str,
        stream: _EventStream,
        event: CacheEvent,
        now_s: float,
    ) -> None:
        if stream.last_sequence is not None:
            if event.sequence <= stream.last_sequence:
                return
            if event.sequence > stream.last_sequence + 1:
                stream.gap_s = now_s
        stream.last_sequence = event.sequence
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
