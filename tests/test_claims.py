"""Idempotency claims on several nodes: granted once, met ever after."""

import unittest

import gevent
from result import Err, Ok

from mulberrywharf import errors
from mulberrywharf.nodes import claim_log, claims, messages, ranking
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


class TwoPressesTest(ClaimsTestCase):
    def test_second_press_at_another_node_meets_the_first(self):
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

    def test_presses_at_the_same_instant_are_granted_once(self):
        presses = [
            gevent.spawn(self.claim, node, request=f"r-{i}")
            for i, node in enumerate(self.nodes * 10)
        ]
        results = [press.get(timeout=15).ok_value for press in presses]
        granted = [r for r in results if isinstance(r, claims.ClaimGranted)]
        self.assertEqual(len(granted), 1)

    def test_key_with_another_body(self):
        self.assert_granted(self.claim(self.other()))
        reused = self.claim(self.owner(), body=claims.digest(b"other"))
        self.assertIsInstance(reused.err_value, errors.KeyReuseError)

    def test_customers_do_not_share_keys(self):
        pairs = [("a", "bc"), ("ab", "c"), ("abc", "")]
        self.assertEqual(len({claims.claim_id(*pair) for pair in pairs}), 3)

    def test_a_released_claim_is_free(self):
        granted = self.assert_granted(self.claim(self.other()))
        self.assertIsInstance(self.other().client.release(granted), Ok)
        self.assert_granted(self.claim(self.owner(), request="r-2"))

    def test_a_long_answer_is_kept_as_its_digest(self):
        granted = self.assert_granted(self.claim(self.other()))
        answer = b"x" * (claims.ANSWER_LIMIT_BYTES + 1)
        self.other().client.complete(granted, 200, answer)
        met = self.assert_met(self.claim(self.owner()), "done")
        self.assertIsNone(met.answer)
        self.assertEqual(met.answer_digest, claims.digest(answer))

    def test_claims_of_one_moment_share_a_write(self):
        before = self.standin.calls_by_kind["txn"]
        presses = [
            gevent.spawn(self.claim, self.owner(), f"key-{i}")
            for i in range(200)
        ]
        for press in presses:
            self.assert_granted(press.get(timeout=15))
        self.assertLess(self.standin.calls_by_kind["txn"] - before, 20)


class RunnerTest(ClaimsTestCase):
    def test_a_run_without_completion_becomes_unknown(self):
        """The node that runs a request dies in the middle.

        Symptom: a second press runs the payment again. Sequence: claimed,
        sent, the runner dies, the caller presses again elsewhere. Cause: a
        claim that lapses with its runner frees the key.
        """
        self.assert_granted(self.claim(self.other(), run_bound_s=0.2))
        builders_claims.wait_until(
            lambda: self.claim(self.owner()).ok_value.state == "unknown"
        )
        met = self.other().client.wait("solano", "key-1", 5.0)
        self.assert_met(met, "unknown")

    def test_a_late_completion_still_counts(self):
        granted = self.assert_granted(
            self.claim(self.other(), run_bound_s=0.05)
        )
        gevent.sleep(0.1)
        self.other().client.complete(granted, 200, b"late")
        self.assert_met(self.claim(self.owner()), "done")


class OwnerLostTest(ClaimsTestCase):
    def test_owner_killed_between_commit_and_answer(self):
        """The owner commits a claim and dies before it answers.

        Symptom: the press is refused for ever, or runs twice. Sequence: the
        write takes effect, the owner dies, the next owner reads the log.
        Cause: the asker cannot tell its own committed claim from another's.
        """
        owner, asker = self.owner(), self.other()
        commit = owner.owner._shards[0]._log._write

        def commit_then_die(*arguments):
            commit(*arguments)
            gevent.spawn(owner.kill)
            gevent.sleep(60)

        owner.owner._shards[0]._log._write = commit_then_die
        self.assert_granted(self.claim(asker))
        self.assertEqual(asker.owner.owned_shards(), [0])
        met = self.assert_met(self.claim(asker, request="r-2"), "in-progress")
        self.assertEqual(met.request_id, "r-1")

    def test_owner_paused_past_its_lease_cannot_commit(self):
        """An owner sleeps through its lease and wakes believing in it.

        Symptom: two presses are both granted. Sequence: the owner is paused,
        its lease lapses, another owner grants the claim, the first wakes with
        a claim in its hands. Cause: a commit that is not tied to ownership.
        """
        paused, second = self.owner(), self.other()
        self.assert_granted(self.claim(paused, key="key-0"))
        woken_shard = paused.owner._shards[0]
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
        reply = woken_shard.claim("entry-9", request)
        self.assertEqual(reply.kind, "not-owner")
        self.assertFalse(woken_shard.is_owner)


class HandoverTest(ClaimsTestCase):
    node_options = {"poll_interval_s": 30.0, "lease_ttl_s": 60.0}

    def test_planned_stop_hands_over_at_once(self):
        """An owner stops as planned.

        Symptom: claims of its shards are refused for seconds. Sequence: it
        gives the shard up; the next node finds out when it looks again.
        Cause: the successor is not told, or waits its turn all the same.
        """
        owner, other = self.owner(), self.other()
        granted = self.assert_granted(self.claim(owner))
        owner.client.complete(granted, 200, b"done")
        owner.owner.hand_over()
        builders_claims.wait_until(lambda: other.owner.owned_shards(), 10.0)
        self.assertEqual(owner.owner.owned_shards(), [])
        met = self.assert_met(self.claim(owner), "done")
        self.assertEqual(met.answer, b"done")


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

    def test_a_node_without_a_list_takes_no_shard(self):
        """The first node starts before the VM list is read.

        Symptom: it owns every shard, and its end stops all claims. Cause: a
        node that knows of nobody else is the first candidate for everything.
        """
        node = self.add_node("entry-1", shard_count=8)
        listed = self.vm_list.records
        self.vm_list.records = []
        node.owner.start()
        gevent.sleep(5 * builders_claims.POLL_INTERVAL_S)
        self.assertEqual(node.owner.owned_shards(), [])
        self.vm_list.records = listed
        builders_claims.wait_until(lambda: len(node.owner.owned_shards()) == 8)

    def test_whoever_needs_a_shard_takes_it_when_all_candidates_are_gone(self):
        """The list still names VMs that are gone.

        Symptom: claims of a shard are refused until the list is corrected.
        Cause: only the candidates that the list names look after the shard.
        """
        names = [f"entry-{number}" for number in range(7)]
        nodes = {name: self.add_node(name) for name in names}
        # All are gone but the one that is drawn to the shard least.
        asker = nodes[ranking.rank("claim-shard-0", names)[-1]]
        asker.owner.start()
        claimed = asker.client.claim(
            "solano", "key-1", _BODY, "r-1", timeout_s=15.0
        )
        self.assertIsInstance(claimed.ok(), claims.ClaimGranted)

    def test_shards_are_spread(self):
        nodes = [self.add_node(f"entry-{n}", shard_count=16) for n in range(3)]
        for node in nodes:
            node.owner.start()
        builders_claims.wait_until(
            lambda: sum(len(n.owner.owned_shards()) for n in nodes) == 16
        )
        for node in nodes:
            self.assertLess(len(node.owner.owned_shards()), 16)


class ServiceTest(ClaimsTestCase):
    nodes_count = 1

    def test_lost_answer_of_the_commit(self):
        """The commit takes effect and its answer is lost.

        Symptom: the claim is refused as not run and the key is blocked, or
        the request runs without a claim. Cause: the outcome of the write is
        guessed instead of read back.
        """
        self.standin.set_faults(lose_answers_count=1)
        self.assert_granted(self.claim(self.nodes[0]))
        self.assert_met(self.claim(self.nodes[0]), "in-progress")
        self.assert_granted(self.claim(self.nodes[0], key="key-2"))

    def test_service_down(self):
        """The key-value service is away.

        Symptom: a request runs without a claim, or its key stays blocked
        after the outage. Sequence: press, refused as not run, the service
        comes back, press again. Cause: a claim committed after its refusal.
        """
        node = self.nodes[0]
        self.standin.set_faults(down=True)
        refused = self.claim(node, timeout_s=0.3)
        self.assertIsInstance(refused.err_value, errors.ClaimUnavailableError)
        self.assertEqual(refused.err_value.outcome, "not-run")
        self.standin.set_faults()
        self.assert_granted(self.claim(node, request="r-2"))

    def test_a_claim_committed_after_its_refusal_is_freed(self):
        """A commit is slower than the asker's patience.

        Symptom: the next press is told that the outcome is unknown though
        nothing ran. Sequence: refused as not run, then the write succeeds.
        Cause: the claim of the given-up attempt stays in the log.
        """
        node = self.nodes[0]
        self.standin.set_faults(delay_s=0.4)
        refused = self.claim(node, timeout_s=0.1)
        self.assertIsInstance(refused.err_value, errors.ClaimUnavailableError)
        self.standin.set_faults()

        def press_again():
            again = self.claim(node, request="r-2")
            return isinstance(again.ok(), claims.ClaimGranted)

        builders_claims.wait_until(press_again)


class LogTest(unittest.TestCase):
    def test_a_write_that_lands_after_its_answer_was_lost(self):
        """A lost write takes effect after it was read back as absent.

        Symptom: the owner holds the next batch for committed while another
        stands in the log. Sequence: the write's answer is lost, the reading
        shows nothing, the write lands. Cause: a reading alone settles
        nothing while the write is under way.
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
        self.assertEqual(list(claims.decode_segment(value)), records)

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
    """Applies the first write only when the second one arrives."""

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
