"""Streams whose events have every form that SSE allows, at real gateways."""

import functools
import json
import signal
import unittest
from collections.abc import Sequence
from typing import Any

from gevent import socket

from mulberrywharf.platform import documents
from tests import (
    builders_paths,
    builders_platform,
    callers_fixture,
    processes,
    test_broken_answers,
    test_gateway,
)
from tests import builders_routes as build
from tests.test_broken_answers import EVENTS


def data_of(body: bytes) -> list[bytes]:
    """Returns the data of each event as a caller reads it."""
    return [
        line.removeprefix(b"data: ")
        for line in body.replace(b"\r", b"\n").split(b"\n")
        if line.startswith(b"data: ")
    ]


WHOLE = data_of(test_broken_answers.STREAM)
SIGNATURE = "x-mulberrywharf-response-signature"
NUMBERS = [line.split()[-1] for line in WHOLE]


class FormCase(test_broken_answers.BrokenAnswerCase):
    """Gateways that repeat as often as many broken streams need."""

    def write_routes(self, version: int = 1) -> None:
        document = build.routes_document(version)
        stream = {**document["routes"][1], "service": "engines"}
        del stream["traffic-split"]
        document["routes"] = [{**stream, "max-attempts": 4}]
        self.store.put(documents.ROUTES_KEY, json.dumps(document).encode())

    def start_gateways(
        self, count: int, zones: Sequence[str] = ("zone-a",), **settings: Any
    ) -> None:
        repeats = {"ratio": 0.2, "window_s": 10, "allowance_count": 5_000}
        super().start_gateways(count, zones, repeats=repeats, **settings)

    def cut_in_third(self, events: Sequence[bytes]) -> None:
        """Breaks the next run off in its third event."""
        behind = len(b"".join(events[2:])) - 4
        self.next_answers(
            {"framing": "none", "body": events, "cut_at": -behind}
        )

    def runs_count(self) -> int:
        return sum(len(engine.runs) for engine in self.decodes)


class IdLineTest(FormCase):
    def test_stream_goes_on_behind_the_id_that_its_caller_reads(self) -> None:
        """Guards against the first of two ids, where the last one counts."""
        forms = (
            b"id: 90\nid: %d\ndata: id-1 %d\n\n",
            b"id: 0\nid: %d\ndata: id-1 %d\n\n",
            b"id: 4\nid: %d\ndata: id-1 %d\n\n",
            b"id: 90\r\nid: %d\r\ndata: id-1 %d\r\n\r\n",
            b"id: x\nid: %d\nid: 90\0\ndata: id-1 %d\n\n",
            b": id: 90\nid: %d\ndata: id-1 %d\ndatum: id: 90\n\n",
        )
        for form in forms:
            with self.subTest(form):
                self.cut_in_third([form % (one, one) for one in range(1, 6)])
                got = self.stream()
                self.assertEqual(got.status, 200)
                self.assertEqual(data_of(got.body), WHOLE)
                self.assertNotEqual(got.end, "broken")

    def test_servers_get_ids_as_a_server_wrote_them(self) -> None:
        """Guards against ids that a server doesn't know as its own."""
        ids = [f"00{number}".encode() for number in range(1, 6)]
        self.cut_in_third([b"id: %s\ndata: a\n\n" % one for one in ids])
        self.stream()
        runs = [run for engine in self.decodes for run in engine.runs]
        self.assertEqual({run["after"] for run in runs}, {"", "002"})


class PlaceTest(FormCase):
    """What a gateway can't place is not sent again, and ends no stream."""

    def answers(self, *runs: Sequence[bytes], cut_at: int = -8) -> None:
        """Breaks each run but the last one off before its end."""
        cut = {"framing": "chunks", "cut_at": cut_at, "end": "reset"}
        *broken, last = ({"framing": "chunks", "body": one} for one in runs)
        self.next_answers(*(one | cut for one in broken), last)

    def assert_right(self, expected: Sequence[bytes]) -> None:
        """Asks for a stream; it is whole, or broken off and right so far."""
        got = self.stream()
        self.assertEqual(got.status, 200)
        pieces = data_of(got.body)
        if got.end == "broken":
            self.assertEqual(pieces, expected[: len(pieces)])
        else:
            self.assertEqual(pieces, expected)

    def assert_whole(self, expected: Sequence[bytes]) -> None:
        got = self.stream()
        self.assertEqual(data_of(got.body), expected)
        self.assertEqual(got.end, "marked")

    def test_event_without_an_id_comes_once(self) -> None:
        """Guards against a run that begins with what was delivered."""
        for bare in (
            b"data: x\n\n",
            b"id: a\ndata: x\n\n",
            b"id\ndata: x\n\n",
        ):
            with self.subTest(bare):
                whole = [*EVENTS[:2], bare, *EVENTS[2:]]
                expected = data_of(b"".join(whole))
                self.answers([*whole[:3], whole[3]], whole[2:])
                self.assert_right(expected)
                self.answers([*whole[:4], whole[4]], whole)
                self.assert_whole(expected)

    def test_stream_without_ids_comes_once(self) -> None:
        """Guards against a stream that begins anew behind its events."""
        events = [b"data: %d\n\n" % number for number in range(5)]
        self.answers(events, events)
        self.assert_right(data_of(b"".join(events)))

    def test_event_before_the_first_id_comes_once(self) -> None:
        """Guards against a begin that each run sends."""
        whole = [b"data: begin\n\n", *EVENTS]
        self.answers(whole[:4], [whole[0], *EVENTS[2:]])
        self.assert_right(data_of(b"".join(whole)))

    def test_end_without_an_id_follows_a_resumed_stream(self) -> None:
        done = b"data: [DONE]\n\n"
        expected = data_of(b"".join([*EVENTS, done]))
        self.answers([*EVENTS, done], [done], cut_at=-14)
        self.assert_whole(expected)
        self.answers([*EVENTS, done], [*EVENTS, done], cut_at=-14)
        self.assert_whole(expected)

    def test_events_whose_ids_do_not_rise_lose_no_piece(self) -> None:
        """Guards against pieces that are dropped as if they were known."""
        one, two, three, four, five = EVENTS
        again = b"id: 2\ndata: id-1 2b\n\n"
        for whole in (
            [one, two, again, three, four, five],
            [one, two, three, again, four, five],
            [one, five, four, three, two],
            [one, b"id: 0\ndata: 0\n\n", two],
        ):
            for pause in (b"", b": wait\n\n" * 40_000):
                with self.subTest(whole, has_pause=bool(pause)):
                    body = [event + pause for event in whole]
                    runs_count = self.runs_count()
                    self.next_answers({"framing": "chunks", "body": body})
                    got = self.stream()
                    pieces = data_of(got.body)
                    if got.end == "broken":
                        written = data_of(b"".join(whole))
                        self.assertEqual(pieces, written[: len(pieces)])
                        continue
                    # Nothing of it was passed on; another run was.
                    self.assertEqual(pieces, WHOLE)
                    self.assertEqual(self.runs_count() - runs_count, 2)

    def test_events_without_data_do_not_end_a_stream(self) -> None:
        between = b": wait\n\nretry: 5\n\nevent: a\n\n"
        self.answers([*EVENTS[:2], between, EVENTS[2]], EVENTS[2:])
        self.assert_whole(WHOLE)

    def test_events_larger_than_a_buffer_come_whole(self) -> None:
        for size_bytes in (70_000, 1_000_000):
            for cut_at in (-40, 30_000 - 6 * size_bytes):
                with self.subTest(size_bytes=size_bytes, cut_at=cut_at):
                    large = [
                        b"id: %d\ndata: %s\n\n" % (one, b"x" * size_bytes)
                        for one in range(1, 7)
                    ]
                    self.answers(large, large, cut_at=cut_at)
                    self.assert_whole(data_of(b"".join(large)))

    def test_stream_that_breaks_twice_comes_whole(self) -> None:
        self.answers(EVENTS[:3], EVENTS[2:4], EVENTS[3:])
        self.assert_whole(WHOLE)

    def test_head_is_of_the_server_whose_events_follow(self) -> None:
        """Guards against the signature of a server that sent no event."""
        behind_head = {"framing": "chunks", "body": [], "cut_at": -5}
        inside_first = {"framing": "chunks", "cut_at": -120}
        for cut in (behind_head, inside_first, {"framing": "none", "body": []}):
            with self.subTest(cut):
                self.next_answers(cut)
                got = self.stream()
                self.assertEqual(data_of(got.body), WHOLE)
                arrivals = [
                    one for engine in self.decodes for one in engine.arrivals
                ]
                latest = max(arrivals, key=lambda one: one.at_s)
                self.assertEqual(got.headers[SIGNATURE], latest.server_id)
                self.assertEqual(got.end, "marked")


class SlowCase(FormCase):
    """Streams that last, begun and taken up at several gateways."""

    def setUp(self) -> None:
        super().setUp()
        self.break_first(0)

    def break_first(self, count: int) -> None:
        """Breaks the next runs off in their third event."""
        cut = {
            "framing": "chunks",
            "body": EVENTS[:3],
            "cut_at": -9,
            "end": "reset",
        }
        raws = [cut] * count
        for engine in self.decodes:
            engine.faults = {"raws": raws, "pause_s": 0.2}

    def begin(self, number: int, request_id: str, fields: str = "") -> Any:
        """Asks a gateway for a stream."""
        address = ("127.0.0.1", self.gateways[number].ready["callers"])
        sock = socket.create_connection(address)
        self.addCleanup(sock.close)
        sock.settimeout(15)
        fields = builders_paths.SHORT_PROMPT_FIELDS + fields
        request = test_gateway.request("/stream/x", fields=fields)
        sock.sendall(request.replace(b"id-1", request_id.encode()))
        return sock

    def read_until(self, sock: Any, mark: bytes) -> bytes:
        data = b""
        while mark not in data:
            some = sock.recv(65_536)
            self.assertTrue(some, data)
            data += some
        return data

    def numbers_in(self, data: bytes) -> list[bytes]:
        return [line.split()[-1] for line in data_of(data)]


class TakeUpTest(SlowCase):
    gateways_count = 2

    def take_up(
        self, number: int, begun: str, event_id: int
    ) -> tuple[str, list[bytes]]:
        fields = f"resumes: {begun}\r\nlast-event-id: {event_id}\r\n"
        with self.begin(number, f"{begun}-{event_id}", fields) as sock:
            got = test_broken_answers.receive(sock)
        self.assertEqual(got.status, 200)
        return got.end, self.numbers_in(got.body)

    def test_stream_is_taken_up_while_its_first_answer_runs(self) -> None:
        for number in (0, 1):
            begun = f"begun-{number}"
            first = self.begin(0, begun)
            data = self.read_until(first, b"id: 2\n")
            end, numbers = self.take_up(number, begun, 2)
            self.assertEqual((end, numbers), ("marked", [b"3", b"4", b"5"]))
            data += self.read_until(first, b"\r\n0\r\n\r\n")
            self.assertEqual(self.numbers_in(data), NUMBERS)

    def test_stream_is_taken_up_behind_an_event_not_yet_delivered(self) -> None:
        first = self.begin(0, "begun")
        self.read_until(first, b"id: 1\n")
        self.assertEqual(self.take_up(1, "begun", 4), ("marked", [b"5"]))
        self.assertEqual(self.take_up(1, "begun", 5)[1], [])

    def test_known_events_of_a_server_that_begins_anew_are_left_out(
        self,
    ) -> None:
        """Guards against events twice over the attempts of a caller."""
        first = self.begin(0, "begun")
        self.read_until(first, b"id: 2\n")
        self.next_answers({"framing": "chunks", "body": EVENTS})
        end, numbers = self.take_up(1, "begun", 2)
        self.assertEqual((end, numbers), ("marked", [b"3", b"4", b"5"]))


class StopTest(SlowCase):
    gateways_count = 2

    def test_stream_at_its_second_server_ends_whole_in_a_stop(self) -> None:
        for number, reloads in enumerate((False, True)):
            with self.subTest(reloads=reloads):
                gateway = self.gateways[number]
                # A repeat is charged to a share of the allowance.
                held = "mulberry_repeat_shares_held_count"
                self.assertTrue(
                    builders_platform.wait_until(
                        functools.partial(self.metric, number, held), 15.0
                    )
                )
                self.break_first(1)
                sock = self.begin(number, f"begun-{number}")
                data = self.read_until(sock, b"id: 3\n")
                gateway.signal(signal.SIGTERM)
                if reloads:
                    gateway.signal(signal.SIGHUP)
                data += self.read_until(sock, b"\r\n0\r\n\r\n")
                self.assertEqual(self.numbers_in(data), NUMBERS)


class HopTest(SlowCase):
    """Guards against cut streams that look whole behind the hop."""

    gateways_count = 3

    def test_streams_whose_helper_is_killed_are_right(self) -> None:
        self.assert_right_behind_kills(self.gateways[1:2])

    def test_streams_whose_helpers_are_killed_look_cut(self) -> None:
        self.assertEqual(self.assert_right_behind_kills(self.gateways[1:]), 0)

    def assert_right_behind_kills(
        self, killed: Sequence[processes.Process]
    ) -> int:
        """Kills gateways while streams last; returns how many end whole."""
        whole_count = 0
        self.cut([0], "refuse")
        self.break_first(6)
        streams = [self.begin(0, f"begun-{one}") for one in range(6)]
        begun = [self.read_until(one, b"id: 3\n") for one in streams]
        for gateway in killed:
            gateway.signal(signal.SIGKILL)
        for data, sock in zip(begun, streams, strict=True):
            rest, _ = callers_fixture.read_to_any_end(sock)
            numbers = self.numbers_in(data + rest)
            is_whole = rest.endswith(b"\r\n0\r\n\r\n")
            count = len(NUMBERS) if is_whole else len(numbers)
            self.assertEqual(numbers, NUMBERS[:count])
            whole_count += is_whole
        return whole_count


if __name__ == "__main__":
    unittest.main()
