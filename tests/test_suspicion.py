"""Which VMs are believed to be alive."""

import unittest
from collections.abc import Collection

from hypothesis import given, settings
from hypothesis import strategies as st

from mulberrywharf.policy import suspicion
from tests import builders_fleet

_NOW_S = 100.0
_NODES = tuple(f"entry-{number}" for number in range(5))
_VMS = [builders_fleet.entry_vm(node) for node in _NODES]


def _words(
    suspects: Collection[tuple[str, str]], observed_s: float = _NOW_S
) -> list[suspicion.Observation]:
    """Every node's word on every other; ``suspects`` lists the bad ones."""
    return [
        suspicion.Observation(a, b, (a, b) in suspects, observed_s)
        for a in _NODES
        for b in _NODES
        if a != b
    ]


def _all_suspect(vm_id: str) -> set[tuple[str, str]]:
    return {(node, vm_id) for node in _NODES if node != vm_id}


class JudgeTest(unittest.TestCase):
    def test_one_cut_link_suspects_nobody(self):
        """A node vanishes though all but one can hear it.

        Sequence: the link between two nodes is cut. Cause: the word of one
        observer was enough.
        """
        cut = {("entry-0", "entry-1"), ("entry-1", "entry-0")}
        membership = suspicion.judge(_words(cut), _VMS, _NOW_S)
        self.assertEqual(membership.live, set(_NODES))
        self.assertFalse(membership.suspected)

    def test_node_that_nobody_hears_is_suspected(self):
        membership = suspicion.judge(
            _words(_all_suspect("entry-4")), _VMS, _NOW_S
        )
        self.assertEqual(membership.suspected, {"entry-4"})
        self.assertEqual(membership.live, set(_NODES[:4]))
        self.assertFalse(membership.distrusted)

    def test_observer_that_is_cut_off_keeps_all(self):
        """An isolated node drops the whole fleet and serves nothing.

        Sequence: one node loses all links; only its own words are fresh.
        Cause: silence was taken for the death of everyone else.
        """
        words = [
            word
            for word in _words({("entry-0", node) for node in _NODES})
            if word.observer_id == "entry-0"
        ]
        membership = suspicion.judge(words, _VMS, _NOW_S)
        self.assertTrue(membership.distrusted)
        self.assertEqual(membership.live, set(_NODES))
        self.assertEqual(len(membership.suspected), 4)

    def test_old_words_do_not_count(self):
        old = _words(_all_suspect("entry-4"), observed_s=_NOW_S - 10)
        membership = suspicion.judge(old, _VMS, _NOW_S)
        self.assertFalse(membership.suspected)

    def test_newest_word_of_an_observer_counts(self):
        before = _words(_all_suspect("entry-4"), observed_s=_NOW_S - 1)
        for words in (before + _words(()), _words(()) + before):
            membership = suspicion.judge(words, _VMS, _NOW_S)
            self.assertFalse(membership.suspected)

    def test_own_word_does_not_count(self):
        """A dead node stays in the list for ever.

        Sequence: its own last word says that it is well, and is repeated by
        a neighbour. Cause: a node was taken as a witness of its own life.
        """
        words = [
            suspicion.Observation("entry-4", "entry-4", False, _NOW_S),
            suspicion.Observation("entry-0", "entry-4", True, _NOW_S),
        ]
        membership = suspicion.judge(words, _VMS, _NOW_S)
        self.assertEqual(membership.suspected, {"entry-4"})

    def test_leaving_vm_gets_no_new_work_even_when_distrusted(self):
        vms = [*_VMS[:4], _VMS[4]._replace(state="leaving")]
        everyone = {(a, b) for a in _NODES for b in _NODES}
        membership = suspicion.judge(_words(everyone), vms, _NOW_S)
        self.assertTrue(membership.distrusted)
        self.assertEqual(membership.leaving, {"entry-4"})
        self.assertEqual(membership.live, set(_NODES[:4]))

    def test_vm_that_nobody_observed_yet_is_live(self):
        membership = suspicion.judge([], _VMS, _NOW_S)
        self.assertEqual(membership.live, set(_NODES))

    @given(
        st.sets(
            st.tuples(st.sampled_from(_NODES), st.sampled_from(_NODES)),
            max_size=25,
        )
    )
    @settings(derandomize=True, deadline=None)
    def test_most_of_the_fleet_always_stays(self, suspects):
        membership = suspicion.judge(_words(suspects), _VMS, _NOW_S)
        self.assertGreaterEqual(len(membership.live), len(_NODES) / 2)
        self.assertLessEqual(membership.suspected, set(_NODES))


if __name__ == "__main__":
    unittest.main()
