"""Tracks which servers are ejected, on trial or returning.

Every state ends by itself, so that a server comes back even if the gateways
that decide about it have ended or can't be reached.
"""

import collections
import random
from collections.abc import Iterable, Mapping, Sequence
from typing import Literal, NamedTuple

from mulberrywharf import fleet
from mulberrywharf.policy import server_ejection

TRIAL_S = 2.0
"""How long a server is on trial. It returns if nothing was decided by then.
With the longest ejection, no server is kept out for more than 10 s."""

TRIAL_REQUESTS_COUNT = 8
"""Mean number of gateways that send trial requests to a server. Up to so many
callers may have to wait for a repeat."""

TRIAL_INTERVAL_S = 0.25
"""Least time between two trial requests of one gateway."""

RETURN_S = 2.0
"""Time in which a server's share of the requests that may use it rises to all.
Its empty queue would otherwise draw all requests of all gateways at once."""

_FIRST_RETURN_SHARE = 0.2

REMEMBERED_S = 20.0
"""A server that is ejected again within this time after its return is ejected
for longer."""

LATE_DECISION_S = 2.0
"""For so long after a server's return, the decision to eject it is taken for
one that was delayed or duplicated."""

_Group = tuple[str, fleet.Role | None, str]

State = Literal["used", "ejected", "trial", "returning"]


class Decision(NamedTuple):
    """What a gateway decided about a server.

    Attributes:
        server_key: Key of the server's start.
        is_ejected: Whether it is ejected; otherwise it returns.
        times_count: How many times it was ejected in short order.
        left_s: Time until it is on trial, if it is ejected.
    """

    server_key: int
    is_ejected: bool
    times_count: int
    left_s: float = 0.0


class _Entry(NamedTuple):
    """An ejection of a server, which may be over.

    Attributes:
        times_count: How many times it was ejected in short order.
        trial_at_s: When its trial begins.
        returns_at_s: When it begins to return.
        is_tester: Whether this gateway sends trial requests to it.
    """

    times_count: int
    trial_at_s: float
    returns_at_s: float
    is_tester: bool


class EjectedServers:
    """The servers that are not used fully, at one gateway."""

    def __init__(self, rng: random.Random):
        """Initializes the state; no server is ejected.

        Args:
            rng: Draws the gateways that send trial requests, and the requests
                that may use a returning server.
        """
        self._rng = rng
        self._entries: dict[int, _Entry] = {}
        self._next_trial_s: dict[int, float] = {}

    def apply(
        self, decision: Decision, testers_share: float, now_s: float
    ) -> bool:
        """Applies a decision.

        Args:
            decision: The decision.
            testers_share: Probability that this gateway sends trial requests.
            now_s: The current time.

        Returns:
            Whether it changed the state of the server.
        """
        key = decision.server_key
        state = self.state(key, now_s)
        entry = self._entries.get(key)
        if not decision.is_ejected:
            if entry is None or state not in ("ejected", "trial"):
                return False
            self._entries[key] = entry._replace(
                trial_at_s=min(entry.trial_at_s, now_s), returns_at_s=now_s
            )
            return True
        if entry is not None and decision.times_count <= entry.times_count:
            is_late = now_s - entry.returns_at_s < LATE_DECISION_S
            if state in ("ejected", "trial") or is_late:
                return False
        self._drop_past(now_s)
        left_s = min(decision.left_s, server_ejection.EJECTED_LIMIT_S)
        self._entries[key] = _Entry(
            decision.times_count,
            now_s + left_s,
            now_s + left_s + TRIAL_S,
            self._rng.random() < testers_share,
        )
        return True

    def state(self, server_key: int, now_s: float) -> State:
        """Returns how a server is used now."""
        entry = self._entries.get(server_key)
        if entry is None or now_s >= entry.returns_at_s + RETURN_S:
            return "used"
        if now_s >= entry.returns_at_s:
            return "returning"
        return "trial" if now_s >= entry.trial_at_s else "ejected"

    def current(self, server_key: int, now_s: float) -> Decision | None:
        """Returns the ejection in force of a server, None if there is none."""
        entry = self._entries.get(server_key)
        if entry is None or now_s >= entry.returns_at_s:
            return None
        left_s = max(0.0, entry.trial_at_s - now_s)
        return Decision(server_key, True, entry.times_count, left_s)

    def next_times_count(self, server_key: int, now_s: float) -> int:
        """Returns the count of the next ejection of a server."""
        entry = self._entries.get(server_key)
        if entry is None or now_s >= entry.returns_at_s + REMEMBERED_S:
            return 1
        return entry.times_count + 1

    def ejected_keys(self, now_s: float) -> frozenset[int]:
        """Returns the keys of all servers that are ejected or on trial."""
        return frozenset(
            key
            for key, entry in self._entries.items()
            if now_s < entry.returns_at_s
        )

    def keep_only(self, server_keys: Iterable[int], now_s: float) -> None:
        """Drops servers that have left, and ejections long past."""
        known = frozenset(server_keys)
        self._entries = {
            key: entry for key, entry in self._entries.items() if key in known
        }
        self._drop_past(now_s)

    def _drop_past(self, now_s: float) -> None:
        self._entries = {
            key: entry
            for key, entry in self._entries.items()
            if now_s < entry.returns_at_s + REMEMBERED_S
        }
        self._next_trial_s = {
            key: at_s
            for key, at_s in self._next_trial_s.items()
            if key in self._entries
        }

    def allowed(
        self,
        servers: Sequence[fleet.Server],
        keys: Mapping[fleet.ServerStart, int],
        now_s: float,
        *,
        may_repeat: bool,
    ) -> list[fleet.Server]:
        """Returns the servers that a request may be sent to.

        Args:
            servers: The servers of one service that it could be sent to.
            keys: Key of each of them.
            now_s: The current time.
            may_repeat: Whether the request may be repeated. Only then is it
                sent to a server on trial, and to that one alone.

        Returns:
            All servers if only servers that are not used would be left.
        """
        limited = {
            key for key in self._entries if self.state(key, now_s) != "used"
        }
        affected = [
            one for one in servers if limited and keys.get(one.start) in limited
        ]
        if not affected:
            return list(servers)
        left_out = self._within_limit(affected, servers, keys, now_s)
        if may_repeat:
            for server in left_out:
                if self._takes_trial(keys[server.start], now_s):
                    return [server]
        unused = {one.start for one in left_out}
        undrawn = {
            one.start
            for one in affected
            if not self._is_drawn(keys[one.start], now_s)
        }
        used = [one for one in servers if one.start not in unused]
        usual = [one for one in used if one.start not in undrawn]
        return usual or used or list(servers)

    def _within_limit(
        self,
        affected: Sequence[fleet.Server],
        servers: Sequence[fleet.Server],
        keys: Mapping[fleet.ServerStart, int],
        now_s: float,
    ) -> list[fleet.Server]:
        """Returns the ejected servers, as many as the limit permits.

        Gateways may eject servers of one group at the same time. All gateways
        then use the same ones of them in spite of it.
        """
        ejected = sorted(
            (
                one
                for one in affected
                if self.state(keys[one.start], now_s) != "returning"
            ),
            key=lambda one: keys[one.start],
        )
        sizes = collections.Counter(map(_group, servers))
        counts: collections.Counter[_Group] = collections.Counter()
        left_out = []
        for server in ejected:
            group = _group(server)
            if counts[group] < server_ejection.limit_count(sizes[group]):
                counts[group] += 1
                left_out.append(server)
        return left_out

    def _takes_trial(self, server_key: int, now_s: float) -> bool:
        """Tells whether a trial request is due, and notes that it is sent."""
        entry = self._entries[server_key]
        if (
            not entry.is_tester
            or self.state(server_key, now_s) != "trial"
            or now_s < self._next_trial_s.get(server_key, now_s)
        ):
            return False
        self._next_trial_s[server_key] = now_s + TRIAL_INTERVAL_S
        return True

    def _is_drawn(self, server_key: int, now_s: float) -> bool:
        """Tells whether a request may use a server that may be returning."""
        if self.state(server_key, now_s) != "returning":
            return True
        since_s = now_s - self._entries[server_key].returns_at_s
        risen_share = (1 - _FIRST_RETURN_SHARE) * since_s / RETURN_S
        return self._rng.random() < _FIRST_RETURN_SHARE + risen_share


def _group(server: fleet.Server) -> _Group:
    return server.service, server.role, server.availability_zone
