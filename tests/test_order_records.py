"""Tests the order records of a zone and their conditional writes."""

import unittest

from result import Err, Ok

from mulberrywharf import errors
from mulberrywharf.authority import order_records, record_store
from tests import builders_authority, builders_platform

_KEY = "/mulberry/test/orders/zone-a"
_LEASE_KEY = "/mulberry/test/controllers/zone-a"


class EncodingTest(unittest.TestCase):
    def test_records_round_trip(self):
        records = order_records.ZoneRecords(
            order_records.Holder("entry-1", 7, settled=True),
            {"engine-1": builders_authority.order_record(model="verdict")},
        )
        value = order_records.encode(records, "7-1")
        self.assertEqual(order_records.decode(value), Ok(records))
        self.assertEqual(order_records.write_id_of(value), "7-1")

    def test_invalid_value_is_an_order_records_error(self):
        for value in (b"", b"[]", b'{"records": {}}', b"\xff"):
            with self.subTest(value=value):
                decoded = order_records.decode(value)
                self.assertIsInstance(
                    decoded.err_value, errors.OrderRecordsError
                )

    def test_drained_engines_follow_from_action_and_phase(self):
        cases = (
            ("set-role", "recorded", False),
            ("set-role", "draining", True),
            ("set-role", "sent", True),
            ("set-role", "applied", False),
            ("drain", "applied", True),
            ("drain", "failed", False),
            ("resume", "sent", False),
        )
        for action, phase, drained in cases:
            with self.subTest(action=action, phase=phase):
                record = builders_authority.order_record(
                    action=action, phase=phase
                )
                records = order_records.ZoneRecords(None, {"e": record})
                self.assertEqual("e" in records.drained_engine_ids(), drained)

    def test_records_of_removed_engines_are_dropped_after_a_day(self):
        old = builders_authority.order_record(recorded_unix_s=1_000.0)
        new = builders_authority.order_record(recorded_unix_s=90_000.0)
        records = order_records.ZoneRecords(
            None, {"here": old, "gone": old, "just-gone": new}
        )
        kept = records.without_removed_engines({"here"}, 100_000.0).records
        self.assertEqual(set(kept), {"here", "just-gone"})

    def test_role_is_sent_only_with_a_role_change(self):
        record = builders_authority.order_record(action="resume")
        self.assertEqual(record.order(9).role, "")
        self.assertEqual(
            record._replace(action="set-role").order(9).role, "prefill"
        )
        self.assertEqual(record.drain_order(9).action, "drain")


class RecordStoreTest(unittest.TestCase):
    def setUp(self):
        running = builders_platform.running_key_value()
        self.standin = self.enterContext(running)
        self.client = builders_platform.client_for(
            self.standin.port, timeout_s=0.5
        )
        self.addCleanup(self.client.close)

    def _take_lease(self) -> record_store.LeaseKey:
        lease_id = self.client.grant_lease(5.0, purpose="test").unwrap()
        created = self.client.compare_and_swap(
            _LEASE_KEY,
            b"{}",
            expected_revision=0,
            lease_id=lease_id,
            purpose="test",
        ).unwrap()
        return record_store.LeaseKey(_LEASE_KEY, created.mod_revision)

    def _store(self, *, guarded: bool = True) -> record_store.RecordStore:
        store = record_store.RecordStore(self.client, _KEY, guarded=guarded)
        store.load().unwrap()
        return store

    def _records(
        self, proof: record_store.LeaseKey, **changes
    ) -> order_records.ZoneRecords:
        holder = order_records.Holder("entry-1", proof.mod_revision, False)
        record = builders_authority.order_record(**changes)
        return order_records.ZoneRecords(holder, {"engine-1": record})

    def test_next_holder_reads_the_written_records(self):
        proof = self._take_lease()
        records = self._records(proof)
        self._store().write(records, proof).unwrap()
        self.assertEqual(self._store().zone_records, records)

    def test_lost_response_is_resolved_by_reading_back(self):
        """Guards against a holder that treats a lost response as a failure.

        The write took effect. The holder would give up its lease, or record the
        order twice.
        """
        proof = self._take_lease()
        store = self._store()
        self.standin.set_faults(lose_answers_count=1)
        store.write(self._records(proof), proof).unwrap()
        later = self._records(proof, phase="applied")
        store.write(later, proof).unwrap()
        self.assertEqual(self._store().zone_records, later)

    def test_former_holder_cannot_write(self):
        """Guards against records overwritten by a process without authority.

        A holder is suspended, its lease expires and another one takes over. The
        new holder has not written yet, so the revision of the records is
        unchanged and only the lease key shows the takeover.
        """
        proof = self._take_lease()
        store = self._store()
        self.client.delete(_LEASE_KEY, purpose="test").unwrap()
        self._take_lease()
        written = store.write(self._records(proof), proof)
        self.assertIsInstance(written.err_value, errors.AuthorityLostError)
        self.assertIsNone(self.client.get(_KEY, purpose="test").unwrap())

    def test_without_the_guard_a_former_holder_writes(self):
        proof = self._take_lease()
        store = self._store(guarded=False)
        self.client.delete(_LEASE_KEY, purpose="test").unwrap()
        self.assertIsInstance(store.write(self._records(proof), proof), Ok)

    def test_records_of_another_holder_are_not_overwritten(self):
        proof = self._take_lease()
        store = self._store(guarded=False)
        other = self._records(record_store.LeaseKey(_LEASE_KEY, 99_999))
        self._store(guarded=False).write(
            other, record_store.LeaseKey(_LEASE_KEY, 99_999)
        ).unwrap()
        written = store.write(self._records(proof), proof)
        self.assertIsInstance(written.err_value, errors.AuthorityLostError)
        self.assertTrue(store.must_load)

    def test_unreachable_service_leaves_the_outcome_unknown(self):
        proof = self._take_lease()
        store = self._store()
        self.standin.set_faults(down=True)
        written = store.write(self._records(proof), proof)
        self.assertIsInstance(written, Err)
        self.assertNotIsInstance(written.err_value, errors.AuthorityLostError)
        self.assertTrue(store.must_load)


if __name__ == "__main__":
    unittest.main()
