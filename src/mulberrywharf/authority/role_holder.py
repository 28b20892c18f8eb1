"""Assigns a duty to one gateway at a time through a lease in the store.

The duties are ordering engine roles and calling the operators' platform.

An engine that does not check fencing numbers carries out whatever arrives. So
no order may leave after the authority has passed on, and none of the next
holder may leave while one of the last could still be on its way:

- The holder has a key under a lease. Its fencing number is the revision that
  created the key, behind the service's era: revisions are given out again when
  the service comes back from an older copy. So it rises from holder to holder.
- It records an order before it sends it, in a write that fails if the key is
  no longer its own. It checks the lease once more before the first byte.
- Whoever finds that another ordered before waits for longer than the lease
  and the longest life of an order's bytes.

A process that is frozen between the check and the send could send late. The
lease is measured by a clock that counts a frozen machine's time, so the order
has to leave with the very instruction at which it was frozen.
"""

import random
from collections.abc import Callable
from typing import NamedTuple

import gevent
from loguru import logger
from result import Err, Ok, Result

from mulberrywharf import clock, errors
from mulberrywharf.authority import quiet_time
from mulberrywharf.platform_service import era, key_value, lease

PURPOSE = "roles"
KEY_PREFIX = "mulberrywharf/roles/"

USER_TIMEOUT_S = 0.5
"""How long the bytes of an order may wait for the engine; one that is alive
answers within milliseconds."""

ERA_NUMBERS_COUNT = 2**32
"""Fencing numbers of one era, more than any service gives out revisions. Two
million eras fit the 53 bits of a number that every reader of JSON knows."""

NON_CANDIDATE_INTERVAL_FACTOR = 4.0
"""Multiplies the look interval of VMs that are not candidates, because each
look costs a call to the service."""

CLOCK_MARGIN_S = 0.5
"""Allowed error between the clocks of two VMs over one lease."""


class Duty(NamedTuple):
    """A task that one gateway at a time performs for the fleet.

    Attributes:
        name: Name in logs; also the purpose of calls to the store.
        key_prefix: Prefix of its keys in the store.
        is_fencing_checked: Whether the receiver rejects a fencing number lower
            than one it has seen. If so, a new holder does not wait until
            orders of the previous holder can no longer arrive.
    """

    name: str
    key_prefix: str
    is_fencing_checked: bool = False

    @property
    def holder_key(self) -> str:
        """The key that the current holder owns."""
        return self.key_prefix + "holder"

    @property
    def record_key(self) -> str:
        """The key of the holder's write-ahead record."""
        return self.key_prefix + "record"


ROLES_DUTY = Duty(PURPOSE, KEY_PREFIX)


class HolderTiming(NamedTuple):
    """How the right to order is sought and kept.

    Attributes:
        lease_ttl_s: Length of the lease. Renewals, at a third of it, cost a
            tenth of a call each; a holder that is gone is followed after so
            long at the earliest, and roles stay as they are meanwhile.
        first_look_s: Until the first look at whether somebody holds the key,
            at the most: all start together, and most then find that another
            holds it already.
        look_interval_s: Between two looks; each may be stale and costs a
            tenth of a call.
    """

    lease_ttl_s: float = 6.0
    first_look_s: float = 2.0
    look_interval_s: float = 5.0


class Authority(NamedTuple):
    """The right to order, as it stood when it was asked for.

    Attributes:
        number: The fencing number.
        guard: Holds in the store only as long as the right does.
    """

    number: int
    guard: key_value.Guard


class RoleHolder:
    """Campaigns for the right to order roles, and tells when it holds."""

    def __init__(
        self,
        client: key_value.KeyValueClient,
        vm_id: str,
        *,
        turn_s: float,
        timing: HolderTiming | None = None,
        system_clock: clock.Clock | None = None,
        duty: Duty = ROLES_DUTY,
        is_candidate: Callable[[], bool] = lambda: True,
    ):
        """Prepares it; nothing is asked for before ``start``.

        Args:
            client: The key-value service.
            vm_id: Names the holder.
            turn_s: Least time between orders of two holders.
            timing: The usual one when None.
            system_clock: Counts also the time of a frozen machine.
            duty: The duty to hold.
            is_candidate: Whether this VM looks at the usual interval. Other
                VMs look less often, and take over if no candidate is left.
        """
        self._is_candidate = is_candidate
        self._duty = duty
        self._client = client
        self._vm_id = vm_id
        self._clock = system_clock or clock.BootClock()
        self._timing = timing or HolderTiming()
        self._lease_ttl_s = max(self._timing.lease_ttl_s, turn_s)
        self._lease: lease.LeaseHolder | None = None
        self._authority: Authority | None = None
        self._may_order_from_s = float("inf")
        self._record_revision = 0
        self._last_record: bytes | None = None
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begins to campaign."""
        self._task = gevent.spawn(self._campaign)

    def close(self) -> None:
        """Gives the right back, if it is held."""
        if self._task is not None:
            self._task.kill()
        self._authority = None
        if self._lease is not None:
            self._lease.close()
            self._lease = None

    def authority(self) -> Result[Authority, errors.AuthorityLostError]:
        """Returns the right to order, if it is held now and may be used.

        Call it again right before the first byte of an order leaves.
        """
        held = self._lease
        if self._authority is None or held is None:
            return Err(
                errors.AuthorityLostError(
                    f"this VM does not hold the duty {self._duty.name}"
                )
            )
        now_s = self._clock.monotonic_s()
        ends_s = held.valid_until_monotonic_s - USER_TIMEOUT_S - CLOCK_MARGIN_S
        if now_s >= ends_s:
            return Err(errors.AuthorityLostError("the lease is nearly over"))
        if now_s < self._may_order_from_s:
            return Err(
                errors.AuthorityLostError(
                    "an order of the last holder may still be on its way"
                )
            )
        return Ok(self._authority)

    def check(self) -> None:
        """Lets an order pass, or stops it.

        Raises:
            AuthorityLostError: It must not leave.
        """
        held = self.authority()
        if isinstance(held, Err):
            raise held.err_value

    def record(self, value: bytes) -> Result[None, errors.PlatformError]:
        """Records an order before it leaves, if the right is still held."""
        held = self.authority()
        if isinstance(held, Err):
            return held
        written = self._client.compare_and_swap(
            self._duty.record_key,
            value,
            expected_revision=self._record_revision,
            guards=(held.ok_value.guard,),
            purpose=self._duty.name,
        )
        if isinstance(written, Err):
            # Nobody knows what stands there now; the next holder reads it.
            self._give_up(f"an order was not recorded: {written.err_value}")
            return written
        if self._authority is not held.ok_value:
            # Its answer showed that the service is back from an older copy,
            # where another key may bear the revision of the guard.
            return Err(errors.AuthorityLostError("the right was lost"))
        self._record_revision = written.ok_value.mod_revision
        self._last_record = value
        return Ok(None)

    @property
    def last_record(self) -> bytes | None:
        """The latest record written by this holder or read at takeover."""
        return self._last_record

    def resign(self, reason: str) -> None:
        """Releases the duty so that another gateway can acquire it.

        Args:
            reason: Reason to log.
        """
        self._give_up(reason)

    def _campaign(self) -> None:
        gevent.sleep(random.uniform(0.0, self._timing.first_look_s))
        while True:
            if self._authority is None and self._is_free():
                self._acquire()
            interval_s = self._timing.look_interval_s
            if not self._is_candidate():
                interval_s *= NON_CANDIDATE_INTERVAL_FACTOR
            gevent.sleep(interval_s * random.uniform(0.8, 1.2))

    def _is_free(self) -> bool:
        read = self._client.get_prefix_stale(
            self._duty.holder_key, purpose=self._duty.name
        )
        if isinstance(read, Err):
            logger.info(
                "holder of {} not read: {}",
                self._duty.name,
                read.err_value.message,
            )
            return False
        return not read.ok_value

    def _acquire(self) -> None:
        held = lease.LeaseHolder(
            self._client,
            ttl_s=self._lease_ttl_s,
            purpose=self._duty.name,
            on_lost=lambda error: self._on_lost(held, error),
            system_clock=self._clock,
        )
        started = held.start()
        if isinstance(started, Err):
            logger.info(
                "no lease for {}: {}",
                self._duty.name,
                started.err_value.message,
            )
            return
        created = held.create_key(self._duty.holder_key, self._vm_id.encode())
        if isinstance(created, Err):
            logger.info(
                "{} not held: {}", self._duty.name, created.err_value.message
            )
            held.close()
            return
        acquired_s = self._clock.monotonic_s()
        # Read once the key is held: no order is recorded without it.
        record = self._client.get(
            self._duty.record_key, purpose=self._duty.name
        )
        if isinstance(record, Err):
            logger.warning(
                "record of {} not read: {}",
                self._duty.name,
                record.err_value.message,
            )
            held.close()
            return
        if not held.is_valid():
            # Lost while the record was read; nobody was told yet.
            held.close()
            return
        self._begin(held, created.ok_value, record.ok_value, acquired_s)

    def _begin(
        self,
        held: lease.LeaseHolder,
        key: key_value.KeyValue,
        record: key_value.KeyValue | None,
        acquired_s: float,
    ) -> None:
        quiet = quiet_time.QuietTime(
            self._lease_ttl_s,
            USER_TIMEOUT_S,
            CLOCK_MARGIN_S,
            fencing_checking_kinds=frozenset(
                {self._duty.name} if self._duty.is_fencing_checked else ()
            ),
        )
        # A record that isn't there proves nothing where the service can come
        # back from an older copy: the last holder's may be lost with it.
        takeover = quiet_time.Takeover(
            acquired_s,
            predecessor_unsettled=(
                record is not None or self._client.era != era.NO_ERA
            ),
        )
        self._may_order_from_s = quiet.ends_s(takeover, self._duty.name)
        self._record_revision = record.mod_revision if record else 0
        self._last_record = record.value if record else None
        self._lease = held
        guard = key_value.Guard(self._duty.holder_key, key.mod_revision)
        number = self._client.era * ERA_NUMBERS_COUNT + key.create_revision
        self._authority = Authority(number, guard)
        logger.bind(
            number=number,
            quiet_s=round(self._may_order_from_s - acquired_s, 2),
        ).info("this VM has the duty {} now", self._duty.name)

    def _on_lost(
        self, held: lease.LeaseHolder, error: errors.AuthorityLostError
    ) -> None:
        if self._lease is held:
            self._lease = None
            self._authority = None
            logger.warning(
                "this VM has the duty {} no more: {}",
                self._duty.name,
                error.message,
            )

    def _give_up(self, reason: str) -> None:
        self._authority = None
        if self._lease is not None:
            self._lease.close()
            self._lease = None
        logger.warning(
            "this VM has the duty {} no more: {}", self._duty.name, reason
        )
