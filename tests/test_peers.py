"""Tests notices between gateways and the directory of gateways in the store."""

import unittest

import gevent
from result import Err

from mulberrywharf import clock, fleet
from mulberrywharf.peers import datagrams, directory, notice_codec, notices
from mulberrywharf.policy import load_estimates, part_caches
from tests import builders_platform
from tests import builders_routes as build

PART = part_caches.HeldPart(17, 13_000)
ZONE = "zone-a"
ENGINE = build.server("e")


def _part(key: int) -> part_caches.HeldPart:
    return part_caches.HeldPart(key, 60_000)


class FakePeers:
    """Peers with the addresses that a test passes in."""

    def __init__(self, *addresses: fleet.Address):
        self.known = addresses

    @property
    def gateways_count(self) -> int:
        return 1 + len(self.known)

    is_registered = True
    is_reader = False

    def addresses(self, availability_zone: str) -> tuple[fleet.Address, ...]:
        return self.known if availability_zone == ZONE else ()

    def pick_gateway_per_other_zone(self) -> tuple[fleet.Address, ...]:
        return self.known

    def receives_notices_for(self, availability_zone: str) -> bool:
        return availability_zone == ZONE

    def knows(self, ip: str) -> bool:
        return any(address.ip == ip for address in self.known)


class CodecTest(unittest.TestCase):
    def test_round_trip(self) -> None:
        notice = notice_codec.Notice(
            7,
            3,
            (
                notice_codec.Placement(1, 0.125, (_part(2**63),), 4_000),
                notice_codec.Placement(2, 0.25, (_part(1), _part(2), _part(3))),
                notice_codec.Placement(3, 0.5),
            ),
            notice_codec.SeenRevisions(5, 2**40),
            (
                notice_codec.Load(9, 14, 0.25, 1.0),
                notice_codec.Load(10, 0, 0.5),
                notice_codec.Load(11, 3, 0.0, 10.0**0.4),
            ),
            (notice_codec.Demand(11, 1.5),),
            (21, 22),
            13,
            (
                notice_codec.RoleLoad(
                    11, True, load_estimates.Load(0.25, 0.75)
                ),
                notice_codec.RoleLoad(11, False, load_estimates.Load(1.5, 0.0)),
            ),
        )
        self.assertEqual(
            notice_codec.decode(notice_codec.encode(notice)).unwrap(), notice
        )

    def encoded_bytes(self, *paces: float | None) -> int:
        """Returns the size of a notice with loads that state these paces."""
        placement = notice_codec.Placement(
            0xABCDEF01, 0.125, (_part(2**63 + 5),), 3_720
        )
        notice = notice_codec.Notice(
            0xDEADBEEF,
            77,
            (placement,),
            notice_codec.SeenRevisions(1_234, 5_678, era=3),
            tuple(
                notice_codec.Load(0xABCDEF01 + number, 14, 0.25, pace)
                for number, pace in enumerate(paces)
            ),
            (notice_codec.Demand(11, 1.5),),
        )
        return len(notice_codec.encode(notice))

    def test_paces_take_bytes_only_where_they_are_stated(self) -> None:
        """Guards against larger notices in fleets whose servers state none.

        The sizes are those of notices without the field. A field of each load
        would add two bytes per load, even while it is not set.
        """
        self.assertEqual(self.encoded_bytes(), 69)
        self.assertEqual(self.encoded_bytes(*[None] * 6), 112)
        self.assertLessEqual(self.encoded_bytes(*[2.5] * 6), 116)

    def test_paces_out_of_bounds_are_limited(self) -> None:
        loads = tuple(
            notice_codec.Load(1, 1, 0.0, pace) for pace in (0.1, 20.0, 1e9)
        )
        notice = notice_codec.Notice(1, 1, (), loads=loads)
        decoded = notice_codec.decode(notice_codec.encode(notice)).unwrap()
        least, *most = [round(load.pace or 0.0, 1) for load in decoded.loads]
        self.assertEqual((least, most), (0.5, [5.0, 5.0]))

    def test_full_notice_fits_in_one_datagram(self) -> None:
        placements = tuple(
            notice_codec.Placement(
                n, 1.0, (_part(2**64 - 1 - n),) * parts_count, 60_000
            )
            for n in range(notice_codec.PLACEMENTS_LIMIT_COUNT)
            for parts_count in (1 + n % 4,)
        )
        placements = notice_codec.fit_datagram(placements)
        self.assertGreater(len(placements), 10)
        datagram = notice_codec.encode(notice_codec.Notice(1, 1, placements))
        sealed = datagrams.frame_datagram(b"n", datagram)
        self.assertLessEqual(len(sealed), datagrams.DATAGRAM_LIMIT_BYTES)

    def test_damaged_datagrams_are_errors(self) -> None:
        """Guards against a damaged datagram that terminates a gateway.

        If bytes are truncated or changed in transit, the library's reader may
        abort or raise an unexpected exception.
        """
        whole = notice_codec.encode(
            notice_codec.Notice(
                7, 3, (notice_codec.Placement(1, 0.1, (_part(5), _part(6)), 7),)
            )
        )
        for cut in range(0, len(whole), 3):
            damaged = whole[:cut]
            self.assertIsInstance(notice_codec.decode(damaged), Err, cut)
        for place in range(len(whole)):
            changed = bytearray(whole)
            changed[place] ^= 0xFF
            notice_codec.decode(bytes(changed))


class NoticesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.one_at = fleet.Address("127.0.0.1", self.free_port())
        self.two_at = fleet.Address("127.0.0.1", self.free_port())
        self.received: list[notice_codec.Placement] = []
        self.one = self.start(self.one_at, FakePeers(self.two_at))
        self.two = self.start(self.two_at, FakePeers(self.one_at))
        self.two.set_sources(
            lambda notice: self.received.extend(notice.placements)
        )

    def free_port(self) -> int:
        with gevent.socket.socket(type=gevent.socket.SOCK_DGRAM) as sock:
            sock.bind(("127.0.0.1", 0))
            return int(sock.getsockname()[1])

    def start(
        self, address: fleet.Address, peers: FakePeers
    ) -> notices.NoticeExchange:
        made = notices.NoticeExchange(
            address, peers, 1, ZONE, clock.SystemClock()
        )
        made.start()
        self.addCleanup(made.close)
        return made

    def test_placement_is_sent_at_once(self) -> None:
        self.one.add_placement(ENGINE, 0.1, (PART,), 3_000)
        builders_platform.wait_until(lambda: self.received, limit_s=1.0)
        (placement,) = self.received
        self.assertEqual(
            placement.engine_key, notice_codec.hash_server_start(ENGINE.start)
        )
        self.assertEqual(placement.parts, (PART,))
        self.assertAlmostEqual(placement.work_s, 0.1)
        self.assertEqual(placement.own_tokens, 3_000)

    def test_simultaneous_placements_are_merged(self) -> None:
        for _ in range(3):
            self.one.add_placement(ENGINE, 0.1, (PART,), 1_000)
        builders_platform.wait_until(lambda: self.received, limit_s=1.0)
        (placement,) = self.received
        self.assertAlmostEqual(placement.work_s, 0.3, places=5)
        self.assertEqual(placement.own_tokens, 3_000)

    def test_work_in_another_zone_is_sent_only_there(self) -> None:
        self.one.add_placement(
            ENGINE._replace(availability_zone="zone-b"), 0.1, (PART,), 1
        )
        self.one.add_placement(
            ENGINE._replace(start=build.start("near")), 0.1, (PART,), 1
        )
        builders_platform.wait_until(lambda: self.received, limit_s=1.0)
        gevent.sleep(0.05)
        (placement,) = self.received
        self.assertEqual(placement.engine_key, notice_codec.hash_name("near"))

    def test_role_loads_are_sent_to_other_zones(self) -> None:
        role_loads = (
            notice_codec.RoleLoad(3, True, load_estimates.Load(0.5, 0.25)),
        )
        received: list[notice_codec.Notice] = []
        self.two.set_sources(received.append)
        self.one.set_sources(lambda _: None, role_loads=lambda: role_loads)
        builders_platform.wait_until(
            lambda: received, limit_s=2 * notices.ZONE_LOADS_INTERVAL_S
        )
        self.assertEqual(received[0].role_loads, role_loads)
        self.assertEqual(received[0].zone_key, notice_codec.hash_name(ZONE))

    def test_unknown_senders_are_ignored(self) -> None:
        """Guards against a foreign host that makes engines look busy.

        Every datagram that reached the port was accepted, also from addresses
        outside the directory.
        """
        unknown = notices.NoticeExchange(
            fleet.Address("127.0.0.2", self.free_port()),
            FakePeers(self.two_at),
            9,
            ZONE,
            clock.SystemClock(),
        )
        unknown.start()
        self.addCleanup(unknown.close)
        unknown.add_placement(ENGINE, 5.0, (PART,), 1)
        gevent.sleep(0.05)
        self.assertEqual(self.received, [])

    def test_sent_bytes_stay_within_the_budget(self) -> None:
        """Guards against notices that exceed the operators' byte limit.

        When long prompts arrived far faster than usual for a long time, each
        was sent in its own datagram, regardless of the bytes already sent.
        """
        sent_before = datagrams.SENT_BURST_BYTES
        for _ in range(2_000):
            self.one.add_placement(ENGINE, 0.1, (PART,), 1)
            gevent.sleep(0.0005)
        self.assertLess(len(self.received) * 100, 2 * sent_before)


class DirectoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = self.enterContext(build.running_store())

    def start(
        self, name: str, port: int, incarnation: str = "boot"
    ) -> directory.PeerDirectory:
        client = build.store_client(self.store.port)
        self.addCleanup(client.close)
        made = directory.PeerDirectory(
            client,
            name,
            fleet.Address("127.0.0.1", port),
            ZONE,
            incarnation,
        )
        made.start()
        self.addCleanup(made.close)
        return made

    def test_gateways_discover_each_other(self) -> None:
        one, two = self.start("one", 1), self.start("two", 2)
        builders_platform.wait_until(lambda: one.addresses(ZONE))
        builders_platform.wait_until(lambda: two.addresses(ZONE))
        self.assertEqual(one.addresses(ZONE), (fleet.Address("127.0.0.1", 2),))
        self.assertEqual(two.addresses(ZONE), (fleet.Address("127.0.0.1", 1),))
        self.assertTrue(one.knows("127.0.0.1"))
        self.assertEqual(one.pick_gateway_per_other_zone(), ())

    def test_keys_of_other_programs_are_ignored(self) -> None:
        """Guards against a gateway that loses its peers and refuses callers.

        Another program writes a key under the gateways' prefix whose value is
        not an address. Parsing it raised and ended the task that reads the
        registrations, permanently and without a log line. Without peers, the
        gateway refused half of its callers.
        """
        for number, value in enumerate(
            (
                b"",
                b"\xff\xfe",
                b"127.0.0.1",
                b"127.0.0.1:x/a",
                b"x:1/zone",
                b"/",
            )
        ):
            key = f"{directory.KEY_PREFIX}other-{number}/1-1"
            self.store.put(key, value)
        self.store.put(directory.KEY_PREFIX + "nameless", b"127.0.0.1:9/zone")
        one, two = self.start("one", 1), self.start("two", 2)
        builders_platform.wait_until(
            lambda: one.gateways_count == 2 and two.gateways_count == 2
        )
        self.assertEqual((one.gateways_count, two.gateways_count), (2, 2))

    def test_large_fleet_notifies_only_the_zone_of_the_engine(self) -> None:
        """Guards against control traffic quadratic in the size of the fleet.

        With 80 gateways, each notified all others; nothing limited the number
        of receivers.
        """
        one = self.start("one", 1)
        for number in range(directory.FULL_MESH_LIMIT_COUNT + 10):
            zone = "zone-a" if number < 5 else "zone-b"
            self.store.put(
                f"{directory.KEY_PREFIX}vm-{number}/boot",
                f"127.0.0.1:{1000 + number}/{zone}".encode(),
            )
        builders_platform.wait_until(
            lambda: one.gateways_count == directory.FULL_MESH_LIMIT_COUNT + 11
        )
        self.assertEqual(len(one.addresses(ZONE)), 5)
        self.assertTrue(one.receives_notices_for(ZONE))
        self.assertEqual(
            len(one.addresses("zone-b")), directory.FULL_MESH_LIMIT_COUNT + 5
        )
        self.assertFalse(one.receives_notices_for("zone-b"))
        (neighbour,) = one.pick_gateway_per_other_zone()
        self.assertIn(neighbour, one.addresses("zone-b"))

    def test_closed_gateway_is_removed(self) -> None:
        one, two = self.start("one", 1), self.start("two", 2)
        builders_platform.wait_until(lambda: one.addresses(ZONE))
        two.close()
        self.assertTrue(
            builders_platform.wait_until(lambda: not one.addresses(ZONE))
        )

    def test_restarted_gateway_counts_once(self) -> None:
        """Guards against refusing half of the callers while engines are idle.

        All gateways are killed and restarted; their previous keys stay in the
        store until the leases expire. Each key was counted as a gateway, so
        each of nine gateways took its own load for an eighteenth of the total
        instead of a ninth.
        """
        one = self.start("one", 1)
        self.start("two", 2, "before")
        builders_platform.wait_until(lambda: one.addresses(ZONE))
        self.start("two", 3, "after")
        builders_platform.wait_until(
            lambda: one.addresses(ZONE) == (fleet.Address("127.0.0.1", 3),)
        )
        self.assertEqual(one.addresses(ZONE), (fleet.Address("127.0.0.1", 3),))

    def test_gateway_without_its_key_is_not_registered(self) -> None:
        """Guards against a gateway that answers 404 for a new route too long.

        The store rejects a gateway's calls and removes its key; a change is
        made as the store accepts the calls again. The peers no longer notify
        the gateway, but it relied on them because it still knew them. It then
        refused the new route for one second too long.
        """
        one = self.start("one", 1)
        self.assertTrue(builders_platform.wait_until(lambda: one.is_registered))
        for lease_id in list(self.store.store._leases):
            self.store.store.revoke(lease_id)
        self.assertTrue(
            builders_platform.wait_until(
                lambda: not one.is_registered, directory.LEASE_TTL_S
            )
        )

    def test_all_gateways_choose_the_same_readers(self) -> None:
        """Guards against a fleet in which all gateways are readers, or none.

        This happens if each gateway chooses the readers from a different list.
        """
        names = [f"vm-{number}" for number in range(5)]
        started = [
            self.start(name, 1 + number) for number, name in enumerate(names)
        ]
        builders_platform.wait_until(
            lambda: all(one.gateways_count == 5 for one in started)
        )
        readers_count = sum(one.is_reader for one in started)
        self.assertEqual(readers_count, directory.READERS_COUNT)

    def test_gateway_without_peers_is_a_reader(self) -> None:
        self.assertTrue(self.start("one", 1).is_reader)

    def test_each_zone_of_a_large_fleet_has_readers(self) -> None:
        """Guards against a partitioned zone that learns of no change.

        The readers of a large fleet notify only their own zone, and all of
        them were in another zone.
        """
        for number in range(directory.FULL_MESH_LIMIT_COUNT + 10):
            self.store.put(
                f"{directory.KEY_PREFIX}vm-{number}/boot",
                f"127.0.0.1:{1000 + number}/zone-b".encode(),
            )
        one = self.start("one", 1)
        builders_platform.wait_until(
            lambda: one.gateways_count == directory.FULL_MESH_LIMIT_COUNT + 11
        )
        self.assertTrue(one.is_reader)

    def test_lost_registration_is_created_again(self) -> None:
        """Guards against a gateway that is never notified of work again.

        The store removes its key while it runs. The gateway registered only
        once.
        """
        one, _ = self.start("one", 1), self.start("two", 2)
        builders_platform.wait_until(lambda: one.addresses(ZONE))
        for lease_id in list(self.store.store._leases):
            self.store.store.revoke(lease_id)
        self.assertEqual(self.registered_count(), 0)
        limit_s = directory.LEASE_TTL_S + 2 * directory.READ_INTERVAL_S
        self.assertTrue(
            builders_platform.wait_until(
                lambda: self.registered_count() == 2, limit_s
            )
        )
        self.assertTrue(
            builders_platform.wait_until(lambda: one.addresses(ZONE), limit_s)
        )

    def test_new_registration_does_not_wait_for_the_old_lease(self) -> None:
        """Guards against seconds without notices after failed renewals.

        Renewals fail for so long that the gateway abandons its lease, which has
        not yet expired in the store. The gateway then tried to create the same
        key again, which still existed.
        """
        one = self.start("one", 1)
        builders_platform.wait_until(lambda: self.registered_count() == 1)
        self.assertIsNone(one._register(gevent.event.Event()))
        self.assertEqual(self.registered_count(), 2)

    def registered_count(self) -> int:
        prefix = directory.KEY_PREFIX.encode()
        return sum(key.startswith(prefix) for key in self.store.store.records)


if __name__ == "__main__":
    unittest.main()
