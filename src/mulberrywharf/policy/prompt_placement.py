"""Chooses the engines that prefill a prompt and generate its answer.

The workload mixes many short prompts with long ones that share most of their
tokens. A long prompt takes five times as much engine time if its shared part
isn't cached, and no engine can cache all shared parts. So where a part is
cached matters most: each part has a home engine, the same at every gateway, and
is prefilled elsewhere only if the home's queue is so long that this is faster.

Each plan is scored by its time to the first token and by the engine time that
it takes from other requests.
"""

from collections.abc import Sequence
from typing import NamedTuple

from mulberrywharf import fleet
from mulberrywharf.policy import engine_speeds

OTHER_ZONE_TRANSFER_FACTOR = 2.0
"""KV transfers between availability zones take twice as long."""

WORK_WEIGHT = 1.0
"""Cost of a second of engine time, relative to a second of this request's own
wait. Work on an engine delays every request behind it; at the expected load
about one is waiting. A lastingly slow engine serves fewer requests in a second,
so fewer are delayed, and its seconds cost less by its slowdown. If they did
not, slow engines would be idle while fast ones refuse callers."""

COPY_WEIGHT = 0.8
"""Cost of caching a shared part on one more engine, as a share of the part's
prefill time. A new copy evicts as many tokens of other parts, and most of those
are needed again, as the memory of all engines together holds each part about
once. With a weight of 0, engines prefilled 433,000 shared tokens again within
34 s; with 0.6 and 1.0 it was 118,000."""

STREAM_WEIGHT = 0.25
"""Cost of prefilling at a decode engine for each stream that it runs, as a
share of the prefill's duration. Chunks of the prompt are processed between the
tokens of these streams: meanwhile a stream's next event, with eleven tokens,
takes 0.26 s instead of 0.06 s, and a stream that pauses for so long misses its
target. A cost by the share of slots in use would make an engine with many slots
look idle: 217 of 972 chat streams of a day would pause for longer than their
callers accept."""

FULL_BATCH_COST_S = 0.2
"""Cost of an engine whose slots are all in use; with fewer in use the cost is
proportionally lower. The steps of a full batch take longer, and a failure of
the engine ends all its requests."""

SUSPECT_COST_S = 5.0
"""Cost of an engine that recently failed to answer. It exceeds any queueing
delay, so that such an engine is used only if there is no other."""

FAILURE_COST_S = 0.4
"""Cost of an engine that fails all requests, for its first faults: a share that
is 0.1 higher costs as much as another fifth of its slots in use, as where plain
servers are chosen. Random faults of a sound service so shift little load."""

RANDOM_FAULT_SHARE_LIMIT = 0.35
"""Share of faults that an engine rarely exceeds by chance if 14 in 100 of all
requests fail by themselves, over its last twenty answers."""

FAILING_COST_S = 5.0
"""Additional cost of the share above ``RANDOM_FAULT_SHARE_LIMIT``. An engine
that fails all requests at once has an empty queue, and the queues of the others
are up to seconds long under load."""

OTHER_ZONE_COST_S = 0.002
"""Prefers the gateway's own zone among equal engines; a network hop between
zones takes about 1 ms each way."""

OTHER_ZONE_STREAM_COST_S = 0.03
"""Cost of generating in another availability zone: a stream lasts for seconds,
and a network partition between the zones ends it. The cost equals that of a
sixth of an engine's slots, so that other zones still serve what the own zone
can't. On a day on which a zone is partitioned, this cost adds 0.035 of the
value of all requests to the value that is earned. With a cost of 0.1 s, engines
would stay idle beside full ones."""

HOME_BONUS_S = 0.01
"""Bonus for the home engine of a part that no engine holds. It only breaks
ties, so that parts spread evenly and gateways that decide at the same time
choose the same engine."""


class EngineView(NamedTuple):
    """An engine as this gateway sees it for one prompt.

    Attributes:
        server: The engine.
        wait_s: Time until it starts on a new prompt.
        slot_wait_s: Time until one of its slots is free; part of ``wait_s``.
        running_share: Share of its slots in use.
        cached_tokens: Leading tokens of the prompt that it holds.
        slowdown: Its slowdown relative to other engines of its role: 1 for
            equal speed, 2 for half the speed.
        learned_slowdown: The part of ``slowdown`` that was learned from the
            durations of earlier prompts.
        lasting_slowdown: The part of ``learned_slowdown`` that the owner of the
            engine's queue told, 1 if it told none.
        is_suspected: Whether it recently failed to answer.
        fault_share: Share of its recent answers that were its own faults.
        is_same_zone: Whether it is in the gateway's availability zone.
        is_home: Whether it is the first home engine of the prompt's shared
            part.
        reported_wait_s: The part of ``wait_s`` reported by the owner of the
            engine's queue, None if there was no report.
        pace: The part of ``slowdown`` that the engine states itself.
    """

    server: fleet.Server
    wait_s: float = 0.0
    slot_wait_s: float = 0.0
    running_share: float = 0.0
    cached_tokens: int = 0
    slowdown: float = 1.0
    is_suspected: bool = False
    fault_share: float = 0.0
    is_same_zone: bool = True
    is_home: bool = False
    reported_wait_s: float | None = None
    pace: float = 1.0
    learned_slowdown: float = 1.0
    lasting_slowdown: float = 1.0


class PromptShape(NamedTuple):
    """The properties of a prompt that its placement depends on.

    Attributes:
        tokens: Its length.
        shared_tokens: How many of its tokens other prompts share.
        kv_token_bytes: Size of one token's KV cache in bytes.
        link_bytes_per_s: Bandwidth of KV transfers.
    """

    tokens: int
    shared_tokens: int
    kv_token_bytes: float
    link_bytes_per_s: float


class Plan(NamedTuple):
    """One way to serve a prompt.

    Attributes:
        decode: The engine that generates.
        prefill: The engine that prefills, None if ``decode`` does it.
        fetch_from: The engine that cached parts are copied from, if any.
        first_token_s: Estimated time to the first token.
        prefill_time: Prefill time of the prompt at the engine that prefills it.
        copy_s: Time to copy the KV cache of cached parts to the engine that
            prefills, before the prefill. For a prompt that is already
            prefilled, time to transfer its KV cache to ``decode``.
        cached_tokens: Prompt tokens that need no prefill.
        cost: Score by which plans are compared, in seconds; lower is better.
    """

    decode: EngineView
    prefill: EngineView | None
    fetch_from: fleet.Server | None
    first_token_s: float
    prefill_time: engine_speeds.PrefillTime
    copy_s: float
    cached_tokens: int
    cost: float

    @property
    def prefill_work_s(self) -> float:
        """Engine time that the prefill takes from other prompts."""
        return self.copy_s + self.prefill_time.work_s

    @property
    def queue_s(self) -> float:
        """The part of the time to the first token spent waiting."""
        if self.prefill is None:
            return self.decode.wait_s
        return self.prefill.wait_s + self.decode.slot_wait_s

    @property
    def prefill_engine(self) -> EngineView:
        """The engine that prefills the prompt."""
        return self.prefill or self.decode

    def with_wait(self, wait_s: float, reported_wait_s: float) -> "Plan":
        """Returns the plan with another wait at the prefilling engine.

        Args:
            wait_s: See ``EngineView``.
            reported_wait_s: See ``EngineView``.
        """
        longer_s = wait_s - self.prefill_engine.wait_s
        prefill_engine = self.prefill_engine._replace(
            wait_s=wait_s, reported_wait_s=reported_wait_s
        )
        return self._replace(
            decode=self.decode if self.prefill else prefill_engine,
            prefill=prefill_engine if self.prefill else None,
            first_token_s=self.first_token_s + longer_s,
            cost=self.cost + longer_s,
        )


class _PrefillEstimate(NamedTuple):
    """How an engine prefills a prompt, with or without a KV copy."""

    time: engine_speeds.PrefillTime
    copy_s: float
    fetch_from: fleet.Server | None
    cached_tokens: int

    @property
    def total_s(self) -> float:
        return self.copy_s + self.time.total_s

    @property
    def work_s(self) -> float:
        return self.copy_s + self.time.work_s


def plans(
    shape: PromptShape,
    speeds: engine_speeds.Speeds,
    prefills: Sequence[EngineView],
    decodes: Sequence[EngineView],
) -> list[Plan]:
    """Returns all plans to serve a prompt, the best first.

    Args:
        shape: The prompt.
        speeds: Speeds of the engines.
        prefills: Prefill engines that may prefill it.
        decodes: Decode engines that may prefill it or continue after a prefill.
    """
    engines = [*prefills, *decodes]
    estimates = {
        engine.server: _prefill_estimate(shape, speeds, engine, engines)
        for engine in engines
    }
    found = [
        _direct_plan(shape, speeds, decode, estimates[decode.server])
        for decode in decodes
    ]
    found += [
        _split_plan(shape, speeds, prefill, decode, estimates[prefill.server])
        for prefill in prefills
        for decode in decodes
    ]
    return sorted(found, key=lambda plan: plan.cost)


def takeovers(
    shape: PromptShape,
    speeds: engine_speeds.Speeds,
    source: EngineView,
    decodes: Sequence[EngineView],
) -> list[Plan]:
    """Returns all plans to continue a prefilled prompt, the best first.

    In a takeover, an engine takes the KV cache of a prompt that another engine
    prefilled, and generates the answer.

    Args:
        shape: The prompt.
        speeds: Speeds of the engines.
        source: The engine that prefilled it.
        decodes: Engines that may generate its answer.
    """
    found = [
        _takeover_plan(shape, speeds, source, decode) for decode in decodes
    ]
    return sorted(found, key=lambda plan: plan.cost)


def _takeover_plan(
    shape: PromptShape,
    speeds: engine_speeds.Speeds,
    source: EngineView,
    decode: EngineView,
) -> Plan:
    transferred_tokens = shape.tokens - decode.cached_tokens
    transfer_s = _transfer_s(
        shape, transferred_tokens, source.server, decode.server
    )
    first_token_s = (
        transfer_s + decode.slot_wait_s + speeds.takeover_s * decode.slowdown
    )
    return Plan(
        decode,
        source,
        None,
        first_token_s,
        engine_speeds.PrefillTime(0.0, 0.0, 0.0),
        transfer_s,
        shape.tokens,
        first_token_s
        + _stream_cost_s(decode)
        + _cache_cost_s(shape, speeds, decode),
    )


def _direct_plan(
    shape: PromptShape,
    speeds: engine_speeds.Speeds,
    decode: EngineView,
    estimate: _PrefillEstimate,
) -> Plan:
    first_token_s = decode.wait_s + estimate.total_s
    return Plan(
        decode,
        None,
        estimate.fetch_from,
        first_token_s,
        estimate.time,
        estimate.copy_s,
        estimate.cached_tokens,
        first_token_s
        + (
            WORK_WEIGHT / decode.lasting_slowdown
            + STREAM_WEIGHT * _streams_count(decode)
        )
        * estimate.work_s
        + _stream_cost_s(decode)
        + _cache_cost_s(shape, speeds, decode),
    )


def _streams_count(decode: EngineView) -> float:
    return decode.running_share * decode.server.slots_count


def _split_plan(
    shape: PromptShape,
    speeds: engine_speeds.Speeds,
    prefill: EngineView,
    decode: EngineView,
    estimate: _PrefillEstimate,
) -> Plan:
    transferred_tokens = shape.tokens - min(
        decode.cached_tokens, estimate.cached_tokens
    )
    first_token_s = (
        prefill.wait_s
        + estimate.total_s
        + _transfer_s(shape, transferred_tokens, prefill.server, decode.server)
        + decode.slot_wait_s
        + speeds.takeover_s * decode.slowdown
    )
    cost = (
        first_token_s
        + WORK_WEIGHT / prefill.lasting_slowdown * estimate.work_s
        + _engine_cost_s(prefill)
        + _stream_cost_s(decode)
        + _cache_cost_s(shape, speeds, prefill)
        + _cache_cost_s(shape, speeds, decode)
    )
    return Plan(
        decode,
        prefill,
        estimate.fetch_from,
        first_token_s,
        estimate.time,
        estimate.copy_s,
        estimate.cached_tokens,
        cost,
    )


def _prefill_estimate(
    shape: PromptShape,
    speeds: engine_speeds.Speeds,
    engine: EngineView,
    engines: Sequence[EngineView],
) -> _PrefillEstimate:
    """Returns the fastest way for an engine to prefill the prompt.

    Another holder is named as the source even if the engine is estimated to
    hold as many tokens itself. The engine copies only what it lacks, so naming
    a source costs nothing if the estimate is right. If the engine has evicted
    the part since, the copy takes a tenth of the time of another prefill, which
    would delay all later prompts.
    """
    speed = _speed(speeds, engine)
    held_tokens = engine.cached_tokens
    without_copy = speed.prefill_time(shape.tokens, held_tokens).slowed(
        engine.slowdown
    )
    holder = _other_holder(engine, engines)
    if holder is None:
        return _PrefillEstimate(without_copy, 0.0, None, held_tokens)
    gained_tokens = holder.cached_tokens - held_tokens
    # A takeover copies a KV cache too, so its setup time is used here.
    copy_s = speeds.takeover_s + _transfer_s(
        shape, max(0, gained_tokens), holder.server, engine.server
    )
    if gained_tokens <= 0:
        part_s = speed.prefill_time(holder.cached_tokens, 0).work_s
        source = holder.server if part_s > copy_s else None
        return _PrefillEstimate(without_copy, 0.0, source, held_tokens)
    with_copy = speed.prefill_time(shape.tokens, holder.cached_tokens)
    with_copy = with_copy.slowed(engine.slowdown)
    if copy_s + with_copy.work_s >= without_copy.work_s:
        return _PrefillEstimate(without_copy, 0.0, None, held_tokens)
    return _PrefillEstimate(
        with_copy, copy_s, holder.server, holder.cached_tokens
    )


def _speed(
    speeds: engine_speeds.Speeds, engine: EngineView
) -> engine_speeds.RoleSpeed:
    if engine.server.role == "prefill":
        return speeds.prefill
    return speeds.decode


def _other_holder(
    engine: EngineView, engines: Sequence[EngineView]
) -> EngineView | None:
    """Returns the engine to copy cached parts from.

    Among engines that hold as many tokens, one in the same zone is preferred.
    """
    others = [
        one
        for one in engines
        if one.server != engine.server
        and one.cached_tokens > 0
        and not one.is_suspected
    ]
    zone = engine.server.availability_zone
    return max(
        others,
        key=lambda one: (
            one.cached_tokens,
            one.server.availability_zone == zone,
        ),
        default=None,
    )


def _transfer_s(
    shape: PromptShape,
    tokens: int,
    source: fleet.Server,
    target: fleet.Server,
) -> float:
    transfer_s = tokens * shape.kv_token_bytes / shape.link_bytes_per_s
    if source.availability_zone != target.availability_zone:
        transfer_s *= OTHER_ZONE_TRANSFER_FACTOR
    return transfer_s


def failure_cost_s(fault_share: float) -> float:
    """Returns the cost of using an engine with a share of faults."""
    excess_share = max(0.0, fault_share - RANDOM_FAULT_SHARE_LIMIT)
    return FAILURE_COST_S * fault_share + FAILING_COST_S * excess_share


def _cache_cost_s(
    shape: PromptShape, speeds: engine_speeds.Speeds, engine: EngineView
) -> float:
    """Returns the cost of caching the prompt's shared part on an engine."""
    added_tokens = max(0, shape.shared_tokens - engine.cached_tokens)
    return COPY_WEIGHT * added_tokens * speeds.prefill.token_s


def _stream_cost_s(decode: EngineView) -> float:
    """Returns the cost of generating at an engine, besides its queue."""
    zone_cost_s = 0.0 if decode.is_same_zone else OTHER_ZONE_STREAM_COST_S
    return _engine_cost_s(decode) + zone_cost_s


def _engine_cost_s(engine: EngineView) -> float:
    """Returns the cost of using an engine, besides its queue.

    A full batch slows each token of all its requests.
    """
    return (
        engine.running_share * FULL_BATCH_COST_S
        + (SUSPECT_COST_S if engine.is_suspected else 0.0)
        + failure_cost_s(engine.fault_share)
        + (0.0 if engine.is_same_zone else OTHER_ZONE_COST_S)
        - (HOME_BONUS_S if engine.is_home else 0.0)
    )
