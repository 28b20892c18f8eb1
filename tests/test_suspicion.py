"""Tests of which VMs are believed to be alive."""

import unittest
from collections.abc import Collection

from hypothesis import given, settings
from hypothesis import strategies as st

from mulberrywharf.policy import suspicion
from tests import builders_fleet

_NOW_S = 100.0
_NODES = tuple(f"entry-{number}" for number in range(5))
_VMS = [builders_fleet.entry_vm(node) for node in _NODES]


def _observations(
    suspects: Collection[tuple[str, str]], observed_s: float = _NOW_S
) -> list[suspicion.Observation]:
    """Makes every node's observation of every other node.

    Args:
        suspects: Pairs (observer, VM) in which the observer suspects the VM.
        observed_s: Time of the observations.
    """
    return [
        suspicion.Observation(
            observer, vm, (observer, vm) in suspects, observed_s
        )
        for observer in _NODES
        for vm in _NODES
        if observer != vm
    ]


def _all_suspect(vm_id: str) -> set[tuple[str, str]]:
    return {(node, vm_id) for node in _NODES if node != vm_id}


class JudgeTest(unittest.TestCase):
    def test_one_broken_link_makes_no_node_suspected(self):
        """Guards against dropping a node that all others but one can reach.

        The link between two nodes breaks. One observer must not be enough to
        make a node suspected.
        """
        cut = {("entry-0", "entry-1"), ("entry-1", "entry-0")}
        membership = suspicion.evaluate(_observations(cut), _VMS, _NOW_S)
        self.assertEqual(membership.live, set(_NODES))
        self.assertFalse(membership.suspected)

    def test_node_that_all_others_suspect_is_suspected(self):
        membership = suspicion.evaluate(
            _observations(_all_suspect("entry-4")), _VMS, _NOW_S
        )
        self.assertEqual(membership.suspected, {"entry-4"})
        self.assertEqual(membership.live, set(_NODES[:4]))
        self.assertFalse(membership.is_distrusted)

    def test_isolated_observer_keeps_all_nodes_live(self):
        """Guards against an isolated node dropping the whole fleet.

        One node loses all its links, and only its own observations are recent.
        It must not conclude that all other nodes are dead.
        """
        observations = [
            observation
            for observation in _observations(
                {("entry-0", node) for node in _NODES}
            )
            if observation.observer_id == "entry-0"
        ]
        membership = suspicion.evaluate(observations, _VMS, _NOW_S)
        self.assertTrue(membership.is_distrusted)
        self.assertEqual(membership.live, set(_NODES))
        self.assertEqual(len(membership.suspected), 4)

    def test_expired_observations_are_ignored(self):
        old = _observations(_all_suspect("entry-4"), observed_s=_NOW_S - 10)
        membership = suspicion.evaluate(old, _VMS, _NOW_S)
        self.assertFalse(membership.suspected)

    def test_newest_observation_of_an_observer_counts(self):
        before = _observations(_all_suspect("entry-4"), observed_s=_NOW_S - 1)
        for observations in (
            before + _observations(()),
            _observations(()) + before,
        ):
            membership = suspicion.evaluate(observations, _VMS, _NOW_S)
            self.assertFalse(membership.suspected)

    def test_observation_of_itself_does_not_count(self):
        """Guards against a dead node staying live forever.

        Its last observation of itself says that it is alive, and a neighbour
        repeats it. It must not count.
        """
        observations = [
            suspicion.Observation("entry-4", "entry-4", False, _NOW_S),
            suspicion.Observation("entry-0", "entry-4", True, _NOW_S),
        ]
        membership = suspicion.evaluate(observations, _VMS, _NOW_S)
        self.assertEqual(membership.suspected, {"entry-4"})

    def test_leaving_vm_gets_no_new_work_even_when_distrusted(self):
        vms = [*_VMS[:4], _VMS[4]._replace(state="leaving")]
        everyone = {(a, b) for a in _NODES for b in _NODES}
        membership = suspicion.evaluate(_observations(everyone), vms, _NOW_S)
        self.assertTrue(membership.is_distrusted)
        self.assertEqual(membership.leaving, {"entry-4"})
        self.assertEqual(membership.live, set(_NODES[:4]))

    def test_vm_without_observations_is_live(self):
        membership = suspicion.evaluate([], _VMS, _NOW_S)
        self.assertEqual(membership.live, set(_NODES))

    @given(
        st.sets(
            st.tuples(st.sampled_from(_NODES), st.sampled_from(_NODES)),
            max_size=25,
        )
    )
    @settings(derandomize=True, deadline=None)
    def test_at_least_half_of_the_fleet_stays_live(self, suspects):
        membership = suspicion.evaluate(_observations(suspects), _VMS, _NOW_S)
        self.assertGreaterEqual(len(membership.live), len(_NODES) / 2)
        self.assertLessEqual(membership.suspected, set(_NODES))


if __name__ == "__main__":
    unittest.main()
