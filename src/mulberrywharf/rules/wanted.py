"""How many engines of a zone should have each role under a match."""

from typing import NamedTuple

from mulberrywharf.rules.document import Actions, Roles

_TINY = 1e-9


class WantedRoles(NamedTuple):
    """Counts that add up to the zone's engines."""

    prefill_count: int
    decode_count: int
    mixed_count: int


def wanted_roles(actions: Actions, engines_count: int) -> WantedRoles | None:
    """Returns the split that the actions ask for.

    Shares become whole engines by largest remainder; engines that no field
    asks for are mixed. When fewer engines are left than the counts ask for,
    the counts are taken as proportions. As long as both phases are asked
    for, each keeps an engine that can do it.

    Args:
        actions: Of the match.
        engines_count: Engines of the zone that can be used now.

    Returns:
        The split, or None when the actions leave roles as they are.
    """
    roles = actions.get("roles")
    if roles is None or actions.get("hold"):
        return None
    quotas = _quotas(roles, engines_count)
    counts = largest_remainder(quotas, engines_count)
    return _keep_both_phases(quotas, counts, engines_count)


def largest_remainder(
    weights: tuple[float, ...], total_count: int
) -> tuple[int, ...]:
    """Splits a count in proportion to weights, as near as whole numbers can.

    Args:
        weights: Not negative, at least one positive.
        total_count: What the parts add up to.
    """
    weight_sum = sum(weights)
    quotas = [weight * total_count / weight_sum for weight in weights]
    counts = [int(quota + _TINY) for quota in quotas]
    by_remainder = sorted(
        range(len(weights)),
        key=lambda index: (counts[index] - quotas[index], index),
    )
    for index in by_remainder[: total_count - sum(counts)]:
        counts[index] += 1
    return tuple(counts)


def _quotas(roles: Roles, engines_count: int) -> tuple[float, ...]:
    if roles.keys() & {"prefill_count", "decode_count", "mixed_count"}:
        asked = (
            float(roles.get("prefill_count", 0)),
            float(roles.get("decode_count", 0)),
            float(roles.get("mixed_count", 0)),
        )
        whole = float(engines_count)
    else:
        asked = (
            roles.get("prefill", 0.0),
            roles.get("decode", 0.0),
            roles.get("mixed", 0.0),
        )
        whole = 1.0
    rest = whole - sum(asked)
    if rest <= _TINY * max(whole, 1.0):
        rest = 0.0
    prefill, decode, mixed = asked
    quotas = (prefill, decode, mixed + rest)
    return quotas if sum(quotas) > 0 else (0.0, 0.0, 1.0)


def _keep_both_phases(
    quotas: tuple[float, ...], counts: tuple[int, ...], engines_count: int
) -> WantedRoles:
    # In a zone that has lost most engines, rounding can leave no engine for
    # one phase: every request there would then wait for another zone, seen as
    # a queue that grows while engines idle. One engine is made to do both.
    prefill_count, decode_count, mixed_count = counts
    wanted = WantedRoles(prefill_count, decode_count, mixed_count)
    if engines_count == 0 or mixed_count > 0:
        return wanted
    if quotas[0] > 0 and prefill_count == 0:
        return WantedRoles(0, decode_count - 1, 1)
    if quotas[1] > 0 and decode_count == 0:
        return WantedRoles(prefill_count - 1, 0, 1)
    return wanted
