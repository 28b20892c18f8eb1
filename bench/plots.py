"""Draws goodput and role changes from the figures of a bench run.

``python -m bench.plots FILE...`` reads what ``bench.run`` or
``bench.end_to_end`` printed (the last line counts) and writes two images:
``end_to_end.png``, good answers and role changes by second for the mix swing
and the shift handover, and ``role_planner.png``, goodput against role changes
for the weights of both deployments and their baselines. It needs the optional
extra ``plots``.
"""

import argparse
import json
import pathlib
import sys
from collections.abc import Sequence
from typing import Any, NamedTuple

import matplotlib

matplotlib.use("Agg")

from matplotlib import axes as mpl_axes
from matplotlib import pyplot, ticker

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_PLOTS_PATH = _ROOT / "docs" / "plots"
_DOTS_PER_INCH = 80
_SMOOTHED_S = 3


class Panel(NamedTuple):
    """One column of the plot over time.

    Attributes:
        title: What happens in it.
        mark: What the dashed lines mark.
        scenarios: Scenario name by label, in order.
    """

    title: str
    mark: str
    scenarios: dict[str, str]


_PANELS = (
    Panel(
        "Mix swing, 10 % to 70 % contracts and back",
        "mix changes",
        {"roles split 1:1": "swing", "all engines mixed": "swing_mixed"},
    ),
    Panel(
        "Shift handover, from mixed to split roles",
        "new rules, two controllers go",
        {"handover": "handover", "no change (mixed)": "steady_mixed"},
    ),
)
_PLANNERS = ("prairie", "solano", "static", "eager")


def main() -> int:
    """Draws what the summary holds; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("summaries", type=pathlib.Path, nargs="+")
    parser.add_argument("--directory", type=pathlib.Path, default=_PLOTS_PATH)
    arguments = parser.parse_args()
    figures: dict[str, Any] = {}
    for path in arguments.summaries:
        figures.update(_read(path))
    arguments.directory.mkdir(parents=True, exist_ok=True)
    wanted = [name for panel in _PANELS for name in panel.scenarios.values()]
    scenarios = figures.get("end_to_end", {})
    drawn = []
    if all(name in scenarios for name in wanted):
        drawn.append(arguments.directory / "end_to_end.png")
        draw_scenarios(scenarios, drawn[-1])
    if all(name in figures.get("role_planner", {}) for name in _PLANNERS):
        drawn.append(arguments.directory / "role_planner.png")
        draw_planners(figures["role_planner"], drawn[-1])
    for path in drawn:
        print(path)
    return 0 if drawn else 1


def _read(path: pathlib.Path) -> dict[str, Any]:
    """Returns figures by section, whichever of the two programs wrote."""
    last = json.loads(path.read_text().strip().splitlines()[-1])
    return dict(last.get("figures", {"end_to_end": last}))


def draw_scenarios(scenarios: dict[str, Any], path: pathlib.Path) -> None:
    """Draws good answers and role changes by second, a column each."""
    figure, grid = pyplot.subplots(
        2,
        len(_PANELS),
        figsize=(12, 6),
        sharex="col",
        sharey="row",
        height_ratios=(2, 1),
    )
    for column, panel in enumerate(_PANELS):
        goodput, changes = grid[0][column], grid[1][column]
        goodput.set_title(panel.title)
        for label, name in panel.scenarios.items():
            _draw_series(goodput, changes, label, scenarios[name]["series"])
        first = next(iter(panel.scenarios.values()))
        _draw_marks((goodput, changes), panel, scenarios[first]["series"])
        changes.set_xlabel("time from the start of the load (s)")
        goodput.legend(loc="lower right", fontsize="small")
    grid[0][0].set_ylabel(
        f"good answers of calls due (%)\nmean of {_SMOOTHED_S} s"
    )
    grid[0][0].set_ylim(0, 105)
    grid[1][0].set_ylabel("role changes\nbegun (per s)")
    grid[1][0].yaxis.set_major_locator(ticker.MaxNLocator(integer=True))
    _save(figure, path)


def _draw_series(
    goodput: mpl_axes.Axes,
    changes: mpl_axes.Axes,
    label: str,
    series: dict[str, Any],
) -> None:
    loaded_s = int(series["load_ends_s"])
    shares = _smoothed_shares(series["good"], series["calls"])[:loaded_s]
    middles_s = [second + 0.5 for second in range(len(shares))]
    (line,) = goodput.plot(
        middles_s, [100 * share for share in shares], marker=".", label=label
    )
    changes.bar(
        [second + 0.5 for second in range(len(series["role_changes"]))],
        series["role_changes"],
        width=0.9,
        color=line.get_color(),
    )


def _draw_marks(
    both: Sequence[mpl_axes.Axes], panel: Panel, series: dict[str, Any]
) -> None:
    for axes in both:
        axes.set_axisbelow(True)
        axes.grid(alpha=0.3)
        for number, mark_s in enumerate(series["marks_s"]):
            axes.axvline(
                mark_s,
                color="grey",
                linestyle="--",
                label=panel.mark if number == 0 else None,
            )
        axes.axvline(
            series["load_ends_s"],
            color="black",
            linestyle=":",
            label="load ends",
        )


def _smoothed_shares(good: Sequence[int], calls: Sequence[int]) -> list[float]:
    """Returns good over due calls of each second and its neighbours."""
    reach = _SMOOTHED_S // 2
    shares = []
    for middle in range(len(calls)):
        window = slice(max(0, middle - reach), middle + reach + 1)
        shares.append(sum(good[window]) / max(1, sum(calls[window])))
    return shares


def draw_planners(planners: dict[str, Any], path: pathlib.Path) -> None:
    """Draws goodput against role changes, a point for each planner."""
    figure, axes = pyplot.subplots(figsize=(7, 4.5))
    for name in _PLANNERS:
        result = planners[name]
        share = 100 * result["goodput_share"]
        label = f"{name}: {share:.1f} %, {result['role_changes']} changes"
        axes.scatter(result["role_changes"], share, s=70, label=label)
    axes.set_title(
        f"Role planner, simulated zone of 12 engines, "
        f"{planners['seeds']} seeds together"
    )
    axes.set_xlabel("role changes (count)")
    axes.set_ylabel("requests within both targets (%)")
    axes.grid(alpha=0.3)
    axes.legend(loc="lower right")
    _save(figure, path)


def _save(figure: Any, path: pathlib.Path) -> None:
    figure.tight_layout()
    figure.savefig(path, dpi=_DOTS_PER_INCH)
    pyplot.close(figure)


if __name__ == "__main__":
    sys.exit(main())
