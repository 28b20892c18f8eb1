"""Keeps the zone's engines as the rules say, while the lease is held.

Everything is worked out anew in each round from the records, the engines'
own reports and the rules. A process that takes over therefore goes on where
the last one stopped, whatever the instant at which that was.
"""

import random
import uuid
from collections.abc import Callable
from typing import NamedTuple

import gevent
import gevent.event
import gevent.pool
from loguru import logger
from result import Err, Ok, Result

from mulberrywharf import clock as clocks
from mulberrywharf import errors, fleet, metrics, rules, settings
from mulberrywharf.authority import (
    order_records,
    quiet_time,
    reconcile,
    record_store,
    situation_builder,
    wanted_states,
)
from mulberrywharf.engines import orders, state
from mulberrywharf.operators import audit
from mulberrywharf.platform_service import configuration, weight_store
from mulberrywharf.policy import role_planner
from mulberrywharf.programs import (
    _controller_lease,
    _controller_sending,
    _controller_weights,
)
from mulberrywharf.rules.explain import reason as rule_reason

_DEFAULT_EVALUATE_INTERVAL_S = 1.0
_BUSY_INTERVAL_SHARE = 0.25
_CONCURRENT_READS_COUNT = 64
_READ_TIMEOUT_S = 1.0
_RESEND_AFTER_S = 2.0
_REFUSED_PAUSE_S = 5.0
_CHANGES_KEPT_COUNT = 200

_role_changes = metrics.counter(
    "mulberry_controller_role_changes_total",
    "Role changes that engines have carried out.",
)
_rounds = metrics.counter(
    "mulberry_controller_rounds_total", "Rounds, by what ended them."
)


class ZoneOptions(NamedTuple):
    """What the settings say about the rounds.

    Attributes:
        vm_id: This entry VM.
        availability_zone: Whose engines are ruled.
        evaluate_interval_s: Between rounds while all is calm.
        clock_margin_s: Allowed error between clocks.
        user_timeout_s: How long order bytes may live.
        quiet: When a new holder may order which engine.
        planner: What the role planner weighs.
    """

    vm_id: str
    availability_zone: str
    evaluate_interval_s: float
    clock_margin_s: float
    user_timeout_s: float
    quiet: quiet_time.QuietTime
    planner: role_planner.PlannerSettings


class ZoneView(NamedTuple):
    """What the last round saw and decided, for operators.

    Attributes:
        match: The rule in force, or None before a configuration was seen.
        config_version: Version of the configuration that holds it, or 0.
        situation: What the rules were evaluated on, or None.
        plan: What the role planner decided, in words.
        facts: By engine id.
        findings: By engine id, what is the matter with it.
        seen_unix_s: Wall clock of the round.
    """

    match: rules.Match | None = None
    config_version: int = 0
    situation: rules.Situation | None = None
    plan: str = ""
    facts: dict[str, reconcile.EngineFacts] = {}
    findings: dict[str, str] = {}
    seen_unix_s: float = 0.0


class ZoneController:
    """The rounds of one controller.

    Attributes:
        view: What the last round saw.
    """

    def __init__(
        self,
        options: ZoneOptions,
        *,
        keeper: _controller_lease.LeaseKeeper,
        store: record_store.RecordStore,
        sender: _controller_sending.OrderSender,
        weights: _controller_weights.WeightLoads,
        engine_vms: Callable[[], list[fleet.VmRecord]],
        vm_list_age_s: Callable[[], float],
        current_configuration: Callable[[], configuration.Configuration | None],
        clock: clocks.Clock,
        audit_log: audit.AuditLog,
    ):
        self._options = options
        self._keeper = keeper
        self._store = store
        self._sender = sender
        self._weights = weights
        self._engine_vms = engine_vms
        self._vm_list_age_s = vm_list_age_s
        self._configuration = current_configuration
        self._clock = clock
        self._audit = audit_log
        self._tracker = situation_builder.DemandTracker()
        self._sustain = rules.Sustain()
        self._reads = gevent.pool.Pool(_CONCURRENT_READS_COUNT)
        self._held: _controller_lease.HeldLease | None = None
        self._takeover = quiet_time.Takeover(0.0, True)
        self._last_sent_s: dict[str, float] = {}
        self._refused_s: dict[str, float] = {}
        self._unknown_until_s = 0.0
        self._change_ends_unix_s: list[float] = []
        self._situation: rules.Situation | None = None
        self._stopping = gevent.event.Event()
        self._greenlet: gevent.Greenlet | None = None
        self.view = ZoneView()

    def start(self) -> None:
        """Begins the rounds."""
        self._greenlet = gevent.spawn(self._run)

    def close(self, finish_s: float) -> None:
        """Ends the rounds once no order of this process is open.

        Args:
            finish_s: How long to wait for changes under way to end; what
                hasn't ended then is finished by the next holder, from its
                record.
        """
        self._stopping.set()
        if self._greenlet is None:
            return
        self._greenlet.join(timeout=finish_s)
        if not self._greenlet.dead:
            self._greenlet.kill()
            self._sender.drop_all()
            self._note_unknown()
        self._record_settled()

    def _note_unknown(self) -> None:
        """Remembers that bytes of an order may be on their way."""
        now_s = self._clock.monotonic_s()
        self._unknown_until_s = now_s + self._options.user_timeout_s

    def _run(self) -> None:
        while True:
            busy = self._safe_round()
            if self._stopping.is_set() and not busy:
                return
            interval_s = self._options.evaluate_interval_s
            if busy:
                interval_s *= _BUSY_INTERVAL_SHARE
            self._keeper.changed.clear()
            self._keeper.changed.wait(interval_s * random.uniform(0.8, 1.2))

    def _safe_round(self) -> bool:
        """Runs a round; a fault in it must not end the rounds."""
        try:
            return self._round()
        except Exception:
            # Seen as engines that no longer follow the rules while the lease
            # is renewed by the other greenlet, so nobody takes over. Giving
            # up the lease lets another process try.
            logger.exception("a round failed")
            _rounds.inc({"outcome": "failed"})
            self._keeper.step_down("a round failed")
            return False

    def _round(self) -> bool:
        """Runs one round; returns whether orders are in flight."""
        held = self._keeper.held
        if held is None:
            self._held = None
            self.view = ZoneView()
            return False
        if not self._ready_store(held):
            return True
        vms = self._zone_engines()
        reports = self._read_reports(vms)
        in_force = self._rule_in_force(vms, reports)
        facts = self._facts(vms, reports, in_force)
        steps = self._steps(held, vms, facts)
        if not self._record(held, steps):
            return True
        self._send(held, vms, steps)
        return any(
            record.in_flight()
            for engine_id, record in self._store.zone_records.records.items()
            if engine_id in vms
        )

    # --- taking over -------------------------------------------------------

    def _ready_store(self, held: _controller_lease.HeldLease) -> bool:
        """Makes the records this process's own, once for each lease."""
        if self._held is held and not self._store.must_load:
            return True
        loaded = self._store.load()
        if isinstance(loaded, Err):
            self._fail(held, loaded.err_value)
            return False
        if self._held is held:
            return True
        predecessor = loaded.ok_value.holder
        claimed = self._store.write(
            loaded.ok_value._replace(holder=self._holder(held, settled=False)),
            held.proof(),
        )
        if isinstance(claimed, Err):
            self._fail(held, claimed.err_value)
            return False
        self._held = held
        self._takeover = quiet_time.Takeover(
            acquired_s=held.acquired_s,
            predecessor_unsettled=(
                predecessor is not None and not predecessor.settled
            ),
        )
        return True

    def _holder(
        self, held: _controller_lease.HeldLease, *, settled: bool
    ) -> order_records.Holder:
        return order_records.Holder(
            self._options.vm_id, held.fencing_number, settled
        )

    def _record_settled(self) -> None:
        """Tells the next holder that no order can still be on its way."""
        held = self._held
        now_s = self._clock.monotonic_s()
        if held is None or self._keeper.held is not held:
            return
        if now_s < self._unknown_until_s:
            gevent.sleep(self._unknown_until_s - now_s)
        if not self._options.quiet.all_over(
            self._takeover, self._clock.monotonic_s()
        ):
            return
        zone_records = self._store.zone_records._replace(
            holder=self._holder(held, settled=True)
        )
        self._store.write(zone_records, held.proof())

    def _fail(
        self,
        held: _controller_lease.HeldLease,
        error: errors.MulberryError,
    ) -> None:
        _rounds.inc({"outcome": error.code})
        logger.warning("round ended: {}", error.message)
        if isinstance(error, errors.AuthorityLostError):
            self._give_up(held, error.message)

    def _give_up(self, held: _controller_lease.HeldLease, why: str) -> None:
        """Steps down, unless the lease in question was lost before."""
        if self._keeper.held is held:
            self._keeper.step_down(why)

    # --- looking -----------------------------------------------------------

    def _zone_engines(self) -> dict[str, fleet.VmRecord]:
        return {
            vm.vm_id: vm
            for vm in self._engine_vms()
            if vm.kind == "engine"
            and vm.state == "live"
            and vm.availability_zone == self._options.availability_zone
        }

    def _read_reports(
        self, vms: dict[str, fleet.VmRecord]
    ) -> dict[str, situation_builder.SeenReport]:
        results = self._reads.map(_read_one, vms.values())
        now_unix_s = self._clock.unix_s()
        reports = {}
        for vm, result in zip(vms.values(), results, strict=True):
            if isinstance(result, Ok):
                report = result.ok_value._replace(engine_id=vm.vm_id)
                age_s = max(0.0, now_unix_s - report.reported_unix_s)
                reports[vm.vm_id] = situation_builder.SeenReport(report, age_s)
        self._tracker.observe([seen.report for seen in reports.values()])
        return reports

    def _rule_in_force(
        self,
        vms: dict[str, fleet.VmRecord],
        reports: dict[str, situation_builder.SeenReport],
    ) -> wanted_states.RuleInForce | None:
        current = self._configuration()
        if current is None:
            return None
        self._situation = situation_builder.build(
            availability_zone=self._options.availability_zone,
            now_unix_s=self._clock.unix_s(),
            engine_ids=list(vms),
            reports=reports,
            demand=self._tracker.demand(list(reports.values())),
            vm_list_age_s=self._vm_list_age_s(),
        )
        match = rules.match(
            current.document,
            self._situation,
            sustain=self._sustain,
            now_s=self._clock.monotonic_s(),
        )
        reason = rule_reason(match, current.version)
        return wanted_states.RuleInForce(match, current.version, reason)

    def _facts(
        self,
        vms: dict[str, fleet.VmRecord],
        reports: dict[str, situation_builder.SeenReport],
        in_force: wanted_states.RuleInForce | None,
    ) -> dict[str, reconcile.EngineFacts]:
        records = self._store.zone_records.records
        wanted: dict[str, reconcile.WantedEngine] = {}
        plan = "no configuration was seen yet"
        if in_force is not None:
            zone = wanted_states.Zone(
                reports,
                records,
                self._tracker.demand(list(reports.values())),
                tuple(self._change_ends_unix_s),
            )
            wanted_zone = wanted_states.wanted_zone(
                zone, in_force, self._options.planner, self._clock.unix_s()
            )
            wanted = wanted_zone.engines
            plan = role_planner.describe(wanted_zone.plan)
        facts = {
            engine_id: reconcile.EngineFacts(
                engine_id,
                wanted.get(engine_id),
                records.get(engine_id),
                reports[engine_id].report if engine_id in reports else None,
            )
            for engine_id in vms
        }
        self.view = ZoneView(
            match=None if in_force is None else in_force.match,
            config_version=0 if in_force is None else in_force.config_version,
            situation=self._situation,
            plan=plan,
            facts=facts,
            findings={},
            seen_unix_s=self._clock.unix_s(),
        )
        return facts

    # --- deciding ----------------------------------------------------------

    def _steps(
        self,
        held: _controller_lease.HeldLease,
        vms: dict[str, fleet.VmRecord],
        facts: dict[str, reconcile.EngineFacts],
    ) -> dict[str, reconcile.Step]:
        steps = {}
        planned_allowed = not self._stopping.is_set() and not any(
            _is_in_change(fact) for fact in facts.values()
        )
        for engine_id, fact in facts.items():
            finding = reconcile.find(
                fact, self._reconciler(held, vms[engine_id])
            )
            self.view.findings[engine_id] = repr(finding)
            step = reconcile.next_step(finding, self._context(held))
            if step.planned and not planned_allowed:
                continue
            if not self._may_begin(engine_id, finding, step):
                continue
            planned_allowed = planned_allowed and not step.planned
            steps[engine_id] = step
        return steps

    def _reconciler(
        self, held: _controller_lease.HeldLease, vm: fleet.VmRecord
    ) -> reconcile.Holder:
        ends_s = self._options.quiet.ends_s(self._takeover, vm.engine_kind)
        return reconcile.Holder(
            held.fencing_number,
            quiet=self._clock.monotonic_s() < ends_s,
            clock_margin_s=self._options.clock_margin_s,
        )

    def _context(
        self, held: _controller_lease.HeldLease
    ) -> reconcile.StepContext:
        return reconcile.StepContext(
            fencing_number=held.fencing_number,
            new_order_id=uuid.uuid4().hex,
            now_unix_s=self._clock.unix_s(),
        )

    def _may_begin(
        self, engine_id: str, finding: reconcile.Finding, step: reconcile.Step
    ) -> bool:
        """Holds back new orders that the weight store or engine refuses."""
        if not isinstance(finding, reconcile.Astray) or step.record is None:
            return True
        now_s = self._clock.monotonic_s()
        if now_s < self._refused_s.get(engine_id, 0.0):
            return False
        if self._stopping.is_set():
            return False
        if finding.action != "load-model":
            return True
        record = step.record
        return self._weights.may_load(
            weight_store.LoadRequest(
                engine_id, record.model, record.adapter, record.version
            )
        )

    # --- recording and sending ---------------------------------------------

    def _record(
        self,
        held: _controller_lease.HeldLease,
        steps: dict[str, reconcile.Step],
    ) -> bool:
        """Stores all changed records in one write, before anything is sent."""
        changed = {
            engine_id: step.record
            for engine_id, step in steps.items()
            if step.record is not None
        }
        if not changed:
            return True
        before = self._store.zone_records
        after = before.with_records(self._holder(held, settled=False), changed)
        written = self._store.write(after, held.proof())
        if isinstance(written, Err):
            self._fail(held, written.err_value)
            return False
        for engine_id, record in changed.items():
            self._note_change(engine_id, before.records.get(engine_id), record)
        return True

    def _note_change(
        self,
        engine_id: str,
        before: order_records.OrderRecord | None,
        record: order_records.OrderRecord,
    ) -> None:
        self._audit.record(
            audit.OrderChanged(
                engine_id,
                record.order_id,
                f"{record.action} {record.model or record.role}",
                record.phase,
                record.fencing_number,
                record.reason,
            )
        )
        if record.phase != "applied" or record.action != "set-role":
            return
        if before is not None and before.phase == "applied":
            return
        _role_changes.inc({"role": record.role})
        self._change_ends_unix_s.append(record.recorded_unix_s)
        del self._change_ends_unix_s[:-_CHANGES_KEPT_COUNT]

    def _send(
        self,
        held: _controller_lease.HeldLease,
        vms: dict[str, fleet.VmRecord],
        steps: dict[str, reconcile.Step],
    ) -> None:
        sendings = []
        for engine_id, step in steps.items():
            order = self._order(held, engine_id, step)
            if order is not None and self._due(order.order_id):
                address = vms[engine_id].address
                sendings.append(
                    _controller_sending.Sending(engine_id, address, order)
                )
        for sent in self._sender.send_all(sendings, lambda: self._check(held)):
            self._take_result(held, sent)

    def _check(self, held: _controller_lease.HeldLease) -> None:
        """Stops an order whose lease was lost, even if won again since."""
        if self._keeper.held is not held:
            raise errors.AuthorityLostError("the order's lease was lost")

    def _order(
        self,
        held: _controller_lease.HeldLease,
        engine_id: str,
        step: reconcile.Step,
    ) -> orders.Order | None:
        record = self._store.zone_records.records.get(engine_id)
        if record is None:
            return None
        if step.sends_drain:
            return record.drain_order(held.fencing_number)
        if step.sends_order:
            return record.order(held.fencing_number)
        return None

    def _due(self, order_id: str) -> bool:
        """Tells whether an order is to be sent, or sent again, now."""
        now_s = self._clock.monotonic_s()
        last_s = self._last_sent_s.get(order_id)
        if last_s is not None and now_s - last_s < _RESEND_AFTER_S:
            return False
        self._last_sent_s = {
            known_id: sent_s
            for known_id, sent_s in self._last_sent_s.items()
            if now_s - sent_s < _RESEND_AFTER_S
        }
        self._last_sent_s[order_id] = now_s
        return True

    def _take_result(
        self,
        held: _controller_lease.HeldLease,
        sent: _controller_sending.Sent,
    ) -> None:
        engine_id = sent.sending.engine_id
        order = sent.sending.order
        if isinstance(sent.result, Ok):
            if order.action == "load-model":
                self._weights.used(engine_id)
            return
        error = sent.result.err_value
        logger.warning("{}: {}", engine_id, error.message)
        now_s = self._clock.monotonic_s()
        if isinstance(error, errors.StaleFencingNumberError):
            self._give_up(held, error.message)
        elif isinstance(error, errors.EngineBusyError):
            return
        elif isinstance(error, errors.OrderRefusedError):
            self._refused_s[engine_id] = now_s + _REFUSED_PAUSE_S
            self._record_refused(held, engine_id, order, error)
        elif isinstance(error, errors.OrderOutcomeUnknownError):
            self._note_unknown()

    def _record_refused(
        self,
        held: _controller_lease.HeldLease,
        engine_id: str,
        order: orders.Order,
        error: errors.MulberryError,
    ) -> None:
        """Settles an order that the engine will never carry out."""
        record = self._store.zone_records.records.get(engine_id)
        if record is None or record.order_id != order.order_id:
            return
        failed = record._replace(
            phase="failed", reason=f"refused by the engine: {error.message}"
        )
        after = self._store.zone_records.with_records(
            self._holder(held, settled=False), {engine_id: failed}
        )
        written = self._store.write(after, held.proof())
        if isinstance(written, Err):
            self._fail(held, written.err_value)


def _read_one(
    vm: fleet.VmRecord,
) -> Result[fleet.LoadReport, errors.EngineError]:
    return state.read_load(vm.address, timeout_s=_READ_TIMEOUT_S)


def _is_in_change(fact: reconcile.EngineFacts) -> bool:
    record = fact.record
    if fact.report is not None and fact.report.state == "changing":
        return True
    if record is None or not record.in_flight():
        return False
    return record.action in ("set-role", "load-model")


def options_from_config(config: settings.Settings, ttl_s: float) -> ZoneOptions:
    """Reads what the rounds need from the settings.

    Args:
        config: Settings of the process.
        ttl_s: Length of the lease as the service knows it.
    """
    controller = config.get("controller", {})
    margin_s = clock_margin_s(config)
    timeout_s = user_timeout_s(config)
    kinds = config.get("engines", {}).get("fencing_checking_kinds", [])
    return ZoneOptions(
        vm_id=config["vm_id"],
        availability_zone=config["availability_zone"],
        evaluate_interval_s=controller.get(
            "evaluate_interval_s", _DEFAULT_EVALUATE_INTERVAL_S
        ),
        clock_margin_s=margin_s,
        user_timeout_s=timeout_s,
        quiet=quiet_time.QuietTime(
            ttl_s, timeout_s, margin_s, frozenset(kinds)
        ),
        planner=role_planner.PlannerSettings.from_config(config),
    )


def clock_margin_s(config: settings.Settings) -> float:
    """Returns the allowed error between clocks."""
    return config.get("controller", {}).get("clock_margin_s", 0.5)


def user_timeout_s(config: settings.Settings) -> float:
    """Returns how long unacknowledged order bytes may live."""
    return config.get("controller", {}).get("order_user_timeout_s", 2.0)
