"""Plays prompts on engines of different lasting speeds, in virtual time.

The fleet is ``prompt_play``'s with the owners of queues, on machines of speed
0.6, 1.0 and 1.6, of which 15 in 100 take 2.5 times as long for 600 ms at a
time. Compared on the same seeds are gateways that learn speeds alone, that
share them at the owners, and that know the lasting speeds.

``python -m bench.speed_play`` prints one line for each.
"""

import argparse
import contextlib
import json
import random
import statistics
from collections.abc import Iterator
from typing import Literal, NamedTuple
from unittest import mock

import xxhash
from loguru import logger

from bench import prompt_play
from mulberrywharf import fleet
from mulberrywharf.forwarding import request
from mulberrywharf.policy import engine_speeds

SPEED = engine_speeds.RoleSpeed(0.01, 1e-3 / 61.2, 0.0)
MACHINE_SPEEDS = (0.6, 1.0, 1.6)
JUMP_SHARE, JUMP_FACTOR, JUMP_S = 0.15, 2.5, 0.6
PROMPT_TOKENS = 17_000
RATE_PER_S = 22.6
TARGET_S = 0.663
FLEET = prompt_play.Fleet(68, 4, 8, 16, is_full_mesh=False, engines_tell=True)

Method = Literal["alone", "shared", "perfect"]
METHODS: tuple[Method, ...] = ("alone", "shared", "perfect")


class Row(NamedTuple):
    """Result of one play; ``error`` is that of the shared slowdowns' logs."""

    in_time_share: float
    late_share: float
    refused_share: float
    estimate_ratio: float
    error: float


def slowdown_of(server: fleet.Server) -> float:
    """Returns the lasting slowdown of an engine's machine."""
    return 1.0 / MACHINE_SPEEDS[int(server.server_id[1:]) % len(MACHINE_SPEEDS)]


class _Engine(prompt_play._Engine):
    """An engine on a machine of a lasting speed, with passing slowdowns."""

    def read(self, prompt: request.Prompt, now_s: float) -> float:
        begins_s = max(now_s, self._free_s)
        epoch = f"{self.server.server_id} {int(begins_s / JUMP_S)}"
        draw = xxhash.xxh32_intdigest(epoch.encode()) / 2**32
        jump = JUMP_FACTOR if draw < JUMP_SHARE else 1.0
        factor = slowdown_of(self.server) * jump
        role_speed = self._speed
        self._speed = engine_speeds.RoleSpeed(
            role_speed.overhead_s, role_speed.token_s * factor, 0.0
        )
        try:
            return super().read(prompt, now_s)
        finally:
            self._speed = role_speed


class SpeedPlay(prompt_play.Play):
    """One play of long prompts that share nothing."""

    def _make_engines(self) -> dict[str, prompt_play._Engine]:
        with mock.patch.object(prompt_play, "_Engine", _Engine):
            return super()._make_engines()

    def _rate_per_s(self) -> float:
        return RATE_PER_S

    def _target_s(self) -> float:
        return TARGET_S

    def _long_parts(
        self, number: int, rng: random.Random
    ) -> list[request.PromptPart]:
        return [request.PromptPart(f"own-{number}", PROMPT_TOKENS)]

    def slowdown_error(self, now_s: float) -> float:
        """Returns the mean error of the prefill engines' shared slowdowns."""
        errors = [
            (self._shared_speeds.slowdown(name, now_s) or 1.0)
            / slowdown_of(engine.server)
            for name, engine in self._engines.items()
            if engine.server.role == "prefill"
        ]
        mean = statistics.geometric_mean(errors)
        return statistics.fmean(abs(one / mean - 1.0) for one in errors)


@contextlib.contextmanager
def knowing(method: Method) -> Iterator[None]:
    """Makes gateways know speeds by a method while the block runs."""
    if method == "shared":
        yield
        return
    known = {"alone": lambda *_: None, "perfect": lambda _, s: slowdown_of(s)}
    with mock.patch.object(prompt_play._Owners, "slowdown", known[method]):
        yield


def play(method: Method, seed: int, requests_count: int) -> Row:
    """Plays one method on one seed."""
    with knowing(method):
        made = SpeedPlay(SPEED, prompt_play.Prompts(), seed=seed, shape=FLEET)
        outcome = made.run(requests_count)
    return Row(
        outcome.in_time_share,
        outcome.late / requests_count,
        outcome.refused / requests_count,
        outcome.estimate_ratio,
        made.slowdown_error(requests_count / RATE_PER_S),
    )


def main() -> None:
    """Prints what each method gives; ``mean`` lists the fields of ``Row``."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    arguments = parser.parse_args()
    logger.remove()
    for method in METHODS:
        rows = [play(method, seed, 2_000) for seed in range(arguments.seeds)]
        line = {
            "method": method,
            "in_time": [round(one.in_time_share, 3) for one in rows],
            "mean": [
                round(statistics.fmean(values), 3)
                for values in zip(*rows, strict=True)
            ],
        }
        print(json.dumps(line))


if __name__ == "__main__":
    main()
