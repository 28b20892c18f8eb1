"""Assigns a duty to one gateway at a time through a lease.

The lease is one of the key-value service. The duties are ordering engine roles
and calling the operators' platform. "Request" stands here for what a holder
sends: an order to an engine, or a call to the platform.

A receiver that does not check fencing numbers executes every request. So a
holder must not send a request after its lease has ended, and the next holder
must not send one while a request of the previous holder may still be in
transit:

- The holder owns a key attached to a lease. Its fencing number combines the
  era of the key-value service with the revision that created the key. A service
  that is restored from an older copy assigns revisions again, but its era
  increases. The number therefore increases from holder to holder.
- The holder records a request before it sends it, in a write that fails if it
  no longer owns the key. It checks the lease again right before the first byte.
- A new holder that may follow another one first waits for longer than the
  lease plus the time for which unacknowledged bytes of a request can be
  delivered.

A process that is suspended between the check and the send can still send late.
The lease is measured by a clock that keeps counting while the machine is
suspended, so this only happens if the process is suspended between these two
instructions.
"""

import random
from collections.abc import Callable
from typing import NamedTuple

import gevent
from loguru import logger
from result import Err, Ok, Result

from mulberrywharf import clock, errors, supervised_task
from mulberrywharf.authority import takeover_delay
from mulberrywharf.platform_service import era, key_value, lease

_ROLES_DUTY_NAME = "roles"
_ROLES_KEY_PREFIX = "mulberrywharf/roles/"

USER_TIMEOUT_S = 0.5
"""TCP user timeout: how long sent bytes of a request may stay unacknowledged.

Also the timeout of the connect and of each read. A working engine responds
within milliseconds."""

ERA_NUMBERS_COUNT = 2**32
"""Fencing numbers reserved for one era, more than the revisions that a
key-value service assigns. Two million eras fit into the 53 bits that every JSON
parser reads exactly."""

NON_CANDIDATE_INTERVAL_FACTOR = 4.0
"""Multiplies the check interval of gateways that are not candidates, because
each check loads the key-value service."""

CLOCK_MARGIN_S = 0.5
"""Maximum drift between the clocks of two VMs during one lease."""


class Duty(NamedTuple):
    """A task that one gateway at a time performs for the fleet.

    Attributes:
        name: Name in logs; also the purpose of calls to the key-value
            service.
        key_prefix: Prefix of its keys in the key-value service.
        is_fencing_checked: Whether the receiver rejects a fencing number lower
            than one it has seen. If so, a new holder does not wait until
            requests of the previous holder can no longer arrive.
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
        """The key of the holder's write-ahead record.

        Also the prefix of the keys of the records of its tasks, so that one
        read returns all records.
        """
        return self.key_prefix + "record"

    def task_record_key(self, task: str) -> str:
        """The key of the write-ahead record of one task.

        Args:
            task: Name of the task, empty for the main one.
        """
        return f"{self.record_key}/{task}" if task else self.record_key


ROLES_DUTY = Duty(_ROLES_DUTY_NAME, _ROLES_KEY_PREFIX)


class HolderTiming(NamedTuple):
    """Timing of acquiring and renewing the lease.

    Attributes:
        lease_ttl_s: Length of the lease. It is renewed every third of this
            time, and each renewal costs the key-value service a tenth of a
            regular call. A failed holder is replaced after this time at the
            earliest; roles do not change until then.
        first_check_max_delay_s: Maximum random delay before the first check
            whether the holder key exists. Gateways start at the same time; with
            the delay, most find that another one already holds the key.
        check_interval_s: Interval between two checks. A check may read stale
            data and costs the key-value service a tenth of a regular call.
    """

    lease_ttl_s: float = 6.0
    first_check_max_delay_s: float = 2.0
    check_interval_s: float = 5.0


class Authority(NamedTuple):
    """Shows that this gateway held the duty when it asked.

    Attributes:
        number: The fencing number.
        guard: Write condition that fails once the holder key has changed.
    """

    number: int
    guard: key_value.Guard


_MAIN_TASK = ""


class _Record(NamedTuple):
    """A write-ahead record and its revision in the key-value service."""

    revision: int
    value: bytes


class DutyHolder:
    """Tries to acquire a duty, and tells whether this gateway holds it.

    A duty may have several tasks, each with a write-ahead record of its own.
    They share the lease, the holder key and the fencing number.
    """

    def __init__(
        self,
        client: key_value.KeyValueClient,
        vm_id: str,
        *,
        min_lease_s: float,
        timing: HolderTiming | None = None,
        system_clock: clock.Clock | None = None,
        duty: Duty = ROLES_DUTY,
        is_candidate: Callable[[], bool] = lambda: True,
        is_needed: Callable[[], bool] = lambda: True,
    ):
        """Creates the holder; ``start`` begins to acquire the duty.

        Args:
            client: Client of the key-value service.
            vm_id: Identifies this gateway as the holder.
            min_lease_s: Lower limit of the length of the lease, in seconds,
                such as the minimum time between orders of two holders.
            timing: Timing of the lease; the defaults if None.
            system_clock: Clock that keeps counting while the machine is
                suspended.
            duty: The duty to hold.
            is_candidate: Whether this gateway checks at the normal interval.
                Other gateways check less often, and take over if no candidate
                is left.
            is_needed: Whether the duty has anything to do. While it has not,
                it is not acquired, and released if it is held.
        """
        self._is_candidate = is_candidate
        self._is_needed = is_needed
        self._duty = duty
        self._client = client
        self._vm_id = vm_id
        self._clock = system_clock or clock.BootClock()
        self._timing = timing or HolderTiming()
        self._lease_ttl_s = max(self._timing.lease_ttl_s, min_lease_s)
        self._lease: lease.LeaseHolder | None = None
        self._authority: Authority | None = None
        self._may_send_from_s = float("inf")
        self._records: dict[str, _Record] = {}
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts the task that acquires the duty."""
        self._task = supervised_task.spawn(
            "duty-holder", self._acquire_repeatedly
        )

    def close(self) -> None:
        """Stops the task and releases the duty if it is held."""
        if self._task is not None:
            self._task.kill()
        self._authority = None
        if self._lease is not None:
            self._lease.close()
            self._lease = None

    def authority(self) -> Result[Authority, errors.AuthorityLostError]:
        """Returns the authority if it is held now and may be used.

        Call this again right before the first byte of a request is sent.
        """
        held = self._lease
        if self._authority is None or held is None:
            return Err(
                errors.AuthorityLostError(
                    f"this gateway does not hold the duty {self._duty.name}"
                )
            )
        now_s = self._clock.monotonic_s()
        ends_s = held.valid_until_monotonic_s - USER_TIMEOUT_S - CLOCK_MARGIN_S
        if now_s >= ends_s:
            return Err(
                errors.AuthorityLostError("the lease is about to expire")
            )
        if now_s < self._may_send_from_s:
            return Err(
                errors.AuthorityLostError(
                    "a request of the previous holder may still be in transit"
                )
            )
        return Ok(self._authority)

    def check(self) -> None:
        """Raises an error unless a request may be sent now.

        Raises:
            AuthorityLostError: The request must not be sent.
        """
        held = self.authority()
        if isinstance(held, Err):
            raise held.err_value

    def record(
        self, value: bytes, task: str = _MAIN_TASK
    ) -> Result[None, errors.PlatformError]:
        """Records a request before it is sent, if the duty is still held.

        Args:
            value: The new record.
            task: Name of the task that the record belongs to.
        """
        held = self.authority()
        if isinstance(held, Err):
            return held
        key = self._duty.task_record_key(task)
        known = self._records.get(key)
        written = self._client.compare_and_swap(
            key,
            value,
            expected_revision=known.revision if known else 0,
            guards=(held.ok_value.guard,),
            purpose=self._duty.name,
        )
        if isinstance(written, Err):
            # The write may or may not have taken effect; the next holder reads
            # the record.
            self._step_down(f"a request was not recorded: {written.err_value}")
            return written
        if self._authority is not held.ok_value:
            # During the call, the key-value service was found to be restored
            # from an older copy, so ``_on_lost`` cleared the authority. In that
            # copy, the holder key of another gateway may have the guard's
            # revision, so the successful write proves nothing.
            return Err(
                errors.AuthorityLostError(
                    "the duty was lost while the request was being recorded"
                )
            )
        self._records[key] = _Record(written.ok_value.mod_revision, value)
        return Ok(None)

    @property
    def last_record(self) -> bytes | None:
        """The latest record written by this holder or read at takeover."""
        return self.last_task_record(_MAIN_TASK)

    def last_task_record(self, task: str) -> bytes | None:
        """Returns the latest record of a task, None if there is none."""
        known = self._records.get(self._duty.task_record_key(task))
        return known.value if known else None

    def resign(self, reason: str) -> None:
        """Steps down, so that another gateway can acquire the duty.

        Args:
            reason: Reason to log.
        """
        self._step_down(reason)

    def _acquire_repeatedly(self) -> None:
        gevent.sleep(random.uniform(0.0, self._timing.first_check_max_delay_s))
        while True:
            if not self._is_needed():
                if self._authority is not None:
                    self._step_down("the duty has nothing to do")
            elif self._authority is None and self._is_free():
                self._acquire()
            interval_s = self._timing.check_interval_s
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
        # Read after the key was acquired: a previous holder can no longer
        # change the records.
        records = self._client.get_prefix(
            self._duty.record_key, purpose=self._duty.name
        )
        if isinstance(records, Err):
            logger.warning(
                "records of {} not read: {}",
                self._duty.name,
                records.err_value.message,
            )
            held.close()
            return
        if not held.is_valid():
            # The lease expired while the record was read; self._lease is not
            # set yet, so _on_lost ignored it.
            held.close()
            return
        self._become_holder(
            held, created.ok_value, records.ok_value, acquired_s
        )

    def _become_holder(
        self,
        held: lease.LeaseHolder,
        key: key_value.KeyValue,
        records: list[key_value.KeyValue],
        acquired_s: float,
    ) -> None:
        delay = takeover_delay.TakeoverDelay(
            self._lease_ttl_s,
            USER_TIMEOUT_S,
            CLOCK_MARGIN_S,
            fencing_checking_kinds=frozenset(
                {self._duty.name} if self._duty.is_fencing_checked else ()
            ),
        )
        # Where the key-value service can be restored from an older copy, a
        # missing record does not prove that no request was sent: the restore
        # may have lost the previous holder's record.
        takeover = takeover_delay.Takeover(
            acquired_s,
            predecessor_unsettled=(
                bool(records) or self._client.era != era.NO_ERA
            ),
        )
        self._may_send_from_s = delay.ends_s(takeover, self._duty.name)
        self._records = {
            one.key: _Record(one.mod_revision, one.value) for one in records
        }
        self._lease = held
        guard = key_value.Guard(self._duty.holder_key, key.mod_revision)
        number = self._client.era * ERA_NUMBERS_COUNT + key.create_revision
        self._authority = Authority(number, guard)
        logger.bind(
            number=number,
            quiet_s=round(self._may_send_from_s - acquired_s, 2),
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

    def _step_down(self, reason: str) -> None:
        self._authority = None
        if self._lease is not None:
            self._lease.close()
            self._lease = None
        logger.warning(
            "this VM has the duty {} no more: {}", self._duty.name, reason
        )


class DutyTask:
    """One task of a duty, with a write-ahead record of its own."""

    def __init__(self, holder: DutyHolder, task: str):
        """Creates it; its owner starts and closes the holder.

        Args:
            holder: Holds the duty.
            task: Name of the task, part of the key of its record.
        """
        self._holder = holder
        self._task = task

    @property
    def last_record(self) -> bytes | None:
        """The latest record written by this holder or read at takeover."""
        return self._holder.last_task_record(self._task)

    def authority(self) -> Result[Authority, errors.AuthorityLostError]:
        """Returns the authority if it is held and may be used now."""
        return self._holder.authority()

    def record(self, value: bytes) -> Result[None, errors.PlatformError]:
        """Records a request of the task before it is sent."""
        return self._holder.record(value, self._task)
