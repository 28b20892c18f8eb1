"""A stand-in backend server: a plain service with calls to be run once.

Run as ``python -m standins.backend_server --name b1 --port 0``.
"""

# ruff: noqa: E402
from gevent import monkey

monkey.patch_all()

import argparse
import base64
import hashlib
import os
import time
from collections.abc import Iterable
from typing import Any

import gevent
import gevent.event

from standins import _http

_PATHS = ("/echo", "/check-in", "/payment")
_PARTNER_WAIT_S = 5.0
_FAULT_DEFAULTS: dict[str, float] = {
    "close_before_answer": 0,
    "delay_s": 0.0,
    "cross_answers": 0,
    "half_open": 0,
    "crash": 0,
    "limit_per_s": -1.0,
}


class _Call:
    """One request that ran and its answer.

    Attributes:
        reply: What its caller is to get.
        partner: The call that gets this answer instead, when crossed.
    """

    def __init__(self, reply: _http.Reply):
        self.reply = reply
        self.partner: _Call | None = None
        self.paired = gevent.event.Event()


class BackendServer:
    """Runs calls, counts them, and fails as told."""

    def __init__(self) -> None:
        self._runs: list[dict[str, Any]] = []
        self._run_counts: dict[str, int] = {}
        self._faults = dict(_FAULT_DEFAULTS)
        self._lone: _Call | None = None

    def application(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Serves one HTTP request."""
        path = environ["PATH_INFO"]
        start_response = self._with_limit(start_response)
        if path == "/standin/log":
            reply = _http.Reply(200, {"runs": self._runs})
            return _http.send_reply(reply, start_response)
        if path == "/standin/faults":
            reply = self._set_faults(_http.read_json(environ))
            return _http.send_reply(reply, start_response)
        if path == "/healthz":
            return _http.send_reply(_http.Reply(200, {}), start_response)
        if path not in _PATHS or environ["REQUEST_METHOD"] != "POST":
            reply = _http.Reply(404, {"type": "not-found"})
            return _http.send_reply(reply, start_response)
        return self._serve_call(path, environ, start_response)

    def _with_limit(self, start_response: Any) -> Any:
        """Adds the request limit field unless ``limit_per_s`` is negative."""

        def start(status: str, headers: list[tuple[str, str]]) -> Any:
            limit_per_s = self._faults["limit_per_s"]
            if limit_per_s >= 0:
                headers = [*headers, ("Server-Limit", str(limit_per_s))]
            return start_response(status, headers)

        return start

    def _set_faults(self, fields: dict[str, float]) -> _http.Reply:
        unknown = [name for name in fields if name not in self._faults]
        if unknown:
            return _http.Reply(400, {"type": "unknown-fault", "names": unknown})
        self._faults.update(fields)
        return _http.Reply(200, {})

    def _serve_call(
        self, path: str, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        call = _Call(self._run(path, environ))
        gevent.sleep(self._faults["delay_s"])
        if self._take("crash"):
            os._exit(1)
        if self._take("close_before_answer"):
            _http.break_connection(environ)
            return []
        if self._take("half_open"):
            _http.wait_until_peer_is_gone(environ)
            _http.break_connection(environ)
            return []
        return _http.send_reply(self._reply_to(call), start_response)

    def _run(self, path: str, environ: dict[str, Any]) -> _http.Reply:
        body = environ["wsgi.input"].read()
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        counted = f"{path} {key or request_id}"
        self._run_counts[counted] = self._run_counts.get(counted, 0) + 1
        self._runs.append(
            {
                "path": path,
                "request_id": request_id,
                "idempotency_key": key,
                "body_sha256_hex": hashlib.sha256(body).hexdigest(),
                "unix_s": time.time(),
            }
        )
        answer = {
            "run_count": self._run_counts[counted],
            "request_id": request_id,
            "body": _readable(body),
        }
        return _http.Reply(200, answer, (("x-request-id", request_id),))

    def _take(self, fault: str) -> bool:
        if self._faults[fault] <= 0:
            return False
        self._faults[fault] -= 1
        return True

    def _reply_to(self, call: _Call) -> _http.Reply:
        if self._faults["cross_answers"] <= 0:
            return call.reply
        if self._lone is None:
            self._lone = call
            call.paired.wait(_PARTNER_WAIT_S)
            if self._lone is call:
                self._lone = None
        else:
            call.partner, self._lone = self._lone, None
            self._faults["cross_answers"] -= 1
            call.partner.partner = call
            call.partner.paired.set()
        return call.partner.reply if call.partner else call.reply


def _readable(body: bytes) -> str:
    try:
        return body.decode()
    except UnicodeDecodeError:
        return base64.b64encode(body).decode()


def main() -> None:
    """Runs the backend server until it is ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", default="backend-1")
    parser.add_argument("--ip", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    arguments = parser.parse_args()
    server = BackendServer()
    _http.serve(
        arguments.ip,
        arguments.port,
        server.application,
        name=arguments.name,
    )


if __name__ == "__main__":
    main()
