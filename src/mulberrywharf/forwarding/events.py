"""Cuts the bytes of an event stream into whole events."""

import re
from typing import NamedTuple

from mulberrywharf import errors

EVENT_LIMIT_BYTES = 1024 * 1024
"""A longer event is not one: a broken server must not fill the memory."""

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_ID = re.compile(rb"^id:[ ]?([0-9]{1,18})\r?$", re.MULTILINE)


class Event(NamedTuple):
    """One event as it came.

    Attributes:
        event_id: Its number, None for one without.
        raw: Its bytes, with the blank line that ends it.
    """

    event_id: int | None
    raw: bytes


class EventCutter:
    """Collects bytes until they are whole events.

    A server may stop in the middle of an event. Passed on, the half event
    would be joined to the beginning of the next server's, and the caller
    would read an event that nobody made.
    """

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Bytes of an event that is not whole yet."""
        return self._rest

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events that are whole now.

        Raises:
            StreamBrokenError: An event exceeds the limit.
        """
        self._rest += data
        events = []
        while match := _EVENT_END.search(self._rest):
            raw = self._rest[: match.end()]
            self._rest = self._rest[match.end() :]
            found = _EVENT_ID.search(raw)
            events.append(Event(int(found.group(1)) if found else None, raw))
        if len(self._rest) > EVENT_LIMIT_BYTES:
            raise errors.StreamBrokenError(
                f"an event exceeds {EVENT_LIMIT_BYTES} bytes"
            )
        return events
