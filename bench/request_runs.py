"""Seeded runs of failures against the promises on requests.

Each seed draws callers and faults for one small cluster of real processes:
two availability zones with a router, two engines and a backend server each,
fault proxies before engines and backend servers. Afterwards the stand-ins'
own logs and the callers' records are judged by ``proofs.audit_checker``. One
cluster serves many seeds, healed in between; a seed draws the same callers
and faults each time, though not the same instants.

``--mechanism-off`` takes one mechanism out of the routers, to see the runs go
red. Prints a table and one JSON object on the last line; exits with 1 if a
promise was broken or a seed did not run.
"""

# ruff: noqa: E402
from gevent import monkey

monkey.patch_all()

import argparse
import collections
import json
import pathlib
import re
import signal
import sys
import time
from collections.abc import Sequence
from typing import Any, NamedTuple

import gevent
import gevent.event
import gevent.queue

from bench import _request_callers, _request_faults, _request_fleet
from proofs import audit_checker, histories
from tests import router_without

_CALLERS_COUNT = 10
_OPERATIONS_COUNT = 5
_SEED_BOUND_S = 120.0
_SEED_OF_ID = re.compile(r"s(\d+)-")


class SeedReport(NamedTuple):
    """What one seed showed.

    Attributes:
        seed: The seed.
        findings: What broke a promise.
        outcomes: Tries by what the caller was left with.
        faults: Faults that took place, by name.
        operations_count: Things that callers wanted.
        load_s: Until the last caller and fault had ended.
        heal_s: Until all was well again.
        has_recovered: Whether it was.
    """

    seed: int
    findings: list[_request_callers.Finding]
    outcomes: dict[str, int]
    faults: dict[str, int]
    operations_count: int
    load_s: float
    heal_s: float
    has_recovered: bool


class Runner:
    """Runs seeds on one cluster."""

    def __init__(self, fleet: _request_fleet.Fleet, keep: pathlib.Path | None):
        self._fleet = fleet
        self._keep = keep
        self._records: list[histories.CallerRecord] = []

    def run(self, seed: int) -> SeedReport:
        """Runs one seed and judges it."""
        began_s = time.monotonic()
        book = _request_callers.Book(self._fleet, seed)
        injector = _request_faults.Injector(self._fleet)
        planned = _request_faults.plan(seed)
        with gevent.Timeout(_SEED_BOUND_S):
            self._load(book, injector, planned)
        loaded_s = time.monotonic()
        sick = self._heal()
        healed_s = time.monotonic()
        self._records += book.records
        findings = book.findings + self._stop_findings() + sick
        findings += self._judge(seed, book.records)
        outcomes = collections.Counter(
            str(record["outcome"]) for record in book.records
        )
        report = SeedReport(
            seed,
            findings,
            dict(outcomes),
            injector.counts,
            book.operations_count,
            loaded_s - began_s,
            healed_s - loaded_s,
            not sick,
        )
        if findings:
            self._keep_evidence(report, book.records, planned)
        return report

    def judge_all(self, totals: "Totals") -> None:
        """Judges all seeds at once: a call may run long after its seed."""
        history = self._fleet.collect()
        history["callers"] = self._records
        totals.add_findings(_check(history), "any")
        totals.add_history(history)

    def _load(
        self,
        book: _request_callers.Book,
        injector: _request_faults.Injector,
        planned: list[_request_faults.Planned],
    ) -> None:
        failing = [gevent.spawn(injector.run, fault) for fault in planned]
        callers = [
            gevent.spawn(book.call_on, number, _OPERATIONS_COUNT)
            for number in range(_CALLERS_COUNT)
        ]
        over = gevent.event.Event()
        leaves = [p for p in planned if p.name == "backend-leaving"]
        if leaves:
            callers.append(gevent.spawn(book.trickle, over))
            last_s = max(p.at_s for p in leaves)
            gevent.sleep(last_s + _request_faults.LEAVING_WATCH_S)
        over.set()
        gevent.joinall(callers, raise_error=True)
        gevent.joinall(failing, raise_error=True)

    def _heal(self) -> list[_request_callers.Finding]:
        try:
            with gevent.Timeout(_SEED_BOUND_S):
                self._fleet.heal()
        except (AssertionError, gevent.Timeout) as error:
            counts = f"claim shards {self._fleet.shards_counts()}"
            detail = f"{error}; {counts}"
            return [_request_callers.Finding("not-recovered", "", detail)]
        return []

    def _stop_findings(self) -> list[_request_callers.Finding]:
        failures = self._fleet.stop_failures
        found = [
            _request_callers.Finding("planned-stop-failed", vm_id, detail)
            for vm_id, detail in failures
        ]
        failures.clear()
        return found

    def _judge(
        self, seed: int, records: list[histories.CallerRecord]
    ) -> list[_request_callers.Finding]:
        history = self._fleet.collect()
        # New logs: those of dead processes are kept for the last judgement.
        for name in ("engines", "backend_servers"):
            logs: list[Any] = history[name]
            own: Any = [
                {**log, "runs": [r for r in log["runs"] if _may_be_of(r, seed)]}
                for log in logs
            ]
            history[name] = own
        history["callers"] = records
        return _check(history)

    def keep_logs(self, seed: int) -> None:
        """Keeps what the routers wrote, if anything is to be kept."""
        if self._keep is not None:
            self._keep.mkdir(parents=True, exist_ok=True)
            path = self._keep / f"seed-{seed}.log"
            path.write_text(self._fleet.router_logs())

    def _keep_evidence(
        self,
        report: SeedReport,
        records: list[histories.CallerRecord],
        planned: list[_request_faults.Planned],
    ) -> None:
        if self._keep is None:
            return
        history = self._fleet.collect()
        document = {
            "findings": [f._asdict() for f in report.findings],
            "planned": [(p.name, p.at_s) for p in planned],
            "faults": report.faults,
            "records": records,
            "engines": history.get("engines"),
            "backend_servers": history.get("backend_servers"),
        }
        self.keep_logs(report.seed)
        path = self._keep / f"seed-{report.seed}.json"
        path.write_text(json.dumps(document, indent=1))


def _may_be_of(run: Any, seed: int) -> bool:
    """Whether a run is a seed's, or under an id that no caller made."""
    found = _SEED_OF_ID.match(run["request_id"])
    return found is None or int(found[1]) == seed


def _check(history: histories.History) -> list[_request_callers.Finding]:
    found = [
        _request_callers.Finding(*violation)
        for violation in audit_checker.check_requests(history)
    ]
    for name in history.get("lost_logs", []):
        detail = "its log could not be read, so nothing is proved"
        found.append(_request_callers.Finding("lost-log", name, detail))
    return found


class Totals:
    """What all seeds showed together."""

    def __init__(self) -> None:
        self.reports: list[SeedReport] = []
        self.findings: set[_request_callers.Finding] = set()
        self.not_run: dict[int, str] = {}
        self.engine_runs_count = 0
        self.non_idempotent_runs_count = 0
        self.keys: set[str] = set()

    def add_history(self, history: histories.History) -> None:
        """Counts what the stand-ins ran for all seeds of a cluster."""
        for engine in history.get("engines", []):
            self.engine_runs_count += len(engine["runs"])
        for backend in history.get("backend_servers", []):
            runs = [r for r in backend["runs"] if r["path"] != "/echo"]
            self.non_idempotent_runs_count += len(runs)
            self.keys |= {r["idempotency_key"] for r in runs} - {""}

    def add(self, report: SeedReport) -> None:
        """Takes a seed in and prints its line."""
        self.reports.append(report)
        self.add_findings(report.findings, report.seed)
        answered_count = report.outcomes.get("answered", 0)
        tries_count = sum(report.outcomes.values())
        faults = " ".join(
            name if count == 1 else f"{name}*{count}"
            for name, count in sorted(report.faults.items())
        )
        print(
            f"{report.seed:>6}{report.operations_count:>7}{tries_count:>7}"
            f"{answered_count:>10}{len(report.findings):>7}"
            f"{report.load_s:>7.1f} s{report.heal_s:>7.1f} s  {faults}",
            flush=True,
        )

    def add_findings(
        self, findings: Sequence[_request_callers.Finding], seed: int | str
    ) -> None:
        """Takes findings in; each counts once."""
        for finding in findings:
            if finding in self.findings:
                continue
            self.findings.add(finding)
            print(
                f"  seed {seed}: {finding.kind} {finding.subject}:"
                f" {finding.detail}",
                flush=True,
            )

    def figures(self) -> dict[str, Any]:
        """Returns what goes into the JSON object."""
        outcomes: collections.Counter[str] = collections.Counter()
        faults: collections.Counter[str] = collections.Counter()
        for report in self.reports:
            outcomes.update(report.outcomes)
            faults.update(report.faults)
        kinds = collections.Counter(f.kind for f in self.findings)
        return {
            "runs_count": len(self.reports),
            "not_run": {str(s): why for s, why in self.not_run.items()},
            "violations_count": sum(kinds.values()),
            "violations": dict(kinds),
            "seeds_with_violations": [
                r.seed for r in self.reports if r.findings
            ],
            "operations_count": sum(r.operations_count for r in self.reports),
            "tries_count": sum(outcomes.values()),
            "outcomes": dict(outcomes),
            "engine_runs_count": self.engine_runs_count,
            "non_idempotent_runs_count": self.non_idempotent_runs_count,
            "keys_run_count": len(self.keys),
            "faults_count": sum(faults.values()),
            "faults": dict(sorted(faults.items())),
        }


def _work(
    seeds: "gevent.queue.Queue",
    totals: Totals,
    options: argparse.Namespace,
    until_s: float,
) -> None:
    """Runs seeds, on a new cluster after each one that did not recover."""
    while not seeds.empty():
        fleet = _request_fleet.Fleet(
            _request_fleet.Variant(options.mechanism_off, options.claim_lease_s)
        )
        runner = Runner(fleet, options.keep)
        try:
            fleet.start()
            _run_while_healthy(seeds, totals, runner, until_s)
            runner.judge_all(totals)
        finally:
            fleet.close()


def _run_while_healthy(
    seeds: "gevent.queue.Queue", totals: Totals, runner: Runner, until_s: float
) -> None:
    while not seeds.empty():
        seed = seeds.get()
        if time.monotonic() > until_s:
            totals.not_run[seed] = "out of time"
            continue
        report = runner.run(seed)
        totals.add(report)
        if not report.has_recovered:
            return


def main() -> int:
    """Runs the seeds; returns the exit code."""
    options = _options()
    seeds: gevent.queue.Queue = gevent.queue.Queue()
    all_seeds = range(options.first_seed, options.first_seed + options.seeds)
    for seed in all_seeds:
        seeds.put(seed)
    totals = Totals()
    began_s = time.monotonic()
    print(
        f"{'seed':>6}{'wants':>7}{'tries':>7}{'answered':>10}{'broken':>7}"
        f"{'load':>9}{'heal':>9}  faults"
    )
    workers = [
        gevent.spawn(
            _work, seeds, totals, options, began_s + options.time_limit_s
        )
        for _ in range(min(options.clusters, options.seeds))
    ]
    # Whoever ends the runs early leaves no process behind.
    gevent.signal_handler(
        signal.SIGTERM, lambda: gevent.spawn(gevent.killall, workers)
    )
    gevent.joinall(workers)
    while not seeds.empty():
        totals.not_run[seeds.get()] = "no cluster was left"
    for seed in set(all_seeds) - {r.seed for r in totals.reports}:
        totals.not_run.setdefault(seed, "its run failed")
    figures = totals.figures()
    figures["mechanism_off"] = options.mechanism_off
    figures["elapsed_s"] = round(time.monotonic() - began_s, 1)
    print(json.dumps(figures))
    failed = any(not worker.successful() for worker in workers)
    return int(bool(failed or totals.findings or totals.not_run))


def _options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--clusters", type=int, default=2)
    parser.add_argument("--time-limit-s", type=float, default=1800.0)
    parser.add_argument(
        "--mechanism-off",
        choices=sorted(router_without.PATCHES_BY_MECHANISM),
        default="",
    )
    parser.add_argument(
        "--claim-lease-s",
        type=float,
        default=_request_fleet.Variant().claim_lease_s,
        help="lease on claim shards; 0 for the product's own",
    )
    parser.add_argument(
        "--keep", type=pathlib.Path, help="where evidence of a breach goes"
    )
    return parser.parse_args()


if __name__ == "__main__":
    sys.exit(main())
