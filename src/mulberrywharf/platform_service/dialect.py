"""How a key-value service is read and watched, whatever it speaks.

The client asks through two functions that vary with the dialect's type; what
they return is typed and the same for all. ``EtcdGateway`` is the built-in
dialect; an adapter registers another.
"""

from functools import singledispatch
from typing import Any, NamedTuple, Protocol

from result import Err, Ok, Result

from mulberrywharf import errors
from mulberrywharf.platform_service import gateway, http_calls
from mulberrywharf.platform_service.key_value_types import (
    KeyValue,
    ServiceState,
    WatchEvent,
    decode_header,
    decode_key_value,
    encode,
    prefix_end,
)

Reading = tuple[list[KeyValue], ServiceState]
"""Every key under a prefix, and where the service stood then."""


class EtcdGateway(NamedTuple):
    """The JSON gateway of etcd v3."""


class WatchMessage(NamedTuple):
    """What one message of a watch brings.

    Attributes:
        events: Changes in the order of revisions.
        state: Where the service stood.
        is_start: Whether it only confirms the watch; its state then says
            nothing about what the watch has seen.
        is_canceled: Whether the history that the watch missed is dropped.
    """

    events: tuple[WatchEvent, ...]
    state: ServiceState
    is_start: bool = False
    is_canceled: bool = False


class WatchStream(Protocol):
    """The messages of one watch."""

    def read(self) -> WatchMessage | None:
        """Waits for the next message; None at the end of the stream.

        Raises:
            OSError: The connection broke or was silent for too long.
            HTTPParseError: The answer is not HTTP.
            ValueError: The message is malformed.
        """
        ...

    def close(self) -> None:
        """Ends the watch at the service."""
        ...


class WatchRequest(NamedTuple):
    """A watch to be opened.

    Attributes:
        prefix: Beginning of the keys.
        known_revision: The last revision that was seen.
        known_cluster_id: The service that it was seen at.
        attempt: Chooses the endpoint.
        silence_s: A read fails after this long without a byte.
        purpose: Whose budget pays.
    """

    prefix: str
    known_revision: int
    known_cluster_id: str
    attempt: int
    silence_s: float
    purpose: str


@singledispatch
def read_prefix(
    dialect: Any, calls: gateway.Gateway, prefix: str, purpose: str
) -> Result[Reading, errors.PlatformError]:
    """Reads every key that begins with ``prefix``.

    Args:
        dialect: What the service speaks.
        calls: Its endpoints.
        prefix: Beginning of the keys.
        purpose: Whose budget pays.
    """
    raise TypeError(f"no reading in the dialect {dialect!r}")


@singledispatch
def open_watch(
    dialect: Any, calls: gateway.Gateway, wanted: WatchRequest
) -> Result[WatchStream, errors.PlatformError]:
    """Opens a watch.

    Args:
        dialect: What the service speaks.
        calls: Its endpoints.
        wanted: What to watch.
    """
    raise TypeError(f"no watch in the dialect {dialect!r}")


@read_prefix.register
def _(
    dialect: EtcdGateway, calls: gateway.Gateway, prefix: str, purpose: str
) -> Result[Reading, errors.PlatformError]:
    body = {"key": encode(prefix), "range_end": prefix_end(prefix)}
    call = gateway.Call("/v3/kv/range", body, "range", purpose, False)
    return calls.send(call).map(
        lambda answer: (
            [decode_key_value(kv) for kv in answer.get("kvs", [])],
            decode_header(answer),
        )
    )


@open_watch.register
def _(
    dialect: EtcdGateway, calls: gateway.Gateway, wanted: WatchRequest
) -> Result[WatchStream, errors.PlatformError]:
    request = {
        "key": encode(wanted.prefix),
        "range_end": prefix_end(wanted.prefix),
        "start_revision": str(wanted.known_revision + 1),
        "progress_notify": True,
    }
    opened = calls.open_stream(
        "/v3/watch",
        {"create_request": request},
        attempt=wanted.attempt,
        silence_s=wanted.silence_s,
        purpose=wanted.purpose,
    )
    if isinstance(opened, Err):
        return opened
    return Ok(_EtcdStream(opened.ok_value))


class _EtcdStream:
    """One watch as the gateway streams it, a JSON object a line."""

    def __init__(self, lines: http_calls.LineStream):
        self._lines = lines

    def read(self) -> WatchMessage | None:
        while True:
            message = self._lines.read()
            if message is None:
                return None
            if message:
                return _decode_message(message.get("result", {}))

    def close(self) -> None:
        self._lines.close()


def _decode_message(result: dict[str, Any]) -> WatchMessage:
    return WatchMessage(
        tuple(_decode_event(event) for event in result.get("events", [])),
        decode_header(result),
        is_start=bool(result.get("created")),
        is_canceled=bool(result.get("canceled")),
    )


def _decode_event(event: dict[str, Any]) -> WatchEvent:
    # The JSON gateway leaves out the default, which is PUT.
    kind = event.get("type", "PUT")
    return WatchEvent(
        "delete" if kind == "DELETE" else "put", decode_key_value(event["kv"])
    )
