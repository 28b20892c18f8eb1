"""Judges, from what callers see, which version of the routes was in force.

Version n adds the path ``/v<n>/`` and drops that of version n - 6, and the path
``/moved/`` leads to service n mod 3. An answer is thus possible under some
versions only.
"""

import bisect
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

APPLY_S = 2.0
"""``config-apply-ms``: later than this behind its acknowledgement, a version is
in force at every gateway in touch."""

DRAIN_S = 2.0
"""``drain-ms``: the same for a server that leaves."""

CONTACT_S = 3.0
"""``contact-ms``: a gateway is in touch that long behind its last trouble."""

ROLLBACK_S = 0.25
"""``rollback-slack-ms``: later than this, no older version may return."""

KEPT_COUNT = 6
"""Versions under which an added path exists."""

SERVICES_COUNT = 3


class Write(NamedTuple):
    """A version of the routes.

    Attributes:
        version: Its number.
        began_s: When the operator began to write it.
        acked_s: When the store acknowledged it.
    """

    version: int
    began_s: float
    acked_s: float


class Seen(NamedTuple):
    """What an answer tells of the version under which a request was handled.

    Attributes:
        gateway: Index of the gateway.
        boot: Which process of it.
        sent_s: When the request was sent.
        answered_s: When its answer was there.
        added: Version whose path was asked for, None for ``/moved/``.
        service: Number of the service that ran it, None if it got 404.
    """

    gateway: int
    boot: int
    sent_s: float
    answered_s: float
    added: int | None
    service: int | None

    def allows(self, version: int) -> bool:
        """Returns whether a version leads to this answer."""
        if self.added is None:
            return version % SERVICES_COUNT == self.service
        exists = self.added <= version < self.added + KEPT_COUNT
        return exists == (self.service is not None)


class Case(NamedTuple):
    """A broken promise.

    Attributes:
        form: ``late``, ``older`` or ``leaving``.
        gateway: Index of the gateway.
        at_s: When the request was sent.
        late_s: Time since the oldest change that the gateway lacked, or since
            the newer version was seen.
        text: What was seen.
    """

    form: str
    gateway: int
    at_s: float
    late_s: float
    text: str


class Judged(NamedTuple):
    """The verdict on a run.

    Attributes:
        cases: Broken promises.
        latest_s: Longest time for which a gateway in touch lacked a change.
    """

    cases: list[Case]
    latest_s: float


def judge(
    seen: Iterable[Seen],
    writes: Sequence[Write],
    in_touch: Callable[[int, float], bool],
) -> Judged:
    """Judges the answers of a run.

    Args:
        seen: The answers.
        writes: Every version in order, the first one included.
        in_touch: Whether a gateway was in touch at a time.
    """
    cases: list[Case] = []
    latest_s = 0.0
    acked_s = [one.acked_s for one in writes]
    proven: dict[tuple[int, int], list[tuple[float, int]]] = {}
    for one in sorted(seen, key=lambda one: one.answered_s):
        possible = [
            write.version
            for write in writes
            if write.began_s <= one.answered_s and one.allows(write.version)
        ]
        if not possible:
            text = f"no version ever written allows {one}"
            cases.append(Case("older", one.gateway, one.sent_s, 0.0, text))
            continue
        newest = possible[-1]
        floor = _proven_before(
            proven.setdefault((one.gateway, one.boot), []),
            one.sent_s - ROLLBACK_S,
        )
        if newest < floor:
            text = f"{newest} at most, behind {floor}: {one}"
            cases.append(Case("older", one.gateway, one.sent_s, 0.0, text))
            continue
        reached = next(version for version in possible if version >= floor)
        proven[one.gateway, one.boot].append((one.answered_s, reached))
        acked_count = bisect.bisect_right(acked_s, one.sent_s)
        lacking = [w for w in writes[:acked_count] if w.version > newest]
        if not lacking or not in_touch(one.gateway, one.sent_s):
            continue
        late_s = one.sent_s - lacking[0].acked_s
        latest_s = max(latest_s, late_s)
        if late_s > APPLY_S:
            text = f"{newest} at most, {lacking[0].version} was due: {one}"
            cases.append(Case("late", one.gateway, one.sent_s, late_s, text))
    return Judged(cases, latest_s)


def _proven_before(proven: list[tuple[float, int]], at_s: float) -> int:
    return max(
        (version for seen_s, version in proven if seen_s < at_s), default=0
    )
