"""Tests that answers which servers break off never look complete."""

import unittest
from typing import Any, NamedTuple

import gevent

from tests import builders_paths, test_gateway

EVENTS = tuple(
    b"id: %d\ndata: id-1 %d\n\n" % (number, number) for number in range(1, 6)
)
STREAM = b"".join(EVENTS)
INSIDE_THIRD = len(STREAM) - sum(map(len, EVENTS[:2])) - 4
"""Bytes of the stream from the middle of its third event on."""

_HEAD_ANSWER = {"body": [b"x" * 11], "cut_at": -11}


class Received(NamedTuple):
    """What a caller got.

    Attributes:
        status: HTTP status, 0 for none.
        headers: Header fields.
        body: The body, chunks joined.
        end: How it ended: ``marked`` by chunks or a length, ``closed`` by the
            end of a connection without either, ``broken`` otherwise.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    end: str


def receive(sock: Any) -> Received:
    """Reads one answer to the end of its connection."""
    raw, was_reset = b"", False
    try:
        while some := sock.recv(65536):
            raw += some
    except ConnectionResetError:
        was_reset = True
    answer = test_gateway.Answer(raw)
    body, is_marked = answer.body, False
    if answer.headers.get("transfer-encoding") == "chunked":
        body, is_marked = _joined(answer.body)
    elif "content-length" in answer.headers:
        is_marked = len(body) == int(answer.headers["content-length"])
    elif not was_reset and answer.status:
        return Received(answer.status, answer.headers, body, "closed")
    end = "marked" if is_marked else "broken"
    return Received(answer.status, answer.headers, body, end)


def _joined(data: bytes) -> tuple[bytes, bool]:
    body = b""
    while data:
        size, _, data = data.partition(b"\r\n")
        length = int(size, 16)
        if length == 0:
            return body, data == b"\r\n"
        body += data[:length]
        data = data[length + 2 :]
    return body, False


class BrokenAnswerCase(builders_paths.PathCase):
    """Gateways before servers whose answers end anywhere."""

    gateways_count = 1

    def setUp(self) -> None:
        super().setUp()
        self.start_gateways(self.gateways_count)
        self.gateway = self.gateways[0]

    def next_answers(self, *raws: dict[str, Any]) -> None:
        """Lets the next runs answer so, at any server; later ones are sound."""
        shared = list(raws)
        for server in (*self.decodes, self.plain):
            server.faults = {"raws": shared}

    def receive(self, path: str, fields: str | None = None) -> Received:
        if fields is None:
            fields = builders_paths.prompt_fields(path)
        with self.connection() as sock:
            sock.sendall(test_gateway.request(path, fields=fields))
            return receive(sock)

    def stream(self, path: str = "/stream/x") -> Received:
        return self.receive(path)


class StreamTest(BrokenAnswerCase):
    def test_stream_cut_inside_an_event_does_not_look_complete(self) -> None:
        cut_answers: tuple[dict[str, Any], ...] = (
            {"framing": "none", "cut_at": -INSIDE_THIRD},
            {"framing": "http/1.0", "cut_at": -INSIDE_THIRD},
            {"framing": "chunks", "body": [STREAM[:-INSIDE_THIRD]]},
        )
        for cut in cut_answers:
            with self.subTest(cut["framing"]):
                self.next_answers(cut)
                resumed = self.stream()
                self.assertEqual(resumed.body, STREAM)
                self.assertNotEqual(resumed.end, "broken")
                self.next_answers(cut)
                once = self.stream("/once/x")
                self.assertEqual(once.body, b"".join(EVENTS[:2]))
                self.assertEqual(once.end, "broken")

    def test_unmarked_end_of_a_server_is_not_marked_for_the_caller(
        self,
    ) -> None:
        between = -len(b"".join(EVENTS[2:]))
        for cut_at in (None, between):
            for path in ("/stream/x", "/once/x"):
                with self.subTest(path=path, cut_at=cut_at):
                    self.next_answers({"framing": "none", "cut_at": cut_at})
                    got = self.stream(path)
                    self.assertEqual(got.end, "closed")
                    self.assertEqual(got.body, STREAM[:cut_at])

    def test_unmarked_end_of_a_resumed_stream_does_not_look_complete(
        self,
    ) -> None:
        broken = {"framing": "chunks", "cut_at": -40, "end": "reset"}
        self.next_answers(broken, {"framing": "none"}, {"framing": "none"})
        got = self.stream()
        self.assertEqual(got.body, STREAM)
        self.assertEqual(got.end, "broken")

    def test_stream_that_ends_behind_its_head_goes_on_elsewhere(self) -> None:
        for framing in ("none", "http/1.0"):
            self.next_answers({"framing": framing, "body": []})
            self.assertEqual(self.stream().body, STREAM)
            self.next_answers({"framing": framing, "body": []})
            self.assertEqual(self.stream("/once/x").status, 502)


class PlainCase(BrokenAnswerCase):
    def head(self) -> test_gateway.Answer:
        request = test_gateway.request("/safe/x", body="")
        request = request.replace(b"content-length: 0\r\n", b"")
        with self.connection() as sock:
            sock.sendall(request.replace(b"POST", b"HEAD", 1))
            return test_gateway.Answer(test_gateway.read_to_end(sock))


class PlainTest(PlainCase):
    def test_unmarked_end_of_a_server_is_not_marked_for_the_caller(
        self,
    ) -> None:
        for framing in ("none", "http/1.0"):
            for cut_at in (None, -3):
                for path in ("/safe/x", "/unsafe/x"):
                    with self.subTest(framing, cut_at=cut_at, path=path):
                        self.next_answers(
                            {"framing": framing, "cut_at": cut_at}
                        )
                        got = self.receive(path)
                        self.assertEqual(got.end, "closed")
                        self.assertEqual(got.body, b"plain-1:body"[:cut_at])

    def test_length_of_an_answer_without_a_body_is_the_servers(self) -> None:
        for framing, length in (("length", "11"), ("none", None)):
            with self.subTest(framing):
                self.next_answers(_HEAD_ANSWER | {"framing": framing})
                answer = self.head()
                self.assertEqual(answer.headers.get("content-length"), length)
                self.assertNotIn("transfer-encoding", answer.headers)
                self.assertEqual(answer.body, b"")


class HandedOverTest(PlainCase):
    gateways_count = 2

    def test_length_of_an_answer_without_a_body_is_the_servers(self) -> None:
        self.cut([0], "refuse")
        self.next_answers(_HEAD_ANSWER | {"framing": "length"})
        self.assertEqual(self.head().headers.get("content-length"), "11")

    def test_unmarked_end_behind_another_gateway_is_not_marked(self) -> None:
        self.cut([0], "refuse")
        for path in ("/stream/x", "/once/x", "/safe/x", "/unsafe/x"):
            with self.subTest(path):
                self.next_answers({"framing": "none"})
                got = self.receive(path)
                self.assertEqual(got.status, 200)
                self.assertEqual(got.end, "closed")

    def test_a_servers_broken_answer_does_not_count_against_the_gateway(
        self,
    ) -> None:
        """Guards against a server that takes the way from sound callers."""
        self.cut([0], "refuse")
        self.assertEqual(self.stream().status, 200)
        for end in ("close", "reset"):
            for path in ("/once/x", "/unsafe/x"):
                with self.subTest(path, end=end):
                    self.next_answers(
                        {"framing": "chunks", "cut_at": -8, "end": end}
                    )
                    self.receive(path)
                    for sound_path in (
                        "/stream/x",
                        "/once/x",
                        "/safe/x",
                        "/unsafe/x",
                    ):
                        self.assertEqual(self.receive(sound_path).status, 200)
                    # Servers rest after several broken answers.
                    gevent.sleep(1.0)

    def test_answers_without_a_signature_stay_behind_another_gateway(
        self,
    ) -> None:
        """Guards against a rule that only the gateway next to a caller has."""
        self.cut([0], "refuse")
        name = "X-Mulberrywharf-Response-Signature"
        for server in (self.decodes[0], self.plain):
            server.faults = {"fields": {name: None}}
        for path in ("/stream/x", "/once/x", "/safe/x", "/unsafe/x"):
            with self.subTest(path):
                is_plain = path in ("/safe/x", "/unsafe/x")
                for _ in range(5):
                    got = self.receive(path)
                    if is_plain or got.status != 200:
                        self.assertIn(got.status, (502, 503))
                    else:
                        self.assertEqual(got.headers[name.lower()], "dec-2")
        self.assertTrue(self.decodes[0].runs)
        self.assertTrue(self.decodes[1].runs)


class UnsignedAnswerTest(test_gateway.GatewayCase):
    def test_head_without_a_signature_does_not_reach_the_caller(self) -> None:
        """Guards against events of one server under another one's head."""
        self.write_routes()
        self.start()
        self.wait_ready()
        unsigned = {"X-Mulberrywharf-Response-Signature": None}
        self.decodes[0].faults = {"fields": unsigned, "break_after": 2}
        for _ in range(10):
            answer = self.ask("/stream/x", fields=test_gateway.PROMPT_FIELDS)
            self.assertEqual(answer.status, 200)
            self.assertEqual(
                answer.headers["x-mulberrywharf-response-signature"], "dec-2"
            )
        self.assertTrue(self.decodes[0].runs)

    def test_answers_without_a_signature_are_lost_for_every_kind(self) -> None:
        self.write_routes()
        self.start()
        self.wait_ready()
        unsigned = {"X-Mulberrywharf-Response-Signature": None}
        for server in (self.plain, *self.decodes):
            server.faults = {"fields": unsigned}
        for path in ("/safe/x", "/stream/x"):
            fields = test_gateway.PROMPT_FIELDS if "stream" in path else ""
            with self.subTest(path=path):
                self.assertEqual(self.ask(path, fields=fields).status, 502)

    def test_a_server_that_never_signs_is_avoided(self) -> None:
        """Guards against callers who wait for a server that can't serve."""
        other = self.server("plain-2", "plain")
        self.write_routes()
        self.start()
        self.wait_ready()
        other.faults = {"fields": {"X-Mulberrywharf-Response-Signature": None}}
        statuses = [self.ask("/safe/x").status for _ in range(100)]
        self.assertGreaterEqual(statuses.count(200), 98)
        self.assertTrue(other.arrivals)
        self.assertLessEqual(len(other.arrivals), 5)

    def test_an_engine_that_never_signs_is_avoided(self) -> None:
        """Guards against streams that wait for an engine that can't serve."""
        self.write_routes()
        self.start()
        self.wait_ready()
        unsigned = {"X-Mulberrywharf-Response-Signature": None}
        self.decodes[0].faults = {"fields": unsigned}
        statuses = [
            self.ask("/stream/x", fields=test_gateway.PROMPT_FIELDS).status
            for _ in range(100)
        ]
        self.assertGreaterEqual(statuses.count(200), 98)
        self.assertTrue(self.decodes[0].runs)
        self.assertLessEqual(len(self.decodes[0].runs), 5)


if __name__ == "__main__":
    unittest.main()
