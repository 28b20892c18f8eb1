"""Tests the reports between gateways on server exits during requests."""

import pathlib
import unittest

import capnp
import gevent
from result import Err

from mulberrywharf import clock, fleet
from mulberrywharf.crashes import crash_codec, crash_reports
from mulberrywharf.peers import datagrams
from mulberrywharf.policy import crash_suspects
from tests import builders_addresses, builders_platform
from tests.builders_crashes import answer_others, end, record_end, traits
from tests.test_peers import FakePeers

FINGERPRINT = 2**64 - 5
PART = 2**64 - 7


def reported_end(
    server_key: int = 7, **changes: object
) -> crash_codec.ReportedEnd:
    end = crash_codec.ReportedEnd(FINGERPRINT, server_key, False, 0.25)
    return end._replace(**changes)


class CodecTest(unittest.TestCase):
    def test_round_trip(self) -> None:
        report = crash_codec.CrashReport(
            (
                reported_end(),
                reported_end(8, made_output=True),
                reported_end(9, customer=2**63, parts=frozenset({1, 2**63})),
            ),
            (3, 2**63),
            is_reply=True,
            cleared_parts=(crash_codec.ClearedPart(2**63 + 1, 9, 0.5),),
            trials=(2**64 - 1,),
        )
        encoded = crash_codec.encode(report)
        self.assertEqual(crash_codec.decode(encoded).unwrap(), report)

    def test_each_batch_of_a_report_fits_into_a_datagram(self) -> None:
        for parts_count in (0, 1, 4, 16):
            ends = tuple(
                reported_end(
                    2**32 - 1 - number,
                    made_output=True,
                    age_s=4e6,
                    customer=2**64 - 1,
                    parts=frozenset(range(2**64 - parts_count, 2**64)),
                )
                for number in range(100)
            )
            count = crash_codec.CLEARED_LIMIT_COUNT // 2
            report = crash_codec.CrashReport(
                ends,
                tuple(range(2**64 - count, 2**64)),
                cleared_parts=tuple(
                    crash_codec.ClearedPart(2**64 - 1 - n, 2**64 - 1, 4e6)
                    for n in range(count)
                ),
            )
            batches = list(crash_codec.batches(report))
            sent = [end for batch in batches for end in batch.ends]
            self.assertEqual(tuple(sent), ends)
            self.assertEqual(batches[0].cleared_parts, report.cleared_parts)
            for batch in batches:
                encoded = crash_codec.encode(batch)
                sealed = datagrams.frame_datagram(b"c", encoded)
                self.assertLessEqual(
                    len(sealed), datagrams.DATAGRAM_LIMIT_BYTES
                )

    def test_a_truncated_report_is_an_error(self) -> None:
        whole = crash_codec.encode(
            crash_codec.CrashReport((reported_end(),), (3,))
        )
        for cut in range(len(whole)):
            decoded = crash_codec.decode(whole[:cut])
            self.assertIsInstance(decoded, Err, cut)


class EarlierBuildTest(unittest.TestCase):
    """Gateways of a build without parts of prompts, beside this one."""

    def test_report_without_parts_is_one_on_whole_requests(self) -> None:
        message = crash_codec._SCHEMA.CrashReport.new_message()
        (wire,) = message.init("ends", 1)
        wire.request, wire.server, wire.ageMs = FINGERPRINT, 7, 250
        decoded = crash_codec.decode(bytes(message.to_bytes_packed()))
        self.assertEqual(
            decoded.unwrap(), crash_codec.CrashReport((reported_end(),))
        )

    def test_parts_are_added_behind_the_known_fields(self) -> None:
        earlier = capnp.load(
            str(pathlib.Path(__file__).with_name("crash_without_parts.capnp"))
        )
        encoded = crash_codec.encode(
            crash_codec.CrashReport(
                (reported_end(made_output=True, parts=frozenset({1, 2})),),
                (3,),
                is_reply=True,
                cleared_parts=(crash_codec.ClearedPart(5, 6, 0.5),),
                trials=(9,),
            )
        )
        message = earlier.CrashReport.from_bytes_packed(encoded)
        (wire,) = message.ends
        self.assertEqual(
            (wire.request, wire.server, wire.ageMs, wire.madeOutput),
            (FINGERPRINT, 7, 250, True),
        )
        self.assertEqual((list(message.cleared), message.isReply), ([3], True))


class LossyPeers(FakePeers):
    """Peers to which the first ``lost_count`` datagrams are lost."""

    lost_count = 0

    def all_addresses(self) -> tuple[fleet.Address, ...]:
        if self.lost_count:
            self.lost_count -= 1
            return ()
        return self.known


class Gateway:
    """The state of one gateway and the reports that it sends."""

    def __init__(self, address: fleet.Address, other: fleet.Address):
        system_clock = clock.SystemClock()
        self.peers = LossyPeers(other)
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

    def report_end(self, server_key: int) -> None:
        now_s = self._clock.monotonic_s()
        record_end(self.suspects, FINGERPRINT, end(server_key, now_s))
        self.reports.tell(FINGERPRINT)

    def report_end_under(
        self, fingerprint: int, server_key: int, part: int
    ) -> None:
        now_s = self._clock.monotonic_s()
        record_end(self.suspects, fingerprint, end(server_key, now_s), (part,))
        answer_others(self.suspects, now_s)
        self.reports.tell(fingerprint)

    def answer(self, part: int) -> None:
        self.suspects.record_answer_began(
            0, (part,), "engines", self._clock.monotonic_s()
        )

    def is_blocking_part(self, part: int) -> bool:
        answer_others(self.suspects, self._clock.monotonic_s())
        return self.suspects.is_blocked(
            traits(1, (part,)), self._clock.monotonic_s()
        )

    def is_blocking(self) -> bool:
        return self.suspects.is_blocked(
            traits(FINGERPRINT), self._clock.monotonic_s()
        )


class ReportsTest(unittest.TestCase):
    def setUp(self) -> None:
        net = builders_addresses.claim_net(self)
        first_address, second_address = (
            fleet.Address(f"{net}.{host}", builders_platform.closed_port())
            for host in (1, 2)
        )
        self.first = Gateway(first_address, second_address)
        self.second = Gateway(second_address, first_address)
        for gateway in (self.first, self.second):
            gateway.start()
            self.addCleanup(gateway.close)

    def assert_blocking(self, gateway: Gateway) -> None:
        self.assertTrue(builders_platform.wait_until(gateway.is_blocking, 2.5))

    def test_exits_seen_by_two_gateways_add_up(self) -> None:
        """Guards against each gateway losing servers to the same request."""
        self.first.report_end(1)
        self.second.report_end(2)
        self.assert_blocking(self.first)
        self.assert_blocking(self.second)

    def test_a_lost_report_is_repeated(self) -> None:
        """Guards against a gateway that keeps sending a blocked request."""
        self.first.peers.lost_count = 2
        self.first.report_end(1)
        self.first.report_end(2)
        self.assert_blocking(self.second)

    def test_reply_informs_a_gateway_that_missed_the_reports(self) -> None:
        """Guards against a new gateway losing servers to a blocked request."""
        self.first.peers.lost_count = 9
        self.first.report_end(1)
        self.first.report_end(2)
        gevent.sleep(0.1)
        self.second.report_end(3)
        self.assert_blocking(self.second)

    def test_request_completed_at_another_gateway_is_cleared(self) -> None:
        self.first.report_end(1)
        self.first.report_end(2)
        self.assert_blocking(self.second)
        self.second.suspects.record_completed(
            FINGERPRINT, clock.SystemClock().monotonic_s()
        )
        self.second.reports.broadcast_completed(FINGERPRINT)
        self.assertTrue(
            builders_platform.wait_until(
                lambda: not self.first.is_blocking(), 2.5
            )
        )

    def test_ends_under_different_requests_add_up_by_their_part(self) -> None:
        """Guards against each gateway losing servers to the same part."""
        for server_key, gateway in enumerate(
            (self.first, self.second, self.second)
        ):
            gateway.report_end_under(100 + server_key, server_key, PART)
        for gateway in (self.first, self.second):
            self.assertTrue(
                builders_platform.wait_until(
                    lambda one=gateway: one.is_blocking_part(PART), 2.5
                )
            )

    def test_answer_at_another_gateway_clears_a_part(self) -> None:
        """Guards against blocking a part that one gateway alone has answered.

        The answer began before the ends, so no request is left to clear it.
        """
        self.second.answer(PART)
        for server_key in range(3):
            self.first.report_end_under(100 + server_key, server_key, PART)
        gevent.sleep(0.2)
        for gateway in (self.first, self.second):
            self.assertFalse(gateway.is_blocking_part(PART))

    def test_reply_names_the_parts_of_a_block(self) -> None:
        """Guards against a new gateway losing servers to a blocked part."""
        self.first.peers.lost_count = 99
        for server_key in range(3):
            self.first.report_end_under(100 + server_key, server_key, PART)
        gevent.sleep(0.1)
        self.second.report_end_under(200, 7, PART)
        self.assertTrue(
            builders_platform.wait_until(
                lambda: self.second.is_blocking_part(PART), 2.5
            )
        )

    def test_a_trial_is_announced(self) -> None:
        for server_key in range(3):
            self.first.report_end_under(100 + server_key, server_key, PART)
        builders_platform.wait_until(
            lambda: self.second.is_blocking_part(PART), 2.5
        )
        later_s = clock.SystemClock().monotonic_s() + 700.0
        (block,) = self.second.suspects.blocks(later_s)
        self.assertTrue(self.second.suspects.may_try(block, later_s))
        self.first.reports.broadcast_trial(block.key)
        self.assertTrue(
            builders_platform.wait_until(
                lambda: (
                    self.second.suspects.trial_delay_s_of(
                        (block.key,), 0, clock.SystemClock().monotonic_s()
                    )
                    > 0.0
                ),
                2.5,
            )
        )

    def test_gateways_with_the_same_records_do_not_reply(self) -> None:
        for gateway in (self.first, self.second):
            gateway.report_end(1)
            gateway.report_end(2)
        gevent.sleep(2.0)
        before = [one.socket.budget.level for one in (self.first, self.second)]
        gevent.sleep(0.3)
        after = [one.socket.budget.level for one in (self.first, self.second)]
        self.assertGreaterEqual(after, before)


if __name__ == "__main__":
    unittest.main()
