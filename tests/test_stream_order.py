"""Tests of the judge of streams on answers made by hand."""

import unittest
from typing import Any

from proofs import stream_order

HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
PLAIN_HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
END = b"0\r\n\r\n"
COUNT = 4


def event(
    number: int, version: str = "v1", event_id: int | None = None
) -> bytes:
    """Returns an event of the stream ``s``."""
    found = number if event_id is None else event_id
    piece = stream_order.Piece("", "s", number, "dec-1", version, "dec-1/1")
    return f"id: {found}\ndata: {piece.data}\n\n".encode()


def events(*numbers: int, version: str = "v1") -> bytes:
    return b"".join(event(number, version) for number in numbers)


def chunked(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data) if data else b""


def attempt(
    data: bytes, after: str = "", *, head: bytes = HEAD, **changes: bool
) -> stream_order.Attempt:
    return stream_order.Attempt("id-1", "0", after, head + data, **changes)


def whole(data: bytes, after: str = "") -> stream_order.Attempt:
    return attempt(chunked(data) + END, after)


def broken(data: bytes, after: str = "") -> stream_order.Attempt:
    return attempt(chunked(data) + b"f\r\nid", after)


class JudgeTest(unittest.TestCase):
    def forms(self, *attempts: stream_order.Attempt) -> list[str]:
        cases = stream_order.judge("s", COUNT, attempts)
        return [case.form for case in cases]

    def test_sound_streams_pass(self) -> None:
        by_two = b"".join(event(one, event_id=2 * one) for one in (1, 2, 3, 4))
        for attempts in (
            [whole(events(1, 2, 3, 4))],
            [whole(by_two)],
            [broken(events(1, 2)), whole(events(3, 4), "2")],
            [broken(events(1)), broken(b"", "1"), whole(events(2, 3, 4), "1")],
            [broken(b""), whole(events(1, 2, 3, 4))],
            [broken(events(1, 2, 3)), whole(events(3, 4), "2")],
            [attempt(b"", head=b"HTTP/1.1 503 Busy\r\n\r\n")],
            [attempt(b"", head=b"")],
            [attempt(events(1), head=PLAIN_HEAD, was_reset=True)],
            [attempt(events(1), head=PLAIN_HEAD, had_unmarked_end=True)],
            [attempt(events(1, 2, 3, 4), head=PLAIN_HEAD)],
            [attempt(events(1), head=PLAIN_HEAD, has_left=True)],
        ):
            with self.subTest(attempts=attempts):
                self.assertEqual(self.forms(*attempts), [])

    def test_missing_pieces_are_found(self) -> None:
        for attempts in (
            [whole(events(1, 3, 4))],
            [whole(events(2, 3, 4))],
            [broken(events(1)), whole(events(3, 4), "1")],
        ):
            with self.subTest(attempts=attempts):
                self.assertEqual(self.forms(*attempts), ["missing"])

    def test_pieces_that_come_twice_are_found(self) -> None:
        twice = event(2, event_id=3) + event(3, event_id=4)
        last = event(4, event_id=5)
        self.assertEqual(
            self.forms(whole(events(1, 2) + twice + last)), ["twice"]
        )
        self.assertEqual(
            self.forms(broken(events(1, 2)), whole(twice + last, "2")),
            ["twice"],
        )

    def test_joined_versions_are_found(self) -> None:
        newer = events(3, 4, version="v1.1")
        for attempts in (
            [whole(events(1, 2) + newer)],
            [broken(events(1, 2)), whole(newer, "2")],
        ):
            with self.subTest(attempts=attempts):
                self.assertEqual(self.forms(*attempts), ["joined"])

    def test_ends_before_the_last_piece_are_found(self) -> None:
        length = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n"
        for attempts in (
            [whole(events(1, 2, 3))],
            [whole(b"")],
            [broken(events(1, 2)), whole(b"", "2")],
            [attempt(events(1), head=length % len(events(1)))],
            [attempt(events(1), head=PLAIN_HEAD)],
        ):
            with self.subTest(attempts=attempts):
                self.assertEqual(self.forms(*attempts), ["short"])

    def test_ids_that_go_back_are_found(self) -> None:
        back = event(3, event_id=1) + event(4)
        self.assertEqual(self.forms(whole(events(1, 2) + back)), ["back"])
        self.assertEqual(
            self.forms(broken(events(1, 2)), whole(back, "2")), ["back"]
        )

    def test_events_of_others_are_found(self) -> None:
        other = b"id: 2\ndata: other 2 dec-1 v1 dec-1/1\n\n"
        for found in (other, b"id: 2\ndata: s 2\n\n"):
            made = whole(events(1) + found + events(3, 4))
            self.assertEqual(self.forms(made)[0], "foreign")


class ShapeTest(unittest.TestCase):
    def test_events_of_any_shape_are_a_sound_stream(self) -> None:
        for form in stream_order.FORMS:
            for step in (1, 7):
                with self.subTest(form=form, step=step):
                    shape = stream_order.Shape("s", COUNT, step, form)
                    self.assertEqual(stream_order.Shape.find(shape.body), shape)
                    made = shape.events("", "dec-1", "v1", "dec-1/1")
                    begun = broken(b"".join(made[:2]))
                    last_id = begun.pieces[-1].event_id
                    rest = shape.events(last_id, "dec-2", "v1", "dec-2/1")
                    ended = whole(b"".join(rest), last_id)
                    self.assertEqual(len(ended.pieces), COUNT - 2)
                    self.assertEqual(
                        stream_order.judge("s", COUNT, [begun, ended]), []
                    )

    def test_other_bodies_are_no_shapes(self) -> None:
        for body in ("", "ends whoever runs it", "one two 3 4 5 lf", "id-1"):
            self.assertIsNone(stream_order.Shape.find(body))


class ReadTest(unittest.TestCase):
    def ids(self, body: bytes) -> list[tuple[str, int]]:
        read = stream_order.read_pieces(body, "")
        return [(piece.event_id, piece.number) for piece in read]

    def test_forms_of_an_event(self) -> None:
        data = event(1).split(b"\n")[1]
        for body in (
            event(1),
            event(1).replace(b"\n", b"\r\n"),
            event(1).replace(b"\n", b"\r"),
            b"\xef\xbb\xbf" + event(1),
            data + b"\nid: 1\n\n",
            data.replace(b" ", b"", 1) + b"\nid:1\n\n",
            b": note\n\n" + event(1) + b"id: 2\n",
            b"retry: 10\nevent: token\n" + event(1),
            b"id: 7\n" + event(1),
            event(1).rstrip() + b"\ndata: more\n\n",
            event(1) + event(2)[:-1],
        ):
            with self.subTest(body=body):
                self.assertEqual(self.ids(body), [("1", 1)])

    def test_answers_cut_anywhere_are_no_whole_ones(self) -> None:
        raw = whole(events(1, 2)).raw
        for at in range(len(raw)):
            self.assertFalse(stream_order.read_answer(raw[:at]).is_complete)
        answer = stream_order.read_answer(raw + b"HTTP")
        self.assertTrue(answer.is_complete)
        self.assertEqual(answer.body, events(1, 2))
        self.assertEqual(answer.rest, b"HTTP")


class LastPieceTest(unittest.TestCase):
    def cases(self, *blocks: bytes, rest: bytes = b"") -> list[Any]:
        head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        chunks = b"".join(b"%x\r\n%b\r\n" % (len(b), b) for b in blocks)
        raw = head + chunks + b"0\r\n\r\n" + rest
        return stream_order.judge(
            "s", 2, [stream_order.Attempt("", "", "", raw)]
        )

    def test_judge_misses_nothing_behind_the_last_piece(self) -> None:
        """Guards against a judge that calls broken answers whole."""
        one, two, three = (
            f"id: {at}\ndata: s {at} dec-1 v1 run\n\n".encode()
            for at in (1, 2, 3)
        )
        self.assertEqual(self.cases(one, two), [])
        broken = {
            "a piece too many": self.cases(one, two, three),
            "an id goes back": self.cases(one, two, b"id: 1\n\n"),
            "half an event": self.cases(one, two, three[:-2]),
            "bytes behind the end": self.cases(one, two, rest=two),
        }
        for what, found in broken.items():
            with self.subTest(what):
                self.assertTrue(found)


if __name__ == "__main__":
    unittest.main()
