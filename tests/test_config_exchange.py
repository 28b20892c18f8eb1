"""How a node learns from its neighbours which configuration is the newest."""

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
        """Answers with the version that is the node's port."""
        return Ok(messages.ConfigDocument(str(self._number).encode()))


class _Links:
    """Links to nodes that each run the version that is their port."""

    def __init__(self) -> None:
        self.sent: list[tuple[int, Any]] = []

    def to(self, address: fleet.Address) -> Any:
        return _Link(address.port, self.sent)


class _Holder(builders_mesh.ConfigurationHolder):
    def __init__(self, version: int):
        super().__init__(version)
        self.offered: list[int] = []

    def apply_if_newer(self, raw: bytes) -> Any:
        self.offered.append(int(raw))
        return super().apply_if_newer(raw)


class FetchTest(unittest.TestCase):
    def test_the_highest_version_heard_is_fetched_first(self):
        """A node that was paused is heard before the others.

        Symptom: a router that replaces another while the service is down
        serves by rules that were replaced before it began.
        Sequence: it hears a node at 3, then one at 7; it fetches.
        Cause: it fetched from whom it had heard first.
        """
        holder = _Holder(0)
        exchange = config_exchange.ConfigExchange(holder, _Links())
        self.addCleanup(exchange.close)
        exchange.note("paused", 3, _address(3))
        gevent.sleep(0)
        exchange.note("ahead", 7, _address(7))
        wait_until(lambda: holder.version() == 7)
        self.assertEqual(holder.offered, [7])


class TellTest(unittest.TestCase):
    """Three zones of one node each, whose intervals the test begins."""

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

    def told(self) -> set[int]:
        """Begins one interval; returns the ports of those who were told."""
        self.sent.clear()
        self.mesh.tick()
        return {port for port, _ in self.sent}

    def test_a_new_version_is_told_to_every_zone_at_once(self):
        """A zone that is cut from the service has one node only.

        Symptom: a change comes into force there after 8 s and more.
        Sequence: the change is accepted; each other zone's node tells one
        zone each fourth interval, and another zone first.
        Cause: news waited for the turn of the zone that lacked it.
        """
        self.told()
        self.nodes[0].configuration.apply_if_newer(b"7")
        self.assertEqual(self.told(), self.others)
        self.assertNotEqual(self.told(), self.others)

    def test_a_node_without_configuration_asks_each_interval(self):
        self.nodes[0].configuration.held = builders_mesh.HeldConfiguration(
            0, b"0"
        )
        for _ in range(3):
            self.assertEqual(self.told(), self.others)

    def test_a_node_that_is_behind_is_answered(self):
        self.nodes[0].configuration.apply_if_newer(b"7")
        sender = self.nodes[1]
        for version, answers_count in ((3, 1), (7, 0), (9, 0)):
            with self.subTest(version=version):
                self.sent.clear()
                heartbeat = messages.Heartbeat("hall-b", 1, 1, version)
                self.mesh._on_heartbeat(sender.vm_id, heartbeat)
                self.assertEqual(
                    [(port, sent.config_version) for port, sent in self.sent],
                    [(sender.record.address.port, 7)] * answers_count,
                )


if __name__ == "__main__":
    unittest.main()
