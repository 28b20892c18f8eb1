"""Gateways tell each other under which requests servers ended."""

import unittest

import gevent
from result import Err

from mulberrywharf import clock, fleet
from mulberrywharf.peers import crash_codec, crash_reports, datagrams
from mulberrywharf.policy import crash_suspects
from tests import builders_platform
from tests.test_peers import KnownPeers

CULPRIT = 2**64 - 5


def told(server_key: int = 7, **changes: object) -> crash_codec.ToldEnd:
    made = crash_codec.ToldEnd(CULPRIT, server_key, False, 0.25)
    return made._replace(**changes)


class CodecTest(unittest.TestCase):
    def test_round_trip(self) -> None:
        report = crash_codec.CrashReport(
            (told(), told(8, made_output=True)), (3, 2**63), is_reply=True
        )
        encoded = crash_codec.encode(report)
        self.assertEqual(crash_codec.decode(encoded).unwrap(), report)

    def test_a_full_report_fits_a_datagram(self) -> None:
        ends = tuple(
            told(2**32 - 1 - number, made_output=True, age_s=4e6)
            for number in range(crash_codec.ENDS_LIMIT_COUNT)
        )
        encoded = crash_codec.encode(crash_codec.CrashReport(ends))
        sealed = datagrams.seal(b"c", encoded)
        self.assertLessEqual(len(sealed), datagrams.DATAGRAM_LIMIT_BYTES)

    def test_a_cut_report_is_an_error(self) -> None:
        whole = crash_codec.encode(crash_codec.CrashReport((told(),), (3,)))
        for cut in range(len(whole)):
            decoded = crash_codec.decode(whole[:cut])
            self.assertIsInstance(decoded, Err, cut)


class AllPeers(KnownPeers):
    """Peers that lose the first datagrams to them."""

    lost_count = 0

    def all_addresses(self) -> tuple[fleet.Address, ...]:
        if self.lost_count:
            self.lost_count -= 1
            return ()
        return self.known


class Gateway:
    """What one gateway knows and tells."""

    def __init__(self, address: fleet.Address, other: fleet.Address):
        system_clock = clock.SystemClock()
        self.peers = AllPeers(other)
        self.socket = datagrams.PeerSocket(address, self.peers, system_clock)
        self.suspects = crash_suspects.CrashSuspects()
        self.reports = crash_reports.CrashReports(
            self.peers, self.socket, self.suspects, system_clock
        )
        self._clock = system_clock

    def start(self) -> None:
        self.socket.start()

    def close(self) -> None:
        self.socket.close()

    def sees_end(self, server_key: int) -> None:
        now_s = self._clock.monotonic_s()
        end = crash_suspects.End(server_key, False, now_s)
        self.suspects.note_end(CULPRIT, end)
        self.reports.tell(CULPRIT)

    def blocks(self) -> bool:
        return self.suspects.is_blocked(CULPRIT, self._clock.monotonic_s())


class ReportsTest(unittest.TestCase):
    def setUp(self) -> None:
        one_at, two_at = (
            fleet.Address("127.0.0.1", builders_platform.closed_port())
            for _ in range(2)
        )
        self.one = Gateway(one_at, two_at)
        self.two = Gateway(two_at, one_at)
        for gateway in (self.one, self.two):
            gateway.start()
            self.addCleanup(gateway.close)

    def assert_told(self, gateway: Gateway) -> None:
        self.assertTrue(builders_platform.wait_until(gateway.blocks, 2.5))

    def test_ends_at_two_gateways_add_up(self) -> None:
        """Each gateway loses servers of its own to the same request."""
        self.one.sees_end(1)
        self.two.sees_end(2)
        self.assert_told(self.one)
        self.assert_told(self.two)

    def test_a_lost_datagram_is_made_up_for(self) -> None:
        """One gateway goes on sending what the others have blocked."""
        self.one.peers.lost_count = 2
        self.one.sees_end(1)
        self.one.sees_end(2)
        self.assert_told(self.two)

    def test_who_began_later_is_told_by_the_others(self) -> None:
        """A gateway that has just started loses servers one by one."""
        self.one.peers.lost_count = 9
        self.one.sees_end(1)
        self.one.sees_end(2)
        gevent.sleep(0.1)
        self.two.sees_end(3)
        self.assert_told(self.two)

    def test_who_ended_whole_elsewhere_is_cleared(self) -> None:
        self.one.sees_end(1)
        self.one.sees_end(2)
        self.assert_told(self.two)
        self.two.suspects.note_whole(CULPRIT, clock.SystemClock().monotonic_s())
        self.two.reports.tell_cleared(CULPRIT)
        self.assertTrue(
            builders_platform.wait_until(lambda: not self.one.blocks(), 2.5)
        )

    def test_two_that_know_the_same_do_not_answer_each_other(self) -> None:
        for gateway in (self.one, self.two):
            gateway.sees_end(1)
            gateway.sees_end(2)
        gevent.sleep(2.0)
        before = [one.socket.budget.level for one in (self.one, self.two)]
        gevent.sleep(0.3)
        after = [one.socket.budget.level for one in (self.one, self.two)]
        self.assertGreaterEqual(after, before)


if __name__ == "__main__":
    unittest.main()
