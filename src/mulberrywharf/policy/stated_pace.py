"""Estimates how long work takes at servers that state their pace.

A pace is a factor on the duration of work: 1 is usual, 2 takes twice as long.
Servers that share machines change it within a fraction of a second, so a
statement tells little about the work that is sent some time later. Its weight
decays with its age, and the mean that the server stated takes over, which in
turn decays towards that of the service's servers. How fast a statement
decays is learned: several times are compared by how well they predict the next
statement of the same server.

A statement may be wrong. The durations of a server's answers show by how much
they follow its stated pace, and only that much of it is used. A constant error
is left to the comparison of answer times between servers, which are corrected
by the pace used here. Bounds and the maximum age limit the effect until enough
answers have come.

Servers that never stated a pace have the pace 1.
"""

import math
import statistics
from collections.abc import Collection
from typing import NamedTuple

from mulberrywharf import fleet

MIN_PACE = 0.5
MAX_PACE = 5.0
"""Bounds of a used pace. Machines of one fleet differ by up to 1.7 in either
direction, and a shared machine takes up to 2.5 times as long; the product is
4.2. A wrong pace at the lower bound makes a server look half as loaded, which
at most doubles its share of the requests."""

MAX_AGE_S = 3.0
"""Older statements are ignored, whatever was learned."""

OWN_MEAN_TIME_CONSTANT_S = 10.0
"""The mean that a server stated decays by 1/e in this time, as do learned
slowdowns, so that a server that got no requests because of a high mean is tried
again."""

OWN_MEAN_PRIOR_COUNT = 3.0
"""Number of statements after which the mean of the server itself counts as much
as that of its service. Fewer are likely to be from one slow phase; with 10, a
server that always states half its pace got 0.07 of the calls at four servers
instead of 0.13."""

HOLDING_TIMES_S = (0.0, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2)
"""Times that are compared. The weight of a statement falls linearly to 0 at
twice this time; at 0 the statements are ignored. If all servers change at the
same moments, the chance that none of these has passed falls linearly with the
age."""

INITIAL_HOLDING_TIME_S = 0.2
"""Used until another time predicted better. Too long a time sends work to
servers that have become slow since, which costs more than ignoring the pace."""

HOLDING_ERROR_SHARE = 0.8
"""Another holding time is used only if its squared error is below this share of
that of the initial one. Most pairs of statements are seconds apart in a large
fleet, where errors differ by chance: by 0.05 to 0.1 for 500 pairs."""

PAIRS_DECAY = 0.998
"""The comparison depends mostly on the last 500 pairs of statements."""

ANSWERS_DECAY = 0.98
"""The effect of the pace on durations is learned mostly from the last fifty
answers of a server."""

TRUST_PRIOR = 2.0
"""Weight of the assumption that durations follow the pace. It equals some
twenty answers of a server that takes 2.5 times as long in 15 of 100 cases.
Durations vary by more than the pace does, because work also waits: with less
weight, honest statements would often be ignored by chance."""

MAX_LOG_DURATION_RATIO = 1.2
"""Bound of the logarithm of a duration relative to the mean; answers that
waited for long say nothing about the pace."""

MEAN_WEIGHT = 0.05
"""Weight of one statement in the mean pace of its server."""

MEAN_CACHE_S = 0.5
"""The mean of a service is cached for this long. It changes over seconds, and
is needed for each of several servers in each decision."""


class ExpectedPace(NamedTuple):
    """The pace to expect for work that a server gets now.

    Attributes:
        pace: Expected factor on the duration of work.
        spread: Standard deviation of the factor; None if no server of the
            service states its pace.
        offset: Least factor by which the server's answer times, corrected by
            its pace, may count as shorter than others'. It is below 1 only for
            a server that states a higher pace than others on average.
    """

    pace: float = 1.0
    spread: float | None = None
    offset: float = 1.0


NOT_STATED = ExpectedPace()


class _Trust:
    """Regression of a server's log durations on its log paces."""

    def __init__(self) -> None:
        self._count = 0.0
        self._x = self._y = self._xx = self._xy = 0.0

    def add(self, log_pace: float, log_duration: float) -> None:
        if self._count:
            mean = self._y / self._count
            log_duration = min(
                mean + MAX_LOG_DURATION_RATIO,
                max(mean - MAX_LOG_DURATION_RATIO, log_duration),
            )
        self._count = self._count * ANSWERS_DECAY + 1.0
        self._x = self._x * ANSWERS_DECAY + log_pace
        self._y = self._y * ANSWERS_DECAY + log_duration
        self._xx = self._xx * ANSWERS_DECAY + log_pace * log_pace
        self._xy = self._xy * ANSWERS_DECAY + log_pace * log_duration

    @property
    def share(self) -> float:
        """Share of the stated deviations that durations follow, 0 to 1."""
        if not self._count:
            return 1.0
        variation = self._xx - self._x * self._x / self._count
        common = self._xy - self._x * self._y / self._count
        share = (TRUST_PRIOR + common) / (TRUST_PRIOR + max(0.0, variation))
        return min(1.0, max(0.0, share))


class _Server:
    """The statements of one server."""

    def __init__(self, service: str, pace: float, at_s: float) -> None:
        self.service = service
        self.pace = pace
        self.at_s = at_s
        self.mean = pace
        self.count = 1
        self.trust = _Trust()

    @property
    def trusted_pace(self) -> float:
        """The last pace, as far as durations followed earlier ones."""
        return float(self.mean * (self.pace / self.mean) ** self.trust.share)


class _Service:
    """What is learned from the statements of one service's servers."""

    def __init__(self) -> None:
        self._errors = [0.0] * len(HOLDING_TIMES_S)
        self.mean = 1.0
        self.deviation = 0.0
        self.computed_s = float("-inf")

    @property
    def holding_time_s(self) -> float:
        best = min(self._errors)
        initial = HOLDING_TIMES_S.index(INITIAL_HOLDING_TIME_S)
        if best >= HOLDING_ERROR_SHARE * self._errors[initial]:
            return INITIAL_HOLDING_TIME_S
        return HOLDING_TIMES_S[self._errors.index(best)]

    def learn(self, before: float, after: float, gap_s: float) -> None:
        """Compares the holding times by a pair of one server's statements."""
        if gap_s > MAX_AGE_S:
            return
        for number, holding_s in enumerate(HOLDING_TIMES_S):
            expected = self.mean + _weight(gap_s, holding_s) * (
                before - self.mean
            )
            error = (after - expected) ** 2
            self._errors[number] = self._errors[number] * PAIRS_DECAY + error


class StatedPaces:
    """The stated paces of all servers, as one gateway knows them."""

    def __init__(self) -> None:
        self._servers: dict[fleet.ServerStart, _Server] = {}
        self._services: dict[str, _Service] = {}

    def keep_only(self, starts: Collection[fleet.ServerStart]) -> None:
        """Drops servers that are not in ``starts``."""
        for start in self._servers.keys() - set(starts):
            del self._servers[start]

    def note(self, server: fleet.Server, pace: float, at_s: float) -> None:
        """Records that a server stated its pace.

        Args:
            server: The server.
            pace: The stated factor.
            at_s: When it was stated; ignored if a newer statement is known.
        """
        pace = min(MAX_PACE, max(MIN_PACE, pace))
        service = self._services.setdefault(server.service, _Service())
        known = self._servers.get(server.start)
        if known is None:
            self._servers[server.start] = _Server(server.service, pace, at_s)
            return
        if at_s <= known.at_s:
            return
        service.learn(known.pace, pace, at_s - known.at_s)
        known.pace = pace
        known.at_s = at_s
        known.count += 1
        known.mean += max(MEAN_WEIGHT, 1.0 / known.count) * (pace - known.mean)

    def last(
        self, start: fleet.ServerStart, since_s: float
    ) -> tuple[float, float] | None:
        """Returns the last stated pace and its time, None if it is older."""
        known = self._servers.get(start)
        if known is None or known.at_s < since_s:
            return None
        return known.pace, known.at_s

    def note_duration(
        self,
        server: fleet.Server,
        duration: float,
        began_s: float,
        ended_s: float,
    ) -> float:
        """Learns from an answer how far durations follow the stated pace.

        Args:
            server: The server that answered.
            duration: Duration of the work, in any unit in which equal work
                takes equally long at a constant pace.
            began_s: When the work was sent.
            ended_s: When the answer came.

        Returns:
            The pace at which the work ran, to correct the duration by.
        """
        known = self._servers.get(server.start)
        if known is not None and known.at_s >= began_s and duration > 0:
            known.trust.add(math.log(known.pace), math.log(duration))
        return self.expected(server, (began_s + ended_s) / 2).pace

    def expected(self, server: fleet.Server, now_s: float) -> ExpectedPace:
        """Returns the pace to expect for work that is sent to a server now."""
        service = self._services.get(server.service)
        known = self._servers.get(server.start)
        if service is None:
            return NOT_STATED
        self._update_mean(server.service, service, now_s)
        if known is None:
            return ExpectedPace(spread=service.deviation)
        age_s = abs(now_s - known.at_s)
        weight = _weight(age_s, service.holding_time_s)
        usual_pace = service.mean + _own_mean_share(known.count, age_s) * (
            known.mean - service.mean
        )
        return ExpectedPace(
            usual_pace + weight * (known.trusted_pace - usual_pace),
            service.deviation * math.sqrt(1.0 - weight * weight),
            min(1.0, service.mean / usual_pace),
        )

    def _update_mean(self, name: str, service: _Service, now_s: float) -> None:
        if abs(now_s - service.computed_s) < MEAN_CACHE_S:
            return
        service.computed_s = now_s
        known = [one for one in self._servers.values() if one.service == name]
        if not known:
            return
        # The median, because one server that states a wrong pace must not
        # change what is expected of all others.
        service.mean = statistics.median(one.mean for one in known)
        service.deviation = math.sqrt(
            statistics.fmean((one.pace - service.mean) ** 2 for one in known)
        )


def _own_mean_share(statements_count: int, age_s: float) -> float:
    share = statements_count / (statements_count + OWN_MEAN_PRIOR_COUNT)
    return share * math.exp(-age_s / OWN_MEAN_TIME_CONSTANT_S)


def _weight(age_s: float, holding_time_s: float) -> float:
    """Returns the weight of a statement of this age, 0 to 1."""
    if holding_time_s <= 0 or age_s > MAX_AGE_S:
        return 0.0
    return max(0.0, 1.0 - age_s / (2.0 * holding_time_s))
