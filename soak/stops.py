"""A soak of stops: signals are its only faults, and a late stop is killed.

Callers keep their connections and send at any moment of a stop, some requests
in parts. Deadlines lie behind the grace period, and the servers' answers last
for up to a large part of it.

* A request that is sent during a stop is answered as a whole, or is refused
  with 503 and doesn't run.
* One that was sent before may be cut off, but only by the end of the grace
  period.
* A connection may be closed without an answer only at once and if the request
  did not run.
"""

import collections
import http.client
import random
import signal
import time
from collections.abc import Iterator, Sequence
from typing import NamedTuple

import gevent
from gevent import socket

from soak import calls, fleet
from tests import builders_routes as build

CALLERS_COUNT = 40
_DEADLINE_MS = 20_000
_ANSWER_TIMEOUT_S = 15.0
_CONNECT_TIMEOUT_S = 1.0
_CLOSE_SLACK_S = 0.2
"""Longest time from the sending of a request to a close without an answer."""

_SIGNAL_SLACK_S = 0.3
"""How much earlier than the grace period allows a cut may be seen."""

_EXPECTED = frozenset({200, 503})
_STREAMS_S = (0.1, 3.5)
_CALLS_S = (0.0, 1.5)
_EVENTS_COUNT = 5
_PAUSES_S = ((0.0, 0.05), (0.0, 0.5), (0.9, 1.2), (0.0, fleet.GRACE_S))
_PART_CHANCE = 0.2
_PART_PAUSE_S = 0.3
_STOP_PAUSE_S = (0.0, 1.0)
_SETTLE_S = 0.5
_PATTERNS = (
    (signal.SIGTERM,),
    (signal.SIGTERM, signal.SIGTERM),
    (signal.SIGHUP, signal.SIGTERM),
    (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM),
)


class Call(NamedTuple):
    """One request as its caller saw it.

    Attributes:
        request_id: Its id.
        gateway: Index of the gateway.
        status: HTTP status, 0 for no answer.
        is_whole: Whether the answer ended as it should.
        sent_s: Monotonic time at which its last byte was sent.
        ended_s: Monotonic time of its end.
    """

    request_id: str
    gateway: int
    status: int
    is_whole: bool
    sent_s: float
    ended_s: float


class Stop(NamedTuple):
    """A stop of a gateway, and the monotonic time at which it began."""

    gateway: int
    at_s: float


class Outcome(NamedTuple):
    """What one seed came to.

    Attributes:
        broken: A line for each promise that was broken.
        calls: Every call.
        stops: Every stop.
    """

    broken: list[str]
    calls: list[Call]
    stops: list[Stop]


def play(seed: int, stops_count: int) -> Outcome:
    """Plays one seed.

    Args:
        seed: Decides stops, calls and durations of answers.
        stops_count: Number of stops of each gateway.
    """
    rng = random.Random(f"stops {seed}")
    played = fleet.Fleet(timeout_ms=_DEADLINE_MS)
    try:
        played.start()
        stream_s, call_s = rng.uniform(*_STREAMS_S), rng.uniform(*_CALLS_S)
        for server_id, server in played.servers.items():
            server.faults = (
                {"delay_s": call_s}
                if server_id.startswith("plain")
                else {"pause_s": stream_s / _EVENTS_COUNT}
            )
        callers = [
            Caller(played, random.Random(rng.getrandbits(64)))
            for _ in range(CALLERS_COUNT)
        ]
        running = [gevent.spawn(caller.run) for caller in callers]
        stops: list[Stop] = []
        gevent.joinall(
            [
                gevent.spawn(
                    _stop_often,
                    played,
                    index,
                    random.Random(rng.getrandbits(64)),
                    stops_count,
                    stops,
                )
                for index in range(fleet.GATEWAYS_COUNT)
            ],
            raise_error=True,
        )
        played.is_over = True
        gevent.joinall(running, timeout=2 * _ANSWER_TIMEOUT_S)
        gevent.sleep(_SETTLE_S)
        made = [call for caller in callers for call in caller.calls]
        return Outcome(list(broken(played, made, stops)), made, stops)
    finally:
        played.close()


def broken(
    played: fleet.Fleet, made: list[Call], stops: list[Stop]
) -> Iterator[str]:
    """Yields a line for each promise that was broken.

    Args:
        played: The fleet that served the calls.
        made: The calls.
        stops: The stops.
    """
    runs: collections.Counter[str] = collections.Counter()
    for server in played.servers.values():
        runs.update(run["id"] for run in server.runs)
    for call in made:
        reason = _broken_by(call, runs[call.request_id], stops)
        if reason:
            yield f"{call}: {reason}"


def _broken_by(call: Call, runs_count: int, stops: list[Stop]) -> str:
    if call.is_whole:
        if call.status == http.HTTPStatus.SERVICE_UNAVAILABLE and runs_count:
            return "refused and ran"
        return "" if call.status in _EXPECTED else "neither served nor refused"
    at_s = max(
        (
            stop.at_s
            for stop in stops
            if stop.gateway == call.gateway and stop.at_s <= call.ended_s
        ),
        default=float("-inf"),
    )
    earliest_cut_s = at_s + fleet.GRACE_S - _SIGNAL_SLACK_S
    if call.sent_s <= at_s and call.ended_s >= earliest_cut_s:
        return ""
    if call.status == 0 and not runs_count:
        is_at_once = call.ended_s - call.sent_s <= _CLOSE_SLACK_S
        return "" if is_at_once else "closed late without an answer"
    return "cut"


def _stop_often(
    played: fleet.Fleet,
    index: int,
    rng: random.Random,
    stops_count: int,
    stops: list[Stop],
) -> None:
    """Stops a gateway again and again, and kills it after its grace period."""
    for _ in range(stops_count):
        gevent.sleep(rng.uniform(*_STOP_PAUSE_S))
        gateway = played.gateways[index]
        assert gateway is not None
        stop = Stop(index, time.monotonic())
        stops.append(stop)
        for number in rng.choice(_PATTERNS):
            gateway.signal(number)
            gevent.sleep(rng.uniform(0.0, _PART_PAUSE_S))
        while gateway.poll() is None:
            if time.monotonic() >= stop.at_s + fleet.GRACE_S:
                gateway.signal(signal.SIGKILL)
            gevent.sleep(0.01)
        gateway.close()
        played.launch(index)


class Caller:
    """A caller that keeps its connection, also while its gateway stops.

    Attributes:
        calls: What it has called.
    """

    def __init__(
        self,
        played: fleet.Fleet,
        rng: random.Random,
        gateways: Sequence[int] = range(fleet.GATEWAYS_COUNT),
    ):
        """Creates it.

        Args:
            played: The fleet that it calls.
            rng: Decides calls and pauses.
            gateways: Indexes of the gateways that it calls.
        """
        self.calls: list[Call] = []
        self._fleet = played
        self._rng = rng
        self._gateways = gateways

    def run(self) -> None:
        """Calls until the fleet is over."""
        while not self._fleet.is_over:
            index = self._rng.choice(self._gateways)
            gateway = self._fleet.gateways[index]
            assert gateway is not None
            address = (fleet.LOOPBACK, gateway.ready["callers"])
            try:
                sock = socket.create_connection(address, _CONNECT_TIMEOUT_S)
            except OSError:
                gevent.sleep(_STOP_PAUSE_S[1] * self._rng.random())
                continue
            try:
                self._use(sock, index)
            finally:
                sock.close()

    def _use(self, sock: socket.socket, index: int) -> None:
        sock.settimeout(_ANSWER_TIMEOUT_S)
        while not self._fleet.is_over:
            gevent.sleep(self._rng.uniform(*self._rng.choice(_PAUSES_S)))
            if _is_closed(sock) or not self._call(sock, index):
                return

    def _call(self, sock: socket.socket, index: int) -> bool:
        """Makes one call; returns whether another one may follow."""
        request_id = f"{self._rng.getrandbits(48):012x}"
        data = _request(self._rng.choice(calls.KINDS), request_id)
        status, is_whole, may_follow = 0, False, False
        sent_s = time.monotonic()
        try:
            if self._rng.random() < _PART_CHANCE:
                split = self._rng.randrange(1, len(data))
                sock.sendall(data[:split])
                data = data[split:]
                gevent.sleep(self._rng.uniform(0.0, _PART_PAUSE_S))
            sent_s = time.monotonic()
            sock.sendall(data)
            answer = http.client.HTTPResponse(sock, method="POST")
            answer.begin()
            status = answer.status
            answer.read()
            is_whole, may_follow = True, not answer.will_close
        except (OSError, http.client.HTTPException):
            pass
        self.calls.append(
            Call(request_id, index, status, is_whole, sent_s, time.monotonic())
        )
        return may_follow


def _is_closed(sock: socket.socket) -> bool:
    """Returns whether the gateway has closed an idle connection."""
    sock.settimeout(0.0)
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        sock.settimeout(_ANSWER_TIMEOUT_S)
    return True


def _request(kind: str, request_id: str) -> bytes:
    prompt = (
        "x-mulberrywharf-model: m\r\n"
        "x-mulberrywharf-token-usage: 16000,50\r\n"
        f"x-mulberrywharf-prompt-prefix: aa:13000,{request_id}:3000\r\n"
    )
    return (
        f"POST /{kind}/x HTTP/1.1\r\nhost: {build.HOST}\r\n"
        f"x-mulberrywharf-request-id: {request_id}\r\n"
        f"x-mulberrywharf-deadline-ms: {_DEADLINE_MS}\r\n"
        f"x-mulberrywharf-credential: {fleet.STATIC_KEY}\r\n"
        f"{prompt if kind == 'stream' else ''}"
        f"content-length: {len(request_id)}\r\n\r\n{request_id}"
    ).encode()
