"""A TCP proxy that injects faults between two processes.

Run as ``python -m standins.fault_proxy --upstream 127.0.0.1:8000``; it prints
its data port and its control port. Tests that patch sockets with gevent may
hold a ``FaultProxy`` in process instead.

``POST /faults`` on the control port takes any of these fields; a field that
is left out keeps its value:

- ``mode``: ``pass``; ``cut`` (resets every connection, new ones right after
  they were accepted); ``refuse`` (new ones get no connection at all, those
  that are open go on); ``freeze`` (holds all bytes and
  delivers them after the thaw, as a healed partition does); ``silent`` (like
  ``freeze``, and new connections are never opened); ``half-open-up``
  (drops what goes to the upstream) and ``half-open-down`` (drops what comes
  back), in both of which no side is told.
- ``cross_pairs_count``: of so many next pairs of connections each gets the
  other's answers; the first's wait until the second came.
- ``delay_ms``: each piece of data waits so long, in order, and so does the
  reset of a new connection.
- ``reset_after_up_bytes``, ``reset_after_down_bytes``: a connection is reset
  once it has carried so many bytes that way; null lifts it.
"""

from gevent import monkey

if __name__ == "__main__":
    monkey.patch_all()

import argparse
import socket
import time
from collections.abc import Iterable
from typing import Any, NamedTuple

import gevent
import gevent.event
import gevent.queue
import gevent.server
from gevent import socket as gevent_socket

from mulberrywharf import _connections, _wsgi
from standins import _http, held_port

MODES = (
    "pass",
    "cut",
    "freeze",
    "half-open-up",
    "half-open-down",
    "refuse",
    "silent",
)
_READ_BYTES = 65_536
_HELD_PIECES = 256
_BACKLOG = 256
_QUEUE_FILLERS_COUNT = 2
"""Connections that fill the queue of a listener with a backlog of 0."""

_CONNECT_TIMEOUT_S = 10.0
_UP = "up"
_DOWN = "down"


class Faults(NamedTuple):
    """What the proxy does to its connections now.

    Attributes:
        mode: One of ``MODES``.
        cross_pairs_count: Pairs of connections still to be crossed.
        delay_ms: For each piece of data, and the reset of a new connection.
        reset_after_up_bytes: Towards the upstream; None for never.
        reset_after_down_bytes: Towards the client; None for never.
    """

    mode: str = "pass"
    cross_pairs_count: int = 0
    delay_ms: float = 0.0
    reset_after_up_bytes: int | None = None
    reset_after_down_bytes: int | None = None


class _Connection:
    """One client's connection and its other half to the upstream."""

    def __init__(self, proxy: "FaultProxy", client: Any, upstream: Any):
        self._proxy = proxy
        self._client = client
        self._upstream = upstream
        self._carried_bytes = {_UP: 0, _DOWN: 0}
        self._open_ways = {_UP, _DOWN}
        self._is_closed = False
        self._answers_to = self
        self._may_answer = gevent.event.Event()
        self._may_answer.set()

    def await_partner(self) -> None:
        """Holds its answers back until ``cross`` names who gets them."""
        self._may_answer.clear()

    def cross(self, other: "_Connection") -> None:
        """Gives either connection the other's answers from here on."""
        self._answers_to = other
        other._answers_to = self
        self._may_answer.set()

    def carry(self) -> None:
        """Carries bytes both ways until both ways have ended."""
        pumps = [
            gevent.spawn(self._pump, _UP, self._client, self._upstream),
            gevent.spawn(self._pump, _DOWN, self._upstream, self._client),
        ]
        gevent.joinall(pumps)
        self.close()

    def _pump(self, way: str, source: Any, target: Any) -> None:
        held: gevent.queue.Queue = gevent.queue.Queue(maxsize=_HELD_PIECES)
        reader = gevent.spawn(_read, source, held)
        try:
            self._write(way, held, target)
        finally:
            # After a reset nobody empties the queue any more.
            reader.kill()

    def _write(self, way: str, held: gevent.queue.Queue, target: Any) -> None:
        while True:
            came_s, data = held.get()
            self._hold_back(came_s)
            if self._proxy.drops(way):
                if not data:
                    self._await_heal(way)
                    return
                continue
            if data is None:
                self.reset()
                return
            if way == _DOWN:
                self._may_answer.wait()
                target = self._answers_to._client
            if not self._deliver(way, target, data):
                return

    def _hold_back(self, came_s: float) -> None:
        due_s = came_s + self._proxy.faults.delay_ms / 1000
        gevent.sleep(max(0.0, due_s - time.monotonic()))
        self._proxy.thawed.wait()

    def _await_heal(self, way: str) -> None:
        # The end of a half-open way goes unnoticed: nothing was passed on,
        # and what was dropped is lost, so the healed way can only be reset.
        while self._proxy.drops(way) and not self._is_closed:
            gevent.sleep(0.05)
        self.reset()

    def _deliver(self, way: str, target: Any, data: bytes) -> bool:
        if not data:
            _shut_down_writing(target)
            return False
        limit_bytes = self._proxy.reset_after_bytes(way)
        left_bytes = len(data)
        if limit_bytes is not None:
            left_bytes = max(0, limit_bytes - self._carried_bytes[way])
        try:
            target.sendall(data[:left_bytes])
        except OSError:
            self.reset()
            return False
        self._carried_bytes[way] += min(len(data), left_bytes)
        if limit_bytes is not None and left_bytes <= len(data):
            self.reset()
            return False
        return True

    def reset(self) -> None:
        """Ends both halves at once; both sides see a reset."""
        for sock in (self._client, self._upstream):
            try:
                _connections.reset_on_close(sock)
            except OSError:
                continue
        self.close()

    def close(self) -> None:
        """Closes both halves."""
        if self._is_closed:
            return
        self._is_closed = True
        for sock in (self._client, self._upstream):
            sock.close()


def _read(source: Any, held: gevent.queue.Queue) -> None:
    try:
        while data := source.recv(_READ_BYTES):
            held.put((time.monotonic(), data))
        held.put((time.monotonic(), b""))
    except OSError:
        # A reset is passed on as one, after what came before it.
        held.put((time.monotonic(), None))


class FaultProxy:
    """A listener whose connections go to one upstream, with faults.

    Attributes:
        faults: What it does now.
        thawed: Set while bytes may move.
        port: The TCP port that clients connect to, once started.
        upstream: Where new connections are led to.
        unreached_ports: Clients' ports of connections that the upstream did
            not take.
        upstream_ports: Own ports of the connections to the upstream.
    """

    def __init__(self, upstream: tuple[str, int], *, ip: str = "127.0.0.1"):
        self.faults = Faults()
        self.thawed = gevent.event.Event()
        self.thawed.set()
        self.port = 0
        self.upstream = upstream
        self.unreached_ports: set[int] = set()
        self.upstream_ports: set[int] = set()
        self._ip = ip
        self._connections: set[_Connection] = set()
        self._server: gevent.server.StreamServer | None = None
        self._held_port: held_port.HeldPort | None = None
        # Listens, unless connections are refused.
        self._bound: Any = None
        self._fillers: list[Any] = []
        # The first of a pair that is to be crossed, until the second comes.
        self._awaiting: _Connection | None = None

    def start(self, port: int = 0) -> None:
        """Starts to listen."""
        self._held_port = held_port.HeldPort(self._ip, port)
        self.port = self._held_port.port
        self._bind()
        self._listen()

    def close(self) -> None:
        """Stops listening and resets every connection."""
        if self._server is not None:
            self._server.stop(timeout=0)
        if self._bound is not None:
            self._bound.close()
        if self._held_port is not None:
            self._held_port.close()
        self._close_fillers()
        self.reset_all()

    def _close_fillers(self) -> None:
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()

    def _bind(self) -> None:
        self._bound = gevent_socket.socket()
        self._bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._bound.bind((self._ip, self.port))

    def _listen(self) -> None:
        if self._server is not None:
            return
        if self._fillers:
            self._refuse()
        self._bound.listen(_BACKLOG)
        self._server = gevent.server.StreamServer(self._bound, self._accept)
        self._server.start()

    def _refuse(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        elif self._fillers:
            self._bound.close()
        else:
            return
        self._close_fillers()
        self._bind()

    def _ignore_new(self) -> None:
        """Lets the kernel drop the first packet of each new connection.

        It does so while the queue of connections to accept is full.
        """
        self._refuse()
        self._bound.listen(0)
        for _ in range(_QUEUE_FILLERS_COUNT):
            filler = gevent_socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self._ip, self.port))
            self._fillers.append(filler)

    def set_faults(self, **fields: Any) -> None:
        """Lays fields over the faults in force.

        Raises:
            ValueError: A field or mode is unknown; nothing changed.
        """
        unknown = fields.keys() - Faults._fields
        if unknown or fields.get("mode", "pass") not in MODES:
            raise ValueError(f"unknown fault: {fields}")
        self.faults = self.faults._replace(**fields)
        if self.faults.mode in ("freeze", "silent"):
            self.thawed.clear()
        else:
            self.thawed.set()
        if self.faults.mode == "refuse":
            self._refuse()
        elif self.faults.mode == "silent":
            self._ignore_new()
        else:
            self._listen()
        if self.faults.mode == "cut":
            self.reset_all()

    def reset_all(self) -> None:
        """Resets every connection."""
        for connection in list(self._connections):
            connection.reset()

    def drops(self, way: str) -> bool:
        """Tells whether data that goes this way is lost."""
        return self.faults.mode == f"half-open-{way}"

    def reset_after_bytes(self, way: str) -> int | None:
        """Returns after how many bytes this way a connection is reset."""
        if way == _UP:
            return self.faults.reset_after_up_bytes
        return self.faults.reset_after_down_bytes

    def _accept(self, client: Any, address: Any) -> None:
        if self.faults.mode == "cut":
            gevent.sleep(self.faults.delay_ms / 1000)
            _connections.reset_on_close(client)
            client.close()
            return
        # A frozen partition delivers not even the connection.
        self.thawed.wait()
        try:
            upstream = gevent_socket.create_connection(
                self.upstream, timeout=_CONNECT_TIMEOUT_S
            )
        except OSError:
            self.unreached_ports.add(address[1])
            client.close()
            return
        upstream.settimeout(None)
        self.upstream_ports.add(upstream.getsockname()[1])
        for sock in (client, upstream):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = _Connection(self, client, upstream)
        self._connections.add(connection)
        self._cross(connection)
        try:
            connection.carry()
        finally:
            self._connections.discard(connection)

    def _cross(self, connection: _Connection) -> None:
        pairs_count = self.faults.cross_pairs_count
        if self._awaiting is not None:
            self._awaiting.cross(connection)
            self._awaiting = None
            self.faults = self.faults._replace(
                cross_pairs_count=pairs_count - 1
            )
        elif pairs_count > 0:
            connection.await_partner()
            self._awaiting = connection


def _shut_down_writing(target: Any) -> None:
    try:
        target.shutdown(socket.SHUT_WR)
    except OSError:
        # It is closed already, which is the end that was to be passed on.
        return


class Control:
    """The control listener's application."""

    def __init__(self, proxy: FaultProxy):
        self._proxy = proxy

    def application(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Serves ``POST /faults`` and ``GET /faults``."""
        return _http.send_reply(self._reply(environ), start_response)

    def _reply(self, environ: dict[str, Any]) -> _http.Reply:
        if environ["PATH_INFO"] != "/faults":
            return _http.Reply(404, {"type": "not-found"})
        if environ["REQUEST_METHOD"] == "POST":
            try:
                self._proxy.set_faults(**_http.read_json(environ))
            except (TypeError, ValueError):
                return _http.Reply(400, {"type": "bad-faults"})
        return _http.Reply(200, self._proxy.faults._asdict())


def main() -> None:
    """Runs the proxy until it is ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", default="proxy-1")
    parser.add_argument("--ip", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--control-port", type=int, default=0)
    parser.add_argument("--upstream", required=True, help="IP:PORT")
    arguments = parser.parse_args()
    upstream_ip, _, upstream_port = arguments.upstream.rpartition(":")
    proxy = FaultProxy((upstream_ip, int(upstream_port)), ip=arguments.ip)
    proxy.start(arguments.port)
    control = _http.start_server(
        arguments.ip, arguments.control_port, Control(proxy).application
    )
    _http.end_on_sigterm()
    _wsgi.announce_ready(
        name=arguments.name, port=proxy.port, control_port=control.port
    )
    control.serve_forever()


if __name__ == "__main__":
    main()
