"""Allocates slots at engines to requests.

A request gets a slot at once, waits in a queue, or is refused at once. The
``policy`` package makes these decisions. This module keeps the state that they
need: an adaptive concurrency limit for each engine, a fair queue for each
model, and the greenlets that wait.
"""

import random
from collections.abc import Collection
from typing import NamedTuple

import gevent
import gevent.event
from result import Err

from mulberrywharf import clock, errors, fleet, metrics, supervised_task
from mulberrywharf.engines import load_reader
from mulberrywharf.policy import (
    admission,
    concurrency,
    engine_choice,
    fairness,
    pace,
    prefix_index,
)

_DISPATCH_INTERVAL_S = 0.25
_MIN_RETRY_AFTER_S = 1.0

_admissions_total = metrics.counter(
    "mulberry_admissions_total",
    "Generations by what admission decided, by model.",
)
_queued_gauge = metrics.gauge(
    "mulberry_queued_requests", "Generations that wait for a slot, by model."
)


class SlotRequest(NamedTuple):
    """A generation that needs a slot.

    Attributes:
        shape: Properties of the request that the choice of engine depends on.
        customer: Customer that the request belongs to.
        weight: The customer's weight in the fair queue.
        deadline_s: The caller's deadline, in monotonic time.
        first_token_target_s: Target time to the first token, or None.
        between_tokens_target_s: Target time between output tokens, or None.
        prefer_zone: Zone that the rules prefer, or empty.
    """

    shape: engine_choice.RequestShape
    customer: str
    weight: float
    deadline_s: float
    first_token_target_s: float | None = None
    between_tokens_target_s: float | None = None
    prefer_zone: str = ""


class EngineSlot:
    """A slot that was allocated to a request; its holder must release it.

    Attributes:
        choice: The engines that the request runs on.
    """

    def __init__(
        self,
        owner: "EnginePlaces",
        choice: engine_choice.Choice,
        prefill_tokens: int,
        between_tokens_target_s: float | None,
    ):
        self.choice = choice
        self._owner = owner
        self._prefill_tokens = prefill_tokens
        self._between_tokens_target_s = between_tokens_target_s
        self._released = False

    def on_first_token(self, delay_s: float) -> None:
        """Reports the time from sending the request to its first token."""
        self._owner.on_first_token(self.choice, delay_s, self._prefill_tokens)

    def on_pace(self, between_tokens_s: float) -> None:
        """Reports the engine's mean time between output tokens."""
        self._owner.on_pace(
            self.choice, between_tokens_s, self._between_tokens_target_s
        )

    def release(self, *, failed: bool) -> None:
        """Releases the slot; further calls have no effect."""
        if not self._released:
            self._released = True
            self._owner.release(self.choice, failed)


class _ModelQueue:
    """The waiting requests for one model.

    Attributes:
        waiting: The queued requests, each with the event that wakes it.
        dispatched_count: Requests that left the queue to take a slot and have
            not taken it yet.
    """

    def __init__(self) -> None:
        self.waiting: fairness.FairQueue[gevent.event.AsyncResult] = (
            fairness.FairQueue.from_config()
        )
        self.dispatched_count = 0


class EnginePlaces:
    """Allocates slots at engines and queues requests that have to wait."""

    def __init__(
        self,
        reader: load_reader.LoadReader,
        index: prefix_index.PrefixIndex,
        *,
        system_clock: clock.Clock,
        rng: random.Random,
        admission_settings: admission.AdmissionSettings | None = None,
    ):
        self._reader = reader
        self._index = index
        self._clock = system_clock
        self._rng = rng
        self._admission = admission_settings or admission.AdmissionSettings()
        self._limits: dict[str, concurrency.ConcurrencyLimit] = {}
        self._paces = pace.PaceMeter.from_config()
        self._model_queues: dict[str, _ModelQueue] = {}
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts the greenlet that dispatches waiting requests periodically."""
        self._greenlet = supervised_task.spawn(
            "places", self._dispatch_periodically
        )

    def close(self) -> None:
        """Stops the periodic dispatch; requests that still wait time out."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def now_s(self) -> float:
        """Returns the current monotonic time."""
        return self._clock.monotonic_s()

    def queued_count(self) -> int:
        """Returns the number of waiting requests."""
        return sum(
            len(model_queue.waiting)
            for model_queue in self._model_queues.values()
        )

    def acquire(
        self,
        slot_request: SlotRequest,
        excluded_engine_ids: Collection[str] = (),
    ) -> EngineSlot:
        """Allocates a slot; waits only while the answer can still be in time.

        Raises:
            RequestError: The request was refused and did not run; the error
                says when to retry.
        """
        model_queue = self._model_queue(slot_request.shape.model)
        dispatched = False
        while True:
            views = self._eligible(slot_request.shape, excluded_engine_ids)
            views_with_slot = [view for view in views if self._has_slot(view)]
            has_slot = bool(views_with_slot) and (
                dispatched or self._has_no_waiters(model_queue)
            )
            if dispatched:
                model_queue.dispatched_count -= 1
            choice = self._choose(slot_request, views_with_slot or views)
            decision = self._decide(
                slot_request, choice, model_queue, has_slot, views
            )
            if isinstance(decision, admission.Shed):
                self._count_admission(slot_request, "shed")
                raise decision.error
            if isinstance(decision, admission.Admit):
                self._count_admission(slot_request, "admitted")
                return self._reserve(slot_request, choice)
            self._wait(slot_request, model_queue, decision.limit_s)
            dispatched = True

    def acquire_for_resume(
        self, slot_request: SlotRequest, excluded_engine_ids: Collection[str]
    ) -> EngineSlot:
        """Allocates a slot for an answer that has already begun.

        The request does not wait in the queue, because its caller is already
        receiving the answer. Engines queue requests above their limit.

        Raises:
            NoEngineError: No other engine serves the model.
        """
        views = self._eligible(slot_request.shape, excluded_engine_ids)
        views_with_slot = [view for view in views if self._has_slot(view)]
        return self._reserve(
            slot_request, self._choose(slot_request, views_with_slot or views)
        )

    def on_first_token(
        self, choice: engine_choice.Choice, delay_s: float, prefill_tokens: int
    ) -> None:
        """Adapts the decode engine's limit to a measured first token delay."""
        view = self._reader.view(choice.decode.vm_id)
        if view is None or view.report is None:
            return
        rate = view.report.prefill_tokens_per_s
        idle_delay_s = prefill_tokens / rate if rate > 0 else 0.0
        self._limit(choice.decode.vm_id).on_first_token(
            delay_s, idle_delay_s, view.own_in_flight_count
        )

    def on_pace(
        self,
        choice: engine_choice.Choice,
        between_tokens_s: float,
        target_s: float | None,
    ) -> None:
        """Records the decode engine's speed and adapts its limit.

        Args:
            choice: The engines that generate the answer.
            between_tokens_s: Mean time between the output tokens.
            target_s: Target for that time, or None for no target.
        """
        engine_id = choice.decode.vm_id
        view = self._reader.view(engine_id)
        if view is None:
            return
        self._paces.on_pace(engine_id, between_tokens_s, self.now_s())
        if target_s is not None:
            self._limit(engine_id).on_answer(
                between_tokens_s, target_s, view.own_in_flight_count
            )

    def on_refused(self, engine_id: str) -> None:
        """Lowers the limit of an engine that refused a request as full."""
        self._limit(engine_id).on_refused(self._clock.monotonic_s())

    def release(self, choice: engine_choice.Choice, failed: bool) -> None:
        """Frees a slot and dispatches waiting requests."""
        self._reader.request_finished(choice.decode.vm_id, failed)
        self._dispatch_all()

    # --- state ------------------------------------------------------------

    def _model_queue(self, model: str) -> _ModelQueue:
        # Models come from the configuration, so there are few queues.
        return self._model_queues.setdefault(model, _ModelQueue())

    def _limit(self, engine_id: str) -> concurrency.ConcurrencyLimit:
        limit = self._limits.get(engine_id)
        if limit is None:
            limit = concurrency.ConcurrencyLimit.from_config()
            self._limits[engine_id] = limit
        return limit

    def _has_slot(self, view: fleet.EngineView) -> bool:
        limit = self._limit(view.vm.vm_id)
        return limit.has_slot(view.own_in_flight_count)

    def _has_no_waiters(self, model_queue: _ModelQueue) -> bool:
        """Whether no earlier request waits that a new one would overtake."""
        return not len(model_queue.waiting) and not model_queue.dispatched_count

    def _eligible(
        self,
        shape: engine_choice.RequestShape,
        excluded_engine_ids: Collection[str],
    ) -> list[fleet.EngineView]:
        return [
            view
            for view in self._reader.views()
            if view.vm.vm_id not in excluded_engine_ids
            and engine_choice.serves(view, shape)
        ]

    def _reserve(
        self, slot_request: SlotRequest, choice: engine_choice.Choice
    ) -> EngineSlot:
        uncached_tokens = (
            slot_request.shape.prompt_tokens - choice.cached_tokens
        )
        self._index.record_prefill(
            choice.prefill.vm_id,
            slot_request.shape.prompt_block_hashes,
            self.now_s(),
        )
        self._reader.request_started(
            choice.decode.vm_id, 0 if choice.is_split else uncached_tokens
        )
        target_s = slot_request.between_tokens_target_s
        return EngineSlot(self, choice, max(0, uncached_tokens), target_s)

    # --- decisions --------------------------------------------------------

    def _choose(
        self, slot_request: SlotRequest, views: list[fleet.EngineView]
    ) -> engine_choice.Choice:
        now_s = self._clock.monotonic_s()
        chosen = engine_choice.choose(
            views,
            slot_request.shape,
            self._index,
            self._rng,
            now_s=now_s,
            prefer_zone=slot_request.prefer_zone,
            slow_factors=self._paces.slow_factors(now_s),
        )
        if isinstance(chosen, Err):
            self._count_admission(slot_request, "no-engine")
            raise chosen.err_value
        return chosen.ok_value

    def _decide(
        self,
        slot_request: SlotRequest,
        choice: engine_choice.Choice,
        model_queue: _ModelQueue,
        has_slot: bool,
        views: list[fleet.EngineView],
    ) -> admission.Admit | admission.Wait | admission.Shed:
        requirements = admission.RequestRequirements(
            time_left_s=slot_request.deadline_s - self._clock.monotonic_s(),
            priority=slot_request.shape.priority,
            first_token_target_s=slot_request.first_token_target_s,
        )
        total_s = choice.total_s(slot_request.shape.expected_output_tokens)
        slots_count = sum(
            self._limit(view.vm.vm_id).limit_count for view in views
        )
        ahead_count = (
            len(model_queue.waiting) + model_queue.dispatched_count + 1
        )
        estimate = admission.AdmissionEstimate(
            first_token_s=choice.first_token_s,
            total_s=total_s,
            # Each slot becomes free once per duration of a request.
            queue_wait_s=ahead_count * total_s / max(1, slots_count),
            queued_count=len(model_queue.waiting),
            has_slot=has_slot,
        )
        return admission.decide(requirements, estimate, self._admission)

    def _count_admission(self, slot_request: SlotRequest, result: str) -> None:
        _admissions_total.inc(
            {"model": slot_request.shape.model, "result": result}
        )

    # --- waiting ----------------------------------------------------------

    def _wait(
        self,
        slot_request: SlotRequest,
        model_queue: _ModelQueue,
        limit_s: float,
    ) -> None:
        """Waits until the fair queue dispatches this request.

        Raises:
            OverloadedError: The queue was full, the request was displaced
                from it, or the time limit passed.
        """
        wakeup = gevent.event.AsyncResult()
        shape = slot_request.shape
        queued = model_queue.waiting.push(
            slot_request.customer,
            wakeup,
            cost=shape.prompt_tokens + shape.expected_output_tokens,
            weight=slot_request.weight,
            priority=shape.priority,
            expires_s=self._clock.monotonic_s() + limit_s,
        )
        if queued.displaced is not None:
            queued.displaced.item.set(False)
        if queued.ticket is None:
            self._count_admission(slot_request, "queue-full")
            raise _overloaded("the queue is full", limit_s)
        self._update_queue_gauge(shape.model, model_queue)
        try:
            is_dispatched = wakeup.get(timeout=limit_s)
        except gevent.Timeout:
            is_dispatched = wakeup.ready() and wakeup.get_nowait()
            if not is_dispatched:
                model_queue.waiting.remove(queued.ticket)
                self._count_admission(slot_request, "waited-in-vain")
                raise _overloaded(
                    "no engine became free in time", limit_s
                ) from None
        except BaseException:
            # The caller disconnected. If the request was dispatched already,
            # another one is dispatched in its place.
            model_queue.waiting.remove(queued.ticket)
            if wakeup.ready() and wakeup.get_nowait():
                model_queue.dispatched_count -= 1
                self._dispatch(shape.model, model_queue)
            raise
        finally:
            self._update_queue_gauge(shape.model, model_queue)
        if not is_dispatched:
            self._count_admission(slot_request, "displaced")
            raise _overloaded(
                "the request was displaced from the full queue because its "
                "customer has the most waiting requests",
                limit_s,
            )

    def _update_queue_gauge(self, model: str, model_queue: _ModelQueue) -> None:
        _queued_gauge.set({"model": model}, len(model_queue.waiting))

    def _dispatch_periodically(self) -> None:
        # Slots also become free without a request ending: engines recover and
        # limits grow.
        while True:
            gevent.sleep(_DISPATCH_INTERVAL_S)
            self._forget_removed_engines()
            self._dispatch_all()

    def _forget_removed_engines(self) -> None:
        known_ids = {view.vm.vm_id for view in self._reader.views()}
        for engine_id in self._limits.keys() - known_ids:
            del self._limits[engine_id]
            self._paces.forget(engine_id)

    def _dispatch_all(self) -> None:
        for model, model_queue in list(self._model_queues.items()):
            if len(model_queue.waiting):
                self._dispatch(model, model_queue)

    def _dispatch(self, model: str, model_queue: _ModelQueue) -> None:
        shape = engine_choice.RequestShape(model)
        free_count = self._free_count(shape) - model_queue.dispatched_count
        while free_count > 0:
            ticket = model_queue.waiting.pop(self._clock.monotonic_s())
            if ticket is None:
                return
            model_queue.dispatched_count += 1
            free_count -= 1
            ticket.item.set(True)

    def _free_count(self, shape: engine_choice.RequestShape) -> int:
        return sum(
            max(
                0,
                self._limit(view.vm.vm_id).limit_count
                - view.own_in_flight_count,
            )
            for view in self._eligible(shape, ())
        )


def _overloaded(message: str, limit_s: float) -> errors.OverloadedError:
    return errors.OverloadedError(
        message, retry_after_s=max(_MIN_RETRY_AFTER_S, limit_s)
    )
