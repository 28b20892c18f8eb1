"""Gateways: notices between them, and the directory in the store."""

import unittest

import gevent
from result import Err

from mulberrywharf import clock, fleet
from mulberrywharf.peers import codec, datagrams, directory, notices
from mulberrywharf.policy import part_caches, usual_load
from tests import builders_platform
from tests import builders_routes as build

PART = part_caches.HeldPart(17, 13_000)
ZONE = "zone-a"
ENGINE = build.server("e")


def _part(key: int) -> part_caches.HeldPart:
    return part_caches.HeldPart(key, 60_000)


class KnownPeers:
    """Peers that tests fill."""

    def __init__(self, *addresses: fleet.Address):
        self.known = addresses

    @property
    def gateways_count(self) -> int:
        return 1 + len(self.known)

    is_registered = True
    is_reader = False

    def addresses(self, availability_zone: str) -> tuple[fleet.Address, ...]:
        return self.known if availability_zone == ZONE else ()

    def one_of_each_other_zone(self) -> tuple[fleet.Address, ...]:
        return self.known

    def hears_of(self, availability_zone: str) -> bool:
        return availability_zone == ZONE

    def knows(self, ip: str) -> bool:
        return any(address.ip == ip for address in self.known)


class CodecTest(unittest.TestCase):
    def test_round_trip(self) -> None:
        notice = codec.Notice(
            7,
            3,
            (
                codec.Placement(1, 0.125, (_part(2**63),), 4_000),
                codec.Placement(2, 0.25, (_part(1), _part(2), _part(3))),
                codec.Placement(3, 0.5),
            ),
            codec.Seen(5, 2**40, is_reading=True),
            (codec.Load(9, 14, 0.25),),
            (codec.Demand(11, 1.5),),
            (21, 22),
            13,
            (
                codec.RoleLoad(11, True, usual_load.Load(0.25, 0.75)),
                codec.RoleLoad(11, False, usual_load.Load(1.5, 0.0)),
            ),
        )
        self.assertEqual(codec.decode(codec.encode(notice)).unwrap(), notice)

    def test_a_full_notice_fits_a_datagram(self) -> None:
        placements = tuple(
            codec.Placement(
                n, 1.0, (_part(2**64 - 1 - n),) * parts_count, 60_000
            )
            for n in range(codec.PLACEMENTS_LIMIT_COUNT)
            for parts_count in (1 + n % 4,)
        )
        placements = codec.fitting(placements)
        self.assertGreater(len(placements), 10)
        datagram = codec.encode(codec.Notice(1, 1, placements))
        sealed = datagrams.seal(b"n", datagram)
        self.assertLessEqual(len(sealed), datagrams.DATAGRAM_LIMIT_BYTES)

    def test_damaged_datagrams_are_errors(self) -> None:
        """One damaged datagram ends a gateway.

        Sequence: bytes are cut or changed on the way. Cause: the reader of
        the library aborts or raises where nobody expects it.
        """
        whole = codec.encode(
            codec.Notice(
                7, 3, (codec.Placement(1, 0.1, (_part(5), _part(6)), 7),)
            )
        )
        for cut in range(0, len(whole), 3):
            damaged = whole[:cut]
            self.assertIsInstance(codec.decode(damaged), Err, cut)
        for place in range(len(whole)):
            changed = bytearray(whole)
            changed[place] ^= 0xFF
            codec.decode(bytes(changed))


class NoticesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.one_at = fleet.Address("127.0.0.1", self.free_port())
        self.two_at = fleet.Address("127.0.0.1", self.free_port())
        self.heard: list[codec.Placement] = []
        self.one = self.start(self.one_at, KnownPeers(self.two_at))
        self.two = self.start(self.two_at, KnownPeers(self.one_at))
        self.two.on_notice(lambda notice: self.heard.extend(notice.placements))

    def free_port(self) -> int:
        with gevent.socket.socket(type=gevent.socket.SOCK_DGRAM) as sock:
            sock.bind(("127.0.0.1", 0))
            return int(sock.getsockname()[1])

    def start(
        self, address: fleet.Address, peers: KnownPeers
    ) -> notices.WorkNotices:
        made = notices.WorkNotices(address, peers, 1, ZONE, clock.SystemClock())
        made.start()
        self.addCleanup(made.close)
        return made

    def test_a_placement_is_told_at_once(self) -> None:
        self.one.add(ENGINE, 0.1, (PART,), 3_000)
        builders_platform.wait_until(lambda: self.heard, limit_s=1.0)
        (told,) = self.heard
        self.assertEqual(told.engine_key, codec.key_of_server(ENGINE.start))
        self.assertEqual(told.parts, (PART,))
        self.assertAlmostEqual(told.work_s, 0.1)
        self.assertEqual(told.own_tokens, 3_000)

    def test_placements_of_one_moment_are_added_up(self) -> None:
        for _ in range(3):
            self.one.add(ENGINE, 0.1, (PART,), 1_000)
        builders_platform.wait_until(lambda: self.heard, limit_s=1.0)
        (told,) = self.heard
        self.assertAlmostEqual(told.work_s, 0.3, places=5)
        self.assertEqual(told.own_tokens, 3_000)

    def test_work_in_another_zone_is_told_there_alone(self) -> None:
        self.one.add(
            ENGINE._replace(availability_zone="zone-b"), 0.1, (PART,), 1
        )
        self.one.add(
            ENGINE._replace(start=build.start("near")), 0.1, (PART,), 1
        )
        builders_platform.wait_until(lambda: self.heard, limit_s=1.0)
        gevent.sleep(0.05)
        (told,) = self.heard
        self.assertEqual(told.engine_key, codec.key_of("near"))

    def test_other_zones_hear_how_busy_this_one_is(self) -> None:
        told = (codec.RoleLoad(3, True, usual_load.Load(0.5, 0.25)),)
        heard: list[codec.Notice] = []
        self.two.on_notice(heard.append)
        self.one.on_notice(lambda _: None, role_loads=lambda: told)
        builders_platform.wait_until(
            lambda: heard, limit_s=2 * notices.ZONE_LOADS_INTERVAL_S
        )
        self.assertEqual(heard[0].role_loads, told)
        self.assertEqual(heard[0].zone_key, codec.key_of(ZONE))

    def test_strangers_are_not_heard(self) -> None:
        """Engines look busy because of somebody who is no gateway.

        Sequence: a datagram comes from an address outside the directory.
        Cause: whatever came to the port was believed.
        """
        stranger = notices.WorkNotices(
            fleet.Address("127.0.0.2", self.free_port()),
            KnownPeers(self.two_at),
            9,
            ZONE,
            clock.SystemClock(),
        )
        stranger.start()
        self.addCleanup(stranger.close)
        stranger.add(ENGINE, 5.0, (PART,), 1)
        gevent.sleep(0.05)
        self.assertEqual(self.heard, [])

    def test_what_is_spent_stays_bounded(self) -> None:
        """Notices take more of the network than the operators allow.

        Sequence: long prompts come at a rate far above the usual for long.
        Cause: each was told in a datagram of its own, whatever had been sent.
        """
        sent_before = datagrams.SENT_BURST_BYTES
        for _ in range(2_000):
            self.one.add(ENGINE, 0.1, (PART,), 1)
            gevent.sleep(0.0005)
        self.assertLess(len(self.heard) * 100, 2 * sent_before)


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

    def test_gateways_find_each_other(self) -> None:
        one, two = self.start("one", 1), self.start("two", 2)
        builders_platform.wait_until(lambda: one.addresses(ZONE))
        builders_platform.wait_until(lambda: two.addresses(ZONE))
        self.assertEqual(one.addresses(ZONE), (fleet.Address("127.0.0.1", 2),))
        self.assertEqual(two.addresses(ZONE), (fleet.Address("127.0.0.1", 1),))
        self.assertTrue(one.knows("127.0.0.1"))
        self.assertEqual(one.one_of_each_other_zone(), ())

    def test_a_key_of_another_writer_names_no_gateway(self) -> None:
        """A gateway knows of no peer any more, and refuses half its callers.

        Sequence: another program writes a key under the gateways' prefix whose
        value is no address. Cause: reading it raised, which ended the task
        that follows the others, for good and without a line.
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

    def test_in_a_large_fleet_the_engines_zone_is_told(self) -> None:
        """Control traffic grows with the square of the fleet.

        Sequence: 80 gateways, each tells each other one. Cause: nothing
        bounded how many are told.
        """
        one = self.start("one", 1)
        for number in range(directory.TOLD_LIMIT_COUNT + 10):
            zone = "zone-a" if number < 5 else "zone-b"
            self.store.put(
                f"{directory.KEY_PREFIX}vm-{number}/boot",
                f"127.0.0.1:{1000 + number}/{zone}".encode(),
            )
        builders_platform.wait_until(
            lambda: one.gateways_count == directory.TOLD_LIMIT_COUNT + 11
        )
        self.assertEqual(len(one.addresses(ZONE)), 5)
        self.assertTrue(one.hears_of(ZONE))
        self.assertEqual(
            len(one.addresses("zone-b")), directory.TOLD_LIMIT_COUNT + 5
        )
        self.assertFalse(one.hears_of("zone-b"))
        (neighbour,) = one.one_of_each_other_zone()
        self.assertIn(neighbour, one.addresses("zone-b"))

    def test_a_gateway_that_closes_is_gone(self) -> None:
        one, two = self.start("one", 1), self.start("two", 2)
        builders_platform.wait_until(lambda: one.addresses(ZONE))
        two.close()
        self.assertTrue(
            builders_platform.wait_until(lambda: not one.addresses(ZONE))
        )

    def test_a_restarted_gateway_counts_once(self) -> None:
        """Half of the callers are refused while engines are idle.

        Sequence: all gateways are killed and start again; the keys of before
        stay in the store until their leases lapse. Cause: each key counted as
        a gateway, and what one sees of the load as a ninth of it instead of
        an eighteenth.
        """
        one = self.start("one", 1)
        self.start("two", 2, "before")
        builders_platform.wait_until(lambda: one.addresses(ZONE))
        self.start("two", 3, "after")
        builders_platform.wait_until(
            lambda: one.addresses(ZONE) == (fleet.Address("127.0.0.1", 3),)
        )
        self.assertEqual(one.addresses(ZONE), (fleet.Address("127.0.0.1", 3),))

    def test_a_gateway_whose_key_is_gone_counts_on_nobody(self) -> None:
        """One gateway refuses a new route with 404 for a second too long.

        Sequence: the store turns a gateway away and takes its key; a change
        is made as it lets it in again. Its peers tell it nothing, and it
        waits as if they did. Cause: it went by whom it knew, not by who knew
        it.
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

    def test_all_choose_the_same_readers(self) -> None:
        """Every gateway goes to the store for itself, or none does.

        Cause: each chose the readers by a list of its own.
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

    def test_a_gateway_that_knows_nobody_reads(self) -> None:
        self.assertTrue(self.start("one", 1).is_reader)

    def test_each_zone_of_a_large_fleet_has_readers(self) -> None:
        """A zone that is cut off hears of no change.

        Cause: the readers of a large fleet, who tell their own zone alone,
        all stood in another one.
        """
        for number in range(directory.TOLD_LIMIT_COUNT + 10):
            self.store.put(
                f"{directory.KEY_PREFIX}vm-{number}/boot",
                f"127.0.0.1:{1000 + number}/zone-b".encode(),
            )
        one = self.start("one", 1)
        builders_platform.wait_until(
            lambda: one.gateways_count == directory.TOLD_LIMIT_COUNT + 11
        )
        self.assertTrue(one.is_reader)

    def test_a_lost_registration_is_made_again(self) -> None:
        """A gateway is not told of work for the rest of its life.

        Sequence: the store takes its key away while it lives. Cause: the
        registration was made once.
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

    def test_a_new_registration_does_not_wait_for_the_old_lease(self) -> None:
        """A gateway is not told of work for seconds after a lost renewal.

        Sequence: the renewal of its lease fails for so long that it gives the
        lease up; the store has not let it lapse yet. Cause: the same key was
        created again, and it was still there.
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
