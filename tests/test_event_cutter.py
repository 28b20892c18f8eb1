"""Event streams are cut into whole events, however the bytes come."""

import unittest

from mulberrywharf import errors
from mulberrywharf.forwarding import events


class EventSplitterTest(unittest.TestCase):
    def test_events_come_whole_from_single_bytes(self) -> None:
        stream = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
        splitter = events.EventSplitter()
        found = [
            event
            for place in range(len(stream))
            for event in splitter.feed(stream[place : place + 1])
        ]
        self.assertEqual([event.event_id for event in found], [1, 2])
        self.assertEqual(b"".join(event.raw for event in found), stream)
        self.assertEqual(splitter.pending, b"")

    def test_half_an_event_stays_back(self) -> None:
        splitter = events.EventSplitter()
        self.assertEqual(splitter.feed(b"id: 1\ndata: a"), [])
        self.assertEqual(splitter.pending, b"id: 1\ndata: a")

    def test_carriage_returns_and_events_without_id(self) -> None:
        splitter = events.EventSplitter()
        (one, two) = splitter.feed(b"id: 7\r\ndata: a\r\n\r\n: hello\n\n")
        self.assertEqual((one.event_id, two.event_id), (7, None))

    def test_an_endless_event_is_refused(self) -> None:
        """A broken server fills the memory of a node.

        Sequence: it sends bytes without a blank line for as long as it likes.
        Cause: what is not whole yet was kept without a bound.
        """
        splitter = events.EventSplitter()
        with self.assertRaises(errors.StreamBrokenError):
            splitter.feed(b"x" * (events.EVENT_LIMIT_BYTES + 1))


if __name__ == "__main__":
    unittest.main()
