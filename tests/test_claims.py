"""Idempotency claims on several nodes: each is granted only once."""

import unittest

import gevent
from result import Err, Ok

from mulberrywharf import errors
from mulberrywharf.nodes import (
    claim_client,
    claim_log,
    claims,
    messages,
    ranking,
)
from mulberrywharf.platform_service import key_value
from tests import builders_claims

_BODY = claims.digest(b"check-in 7")


class ClaimsTestCase(unittest.TestCase):
    nodes_count = 2
    node_options = {}

    def setUp(self):
        self.standin = builders_claims.start_standin()
        self.addCleanup(self.standin.close)
        self.vm_list = builders_claims.ListedVms()
        self.nodes = [
            self.add_node(**self.node_options) for _ in range(self.nodes_count)
        ]
        for node in self.nodes:
            node.owner.start()
        builders_claims.wait_until(lambda: self.owner() is not None)

    def add_node(self, **extra):
        name = f"entry-{len(self.vm_list.records) + 1}"
        node = builders_claims.ClaimNode(
            name, self.standin.port, self.vm_list, **extra
        )
        self.addCleanup(node.close)
        return node

    def owner(self):
        owning = [n for n in self.nodes if n.owner.owned_shards()]
        return owning[0] if owning else None

    def other(self):
        return next(n for n in self.nodes if n is not self.owner())

    def shard(self):
        return self.owner().owner._shards[0]

    def claim(self, node, key="key-1", body=_BODY, request="r-1", **options):
        options.setdefault("timeout_s", 15.0)
        return node.client.claim("solano", key, body, request, **options)

    def assert_granted(self, result):
        self.assertIsInstance(result, Ok)
        self.assertIsInstance(result.ok_value, claims.ClaimGranted)
        return result.ok_value

    def assert_met(self, result, state):
        self.assertIsInstance(result, Ok)
        self.assertIsInstance(result.ok_value, claims.ClaimMet)
        self.assertEqual(result.ok_value.state, state)
        return result.ok_value


class DuplicateRequestTest(ClaimsTestCase):
    def test_duplicate_at_another_node_gets_the_first_answer(self):
        granted = self.assert_granted(self.claim(self.other()))
        met = self.assert_met(
            self.claim(self.owner(), request="r-2"), "in-progress"
        )
        self.assertEqual(met.request_id, "r-1")
        self.assertEqual(met.runner_vm_id, self.other().record.vm_id)
        waiting = gevent.spawn(
            self.owner().client.wait, "solano", "key-1", 10.0
        )
        gevent.sleep(0.05)
        done = self.other().client.complete(granted, 200, b"checked in")
        self.assertIsInstance(done, Ok)
        met = self.assert_met(waiting.get(timeout=10), "done")
        self.assertEqual((met.status, met.answer), (200, b"checked in"))
        met = self.assert_met(self.claim(self.owner()), "done")
        self.assertEqual(met.answer, b"checked in")

    def test_concurrent_duplicates_are_granted_once(self):
        attempts = [
            gevent.spawn(self.claim, node, request=f"r-{i}")
            for i, node in enumerate(self.nodes * 10)
        ]
        results = [attempt.get(timeout=15).ok_value for attempt in attempts]
        granted = [r for r in results if isinstance(r, claims.ClaimGranted)]
        self.assertEqual(len(granted), 1)

    def test_key_reuse_with_another_body_is_refused(self):
        self.assert_granted(self.claim(self.other()))
        reused = self.claim(self.owner(), body=claims.digest(b"other"))
        self.assertIsInstance(reused.err_value, errors.KeyReuseError)

    def test_customers_do_not_share_keys(self):
        pairs = [("a", "bc"), ("ab", "c"), ("abc", "")]
        self.assertEqual(len({claims.claim_id(*pair) for pair in pairs}), 3)

    def test_released_claim_can_be_granted_again(self):
        granted = self.assert_granted(self.claim(self.other()))
        self.assertIsInstance(self.other().client.release(granted), Ok)
        self.assert_granted(self.claim(self.owner(), request="r-2"))

    def test_long_answer_is_stored_as_digest_only(self):
        granted = self.assert_granted(self.claim(self.other()))
        answer = b"x" * (claims.ANSWER_LIMIT_BYTES + 1)
        self.other().client.complete(granted, 200, answer)
        met = self.assert_met(self.claim(self.owner()), "done")
        self.assertIsNone(met.answer)
        self.assertEqual(met.answer_digest, claims.digest(answer))

    def test_concurrent_claims_share_a_write(self):
        before = self.standin.calls_by_kind["txn"]
        attempts = [
            gevent.spawn(self.claim, self.owner(), f"key-{i}")
            for i in range(200)
        ]
        for attempt in attempts:
            self.assert_granted(attempt.get(timeout=15))
        self.assertLess(self.standin.calls_by_kind["txn"] - before, 20)


class RunCompletionTest(ClaimsTestCase):
    def test_run_without_completion_becomes_unknown(self):
        """A node exits while it runs a request.

        If the claim expired with its runner, a duplicate request at another
        node would run the payment again.
        """
        self.assert_granted(self.claim(self.other(), run_bound_s=0.2))
        builders_claims.wait_until(
            lambda: self.claim(self.owner()).ok_value.state == "unknown"
        )
        met = self.other().client.wait("solano", "key-1", 5.0)
        self.assert_met(met, "unknown")

    def test_completion_after_the_run_bound_is_recorded(self):
        granted = self.assert_granted(
            self.claim(self.other(), run_bound_s=0.05)
        )
        gevent.sleep(0.1)
        self.other().client.complete(granted, 200, b"late")
        self.assert_met(self.claim(self.owner()), "done")


class OwnerFailureTest(ClaimsTestCase):
    def test_claim_is_granted_if_owner_exits_between_commit_and_reply(self):
        """The owner commits a claim and exits before it replies.

        The requester repeats the claim at the next owner, which has read the
        log. If the committed claim is not recognised as the requester's own,
        the request is refused forever or runs twice.
        """
        owner, requester = self.owner(), self.other()
        commit = owner.owner._shards[0]._log._write

        def commit_then_exit(*arguments):
            commit(*arguments)
            gevent.spawn(owner.kill)
            gevent.sleep(60)

        owner.owner._shards[0]._log._write = commit_then_exit
        self.assert_granted(self.claim(requester))
        self.assertEqual(requester.owner.owned_shards(), [0])
        met = self.assert_met(
            self.claim(requester, request="r-2"), "in-progress"
        )
        self.assertEqual(met.request_id, "r-1")

    def test_owner_paused_past_its_lease_cannot_commit(self):
        """An owner is paused until its lease has expired, and then resumes.

        Meanwhile another owner grants the claim. If commits were not guarded
        by the ownership key, the resumed owner would grant it a second time.
        """
        paused, second = self.owner(), self.other()
        self.assert_granted(self.claim(paused, key="key-0"))
        resumed_shard = paused.owner._shards[0]
        gevent.killall(paused.owner._tasks)
        builders_claims.wait_until(lambda: second.owner.owned_shards())
        self.assert_granted(self.claim(second))
        request = messages.ClaimRequest(
            claims.claim_id("solano", "key-1"),
            _BODY,
            "r-2",
            99,
            "127.0.0.1",
            80,
            10.0,
        )
        reply = resumed_shard.claim("entry-9", request)
        self.assertEqual(reply.kind, "not-owner")
        self.assertFalse(resumed_shard.is_owner)


class HandoverTest(ClaimsTestCase):
    node_options = {"poll_interval_s": 30.0, "lease_ttl_s": 60.0}

    def test_planned_stop_hands_over_at_once(self):
        """An owner makes a planned stop.

        If the successor is not notified, or waits for its turn by rank
        nevertheless, it acquires the shards only at a later scan. Their claims
        are refused for seconds.
        """
        owner, other = self.owner(), self.other()
        granted = self.assert_granted(self.claim(owner))
        owner.client.complete(granted, 200, b"done")
        owner.owner.hand_over()
        builders_claims.wait_until(lambda: other.owner.owned_shards(), 10.0)
        self.assertEqual(owner.owner.owned_shards(), [])
        met = self.assert_met(self.claim(owner), "done")
        self.assertEqual(met.answer, b"done")

    def test_claim_that_is_queued_at_a_planned_stop_is_granted(self):
        """Guards against a stop that keeps its shards for 5 s uncommitted."""
        owner, other = self.owner(), self.other()
        # Behind a commit, the next batch waits.
        self.assert_granted(self.claim(owner))
        queue = self.shard()._queue
        queued = gevent.spawn(
            self.claim,
            other,
            "key-2",
            request="r-2",
            timeout_s=claim_client.DEFAULT_TIMEOUT_S,
        )
        builders_claims.wait_until(queue.has_records.is_set)
        owner.owner.hand_over()
        self.assert_granted(queued.get(timeout=15))


class CandidateTest(unittest.TestCase):
    def setUp(self):
        self.standin = builders_claims.start_standin()
        self.addCleanup(self.standin.close)
        self.vm_list = builders_claims.ListedVms()

    def add_node(self, name, **extra):
        node = builders_claims.ClaimNode(
            name, self.standin.port, self.vm_list, **extra
        )
        self.addCleanup(node.close)
        return node

    def test_node_with_empty_vm_list_acquires_no_shard(self):
        """The first node starts before it has read the VM list.

        It knows no other node then. If it therefore ranked itself first, it
        would own every shard, and its exit would stop all claims.
        """
        node = self.add_node("entry-1", shard_count=8)
        listed = self.vm_list.records
        self.vm_list.records = []
        node.owner.start()
        gevent.sleep(5 * builders_claims.POLL_INTERVAL_S)
        self.assertEqual(node.owner.owned_shards(), [])
        self.vm_list.records = listed
        builders_claims.wait_until(lambda: len(node.owner.owned_shards()) == 8)

    def test_node_needing_a_shard_acquires_it_if_all_candidates_are_gone(self):
        """The VM list still contains VMs that are gone.

        If only the listed candidates acquired the shard, its claims would be
        refused until the list is corrected.
        """
        names = [f"entry-{number}" for number in range(7)]
        nodes = {name: self.add_node(name) for name in names}
        # Only the node with the lowest rank for the shard runs.
        requester = nodes[ranking.rank("claim-shard-0", names)[-1]]
        requester.owner.start()
        claimed = requester.client.claim(
            "solano", "key-1", _BODY, "r-1", timeout_s=15.0
        )
        self.assertIsInstance(claimed.ok(), claims.ClaimGranted)

    def test_shards_are_spread_over_nodes(self):
        nodes = [self.add_node(f"entry-{n}", shard_count=16) for n in range(3)]
        for node in nodes:
            node.owner.start()
        builders_claims.wait_until(
            lambda: sum(len(n.owner.owned_shards()) for n in nodes) == 16
        )
        for node in nodes:
            self.assertLess(len(node.owner.owned_shards()), 16)


class KeyValueFailureTest(ClaimsTestCase):
    nodes_count = 1

    def test_claim_is_granted_if_commit_response_is_lost(self):
        """A commit takes effect but its response is lost.

        The outcome must be read back. If it is guessed, the claim is refused
        as not run and its key stays blocked, or the request runs without a
        claim.
        """
        self.standin.set_faults(lose_answers_count=1)
        self.assert_granted(self.claim(self.nodes[0]))
        self.assert_met(self.claim(self.nodes[0]), "in-progress")
        self.assert_granted(self.claim(self.nodes[0], key="key-2"))

    def test_claim_is_refused_in_an_outage_and_granted_afterwards(self):
        """The key-value service is unavailable, and then returns.

        The first attempt must be refused as not run and not run without a
        claim. If its claim were committed after the refusal, the key would
        stay blocked after the outage.
        """
        node = self.nodes[0]
        self.standin.set_faults(down=True)
        refused = self.claim(node, timeout_s=0.3)
        self.assertIsInstance(refused.err_value, errors.ClaimUnavailableError)
        self.assertEqual(refused.err_value.outcome, "not-run")
        self.standin.set_faults()
        self.assert_granted(self.claim(node, request="r-2"))

    def test_claim_committed_after_its_refusal_is_released(self):
        """A commit takes longer than the requester's timeout.

        The request is refused as not run, then the write succeeds. If the
        claim of the abandoned attempt stays in the log, the next attempt gets
        an unknown outcome although nothing ran.
        """
        node = self.nodes[0]
        self.standin.set_faults(delay_s=0.4)
        refused = self.claim(node, timeout_s=0.1)
        self.assertIsInstance(refused.err_value, errors.ClaimUnavailableError)
        self.standin.set_faults()

        def is_granted_again():
            again = self.claim(node, request="r-2")
            return isinstance(again.ok(), claims.ClaimGranted)

        builders_claims.wait_until(is_granted_again)


class LogTest(unittest.TestCase):
    def test_write_that_takes_effect_after_read_back_is_accepted(self):
        """A write takes effect after a read-back that did not find it.

        The write's response was lost. If the log trusted the read-back alone
        while the write is still in progress, the owner could take the next
        batch for committed although the log contains the earlier one.
        """
        store = _DelayedStore()
        ownership = claim_log.Ownership("owner", 5)
        log = claim_log.ClaimLog(store, "prairie", 0, ownership)
        record = claims.Released(b"0" * 16, 1)
        self.assertEqual(log.append([record], 0.0, 1.0), Ok(None))
        self.assertEqual(store.written, [claims.encode_record(record)])

    def test_records_round_trip(self):
        entry = claims.Entry(
            b"0" * 16, b"1" * 16, "r", 2, "vm", "127.0.0.1", 3, 4.5, 6.5
        )
        records = [
            claims.Claimed(entry),
            claims.Completed(b"0" * 16, 2, 200, b"2" * 16, b"\x00\n"),
            claims.Completed(b"0" * 16, 2, 200, b"2" * 16, None),
            claims.Released(b"0" * 16, 2),
        ]
        value = b"".join(map(claims.encode_record, records))
        self.assertEqual(claims.decode_segment(value).unwrap(), records)

    def test_expiry_keeps_a_run_in_progress(self):
        table = claims.Table(window_s=10.0)
        entry = claims.Entry(
            b"0" * 16, b"1" * 16, "r", 2, "vm", "127.0.0.1", 3, 0.0, 30.0
        )
        table.apply(claims.Claimed(entry))
        table.expire(20.0)
        self.assertIsNotNone(table.get(b"0" * 16))
        table.expire(31.0)
        self.assertIsNone(table.get(b"0" * 16))


class _DelayedStore:
    """A store that applies the first write only when a second arrives."""

    def __init__(self):
        self.written = []
        self._first = None

    def compare_and_swap(self, key, value, **options):
        if self._first is None:
            self._first = value
            return Err(errors.WriteOutcomeUnknownError("answer lost"))
        if not self.written:
            self.written.append(self._first)
        return Err(errors.RevisionConflictError(key))

    def get(self, key, *, purpose):
        if not self.written:
            return Ok(None)
        return Ok(key_value.KeyValue(key, self.written[0], 7, 7))


if __name__ == "__main__":
    unittest.main()
