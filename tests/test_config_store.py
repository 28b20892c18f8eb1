"""Tests of configuration changes with lost answers, races and limits."""

import json
import unittest

import gevent
from result import Err, Ok

from mulberrywharf import errors
from mulberrywharf.platform_service import config_store, configuration
from mulberrywharf.rules.document import Document
from tests import builders_platform as builders

RACING_AUTHORS_COUNT = 50

CALL_TIMEOUT_S = 10.0
"""Fifty concurrent authors share 32 connections, and one process with the
service. On a busy machine some wait more than a second for a connection, and
the timeout of a read would not indicate a lost change."""


class ConfigStoreTest(unittest.TestCase):
    def setUp(self) -> None:
        self.service = self.enterContext(builders.running_key_value())
        self.client = builders.client_for(
            self.service.port, timeout_s=CALL_TIMEOUT_S
        )
        self.addCleanup(self.client.close)
        self.store = config_store.ConfigStore(self.client, builders.DEPLOYMENT)

    def change(
        self,
        change_id: str,
        expected_version: int,
        document: Document | None = None,
        **options: int,
    ) -> configuration.Configuration:
        return self.store.change(
            document or builders.document_of(change_id),
            "ana",
            f"note of {change_id}",
            change_id,
            expected_version,
            **options,
        ).unwrap()

    def refusal(
        self, change_id: str, expected_version: int, **options: int
    ) -> object:
        return self.store.change(
            builders.document_of(change_id),
            "bo",
            "",
            change_id,
            expected_version,
            **options,
        ).unwrap_err()

    def stored_versions(self) -> list[int]:
        return [
            json.loads(builders.value_of(entry))["version"]
            for entry in self.service.log()["history"]
        ]

    def test_change_and_audit_entry_are_written_together(self) -> None:
        self.assertIsNone(self.store.read().unwrap())
        first = self.change("one", 0)
        second = self.change("two", 1)
        self.assertEqual(self.stored_versions(), [1, 2])
        self.assertEqual(self.store.read().unwrap(), second)
        self.assertEqual(
            [(e["version"], e["change_id"]) for e in second.audit],
            [(1, "one"), (2, "two")],
        )
        self.assertTrue(second.audit[1]["diff"])
        self.assertNotEqual(first.raw, second.raw)

    def test_lost_answer_is_resolved_by_reading_back(self) -> None:
        """Guards against reporting a change that is in force as failed.

        The write takes effect but its answer is lost. The failure of the call
        must not count as failure of the change.
        """
        self.service.set_faults(lose_answers_count=1)
        accepted = self.change("one", 0)
        self.assertEqual(accepted.version, 1)
        self.assertEqual(self.stored_versions(), [1])

    def test_late_write_is_applied_once(self) -> None:
        """Guards against a change applied twice, or applied after its refusal.

        The answer is late, the author reads the configuration without the
        change, and then the write takes effect. A change that is not stored
        yet may still be stored later.
        """
        client = builders.client_for(self.service.port, timeout_s=0.2)
        self.addCleanup(client.close)
        store = config_store.ConfigStore(client, builders.DEPLOYMENT)
        self.service.set_faults(delay_s=0.3)
        heal = gevent.spawn_later(0.9, self.service.set_faults)
        self.addCleanup(heal.kill)
        outcome = store.change(builders.document_of("one"), "ana", "", "one", 0)
        while isinstance(outcome, Err):
            self.assertNotIsInstance(
                outcome.err_value, errors.ConfigChangeError
            )
            outcome = store.change(
                builders.document_of("one"), "ana", "", "one", 0
            )
        gevent.sleep(0.5)
        self.assertEqual(outcome.ok_value.version, 1)
        self.assertEqual(self.stored_versions(), [1])

    def test_outcome_stays_unknown_if_reading_back_fails(self) -> None:
        """Guards against reporting a written change as not written.

        The answer is lost and then the service goes down, so reading the
        change back fails. The last failure must not hide the first one.
        """
        self.service.set_faults(lose_answers_count=1)
        txn = self.service._txn
        self.service._txn = lambda body: self._then_down(txn, body)
        failure = self.refusal("one", 0)
        self.assertIsInstance(failure, errors.WriteOutcomeUnknownError)
        self.assertEqual(self.stored_versions(), [1])

    def _then_down(self, txn: object, body: object) -> object:
        answer = txn(body)
        gevent.spawn(self.service.set_faults, down=True)
        return answer

    def test_conflict_reports_the_other_change(self) -> None:
        self.change("base", 0)
        self.change("winner", 1)
        conflict = self.refusal("loser", 1)
        assert isinstance(conflict, errors.ConfigConflictError)
        self.assertEqual(
            [(o["author"], o["change_id"]) for o in conflict.others],
            [("ana", "winner")],
        )
        self.assertTrue(conflict.others[0]["diff"])
        self.assertTrue(conflict.diff)
        self.assertEqual(self.stored_versions(), [1, 2])

    def test_concurrent_changes_are_not_lost(self) -> None:
        """Guards against losing accepted changes.

        Fifty operators change the same document, and each reads and applies
        again after a conflict. A fifth of the answers is lost. A write must
        check that the configuration it replaces is unchanged.
        """
        self.service.set_faults(lose_answers_count=RACING_AUTHORS_COUNT // 5)
        conflicts: list[object] = []
        authors = [
            gevent.spawn(self._apply_until_accepted, f"c{i}", conflicts)
            for i in range(RACING_AUTHORS_COUNT)
        ]
        gevent.joinall(authors, timeout=60, raise_error=True)
        accepted = sorted(author.value for author in authors)
        versions = self.stored_versions()
        self.assertEqual(versions, list(range(1, RACING_AUTHORS_COUNT + 1)))
        final = self.store.read().unwrap()
        assert final is not None
        audited = [(e["version"], e["change_id"]) for e in final.audit]
        self.assertEqual(audited, accepted)
        self.assertTrue(conflicts)
        for conflict in conflicts:
            self.assertIsInstance(conflict, errors.ConfigConflictError)

    def _apply_until_accepted(
        self, change_id: str, conflicts: list[object]
    ) -> tuple[int, str]:
        while True:
            held = self.store.read().unwrap()
            outcome = self.store.change(
                builders.document_of(change_id),
                change_id,
                "",
                change_id,
                held.version if held else 0,
            )
            if isinstance(outcome, Ok):
                return outcome.ok_value.version, change_id
            conflicts.append(outcome.err_value)

    def test_repeat_of_a_superseded_change_is_accepted_once(self) -> None:
        first = self.change("one", 0)
        self.assertEqual(self.change("one", 0), first)
        self.change("two", 1)
        self.assertEqual(self.change("one", 0).version, 1)
        self.assertEqual(self.stored_versions(), [1, 2])

    def test_change_id_of_another_document_is_refused(self) -> None:
        self.change("one", 0)
        other = self.store.change(
            builders.document_of("other"), "ana", "note of one", "one", 1
        )
        self.assertIsInstance(other.unwrap_err(), errors.ChangeIdReusedError)
        self.change("two", 1)
        self.assertIsInstance(
            self.refusal("one", 2), errors.ChangeIdReusedError
        )

    def test_change_is_refused_while_the_store_is_behind_the_nodes(
        self,
    ) -> None:
        """Guards against accepting a change that is in force on no node.

        The service is restored from a backup and an operator applies a
        change. Its version is derived from the backup, so nodes with a higher
        version ignore it.
        """
        self.change("one", 0)
        backup = self.service.snapshot()
        lost = self.change("two", 1)
        self.service.restore(backup)
        refused = self.refusal("three", 1, seen_version=2)
        self.assertIsInstance(refused, errors.ConfigStoreBehindError)
        self.assertTrue(self.store.write_back(lost).unwrap())
        self.assertFalse(self.store.write_back(lost).unwrap())
        self.assertEqual(self.change("three", 2, seen_version=2).version, 3)

    def test_change_replaced_after_a_restore_is_detected(self) -> None:
        """Guards against reporting a lost change as in force on all nodes.

        The service is restored from a backup and accepts a change, then nodes
        write back their higher version. A version that is at least as high
        does not prove that it includes the change.
        """
        first = self.change("one", 0)
        backup = self.service.snapshot()
        self.change("two", 1)
        latest = self.change("three", 2)
        self.service.restore(backup)
        lost = self.change("lost", 1)
        self.store.write_back(latest).unwrap()
        self.assertFalse(self.store.includes(lost).unwrap())
        self.assertTrue(self.store.includes(first).unwrap())
        self.assertTrue(self.store.includes(latest).unwrap())

    def test_change_during_an_outage_is_not_written(self) -> None:
        self.service.close()
        self.assertIsInstance(
            self.refusal("one", 0), errors.PlatformUnavailableError
        )

    def test_faulty_stored_document_can_be_replaced(self) -> None:
        """Guards against a configuration that can no longer be changed.

        A document is stored that this release rejects, for example by a newer
        release. The document that a change replaces must not be validated.
        """
        faulty = builders.configuration_of(1, document={"bad": 1})
        self.service.store.transact(
            [
                builders.put_operation(
                    configuration.config_key(builders.DEPLOYMENT), faulty.raw
                )
            ]
        )
        self.assertEqual(self.change("two", 1).version, 2)

    def test_invalid_document_is_refused(self) -> None:
        """Guards against accepting a change that is in force on no node.

        A rule without a condition would be stored and rejected by each node
        if only the author's tool validated it.
        """
        document = builders.document_of("one")
        document["rules"][0]["when"] = {}
        refused = self.store.change(document, "ana", "", "one", 0)
        self.assertIsInstance(refused.unwrap_err(), errors.RulesError)
        self.assertEqual(self.stored_versions(), [])

    def test_old_audit_entries_are_dropped(self) -> None:
        entries = [
            {
                "version": i,
                "change_id": f"c{i}",
                "author": "ana",
                "changed_unix_s": 0.0,
                "note": "n" * size,
                "diff": [],
            }
            for i, size in enumerate([10] * 150 + [100_000] * 20)
        ]
        for count, kept in ((150, 100), (170, 7)):
            with self.subTest(count=count):
                built = configuration.build(
                    version=1,
                    change_id="c",
                    author="ana",
                    changed_unix_s=0.0,
                    document=builders.document_of("c"),
                    audit=entries[:count],
                )
                self.assertEqual(len(built.audit), kept)
                self.assertLess(len(built.raw), 1_000_000)
                self.assertEqual(
                    built.audit[-1]["version"], entries[count - 1]["version"]
                )

    def test_audit_entry_of_a_large_change_is_bounded(self) -> None:
        """Guards against sending hundreds of kilobytes per change to each node.

        A change modifies every customer. An audit entry that listed them all
        would remain in the stored value for a hundred changes.
        """
        document = builders.document_of("one")
        document["customers"] = {
            f"c{i}": {
                "key_sha256_hex": f"{i:064x}",
                "requests_per_s": 1.0,
                "tokens_per_s": 1.0,
                "weight": 1.0,
                "priority": 1,
            }
            for i in range(300)
        }
        diff = self.change("one", 0, document).audit[0]["diff"]
        self.assertEqual(len(diff), configuration.DIFF_LINES_LIMIT_COUNT + 1)
        self.assertRegex(diff[-1]["path"], r"^\(\d+ more\)$")


if __name__ == "__main__":
    unittest.main()
