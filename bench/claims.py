"""Three ways to claim idempotency keys, and what an owner's death costs.

All ways run in this process against the stand-in of the key-value service at
its usual limit of 400 writes a second, one after the other, under the same
offered load:

- ``create``: one compare-and-swap for each request.
- ``memory``: the shard's owner grants from memory; nothing is written, so
  what it granted is lost with it.
- ``group``: the owner commits the claims of some milliseconds in one write.
"""

import argparse
import json
import random
import sys
import time
from collections.abc import Callable
from typing import Any, NamedTuple

import gevent
from hdrh.histogram import HdrHistogram
from result import Ok

from mulberrywharf import fleet
from mulberrywharf.nodes import (
    claim_client,
    claim_log,
    claim_owner,
    claims,
    links,
    server,
)
from mulberrywharf.platform_service import call_budget, key_value
from standins import key_value as key_value_standin

_KEY = b"k" * 32
_DEPLOYMENT = "bench"
_NODES_COUNT = 3
_BODY = claims.digest(b"body")
_BUDGET = call_budget.CallBudget(10_000.0, 10_000)
_PURPOSES = (*claim_owner.PURPOSE_BUDGETS, "bench")
_LONGEST_MS = 60_000
_LIGHT_PER_S = 30.0
_REPLAY_CLAIMS_COUNT = 10_000
_REPLAY_BATCH_COUNT = 20
_REPLAY_ANSWER_BYTES = 100


class Figures(NamedTuple):
    """What one way achieved.

    Attributes:
        granted_per_s: Claims granted.
        refused_share: Of the claims asked for.
        writes_per_claim: Write calls for each claim granted.
        writes_per_s: Write calls, refused ones included.
        p50_ms: Median time to a grant.
        p99_ms: 99th percentile.
    """

    granted_per_s: float
    refused_share: float
    writes_per_claim: float
    writes_per_s: float
    p50_ms: float
    p99_ms: float


class Vms:
    """The VM list."""

    def __init__(self) -> None:
        self.records: list[fleet.VmRecord] = []

    def vms(self) -> list[fleet.VmRecord]:
        """Returns the list."""
        return list(self.records)


class Node:
    """One entry VM's part in claims."""

    def __init__(self, name: str, store_port: int, vms: Vms, ttl_s: float):
        self.server = server.NodeServer("127.0.0.1", 0, name, _KEY)
        self.server.start()
        address = fleet.Address("127.0.0.1", self.server.port)
        record = fleet.VmRecord(name, "entry", "zone", address)
        vms.records.append(record)
        self.links = links.Links(name, _KEY)
        self.store = _store(store_port)
        self.owner = claim_owner.ClaimOwner(
            self.store,
            vms,
            self.links,
            record,
            _DEPLOYMENT,
            lease_ttl_s=ttl_s,
        )
        self.owner.register(self.server)
        self.client = claim_client.ClaimClient(
            self.store, self.links, self.owner, name, address, _DEPLOYMENT
        )
        self.owner.start()

    def close(self) -> None:
        """Stops like a killed process."""
        self.owner.close()
        self.client.close()
        self.links.close()
        self.server.close()
        self.store.close()


def _store(port: int) -> key_value.KeyValueClient:
    return key_value.KeyValueClient(
        [{"ip": "127.0.0.1", "port": port}],
        timeout_s=1.0,
        purpose_budgets=dict.fromkeys(_PURPOSES, _BUDGET),
    )


def _standin() -> key_value_standin.KeyValueStandin:
    standin = key_value_standin.KeyValueStandin()
    standin.start()
    return standin


def _offer(
    standin: key_value_standin.KeyValueStandin,
    ask: Callable[[str], bool],
    per_s: float,
    seconds: float,
) -> Figures:
    """Offers claims at a steady rate, whatever the answers take."""
    histogram = HdrHistogram(1, _LONGEST_MS * 1000, 3)
    granted = refused = 0

    def press(key: str) -> None:
        nonlocal granted, refused
        began_s = time.monotonic()
        if ask(key):
            granted += 1
            histogram.record_value(int(1e6 * (time.monotonic() - began_s)))
        else:
            refused += 1

    writes_before = standin.calls_by_kind["txn"]
    began_s = time.monotonic()
    presses = []
    asked = 0
    while time.monotonic() - began_s < seconds:
        due = int((time.monotonic() - began_s) * per_s)
        while asked < due:
            presses.append(gevent.spawn(press, f"{random.getrandbits(64)}"))
            asked += 1
        gevent.sleep(0.002)
    gevent.joinall(presses, timeout=30)
    took_s = time.monotonic() - began_s
    writes = standin.calls_by_kind["txn"] - writes_before
    return Figures(
        granted / took_s,
        refused / max(1, granted + refused),
        writes / max(1, granted),
        writes / took_s,
        histogram.get_value_at_percentile(50) / 1000,
        histogram.get_value_at_percentile(99) / 1000,
    )


def _way_create(per_s: float, seconds: float) -> Figures:
    standin = _standin()
    store = _store(standin.port)

    def ask(key: str) -> bool:
        value = b"x" * 200
        written = store.compare_and_swap(
            f"/claim/{key}", value, expected_revision=0, purpose="bench"
        )
        return isinstance(written, Ok)

    figures = _offer(standin, ask, per_s, seconds)
    store.close()
    standin.close()
    return figures


def _way_memory(per_s: float, seconds: float) -> Figures:
    standin = _standin()
    table = claims.Table()

    def ask(key: str) -> bool:
        claim = claims.claim_id("c", key)
        if table.get(claim) is not None:
            return False
        entry = claims.Entry(
            claim, _BODY, key, 1, "entry-1", "127.0.0.1", 1, 0.0, 60.0
        )
        table.apply(claims.Claimed(entry))
        return True

    figures = _offer(standin, ask, per_s, seconds)
    standin.close()
    return figures


def _way_group(per_s: float, seconds: float) -> Figures:
    standin, nodes = _start_nodes(10.0)

    def ask(key: str) -> bool:
        node = random.choice(nodes)
        return _is_granted(node.client.claim("c", key, _BODY, key))

    figures = _offer(standin, ask, per_s, seconds)
    _stop(standin, nodes)
    return figures


def _is_granted(result: Any) -> bool:
    return isinstance(result.ok(), claims.ClaimGranted)


def _start_nodes(
    ttl_s: float,
) -> tuple[key_value_standin.KeyValueStandin, list[Node]]:
    standin = _standin()
    vms = Vms()
    nodes = [
        Node(f"entry-{n}", standin.port, vms, ttl_s)
        for n in range(_NODES_COUNT)
    ]
    with gevent.Timeout(30):
        while sum(len(n.owner.owned_shards()) for n in nodes) < (
            claims.SHARD_COUNT
        ):
            gevent.sleep(0.05)
    return standin, nodes


def _stop(
    standin: key_value_standin.KeyValueStandin, nodes: list[Node]
) -> None:
    for node in nodes:
        node.close()
    standin.close()


def _gap_s(ttl_s: float, leave: Callable[[Node], None]) -> float:
    """Returns how long an owner's shards grant nothing after it leaves."""
    standin, nodes = _start_nodes(ttl_s)
    leaving = next(n for n in nodes if n.owner.owned_shards())
    shard = leaving.owner.owned_shards()[0]
    others = [n for n in nodes if n is not leaving]
    began_s = time.monotonic()
    gone = gevent.spawn(leave, leaving)
    with gevent.Timeout(4 * ttl_s + 30):
        while not _is_granted(
            others[0].client.claim("c", _key_in(shard), _BODY, "r")
        ):
            pass
    gap_s = time.monotonic() - began_s
    gone.join(10)
    _stop(standin, nodes)
    return gap_s


def _key_in(shard: int) -> str:
    while True:
        key = f"{random.getrandbits(64)}"
        if claims.shard_of(claims.claim_id("c", key)) == shard:
            return key


def _outage(ttl_s: float, outage_s: float) -> dict[str, float]:
    """Takes the service away and counts what is granted meanwhile."""
    standin, nodes = _start_nodes(ttl_s)
    standin.set_faults(down=True)
    presses = [
        gevent.spawn(
            nodes[n % len(nodes)].client.claim,
            "c",
            f"{n}",
            _BODY,
            "r",
            timeout_s=1.0,
        )
        for n in range(60)
    ]
    gevent.sleep(outage_s)
    granted = sum(_is_granted(press.get(timeout=30)) for press in presses)
    standin.set_faults()
    began_s = time.monotonic()
    with gevent.Timeout(4 * ttl_s + 30):
        while not _is_granted(
            nodes[0].client.claim("c", f"{random.getrandbits(64)}", _BODY, "r")
        ):
            pass
    figures = {
        "granted_while_away_count": granted,
        "asked_while_away_count": len(presses),
        "first_grant_after_s": time.monotonic() - began_s,
    }
    _stop(standin, nodes)
    return figures


def _replay() -> dict[str, float]:
    """Measures how long a new owner reads a long log."""
    standin = key_value_standin.KeyValueStandin(writes_per_s=1e6)
    standin.start()
    store = _store(standin.port)
    owned = store.compare_and_swap(
        "owner", b"", expected_revision=0, purpose="bench"
    ).unwrap()
    ownership = claim_log.Ownership("owner", owned.mod_revision)
    log = claim_log.ClaimLog(store, _DEPLOYMENT, 0, ownership)
    for first in range(0, _REPLAY_CLAIMS_COUNT, _REPLAY_BATCH_COUNT):
        records: list[claims.Record] = []
        for number in range(first, first + _REPLAY_BATCH_COUNT):
            claim = claims.claim_id("c", str(number))
            entry = claims.Entry(
                claim,
                _BODY,
                f"request-{number:020d}",
                random.getrandbits(63),
                "zone-1-entry-001",
                "127.0.0.1",
                8080,
                time.time(),
                time.time() + 60.0,
            )
            answer = b"x" * _REPLAY_ANSWER_BYTES
            records.append(claims.Claimed(entry))
            records.append(
                claims.Completed(claim, entry.token, 200, claim, answer)
            )
        log.append(records, time.time(), 1.0).unwrap()
    stored = store.get_prefix(
        claims.segments_prefix(_DEPLOYMENT, 0), purpose="bench"
    ).unwrap()
    table = claims.Table()
    began_s = time.monotonic()
    reader = claim_log.ClaimLog(store, _DEPLOYMENT, 0, ownership)
    reader.replay(table, time.time()).unwrap()
    took_s = time.monotonic() - began_s
    figures = {
        "claims_count": float(len(table)),
        "segments_count": float(len(stored)),
        "bytes_per_claim": sum(len(kv.value) for kv in stored) / len(table),
        "replay_s": took_s,
    }
    store.close()
    standin.close()
    return figures


def main() -> int:
    """Runs everything and prints one JSON object last."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--per-s", type=float, default=600.0)
    parser.add_argument("--seconds", type=float, default=5.0)
    arguments = parser.parse_args()
    summary: dict[str, Any] = {"offered_per_s": arguments.per_s}
    for name, way in (
        ("create", _way_create),
        ("memory", _way_memory),
        ("group", _way_group),
        ("group_light", _way_group),
    ):
        is_light = name == "group_light"
        per_s = _LIGHT_PER_S if is_light else arguments.per_s
        figures = way(per_s, arguments.seconds)
        summary[name] = figures._asdict()
        print(
            f"{name:11s} {figures.granted_per_s:7.0f} granted/s "
            f"{100 * figures.refused_share:5.1f}% refused "
            f"{figures.writes_per_claim:6.3f} writes/claim "
            f"p50 {figures.p50_ms:.1f} ms p99 {figures.p99_ms:.1f} ms",
            flush=True,
        )
    summary["gap_after_death_s"] = {
        str(ttl_s): _gap_s(ttl_s, Node.close) for ttl_s in (3.0, 10.0)
    }
    summary["gap_at_handover_s"] = _gap_s(
        10.0, lambda node: node.owner.hand_over()
    )
    summary["outage"] = _outage(10.0, 4.0)
    summary["replay"] = _replay()
    summary["group_to_create_granted_ratio"] = (
        summary["group"]["granted_per_s"] / summary["create"]["granted_per_s"]
    )
    print(json.dumps(summary))
    return 0


if __name__ == "__main__":
    sys.exit(main())
