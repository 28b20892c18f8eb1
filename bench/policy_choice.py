"""Goodput of the choice of engine against simple baselines, in one run.

Twelve modelled engines in three availability zones, nine routers that decide
alone on late reports. Every scenario is played with the same requests for
each way to choose: a swing of the prompt-to-output mix, one engine that is
slow and does not say so, a zone that is lost, and a fleet split into roles.
Goodput counts answers whose first token came within 1.3 s and whose tokens
came 28 ms apart or less on average.

The last part offers more than the fleet can do, with and without admission.
"""

import argparse
import json

from bench import choice_play
from bench.choice_play import ChooserFactory, Scenario
from mulberrywharf import fleet
from mulberrywharf.policy import baselines, engine_choice


def main() -> None:
    """Plays every scenario and prints the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    arguments = parser.parse_args()
    figures: dict[str, dict[str, dict[str, float]]] = {}
    print(
        f"{'scenario':16}{'choice':16}{'good/s':>8}{'good':>7}"
        f"{'first p95':>11}{'between p95':>13}{'cached':>8}"
    )
    for scenario, choosers in _plan(arguments.seconds):
        figures[scenario.name] = {}
        for name, factory in choosers.items():
            play = choice_play.Play(
                scenario,
                factory,
                seed=arguments.seed,
                seconds=arguments.seconds,
                uses_pace=name == "ours",
            )
            figure = play.run()
            figures[scenario.name][name] = figure
            print(
                f"{scenario.name:16}{name:16}{figure['goodput_per_s']:8.1f}"
                f"{figure['good_share']:7.3f}{figure['first_p95_s']:11.3f}"
                f"{figure['between_p95_s']:13.4f}"
                f"{figure['cached_share']:8.3f}",
                flush=True,
            )
    print(json.dumps({"seed": arguments.seed, **_summary(figures)}))


def _plan(
    seconds: float,
) -> list[tuple[Scenario, dict[str, ChooserFactory]]]:
    def swing(now_s: float) -> float:
        return 0.6 if seconds / 3 < now_s < seconds * 2 / 3 else 0.2

    def steady(now_s: float) -> float:
        return 0.3

    roles: tuple[fleet.Role, ...] = ("prefill", "decode", "decode", "mixed")
    middle_s = seconds / 3
    ours: dict[str, ChooserFactory] = {"ours": lambda: engine_choice.choose}
    every: dict[str, ChooserFactory] = {
        **ours,
        "ours_no_pace": lambda: engine_choice.choose,
        "random": lambda: baselines.choose_random,
        "round_robin": baselines.RoundRobin,
        "least_reported": lambda: baselines.choose_least_reported,
    }
    over = Scenario("no_admission", 120.0, steady)
    return [
        (Scenario("swing", 78.0, swing), every),
        (Scenario("slow_engine", 72.0, steady, slow_from_s=middle_s), every),
        (Scenario("zone_lost", 52.0, steady, lost_from_s=middle_s), every),
        (Scenario("roles", 70.0, steady, roles=roles), every),
        (over, ours),
        (over._replace(name="estimate", admission_kind="estimate"), ours),
        (over._replace(name="admission", admission_kind="limits"), ours),
    ]


def _summary(
    figures: dict[str, dict[str, dict[str, float]]],
) -> dict[str, object]:
    ratios = {}
    for scenario, by_chooser in figures.items():
        others = [
            figure
            for name, figure in by_chooser.items()
            if not name.startswith("ours")
        ]
        if others:
            best = max(figure["goodput_per_s"] for figure in others)
            ours = by_chooser["ours"]["goodput_per_s"]
            ratios[scenario] = round(ours / max(best, 0.001), 3)
    with_admission = figures["admission"]["ours"]["goodput_per_s"]
    without = figures["no_admission"]["ours"]["goodput_per_s"]
    return {
        "goodput_ratio_to_best_baseline": ratios,
        "least_goodput_ratio": min(ratios.values()),
        "admission_goodput_ratio": round(
            with_admission / max(without, 0.001), 3
        ),
        "scenarios": figures,
    }


if __name__ == "__main__":
    main()
