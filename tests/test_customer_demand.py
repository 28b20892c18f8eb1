"""Tests of exchanging customers' demand among gateways."""

import random
import unittest
from collections.abc import Iterable

from hypothesis import given, strategies
from result import Err

from mulberrywharf import clock, fleet
from mulberrywharf.peers import (
    customer_demand,
    customer_demand_codec,
    datagrams,
    directory,
    topics,
)
from mulberrywharf.policy import customer_meter, customer_shares


class ManualClock(clock.Clock):
    """A clock that tests set."""

    now_s = 100.0

    def monotonic_s(self) -> float:
        return self.now_s


class Network:
    """Carries messages between exchanges and counts their bytes."""

    def __init__(self) -> None:
        self.handlers: dict[fleet.Address, topics.Handler] = {}
        self.sent_bytes: dict[fleet.Address, int] = {}
        self.lost: set[fleet.Address] = set()


class FakeTopics(topics.TopicExchange):
    """Sends messages of one gateway over the network."""

    def __init__(self, network: Network, address: fleet.Address):
        self._network = network
        self._address = address

    def register(self, topic: topics.Topic, handler: topics.Handler) -> None:
        self._network.handlers[self._address] = handler

    def send(
        self,
        topic: topics.Topic,
        body: bytes,
        addresses: Iterable[fleet.Address],
        *,
        is_urgent: bool,
    ) -> bool:
        for address in addresses:
            sent = self._network.sent_bytes
            sent[self._address] = (
                sent.get(self._address, 0)
                + len(body)
                + 1
                + datagrams.DATAGRAM_OVERHEAD_BYTES
            )
            if address not in self._network.lost:
                self._network.handlers[address](body, self._address)
        return True


class FakePeers:
    """Ranks two gateways first for everything."""

    def __init__(self, own: fleet.Address, first: list[fleet.Address]):
        self._own, self._first = own, first

    def ranked_gateways(
        self, matter: str, key: int, availability_zone: str
    ) -> tuple[directory.RankedGateway, ...]:
        return tuple(
            directory.RankedGateway(
                rank, None if address == self._own else address, True
            )
            for rank, address in enumerate(self._first)
        )


class Gateway:
    """One gateway of a zone."""

    def __init__(
        self, network: Network, number: int, system_clock: ManualClock
    ):
        self.address = _address(number)
        self.meter = customer_meter.CustomerMeter()
        self.shares = customer_shares.CustomerShares(random.Random(number))
        self.exchange = customer_demand.CustomerDemandExchange(
            FakePeers(self.address, [_address(0), _address(1)]),
            FakeTopics(network, self.address),
            self.meter,
            self.shares,
            "zone-a",
            lambda: 370,
            system_clock,
        )


def _address(number: int) -> fleet.Address:
    return fleet.Address(f"127.0.0.{number + 1}", 7_000)


class ExchangeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.network = Network()

    def zone(self, count: int) -> list[Gateway]:
        return [Gateway(self.network, n, self.clock) for n in range(count)]

    def load(
        self,
        gateways: list[Gateway],
        customers_count: int,
        spread: float = 0.0,
    ) -> None:
        """Counts an overload with one large customer at each gateway."""
        for gateway in gateways:
            for number in range(customers_count):
                gateway.meter.note_demand(
                    "tagger",
                    f"customer {number}",
                    100.0 if not number else 1.0 + spread * number,
                    self.clock.now_s,
                )
            gateway.meter.note_admitted("tagger", 60.0, self.clock.now_s)
            gateway.meter.note_unserved("tagger", 30.0, self.clock.now_s)

    def test_every_gateway_learns_the_shares(self) -> None:
        gateways = self.zone(4)
        self.load(gateways, 30)
        self.network.lost.add(_address(0))
        for gateway in gateways:
            gateway.exchange.report()
        self.clock.now_s += customer_shares.RECOMPUTE_S
        for gateway in gateways:
            gateway.exchange.report()
            found = gateway.shares.current("tagger", self.clock.now_s)
            assert found is not None
            key = customer_meter.customer_key("customer 0")
            self.assertLess(found.shares[key], 0.6)
            self.assertIn(
                customer_meter.customer_key("customer 1"), found.below
            )

    def test_nothing_is_sent_while_engines_keep_up(self) -> None:
        """Guards against control traffic where nothing is to be divided."""
        gateways = self.zone(3)
        for gateway in gateways:
            gateway.exchange.report()
            gateway.meter.note_demand("tagger", "ann", 1.0, self.clock.now_s)
            gateway.meter.note_admitted("tagger", 1.0, self.clock.now_s)
            gateway.exchange.report()
        self.assertEqual(self.network.sent_bytes, {})

    def test_bytes_fit_the_budget(self) -> None:
        """Guards against a zone's first gateway that exceeds its budget."""
        for count in (17, 43):
            with self.subTest(gateways=count):
                self.network = Network()
                gateways = self.zone(count)
                for _ in range(30):
                    self.load(gateways, 60, 0.5)
                    for gateway in gateways:
                        gateway.exchange.report()
                    self.clock.now_s += customer_demand.REPORT_INTERVAL_S
                most = max(self.network.sent_bytes.values())
                bytes_per_s = most / (30 * customer_demand.REPORT_INTERVAL_S)
                self.assertLess(bytes_per_s, datagrams.SENT_BYTES_PER_S)
                self.assertEqual(
                    [
                        gateway.shares.current("tagger", self.clock.now_s)
                        for gateway in gateways
                    ].count(None),
                    0,
                )

    def test_largest_messages_fit_the_budget(self) -> None:
        """Guards against replies that fit only while few are above."""
        rng = random.Random(1)
        keys = [rng.getrandbits(32) for _ in range(16)]
        demand = customer_meter.DemandReport(
            tuple(
                customer_meter.CustomerDemand(key, rng.random()) for key in keys
            ),
            *(rng.random(), 354, rng.random(), rng.random()),
        )
        reply = customer_demand_codec.Reply(
            rng.getrandbits(32),
            7,
            rng.random(),
            tuple(rng.random() for _ in keys),
            {rng.getrandbits(32): rng.random() for _ in range(8)},
            True,
        )
        report = customer_demand_codec.Report(rng.getrandbits(32), 7, demand)
        report_bytes, reply_bytes = (
            len(customer_demand_codec.encode(message))
            + 1
            + datagrams.DATAGRAM_OVERHEAD_BYTES
            for message in (report, reply)
        )
        for count, reports_per_reply in ((17, 1), (43, 2)):
            bytes_per_s = (
                2 * report_bytes + (count - 1) * reply_bytes / reports_per_reply
            ) / customer_demand.REPORT_INTERVAL_S
            self.assertLess(bytes_per_s, datagrams.SENT_BYTES_PER_S)


class CodecTest(unittest.TestCase):
    def test_damaged_messages_are_errors(self) -> None:
        """Guards against a gateway that ends because of a bad message."""
        demand = customer_meter.DemandReport(
            (customer_meter.CustomerDemand(7, 0.5),), 0.0, 0, 1.0, float("nan")
        )
        whole = customer_demand_codec.encode(
            customer_demand_codec.Report(1, 2, demand)
        )
        self.assertIsInstance(customer_demand_codec.decode(whole), Err)
        for cut in range(len(whole)):
            customer_demand_codec.decode(whole[:cut])
        self.assertIsInstance(customer_demand_codec.decode(b""), Err)

    @given(strategies.floats(0.0, 1.0), strategies.booleans())
    def test_reply_round_trip(self, share: float, is_rest_below: bool) -> None:
        reply = customer_demand_codec.Reply(
            1, 2, 0.5, (None, share), {7: share}, is_rest_below
        )
        decoded = customer_demand_codec.decode(
            customer_demand_codec.encode(reply)
        ).unwrap()
        assert isinstance(decoded, customer_demand_codec.Reply)
        self.assertIsNone(decoded.reported_shares[0])
        self.assertAlmostEqual(decoded.other_shares[7], share, delta=0.003)
        self.assertEqual(decoded.is_rest_below, is_rest_below)
