"""Holding a lease: until when it is sure, and how its loss is noticed."""

import unittest

import gevent

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

    def test_is_kept_alive_beyond_its_length(self) -> None:
        holder = self.holder()
        holder.start().unwrap()
        holder.create_key(KEY, b"1").unwrap()
        gevent.sleep(2.5 * TTL_S)
        self.assertTrue(holder.is_valid())
        self.assertTrue(self.key_exists())
        self.assertEqual(self.renewed_s, sorted(self.renewed_s))
        self.assertEqual(self.lost, [])

    def test_close_frees_the_key_at_once(self) -> None:
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

    def test_validity_counts_from_before_the_call(self) -> None:
        """Symptom: two holders act at once for as long as a call took.

        Sequence: the service grants, its answer is slow, the holder counts
        the lease from the answer. Cause: the service counts from earlier.
        """
        self.service.set_faults(delay_s=0.4)
        before_s = clock.SystemClock().monotonic_s()
        holder = self.holder()
        holder.start().unwrap()
        self.assertLessEqual(
            holder.valid_until_monotonic_s, before_s + TTL_S + 0.1
        )

    def test_gives_up_before_the_service_frees_the_key(self) -> None:
        """Symptom: two controllers order one engine in an outage.

        Sequence: renewals stop arriving, the lease lapses, another takes
        the key while the first still believes itself valid. Cause: loss
        noticed by a renewal's answer only, or not at all.
        """
        for faults in ({"down": True}, {"delay_s": 30.0}):
            with self.subTest(faults=faults):
                self.lost.clear()
                holder = self.holder()
                holder.start().unwrap()
                holder.create_key(KEY, b"1").unwrap()
                self.service.set_faults(**faults)
                held = self.service.store.records
                freed_while_valid = []

                def is_over(
                    holder: lease.LeaseHolder = holder,
                    held: dict = held,
                    found: list = freed_while_valid,
                ) -> bool:
                    if KEY.encode() not in held and holder.is_valid():
                        found.append(True)
                    return bool(self.lost) and KEY.encode() not in held

                self.assertTrue(builders.wait_until(is_over))
                self.assertEqual(freed_while_valid, [])
                self.assertEqual(len(self.lost), 1)
                self.assertEqual(holder.lease_id, 0)
                self.service.set_faults()

    def test_loss_is_told_while_a_renewal_hangs(self) -> None:
        """Symptom: a holder stops its work long after its lease lapsed.

        Sequence: the service accepts a renewal and does not answer; the
        call's timeout is longer than the lease. Cause: loss noticed only
        when the renewal returns.
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

    def test_lapse_told_by_the_service_is_a_loss(self) -> None:
        holder = self.holder(ttl_s=LONG_TTL_S)
        lease_id = holder.start().unwrap()
        self.service.store.revoke(lease_id)
        self.assertTrue(
            builders.wait_until(lambda: self.lost, limit_s=LONG_TTL_S / 2)
        )
        self.assertFalse(holder.is_valid())

    def test_waking_from_a_pause_finds_the_lease_invalid(self) -> None:
        """Symptom: a process that was paused acts on a lapsed lease.

        Sequence: the process stops for longer than the lease, wakes, and
        acts before any of its timers has run. Cause: a flag that only a
        timer clears, where the clock should have been read.
        """
        paused = _PausableClock()
        holder = lease.LeaseHolder(
            self.client, ttl_s=TTL_S, purpose="lease", system_clock=paused
        )
        self.addCleanup(holder.close)
        holder.start().unwrap()
        paused.skip_s(TTL_S)
        self.assertFalse(holder.is_valid())
        refused = holder.create_key(KEY, b"1").unwrap_err()
        self.assertIsInstance(refused, errors.AuthorityLostError)
        self.assertFalse(self.key_exists())

    def test_lost_answer_of_a_create_is_read_back(self) -> None:
        """Symptom: nobody acts for a whole lease although one holder could.

        Sequence: the key is created, the answer is lost, the holder meets
        its own key and takes it for another's. Cause: no read-back by lease.
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
