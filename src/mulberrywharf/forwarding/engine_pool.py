"""The engines of a service as one prompt meets them, and plans for it."""

import random
from typing import NamedTuple

from loguru import logger

from mulberrywharf import clock, errors
from mulberrywharf.forwarding import request, server_book, servers, time_limits
from mulberrywharf.policy import (
    engine_queues,
    part_caches,
    prompt_admission,
    prompt_placement,
)
from mulberrywharf.routes import table

RETRY_WITHOUT_ENGINE_S = 0.3
"""For a caller that came while no engine was left: the next change of the
server list comes within a heartbeat of the servers, about a second."""


class Placed(NamedTuple):
    """A plan that was chosen and counted.

    Attributes:
        plan: The plan.
        ticket: The prompt's place in the reader's queue.
    """

    plan: prompt_placement.Plan
    ticket: engine_queues.Ticket


class EnginePool:
    """Plans prompts and keeps account of what was planned."""

    def __init__(
        self,
        server_list: servers.ServerList,
        book: server_book.ServerBook,
        system_clock: clock.Clock,
        rng: random.Random,
    ):
        self._server_list = server_list
        self._book = book
        self._clock = system_clock
        self._rng = rng
        self._queues = engine_queues.EngineQueues()
        self._caches = part_caches.PartCaches()

    def keep_only(self, server_ids: frozenset[str]) -> None:
        """Forgets engines that left."""
        self._queues.keep_only(server_ids)
        self._caches.keep_only(server_ids)

    def place(
        self,
        wanted: request.RoutedRequest,
        route: table.Route,
        service: table.Service,
        limit: time_limits.TimeLimit,
        *,
        excluded: frozenset[str],
        may_refuse: bool,
    ) -> Placed:
        """Chooses the best plan and counts it in.

        Args:
            wanted: The request.
            route: Its route.
            service: Whose engines to choose from.
            limit: How long it may take.
            excluded: Engines that failed it already.
            may_refuse: Whether a prompt that would be late is refused; one
                that was begun goes on.

        Raises:
            NoEngineError: No engine is left.
            OverloadedError: Its answer would be of no use.
        """
        plans = self._plans(wanted, service, excluded)
        if not plans:
            raise errors.NoEngineError(
                f"no engine of {service.name} is left to try",
                retry_after_s=RETRY_WITHOUT_ENGINE_S,
            )
        plan = plans[0]
        if may_refuse:
            self._refuse_if_late(wanted, route, plan, limit)
        placed = self._count_in(wanted, service, plan)
        self._log(wanted, route, plan)
        return placed

    def read(self, placed: Placed) -> None:
        """Notes that the reader has read the prompt."""
        self._queues.finished(placed.ticket, self._clock.monotonic_s())

    def _refuse_if_late(
        self,
        wanted: request.RoutedRequest,
        route: table.Route,
        plan: prompt_placement.Plan,
        limit: time_limits.TimeLimit,
    ) -> None:
        prospect = prompt_admission.Prospect(
            first_token_s=plan.first_token_s,
            queue_s=plan.reader.wait_s,
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

    def _plans(
        self,
        wanted: request.RoutedRequest,
        service: table.Service,
        excluded: frozenset[str],
    ) -> list[prompt_placement.Plan]:
        usable = [
            server
            for server in self._server_list.usable(service.name)
            if server.server_id not in excluded
        ]
        parts = wanted.prompt.parts if wanted.prompt else ()
        prefills = [one for one in usable if one.role == "prefill"]
        decodes = [one for one in usable if one.role != "prefill"]
        if service.engine is None or wanted.prompt is None:
            prefills = []
        return prompt_placement.plans(
            _shape(wanted, service),
            self._views(prefills, parts),
            self._views(decodes, parts),
        )

    def _views(
        self,
        among: list[servers.Server],
        parts: tuple[request.PromptPart, ...],
    ) -> list[prompt_placement.EngineView]:
        shared = max(parts[:-1], key=lambda part: part.tokens, default=None)
        if shared is None or shared.tokens < prompt_placement.HOME_LEAST_TOKENS:
            return [self._view(one, parts, is_home=False) for one in among]
        ranked = prompt_placement.homes(shared.part_id, among)
        return [
            self._view(one, parts, is_home=one is ranked[0]) for one in ranked
        ]

    def _view(
        self,
        server: servers.Server,
        parts: tuple[request.PromptPart, ...],
        *,
        is_home: bool,
    ) -> prompt_placement.EngineView:
        now_s = self._clock.monotonic_s()
        server_id = server.server_id
        cached_tokens = self._caches.cached_tokens(server_id, parts)
        if is_home:
            # Other nodes send the part there too, so it is held there even
            # if this node never sent it.
            shared_tokens = sum(part.tokens for part in parts[:-1])
            cached_tokens = max(cached_tokens, shared_tokens)
        (candidate,) = self._book.candidates([server], now_s)
        running_count = candidate.own_count + candidate.others_count
        return prompt_placement.EngineView(
            server=server,
            wait_s=self._queues.wait_s(server_id, now_s),
            running_share=running_count / max(1, server.slots_count),
            cached_tokens=cached_tokens,
            is_suspected=candidate.is_suspected,
            is_near=candidate.is_near,
        )

    def _count_in(
        self,
        wanted: request.RoutedRequest,
        service: table.Service,
        plan: prompt_placement.Plan,
    ) -> Placed:
        now_s = self._clock.monotonic_s()
        reader_id = plan.reader.server.server_id
        ticket = self._queues.add(reader_id, plan.prefill_work_s, now_s)
        if service.engine is not None and wanted.prompt is not None:
            for engine in {reader_id, plan.decode.server.server_id}:
                self._caches.note_read(
                    engine, wanted.prompt.parts, service.engine.kv_tokens
                )
        return Placed(plan, ticket)

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
            fetch_from=str(plan.fetch_from.address)
            if plan.fetch_from
            else None,
            prompt_tokens=wanted.prompt.tokens if wanted.prompt else None,
            cached_tokens=plan.cached_tokens,
            queue_s=round(plan.reader.wait_s, 4),
            first_token_s=round(plan.first_token_s, 4),
        ).info("placed")


def _shape(
    wanted: request.RoutedRequest, service: table.Service
) -> prompt_placement.PromptShape:
    engine = service.engine
    return prompt_placement.PromptShape(
        tokens=wanted.prompt.tokens if wanted.prompt else 0,
        kv_token_bytes=engine.kv_token_bytes if engine else 0.0,
        link_bytes_per_s=engine.link_bytes_per_s if engine else 1.0,
    )
