"""Builders for controller tests, including a zone of real processes."""

import base64
import http.client
import json
import signal
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from mulberrywharf import fleet
from mulberrywharf.authority import order_records
from mulberrywharf.platform_service import configuration
from tests import builders_settings, processes

DEPLOYMENT = "prairie"
ZONE = "regina-hall"
CHECKING_KIND = "checks"
IGNORING_KIND = "ignores"

LEASE_KEY = f"/mulberry/{DEPLOYMENT}/controllers/{ZONE}"
ORDERS_KEY = f"/mulberry/{DEPLOYMENT}/orders/{ZONE}"

_POLL_S = 0.02
_LOST_ANSWERS_LIMIT_COUNT = 10


def load_report(
    engine_id: str = "engine-1", **changes: Any
) -> fleet.LoadReport:
    """Returns a report of an idle mixed engine, with fields replaced."""
    report = fleet.LoadReport(
        engine_id=engine_id,
        role="mixed",
        state="ready",
        models=("verdict",),
        prefill_tokens_per_s=20_000.0,
        decode_tokens_per_s=4_000.0,
        reported_unix_s=1_000.0,
    )
    return report._replace(**changes)


def order_record(**changes: Any) -> order_records.OrderRecord:
    """Returns the record of a sent role change, with fields replaced."""
    record = order_records.OrderRecord(
        order_id="order-1",
        rule="day",
        config_version=3,
        fencing_number=7,
        action="set-role",
        role="prefill",
        phase="sent",
        recorded_unix_s=900.0,
    )
    return record._replace(**changes)


def call(
    port: int, method: str, path: str, body: object = None
) -> dict[str, Any]:
    """Calls a stand-in over HTTP and returns the JSON response."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    try:
        data = None if body is None else json.dumps(body)
        headers = {"content-type": "application/json"}
        connection.request(method, path, data, headers)
        return dict(json.loads(connection.getresponse().read() or b"{}"))
    finally:
        connection.close()


def wait_for(
    condition: Callable[[], object],
    limit_s: float = 30.0,
    *,
    poll_s: float = _POLL_S,
) -> bool:
    """Polls until a condition holds; returns False on timeout."""
    end_s = time.monotonic() + limit_s
    while time.monotonic() < end_s:
        if condition():
            return True
        time.sleep(poll_s)
    return bool(condition())


def roles_document(prefill: int, decode: int, mixed: int = 0) -> dict[str, Any]:
    """Returns a configuration with fixed numbers of engines per role."""
    roles = {
        "prefill_count": prefill,
        "decode_count": decode,
        "mixed_count": mixed,
    }
    return {"rules": [], "default": {"roles": roles}}


class Timing(NamedTuple):
    """Timing of a test zone.

    Attributes:
        lease_ttl_s: Length of the controllers' lease, in whole seconds.
        margin_s: Maximum error between clocks.
        user_timeout_s: How long unacknowledged order bytes are retransmitted.
        evaluate_s: Interval between rounds of a controller.
        role_change_s: How long an engine is unavailable for a change.
    """

    lease_ttl_s: float = 1.0
    margin_s: float = 0.1
    user_timeout_s: float = 0.2
    evaluate_s: float = 0.2
    role_change_s: float = 0.3


class Zone:
    """A zone: one process with the external systems, and the controllers."""

    def __init__(
        self,
        *,
        engines: int = 4,
        controllers: int = 2,
        timing: Timing | None = None,
        mechanism_off: str = "",
        gap_s: float = 0.0,
        loads_per_s: float = 0.0,
    ):
        self.timing = timing or Timing()
        self._variant: list[str] = []
        if mechanism_off:
            self._variant += ["--off", mechanism_off]
        if gap_s:
            self._variant += ["--gap-s", str(gap_s)]
        self._host = processes.Process(
            "tests.authority_host",
            f"--engines={engines}",
            f"--controllers={controllers}",
            f"--role-change-s={self.timing.role_change_s}",
            f"--loads-per-s={loads_per_s}",
        )
        self._key_value_port: int = self._host.ready["key_value"]
        self._proxies: dict[str, int] = self._host.ready["proxies"]
        self.engines: dict[str, int] = self._host.ready["engines"]
        self.kinds = {
            engine_id: CHECKING_KIND if index % 2 else IGNORING_KIND
            for index, engine_id in enumerate(self.engines)
        }
        self.controllers: list[processes.Process] = []
        self._version = 0
        self._publish_vms()

    def close(self) -> None:
        """Ends all processes."""
        for process in [*self.controllers, self._host]:
            process.close()

    def _publish_vms(self) -> None:
        vms = [
            {
                "vm_id": engine_id,
                "kind": "engine",
                "availability_zone": ZONE,
                "ip": "127.0.0.1",
                "port": self._proxies[engine_id],
                "state": "live",
                "engine_kind": self.kinds[engine_id],
            }
            for engine_id in self.engines
        ]
        port = self._host.ready["vm_list"]
        call(port, "POST", "/standin/vms", {"vms": vms})

    def set_proxy_faults(self, name: str, **faults: Any) -> None:
        """Sets the faults of a proxy.

        Args:
            name: Id of an engine, or ``key-value-N`` for the connections of
                controller ``entry-N`` to the key-value service.
            **faults: Fields of the proxy's faults.
        """
        body = {"name": name, **faults}
        call(self._host.ready["port"], "POST", "/proxies", body)

    def settings(self, vm_id: str) -> dict[str, Any]:
        """Returns the settings of one controller."""
        index = vm_id.rsplit("-", 1)[1]
        platform: dict[str, Any] = {
            "key_value": [_endpoint(self._proxies[f"key-value-{index}"])],
            "vm_list": _endpoint(self._host.ready["vm_list"]),
            "weight_store": _endpoint(self._host.ready["weight_store"]),
            "call_timeout_s": 0.5,
        }
        return builders_settings.node_settings(
            deployment=DEPLOYMENT,
            vm_id=vm_id,
            availability_zone=ZONE,
            platform=platform,
            engines={"fencing_checking_kinds": [CHECKING_KIND]},
            controller={
                "lease_ttl_s": self.timing.lease_ttl_s,
                "clock_margin_s": self.timing.margin_s,
                "order_user_timeout_s": self.timing.user_timeout_s,
                "evaluate_interval_s": self.timing.evaluate_s,
                "role_change_away_s": self.timing.role_change_s,
            },
        )

    def start_controller(self, index: int) -> processes.Process:
        """Starts controller ``entry-INDEX``, replacing an earlier process."""
        config = self.settings(f"entry-{index}")
        arguments = ["--settings", builders_settings.write_settings(config)]
        module = "mulberrywharf.programs.controller"
        if self._variant:
            module = "tests.controller_without"
            arguments += self._variant
        process = processes.Process(module, *arguments)
        if index < len(self.controllers):
            self.controllers[index].close()
            self.controllers[index] = process
        else:
            self.controllers.append(process)
        return process

    def put_configuration(self, document: dict[str, Any]) -> int:
        """Stores a configuration and returns its version."""
        self._version += 1
        built = configuration.build(
            version=self._version,
            change_id=f"change-{self._version}",
            author="ana",
            changed_unix_s=time.time(),
            document=document,
            audit=[],
        )
        put = {
            "key": _base64(configuration.config_key(DEPLOYMENT).encode()),
            "value": _base64(built.raw),
        }
        self._key_value_call(
            "/v3/kv/txn", {"compare": [], "success": [{"requestPut": put}]}
        )
        return self._version

    def read(self, key: str) -> bytes | None:
        """Returns the value of a key in the key-value service, or None."""
        answer = self._key_value_call(
            "/v3/kv/range", {"key": _base64(key.encode())}
        )
        kvs = answer.get("kvs", [])
        return base64.b64decode(kvs[0]["value"]) if kvs else None

    def _key_value_call(self, path: str, body: object) -> dict[str, Any]:
        for _ in range(_LOST_ANSWERS_LIMIT_COUNT):
            try:
                return call(self._key_value_port, "POST", path, body)
            except http.client.RemoteDisconnected:
                # The fault that drops responses also affects these calls, which
                # are safe to repeat.
                continue
        raise AssertionError(f"{path}: no answer")

    def set_key_value_faults(self, **faults: Any) -> None:
        """Replaces the faults of the key-value service."""
        self._key_value_call("/standin/faults", faults)

    def set_engine_faults(self, engine_id: str, **faults: Any) -> None:
        """Sets the faults of an engine."""
        call(self.engines[engine_id], "POST", "/standin/faults", faults)

    def records(self) -> order_records.ZoneRecords:
        """Returns the zone's order records."""
        value = self.read(ORDERS_KEY)
        if value is None:
            return order_records.EMPTY
        return order_records.decode(value).unwrap()

    def holder_vm_id(self) -> str:
        """Returns the id of the lease holder, or an empty string."""
        value = self.read(LEASE_KEY)
        return "" if value is None else str(json.loads(value)["vm_id"])

    def holder_index(self) -> int | None:
        """Returns the index of the controller that holds the lease, or None."""
        vm_id = self.holder_vm_id()
        return int(vm_id.rsplit("-", 1)[1]) if vm_id else None

    def delete_lease_key(self) -> None:
        """Deletes the lease key while the lease is valid, as operators may."""
        order = {"requestDeleteRange": {"key": _base64(LEASE_KEY.encode())}}
        body = {"compare": [], "success": [order]}
        self._key_value_call("/v3/kv/txn", body)

    def loads(self) -> dict[str, dict[str, Any]]:
        """Returns the load report of every engine."""
        return {
            engine_id: call(port, "GET", "/load")
            for engine_id, port in self.engines.items()
        }

    def role_counts(self) -> tuple[int, int, int]:
        """Returns the numbers of ready prefill, decode and mixed engines."""
        ready = [r for r in self.loads().values() if r["state"] == "ready"]
        return (
            sum(1 for r in ready if r["role"] == "prefill"),
            sum(1 for r in ready if r["role"] == "decode"),
            sum(1 for r in ready if r["role"] == "mixed"),
        )

    def has_converged(self, prefill: int, decode: int, mixed: int = 0) -> bool:
        """Tells whether the roles are as given and no order is in flight."""
        if self.role_counts() != (prefill, decode, mixed):
            return False
        records = self.records().records.values()
        return not any(record.in_flight() for record in records)

    def weight_loads(self) -> list[dict[str, Any]]:
        """Returns the loads that the weight store allowed."""
        port = self._host.ready["weight_store"]
        return list(call(port, "GET", "/standin/log")["loads"])

    def order_logs(self) -> dict[str, list[dict[str, Any]]]:
        """Returns the order log of each engine."""
        return {
            engine_id: call(port, "GET", "/standin/log")["orders"]
            for engine_id, port in self.engines.items()
        }

    def lease_history(self) -> list[dict[str, Any]]:
        """Returns all changes of the lease key, oldest first."""
        log = call(self._key_value_port, "GET", "/standin/log")
        return [e for e in log["history"] if e["key"] == LEASE_KEY]


class Stream:
    """A streaming request that starts now and is read to its end later."""

    def __init__(self, zone: Zone, engine_id: str, *, tokens: int):
        self._connection = http.client.HTTPConnection(
            "127.0.0.1", zone.engines[engine_id], timeout=30
        )
        body = {
            "model": "verdict",
            "prompt": "who works the late shift",
            "max_tokens": tokens,
            "stream": True,
        }
        self._connection.request("POST", "/v1/completions", json.dumps(body))
        self._response = self._connection.getresponse()
        self._first = self._response.readline()

    def finish(self) -> int:
        """Reads the rest; returns the number of tokens, or -1 if it was cut."""
        try:
            lines = [self._first, *self._response.read().splitlines()]
        except http.client.IncompleteRead:
            return -1
        finally:
            self._connection.close()
        events = [line for line in lines if line.startswith(b"data: ")]
        if not events or events[-1].strip() != b"data: [DONE]":
            return -1
        return len(events) - 1


def suspend(process: processes.Process) -> None:
    """Suspends a process at its current instruction."""
    process.signal(signal.SIGSTOP)


def resume(process: processes.Process) -> None:
    """Resumes a suspended process."""
    process.signal(signal.SIGCONT)


def _endpoint(port: int) -> dict[str, Any]:
    return {"ip": "127.0.0.1", "port": port}


def _base64(data: bytes) -> str:
    return base64.b64encode(data).decode()
