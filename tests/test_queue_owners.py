"""Tests the owners of engines' queues and the questions to them."""

import random
import unittest
from collections.abc import Mapping, Sequence

import gevent
from gevent import socket
from result import Err

from mulberrywharf import clock, fleet
from mulberrywharf.peers import (
    datagrams,
    directory,
    notice_codec,
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
    queue_codec.WaitQuery(7, 2, (2**32 - 1, 3)),
    queue_codec.Waits(7, (queue_codec.EngineWait(3, 0.25, 60.0),)),
    queue_codec.Waits(8, ()),
    queue_codec.WaitQuery(7, 2, (3,), (2**64 - 1, 5)),
    queue_codec.Waits(7, (queue_codec.EngineWait(3, 0.25, 60.0, 2),)),
    queue_codec.PromptUpdate(3, 2**32 - 1, 9, "placed", 2, 0.125),
    queue_codec.PromptUpdate(
        3, 1, 9, "placed", 2, 0.125, (PART, part_caches.HeldPart(5, 1)), 700
    ),
    queue_codec.PromptUpdate(3, 1, 9, "read"),
    queue_codec.PromptUpdate(3, 1, 9, "withdrawn"),
)


ABORTING_DATAGRAM = bytes.fromhex("010650010101ba10031103015109020107a086ae")
"""A question with some bytes changed, which makes the library abort."""


class CodecTest(unittest.TestCase):
    def test_round_trip(self) -> None:
        for message in MESSAGES:
            with self.subTest(message=message):
                decoded = queue_codec.decode(queue_codec.encode(message))
                self.assertEqual(decoded.unwrap(), message)

    def test_damaged_datagrams_are_errors(self) -> None:
        """Guards against a damaged datagram that terminates a gateway.

        If bytes are truncated or changed in transit, the library's reader may
        abort or raise an unexpected exception.
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

    def test_numbers_outside_the_wire_range_are_clamped(self) -> None:
        wait = queue_codec.EngineWait(3, 1e6, -1.0)
        sent = queue_codec.encode(queue_codec.Waits(7, (wait,)))
        (decoded,) = queue_codec.decode(sent).unwrap().waits  # type: ignore[union-attr]
        self.assertGreater(decoded.wait_s, 60.0)
        self.assertEqual(decoded.counted_s, 0.0)


class Peers:
    """Gateways with given IPs; ``owner_address`` owns all queues."""

    is_full_mesh = False

    def __init__(self) -> None:
        self.owner_address: fleet.Address | None = None
        self.known_ips = {"127.0.0.1"}

    def knows(self, ip: str) -> bool:
        return ip in self.known_ips

    def queue_owner(self, *_: object) -> fleet.Address | None:
        return self.owner_address


class Parts:
    """Records what prompts leave at engines; engines hold all parts."""

    def __init__(self) -> None:
        self.counted: list[tuple[object, ...]] = []

    def record_remote_prompt(self, *counted: object) -> None:
        self.counted.append(counted)

    def held_count(self, engine_key: int, part_keys: Sequence[int]) -> int:
        return len(part_keys)


class QueueOwnersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.peers = Peers()
        self.owner_at = self.free_address()
        self.owner = self.start(self.owner_at, Peers(), 1)
        self.peers.owner_address = self.owner_at
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
    ) -> Mapping[fleet.ServerStart, queue_owners.ReportedWait]:
        return (asker or self.asker).waits([ENGINE, OTHER], 2)

    def wait_s(self, asker: queue_owners.QueueOwners | None = None) -> float:
        wait = self.waits(asker).get(ENGINE.start)
        return wait.wait_s if wait is not None else -1.0

    def assert_answers(self) -> None:
        """Waits until the owner has processed all datagrams and answers."""
        self.assertTrue(
            builders_platform.wait_until(lambda: ENGINE.start in self.waits())
        )
        self.assertEqual(self.wait_s(), 0.0)

    def test_wait_includes_placements_of_other_gateways(self) -> None:
        """Guards against learning of short queues only when they are over.

        A gateway places a prompt, and another one has a prompt a few ms later.
        Notices to all gateways wait a second for the byte budget, longer than
        a queue of a few tenths of a second exists.
        """
        third = self.start(self.free_address(), self.peers, 3)
        self.asker.report_placed(ENGINE, 0.4, 2)
        self.assertTrue(
            builders_platform.wait_until(lambda: self.wait_s(third) > 0.1)
        )
        self.assertTrue(
            builders_platform.wait_until(lambda: OTHER.start in self.waits())
        )
        self.assertEqual(self.waits()[OTHER.start].wait_s, 0.0)

    def test_read_and_withdrawn_prompts_are_no_longer_counted(self) -> None:
        for end in (self.asker.report_prefilled, self.asker.report_withdrawn):
            with self.subTest(end=end.__name__):
                placement_id = self.asker.report_placed(ENGINE, 0.4, 2)
                self.assertTrue(
                    builders_platform.wait_until(lambda: self.wait_s() > 0.1)
                )
                end(placement_id)
                self.assertTrue(
                    builders_platform.wait_until(lambda: self.wait_s() == 0.0)
                )

    def test_answer_reports_the_parts_that_an_engine_holds(self) -> None:
        """Guards against prefilling shared parts that another engine holds.

        A gateway's prompt leaves a part at an engine, and another gateway has a
        prompt with that part. Parts were reported only by notices, which wait
        seconds for the byte budget in a large fleet.
        """
        recorded = Parts()
        self.owner.set_parts(recorded)
        self.asker.report_placed(ENGINE, 0.4, 2, (PART,), 700)
        key = notice_codec.hash_server_start(ENGINE.start)
        self.assertTrue(builders_platform.wait_until(lambda: recorded.counted))
        self.assertEqual(recorded.counted, [(key, (PART,), 700)])
        wait = self.asker.waits([ENGINE], 2, (1, 2))[ENGINE.start]
        self.assertEqual(wait.held_count, 2)
        self.assertFalse(wait.knows_parts)

    def test_unreachable_owner_delays_a_prompt_by_milliseconds(self) -> None:
        """Guards against callers that wait for a hanging or partitioned owner.

        No other gateway answers for the engine, so the asking gateway must use
        its own estimate after a short timeout.
        """
        self.peers.owner_address = self.free_address()
        began_s = clock.SystemClock().monotonic_s()
        self.assertEqual(self.waits(), {})
        took_s = clock.SystemClock().monotonic_s() - began_s
        self.assertGreaterEqual(took_s, queue_owners.REPLY_TIMEOUT_S)
        self.assertLess(took_s, 20 * queue_owners.REPLY_TIMEOUT_S)

    def test_new_owner_reports_its_wait_as_incomplete(self) -> None:
        """Guards against all gateways sending to an engine with a full queue.

        The owner of its queue is killed, and the new owner has not counted
        anything yet. The missing count was taken for an empty queue.
        """
        self.assertTrue(
            builders_platform.wait_until(lambda: ENGINE.start in self.waits())
        )
        self.assertFalse(self.waits()[ENGINE.start].is_complete)
        self.assertTrue(builders_platform.wait_until(self.is_complete))

    def is_complete(self) -> bool:
        wait = self.waits().get(ENGINE.start)
        return wait is not None and wait.is_complete

    def test_owner_counts_its_own_placements_without_messages(self) -> None:
        self.peers.owner_address = None
        self.asker.report_placed(ENGINE, 0.4, 2)
        self.assertGreater(self.wait_s(), 0.2)

    def test_unknown_senders_are_ignored(self) -> None:
        self.owner_peers = Peers()
        self.owner_peers.known_ips = set()
        other_owner_at = self.free_address()
        self.start(other_owner_at, self.owner_peers, 4)
        self.peers.owner_address = other_owner_at
        self.assertEqual(self.waits(), {})

    def test_late_answers_and_those_of_other_gateways_are_dropped(self) -> None:
        """Guards against a foreign answer that makes an engine look idle.

        The owner does not answer, and a datagram with the number of the
        question arrives from another gateway. Answers were matched only by
        their number.
        """
        silent = self.free_address()
        self.peers.owner_address = silent
        asking = gevent.spawn(self.waits)
        gevent.sleep(0.001)
        wait = queue_codec.EngineWait(
            notice_codec.hash_server_start(ENGINE.start), 0.0, 60.0
        )
        with socket.socket(type=socket.SOCK_DGRAM) as sock:
            for number in range(1, 50):
                answer = queue_codec.encode(queue_codec.Waits(number, (wait,)))
                sock.sendto(
                    datagrams.frame_datagram(b"q", answer), tuple(self.asker_at)
                )
            self.assertEqual(asking.get(), {})

    def test_damaged_datagrams_do_not_abort_the_process(self) -> None:
        """Guards against one datagram that aborts the process of a gateway.

        Bytes of a datagram are changed in transit, or a gateway of another
        version sends a different format. For some inputs, the library throws an
        exception during cleanup, which cannot be caught.
        """
        rng = random.Random(1)
        with socket.socket(type=socket.SOCK_DGRAM) as sock:
            sock.sendto(b"q" + ABORTING_DATAGRAM, tuple(self.owner_at))
            for number in range(3_000):
                sealed = datagrams.frame_datagram(
                    b"q", queue_codec.encode(MESSAGES[number % len(MESSAGES)])
                )
                damaged = bytearray(sealed)
                for _ in range(rng.randrange(1, 5)):
                    place = rng.randrange(len(damaged))
                    damaged[place] = rng.randrange(256)
                sock.sendto(bytes(damaged), tuple(self.owner_at))
                sock.sendto(
                    rng.randbytes(rng.randrange(40)), tuple(self.owner_at)
                )
                gevent.sleep(0)
        self.assert_answers()

    def test_number_of_queues_is_bounded(self) -> None:
        with socket.socket(type=socket.SOCK_DGRAM) as sock:
            for first in range(0, 3 * queue_owners.QUEUES_LIMIT_COUNT, 16):
                ask = queue_codec.WaitQuery(
                    1, 0, tuple(range(first, first + 16))
                )
                sealed = datagrams.frame_datagram(b"q", queue_codec.encode(ask))
                sock.sendto(sealed, tuple(self.owner_at))
                gevent.sleep(0)
        self.assert_answers()
        self.assertLessEqual(
            len(self.owner._queues), queue_owners.QUEUES_LIMIT_COUNT
        )


class OwnerTest(unittest.TestCase):
    """Tests the choice of queue owners from the gateways in the store."""

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
        made._update_peers(
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

    def test_all_gateways_choose_the_same_owner_in_the_zone(self) -> None:
        vm_ids = [f"a{n}" for n in range(9)] + [f"b{n}" for n in range(9)]
        for key in range(50):
            found = set()
            for vm_id in vm_ids:
                known = self.directory_of(vm_id, vm_id[:1], *vm_ids)
                owner = known.queue_owner(key, "a", 3, "prefill")
                own = fleet.Address(f"10.0.0.{vm_ids.index(vm_id) + 1}", 7)
                found.add(owner or own)
            (owner,) = found
            self.assertLessEqual(int(owner.ip.rpartition(".")[2]), 9)

    def test_a_few_gateways_own_all_queues_of_a_kind(self) -> None:
        known = self.directory_of("b0", "b", *(f"a{n}" for n in range(20)))
        owners = {
            known.queue_owner(key, "a", 4, "prefill") for key in range(200)
        }
        self.assertEqual(len(owners), 4)
        others = {
            known.queue_owner(key, "a", 4, "decode") for key in range(200)
        }
        self.assertNotEqual(owners, others)

    def test_zone_without_gateways_has_no_owner(self) -> None:
        known = self.directory_of("b0", "b", "b1")
        self.assertIsNone(known.queue_owner(1, "a", 3, "prefill"))


if __name__ == "__main__":
    unittest.main()
