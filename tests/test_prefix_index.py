"""Tests the index of the engines' prefix caches."""

import unittest

import xxhash
from hypothesis import given, settings
from hypothesis import strategies as st

from mulberrywharf.policy import prefix_index

_PROMPT = " ".join(f"word{number}" for number in range(64 * 4 + 10))
_HASHES = prefix_index.prompt_block_hashes(_PROMPT)


def _stored(sequence: int, block: int) -> prefix_index.CacheEvent:
    return prefix_index.CacheEvent(sequence, "stored", _HASHES[block])


def _evicted(sequence: int, block: int) -> prefix_index.CacheEvent:
    return prefix_index.CacheEvent(sequence, "evicted", _HASHES[block])


def _index(**fields: float) -> prefix_index.PrefixIndex:
    return prefix_index.PrefixIndex.from_config(
        prefix_index.PrefixSettings()._replace(**fields)
    )


class BlockHashTest(unittest.TestCase):
    def test_block_hash_covers_all_text_up_to_block_end(self):
        self.assertEqual(len(_HASHES), 4)
        words = _PROMPT.split()
        for number, block_hash in enumerate(_HASHES, start=1):
            text = " ".join(words[: 64 * number])
            self.assertEqual(block_hash, xxhash.xxh64_hexdigest(text.encode()))

    def test_block_hashes_depend_on_preceding_text(self):
        other = prefix_index.prompt_block_hashes("other " + _PROMPT)
        self.assertFalse(set(other) & set(_HASHES))

    def test_prompt_shorter_than_a_block_has_no_hash(self):
        self.assertEqual(prefix_index.prompt_block_hashes("a b c"), ())


class PrefixIndexTest(unittest.TestCase):
    def _count(
        self, index: prefix_index.PrefixIndex, now_s: float = 0.0
    ) -> int:
        return index.cached_block_counts(_HASHES, now_s).get("engine-1", 0)

    def test_only_leading_blocks_are_counted(self):
        index = _index()
        events = [_stored(1, 0), _stored(2, 1), _stored(3, 3)]
        index.apply("engine-1", events, 3, 0.0)
        self.assertEqual(self._count(index), 2)

    def test_evicted_block_is_not_counted(self):
        index = _index()
        events = [_stored(1, 0), _stored(2, 1), _evicted(3, 1)]
        index.apply("engine-1", events, 3, 0.0)
        self.assertEqual(self._count(index), 1)

    def test_engines_are_counted_separately(self):
        index = _index()
        index.record_prefill("engine-1", _HASHES, 0.0)
        index.record_prefill("engine-2", _HASHES[:2], 0.0)
        self.assertEqual(
            index.cached_block_counts(_HASHES, 0.0),
            {"engine-1": 4, "engine-2": 2},
        )

    def test_entries_from_before_a_gap_expire_early(self):
        """Guards against routing to a prefix that the engine has evicted.

        A block is stored, its eviction event is lost and later events arrive.
        If the gap in the sequence numbers were ignored, the block would still
        count as cached.
        """
        for name, events, last_sequence in (
            ("between events", [_stored(4, 1)], 4),
            ("after the last event", [], 4),
        ):
            with self.subTest(name):
                index = _index(gap_lifetime_s=5.0)
                index.apply("engine-1", [_stored(1, 0)], 1, 0.0)
                index.apply("engine-1", events, last_sequence, 10.0)
                self.assertGreaterEqual(self._count(index, 14.0), 1)
                self.assertEqual(self._count(index, 16.0), 0)

    def test_entries_from_after_a_gap_are_kept(self):
        index = _index(gap_lifetime_s=5.0)
        index.apply("engine-1", [_stored(1, 0)], 1, 0.0)
        index.apply("engine-1", [], 4, 10.0)
        index.apply("engine-1", [_stored(5, 0)], 5, 11.0)
        self.assertEqual(self._count(index, 100.0), 1)

    def test_first_sequence_number_is_no_gap(self):
        index = _index()
        index.record_prefill("engine-1", _HASHES, 0.0)
        index.apply("engine-1", [_stored(700, 0)], 700, 1.0)
        self.assertEqual(self._count(index, 100.0), 4)

    def test_restart_clears_entries_of_engine(self):
        """Guards against routing to a cache that was lost in a restart.

        The engine restarts and numbers its events from 1 again. If the lower
        sequence number were taken for a duplicate and ignored, blocks from
        before the restart would still count as cached.
        """
        index = _index()
        index.apply("engine-1", [_stored(9, 0), _stored(10, 1)], 10, 0.0)
        index.apply("engine-1", [], 0, 1.0)
        self.assertEqual(self._count(index, 1.0), 0)
        index.apply("engine-1", [_stored(1, 0)], 1, 2.0)
        self.assertEqual(self._count(index, 2.0), 1)
        self.assertEqual(index.last_sequence("engine-1"), 1)

    def test_entries_expire_after_lifetime(self):
        index = _index(lifetime_s=300.0)
        index.record_prefill("engine-1", _HASHES, 0.0)
        self.assertEqual(self._count(index, 299.0), 4)
        self.assertEqual(self._count(index, 301.0), 0)

    def test_forget_drops_entries_of_one_engine(self):
        index = _index()
        index.record_prefill("engine-1", _HASHES, 0.0)
        index.record_prefill("engine-2", _HASHES, 0.0)
        index.forget("engine-1")
        self.assertEqual(
            index.cached_block_counts(_HASHES, 0.0), {"engine-2": 4}
        )
        self.assertEqual(index.entry_count, 4)

    def test_least_recently_used_block_is_dropped_first(self):
        index = _index(entries_limit_count=4)
        index.record_prefill("engine-1", _HASHES[:1], 0.0)
        index.record_prefill("engine-1", ["1", "2", "3"], 0.0)
        self.assertEqual(self._count(index), 1)  # marks it as recently used
        index.record_prefill("engine-1", ["4"], 0.0)
        self.assertEqual(self._count(index), 1)
        self.assertEqual(index.cached_block_counts(["1"], 0.0), {})

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["engine-1", "engine-2"]),
                st.integers(0, 30),
                st.sampled_from(["stored", "evicted"]),
                st.integers(0, 40),
            ),
            max_size=100,
        )
    )
    @settings(derandomize=True, deadline=None)
    def test_entry_count_stays_within_limit(self, rows):
        index = _index(entries_limit_count=12)
        for engine_id, sequence, kind, block in rows:
            event = prefix_index.CacheEvent(sequence, kind, f"{block:x}")
            index.apply(engine_id, [event], sequence, 0.0)
            self.assertLessEqual(index.entry_count, 12)
            self.assertGreaterEqual(index.entry_count, 0)


if __name__ == "__main__":
    unittest.main()
