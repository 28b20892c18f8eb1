"""Beliefs about the engines' prefix caches."""

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
    def test_hash_is_of_all_text_up_to_the_blocks_end(self):
        self.assertEqual(len(_HASHES), 4)
        words = _PROMPT.split()
        for number, block_hash in enumerate(_HASHES, start=1):
            text = " ".join(words[: 64 * number])
            self.assertEqual(block_hash, xxhash.xxh64_hexdigest(text.encode()))

    def test_same_blocks_after_another_beginning_differ(self):
        other = prefix_index.prompt_block_hashes("other " + _PROMPT)
        self.assertFalse(set(other) & set(_HASHES))

    def test_short_prompt_has_no_block(self):
        self.assertEqual(prefix_index.prompt_block_hashes("a b c"), ())


class BeliefTest(unittest.TestCase):
    def _count(
        self, index: prefix_index.PrefixIndex, now_s: float = 0.0
    ) -> int:
        return index.cached_block_counts(_HASHES, now_s).get("engine-1", 0)

    def test_leading_blocks_count(self):
        index = _index()
        events = [_stored(1, 0), _stored(2, 1), _stored(3, 3)]
        index.apply("engine-1", events, 3, 0.0)
        self.assertEqual(self._count(index), 2)

    def test_eviction_is_believed(self):
        index = _index()
        events = [_stored(1, 0), _stored(2, 1), _evicted(3, 1)]
        index.apply("engine-1", events, 3, 0.0)
        self.assertEqual(self._count(index), 1)

    def test_engines_are_told_apart(self):
        index = _index()
        index.note_sent("engine-1", _HASHES, 0.0)
        index.note_sent("engine-2", _HASHES[:2], 0.0)
        self.assertEqual(
            index.cached_block_counts(_HASHES, 0.0),
            {"engine-1": 4, "engine-2": 2},
        )

    def test_gap_ages_out_what_was_known_before_it(self):
        """Requests follow a prefix that the engine evicted long ago.

        Sequence: a block is stored, its eviction event is lost, later events
        arrive. Cause: the gap in the sequence was taken for nothing.
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

    def test_what_came_after_the_gap_is_believed(self):
        index = _index(gap_lifetime_s=5.0)
        index.apply("engine-1", [_stored(1, 0)], 1, 0.0)
        index.apply("engine-1", [], 4, 10.0)
        index.apply("engine-1", [_stored(5, 0)], 5, 11.0)
        self.assertEqual(self._count(index, 100.0), 1)

    def test_first_sequence_heard_is_no_gap(self):
        index = _index()
        index.note_sent("engine-1", _HASHES, 0.0)
        index.apply("engine-1", [_stored(700, 0)], 700, 1.0)
        self.assertEqual(self._count(index, 100.0), 4)

    def test_restarted_engine_holds_nothing(self):
        """Requests follow a cache that died with the engine.

        Sequence: the engine restarts and numbers its events anew. Cause: the
        lower sequence was taken for a repeat and ignored.
        """
        index = _index()
        index.apply("engine-1", [_stored(9, 0), _stored(10, 1)], 10, 0.0)
        index.apply("engine-1", [], 0, 1.0)
        self.assertEqual(self._count(index, 1.0), 0)
        index.apply("engine-1", [_stored(1, 0)], 1, 2.0)
        self.assertEqual(self._count(index, 2.0), 1)
        self.assertEqual(index.last_sequence("engine-1"), 1)

    def test_entries_expire(self):
        index = _index(lifetime_s=300.0)
        index.note_sent("engine-1", _HASHES, 0.0)
        self.assertEqual(self._count(index, 299.0), 4)
        self.assertEqual(self._count(index, 301.0), 0)

    def test_forgotten_engine_holds_nothing(self):
        index = _index()
        index.note_sent("engine-1", _HASHES, 0.0)
        index.note_sent("engine-2", _HASHES, 0.0)
        index.forget("engine-1")
        self.assertEqual(
            index.cached_block_counts(_HASHES, 0.0), {"engine-2": 4}
        )
        self.assertEqual(index.entry_count, 4)

    def test_least_recently_used_block_goes_first(self):
        index = _index(entries_limit_count=4)
        index.note_sent("engine-1", _HASHES[:1], 0.0)
        index.note_sent("engine-1", ["1", "2", "3"], 0.0)
        self.assertEqual(self._count(index), 1)  # renews its use
        index.note_sent("engine-1", ["4"], 0.0)
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
    def test_memory_is_bounded_whatever_arrives(self, rows):
        index = _index(entries_limit_count=12)
        for engine_id, sequence, kind, block in rows:
            event = prefix_index.CacheEvent(sequence, kind, f"{block:x}")
            index.apply(engine_id, [event], sequence, 0.0)
            self.assertLessEqual(index.entry_count, 12)
            self.assertGreaterEqual(index.entry_count, 0)


if __name__ == "__main__":
    unittest.main()
