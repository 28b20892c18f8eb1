"""Callers of the soak: requests on kept connections, and what came back."""

import http.client
import itertools
import random
import re
import time
from typing import NamedTuple

import gevent
from gevent import socket

from soak import fleet
from tests import builders_routes as build

KINDS = ("safe", "unsafe", "stream")
DEADLINE_MS = 2_000
"""What callers give each request; longer than any fault on a server but the
longest delay, so that answers in time and too late both occur."""

ANSWER_TIMEOUT_S = 6.0
"""A caller gives up then; three times the deadline, so that a gateway which
answers late is told from one that never does."""

EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\d+)\n\n")
_CONNECT_TIMEOUT_S = 1.0
_PAUSE_LIMIT_S = 0.05
_LEAVE_CHANCE = 0.03
_LEAVE_AFTER_S = 0.2
_KEEP_CHANCE = 0.9
_FORGED_CUSTOMER = "mallory"
_SHARED_PART = "aa:13000"
_STATIC_KEY_CHANCE = 0.7
_REVOKED_KEYS_COUNT = 3


class Call(NamedTuple):
    """One request as its caller saw it.

    Attributes:
        request_id: Its id.
        kind: One of ``KINDS``.
        status: HTTP status, 0 for no answer.
        has_receipt: Whether the answer bears a server's receipt.
        body: What came of the body, chunks joined.
        is_whole: Whether the body ended as it should.
        is_marked: Whether its end is marked, by a length or chunks.
        resumes: Id of the call that began the stream, empty for a new one.
        last_event_id: Id of the event that it goes on behind, 0 for a new one.
        gateway: Index of the gateway.
        connected_s: Monotonic time at which its connection was made.
        has_left: Whether the caller closed the connection itself.
        is_reached: Whether a gateway was behind the connection.
        leaving_id: Id of the server whose answer says that it leaves, empty
            if it does not.
        is_culprit: Whether it ends each server that runs it.
        has_culprit_part: Whether a part of its prompt does so; each such
            request is another one.
        began_s: Monotonic time of the call.
        ended_s: Monotonic time of its end.
        key: API key sent with the request.
    """

    request_id: str
    kind: str
    status: int
    has_receipt: bool
    body: bytes
    is_whole: bool
    gateway: int
    connected_s: float
    has_left: bool
    is_reached: bool
    began_s: float
    ended_s: float
    leaving_id: str = ""
    is_culprit: bool = False
    key: str = fleet.STATIC_KEY
    is_marked: bool = True
    resumes: str = ""
    last_event_id: int = 0
    has_culprit_part: bool = False

    @property
    def stream_id(self) -> str:
        """Id of the call that began its stream."""
        return self.resumes or self.request_id

    @property
    def last_number(self) -> int:
        """Number of the last event that the caller has."""
        numbers = EVENT.findall(self.body)
        return int(numbers[-1][0]) if numbers else self.last_event_id


class Answer(NamedTuple):
    """What came back for one request.

    Attributes:
        status: HTTP status, 0 for a connection that ended without a head.
        body: What came of the body, chunks joined.
        is_whole: Whether the body ended as it should.
        is_marked: Whether its end is marked, by a length or chunks.
        receipt: Id of the server that vouches for it, empty without one.
        says_leaving: Whether that server says that it leaves.
    """

    status: int = 0
    body: bytes = b""
    is_whole: bool = False
    receipt: str = ""
    says_leaving: bool = False
    is_marked: bool = True


class Caller:
    """One caller; it keeps its connection until that is closed."""

    def __init__(
        self,
        played: fleet.Fleet,
        rng: random.Random,
        body: str = "",
        pause_limit_s: float = _PAUSE_LIMIT_S,
        *,
        keys_rng: random.Random,
        culprit_part: str = "",
    ):
        """Makes a caller.

        Args:
            played: What it calls.
            rng: Decides what it asks when.
            body: What it sends each time; empty for each request's own id.
            pause_limit_s: Most time between two calls.
            keys_rng: Decides which API key it sends. Separate from ``rng``, so
                that key choices do not alter the request sequence of a seed.
            culprit_part: Part of the prompts of all its requests, which then
                have bodies of their own; empty for none.
        """
        self._culprit_part = culprit_part
        self._keys_rng = keys_rng
        self._body = body
        self._pause_limit_s = pause_limit_s
        self.calls: list[Call] = []
        self._fleet = played
        self._rng = rng
        self._connection: _Connection | None = None
        self._broken: Call | None = None

    def run(self) -> None:
        """Calls until the fleet is over."""
        while not self._fleet.is_over:
            if self._connect():
                self._call()
            gevent.sleep(self._rng.uniform(0.0, self._pause_limit_s))
        self._hang_up()

    def _connect(self) -> bool:
        """Returns whether there is a connection, new or kept."""
        if self._connection is not None:
            return True
        gateway = self._rng.randrange(len(self._fleet.gateways))
        made = _Connection(gateway, self._fleet.callers_port(gateway))
        try:
            made.connect()
        except OSError:
            return False
        self._connection = made
        return True

    def _call(self) -> None:
        connection = self._connection
        assert connection is not None
        broken, self._broken = self._broken, None
        # A culprit is the same each time.
        is_stream = bool(self._body) or broken is not None
        kind = KINDS[-1] if is_stream else self._rng.choice(KINDS)
        request_id = f"{self._rng.getrandbits(48):012x}"
        leaves = self._rng.random() < _LEAVE_CHANCE
        began_s = time.monotonic()
        leaving = None
        if leaves:
            leaving = gevent.spawn_later(_LEAVE_AFTER_S, connection.leave)
        key = self._choose_key()
        fields = _resuming(broken)
        if broken is not None:
            key = broken.key
        body = self._body or request_id
        if self._culprit_part:
            body = f"{body} {request_id}"
            fields["x-mulberrywharf-prompt-prefix"] = (
                f"{_SHARED_PART},{self._culprit_part}:500,{request_id}:2500"
            )
        answer = _exchange(connection, kind, request_id, body, key, fields)
        if leaving is not None:
            leaving.kill()
        self.calls.append(
            Call(
                request_id,
                kind,
                answer.status,
                bool(answer.receipt),
                answer.body,
                answer.is_whole,
                connection.gateway,
                connection.connected_s,
                connection.has_left,
                self._fleet.reached(connection.gateway, connection.own_port),
                began_s,
                time.monotonic(),
                answer.receipt if answer.says_leaving else "",
                bool(self._body),
                key,
                answer.is_marked,
                broken.stream_id if broken else "",
                broken.last_number if broken else 0,
                bool(self._culprit_part),
            )
        )
        self._note_broken(self.calls[-1])
        may_keep = answer.is_whole and connection.sock is not None
        if not may_keep or self._rng.random() > _KEEP_CHANCE:
            self._hang_up()

    def _note_broken(self, call: Call) -> None:
        """Lets the next call take a stream up that has just broken off."""
        is_broken = call.kind == "stream" and not call.is_whole
        if is_broken and call.status == 200 and EVENT.search(call.body):
            self._broken = call
            self._hang_up()

    def _choose_key(self) -> str:
        """Returns the static, the rotating or a recently revoked key."""
        if self._body or self._keys_rng.random() < _STATIC_KEY_CHANCE:
            return fleet.STATIC_KEY
        revoked = list(self._fleet.revoked_at_s)[-_REVOKED_KEYS_COUNT:]
        return self._keys_rng.choice([self._fleet.rotating_key, *revoked])

    def _hang_up(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


class _Connection(http.client.HTTPConnection):
    """A connection to one gateway, on gevent's sockets."""

    auto_open = 0

    def __init__(self, gateway: int, port: int):
        super().__init__(fleet.LOOPBACK, port)
        self.gateway = gateway
        self.connected_s = time.monotonic()
        self.own_port = 0
        self.has_left = False

    def connect(self) -> None:
        self.sock = socket.create_connection(
            (self.host, self.port), timeout=_CONNECT_TIMEOUT_S
        )
        self.sock.settimeout(ANSWER_TIMEOUT_S)
        self.own_port = self.sock.getsockname()[1]

    def leave(self) -> None:
        """Ends the connection in the middle of whatever it carries."""
        self.has_left = True
        if self.sock is not None:
            self.sock.shutdown(socket.SHUT_RDWR)


def _resuming(broken: Call | None) -> dict[str, str]:
    if broken is None:
        return {}
    return {
        "resumes": broken.stream_id,
        "last-event-id": str(broken.last_number),
    }


def _exchange(
    connection: _Connection,
    kind: str,
    request_id: str,
    body: str,
    key: str,
    more_fields: dict[str, str],
) -> Answer:
    fields = {
        **more_fields,
        "host": build.HOST,
        "x-mulberrywharf-request-id": request_id,
        "x-mulberrywharf-deadline-ms": str(DEADLINE_MS),
        "x-mulberrywharf-credential": key,
        "x-mulberrywharf-tenant-id": _FORGED_CUSTOMER,
    }
    if kind == "stream":
        fields |= {
            "x-mulberrywharf-model": "m",
            "x-mulberrywharf-token-usage": "16000,50",
            "x-mulberrywharf-prompt-prefix": (
                f"{_SHARED_PART},{request_id}:3000"
            ),
            **fields,
        }
    try:
        connection.request("POST", f"/{kind}/x", body, fields)
        answer = connection.getresponse()
    except (OSError, http.client.HTTPException):
        return Answer()
    came = Answer(
        answer.status,
        receipt=answer.headers.get("x-mulberrywharf-response-signature", ""),
        says_leaving=answer.headers.get("server-leaving") == "1",
        is_marked=answer.chunked or answer.length is not None,
    )
    try:
        return came._replace(body=answer.read(), is_whole=True)
    except http.client.IncompleteRead as error:
        return came._replace(body=error.partial)
    except (OSError, http.client.HTTPException):
        return came


def all_of(callers: list[Caller]) -> list[Call]:
    """Returns every call that the callers made."""
    return list(itertools.chain(*(caller.calls for caller in callers)))
