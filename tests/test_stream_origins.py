"""Tests of how gateways find the version at which a stream began."""

import math
import unittest
from collections.abc import Callable, Iterable
from typing import Any

from bench import virtual_time
from mulberrywharf import fleet
from mulberrywharf.peers import stream_codec, stream_origins
from mulberrywharf.policy import stream_keepers, stream_version
from tests import builders_routes as build

KEPT = stream_keepers.KeptStream(7, 9)
CONFIRM_S = 0.004
STREAM = stream_origins.StreamId("id-1", "service", KEPT.scope)


class Network:
    """Carries messages between gateways at once, in virtual time."""

    def __init__(self) -> None:
        self.clock = virtual_time.Timeline(1000.0)
        self.gateways: dict[fleet.Address, Gateway] = {}
        self.sent: list[tuple[fleet.Address, bytes]] = []
        self.lost: set[fleet.Address] = set()


class Gateway:
    """One gateway with its directory and its topic exchange."""

    def __init__(self, network: Network, number: int, zone: str, **seen: Any):
        self.network = network
        self.vm_id = f"entry-{number}"
        self.zone = zone
        self.address = fleet.Address("10.0.0.1", number + 1)
        self.history = stream_version.VersionHistory()
        self.see("v1", "v2")
        self.origins = stream_origins.StreamOrigins(
            self,
            self,  # type: ignore[arg-type]
            self.history,
            network.clock,
            self.confirm,
            network.clock.after,
        )
        self.origins.set_services(["service"])
        network.gateways[self.address] = self

    def confirm(self, then: Callable[[], None]) -> None:
        """Confirms the history a moment later, as the store does."""

        def confirmed() -> None:
            self.history.set_confirmed(self.network.clock.now_s)
            then()

        self.network.clock.after(CONFIRM_S, confirmed)

    def see(self, *versions: str, is_complete: bool = True) -> bool:
        now_s = self.network.clock.now_s
        hold_s = stream_version.LEAST_HOLD_S if is_complete else 0.0
        self.history.set_following(False, now_s)
        self.history.set_following(True, now_s - hold_s)
        self.history.set_contact(math.inf)
        return self.history.set_servers(
            [
                build.server(one, role="decode", software_version=one)
                for one in versions
            ],
            now_s,
        )

    def register(self, topic: bytes, handler: Any) -> None:
        self.handler = handler

    def send(
        self,
        topic: bytes,
        body: bytes,
        addresses: Iterable[fleet.Address],
        *,
        is_urgent: bool,
    ) -> bool:
        for address in addresses:
            self.network.sent.append((address, body))
            if address not in self.network.lost:
                self.network.gateways[address].handler(body, self.address)
        return True

    def stream_fleet(self) -> stream_keepers.Fleet:
        gateways = self.network.gateways.values()
        return stream_keepers.Fleet(
            {one.vm_id: one.zone for one in gateways}, self.vm_id
        )

    def address_of(self, vm_id: str) -> fleet.Address | None:
        if vm_id == self.vm_id:
            return None
        return fleet.Address("10.0.0.1", int(vm_id.split("-")[1]) + 1)


class OriginsCase(unittest.TestCase):
    def setUp(self) -> None:
        self.network = Network()
        self.gateways = [
            Gateway(self.network, number, f"zone-{number % 3}")
            for number in range(9)
        ]

    def find(
        self, gateway: Gateway, stream: stream_origins.StreamId = STREAM
    ) -> stream_version.Origin:
        found: list[stream_version.Origin] = []
        gateway.origins.ask(stream, found.append)
        self.network.clock.run_until(math.inf)
        (origin,) = found
        return origin


class OriginsTest(OriginsCase):
    def test_stream_is_found_by_its_id_at_any_gateway(self) -> None:
        self.gateways[0].origins.note_begun(STREAM, 7)
        for gateway in self.gateways:
            self.assertEqual(self.find(gateway), stream_version.Begun(7))

    def test_stream_outlives_the_gateway_at_which_it_began(self) -> None:
        self.gateways[0].origins.note_begun(STREAM, 7)
        self.network.lost.add(self.gateways[0].address)
        self.assertEqual(self.find(self.gateways[1]), stream_version.Begun(7))

    def test_stream_is_found_in_a_large_fleet(self) -> None:
        for number in range(9, 60):
            Gateway(self.network, number, f"zone-{number % 8}")
        gateways = list(self.network.gateways.values())
        gateways[0].origins.note_begun(STREAM, 7)
        told_count = len(self.network.sent)
        self.assertLessEqual(told_count, stream_keepers.ZONES_COUNT + 1)
        self.network.lost.add(gateways[0].address)
        for gateway in gateways[1:]:
            self.assertEqual(self.find(gateway), stream_version.Begun(7))

    def test_stream_of_another_scope_is_foreign(self) -> None:
        self.gateways[0].origins.note_begun(STREAM, 7)
        foreign = STREAM._replace(scope=8)
        for gateway in self.gateways:
            origin = self.find(gateway, foreign)
            self.assertEqual(origin, stream_version.Foreign())

    def test_unknown_stream_is_reported_at_once(self) -> None:
        began_s = self.network.clock.now_s
        origin = self.find(self.gateways[0])
        self.assertEqual(origin, stream_version.Unknown("not-found"))
        self.assertLess(
            self.network.clock.now_s - began_s, 2 * stream_origins.ROUND_S
        )

    def test_silent_gateways_are_not_awaited_for_long(self) -> None:
        self.network.lost.update(self.network.gateways)
        began_s = self.network.clock.now_s
        origin = self.find(self.gateways[0])
        self.assertEqual(origin, stream_version.Unknown("no-reply"))
        took_s = self.network.clock.now_s - began_s
        self.assertAlmostEqual(
            took_s, stream_origins.ROUNDS_COUNT * stream_origins.ROUND_S
        )

    def test_replies_are_awaited_for_the_time_left(self) -> None:
        """Guards against waits for replies beyond a caller's deadline."""
        gateway = self.gateways[0]
        self.network.lost.update(self.network.gateways)
        self.assertEqual(
            gateway.origins.find(STREAM, 0.01),
            stream_version.Unknown("no-reply"),
        )
        gateway.origins.note_begun(STREAM, 7)
        self.assertEqual(
            gateway.origins.find(STREAM, 0.01), stream_version.Begun(7)
        )
        self.assertEqual(
            gateway.origins.find(STREAM._replace(scope=8), 0.01),
            stream_version.Foreign(),
        )

    def test_stream_is_forgotten(self) -> None:
        self.gateways[0].origins.note_begun(STREAM, 7)
        self.network.clock.now_s += stream_keepers.KEEP_S
        self.assertEqual(
            self.find(self.gateways[1]), stream_version.Unknown("not-found")
        )

    def test_history_of_others_completes_that_of_a_new_gateway(self) -> None:
        """Guards against a gateway that refuses all streams once started."""
        for gateway in self.gateways:
            gateway.see("v1")
        new = Gateway(self.network, 9, "zone-0")
        new.see("v1", is_complete=False)
        now_s = self.network.clock.now_s
        self.assertFalse(new.history.seen("service", now_s).is_complete)
        self.find(new)
        now_s = self.network.clock.now_s
        self.assertTrue(new.history.seen("service", now_s).is_complete)

    def test_complete_history_is_not_asked_for(self) -> None:
        """Guards against reads of all records at each stream taken up."""
        asked: list[object] = []
        for gateway in self.gateways:
            gateway.see("v1")
            gateway.origins._confirm = asked.append
        self.find(self.gateways[0])
        self.assertEqual(asked, [])

    def test_first_stream_at_a_new_gateway_awaits_a_history(self) -> None:
        """Guards against a refusal just before a confirmed history arrives."""
        for gateway in self.gateways:
            gateway.see("v1")
        new = Gateway(self.network, 9, "zone-0")
        new.see("v1", is_complete=False)
        complete: list[bool] = []
        new.origins.ask(
            STREAM,
            lambda _: complete.append(
                new.history.seen(
                    "service", self.network.clock.now_s
                ).is_complete
            ),
        )
        self.network.clock.run_until(math.inf)
        self.assertEqual(complete, [True])

    def test_history_is_lent_only_once_confirmed(self) -> None:
        """Guards against the history of a gateway whose watch is behind."""
        for gateway in self.gateways:
            gateway.see("v1")
            gateway.origins._confirm = lambda then: None
        new = Gateway(self.network, 9, "zone-0")
        new.see("v1", is_complete=False)
        self.find(new)
        now_s = self.network.clock.now_s
        self.assertFalse(new.history.seen("service", now_s).is_complete)


class LateReplyTest(OriginsCase):
    """A gateway stands still between its question and the replies."""

    def setUp(self) -> None:
        super().setUp()
        for gateway in self.gateways:
            gateway.see("v1")
        self.new = Gateway(self.network, 9, "zone-0")
        self.new.see("v1", is_complete=False)

    def replies(self, name: str) -> list[tuple[bytes, fleet.Address]]:
        """Asks for a stream and returns the replies, which lie unread."""
        unread: list[tuple[bytes, fleet.Address]] = []
        handler = self.new.handler
        self.new.handler = lambda *reply: unread.append(reply)
        self.find(self.new, STREAM._replace(name=name))
        self.new.handler = handler
        return unread

    def read(self, replies: list[tuple[bytes, fleet.Address]]) -> bool:
        """Returns whether the history is complete behind the replies."""
        for reply in replies:
            self.assertTrue(self.new.handler(*reply))
        now_s = self.network.clock.now_s
        return self.new.history.seen("service", now_s).is_complete

    def test_history_is_borrowed_behind_the_end_of_a_search(self) -> None:
        self.assertTrue(self.read(self.replies("")))

    def test_old_history_is_not_borrowed(self) -> None:
        """Guards against replies dated by when they were read."""
        replies = self.replies("")
        self.network.clock.now_s += stream_version.CONTACT_LIMIT_S
        self.assertFalse(self.read(replies))

    def test_history_of_before_a_reading_is_not_borrowed(self) -> None:
        """Guards against a version that came and left before the reading."""
        for name in ("", "id-1"):
            before = self.replies(name)
            now_s = self.network.clock.now_s
            self.new.history.set_following(
                True, now_s, readings_count=2 + len(name)
            )
            again = self.replies(name)
            self.assertFalse(self.read(before))
            self.assertTrue(self.read(again))


class SingleVersionTest(OriginsCase):
    """While all servers have one version, nobody is told of streams."""

    def setUp(self) -> None:
        super().setUp()
        for gateway in self.gateways:
            gateway.see("v1")
            # v2 was seen before.
            gateway.history = stream_version.VersionHistory()
            gateway.origins._history = gateway.history
            gateway.see("v1")

    def test_streams_of_a_single_version_cost_nothing(self) -> None:
        self.gateways[0].origins.note_begun(STREAM, 7)
        self.assertEqual(self.network.sent, [])

    def test_recent_streams_are_told_once_a_second_version_appears(
        self,
    ) -> None:
        old = STREAM._replace(name="old")
        self.gateways[0].origins.note_begun(old, 7)
        self.network.clock.now_s += stream_origins.UNTOLD_S + 1
        for number in range(200):
            self.gateways[0].origins.note_begun(
                STREAM._replace(name=f"id-{number}"), 7
            )
        self.assertTrue(self.gateways[0].see("v1", "v2"))
        self.gateways[0].origins.tell_untold()
        self.assertLess(len(self.network.sent), 40)
        self.network.lost.add(self.gateways[0].address)
        for number in range(200):
            found = self.find(
                self.gateways[1], STREAM._replace(name=f"id-{number}")
            )
            self.assertEqual(found, stream_version.Begun(7))
        self.assertEqual(
            self.find(self.gateways[1], old),
            stream_version.Unknown("not-found"),
        )


class TableTest(unittest.TestCase):
    def test_memory_is_bounded(self) -> None:
        table = stream_keepers.StreamTable()
        limit = stream_keepers.STREAMS_LIMIT_COUNT
        for number in range(limit + 10):
            table.put(number, KEPT, 0.0)
        self.assertIsNone(table.get(9, 0.0))
        self.assertEqual(table.get(10, 0.0), KEPT)


class CodecTest(unittest.TestCase):
    def test_messages_survive_the_wire(self) -> None:
        note = stream_codec.StreamNote(2**64 - 1, KEPT)
        notes = stream_codec.StreamNotes((note, note._replace(stream_key=0)))
        question = stream_codec.StreamQuestion(5, 6)
        messages: list[tuple[bytes, stream_codec.Message]] = [
            (stream_codec.encode_notes(notes.notes), notes),
            (stream_codec.encode_question(question), question),
        ]
        for kept in (None, KEPT):
            for recent in (None, (), (1, 2**64 - 1)):
                reply = stream_codec.StreamReply(5, 6, kept, recent)
                messages.append((stream_codec.encode_reply(reply), reply))
        for body, message in messages:
            self.assertEqual(stream_codec.decode(body).unwrap(), message)

    def test_malformed_messages_are_rejected(self) -> None:
        reply = stream_codec.encode_reply(
            stream_codec.StreamReply(5, 6, KEPT, (1,))
        )
        bodies = [
            b"",
            b"\x00",
            b"\x01",
            b"\x01" + b"x" * 19,
            b"\x02" + b"x" * 11,
            b"\x04" + b"x" * 20,
            *(reply[:size] for size in range(1, 26)),
            *(reply[:size] for size in range(27, len(reply))),
            reply + b"x",
            reply + b"x" * 8 * 20,
        ]
        for body in bodies:
            with self.subTest(body):
                self.assertTrue(stream_codec.decode(body).is_err())


if __name__ == "__main__":
    unittest.main()
