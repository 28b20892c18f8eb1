"""How exactly a customer's limit is kept over nine nodes.

One customer asks for half of its limit, or for twice as much. At first its
load is spread over all nodes, then all of it moves to one. Reports travel in
heartbeats, some of which are lost; a lost one is not repeated within its
round, which is harsher than real heartbeats, which carry the same report
several times.
"""

import random

from mulberrywharf.policy import limits, shares

_NODES_COUNT = 9
_LIMIT_PER_S = 90.0
_ROUND_S = 3.0
_MOVE_S = 30.0
_END_S = 60.0
_SETTLED_S = 12.0
_CUSTOMER = "prairie"


def play(
    seed: int, offered_share: float, lost_share: float
) -> dict[str, float]:
    """Returns what passed as a part of the limit, in three phases.

    Args:
        seed: Of the arrivals and the losses.
        offered_share: What the customer asks, as a part of its limit.
        lost_share: Part of the reports that are lost, each way by itself.
    """
    rng = random.Random(f"limits {seed} {offered_share} {lost_share}")
    node_ids = [f"entry-{number}" for number in range(_NODES_COUNT)]
    limit = limits.CustomerLimit(requests_per_s=_LIMIT_PER_S)
    nodes = {
        node_id: limits.CustomerLimits.from_config(
            node_id, {_CUSTOMER: limit}, 0.0, nodes_count=_NODES_COUNT
        )
        for node_id in node_ids
    }
    passed_s: list[float] = []
    reports: dict[str, shares.DemandReport] = {}
    round_number = 0
    now_s = 0.0
    while now_s < _END_S:
        now_s += rng.expovariate(offered_share * _LIMIT_PER_S)
        if shares.round_number(now_s, _ROUND_S) != round_number:
            _divide(nodes, reports, round_number, lost_share, rng, now_s)
            round_number = shares.round_number(now_s, _ROUND_S)
            reports = _reports(nodes, round_number, now_s)
        node_id = rng.choice(node_ids) if now_s < _MOVE_S else node_ids[0]
        if nodes[node_id].take(_CUSTOMER, 1.0, now_s).is_ok():
            passed_s.append(now_s)
    return {
        "spread": _part(passed_s, _SETTLED_S, _MOVE_S),
        "just_moved": _part(passed_s, _MOVE_S, _MOVE_S + _SETTLED_S),
        "settled": _part(passed_s, _MOVE_S + _SETTLED_S, _END_S),
    }


def _reports(
    nodes: dict[str, limits.CustomerLimits], round_number: int, now_s: float
) -> dict[str, shares.DemandReport]:
    digest = shares.live_digest(nodes)
    return {
        node_id: shares.DemandReport(
            node_id, round_number, digest, node.demand(now_s)
        )
        for node_id, node in nodes.items()
    }


def _divide(
    nodes: dict[str, limits.CustomerLimits],
    reports: dict[str, shares.DemandReport],
    round_number: int,
    lost_share: float,
    rng: random.Random,
    now_s: float,
) -> None:
    for node_id, node in nodes.items():
        heard = {
            sender_id: report
            for sender_id, report in reports.items()
            if sender_id == node_id or rng.random() >= lost_share
        }
        division = shares.divide(
            node_id, nodes.keys(), _NODES_COUNT, heard, round_number
        )
        node.set_division(division, now_s)


def _part(passed_s: list[float], began_s: float, ended_s: float) -> float:
    count = sum(began_s <= instant_s < ended_s for instant_s in passed_s)
    return round(count / (ended_s - began_s) / _LIMIT_PER_S, 3)
