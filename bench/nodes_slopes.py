"""What control traffic costs one node, by entry VMs, engines and fleet.

Each setting runs in a process of its own: as many meshes as the zone has
entry VMs, with the real codec over real sockets on loopback and the real
interval of one second. Other zones stand in the VM list and answer at one
listener that reads and drops. Slopes are fitted along each axis; the size
that the design aims at is run as well as extrapolated.
"""

import argparse
import gc
import json
import pathlib
import random
import resource
import statistics
import subprocess
import sys
import time
from typing import Any, NamedTuple

import gevent
from result import Ok

from mulberrywharf import fleet
from mulberrywharf.nodes import links, mesh, server
from mulberrywharf.policy import shares

_ZONE = "zone-0"
_KEY = b"k" * 32
_ZONES_COUNT = 8
_CUSTOMERS_COUNT = 40
_ROTATIONS_PER_ROUND = 1.5

TARGET_ENTRY_VMS_COUNT = 43
TARGET_ENGINES_COUNT = 107
TARGET_ELSEWHERE_COUNT = 1040
"""340 entry VMs and 850 runners, less those of the own zone."""

# An IPv4 header with TCP header and timestamps, for the segment and its ACK.
_WIRE_OVERHEAD_BYTES = 2 * 52

_PAGE_BYTES = resource.getpagesize()


class Setting(NamedTuple):
    """What one process runs.

    Attributes:
        entry_vms_count: Meshes, all of one zone.
        engines_count: Engines of the zone.
        elsewhere_count: VMs of other zones in the VM list.
        measure_s: How long it is measured.
    """

    entry_vms_count: int
    engines_count: int
    elsewhere_count: int
    measure_s: float


class Configuration(NamedTuple):
    """A configuration that never changes."""

    raw: bytes


class Configurations:
    """Stands for the follower of the key-value service."""

    def version(self) -> int:
        """Returns the version."""
        return 1

    def current(self) -> Configuration:
        """Returns the configuration."""
        return Configuration(b"{}")

    def apply_if_newer(self, configuration_bytes: bytes) -> Ok[bool]:
        """Takes nothing."""
        del configuration_bytes
        return Ok(False)


class Vms:
    """The VM list; a fresh list at each reading, as the reader makes it."""

    def __init__(self) -> None:
        self.records: list[fleet.VmRecord] = []

    def vms(self) -> list[fleet.VmRecord]:
        """Returns the list."""
        return list(self.records)


class Node:
    """One entry VM's part in the mesh."""

    def __init__(self, number: int, vms: Vms):
        self.vm_id = f"{_ZONE}-entry-{number:03d}"
        self.server = server.NodeServer("127.0.0.1", 0, self.vm_id, _KEY)
        self.server.start()
        self.links = links.Links(self.vm_id, _KEY)
        self.mesh = mesh.NodeMesh(
            self.vm_id, _ZONE, vms, Configurations(), self.links
        )
        self.mesh.register(self.server)
        address = fleet.Address("127.0.0.1", self.server.port)
        vms.records.append(fleet.VmRecord(self.vm_id, "entry", _ZONE, address))

    def publish(self) -> None:
        """Shares what a router would each second."""
        for vm in self.mesh.engine_slice():
            self.mesh.publish_load(
                fleet.LoadReport(
                    vm.vm_id,
                    "mixed",
                    "ready",
                    ("m",),
                    # Drawn anew, since a pattern would deflate too well.
                    running_count=random.randrange(100),
                    waiting_prompt_tokens=int(random.expovariate(1e-4)),
                    reported_unix_s=time.time(),
                )
            )
        demands = tuple(
            shares.CustomerDemand(
                f"customer-{n:03d}",
                random.uniform(0, 10),
                random.uniform(0, 10_000),
            )
            for n in range(_CUSTOMERS_COUNT)
        )
        self.mesh.publish_demand(
            shares.DemandReport(
                self.vm_id, self._round_number(), 12345, demands
            )
        )

    def _round_number(self) -> int:
        round_s = max(3.0, _ROTATIONS_PER_ROUND * self.mesh.rotation_s())
        return shares.round_number(time.time(), round_s)

    def traffic_bytes(self) -> int:
        """Returns the bytes of frames, both ways."""
        ours, theirs = self.links.traffic, self.server.traffic
        return ours.sent_bytes + theirs.received_bytes

    def frames_count(self) -> int:
        """Returns the frames, both ways."""
        ours, theirs = self.links.traffic, self.server.traffic
        return ours.sent_count + theirs.received_count

    def close(self) -> None:
        """Stops it."""
        self.mesh.close()
        self.links.close()
        self.server.close()


def run_one(setting: Setting) -> dict[str, float]:
    """Runs one setting in this process and returns its figures."""
    bare_bytes = _rss_bytes()
    vms = Vms()
    sink = server.NodeServer("127.0.0.1", 0, "sink", _KEY)
    sink.start()
    _list_others(vms, setting, sink.port)
    nodes = [Node(n, vms) for n in range(setting.entry_vms_count)]
    for node in nodes:
        node.mesh.start()
    publishing = gevent.spawn(_publish_for_ever, nodes)
    gevent.sleep(3.0)
    gc.collect()
    before_bytes = sum(node.traffic_bytes() for node in nodes)
    before_count = sum(node.frames_count() for node in nodes)
    began_s, began_cpu_s = time.monotonic(), time.process_time()
    gevent.sleep(setting.measure_s)
    took_s = time.monotonic() - began_s
    cpu_s = time.process_time() - began_cpu_s
    per_node_s = took_s * len(nodes)
    sent = sum(node.traffic_bytes() for node in nodes) - before_bytes
    frames = sum(node.frames_count() for node in nodes) - before_count
    ages = _load_ages(nodes)
    figures = {
        "entry_vms_count": setting.entry_vms_count,
        "engines_count": setting.engines_count,
        "elsewhere_count": setting.elsewhere_count,
        "core_share": cpu_s / per_node_s,
        "frame_bytes_per_s": sent / per_node_s,
        "wire_bytes_per_s": (sent + frames * _WIRE_OVERHEAD_BYTES) / per_node_s,
        "bare_process_bytes": bare_bytes,
        "node_bytes": (_rss_bytes() - bare_bytes) / len(nodes),
        "load_age_mean_s": statistics.fmean(ages) if ages else -1.0,
        "load_age_p99_s": _p99(ages),
        "loads_known_share": len(ages) / (len(nodes) * setting.engines_count),
        "false_suspicions_count": sum(
            len(node.mesh.membership().suspected) for node in nodes
        ),
    }
    if setting.entry_vms_count >= TARGET_ENTRY_VMS_COUNT:
        figures["detection_s"] = _detection_s(nodes)
    publishing.kill()
    return figures


def _list_others(vms: Vms, setting: Setting, port: int) -> None:
    for number in range(setting.engines_count):
        vms.records.append(
            fleet.VmRecord(
                f"{_ZONE}-engine-{number:03d}",
                "engine",
                _ZONE,
                fleet.Address("127.0.0.1", 1),
            )
        )
    for number in range(setting.elsewhere_count):
        zone = f"zone-{1 + number % (_ZONES_COUNT - 1)}"
        is_entry = number * TARGET_ENTRY_VMS_COUNT % 150 < 43
        address = fleet.Address("127.0.0.1", port)
        kind: fleet.VmKind = "entry" if is_entry else "engine"
        vms.records.append(
            fleet.VmRecord(f"{zone}-{kind}-{number:04d}", kind, zone, address)
        )


def _publish_for_ever(nodes: list[Node]) -> None:
    while True:
        for node in nodes:
            node.publish()
            gevent.sleep(1.0 / len(nodes))


def _load_ages(nodes: list[Node]) -> list[float]:
    return [
        aged.age_s
        for node in nodes
        for aged in node.mesh.coarse_loads().values()
    ]


def _detection_s(nodes: list[Node]) -> float:
    """Kills one node; returns when the last of the others suspects it."""
    dead, *others = nodes
    dead.close()
    began_s = time.monotonic()
    while time.monotonic() - began_s < 30.0:
        if all(dead.vm_id in n.mesh.membership().suspected for n in others):
            return time.monotonic() - began_s
        gevent.sleep(0.1)
    return -1.0


def _p99(values: list[float]) -> float:
    if not values:
        return -1.0
    return sorted(values)[int(0.99 * (len(values) - 1))]


def _rss_bytes() -> int:
    fields = pathlib.Path("/proc/self/statm").read_text().split()
    return int(fields[1]) * _PAGE_BYTES


def _run_apart(setting: Setting) -> dict[str, float]:
    finished = subprocess.run(
        [
            sys.executable,
            "-m",
            "bench.nodes_slopes",
            "--one",
            *(str(value) for value in setting),
        ],
        capture_output=True,
        text=True,
        timeout=120,
        check=True,
    )
    figures: dict[str, float] = json.loads(finished.stdout.splitlines()[-1])
    return figures


def _settings(measure_s: float) -> list[Setting]:
    by_entry_vms = [
        Setting(n, TARGET_ENGINES_COUNT, 0, measure_s) for n in (5, 10, 20)
    ]
    by_engines = [Setting(10, e, 0, measure_s) for e in (50, 500, 1000)]
    return [
        *by_entry_vms,
        *by_engines,
        Setting(10, TARGET_ENGINES_COUNT, TARGET_ELSEWHERE_COUNT, measure_s),
        Setting(
            TARGET_ENTRY_VMS_COUNT,
            TARGET_ENGINES_COUNT,
            TARGET_ELSEWHERE_COUNT,
            measure_s,
        ),
    ]


def _fit(rows: list[dict[str, float]], axis: str, figure: str) -> float:
    """Returns the slope of a figure along an axis, by least squares."""
    return statistics.linear_regression(
        [row[axis] for row in rows], [row[figure] for row in rows]
    ).slope


def _slopes(rows: list[dict[str, float]], figure: str) -> dict[str, float]:
    by_entry_vms, by_engines = rows[0:3], [rows[1], *rows[3:6]]
    by_elsewhere = [rows[1], rows[6]]
    slopes = {
        "per_entry_vm": _fit(by_entry_vms, "entry_vms_count", figure),
        "per_engine": _fit(by_engines, "engines_count", figure),
        "per_vm_elsewhere": _fit(by_elsewhere, "elsewhere_count", figure),
    }
    at = rows[1]
    slopes["extrapolated"] = (
        at[figure]
        + slopes["per_entry_vm"] * (TARGET_ENTRY_VMS_COUNT - 10)
        + slopes["per_vm_elsewhere"] * TARGET_ELSEWHERE_COUNT
    )
    slopes["measured"] = rows[-1][figure]
    return slopes


def main() -> int:
    """Runs all settings one after the other and prints the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--one", nargs=4, help="run one setting here")
    parser.add_argument("--measure-s", type=float, default=6.0)
    arguments = parser.parse_args()
    if arguments.one:
        n, engines, elsewhere, measure_s = arguments.one
        setting = Setting(
            int(n), int(engines), int(elsewhere), float(measure_s)
        )
        print(json.dumps(run_one(setting)), flush=True)
        return 0
    rows = []
    for setting in _settings(arguments.measure_s):
        row = _run_apart(setting)
        rows.append(row)
        print(
            f"{setting.entry_vms_count:4d} entry VMs "
            f"{setting.engines_count:5d} engines "
            f"{setting.elsewhere_count:5d} elsewhere: "
            f"{100 * row['core_share']:.2f}% core "
            f"{row['frame_bytes_per_s']:.0f} B/s frames "
            f"{row['wire_bytes_per_s']:.0f} B/s wire "
            f"{row['node_bytes'] / 1e6:.1f} MB/node "
            f"age {row['load_age_mean_s']:.1f} s",
            flush=True,
        )
    print(json.dumps(_summary(rows)))
    return 0


def _summary(rows: list[dict[str, float]]) -> dict[str, Any]:
    target = rows[-1]
    return {
        "target": target,
        "target_resident_bytes": target["bare_process_bytes"]
        + target["node_bytes"],
        "slopes": {
            figure: _slopes(rows, figure)
            for figure in (
                "core_share",
                "frame_bytes_per_s",
                "wire_bytes_per_s",
                "node_bytes",
            )
        },
        "rows": rows,
    }


if __name__ == "__main__":
    sys.exit(main())
