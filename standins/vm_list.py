"""A stand-in of the platform's VM list, which lags.

Run as ``python -m standins.vm_list --ip 127.0.0.1 --port 0 --lag-s 2``.
"""

import argparse
import time
from collections.abc import Iterable
from typing import Any

import gevent

from standins import _http, http_control


class VmListStandin:
    """The list in this process; readers see a new one ``lag_s`` later.

    Attributes:
        port: The TCP port that it listens on, also after ``close``.
        faults: ``down`` closes connections without an answer, ``delay_s``
            holds every answer back.
        reads_count: Reads, unchanged answers included.
        full_answers_count: Answers that carried the list.
    """

    def __init__(
        self, ip: str = "127.0.0.1", port: int = 0, *, lag_s: float = 0.0
    ):
        self.faults: dict[str, Any] = {}
        self.reads_count = 0
        self.full_answers_count = 0
        self._lag_s = lag_s
        self._version = 0
        self._visible: dict[str, Any] = {"version": 0, "vms": []}
        self._pending: list[tuple[float, dict[str, Any]]] = []
        self._server = http_control.make_server(ip, port, self._application)
        self.port = self._server.port

    def start(self) -> None:
        """Begins to listen."""
        self._server.start()

    def close(self) -> None:
        """Stops."""
        http_control.stop_server(self._server)

    def set_vms(self, vms: list[dict[str, Any]]) -> int:
        """Replaces the list; returns its version."""
        self._version += 1
        document = {"version": self._version, "vms": vms}
        self._pending.append((time.monotonic() + self._lag_s, document))
        return self._version

    def pin(self, document: dict[str, Any]) -> None:
        """Shows readers this document, as a replica that lags would."""
        self._pending.clear()
        self._visible = document

    def _application(
        self, environ: http_control.Environ, start_response: Any
    ) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path == "/standin/vms":
            body = _http.read_json(environ)
            version = self.set_vms(body["vms"])
            result = {"version": version}
            return _http.send_reply(_http.Reply(200, result), start_response)
        if path == "/standin/faults":
            self.faults = _http.read_json(environ)
            return _http.send_reply(_http.Reply(200, {}), start_response)
        if path != "/vms":
            return _http.send_reply(_http.Reply(404, {}), start_response)
        self.reads_count += 1
        if self.faults.get("delay_s"):
            gevent.sleep(self.faults["delay_s"])
        if self.faults.get("down"):
            return http_control.cut(environ, start_response)
        current = self.current()
        etag = f'"{current["version"]}"'
        if environ.get("HTTP_IF_NONE_MATCH") == etag:
            start_response("304 Not Modified", [("etag", etag)])
            return []
        self.full_answers_count += 1
        headers = (("etag", etag),)
        return _http.send_reply(
            _http.Reply(200, current, headers), start_response
        )

    def current(self) -> dict[str, Any]:
        """Returns the list as readers see it now."""
        while self._pending and self._pending[0][0] <= time.monotonic():
            self._visible = self._pending.pop(0)[1]
        return self._visible


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--lag-s", type=float, default=2.0)


def _build(arguments: argparse.Namespace) -> VmListStandin:
    return VmListStandin(arguments.ip, arguments.port, lag_s=arguments.lag_s)


if __name__ == "__main__":
    http_control.run("vm-list", __doc__, _add_arguments, _build)
