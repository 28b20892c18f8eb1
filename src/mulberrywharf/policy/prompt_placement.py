"""Where a prompt is prefilled and where its answer is generated.

The load it answers: long prompts, most of whose tokens are shared with other
prompts, beside many short ones. A long prompt costs an engine five times as
much when nothing of it is cached as when the shared part is, and all shared
parts together don't fit into any one engine. So where a part lives decides
most: it has a home, the same on every node, and leaves it only when the home
is so far behind that reading it anew elsewhere is faster.

Every way is scored by its time to the first token and by the engine time that
it takes from others.
"""

from collections.abc import Sequence
from typing import NamedTuple

from mulberrywharf import fleet
from mulberrywharf.policy import engine_speeds

OTHER_ZONE_MOVE_FACTOR = 2.0
"""A move between availability zones takes twice as long."""

WORK_WEIGHT = 1.0
"""Seconds of engine time against seconds of this request's own wait. Work on
an engine delays each request that comes behind it, at a load where about one
is waiting."""

COPY_WEIGHT = 0.8
"""Part of a shared part's reading time that one more copy of it costs. A copy
pushes as many tokens of other parts out of the engine's memory, and most of
these are needed again: all parts fit into all engines' memory about once.
Weighed against 0, 0.3, 0.6 and 1.0 on prompts of two operators: from 0 to 0.6
and 1.0, shared tokens read anew fell from 433,000 to 118,000 in 34 s."""

STREAM_WEIGHT = 0.25
"""Part of its own length that a reading costs for each stream that a decode
engine runs. Pieces of the prompt come between the tokens of all of them: while
it lasts an event of eleven tokens takes 0.26 s instead of 0.06, and a stream
that pauses so long is late. By the share of slots that is taken, as it was
weighed before, an engine with many slots counted as idle: 217 of 972 chat
streams of a day paused longer than their callers accept. Weighed against 0.12
and 0.6 on one operator's days, and against the share on those of two others."""

FULL_BATCH_COST_S = 0.2
"""What speaks against an engine whose slots are all taken, and in proportion
below that: its steps are longer, and whatever ends it ends them all."""

SUSPECT_COST_S = 5.0
"""More than any queue: an engine that did not answer is a last resort."""

OTHER_ZONE_COST_S = 0.002
"""Between equals the own zone goes first; a hop takes about 1 ms each way."""

OTHER_ZONE_STREAM_COST_S = 0.03
"""Against answering from another availability zone: a stream lasts for seconds,
and a cut between the zones ends it. As much as a sixth of an engine's slots, so
that zones still take over what others can't. Where a zone was cut, 0.035 of the
worth of a day came from it; 0.1 s left engines idle beside full ones."""

HOME_BONUS_S = 0.01
"""What speaks for the home of a part that is held nowhere. It only breaks
ties, so that parts spread evenly and nodes that choose at once choose alike."""


class EngineView(NamedTuple):
    """An engine as this node sees it for one prompt.

    Attributes:
        server: The engine.
        wait_s: Until its steps reach a new prompt.
        slot_wait_s: Until one of its slots is free; part of ``wait_s``.
        running_share: Part of its slots that is taken.
        cached_tokens: Leading tokens of the prompt that it holds.
        pace: Its speed against its peers', 1 for equal, 2 for half as fast.
        is_suspected: Whether it did not answer a moment ago.
        is_near: Whether it stands in the node's availability zone.
        is_home: Whether it is the first home of the prompt's shared part.
        told_wait_s: The part of ``wait_s`` that was told by who counts all of
            its prompts, None if nobody did.
    """

    server: fleet.Server
    wait_s: float = 0.0
    slot_wait_s: float = 0.0
    running_share: float = 0.0
    cached_tokens: int = 0
    pace: float = 1.0
    is_suspected: bool = False
    is_near: bool = True
    is_home: bool = False
    told_wait_s: float | None = None


class PromptShape(NamedTuple):
    """What of a prompt decides where it goes.

    Attributes:
        tokens: Its length.
        shared_tokens: How many of them other prompts share.
        kv_token_bytes: Bytes of the KV cache of one token.
        link_bytes_per_s: Speed at which KV caches move.
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
        reading: What reading the prompt takes, at the engine that does it.
        copy_s: Time to copy cached parts before that, or, of a prompt that
            was prefilled, to move its KV cache.
        cached_tokens: Prompt tokens that need not be read.
        cost: What the ways are compared by; lower is better.
    """

    decode: EngineView
    prefill: EngineView | None
    fetch_from: fleet.Server | None
    first_token_s: float
    reading: engine_speeds.ReadingTime
    copy_s: float
    cached_tokens: int
    cost: float

    @property
    def prefill_work_s(self) -> float:
        """Engine time that the prefill takes from other prompts."""
        return self.copy_s + self.reading.work_s

    @property
    def queue_s(self) -> float:
        """The part of the time to the first token that is spent waiting."""
        if self.prefill is None:
            return self.decode.wait_s
        return self.prefill.wait_s + self.decode.slot_wait_s

    @property
    def reader(self) -> EngineView:
        """The engine that reads the prompt."""
        return self.prefill or self.decode

    def with_wait(self, wait_s: float, told_wait_s: float) -> "Plan":
        """Returns the plan with another wait of its reader.

        Args:
            wait_s: See ``EngineView``.
            told_wait_s: See ``EngineView``.
        """
        longer_s = wait_s - self.reader.wait_s
        reader = self.reader._replace(wait_s=wait_s, told_wait_s=told_wait_s)
        return self._replace(
            decode=self.decode if self.prefill else reader,
            prefill=reader if self.prefill else None,
            first_token_s=self.first_token_s + longer_s,
            cost=self.cost + longer_s,
        )


class _Reading(NamedTuple):
    """How an engine gets at a prompt."""

    time: engine_speeds.ReadingTime
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
    """Returns every way to serve a prompt, the best first.

    Args:
        shape: The prompt.
        speeds: How fast the engines are.
        prefills: Prefill engines that may read it.
        decodes: Decode engines that may read it or go on from a prefill.
    """
    holders = [*prefills, *decodes]
    read_at = {
        engine.server: _reading(shape, speeds, engine, holders)
        for engine in holders
    }
    found = [
        _direct(shape, speeds, decode, read_at[decode.server])
        for decode in decodes
    ]
    found += [
        _split(shape, speeds, prefill, decode, read_at[prefill.server])
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
    """Returns every way to go on from a prefilled prompt, the best first.

    Args:
        shape: The prompt.
        speeds: How fast the engines are.
        source: The engine that prefilled it.
        decodes: Engines that may answer it.
    """
    found = [_takeover(shape, speeds, source, decode) for decode in decodes]
    return sorted(found, key=lambda plan: plan.cost)


def _takeover(
    shape: PromptShape,
    speeds: engine_speeds.Speeds,
    source: EngineView,
    decode: EngineView,
) -> Plan:
    moved_tokens = shape.tokens - decode.cached_tokens
    move_s = _move_s(shape, moved_tokens, source.server, decode.server)
    first_token_s = (
        move_s + decode.slot_wait_s + speeds.takeover_s * decode.pace
    )
    return Plan(
        decode,
        source,
        None,
        first_token_s,
        engine_speeds.ReadingTime(0.0, 0.0, 0.0),
        move_s,
        shape.tokens,
        first_token_s
        + _stream_cost_s(decode)
        + _copy_cost_s(shape, speeds, decode),
    )


def _direct(
    shape: PromptShape,
    speeds: engine_speeds.Speeds,
    decode: EngineView,
    reading: _Reading,
) -> Plan:
    first_token_s = decode.wait_s + reading.total_s
    return Plan(
        decode,
        None,
        reading.fetch_from,
        first_token_s,
        reading.time,
        reading.copy_s,
        reading.cached_tokens,
        first_token_s
        + (WORK_WEIGHT + STREAM_WEIGHT * _streams_count(decode))
        * reading.work_s
        + _stream_cost_s(decode)
        + _copy_cost_s(shape, speeds, decode),
    )


def _streams_count(decode: EngineView) -> float:
    return decode.running_share * decode.server.slots_count


def _split(
    shape: PromptShape,
    speeds: engine_speeds.Speeds,
    prefill: EngineView,
    decode: EngineView,
    reading: _Reading,
) -> Plan:
    moved_tokens = shape.tokens - min(
        decode.cached_tokens, reading.cached_tokens
    )
    first_token_s = (
        prefill.wait_s
        + reading.total_s
        + _move_s(shape, moved_tokens, prefill.server, decode.server)
        + decode.slot_wait_s
        + speeds.takeover_s * decode.pace
    )
    cost = (
        first_token_s
        + WORK_WEIGHT * reading.work_s
        + _place_cost_s(prefill)
        + _stream_cost_s(decode)
        + _copy_cost_s(shape, speeds, prefill)
        + _copy_cost_s(shape, speeds, decode)
    )
    return Plan(
        decode,
        prefill,
        reading.fetch_from,
        first_token_s,
        reading.time,
        reading.copy_s,
        reading.cached_tokens,
        cost,
    )


def _reading(
    shape: PromptShape,
    speeds: engine_speeds.Speeds,
    reader: EngineView,
    holders: Sequence[EngineView],
) -> _Reading:
    """Returns how an engine gets at the prompt in the shortest time.

    Another holder is named even if the reader is believed to hold as much.
    The reader copies only what it lacks, so that costs nothing if the belief
    is true; if the reader has dropped the part since, the copy takes a tenth
    of the time of reading the part anew, which holds up whatever comes next.
    """
    speed = _speed(speeds, reader)
    held_tokens = reader.cached_tokens
    alone = speed.reading(shape.tokens, held_tokens).paced(reader.pace)
    holder = _other_holder(reader, holders)
    if holder is None:
        return _Reading(alone, 0.0, None, held_tokens)
    gained_tokens = holder.cached_tokens - held_tokens
    # The setup of a copy is about that of a takeover, which is one too.
    copy_s = speeds.takeover_s + _move_s(
        shape, max(0, gained_tokens), holder.server, reader.server
    )
    if gained_tokens <= 0:
        part_s = speed.reading(holder.cached_tokens, 0).work_s
        source = holder.server if part_s > copy_s else None
        return _Reading(alone, 0.0, source, held_tokens)
    rest = speed.reading(shape.tokens, holder.cached_tokens)
    rest = rest.paced(reader.pace)
    if copy_s + rest.work_s >= alone.work_s:
        return _Reading(alone, 0.0, None, held_tokens)
    return _Reading(rest, copy_s, holder.server, holder.cached_tokens)


def _speed(
    speeds: engine_speeds.Speeds, engine: EngineView
) -> engine_speeds.RoleSpeed:
    if engine.server.role == "prefill":
        return speeds.prefill
    return speeds.decode


def _other_holder(
    reader: EngineView, holders: Sequence[EngineView]
) -> EngineView | None:
    """Returns the engine to copy cached parts from, the nearest of equals."""
    others = [
        one
        for one in holders
        if one.server != reader.server
        and one.cached_tokens > 0
        and not one.is_suspected
    ]
    zone = reader.server.availability_zone
    return max(
        others,
        key=lambda one: (
            one.cached_tokens,
            one.server.availability_zone == zone,
        ),
        default=None,
    )


def _move_s(
    shape: PromptShape,
    tokens: int,
    source: fleet.Server,
    target: fleet.Server,
) -> float:
    move_s = tokens * shape.kv_token_bytes / shape.link_bytes_per_s
    if source.availability_zone != target.availability_zone:
        move_s *= OTHER_ZONE_MOVE_FACTOR
    return move_s


def _copy_cost_s(
    shape: PromptShape, speeds: engine_speeds.Speeds, engine: EngineView
) -> float:
    """Returns what it costs that an engine gets a copy of shared parts."""
    copied_tokens = max(0, shape.shared_tokens - engine.cached_tokens)
    return COPY_WEIGHT * copied_tokens * speeds.prefill.token_s


def _stream_cost_s(decode: EngineView) -> float:
    """Returns what speaks against an engine that is to answer."""
    zone_cost_s = 0.0 if decode.is_near else OTHER_ZONE_STREAM_COST_S
    return _place_cost_s(decode) + zone_cost_s


def _place_cost_s(engine: EngineView) -> float:
    """Returns what speaks against an engine besides its queue.

    A full batch makes each token of all its requests slower.
    """
    return (
        engine.running_share * FULL_BATCH_COST_S
        + (SUSPECT_COST_S if engine.is_suspected else 0.0)
        + (0.0 if engine.is_near else OTHER_ZONE_COST_S)
        - (HOME_BONUS_S if engine.is_home else 0.0)
    )
