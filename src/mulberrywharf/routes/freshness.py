"""Tracks how recently the routes in force were confirmed as the newest.

A watch without events does not prove that nothing changed: the service may have
dropped the watch or be unreachable. Operations that must not use outdated
routes, such as accepting a key that may be revoked, check here first.

The service is asked for its revision, and whether the document still has the
revision at which it was stored. Changes are not asked for: what keeps them from
a watch would keep them from the confirmation, too.

A confirmation is dated by when its request was sent, not by when the answer
arrived, so that slow answers and suspended machines never make it look newer.

Each gateway asks the service itself, so that it finds a change that its watches
missed whatever happens to other gateways. Only a gateway that gets no answer
relies on what others confirmed. While the revision of the service stands still,
nothing has changed; else the routes and the keys of an audit are compared.
"""

import math
import random
from collections.abc import Sequence
from typing import Protocol

import gevent
import gevent.event
from loguru import logger
from result import Err

from mulberrywharf import clock, metrics, supervised_task
from mulberrywharf.platform_service import (
    dialect,
    era,
    key_value,
    key_value_types,
)
from mulberrywharf.routes import table

PURPOSE = "freshness"

CLOCK_DRIFT_MARGIN_S = 0.1
"""Subtracted from the maximum age of a confirmation, to allow for clock drift
between machines."""

DEFAULT_AGE_LIMIT_S = 15.0
"""Maximum age if no bound is configured. Callers that need a more recent
confirmation request one."""

INTERVAL_SHARE = 0.34
"""Interval between confirmations, as a fraction of their maximum age. The rest
covers short outages of the service or the network."""

INTERVAL_LIMIT_S = 1.5
"""Upper bound of the same. Operators are promised changes within 2 s, also if a
watch does not report them."""

SERVICE_WAIT_S = 0.3
"""Time after which other gateways are asked, too, if the service is silent. It
responds within 240 ms when it is sixty times slower than usual."""

RELAYED_AGE_LIMIT_SHARE = 0.4
"""Maximum age of a confirmation from another gateway, as a fraction of the
maximum age. An older one suggests that it cannot reach the service either."""

RELAYED_AGE_LIMIT_S = 2.0
"""Upper bound of the same, so that callers that need a recent confirmation get
one of the service."""

_INTERVAL_JITTER = (0.85, 1.0)
_RETRY_DELAY_S = (0.25, 0.65)
"""Range of the delay after a failed confirmation."""

MIN_DELAY_S = 0.05
"""Minimum delay between two confirmations, also if callers wait for one."""

RESTORE_HOLD_OFF_S = 3.0
"""Time after a restore of the service from a backup in which nothing is
confirmed: the newest routes may be missing until operators write them again."""

_age_gauge = metrics.gauge(
    "mulberry_routes_confirmed_age_seconds",
    "Age of the last confirmation that the routes in force are the newest.",
)
_confirmations = metrics.counter(
    "mulberry_routes_confirmations_total",
    "Confirmations that were asked for, by result.",
)


class Routes(Protocol):
    """The routes in force."""

    @property
    def routes_key(self) -> str:
        """Key of the routes in the key-value service."""
        ...

    @property
    def stored_revision(self) -> int | None:
        """Revision at which the routes in force were stored, if known."""
        ...

    def current(self) -> table.RouteTable | None:
        """Returns the routes in force."""
        ...

    def take(self, found: key_value_types.KeyValue) -> bool:
        """Applies a routes document; tells whether it is now in force."""
        ...


class Confirmation(Protocol):
    """States how recently another gateway confirmed its routes."""

    @property
    def version(self) -> int:
        """Version of the routes in force at that gateway."""
        ...

    @property
    def age_s(self) -> float:
        """Time since it was confirmed as the newest."""
        ...


class Audit(Protocol):
    """Other keys that are compared with the service beside the routes."""

    def next_keys(self, limit_count: int) -> list[key_value_types.Guard]:
        """Returns keys to compare, with the revisions that they should have."""
        ...

    def take(
        self,
        expected: Sequence[key_value_types.Guard],
        changed: dialect.ChangedKeys,
    ) -> None:
        """Takes what a comparison has found."""
        ...

    def find_missed(self, after_revision: int, revision: int) -> bool:
        """Finds changes of keys that were not compared.

        Args:
            after_revision: Revision up to which nothing is missing.
            revision: Revision of the service before keys were compared.

        Returns:
            Whether nothing up to that revision is missing now.
        """
        ...


class Relay(Protocol):
    """Asks other gateways how recently the routes were confirmed."""

    def ask(self) -> Confirmation | None:
        """Asks for a confirmation; None if no gateway replies."""
        ...

    def ask_all(self) -> Sequence[Confirmation] | None:
        """Asks several gateways; None if no other gateway is known."""
        ...


class RoutesFreshness:
    """Periodically checks that the key-value service has no newer routes."""

    def __init__(
        self,
        client: key_value.KeyValueClient,
        routes: Routes,
        age_limit_s: float | None,
        *,
        relay: Relay | None = None,
        audit: Audit | None = None,
        system_clock: clock.Clock | None = None,
    ):
        """Creates it; no requests are sent before ``start``.

        Args:
            client: The key-value service.
            routes: Receives changed routes.
            age_limit_s: Maximum age of a usable confirmation, None for
                ``DEFAULT_AGE_LIMIT_S``.
            audit: Other keys to compare, None for none.
            relay: Asks other gateways while the service does not answer, None
                to ask only the service.
            system_clock: A clock that also runs while suspended.
        """
        self._client = client
        self._routes = routes
        self._age_limit_s = age_limit_s or DEFAULT_AGE_LIMIT_S
        self._relayed_age_limit_s = min(
            RELAYED_AGE_LIMIT_S, RELAYED_AGE_LIMIT_SHARE * self._age_limit_s
        )
        self._relay = relay
        self._audit = audit
        self._interval_s = min(
            INTERVAL_LIMIT_S, INTERVAL_SHARE * self._age_limit_s
        )
        self._clock = system_clock or clock.BootClock()
        self._started_s = float("-inf")
        self._confirmed_s = float("-inf")
        self._read_revision: int | None = None
        self._checked_revision = 0
        self._was_taken = False
        self._era = client.era
        self._is_failing = False
        self._confirmation_requested = gevent.event.Event()
        self._confirmed = gevent.event.Event()
        self._task: gevent.Greenlet | None = None
        self._asking: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts the periodic checks, if not yet started."""
        if self._task is None:
            self._started_s = self.now_s()
            self._task = supervised_task.spawn("freshness", self._run)

    def close(self) -> None:
        """Stops the periodic checks; the last confirmation keeps aging."""
        for task in (self._task, self._asking):
            if task is not None:
                task.kill()

    def now_s(self) -> float:
        """Returns the current time of the clock that measures ages."""
        return self._clock.monotonic_s()

    def is_confirmed(self, at_s: float, age_s: float) -> bool:
        """Tells whether the routes were confirmed shortly before a time.

        Args:
            at_s: The time, as returned by ``now_s``.
            age_s: Maximum age of the confirmation at that time.
        """
        return at_s - self._confirmed_s <= age_s - CLOCK_DRIFT_MARGIN_S

    def wait_confirmed(self, at_s: float, age_s: float, limit_s: float) -> bool:
        """Requests a confirmation and waits for it.

        Args:
            at_s: See ``is_confirmed``.
            age_s: See ``is_confirmed``.
            limit_s: Maximum time to wait.

        Returns:
            Whether the routes are confirmed, see ``is_confirmed``.
        """
        until_s = self.now_s() + limit_s
        while not self.is_confirmed(at_s, age_s):
            left_s = until_s - self.now_s()
            if left_s <= 0:
                return False
            self._confirmed.clear()
            self._confirmation_requested.set()
            self._confirmed.wait(left_s)
        return True

    def _run(self) -> None:
        while True:
            is_confirmed = self._confirm()
            self._record_result(is_confirmed)
            gevent.sleep(MIN_DELAY_S)
            # Waiting callers do not shorten the delay after a failure.
            if is_confirmed:
                self._confirmation_requested.wait(
                    self._interval_s * random.uniform(*_INTERVAL_JITTER)
                    - MIN_DELAY_S
                )
            else:
                gevent.sleep(random.uniform(*_RETRY_DELAY_S))
            self._confirmation_requested.clear()

    def _record_result(self, is_confirmed: bool) -> None:
        _confirmations.inc({"result": "ok" if is_confirmed else "failed"})
        age_s = self.now_s() - self._confirmed_s
        _age_gauge.set({}, age_s)
        is_failing = not is_confirmed and age_s > 2 * self._interval_s
        if is_failing != self._is_failing:
            self._is_failing = is_failing
            logger.bind(age_s=round(age_s, 3), era=self._era).info(
                "routes not confirmed" if is_failing else "routes confirmed"
            )

    def _confirm(self) -> bool:
        """Checks once; tells whether the routes in force are the newest."""
        requested_s = self.now_s()
        if self._client.restored_age_s() < RESTORE_HOLD_OFF_S:
            self._forget()
            return False
        if self._asking is None or self._asking.ready():
            self._asking = gevent.spawn(self._ask_service, requested_s)
        self._asking.join(SERVICE_WAIT_S)
        if self._asking.ready() and self._asking.value:
            return True
        return self._relay is not None and self._ask_others(
            self._relay, requested_s
        )

    def _ask_others(self, relay: Relay, requested_s: float) -> bool:
        """Asks another gateway; tells whether that confirmed the routes.

        Versions only increase, so the routes in force were the newest at the
        time of that confirmation if their version is not lower than its own.
        """
        confirmation = relay.ask()
        routes = self._routes.current()
        if (
            confirmation is None
            or routes is None
            or confirmation.version > routes.version
            or confirmation.age_s > self._relayed_age_limit_s
        ):
            return False
        self._note_confirmed(requested_s - confirmation.age_s)
        return True

    def _ask_service(self, requested_s: float) -> bool:
        if self._client.era != self._era:
            self._era = self._client.era
            self._forget()
        is_newest = self._is_newest_in_service()
        if self._client.era != self._era:
            # The reads may come from two different histories.
            self._forget()
            return False
        if is_newest and not self._may_start_from_older_copy():
            self._note_confirmed(requested_s)
            return True
        return False

    def _may_start_from_older_copy(self) -> bool:
        """Tells whether the service may lack routes that others have in force.

        A process that starts while the service is back from an older copy
        can't see the restore, but gateways that ran before can. Right behind
        it, they are not registered.
        """
        if (
            self._relay is None
            or self._client.era == era.NO_ERA
            or math.isfinite(self._confirmed_s)
        ):
            return False
        confirmations = self._relay.ask_all()
        if confirmations is None:
            return self.now_s() - self._started_s < RESTORE_HOLD_OFF_S
        routes = self._routes.current()
        return routes is None or any(
            one.version > routes.version for one in confirmations
        )

    def _forget(self) -> None:
        """Forgets what was read from a history that may be lost."""
        self._read_revision = None
        self._checked_revision = 0

    def _note_confirmed(self, at_s: float) -> None:
        self._confirmed_s = max(self._confirmed_s, at_s)
        self._confirmed.set()

    def age_s(self) -> float:
        """Returns the age of the last confirmation, infinite if none."""
        return self.now_s() - self._confirmed_s

    def _is_newest_in_service(self) -> bool:
        if self._read_revision is None:
            # At a start, and behind a restore, all gateways confirm at once:
            # the service takes more reads than comparisons.
            return self._read_routes()
        read = self._client.read_revision(
            self._routes.routes_key, purpose=PURPOSE
        )
        if isinstance(read, Err):
            return False
        revision = read.ok_value
        if revision != self._checked_revision:
            if not self._compare(revision):
                return False
            self._checked_revision = revision
        return self._is_read_document_in_force()

    def _is_read_document_in_force(self) -> bool:
        return self._routes.stored_revision is not None or self._was_taken

    def _compare(self, service_revision: int) -> bool:
        """Compares keys with the service; tells whether none is behind."""
        key = self._routes.routes_key
        revision = self._routes.stored_revision or self._read_revision or 0
        routes = key_value_types.Guard(key, revision)
        others = (
            self._audit.next_keys(key_value.COMPARE_LIMIT_COUNT - 1)
            if self._audit is not None
            else []
        )
        compared = self._client.compare_revisions(
            [routes, *others], purpose=PURPOSE
        )
        if isinstance(compared, Err) or self._client.era != self._era:
            return False
        changed = compared.ok_value
        if self._audit is not None:
            self._audit.take(others, changed)
        if key in changed and not self._take(changed[key]):
            return False
        return self._audit is None or self._audit.find_missed(
            self._checked_revision, service_revision
        )

    def _read_routes(self) -> bool:
        read = self._client.get(self._routes.routes_key, purpose=PURPOSE)
        if isinstance(read, Err):
            return False
        return self._take(read.ok_value)

    def _take(self, found: key_value_types.KeyValue | None) -> bool:
        self._was_taken = found is not None and self._routes.take(found)
        self._read_revision = found.mod_revision if found is not None else 0
        return self._was_taken
