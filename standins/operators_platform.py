"""A stand-in for the operators' platform that accepts calls of duty holders."""

import json
import time
from collections.abc import Iterable
from typing import Any, NamedTuple

import gevent

from standins import _http, http_control


class DutyCall(NamedTuple):
    """A received call.

    Attributes:
        at_s: Monotonic time of receipt.
        path: Request path.
        holder: The holder's name.
        number: The holder's fencing number.
        body: Decoded body.
    """

    at_s: float
    path: str
    holder: str
    number: int
    body: dict[str, Any]


class OperatorsPlatformStandin:
    """An in-process stand-in for the platform.

    Attributes:
        port: The TCP port that it listens on.
        checks_fencing: Whether a fencing number lower than one already seen is
            rejected.
        calls: All received calls.
        usage: Accepted counts by window.
        conflicts: Windows that were reported twice with different counts.
        desired: Accepted numbers of engines by service, zone and whether they
            are reclaimable.
        unavailable: Zones and kinds (as in ``desired``) without engines.
        faults: ``status`` rejects every call with that status; ``silent`` waits
            that many seconds and closes the connection; ``lose`` executes a
            call without a response; ``late_s`` executes it after that delay,
            without a response.
    """

    def __init__(self, ip: str = "127.0.0.1", port: int = 0):
        self.checks_fencing = True
        self.calls: list[DutyCall] = []
        self.usage: dict[int, dict[str, int]] = {}
        self.conflicts: list[int] = []
        self.desired: dict[tuple[str, str, bool], int] = {}
        self.unavailable: set[tuple[str, bool]] = set()
        self.faults: dict[str, Any] = {}
        self._highest_numbers: dict[str, int] = {}
        self._server = http_control.make_server(ip, port, self._application)
        self.port = self._server.port

    def start(self) -> None:
        """Starts listening."""
        self._server.start()

    def close(self) -> None:
        """Stops listening and closes every connection."""
        http_control.stop_server(self._server)

    def _application(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        call = DutyCall(
            time.monotonic(),
            environ["PATH_INFO"],
            environ["HTTP_X_MULBERRYWHARF_DUTY_HOLDER"],
            int(environ["HTTP_X_MULBERRYWHARF_FENCING_TOKEN"]),
            json.loads(environ["wsgi.input"].read()),
        )
        self.calls.append(call)
        if "status" in self.faults:
            reply = _http.Reply(self.faults["status"], {})
            return _http.send_reply(reply, start_response)
        if self.faults.get("silent"):
            gevent.sleep(self.faults["silent"])
            return http_control.cut(environ, start_response)
        if "late_s" in self.faults:
            gevent.spawn_later(self.faults["late_s"], self._execute, call)
            return http_control.cut(environ, start_response)
        status = self._execute(call)
        if self.faults.get("lose"):
            return http_control.cut(environ, start_response)
        return _http.send_reply(_http.Reply(status, {}), start_response)

    def _execute(self, call: DutyCall) -> int:
        subject = call.path
        if call.path == "/scale":
            subject += f"/{call.body['service']}/{call.body['zone']}"
        highest = self._highest_numbers.get(subject, 0)
        if self.checks_fencing and call.number < highest:
            return 409
        self._highest_numbers[subject] = max(highest, call.number)
        if call.path == "/scale":
            return self._scale(call.body)
        window = call.body["window-number"]
        known = self.usage.setdefault(window, call.body["counts"])
        if known != call.body["counts"]:
            self.conflicts.append(window)
        return 200

    def _scale(self, body: dict[str, Any]) -> int:
        kind = body["zone"], bool(body.get("spot", False))
        if kind in self.unavailable:
            return 409
        self.desired[body["service"], *kind] = body["desired-count"]
        return 200
