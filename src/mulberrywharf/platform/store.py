"""Dialect of the key-value client for the platform's store."""

import base64
import urllib.parse
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

import gevent
from result import Err, Ok, Result

from mulberrywharf import errors, stated_numbers
from mulberrywharf.platform_service import dialect, service_calls
from mulberrywharf.platform_service import era as era_module
from mulberrywharf.platform_service.key_value_types import (
    Guard,
    KeyValue,
    ServiceState,
    WatchEvent,
)

MAX_WAIT_S = 30.0
"""Maximum time for which the store lets a watch call wait for a change."""

_BATCH_DELAY_S = 0.5
"""Delay between a response with changes and the next watch call, so that one
response carries several changes. Each response is billed, and servers that
register one by one when the fleet starts would wake each of 80 gateways for
each of them: a delay of 0.15 s led to 22 responses per gateway in the first
5 s. The delay adds to the time until a later change is in force, and is a
quarter of what the operators allow for that."""

_MIN_WAIT_MS = 1
"""For a call that returns the changes so far without waiting for more."""

_PROBE_WAIT_S = 0.2
"""Maximum wait of the first watch call after a failure. A store that has hung
does not answer the call even if it recovers in the meantime: a call with a wait
of 2 s, and the delay after it, held up a change for 4.3 s."""

_ANSWER_MARGIN_S = 0.4
"""Added to the wait to get the timeout of a watch call. The store normally
responds within 4 ms, and within 240 ms when it is sixty times slower."""

_ERA_HEADER = "store-era"
"""Response header whose value rises by one each time that the store is restored
from an older copy."""

_MS_PER_S = 1000.0


class StoreDialect(NamedTuple):
    """The protocol of the platform's store.

    Attributes:
        wait_s: Maximum time in seconds for which a watch call waits for a
            change.
    """

    wait_s: float = MAX_WAIT_S


@dialect.era_header.register
def _(store: StoreDialect) -> str | None:
    return _ERA_HEADER


@dialect.read_prefix.register
def _(
    store: StoreDialect,
    calls: service_calls.ServiceCalls,
    prefix: str,
    purpose: str,
) -> Result[dialect.PrefixRead, errors.PlatformError]:
    return _read_pages(calls, {"prefix": prefix}, purpose)


@dialect.read_stale.register
def _(
    store: StoreDialect,
    calls: service_calls.ServiceCalls,
    prefix: str,
    purpose: str,
) -> Result[dialect.PrefixRead, errors.PlatformError]:
    query = {"prefix": prefix, "allow-stale": "1"}
    return _read_pages(calls, query, purpose)


def _read_pages(
    calls: service_calls.ServiceCalls, query: dict[str, str], purpose: str
) -> Result[dialect.PrefixRead, errors.PlatformError]:
    found: list[KeyValue] = []
    first_revision: int | None = None
    while True:
        call = _read_call("/kv-range", query, "range", purpose)
        read = service_calls.decoded(call, calls.send(call), _decode_page)
        if isinstance(read, Err):
            return read
        page = read.ok_value
        # The pages are not one snapshot: a change made after the first page
        # may or may not be in a later one. A watch that starts at the
        # revision of the first page reports such changes again instead of
        # missing some.
        if first_revision is None:
            first_revision = page.revision
        found += page.items
        if not page.has_more:
            state = ServiceState(first_revision, _history_id(calls.era.current))
            return Ok((found, state))
        query = {**query, "after": found[-1].key}


@dialect.open_watch.register
def _(
    store: StoreDialect,
    calls: service_calls.ServiceCalls,
    request: dialect.WatchRequest,
) -> Result[dialect.WatchStream, errors.PlatformError]:
    return Ok(_PollStream(calls, request, store.wait_s))


@dialect.read_changes.register
def _(
    store: StoreDialect,
    calls: service_calls.ServiceCalls,
    prefix: str,
    after_revision: int,
    purpose: str,
) -> Result[dialect.WatchMessage, errors.PlatformError]:
    query = {
        "prefix": prefix,
        "after": str(after_revision),
        "wait-ms": str(_MIN_WAIT_MS),
    }
    call = _read_call("/kv-watch", query, "changes", purpose)
    return service_calls.decoded(
        call,
        calls.send(call),
        lambda answer: dialect.WatchMessage(
            _decode_events(answer),
            ServiceState(
                _count(answer, "store-revision"),
                _history_id(calls.era.current),
            ),
        ),
    )


@dialect.compare_revisions.register
def _(
    store: StoreDialect,
    calls: service_calls.ServiceCalls,
    expected: Sequence[Guard],
    purpose: str,
) -> Result[dialect.ChangedKeys, errors.PlatformError]:
    # Reads return whole values. A transaction that changes nothing compares the
    # revisions in the store.
    body = {"expected": _rows(expected), "puts": [], "deletes": []}
    call = service_calls.Call("/kv-txn", body, "compare", purpose, False)
    sent = calls.send(call)
    if isinstance(sent, Ok):
        return Ok({})
    error = sent.err_value
    read_each = dialect.compare_revisions.dispatch(object)
    if isinstance(error, errors.ConditionFailedError):
        decoded = service_calls.decoded(
            call, Ok(dict(error.answer)), _decode_items
        )
        if isinstance(decoded, Err):
            return decoded
        found = decoded.ok_value
        # A deletion ends the use of a server, so it is not inferred from an
        # item that is missing in the response.
        missing = [one for one in expected if one.key not in found]
        return read_each(store, calls, missing, purpose).map(
            lambda deleted: {**_changed(expected, found), **deleted}
        )
    if isinstance(error, errors.PlatformRefusedError):
        # The store may refuse transactions on keys that are not written here.
        return read_each(store, calls, expected, purpose)
    return Err(error)


def _decode_items(answer: Mapping[str, Any]) -> dict[str, KeyValue]:
    items = [_decode_item(item) for item in answer["items"]]
    return {item.key: item for item in items if item.mod_revision > 0}


def _changed(
    expected: Iterable[Guard], found: Mapping[str, KeyValue]
) -> dialect.ChangedKeys:
    return {
        one.key: found[one.key]
        for one in expected
        if one.key in found and found[one.key].mod_revision != one.mod_revision
    }


def _rows(expected: Iterable[Guard]) -> list[dict[str, Any]]:
    return [{"key": one.key, "revision": one.mod_revision} for one in expected]


@dialect.read_revision.register
def _(
    store: StoreDialect,
    calls: service_calls.ServiceCalls,
    key: str,
    purpose: str,
) -> Result[int, errors.PlatformError]:
    # The page behind the key is empty unless longer keys begin with it, so no
    # value is read.
    query = {"prefix": key, "after": key}
    call = _read_call("/kv-range", query, "revision", purpose)
    return service_calls.decoded(
        call,
        calls.send(call),
        lambda answer: _count(answer, "store-revision"),
    )


@dialect.read_key.register
def _(
    store: StoreDialect,
    calls: service_calls.ServiceCalls,
    key: str,
    purpose: str,
) -> Result[KeyValue | None, errors.PlatformError]:
    # The store responds to a read of a single missing key with 404, as it does
    # to a wrong path. A range read returns an empty list instead.
    read = dialect.read_prefix(store, calls, key, purpose)
    return read.map(
        lambda reading: next((kv for kv in reading[0] if kv.key == key), None)
    )


@dialect.write_key.register
def _(
    store: StoreDialect,
    calls: service_calls.ServiceCalls,
    write: dialect.KeyWrite,
) -> Result[KeyValue, errors.PlatformError]:
    body = {
        "expected": _rows(write.guards),
        "puts": _puts(write),
        "deletes": [write.key] if write.value is None else [],
    }
    call = service_calls.Call("/kv-txn", body, "txn", write.purpose, True)
    sent = service_calls.decoded(
        call, calls.send(call), lambda answer: _count(answer, "revision")
    )
    if isinstance(sent, Err):
        error = sent.err_value
        if isinstance(error, errors.ConditionFailedError):
            return Err(errors.RevisionConflictError(write.key))
        return Err(error)
    revision = sent.ok_value
    is_new = Guard(write.key, 0) in write.guards
    return Ok(
        KeyValue(
            write.key,
            write.value or b"",
            revision if is_new else 0,
            revision,
            write.lease_id,
        )
    )


@dialect.grant_lease.register
def _(
    store: StoreDialect,
    calls: service_calls.ServiceCalls,
    ttl_s: float,
    purpose: str,
) -> Result[int, errors.PlatformError]:
    body = {"ttl-ms": int(ttl_s * _MS_PER_S)}
    call = service_calls.Call("/kv-lease", body, "lease_grant", purpose, False)
    return service_calls.decoded(
        call, calls.send(call), lambda answer: _count(answer, "lease")
    )


@dialect.keep_alive.register
def _(
    store: StoreDialect,
    calls: service_calls.ServiceCalls,
    lease_id: int,
    purpose: str,
) -> Result[float, errors.PlatformError]:
    path = f"/kv-keep/{lease_id}"
    call = service_calls.Call(path, {}, "lease_keepalive", purpose, False)
    sent = service_calls.decoded(
        call,
        calls.send(call),
        lambda answer: stated_numbers.figure(answer["ttl-ms"], "ttl-ms"),
    )
    if isinstance(sent, Ok):
        return Ok(sent.ok_value / _MS_PER_S)
    if isinstance(sent.err_value, errors.PlatformRefusedError):
        return Err(errors.AuthorityLostError(f"lease {lease_id} has expired"))
    return Err(sent.err_value)


@dialect.revoke.register
def _(
    store: StoreDialect,
    calls: service_calls.ServiceCalls,
    lease_id: int,
    purpose: str,
) -> Result[None, errors.PlatformError]:
    path = f"/kv-lease-end/{lease_id}"
    call = service_calls.Call(
        path, None, "lease_revoke", purpose, False, method="DELETE"
    )
    return calls.send(call).map(lambda _: None)


def _history_id(era: int) -> str:
    return str(era)


def _puts(write: dialect.KeyWrite) -> list[dict[str, Any]]:
    if write.value is None:
        return []
    value = base64.b64encode(write.value).decode()
    return [{"key": write.key, "value": value, "lease": write.lease_id}]


class _PollStream:
    """A watch that is a sequence of long-poll calls."""

    def __init__(
        self,
        calls: service_calls.ServiceCalls,
        request: dialect.WatchRequest,
        max_wait_s: float,
    ):
        self._calls = calls
        self._request = request
        self._max_wait_s = max_wait_s
        self._wait_s = 0.0
        self._poll: service_calls.Poll | None = None
        self._revision = request.known_revision
        self._had_changes = False
        self._is_batching = False
        self._is_finished = False

    def read(self) -> dialect.WatchMessage | None:
        if self._is_finished:
            return None
        if self._had_changes:
            self._batch_changes()
        poll = self._get_poll()
        query = {
            "prefix": self._request.prefix,
            "after": str(self._revision),
            "wait-ms": str(int(self._wait_s * _MS_PER_S)),
        }
        answered = poll.send(
            _read_call("/kv-watch", query, "watch", self._request.purpose)
        )
        if isinstance(answered, Err):
            return self._handle_error(answered.err_value)
        message = answered.ok_value
        try:
            events = _decode_events(message)
            self._revision = _count(message, "store-revision")
        except service_calls.DECODE_ERRORS as error:
            raise ValueError(f"malformed changes: {error!r}") from error
        self._had_changes = bool(events)
        # A probe after a failure ends here: the store responds, so the next
        # watch may use long waits again.
        self._is_finished = self._request.after_failure
        return dialect.WatchMessage(events, self._state())

    def _batch_changes(self) -> None:
        self._is_batching = True
        try:
            gevent.sleep(_BATCH_DELAY_S)
        finally:
            self._is_batching = False

    def _get_poll(self) -> service_calls.Poll:
        """Returns the connection, a new one if the maximum wait has changed."""
        wait_s = min(self._max_wait_s, self._request.silence_timeout_s())
        if self._request.after_failure:
            wait_s = min(wait_s, _PROBE_WAIT_S)
        if self._poll is None or wait_s != self._wait_s:
            self.close()
            self._poll = self._calls.open_long_poll(
                attempt=self._request.attempt,
                timeout_s=wait_s + _ANSWER_MARGIN_S,
            )
            self._wait_s = wait_s
        return self._poll

    def _handle_error(
        self, error: errors.PlatformError
    ) -> dialect.WatchMessage:
        if isinstance(error, errors.HistoryGoneError):
            return dialect.WatchMessage((), self._state(), is_canceled=True)
        raise ConnectionError(error.message)

    def _state(self) -> ServiceState:
        era = self._poll.era if self._poll is not None else era_module.NO_ERA
        return ServiceState(self._revision, _history_id(era))

    @property
    def is_busy(self) -> bool:
        is_receiving = self._poll is not None and self._poll.is_receiving
        return is_receiving or self._is_batching

    def close(self) -> None:
        if self._poll is not None:
            self._poll.close()


def _read_call(
    path: str, query: Mapping[str, str], kind: str, purpose: str
) -> service_calls.Call:
    target = f"{path}?{urllib.parse.urlencode(query)}"
    return service_calls.Call(target, None, kind, purpose, False, method="GET")


class _Page(NamedTuple):
    """One page of a range.

    Attributes:
        revision: Revision of the store.
        items: The keys of the page.
        has_more: Whether another page follows.
    """

    revision: int
    items: list[KeyValue]
    has_more: bool


def _decode_page(answer: Mapping[str, Any]) -> _Page:
    items = [_decode_item(item) for item in answer["items"]]
    return _Page(
        _count(answer, "store-revision"),
        items,
        bool(answer.get("has-more")) and bool(items),
    )


def _decode_events(answer: Mapping[str, Any]) -> tuple[WatchEvent, ...]:
    return tuple(_decode_event(event) for event in answer["events"])


def _count(fields: Mapping[str, Any], name: str) -> int:
    return stated_numbers.count_or_text(fields[name], name)


def _decode_item(item: Mapping[str, Any]) -> KeyValue:
    # ``revision`` is the revision of the last change. ``created`` is the
    # revision at which the key was created, not a time.
    return KeyValue(
        str(item["key"]),
        base64.b64decode(item["value"]),
        _count(item, "created"),
        _count(item, "revision"),
        _count(item, "lease") if "lease" in item else 0,
    )


def _decode_event(event: Mapping[str, Any]) -> WatchEvent:
    if event.get("removed"):
        deleted = KeyValue(str(event["key"]), b"", 0, _count(event, "revision"))
        return WatchEvent("delete", deleted)
    return WatchEvent("put", _decode_item(event))
