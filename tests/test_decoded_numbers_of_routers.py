"""Routers refuse what is no number where one belongs, and use the others."""

import json
import math
import unittest
from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from mulberrywharf import _headers, errors, fleet, rules, settings
from mulberrywharf.callers import problems
from mulberrywharf.engines import load_client, load_reader, streams
from mulberrywharf.nodes import codec, messages
from mulberrywharf.platform_service import (
    config_change,
    configuration,
    http_calls,
    json_text,
    vm_list,
    weight_store,
)
from mulberrywharf.policy import estimates, limits, prefix_index
from mulberrywharf.rules import audit_trail
from tests import test_decoded_numbers as decoded_numbers

NO_NUMBERS = (
    "NaN",
    "Infinity",
    "-Infinity",
    "1e400",
    "9" * 5000,
    "true",
    "false",
    "null",
    '"5"',
    '"nan"',
    '"inf"',
    "[5]",
    "{}",
)
NUMBERS = (
    "-1",
    "-1e308",
    "0",
    "-0.0",
    "5e-324",
    "1e-300",
    "0.5",
    "1.0",
    str(2**31),
    str(2**53),
    str(2**63),
    str(2**64),
    str(2**70),
    "9" * 400,
    "1e308",
)


class NumbersTest(unittest.TestCase):
    def check(
        self, kind: str, sound: Any, accepts: Callable[[bytes], bool]
    ) -> None:
        """Puts each number into each numeric field of a message.

        Args:
            kind: Names the message in failures.
            sound: A message that is accepted.
            accepts: Decodes a message and uses what it holds; returns whether
                it was accepted.
        """
        self.assertTrue(accepts(json.dumps(sound).encode()))
        marker = json.dumps(decoded_numbers.MARKER)
        for field in decoded_numbers.fields(kind, sound, accepts):
            for number in NUMBERS + NO_NUMBERS:
                with self.subTest(field.label, number=number[:20]):
                    text = field.message.replace(marker, number)
                    is_accepted = accepts(text.encode())
                    if number in NO_NUMBERS:
                        self.assertFalse(is_accepted)


def use_report(report: fleet.LoadReport) -> None:
    figures = [one for one in report if not isinstance(one, str | tuple)]
    assert all(decoded_numbers.is_finite(one) for one in figures), figures
    vm = fleet.VmRecord(
        "engine-1", "engine", "zone-a", fleet.Address("127.0.0.1", 80), "live"
    )
    view = fleet.EngineView(vm, report, 0.5, 1, 1000, 0, False)
    mean = estimates.fleet_mean([view])
    assert all(math.isfinite(one) for one in mean), mean
    estimate = estimates.estimate(view, 1000, mean, 1.0)
    assert all(math.isfinite(one) for one in estimate), estimate


class _Exchange:
    """An exchange whose answer is one event."""

    def __init__(self, event: bytes):
        self._event = event

    def read_some(self, timeout_s: float) -> Result[bytes, Any]:
        return Ok(self._event)


TOKEN = {
    "id": "request-1",
    "token_index": 1,
    "choices": [{"text": "a", "finish_reason": "stop"}],
    "usage": {"prompt_tokens": 1, "completion_tokens": 2},
}


class EngineNumbersTest(NumbersTest):
    def test_load_read_over_a_new_connection(self) -> None:
        """Guards against loads from outside a slice that fit no estimate."""

        def accepts(body: bytes) -> bool:
            parsed = load_client.parse_load(body)
            if isinstance(parsed, Ok):
                use_report(parsed.ok_value)
            return parsed.is_ok()

        self.check("load report", decoded_numbers.LOAD, accepts)

    def test_polled_load(self) -> None:
        """Guards against polled loads that fit no estimate."""

        def accepts(body: bytes) -> bool:
            parsed = load_reader.parse_report(body)
            if isinstance(parsed, Ok):
                use_report(parsed.ok_value)
            return parsed.is_ok()

        self.check("load report", decoded_numbers.LOAD, accepts)

    def test_cache_events(self) -> None:
        """Guards against an event that empties an engine's known cache."""

        def accepts(body: bytes) -> bool:
            parsed = load_reader.parse_cache_events(body)
            if isinstance(parsed, Ok):
                events, last_sequence = parsed.ok_value
                index = prefix_index.PrefixIndex.from_config()
                index.apply("engine-1", events, last_sequence, 0.0)
                assert index.last_sequence("engine-1") == last_sequence
            return parsed.is_ok()

        self.check("cache events", decoded_numbers.CACHE_EVENTS, accepts)

    def test_tokens(self) -> None:
        """Guards against a token whose place is no integer."""

        def accepts(body: bytes) -> bool:
            exchange: Any = _Exchange(b"data: " + body + b"\n\n")
            stream = streams.EngineStream(
                exchange,
                fleet.Address("127.0.0.1", 80),
                "request-1",
                first_index=1,
            )
            try:
                token = next(iter(stream))
            except errors.EngineError:
                return False
            assert decoded_numbers.is_count(token.index), token
            assert decoded_numbers.is_count(stream.next_index)
            assert token.usage is not None
            assert all(map(decoded_numbers.is_count, token.usage)), token
            return True

        self.check("token", TOKEN, accepts)

    def test_retry_after(self) -> None:
        """Guards against a delay of 309 digits that callers are told."""
        self.assertEqual(_headers.retry_after_s("2"), 2.0)
        self.assertEqual(_headers.retry_after_s(" 0.25 "), 0.25)
        texts = ("1_000", "+5", "0x10", "1e3", "\u0663", "5 5", "", ".")
        for text in NO_NUMBERS + texts:
            with self.subTest(text[:20]):
                self.assertIsNone(_headers.retry_after_s(text))
        for text in NUMBERS:
            with self.subTest(text[:20]):
                delay_s = _headers.retry_after_s(text)
                error = errors.OverloadedError("full", retry_after_s=delay_s)
                told = dict(problems.headers(error, "request-1"))
                self.assertLess(len(told.get("retry-after", "")), 20)


CONFIGURATION = {
    "version": 3,
    "change_id": "change-1",
    "author": "ana",
    "changed_unix_s": 5.0,
    "document": {"rules": [], "default": {}},
    "audit": [
        {
            "version": 3,
            "change_id": "change-1",
            "author": "ana",
            "changed_unix_s": 5.0,
            "note": "",
            "diff": [],
        }
    ],
}


class StoreNumbersTest(NumbersTest):
    def test_configuration(self) -> None:
        """Guards against configurations that routers rank differently."""

        def accepts(body: bytes) -> bool:
            decoded = configuration.decode(body)
            if isinstance(decoded, Err):
                return False
            found = decoded.ok_value
            for one in (found, *map(_entry_rank, found.audit)):
                assert decoded_numbers.is_count(one[0]), one
            assert found.rank() <= found.rank()
            assert decoded_numbers.is_finite(found.changed_unix_s), found
            stored = config_change.StoredConfiguration(found, 1)
            change = config_change.Change(
                found.document, "bo", "", "change-2", found.version, 0
            )
            changed = config_change.next_configuration(change, stored, 6.0)
            assert configuration.decode(changed.raw).is_ok(), changed.version
            demands = messages.Heartbeat(
                "zone-a", found.version, 1, 1, 1, b"", b"", b"", b"", 1, 1, ()
            )
            sent = codec.encode(messages.Envelope("vm-1", 1, demands))
            assert codec.decode(sent).unwrap().message == demands
            return True

        self.check("configuration", CONFIGURATION, accepts)


VM_LIST = {
    "version": 3,
    "vms": [
        {
            "vm_id": "vm-1",
            "kind": "entry",
            "availability_zone": "zone-a",
            "ip": "127.0.0.1",
            "port": 80,
        }
    ],
}


class VmListNumbersTest(NumbersTest):
    def test_list(self) -> None:
        """Guards against a list that replaces or hides later ones."""

        def accepts(body: bytes) -> bool:
            answer = json_text.loads(body)
            reader = vm_list.VmListReader(settings.Endpoint(ip="::1", port=1))
            is_read = reader._apply_answer(answer).is_ok()
            assert decoded_numbers.is_count(reader.version())
            assert (reader.version() > 0) == is_read
            for vm in reader.vms():
                assert 0 < vm.address.port < 65_536
                assert type(vm.address.port) is int
            return is_read and bool(reader.vms())

        self.check("VM list", VM_LIST, accepts)


class WeightStoreNumbersTest(NumbersTest):
    def test_slot(self) -> None:
        """Guards against an engine that is away for ever or no time."""

        def accepts(body: bytes) -> bool:
            answer = http_calls.Answer(200, json_text.loads(body), None, None)
            decoded = weight_store._decode_slot(answer)
            if isinstance(decoded, Ok):
                assert decoded_numbers.is_finite(decoded.ok_value.away_s)
                assert decoded.ok_value.away_s <= 86_400
            return decoded.is_ok()

        self.check("load slot", {"load_id": "1", "away_s": 2.5}, accepts)


def _rule(name: str, when: Any, then: Any) -> Any:
    return {"name": name, "when": when, "then": then}


RULES = {
    "rules": [
        _rule(
            "a",
            {
                "prefill_share_above": 0.5,
                "prefill_share_below": 0.9,
                "queue_delay_above_s": 1.0,
                "queue_delay_below_s": 9.0,
                "engines_lost_above_count": 1,
                "customer": "c",
                "requests_above_per_s": 1.0,
                "requests_below_per_s": 5.0,
                "for_s": 5.0,
            },
            {"roles": {"prefill": 0.5, "decode": 0.5}},
        ),
        _rule(
            "b",
            {"prefill_share_above": 0.6},
            {"load": {"model": "m", "engines_count": 2}},
        ),
        _rule(
            "c",
            {"prefill_share_above": 0.7},
            {"limit": {"customer": "c", "requests_per_s": 2.0}},
        ),
        _rule(
            "d",
            {"prefill_share_above": 0.8},
            {"roles": {"prefill_count": 1, "decode_count": 1}},
        ),
    ],
    "default": {"hold": True},
    "customers": {
        "c": {
            "key_sha256_hex": "0" * 64,
            "requests_per_s": 5.0,
            "tokens_per_s": 5.0,
            "weight": 1.0,
            "priority": 3,
        }
    },
    "services": {
        "s": {
            "idempotent_paths": [],
            "default_idempotent": True,
            "timeout_s": 5.0,
        }
    },
    "models": {"m": {"adapters": [], "versions": []}},
    "shed": {"first_token_target_ms": 500.0, "between_tokens_target_ms": 50.0},
}


class RulesNumbersTest(NumbersTest):
    def test_document(self) -> None:
        """Guards against a limit whose Retry-After has hundreds of digits."""

        def accepts(body: bytes) -> bool:
            parsed = rules.parse(body.decode(), "test")
            if isinstance(parsed, Err):
                return False
            document = parsed.ok_value
            customer = document["customers"]["c"]
            by_rule = document["rules"][2]["then"]["limit"]
            for rate in (
                customer["requests_per_s"],
                customer["tokens_per_s"],
                by_rule["requests_per_s"],
            ):
                use_rate(rate)
            return True

        self.check("rules", RULES, accepts)


def use_rate(rate_per_s: float) -> None:
    limit = limits.CustomerLimit(rate_per_s, rate_per_s)
    node = limits.CustomerLimits.from_config(
        "vm-1", {"c": limit}, 0.0, nodes_count=2
    )
    taken = [node.take("c", 5.0, 0.0) for _ in range(100)]
    for result in taken:
        if isinstance(result, Err):
            told = dict(problems.headers(result.err_value, "request-1"))
            assert len(told.get("retry-after", "")) < 20, rate_per_s


def _entry_rank(entry: audit_trail.AuditEntry) -> tuple[int, float]:
    assert decoded_numbers.is_finite(entry["changed_unix_s"]), entry
    return entry["version"], entry["changed_unix_s"]


if __name__ == "__main__":
    unittest.main()
