"""Applies the rules to the zone's engines while the lease is held.

Each round computes its decisions anew from the order records, the engines'
reports and the rules. A process that takes over the lease can therefore
continue from any point at which the previous holder stopped.
"""

import random
import uuid

import gevent
import gevent.event
from loguru import logger
from result import Err, Ok

from mulberrywharf import clock as clocks
from mulberrywharf import errors, fleet, metrics
from mulberrywharf.authority import (
    findings,
    order_records,
    reconcile,
    steps,
)
from mulberrywharf.engines import orders
from mulberrywharf.platform_service import weight_store
from mulberrywharf.programs import (
    _controller_config,
    _controller_lease,
    _controller_observer,
    _controller_options,
    _controller_records,
    _controller_sending,
    _controller_weights,
)

_BUSY_INTERVAL_SHARE = 0.25
_RESEND_INTERVAL_S = 2.0
_REFUSAL_PAUSE_S = 5.0

_rounds = metrics.counter(
    "mulberry_controller_rounds_total", "Rounds, by outcome."
)

_Steps = dict[str, steps.Step]


class ZoneController:
    """Runs the evaluation rounds of one controller.

    Attributes:
        view: Observations and decisions of the last round.
    """

    def __init__(
        self,
        options: _controller_options.ZoneOptions,
        clock: clocks.Clock,
        *,
        keeper: _controller_lease.LeaseKeeper,
        config_refresh: _controller_config.ConfigRefresh,
        observer: _controller_observer.ZoneObserver,
        records: _controller_records.ZoneRecords,
        sender: _controller_sending.OrderSender,
        load_permissions: _controller_weights.LoadPermissions,
    ):
        self._options = options
        self._clock = clock
        self._lease_keeper = keeper
        self._config_refresh = config_refresh
        self._observer = observer
        self._records = records
        self._sender = sender
        self._load_permissions = load_permissions
        self._last_held: _controller_lease.HeldLease | None = None
        self._last_sent_s: dict[str, float] = {}
        self._accepted_unix_s: dict[str, float] = {}
        self._paused_until_s: dict[str, float] = {}
        self._unknown_outcome_until_s = 0.0
        self._stopping = gevent.event.Event()
        self._greenlet: gevent.Greenlet | None = None
        self.view = _controller_observer.EMPTY_VIEW

    def start(self) -> None:
        """Starts the rounds."""
        self._greenlet = gevent.spawn(self._run)

    def close(self, finish_s: float) -> None:
        """Ends the rounds once no order of this process is in flight.

        Args:
            finish_s: How long to wait for orders in flight, in seconds. The
                next lease holder finishes the rest from their records.
        """
        self._stopping.set()
        if self._greenlet is None:
            return
        self._greenlet.join(timeout=finish_s)
        if not self._greenlet.dead:
            self._greenlet.kill()
            self._sender.cancel_all()
            self._note_unknown_outcome()
        held = self._lease_keeper.held
        if held is not None:
            left_s = self._unknown_outcome_until_s - self._clock.monotonic_s()
            gevent.sleep(max(0.0, left_s))
            self._records.mark_settled(held)

    def _run(self) -> None:
        while True:
            busy = self._safe_round()
            if self._stopping.is_set() and not busy:
                return
            interval_s = self._options.evaluate_interval_s
            if busy:
                interval_s *= _BUSY_INTERVAL_SHARE
            self._lease_keeper.changed.wait(
                interval_s * random.uniform(0.8, 1.2)
            )
            self._lease_keeper.changed.clear()

    def _safe_round(self) -> bool:
        """Runs a round; steps down if it raises."""
        try:
            return self._round()
        except Exception:
            # An exception would end the rounds while another greenlet goes
            # on renewing the lease: the engines would no longer follow the
            # rules and no other controller would take over. Stepping down
            # lets another process try.
            logger.exception("evaluation round failed")
            _rounds.inc({"outcome": "failed"})
            self._lease_keeper.step_down("evaluation round failed")
            return False

    def _round(self) -> bool:
        """Runs one round; returns whether orders are in flight."""
        held = self._lease_keeper.held
        if held is None:
            self.view = _controller_observer.EMPTY_VIEW
            return False
        claimed = self._records.claim(held)
        if isinstance(claimed, Err):
            return self._abort_round(held, claimed.err_value)
        if not self._config_refresh.refresh(held):
            _rounds.inc({"outcome": "no-configuration"})
            return True
        if held is not self._last_held:
            self._observer.clear_reports()
            self._last_held = held
        view = self._observer.observe(
            self._records.by_engine,
            self._accepted_unix_s,
            self._records.change_ends_unix_s,
        )
        self.view = view
        next_steps = self._next_steps(held, view)
        changed = {
            engine_id: step.record
            for engine_id, step in next_steps.items()
            if step.record is not None
        }
        written = self._records.store_changes(held, changed, view.vms.keys())
        if isinstance(written, Err):
            return self._abort_round(held, written.err_value)
        self._send(held, view, next_steps)
        _rounds.inc({"outcome": "done"})
        return any(
            self._records.by_engine[engine_id].in_flight()
            for engine_id in view.vms
            if engine_id in self._records.by_engine
        )

    def _abort_round(
        self,
        held: _controller_lease.HeldLease,
        error: errors.MulberryError,
    ) -> bool:
        _rounds.inc({"outcome": error.code})
        logger.warning("evaluation round ended: {}", error.message)
        if isinstance(error, errors.AuthorityLostError):
            self._step_down_if_held(held, error.message)
        return True

    def _step_down_if_held(
        self, held: _controller_lease.HeldLease, why: str
    ) -> None:
        """Steps down unless this lease was already lost."""
        if self._lease_keeper.held is held:
            self._lease_keeper.step_down(why)

    # --- decisions ---------------------------------------------------------

    def _next_steps(
        self,
        held: _controller_lease.HeldLease,
        view: _controller_observer.ZoneView,
    ) -> _Steps:
        """Returns the next step of each engine that has one.

        Planned changes are limited to one engine of the zone at a time.
        """
        next_steps: _Steps = {}
        may_plan = not any(_is_changing(f) for f in view.facts.values())
        for engine_id, facts in view.facts.items():
            holder = self._holder(held, view.vms[engine_id])
            finding = reconcile.find(facts, holder)
            step = steps.next_step(finding, self._context(held))
            if step.planned and not may_plan:
                continue
            if isinstance(
                finding, findings.NotAsDesired
            ) and not self._may_start_order(engine_id, step.record):
                continue
            may_plan = may_plan and not step.planned
            next_steps[engine_id] = step
        return next_steps

    def _holder(
        self, held: _controller_lease.HeldLease, vm: fleet.VmRecord
    ) -> findings.Holder:
        ends_s = self._options.delay_after_takeover.ends_s(
            self._records.takeover, vm.engine_kind
        )
        return findings.Holder(
            held.fencing_number,
            is_waiting=self._clock.monotonic_s() < ends_s,
            clock_margin_s=self._options.clock_margin_s,
        )

    def _context(self, held: _controller_lease.HeldLease) -> steps.StepContext:
        return steps.StepContext(
            fencing_number=held.fencing_number,
            new_order_id=uuid.uuid4().hex,
            now_unix_s=self._clock.unix_s(),
        )

    def _may_start_order(
        self, engine_id: str, record: order_records.OrderRecord | None
    ) -> bool:
        """Tells whether a new order may be recorded and sent now."""
        if self._stopping.is_set() or record is None:
            return False
        paused_until_s = self._paused_until_s.get(engine_id, 0.0)
        if self._clock.monotonic_s() < paused_until_s:
            return False
        if record.action != "load-model":
            return True
        return self._load_permissions.may_load(
            weight_store.LoadRequest(
                engine_id, record.model, record.adapter, record.version
            )
        )

    # --- sending -----------------------------------------------------------

    def _send(
        self,
        held: _controller_lease.HeldLease,
        view: _controller_observer.ZoneView,
        next_steps: _Steps,
    ) -> None:
        outgoing = []
        for engine_id, step in next_steps.items():
            order = self._order(held, engine_id, step)
            if order is not None and self._is_due(order.order_id):
                address = view.vms[engine_id].address
                outgoing.append(
                    _controller_sending.OutgoingOrder(engine_id, address, order)
                )

        def check() -> None:
            if self._lease_keeper.held is not held:
                raise errors.AuthorityLostError("the order's lease was lost")

        for sent in self._sender.send_all(outgoing, check):
            self._handle_result(held, sent)

    def _order(
        self,
        held: _controller_lease.HeldLease,
        engine_id: str,
        step: steps.Step,
    ) -> orders.Order | None:
        record = self._records.by_engine.get(engine_id)
        if record is None:
            return None
        if step.sends_drain:
            return record.drain_order(held.fencing_number)
        if step.sends_order:
            return record.order(held.fencing_number)
        return None

    def _is_due(self, order_id: str) -> bool:
        """Tells whether an order is to be sent, or sent again, now."""
        now_s = self._clock.monotonic_s()
        self._last_sent_s = {
            known_id: sent_s
            for known_id, sent_s in self._last_sent_s.items()
            if now_s - sent_s < _RESEND_INTERVAL_S
        }
        if order_id in self._last_sent_s:
            return False
        self._last_sent_s[order_id] = now_s
        return True

    def _handle_result(
        self,
        held: _controller_lease.HeldLease,
        sent: _controller_sending.SentOrder,
    ) -> None:
        engine_id = sent.outgoing.engine_id
        order = sent.outgoing.order
        if isinstance(sent.result, Ok):
            self._note_accepted(order.order_id)
            if order.action == "load-model":
                self._load_permissions.forget(engine_id)
            return
        error = sent.result.err_value
        logger.warning("{}: {}", engine_id, error.message)
        if isinstance(error, errors.StaleFencingNumberError):
            self._step_down_if_held(held, error.message)
        elif isinstance(error, errors.OrderOutcomeUnknownError):
            self._note_unknown_outcome()
        elif isinstance(error, errors.OrderRefusedError) and not isinstance(
            error, errors.EngineBusyError
        ):
            pause_end_s = self._clock.monotonic_s() + _REFUSAL_PAUSE_S
            self._paused_until_s[engine_id] = pause_end_s
            reason = f"refused by the engine: {error.message}"
            self._records.mark_failed(held, engine_id, order.order_id, reason)

    def _note_accepted(self, order_id: str) -> None:
        in_flight = {
            record.awaited_order_id()
            for record in self._records.by_engine.values()
            if record.in_flight()
        }
        self._accepted_unix_s = {
            known_id: unix_s
            for known_id, unix_s in self._accepted_unix_s.items()
            if known_id in in_flight
        }
        # Keeps the time of the first acceptance when an order is repeated.
        self._accepted_unix_s.setdefault(order_id, self._clock.unix_s())

    def _note_unknown_outcome(self) -> None:
        """Notes that bytes of an order may still be in transit."""
        now_s = self._clock.monotonic_s()
        self._unknown_outcome_until_s = now_s + self._options.user_timeout_s


def _is_changing(facts: findings.EngineFacts) -> bool:
    if facts.report is not None and facts.report.state == "changing":
        return True
    record = facts.record
    if record is None or not record.in_flight():
        return False
    return record.action in ("set-role", "load-model")
