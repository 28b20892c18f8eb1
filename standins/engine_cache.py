"""The stand-in engine's prefix cache, its late events, and exported KV."""

import collections
import random
import time
from typing import Any, NamedTuple

import xxhash

BLOCK_TOKENS = 64
"""Prompt tokens (words split on white space) in one block."""

_EVENTS_KEPT = 100_000
_EXPORTS_KEPT = 1024


def block_hashes(prompt: str) -> list[str]:
    """Returns the hash of each whole block of the prompt.

    Each is the xxh64 hex digest of the words up to the block's end, joined
    by single spaces.
    """
    words = prompt.split()
    digest = xxhash.xxh64()
    hashes = []
    for start in range(0, len(words) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        block = " ".join(words[start : start + BLOCK_TOKENS])
        digest.update((block if start == 0 else " " + block).encode())
        hashes.append(digest.hexdigest())
    return hashes


class _Event(NamedTuple):
    sequence: int
    kind: str
    block_hash: str
    visible_s: float


class EventFeed:
    """Cache events that come late, some of them never."""

    def __init__(self, lag_s: float, gap_share: float, seed: str):
        self._lag_s = lag_s
        self._gap_share = gap_share
        self._random = random.Random(seed)
        self._last_sequence = 0
        self._events: collections.deque[_Event] = collections.deque(
            maxlen=_EVENTS_KEPT
        )
        # Sequences that are due or were lost on the way, by due time.
        self._numbered: collections.deque[tuple[float, int]] = (
            collections.deque(maxlen=_EVENTS_KEPT)
        )

    def publish(self, kind: str, block_hash: str) -> None:
        """Numbers one event; a share of them is lost, not its number."""
        self._last_sequence += 1
        visible_s = time.monotonic() + self._lag_s
        self._numbered.append((visible_s, self._last_sequence))
        if self._random.random() < self._gap_share:
            return
        self._events.append(
            _Event(self._last_sequence, kind, block_hash, visible_s)
        )

    def after(self, sequence: int) -> dict[str, Any]:
        """Returns what is visible now beyond ``sequence``."""
        now_s = time.monotonic()
        events = [
            {"sequence": e.sequence, "kind": e.kind, "block_hash": e.block_hash}
            for e in self._events
            if e.sequence > sequence and e.visible_s <= now_s
        ]
        return {"events": events, "last_sequence": self._last_visible(now_s)}

    def _last_visible(self, now_s: float) -> int:
        for visible_s, sequence in reversed(self._numbered):
            if visible_s <= now_s:
                return sequence
        return 0


class PrefixCache:
    """Whole blocks of prompts, the least recently used evicted first."""

    def __init__(self, limit_count: int, feed: EventFeed):
        self._limit_count = limit_count
        self._feed = feed
        self._blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def hit_tokens(self, prompt: str) -> int:
        """Returns how many leading prompt tokens need no prefill."""
        hit_count = 0
        for block_hash in block_hashes(prompt):
            if block_hash not in self._blocks:
                break
            self._blocks.move_to_end(block_hash)
            hit_count += 1
        return hit_count * BLOCK_TOKENS

    def store(self, prompt: str) -> None:
        """Takes in the prompt's blocks and evicts what no longer fits."""
        for block_hash in block_hashes(prompt):
            if block_hash not in self._blocks:
                self._feed.publish("stored", block_hash)
            self._blocks[block_hash] = None
            self._blocks.move_to_end(block_hash)
        while len(self._blocks) > self._limit_count:
            evicted, _ = self._blocks.popitem(last=False)
            self._feed.publish("evicted", evicted)

    def clear(self) -> None:
        """Drops every block, as a change of role or model does."""
        for block_hash in self._blocks:
            self._feed.publish("evicted", block_hash)
        self._blocks.clear()


class ExportedKv(NamedTuple):
    """The KV cache of one prefilled prompt, kept for another engine.

    Attributes:
        handle: Names it.
        prompt_hash: Of the model and whole prompt.
        size_bytes: What its transfer carries.
    """

    handle: str
    prompt_hash: str
    size_bytes: int


def prompt_hash(model: str, prompt: str) -> str:
    """Returns the hash that an importing engine checks."""
    return xxhash.xxh64_hexdigest(f"{model}\x00{prompt}".encode())


class KvExports:
    """Exported KV caches, a bounded number of them."""

    def __init__(self, engine_id: str):
        self._engine_id = engine_id
        self._made_count = 0
        self._exports: collections.OrderedDict[str, ExportedKv] = (
            collections.OrderedDict()
        )

    def export(self, model: str, prompt: str, size_bytes: int) -> ExportedKv:
        """Keeps the prompt's KV cache and returns its handle."""
        self._made_count += 1
        exported = ExportedKv(
            f"{self._engine_id}-kv-{self._made_count}",
            prompt_hash(model, prompt),
            size_bytes,
        )
        self._exports[exported.handle] = exported
        while len(self._exports) > _EXPORTS_KEPT:
            self._exports.popitem(last=False)
        return exported

    def find(self, handle: str) -> ExportedKv | None:
        """Returns the export, or None when it is unknown or dropped."""
        return self._exports.get(handle)

    def clear(self) -> None:
        """Drops every export."""
        self._exports.clear()
