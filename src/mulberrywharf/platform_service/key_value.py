"""Client of the platform's key-value service (JSON gateway of etcd v3).

Reads are tried at every endpoint in turn. A write is tried again only while
it is certain that nothing was written; when its answer is lost the caller
gets ``WriteOutcomeUnknownError`` and reads back before it decides.
"""

import base64
from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple

import gevent
from result import Err, Ok, Result

from mulberrywharf import clock, errors, metrics, settings
from mulberrywharf.platform_service import call_budget, http_calls
from mulberrywharf.platform_service import watch as watch_module
from mulberrywharf.platform_service.key_value_types import (
    Guard,
    KeyValue,
    ServiceState,
    WatchEvent,
    decode_header,
    decode_key_value,
    encode,
    prefix_end,
)

__all__ = ["Guard", "KeyValue", "KeyValueClient", "WatchEvent"]

VALUE_LIMIT_BYTES = 1_000_000

_DEFAULT_CALL_TIMEOUT_S = 2.0
_ROUNDS_COUNT = 2
_BACKOFF_BASE_S = 0.05
_BACKOFF_LIMIT_S = 1.0
_NOTHING_DONE_STATUSES = frozenset({429, 503})

_calls = metrics.counter(
    "mulberry_platform_calls_total",
    "Calls sent to the key-value service, by purpose, kind and outcome.",
)


class _Call(NamedTuple):
    """One call to the service.

    Attributes:
        path: Path of the gateway.
        body: JSON request.
        kind: Short name for the metrics.
        purpose: Whose budget pays for it.
        is_write: Whether a lost answer leaves the outcome open.
    """

    path: str
    body: Mapping[str, Any]
    kind: str
    purpose: str
    is_write: bool


class KeyValueClient:
    """Calls to the key-value service, counted and budgeted by purpose."""

    def __init__(
        self,
        endpoints: Sequence[settings.Endpoint],
        *,
        timeout_s: float = _DEFAULT_CALL_TIMEOUT_S,
        purpose_budgets: Mapping[str, call_budget.CallBudget] | None = None,
        system_clock: clock.Clock | None = None,
    ):
        self._clock = system_clock or clock.SystemClock()
        self._endpoints = [
            http_calls.HttpCalls(endpoint, timeout_s) for endpoint in endpoints
        ]
        self._budgets = call_budget.PurposeBudgets(purpose_budgets)
        self._watches: list[watch_module.Watch] = []

    @classmethod
    def from_config(
        cls,
        config: settings.Settings,
        purpose_budgets: Mapping[str, call_budget.CallBudget] | None = None,
    ) -> "KeyValueClient":
        """Builds the client that the settings describe.

        Args:
            config: Settings of the process.
            purpose_budgets: Budget of each purpose; others get
                ``call_budget.DEFAULT_BUDGET``.
        """
        platform = config["platform"]
        return cls(
            platform["key_value"],
            timeout_s=platform.get("call_timeout_s", _DEFAULT_CALL_TIMEOUT_S),
            purpose_budgets=purpose_budgets,
        )

    def start(self) -> None:
        """Opens nothing: connections open with the first call."""

    def close(self) -> None:
        """Ends every watch and closes the connections."""
        for watch in list(self._watches):
            watch.close()
        self._watches.clear()
        for endpoint in self._endpoints:
            endpoint.close()

    def get(
        self, key: str, *, purpose: str
    ) -> Result[KeyValue | None, errors.PlatformError]:
        """Reads one key; ``Ok(None)`` if it does not exist."""
        return self._range({"key": encode(key)}, purpose).map(
            lambda found: found[0] if found else None
        )

    def get_prefix(
        self, prefix: str, *, purpose: str
    ) -> Result[list[KeyValue], errors.PlatformError]:
        """Reads every key that begins with ``prefix``."""
        body = {"key": encode(prefix), "range_end": prefix_end(prefix)}
        return self._range(body, purpose)

    def _range(
        self, body: Mapping[str, Any], purpose: str
    ) -> Result[list[KeyValue], errors.PlatformError]:
        call = _Call("/v3/kv/range", body, "range", purpose, False)
        return self._send(call).map(
            lambda answer: [
                decode_key_value(kv) for kv in answer.get("kvs", [])
            ]
        )

    def compare_and_swap(
        self,
        key: str,
        value: bytes,
        *,
        expected_revision: int,
        lease_id: int = 0,
        guards: Sequence[Guard] = (),
        purpose: str,
    ) -> Result[KeyValue, errors.PlatformError]:
        """Writes a key if it and all guards are as expected.

        Args:
            key: The key to write.
            value: At most ``VALUE_LIMIT_BYTES``.
            expected_revision: The key's ``mod_revision``, 0 to create it.
            lease_id: The key is deleted when this lease lapses; 0 for none.
            guards: Other keys that must not have changed, such as the key
                that proves this process's authority.
            purpose: Whose budget pays.

        Returns:
            The key as written; ``RevisionConflictError`` with the key that
            had changed; ``WriteOutcomeUnknownError`` if the answer was lost;
            another ``PlatformError`` if nothing was written.
        """
        if len(value) > VALUE_LIMIT_BYTES:
            message = f"{key}: {len(value)} bytes exceed the service's limit"
            return Err(errors.PlatformRefusedError(message))
        put: dict[str, Any] = {
            "key": encode(key),
            "value": base64.b64encode(value).decode(),
        }
        if lease_id:
            put["lease"] = str(lease_id)
        conditions = [Guard(key, expected_revision), *guards]
        operations = [{"requestPut": put}, _revisions_of(key)]
        sent = self._transact(conditions, operations, purpose)
        return sent.map(
            lambda answer: _ranges(answer)[0][0]._replace(value=value)
        )

    def delete(
        self,
        key: str,
        *,
        purpose: str,
        expected_revision: int | None = None,
        guards: Sequence[Guard] = (),
    ) -> Result[int, errors.PlatformError]:
        """Deletes a key, if it and all guards are as expected.

        Args:
            key: The key to delete; an absent one is no failure.
            purpose: Whose budget pays.
            expected_revision: Its ``mod_revision``, None for any.
            guards: As in ``compare_and_swap``.

        Returns:
            The service's revision, or the failures of ``compare_and_swap``.
        """
        conditions = list(guards)
        if expected_revision is not None:
            conditions.insert(0, Guard(key, expected_revision))
        operation = {"requestDeleteRange": {"key": encode(key)}}
        sent = self._transact(conditions, [operation], purpose)
        return sent.map(lambda answer: decode_header(answer).revision)

    def _transact(
        self,
        conditions: Sequence[Guard],
        operations: Sequence[Mapping[str, Any]],
        purpose: str,
    ) -> Result[dict[str, Any], errors.PlatformError]:
        body = {
            "compare": [_comparison(condition) for condition in conditions],
            "success": operations,
            "failure": [
                _revisions_of(condition.key) for condition in conditions
            ],
        }
        call = _Call("/v3/kv/txn", body, "txn", purpose, True)
        sent = self._send(call)
        if isinstance(sent, Err):
            return sent
        answer = sent.ok_value
        if answer.get("succeeded"):
            return sent
        return Err(
            errors.RevisionConflictError(_changed_key(conditions, answer))
        )

    def grant_lease(
        self, ttl_s: float, *, purpose: str
    ) -> Result[int, errors.PlatformError]:
        """Asks for a lease and returns its id.

        Args:
            ttl_s: Its length; the service counts in whole seconds, so a
                part of a second is dropped, and at least one is asked for.
            purpose: Whose budget pays.
        """
        body = {"TTL": str(max(1, int(ttl_s)))}
        # A grant whose answer is lost leaves a lease without keys, which
        # lapses by itself; so it is tried again like a read.
        call = _Call("/v3/lease/grant", body, "lease_grant", purpose, False)
        return self._send(call).map(lambda answer: int(answer["ID"]))

    def keep_alive(
        self, lease_id: int, *, purpose: str
    ) -> Result[float, errors.PlatformError]:
        """Renews a lease.

        Returns:
            Its new length in seconds, counted by the service from when it
            received the renewal; ``AuthorityLostError`` if it has lapsed.
        """
        body = {"ID": str(lease_id)}
        # A renewal that is repeated does no harm, so a lost answer is
        # treated as that of a read.
        call = _Call(
            "/v3/lease/keepalive", body, "lease_keepalive", purpose, False
        )
        sent = self._send(call)
        if isinstance(sent, Err):
            return sent
        ttl_s = float(sent.ok_value.get("result", {}).get("TTL", 0))
        if ttl_s <= 0:
            return Err(errors.AuthorityLostError(f"lease {lease_id} lapsed"))
        return Ok(ttl_s)

    def revoke(
        self, lease_id: int, *, purpose: str
    ) -> Result[None, errors.PlatformError]:
        """Ends a lease; the service deletes its keys at once."""
        body = {"ID": str(lease_id)}
        call = _Call("/v3/lease/revoke", body, "lease_revoke", purpose, False)
        return self._send(call).map(lambda _: None)

    def watch(
        self,
        prefix: str,
        on_change: Callable[[WatchEvent], None],
        *,
        purpose: str,
    ) -> watch_module.Watch:
        """Calls back for each key under ``prefix``, now and on each change.

        Keys that exist are reported first. After a cut the watch resumes
        where it stopped; see ``watch.Watch`` for what it promises.

        Args:
            prefix: Beginning of the keys.
            on_change: Called in the watch's greenlet, one event at a time.
            purpose: Whose budget pays for opening and reading.

        Returns:
            The running watch, to be closed by its owner or with the client.
        """
        watch = watch_module.Watch(self, prefix, on_change, purpose=purpose)
        self._watches.append(watch)
        watch.start()
        return watch

    def forget_watch(self, watch: watch_module.Watch) -> None:
        """Drops a watch that its owner has closed."""
        if watch in self._watches:
            self._watches.remove(watch)

    def read_for_watch(
        self, prefix: str, *, purpose: str
    ) -> Result[tuple[list[KeyValue], ServiceState], errors.PlatformError]:
        """Reads a prefix and where the service stood then."""
        body = {"key": encode(prefix), "range_end": prefix_end(prefix)}
        call = _Call("/v3/kv/range", body, "range", purpose, False)
        return self._send(call).map(
            lambda answer: (
                [decode_key_value(kv) for kv in answer.get("kvs", [])],
                decode_header(answer),
            )
        )

    def open_watch(
        self,
        prefix: str,
        start_revision: int,
        *,
        attempt: int,
        silence_s: float,
        purpose: str,
    ) -> Result[http_calls.LineStream, errors.PlatformError]:
        """Opens the stream of one watch at the endpoint of this attempt."""
        if not self._take(purpose):
            return Err(_budget_spent(purpose))
        request = {
            "key": encode(prefix),
            "range_end": prefix_end(prefix),
            "start_revision": str(start_revision),
            "progress_notify": True,
        }
        endpoint = self._endpoints[attempt % len(self._endpoints)]
        try:
            stream = endpoint.open_stream(
                "/v3/watch", {"create_request": request}, silence_s=silence_s
            )
        except (OSError, http_calls.response.HTTPParseError) as error:
            self._count(purpose, "watch", "failed")
            message = f"{endpoint.name}: no watch: {error}"
            return Err(errors.PlatformUnavailableError(message))
        if stream.status != 200:
            stream.close()
            self._count(purpose, "watch", str(stream.status))
            message = f"{endpoint.name}: watch refused with {stream.status}"
            return Err(errors.PlatformUnavailableError(message))
        self._count(purpose, "watch", "ok")
        return Ok(stream)

    def _send(
        self, call: _Call
    ) -> Result[dict[str, Any], errors.PlatformError]:
        """Tries the endpoints in turn while nothing can have been written."""
        failure: errors.PlatformError = errors.PlatformUnavailableError(
            "no endpoint was tried"
        )
        attempts_count = _ROUNDS_COUNT * len(self._endpoints)
        for attempt in range(attempts_count):
            if not self._take(call.purpose):
                return Err(_budget_spent(call.purpose))
            endpoint = self._endpoints[attempt % len(self._endpoints)]
            outcome = self._send_once(endpoint, call)
            if isinstance(outcome, Ok):
                return outcome
            failure = outcome.err_value
            if not isinstance(failure, errors.PlatformUnavailableError):
                return Err(failure)
            if attempt + 1 < attempts_count:
                gevent.sleep(_backoff_s(attempt))
        return Err(failure)

    def _send_once(
        self, endpoint: http_calls.HttpCalls, call: _Call
    ) -> Result[dict[str, Any], errors.PlatformError]:
        sent = endpoint.call("POST", call.path, call.body)
        if isinstance(sent, Err):
            failure = sent.err_value
            self._count(call.purpose, call.kind, failure.code)
            return Err(failure if call.is_write else _as_unavailable(failure))
        answer = sent.ok_value
        self._count(call.purpose, call.kind, str(answer.status))
        if answer.status == 200:
            return Ok(answer.body)
        return Err(_refusal(endpoint.name, call, answer))

    def _take(self, purpose: str) -> bool:
        return self._budgets.take(purpose, self._clock.monotonic_s())

    def _count(self, purpose: str, kind: str, outcome: str) -> None:
        _calls.inc({"purpose": purpose, "kind": kind, "outcome": outcome})


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


def _refusal(
    name: str, call: _Call, answer: http_calls.Answer
) -> errors.PlatformError:
    """Classifies an answer that is not 200 by what it says about effect."""
    message = f"{name}: {call.path} answered {answer.status}"
    if answer.status in _NOTHING_DONE_STATUSES:
        return errors.PlatformUnavailableError(message)
    if answer.status < 500:
        return errors.PlatformRefusedError(message)
    if call.is_write:
        return errors.WriteOutcomeUnknownError(message)
    return errors.PlatformUnavailableError(message)


def _as_unavailable(
    failure: errors.PlatformError,
) -> errors.PlatformUnavailableError:
    if isinstance(failure, errors.PlatformUnavailableError):
        return failure
    return errors.PlatformUnavailableError(failure.message)


def _budget_spent(purpose: str) -> errors.BudgetExceededError:
    return errors.BudgetExceededError(
        f"the call budget for {purpose} is spent; nothing was sent"
    )


def _backoff_s(attempt: int) -> float:
    return http_calls.full_jitter_s(
        attempt, base_s=_BACKOFF_BASE_S, limit_s=_BACKOFF_LIMIT_S
    )
