"""The retry budget and the fair queue on and off; limits shared by nodes.

Retries: servers with a fixed speed, whose callers time out and try again
while the server still works on what was given up. For a while half of the
servers answer nothing. Amplification is attempts for each first attempt.

Fairness: one customer floods a queue that twenty others share.

Limits: what passes as a part of a customer's limit, see ``limits_play``.
"""

import argparse
import collections
import heapq
import itertools
import json
import random
from typing import NamedTuple

from bench import limits_play
from mulberrywharf.policy import fairness, retry_budget

_SERVERS_COUNT = 10
_SERVER_RATE_PER_S = 10.0
_OFFERED_PER_S = 75.0
_SECONDS = 60
_OUTAGE_S = (10.0, 20.0)
_TIMEOUT_S = 1.0
_DEADLINE_S = 10.0
_ATTEMPTS_LIMIT_COUNT = 6

_QUIET_CUSTOMERS_COUNT = 20
_QUIET_PER_S = 1.0
_FLOOD_PER_S = 200.0
_FLOOD_S = (5.0, 25.0)
_QUEUE_RATE_PER_S = 50.0
_QUEUE_LIMIT_COUNT = 256


class _Request(NamedTuple):
    customer: str
    began_s: float
    attempt_count: int


class _Outcomes:
    """Counts by second."""

    def __init__(self) -> None:
        self.first: collections.Counter[int] = collections.Counter()
        self.attempts: collections.Counter[int] = collections.Counter()
        self.good: collections.Counter[int] = collections.Counter()


def main() -> None:
    """Plays both with each mechanism on and off."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    retries = {
        "budget": _retry_figures(_play_retries(seed, has_budget=True)),
        "no_budget": _retry_figures(_play_retries(seed, has_budget=False)),
    }
    flood = {
        "fair": _play_flood(seed, is_fair=True),
        "first_come": _play_flood(seed, is_fair=False),
    }
    shared_limit = {
        f"asked_{offered_share}_lost_{lost_share}": limits_play.play(
            seed, offered_share, lost_share
        )
        for offered_share in (0.5, 2.0)
        for lost_share in (0.0, 0.01, 0.1)
    }
    parts = {"retries": retries, "flood": flood, "shared_limit": shared_limit}
    for title, figures in parts.items():
        for name, figure in figures.items():
            row = "  ".join(f"{key}={value}" for key, value in figure.items())
            print(f"{title:13}{name:22}{row}")
    print(json.dumps({"seed": seed, **parts}))


def _play_retries(seed: int, *, has_budget: bool) -> _Outcomes:
    rng = random.Random(f"retries {seed}")
    bounds = retry_budget.RetrySettings(
        attempts_limit_count=_ATTEMPTS_LIMIT_COUNT
    )
    if not has_budget:
        bounds = bounds._replace(
            min_retries_per_s=1e9,
            customer_min_retries_per_s=1e9,
            burst_count=1e9,
            customer_burst_count=1e9,
        )
    budget = retry_budget.RetryBudget(bounds, 0.0)
    outcomes = _Outcomes()
    free_s = [0.0] * _SERVERS_COUNT
    numbers = itertools.count()
    events: list[tuple[float, int, _Request]] = []
    at_s = 0.0
    while at_s < _SECONDS:
        at_s += rng.expovariate(_OFFERED_PER_S)
        customer = f"customer-{rng.randrange(30)}"
        request = _Request(customer, at_s, 1)
        heapq.heappush(events, (at_s, next(numbers), request))
    while events:
        now_s, _, request = heapq.heappop(events)
        if request.attempt_count == 1:
            budget.on_first_attempt(request.customer, now_s)
            outcomes.first[int(now_s)] += 1
        outcomes.attempts[int(now_s)] += 1
        done_s = _serve(free_s, rng.randrange(_SERVERS_COUNT), now_s)
        if done_s - now_s <= _TIMEOUT_S:
            outcomes.good[int(request.began_s)] += 1
            continue
        failed_s = now_s + _TIMEOUT_S
        decision = budget.decide(
            retry_budget.FailedAttempt(
                customer=request.customer,
                attempt_count=request.attempt_count,
                progress="sent",
                is_idempotent=True,
                time_left_s=request.began_s + _DEADLINE_S - failed_s,
            ),
            rng,
            failed_s,
        )
        if isinstance(decision, retry_budget.Retry):
            again = request._replace(attempt_count=request.attempt_count + 1)
            again_s = failed_s + decision.delay_s
            heapq.heappush(events, (again_s, next(numbers), again))
    return outcomes


def _serve(free_s: list[float], server: int, now_s: float) -> float:
    """Returns when the server is done; it works on what was given up too."""
    began_s, ended_s = _OUTAGE_S
    if server < _SERVERS_COUNT // 2 and began_s <= now_s < ended_s:
        return float("inf")
    free_s[server] = max(free_s[server], now_s) + 1.0 / _SERVER_RATE_PER_S
    return free_s[server]


def _retry_figures(outcomes: _Outcomes) -> dict[str, float]:
    began_s, ended_s = (int(instant_s) for instant_s in _OUTAGE_S)
    outage = range(began_s, ended_s)
    after = range(ended_s, _SECONDS - 1)
    recovered = [
        second
        for second in after
        if outcomes.good[second] >= 0.95 * outcomes.first[second]
    ]
    return {
        "outage_amplification": _ratio(
            outcomes.attempts, outcomes.first, outage
        ),
        "outage_good_share": _ratio(outcomes.good, outcomes.first, outage),
        "after_amplification": _ratio(outcomes.attempts, outcomes.first, after),
        "after_good_share": _ratio(outcomes.good, outcomes.first, after),
        "recovery_s": recovered[0] - ended_s
        if recovered
        else float(len(after)),
    }


def _ratio(
    above: collections.Counter[int],
    below: collections.Counter[int],
    seconds: range,
) -> float:
    above_sum = sum(above[second] for second in seconds)
    below_sum = sum(below[second] for second in seconds)
    return round(above_sum / below_sum, 3)


class _Waiting(NamedTuple):
    customer: str
    arrived_s: float


def _play_flood(seed: int, *, is_fair: bool) -> dict[str, float]:
    queue: fairness.FairQueue[_Waiting] = fairness.FairQueue(
        fairness.FairQueueSettings(
            entries_limit_count=_QUEUE_LIMIT_COUNT,
            customer_limit_count=_QUEUE_LIMIT_COUNT,
        )
    )
    waits_s: list[float] = []
    max_asked_owners_count = 0
    refused_count = 0
    free_s = 0.0
    for arrived_s, customer in _flood_arrivals(seed):
        while len(queue) and free_s <= arrived_s:
            ticket = queue.pop(free_s)
            if ticket is not None and ticket.item.customer != "flooding":
                waits_s.append(free_s - ticket.item.arrived_s)
            free_s += 1.0 / _QUEUE_RATE_PER_S
        if not len(queue):
            free_s = max(free_s, arrived_s)
        # First come, first served: all are one customer to the queue.
        queued = queue.push(
            customer if is_fair else "all",
            _Waiting(customer, arrived_s),
            cost=100,
        )
        max_asked_owners_count += customer != "flooding"
        lost = [queued.displaced] if queued.displaced else []
        refused_count += sum(t.item.customer != "flooding" for t in lost)
        refused_count += queued.ticket is None and customer != "flooding"
    waits_s.sort()
    return {
        "quiet_wait_p50_s": round(waits_s[len(waits_s) // 2], 3),
        "quiet_wait_p95_s": round(waits_s[int(len(waits_s) * 0.95)], 3),
        "quiet_refused_share": round(refused_count / max_asked_owners_count, 4),
    }


def _flood_arrivals(seed: int) -> list[tuple[float, str]]:
    rng = random.Random(f"flood {seed}")
    arrivals = []
    for number in range(_QUIET_CUSTOMERS_COUNT):
        at_s = 0.0
        while at_s < 30.0:
            at_s += rng.expovariate(_QUIET_PER_S)
            arrivals.append((at_s, f"customer-{number}"))
    at_s, ended_s = _FLOOD_S
    while at_s < ended_s:
        at_s += rng.expovariate(_FLOOD_PER_S)
        arrivals.append((at_s, "flooding"))
    return sorted(arrivals)


if __name__ == "__main__":
    main()
