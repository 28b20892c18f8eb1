"""Judges streams by what their callers received: the rule ORDER.

A piece of a stream is an event whose data says who made it, see ``Piece``.
"""

import collections
import re
from collections.abc import Callable, Iterator, Sequence
from typing import Literal, NamedTuple

Form = Literal["missing", "twice", "joined", "short", "back", "foreign"]
"""How a stream breaks the rule: a piece is missing; one comes twice; pieces
of two software versions are joined; it ends as complete before its last piece;
an event id doesn't rise; an event is no piece of this stream."""

End = Literal["marked", "closed", "broken", "left"]
"""How an answer ended: by its chunks or length, by a close alone, otherwise,
or because its caller left."""

_LINE_END = re.compile(r"\r\n|\n|\r")
_CHUNK_SIZE = re.compile(rb"([0-9a-fA-F]+)[^\r\n]*\r\n")


class Piece(NamedTuple):
    """One event as a caller read it.

    Attributes:
        event_id: The last event id that the caller has behind it.
        stream: Name of the stream, empty if the data names none.
        number: Its number, from 1.
        server: Id of the server that made it.
        version: Software version of that server's run.
        run: Name of the run.
    """

    event_id: str
    stream: str
    number: int
    server: str
    version: str
    run: str

    @property
    def data(self) -> str:
        """What a server writes as the data of this piece."""
        return " ".join(map(str, self[1:]))


class Shape(NamedTuple):
    """What a stream is to be; stand-in servers read it from the body.

    Attributes:
        name: Its name.
        count: How many pieces it has.
        step: By how much its ids rise.
        form: How its events are written, one of ``FORMS``.
    """

    name: str
    count: int
    step: int
    form: str

    @property
    def body(self) -> str:
        """The body of its requests."""
        return " ".join(map(str, self))

    @classmethod
    def find(cls, body: str) -> "Shape | None":
        """Returns what a body asks for, None if that is no stream's shape."""
        parts = body.split()
        if len(parts) != len(cls._fields) or parts[-1] not in FORMS:
            return None
        name, count, step, form = parts
        return cls(name, int(count), int(step), form)

    def events(
        self, after: str, server: str, version: str, run: str
    ) -> list[bytes]:
        """Returns the events that a run makes.

        Args:
            after: Id of the event that it goes on behind, empty for none.
            server: Id of the server.
            version: Its software version.
            run: Name of the run.
        """
        write = FORMS[self.form]
        made = []
        first = int(after or 0) // self.step + 1
        for number in range(first, self.count + 1):
            piece = Piece("", self.name, number, server, version, run)
            made.append(write(str(number * self.step), piece.data).encode())
        return made


FORMS: dict[str, Callable[[str, str], str]] = {
    "lf": lambda one, data: f"id: {one}\ndata: {data}\n\n",
    "crlf": lambda one, data: f"id: {one}\r\ndata: {data}\r\n\r\n",
    "cr": lambda one, data: f"id: {one}\rdata: {data}\r\r",
    "data-first": lambda one, data: f"data: {data}\nid: {one}\n\n",
    "no-space": lambda one, data: f"id:{one}\ndata:{data}\n\n",
    "comment": lambda one, data: f": note\n\nid: {one}\ndata: {data}\n\n",
    "comment-in": lambda one, data: f"id: {one}\n: note\ndata: {data}\n\n",
    "retry": lambda one, data: f"retry: 9\nid: {one}\ndata: {data}\n\n",
    "named": lambda one, data: f"event: token\nid: {one}\ndata: {data}\n\n",
    "weights": lambda one, data: (
        f"x-mulberrywharf-weight-versions: 7\nid: {one}\ndata: {data}\n\n"
    ),
    "lines": lambda one, data: f"id: {one}\ndata: {data}\ndata: x\n\n",
    "large": lambda one, data: f"id: {one}\ndata: {data} {'x' * 20_000}\n\n",
    "two-ids": lambda one, data: f"id: 0\nid: {one}\ndata: {data}\n\n",
}
"""Ways to write an event with an id and data."""

USUAL_FORMS = tuple(name for name in FORMS if name != "two-ids")
"""Those that gateways read as callers do."""


class Answer(NamedTuple):
    """One HTTP answer.

    Attributes:
        status: HTTP status, 0 without a whole head.
        body: What came of the body, chunks joined.
        is_framed: Whether chunks or a length mark its end.
        is_complete: Whether that end came.
        rest: Bytes behind it.
    """

    status: int = 0
    body: bytes = b""
    is_framed: bool = False
    is_complete: bool = False
    rest: bytes = b""


class Attempt(NamedTuple):
    """One request for a stream, and what came back.

    Attributes:
        request_id: Its id.
        gateway: Name of the gateway.
        last_event_id: Behind which event it asks, empty for a new stream.
        raw: All bytes of the answer.
        was_reset: Whether the connection ended other than by a close.
        has_left: Whether the caller ended it.
        had_unmarked_end: Whether a server closed an answer whose end nothing
            marks, so that no gateway can tell whether it was whole.
    """

    request_id: str
    gateway: str
    last_event_id: str
    raw: bytes
    was_reset: bool = False
    has_left: bool = False
    had_unmarked_end: bool = False

    @property
    def end(self) -> End:
        """How the answer ended."""
        answer = read_answer(self.raw)
        if answer.is_complete:
            return "marked"
        if self.has_left:
            return "left"
        if answer.status and not answer.is_framed and not self.was_reset:
            return "closed"
        return "broken"

    @property
    def pieces(self) -> list[Piece]:
        """The events that came."""
        answer = read_answer(self.raw)
        if answer.status != 200:
            return []
        return list(read_pieces(answer.body, self.last_event_id))


class Case(NamedTuple):
    """A stream that broke the rule.

    Attributes:
        form: How.
        text: What shows it.
    """

    form: Form
    text: str


def read_answer(raw: bytes) -> Answer:
    """Parses an answer, which may have ended anywhere."""
    status, fields, data = 100, {}, raw
    while 100 <= status < 200:
        head, separator, data = data.partition(b"\r\n\r\n")
        if not separator:
            return Answer()
        first, *lines = head.decode("latin-1").split("\r\n")
        status = int(first.split(" ")[1])
        fields = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines)
        }
    if fields.get("transfer-encoding") == "chunked":
        return _read_chunks(status, data)
    if "content-length" not in fields:
        return Answer(status, data)
    length = int(fields["content-length"])
    is_complete = len(data) >= length
    return Answer(status, data[:length], True, is_complete, data[length:])


def _read_chunks(status: int, data: bytes) -> Answer:
    body = b""
    while size := _CHUNK_SIZE.match(data):
        length, begin = int(size.group(1), 16), size.end()
        body += data[begin : begin + length]
        data = data[begin + length :]
        if not data.startswith(b"\r\n"):
            break
        data = data[2:]
        if length == 0:
            return Answer(status, body, True, True, data)
    return Answer(status, body, True)


def read_pieces(body: bytes, last_event_id: str) -> Iterator[Piece]:
    """Yields the events of a stream, as the standard has callers read them.

    Args:
        body: The body; an event that is not complete is none.
        last_event_id: The last event id that the caller had before.
    """
    for data, event_id in _read_events(body, last_event_id):
        if data:
            yield _piece("\n".join(data), event_id)


def _read_events(
    body: bytes, last_event_id: str
) -> Iterator[tuple[list[str], str]]:
    """Yields the data of each event, perhaps none, and the id behind it."""
    data: list[str] = []
    for line in _lines(body)[:-1]:
        if not line:
            yield data, last_event_id
            data = []
            continue
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "data":
            data.append(value)
        elif name == "id" and "\0" not in value:
            last_event_id = value


def _ends_inside_event(body: bytes) -> bool:
    """Returns whether bytes of an event follow the last complete one."""
    *lines, rest = _lines(body)
    return bool(rest or (lines and lines[-1]))


def _lines(body: bytes) -> list[str]:
    text = body.decode("utf-8", "replace").removeprefix("\ufeff")
    return _LINE_END.split(text)


def _piece(data: str, event_id: str) -> Piece:
    parts = data.split()
    if len(parts) < 5 or not parts[1].isdecimal():
        return Piece(event_id, "", 0, data[:80], "", "")
    stream, number, server, version, run = parts[:5]
    return Piece(event_id, stream, int(number), server, version, run)


def judge(
    stream: str, pieces_count: int, attempts: Sequence[Attempt]
) -> list[Case]:
    """Returns how a stream broke the rule.

    Args:
        stream: Its name.
        pieces_count: How many pieces it has when it is whole.
        attempts: What its caller asked, in this order.
    """
    cases: list[Case] = []
    number_by_id = {"": 0}
    versions: dict[str, list[Piece]] = collections.defaultdict(list)
    for attempt in attempts:
        had_id = attempt.last_event_id
        had_number = number_by_id[had_id]
        for piece in attempt.pieces:
            cases += _broken_by(piece, stream, had_number, had_id)
            had_number = max(had_number, piece.number)
            had_id = piece.event_id
            number_by_id[had_id] = had_number
            versions[piece.version].append(piece)
            if piece.number > pieces_count:
                cases.append(Case("foreign", f"{piece.number} is one too many"))
        cases += _went_back(attempt)
        cases += _ended_early(attempt, had_number, pieces_count)
    if len(versions) > 1:
        made = ", ".join(
            f"{one}: {[piece.number for piece in versions[one]]}"
            for one in versions
        )
        cases.append(Case("joined", made))
    return cases


def _broken_by(
    piece: Piece, stream: str, had_number: int, had_id: str
) -> Iterator[Case]:
    if piece.stream != stream:
        yield Case("foreign", str(piece))
        return
    if piece.number <= had_number:
        yield Case("twice", f"{piece.number} behind {had_number}")
    if piece.number > had_number + 1:
        yield Case("missing", f"{piece.number} behind {had_number}")
    if int(piece.event_id or 0) <= int(had_id or 0):
        yield Case("back", f"id {piece.event_id} behind {had_id}")


def _went_back(attempt: Attempt) -> Iterator[Case]:
    """Yields the events without data that take the last event id back."""
    answer = read_answer(attempt.raw)
    if answer.status != 200:
        return
    had_id = attempt.last_event_id
    for data, event_id in _read_events(answer.body, had_id):
        if not data and int(event_id or 0) < int(had_id or 0):
            yield Case("back", f"id {event_id} without data behind {had_id}")
        had_id = event_id


def _ended_early(
    attempt: Attempt, had_number: int, pieces_count: int
) -> Iterator[Case]:
    looks_complete = attempt.end == "marked" or (
        attempt.end == "closed" and not attempt.had_unmarked_end
    )
    answer = read_answer(attempt.raw)
    if answer.rest:
        yield Case("foreign", f"{len(answer.rest)} bytes behind the end")
    if answer.status != 200 or not looks_complete:
        return
    if had_number < pieces_count or _ends_inside_event(answer.body):
        yield Case("short", f"{attempt.end} behind {had_number}")
