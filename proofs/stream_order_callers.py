"""Callers that read streams, and take them up behind a break."""

import random
import time
from collections.abc import Iterator, Sequence
from typing import Any, NamedTuple, Protocol

import gevent
from gevent import socket

from proofs import stream_order
from tests import builders_routes as build
from tests import processes

ANSWER_TIMEOUT_S = 6.0
_ATTEMPTS_LIMIT_COUNT = 8
_FIELDS = (
    "x-mulberrywharf-model: m\r\n"
    "x-mulberrywharf-token-usage: 300,5\r\n"
    "x-mulberrywharf-prompt-prefix: cc:300\r\n"
    "x-mulberrywharf-deadline-ms: 5000\r\n"
)


class Stream(NamedTuple):
    """A stream as its caller saw it.

    Attributes:
        shape: What it was to be.
        caller: Who asked for it.
        attempts: Its attempts.
        at_s: When each began, behind the beginning of the run.
        took_up_early: Whether it was taken up while its first answer ran.
    """

    shape: stream_order.Shape
    caller: str
    attempts: list[stream_order.Attempt]
    at_s: list[float]
    took_up_early: bool = False


def draw_named_share(seed: int) -> float:
    """Returns the share of callers that name streams in the runs of a seed.

    A gateway learns versions from callers that do, so some runs have none.
    """
    return random.Random(f"named {seed}").choice((0.0, 0.5, 1.0))


class Calls(Protocol):
    """What callers of streams share.

    Attributes:
        seed: Decides what they ask.
        forms: Forms of events.
        pieces_count: Least and most pieces of a stream.
        fields: Header fields of every request.
        named_share: Share of callers that name the stream that they take up.
        began_s: Monotonic time from which attempts are dated.
        is_over: Set once they are to end.
        ends: How each run at a server ended, by request id, by time.
        gateways: The gateways' processes, None for one that is started anew.
    """

    seed: int
    forms: Sequence[str]
    pieces_count: tuple[int, int]
    fields: str
    named_share: float
    began_s: float
    is_over: bool
    ends: dict[str, list[str]]
    gateways: list[processes.LoggedProcess | None]

    def choose(self, rng: random.Random, *, takes_up: bool) -> int | None:
        """Returns the gateway for a request, None while there is none."""


class Caller:
    """A caller that reads streams, and takes them up behind a break.

    Attributes:
        streams: What it has read.
        refused_count: Attempts to take one up that got no stream.
    """

    def __init__(self, calls: Calls, number: int):
        self.streams: list[Stream] = []
        self.refused_count = 0
        self._calls = calls
        self._number = number
        self._rng = random.Random(f"caller {number} {calls.seed}")
        naming_rng = random.Random(f"names {number} {calls.seed}")
        self._names_stream = naming_rng.random() < calls.named_share
        self._is_slow = number % 6 == 1
        self._is_early = number % 6 == 2
        self._kept: tuple[int, Any, Any] | None = None
        self._so_far: dict[str, bytes] = {}

    @property
    def name(self) -> str:
        """What kind of caller it is."""
        words = ["Resumes" if self._names_stream else "Last-Event-Id alone"]
        words += ["slow"] * self._is_slow + ["early"] * self._is_early
        return f"caller {self._number} ({', '.join(words)})"

    def run(self) -> None:
        """Reads streams until the run is over."""
        while not self._calls.is_over:
            self._read_stream()
            gevent.sleep(self._rng.uniform(0.0, 0.2))

    def _read_stream(self) -> None:
        rng = self._rng
        shape = stream_order.Shape(
            f"s{self._number}-{len(self.streams)}",
            rng.randint(*self._calls.pieces_count),
            rng.choice((1, 1, 2, 7)),
            rng.choice(self._calls.forms),
        )
        stream = Stream(shape, self.name, [], [], self._is_early)
        self.streams.append(stream)
        began_id, last_id, refusals_count = "", "", 0
        for number in range(_ATTEMPTS_LIMIT_COUNT):
            request_id = f"{shape.name}.{number}"
            leave_after = rng.choice((None, rng.randint(1, 6)))
            if self._is_early and leave_after is not None and not last_id:
                self._ask_twice(stream, request_id, leave_after)
                return
            attempt = self._ask(
                stream, request_id, began_id, last_id, leave_after
            )
            stream.attempts.append(attempt)
            pieces = attempt.pieces
            if pieces:
                began_id = began_id or request_id
                last_id = pieces[-1].event_id
            if pieces and pieces[-1].number == shape.count:
                return
            if attempt.end == "marked" and pieces:
                return
            if last_id and not pieces:
                self.refused_count += 1
                refusals_count += 1
            if refusals_count > 2 or self._calls.is_over:
                return
            gevent.sleep(rng.choice((0.0, rng.uniform(0.0, 0.8))))

    def _ask_twice(
        self, stream: Stream, request_id: str, pieces_count: int
    ) -> None:
        """Takes a stream up while its first answer goes on."""
        first = gevent.spawn(self._ask, stream, request_id, "", "", None)
        gevent.sleep(0.05 * pieces_count)
        so_far = stream_order.Attempt(
            request_id, "", "", self._so_far.get(request_id, b"")
        ).pieces
        attempts = []
        if so_far:
            last_id = so_far[-1].event_id
            next_id = f"{request_id}+"
            attempts.append(self._ask(stream, next_id, request_id, last_id))
        stream.attempts.extend([first.get(), *attempts])

    def _ask(
        self,
        stream: Stream,
        request_id: str,
        began_id: str,
        last_id: str,
        leave_after: int | None = None,
    ) -> stream_order.Attempt:
        fields = _FIELDS + self._calls.fields
        if last_id:
            fields += f"last-event-id: {last_id}\r\n"
            if self._names_stream:
                fields += f"resumes: {began_id}\r\n"
        body = stream.shape.body
        sent = (
            f"POST /stream/x HTTP/1.1\r\nhost: {build.HOST}\r\n"
            f"x-mulberrywharf-request-id: {request_id}\r\n{fields}"
            f"content-length: {len(body)}\r\n\r\n{body}"
        ).encode()
        stream.at_s.append(time.monotonic() - self._calls.began_s)
        index, raw, how = self._exchange(
            sent, request_id, leave_after, takes_up=bool(last_id)
        )
        return stream_order.Attempt(
            request_id,
            str(index),
            last_id,
            raw,
            was_reset=how != "closed",
            has_left=how == "left",
            had_unmarked_end=self._calls.ends.get(request_id, [""])[-1]
            == "unmarked",
        )

    def _exchange(
        self,
        sent: bytes,
        request_id: str,
        leave_after: int | None,
        *,
        takes_up: bool,
    ) -> tuple[int, bytes, str]:
        """Sends a request; returns the gateway, the answer and its end."""
        index = self._calls.choose(self._rng, takes_up=takes_up)
        if index is None:
            gevent.sleep(0.1)
            return -1, b"", "refused"
        gateway = self._calls.gateways[index]
        assert gateway is not None
        kept, self._kept = self._kept, None
        if kept is not None and kept[1] is gateway:
            sock = kept[2]
        else:
            try:
                sock = socket.create_connection(
                    ("127.0.0.1", gateway.ready["callers"]), 1.0
                )
            except OSError:
                return index, b"", "refused"
        sock.settimeout(ANSWER_TIMEOUT_S)
        raw, how = b"", "closed"
        try:
            sock.sendall(sent)
            while some := sock.recv(600 if self._is_slow else 65_536):
                raw += some
                self._so_far[request_id] = raw
                answer = stream_order.read_answer(raw)
                if answer.is_complete:
                    self._kept = (index, gateway, sock)
                    return index, raw, how
                if self._is_slow:
                    gevent.sleep(0.03)
                if (
                    leave_after is not None
                    and raw.count(b"data:") >= leave_after
                ):
                    how = "left"
                    break
        except TimeoutError:
            how = "timeout"
        except OSError:
            how = "reset"
        sock.close()
        return index, raw, how


def evidence(stream: Stream) -> Iterator[str]:
    """Yields what a caller asked for a stream, and what it got."""
    yield f"    {stream.caller}, {stream.shape.body}"
    for at_s, attempt in zip(stream.at_s, stream.attempts, strict=True):
        answer = stream_order.read_answer(attempt.raw)
        made = " ".join(
            f"{one.number}@{one.server}/{one.version}#{one.event_id}"
            for one in attempt.pieces
        )
        yield (
            f"    {at_s:.2f} s {attempt.request_id} at {attempt.gateway}"
            f" behind {attempt.last_event_id or '-'}: {answer.status}"
            f" {attempt.end} {made or answer.body[-200:]!r}"
        )
