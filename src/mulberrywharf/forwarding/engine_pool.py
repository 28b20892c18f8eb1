"""Selects the engines that serve a prompt, or refuses the prompt."""

import random
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from loguru import logger
from result import Ok

from mulberrywharf import clock, errors, fleet, server_limits
from mulberrywharf.forwarding import (
    customer_admission,
    engine_estimates,
    prompt_parts,
    request,
    server_tracker,
    servers,
    stop_gate,
    time_limits,
)
from mulberrywharf.peers import queue_owners
from mulberrywharf.policy import (
    engine_speeds,
    limit_waits,
    part_caches,
    part_homes,
    prompt_admission,
    prompt_placement,
)
from mulberrywharf.routes import table

RETRY_WITHOUT_ENGINE_S = 0.3
"""Retry-After for a caller that found no usable engine. The server list changes
within one heartbeat of the servers, about a second."""


PERMIT_TRIES_COUNT = 4
"""Plans that are tried to find an engine whose request limit permits the
request. Each claim takes some milliseconds."""

LIMIT_WAIT_TOLERANCE_S = 0.02
"""How much longer than estimated a request waits for an engine's limit before
another plan is tried."""

ServerFilter = Callable[[Sequence[fleet.Server]], list[fleet.Server]]
"""Returns those of the given servers that may receive the request."""


class PermittedPlacement(NamedTuple):
    """A placement, and the permit to send the request to its first engine."""

    placed: engine_estimates.Placed
    permit: server_limits.SendPermit


class _Candidates(NamedTuple):
    """The engines that may serve one prompt.

    Attributes:
        shape: Size of the prompt and of its KV cache.
        speeds: Speeds of the service's engines.
        prefills: Prefill engines.
        decodes: Engines that may generate the answer.
    """

    shape: prompt_placement.PromptShape
    speeds: engine_speeds.Speeds
    prefills: list[prompt_placement.EngineView]
    decodes: list[prompt_placement.EngineView]

    def plans(self) -> list[prompt_placement.Plan]:
        """Returns all plans for the prompt, the cheapest first."""
        return prompt_placement.plans(
            self.shape, self.speeds, self.prefills, self.decodes
        )

    def with_reported_waits(
        self,
        reported: Mapping[fleet.ServerStart, queue_owners.ReportedWait],
        parts: tuple[part_caches.ChainPart, ...],
    ) -> "_Candidates":
        """Returns a copy with the waits that queue owners reported.

        Args:
            reported: The owners' answers, by engine; engines without one are
                unchanged.
            parts: The prompt parts that the owners were asked about.
        """
        return self._replace(
            prefills=[
                _view_with_reported_wait(view, reported, parts)
                for view in self.prefills
            ],
            decodes=[
                _view_with_reported_wait(view, reported, parts)
                for view in self.decodes
            ],
        )


class EnginePool:
    """Selects engines for prompts and applies admission control.

    It selects among the engines of the server list and keeps no connections.
    """

    def __init__(
        self,
        server_list: servers.ServerList,
        tracker: server_tracker.ServerTracker,
        estimates: engine_estimates.EngineEstimates,
        limits: server_limits.ServerLimits,
        system_clock: clock.Clock,
        rng: random.Random,
        customers: customer_admission.CustomerAdmission | None = None,
        stops: stop_gate.StopGate | None = None,
    ):
        """Initializes the pool.

        Args:
            server_list: The registered engines.
            tracker: Tells which of them are reachable.
            estimates: Load, caches and queues of the engines.
            limits: Permits requests to engines that state a request limit.
            system_clock: Source of monotonic time.
            rng: Samples engines, and adds jitter to admission decisions and
                to Retry-After.
            customers: Divides scarce engines among customers, None to serve
                all callers alike.
            stops: Refuses requests that a stop of this process would cut off,
                None for a process that refuses none.
        """
        self._server_list = server_list
        self._tracker = tracker
        self._estimates = estimates
        self._limits = limits
        self._clock = system_clock
        self._rng = rng
        self._customers = customers
        self._stops = stops or stop_gate.StopGate(system_clock)

    def place(
        self,
        routed_request: request.RoutedRequest,
        route: table.Route,
        service: table.Service,
        limit: time_limits.TimeLimit,
        *,
        excluded: frozenset[fleet.ServerStart],
        may_refuse: bool,
        is_admitted: bool = False,
        allowed_servers: ServerFilter = list,
    ) -> PermittedPlacement:
        """Chooses the cheapest plan and records it.

        The request may wait for the request limit of the engine that it is
        sent to first. If it would wait longer than estimated, another plan may
        be cheaper.

        Args:
            routed_request: The request.
            route: The route that it matched.
            service: The service whose engines may serve it.
            limit: Its time limit.
            excluded: Engines that already failed this request.
            may_refuse: Whether the request is refused if its first token
                would be late. False for a request that was already started.
            is_admitted: Whether its demand was counted and its customer's part
                of the engines was checked before, here or at another gateway.
            allowed_servers: Filters the engines that the request may be sent
                to; called separately for prefill and for decode engines.

        Raises:
            NoEngineError: No usable engine is left.
            OverloadedError: The first token would come too late.
            StoppingError: This process stops before the answer would end.
        """
        customer_request = None
        if may_refuse and not is_admitted:
            self._require_engine(service, excluded)
            self._estimates.demand.note(routed_request, service)
            if self._customers is not None:
                customer_request = self._customers.begin(
                    routed_request, service
                )

        def choose(
            waiting: frozenset[fleet.ServerStart],
        ) -> prompt_placement.Plan:
            plan = self._cheapest_plan(
                routed_request,
                route,
                service,
                excluded | waiting,
                allowed_servers,
            )
            if may_refuse:
                self._stops.check(
                    routed_request, route, service.name, plan.first_token_s
                )
                self._refuse_if_late(
                    routed_request, route, plan, limit, customer_request
                )
            return plan

        plan, permit = self._acquire_for_plan(
            choose,
            lambda plan: plan.prefill_engine,
            service,
            limit_waits.longest_wait_s(
                limit.left_s(), route.target_s if may_refuse else None
            ),
        )
        placed = self._estimates.record_placement(
            routed_request, service, plan, route.priority
        )
        if customer_request is not None:
            customer_request.note_admitted()
        self._log_placement(routed_request, route, plan, permit)
        return PermittedPlacement(placed, permit)

    def _require_engine(
        self, service: table.Service, excluded: frozenset[fleet.ServerStart]
    ) -> None:
        """Raises NoEngineError if no engine that can answer is reachable.

        A request that is handed over counts at the gateway that takes it.
        """
        if all(
            one.role == "prefill" for one in self._usable(service, excluded)
        ):
            raise errors.NoEngineError(
                f"no engine of {service.name} is left to try",
                retry_after_s=self._retry_after_s(service),
            )

    def generating(self, service: str) -> list[fleet.Server]:
        """Returns the engines that may get new requests for answers."""
        return [
            server
            for server in self._server_list.usable(service)
            if server.role != "prefill"
        ]

    def note_started(
        self,
        routed_request: request.RoutedRequest,
        route: table.Route,
        service: table.Service,
    ) -> None:
        """Records that the answer of a request began, or that it timed out."""
        if self._customers is not None:
            self._customers.note_started(routed_request, route, service)

    def _cheapest_plan(
        self,
        routed_request: request.RoutedRequest,
        route: table.Route,
        service: table.Service,
        excluded: frozenset[fleet.ServerStart],
        allowed_servers: ServerFilter,
    ) -> prompt_placement.Plan:
        candidates = self._candidates(
            routed_request, service, excluded, allowed_servers
        )
        plans = candidates.plans()
        if routed_request.prompt is not None and service.engine is not None:
            plans = self._replan_with_reported_waits(
                candidates, plans, route.priority, routed_request.prompt
            )
        if not plans:
            raise errors.NoEngineError(
                f"no engine of {service.name} is left to try",
                retry_after_s=self._retry_after_s(service),
            )
        return prompt_admission.choose_plan(plans, route.target_s)

    def _acquire_for_plan(
        self,
        choose: Callable[[frozenset[fleet.ServerStart]], prompt_placement.Plan],
        first_engine: Callable[
            [prompt_placement.Plan], prompt_placement.EngineView
        ],
        service: table.Service,
        longest_wait_s: float,
    ) -> tuple[prompt_placement.Plan, server_limits.SendPermit]:
        """Chooses a plan and acquires a permit for its first engine.

        A refused claim tells how long the engine's requests wait for its limit.
        The plan is then chosen again with that wait, and without the engine if
        that is too long.

        Args:
            choose: Chooses a plan without the given engines.
            first_engine: Returns the engine that the request is sent to first.
            service: The service whose engines may serve the request.
            longest_wait_s: Longest wait for an engine's request limit.

        Raises:
            OverloadedError: No engine permits the request in time.
        """
        for tries_left_count in reversed(range(PERMIT_TRIES_COUNT)):
            waiting = self._waiting_longer(service, longest_wait_s)
            try:
                plan = choose(frozenset(one.start for one in waiting))
            except errors.NoEngineError as error:
                if not waiting:
                    raise
                raise self._limits.overloaded(waiting) from error
            server = first_engine(plan).server
            max_wait_s = longest_wait_s
            if tries_left_count:
                # Another plan may be better if the wait is longer than that.
                estimated_s = self._limits.wait_s(server.start)
                max_wait_s = min(
                    longest_wait_s, estimated_s + LIMIT_WAIT_TOLERANCE_S
                )
            acquired = self._limits.acquire(server, max_wait_s)
            if isinstance(acquired, Ok):
                return plan, acquired.ok_value
        raise self._limits.overloaded([server])

    def _waiting_longer(
        self, service: table.Service, longest_wait_s: float
    ) -> list[fleet.Server]:
        """Returns the engines whose request limit causes a longer wait."""
        if not self._limits.is_any_in_force:
            return []
        return [
            server
            for server in self._server_list.usable(service.name)
            if self._limits.wait_s(server.start) > longest_wait_s
        ]

    def place_decode(
        self,
        routed_request: request.RoutedRequest,
        service: table.Service,
        source: fleet.Server,
        limit: time_limits.TimeLimit,
        *,
        excluded: frozenset[fleet.ServerStart],
        allowed_servers: ServerFilter = list,
    ) -> PermittedPlacement:
        """Chooses the engine that decodes an already prefilled prompt.

        Args:
            routed_request: The request.
            service: The service whose engines may serve it.
            source: The engine that prefilled the prompt.
            limit: The request's time limit.
            excluded: Engines that already failed this request.
            allowed_servers: See ``place``.

        Raises:
            NoEngineError: No usable engine is left.
            OverloadedError: No engine permits the request in time.
        """

        def choose(
            waiting: frozenset[fleet.ServerStart],
        ) -> prompt_placement.Plan:
            return self._best_takeover(
                routed_request,
                service,
                source,
                excluded | waiting,
                allowed_servers,
            )

        plan, permit = self._acquire_for_plan(
            choose,
            lambda plan: plan.decode,
            service,
            limit_waits.longest_wait_s(limit.left_s()),
        )
        placed = self._estimates.record_takeover(routed_request, service, plan)
        logger.bind(
            request_id=routed_request.request_id,
            decode_id=placed.plan.decode.server.server_id,
            prefill_id=source.server_id,
            unlisted=self._server_list.unlisted(
                [placed.plan.decode.server.server_id]
            ),
            running_share=round(placed.plan.decode.running_share, 3),
            first_token_s=round(placed.plan.first_token_s, 4),
            limit_per_s=permit.limit_per_s,
            limit_wait_s=round(permit.waited_s, 3),
        ).info("taken over")
        return PermittedPlacement(placed, permit)

    def _best_takeover(
        self,
        routed_request: request.RoutedRequest,
        service: table.Service,
        source: fleet.Server,
        excluded: frozenset[fleet.ServerStart],
        allowed_servers: ServerFilter,
    ) -> prompt_placement.Plan:
        usable = self._usable(service, excluded)
        decodes = allowed_servers(
            [one for one in usable if one.role != "prefill"]
        )
        parts = prompt_parts.chain_of(routed_request.prompt)
        plans = prompt_placement.takeovers(
            _prompt_shape(routed_request, service, parts),
            self._estimates.speeds(service.name),
            prompt_placement.EngineView(source),
            self._views(
                decodes,
                parts,
                self._estimates.background_slowdown("decode", decodes),
            ),
        )
        if not plans:
            raise errors.NoEngineError(
                f"no engine of {service.name} is left to continue the request",
                retry_after_s=self._retry_after_s(service),
            )
        return plans[0]

    def _retry_after_s(self, service: table.Service) -> float:
        """Returns Retry-After for a caller that found no usable engine."""
        answering = self.generating(service.name)
        retry_after_left_s = self._tracker.retry_after_left_s(
            answering, self._clock.monotonic_s()
        )
        if retry_after_left_s is None:
            retry_after_left_s = self._limits.retry_after_s(answering)
        return (
            RETRY_WITHOUT_ENGINE_S
            if retry_after_left_s is None
            else retry_after_left_s
        )

    def _refuse_if_late(
        self,
        routed_request: request.RoutedRequest,
        route: table.Route,
        plan: prompt_placement.Plan,
        limit: time_limits.TimeLimit,
        customer_request: customer_admission.CustomerRequest | None,
    ) -> None:
        """Raises OverloadedError if the first token would be late.

        It is also raised if the customer is above its part of the engines.
        """
        estimate = prompt_admission.AdmissionEstimate(
            first_token_s=plan.first_token_s,
            queue_s=plan.queue_s,
            target_s=route.target_s,
            left_s=limit.left_s(),
        )
        refusal = prompt_admission.decide(
            estimate,
            self._rng,
            claim=customer_request.claim(estimate)
            if customer_request is not None
            else "usual",
        )
        if refusal is None:
            return
        if customer_request is not None:
            customer_request.note_late()
        logger.bind(
            request_id=routed_request.request_id,
            route=route.name,
            first_token_s=round(plan.first_token_s, 3),
            queue_s=round(estimate.queue_s, 3),
            target_s=route.target_s,
            left_s=round(estimate.left_s, 3),
            retry_after_s=round(refusal.retry_after_s, 3),
        ).info("refused: the answer would come too late")
        raise errors.OverloadedError(
            "the engines can't answer in time",
            retry_after_s=refusal.retry_after_s,
        )

    def _replan_with_reported_waits(
        self,
        candidates: _Candidates,
        plans: list[prompt_placement.Plan],
        priority: int,
        prompt: request.Prompt,
    ) -> list[prompt_placement.Plan]:
        """Returns the plans, corrected by the owners of the engines' queues.

        Where gateways don't receive notices of all placements, the engine that
        looks best is the one whose queue this gateway knows least about. So it
        asks the owners of the first few plans' queues. If the best plan then
        depends on a queue of another owner, it asks that owner too.
        """
        max_asked_owners_count = self._estimates.max_asked_owners_count
        if not max_asked_owners_count:
            return plans
        parts = prompt_parts.reported_chain(prompt_parts.chain_of(prompt))
        keys = tuple(part.held.key for part in parts)
        asked: set[fleet.Address | None] = set()
        for count in (max_asked_owners_count, 1):
            best = plans[0].prefill_engine.server if plans else None
            if best is None or self._estimates.queue_owner(best) in asked:
                break
            owners = self._queue_owners(plans, count)
            asked |= owners
            prefill_engines = {plan.prefill_engine.server for plan in plans}
            reported = self._estimates.query_waits(
                [
                    one
                    for one in prefill_engines
                    if self._estimates.queue_owner(one) in owners
                ],
                priority,
                keys,
            )
            if parts:
                candidates = candidates.with_reported_waits(reported, parts)
                plans = candidates.plans()
            else:
                plans = _plans_with_reported_waits(plans, reported)
        return plans

    def _queue_owners(
        self, plans: list[prompt_placement.Plan], count: int
    ) -> set[fleet.Address | None]:
        """Returns the owners of the prefill queues of the first plans.

        Args:
            plans: The plans, the cheapest first.
            count: The most owners to return.
        """
        found: set[fleet.Address | None] = set()
        for plan in plans:
            found.add(self._estimates.queue_owner(plan.prefill_engine.server))
            if len(found) >= count:
                break
        return found

    def _candidates(
        self,
        routed_request: request.RoutedRequest,
        service: table.Service,
        excluded: frozenset[fleet.ServerStart],
        allowed_servers: ServerFilter,
    ) -> _Candidates:
        usable = self._usable(service, excluded)
        parts = prompt_parts.chain_of(routed_request.prompt)
        prefills = allowed_servers(
            [one for one in usable if one.role == "prefill"]
        )
        decodes = allowed_servers(
            [one for one in usable if one.role != "prefill"]
        )
        if service.engine is None or routed_request.prompt is None:
            prefills = []
        return _Candidates(
            _prompt_shape(routed_request, service, parts),
            self._estimates.speeds(service.name),
            self._views(
                prefills,
                parts,
                self._estimates.background_slowdown("prefill", prefills),
            ),
            self._views(
                decodes,
                parts,
                self._estimates.background_slowdown("decode", decodes),
            ),
        )

    def _usable(
        self, service: table.Service, excluded: frozenset[fleet.ServerStart]
    ) -> list[fleet.Server]:
        return self._tracker.reachable(
            (
                server
                for server in self._server_list.usable(service.name)
                if server.start not in excluded
            ),
            self._clock.monotonic_s(),
        )

    def _views(
        self,
        candidates: list[fleet.Server],
        parts: tuple[part_caches.ChainPart, ...],
        slowdown: float,
    ) -> list[prompt_placement.EngineView]:
        shared = prompt_parts.home_part_of(parts)
        homes = self._home_engines(shared, candidates) if shared else []
        sampled = self._estimates.sample(homes, candidates, self._rng)
        return [
            self._with_limit_wait(
                self._estimates.view(
                    one,
                    parts,
                    slowdown,
                    is_home=bool(homes) and one is homes[0],
                )
            )
            for one in sampled
        ]

    def _with_limit_wait(
        self, view: prompt_placement.EngineView
    ) -> prompt_placement.EngineView:
        """Returns an engine's view with the wait for its request limit.

        Slots become free while a request waits for the limit, so the longer of
        the two waits counts.
        """
        limit_wait_s = self._limits.wait_s(view.server.start)
        if limit_wait_s <= 0:
            return view
        return view._replace(
            wait_s=max(view.wait_s, limit_wait_s),
            slot_wait_s=max(view.slot_wait_s, limit_wait_s),
        )

    def _home_engines(
        self, shared: part_caches.ChainPart, candidates: list[fleet.Server]
    ) -> list[fleet.Server]:
        """Returns the home engines of a part, in order of preference.

        Prefill engines cache parts only for a while and copy missing ones from
        other engines. So their homes are chosen candidates the engines of which
        this gateway receives all placement notices, if there are any.
        """
        observed = [
            one
            for one in candidates
            if one.role == "prefill"
            and self._estimates.receives_notices_for(one)
        ]
        return part_homes.home_engines_of(
            shared.held.key, observed or candidates
        )

    def _log_placement(
        self,
        routed_request: request.RoutedRequest,
        route: table.Route,
        plan: prompt_placement.Plan,
        permit: server_limits.SendPermit,
    ) -> None:
        prefill = plan.prefill.server.server_id if plan.prefill else None
        logger.bind(
            request_id=routed_request.request_id,
            route=route.name,
            decode_id=plan.decode.server.server_id,
            prefill_id=prefill,
            unlisted=self._server_list.unlisted(
                one
                for one in (plan.decode.server.server_id, prefill)
                if one is not None
            ),
            fetch_from=str(plan.fetch_from.address)
            if plan.fetch_from
            else None,
            prompt_tokens=routed_request.prompt.tokens
            if routed_request.prompt
            else None,
            cached_tokens=plan.cached_tokens,
            queue_s=round(plan.queue_s, 4),
            told_wait_s=plan.prefill_engine.reported_wait_s,
            told_slowdown=round(plan.prefill_engine.lasting_slowdown, 2),
            work_s=round(plan.prefill_work_s, 4),
            first_token_s=round(plan.first_token_s, 4),
            limit_per_s=permit.limit_per_s,
            limit_wait_s=round(permit.waited_s, 3),
        ).info("placed")


def _plans_with_reported_waits(
    plans: list[prompt_placement.Plan],
    reported: Mapping[fleet.ServerStart, queue_owners.ReportedWait],
) -> list[prompt_placement.Plan]:
    """Returns the plans with the reported waits, the cheapest first.

    Used for prompts without long shared parts, where owners report only waits.
    """
    found = []
    for plan in plans:
        wait = reported.get(plan.prefill_engine.server.start)
        if wait is None:
            found.append(plan)
        else:
            wait_s = _effective_wait_s(plan.prefill_engine, wait)
            found.append(plan.with_wait(wait_s, wait.wait_s))
    return sorted(found, key=lambda plan: plan.cost)


def _view_with_reported_wait(
    view: prompt_placement.EngineView,
    reported: Mapping[fleet.ServerStart, queue_owners.ReportedWait],
    parts: tuple[part_caches.ChainPart, ...],
) -> prompt_placement.EngineView:
    """Returns an engine's view with the wait and cache its owner reported."""
    wait = reported.get(view.server.start)
    if wait is None:
        return view
    return view._replace(
        wait_s=_effective_wait_s(view, wait),
        reported_wait_s=wait.wait_s,
        cached_tokens=_effective_cached_tokens(view, wait, parts),
    )


def _effective_wait_s(
    view: prompt_placement.EngineView, wait: queue_owners.ReportedWait
) -> float:
    """Returns the wait at an engine by its queue owner's report.

    An owner that has not yet seen the whole queue can only raise the estimate.
    """
    wait_s = wait.wait_s + view.slot_wait_s
    return wait_s if wait.is_complete else max(wait_s, view.wait_s)


def _effective_cached_tokens(
    view: prompt_placement.EngineView,
    wait: queue_owners.ReportedWait,
    parts: tuple[part_caches.ChainPart, ...],
) -> int:
    """Returns the leading tokens an engine has cached, by its owner's report.

    The report doesn't cover parts too short to be asked about; for these the
    gateway's own estimate stands.
    """
    if wait.held_count:
        held_tokens = parts[min(wait.held_count, len(parts)) - 1].end_tokens
        return max(held_tokens, view.cached_tokens)
    if not wait.knows_parts:
        return view.cached_tokens
    before_tokens = parts[0].end_tokens - parts[0].held.tokens
    return min(view.cached_tokens, before_tokens)


def _prompt_shape(
    routed_request: request.RoutedRequest,
    service: table.Service,
    parts: tuple[part_caches.ChainPart, ...],
) -> prompt_placement.PromptShape:
    engine = service.engine
    shared = prompt_parts.home_part_of(parts)
    return prompt_placement.PromptShape(
        tokens=routed_request.prompt.tokens if routed_request.prompt else 0,
        shared_tokens=shared.end_tokens if shared else 0,
        kv_token_bytes=engine.kv_token_bytes if engine else 0.0,
        link_bytes_per_s=engine.link_bytes_per_s if engine else 1.0,
    )
