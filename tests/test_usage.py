"""Tests counting, collecting and reporting customers' usage."""

import unittest
from typing import Any

import gevent
import hypothesis
from gevent import socket
from hypothesis import strategies
from result import Err, Ok, Result

from mulberrywharf import clock, errors, fleet
from mulberrywharf.authority import duty_holder
from mulberrywharf.customers import usage
from mulberrywharf.duties import client, usage_reporter
from mulberrywharf.peers import datagrams, usage_codec, usage_exchange
from mulberrywharf.platform import duties
from mulberrywharf.platform_service import key_value
from standins.operators_platform import OperatorsPlatformStandin
from tests import builders_platform

WINDOW_S = 5.0
LATE_S = 10.0


class ManualWallClock:
    """A wall clock that tests set."""

    def __init__(self, now_s: float = 1_000.0):
        self.now_s = now_s

    def unix_s(self) -> float:
        return self.now_s


class CountsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualWallClock()
        self.counts = usage.UsageCounts(WINDOW_S, self.clock)

    def test_counts_by_window(self) -> None:
        for at_s, customer in ((1000.0, "a"), (1004.9, "a"), (1005.0, "b")):
            self.clock.now_s = at_s
            self.counts.count_request(customer)
        self.assertEqual(
            self.counts.counts_after(-1), {200: {"a": 2}, 201: {"b": 1}}
        )
        self.assertEqual(self.counts.counts_after(200), {201: {"b": 1}})

    def test_old_windows_are_dropped(self) -> None:
        """Guards against unbounded memory growth while no gateway reports."""
        for number in range(100):
            self.clock.now_s = 1000.0 + number * WINDOW_S
            self.counts.count_request("a")
        kept = self.counts.counts_after(-1)
        self.assertEqual(len(kept), usage.KEPT_WINDOWS_COUNT)
        self.assertEqual(max(kept), 299)

    def test_clock_adjustments_do_not_move_requests(self) -> None:
        """Guards against requests counted in the wrong window."""

        class SteppedClock(clock.BootClock):
            step_s = 0.0

            def unix_s(self) -> float:
                return super().unix_s() + self.step_s

        stepped = SteppedClock()
        steady = usage.MonotonicWallClock(stepped)
        before_s = steady.unix_s()
        stepped.step_s = 30.0
        self.assertAlmostEqual(steady.unix_s(), before_s, delta=1.0)


class CodecTest(unittest.TestCase):
    @hypothesis.given(
        strategies.dictionaries(
            strategies.text(
                strategies.characters(exclude_categories=["Cs"]),
                min_size=1,
                max_size=120,
            ),
            strategies.integers(0, 2**32 - 1),
            max_size=200,
        )
    )
    def test_counts_round_trip(self, by_customer: dict[str, int]) -> None:
        whole = usage_codec.Counts(
            7, 353_445_120, True, by_customer, sum(by_customer.values())
        )
        merged: dict[str, int] = {}
        parts = list(usage_codec.split_counts(whole))
        for part in parts:
            datagram = usage_codec.encode_counts(part)
            self.assertLess(len(datagram), datagrams.DATAGRAM_LIMIT_BYTES - 5)
            decoded = usage_codec.decode(datagram).unwrap()
            self.assertEqual(decoded, part)
            merged.update(part.by_customer)
        self.assertEqual(merged, by_customer)
        self.assertTrue(all(part.is_final for part in parts))
        total_count = sum(by_customer.values())
        self.assertEqual({part.total_count for part in parts}, {total_count})

    def test_announcement_round_trip(self) -> None:
        for reported_window in (0, 353_445_120):
            sent = usage_codec.Announcement(2**40 + 3, reported_window)
            datagram = usage_codec.encode_announcement(sent)
            self.assertEqual(usage_codec.decode(datagram).unwrap(), sent)

    def test_damaged_datagrams_are_errors(self) -> None:
        """Guards against a crash on a damaged datagram."""
        counts = usage_codec.Counts(7, 3, True, {"ann": 3, "bob": 900}, 903)
        whole = usage_codec.encode_counts(counts)
        for cut in range(len(whole) - 1):
            usage_codec.decode(whole[:cut])
        self.assertIsInstance(usage_codec.decode(b""), Err)


class FakePeers:
    """A peer directory that tests fill."""

    def __init__(self) -> None:
        self.known: dict[str, fleet.Address] = {}

    def knows(self, ip: str) -> bool:
        return True

    def recent_addresses(self) -> tuple[fleet.Address, ...]:
        return tuple(self.known.values())


class ExchangeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualWallClock()
        self.addresses: dict[str, fleet.Address] = {}
        self.peers: dict[str, FakePeers] = {}
        self.counts: dict[str, usage.UsageCounts] = {}
        self.one = self.make("one")
        self.two = self.make("two")
        self.three = self.make("three")

    def make(
        self, name: str, incarnation: int = 1
    ) -> usage_exchange.UsageExchange:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind(("127.0.0.1", 0))
            free = fleet.Address("127.0.0.1", probe.getsockname()[1])
        address = self.addresses.setdefault(name, free)
        peers = self.peers[name] = FakePeers()
        peer_socket = datagrams.PeerSocket(address, peers, clock.SystemClock())
        counts = self.counts[name] = usage.UsageCounts(WINDOW_S, self.clock)
        made = usage_exchange.UsageExchange(
            peers, peer_socket, counts, incarnation, WINDOW_S, self.clock.unix_s
        )
        made._created_s -= usage_exchange.PEER_DISCOVERY_S
        peer_socket.start()
        self.addCleanup(peer_socket.close)
        for other, known in self.peers.items():
            known.known = {
                key: value
                for key, value in self.addresses.items()
                if key != other
            }
        return made

    def end_window(self) -> None:
        self.clock.now_s += WINDOW_S + usage_exchange.FINAL_COUNTS_DELAY_S

    def wait_total(
        self, exchange: usage_exchange.UsageExchange, window: int, total: Any
    ) -> None:
        builders_platform.wait_until(lambda: exchange.total(window) == total)
        self.assertEqual(exchange.total(window), total)

    def test_collector_receives_all_counts(self) -> None:
        self.counts["one"].count_request("ann")
        self.counts["two"].count_request("ann")
        self.counts["three"].count_request("bob")
        self.one.announce(5, 199)
        self.wait_total(self.one, 200, {"ann": 2, "bob": 1})
        self.assertEqual(self.one.missing_count(200), 2)
        self.assertEqual(self.one.windows_after(199), [200])

    def test_resent_counts_are_counted_once(self) -> None:
        """Guards against usage counted twice."""
        self.counts["two"].count_request("ann")
        for _ in range(3):
            self.one.announce(5, 199)
            gevent.sleep(0.02)
        self.counts["two"].count_request("ann")
        self.one.announce(5, 199)
        self.wait_total(self.one, 200, {"ann": 2})

    def test_counts_survive_a_restart(self) -> None:
        """Guards against usage lost when a gateway restarts."""
        self.counts["two"].count_request("ann")
        self.one.announce(5, 199)
        self.wait_total(self.one, 200, {"ann": 1})
        self.two.close()
        again = self.make("four", incarnation=2)
        self.counts["four"].count_request("ann")
        self.one.announce(5, 199)
        self.wait_total(self.one, 200, {"ann": 2})
        again.close()

    def test_new_collector_receives_unreported_counts(self) -> None:
        """Guards against counts lost when the collector changes."""
        self.counts["two"].count_request("ann")
        self.one.announce(5, 198)
        self.wait_total(self.one, 200, {"ann": 1})
        self.three.announce(6, 199)
        self.wait_total(self.three, 200, {"ann": 1})

    def test_counts_with_a_lost_part_are_not_final(self) -> None:
        """Guards against a report that lacks customers of a lost datagram."""
        whole = usage_codec.Counts(
            9, 200, True, {f"customer-{n:03}": 1 for n in range(120)}, 120
        )
        first, *rest = usage_codec.split_counts(whole)
        self.peers["one"].known = {"two": self.addresses["two"]}
        for part in rest:
            self.one._on_datagram(
                usage_codec.encode_counts(part), self.addresses["two"]
            )
        self.assertEqual(self.one.missing_count(200), 1)
        self.one._on_datagram(
            usage_codec.encode_counts(first), self.addresses["two"]
        )
        self.assertEqual(self.one.missing_count(200), 0)
        self.assertEqual(sum(self.one.total(200).values()), 120)

    def test_reported_window_never_decreases(self) -> None:
        """Guards against a collector that collects a reported window again."""
        self.counts["two"].count_request("ann")
        self.one.announce(5, 200)
        gevent.sleep(0.05)
        self.three.announce(6, 199)
        gevent.sleep(0.05)
        self.assertEqual(self.two.reported_window, 200)
        self.assertEqual(self.three.reported_window, 200)
        self.assertEqual(self.three.total(200), {})

    def test_announced_window_to_come_is_not_believed(self) -> None:
        """Guards against one datagram behind which no usage is reported."""
        self.counts["two"].count_request("ann")
        self.three.announce(5, 2**60)
        gevent.sleep(0.05)
        self.one.announce(6, 199)
        self.wait_total(self.one, 200, {"ann": 1})

    def test_former_collector_receives_no_counts(self) -> None:
        """Guards against a collector that resumes after a takeover."""
        self.three.announce(6, 199)
        gevent.sleep(0.05)
        self.counts["two"].count_request("ann")
        self.one.announce(5, 199)
        gevent.sleep(0.05)
        self.assertEqual(self.one.total(200), {})

    def test_gateways_without_requests_send_final_counts(self) -> None:
        """Guards against waiting for gateways that served no requests."""
        self.counts["two"].count_request("ann")
        self.one.announce(5, 199)
        self.end_window()
        self.one.request_missing(5, 199, 200)
        self.assertTrue(
            builders_platform.wait_until(
                lambda: self.one.missing_count(200) == 0
            )
        )
        self.assertEqual(self.one.total(200), {"ann": 1})

    def test_counts_are_missing_until_peers_are_discovered(self) -> None:
        """Guards against a report without gateways not yet discovered."""
        self.one._created_s += usage_exchange.PEER_DISCOVERY_S
        self.peers["one"].known = {}
        self.assertEqual(self.one.missing_count(200), 1)

    def test_reported_windows_are_dropped(self) -> None:
        self.counts["two"].count_request("ann")
        self.one.announce(5, 199)
        self.wait_total(self.one, 200, {"ann": 1})
        self.one.announce(5, 200)
        self.assertEqual(self.one.windows_after(199), [])


class FakeHolder:
    """A holder that tests control; several can share one record."""

    def __init__(self, shared: dict[str, Any], number: int):
        self.shared = shared
        self.number: int | None = number
        self.fails = False
        self.resigned = ""

    @property
    def last_record(self) -> bytes | None:
        value = self.shared.get("record")
        assert value is None or isinstance(value, bytes)
        return value

    def authority(
        self,
    ) -> Result[duty_holder.Authority, errors.AuthorityLostError]:
        if self.number is None:
            return Err(errors.AuthorityLostError("not here"))
        return Ok(
            duty_holder.Authority(self.number, key_value.Guard("holder", 1))
        )

    def record(self, value: bytes) -> Result[None, errors.PlatformError]:
        if self.fails:
            return Err(errors.WriteOutcomeUnknownError("no answer"))
        self.shared["record"] = value
        return Ok(None)

    def resign(self, reason: str) -> None:
        self.number = None
        self.resigned = reason


class FakeExchange:
    """Counts that tests set."""

    def __init__(self) -> None:
        self.totals: dict[int, dict[str, int]] = {}
        self.missing = 0
        self.announced: list[tuple[int, int]] = []
        self.requested_windows: list[int] = []
        self.reported_window = -1

    def announce(self, number: int, reported_window: int) -> None:
        self.announced.append((number, reported_window))

    def request_missing(
        self, number: int, reported_window: int, window: int
    ) -> None:
        self.requested_windows.append(window)

    def missing_count(self, window: int) -> int:
        return self.missing

    def windows_after(self, window: int) -> list[int]:
        return sorted(number for number in self.totals if number > window)

    def total(self, window: int) -> dict[str, int]:
        return dict(self.totals[window])


class ReporterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = OperatorsPlatformStandin()
        self.platform.start()
        self.addCleanup(self.platform.close)
        self.clock = ManualWallClock()
        self.shared: dict[str, Any] = {}
        self.holder, self.exchange, self.reporter = self.make(7)
        self.exchange.totals[200] = {"ann": 3, "bob": 1}

    def make(
        self, number: int
    ) -> tuple[FakeHolder, FakeExchange, usage_reporter.UsageReporter]:
        holder, exchange = FakeHolder(self.shared, number), FakeExchange()
        address = fleet.Address("127.0.0.1", self.platform.port)
        reporter = usage_reporter.UsageReporter(
            holder,
            exchange,
            client.DutyClient(
                address,
                duties.DutyDialect(),
                user_timeout_s=0.2,
                before_send=lambda: None,
            ),
            f"vm-{number}",
            usage_reporter.WindowTiming(WINDOW_S, LATE_S),
            self.clock,
        )
        return holder, exchange, reporter

    def end_window(self, after_end_s: float = 0.5) -> None:
        self.clock.now_s = 1005.0 + after_end_s

    def test_window_is_reported_after_it_ends(self) -> None:
        self.reporter.poll()
        self.assertEqual(self.platform.calls, [])
        self.end_window()
        for _ in range(3):
            self.reporter.poll()
        (call,) = self.platform.calls
        self.assertEqual((call.holder, call.number), ("vm-7", 7))
        self.assertEqual(
            call.body,
            {"window-number": 200, "counts": {"ann": 3, "bob": 1}},
        )
        self.assertEqual(self.exchange.announced, [(7, -1), (7, 200)])

    def test_holder_without_counts_announces_itself_again(self) -> None:
        """Guards against a holder that took over before it knew the others."""
        self.exchange.totals.clear()
        for _ in range(3):
            self.reporter.poll()
        self.assertEqual(self.exchange.announced, [(7, -1)])
        self.clock.now_s += WINDOW_S + 0.1
        for _ in range(3):
            self.reporter.poll()
        self.assertEqual(self.exchange.announced, [(7, -1), (7, -1)])

    def test_missing_counts_delay_the_report(self) -> None:
        """Guards against a report without gateways that respond late."""
        self.end_window()
        self.exchange.missing = 2
        self.reporter.poll()
        self.assertEqual(self.exchange.requested_windows, [200])
        self.assertEqual(self.platform.calls, [])
        self.exchange.missing = 0
        self.reporter.poll()
        self.assertIn(200, self.platform.usage)

    def test_wait_for_missing_counts_is_limited(self) -> None:
        """Guards against a late report because of one failed gateway."""
        self.end_window(LATE_S * usage_reporter.COUNTS_WAIT_SHARE + 0.1)
        self.exchange.missing = 1
        self.reporter.poll()
        self.assertIn(200, self.platform.usage)

    def test_unrecorded_report_is_not_sent(self) -> None:
        """Guards against a successor that reports other counts."""
        self.end_window()
        self.holder.fails = True
        self.reporter.poll()
        self.assertEqual(self.platform.calls, [])

    def test_lost_record_causes_no_second_report(self) -> None:
        """Guards against a second, different report after a store restore."""
        self.end_window()
        self.reporter.poll()
        self.holder.number = None
        self.shared.clear()
        _, exchange, successor = self.make(8)
        exchange.totals[200] = {"ann": 9}
        exchange.reported_window = 200
        successor.poll()
        self.assertEqual(len(self.platform.calls), 1)
        self.assertEqual(self.platform.conflicts, [])

    def test_successor_resends_the_recorded_report(self) -> None:
        """Guards against two different reports for one window.

        The first holder's call is executed after the second's.
        """
        self.end_window()
        self.platform.faults["late_s"] = 0.3
        self.reporter.poll()
        self.platform.faults.clear()
        self.holder.number = None
        _, exchange, successor = self.make(8)
        exchange.totals[200] = {"ann": 9}
        successor.poll()
        gevent.sleep(0.4)
        self.assertEqual(self.platform.usage, {200: {"ann": 3, "bob": 1}})
        self.assertEqual(self.platform.conflicts, [])
        self.assertEqual([call.number for call in self.platform.calls], [7, 8])

    def test_failed_calls_are_retried(self) -> None:
        self.end_window()
        for faults in ({"lose": True}, {"status": 429}, {"status": 503}):
            self.platform.faults = faults
            self.reporter.poll()
        self.platform.faults = {}
        self.reporter.poll()
        self.assertEqual(len(self.platform.calls), 4)
        self.assertEqual(self.platform.conflicts, [])
        self.reporter.poll()
        self.assertEqual(len(self.platform.calls), 4)

    def test_stale_fencing_number_releases_the_duty(self) -> None:
        """Guards against a former holder that keeps calling."""
        self.end_window()
        self.platform.faults["status"] = 409
        for _ in range(5):
            self.reporter.poll()
        self.assertEqual(len(self.platform.calls), 1)
        self.assertTrue(self.holder.resigned)

    def test_overdue_report_is_dropped(self) -> None:
        """Guards against a backlog of reports after an outage."""
        self.end_window()
        self.platform.faults["status"] = 503
        self.reporter.poll()
        self.clock.now_s = 1005.0 + LATE_S + 1.0
        self.platform.faults.clear()
        self.reporter.poll()
        self.reporter.poll()
        self.assertEqual(len(self.platform.calls), 1)

    def test_invalid_record_yields_no_reports(self) -> None:
        for value in (b"", b"[1]", b"{}", b'[{"window": "x", "counts": 1}]'):
            with self.subTest(value=value):
                self.assertEqual(usage_reporter.decode_record(value), [])

    def test_record_of_a_window_to_come_stops_no_report(self) -> None:
        """Guards against a record behind which nothing is reported."""
        self.shared["record"] = usage_reporter.encode_record(
            [client.UsageReport(2**53, {"ann": 1})]
        )
        self.end_window()
        self.reporter.poll()
        self.assertEqual(self.platform.usage, {200: {"ann": 3, "bob": 1}})

    def test_record_round_trip(self) -> None:
        reports = [
            client.UsageReport(200, {"ann": 1}),
            client.UsageReport(201, {}),
        ]
        recorded = usage_reporter.encode_record(reports)
        self.assertEqual(usage_reporter.decode_record(recorded), reports)


if __name__ == "__main__":
    unittest.main()
