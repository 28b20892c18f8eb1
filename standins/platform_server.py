"""A stand-in server of the platform: a plain service or a small engine.

Run as ``python -m standins.platform_server --server-id s1``; it prints a JSON
line for each request that comes.

It speaks the platform's header fields, makes streams of numbered events, keeps
prefilled prompts by handle, and remembers what it ran.
"""

from gevent import monkey

if __name__ == "__main__":
    monkey.patch_all()

import argparse
import json
import time
import uuid
from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

import gevent

from mulberrywharf import _wsgi
from standins import _http, held_port, http_control, raw_answers

_EVENTS_COUNT = 5
_PAUSE_S = 0.01
_CRASH_LIMIT_S = 5.0
_MS_PER_S = 1000
_REFUSED = [("X-Mulberrywharf-Not-Executed", "1"), ("content-length", "0")]


class Arrival(NamedTuple):
    """A request that came to a server.

    Attributes:
        at_s: Monotonic time.
        server_id: What the server called itself then.
        request_id: The request's id.
        rest: The rest that it was refused with, as told; None if it was not.
        limits: Values of the request limit fields in its answer.
        born: The server's start, see ``PlatformServerStandin.born``.
        sender_port: The TCP port that it came from.
        is_accepted_prefill: Whether its prompt alone was read.
    """

    at_s: float
    server_id: str
    request_id: str
    rest: str | None
    limits: tuple[str, ...] = ()
    born: int = 0
    sender_port: int = 0
    is_accepted_prefill: bool = False


class PlatformServerStandin:
    """One server in this process.

    Attributes:
        port: The TCP port that it listens on.
        software_version: What its record and its runs name.
        runs: Every request that it ran.
        arrivals: Every request that came, refused ones and prefills included.
        request_headers: The WSGI ``HTTP_*`` variables of every request that
            came.
        crash_on: It ends under each request whose body holds this text,
            behind ``crash_after`` events; no request does if it is empty.
        on_arrival: Called with each request that comes.
        crashes: When it ended under a request, and that request's body.
        on_end: Called at the moment at which it ends.
        on_crash: Called each time that it has ended, in a task of its own;
            ``restart`` lets it begin again.
        handles: Prefilled prompts that nobody has freed.
        orders: Every order that it took, with the time at which it came.
        report: What it says of itself, its start among it.
        faults: ``delay_s`` holds answers back, ``break_after`` ends a stream
            behind that event, ``refuse`` answers that nothing ran, ``lose``
            runs a request and closes its connection, ``foreign`` answers
            with another request's id, ``prefill_s`` is how long a prefill
            takes, ``read_s`` how long a run reads a prompt that was not
            prefilled, ``pause_s`` how long it pauses behind each event.
            ``fields`` replaces header fields of answers, with None for none.
            ``leaving`` says in each answer that it leaves, ``rest`` refuses
            and asks for so many seconds of rest. ``raw`` has the fields of
            the ``RawAnswer`` that is sent, without headers and, for the usual
            body, without it; ``raw_prefill`` is such an answer to a prefill;
            ``raws`` is a list of such answers, of which each
            request takes the first.
        limits: Values of the request limit fields in each answer.
    """

    def __init__(self, server_id: str, ip: str = "127.0.0.1", port: int = 0):
        self.software_version = "v1"
        self.runs: list[dict[str, str]] = []
        self.arrivals: list[Arrival] = []
        self.on_arrival: Callable[[Arrival], None] = lambda _: None
        self.request_headers: list[dict[str, str]] = []
        self.crash_on = ""
        self.crash_after = 0
        self.crashes: list[tuple[float, str]] = []
        self.on_end: Callable[[], None] = lambda: None
        self.on_crash: Callable[[PlatformServerStandin], None] | None = None
        self.handles: set[str] = set()
        self.orders: list[tuple[float, dict[str, Any]]] = []
        self.report: dict[str, Any] = {
            "stage": "decode",
            "models": [],
            "busy": False,
            "sequence": 0,
            "waiting": 0,
            "running": 0,
            "born": int(time.time() * _MS_PER_S),
        }
        self.faults: dict[str, Any] = {}
        self.limits: tuple[str, ...] = ()
        self._server_id = server_id
        self._has_ended = False
        self._ip = ip
        self._held_port = held_port.HeldPort(ip, port)
        self.port = self._held_port.port
        self._server = self._make_server()

    def start(self) -> None:
        """Begins to listen."""
        self._server.start()

    def close(self) -> None:
        """Stops, closes every connection and gives the port back."""
        http_control.stop_server(self._server)
        self._held_port.close()

    def _make_server(self) -> _wsgi.WsgiServer:
        return http_control.make_server(self._ip, self.port, self._application)

    def restart(self, server_id: str) -> None:
        """Begins again at its address after a crash, under another id."""
        self._server_id = server_id
        self._held_port.take()
        self._server = self._make_server()
        self._has_ended = False
        self.start_again()
        self.start()

    def _crash(self, body: str) -> None:
        self.crashes.append((time.monotonic(), body))
        http_control.stop_server(self._server)
        if self.on_crash is not None:
            self.on_crash(self)

    @property
    def born(self) -> int:
        """The Unix millisecond of its start."""
        return int(self.report["born"])

    def start_again(self) -> None:
        """Starts again under its id: all that it held and counted is gone.

        What runs is left to end by itself; who caused the restart also cuts
        the connections, which this server shares with its proxy.
        """
        self.handles.clear()
        now_ms = int(time.time() * _MS_PER_S)
        self.report.update(sequence=0, born=max(now_ms, self.born + 1))

    def _application(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        limits = self.limits
        start_response = self._with_fields(start_response, limits)
        if environ["REQUEST_METHOD"] == "DELETE":
            self.handles.discard(environ["PATH_INFO"].rsplit("/", 1)[1])
            return _say({}, start_response)
        if environ["PATH_INFO"] == "/report":
            return _say(self.report, start_response)
        if self._header(environ, "EXPECTED_INSTANCE") != self._server_id:
            start_response("421 Misdirected", [("content-length", "0")])
            return []
        rest = self.faults.get("rest")
        self.request_headers.append(
            {
                name: value
                for name, value in environ.items()
                if name.startswith("HTTP_")
            }
        )
        arrival = Arrival(
            time.monotonic(),
            self._server_id,
            self._header(environ, "REQUEST_ID"),
            rest,
            self.limits,
            self.born,
            int(environ["REMOTE_PORT"]),
            self._header(environ, "STAGE") == "prefill"
            and rest is None
            and not self.faults.get("refuse"),
        )
        self.arrivals.append(arrival)
        self.on_arrival(arrival)
        if rest is not None:
            asked = ("Retry-After", str(rest))
            start_response("503 Busy", [*_REFUSED, asked])
            return []
        if self.faults.get("refuse"):
            start_response("503 Busy", _REFUSED)
            return []
        if environ["PATH_INFO"] == "/order":
            return self._take_order(environ, start_response)
        return self._run(environ, start_response, limits)

    def _with_fields(self, start_response: Any, limits: tuple[str, ...]) -> Any:
        def start(status: str, headers: list[tuple[str, str]]) -> Any:
            return start_response(status, [*headers, *self._stated(limits)])

        return start

    def _stated(self, limits: tuple[str, ...]) -> list[tuple[str, str]]:
        """Returns what an answer that begins now says of the server."""
        is_leaving = self.faults.get("leaving")
        leaving = [("Server-Leaving", "1")] if is_leaving else []
        return [*leaving, *(("Server-Limit", one) for one in limits)]

    def _take_order(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        order = json.loads(environ["wsgi.input"].read())
        if order["expected"] != self.report["sequence"]:
            start_response("409 Conflict", [("content-length", "0")])
            return []
        self.orders.append((time.monotonic(), order))
        self.report["sequence"] += 1
        start_response("202 Accepted", [("content-length", "0")])
        return []

    def _run(
        self,
        environ: dict[str, Any],
        start_response: Any,
        limits: tuple[str, ...],
    ) -> Iterable[bytes]:
        body = environ["wsgi.input"].read()
        if self._header(environ, "STAGE") == "prefill":
            gevent.sleep(self.faults.get("prefill_s", 0.0))
            handle = uuid.uuid4().hex[:12]
            self.handles.add(handle)
            raw = self.faults.get("raw_prefill")
            if raw is not None:
                content = json.dumps({"kv-handle": handle}).encode()
                fields = {"body": [content], **raw}
                raw_answers.send(environ, raw_answers.RawAnswer([], **fields))
            return _say({"kv-handle": handle}, start_response)
        source = self._header(environ, "KV_SOURCE")
        request_id = self._header(environ, "REQUEST_ID")
        self.runs.append(
            {
                "id": request_id,
                "path": environ["PATH_INFO"],
                "body": body.decode(),
                "source": source,
                "after": environ.get("HTTP_LAST_EVENT_ID", ""),
                "version": self.software_version,
                "at_s": f"{time.monotonic():.6f}",
            }
        )
        crashes = self.crash_on and self.crash_on in body.decode()
        gevent.sleep(self.faults.get("delay_s", 0.0))
        if not source:
            gevent.sleep(self.faults.get("read_s", 0.0))
        if crashes and not self._header(environ, "TOKEN_USAGE"):
            self._end_under(environ, body.decode())
        if self.faults.get("lose"):
            return http_control.cut(environ, start_response)
        echoed = "another" if self.faults.get("foreign") else request_id
        headers = [
            (
                "X-Mulberrywharf-Request-Id",
                echoed,
            ),
            ("X-Mulberrywharf-Response-Signature", self._server_id),
            ("X-Mulberrywharf-Instance-Load", "1,0,6"),
        ]
        is_stream = bool(self._header(environ, "TOKEN_USAGE"))
        if is_stream:
            headers.append(("Content-Type", "text/event-stream"))
        content = f"{self._server_id}:{body.decode()}".encode()
        replaced: dict[str, str | None] = self.faults.get("fields", {})
        headers = [one for one in headers if one[0] not in replaced]
        headers += [
            (name, value)
            for name, value in replaced.items()
            if value is not None
        ]
        raws = self.faults.get("raws")
        raw = raws.pop(0) if raws else self.faults.get("raw")
        if raw is not None and not crashes:
            usual = (
                list(self._numbered_events(environ)) if is_stream else [content]
            )
            fields = {"body": usual, **raw}
            headers += self._stated(limits)
            raw_answers.send(environ, raw_answers.RawAnswer(headers, **fields))
        start_response("200 OK", headers)
        if is_stream:
            return self._events(environ, body.decode() if crashes else None)
        return [content]

    def _end_under(self, environ: dict[str, Any], body: str) -> None:
        """Ends the server; the request's own task ends with it."""
        # Nobody listens before any connection shows that it has ended. Its
        # task is ended behind that, or it would answer that it failed.
        is_first = not self._has_ended
        self._has_ended = True
        if is_first:
            self.on_end()
            self._server.close()
        _http.break_connection(environ)
        if is_first:
            gevent.spawn(self._crash, body)
        gevent.sleep(_CRASH_LIMIT_S)
        raise ConnectionError("it has ended")

    def _numbered_events(self, environ: dict[str, Any]) -> Iterator[bytes]:
        owner = self._header(environ, "REQUEST_ID").encode()
        for number in range(_first_event(environ), _EVENTS_COUNT + 1):
            yield b"id: %d\ndata: %s %d\n\n" % (number, owner, number)

    def _events(
        self, environ: dict[str, Any], crashes_under: str | None
    ) -> Iterator[bytes]:
        first = _first_event(environ)
        numbered = enumerate(self._numbered_events(environ), first)
        for number, event in numbered:
            events_count = number - first
            ends_now = events_count >= self.crash_after
            if crashes_under is not None and ends_now:
                # With the head, and in the middle of an event.
                yield b"id: "
                gevent.sleep(_PAUSE_S)
                self._end_under(environ, crashes_under)
            if number > self.faults.get("break_after", _EVENTS_COUNT):
                raise ConnectionError("told to break off")
            yield event
            gevent.sleep(self.faults.get("pause_s", _PAUSE_S))

    def _header(self, environ: dict[str, Any], name: str) -> str:
        return str(environ.get(f"HTTP_X_MULBERRYWHARF_{name}", ""))


def _first_event(environ: dict[str, Any]) -> int:
    return int(environ.get("HTTP_LAST_EVENT_ID") or 0) + 1


def _say(value: Any, start_response: Any) -> Iterable[bytes]:
    content = json.dumps(value).encode()
    start_response("200 OK", [("content-type", "application/json")])
    return [content]


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--server-id", required=True)


def _build(arguments: argparse.Namespace) -> PlatformServerStandin:
    made = PlatformServerStandin(
        arguments.server_id, arguments.ip, arguments.port
    )
    made.on_arrival = lambda one: print(json.dumps(one._asdict()), flush=True)
    return made


if __name__ == "__main__":
    http_control.run("platform-server", __doc__, _add_arguments, _build)
