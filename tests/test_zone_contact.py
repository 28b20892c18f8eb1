"""Tests whether a gateway knows that it is separated from other zones."""

import unittest

import gevent
from gevent import socket

from mulberrywharf import clock, fleet
from mulberrywharf.peers import datagrams, topics, zone_contact
from tests import builders_platform


class _Peers:
    """Gateways of another zone that tests set."""

    def __init__(self) -> None:
        self.other: tuple[fleet.Address, ...] = ()

    def knows(self, ip: str) -> bool:
        return True

    def other_zone_addresses(self) -> dict[str, tuple[fleet.Address, ...]]:
        return {"zone-b": self.other} if self.other else {}


class _Clock(clock.SystemClock):
    """A clock that tests advance."""

    later_s = 0.0

    def monotonic_s(self) -> float:
        return super().monotonic_s() + self.later_s


class ZoneContactTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = _Clock()
        self.peers, self.address, self.contact, self.socket = self.make()
        self.others, self.other_address, _, self.other_socket = self.make()
        self.others.other = (self.address,)

    def make(
        self,
    ) -> tuple[
        _Peers, fleet.Address, zone_contact.ZoneContact, datagrams.PeerSocket
    ]:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind(("127.0.0.1", 0))
            address = fleet.Address("127.0.0.1", probe.getsockname()[1])
        peers = _Peers()
        peer_socket = datagrams.PeerSocket(address, peers, self.clock)
        contact = zone_contact.ZoneContact(
            peers, peer_socket, topics.TopicExchange(peer_socket), self.clock
        )
        peer_socket.start()
        self.addCleanup(peer_socket.close)
        return peers, address, contact, peer_socket

    def test_fleet_of_one_zone_is_not_separated(self) -> None:
        self.assertTrue(self.contact.check())

    def test_zone_without_traffic_replies(self) -> None:
        """Guards against a holder that orders nothing before traffic starts."""
        self.peers.other = (self.other_address,)
        self.assertFalse(self.contact.check())
        self.assertTrue(builders_platform.wait_until(self.contact.check, 2.0))

    def test_silent_zone_is_not_in_contact(self) -> None:
        self.peers.other = (self.other_address,)
        builders_platform.wait_until(self.contact.check, 2.0)
        self.other_socket.close()
        self.assertTrue(self.contact.check())
        self.clock.later_s = zone_contact.CONTACT_S + 0.1
        self.assertFalse(self.contact.check())
        gevent.sleep(0.2)
        self.assertFalse(self.contact.check())


if __name__ == "__main__":
    unittest.main()
