"""Calls to the platform that idle nodes cause, and the slope for each node.

Each node runs what every entry VM runs towards the platform: it follows the
configuration, reads the VM list and holds one lease. The last line of the
output is a JSON object. Calls are counted by the stand-ins, not by us; the
split by purpose comes from the clients' own metrics of the same window.
"""

import argparse
import collections
import json
from typing import Any, NamedTuple

import gevent

from mulberrywharf import metrics
from mulberrywharf.platform_service import (
    config_follower,
    config_store,
    key_value,
    lease,
    vm_list,
    watch,
)
from mulberrywharf.rules.document import Document
from standins.key_value import KeyValueStandin
from standins.vm_list import VmListStandin

TARGET_NODES_COUNT = 340

_DEPLOYMENT = "bench"
_LEASE_PURPOSE = "lease"
_SETTLE_S = 1.5
_DOCUMENT: Document = {"rules": [], "default": {"hold": True}}
_COUNTER_NAME = "mulberry_platform_calls_total"


class Window(NamedTuple):
    """What was counted while so many nodes were idle.

    Attributes:
        nodes_count: Nodes that ran.
        opening_calls_by_kind: Calls until all nodes had settled.
        idle_s: Length of the window that follows.
        idle_calls_by_kind: Calls to the key-value service in it.
        idle_calls_by_purpose: The same, as the clients counted them.
        list_reads_count: Reads of the VM list in it.
        full_lists_count: Reads of it that were answered with the list.
    """

    nodes_count: int
    opening_calls_by_kind: dict[str, int]
    idle_s: float
    idle_calls_by_kind: dict[str, int]
    idle_calls_by_purpose: dict[str, int]
    list_reads_count: int
    full_lists_count: int


class _Node:
    """What one entry VM runs towards the platform."""

    def __init__(self, key_value_port: int, vm_list_port: int, ttl_s: float):
        self._client = key_value.KeyValueClient([_endpoint(key_value_port)])
        self._parts: list[Any] = [
            config_follower.ConfigFollower(self._client, _DEPLOYMENT),
            vm_list.VmListReader(_endpoint(vm_list_port)),
            lease.LeaseHolder(
                self._client, ttl_s=ttl_s, purpose=_LEASE_PURPOSE
            ),
        ]

    def start(self) -> None:
        for part in self._parts:
            part.start()

    def close(self) -> None:
        for part in self._parts:
            part.close()
        self._client.close()


def _endpoint(port: int) -> Any:
    return {"ip": "127.0.0.1", "port": port}


def _calls_by_purpose() -> collections.Counter[str]:
    counted: collections.Counter[str] = collections.Counter()
    for labels, value in metrics.counter(_COUNTER_NAME, "").get_all():
        counted[labels["purpose"]] += int(value)
    return counted


def measure(nodes_count: int, idle_s: float, ttl_s: float) -> Window:
    """Counts what so many idle nodes call."""
    service = KeyValueStandin(writes_per_s=0.0, reads_per_s=0.0)
    vms = VmListStandin()
    service.start()
    vms.start()
    vms.set_vms([_vm(index) for index in range(nodes_count)])
    _store_first_configuration(service.port)
    service.calls_by_kind.clear()
    nodes = [_Node(service.port, vms.port, ttl_s) for _ in range(nodes_count)]
    for node in nodes:
        node.start()
    gevent.sleep(_SETTLE_S)
    opening = dict(service.calls_by_kind)
    service.calls_by_kind.clear()
    purposes_before = _calls_by_purpose()
    reads_before_count = vms.reads_count
    full_before_count = vms.full_answers_count
    gevent.sleep(idle_s)
    window = Window(
        nodes_count,
        opening,
        idle_s,
        dict(service.calls_by_kind),
        dict(_calls_by_purpose() - purposes_before),
        vms.reads_count - reads_before_count,
        vms.full_answers_count - full_before_count,
    )
    for node in nodes:
        node.close()
    service.close()
    vms.close()
    return window


def _vm(index: int) -> dict[str, Any]:
    return {
        "vm_id": f"vm-{index}",
        "kind": "entry",
        "availability_zone": "zone-a",
        "ip": "127.0.0.1",
        "port": 1 + index,
    }


def _store_first_configuration(port: int) -> None:
    client = key_value.KeyValueClient([_endpoint(port)])
    store = config_store.ConfigStore(client, _DEPLOYMENT)
    store.change(_DOCUMENT, "bench", "", "first", 0).unwrap()
    client.close()


def slope_per_node(windows: list[Window], kind: str) -> float:
    """Fits calls per second to nodes by least squares."""
    points = [
        (w.nodes_count, w.idle_calls_by_kind.get(kind, 0) / w.idle_s)
        for w in windows
    ]
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    return sum((x - mean_x) * (y - mean_y) for x, y in points) / spread


def summarise(windows: list[Window], ttl_s: float) -> dict[str, Any]:
    """Works out slopes and what they mean at the size aimed at."""
    kinds = sorted({kind for w in windows for kind in w.idle_calls_by_kind})
    slopes = {kind: slope_per_node(windows, kind) for kind in kinds}
    largest = windows[-1]
    reopening_per_s = 1 / (0.875 * watch.DEFAULT_SILENCE_TIMEOUT_S)
    per_node = sum(slopes.values()) + reopening_per_s
    return {
        "lease_ttl_s": ttl_s,
        "windows": [w._asdict() for w in windows],
        "idle_calls_per_node_per_s_by_kind": slopes,
        "idle_calls_per_node_per_s_by_purpose": {
            purpose: count / largest.idle_s / largest.nodes_count
            for purpose, count in largest.idle_calls_by_purpose.items()
        },
        "opening_calls_per_node": sum(largest.opening_calls_by_kind.values())
        / largest.nodes_count,
        "computed_watch_reopenings_per_node_per_s": reopening_per_s,
        "waiting_watches_per_node": 1,
        "vm_list_reads_per_node_per_s": largest.list_reads_count
        / largest.idle_s
        / largest.nodes_count,
        "extrapolated_calls_per_s_at_target": per_node * TARGET_NODES_COUNT,
        "target_nodes_count": TARGET_NODES_COUNT,
    }


def main() -> None:
    """Measures and prints."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, nargs="+", default=[3, 9, 27])
    parser.add_argument("--idle-s", type=float, default=8.0)
    parser.add_argument("--lease-ttl-s", type=float, default=10.0)
    arguments = parser.parse_args()
    windows = [
        measure(count, arguments.idle_s, arguments.lease_ttl_s)
        for count in arguments.nodes
    ]
    for window in windows:
        calls_count = sum(window.idle_calls_by_kind.values())
        print(
            f"{window.nodes_count:4} nodes: "
            f"{calls_count / window.idle_s:8.2f} calls/s idle, "
            f"{sum(window.opening_calls_by_kind.values())} to open"
        )
    print(json.dumps(summarise(windows, arguments.lease_ttl_s)))


if __name__ == "__main__":
    main()
