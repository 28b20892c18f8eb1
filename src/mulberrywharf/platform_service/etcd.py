"""The JSON gateway of etcd v3 as a dialect of the key-value client."""

import base64
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from result import Err, Ok, Result

from mulberrywharf import errors, stated_numbers
from mulberrywharf.platform_service import dialect, http_calls, service_calls
from mulberrywharf.platform_service.key_value_types import (
    Guard,
    KeyValue,
    WatchEvent,
    decode_header,
    decode_key_value,
    encode_key,
    encode_prefix_end,
)


class EtcdGateway(NamedTuple):
    """The JSON gateway of etcd v3."""


@dialect.read_prefix.register
def _(
    _dialect: EtcdGateway,
    calls: service_calls.ServiceCalls,
    prefix: str,
    purpose: str,
) -> Result[dialect.PrefixRead, errors.PlatformError]:
    body = {"key": encode_key(prefix), "range_end": encode_prefix_end(prefix)}
    call = service_calls.Call("/v3/kv/range", body, "range", purpose, False)
    return service_calls.decoded(
        call,
        calls.send(call),
        lambda answer: (
            [decode_key_value(kv) for kv in answer.get("kvs", [])],
            decode_header(answer),
        ),
    )


@dialect.read_key.register
def _(
    _dialect: EtcdGateway,
    calls: service_calls.ServiceCalls,
    key: str,
    purpose: str,
) -> Result[KeyValue | None, errors.PlatformError]:
    call = service_calls.Call(
        "/v3/kv/range", {"key": encode_key(key)}, "range", purpose, False
    )
    return service_calls.decoded(call, calls.send(call), _first_key)


def _first_key(answer: Mapping[str, Any]) -> KeyValue | None:
    found = answer.get("kvs", [])
    return decode_key_value(found[0]) if found else None


@dialect.open_watch.register
def _(
    _dialect: EtcdGateway,
    calls: service_calls.ServiceCalls,
    request: dialect.WatchRequest,
) -> Result[dialect.WatchStream, errors.PlatformError]:
    create_request = {
        "key": encode_key(request.prefix),
        "range_end": encode_prefix_end(request.prefix),
        "start_revision": str(request.known_revision + 1),
        "progress_notify": True,
    }
    opened = calls.open_stream(
        "/v3/watch",
        {"create_request": create_request},
        attempt=request.attempt,
        silence_timeout_s=request.silence_timeout_s(),
        purpose=request.purpose,
    )
    if isinstance(opened, Err):
        return opened
    return Ok(_EtcdWatchStream(opened.ok_value))


class _EtcdWatchStream:
    """Message stream of one watch, with one JSON object per line."""

    def __init__(self, lines: http_calls.LineStream):
        self._lines = lines

    def read(self) -> dialect.WatchMessage | None:
        while True:
            message = self._lines.read()
            if message is None:
                return None
            if message:
                return _decode_line(message)

    @property
    def is_busy(self) -> bool:
        # All messages arrive in one response that never ends.
        return False

    def close(self) -> None:
        self._lines.close()


def _decode_line(message: dict[str, Any]) -> dialect.WatchMessage:
    try:
        return _decode_message(message.get("result", {}))
    except service_calls.DECODE_ERRORS as error:
        raise ValueError(f"malformed changes: {error!r}") from error


def _decode_message(result: dict[str, Any]) -> dialect.WatchMessage:
    return dialect.WatchMessage(
        tuple(_decode_event(event) for event in result.get("events", [])),
        decode_header(result),
        is_confirmation=bool(result.get("created")),
        is_canceled=bool(result.get("canceled")),
    )


def _decode_event(event: dict[str, Any]) -> WatchEvent:
    # The JSON gateway omits default values; the default type is PUT.
    kind = event.get("type", "PUT")
    return WatchEvent(
        "delete" if kind == "DELETE" else "put", decode_key_value(event["kv"])
    )


@dialect.write_key.register
def _(
    _dialect: EtcdGateway,
    calls: service_calls.ServiceCalls,
    write: dialect.KeyWrite,
) -> Result[KeyValue, errors.PlatformError]:
    operations = [_write_operation(write), _revision_read(write.key)]
    body = {
        "compare": [_compare_clause(guard) for guard in write.guards],
        "success": operations,
        "failure": [_revision_read(guard.key) for guard in write.guards],
    }
    call = service_calls.Call("/v3/kv/txn", body, "txn", write.purpose, True)
    sent = service_calls.decoded(
        call, calls.send(call), lambda answer: _write_result(write, answer)
    )
    return sent.and_then(lambda result: result)


@dialect.grant_lease.register
def _(
    _dialect: EtcdGateway,
    calls: service_calls.ServiceCalls,
    ttl_s: float,
    purpose: str,
) -> Result[int, errors.PlatformError]:
    body = {"TTL": str(max(1, int(ttl_s)))}
    # is_write is False because the call is safe to retry: if the response is
    # lost, the granted lease has no keys and expires by itself.
    call = service_calls.Call(
        "/v3/lease/grant", body, "lease_grant", purpose, False
    )
    return service_calls.decoded(
        call,
        calls.send(call),
        lambda answer: stated_numbers.count_or_text(answer["ID"], "ID"),
    )


@dialect.keep_alive.register
def _(
    _dialect: EtcdGateway,
    calls: service_calls.ServiceCalls,
    lease_id: int,
    purpose: str,
) -> Result[float, errors.PlatformError]:
    body = {"ID": str(lease_id)}
    # is_write is False because the call is safe to retry: renewing twice has
    # no further effect.
    call = service_calls.Call(
        "/v3/lease/keepalive", body, "lease_keepalive", purpose, False
    )
    sent = service_calls.decoded(
        call,
        calls.send(call),
        lambda answer: _ttl_s(answer.get("result", {}).get("TTL", 0)),
    )
    if isinstance(sent, Err):
        return sent
    if not sent.ok_value:
        return Err(errors.AuthorityLostError(f"lease {lease_id} expired"))
    return Ok(float(sent.ok_value))


@dialect.revoke.register
def _(
    _dialect: EtcdGateway,
    calls: service_calls.ServiceCalls,
    lease_id: int,
    purpose: str,
) -> Result[None, errors.PlatformError]:
    body = {"ID": str(lease_id)}
    call = service_calls.Call(
        "/v3/lease/revoke", body, "lease_revoke", purpose, False
    )
    return calls.send(call).map(lambda _: None)


def _ttl_s(stated: Any) -> int:
    # A lease that has expired has no time to live, or a negative one.
    if str(stated).startswith("-"):
        return 0
    return stated_numbers.count_or_text(stated, "TTL")


def _write_result(
    write: dialect.KeyWrite, answer: Mapping[str, Any]
) -> Result[KeyValue, errors.PlatformError]:
    if answer.get("succeeded"):
        return Ok(_written_key(write, answer))
    changed = _conflicting_key(write.guards, answer)
    return Err(errors.RevisionConflictError(changed))


def _written_key(
    write: dialect.KeyWrite, answer: Mapping[str, Any]
) -> KeyValue:
    found = _range_results(answer)[0]
    if not found:
        revision = decode_header(answer).revision
        return KeyValue(write.key, b"", 0, revision)
    return found[0]._replace(value=write.value or b"")


def _write_operation(write: dialect.KeyWrite) -> dict[str, Any]:
    if write.value is None:
        return {"requestDeleteRange": {"key": encode_key(write.key)}}
    put: dict[str, Any] = {
        "key": encode_key(write.key),
        "value": base64.b64encode(write.value).decode(),
    }
    if write.lease_id:
        put["lease"] = str(write.lease_id)
    return {"requestPut": put}


def _compare_clause(guard: Guard) -> dict[str, str]:
    return {
        "key": encode_key(guard.key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(guard.mod_revision),
    }


def _revision_read(key: str) -> dict[str, Any]:
    return {"requestRange": {"key": encode_key(key), "keys_only": True}}


def _range_results(answer: Mapping[str, Any]) -> list[list[KeyValue]]:
    """Returns the keys found by each range of a transaction."""
    return [
        [decode_key_value(kv) for kv in part["response_range"].get("kvs", [])]
        for part in answer.get("responses", [])
        if "response_range" in part
    ]


def _conflicting_key(guards: Sequence[Guard], answer: Mapping[str, Any]) -> str:
    """Returns the key of the first guard that does not hold."""
    for guard, found in zip(guards, _range_results(answer), strict=False):
        revision = found[0].mod_revision if found else 0
        if revision != guard.mod_revision:
            return guard.key
    return guards[0].key
