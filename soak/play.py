"""One seed of the soak, from its start to its verdict."""

import collections
import random
import time
from typing import NamedTuple

import gevent

from proofs import stream_order_callers
from soak import (
    calls,
    faults,
    fleet,
    promises,
    releases,
    route_changes,
)

CALLERS_COUNT = 12
CULPRIT_PAUSE_LIMIT_S = 1.0
LIMITED_SERVERS_COUNT = 2
_CULPRIT_PART = "dead"
_SETTLE_S = 0.5
"""For servers to note what callers gave up on."""


class Outcome(NamedTuple):
    """What one seed came to.

    Attributes:
        broken: A line for each promise that was broken.
        calls: Every call.
        faults: Faults that took place, by name.
        streams: Streams of the callers beside releases.
    """

    broken: list[str]
    calls: list[calls.Call]
    faults: collections.Counter[str]
    streams: list[stream_order_callers.Stream]


def play(
    seed: int, length_s: float, *, has_culprit_part: bool = False
) -> Outcome:
    """Plays one seed.

    Args:
        seed: Decides faults and calls; their interleaving is the machine's.
        length_s: How long faults are begun.
        has_culprit_part: Whether a part of prompts ends servers, too.
    """
    rng = random.Random(seed)
    played = fleet.Fleet()
    try:
        played.start()
        keys_rng = random.Random(f"keys {seed}")
        callers = [
            calls.Caller(
                played,
                random.Random(rng.getrandbits(64)),
                keys_rng=keys_rng,
            )
            for _ in range(CALLERS_COUNT)
        ]
        callers.append(
            calls.Caller(
                played,
                random.Random(rng.getrandbits(64)),
                fleet.CULPRIT,
                CULPRIT_PAUSE_LIMIT_S,
                keys_rng=keys_rng,
            )
        )
        if has_culprit_part:
            callers.append(
                calls.Caller(
                    played,
                    random.Random(f"part {seed}"),
                    fleet.CULPRIT,
                    CULPRIT_PAUSE_LIMIT_S,
                    keys_rng=keys_rng,
                    culprit_part=_CULPRIT_PART,
                )
            )
        stream_calls = releases.StreamCalls(played, seed)
        readers = [
            stream_order_callers.Caller(stream_calls, number)
            for number in range(releases.CALLERS_COUNT)
        ]
        route_callers = [
            route_changes.Caller(played, index)
            for index in range(fleet.GATEWAYS_COUNT)
        ]
        running = [
            gevent.spawn(caller.run)
            for caller in (*callers, *readers, *route_callers)
        ]
        changes = gevent.spawn(
            route_changes.change_routes,
            played,
            random.Random(f"routes {seed}"),
            length_s,
        )
        rotation = gevent.spawn(faults.rotate_keys, played, keys_rng, length_s)
        limits_rng = random.Random(f"limits {seed}")
        limiting = [
            gevent.spawn(faults.state_limits, played, limits_rng, length_s)
            for _ in range(LIMITED_SERVERS_COUNT)
        ]
        released = releases.Releases(
            played, stream_calls, random.Random(f"releases {seed}")
        )
        releasing = gevent.spawn(released.play, length_s)
        injected = faults.Faults(played, rng)
        injected.play(length_s)
        rotation.join()
        releasing.join()
        changes.join()
        played.heal()
        gevent.joinall(limiting)
        healed_s = time.monotonic()
        gevent.sleep(promises.RECOVERY_S + promises.RECOVERED_S)
        played.is_over = stream_calls.is_over = True
        gevent.joinall(running, timeout=2 * calls.ANSWER_TIMEOUT_S)
        gevent.sleep(_SETTLE_S)
        made = calls.all_of(callers)
        judge = promises.Judge(played, healed_s)
        streams = [one for reader in readers for one in reader.streams]
        seen = [one for caller in route_callers for one in caller.seen]
        broken = [
            *judge.broken(made),
            *releases.broken(streams),
            *route_changes.broken(played, seen),
        ]
        counts = injected.counts + released.counts
        return Outcome(broken, made, counts, streams)
    finally:
        played.close()
