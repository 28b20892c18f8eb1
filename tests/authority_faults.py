"""Seeded runs of two controllers under faults, checked by the audit."""

import itertools
import random
import signal
import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

from tests import authority_audit, builders_authority

_CONVERGENCE_TIMEOUT_S = 25.0
_PRE_FAULT_TIMEOUT_S = 5.0
_FAULTS_COUNT = 3
_CONVERGED_ROUNDS_COUNT = 2
_WINDOW_WAIT_S = 2.0
GAP_S = 0.05
"""Time that runs insert between the last check of an order and its send."""

_WINDOW_POLL_S = 0.001
_LATE_DELAY_MS = 700.0


class RunResult(NamedTuple):
    """Result of one run.

    Attributes:
        seed: Seed of the run.
        faults: Names of the faults, in order.
        findings: Violations.
        calm_s: Time until the zone converged to the rules after the faults were
            removed; None if it did not.
        left_over: State of the zone if it did not converge.
        killed_by_fuse_count: Number of controllers killed by SIGALRM.
        stop_codes: Exit codes of controllers that were stopped gracefully.
    """

    seed: int
    faults: tuple[str, ...]
    findings: tuple[authority_audit.Finding, ...]
    calm_s: float | None
    left_over: str = ""
    killed_by_fuse_count: int = 0
    stop_codes: tuple[int, ...] = ()

    def is_clean(self) -> bool:
        """Tells whether the run converged without any violation."""
        stopped = not any(self.stop_codes)
        return stopped and not self.findings and self.calm_s is not None


class FaultyRun:
    """One seeded run; several runs may use the same zone in sequence."""

    def __init__(self, zone: builders_authority.Zone, seed: int):
        self._zone = zone
        self._seed = seed
        self._random = random.Random(seed)
        self._late_allowed: set[int] = set()
        self._killed_by_fuse_count = 0
        self._stop_codes: list[int] = []
        self._split = (0, 0, len(zone.engines))
        self._model = ""
        self._model_numbers = itertools.count()
        self._since_unix_s = 0.0

    def run(self, names: Sequence[str] = ()) -> RunResult:
        """Injects faults while the rules change, then checks the result.

        Args:
            names: Names of the faults; random ones if empty.
        """
        self._since_unix_s = time.time()
        self._change_rules()
        if not names:
            names = self._random.choices(sorted(FAULTS), k=_FAULTS_COUNT)
        for name in names:
            FAULTS[name](self)
            if self._random.random() < 0.5:
                self._change_rules()
            time.sleep(self._random.uniform(0.0, 0.3))
        self._clear_faults()
        return self._evaluate(tuple(names))

    # --- faults -------------------------------------------------------------

    def kill_holder(self) -> None:
        """Kills the holder at a random time."""
        index = self._holder_or_any()
        self._zone.controllers[index].signal(signal.SIGKILL)
        self._zone.controllers[index].wait()

    def stop_holder(self) -> None:
        """Stops the holder gracefully during a change of the rules."""
        index = self._holder_or_any()
        self._change_rules()
        time.sleep(self._random.uniform(0.0, 0.4))
        self._stop_codes.append(self._zone.controllers[index].stop())

    def freeze_holder(self) -> None:
        """Suspends the holder at a random time, often beyond its lease."""
        self._suspend(self._holder_or_any())

    def freeze_before_send(self) -> None:
        """Suspends the holder between an order's last check and first byte.

        This works only in a zone whose controllers extend that time.
        """
        index = self._holder_or_any()
        self._change_rules()
        if self._await_new_order():
            time.sleep(self._random.uniform(0.0, GAP_S))
            self._suspend(index)

    def cut_from_service(self) -> None:
        """Partitions the holder from the key-value service."""
        name = f"key-value-{self._holder_or_any()}"
        mode = self._random.choice(
            ("cut", "freeze", "half-open-up", "half-open-down")
        )
        self._zone.set_proxy_faults(name, mode=mode)
        time.sleep(self._random_outage_s())
        self._zone.set_proxy_faults(name, mode="pass")

    def service_down(self) -> None:
        """Makes the key-value service unavailable."""
        self._zone.set_key_value_faults(down=True)
        time.sleep(self._random_outage_s())
        self._zone.set_key_value_faults()

    def lose_answers(self) -> None:
        """Drops the responses to writes that take effect."""
        count = self._random.randint(1, 4)
        self._zone.set_key_value_faults(lose_answers_count=count)

    def crash_engine(self) -> None:
        """Makes an engine fail during its next change."""
        self._zone.set_engine_faults(
            self._random_engine(), crash_mid_change=True
        )

    def lose_order_answers(self) -> None:
        """Drops the responses to orders that an engine accepts."""
        count = self._random.randint(1, 2)
        self._zone.set_engine_faults(
            self._random_engine(), drop_order_answers=count
        )

    def delay_engine(self) -> None:
        """Delays data to an engine, within the margins of the settings."""
        timing = self._zone.timing
        bound_s = timing.margin_s + timing.user_timeout_s
        delay_ms = self._random.uniform(0.1, 0.8) * bound_s * 1000
        self._zone.set_proxy_faults(self._random_engine(), delay_ms=delay_ms)

    def cut_engine(self) -> None:
        """Makes an engine unreachable for a short time."""
        engine_id = self._random_engine()
        self._zone.set_proxy_faults(engine_id, mode="cut")
        time.sleep(self._random.uniform(0.1, 0.6))
        self._zone.set_proxy_faults(engine_id, mode="pass")

    def take_lease_away(self) -> None:
        """Deletes the lease key while the lease is valid."""
        history = self._zone.lease_history()
        tenures = authority_audit.tenures(history)
        if tenures:
            self._late_allowed.add(tenures[-1].fencing_number)
        self._zone.delete_lease_key()

    def send_late_and_lose_lease(self) -> None:
        """Takes the lease away while an order of the holder is in transit.

        The order loads a model. The next holder takes over immediately, and its
        rules require another model.
        """
        builders_authority.wait_for(self._has_converged, _PRE_FAULT_TIMEOUT_S)
        self._change_load()
        if not self._await_new_order(phases=("sent",)):
            return
        engine_ids = sorted(self._zone.engines)
        for engine_id in engine_ids:
            self._zone.set_proxy_faults(engine_id, delay_ms=_LATE_DELAY_MS)
        time.sleep(1.5 * GAP_S)
        for engine_id in engine_ids:
            self._zone.set_proxy_faults(engine_id, delay_ms=0.0)
        self._change_load()
        self.take_lease_away()

    # --- helpers --------------------------------------------------------------

    def _await_new_order(
        self, phases: tuple[str, ...] = ("draining", "sent")
    ) -> bool:
        """Waits until a controller records an order that it sends next."""
        known = set(self._zone.records().records.values())

        def is_new() -> bool:
            records = self._zone.records().records.values()
            return any(r.phase in phases for r in set(records) - known)

        return builders_authority.wait_for(
            is_new, _WINDOW_WAIT_S, poll_s=_WINDOW_POLL_S
        )

    def _suspend(self, index: int) -> None:
        process = self._zone.controllers[index]
        builders_authority.suspend(process)
        time.sleep(self._random_outage_s())
        builders_authority.resume(process)

    def _random_outage_s(self) -> float:
        return self._random.uniform(0.4, 2.2) * self._zone.timing.lease_ttl_s

    def _holder_or_any(self) -> int:
        index = self._zone.holder_index()
        if index is None:
            index = self._random.randrange(len(self._zone.controllers))
        if self._zone.controllers[index].poll() is not None:
            self._restart_dead()
        return index

    def _random_engine(self) -> str:
        return self._random.choice(sorted(self._zone.engines))

    def _change_rules(self) -> None:
        count = len(self._zone.engines)
        prefill = self._random.randint(0, count)
        decode = self._random.randint(0, count - prefill)
        self._split = (prefill, decode, count - prefill - decode)
        self._put_configuration()

    def _change_load(self) -> None:
        self._model = f"model-{self._seed}-{next(self._model_numbers)}"
        self._put_configuration()

    def _put_configuration(self) -> None:
        document = builders_authority.roles_document(*self._split)
        if self._model:
            document["default"]["load"] = {
                "model": self._model,
                "engines_count": 1,
            }
            document["models"] = {self._model: {"adapters": [], "versions": []}}
        self._zone.put_configuration(document)

    def _has_converged(self) -> bool:
        if not self._zone.has_converged(*self._split):
            return False
        models = [set(r["models"]) for r in self._zone.loads().values()]
        return not self._model or any(self._model in m for m in models)

    def _restart_dead(self) -> None:
        for index, process in enumerate(self._zone.controllers):
            code = process.poll()
            if code is not None:
                self._killed_by_fuse_count += code == -signal.SIGALRM
                self._zone.start_controller(index)

    def _clear_faults(self) -> None:
        self._zone.set_key_value_faults()
        for engine_id in self._zone.engines:
            self._zone.set_proxy_faults(engine_id, mode="pass", delay_ms=0.0)
            self._zone.set_engine_faults(
                engine_id, drop_order_answers=0, crash_mid_change=False
            )
        self._restart_dead()

    def _evaluate(self, names: tuple[str, ...]) -> RunResult:
        begun_s = time.monotonic()

        def has_converged() -> bool:
            self._restart_dead()
            if not self._has_converged():
                return False
            time.sleep(_CONVERGED_ROUNDS_COUNT * self._zone.timing.evaluate_s)
            return self._has_converged()

        converged = builders_authority.wait_for(
            has_converged, _CONVERGENCE_TIMEOUT_S
        )
        logs = {
            engine_id: [o for o in log if o["unix_s"] >= self._since_unix_s]
            for engine_id, log in self._zone.order_logs().items()
        }
        findings = authority_audit.audit(
            logs,
            self._zone.lease_history(),
            late_allowed=frozenset(self._late_allowed),
        )
        return RunResult(
            self._seed,
            names,
            tuple(findings),
            time.monotonic() - begun_s if converged else None,
            "" if converged else self._describe_unsettled(),
            self._killed_by_fuse_count,
            tuple(self._stop_codes),
        )

    def _describe_unsettled(self) -> str:
        roles = {
            e: (r["role"], r["state"]) for e, r in self._zone.loads().items()
        }
        records = {
            e: (r.action, r.role, r.phase)
            for e, r in self._zone.records().records.items()
        }
        return (
            f"wanted {self._split} {self._model}, seen {roles}, "
            f"records {records}"
        )


FAULTS: dict[str, Callable[[FaultyRun], None]] = {
    fault.__name__: fault
    for fault in (
        FaultyRun.kill_holder,
        FaultyRun.stop_holder,
        FaultyRun.freeze_holder,
        FaultyRun.freeze_before_send,
        FaultyRun.cut_from_service,
        FaultyRun.service_down,
        FaultyRun.lose_answers,
        FaultyRun.crash_engine,
        FaultyRun.lose_order_answers,
        FaultyRun.delay_engine,
        FaultyRun.cut_engine,
        FaultyRun.take_lease_away,
        FaultyRun.send_late_and_lose_lease,
    )
}
