"""Decides whether the gateways stop to use a server that fails requests.

The load that this answers: a server that fails at once has an empty queue and
attracts requests, at a rate that leaves each of many gateways with a few failed
callers of its own before it knows. All gateways together have seen enough after
a tenth of a second.

Only gateways with failures report by themselves. Where each of them has had one
or two answers of a server, their sum looks far worse than the server is. So
reports only give rise to a question to all gateways near the server, and the
decision is based on their replies.
"""

import math
from collections.abc import Collection, Iterable, Sequence
from typing import Generic, NamedTuple, TypeVar

from mulberrywharf import fleet
from mulberrywharf.policy import outcome_counts

MIN_FAILURES_COUNT = 5
MIN_FAILURE_SHARE = 0.3
"""Callers lose less by a server that fails fewer requests than by the loss of
its capacity: their repeats use other servers."""

MIN_RATIO_TO_OTHERS = 3.0
"""Operators state up to 14 failures in 100 that are the application's own. They
affect all servers of a service."""

CHANCE_LIMIT = 1e-6
"""Largest probability that a server as good as the others fails as often. With
850 servers that are examined every few seconds, one in a million would be
ejected by chance in about half an hour."""

MIN_OTHERS_ANSWERS_COUNT = 5
"""Without some answers of other servers, nothing shows that they are better."""

MIN_FAILURES_OF_REMAINING_COUNT = 2
"""Failures that must be left when the report of any one gateway is left out. A
single gateway may be wrong, or its network path may be."""

REPORTED_LIMIT_COUNT = 1_000
"""Largest count that is taken from one gateway."""

EJECTED_S = 1.0
EJECTED_LIMIT_S = 8.0
"""A server is ejected for ``EJECTED_S``, and for twice the previous time when
it fails again, up to ``EJECTED_LIMIT_S``."""

EJECTED_SHARE = 0.25
"""Largest share of a service's servers of a role in a zone that is ejected at
a time. Without more than a quarter, the others are overloaded."""

TRIAL_SUCCESSES_COUNT = 3
TRIAL_FAILURES_COUNT = 2
"""Answers on trial that end or renew an ejection."""

_ReporterT = TypeVar("_ReporterT")


class Verdict(NamedTuple):
    """Result of an examination, with its inputs for the log.

    Attributes:
        is_failing: Whether the server is to be ejected.
        reporters_count: Gateways whose counts were added up.
        sums: Their sums.
    """

    is_failing: bool
    reporters_count: int
    sums: outcome_counts.Compared


def ejected_s(times_count: int) -> float:
    """Returns for how long a server is ejected.

    Args:
        times_count: How many times in short order, this one included.
    """
    return min(EJECTED_LIMIT_S, EJECTED_S * 2.0 ** (times_count - 1))


def limit_count(servers_count: int) -> int:
    """Returns how many servers of a group may be ejected at a time.

    Args:
        servers_count: Servers of one service and role in a zone.
    """
    return max(1, int(EJECTED_SHARE * servers_count))


def may_eject(
    server: fleet.Server,
    usable: Iterable[fleet.Server],
    ejected: Collection[fleet.ServerStart],
) -> bool:
    """Tells whether the limits permit that a server is ejected.

    Args:
        server: The server.
        usable: The servers of its service that this gateway can reach.
        ejected: The servers that are ejected already.
    """
    of_role = [one for one in usable if one.role == server.role]
    if all(
        one.start == server.start or one.start in ejected for one in of_role
    ):
        return False
    in_zone = {
        one.start
        for one in of_role
        if one.availability_zone == server.availability_zone
    } | {server.start}
    ejected_count = sum(start in ejected for start in in_zone)
    return ejected_count < limit_count(len(in_zone))


class EjectionJudge(Generic[_ReporterT]):
    """Adds up the counts that gateways report of one server."""

    def __init__(self) -> None:
        self._reported: dict[
            _ReporterT, tuple[float, outcome_counts.Windows]
        ] = {}

    def note(
        self,
        reporter: _ReporterT,
        counted: outcome_counts.Windows,
        now_s: float,
    ) -> None:
        """Replaces the counts of a gateway.

        Args:
            reporter: The gateway.
            counted: Its counts.
            now_s: The current time.
        """
        limited = outcome_counts.Windows(
            *(_limited(window) for window in counted)
        )
        self._reported[reporter] = now_s, limited

    def clear(self) -> None:
        """Forgets all counts."""
        self._reported.clear()

    @property
    def reporters(self) -> frozenset[_ReporterT]:
        """The gateways with counts."""
        return frozenset(self._reported)

    def verdict(self, now_s: float) -> Verdict:
        """Examines the server by all counts that have not expired."""
        counts = self._current(now_s)
        recent = _verdict([counted.recent for counted in counts])
        if recent.is_failing:
            return recent
        return _verdict([counted.whole for counted in counts])

    def trial_verdict(self, now_s: float) -> Verdict | None:
        """Examines a server on trial by the answers to its trial requests.

        Returns:
            None while there are too few answers.
        """
        counts = [counted.whole for counted in self._current(now_s)]
        sums = _sum(counts)
        own = sums.own
        failed_count = sum(counted.own.failures_count > 0 for counted in counts)
        if own.share >= MIN_FAILURE_SHARE:
            is_failing = (
                own.failures_count >= TRIAL_FAILURES_COUNT
                # One gateway alone doesn't renew an ejection.
                and failed_count >= TRIAL_FAILURES_COUNT
            )
            return Verdict(True, len(counts), sums) if is_failing else None
        successes_count = own.answers_count - own.failures_count
        if successes_count < TRIAL_SUCCESSES_COUNT:
            return None
        return Verdict(False, len(counts), sums)

    def _current(self, now_s: float) -> list[outcome_counts.Windows]:
        oldest_s = now_s - outcome_counts.WINDOW_S
        self._reported = {
            reporter: (at_s, counted)
            for reporter, (at_s, counted) in self._reported.items()
            if at_s > oldest_s
        }
        return [counted for _, counted in self._reported.values()]


def _verdict(counts: Sequence[outcome_counts.Compared]) -> Verdict:
    sums = _sum(counts)
    # Without any one gateway the others must see the same.
    is_failing = _is_failing(sums, MIN_FAILURES_COUNT) and all(
        _is_failing(
            sums.minus(counted),
            MIN_FAILURES_OF_REMAINING_COUNT,
            chance_limit=1.0,
        )
        for counted in counts
    )
    return Verdict(is_failing, len(counts), sums)


def _is_failing(
    counted: outcome_counts.Compared,
    min_failures_count: int,
    chance_limit: float = CHANCE_LIMIT,
) -> bool:
    own, others = counted
    return (
        own.failures_count >= min_failures_count
        and own.share >= MIN_FAILURE_SHARE
        and own.share >= MIN_RATIO_TO_OTHERS * others.share
        and others.answers_count >= MIN_OTHERS_ANSWERS_COUNT
        and _chance(own, others) <= chance_limit
    )


def _chance(
    own: outcome_counts.Outcomes, others: outcome_counts.Outcomes
) -> float:
    """Returns a bound on the probability of so many failures by chance.

    It is Chernoff's bound for a server that fails at the rate of the others.
    """
    # One more failure, as the others' rate is known from few answers only.
    rate = (others.failures_count + 1) / (others.answers_count + 10)
    share = own.share
    if share <= rate:
        return 1.0
    divergence = share * math.log(share / rate)
    if share < 1:
        divergence += (1 - share) * math.log((1 - share) / (1 - rate))
    return math.exp(-own.answers_count * divergence)


def _limited(counted: outcome_counts.Compared) -> outcome_counts.Compared:
    return outcome_counts.Compared(*(_limited_outcomes(one) for one in counted))


def _limited_outcomes(
    counted: outcome_counts.Outcomes,
) -> outcome_counts.Outcomes:
    answers_count = min(counted.answers_count, REPORTED_LIMIT_COUNT)
    return outcome_counts.Outcomes(
        answers_count, min(counted.failures_count, answers_count)
    )


def _sum(
    counts: Iterable[outcome_counts.Compared],
) -> outcome_counts.Compared:
    found = outcome_counts.Compared()
    for counted in counts:
        found = found.plus(counted)
    return found
