"""Computes how many engines of a zone should have each role."""

from typing import NamedTuple

from mulberrywharf.rules.document import Actions, Roles

_ROUNDING_TOLERANCE = 1e-9


class WantedRoles(NamedTuple):
    """Number of engines per role; the sum is the number of engines to split."""

    prefill_count: int
    decode_count: int
    mixed_count: int


def wanted_roles(actions: Actions, engines_count: int) -> WantedRoles | None:
    """Returns the number of engines per role that the actions request.

    Shares are rounded to whole engines by the largest remainder method.
    Engines that no field assigns are mixed. If there are fewer engines than
    the counts request, the counts are used as proportions. If both prefill
    and decode are requested, each keeps at least one engine that can do it.

    Args:
        actions: Actions of the rule that matches.
        engines_count: Number of engines of the zone that are to be split.

    Returns:
        The number of engines per role, or None if the actions leave the
        roles unchanged.
    """
    roles = actions.get("roles")
    if roles is None or actions.get("hold"):
        return None
    weights = _requested_weights(roles, engines_count)
    counts = largest_remainder(weights, engines_count)
    return _keep_both_kinds_of_work(weights, counts, engines_count)


def largest_remainder(
    weights: tuple[float, ...], total_count: int
) -> tuple[int, ...]:
    """Splits a count in proportion to weights by the largest remainder method.

    Args:
        weights: Non-negative weights, at least one of them positive.
        total_count: The sum of the returned parts.
    """
    weight_sum = sum(weights)
    quotas = [weight * total_count / weight_sum for weight in weights]
    counts = [int(quota + _ROUNDING_TOLERANCE) for quota in quotas]
    by_remainder = sorted(
        range(len(weights)),
        key=lambda index: (counts[index] - quotas[index], index),
    )
    for index in by_remainder[: total_count - sum(counts)]:
        counts[index] += 1
    return tuple(counts)


def _requested_weights(roles: Roles, engines_count: int) -> tuple[float, ...]:
    if roles.keys() & {"prefill_count", "decode_count", "mixed_count"}:
        requested = (
            float(roles.get("prefill_count", 0)),
            float(roles.get("decode_count", 0)),
            float(roles.get("mixed_count", 0)),
        )
        total = float(engines_count)
    else:
        requested = (
            roles.get("prefill", 0.0),
            roles.get("decode", 0.0),
            roles.get("mixed", 0.0),
        )
        total = 1.0
    unassigned = total - sum(requested)
    if unassigned <= _ROUNDING_TOLERANCE * max(total, 1.0):
        unassigned = 0.0
    prefill, decode, mixed = requested
    weights = (prefill, decode, mixed + unassigned)
    return weights if sum(weights) > 0 else (0.0, 0.0, 1.0)


def _keep_both_kinds_of_work(
    weights: tuple[float, ...], counts: tuple[int, ...], engines_count: int
) -> WantedRoles:
    # In a zone that has lost most engines, rounding can leave no engine for
    # prefill or for decode. Every request of the zone would then need an
    # engine of another zone: the queue grows while engines are idle. One engine
    # is therefore made mixed and does both.
    prefill_count, decode_count, mixed_count = counts
    wanted = WantedRoles(prefill_count, decode_count, mixed_count)
    if engines_count == 0 or mixed_count > 0:
        return wanted
    if weights[0] > 0 and prefill_count == 0:
        return WantedRoles(0, decode_count - 1, 1)
    if weights[1] > 0 and decode_count == 0:
        return WantedRoles(prefill_count - 1, 0, 1)
    return wanted
