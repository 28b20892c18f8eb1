"""Tests of how a node gets the newest configuration from other nodes."""

import unittest
from typing import Any

import gevent
from result import Ok

from mulberrywharf import fleet
from mulberrywharf.nodes import config_exchange, messages
from tests import builders_claims, builders_mesh

wait_until = builders_claims.wait_until


def _address(number: int) -> fleet.Address:
    return fleet.Address("127.0.0.1", number)


class _Link:
    def __init__(self, number: int, sent: list[tuple[int, Any]]):
        self._number = number
        self._sent = sent

    def send(self, message: Any) -> Any:
        self._sent.append((self._number, message))
        return Ok(None)

    def call(self, *_: Any) -> Any:
        """Replies with a configuration whose version is the node's port."""
        return Ok(messages.ConfigDocument(str(self._number).encode()))


class _Links:
    """Links to nodes; the version that each node runs is its port."""

    def __init__(self) -> None:
        self.sent: list[tuple[int, Any]] = []

    def to(self, address: fleet.Address) -> Any:
        return _Link(address.port, self.sent)


class _RecordingConfiguration(builders_mesh.FakeConfiguration):
    def __init__(self, version: int):
        super().__init__(version)
        self.offered: list[int] = []

    def apply_if_newer(self, raw: bytes) -> Any:
        self.offered.append(int(raw))
        return super().apply_if_newer(raw)


class FetchTest(unittest.TestCase):
    def test_the_highest_version_received_is_fetched_first(self):
        """A new router must not apply rules that were replaced before it began.

        While the service is unavailable, the router receives the version of a
        node that was paused first (3), and then that of another node (7). It
        must fetch the configuration from the second one.
        """
        configuration = _RecordingConfiguration(0)
        exchange = config_exchange.ConfigExchange(configuration, _Links())
        self.addCleanup(exchange.close)
        exchange.note("paused", 3, _address(3))
        gevent.sleep(0)
        exchange.note("ahead", 7, _address(7))
        wait_until(lambda: configuration.version() == 7)
        self.assertEqual(configuration.offered, [7])


class VersionNoticeTest(unittest.TestCase):
    """Three zones of one node each; the test runs their intervals."""

    def setUp(self):
        vm_list = builders_claims.ListedVms()
        self.nodes = [
            builders_mesh.MeshNode(0, vm_list, zone=f"hall-{name}")
            for name in "abc"
        ]
        for node in self.nodes:
            self.addCleanup(node.close)
        first = self.nodes[0]
        self.mesh = first.mesh
        self.sent: list[tuple[int, Any]] = []
        first.links.to = self._link  # type: ignore[method-assign]
        self.mesh.tick()
        self.others = {node.record.address.port for node in self.nodes[1:]}

    def _link(self, address: fleet.Address) -> Any:
        return _Link(address.port, self.sent)

    def notified(self) -> set[int]:
        """Runs one interval; returns the ports that were sent to."""
        self.sent.clear()
        self.mesh.tick()
        return {port for port, _ in self.sent}

    def test_a_new_version_is_sent_to_every_zone_at_once(self):
        """A partitioned zone must not wait for its turn to get a change.

        A zone of one node is partitioned from the service. Each other node
        sends to only one zone in every fourth interval, so a notice that
        waited for the zone's turn would take 8 s or more.
        """
        self.notified()
        self.nodes[0].configuration.apply_if_newer(b"7")
        self.assertEqual(self.notified(), self.others)
        self.assertNotEqual(self.notified(), self.others)

    def test_a_node_without_configuration_sends_in_each_interval(self):
        self.nodes[0].configuration.in_force = builders_mesh.RawConfiguration(
            0, b"0"
        )
        for _ in range(3):
            self.assertEqual(self.notified(), self.others)

    def test_a_node_with_an_older_version_gets_a_notice(self):
        self.nodes[0].configuration.apply_if_newer(b"7")
        sender = self.nodes[1]
        for version, replies_count in ((3, 1), (7, 0), (9, 0)):
            with self.subTest(version=version):
                self.sent.clear()
                heartbeat = messages.Heartbeat("hall-b", 1, 1, version)
                self.mesh._on_heartbeat(sender.vm_id, heartbeat)
                self.assertEqual(
                    [(port, sent.config_version) for port, sent in self.sent],
                    [(sender.record.address.port, 7)] * replies_count,
                )


if __name__ == "__main__":
    unittest.main()
