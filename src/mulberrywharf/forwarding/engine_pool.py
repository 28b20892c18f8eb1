"""Where a prompt goes among the engines of a service, or that it is refused."""

import random
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from loguru import logger

from mulberrywharf import clock, errors, fleet
from mulberrywharf.forwarding import (
    engine_account,
    prompt_parts,
    request,
    server_book,
    servers,
    time_limits,
)
from mulberrywharf.peers import queue_owners
from mulberrywharf.policy import (
    engine_speeds,
    part_caches,
    part_homes,
    prompt_admission,
    prompt_placement,
)
from mulberrywharf.routes import table

RETRY_WITHOUT_ENGINE_S = 0.3
"""For a caller that came while no engine was left: the next change of the
server list comes within a heartbeat of the servers, about a second."""


ServerFilter = Callable[[Sequence[fleet.Server]], list[fleet.Server]]
"""Returns the given servers that a request may be sent to."""


class _Candidates(NamedTuple):
    """The engines that a prompt may go to."""

    shape: prompt_placement.PromptShape
    speeds: engine_speeds.Speeds
    prefills: list[prompt_placement.EngineView]
    decodes: list[prompt_placement.EngineView]

    def plans(self) -> list[prompt_placement.Plan]:
        """Returns every way to serve the prompt, the best first."""
        return prompt_placement.plans(
            self.shape, self.speeds, self.prefills, self.decodes
        )

    def with_told(
        self,
        told: Mapping[fleet.ServerStart, queue_owners.ToldWait],
        parts: tuple[part_caches.ChainPart, ...],
    ) -> "_Candidates":
        """Returns the engines with what was told of some of them.

        Args:
            told: By engine.
            parts: Those that were asked about.
        """
        return self._replace(
            prefills=[_with_told(view, told, parts) for view in self.prefills],
            decodes=[_with_told(view, told, parts) for view in self.decodes],
        )


class EnginePool:
    """Chooses where prompts go, or refuses them."""

    def __init__(
        self,
        server_list: servers.ServerList,
        book: server_book.ServerBook,
        account: engine_account.EngineAccount,
        system_clock: clock.Clock,
        rng: random.Random,
    ):
        """Makes a pool.

        Args:
            server_list: The engines.
            book: Which of them can be reached.
            account: What is known of their work.
            system_clock: Measures time left.
            rng: Spreads refused callers.
        """
        self._server_list = server_list
        self._book = book
        self._account = account
        self._clock = system_clock
        self._rng = rng

    def place(
        self,
        wanted: request.RoutedRequest,
        route: table.Route,
        service: table.Service,
        limit: time_limits.TimeLimit,
        *,
        excluded: frozenset[fleet.ServerStart],
        may_refuse: bool,
        allowed_servers: ServerFilter = list,
    ) -> engine_account.Placed:
        """Chooses the best plan and counts it in.

        Args:
            wanted: The request.
            route: Its route.
            service: Whose engines to choose from.
            limit: How long it may take.
            excluded: Engines that failed it already.
            may_refuse: Whether a prompt that would be late is refused; one
                that was begun goes on.
            allowed_servers: Returns the engines that the request may be sent
                to; called separately for prefill and for decode engines.

        Raises:
            NoEngineError: No engine is left.
            OverloadedError: Its answer would be of no use.
        """
        candidates = self._candidates(
            wanted, service, excluded, allowed_servers
        )
        plans = candidates.plans()
        if wanted.prompt is not None and service.engine is not None:
            plans = self._with_told_waits(
                candidates, plans, route.priority, wanted.prompt
            )
        if not plans:
            raise errors.NoEngineError(
                f"no engine of {service.name} is left to try",
                retry_after_s=self._retry_after_s(service),
            )
        plan = plans[0]
        if may_refuse:
            self._account.demand.note(wanted, service)
            self._refuse_if_late(wanted, route, plan, limit)
        placed = self._account.count_in(wanted, service, plan, route.priority)
        self._log(wanted, route, plan)
        return placed

    def take_over(
        self,
        wanted: request.RoutedRequest,
        service: table.Service,
        source: fleet.Server,
        *,
        excluded: frozenset[fleet.ServerStart],
        allowed_servers: ServerFilter = list,
    ) -> engine_account.Placed:
        """Chooses the engine that answers a prompt that was prefilled.

        Args:
            wanted: The request.
            service: Whose engines to choose from.
            source: The engine that prefilled the prompt.
            excluded: Engines that failed it already.
            allowed_servers: See ``place``.

        Raises:
            NoEngineError: No engine is left.
        """
        usable = self._usable(service, excluded)
        decodes = allowed_servers(
            [one for one in usable if one.role != "prefill"]
        )
        parts = prompt_parts.chain_of(wanted.prompt)
        plans = prompt_placement.takeovers(
            _shape(wanted, service, parts),
            self._account.speeds(service.name),
            prompt_placement.EngineView(source),
            self._views(decodes, parts, self._account.pace("decode", decodes)),
        )
        if not plans:
            raise errors.NoEngineError(
                f"no engine of {service.name} is left to go on",
                retry_after_s=self._retry_after_s(service),
            )
        placed = self._account.count_in_takeover(wanted, service, plans[0])
        logger.bind(
            request_id=wanted.request_id,
            decode_id=placed.plan.decode.server.server_id,
            prefill_id=source.server_id,
            unlisted=self._server_list.unlisted(
                [placed.plan.decode.server.server_id]
            ),
            running_share=round(placed.plan.decode.running_share, 3),
            first_token_s=round(placed.plan.first_token_s, 4),
        ).info("taken over")
        return placed

    def _retry_after_s(self, service: table.Service) -> float:
        """Returns when a caller may come again who met no engine."""
        answering = [
            server
            for server in self._server_list.usable(service.name)
            if server.role != "prefill"
        ]
        rest_left_s = self._book.rest_left_s(
            answering, self._clock.monotonic_s()
        )
        return RETRY_WITHOUT_ENGINE_S if rest_left_s is None else rest_left_s

    def _refuse_if_late(
        self,
        wanted: request.RoutedRequest,
        route: table.Route,
        plan: prompt_placement.Plan,
        limit: time_limits.TimeLimit,
    ) -> None:
        prospect = prompt_admission.Prospect(
            first_token_s=plan.first_token_s,
            queue_s=plan.queue_s,
            target_s=route.target_s,
            left_s=limit.left_s(),
        )
        refusal = prompt_admission.decide(prospect, self._rng)
        if refusal is None:
            return
        logger.bind(
            request_id=wanted.request_id,
            route=route.name,
            first_token_s=round(plan.first_token_s, 3),
            queue_s=round(prospect.queue_s, 3),
            target_s=route.target_s,
            left_s=round(prospect.left_s, 3),
            retry_after_s=round(refusal.retry_after_s, 3),
        ).info("refused: the answer would come too late")
        raise errors.OverloadedError(
            "the engines can't answer in time",
            retry_after_s=refusal.retry_after_s,
        )

    def _with_told_waits(
        self,
        candidates: _Candidates,
        plans: list[prompt_placement.Plan],
        priority: int,
        prompt: request.Prompt,
    ) -> list[prompt_placement.Plan]:
        """Returns the plans by what the owners of the best queues tell.

        Where this node doesn't hear of all work, the engine that looks best is
        the one whose queue it knows least of. So the owners of the best few
        queues are asked, and once more that of the best one if it was none of
        them.
        """
        asked_count = self._account.asked_count
        if not asked_count:
            return plans
        parts = prompt_parts.told_chain(prompt_parts.chain_of(prompt))
        keys = tuple(part.held.key for part in parts)
        asked: set[fleet.Address | None] = set()
        for count in (asked_count, 1):
            best = plans[0].reader.server if plans else None
            if best is None or self._account.owner(best) in asked:
                break
            owners = self._owners(plans, count)
            asked |= owners
            readers = {plan.reader.server for plan in plans}
            told = self._account.told_waits(
                [one for one in readers if self._account.owner(one) in owners],
                priority,
                keys,
            )
            if parts:
                candidates = candidates.with_told(told, parts)
                plans = candidates.plans()
            else:
                plans = _by_waits(plans, told)
        return plans

    def _owners(
        self, plans: list[prompt_placement.Plan], count: int
    ) -> set[fleet.Address | None]:
        """Returns who keeps the queues of the best plans' readers."""
        found: set[fleet.Address | None] = set()
        for plan in plans:
            found.add(self._account.owner(plan.reader.server))
            if len(found) >= count:
                break
        return found

    def _candidates(
        self,
        wanted: request.RoutedRequest,
        service: table.Service,
        excluded: frozenset[fleet.ServerStart],
        allowed_servers: ServerFilter,
    ) -> _Candidates:
        usable = self._usable(service, excluded)
        parts = prompt_parts.chain_of(wanted.prompt)
        prefills = allowed_servers(
            [one for one in usable if one.role == "prefill"]
        )
        decodes = allowed_servers(
            [one for one in usable if one.role != "prefill"]
        )
        if service.engine is None or wanted.prompt is None:
            prefills = []
        return _Candidates(
            _shape(wanted, service, parts),
            self._account.speeds(service.name),
            self._views(
                prefills, parts, self._account.pace("prefill", prefills)
            ),
            self._views(decodes, parts, self._account.pace("decode", decodes)),
        )

    def _usable(
        self, service: table.Service, excluded: frozenset[fleet.ServerStart]
    ) -> list[fleet.Server]:
        return self._book.reachable(
            (
                server
                for server in self._server_list.usable(service.name)
                if server.start not in excluded
            ),
            self._clock.monotonic_s(),
        )

    def _views(
        self,
        among: list[fleet.Server],
        parts: tuple[part_caches.ChainPart, ...],
        pace: float,
    ) -> list[prompt_placement.EngineView]:
        shared = prompt_parts.part_of_home(parts)
        homes = self._homes(shared, among) if shared else []
        looked_at = self._account.sample(homes, among, self._rng)
        return [
            self._account.view(
                one, parts, pace, is_home=bool(homes) and one is homes[0]
            )
            for one in looked_at
        ]

    def _homes(
        self, shared: part_caches.ChainPart, among: list[fleet.Server]
    ) -> list[fleet.Server]:
        """Returns the homes of a part, the first one first.

        Prefill engines keep parts for a while only and copy what they lack,
        so their homes are among those whose queues this node follows.
        """
        heard = [
            one
            for one in among
            if one.role == "prefill" and self._account.hears_of(one)
        ]
        return part_homes.homes(shared.held.key, heard or among)

    def _log(
        self,
        wanted: request.RoutedRequest,
        route: table.Route,
        plan: prompt_placement.Plan,
    ) -> None:
        prefill = plan.prefill.server.server_id if plan.prefill else None
        logger.bind(
            request_id=wanted.request_id,
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
            prompt_tokens=wanted.prompt.tokens if wanted.prompt else None,
            cached_tokens=plan.cached_tokens,
            queue_s=round(plan.queue_s, 4),
            told_wait_s=plan.reader.told_wait_s,
            work_s=round(plan.prefill_work_s, 4),
            first_token_s=round(plan.first_token_s, 4),
        ).info("placed")


def _by_waits(
    plans: list[prompt_placement.Plan],
    told: Mapping[fleet.ServerStart, queue_owners.ToldWait],
) -> list[prompt_placement.Plan]:
    """Returns the plans with the waits that were told, the best first.

    For a prompt without long parts; whatever else is told changes nothing.
    """
    found = []
    for plan in plans:
        wait = told.get(plan.reader.server.start)
        if wait is None:
            found.append(plan)
        else:
            wait_s = _told_wait_s(plan.reader, wait)
            found.append(plan.with_wait(wait_s, wait.wait_s))
    return sorted(found, key=lambda plan: plan.cost)


def _with_told(
    view: prompt_placement.EngineView,
    told: Mapping[fleet.ServerStart, queue_owners.ToldWait],
    parts: tuple[part_caches.ChainPart, ...],
) -> prompt_placement.EngineView:
    wait = told.get(view.server.start)
    if wait is None:
        return view
    return view._replace(
        wait_s=_told_wait_s(view, wait),
        told_wait_s=wait.wait_s,
        cached_tokens=_told_cached_tokens(view, wait, parts),
    )


def _told_wait_s(
    view: prompt_placement.EngineView, wait: queue_owners.ToldWait
) -> float:
    wait_s = wait.wait_s + view.slot_wait_s
    return wait_s if wait.is_whole else max(wait_s, view.wait_s)


def _told_cached_tokens(
    view: prompt_placement.EngineView,
    wait: queue_owners.ToldWait,
    parts: tuple[part_caches.ChainPart, ...],
) -> int:
    """Returns the leading tokens that an engine holds, by what was told.

    Parts that are too short to be asked about are believed held as before.
    """
    if wait.held_count:
        held_tokens = parts[min(wait.held_count, len(parts)) - 1].end_tokens
        return max(held_tokens, view.cached_tokens)
    if not wait.knows_parts:
        return view.cached_tokens
    before_tokens = parts[0].end_tokens - parts[0].held.tokens
    return min(view.cached_tokens, before_tokens)


def _shape(
    wanted: request.RoutedRequest,
    service: table.Service,
    parts: tuple[part_caches.ChainPart, ...],
) -> prompt_placement.PromptShape:
    engine = service.engine
    shared = prompt_parts.part_of_home(parts)
    return prompt_placement.PromptShape(
        tokens=wanted.prompt.tokens if wanted.prompt else 0,
        shared_tokens=shared.end_tokens if shared else 0,
        kv_token_bytes=engine.kv_token_bytes if engine else 0.0,
        link_bytes_per_s=engine.link_bytes_per_s if engine else 1.0,
    )
