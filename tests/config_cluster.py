"""A cluster whose zones can be cut off from the key-value service.

Changes are made by ``mulberryctl apply`` processes. The checks use the write
history of the service's stand-in and the versions polled from each node.
"""

import base64
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

import gevent

from mulberrywharf.platform_service import configuration
from proofs import audit_checker
from tests import builders_settings, callers_fixture, cluster, processes

DEPLOYMENT = "prairie"
ZONES = ("regina-hall", "saskatoon-hall", "winnipeg-hall")
OBSERVE_INTERVAL_S = 0.05

ROUTER_MECHANISMS = ("neighbours", "put-back", "highest", "readiness")
CTL_MECHANISMS = ("compare", "read-back", "still-holds")
"""Mechanisms that ``tests.config_without`` can disable, by program."""

_POLL_S = 0.02
_CTL_LIMIT_S = 60.0
_SLOW_CALL_S = 0.1
_ACCEPTED_EXIT_CODES = (0, 5)
_CONFLICT_EXIT_CODE = 3


class Apply(NamedTuple):
    """One run of ``mulberryctl apply`` and its result.

    Attributes:
        change_id: Id of the change.
        base_version: The version that the operator edited.
        exit_code: Exit code of the process.
        value: JSON value that it printed.
    """

    change_id: str
    base_version: int
    exit_code: int
    value: dict[str, Any]

    @property
    def is_accepted(self) -> bool:
        """Whether it reported the change as accepted."""
        return self.exit_code in _ACCEPTED_EXIT_CODES

    @property
    def is_conflict(self) -> bool:
        """Whether it reported that another change came first."""
        return (
            self.exit_code == _CONFLICT_EXIT_CODE
            and self.value["error"]["code"] == "config-conflict"
        )

    @property
    def code(self) -> str:
        """The error code, empty if there was no error."""
        return str(self.value.get("error", {}).get("code", ""))


class Write(NamedTuple):
    """One write of the configuration.

    Attributes:
        version: Version of the configuration.
        change_id: Id of the change that wrote it.
        unix_s: Unix time in seconds at which the service stored it.
        configuration: The decoded stored value.
    """

    version: int
    change_id: str
    unix_s: float
    configuration: dict[str, Any]


class VersionObserver:
    """Polls nodes for their configuration version until closed.

    Attributes:
        seen: Observations in the format of ``proofs.audit_checker``, with an
            additional field ``ready``.
    """

    def __init__(self, running: "ConfigCluster"):
        self._cluster = running
        self.seen: list[dict[str, Any]] = []
        self._greenlets: list[gevent.Greenlet] = []

    def follow(self, member: cluster.Member) -> None:
        """Starts polling a node."""
        self._greenlets.append(gevent.spawn(self._follow, member))

    def close(self) -> None:
        """Stops polling."""
        gevent.killall(self._greenlets)

    def first_unix_s(
        self, member: cluster.Member, version: int, *, ready: bool = False
    ) -> float | None:
        """Returns when a node first had at least a version.

        Args:
            member: The node.
            version: The lowest version that counts.
            ready: Whether the node must be ready as well.

        Returns:
            Unix time in seconds of the observation, None if there is none.
        """
        for observation in self.seen:
            if observation["process_id"] != member.process.pid:
                continue
            if observation["version"] >= version and (
                observation["ready"] or not ready
            ):
                return float(observation["unix_s"])
        return None

    def versions(self, member: cluster.Member) -> list[int]:
        """Returns the distinct versions of a node in order of observation."""
        found = [
            observation["version"]
            for observation in self.seen
            if observation["process_id"] == member.process.pid
        ]
        return list(dict.fromkeys(found))

    def _follow(self, member: cluster.Member) -> None:
        while True:
            try:
                status = self._cluster.status(member)
            except (OSError, AssertionError):
                gevent.sleep(OBSERVE_INTERVAL_S)
                continue
            self.seen.append(
                {
                    "vm_id": f"{member.vm_id}",
                    "process_id": member.process.pid,
                    "version": status["config_version"],
                    "ready": status["ready"],
                    "unix_s": time.time(),
                }
            )
            gevent.sleep(OBSERVE_INTERVAL_S)


class ConfigCluster(cluster.Cluster):
    """Three zones, each with a fault proxy for the key-value service.

    Attributes:
        observer: Versions that were observed on nodes.
    """

    def __init__(self, *, controllers: bool = False, off: str = ""):
        """Creates it; no process is started before ``start``.

        Args:
            controllers: Whether each zone has a controller.
            off: Mechanism to disable, see ``tests.config_without``; empty for
                none.
        """
        shape = cluster.Shape(
            zones=ZONES, engines_per_zone=0, controllers=controllers
        )
        super().__init__(shape)
        self._off = off
        self._zone_proxies: dict[str, processes.Process] = {}
        self._directory = tempfile.TemporaryDirectory(prefix="mulberry-test-")
        self._writes_before_restore_count = 0
        self.observer = VersionObserver(self)

    # --- processes --------------------------------------------------------

    def start(self) -> "ConfigCluster":
        """Starts all processes and the polling of each node."""
        super().start()
        for member in self.nodes():
            self.observer.follow(member)
        return self

    def close(self) -> None:
        """Stops all processes."""
        self.observer.close()
        super().close()
        self._directory.cleanup()

    def nodes(self) -> list[cluster.Member]:
        """Returns the running programs, without those that were replaced."""
        members = [*self.routers, *self.controllers]
        return [m for m in members if m.process.poll() is None]

    def _start_platform(self) -> None:
        super()._start_platform()
        upstream = f"{cluster.LOOPBACK}:{self.endpoint('key_value')['port']}"

        def start(_: str) -> processes.Process:
            return processes.Process(
                "standins.fault_proxy", "--upstream", upstream
            )

        self._zone_proxies = dict(
            zip(ZONES, self._each(start, ZONES), strict=True)
        )
        self._proxies += self._zone_proxies.values()

    def _start_program(
        self, program: str, kind: str, vm_id: str, zone: str
    ) -> cluster.Member:
        if program != "router" or self._off not in ROUTER_MECHANISMS:
            return super()._start_program(program, kind, vm_id, zone)
        path = builders_settings.write_settings(self.node_settings(vm_id, zone))
        process = processes.Process(
            "tests.config_without", self._off, "--settings", path
        )
        port = process.ready["nodes"]
        return cluster.Member(vm_id, kind, zone, process, port)

    def node_settings(self, vm_id: str, zone: str) -> dict[str, Any]:
        """Returns settings that use the proxy of the zone for the service."""
        found = super().node_settings(vm_id, zone)
        port = self._zone_proxies[zone].ready["port"]
        proxy = {"ip": cluster.LOOPBACK, "port": port}
        found["platform"] = {**found["platform"], "key_value": [proxy]}
        return found

    # --- faults -----------------------------------------------------------

    def set_zone_proxy(self, zone: str, mode: str) -> None:
        """Sets the fault mode of the zone's proxy to the key-value service."""
        port = self._zone_proxies[zone].ready["control_port"]
        cluster.post_json(port, "/faults", {"mode": mode})

    def lose_answers(self, is_losing: bool) -> None:
        """Makes the service lose the answer of every write, or of none.

        Calls are slow in both cases. If they were fast, concurrent operators
        would rarely read the same version before one of them writes.
        """
        port = self.endpoint("key_value")["port"]
        faults: dict[str, Any] = {"delay_s": _SLOW_CALL_S}
        if is_losing:
            faults["lose_answers_count"] = 1_000_000
        cluster.post_json(port, "/standin/faults", faults)

    def restore_service(self, raw: bytes | None) -> float:
        """Restores the service empty or with an older configuration.

        Args:
            raw: Stored value of the older configuration, None for none.

        Returns:
            Unix time in seconds from which on the service is reachable again.
        """
        for zone in ZONES:
            self.set_zone_proxy(zone, "cut")
        self._writes_before_restore_count = len(self._history())
        port = self.endpoint("key_value")["port"]
        cluster.post_json(port, "/standin/wipe", {})
        if raw is not None:
            self.put(configuration.config_key(DEPLOYMENT), raw)
        for zone in ZONES:
            self.set_zone_proxy(zone, "pass")
        return time.time()

    def replace_router(self, member: cluster.Member) -> cluster.Member:
        """Kills a router and starts another one in its zone."""
        member.process.close()
        self._left.add(member.vm_id)
        name = f"{member.vm_id}-next"
        started = self.start_router(name, member.availability_zone)
        self.observer.follow(started)
        return started

    def start_unlisted_router(self, zone: str) -> cluster.Member:
        """Starts a router that is not in the VM list yet."""
        router = self._start_program("router", "entry", "unlisted", zone)
        self.routers.append(router)
        return router

    # --- operators ----------------------------------------------------------

    def apply_by_ctl(
        self,
        change_id: str,
        base_version: int,
        *,
        wait_s: float = 20.0,
        options: Iterable[str] = (),
    ) -> Apply:
        """Runs ``mulberryctl apply`` with a document specific to the change."""
        path = pathlib.Path(self._directory.name) / f"{change_id}.json"
        path.write_text(json.dumps(document_of(change_id)))
        platform = self.endpoint("key_value")["port"]
        vm_list = self.endpoint("vm_list")["port"]
        command = [sys.executable, "-m"]
        if self._off in CTL_MECHANISMS:
            command += ["tests.config_without", self._off]
        else:
            command += ["mulberrywharf.programs.ctl"]
        command += ["--deployment", DEPLOYMENT, "--output", "json"]
        command += ["--platform", f"{cluster.LOOPBACK}:{platform}"]
        command += ["--vm-list", f"{cluster.LOOPBACK}:{vm_list}", *options]
        command += ["apply", str(path), "--author", change_id, "--note", "why"]
        command += ["--change-id", change_id]
        command += ["--base-version", str(base_version)]
        command += ["--wait-s", str(wait_s)]
        code, output = _run(command)
        return Apply(change_id, base_version, code, json.loads(output))

    # --- observations ---------------------------------------------------------

    def wait_version(
        self, version: int, members: Iterable[cluster.Member] | None = None
    ) -> None:
        """Waits until nodes were observed with a version or a later one."""
        for member in self.nodes() if members is None else members:
            cluster.wait_until(
                lambda m=member: (  # type: ignore[misc]
                    self.observer.first_unix_s(m, version) is not None
                ),
                f"{member.vm_id} runs version {version}",
            )

    def propagation_s(
        self, version: int, members: Iterable[cluster.Member] | None = None
    ) -> list[float]:
        """Returns the seconds from acceptance to in force for each node."""
        asked = list(self.nodes() if members is None else members)
        self.wait_version(version, asked)
        accepted = min(
            write.unix_s for write in self.writes() if write.version == version
        )
        found = [
            self.observer.first_unix_s(member, version) for member in asked
        ]
        return [max(0.0, unix_s - accepted) for unix_s in found if unix_s]

    def collect_logs(self) -> str:
        """Returns the logs of the running programs, not of replaced ones."""
        parts = [f"--- {m.vm_id}\n{m.process.errors()}" for m in self.nodes()]
        return "\n".join(parts)

    def writes(self) -> list[Write]:
        """Returns all configurations that were stored."""
        return list(map(_decode_write, _config_entries(self._history())))

    def writes_since_restore(self) -> list[Write]:
        """Returns the configurations stored since the last restore."""
        since = self._history()[self._writes_before_restore_count :]
        return list(map(_decode_write, _config_entries(since)))

    def newest_version(self) -> int:
        """Returns the highest version that was stored."""
        return max(write.version for write in self.writes())

    def stored_value(self, version: int) -> bytes:
        """Returns the stored value of a version."""
        for entry in _config_entries(self._history()):
            if _decode_write(entry).version == version:
                return base64.b64decode(entry["value"])
        raise AssertionError(f"version {version} was never stored")

    def violations(
        self, applied: Iterable[Apply], *, told_replaced: str = ""
    ) -> list[str]:
        """Checks the writes since the last restore and the nodes' versions.

        Args:
            applied: The runs whose accepted changes must not be lost.
            told_replaced: Id of a change that was reported to its author as
                replaced; its loss is not a violation.
        """
        written = [
            entry
            for entry in self._history()[self._writes_before_restore_count :]
            if not _is_of_change(entry, told_replaced)
        ]
        accepted = [
            {"version": run.value["version"], "change_id": run.change_id}
            for run in applied
            if run.is_accepted
        ]
        seen = [
            {name: observation[name] for name in observation if name != "ready"}
            for observation in self.observer.seen
        ]
        history: Any = {
            "key_value_writes": written,
            "accepted_changes": accepted,
            "seen_versions": seen,
        }
        found = audit_checker.check(history)
        return [f"{v.kind} {v.subject}: {v.detail}" for v in found]

    def _history(self) -> list[dict[str, Any]]:
        port = self.endpoint("key_value")["port"]
        return list(cluster.get_json(port, "/standin/log")["history"])


def document_of(change_id: str) -> Mapping[str, Any]:
    """Returns a document that differs from those of other changes."""
    rule = {
        "name": change_id,
        "when": {"prefill_share_above": 0.5},
        "then": {"hold": True},
    }
    return callers_fixture.document(rules=[rule])


def race_violations(writes: list[Write], applied: list[Apply]) -> list[str]:
    """Checks that accepted changes were stored and refused ones were not."""
    found = []
    stored = {write.change_id: write for write in writes}
    for run in applied:
        write = stored.get(run.change_id)
        if run.is_accepted:
            if write is None or write.configuration["document"] != dict(
                document_of(run.change_id)
            ):
                found.append(
                    f"accepted {run.change_id} is missing or was altered"
                )
        elif not run.is_conflict:
            found.append(f"{run.change_id}: {run.exit_code} {run.code}")
        elif write is not None:
            found.append(f"refused {run.change_id} was stored")
    order = [(w.version, w.change_id) for w in writes]
    audit = writes[-1].configuration["audit"]
    audit_order = [(entry["version"], entry["change_id"]) for entry in audit]
    if audit_order != order[-len(audit_order) :]:
        found.append(f"audit entries {audit_order}, stored {order}")
    return found


def _config_entries(
    history: Iterable[dict[str, Any]],
) -> list[dict[str, Any]]:
    key = configuration.config_key(DEPLOYMENT)
    return [e for e in history if e["type"] == "PUT" and e["key"] == key]


def _is_of_change(entry: dict[str, Any], change_id: str) -> bool:
    found = _config_entries([entry])
    return bool(found) and _decode_write(entry).change_id == change_id


def _decode_write(entry: dict[str, Any]) -> Write:
    value = json.loads(base64.b64decode(entry["value"]))
    version, change_id = value["version"], value["change_id"]
    return Write(version, change_id, entry["unix_s"], value)


def _run(command: list[str]) -> tuple[int, str]:
    """Runs a process without blocking other greenlets."""
    environment = {
        **os.environ,
        "MULBERRY_OPERATOR_TOKEN": cluster.OPERATOR_TOKEN,
    }
    with tempfile.TemporaryFile() as output:
        child = subprocess.Popen(
            command, cwd=processes.ROOT, stdout=output, env=environment
        )
        end_s = time.monotonic() + _CTL_LIMIT_S
        while child.poll() is None:
            if time.monotonic() > end_s:
                child.kill()
            gevent.sleep(_POLL_S)
        output.seek(0)
        return child.returncode, output.read().decode()
