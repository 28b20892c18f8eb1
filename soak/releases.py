"""Releases beside a gateway that is out of step, and callers of streams.

Servers of newer software versions join, and some leave again, while a gateway
stands still, is cut off from the store one way or both, has a watch of the
servers that is behind, or these while the other gateways stand still. Callers
leave streams that began meanwhile and take them up, often at that gateway.
"""

import collections
import contextlib
import random
import signal
import time
from collections.abc import Callable, Iterable, Iterator

import gevent

from proofs import stream_order, stream_order_callers
from soak import fleet
from standins import fault_proxy

CALLERS_COUNT = 6
_AT_OUT_OF_STEP_CHANCE = 0.6
_PAUSE_S = (0.3, 1.0)
_LENGTH_S = (0.4, 2.5)
_STOP_LENGTH_S = (0.3, 1.0)
"""A gateway that stands still answers late, which is another promise."""

_JOIN_AFTER_S = 0.1
_OTHERS_AFTER_S = 0.5
"""Time for the others to begin streams at what joined."""

_JOINED_COUNT = 2
_PART_CHANCE = 0.4
_STORE_MODES = ("cut", "silent", "freeze", "half-open-up", "half-open-down")


class StreamCalls:
    """What the callers of streams share; see ``stream_order_callers.Calls``.

    Attributes:
        out_of_step: Gateway that is out of step, None if none is.
    """

    def __init__(self, played: fleet.Fleet, seed: int):
        self.seed = seed
        self.forms = stream_order.USUAL_FORMS
        self.pieces_count = (3, 7)
        self.named_share = stream_order_callers.draw_named_share(seed)
        self.fields = f"x-mulberrywharf-credential: {fleet.STATIC_KEY}\r\n"
        self.began_s = time.monotonic()
        self.ends = played.run_ends
        self.gateways = played.gateways
        self.is_over = False
        self.out_of_step: int | None = None

    def choose(self, rng: random.Random, *, takes_up: bool) -> int | None:
        """Returns the gateway for a request, None while there is none."""
        running = [
            index
            for index, gateway in enumerate(self.gateways)
            if gateway is not None
        ]
        is_drawn = rng.random() < _AT_OUT_OF_STEP_CHANCE
        if takes_up and is_drawn and self.out_of_step in running:
            return self.out_of_step
        return rng.choice(running) if running else None


class Releases:
    """Plays releases, each beside a gateway that is out of step.

    Attributes:
        counts: How gateways were out of step, and how often.
    """

    def __init__(
        self, played: fleet.Fleet, calls: StreamCalls, rng: random.Random
    ):
        self.counts: collections.Counter[str] = collections.Counter()
        self._fleet = played
        self._calls = calls
        self._rng = rng

    def play(self, length_s: float) -> None:
        """Begins releases for a time, and waits until the last has ended."""
        plays: dict[str, Callable[[int], None]] = {
            "stop": self._stop,
            "store": self._cut_store,
            "watch": self._delay_watch,
            "watch, store": self._delay_watch_and_cut_store,
            "watch, others": self._delay_watch_and_stop_others,
        }
        ends_s = time.monotonic() + length_s
        number = 0
        while time.monotonic() < ends_s:
            gevent.sleep(self._rng.uniform(*_PAUSE_S))
            name = self._rng.choice(list(plays))
            self.counts[f"release beside {name}"] += 1
            index = self._rng.randrange(fleet.GATEWAYS_COUNT)
            number += 1
            self._calls.out_of_step = index
            aside = gevent.spawn(plays[name], index)
            gevent.sleep(_JOIN_AFTER_S)
            joined = [f"{number}-{one}" for one in range(_JOINED_COUNT)]
            for server_id in joined:
                self._fleet.join(server_id, f"v1.{number + 1}")
            aside.join()
            self._calls.out_of_step = None
            if self._rng.random() < _PART_CHANCE:
                for server_id in joined:
                    self._fleet.part(server_id)

    def _stop(self, index: int) -> None:
        length_s = self._rng.uniform(*_STOP_LENGTH_S)
        gateway = self._fleet.gateways[index]
        if gateway is None:
            return
        began_s = time.monotonic()
        with contextlib.suppress(ProcessLookupError):
            gateway.signal(signal.SIGSTOP)
            gevent.sleep(length_s)
            gateway.signal(signal.SIGCONT)
        self._fleet.note_upset(index, began_s)

    def _cut_store(self, index: int) -> None:
        way = self._fleet.ways[f"store-{index}"]
        began_s = time.monotonic()
        way.set_faults(mode=self._rng.choice(_STORE_MODES))
        gevent.sleep(self._rng.uniform(*_LENGTH_S))
        way.set_faults(**fault_proxy.Faults()._asdict())
        self._fleet.note_harm(f"store-{index}", began_s)

    def _delay_watch(self, index: int) -> None:
        began_s = time.monotonic()
        self._fleet.set_watch_behind(index, is_behind=True)
        gevent.sleep(self._rng.uniform(*_LENGTH_S))
        self._fleet.set_watch_behind(index, is_behind=False)
        self._fleet.note_upset(index, began_s)

    def _delay_watch_and_cut_store(self, index: int) -> None:
        cutting = gevent.spawn_later(_JOIN_AFTER_S, self._cut_store, index)
        self._delay_watch(index)
        cutting.join()

    def _delay_watch_and_stop_others(self, index: int) -> None:
        stopping = [
            gevent.spawn_later(_OTHERS_AFTER_S, self._stop, other)
            for other in range(fleet.GATEWAYS_COUNT)
            if other != index
        ]
        self._delay_watch(index)
        gevent.joinall(stopping, raise_error=True)


def broken(
    streams: Iterable[stream_order_callers.Stream],
) -> Iterator[str]:
    """Yields a line for each way in which a stream broke the rule ORDER."""
    for stream in streams:
        for case in stream_order.judge(
            stream.shape.name, stream.shape.count, stream.attempts
        ):
            seen = " |".join(stream_order_callers.evidence(stream))
            yield f"stream, {case.form}: {case.text} |{seen}"
