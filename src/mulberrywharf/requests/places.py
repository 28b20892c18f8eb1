"""Places at engines: who gets one now, who waits, who is refused at once.

The decisions are those of ``policy``; this module keeps the state that they
need (each engine's adaptive limit, one fair queue for each model) and the
greenlets that wait.
"""

import random
from collections.abc import Collection
from typing import NamedTuple

import gevent
import gevent.event
from result import Err

from mulberrywharf import clock, errors, fleet, metrics
from mulberrywharf.engines import loads
from mulberrywharf.policy import (
    admission,
    concurrency,
    engine_choice,
    fairness,
    pace,
    prefix_index,
)

_HAND_OUT_INTERVAL_S = 0.25
_LEAST_RETRY_S = 1.0

_admissions_total = metrics.counter(
    "mulberry_admissions_total",
    "Generations by what admission decided, by model.",
)
_queued_gauge = metrics.gauge(
    "mulberry_queued_requests", "Generations that wait for a place, by model."
)


class Ask(NamedTuple):
    """One generation that needs a place.

    Attributes:
        shape: What decides where it runs well.
        customer: Whose it is.
        weight: The customer's weight against others.
        deadline_s: Monotonic instant of the caller's deadline.
        first_token_target_s: Target of the first token, or None.
        between_tokens_target_s: Target between tokens, or None.
        prefer_zone: Zone that the rules prefer, or empty.
    """

    shape: engine_choice.RequestShape
    customer: str
    weight: float
    deadline_s: float
    first_token_target_s: float | None = None
    between_tokens_target_s: float | None = None
    prefer_zone: str = ""


class Place:
    """A place that was given; ``release`` it exactly once.

    Attributes:
        choice: The engines to use.
    """

    def __init__(
        self,
        owner: "EnginePlaces",
        choice: engine_choice.Choice,
        tokens: int,
        between_tokens_target_s: float | None,
    ):
        self.choice = choice
        self._owner = owner
        self._tokens = tokens
        self._between_tokens_target_s = between_tokens_target_s
        self._released = False

    def on_first_token(self, delay_s: float) -> None:
        """Tells how long the first token took since the request left."""
        self._owner.on_first_token(self.choice, delay_s, self._tokens)

    def on_pace(self, between_tokens_s: float) -> None:
        """Tells the mean time between tokens, as the engine made them."""
        self._owner.on_pace(
            self.choice, between_tokens_s, self._between_tokens_target_s
        )

    def release(self, *, failed: bool) -> None:
        """Gives the place back."""
        if not self._released:
            self._released = True
            self._owner.release(self.choice, failed)


class _Lane:
    """The requests for one model that wait.

    Attributes:
        queue: Who waits, each with what wakes it.
        handed_count: Handed out by the queue and not yet at an engine.
    """

    def __init__(self) -> None:
        self.queue: fairness.FairQueue[gevent.event.AsyncResult] = (
            fairness.FairQueue.from_config()
        )
        self.handed_count = 0


class EnginePlaces:
    """Gives out places at engines."""

    def __init__(
        self,
        reader: loads.LoadReader,
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
        self._lanes: dict[str, _Lane] = {}
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begins to hand out places that open by themselves."""
        self._greenlet = gevent.spawn(self._hand_out_on)

    def close(self) -> None:
        """Ends that; whoever still waits runs into its own time limit."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def now_s(self) -> float:
        """Returns the monotonic time that delays are measured on."""
        return self._clock.monotonic_s()

    def queued_count(self) -> int:
        """Returns how many requests wait, for operators."""
        return sum(len(lane.queue) for lane in self._lanes.values())

    def take(
        self, ask: Ask, excluded_engine_ids: Collection[str] = ()
    ) -> Place:
        """Waits for a place, no longer than it can be of use.

        Raises:
            RequestError: Nothing ran; with when to come back.
        """
        lane = self._lane(ask.shape.model)
        handed = False
        while True:
            views = self._usable(ask.shape, excluded_engine_ids)
            open_views = [view for view in views if self._has_slot(view)]
            has_slot = bool(open_views) and (handed or self._is_free(lane))
            if handed:
                lane.handed_count -= 1
            choice = self._choose(ask, open_views or views)
            decision = self._decide(ask, choice, lane, has_slot, views)
            if isinstance(decision, admission.Shed):
                self._count(ask, "shed")
                raise decision.error
            if isinstance(decision, admission.Admit):
                self._count(ask, "admitted")
                return self._place(ask, choice)
            self._wait(ask, lane, decision.limit_s)
            handed = True

    def take_for_resume(
        self, ask: Ask, excluded_engine_ids: Collection[str]
    ) -> Place:
        """Returns a place for an answer that has begun.

        It does not queue: the caller already reads, and engines keep their
        own queue for what goes over their limit.

        Raises:
            NoEngineError: No other engine serves the model.
        """
        views = self._usable(ask.shape, excluded_engine_ids)
        open_views = [view for view in views if self._has_slot(view)]
        return self._place(ask, self._choose(ask, open_views or views))

    def on_first_token(
        self, choice: engine_choice.Choice, delay_s: float, tokens: int
    ) -> None:
        """Adapts the decoding engine's limit to a measured delay."""
        view = self._reader.view(choice.decode.vm_id)
        if view is None or view.report is None:
            return
        rate = view.report.prefill_tokens_per_s
        idle_delay_s = tokens / rate if rate > 0 else 0.0
        self._limit(choice.decode.vm_id).on_first_token(
            delay_s, idle_delay_s, view.own_in_flight_count
        )

    def on_pace(
        self,
        choice: engine_choice.Choice,
        between_tokens_s: float,
        target_s: float | None,
    ) -> None:
        """Learns how fast the decoding engine makes an answer.

        Args:
            choice: Where the answer is made.
            between_tokens_s: Mean time between its tokens.
            target_s: What that should be, or None for no matter.
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
        """Cuts the limit of an engine that was full."""
        self._limit(engine_id).on_refused(self._clock.monotonic_s())

    def release(self, choice: engine_choice.Choice, failed: bool) -> None:
        """Takes a place back and hands it to whoever is next."""
        self._reader.end(choice.decode.vm_id, failed)
        self._hand_out_all()

    # --- state ------------------------------------------------------------

    def _lane(self, model: str) -> _Lane:
        # Models come from the configuration, so there are few lanes.
        return self._lanes.setdefault(model, _Lane())

    def _limit(self, engine_id: str) -> concurrency.ConcurrencyLimit:
        limit = self._limits.get(engine_id)
        if limit is None:
            limit = concurrency.ConcurrencyLimit.from_config()
            self._limits[engine_id] = limit
        return limit

    def _has_slot(self, view: fleet.EngineView) -> bool:
        limit = self._limit(view.vm.vm_id)
        return limit.has_slot(view.own_in_flight_count)

    def _is_free(self, lane: _Lane) -> bool:
        """Whether a newcomer overtakes nobody."""
        return not len(lane.queue) and not lane.handed_count

    def _usable(
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

    def _place(self, ask: Ask, choice: engine_choice.Choice) -> Place:
        new_tokens = ask.shape.prompt_tokens - choice.cached_tokens
        self._index.note_sent(
            choice.prefill.vm_id, ask.shape.prompt_block_hashes, self.now_s()
        )
        self._reader.begin(
            choice.decode.vm_id, 0 if choice.is_split else new_tokens
        )
        target_s = ask.between_tokens_target_s
        return Place(self, choice, max(0, new_tokens), target_s)

    # --- decisions --------------------------------------------------------

    def _choose(
        self, ask: Ask, views: list[fleet.EngineView]
    ) -> engine_choice.Choice:
        now_s = self._clock.monotonic_s()
        chosen = engine_choice.choose(
            views,
            ask.shape,
            self._index,
            self._rng,
            now_s=now_s,
            prefer_zone=ask.prefer_zone,
            slow_factors=self._paces.slow_factors(now_s),
        )
        if isinstance(chosen, Err):
            self._count(ask, "no-engine")
            raise chosen.err_value
        return chosen.ok_value

    def _decide(
        self,
        ask: Ask,
        choice: engine_choice.Choice,
        lane: _Lane,
        has_slot: bool,
        views: list[fleet.EngineView],
    ) -> admission.Admit | admission.Wait | admission.Shed:
        demand = admission.Demand(
            time_left_s=ask.deadline_s - self._clock.monotonic_s(),
            priority=ask.shape.priority,
            first_token_target_s=ask.first_token_target_s,
        )
        total_s = choice.total_s(ask.shape.expected_output_tokens)
        slots_count = sum(
            self._limit(view.vm.vm_id).limit_count for view in views
        )
        ahead_count = len(lane.queue) + lane.handed_count + 1
        outlook = admission.Outlook(
            first_token_s=choice.first_token_s,
            total_s=total_s,
            # Each slot comes free once in the time that a request takes.
            queue_wait_s=ahead_count * total_s / max(1, slots_count),
            queued_count=len(lane.queue),
            has_slot=has_slot,
        )
        return admission.decide(demand, outlook, self._admission)

    def _count(self, ask: Ask, result: str) -> None:
        _admissions_total.inc({"model": ask.shape.model, "result": result})

    # --- waiting ----------------------------------------------------------

    def _wait(self, ask: Ask, lane: _Lane, limit_s: float) -> None:
        """Returns once the fair queue hands this request a place.

        Raises:
            OverloadedError: It lost its place in the queue, or time ran out.
        """
        woken = gevent.event.AsyncResult()
        shape = ask.shape
        queued = lane.queue.push(
            ask.customer,
            woken,
            cost=shape.prompt_tokens + shape.expected_output_tokens,
            weight=ask.weight,
            priority=shape.priority,
            expires_s=self._clock.monotonic_s() + limit_s,
        )
        if queued.displaced is not None:
            queued.displaced.item.set(False)
        if queued.ticket is None:
            self._count(ask, "queue-full")
            raise _overloaded("the queue is full", limit_s)
        self._show_queue(shape.model, lane)
        try:
            is_handed = woken.get(timeout=limit_s)
        except gevent.Timeout:
            is_handed = woken.ready() and woken.get_nowait()
            if not is_handed:
                lane.queue.remove(queued.ticket)
                self._count(ask, "waited-in-vain")
                raise _overloaded("no engine came free", limit_s) from None
        except BaseException:
            # The caller is gone. What was handed to it goes to the next.
            lane.queue.remove(queued.ticket)
            if woken.ready() and woken.get_nowait():
                lane.handed_count -= 1
                self._hand_out(shape.model, lane)
            raise
        finally:
            self._show_queue(shape.model, lane)
        if not is_handed:
            self._count(ask, "displaced")
            raise _overloaded("others of its customer came first", limit_s)

    def _show_queue(self, model: str, lane: _Lane) -> None:
        _queued_gauge.set({"model": model}, len(lane.queue))

    def _hand_out_on(self) -> None:
        # Engines come back, and limits grow, without any request ending.
        while True:
            gevent.sleep(_HAND_OUT_INTERVAL_S)
            self._forget_gone()
            self._hand_out_all()

    def _forget_gone(self) -> None:
        known = {view.vm.vm_id for view in self._reader.views()}
        for engine_id in self._limits.keys() - known:
            del self._limits[engine_id]
            self._paces.forget(engine_id)

    def _hand_out_all(self) -> None:
        for model, lane in list(self._lanes.items()):
            if len(lane.queue):
                self._hand_out(model, lane)

    def _hand_out(self, model: str, lane: _Lane) -> None:
        shape = engine_choice.RequestShape(model)
        free_count = self._free_count(shape) - lane.handed_count
        while free_count > 0:
            ticket = lane.queue.pop(self._clock.monotonic_s())
            if ticket is None:
                return
            lane.handed_count += 1
            free_count -= 1
            ticket.item.set(True)

    def _free_count(self, shape: engine_choice.RequestShape) -> int:
        return sum(
            max(
                0,
                self._limit(view.vm.vm_id).limit_count
                - view.own_in_flight_count,
            )
            for view in self._usable(shape, ())
        )


def _overloaded(message: str, limit_s: float) -> errors.OverloadedError:
    return errors.OverloadedError(
        message, retry_after_s=max(_LEAST_RETRY_S, limit_s)
    )
