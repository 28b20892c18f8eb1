"""Plays customers that compete for the engines of one zone, in virtual time.

The engines are one queue. Gateways estimate its wait with an error of a third,
callers that are refused come back to any gateway until they give up.
"""

import argparse
import collections
import heapq
import itertools
import random
from collections.abc import Iterable
from typing import Literal, NamedTuple

from mulberrywharf.forwarding import customer_admission
from mulberrywharf.policy import (
    customer_meter,
    customer_shares,
    prompt_admission,
)

Method = Literal["first-come", "alone", "shared"]
METHODS: tuple[Method, ...] = ("first-come", "alone", "shared")
GATEWAYS_BY_ZONE = {9: 3, 67: 17, 195: 49, 340: 43}
REQUESTS_PER_S = 300.0
LOAD = 0.85  # of the engines, before the flood
WORKS_S = (0.007, 0.12)
LONG_SHARE = 0.06
TARGET_S, LEFT_S = 0.6, 5.0
ONSET_S, REPORT_S = 5.0, 2.0
FAULT_SHARE = 0.1


class Scene(NamedTuple):
    """What is played.

    Attributes:
        gateways_count: Gateways of the fleet.
        customers_count: Customers.
        is_crowd: Whether all customers double their requests, instead of one
            that sends ten times as many.
        has_faults: Whether reports are lost, late and doubled.
    """

    gateways_count: int
    customers_count: int
    is_crowd: bool = False
    has_faults: bool = False
    duration_s: float = 45.0


class Outcome(NamedTuple):
    """The result.

    Attributes:
        worst: Smallest served part of its fair part of a customer that does
            not flood.
        fairness: Jain's index of the served parts of the fair parts.
        served: Work served in time, in engine-seconds.
    """

    worst: float
    fairness: float
    served: float


class _Request(NamedTuple):
    customer: int
    work_s: float
    arrived_s: float
    number: int


class Play:
    """One scene with one method."""

    def __init__(self, scene: Scene, method: Method, seed: int):
        self._scene, self._method = scene, method
        self._rng = random.Random(seed)
        self._order = itertools.count()
        self._events: list[tuple[float, int, object]] = []
        mean_s = sum(
            w * p
            for w, p in zip(WORKS_S, (1 - LONG_SHARE, LONG_SHARE), strict=True)
        )
        self._capacity = REQUESTS_PER_S * mean_s / LOAD
        count = GATEWAYS_BY_ZONE[scene.gateways_count]
        self._meters = [customer_meter.CustomerMeter() for _ in range(count)]
        self._shares = [
            customer_shares.CustomerShares(self._rng) for _ in range(count)
        ]
        zones_count = count if method == "alone" else 2
        self._zones = [customer_shares.ZoneDemand() for _ in range(zones_count)]
        self._queue_s, self._queue_at_s = 0.0, 0.0
        self.asked: collections.Counter[int] = collections.Counter()
        self.served: collections.Counter[int] = collections.Counter()
        self.served_s = 0.0

    def run(self) -> None:
        """Plays the scene."""
        self._add_requests()
        if self._method != "first-come":
            for gateway in range(len(self._meters)):
                self._at(self._rng.uniform(0, REPORT_S), gateway)
        while self._events:
            now_s, _, event = heapq.heappop(self._events)
            if isinstance(event, _Request):
                self._ask(event, now_s)
            elif isinstance(event, int):
                self._report(event, now_s)
            elif isinstance(event, tuple):
                self._deliver(*event, now_s)

    def _at(self, at_s: float, event: object) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), event))

    def _add_requests(self) -> None:
        weights = [(n + 1) ** -0.7 for n in range(self._scene.customers_count)]
        for customer, weight in enumerate(weights):
            rate = REQUESTS_PER_S * weight / sum(weights)
            factor = 2 if self._scene.is_crowd else 10 if not customer else 1
            now_s = 0.0
            while True:
                grown = factor if now_s >= ONSET_S else 1
                now_s += self._rng.expovariate(rate * grown)
                if now_s >= self._scene.duration_s:
                    break
                work_s = WORKS_S[self._rng.random() < LONG_SHARE]
                number = next(self._order)
                self._at(now_s, _Request(customer, work_s, now_s, number))
                if now_s >= ONSET_S:
                    self.asked[customer] += work_s

    def _ask(self, request: _Request, now_s: float) -> None:
        gateway = self._rng.randrange(len(self._meters))
        meter, name = self._meters[gateway], str(request.customer)
        passed_s = now_s - self._queue_at_s
        self._queue_s = max(0.0, self._queue_s - passed_s * self._capacity)
        self._queue_at_s = now_s
        wait_s = self._queue_s / self._capacity
        seen_s = wait_s * self._rng.uniform(0.67, 1.33)
        left_s = request.arrived_s + LEFT_S - now_s
        meter.note_demand("s", name, request.work_s, now_s)
        decision = self._shares[gateway].decide(
            "s",
            name,
            lambda: request.number,
            left_s,
            now_s,
            has_room=seen_s <= customer_shares.ROOM_TARGET_SHARE * TARGET_S,
        )
        retry_after_s = decision.retry_after_s
        if retry_after_s is None:
            refusal = prompt_admission.decide(
                prompt_admission.AdmissionEstimate(
                    seen_s + request.work_s, seen_s, TARGET_S, left_s
                ),
                self._rng,
                claim=customer_admission.CLAIMS[decision.standing],
            )
            if refusal is None:
                self._admit(request, wait_s, meter, now_s)
                return
            meter.note_unserved("s", request.work_s, now_s)
            retry_after_s = refusal.retry_after_s
        if retry_after_s < left_s:
            self._at(now_s + retry_after_s, request)

    def _admit(
        self,
        request: _Request,
        wait_s: float,
        meter: customer_meter.CustomerMeter,
        now_s: float,
    ) -> None:
        self._queue_s += request.work_s
        meter.note_admitted("s", request.work_s, now_s)
        if wait_s + request.work_s > TARGET_S:
            meter.note_unserved("s", request.work_s, now_s)
            return
        if request.arrived_s >= ONSET_S:
            self.served[request.customer] += request.work_s
        # Engines that hold a longer queue at the end serve no more for it.
        if ONSET_S <= now_s + wait_s < self._scene.duration_s:
            self.served_s += request.work_s

    def _report(self, gateway: int, now_s: float) -> None:
        report = self._meters[gateway].report("s", now_s)
        alone = self._method == "alone"
        for zone in (gateway,) if alone else (0, 1):
            faults = self._scene.has_faults and not alone
            fault = self._rng.random() if faults else 1.0
            if fault >= FAULT_SHARE:  # otherwise it is lost
                late_s = 3.0 if fault < 2 * FAULT_SHARE else 0.001
                self._at(now_s + late_s, (zone, gateway, report))
            if 2 * FAULT_SHARE <= fault < 3 * FAULT_SHARE:  # doubled
                self._at(now_s + 1.0, (zone, gateway, report))
        if now_s < self._scene.duration_s:
            self._at(now_s + REPORT_S * self._rng.uniform(0.9, 1.1), gateway)

    def _deliver(
        self,
        zone: int,
        gateway: int,
        report: customer_meter.DemandReport,
        now_s: float,
    ) -> None:
        self._zones[zone].note(gateway, report, now_s)
        shares = self._zones[zone].shares(self._scene.customers_count, now_s)
        if shares is not None:
            part = shares.for_report(report, self._rng)
            self._shares[gateway].update("s", part, now_s)


def play(scene: Scene, method: Method, seeds: Iterable[int]) -> Outcome:
    """Returns the outcome of a scene, with its customers' work summed up.

    A small customer has some ten requests in one play, too few to tell.
    """
    asked: collections.Counter[int] = collections.Counter()
    served: collections.Counter[int] = collections.Counter()
    total_s = 0.0
    for seed in seeds:
        one = Play(scene, method, seed)
        one.run()
        asked += one.asked
        served += one.served
        total_s += one.served_s
    level = customer_shares.fair_level(
        ((work_s, 1) for work_s in asked.values()), sum(served.values())
    )
    parts = [
        served[customer] / min(work_s, level)
        for customer, work_s in asked.items()
        if scene.is_crowd or customer
    ]
    squares = sum(part * part for part in parts)
    return Outcome(
        min(parts), sum(parts) ** 2 / (len(parts) * squares), total_s
    )


def main() -> None:
    """Prints the outcome of each method in each scene."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    seeds = parser.parse_args().seeds
    for gateways, customers, crowd, faults in itertools.product(
        GATEWAYS_BY_ZONE, (76, 370), (False, True), (False, True)
    ):
        scene = Scene(gateways, customers, crowd, faults)
        for method in METHODS:
            worst, fairness, served = play(scene, method, seeds)
            print(
                f"{gateways:4} {customers:4} {'crowd' if crowd else 'flood'}"
                f" {'faults' if faults else '      '} {method:10}"
                f" worst {worst:.3f} fairness {fairness:.4f}"
                f" served {served:.1f}"
            )


if __name__ == "__main__":
    main()
