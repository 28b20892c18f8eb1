"""A stand-in of the key-value service: a subset of etcd v3's JSON gateway.

Run as ``python -m standins.key_value --ip 127.0.0.1 --port 0``.
"""

import argparse
import base64
import collections
import json
from collections.abc import Iterable, Iterator
from typing import Any

import gevent
import gevent.queue

from standins import _http, http_control
from standins.key_value_store import (
    VALUE_LIMIT_BYTES,
    Record,
    Store,
    Watcher,
)

WRITES_PER_S = 400.0
READS_PER_S = 2000.0

_EXPIRY_INTERVAL_S = 0.02
_WRITE_KINDS = frozenset(
    {"txn", "lease_grant", "lease_keepalive", "lease_revoke"}
)
_KIND_BY_PATH = {
    "/v3/kv/range": "range",
    "/v3/kv/txn": "txn",
    "/v3/lease/grant": "lease_grant",
    "/v3/lease/keepalive": "lease_keepalive",
    "/v3/lease/revoke": "lease_revoke",
    "/v3/watch": "watch",
}


class KeyValueStandin:
    """The service in this process.

    Attributes:
        port: The TCP port that it listens on, also after ``close``.
        store: What it holds; tests may read and change it.
        faults: Current faults: ``down`` closes every connection without an
            answer and ends the watches, ``delay_s`` holds every call back,
            ``lose_answers_count`` lets that many writes take effect and
            loses their answers, ``refuse_writes`` answers 503 to writes.
        calls_by_kind: Count of calls, refused ones included.
    """

    def __init__(
        self,
        ip: str = "127.0.0.1",
        port: int = 0,
        *,
        writes_per_s: float = WRITES_PER_S,
        reads_per_s: float = READS_PER_S,
        progress_interval_s: float = 5.0,
    ):
        self.store = Store()
        self.faults: dict[str, Any] = {}
        self.calls_by_kind: collections.Counter[str] = collections.Counter()
        self.refused_calls_count = 0
        self._write_limit = http_control.RateLimit(writes_per_s)
        self._read_limit = http_control.RateLimit(reads_per_s)
        self._progress_interval_s = progress_interval_s
        self._server = http_control.make_server(ip, port, self._application)
        self.port = self._server.port
        self._expiry: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begins to listen and to expire leases."""
        self._server.start()
        self._expiry = gevent.spawn(self._expire)

    def close(self) -> None:
        """Stops; later calls are refused a connection."""
        if self._expiry is not None:
            self._expiry.kill()
        self.store.cut_watches()
        http_control.stop_server(self._server)

    def set_faults(self, **faults: Any) -> None:
        """Replaces the faults; none clears them."""
        self.faults = faults
        if faults.get("down"):
            self.store.cut_watches()

    def snapshot(self) -> tuple[dict[bytes, Record], int]:
        """Returns what ``restore`` takes."""
        return dict(self.store.records), self.store.revision

    def restore(self, snapshot: tuple[dict[bytes, Record], int]) -> None:
        """Goes back to a snapshot, as after a restore from a backup."""
        self.store.restore(*snapshot)

    def wipe(self) -> None:
        """Comes back empty."""
        self.store.restore({}, 1)

    def _expire(self) -> None:
        while True:
            gevent.sleep(_EXPIRY_INTERVAL_S)
            self.store.expire_leases()

    def _application(
        self, environ: http_control.Environ, start_response: Any
    ) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path.startswith("/standin/"):
            return self._control(path, environ, start_response)
        kind = _KIND_BY_PATH.get(path)
        if kind is None:
            return _http.send_reply(_http.Reply(404, {}), start_response)
        body = _http.read_json(environ)
        self.calls_by_kind[kind] += 1
        if self.faults.get("delay_s"):
            gevent.sleep(self.faults["delay_s"])
        if self.faults.get("down"):
            return http_control.cut(environ, start_response)
        is_write = kind in _WRITE_KINDS
        if is_write and self.faults.get("refuse_writes"):
            return _http.send_reply(_http.Reply(503, {}), start_response)
        limit = self._write_limit if is_write else self._read_limit
        if not limit.take():
            self.refused_calls_count += 1
            headers = (("retry-after", "1"),)
            return _http.send_reply(
                _http.Reply(429, {}, headers), start_response
            )
        if kind == "watch":
            return self._watch(body["create_request"], start_response)
        status, result = getattr(self, f"_{kind}")(body)
        if is_write and self.faults.get("lose_answers_count", 0) > 0:
            self.faults["lose_answers_count"] -= 1
            return http_control.cut(environ, start_response)
        return _http.send_reply(_http.Reply(status, result), start_response)

    def _range(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        key = base64.b64decode(body["key"])
        range_end = base64.b64decode(body.get("range_end", ""))
        kvs = self.store.range(key, range_end)
        return 200, {"header": self.store.header(), "kvs": kvs}

    def _txn(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for operation in body.get("success", []):
            put = operation.get("requestPut", {})
            if len(put.get("value", "")) * 3 // 4 > VALUE_LIMIT_BYTES + 2:
                return 400, {"message": "value too large"}
            lease = int(put.get("lease", 0))
            if lease and not self.store.has_lease(lease):
                return 404, {"message": "lease not found"}
        succeeded = all(
            self.store.holds(compare) for compare in body.get("compare", [])
        )
        branch = "success" if succeeded else "failure"
        responses = self.store.transact(body.get(branch, []))
        return 200, {
            "header": self.store.header(),
            "succeeded": succeeded,
            "responses": responses,
        }

    def _lease_grant(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        ttl_s = float(body["TTL"])
        lease_id = self.store.grant(ttl_s)
        return 200, {
            "header": self.store.header(),
            "ID": str(lease_id),
            "TTL": str(int(ttl_s)),
        }

    def _lease_keepalive(
        self, body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        ttl_s = self.store.keep_alive(int(body["ID"]))
        result = {"ID": body["ID"], "TTL": str(int(ttl_s))}
        return 200, {"result": result}

    def _lease_revoke(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        self.store.revoke(int(body["ID"]))
        return 200, {"header": self.store.header()}

    def _watch(
        self, request: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        start_response("200 OK", [("content-type", "application/json")])
        start_revision = int(request.get("start_revision", 0))
        if 0 < start_revision <= self.store.compacted_revision:
            compacted = str(self.store.compacted_revision)
            return [
                _line(
                    {
                        "header": self.store.header(),
                        "created": True,
                        "canceled": True,
                        "compact_revision": compacted,
                    }
                )
            ]
        watcher = Watcher(
            base64.b64decode(request["key"]),
            base64.b64decode(request.get("range_end", "")),
            gevent.queue.Queue(),
        )
        missed = []
        if start_revision:
            missed = list(
                self.store.missed_events(
                    watcher.key, watcher.range_end, start_revision
                )
            )
        self.store.watchers.append(watcher)
        return self._stream(watcher, missed)

    def _stream(
        self, watcher: Watcher, missed: list[dict[str, Any]]
    ) -> Iterator[bytes]:
        try:
            yield _line({"header": self.store.header(), "created": True})
            if missed:
                yield _line({"header": self.store.header(), "events": missed})
            while True:
                try:
                    message = watcher.queue.get(
                        timeout=self._progress_interval_s
                    )
                except gevent.queue.Empty:
                    message = {"header": self.store.header()}
                if message is None:
                    return
                yield _line(message)
        finally:
            self.store.forget(watcher)

    def _control(
        self, path: str, environ: http_control.Environ, start_response: Any
    ) -> list[bytes]:
        if path == "/standin/faults":
            self.set_faults(**_http.read_json(environ))
        elif path == "/standin/wipe":
            self.wipe()
        elif path == "/standin/compact":
            self.store.compact()
        elif path != "/standin/log":
            return _http.send_reply(_http.Reply(404, {}), start_response)
        return _http.send_reply(_http.Reply(200, self.log()), start_response)

    def log(self) -> dict[str, Any]:
        """Returns every effective write and the counts of calls."""
        return {
            "history": self.store.history,
            "calls_by_kind": dict(self.calls_by_kind),
            "refused_calls_count": self.refused_calls_count,
            "waiting_watches_count": len(self.store.watchers),
        }


def _line(result: dict[str, Any]) -> bytes:
    return json.dumps({"result": result}).encode() + b"\n"


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--writes-per-s", type=float, default=WRITES_PER_S)
    parser.add_argument("--reads-per-s", type=float, default=READS_PER_S)


def _build(arguments: argparse.Namespace) -> KeyValueStandin:
    return KeyValueStandin(
        arguments.ip,
        arguments.port,
        writes_per_s=arguments.writes_per_s,
        reads_per_s=arguments.reads_per_s,
    )


if __name__ == "__main__":
    http_control.run("key-value", __doc__, _add_arguments, _build)
