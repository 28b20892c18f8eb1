"""Who keeps the queue of an engine, and how the others ask."""

import random
import unittest
from collections.abc import Mapping, Sequence

import gevent
from gevent import socket
from result import Err

from mulberrywharf import clock, fleet
from mulberrywharf.peers import (
    codec,
    datagrams,
    directory,
    queue_codec,
    queue_owners,
)
from mulberrywharf.platform_service import key_value
from mulberrywharf.policy import part_caches
from tests import builders_platform
from tests import builders_routes as build

ZONE = "zone-a"
ENGINE = build.server("engine-1", role="prefill")
OTHER = build.server("engine-2", role="prefill")
PART = part_caches.HeldPart(2**64 - 1, 4_870)
MESSAGES = (
    queue_codec.Ask(7, 2, (2**32 - 1, 3)),
    queue_codec.Waits(7, (queue_codec.EngineWait(3, 0.25, 60.0),)),
    queue_codec.Waits(8, ()),
    queue_codec.Ask(7, 2, (3,), (2**64 - 1, 5)),
    queue_codec.Waits(7, (queue_codec.EngineWait(3, 0.25, 60.0, 2),)),
    queue_codec.Work(3, 2**32 - 1, 9, "placed", 2, 0.125),
    queue_codec.Work(
        3, 1, 9, "placed", 2, 0.125, (PART, part_caches.HeldPart(5, 1)), 700
    ),
    queue_codec.Work(3, 1, 9, "read"),
    queue_codec.Work(3, 1, 9, "withdrawn"),
)


ABORTING = bytes.fromhex("010650010101ba10031103015109020107a086ae")
"""A question with some bytes changed, on which the library aborts."""


class CodecTest(unittest.TestCase):
    def test_round_trip(self) -> None:
        for message in MESSAGES:
            with self.subTest(message=message):
                decoded = queue_codec.decode(queue_codec.encode(message))
                self.assertEqual(decoded.unwrap(), message)

    def test_damaged_datagrams_are_errors(self) -> None:
        """One damaged datagram ends a gateway.

        Sequence: bytes are cut or changed on the way. Cause: the reader of
        the library aborts or raises where nobody expects it.
        """
        for message in MESSAGES:
            whole = queue_codec.encode(message)
            for cut in range(len(whole) - 1):
                queue_codec.decode(whole[:cut])
            for place in range(len(whole)):
                changed = bytearray(whole)
                changed[place] ^= 0xFF
                queue_codec.decode(bytes(changed))
        self.assertIsInstance(queue_codec.decode(b""), Err)

    def test_numbers_beyond_the_wire_are_cut(self) -> None:
        wait = queue_codec.EngineWait(3, 1e6, -1.0)
        sent = queue_codec.encode(queue_codec.Waits(7, (wait,)))
        (told,) = queue_codec.decode(sent).unwrap().waits  # type: ignore[union-attr]
        self.assertGreater(told.wait_s, 60.0)
        self.assertEqual(told.known_s, 0.0)


class Peers:
    """Gateways that tests fill; the one named keeps all queues."""

    tells_all = False

    def __init__(self) -> None:
        self.keeper: fleet.Address | None = None
        self.known_ips = {"127.0.0.1"}

    def knows(self, ip: str) -> bool:
        return ip in self.known_ips

    def owner(self, *_: object) -> fleet.Address | None:
        return self.keeper


class Parts:
    """Takes in what prompts leave at engines; all parts are held."""

    def __init__(self) -> None:
        self.counted: list[tuple[object, ...]] = []

    def note_counted(self, *counted: object) -> None:
        self.counted.append(counted)

    def held_count(self, engine_key: int, part_keys: Sequence[int]) -> int:
        return len(part_keys)


class QueueOwnersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.peers = Peers()
        self.keeper_at = self.free_address()
        self.keeper = self.start(self.keeper_at, Peers(), 1)
        self.peers.keeper = self.keeper_at
        self.asker_at = self.free_address()
        self.asker = self.start(self.asker_at, self.peers, 2)

    def free_address(self) -> fleet.Address:
        with socket.socket(type=socket.SOCK_DGRAM) as sock:
            sock.bind(("127.0.0.1", 0))
            return fleet.Address("127.0.0.1", int(sock.getsockname()[1]))

    def start(
        self, address: fleet.Address, peers: Peers, sender: int
    ) -> queue_owners.QueueOwners:
        system_clock = clock.SystemClock()
        carrier = datagrams.PeerSocket(address, peers, system_clock)
        made = queue_owners.QueueOwners(peers, carrier, sender, system_clock)
        carrier.start()
        self.addCleanup(carrier.close)
        return made

    def waits(
        self, asker: queue_owners.QueueOwners | None = None
    ) -> Mapping[fleet.ServerStart, queue_owners.ToldWait]:
        return (asker or self.asker).waits([ENGINE, OTHER], 2)

    def told_s(self, asker: queue_owners.QueueOwners | None = None) -> float:
        told = self.waits(asker).get(ENGINE.start)
        return told.wait_s if told is not None else -1.0

    def assert_answers(self) -> None:
        """Waits until the keeper has read all that was sent, and answers."""
        self.assertTrue(
            builders_platform.wait_until(lambda: ENGINE.start in self.waits())
        )
        self.assertEqual(self.told_s(), 0.0)

    def test_what_one_placed_another_is_told(self) -> None:
        """Queues of a few tenths of a second are known when they are over.

        Sequence: a gateway places a prompt; another one has a prompt some ms
        later. Cause: notices to all wait for their bytes for a second.
        """
        third = self.start(self.free_address(), self.peers, 3)
        self.asker.placed(ENGINE, 0.4, 2)
        self.assertTrue(
            builders_platform.wait_until(lambda: self.told_s(third) > 0.1)
        )
        self.assertTrue(
            builders_platform.wait_until(lambda: OTHER.start in self.waits())
        )
        self.assertEqual(self.waits()[OTHER.start].wait_s, 0.0)

    def test_what_was_read_or_withdrawn_counts_no_more(self) -> None:
        for end in (self.asker.read, self.asker.withdrawn):
            with self.subTest(end=end.__name__):
                ticket = self.asker.placed(ENGINE, 0.4, 2)
                self.assertTrue(
                    builders_platform.wait_until(lambda: self.told_s() > 0.1)
                )
                end(ticket)
                self.assertTrue(
                    builders_platform.wait_until(lambda: self.told_s() == 0.0)
                )

    def test_what_an_engine_holds_is_told_with_its_wait(self) -> None:
        """Shared parts are read again though another engine holds them.

        Sequence: a gateway's prompt leaves a part at an engine; another one
        has a prompt with that part. Cause: parts were told by notices alone,
        which wait for their bytes for seconds in a large fleet.
        """
        kept = Parts()
        self.keeper.keep_parts(kept)
        self.asker.placed(ENGINE, 0.4, 2, (PART,), 700)
        key = codec.key_of_server(ENGINE.start)
        self.assertTrue(builders_platform.wait_until(lambda: kept.counted))
        self.assertEqual(kept.counted, [(key, (PART,), 700)])
        told = self.asker.waits([ENGINE], 2, (1, 2))[ENGINE.start]
        self.assertEqual(told.held_count, 2)
        self.assertFalse(told.knows_parts)

    def test_an_owner_that_is_gone_costs_some_milliseconds(self) -> None:
        """Callers wait for a gateway that is frozen or cut off.

        Cause: nobody else answers for the engine; what the asker believes by
        itself has to do.
        """
        self.peers.keeper = self.free_address()
        began_s = clock.SystemClock().monotonic_s()
        self.assertEqual(self.waits(), {})
        took_s = clock.SystemClock().monotonic_s() - began_s
        self.assertGreaterEqual(took_s, queue_owners.REPLY_TIMEOUT_S)
        self.assertLess(took_s, 20 * queue_owners.REPLY_TIMEOUT_S)

    def test_who_has_just_become_the_owner_says_so(self) -> None:
        """All gateways send to an engine with a full queue.

        Sequence: the owner of its queue is killed; the next one has counted
        nothing yet. Cause: no count was taken for an empty queue.
        """
        self.assertTrue(
            builders_platform.wait_until(lambda: ENGINE.start in self.waits())
        )
        self.assertFalse(self.waits()[ENGINE.start].is_whole)
        self.assertTrue(builders_platform.wait_until(self.is_whole))

    def is_whole(self) -> bool:
        told = self.waits().get(ENGINE.start)
        return told is not None and told.is_whole

    def test_the_owner_itself_needs_no_message(self) -> None:
        self.peers.keeper = None
        self.asker.placed(ENGINE, 0.4, 2)
        self.assertGreater(self.told_s(), 0.2)

    def test_strangers_are_not_heard(self) -> None:
        self.keeper_peers = Peers()
        self.keeper_peers.known_ips = set()
        deaf_at = self.free_address()
        self.start(deaf_at, self.keeper_peers, 4)
        self.peers.keeper = deaf_at
        self.assertEqual(self.waits(), {})

    def test_answers_of_others_and_late_ones_are_dropped(self) -> None:
        """A gateway that answers for another makes an engine look idle.

        Sequence: the owner is silent; a datagram with the number of the
        question comes from another gateway. Cause: an answer was known by its
        number alone.
        """
        silent = self.free_address()
        self.peers.keeper = silent
        asking = gevent.spawn(self.waits)
        gevent.sleep(0.001)
        wait = queue_codec.EngineWait(
            codec.key_of_server(ENGINE.start), 0.0, 60.0
        )
        with socket.socket(type=socket.SOCK_DGRAM) as sock:
            for number in range(1, 50):
                answer = queue_codec.encode(queue_codec.Waits(number, (wait,)))
                sock.sendto(datagrams.seal(b"q", answer), tuple(self.asker_at))
            self.assertEqual(asking.get(), {})

    def test_damaged_datagrams_end_no_gateway(self) -> None:
        """A gateway's process is aborted by one datagram.

        Sequence: bytes of a datagram are changed on the way, or a gateway of
        another version sends its own. Cause: the library throws while it
        cleans up behind some of them, which nothing can catch.
        """
        rng = random.Random(1)
        with socket.socket(type=socket.SOCK_DGRAM) as sock:
            sock.sendto(b"q" + ABORTING, tuple(self.keeper_at))
            for number in range(3_000):
                sealed = datagrams.seal(
                    b"q", queue_codec.encode(MESSAGES[number % len(MESSAGES)])
                )
                damaged = bytearray(sealed)
                for _ in range(rng.randrange(1, 5)):
                    place = rng.randrange(len(damaged))
                    damaged[place] = rng.randrange(256)
                sock.sendto(bytes(damaged), tuple(self.keeper_at))
                sock.sendto(
                    rng.randbytes(rng.randrange(40)), tuple(self.keeper_at)
                )
                gevent.sleep(0)
        self.assert_answers()

    def test_questions_fill_no_memory(self) -> None:
        with socket.socket(type=socket.SOCK_DGRAM) as sock:
            for first in range(0, 3 * queue_owners.QUEUES_LIMIT_COUNT, 16):
                ask = queue_codec.Ask(1, 0, tuple(range(first, first + 16)))
                sealed = datagrams.seal(b"q", queue_codec.encode(ask))
                sock.sendto(sealed, tuple(self.keeper_at))
                gevent.sleep(0)
        self.assert_answers()
        self.assertLessEqual(
            len(self.keeper._queues), queue_owners.QUEUES_LIMIT_COUNT
        )


class OwnerTest(unittest.TestCase):
    """Which gateways keep queues, by what the store lists."""

    def directory_of(
        self, vm_id: str, zone: str, *vm_ids: str
    ) -> directory.PeerDirectory:
        made = directory.PeerDirectory(
            builders_platform.client_for(1),
            vm_id,
            fleet.Address("10.0.0.1", 1),
            zone,
            "1",
        )
        made._take(
            [
                key_value.KeyValue(
                    f"{directory.KEY_PREFIX}{one}/1",
                    f"10.0.0.{number}:7/{one[:1]}".encode(),
                    number,
                    number,
                )
                for number, one in enumerate(vm_ids, start=1)
            ]
        )
        return made

    def test_all_choose_the_same_one_of_the_engines_zone(self) -> None:
        vm_ids = [f"a{n}" for n in range(9)] + [f"b{n}" for n in range(9)]
        for key in range(50):
            found = set()
            for vm_id in vm_ids:
                known = self.directory_of(vm_id, vm_id[:1], *vm_ids)
                owner = known.owner(key, "a", 3, "prefill")
                own = fleet.Address(f"10.0.0.{vm_ids.index(vm_id) + 1}", 7)
                found.add(owner or own)
            (owner,) = found
            self.assertLessEqual(int(owner.ip.rpartition(".")[2]), 9)

    def test_a_few_gateways_keep_all_queues_of_a_kind(self) -> None:
        known = self.directory_of("b0", "b", *(f"a{n}" for n in range(20)))
        owners = {known.owner(key, "a", 4, "prefill") for key in range(200)}
        self.assertEqual(len(owners), 4)
        others = {known.owner(key, "a", 4, "decode") for key in range(200)}
        self.assertNotEqual(owners, others)

    def test_without_gateways_there_nobody_keeps_them(self) -> None:
        known = self.directory_of("b0", "b", "b1")
        self.assertIsNone(known.owner(1, "a", 3, "prefill"))


if __name__ == "__main__":
    unittest.main()
