"""The JSON gateway of etcd v3 as a dialect of the key-value client."""

import base64
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from result import Err, Ok, Result

from mulberrywharf import errors
from mulberrywharf.platform_service import dialect, gateway, http_calls
from mulberrywharf.platform_service.key_value_types import (
    Guard,
    KeyValue,
    WatchEvent,
    decode_header,
    decode_key_value,
    encode,
    prefix_end,
)


class EtcdGateway(NamedTuple):
    """The JSON gateway of etcd v3."""


@dialect.read_prefix.register
def _(
    spoken: EtcdGateway, calls: gateway.Gateway, prefix: str, purpose: str
) -> Result[dialect.Reading, errors.PlatformError]:
    body = {"key": encode(prefix), "range_end": prefix_end(prefix)}
    call = gateway.Call("/v3/kv/range", body, "range", purpose, False)
    return calls.send(call).map(
        lambda answer: (
            [decode_key_value(kv) for kv in answer.get("kvs", [])],
            decode_header(answer),
        )
    )


@dialect.read_key.register
def _(
    spoken: EtcdGateway, calls: gateway.Gateway, key: str, purpose: str
) -> Result[KeyValue | None, errors.PlatformError]:
    call = gateway.Call(
        "/v3/kv/range", {"key": encode(key)}, "range", purpose, False
    )
    return calls.send(call).map(_first_key)


def _first_key(answer: Mapping[str, Any]) -> KeyValue | None:
    found = answer.get("kvs", [])
    return decode_key_value(found[0]) if found else None


@dialect.open_watch.register
def _(
    spoken: EtcdGateway, calls: gateway.Gateway, wanted: dialect.WatchRequest
) -> Result[dialect.WatchStream, errors.PlatformError]:
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
        silence_s=wanted.silence_s(),
        purpose=wanted.purpose,
    )
    if isinstance(opened, Err):
        return opened
    return Ok(_EtcdStream(opened.ok_value))


class _EtcdStream:
    """One watch as the gateway streams it, a JSON object a line."""

    def __init__(self, lines: http_calls.LineStream):
        self._lines = lines

    def read(self) -> dialect.WatchMessage | None:
        while True:
            message = self._lines.read()
            if message is None:
                return None
            if message:
                return _decode_message(message.get("result", {}))

    @property
    def is_busy(self) -> bool:
        # Messages are lines of one answer that never ends.
        return False

    def close(self) -> None:
        self._lines.close()


def _decode_message(result: dict[str, Any]) -> dialect.WatchMessage:
    return dialect.WatchMessage(
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


@dialect.write_key.register
def _(
    spoken: EtcdGateway, calls: gateway.Gateway, wanted: dialect.KeyWrite
) -> Result[KeyValue, errors.PlatformError]:
    operations = [_operation(wanted), _revisions_of(wanted.key)]
    body = {
        "compare": [_comparison(guard) for guard in wanted.guards],
        "success": operations,
        "failure": [_revisions_of(guard.key) for guard in wanted.guards],
    }
    call = gateway.Call("/v3/kv/txn", body, "txn", wanted.purpose, True)
    sent = calls.send(call)
    if isinstance(sent, Err):
        return sent
    answer = sent.ok_value
    if answer.get("succeeded"):
        return Ok(_as_written(wanted, answer))
    changed = _changed_key(wanted.guards, answer)
    return Err(errors.RevisionConflictError(changed))


@dialect.grant_lease.register
def _(
    spoken: EtcdGateway, calls: gateway.Gateway, ttl_s: float, purpose: str
) -> Result[int, errors.PlatformError]:
    body = {"TTL": str(max(1, int(ttl_s)))}
    # A grant whose answer is lost leaves a lease without keys, which
    # lapses by itself; so it is tried again like a read.
    call = gateway.Call("/v3/lease/grant", body, "lease_grant", purpose, False)
    return calls.send(call).map(lambda answer: int(answer["ID"]))


@dialect.keep_alive.register
def _(
    spoken: EtcdGateway, calls: gateway.Gateway, lease_id: int, purpose: str
) -> Result[float, errors.PlatformError]:
    body = {"ID": str(lease_id)}
    # A renewal that is repeated does no harm, so a lost answer is
    # treated as that of a read.
    call = gateway.Call(
        "/v3/lease/keepalive", body, "lease_keepalive", purpose, False
    )
    sent = calls.send(call)
    if isinstance(sent, Err):
        return sent
    ttl_s = float(sent.ok_value.get("result", {}).get("TTL", 0))
    if ttl_s <= 0:
        return Err(errors.AuthorityLostError(f"lease {lease_id} lapsed"))
    return Ok(ttl_s)


@dialect.revoke.register
def _(
    spoken: EtcdGateway, calls: gateway.Gateway, lease_id: int, purpose: str
) -> Result[None, errors.PlatformError]:
    body = {"ID": str(lease_id)}
    call = gateway.Call(
        "/v3/lease/revoke", body, "lease_revoke", purpose, False
    )
    return calls.send(call).map(lambda _: None)


def _as_written(
    wanted: dialect.KeyWrite, answer: Mapping[str, Any]
) -> KeyValue:
    found = _ranges(answer)[0]
    if not found:
        revision = decode_header(answer).revision
        return KeyValue(wanted.key, b"", 0, revision)
    return found[0]._replace(value=wanted.value or b"")


def _operation(wanted: dialect.KeyWrite) -> dict[str, Any]:
    if wanted.value is None:
        return {"requestDeleteRange": {"key": encode(wanted.key)}}
    put: dict[str, Any] = {
        "key": encode(wanted.key),
        "value": base64.b64encode(wanted.value).decode(),
    }
    if wanted.lease_id:
        put["lease"] = str(wanted.lease_id)
    return {"requestPut": put}


def _comparison(condition: Guard) -> dict[str, str]:
    return {
        "key": encode(condition.key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(condition.mod_revision),
    }


def _revisions_of(key: str) -> dict[str, Any]:
    return {"requestRange": {"key": encode(key), "keys_only": True}}


def _ranges(answer: Mapping[str, Any]) -> list[list[KeyValue]]:
    """Returns what each range of a transaction found."""
    return [
        [decode_key_value(kv) for kv in part["response_range"].get("kvs", [])]
        for part in answer.get("responses", [])
        if "response_range" in part
    ]


def _changed_key(conditions: Sequence[Guard], answer: Mapping[str, Any]) -> str:
    """Finds the condition that the service's reading contradicts."""
    for condition, found in zip(conditions, _ranges(answer), strict=False):
        revision = found[0].mod_revision if found else 0
        if revision != condition.mod_revision:
            return condition.key
    return conditions[0].key
