"""Whatever number a decoder accepts can be encoded and used again."""

import json
import math
import unittest
import unittest.mock
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from result import Err, Ok, Result

from mulberrywharf import clock, wire_numbers
from mulberrywharf.authority import order_records
from mulberrywharf.crashes import crash_records
from mulberrywharf.duties import capacity_records, client, usage_reporter
from mulberrywharf.engines import load_client, load_reader, role_orders, streams
from mulberrywharf.nodes import claim_ownership, claims, codec, messages
from mulberrywharf.peers import (
    customer_demand_codec,
    handover_codec,
    limit_codec,
)
from mulberrywharf.platform import (
    documents,
    duties,
    orders,
    server_records,
    store,
)
from mulberrywharf.platform_service import (
    dialect,
    etcd,
    json_text,
    key_value,
)
from mulberrywharf.policy import (
    crash_suspects,
    customer_meter,
    limit_grants,
    prefix_index,
)
from mulberrywharf.routes import table
from tests import (
    builders_authority,
    test_crash_records,
    test_handover,
)
from tests import builders_routes as build

NUMBERS = (
    "-1",
    "0",
    str(2**31),
    str(2**53),
    str(2**63),
    str(2**70),
    "9" * 400,
    "1e308",
    "1e400",
    "9" * 5000,
    "0.5",
    "1.0",
    "-1e308",
    str(2**64),
    "false",
    "[5]",
    "{}",
    "Infinity",
    "NaN",
    "-0.0",
    "true",
    '"5"',
    '"nan"',
    '"inf"',
    "null",
)
MARKER = "\u2603"
SCALING = {
    "min-instances": 1,
    "max-instances": 12,
    "boot-timeout-s": 4,
    "spot-price": 0.2,
    "zone-prices": {"zone-a": 0.85},
}
SERVER = build.server()


class Field(NamedTuple):
    """A numeric field of one kind of message.

    Attributes:
        label: Names the field in failures.
        message: A sound message with ``MARKER`` in place of the number.
        use: Decodes a message; encodes or uses what was accepted.
    """

    label: str
    message: str
    use: Callable[[bytes], None]


def fields(
    kind: str, sound: Any, use: Callable[[bytes], None]
) -> Iterator[Field]:
    """Yields each number in a sound message."""
    for path in _paths(sound):
        copy = json.loads(json.dumps(sound))
        holder = copy
        for step in path[:-1]:
            holder = holder[step]
        holder[path[-1]] = MARKER
        label = f"{kind} {'.'.join(map(str, path))}"
        yield Field(label, json.dumps(copy), use)


def _paths(value: Any) -> Iterator[tuple[Any, ...]]:
    steps: Any = ()
    if isinstance(value, dict):
        steps = value.items()
    elif isinstance(value, list):
        steps = enumerate(value)
    for step, inner in steps:
        if isinstance(inner, int | float) and not isinstance(inner, bool):
            yield (step,)
        yield from ((step, *path) for path in _paths(inner))


def is_count(value: Any, limit: float = 2**63) -> bool:
    return type(value) is int and 0 <= value < limit


def is_finite(value: Any) -> bool:
    return type(value) in (int, float) and 0 <= value < math.inf


def use_report(body: bytes) -> None:
    decoded = orders.OrderDialect().decode_report(SERVER, body)
    if isinstance(decoded, Err):
        return
    report = decoded.ok_value
    counts = (report.running_count, report.waiting_count, report.accepted_count)
    assert all(is_count(count) for count in counts), counts
    order = role_orders.RoleOrder(
        SERVER, "decode", "vm-1", 7, report.accepted_count
    )
    encoded, _ = orders.OrderDialect().encode_order(order)
    assert json.loads(encoded)["expected"] == report.accepted_count


REPORT = {
    "stage": "prefill",
    "running": 2,
    "waiting": 1,
    "busy": False,
    "sequence": 3,
    "born": 1_700_000_000_000,
}


def use_server(body: bytes) -> None:
    decoded = server_records.decode("server-1", body)
    if isinstance(decoded, Err):
        return
    server = decoded.ok_value
    assert is_count(server.slots_count, 2**32)
    assert server.leaves_in_s is None or is_finite(server.leaves_in_s)
    started = server.start.started_unix_ms
    assert started is None or is_count(started), started


SERVER_RECORD = {
    **json.loads(build.server_value()),
    "born": 1_700_000_000_000,
    "leaves_ms": 100,
}


def use_routes(body: bytes) -> None:
    decoded = documents.StoredDocuments().decode_routes(body)
    if isinstance(decoded, Err):
        return
    routes = decoded.ok_value
    assert is_count(routes.version), routes.version
    assert is_finite(routes.longest_timeout_s())
    for path in ("/safe/x", "/stream/x"):
        route = routes.match(build.HOST, path)
        assert route is not None
        _hand_over(route)
        assert sum(one.weight for one in route.destinations) < math.inf
    for service in routes.services.values():
        assert is_count(service.connections_limit_count)
        if service.engine is not None:
            _transfer(service.engine)
        if service.scaling is not None:
            assert service.scaling.boot_s <= 86_400, service.scaling
    assert routes.limits is not None
    # None leaves the built-in limit.
    assert all(limit is None or is_finite(limit) for limit in routes.limits), (
        routes.limits
    )
    assert routes.customers is not None


def _hand_over(route: table.Route) -> None:
    assert 0 <= route.priority <= LOWEST_PRIORITY, route.priority
    handed = test_handover.handed_request(
        route=handover_codec.HandedRoute(
            route.name,
            route.kind,
            route.attempts_limit_count,
            route.priority,
            route.target_s,
            route.gap_target_s,
        )
    )
    assert handover_codec.decode(handover_codec.encode(handed)).is_ok()


def _transfer(traits: table.EngineTraits) -> None:
    assert is_finite(10_000_000 * traits.kv_token_bytes)
    assert is_finite(
        10_000_000 * traits.kv_token_bytes / traits.link_bytes_per_s
    )
    assert is_finite(traits.handle_ttl_s)
    assert is_count(traits.slots_count)
    assert is_count(traits.kv_tokens)


def _routes_document() -> dict[str, Any]:
    document = build.routes_document(
        tenants=[{"name": "c", "api-keys": ["key"], "priority": 3}]
    )
    document["services"][0]["scaling"] = SCALING
    return document


LOWEST_PRIORITY = 9


def use_usage(body: bytes) -> None:
    reports = usage_reporter.decode_record(body)
    encoded = usage_reporter.encode_record(reports)
    assert usage_reporter.decode_record(encoded) == reports
    for report in reports:
        assert is_count(report.window)
        assert all(is_count(count) for count in report.counts.values())
        identity = client.HolderIdentity("vm-1", 7)
        duties.DutyDialect().encode_usage(report, identity)


def use_capacity(body: bytes) -> None:
    book = capacity_records.OrderBook()
    book.load(body, 0.0)
    decoded = capacity_records.decode(body)
    assert capacity_records.decode(book.encode(7)) == decoded
    for recorded in decoded:
        assert is_count(recorded.order.desired_count, 2**20)
        identity = client.HolderIdentity("vm-1", 7)
        duties.DutyDialect().encode_capacity(recorded.order, identity)


CAPACITY = {
    "number": 7,
    "orders": [
        {
            "service": "engines",
            "availability_zone": "zone-a",
            "is_reclaimable": False,
            "desired_count": 3,
            "is_answered": False,
        }
    ],
}


def use_order_records(body: bytes) -> None:
    decoded = order_records.decode(body)
    if isinstance(decoded, Err):
        return
    encoded = order_records.encode(decoded.ok_value, "write-1")
    assert order_records.decode(encoded) == decoded
    for record in decoded.ok_value.records.values():
        record.drain_order(7)
    decoded.ok_value.without_removed_engines((), 100_000.0)


def _order_records() -> Any:
    records = order_records.ZoneRecords(
        order_records.Holder("vm-1", 7, True),
        {"engine-1": builders_authority.order_record()},
    )
    return json.loads(order_records.encode(records, "write-1"))


def use_load(body: bytes) -> None:
    parsed = load_reader.parse_report(body)
    if isinstance(parsed, Ok):
        figures = [
            one for one in parsed.ok_value if not isinstance(one, str | tuple)
        ]
        assert all(is_finite(one) for one in figures), figures
        assert is_finite(sum(figures) * 1e6)
    load_client.parse_load(body)


def use_cache_events(body: bytes) -> None:
    parsed = load_reader.parse_cache_events(body)
    if isinstance(parsed, Err):
        return
    events, last_sequence = parsed.ok_value
    assert is_count(last_sequence), last_sequence
    index = prefix_index.PrefixIndex.from_config()
    index.apply("engine-1", events, last_sequence, 0.0)


CACHE_EVENTS = {
    "events": [{"sequence": 1, "kind": "stored", "block_hash": "aa"}],
    "last_sequence": 2,
}
LOAD = {
    "engine_id": "engine-1",
    "role": "mixed",
    "state": "ready",
    "models": ["m"],
    "waiting_count": 1,
    "running_count": 2,
    "waiting_prompt_tokens": 3,
    "running_output_tokens": 4,
    "kv_used_share": 0.5,
    "prefill_tokens_per_s": 6.0,
    "decode_tokens_per_s": 7.0,
    "prompt_tokens_total": 8,
    "output_tokens_total": 9,
    "fencing_number": 10,
    "reported_unix_s": 11.0,
}


def use_claims(body: bytes) -> None:
    decoded = claims.decode_segment(body)
    if isinstance(decoded, Err):
        return
    known = claims.Table()
    for record in decoded.ok_value:
        known.apply(record)
        lines = claims.decode_segment(claims.encode_record(record))
        assert lines == Ok([record])
        if isinstance(record, claims.Claimed):
            entry = record.entry
            entry.state(100.0)
            reply = messages.ClaimReply(
                "done", "vm-1", entry.runner_ip, entry.runner_port
            )
            envelope = messages.Envelope("vm-1", 1, reply)
            got = codec.decode(codec.encode(envelope)).unwrap()
            assert got.message == reply, got
            assert is_finite(entry.claimed_unix_s), entry
            assert is_finite(entry.run_until_unix_s), entry
        if isinstance(record, claims.Completed):
            assert is_count(record.status, 2**16), record
    known.expire(100.0)


CLAIMED = {
    "op": "claim",
    "id": "00" * 16,
    "body": "11" * 16,
    "request": "request-1",
    "token": 5,
    "vm": "vm-1",
    "ip": "127.0.0.1",
    "port": 80,
    "at_unix_s": 10.0,
    "until_unix_s": 20.0,
}
COMPLETED = {
    "op": "done",
    "id": "00" * 16,
    "token": 5,
    "status": 200,
    "digest": "22" * 16,
    "answer": None,
}


def use_claim_owner(body: bytes) -> None:
    record = key_value.KeyValue("/claim-owners/3", body, 1, 1, 0)
    for _, address in claim_ownership.owner_addresses([record]):
        assert 0 < address.port < 65_536


def use_blocked(body: bytes) -> None:
    suspects = crash_suspects.CrashSuspects()
    system_clock = clock.SystemClock()
    records = crash_records.CrashRecords(
        None,  # type: ignore[arg-type]
        suspects,
        system_clock,
    )
    records._apply(key_value.KeyValue(test_crash_records.KEY, body, 1, 1, 0))
    now_s = system_clock.monotonic_s()
    for block in suspects.blocks(now_s):
        assert 0 < suspects.kept_for_s(block, now_s) < math.inf
        records._encode_value(block, now_s)


class _Calls:
    """Answers each call with the same body, as it was received."""

    def __init__(self, body: bytes):
        self._body = body
        self.era = self
        self.current = 1

    def send(self, call: Any) -> Result[Any, Any]:
        return Ok(json_text.loads(self._body))


def _use_answers(body: bytes, made: Any) -> None:
    calls: Any = _Calls(body)
    write = dialect.KeyWrite("k", b"v", (key_value.Guard("k", 0),), 0, "test")
    read = dialect.read_prefix(made, calls, "k", "test")
    if isinstance(read, Ok):
        found, state = read.ok_value
        assert is_count(state.revision)
        for one in found:
            assert is_count(one.mod_revision)
            assert is_count(one.create_revision)
            assert is_count(one.lease_id)
    changes = dialect.read_changes(made, calls, "k", 1, "test")
    if isinstance(changes, Ok):
        assert is_count(changes.ok_value.state.revision)
    written = dialect.write_key(made, calls, write)
    if isinstance(written, Ok):
        assert is_count(written.ok_value.mod_revision)
    granted = dialect.grant_lease(made, calls, 5.0, "test")
    if isinstance(granted, Ok):
        assert is_count(granted.ok_value), granted
    renewed = dialect.keep_alive(made, calls, 7, "test")
    if isinstance(renewed, Ok):
        assert is_finite(renewed.ok_value), renewed


def use_store(body: bytes) -> None:
    _use_answers(body, store.StoreDialect())


def use_etcd(body: bytes) -> None:
    _use_answers(body, etcd.EtcdGateway())


def use_etcd_watch(body: bytes) -> None:
    try:
        message = etcd._decode_line(json_text.loads(body))
    except ValueError:
        return
    assert is_count(message.state.revision), message
    for event in message.events:
        assert is_count(event.key_value.mod_revision), event
        assert is_count(event.key_value.create_revision), event
        assert is_count(event.key_value.lease_id), event


ETCD_KEY = {"key": "aw==", "create_revision": 1, "mod_revision": 2, "lease": 3}
ETCD = {
    "header": {"revision": 5, "cluster_id": "1"},
    "kvs": [ETCD_KEY],
    "succeeded": True,
    "responses": [{"response_range": {"kvs": [ETCD_KEY]}}],
    "ID": 7,
    "result": {"TTL": 8},
}
ETCD_WATCH = {
    "result": {
        "header": {"revision": 5, "cluster_id": "1"},
        "events": [{"type": "PUT", "kv": ETCD_KEY}],
    }
}
STORE = {
    "store-revision": 5,
    "revision": 6,
    "lease": 7,
    "ttl-ms": 8000,
    "items": [
        {"key": "k", "value": "", "created": 1, "revision": 2, "lease": 3}
    ],
    "events": [{"key": "k", "revision": 4, "removed": True}],
}


def use_stream_usage(body: bytes) -> None:
    try:
        usage = streams._parse_usage(json.loads(body))
    except ValueError:
        return
    if usage is not None:
        assert all(is_count(count) for count in usage), usage
        json.dumps(sum(usage), allow_nan=False)


ALL: dict[str, tuple[Any, Callable[[bytes], None]]] = {
    "engine report": (REPORT, use_report),
    "server record": (SERVER_RECORD, use_server),
    "routes": (_routes_document(), use_routes),
    "usage record": ([{"window": 3, "counts": {"c": 4}}], use_usage),
    "capacity record": (CAPACITY, use_capacity),
    "order records": (_order_records(), use_order_records),
    "load report": (LOAD, use_load),
    "cache events": (CACHE_EVENTS, use_cache_events),
    "claim": (CLAIMED, use_claims),
    "completion": (COMPLETED, use_claims),
    "claim owner": ({"ip": "127.0.0.1", "port": 80}, use_claim_owner),
    "blocked request": (
        [
            {"server_key": key, "made_output": False, "unix_s": 1e10}
            for key in (1, 2)
        ],
        use_blocked,
    ),
    "store": (STORE, use_store),
    "etcd": (ETCD, use_etcd),
    "etcd watch": (ETCD_WATCH, use_etcd_watch),
    "usage of a stream": (
        {"usage": {"prompt_tokens": 1, "completion_tokens": 2}},
        use_stream_usage,
    ),
}


class DecodedNumbersTest(unittest.TestCase):
    def test_accepted_numbers_can_be_encoded_and_used(self) -> None:
        """Guards against a number that ends a task when it is used."""
        for kind, (sound, use) in ALL.items():
            use(json.dumps(sound).encode())
            for field in fields(kind, sound, use):
                marker = json.dumps(MARKER)
                for number in NUMBERS:
                    with self.subTest(field.label, number=number[:20]):
                        text = field.message.replace(marker, number)
                        field.use(text.encode())


NOT_FINITE = (math.nan, math.inf, -math.inf, -1.0)


def _heartbeat(number: float) -> messages.Heartbeat:
    demand = messages.Demand("customer", number, number)
    return messages.Heartbeat(
        "zone-a", 1, 1, 1, 1, b"", b"", b"", b"", 1, 1, (demand,)
    )


def _limit_message(number: float) -> limit_codec.ClaimMessage:
    statement = limit_grants.LimitStatement(number, 1.0)
    return limit_codec.ClaimMessage(
        2, limit_grants.Claim(1, 1, True, statement, 1)
    )


def _demand_report(number: float) -> customer_demand_codec.Report:
    customers = (customer_meter.CustomerDemand(1, number),)
    report = customer_meter.DemandReport(customers, number, 0, number, number)
    return customer_demand_codec.Report(1, 2, report)


def _node(message: messages.Message) -> Result[Any, Any]:
    envelope = messages.Envelope("vm-1", 1, message)
    return codec.decode(codec.encode(envelope))


OF_PEERS: dict[str, Callable[[float], Result[Any, Any]]] = {
    "heartbeat": lambda number: _node(_heartbeat(number)),
    "claim wait": lambda number: _node(messages.ClaimWait(b"0" * 16, number)),
    "claim request": lambda number: _node(
        messages.ClaimRequest(b"0" * 16, b"1" * 16, "r", 1, "", 1, number)
    ),
    "rates": lambda number: _node(messages.Rates((number,), (number,))),
    "limit": lambda number: limit_codec.decode(
        limit_codec.encode(_limit_message(number), 0.0), 0.0
    ),
    "customer demand": lambda number: customer_demand_codec.decode(
        customer_demand_codec.encode(_demand_report(number))
    ),
}


def _numbers(value: Any) -> Iterator[float]:
    if isinstance(value, int | float):
        yield value
    elif isinstance(value, tuple | list):
        for one in value:
            yield from _numbers(one)


class PeerNumbersTest(unittest.TestCase):
    def test_numbers_of_peers_are_finite(self) -> None:
        """Guards against a timer of no number, which stops the event loop."""
        with unittest.mock.patch.object(
            wire_numbers, "nonnegative", lambda number, limit=None: number
        ):
            decoded = {
                (kind, number): round_trip(number)
                for kind, round_trip in OF_PEERS.items()
                for number in NOT_FINITE
            }
        for (kind, number), result in decoded.items():
            with self.subTest(kind, number=number):
                if isinstance(result, Ok):
                    found = list(_numbers(result.ok_value))
                    self.assertTrue(found)
                    self.assertTrue(all(map(is_finite_or_bool, found)), found)


def is_finite_or_bool(value: Any) -> bool:
    return isinstance(value, bool) or is_finite(value)


if __name__ == "__main__":
    unittest.main()
