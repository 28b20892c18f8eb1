"""Gateways of two builds as one fleet over one store."""

import base64
import json
import re
import sys
from typing import Any

import gevent
from gevent import socket

from mulberrywharf.platform import documents
from proofs import mixed_builds
from standins.operators_platform import OperatorsPlatformStandin
from tests import builders_customers, cluster
from tests import builders_routes as build
from tests import test_gateway as gateway
from tests.test_crashing_requests import CrashCase

_GATEWAYS_COUNT = 22
"""Gateways send queue messages only in a fleet of more than 20."""

_HANDOVERS_COUNT = 12
_TARGET_LATENCY_MS = 4000
"""Longer than one simultaneous prompt per gateway takes, so none is refused."""

_HOLDER_KEY = b"mulberrywharf/usage/holder"
_KEY_FIELD = f"x-mulberrywharf-credential: {builders_customers.KEY}\r\n"


class GatewayUpgradeTest(CrashCase):
    """Gateways over one store, the same servers and the same platform."""

    def setUp(self) -> None:  # noqa: D102
        super().setUp()
        self.platform = OperatorsPlatformStandin()
        self.platform.start()
        self.addCleanup(self.platform.close)
        self.fleet: dict[str, Any] = {}
        self.counted_count = 0
        self._write_version(1)
        for number in range(_GATEWAYS_COUNT):
            self._start(f"entry-{number}")
        self._wait_all("mulberry_peers_count", _GATEWAYS_COUNT - 1)

    def _start(self, vm_id: str) -> None:
        ip = f"127.77.32.{int(vm_id.removeprefix('entry-')) + 1}"
        duties = {
            "platform": f"127.0.0.1:{self.platform.port}",
            "lease_ms": 1000,
            "checks_fencing": True,
            "usage": {"window_s": 2, "late_s": 10},
        }
        with mixed_builds.patch_python(vm_id):
            self.fleet[vm_id] = self.start(
                vm_id,
                nodes_listen=f"{ip}:7661",
                revocation={"bound_ms": 2000},
                duties=duties,
            )

    def _stop(self, vm_id: str) -> None:
        stop = self.fleet.pop(vm_id).stop
        self.assertEqual(gevent.get_hub().threadpool.apply(stop), 0)

    def _write_version(self, version: int) -> None:
        tenants = builders_customers.tenants()
        document = build.routes_document(version, tenants=tenants)
        document["routes"][1].pop("traffic-split")
        document["routes"][1]["service"] = "engines"
        document["routes"][1]["target-latency-ms"] = _TARGET_LATENCY_MS
        self.store.put(documents.ROUTES_KEY, json.dumps(document).encode())

    def _metric(self, vm_id: str, name: str, label: str = "") -> float:
        port = self.fleet[vm_id].ready["operators"]
        text = cluster._get(port, "/metrics", {})[1].decode()
        series = re.findall(rf"^{name}({{.*}})? (\S+)$", text, re.MULTILINE)
        return sum(float(value) for labels, value in series if label in labels)

    def _wait_all(self, name: str, value: float) -> None:
        def all_have() -> bool:
            return all(self._metric(each, name) == value for each in self.fleet)

        cluster.wait_until(all_have, f"{name} {value} at all", 60)

    def _ask_each(self, path: str, fields: str, body: str = "body") -> set[Any]:
        """Sends a request to every gateway at once; returns the answers."""

        def ask(port: int) -> tuple[int, int]:
            with socket.create_connection(("127.0.0.1", port)) as sock:
                raw = gateway.request(path, fields=fields, body=body)
                sock.sendall(raw)
                answer = gateway.Answer(gateway.read_to_end(sock))
                return answer.status, answer.body.count(b"data: ")

        ports = [each.ready["callers"] for each in self.fleet.values()]
        return {task.get() for task in [gevent.spawn(ask, p) for p in ports]}

    def _check_serving(self) -> None:
        self.assertEqual(self._ask_each("/safe/x", _KEY_FIELD), {(200, 0)})
        stream = self._ask_each("/stream/x", gateway.PROMPT_FIELDS + _KEY_FIELD)
        self.assertEqual(stream, {(200, 5)})
        self.counted_count += 2 * len(self.fleet)

        def reported_count() -> int:
            windows = self.platform.usage.values()
            return sum(sum(window.values()) for window in windows)

        cluster.wait_until(
            lambda: reported_count() >= self.counted_count, "usage reported"
        )
        self.assertEqual(reported_count(), self.counted_count)
        self.assertEqual(self.platform.conflicts, [])
        received = "mulberry_notices_received_total"
        for vm_id in self.fleet:
            self.assertGreater(self._metric(vm_id, received, '"ok"'), 0)
            self.assertEqual(self._metric(vm_id, received, "malformed"), 0)

    def _holder(self) -> str:
        record = self.store.store.records.get(_HOLDER_KEY)
        return base64.b64decode(record.value).decode() if record else ""

    def test_one_fleet(self) -> None:
        """Usage, queues, routes and the duty pass between the builds."""
        for _ in range(3):
            self._check_serving()
        for vm_id in self.fleet:
            asks = "mulberry_queue_asks_total"
            self.assertGreater(self._metric(vm_id, asks, "answered"), 0)
        self._write_version(2)
        self._wait_all("mulberry_routes_version", 2)
        handovers = {
            mixed_builds.hand_over(self._holder, self._stop, self._start)
            for _ in range(_HANDOVERS_COUNT)
        }
        self.assertLessEqual(mixed_builds.both_ways(), handovers)
        self._wait_all("mulberry_peers_count", _GATEWAYS_COUNT - 1)
        self._check_serving()
        for vm_id in list(self.fleet):
            if mixed_builds.python_of(vm_id) != sys.executable:
                self._stop(vm_id)
        self._check_serving()

    def test_crash_reports(self) -> None:
        """A request that crashed servers of one build is blocked at both."""
        for blocked_count, vm_id in enumerate(("entry-0", "entry-1"), 1):
            for _ in range(3):
                self.send(self.fleet[vm_id], f"/safe/{vm_id}", _KEY_FIELD)
                gevent.sleep(0.6)
            self._wait_all("mulberry_requests_blocked_count", blocked_count)
            crashes_count = len(self.crashes())
            answers = self._ask_each(
                f"/safe/{vm_id}", _KEY_FIELD, "ends whoever runs it"
            )
            self.assertEqual(answers, {(503, 0)})
            self.assertEqual(len(self.crashes()), crashes_count)
