"""The platform's store as a dialect of the key-value client."""

import base64
import urllib.parse
from collections.abc import Mapping
from typing import Any, NamedTuple

from result import Err, Ok, Result

from mulberrywharf import errors
from mulberrywharf.platform_service import dialect, gateway
from mulberrywharf.platform_service.key_value_types import (
    KeyValue,
    ServiceState,
    WatchEvent,
)

DEFAULT_WAIT_S = 10.0
"""How long the store may keep a watch waiting. Each answer is a call that is
paid for; two watches of nine nodes make 1.8 calls a second at this."""

_ANSWER_MARGIN_S = 1.0
"""Beyond the wait, for an answer of a store that is slow but serves."""

_NO_CLUSTER_ID = ""
"""The store never goes back behind what it acknowledged, and has no id."""

_MS_PER_S = 1000.0


class StoreDialect(NamedTuple):
    """What the store speaks.

    Attributes:
        wait_s: How long a watch may wait for a change.
    """

    wait_s: float = DEFAULT_WAIT_S


@dialect.read_prefix.register
def _(
    spoken: StoreDialect, calls: gateway.Gateway, prefix: str, purpose: str
) -> Result[dialect.Reading, errors.PlatformError]:
    found: list[KeyValue] = []
    first_revision: int | None = None
    after: str | None = None
    while True:
        query = {"prefix": prefix} | ({"after": after} if after else {})
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
            return Ok((found, ServiceState(first_revision, _NO_CLUSTER_ID)))
        after = found[-1].key


@dialect.open_watch.register
def _(
    spoken: StoreDialect, calls: gateway.Gateway, wanted: dialect.WatchRequest
) -> Result[dialect.WatchStream, errors.PlatformError]:
    poll = calls.open_poll(
        attempt=wanted.attempt, timeout_s=spoken.wait_s + _ANSWER_MARGIN_S
    )
    return Ok(_PollStream(poll, wanted, spoken.wait_s))


class _PollStream:
    """A watch made of calls that the store keeps waiting."""

    def __init__(
        self, poll: gateway.Poll, wanted: dialect.WatchRequest, wait_s: float
    ):
        self._poll = poll
        self._wanted = wanted
        self._wait_ms = int(wait_s * _MS_PER_S)
        self._revision = wanted.known_revision

    def read(self) -> dialect.WatchMessage | None:
        query = {
            "prefix": self._wanted.prefix,
            "after": str(self._revision),
            "wait-ms": str(self._wait_ms),
        }
        answered = self._poll.send(
            _read_call("/kv-watch", query, "watch", self._wanted.purpose)
        )
        if isinstance(answered, Err):
            return self._failed(answered.err_value)
        message = answered.ok_value
        self._revision = int(message["store-revision"])
        return dialect.WatchMessage(
            tuple(_decode_event(event) for event in message["events"]),
            self._state(),
        )

    def _failed(self, error: errors.PlatformError) -> dialect.WatchMessage:
        if isinstance(error, errors.HistoryGoneError):
            return dialect.WatchMessage((), self._state(), is_canceled=True)
        raise ConnectionError(error.message)

    def _state(self) -> ServiceState:
        return ServiceState(self._revision, _NO_CLUSTER_ID)

    def close(self) -> None:
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
