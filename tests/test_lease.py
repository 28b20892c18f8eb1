"""Tests the validity of a lease and the detection of its loss."""

import unittest
import unittest.mock

import gevent
from result import Ok

from mulberrywharf import clock, errors
from mulberrywharf.platform_service import key_value, lease
from tests import builders_platform as builders

TTL_S = 1.0
LONG_TTL_S = 9.0
KEY = "/holder"


class LeaseHolderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.service = self.enterContext(builders.running_key_value())
        self.client = builders.client_for(self.service.port)
        self.addCleanup(self.client.close)
        self.lost: list[errors.AuthorityLostError] = []
        self.renewed_s: list[float] = []

    def holder(
        self,
        client: key_value.KeyValueClient | None = None,
        ttl_s: float = TTL_S,
    ) -> lease.LeaseHolder:
        holder = lease.LeaseHolder(
            client or self.client,
            ttl_s=ttl_s,
            purpose="lease",
            on_renewed=self.renewed_s.append,
            on_lost=self.lost.append,
        )
        self.addCleanup(holder.close)
        return holder

    def key_exists(self) -> bool:
        return bool(self.client.get(KEY, purpose="test").unwrap())

    def test_renewals_extend_the_lease_beyond_its_ttl(self) -> None:
        holder = self.holder()
        holder.start().unwrap()
        holder.create_key(KEY, b"1").unwrap()
        gevent.sleep(2.5 * TTL_S)
        self.assertTrue(holder.is_valid())
        self.assertTrue(self.key_exists())
        self.assertEqual(self.renewed_s, sorted(self.renewed_s))
        self.assertEqual(self.lost, [])

    def test_close_deletes_the_key_immediately(self) -> None:
        holder = self.holder()
        holder.start().unwrap()
        holder.create_key(KEY, b"1").unwrap()
        holder.close()
        self.assertFalse(self.key_exists())
        self.assertEqual(self.lost, [])
        self.assertFalse(holder.is_valid())

    def test_next_holder_has_a_higher_fencing_number(self) -> None:
        first, second = self.holder(), self.holder()
        first.start().unwrap()
        second.start().unwrap()
        old = first.create_key(KEY, b"1").unwrap()
        refused = second.create_key(KEY, b"2").unwrap_err()
        self.assertIsInstance(refused, errors.RevisionConflictError)
        first.close()
        new = second.create_key(KEY, b"2").unwrap()
        self.assertGreater(new.create_revision, old.create_revision)

    def test_validity_counts_from_before_the_grant_call(self) -> None:
        """Guards against two valid holders for the duration of a call.

        The service grants the lease and responds slowly. The holder counted the
        lease from the response, but the service counts from the grant.
        """
        self.service.set_faults(delay_s=0.4)
        before_s = clock.SystemClock().monotonic_s()
        holder = self.holder()
        holder.start().unwrap()
        self.assertLessEqual(
            holder.valid_until_monotonic_s, before_s + TTL_S + 0.1
        )

    def test_renewal_lasts_no_longer_than_was_asked_for(self) -> None:
        """Guards against a holder for ever by one wrong number."""
        for stated_s in (1e15, float("inf"), float("nan"), -1.0):
            with self.subTest(stated_s=stated_s):
                holder = self.holder()
                holder.start().unwrap()
                with unittest.mock.patch.object(
                    self.client, "keep_alive", return_value=Ok(stated_s)
                ):
                    gevent.sleep(0.6 * TTL_S)
                left_s = (
                    holder.valid_until_monotonic_s
                    - clock.SystemClock().monotonic_s()
                )
                self.assertLessEqual(left_s, TTL_S)
                holder.close()

    def test_lease_is_invalid_before_the_service_deletes_the_key(self) -> None:
        """Guards against two controllers sending orders to one engine.

        In an outage, renewals fail and the lease expires. Another controller
        acquires the key while the first still considers its lease valid,
        because it detects a loss only from the response to a renewal, or never.
        """
        for faults in ({"down": True}, {"delay_s": 30.0}):
            with self.subTest(faults=faults):
                self.lost.clear()
                holder = self.holder()
                holder.start().unwrap()
                holder.create_key(KEY, b"1").unwrap()
                self.service.set_faults(**faults)
                records = self.service.store.records
                freed_while_valid = []

                def is_over(
                    holder: lease.LeaseHolder = holder,
                    records: dict = records,
                    violations: list = freed_while_valid,
                ) -> bool:
                    if KEY.encode() not in records and holder.is_valid():
                        violations.append(True)
                    return bool(self.lost) and KEY.encode() not in records

                self.assertTrue(builders.wait_until(is_over))
                self.assertEqual(freed_while_valid, [])
                self.assertEqual(len(self.lost), 1)
                self.assertEqual(holder.lease_id, 0)
                self.service.set_faults()

    def test_loss_is_reported_while_a_renewal_blocks(self) -> None:
        """Guards against a holder that works long after its lease expired.

        The service accepts a renewal and does not respond, and the call's
        timeout is longer than the lease. The loss was detected only when the
        renewal returned.
        """
        client = builders.client_for(self.service.port, timeout_s=60.0)
        self.addCleanup(client.close)
        holder = self.holder(client)
        self.addCleanup(self.service.set_faults)
        holder.start().unwrap()
        self.service.set_faults(delay_s=60.0)
        self.assertTrue(
            builders.wait_until(lambda: self.lost, limit_s=5 * TTL_S)
        )

    def test_expiry_reported_by_the_service_is_a_loss(self) -> None:
        holder = self.holder(ttl_s=LONG_TTL_S)
        lease_id = holder.start().unwrap()
        self.service.store.revoke(lease_id)
        self.assertTrue(
            builders.wait_until(lambda: self.lost, limit_s=LONG_TTL_S / 2)
        )
        self.assertFalse(holder.is_valid())

    def test_lease_is_invalid_after_a_process_pause(self) -> None:
        """Guards against acting on an expired lease after a process pause.

        The process is paused for longer than the lease, and acts before any of
        its timers has run. Validity must be computed from the clock, not from a
        flag that a timer clears.
        """
        pausable_clock = _PausableClock()
        holder = lease.LeaseHolder(
            self.client,
            ttl_s=TTL_S,
            purpose="lease",
            system_clock=pausable_clock,
        )
        self.addCleanup(holder.close)
        holder.start().unwrap()
        pausable_clock.skip_s(TTL_S)
        self.assertFalse(holder.is_valid())
        refused = holder.create_key(KEY, b"1").unwrap_err()
        self.assertIsInstance(refused, errors.AuthorityLostError)
        self.assertFalse(self.key_exists())

    def test_create_with_a_lost_response_is_read_back(self) -> None:
        """Guards against no valid holder for the length of a lease.

        The key is created and the response is lost. Without comparing the lease
        ids, the holder takes its own key for that of another holder.
        """
        holder = self.holder()
        holder.start().unwrap()
        self.service.set_faults(lose_answers_count=1)
        created = holder.create_key(KEY, b"1").unwrap()
        self.assertEqual(created.lease_id, holder.lease_id)
        self.assertEqual(len(self.service.log()["history"]), 1)


class _PausableClock(clock.SystemClock):
    def __init__(self) -> None:
        self._skipped_s = 0.0

    def skip_s(self, passed_s: float) -> None:
        self._skipped_s += passed_s

    def monotonic_s(self) -> float:
        return super().monotonic_s() + self._skipped_s


if __name__ == "__main__":
    unittest.main()
