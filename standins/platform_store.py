"""A stand-in of the platform's store, in the platform's own words.

It keeps what ``key_value_store`` keeps, and speaks another protocol: reads by
GET, watches as calls that are kept waiting, leases in milliseconds.
"""

import base64
import math
import time
import urllib.parse
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

import gevent
import gevent.event

from standins import _http, http_control
from standins.key_value_store import Record, Store

View = Callable[[str, bytes], bytes]
"""Returns the value that a reader sees under a key, from the key's value."""

_VIEW_KEY = "standins.view"
_IS_CUT_KEY = "standins.is-cut"
_VIEW_PORT_KEY = "standins.view-port"
_HUNG_S = 60.0
_WATCH_STEP_S = 0.005
_EXPIRY_INTERVAL_S = 0.02
_MS_PER_S = 1000.0


class WatchFault(NamedTuple):
    """How the watches of a view are behind; their other calls work.

    Attributes:
        events_count: Events in an answer at the most, None for no limit. The
            revision told with fewer than there are is that of the last one.
        last_revision: Later changes are not told of, nor their revision; None
            for no limit.
        is_hidden: Whether answers hold no event although they tell the present
            revision.
        pause_s: Pause before each answer.
    """

    events_count: int | None = None
    last_revision: int | None = None
    is_hidden: bool = False
    pause_s: float = 0.0


class Copy(NamedTuple):
    """What the store held at one moment.

    Attributes:
        records: Its keys.
        revision: Its revision.
    """

    records: dict[bytes, Record]
    revision: int


class PlatformStoreStandin:
    """The store in this process.

    Attributes:
        era: Told in each answer; rises with each restore. None: not told.
        port: The TCP port that it listens on.
        store: What it holds; tests may read and change it.
        page_count: Items in one page of a range.
        faults: ``down`` closes every connection without an answer, ``status``
            answers every call with it, ``silent`` answers nothing,
            ``lose_answers`` does what a call asks and closes its connection,
            ``txn_status`` answers transactions with it, ``omits_items``
            answers failed ones without the keys that they expected,
            ``pause_in_body_s`` waits so long in the middle of each answer,
            ``era`` is told in place of the store's, ``cut_watches_s`` closes
            the connections of watches that have waited so long.
        calls: Method and path of each call.
    """

    def __init__(self, ip: str = "127.0.0.1", port: int = 0):
        self.store = Store()
        self.era: int | None = None
        self.page_count = 500
        self.faults: dict[str, Any] = {}
        self.calls: list[tuple[str, str]] = []
        self._hung_below = 0
        self._ports: set[str] = set()
        self._muted_ports: frozenset[str] = frozenset()
        self._server = http_control.make_server(ip, port, self._application)
        self.port = self._server.port
        self._views: list[Any] = []
        self._watch_faults: dict[int, WatchFault] = {}
        self._expiry: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begins to listen and to expire leases."""
        self._server.start()
        self._expiry = gevent.spawn(self._expire)

    def close(self) -> None:
        """Stops; later calls are refused a connection."""
        if self._expiry is not None:
            self._expiry.kill()
        for server in (self._server, *self._views):
            http_control.stop_server(server)

    def add_view(self, view: View, ip: str = "127.0.0.1") -> int:
        """Listens on another port, whose callers read changed values.

        Returns:
            The TCP port.
        """

        def application(
            environ: http_control.Environ, start_response: Any
        ) -> Iterable[bytes]:
            environ[_VIEW_KEY] = view
            environ[_VIEW_PORT_KEY] = server.port
            return self._application(environ, start_response)

        server = http_control.make_server(ip, 0, application)
        server.start()
        self._views.append(server)
        return int(server.port)

    def hold_watches(self, view_port: int) -> None:
        """Answers watches of a view with the revision and without events."""
        self._watch_faults[view_port] = WatchFault(is_hidden=True)

    def stop_watches(self, view_port: int) -> None:
        """Tells watches of a view of nothing that happens from now on."""
        self._watch_faults[view_port] = WatchFault(
            last_revision=self.store.revision
        )

    def slow_watches(
        self, view_port: int, *, events_count: int, pause_s: float
    ) -> None:
        """Tells watches of a view of few events at a time, after a pause."""
        self._watch_faults[view_port] = WatchFault(
            events_count=events_count, pause_s=pause_s
        )

    def free_watches(self, view_port: int) -> None:
        """Lets watches of a view work again."""
        self._watch_faults.pop(view_port, None)

    def hang_watches(self) -> None:
        """Never answers the watches that wait now."""
        self._hung_below = len(self.calls)

    def mute_connections(self) -> None:
        """Never answers again on the connections that were used so far.

        New ones work: a network that lost an answer may leave a connection
        like that, open at both ends and silent for good.
        """
        self._muted_ports = frozenset(self._ports)

    def drop_history(self) -> None:
        """Forgets every change so far; watches from before it end."""
        self.store.compacted_revision = self.store.revision

    def copy(self) -> Copy:
        """Returns a copy to come back from."""
        return Copy(dict(self.store.records), self.store.revision)

    def restore(self, copy: Copy) -> None:
        """Comes back from a copy: what came later, and all leases, are gone.

        Revisions are given out again from the copy's on, and watches that
        wait are cut.
        """
        self.era = (self.era or 0) + 1
        self.hang_watches()
        self.store.restore(copy.records, copy.revision)
        self.store.end_leases()
        self.store.compact()

    def put(self, key: str, value: bytes) -> int:
        """Writes a key as the operators or the servers do."""
        self.store.transact([_put_operation(key, value, 0)])
        return self.store.revision

    def delete(self, key: str) -> None:
        """Deletes a key."""
        encoded = base64.b64encode(key.encode()).decode()
        self.store.transact([{"requestDeleteRange": {"key": encoded}}])

    def _expire(self) -> None:
        while True:
            gevent.sleep(_EXPIRY_INTERVAL_S)
            self.store.expire_leases()

    def _application(
        self, environ: http_control.Environ, start_response: Any
    ) -> Iterable[bytes]:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        self.calls.append((method, path))
        start_response = self._with_era(start_response)
        port = environ["REMOTE_PORT"]
        self._ports.add(port)
        if port in self._muted_ports:
            gevent.sleep(_HUNG_S)
            return http_control.cut(environ, start_response)
        if self.faults.get("down"):
            return http_control.cut(environ, start_response)
        if self.faults.get("silent"):
            gevent.event.Event().wait(self.faults["silent"])
            return http_control.cut(environ, start_response)
        if "status" in self.faults:
            reply = _http.Reply(self.faults["status"], {})
            return _http.send_reply(reply, start_response)
        query = dict(urllib.parse.parse_qsl(environ["QUERY_STRING"]))
        environ["standins.call"] = len(self.calls)
        reply = self._reply(method, path, query, environ)
        if _VIEW_KEY in environ:
            reply = _seen_through(environ[_VIEW_KEY], reply)
        if self.faults.get("lose_answers") or environ.get(_IS_CUT_KEY):
            return http_control.cut(environ, start_response)
        blocks = _http.send_reply(reply, start_response)
        if "pause_in_body_s" in self.faults:
            return _in_two_parts(blocks, self.faults["pause_in_body_s"])
        return blocks

    def _with_era(self, start_response: Any) -> Any:
        def start(status: str, headers: list[tuple[str, str]]) -> Any:
            era = self.faults.get("era", self.era)
            if era is not None:
                headers = [*headers, ("store-era", str(era))]
            return start_response(status, headers)

        return start

    def _reply(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        environ: dict[str, Any],
    ) -> _http.Reply:
        match method, path.split("/")[1:]:
            case "GET", ["kv-range"]:
                return self._range(query)
            case "GET", ["kv-watch"]:
                return self._watch(query, environ)
            case "POST", ["kv-txn"]:
                return self._txn(_http.read_json(environ))
            case "POST", ["kv-lease"]:
                return self._grant(_http.read_json(environ))
            case "POST", ["kv-keep", lease]:
                return self._keep(int(lease))
            case "DELETE", ["kv-lease-end", lease]:
                self.store.revoke(int(lease))
                return _http.Reply(200, {})
        return _http.Reply(404, {})

    def _range(self, query: dict[str, str]) -> _http.Reply:
        prefix, after = query["prefix"], query.get("after", "")
        items = [
            _item(kv)
            for kv in self.store.range(prefix.encode(), _end(prefix))
            if _key(kv) > after
        ]
        body = {
            "items": items[: self.page_count],
            "has-more": len(items) > self.page_count,
            "store-revision": self.store.revision,
        }
        return _http.Reply(200, body)

    def _watch(
        self, query: dict[str, str], environ: dict[str, Any]
    ) -> _http.Reply:
        after = int(query["after"])
        prefix = query["prefix"]
        deadline = gevent.Timeout(int(query["wait-ms"]) / _MS_PER_S)
        began_s = time.monotonic()
        try:
            with deadline:
                while True:
                    waited_s = time.monotonic() - began_s
                    if waited_s > self.faults.get("cut_watches_s", math.inf):
                        environ[_IS_CUT_KEY] = True
                        return _http.Reply(200, {})
                    if not self._has(after):
                        return _http.Reply(410, {})
                    if environ["standins.call"] <= self._hung_below:
                        gevent.sleep(_HUNG_S)
                    told = self._told(prefix, after, environ)
                    if told["events"]:
                        break
                    gevent.sleep(_WATCH_STEP_S)
        except gevent.Timeout:
            if environ["standins.call"] <= self._hung_below:
                # Left without a word, it gets no answer at its end either.
                gevent.sleep(_HUNG_S)
            # With the revision below it tells of every change up to there.
            told = self._told(prefix, after, environ)
        gevent.sleep(self._watch_fault(environ).pause_s)
        return _http.Reply(200, told)

    def _watch_fault(self, environ: dict[str, Any]) -> WatchFault:
        port = environ.get(_VIEW_PORT_KEY, 0)
        return self._watch_faults.get(port, WatchFault())

    def _told(
        self, prefix: str, after: int, environ: dict[str, Any]
    ) -> dict[str, Any]:
        """Returns the body of an answer to a watch."""
        fault = self._watch_fault(environ)
        events = self._events(prefix, after)
        revision = self.store.revision
        if fault.is_hidden:
            events = []
        if fault.last_revision is not None:
            revision = max(after, fault.last_revision)
            events = [one for one in events if one["revision"] <= revision]
        if fault.events_count is not None and len(events) > fault.events_count:
            events = events[: fault.events_count]
            revision = events[-1]["revision"]
        return {"events": events, "store-revision": revision}

    def _has(self, revision: int) -> bool:
        """Tells whether the changes since a revision are known."""
        return self.store.compacted_revision <= revision <= self.store.revision

    def _events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        missed = self.store.missed_events(
            prefix.encode(), _end(prefix), after + 1
        )
        return [_event(event) for event in missed]

    def _txn(self, body: dict[str, Any]) -> _http.Reply:
        if "txn_status" in self.faults:
            return _http.Reply(self.faults["txn_status"], {})
        for expected in body["expected"]:
            if not self.store.holds(
                {
                    "key": base64.b64encode(expected["key"].encode()),
                    "mod_revision": expected["revision"],
                }
            ):
                keys = [one["key"] for one in body["expected"]]
                items = [] if self.faults.get("omits_items") else keys
                return _http.Reply(412, {"items": self._items(items)})
        operations: list[dict[str, Any]] = []
        for put in body["puts"]:
            lease = put["lease"]
            if lease and not self.store.has_lease(lease):
                return _http.Reply(404, {})
            value = base64.b64decode(put["value"])
            operations.append(_put_operation(put["key"], value, lease))
        for key in body["deletes"]:
            encoded = base64.b64encode(key.encode()).decode()
            operations.append({"requestDeleteRange": {"key": encoded}})
        self.store.transact(operations)
        return _http.Reply(200, {"revision": self.store.revision})

    def _items(self, keys: Iterable[str]) -> list[dict[str, Any]]:
        """Returns those of the keys that exist."""
        return [
            _item(kv)
            for key in keys
            for kv in self.store.range(key.encode(), b"")
        ]

    def _grant(self, body: dict[str, Any]) -> _http.Reply:
        lease = self.store.grant(body["ttl-ms"] / _MS_PER_S)
        return _http.Reply(200, {"lease": lease, "ttl-ms": body["ttl-ms"]})

    def _keep(self, lease: int) -> _http.Reply:
        ttl_s = self.store.keep_alive(lease)
        if not ttl_s:
            return _http.Reply(404, {})
        return _http.Reply(200, {"ttl-ms": int(ttl_s * _MS_PER_S)})


def _seen_through(view: View, reply: _http.Reply) -> _http.Reply:
    def seen(item: dict[str, Any]) -> dict[str, Any]:
        if "value" not in item:
            return item
        value = view(item["key"], base64.b64decode(item["value"]))
        return {**item, "value": base64.b64encode(value).decode()}

    changed = {
        name: [seen(item) for item in reply.body[name]]
        for name in ("items", "events")
        if name in reply.body
    }
    return reply._replace(body={**reply.body, **changed})


def _in_two_parts(blocks: Iterable[bytes], pause_s: float) -> Iterable[bytes]:
    whole = b"".join(blocks)
    yield whole[: len(whole) // 2]
    gevent.sleep(pause_s)
    yield whole[len(whole) // 2 :]


def _put_operation(key: str, value: bytes, lease: int) -> dict[str, Any]:
    put = {
        "key": base64.b64encode(key.encode()).decode(),
        "value": base64.b64encode(value).decode(),
        "lease": str(lease),
    }
    return {"requestPut": put}


def _end(prefix: str) -> bytes:
    return prefix.encode() + b"\xff"


def _key(kv: dict[str, Any]) -> str:
    return base64.b64decode(kv["key"]).decode()


def _item(kv: dict[str, Any]) -> dict[str, Any]:
    return {
        "key": _key(kv),
        "value": kv["value"],
        "revision": int(kv["mod_revision"]),
        "created": int(kv["create_revision"]),
        "lease": int(kv["lease"]),
    }


def _event(event: dict[str, Any]) -> dict[str, Any]:
    kv = event["kv"]
    if event["type"] == "DELETE":
        revision = int(kv["mod_revision"])
        return {"key": _key(kv), "revision": revision, "removed": True}
    return _item(kv)
