"""Tests of the mesh: membership, configuration and demand reports."""

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
        """Waits until each node has received heartbeats of all others."""
        wait_until(
            lambda: all(
                len(node.mesh.config_versions()) == len(nodes) for node in nodes
            )
        )


class MembershipTest(MeshTestCase):
    def test_a_killed_node_is_suspected_by_all_others(self):
        """A dead node must not get work while the VM list still has it.

        The VM list lags, so it alone does not show that the node is dead.
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

    def test_a_node_is_live_again_after_its_heartbeats_resume(self):
        _, nodes = self.start_zone(4)
        self.wait_connected(nodes)
        nodes[0].mesh.close()
        wait_until(lambda: nodes[1].mesh.membership().suspected)
        nodes[0].mesh.start()
        wait_until(lambda: not nodes[1].mesh.membership().suspected)

    def test_loss_of_one_link_makes_no_node_suspected(self):
        """Two nodes that lose only the link between them must both stay live.

        The heartbeats between the two are lost, but a third node receives the
        heartbeats of both. A lost link must not be taken for a dead node.
        """
        _, nodes = self.start_zone(3)
        self.wait_connected(nodes)
        first, second, _ = nodes
        for one, other in ((first, second), (second, first)):
            drop_from(one, other.vm_id)
        gevent.sleep(3 * builders_mesh.SUSPECT_AFTER_S)
        for node in nodes:
            self.assertEqual(node.mesh.membership().suspected, frozenset())

    def test_a_partitioned_node_distrusts_its_membership(self):
        """A partitioned node must not believe that all others are dead.

        It receives no heartbeats at all. If it believed itself the only live
        node, it would become the reader of every engine.
        """
        _, nodes = self.start_zone(4)
        self.wait_connected(nodes)
        for other in nodes[1:]:
            drop_from(nodes[0], other.vm_id)
        wait_until(lambda: nodes[0].mesh.membership().is_distrusted)
        self.assertEqual(len(nodes[0].mesh.live_entry_vms()), 4)

    def test_a_leaving_notice_reaches_all_other_nodes(self):
        _, nodes = self.start_zone(3)
        self.wait_connected(nodes)
        nodes[0].mesh.announce_leaving()
        for node in nodes[1:]:
            wait_until(
                lambda n=node: nodes[0].vm_id in n.mesh.membership().leaving
            )

    def test_frames_read_after_a_pause_do_not_make_a_dead_node_live(self):
        """A node that died while this one was paused must stay suspected.

        After the pause, this node reads the last frames of the dead one from
        the socket buffer. The time of reading is not the time of sending.
        """
        table = membership.MembershipTable("me", suspect_after_s=5.0)
        table.expect(["me", "dead"], 0.0)
        self.assertTrue(table.note_stamp("dead", 100, 0.0))
        self.assertFalse(table.note_stamp("dead", 99, 60.0))
        self.assertFalse(table.note_stamp("dead", 100, 60.0))
        self.assertEqual(table.silent(60.0), {"dead"})

    def test_a_stamp_passed_on_counts_as_a_heartbeat(self):
        table = membership.MembershipTable("me", suspect_after_s=5.0)
        names = ["far", "me"]
        table.expect(names, 0.0)
        for second in range(1, 20):
            column = second.to_bytes(2, "big") + bytes(2)
            table.merge_stamps(names, column, float(second))
        self.assertEqual(table.silent(20.0), frozenset())
        self.assertEqual(table.silent(30.0), {"far"})

    def test_stamps_wrap_around_and_never_decrease(self):
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
        """A change that one node received must come into force on all nodes.

        The key-value service becomes unavailable after only one node received
        the change, so the other nodes cannot get it from the service.
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

    def test_the_previous_round_is_kept(self):
        """A neighbour's clock that is ahead must not cause equal shares.

        The neighbour reports the next round just before this node divides the
        limits by the previous one. If only the last report of each node were
        kept, limits would be divided equally in every round.
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

    def test_demands_that_do_not_fit_are_left_out_at_the_sender_too(self):
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
    def test_each_neighbour_is_selected_once_in_each_round(self):
        rotation = neighbours.Rotation()
        vms = [builders_nodes.entry_vm(i, port=i) for i in range(1, 8)]
        for _ in range(20):
            taken = [rotation.next_addresses(vms, 1)[0] for _ in range(7)]
            self.assertEqual(len(set(taken)), 7)

    def test_fewer_neighbours_than_requested(self):
        rotation = neighbours.Rotation()
        self.assertEqual(rotation.next_addresses([], 2), [])
        vms = [builders_nodes.entry_vm(1)]
        for _ in range(3):
            self.assertEqual(rotation.next_addresses(vms, 2), [vms[0].address])


class ZoneListTableTest(unittest.TestCase):
    def test_the_previous_list_is_found_after_a_change(self):
        table = neighbours.ZoneListTable()
        vms = [builders_nodes.entry_vm(i) for i in range(3)]
        table.update(vms)
        before = table.current("regina-hall")
        self.assertTrue(table.update(vms[:2]))
        self.assertFalse(table.update(vms[:2]))
        self.assertEqual(table.find(before.list_hash), before)
        self.assertIsNone(table.find(1))


def drop_from(node, sender_vm_id):
    """Makes a node ignore every heartbeat of one sender."""
    handle = node.mesh._on_heartbeat

    def handle_others(sender, heartbeat):
        if sender != sender_vm_id:
            handle(sender, heartbeat)

    node.mesh._on_heartbeat = handle_others
    node.server.register(messages.Heartbeat, handle_others)


if __name__ == "__main__":
    unittest.main()
