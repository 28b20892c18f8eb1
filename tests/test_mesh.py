"""The exchange between entry VMs: membership, configuration, demand."""

import unittest

import gevent

from mulberrywharf.nodes import membership, messages, neighbours
from mulberrywharf.policy import shares
from tests import builders_claims, builders_mesh, builders_nodes

wait_until = builders_claims.wait_until


class MeshTestCase(unittest.TestCase):
    def start_zone(self, count, vm_list=None, **options):
        vm_list, nodes = builders_mesh.start_zone(count, vm_list, **options)
        for node in nodes:
            self.addCleanup(node.close)
        return vm_list, nodes

    def wait_connected(self, nodes):
        """Waits until each node has heard each other one."""
        wait_until(
            lambda: all(
                len(node.mesh.config_versions()) == len(nodes) for node in nodes
            )
        )


class MembershipTest(MeshTestCase):
    def test_a_killed_node_is_suspected_by_all_others(self):
        """A node dies; the VM list still calls it live.

        Symptom: work goes to a dead node until the lagging list drops it.
        Cause: the list is believed alone.
        """
        _, nodes = self.start_zone(4)
        self.wait_connected(nodes)
        dead, *others = nodes
        dead.close()
        for node in others:
            wait_until(
                lambda n=node: n.mesh.membership().suspected == {dead.vm_id}
            )
            self.assertFalse(node.mesh.membership().is_distrusted)
            self.assertNotIn(dead.record, node.mesh.live_entry_vms())

    def test_a_node_that_comes_back_is_live_again(self):
        _, nodes = self.start_zone(4)
        self.wait_connected(nodes)
        nodes[0].mesh.close()
        wait_until(lambda: nodes[1].mesh.membership().suspected)
        nodes[0].mesh.start()
        wait_until(lambda: not nodes[1].mesh.membership().suspected)

    def test_one_cut_link_suspects_nobody(self):
        """Two nodes lose the link between them and no other.

        Symptom: either drops the other, though both serve. Sequence: the
        heartbeats between the two are lost; a third still hears both. Cause:
        silence of one link taken for silence of a node.
        """
        _, nodes = self.start_zone(3)
        self.wait_connected(nodes)
        first, second, _ = nodes
        for one, other in ((first, second), (second, first)):
            drop_from(one, other.vm_id)
        gevent.sleep(3 * builders_mesh.SUSPECT_AFTER_S)
        for node in nodes:
            self.assertEqual(node.mesh.membership().suspected, frozenset())

    def test_a_node_that_is_cut_off_distrusts_its_picture(self):
        """A node hears nobody any more.

        Symptom: it believes itself alone and takes every engine for its own.
        Cause: its own cut is taken for the death of all the others.
        """
        _, nodes = self.start_zone(4)
        self.wait_connected(nodes)
        for other in nodes[1:]:
            drop_from(nodes[0], other.vm_id)
        wait_until(lambda: nodes[0].mesh.membership().is_distrusted)
        self.assertEqual(len(nodes[0].mesh.live_entry_vms()), 4)

    def test_leaving_is_known_at_once(self):
        _, nodes = self.start_zone(3)
        self.wait_connected(nodes)
        nodes[0].mesh.announce_leaving()
        for node in nodes[1:]:
            wait_until(
                lambda n=node: nodes[0].vm_id in n.mesh.membership().leaving
            )

    def test_old_frames_revive_nobody(self):
        """A node wakes from a pause and reads frames from before it.

        Symptom: nodes that died during the pause look alive again. Sequence:
        their last frames waited in the socket. Cause: the time of reading
        taken for the time of sending.
        """
        table = membership.MembershipTable("me", suspect_after_s=5.0)
        table.expect(["me", "dead"], 0.0)
        self.assertTrue(table.note_stamp("dead", 100, 0.0))
        self.assertFalse(table.note_stamp("dead", 99, 60.0))
        self.assertFalse(table.note_stamp("dead", 100, 60.0))
        self.assertEqual(table.silent(60.0), {"dead"})

    def test_a_stamp_passed_on_counts_as_heard(self):
        table = membership.MembershipTable("me", suspect_after_s=5.0)
        names = ["far", "me"]
        table.expect(names, 0.0)
        for second in range(1, 20):
            column = second.to_bytes(2, "big") + bytes(2)
            table.merge_stamps(names, column, float(second))
        self.assertEqual(table.silent(20.0), frozenset())
        self.assertEqual(table.silent(30.0), {"far"})

    def test_stamps_wrap_and_never_go_back(self):
        cases = [
            # previous, unix_s, wanted
            (0, 70_000.0, 70_000 % 65_536),
            (100, 50.0, 101),
            (65_535, 65_536.0, 1),
        ]
        for previous, unix_s, wanted in cases:
            with self.subTest(previous=previous, unix_s=unix_s):
                stamp = membership.next_stamp(previous, unix_s, 1.0)
                self.assertEqual(stamp, wanted)

    def test_suspicion_bits_round_trip(self):
        names = [f"entry-{i}" for i in range(19)]
        suspected = {"entry-0", "entry-8", "entry-18"}
        bits = membership.suspicion_bits(names, suspected)
        self.assertEqual(membership.suspected_in(names, bits), suspected)
        self.assertEqual(membership.suspected_in(names, b""), frozenset())


class ConfigurationTest(MeshTestCase):
    def test_a_newer_version_spreads_across_zones_without_the_service(self):
        """The key-value service is away after one node saw a change.

        Symptom: the change is in force on one node only. Cause: nodes learn
        of configurations from the service alone.
        """
        vm_list = builders_claims.ListedVms()
        _, here = self.start_zone(2, vm_list)
        _, there = self.start_zone(2, vm_list, zone="winnipeg-hall")
        here[0].configuration.apply_if_newer(b"7")
        for node in here + there:
            wait_until(lambda n=node: n.configuration.version() == 7)

    def test_an_older_neighbour_changes_nothing(self):
        _, nodes = self.start_zone(2)
        nodes[0].configuration.apply_if_newer(b"7")
        wait_until(lambda: nodes[1].configuration.version() == 7)
        self.assertEqual(nodes[0].configuration.version(), 7)


class DemandTest(MeshTestCase):
    def test_reports_reach_the_neighbours(self):
        _, nodes = self.start_zone(3)
        report = shares.DemandReport(
            nodes[0].vm_id,
            4,
            5,
            (shares.CustomerDemand("solano", 1.5, 200.0),),
        )
        nodes[0].mesh.publish_demand(report)
        for node in nodes:
            wait_until(
                lambda n=node: (
                    n.mesh.demand_reports().get(nodes[0].vm_id) == report
                )
            )

    def test_the_round_before_is_kept(self):
        """A neighbour's clock is a little ahead.

        Symptom: limits fall to equal parts at every round. Sequence: the
        neighbour reports the next round just before this node divides by the
        one before. Cause: only the last report of each node is kept.
        """
        _, nodes = self.start_zone(2)
        first, second = nodes
        for number in (4, 5):
            first.mesh.publish_demand(
                shares.DemandReport(first.vm_id, number, 6, ())
            )
            wait_until(
                lambda n=number: first.vm_id in second.mesh.demand_reports(n)
            )
        for number in (4, 5):
            report = second.mesh.demand_reports(number)[first.vm_id]
            self.assertEqual(report.round_number, number)
        last = second.mesh.demand_reports()[first.vm_id]
        self.assertEqual(last.round_number, 5)

    def test_what_has_no_room_is_left_out_everywhere(self):
        _, nodes = self.start_zone(2)
        demands = tuple(
            shares.CustomerDemand(f"customer-{i}", float(i), 1.0)
            for i in range(100)
        )
        nodes[0].mesh.publish_demand(
            shares.DemandReport(nodes[0].vm_id, 4, 5, demands)
        )
        name = nodes[0].vm_id
        wait_until(lambda: name in nodes[1].mesh.demand_reports())
        seen = nodes[1].mesh.demand_reports()[name]
        self.assertEqual(seen, nodes[0].mesh.demand_reports()[name])
        self.assertEqual(seen.demands[0].customer, "customer-99")
        self.assertLess(len(seen.demands), 100)


class RotationTest(unittest.TestCase):
    def test_everybody_has_a_turn_in_each_round(self):
        rotation = neighbours.Rotation()
        vms = [builders_nodes.entry_vm(i, port=i) for i in range(1, 8)]
        for _ in range(20):
            taken = [rotation.take(vms, 1)[0] for _ in range(7)]
            self.assertEqual(len(set(taken)), 7)

    def test_few_neighbours(self):
        rotation = neighbours.Rotation()
        self.assertEqual(rotation.take([], 2), [])
        vms = [builders_nodes.entry_vm(1)]
        for _ in range(3):
            self.assertEqual(rotation.take(vms, 2), [vms[0].address])


class ListBookTest(unittest.TestCase):
    def test_columns_of_the_list_before_are_still_read(self):
        book = neighbours.ListBook()
        vms = [builders_nodes.entry_vm(i) for i in range(3)]
        book.update(vms)
        before = book.current("regina-hall")
        self.assertTrue(book.update(vms[:2]))
        self.assertFalse(book.update(vms[:2]))
        self.assertEqual(book.find(before.list_hash), before)
        self.assertIsNone(book.find(1))


def drop_from(node, sender_vm_id):
    """Lets a node lose every heartbeat of one sender."""
    handle = node.mesh._on_heartbeat

    def handle_others(sender, heartbeat):
        if sender != sender_vm_id:
            handle(sender, heartbeat)

    node.mesh._on_heartbeat = handle_others
    node.server.register(messages.Heartbeat, handle_others)


if __name__ == "__main__":
    unittest.main()
