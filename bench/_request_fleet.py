"""The cluster of the seeded runs: what dies in it is replaced."""

import signal
import time
from collections.abc import Iterable
from typing import Any, NamedTuple

import gevent
import gevent.lock

from mulberrywharf import fleet
from mulberrywharf.nodes import claims
from proofs import collect, histories
from tests import builders_settings, callers_fixture, cluster, processes

ZONES = ("regina-hall", "saskatoon-hall")
CUSTOMERS = ("rodeo-week", "door-crew")
KEY_BY_CUSTOMER = {name: f"key-of-{name}" for name in CUSTOMERS}

_SETTLE_S = 0.05
_HEAL_WAIT_S = 40.0
_STOP_WAIT_S = 40.0
_ENGINE_ARGUMENTS = ("--between-tokens-s", "0.008")
_LOG_TAIL_CHARS = 60_000


def shape() -> cluster.Shape:
    """Returns the cluster that the seeds run on."""
    return cluster.Shape(
        zones=ZONES,
        engines_per_zone=2,
        backends_per_zone=1,
        proxied=True,
        vm_list_lag_s=0.5,
        engine_arguments=_ENGINE_ARGUMENTS,
        engines={
            "load_interval_s": 0.2,
            "connect_timeout_s": 0.5,
            "idle_timeout_s": 1.0,
        },
        document={
            "customers": {
                name: callers_fixture.customer(key)
                for name, key in KEY_BY_CUSTOMER.items()
            },
            "services": {
                cluster.SERVICE: {
                    "idempotent_paths": ["/echo"],
                    "default_idempotent": False,
                    "timeout_s": 1.5,
                }
            },
        },
    )


class Variant(NamedTuple):
    """How the routers differ from the product.

    Attributes:
        mechanism_off: Name in ``tests.router_without.OFF``, or empty.
        claim_lease_s: Lease on claim shards; 0 for the product's own.
    """

    mechanism_off: str = ""
    claim_lease_s: float = 3.0

    def arguments(self) -> list[str]:
        """Returns the command line that makes a router so."""
        off = ["--off", self.mechanism_off] if self.mechanism_off else []
        lease = ["--claim-lease-s", str(self.claim_lease_s)]
        return off + (lease if self.claim_lease_s else [])


class RouterLife:
    """One life of a router.

    Attributes:
        member: Its process.
        fault: ``killed``, ``paused`` or ``stopping`` once that befell it.
    """

    def __init__(self, member: cluster.Member):
        self.member = member
        self.fault = ""


class _Cluster(cluster.Cluster):
    """A cluster whose routers may be variants, and whose marks last."""

    def __init__(self, variant: Variant):
        super().__init__(shape())
        self.leaving_vm_ids: set[str] = set()
        self._variant = variant

    def _start_program(
        self, program: str, kind: str, vm_id: str, zone: str
    ) -> cluster.Member:
        path = builders_settings.write_settings(self.node_settings(vm_id, zone))
        process = processes.Process(
            f"tests.{program}_without",
            "--settings",
            path,
            *self._variant.arguments(),
        )
        port = process.ready["nodes"]
        return cluster.Member(vm_id, kind, zone, process, port)

    def publish(self, *, leaving: Iterable[str] = ()) -> None:
        """Writes the VM list with the lasting marks as well."""
        super().publish(leaving={*leaving, *self.leaving_vm_ids})


class Fleet:
    """A running cluster with one router for each zone.

    Attributes:
        cluster: Its processes.
        lives: The routers' present lives, in the order of the zones.
        leaving: VMs that were marked as leaving, of all seeds.
        stop_failures: What went wrong in planned stops.
    """

    def __init__(self, variant: Variant):
        self.cluster = _Cluster(variant)
        self.lives: list[RouterLife] = []
        self.leaving: list[histories.Leaving] = []
        self.stop_failures: list[tuple[str, str]] = []
        self._earlier: histories.History = {"lost_logs": []}
        self._replacing: list[gevent.Greenlet] = []
        self._number = 0
        self._lock = gevent.lock.RLock()
        self._router_logs = ""

    def start(self) -> "Fleet":
        """Starts every process."""
        self.cluster.start()
        self.lives = [RouterLife(m) for m in self.cluster.routers]
        self.wait_healthy()
        return self

    def close(self) -> None:
        """Ends every process."""
        gevent.killall(self._replacing)
        self.cluster.close()

    # --- routers -------------------------------------------------------

    def kill_router(self, index: int) -> None:
        """Kills a router; a new one with another name takes its place."""
        life = self.lives[index]
        life.fault = "killed"
        life.member.process.signal(signal.SIGKILL)
        self._replace_later(index)

    def pause_router(self, index: int, for_s: float) -> None:
        """Stops a router's process for a while, which it cannot notice."""
        life = self.lives[index]
        life.fault = "paused"
        life.member.process.signal(signal.SIGSTOP)
        gevent.sleep(for_s)
        life.member.process.signal(signal.SIGCONT)

    def stop_router(self, index: int, *, listed: bool) -> None:
        """Stops a router as planned and notes whether it ended well."""
        life = self.lives[index]
        life.fault = "stopping"
        member = life.member
        if listed:
            self.cluster.leaving_vm_ids.add(member.vm_id)
            self.cluster.publish()
        member.process.signal(signal.SIGTERM)
        self._replace_later(index)
        until_s = time.monotonic() + _STOP_WAIT_S
        while member.process.poll() is None:
            if time.monotonic() > until_s:
                self.stop_failures.append((member.vm_id, "it did not end"))
                return
            gevent.sleep(_SETTLE_S)
        code = member.process.poll()
        if code != 0:
            self.stop_failures.append((member.vm_id, f"exit code {code}"))

    def _replace_later(self, index: int) -> None:
        self._replacing.append(gevent.spawn(self._replace_router, index))

    def _replace_router(self, index: int) -> None:
        zone = ZONES[index]
        with self._lock:
            self._number += 1
            vm_id = f"router-{zone}-r{self._number}"
        router = self.cluster.start_router(vm_id, zone)
        self.cluster.wait_ready(router)
        self.lives[index] = RouterLife(router)

    # --- engines and backend servers -------------------------------------

    def kill_member(self, member: cluster.Member, down_s: float) -> None:
        """Kills a stand-in and starts it again; its log is kept.

        Its way is frozen first, so that nothing runs between the reading of
        the log and the kill.
        """
        member.set_proxy_faults(mode="freeze")
        gevent.sleep(_SETTLE_S)
        with self._lock:
            self._earlier = collect.merge(self._earlier, _logs_of([member]))
            member.process.close()
        member.set_proxy_faults(mode="pass")
        gevent.sleep(down_s)
        process = _start_again(member)
        # It stays among the members meanwhile: the VM list that a new router
        # reads would otherwise lack it until the next change of the list.
        members = self._members(member)
        members[members.index(member)] = member._replace(process=process)

    def pause_member(self, member: cluster.Member, for_s: float) -> None:
        """Stops a stand-in's process for a while."""
        member.process.signal(signal.SIGSTOP)
        gevent.sleep(for_s)
        member.process.signal(signal.SIGCONT)

    def set_vm_list_faults(self, **faults: Any) -> None:
        """Replaces the VM list's faults; none clears them."""
        port = self.cluster.platform["vm_list"].ready["port"]
        cluster.post_json(port, "/standin/faults", faults)

    def leave(self, member: cluster.Member) -> None:
        """Marks a backend server as leaving; ``heal`` replaces it."""
        self.cluster.leaving_vm_ids.add(member.vm_id)
        self.cluster.publish()
        self.leaving.append(
            {"vm_id": member.vm_id, "listed_unix_s": time.time()}
        )

    def _members(self, member: cluster.Member) -> list[cluster.Member]:
        if member.kind == "engine":
            return self.cluster.engines
        return self.cluster.backends

    # --- between seeds -----------------------------------------------------

    def heal(self) -> None:
        """Takes every fault back and waits until all is well."""
        self.cluster.set_key_value_down(False)
        self.set_vm_list_faults()
        for member in self.cluster.engines + self.cluster.backends:
            clear_faults(member)
        gevent.joinall(self._replacing, raise_error=True)
        self._replacing.clear()
        self._replace_left()
        self._bury_routers()
        self.cluster.publish()
        self.wait_healthy()

    def _replace_left(self) -> None:
        for member in list(self.cluster.backends):
            if member.vm_id not in self.cluster.leaving_vm_ids:
                continue
            # What runs at it late would be lost with its log.
            member.set_proxy_faults(mode="cut")
            gevent.sleep(_SETTLE_S)
            self._earlier = collect.merge(self._earlier, _logs_of([member]))
            member.process.close()
            self._number += 1
            renamed = member._replace(
                vm_id=f"backend-{member.availability_zone}-b{self._number}"
            )
            process = _start_again(renamed)
            clear_faults(renamed)
            self.cluster.backends.remove(member)
            self.cluster.backends.append(renamed._replace(process=process))

    def _bury_routers(self) -> None:
        present = [life.member for life in self.lives]
        for router in list(self.cluster.routers):
            if router in present:
                continue
            self._router_logs += f"--- {router.vm_id}\n"
            self._router_logs += router.process.errors()
            self._router_logs = self._router_logs[-_LOG_TAIL_CHARS:]
            router.process.close()
            self.cluster.routers.remove(router)

    def wait_healthy(self) -> None:
        """Waits for ready routers, known loads and owners of all claims."""
        for life in self.lives:
            self.cluster.wait_ready(life.member)
        cluster.wait_until(
            lambda: sum(self.shards_counts()) == claims.SHARD_COUNT,
            "an owner for each claim shard",
            _HEAL_WAIT_S,
        )

    def shards_counts(self) -> list[int]:
        """Returns of how many claim shards each router knows it owns them."""
        statuses = [self.cluster.status(life.member) for life in self.lives]
        return [s["counts"]["claim_shards_count"] for s in statuses]

    # --- evidence ----------------------------------------------------------

    def collect(self) -> histories.History:
        """Returns the stand-ins' logs of all their lives."""
        members = self.cluster.engines + self.cluster.backends
        history = collect.merge(self._earlier, _logs_of(members))
        history["leaving"] = list(self.leaving)
        return history

    def router_logs(self) -> str:
        """Returns what the routers wrote, the dead ones' first."""
        codes = [
            f"--- {life.member.vm_id}, {life.fault or 'undisturbed'},"
            f" exit code {life.member.process.poll()}\n"
            for life in self.lives
        ]
        logs = self._router_logs + self.cluster.collect_logs()
        return "".join([logs, *codes])


def clear_faults(member: cluster.Member) -> None:
    """Takes back the faults of a stand-in and of its proxy."""
    member.set_proxy_faults(
        mode="pass",
        delay_ms=0,
        reset_after_up_bytes=None,
        reset_after_down_bytes=None,
    )
    if member.kind == "engine":
        member.set_faults(
            cross_answers=0,
            late_answer_s=0.0,
            short_stream=0,
            stream_fault_count=0,
        )
    else:
        member.set_faults(
            close_before_answer=0, delay_s=0.0, cross_answers=0, half_open=0
        )


def _start_again(member: cluster.Member) -> processes.Process:
    port = ("--port", str(member.own_port))
    if member.kind == "engine":
        return processes.Process(
            "standins.engine",
            "--engine-id",
            member.vm_id,
            "--models",
            cluster.MODEL,
            *_ENGINE_ARGUMENTS,
            *port,
        )
    return processes.Process(
        "standins.backend_server", "--name", member.vm_id, *port
    )


def _logs_of(members: Iterable[cluster.Member]) -> histories.History:
    by_kind: dict[str, dict[str, Any]] = {"engine": {}, "backend": {}}
    for member in members:
        address = fleet.Address(cluster.LOOPBACK, member.own_port)
        by_kind[member.kind][member.vm_id] = address
    return collect.collect(
        engines=by_kind["engine"], backend_servers=by_kind["backend"]
    )
