"""Tests that event streams are split into complete events."""

import random
import time
import unittest

from mulberrywharf import errors
from mulberrywharf.forwarding import events


def _split_from_begin(blocks: list[bytes]) -> tuple[list[bytes], bytes]:
    """Searches all that is pending with each block."""
    found, pending, ended_with_cr = [], b"", False
    for block in blocks:
        pending += block
        if ended_with_cr and pending.startswith(b"\n"):
            found.append(b"\n")
            pending = pending[1:]
        if pending:
            ended_with_cr = False
        while match := events._EVENT_END.search(pending):
            found.append(pending[: match.end()])
            pending = pending[match.end() :]
            ended_with_cr = not pending and found[-1].endswith(b"\r")
    return found, pending


class EventSplitterTest(unittest.TestCase):
    def test_events_are_complete_when_bytes_arrive_one_by_one(self) -> None:
        stream = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
        splitter = events.EventSplitter()
        found = [
            event
            for index in range(len(stream))
            for event in splitter.feed(stream[index : index + 1])
        ]
        self.assertEqual([event.event_id for event in found], [1, 2])
        self.assertEqual(b"".join(event.raw for event in found), stream)
        self.assertEqual(splitter.pending, b"")

    def test_partial_event_is_held_back(self) -> None:
        splitter = events.EventSplitter()
        self.assertEqual(splitter.feed(b"id: 1\ndata: a"), [])
        self.assertEqual(splitter.pending, b"id: 1\ndata: a")

    def test_carriage_returns_and_events_without_id(self) -> None:
        splitter = events.EventSplitter()
        (one, two) = splitter.feed(b"id: 7\r\ndata: a\r\n\r\n: hello\n\n")
        self.assertEqual((one.event_id, two.event_id), (7, None))

    def test_each_line_end_ends_events_at_once(self) -> None:
        for line_end in (b"\n", b"\r\n", b"\r"):
            with self.subTest(line_end):
                lines = (b"id: 1", b"data: a", b"", b": c", b"", b"id: 2", b"")
                stream = b"".join(line + line_end for line in lines)
                splitter = events.EventSplitter()
                found: list[events.Event] = []
                for index in range(len(stream)):
                    found += splitter.feed(stream[index : index + 1])
                self.assertEqual(b"".join(one.raw for one in found), stream)
                ids = [one.event_id for one in found if one.raw != b"\n"]
                self.assertEqual(ids, [1, None, 2])
                self.assertFalse(splitter.is_inside_event)

    def test_a_byte_order_mark_does_not_hide_the_first_id(self) -> None:
        (one,) = events.EventSplitter().feed(b"\xef\xbb\xbfid: 1\n\n")
        self.assertEqual(one.event_id, 1)

    def test_the_last_id_line_of_an_event_counts(self) -> None:
        """Guards against an id that callers read otherwise than the gateway."""
        cases: dict[bytes, tuple[int | None, str]] = {
            b"id: 9\nid: 2": (2, "2"),
            b"id: 9\ndata: a\nid: 2": (2, "2"),
            b"id: 9\r\nid:2\r\nid: 3": (3, "3"),
            b"id: 9\rid: 2": (2, "2"),
            b"id: 2\nid: a": (None, ""),
            b"id: 2\nid:": (None, ""),
            b"id: 2\nid": (None, ""),
            b"id: 2\nid:  3": (None, ""),
            b"id: 2\nid: 3 ": (None, ""),
            b"id: 2\nid: -3": (None, ""),
            b"id: 2\nid: 3\0": (2, "2"),
            b"id: 2\nid: \0": (2, "2"),
            b"id: a\nid: 2": (2, "2"),
            b"id\nid: 2": (2, "2"),
            b"id: 2\n: id: 3": (2, "2"),
            b"id: 2\ndata: id: 3": (2, "2"),
            b"id: 2\nidea: 3": (2, "2"),
            b"id: 2\nID: 3": (2, "2"),
            b"id: 007": (7, "007"),
            b"id: 1764940627123456789": (
                1764940627123456789,
                "1764940627123456789",
            ),
            b"id: " + b"9" * 200: (int("9" * 200), "9" * 200),
            b"id: 2\nid: " + b"9" * 201: (None, ""),
            b"data: id: 3": (None, ""),
            b": id: 3": (None, ""),
            b"x: 3": (None, ""),
        }
        for lines, expected in cases.items():
            with self.subTest(lines):
                (one,) = events.EventSplitter().feed(lines + b"\n\n")
                self.assertEqual((one.event_id, one.id_text), expected)

    def test_a_stream_that_ends_in_an_event_is_told_from_one_between(
        self,
    ) -> None:
        cases = {
            b"": False,
            b"\n": False,
            b": a comment\n": False,
            b": a comment": True,
            b"i": True,
            b"id: 2\ndata: a": True,
            b"id: 2\ndata: a\n": True,
            b"id: 2\ndata: a\r": True,
        }
        for end, is_inside in cases.items():
            with self.subTest(end):
                splitter = events.EventSplitter()
                splitter.feed(b"id: 1\ndata: a\n\n" + end)
                self.assertEqual(splitter.is_inside_event, is_inside)

    def test_comments_are_no_events(self) -> None:
        splitter = events.EventSplitter()
        splitter.feed(b": wait\n\n")
        self.assertFalse(splitter.has_events)
        splitter.feed(b"data: a\n\n")
        self.assertTrue(splitter.has_events)

    def test_the_cost_of_an_event_grows_with_its_size(self) -> None:
        """Guards against a search from its begin with each block."""
        times_s = []
        for blocks_count in (125, 1_000):
            splitter = events.EventSplitter()
            began_s = time.process_time()
            for _ in range(blocks_count):
                splitter.feed(b":" * 1_000)
            times_s.append(time.process_time() - began_s)
        self.assertLess(times_s[1], 3 * 8 * times_s[0])

    def test_an_end_that_two_blocks_share_is_found(self) -> None:
        """Guards against a search that begins behind the begin of an end."""
        rng = random.Random(1)
        units = (b"\r", b"\n", b"\r\n", b"a", b":")
        for _ in range(5_000):
            blocks = [
                b"".join(rng.choices(units, k=rng.randint(1, 4)))
                for _ in range(rng.randint(1, 5))
            ]
            with self.subTest(blocks=blocks):
                splitter = events.EventSplitter()
                found = [
                    one.raw for block in blocks for one in splitter.feed(block)
                ]
                self.assertEqual(
                    (found, splitter.pending), _split_from_begin(blocks)
                )

    def test_event_without_an_end_is_rejected(self) -> None:
        """A faulty server exhausted the memory of a node.

        It kept sending bytes without a blank line, and the size of an
        incomplete event had no limit.
        """
        splitter = events.EventSplitter()
        with self.assertRaises(errors.StreamBrokenError):
            splitter.feed(b"x" * (events.EVENT_LIMIT_BYTES + 1))


if __name__ == "__main__":
    unittest.main()
