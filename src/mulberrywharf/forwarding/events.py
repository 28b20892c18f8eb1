"""Splits the bytes of an event stream into complete events."""

import re
from typing import NamedTuple

from mulberrywharf import errors

EVENT_LIMIT_BYTES = 1024 * 1024
"""Maximum size of an event, so that a faulty server can't exhaust memory."""

_EVENT_END = re.compile(rb"(?:\r\n|\n|\r(?!\n)){2}")
"""The end of a line and a blank line. Lines end with CR LF, LF or CR."""

_EVENT_END_LIMIT_BYTES = 4
"""Maximum size of the end of an event."""

_COMMENTS = re.compile(rb"(?:(?::[^\r\n]*)?[\r\n])*")
"""Whole comment lines and blank lines, which are no part of an event."""

_ID_LINE = re.compile(rb"(?:\A|[\r\n])id(?::[ ]?([^\r\n]*))?(?=[\r\n])")
"""A line that sets the id of its event, to an empty one without a value."""

_NUMERIC_ID = re.compile(rb"[0-9]{1,200}")
"""A number as long as a ``Last-Event-Id`` may be."""

_BYTE_ORDER_MARK = b"\xef\xbb\xbf"


class Event(NamedTuple):
    """One event as received.

    Attributes:
        event_id: Its numeric id, None if it has none.
        raw: Its bytes, including the blank line that ends it.
        id_text: Its numeric id as the server wrote it, empty if it has none.
    """

    event_id: int | None
    raw: bytes
    id_text: str = ""


class EventSplitter:
    """Buffers bytes and returns complete events.

    A server may fail in the middle of an event. If the partial event were
    passed on, the stream that resumes at the next server would continue it,
    and the caller would read an event that no server sent.
    """

    def __init__(self) -> None:
        self._pending = bytearray()
        self._is_at_start = True
        self._ended_with_cr = False
        self._has_events = False

    @property
    def pending(self) -> bytes:
        """Bytes of the event that is not complete yet."""
        return bytes(self._pending)

    @property
    def has_events(self) -> bool:
        """Whether an event was complete that is more than a comment."""
        return self._has_events

    @property
    def is_inside_event(self) -> bool:
        """Whether a part of an event that is not complete was received."""
        return _COMMENTS.fullmatch(self._pending) is None

    def feed(self, data: bytes) -> list[Event]:
        """Adds received bytes and returns the events that are now complete.

        Raises:
            StreamBrokenError: An event exceeds the limit.
        """
        # No end lies within what was searched before.
        search_from = max(0, len(self._pending) + 1 - _EVENT_END_LIMIT_BYTES)
        self._pending += data
        events = []
        if self._ended_with_cr and self._pending.startswith(b"\n"):
            # The second half of a CR LF that ended the event before.
            events.append(Event(None, b"\n"))
            del self._pending[:1]
        if self._pending:
            self._ended_with_cr = False
        while match := _EVENT_END.search(self._pending, search_from):
            raw = bytes(self._pending[: match.end()])
            del self._pending[: match.end()]
            search_from = 0
            self._ended_with_cr = not self._pending and raw.endswith(b"\r")
            events.append(self._event(raw))
        if len(self._pending) > EVENT_LIMIT_BYTES:
            raise errors.StreamBrokenError(
                f"an event exceeds {EVENT_LIMIT_BYTES} bytes"
            )
        return events

    def _event(self, raw: bytes) -> Event:
        text = raw
        if self._is_at_start:
            text = text.removeprefix(_BYTE_ORDER_MARK)
            self._is_at_start = False
        self._has_events = self._has_events or not _COMMENTS.fullmatch(text)
        id_text = _id_of(text)
        return Event(int(id_text) if id_text else None, raw, id_text)


def _id_of(text: bytes) -> str:
    """Returns the numeric id of an event, empty if it has none.

    The last line counts, and one whose value has a NUL doesn't, see the
    section "Server-sent events" of the HTML standard.
    """
    values = [value for value in _ID_LINE.findall(text) if b"\0" not in value]
    if not values or not _NUMERIC_ID.fullmatch(values[-1]):
        return ""
    return str(values[-1], "ascii")
