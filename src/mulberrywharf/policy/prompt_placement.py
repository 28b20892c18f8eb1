"""Where a prompt is prefilled and where its answer is generated.

The load it answers: long prompts, most of whose tokens are shared with other
prompts, beside many short ones. A long prompt costs an engine 150 ms when
nothing of it is cached and 30 ms when the shared part is, and all shared parts
together don't fit into any one engine. So where a part lives decides most: it
has a home, the same on every node, and leaves it only when the home is so far
behind that reading it anew elsewhere is faster.

Every way is scored by its time to the first token and by the engine time that
it takes from others.
"""

import heapq
import random
from collections.abc import Iterable, Sequence
from typing import NamedTuple

import xxhash

from mulberrywharf import fleet

PREFILL_TOKENS_PER_S = 102_000.0
"""Prefill speed of a prefill engine: by the operators' sheet it reads 112
tokens in a ms, in pieces of 4,096, with a step of 3.4 ms and more for each."""

PAIR_S = 0.218e-9
"""Engine time for each pair of a token that is read and one that it attends
to, by the same sheet: 25 ms for the last 8,000 tokens of a prompt of 18,000."""

DECODE_PREFILL_SHARE = 0.44
"""A decode engine reads 56 tokens in a ms, in pieces of 1,024, with a step of
some 4.5 ms for the tokens of its batch between two pieces."""

FIRST_TOKEN_S = 0.031
"""From the end of a prefill to the first event of an answer, by the sheet."""

MOVE_SETUP_S = 0.005
"""Before a KV cache begins to move between two engines, by the sheet."""

HANDOVER_S = 0.01
"""What going on at another engine takes besides the move: a second exchange
and a step of the batch. Answers from a prefilled cache began 15 to 20 ms after
they were asked for, 5 of them the move's setup."""

TAKEOVER_S = MOVE_SETUP_S + HANDOVER_S
"""Until an idle engine answers a prompt that was prefilled elsewhere."""

OTHER_ZONE_MOVE_FACTOR = 2.0
"""A move between availability zones takes twice as long."""

FETCH_LEAST_TOKENS = 1_500
"""A missing part is fetched from another engine if it is longer than this:
reading so many tokens takes 13 ms, a move with its setup some 6 ms."""

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

BATCH_WEIGHT = 8.0
"""Times its own length that a reading costs at a decode engine whose slots are
all taken; weighed against 0, 4 and 16. A piece of a prompt makes the step of
the whole batch 18 ms longer, where a step without one takes 4 to 8 ms; with
readings in each step the batch hands out a third of the tokens, and each
request holds its slot three times as long. Beside an empty batch a reading
delays nobody."""

SUSPECT_COST_S = 5.0
"""More than any queue: an engine that did not answer is a last resort."""

OTHER_ZONE_COST_S = 0.002
"""Between equals the own zone goes first; a hop takes about 1 ms each way."""

UNHEARD_COST_S = 0.1
"""Against a prefill engine whose queue the node doesn't follow, in fleets too
large to tell everybody of everything. Gateways that all judge such a queue by
their own few prompts send to it until answers come late; the engines of the
own availability zone come first, and others take over what they can't."""

HOME_BONUS_S = 0.01
"""What speaks for the home of a part that is held nowhere. It only breaks
ties, so that parts spread evenly and nodes that choose at once choose alike."""

SHORTLIST_COUNT = 3
"""Homes of a part that are always looked at, of each role."""

SAMPLE_COUNT = 8
"""Engines of each role that are looked at. All ways between them are compared,
so a decision costs the square of it; the best of eight is seldom much worse
than the best of all, and gateways that look at all herd to the same one."""


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
        is_heard: Whether the node hears of all work that it gets.
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
    is_heard: bool = True


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
        prefill_work_s: Engine time that the prefill takes, at the engine
            that does it.
        cached_tokens: Prompt tokens that need not be read.
        cost: What the ways are compared by; lower is better.
    """

    decode: EngineView
    prefill: EngineView | None
    fetch_from: fleet.Server | None
    first_token_s: float
    prefill_work_s: float
    cached_tokens: int
    cost: float

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


def homes(
    part_key: int, among: Iterable[fleet.Server], count: int = SHORTLIST_COUNT
) -> list[fleet.Server]:
    """Returns the engines where a part lives, the first home first.

    Rendezvous hashing: every node finds the same ones without a message, and
    an engine that comes or goes moves only the parts that it has or gets.

    Args:
        part_key: Of the part, see ``part_caches.HeldPart``.
        among: Engines that may be its home.
        count: How many to return.
    """
    return heapq.nlargest(
        count,
        among,
        key=lambda one: xxhash.xxh3_64_intdigest(
            one.server_id.encode(), seed=part_key
        ),
    )


def sample(
    homes_first: Sequence[fleet.Server],
    among: Sequence[fleet.Server],
    rng: random.Random,
) -> list[fleet.Server]:
    """Returns the engines of one role that are looked at for a prompt.

    Args:
        homes_first: Homes of its shared part; always among them.
        among: All engines of the role.
        rng: Draws the others.
    """
    if len(among) <= SAMPLE_COUNT:
        return list(among)
    others = [one for one in among if one not in homes_first]
    drawn = rng.sample(others, SAMPLE_COUNT - len(homes_first))
    return [*homes_first, *drawn]


def plans(
    shape: PromptShape,
    prefills: Sequence[EngineView],
    decodes: Sequence[EngineView],
) -> list[Plan]:
    """Returns every way to serve a prompt, the best first.

    Args:
        shape: The prompt.
        prefills: Prefill engines that may read it.
        decodes: Decode engines that may read it or go on from a prefill.
    """
    holders = [*prefills, *decodes]
    found = [_direct(shape, decode, holders) for decode in decodes]
    found += [
        _split(shape, prefill, decode, holders)
        for prefill in prefills
        for decode in decodes
    ]
    return sorted(found, key=lambda plan: plan.cost)


def takeovers(
    shape: PromptShape, source: EngineView, decodes: Sequence[EngineView]
) -> list[Plan]:
    """Returns every way to go on from a prefilled prompt, the best first.

    Args:
        shape: The prompt.
        source: The engine that prefilled it.
        decodes: Engines that may answer it.
    """
    found = [_takeover(shape, source, decode) for decode in decodes]
    return sorted(found, key=lambda plan: plan.cost)


def _takeover(
    shape: PromptShape, source: EngineView, decode: EngineView
) -> Plan:
    moved_tokens = shape.tokens - decode.cached_tokens
    first_token_s = (
        _move_s(shape, moved_tokens, source.server, decode.server)
        + HANDOVER_S
        + decode.slot_wait_s
        + FIRST_TOKEN_S * decode.pace
    )
    return Plan(
        decode,
        source,
        None,
        first_token_s,
        0.0,
        shape.tokens,
        first_token_s + _place_cost_s(decode) + _copy_cost_s(shape, decode),
    )


def _direct(
    shape: PromptShape, decode: EngineView, holders: Sequence[EngineView]
) -> Plan:
    read_s, fetch_from, cached = _reading(
        shape, decode, holders, PREFILL_TOKENS_PER_S * DECODE_PREFILL_SHARE
    )
    first_token_s = decode.wait_s + read_s + FIRST_TOKEN_S * decode.pace
    return Plan(
        decode,
        None,
        fetch_from,
        first_token_s,
        read_s,
        cached,
        first_token_s
        + (WORK_WEIGHT + BATCH_WEIGHT * decode.running_share) * read_s
        + _place_cost_s(decode)
        + _copy_cost_s(shape, decode),
    )


def _split(
    shape: PromptShape,
    prefill: EngineView,
    decode: EngineView,
    holders: Sequence[EngineView],
) -> Plan:
    read_s, fetch_from, cached = _reading(
        shape, prefill, holders, PREFILL_TOKENS_PER_S
    )
    moved_tokens = shape.tokens - min(decode.cached_tokens, cached)
    move_s = _move_s(shape, moved_tokens, prefill.server, decode.server)
    first_token_s = (
        prefill.wait_s
        + read_s
        + move_s
        + HANDOVER_S
        + decode.slot_wait_s
        + FIRST_TOKEN_S * decode.pace
    )
    place_cost_s = _place_cost_s(prefill) + _place_cost_s(decode)
    if not prefill.is_heard:
        place_cost_s += UNHEARD_COST_S
    copy_cost_s = _copy_cost_s(shape, prefill) + _copy_cost_s(shape, decode)
    return Plan(
        decode,
        prefill,
        fetch_from,
        first_token_s,
        read_s,
        cached,
        first_token_s + WORK_WEIGHT * read_s + place_cost_s + copy_cost_s,
    )


def _reading(
    shape: PromptShape,
    reader: EngineView,
    holders: Sequence[EngineView],
    tokens_per_s: float,
) -> tuple[float, fleet.Server | None, int]:
    """Returns the time to have the prompt read, and how it is had.

    Another holder is named even if the reader is believed to hold as much.
    The reader copies only what it lacks, so that costs nothing if the belief
    is true; if the reader has dropped the part since, the copy takes 10 ms
    where reading the part anew takes 120 ms and holds up whatever comes next.
    """
    read_s = _read_s(shape, reader, reader.cached_tokens, tokens_per_s)
    holder = _other_holder(reader, holders)
    if holder is None:
        return read_s, None, reader.cached_tokens
    gained_tokens = holder.cached_tokens - reader.cached_tokens
    if gained_tokens < FETCH_LEAST_TOKENS:
        return read_s, holder.server, reader.cached_tokens
    fetch_s = _move_s(shape, gained_tokens, holder.server, reader.server)
    rest_s = _read_s(shape, reader, holder.cached_tokens, tokens_per_s)
    return fetch_s + rest_s, holder.server, holder.cached_tokens


def _other_holder(
    reader: EngineView, holders: Sequence[EngineView]
) -> EngineView | None:
    """Returns the engine to copy cached parts from, the nearest of equals."""
    others = [
        one
        for one in holders
        if one.server != reader.server
        and one.cached_tokens >= FETCH_LEAST_TOKENS
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


def _read_s(
    shape: PromptShape,
    reader: EngineView,
    cached_tokens: int,
    tokens_per_s: float,
) -> float:
    """Returns the engine time to read what is not cached."""
    missing_tokens = shape.tokens - cached_tokens
    pairs = missing_tokens * (shape.tokens + cached_tokens) / 2
    speed_share = tokens_per_s / PREFILL_TOKENS_PER_S
    pairs_s = pairs * PAIR_S / speed_share
    return (missing_tokens / tokens_per_s + pairs_s) * reader.pace


def _move_s(
    shape: PromptShape,
    tokens: int,
    source: fleet.Server,
    target: fleet.Server,
) -> float:
    move_s = tokens * shape.kv_token_bytes / shape.link_bytes_per_s
    if source.availability_zone != target.availability_zone:
        move_s *= OTHER_ZONE_MOVE_FACTOR
    return MOVE_SETUP_S + move_s


def _copy_cost_s(shape: PromptShape, engine: EngineView) -> float:
    """Returns what it costs that an engine gets a copy of shared parts."""
    copied_tokens = max(0, shape.shared_tokens - engine.cached_tokens)
    return COPY_WEIGHT * copied_tokens / PREFILL_TOKENS_PER_S


def _place_cost_s(engine: EngineView) -> float:
    """Returns what speaks against an engine besides its queue.

    A full batch makes each token of all its requests slower.
    """
    return (
        engine.running_share * 0.2
        + (SUSPECT_COST_S if engine.is_suspected else 0.0)
        + (0.0 if engine.is_near else OTHER_ZONE_COST_S)
        - (HOME_BONUS_S if engine.is_home else 0.0)
    )
