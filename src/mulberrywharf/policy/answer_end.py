"""Decides what the end of an answer proves.

An answer without a length and without chunks ends with its connection, whether
its server has sent all of it or not. An event stream that ends inside an event
was broken off, however its end is marked.
"""

from typing import Literal, NamedTuple

End = Literal["complete", "unmarked", "broken"]
"""What the end of an answer proves.

- ``complete``: The server marked the end.
- ``unmarked``: The answer may be complete or not.
- ``broken``: The answer is not complete.
"""


class Ending(NamedTuple):
    """How an answer ended, without an error of its connection.

    Attributes:
        is_framed: Whether the answer marked its end, by a length or chunks.
        is_event_stream: Whether its body is a stream of events.
        has_events: Whether there was at least one event.
        is_inside_event: Whether it ended inside an event.
    """

    is_framed: bool
    is_event_stream: bool = False
    has_events: bool = False
    is_inside_event: bool = False


def classify(ending: Ending) -> End:
    """Returns what the end of an answer proves."""
    if ending.is_event_stream and ending.is_inside_event:
        return "broken"
    if ending.is_framed:
        return "complete"
    # A stream without any event has not begun; its server may have ended
    # right behind the head.
    if ending.is_event_stream and not ending.has_events:
        return "broken"
    return "unmarked"
