"""Splits event streams into complete events and keeps a stream's place."""

import re
from collections.abc import Sequence
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

_DATA_LINE = re.compile(rb"(?:\A|[\r\n])data(?=[:\r\n])")
_BYTE_ORDER_MARK = b"\xef\xbb\xbf"


class Event(NamedTuple):
    """One event as received.

    Attributes:
        event_id: Its numeric id, None if it has none.
        raw: Its bytes, including the blank line that ends it.
        id_text: Its numeric id as the server wrote it, empty if it has none.
        previous_id: The last numeric id before it in its run, None if there is
            none.
        has_data: Whether its caller reads an event, and not a comment or the
            like.
    """

    event_id: int | None
    raw: bytes
    id_text: str = ""
    previous_id: int | None = None
    has_data: bool = False


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
        self._previous_id: int | None = None

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
        event_id = int(id_text) if id_text else None
        previous_id = self._previous_id
        if event_id is not None:
            self._previous_id = event_id
        has_data = _DATA_LINE.search(text) is not None
        return Event(event_id, raw, id_text, previous_id, has_data)


class StreamPlace:
    """Where a caller's stream stands, over the runs that make it.

    A run goes on behind the last event that has an id. Servers may answer from
    the begin nonetheless, and may send events without an id.

    Attributes:
        last_event_id: Id of the last event that the caller has, as its server
            wrote it; None or empty before the first one.
        is_known: Whether another run that goes on behind it brings what the
            caller lacks and nothing else.
    """

    def __init__(self, last_event_id: str | None):
        is_number = last_event_id is not None and last_event_id.isdecimal()
        self.last_event_id = last_event_id
        self.is_known = True
        self._number = int(last_event_id or "") if is_number else -1
        self._has_begin_without_id = False
        self._has_passed = False

    def pass_on(self, events: Sequence[Event]) -> bytes:
        """Returns those events of a run that the caller does not have yet.

        Raises:
            StreamBrokenError: It is unknown whether the caller has them.
        """
        if not all(map(self._is_placed, events)):
            self.is_known = not self._has_passed
            raise errors.StreamBrokenError(
                "ids do not rise, or a resumed stream begins without one"
            )
        new = [event.raw for event in events if self._is_new(event)]
        self._has_passed = self._has_passed or bool(new)
        return b"".join(new)

    def _is_placed(self, event: Event) -> bool:
        if event.event_id is not None:
            return event.previous_id is None or (
                event.event_id > event.previous_id
            )
        # Behind events without an id, only the same run can go on.
        return not (
            self._has_begin_without_id
            and self.is_known
            and event.has_data
            and event.previous_id is None
        )

    def _is_new(self, event: Event) -> bool:
        if event.event_id is not None:
            if event.event_id <= self._number:
                return False
            self._number = event.event_id
            self.last_event_id = event.id_text
            self.is_known = True
        elif event.has_data:
            if event.previous_id is None:
                self._has_begin_without_id = True
            elif event.previous_id < self._number:
                return False
            self.is_known = False
        return True


def _id_of(text: bytes) -> str:
    """Returns the numeric id of an event, empty if it has none.

    The last line counts, and one whose value has a NUL doesn't, see the
    section "Server-sent events" of the HTML standard.
    """
    values = [value for value in _ID_LINE.findall(text) if b"\0" not in value]
    if not values or not _NUMERIC_ID.fullmatch(values[-1]):
        return ""
    return str(values[-1], "ascii")
