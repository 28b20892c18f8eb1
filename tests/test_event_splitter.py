"""Tests that event streams are split into complete events."""

import unittest

from mulberrywharf import errors
from mulberrywharf.forwarding import events


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
