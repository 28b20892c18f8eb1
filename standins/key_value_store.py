"""What the stand-in of the key-value service holds, without its HTTP.

Keys and values stay in the base64 form of the wire. Keys order as their
decoded bytes do.
"""

import base64
import time
import uuid
from collections.abc import Iterator
from typing import Any, NamedTuple

import gevent.queue

VALUE_LIMIT_BYTES = 1_000_000

_RESTORED_LEASE_S = 10.0


class Record(NamedTuple):
    """One key."""

    value: str
    create_revision: int
    mod_revision: int
    version: int
    lease: int


class Watcher(NamedTuple):
    """A waiting watch: a key range and the queue that feeds its stream."""

    key: bytes
    range_end: bytes
    queue: "gevent.queue.Queue[dict[str, Any] | None]"


class Store:
    """Keys, leases, revisions and the history of every effective write."""

    def __init__(self) -> None:
        self.cluster_id = uuid.uuid4().hex
        self.revision = 1
        self.compacted_revision = 0
        self.records: dict[bytes, Record] = {}
        self.history: list[dict[str, Any]] = []
        self._events: list[tuple[int, dict[str, Any]]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        # Ids of etcd's leases use all 63 bits.
        self._last_lease_id = 2**63 - 2**32
        self.watchers: list[Watcher] = []

    def header(self) -> dict[str, str]:
        """Returns the header of every answer."""
        return {"cluster_id": self.cluster_id, "revision": str(self.revision)}

    def range(self, key: bytes, range_end: bytes) -> list[dict[str, Any]]:
        """Returns the records in a range; an empty end means one key."""
        found = sorted(k for k in self.records if _covers(key, range_end, k))
        return [self._render(k) for k in found]

    def _render(self, key: bytes) -> dict[str, Any]:
        record = self.records[key]
        return {
            "key": base64.b64encode(key).decode(),
            "value": record.value,
            "create_revision": str(record.create_revision),
            "mod_revision": str(record.mod_revision),
            "version": str(record.version),
            "lease": str(record.lease),
        }

    def holds(self, compare: dict[str, Any]) -> bool:
        """Evaluates one comparison of a transaction."""
        record = self.records.get(base64.b64decode(compare["key"]))
        revision = record.mod_revision if record else 0
        return revision == int(compare["mod_revision"])

    def transact(self, operations: list[dict[str, Any]]) -> list[Any]:
        """Applies the operations of a transaction at one revision."""
        if any("requestRange" not in operation for operation in operations):
            self.revision += 1
        return [self._apply(operation) for operation in operations]

    def _apply(self, operation: dict[str, Any]) -> dict[str, Any]:
        if "requestPut" in operation:
            put = operation["requestPut"]
            key = base64.b64decode(put["key"])
            self._put(key, put["value"], int(put.get("lease", 0)))
            return {"response_put": {"header": self.header()}}
        if "requestDeleteRange" in operation:
            key = base64.b64decode(operation["requestDeleteRange"]["key"])
            return {"response_delete_range": {"deleted": self._delete(key)}}
        wanted = operation["requestRange"]
        key = base64.b64decode(wanted["key"])
        range_end = base64.b64decode(wanted.get("range_end", ""))
        kvs = self.range(key, range_end)
        if wanted.get("keys_only"):
            kvs = [{**kv, "value": ""} for kv in kvs]
        return {"response_range": {"kvs": kvs}}

    def _put(self, key: bytes, value: str, lease: int) -> None:
        old = self.records.get(key)
        self.records[key] = Record(
            value,
            old.create_revision if old else self.revision,
            self.revision,
            old.version + 1 if old else 1,
            lease,
        )
        self._publish("PUT", self._render(key), key)

    def _delete(self, key: bytes) -> int:
        if key not in self.records:
            return 0
        del self.records[key]
        gone = {
            "key": base64.b64encode(key).decode(),
            "mod_revision": str(self.revision),
        }
        self._publish("DELETE", gone, key)
        return 1

    def _publish(self, kind: str, kv: dict[str, Any], key: bytes) -> None:
        event = {"type": kind, "kv": kv}
        self._events.append((self.revision, event))
        self.history.append(
            {
                "revision": self.revision,
                "type": kind,
                "key": key.decode(errors="replace"),
                "value": kv.get("value", ""),
                "lease": kv.get("lease", "0"),
                "unix_s": time.time(),
            }
        )
        for watcher in self.watchers:
            if _covers(watcher.key, watcher.range_end, key):
                watcher.queue.put({"header": self.header(), "events": [event]})

    def missed_events(
        self, key: bytes, range_end: bytes, start_revision: int
    ) -> Iterator[dict[str, Any]]:
        """Yields the kept events of a range from a revision on."""
        for revision, event in self._events:
            changed = base64.b64decode(event["kv"]["key"])
            if revision >= start_revision and _covers(key, range_end, changed):
                yield event

    def compact(self) -> None:
        """Drops the history, as the real service does from time to time."""
        self.compacted_revision = self.revision
        self._events.clear()

    def restore(self, records: dict[bytes, Record], revision: int) -> None:
        """Replaces everything by older data, as from a backup."""
        self.cluster_id = uuid.uuid4().hex
        self.records = dict(records)
        self.revision = revision
        self.compacted_revision = 0
        self._events.clear()
        self._revive_leases()
        self.cut_watches()

    def end_leases(self) -> None:
        """Forgets every lease and the keys under it, without a change."""
        self._leases.clear()
        self.records = {
            key: record
            for key, record in self.records.items()
            if not record.lease
        }

    def _revive_leases(self) -> None:
        """Gives the leases of restored keys their full time again."""
        for record in self.records.values():
            if record.lease and record.lease not in self._leases:
                ttl_s = _RESTORED_LEASE_S
                self._leases[record.lease] = (ttl_s, time.monotonic() + ttl_s)

    def cut_watches(self) -> None:
        """Ends every waiting watch."""
        for watcher in self.watchers:
            watcher.queue.put(None)

    def forget(self, watcher: Watcher) -> None:
        """Drops a watch whose stream has ended."""
        if watcher in self.watchers:
            self.watchers.remove(watcher)

    def hang_watches(self) -> None:
        """Leaves every watch open and sends it nothing any more."""
        self.watchers.clear()

    def grant(self, ttl_s: float) -> int:
        """Grants a lease and returns its id."""
        self._last_lease_id += 1
        self._leases[self._last_lease_id] = (ttl_s, time.monotonic() + ttl_s)
        return self._last_lease_id

    def has_lease(self, lease_id: int) -> bool:
        """Tells whether a lease is live."""
        return lease_id in self._leases

    def keep_alive(self, lease_id: int) -> float:
        """Renews a lease; 0 if it has lapsed."""
        if lease_id not in self._leases:
            return 0.0
        ttl_s = self._leases[lease_id][0]
        self._leases[lease_id] = (ttl_s, time.monotonic() + ttl_s)
        return ttl_s

    def revoke(self, lease_id: int) -> None:
        """Ends a lease and deletes its keys in one revision."""
        self._leases.pop(lease_id, None)
        keys = [k for k, r in self.records.items() if r.lease == lease_id]
        if keys:
            self.revision += 1
        for key in keys:
            self._delete(key)

    def expire_leases(self) -> None:
        """Ends the leases whose time has passed."""
        now_s = time.monotonic()
        lapsed = [i for i, (_, end_s) in self._leases.items() if end_s <= now_s]
        for lease_id in lapsed:
            self.revoke(lease_id)


def _covers(key: bytes, range_end: bytes, candidate: bytes) -> bool:
    if not range_end:
        return candidate == key
    return key <= candidate < range_end
