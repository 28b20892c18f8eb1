"""Assigns engines to readers, and quantises the loads that heartbeats carry.

Every engine has one reader among the live entry VMs of its zone, the first by
rendezvous hashing. The reader gets the engine's full load report and shares it
in heartbeats as one byte: the wait in the high half and the number of requests
in the low half. The age of the load takes another half byte.
"""

import bisect
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from mulberrywharf import fleet
from mulberrywharf.nodes import ranking

_WAIT_STEPS_S = (
    0.0,
    0.01,
    0.02,
    0.04,
    0.08,
    0.15,
    0.3,
    0.6,
    1.2,
    2.5,
    5.0,
    10.0,
    20.0,
    40.0,
    80.0,
)
_COUNT_STEPS = (0, 1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64, 96, 128, 192)
_NOT_SERVING_NIBBLE = 15

AGE_STEP_S = 0.5
_AGE_UNKNOWN = 15
LONGEST_AGE_S = AGE_STEP_S * (_AGE_UNKNOWN - 1)
"""Loads older than this are not sent in heartbeats."""

_DEFAULT_PREFILL_TOKENS_PER_S = 8_000.0


class CoarseLoad(NamedTuple):
    """The load of an engine, decoded from one byte.

    Attributes:
        wait_s: Time to prefill the waiting prompts, rounded to the nearest
            step.
        request_count: Waiting and running requests, rounded to the nearest
            step.
        is_serving: False while the engine drains or changes its role, or
            after it failed.
    """

    wait_s: float
    request_count: int
    is_serving: bool


class AgedLoad(NamedTuple):
    """A coarse load with its age.

    Attributes:
        load: The load.
        age_s: Its age, rounded up each time that it is passed on.
    """

    load: CoarseLoad
    age_s: float


def readers(
    engine_ids: Iterable[str], live_vm_ids: Collection[str]
) -> dict[str, str]:
    """Returns the reader of each engine.

    Args:
        engine_ids: The zone's engines.
        live_vm_ids: The zone's entry VMs that are believed to be alive.
    """
    return {
        engine_id: ranking.first(engine_id, live_vm_ids)
        for engine_id in engine_ids
    }


def quantise(report: fleet.LoadReport) -> int:
    """Returns a load report quantised to one byte."""
    if report.state != "ready":
        return _NOT_SERVING_NIBBLE << 4
    rate = report.prefill_tokens_per_s or _DEFAULT_PREFILL_TOKENS_PER_S
    wait = _nearest(_WAIT_STEPS_S, report.waiting_prompt_tokens / rate)
    count = _nearest(_COUNT_STEPS, report.waiting_count + report.running_count)
    return wait << 4 | count


def dequantise(byte: int) -> CoarseLoad:
    """Returns the load that a byte represents."""
    wait, count = byte >> 4, byte & 15
    if wait == _NOT_SERVING_NIBBLE:
        return CoarseLoad(0.0, 0, is_serving=False)
    return CoarseLoad(_WAIT_STEPS_S[wait], _COUNT_STEPS[count], True)


def refresh(report: fleet.LoadReport, load: CoarseLoad) -> fleet.LoadReport:
    """Returns an older full report, updated with a newer coarse load.

    The role, the models and the speeds change rarely and are kept. Only the
    queue, which changes every second, and the state are replaced.
    """
    rate = report.prefill_tokens_per_s or _DEFAULT_PREFILL_TOKENS_PER_S
    state: fleet.EngineState = "ready"
    if not load.is_serving:
        state = "unknown" if report.state == "ready" else report.state
    return report._replace(
        state=state,
        waiting_count=0,
        running_count=load.request_count,
        waiting_prompt_tokens=round(load.wait_s * rate),
    )


class _LoadSample(NamedTuple):
    byte: int
    taken_s: float


class LoadTable:
    """The newest known quantised load of each engine."""

    def __init__(self) -> None:
        self._samples: dict[str, _LoadSample] = {}

    def put(self, engine_id: str, byte: int, taken_s: float) -> None:
        """Stores a load unless a newer one is known.

        Args:
            engine_id: The engine.
            byte: Its quantised load.
            taken_s: Time of the load, on this router's monotonic clock.
        """
        sample = self._samples.get(engine_id)
        if sample is None or sample.taken_s < taken_s:
            self._samples[engine_id] = _LoadSample(byte, taken_s)

    def columns(
        self, engine_ids: list[str], now_s: float
    ) -> tuple[bytes, bytes]:
        """Returns the loads, and their packed ages, in the engines' order."""
        loads = bytearray(len(engine_ids))
        ages = []
        for index, engine_id in enumerate(engine_ids):
            sample = self._samples.get(engine_id)
            if sample is None:
                ages.append(_AGE_UNKNOWN)
                continue
            loads[index] = sample.byte
            ages.append(_age_nibble(now_s - sample.taken_s))
        return bytes(loads), _pack(ages)

    def merge(
        self, engine_ids: list[str], loads: bytes, ages: bytes, now_s: float
    ) -> None:
        """Merges another router's loads; ignores columns of a wrong length."""
        if len(loads) != len(engine_ids) or len(ages) * 2 < len(engine_ids):
            return
        for index, engine_id in enumerate(engine_ids):
            age = _nibble(ages, index)
            if age != _AGE_UNKNOWN:
                self.put(engine_id, loads[index], now_s - age * AGE_STEP_S)

    def read(self, now_s: float) -> Mapping[str, AgedLoad]:
        """Returns every engine's coarse load with its age."""
        return {
            engine_id: AgedLoad(dequantise(sample.byte), now_s - sample.taken_s)
            for engine_id, sample in self._samples.items()
        }

    def keep_only(self, engine_ids: Collection[str]) -> None:
        """Removes the engines that are no longer in the VM list."""
        for engine_id in self._samples.keys() - set(engine_ids):
            del self._samples[engine_id]


def _nearest(steps: tuple[float, ...], value: float) -> int:
    above = bisect.bisect_left(steps, value)
    if above == 0:
        return 0
    if above == len(steps):
        return len(steps) - 1
    is_nearer_above = steps[above] - value <= value - steps[above - 1]
    return above if is_nearer_above else above - 1


def _age_nibble(age_s: float) -> int:
    """Returns the age in steps, rounded up.

    If each router that passes a load on rounded the age down, the load would
    never expire.
    """
    steps = -int(-age_s // AGE_STEP_S)
    return max(0, steps) if steps < _AGE_UNKNOWN else _AGE_UNKNOWN


def _pack(nibbles: list[int]) -> bytes:
    if len(nibbles) % 2:
        nibbles.append(_AGE_UNKNOWN)
    return bytes(
        high << 4 | low
        for high, low in zip(nibbles[::2], nibbles[1::2], strict=True)
    )


def _nibble(packed: bytes, index: int) -> int:
    byte = packed[index // 2]
    return byte & 15 if index % 2 else byte >> 4
