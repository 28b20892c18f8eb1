"""Learns how fast each engine lastingly is, from the answers of all gateways.

Engines of a fleet may run on machines of different speed, and nothing states
it. In a fleet of 68 gateways each one sees about one prompt in 68 of an engine:
too few to tell a lasting slowdown of 1.6 from a machine that is busy for 600
ms. So the owner of an engine's queue learns the slowdown from all gateways'
reports, and returns it with the waits that it reports.

Three factors of a prefill's duration are kept apart: the speed of the engine's
role, which each gateway learns alone (``engine_speeds``); the lasting slowdown
of the engine's machine, learned here; and passing slowdowns, which the median
ignores. A reported ratio is the duration over the estimate, times the slowdown
that the estimate assumed. Only the product of role speed and slowdown can be
measured, so a common factor of all slowdowns could grow without limit while the
role speeds shrink. Gateways prevent this: they divide by the geometric mean of
the slowdowns of the role's engines, so the role speed alone takes any common
factor.
"""

import collections
import math
import statistics
from collections.abc import Iterable

from mulberrywharf import fleet

MAX_LOG_SLOWDOWN = math.log(4.0)
"""Bound of the logarithm of a reported or learned slowdown. Machines of one
fleet differ by a factor of three at most; higher ratios are waits."""

REPORTS_PER_SENDER_COUNT = 3
"""Reports of one gateway that count, the newest ones. A gateway that is slow
itself, or reports wrong ratios, is outvoted by the others however often it
reports."""

SENDERS_LIMIT_COUNT = 32
"""Gateways whose reports count for an engine, those that reported last. Their
96 reports cover about a minute of an engine's prompts."""

PRIOR_COUNT = 4.0
"""Number of reports of a slowdown of 1 that are assumed in addition to the
received ones, so that a few reports move the estimate only a little."""

TIME_CONSTANT_S = 60.0
"""The weight of the reports falls by 1/e in this time after the last one. An
engine that gets no prompts because it was taken for slow is thus tried again.
The machine's speed itself does not change."""

CARRY_OVER_S = 10.0
"""Time after an owner's first message about an engine during which it accepts
the slowdown that gateways know from the former owner. Later, gateways would
only return what this owner told them, and no error would ever be forgotten."""

CARRY_OVER_REPORTS_COUNT = 8.0
"""Number of reports that the slowdown known from a former owner counts as, in
place of the assumed slowdown of 1. Twenty measured reports outweigh a wrong
one."""

ENGINES_LIMIT_COUNT = 1_000
"""Maximum number of engines in memory, more than any fleet has."""


def bounded_log(slowdown: float) -> float | None:
    """Returns the bounded logarithm of a slowdown, None if it is none."""
    if not (math.isfinite(slowdown) and slowdown > 0):
        return None
    log = math.log(slowdown)
    return max(-MAX_LOG_SLOWDOWN, min(MAX_LOG_SLOWDOWN, log))


class _EngineReports:
    """What gateways reported about one engine."""

    __slots__ = ("_by_sender", "_carried", "_first_s", "_last_s")

    def __init__(self, now_s: float):
        self._by_sender: collections.OrderedDict[
            int, collections.deque[float]
        ] = collections.OrderedDict()
        self._carried: dict[int, float] = {}
        self._first_s = now_s
        self._last_s = now_s

    def measured(self, sender: int, log_slowdown: float, now_s: float) -> None:
        reports = self._by_sender.setdefault(
            sender, collections.deque(maxlen=REPORTS_PER_SENDER_COUNT)
        )
        reports.append(log_slowdown)
        self._by_sender.move_to_end(sender)
        if len(self._by_sender) > SENDERS_LIMIT_COUNT:
            self._by_sender.popitem(last=False)
        self._last_s = now_s

    def known(self, sender: int, log_slowdown: float, now_s: float) -> None:
        if now_s - self._first_s > CARRY_OVER_S:
            return
        if len(self._carried) < SENDERS_LIMIT_COUNT or sender in self._carried:
            self._carried[sender] = log_slowdown

    def log_slowdown(self, now_s: float) -> float | None:
        """Returns the estimate, None without any report."""
        reports = [one for kept in self._by_sender.values() for one in kept]
        if not reports and not self._carried:
            return None
        weight = math.exp(-max(0.0, now_s - self._last_s) / TIME_CONSTANT_S)
        count = len(reports) * weight
        total = statistics.median(reports) * count if reports else 0.0
        if self._carried:
            prior = statistics.median(self._carried.values()) * weight
            prior_count = CARRY_OVER_REPORTS_COUNT
        else:
            prior, prior_count = 0.0, PRIOR_COUNT
        return (total + prior * prior_count) / (count + prior_count)


class SharedSpeeds:
    """Estimates the lasting slowdowns of the engines whose queues are owned."""

    def __init__(self) -> None:
        self._engines: collections.OrderedDict[str, _EngineReports] = (
            collections.OrderedDict()
        )

    def measured(
        self, engine_id: str, sender: int, slowdown: float, now_s: float
    ) -> None:
        """Records a slowdown that a gateway measured by one prompt.

        Args:
            engine_id: The engine; its slowdown is kept over a new start.
            sender: Identifies the gateway.
            slowdown: Duration of the prefill over the estimate, times the
                slowdown that the estimate assumed. Invalid values are ignored.
            now_s: The current time.
        """
        log_slowdown = bounded_log(slowdown)
        if log_slowdown is not None:
            self._reports(engine_id, now_s).measured(
                sender, log_slowdown, now_s
            )

    def known(
        self, engine_id: str, sender: int, slowdown: float, now_s: float
    ) -> None:
        """Records a slowdown that a former owner reported to a gateway."""
        log_slowdown = bounded_log(slowdown)
        if log_slowdown is not None:
            self._reports(engine_id, now_s).known(sender, log_slowdown, now_s)

    def slowdown(self, engine_id: str, now_s: float) -> float | None:
        """Returns the estimate for an engine, None if nothing is known."""
        reports = self._engines.get(engine_id)
        log_slowdown = reports.log_slowdown(now_s) if reports else None
        return None if log_slowdown is None else math.exp(log_slowdown)

    def _reports(self, engine_id: str, now_s: float) -> _EngineReports:
        reports = self._engines.get(engine_id)
        if reports is None:
            reports = self._engines[engine_id] = _EngineReports(now_s)
            if len(self._engines) > ENGINES_LIMIT_COUNT:
                self._engines.popitem(last=False)
        self._engines.move_to_end(engine_id)
        return reports


class KnownSlowdowns:
    """The slowdowns that owners reported to this gateway.

    They are kept while the owner says that it knows none, such as a new owner,
    and forgotten in the same time as at owners.
    """

    def __init__(self) -> None:
        self._told: collections.OrderedDict[str, tuple[float, float]] = (
            collections.OrderedDict()
        )
        self._role_ids: dict[tuple[str, fleet.Role | None], list[str]] = {}

    def set_engines(self, engines: Iterable[fleet.Server]) -> None:
        """Replaces the engines that ``relative_slowdown`` compares."""
        self._role_ids = {}
        for engine in engines:
            service_and_role = engine.service, engine.role
            self._role_ids.setdefault(service_and_role, []).append(
                engine.server_id
            )

    def told(
        self, engine_id: str, slowdown: float | None, now_s: float
    ) -> None:
        """Records an owner's reply; None or an invalid value is ignored."""
        log_slowdown = None if slowdown is None else bounded_log(slowdown)
        if log_slowdown is None:
            return
        self._told[engine_id] = log_slowdown, now_s
        self._told.move_to_end(engine_id)
        if len(self._told) > ENGINES_LIMIT_COUNT:
            self._told.popitem(last=False)

    def slowdown(self, engine_id: str, now_s: float) -> float | None:
        """Returns an engine's reported slowdown, None if unknown."""
        log_slowdown = self._log(engine_id, now_s)
        return None if log_slowdown is None else math.exp(log_slowdown)

    def relative_slowdown(
        self, server: fleet.Server, now_s: float
    ) -> float | None:
        """Returns an engine's slowdown relative to its role, None if unknown.

        The geometric mean over all engines of its service and role is 1. Those
        without a known slowdown count as 1.
        """
        log_slowdown = self._log(server.server_id, now_s)
        if log_slowdown is None:
            return None
        logs = [
            self._log(engine_id, now_s) or 0.0
            for engine_id in self._role_ids.get(
                (server.service, server.role), (server.server_id,)
            )
        ]
        return math.exp(log_slowdown - statistics.fmean(logs))

    def _log(self, engine_id: str, now_s: float) -> float | None:
        told = self._told.get(engine_id)
        if told is None:
            return None
        log_slowdown, told_s = told
        return log_slowdown * math.exp(-(now_s - told_s) / TIME_CONSTANT_S)
