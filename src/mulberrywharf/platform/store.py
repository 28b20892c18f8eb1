"""The platform's store as a dialect of the key-value client."""

import base64
import urllib.parse
from collections.abc import Mapping
from typing import Any, NamedTuple

import gevent
from result import Err, Ok, Result

from mulberrywharf import errors
from mulberrywharf.platform_service import dialect, gateway
from mulberrywharf.platform_service import era as era_module
from mulberrywharf.platform_service.key_value_types import (
    Guard,
    KeyValue,
    ServiceState,
    WatchEvent,
)

LONGEST_WAIT_S = 30.0
"""The store keeps a watch waiting no longer than this."""

_COLLECTING_S = 0.5
"""After an answer that brought changes, before the next call. Each answer is
paid for; servers that register one by one at a start wake each of 80 gateways
for each of them: with 0.15 s each got 22 answers in the first 5 s. A change
that follows is in force that much later, a quarter of what operators allow."""

_MIN_WAIT_MS = 1
"""For a watch that returns the changes so far without waiting for more."""

_TRIAL_WAIT_S = 0.2
"""For the first call after a failure. A store that is silent leaves a call
without an answer even if it comes back meanwhile; one that was to wait for 2 s
then held a change up for 4.3 s, with the pause behind it."""

_ANSWER_MARGIN_S = 0.4
"""Beyond the wait, for an answer of a store that is slow but serves: 4 ms as a
rule, 240 ms when it is sixty times slower."""

_ERA_HEADER = "store-era"
"""Rises by one each time that the store comes back from an older copy."""

_MS_PER_S = 1000.0


class StoreDialect(NamedTuple):
    """What the store speaks.

    Attributes:
        wait_s: How long a watch may wait for a change, at the most.
    """

    wait_s: float = LONGEST_WAIT_S


@dialect.era_header.register
def _(spoken: StoreDialect) -> str | None:
    return _ERA_HEADER


@dialect.read_prefix.register
def _(
    spoken: StoreDialect, calls: gateway.Gateway, prefix: str, purpose: str
) -> Result[dialect.Reading, errors.PlatformError]:
    return _read_pages(calls, {"prefix": prefix}, purpose)


@dialect.read_stale.register
def _(
    spoken: StoreDialect, calls: gateway.Gateway, prefix: str, purpose: str
) -> Result[dialect.Reading, errors.PlatformError]:
    query = {"prefix": prefix, "allow-stale": "1"}
    return _read_pages(calls, query, purpose)


def _read_pages(
    calls: gateway.Gateway, query: dict[str, str], purpose: str
) -> Result[dialect.Reading, errors.PlatformError]:
    found: list[KeyValue] = []
    first_revision: int | None = None
    while True:
        read = calls.send(_read_call("/kv-range", query, "range", purpose))
        if isinstance(read, Err):
            return read
        page = read.ok_value
        # Pages are not a snapshot: changes since the first one may or may
        # not be in the later ones. Watching on from the first reports them
        # again instead of missing some.
        if first_revision is None:
            first_revision = int(page["store-revision"])
        found += [_decode_item(item) for item in page["items"]]
        if not page.get("has-more") or not page["items"]:
            state = ServiceState(first_revision, _history_id(calls.era.current))
            return Ok((found, state))
        query = {**query, "after": found[-1].key}


@dialect.open_watch.register
def _(
    spoken: StoreDialect, calls: gateway.Gateway, wanted: dialect.WatchRequest
) -> Result[dialect.WatchStream, errors.PlatformError]:
    return Ok(_PollStream(calls, wanted, spoken.wait_s))


@dialect.read_changes.register
def _(
    spoken: StoreDialect,
    calls: gateway.Gateway,
    prefix: str,
    after_revision: int,
    purpose: str,
) -> Result[dialect.WatchMessage, errors.PlatformError]:
    query = {
        "prefix": prefix,
        "after": str(after_revision),
        "wait-ms": str(_MIN_WAIT_MS),
    }
    answered = calls.send(_read_call("/kv-watch", query, "changes", purpose))
    return answered.map(
        lambda answer: dialect.WatchMessage(
            tuple(_decode_event(event) for event in answer["events"]),
            ServiceState(
                int(answer["store-revision"]), _history_id(calls.era.current)
            ),
        )
    )


@dialect.read_key.register
def _(
    spoken: StoreDialect, calls: gateway.Gateway, key: str, purpose: str
) -> Result[KeyValue | None, errors.PlatformError]:
    # A read of one key answers 404 for an absent one, which could not be
    # told from a wrong path; a range of the key's name says so plainly.
    read = dialect.read_prefix(spoken, calls, key, purpose)
    return read.map(
        lambda reading: next((kv for kv in reading[0] if kv.key == key), None)
    )


@dialect.write_key.register
def _(
    spoken: StoreDialect, calls: gateway.Gateway, wanted: dialect.KeyWrite
) -> Result[KeyValue, errors.PlatformError]:
    body = {
        "expected": [
            {"key": guard.key, "revision": guard.mod_revision}
            for guard in wanted.guards
        ],
        "puts": _puts(wanted),
        "deletes": [wanted.key] if wanted.value is None else [],
    }
    call = gateway.Call("/kv-txn", body, "txn", wanted.purpose, True)
    sent = calls.send(call)
    if isinstance(sent, Err):
        error = sent.err_value
        if isinstance(error, errors.ConditionFailedError):
            return Err(errors.RevisionConflictError(wanted.key))
        return Err(error)
    revision = int(sent.ok_value["revision"])
    is_new = Guard(wanted.key, 0) in wanted.guards
    return Ok(
        KeyValue(
            wanted.key,
            wanted.value or b"",
            revision if is_new else 0,
            revision,
            wanted.lease_id,
        )
    )


@dialect.grant_lease.register
def _(
    spoken: StoreDialect, calls: gateway.Gateway, ttl_s: float, purpose: str
) -> Result[int, errors.PlatformError]:
    body = {"ttl-ms": int(ttl_s * _MS_PER_S)}
    call = gateway.Call("/kv-lease", body, "lease_grant", purpose, False)
    return calls.send(call).map(lambda answer: int(answer["lease"]))


@dialect.keep_alive.register
def _(
    spoken: StoreDialect, calls: gateway.Gateway, lease_id: int, purpose: str
) -> Result[float, errors.PlatformError]:
    path = f"/kv-keep/{lease_id}"
    call = gateway.Call(path, {}, "lease_keepalive", purpose, False)
    sent = calls.send(call)
    if isinstance(sent, Ok):
        return Ok(sent.ok_value["ttl-ms"] / _MS_PER_S)
    if isinstance(sent.err_value, errors.PlatformRefusedError):
        return Err(errors.AuthorityLostError(f"lease {lease_id} lapsed"))
    return Err(sent.err_value)


@dialect.revoke.register
def _(
    spoken: StoreDialect, calls: gateway.Gateway, lease_id: int, purpose: str
) -> Result[None, errors.PlatformError]:
    path = f"/kv-lease-end/{lease_id}"
    call = gateway.Call(
        path, None, "lease_revoke", purpose, False, method="DELETE"
    )
    return calls.send(call).map(lambda _: None)


def _history_id(era: int) -> str:
    return str(era)


def _puts(wanted: dialect.KeyWrite) -> list[dict[str, Any]]:
    if wanted.value is None:
        return []
    value = base64.b64encode(wanted.value).decode()
    return [{"key": wanted.key, "value": value, "lease": wanted.lease_id}]


class _PollStream:
    """A watch made of calls that the store keeps waiting."""

    def __init__(
        self,
        calls: gateway.Gateway,
        wanted: dialect.WatchRequest,
        longest_wait_s: float,
    ):
        self._calls = calls
        self._wanted = wanted
        self._longest_wait_s = longest_wait_s
        self._wait_s = 0.0
        self._poll: gateway.Poll | None = None
        self._revision = wanted.known_revision
        self._brought_changes = False
        self._is_collecting = False
        self._is_over = False

    def read(self) -> dialect.WatchMessage | None:
        if self._is_over:
            return None
        if self._brought_changes:
            self._collect()
        poll = self._opened_poll()
        query = {
            "prefix": self._wanted.prefix,
            "after": str(self._revision),
            "wait-ms": str(int(self._wait_s * _MS_PER_S)),
        }
        answered = poll.send(
            _read_call("/kv-watch", query, "watch", self._wanted.purpose)
        )
        if isinstance(answered, Err):
            return self._failed(answered.err_value)
        message = answered.ok_value
        self._revision = int(message["store-revision"])
        events = tuple(_decode_event(event) for event in message["events"])
        self._brought_changes = bool(events)
        # A trial has shown that the store answers; the next watch waits long.
        self._is_over = self._wanted.after_failure
        return dialect.WatchMessage(events, self._state())

    def _collect(self) -> None:
        self._is_collecting = True
        try:
            gevent.sleep(_COLLECTING_S)
        finally:
            self._is_collecting = False

    def _opened_poll(self) -> gateway.Poll:
        """Returns the connection, a new one if calls may wait longer now."""
        wait_s = min(self._longest_wait_s, self._wanted.silence_s())
        if self._wanted.after_failure:
            wait_s = min(wait_s, _TRIAL_WAIT_S)
        if self._poll is None or wait_s != self._wait_s:
            self.close()
            self._poll = self._calls.open_poll(
                attempt=self._wanted.attempt,
                timeout_s=wait_s + _ANSWER_MARGIN_S,
            )
            self._wait_s = wait_s
        return self._poll

    def _failed(self, error: errors.PlatformError) -> dialect.WatchMessage:
        if isinstance(error, errors.HistoryGoneError):
            return dialect.WatchMessage((), self._state(), is_canceled=True)
        raise ConnectionError(error.message)

    def _state(self) -> ServiceState:
        era = self._poll.era if self._poll is not None else era_module.NO_ERA
        return ServiceState(self._revision, _history_id(era))

    @property
    def is_busy(self) -> bool:
        is_receiving = self._poll is not None and self._poll.is_receiving
        return is_receiving or self._is_collecting

    def close(self) -> None:
        if self._poll is not None:
            self._poll.close()


def _read_call(
    path: str, query: Mapping[str, str], kind: str, purpose: str
) -> gateway.Call:
    target = f"{path}?{urllib.parse.urlencode(query)}"
    return gateway.Call(target, None, kind, purpose, False, method="GET")


def _decode_item(item: Mapping[str, Any]) -> KeyValue:
    # ``revision`` is that of the last change and ``created`` the one of the
    # creation, not a time.
    return KeyValue(
        str(item["key"]),
        base64.b64decode(item["value"]),
        int(item["created"]),
        int(item["revision"]),
        int(item.get("lease", 0)),
    )


def _decode_event(event: Mapping[str, Any]) -> WatchEvent:
    if event.get("removed"):
        gone = KeyValue(str(event["key"]), b"", 0, int(event["revision"]))
        return WatchEvent("delete", gone)
    return WatchEvent("put", _decode_item(event))
