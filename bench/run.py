"""Runs the benches, checks them against their bounds, prints one summary.

``python -m bench.run --short`` stays under three minutes; ``--long`` adds the
seeded runs, the slopes and a heavier load. Bounds stand in
``bench/bounds.json`` and are ratios within one run, or counts and the users'
own aims; the exit code is 1 when a figure lies outside its bound or a section
fails. The last line is one JSON object.

``--against REVISION`` runs each section of an earlier revision of this
repository right after ours and prints both with their ratio. ``--repeat N``
runs all N times and prints how far the bounded figures spread; a bound must
hold each time.
"""

import argparse
import concurrent.futures
import json
import os
import pathlib
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator, Sequence
from typing import Any, NamedTuple

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_BOUNDS_PATH = _ROOT / "bench" / "bounds.json"
_SECTION_LIMIT_S = 900
_FAILURE_TAIL_CHARACTERS = 2000
_USAGE_EXIT_CODE = 2

Figures = dict[str, Any]
Bounds = dict[str, dict[str, float]]


class Section(NamedTuple):
    """One bench module and how to run it.

    Attributes:
        name: Key of its figures in the summary.
        module: Module to run; its last output line is a JSON object.
        arguments: What to pass.
        long_only: Left out of the short form.
        beside_others: May run at the same time as others of this kind,
            since its figures hang on virtual time or mostly on waiting.
        long_arguments: What to pass in the long form instead, if not None.
    """

    name: str
    module: str
    arguments: tuple[str, ...] = ()
    long_only: bool = False
    beside_others: bool = False
    long_arguments: tuple[str, ...] | None = None


class Breach(NamedTuple):
    """A figure outside its bound.

    Attributes:
        figure: Dotted path, such as ``policy_choice.goodput_ratio``.
        value: What was measured, or None when it is missing.
        bound: The bound that it breaks.
    """

    figure: str
    value: float | None
    bound: dict[str, float]


class Comparison(NamedTuple):
    """A figure beside that of an earlier revision, from the same run.

    Attributes:
        figure: Dotted path.
        present: What this tree gave.
        earlier: What the earlier revision gave.
        ratio: Present over earlier, or None where that is zero.
    """

    figure: str
    present: float
    earlier: float
    ratio: float | None


class Spread(NamedTuple):
    """A bounded figure over the repeats of one run."""

    least: float
    median: float
    most: float


SECTIONS = (
    Section("policy_choice", "bench.policy_choice", beside_others=True),
    Section("policy_retries", "bench.policy_retries", beside_others=True),
    Section("role_planner", "bench.role_planner", beside_others=True),
    Section("claims", "bench.claims", beside_others=True),
    Section("relay", "bench.relay"),
    Section(
        "config_spread",
        "bench.config_spread",
        ("--changes", "20", "--outages", "1"),
        beside_others=True,
        long_arguments=(),
    ),
    Section(
        "end_to_end",
        "bench.end_to_end",
        ("--duration-s", "5", "--leave-out", "steady_mixed"),
        long_arguments=(),
    ),
    Section(
        "end_to_end_30",
        "bench.end_to_end",
        ("--rate-per-s", "30"),
        long_only=True,
    ),
    Section("nodes_slopes", "bench.nodes_slopes", long_only=True),
    Section("program_slopes", "bench.program_slopes", long_only=True),
    Section("platform_calls", "bench.platform_calls", long_only=True),
    Section(
        "authority_runs",
        "bench.authority_runs",
        ("--runs", "120"),
        long_only=True,
    ),
    Section(
        "request_runs",
        "bench.request_runs",
        ("--seeds", "20", "--first-seed", "1"),
        long_only=True,
    ),
    Section("config_faults", "bench.config_faults", long_only=True),
)


def main() -> int:
    """Runs the chosen sections; returns the exit code."""
    arguments = _arguments()
    began_s = time.monotonic()
    sections = _chosen(arguments.long, arguments.only)
    runs: list[Figures] = []
    earlier: Figures = {}
    with tempfile.TemporaryDirectory(prefix="mulberry-bench-") as directory:
        roots = [_ROOT]
        if arguments.against:
            roots.append(pathlib.Path(directory))
            if not _unpack(arguments.against, roots[-1]):
                return _USAGE_EXIT_CODE
        for _ in range(arguments.repeat):
            results = _run_all(sections, roots)
            runs.append({name: parts[0] for name, parts in results.items()})
            if arguments.against:
                earlier = {name: parts[1] for name, parts in results.items()}
    return _report(arguments, runs, earlier, time.monotonic() - began_s)


def _run_all(
    sections: Sequence[Section], roots: Sequence[pathlib.Path]
) -> dict[str, list[Figures]]:
    """Runs each section in every root, one right after the other."""

    def run(section: Section) -> list[Figures]:
        return [_run(section, root) for root in roots]

    beside = [section for section in sections if section.beside_others]
    alone = [section for section in sections if not section.beside_others]
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        results = list(pool.map(run, beside))
    results += [run(section) for section in alone]
    names = [section.name for section in beside + alone]
    return dict(zip(names, results, strict=True))


def _report(
    arguments: argparse.Namespace,
    runs: Sequence[Figures],
    earlier: Figures,
    took_s: float,
) -> int:
    """Prints what came out, the JSON object last; returns the exit code."""
    bounds = read_bounds()
    breaches = [b for run in runs for b in find_breaches(run, bounds, run)]
    failed = sorted(
        {name for run in runs for name, part in run.items() if "failed" in part}
    )
    summary: Figures = {
        "figures": runs[-1],
        "breaches": [breach._asdict() for breach in breaches],
        "failed": failed,
        "took_s": round(took_s, 1),
    }
    if earlier:
        compared = compare(runs[-1], earlier)
        _print_comparisons(arguments.against, compared)
        for name, part in earlier.items():
            if "failed" in part:
                print(f"NOT COMPARED {name}: {part['failed']}")
        summary["against"] = {
            "revision": arguments.against,
            "figures": earlier,
            "ratios": {c.figure: c.ratio for c in compared},
        }
    if len(runs) > 1:
        spreads = spread(runs, bounds)
        _print_spreads(spreads)
        summary["spread"] = {n: s._asdict() for n, s in spreads.items()}
    for breach in breaches:
        print(f"OUT OF BOUNDS {breach.figure}: {breach.value} {breach.bound}")
    for name in failed:
        print(f"FAILED {name}")
    print(json.dumps(summary))
    return 1 if breaches or failed else 0


def find_breaches(
    figures: Figures, bounds: Bounds, run_names: Any
) -> list[Breach]:
    """Compares figures with bounds; sections that did not run are left out."""
    breaches = []
    for figure, bound in bounds.items():
        if figure.partition(".")[0] not in run_names:
            continue
        value = look_up(figures, figure)
        if value is None or not _is_inside(value, bound):
            breaches.append(Breach(figure, value, bound))
    return breaches


def look_up(figures: Any, path: str) -> float | None:
    """Returns the number at a dotted path, or None.

    Keys may contain dots themselves (``asked_2.0_lost_0.0``): at each level
    the shortest key that leads to a number counts.
    """
    if not path:
        return figures if _is_number(figures) else None
    if not isinstance(figures, dict):
        return None
    parts = path.split(".")
    for end in range(1, len(parts) + 1):
        key = ".".join(parts[:end])
        if key in figures:
            found = look_up(figures[key], ".".join(parts[end:]))
            if found is not None:
                return found
    return None


def compare(present: Figures, earlier: Figures) -> list[Comparison]:
    """Pairs every number that both revisions gave."""
    before = dict(_numbers(earlier))
    return [
        Comparison(
            figure,
            value,
            before[figure],
            value / before[figure] if before[figure] else None,
        )
        for figure, value in _numbers(present)
        if figure in before
    ]


def spread(runs: Sequence[Figures], bounds: Bounds) -> dict[str, Spread]:
    """Returns how far each bounded figure spreads over the runs."""
    spreads = {}
    for figure in bounds:
        found = [look_up(run, figure) for run in runs]
        values = [value for value in found if value is not None]
        if values:
            spreads[figure] = Spread(
                min(values), statistics.median(values), max(values)
            )
    return spreads


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--short", action="store_true", help="the default")
    parser.add_argument("--long", action="store_true")
    names = [section.name for section in SECTIONS]
    parser.add_argument("--only", action="append", choices=names)
    parser.add_argument("--against", help="an earlier git revision")
    parser.add_argument("--repeat", type=int, default=1)
    return parser.parse_args()


def _chosen(long: bool, only: list[str] | None) -> list[Section]:
    """Returns the sections to run, with the arguments of the form."""
    chosen = []
    for section in SECTIONS:
        wanted = section.name in only if only else True
        if wanted and (long or only or not section.long_only):
            if long and section.long_arguments is not None:
                section = section._replace(arguments=section.long_arguments)
            chosen.append(section)
    return chosen


def _run(section: Section, root: pathlib.Path) -> Figures:
    """Runs a section; its figures hold ``failed`` if it went wrong."""
    origin = "" if root == _ROOT else " (earlier revision)"
    title = f"== {section.name}{origin}"
    module_path = root / (section.module.replace(".", "/") + ".py")
    if not module_path.exists():
        print(f"{title}\nnot run: no such bench", flush=True)
        return {"failed": "not run: no such bench"}
    environment = dict(os.environ, PYTHONPATH=f"{root / 'src'}:{root}")
    began_s = time.monotonic()
    # A session of its own, so that a section that hangs is ended along with
    # its stand-ins; they would otherwise go on and disturb what follows.
    child = subprocess.Popen(
        [sys.executable, "-m", section.module, *section.arguments],
        cwd=root,
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        start_new_session=True,
    )
    try:
        stdout, stderr = child.communicate(timeout=_SECTION_LIMIT_S)
    except subprocess.TimeoutExpired:
        return {"failed": f"no end within {_SECTION_LIMIT_S} s"}
    finally:
        if child.poll() is None:
            os.killpg(child.pid, signal.SIGKILL)
            child.wait()
    *table, last = stdout.rstrip().splitlines() or [""]
    figures = _parse(last)
    if child.returncode != 0:
        table.append(stderr[-_FAILURE_TAIL_CHARACTERS:])
        figures["failed"] = f"exit code {child.returncode}"
    figures["took_s"] = round(time.monotonic() - began_s, 1)
    # One write, since sections that run beside others would mix their lines.
    print("\n".join([title, *table]) + "\n", end="", flush=True)
    return figures


def _parse(line: str) -> Figures:
    try:
        return dict(json.loads(line))
    except ValueError:
        return {"failed": "the last line is no JSON object"}


def _unpack(revision: str, directory: pathlib.Path) -> bool:
    """Writes the tree of a revision; returns whether there is one."""
    archive = subprocess.run(
        ["git", "archive", revision], cwd=_ROOT, capture_output=True
    )
    if archive.returncode != 0:
        print(archive.stderr.decode(), file=sys.stderr, end="")
        return False
    subprocess.run(
        ["tar", "-x", "-C", str(directory)], input=archive.stdout, check=True
    )
    return True


def read_bounds() -> Bounds:
    """Returns the committed bounds: limits by dotted path."""
    return dict(json.loads(_BOUNDS_PATH.read_text()))


def _numbers(value: Any, path: str = "") -> Iterator[tuple[str, float]]:
    """Yields every number below a value with its dotted path."""
    if _is_number(value):
        yield path, value
    elif isinstance(value, dict):
        for key, part in value.items():
            yield from _numbers(part, f"{path}.{key}" if path else str(key))


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _is_inside(value: float, bound: dict[str, float]) -> bool:
    return bound.get("min", value) <= value <= bound.get("max", value)


def _print_comparisons(revision: str, compared: list[Comparison]) -> None:
    print(f"{'figure':<60}{'present':>14}{revision:>14}{'ratio':>8}")
    for row in compared:
        ratio = "-" if row.ratio is None else f"{row.ratio:.3f}"
        print(
            f"{row.figure:<60}{row.present:>14.6g}{row.earlier:>14.6g}"
            f"{ratio:>8}"
        )


def _print_spreads(spreads: dict[str, Spread]) -> None:
    print(f"{'figure':<60}{'least':>12}{'median':>12}{'most':>12}")
    for name, row in spreads.items():
        print(
            f"{name:<60}{row.least:>12.5g}{row.median:>12.5g}{row.most:>12.5g}"
        )


if __name__ == "__main__":
    sys.exit(main())
