"""Tests of asking readers how recently the routes were confirmed."""

import unittest

import gevent
import hypothesis
from gevent import socket
from hypothesis import strategies
from result import Err

from mulberrywharf import clock, fleet
from mulberrywharf.peers import datagrams, freshness_codec, freshness_relay


class CodecTest(unittest.TestCase):
    @hypothesis.given(
        strategies.integers(0, 2**63 - 1),
        strategies.integers(0, 2**63 - 1),
        strategies.floats(0.0, 1e9),
    )
    def test_encoding_never_decreases_the_age(
        self, nonce: int, version: int, age_s: float
    ) -> None:
        reply = freshness_codec.Reply(nonce, version, age_s)
        decoded = freshness_codec.decode(freshness_codec.encode(reply)).unwrap()
        assert isinstance(decoded, freshness_codec.Reply)
        self.assertEqual((decoded.nonce, decoded.version), (nonce, version))
        self.assertGreaterEqual(decoded.age_s, min(age_s, 4_294_967.0) - 1e-6)
        self.assertLessEqual(decoded.age_s, age_s + 0.0011)

    def test_question_round_trip(self) -> None:
        question = freshness_codec.Question(7)
        sent = freshness_codec.encode(question)
        self.assertEqual(freshness_codec.decode(sent).unwrap(), question)

    def test_damaged_datagrams_are_errors(self) -> None:
        """Guards against crashing the gateway with a damaged datagram."""
        whole = freshness_codec.encode(freshness_codec.Reply(7, 3, 1.5))
        for cut in range(len(whole) - 1):
            freshness_codec.decode(whole[:cut])
        self.assertIsInstance(freshness_codec.decode(b""), Err)


class FakePeers:
    """Peers with readers that tests set."""

    def __init__(self) -> None:
        self.readers: tuple[fleet.Address, ...] = ()
        self.read_count = 0

    def knows(self, ip: str) -> bool:
        return True

    def reader_addresses(self) -> tuple[fleet.Address, ...]:
        return self.readers

    def read_before_first(self) -> None:
        self.read_count += 1


class RelayTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader, address = self.make_relay()
        self.requester, _ = self.make_relay()
        self.requester._peers.readers = (address,)

    def make_relay(
        self,
    ) -> tuple[freshness_relay.FreshnessRelay, fleet.Address]:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind(("127.0.0.1", 0))
            address = fleet.Address("127.0.0.1", probe.getsockname()[1])
        peers = FakePeers()
        peer_socket = datagrams.PeerSocket(address, peers, clock.SystemClock())
        relay = freshness_relay.FreshnessRelay(peers, peer_socket)
        peer_socket.start()
        self.addCleanup(peer_socket.close)
        return relay, address

    def test_reader_replies(self) -> None:
        confirmation = freshness_relay.Confirmation(3, 0.25)
        self.reader.on_question(lambda: confirmation)
        self.assertEqual(self.requester.ask(), confirmation)

    def test_silent_readers_are_skipped(self) -> None:
        """Guards against blocking on a reader that does not reply."""
        self.assertIsNone(self.requester.ask())
        unreachable = fleet.Address("127.0.0.1", 9)
        confirmation = freshness_relay.Confirmation(3, 0.25)
        self.reader.on_question(lambda: confirmation)
        self.requester._peers.readers = (
            unreachable,
            *self.requester._peers.readers,
        )
        for _ in range(4):
            self.assertEqual(self.requester.ask(), confirmation)

    def test_all_readers_are_asked(self) -> None:
        """Guards against a reader's newer routes that another one hides."""
        second, address = self.make_relay()
        self.requester._peers.readers += (address,)
        self.reader.on_question(lambda: freshness_relay.Confirmation(3, 0.25))
        second.on_question(lambda: freshness_relay.Confirmation(5, 0.25))
        replies = self.requester.ask_all() or []
        self.assertEqual([one.version for one in replies], [3, 5])
        self.assertEqual(self.requester._peers.read_count, 1)
        self.requester._peers.readers = ()
        self.assertIsNone(self.requester.ask_all())

    def test_late_reply_is_dropped(self) -> None:
        """Guards against matching a late reply to a later question."""

        def reply_late() -> freshness_relay.Confirmation:
            gevent.sleep(2 * freshness_relay.REPLY_TIMEOUT_S)
            return freshness_relay.Confirmation(3, 0.0)

        self.reader.on_question(reply_late)
        self.assertIsNone(self.requester.ask())
        gevent.sleep(3 * freshness_relay.REPLY_TIMEOUT_S)
        self.assertEqual(self.requester._pending, {})


if __name__ == "__main__":
    unittest.main()
