"""Tests of the fair queue over customers."""

import collections
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from mulberrywharf.policy import fairness


def _queue(**fields: int) -> fairness.FairQueue[str]:
    bounds = fairness.FairQueueSettings()._replace(**fields)
    return fairness.FairQueue(bounds)


def _drain(
    queue: fairness.FairQueue[str], count: int, now_s: float = 0.0
) -> list[str]:
    drained = []
    for _ in range(count):
        ticket = queue.pop(now_s)
        if ticket is None:
            break
        drained.append(ticket.item)
    return drained


class FairQueueTest(unittest.TestCase):
    def test_flood_of_one_customer_does_not_delay_the_others(self):
        """Guards against one customer's flood delaying all other customers.

        One customer queues a hundred requests, then nine others queue one
        each. In a first-come, first-served queue they wait for all hundred.
        """
        queue = _queue()
        for number in range(100):
            queue.push("flooding", f"flood-{number}", cost=100)
        for number in range(9):
            queue.push(f"customer-{number}", f"other-{number}", cost=100)
        first = _drain(queue, 11)
        others = [item for item in first if item.startswith("other")]
        self.assertEqual(len(others), 9)

    def test_service_is_in_proportion_to_the_weights(self):
        queue = _queue()
        for number in range(60):
            queue.push("heavy", f"heavy-{number}", cost=10, weight=3.0)
            queue.push("light", f"light-{number}", cost=10, weight=1.0)
        served = collections.Counter(
            item.partition("-")[0] for item in _drain(queue, 40)
        )
        self.assertAlmostEqual(served["heavy"], 30, delta=1)

    def test_service_is_measured_in_tokens(self):
        queue = _queue()
        for number in range(100):
            queue.push("long", f"long-{number}", cost=900)
            queue.push("short", f"short-{number}", cost=100)
        served = collections.Counter(
            item.partition("-")[0] for item in _drain(queue, 50)
        )
        self.assertAlmostEqual(served["short"] / served["long"], 9, delta=2)

    def test_idle_customer_earns_no_credit(self):
        queue = _queue()
        for number in range(50):
            queue.push("busy", f"busy-{number}", cost=10)
        _drain(queue, 40)
        for number in range(10):
            queue.push("late", f"late-{number}", cost=10)
        served = _drain(queue, 10)
        self.assertGreaterEqual(sum(i.startswith("busy") for i in served), 4)

    def test_priority_orders_a_customers_own_requests(self):
        queue = _queue()
        queue.push("prairie", "tag", cost=1, priority=7)
        queue.push("prairie", "verdict", cost=1, priority=1)
        queue.push("prairie", "second tag", cost=1, priority=7)
        self.assertEqual(_drain(queue, 3), ["verdict", "tag", "second tag"])

    def test_expired_and_removed_requests_are_not_returned(self):
        queue = _queue()
        queue.push("prairie", "expired", cost=1, expires_s=5.0)
        removed = queue.push("prairie", "removed", cost=1).ticket
        queue.push("prairie", "waiting", cost=1, expires_s=20.0)
        queue.remove(removed)
        queue.remove(removed)
        self.assertEqual(_drain(queue, 3, now_s=10.0), ["waiting"])
        self.assertEqual(len(queue), 0)

    def test_full_queue_displaces_the_last_request_of_the_longest_queue(self):
        queue = _queue(entries_limit_count=10)
        for number in range(10):
            queue.push("flooding", f"flood-{number}", cost=1)
        queued = queue.push("other", "other", cost=1)
        self.assertEqual(queued.displaced.item, "flood-9")
        self.assertFalse(queued.displaced.is_waiting)
        self.assertEqual(len(queue), 10)
        refused = queue.push("flooding", "flood-10", cost=1)
        self.assertIsNone(refused.ticket)

    def test_waiting_requests_of_a_customer_are_bounded(self):
        queue = _queue(customer_limit_count=3)
        for number in range(5):
            queue.push("prairie", str(number), cost=1)
        self.assertEqual(queue.waiting_count("prairie"), 3)

    def test_stale_tickets_do_not_accumulate(self):
        """Guards against memory growth while no engine has a free slot.

        Requests are queued and time out for hours, and none is popped. Their
        tickets must not stay in the heaps until then.
        """
        queue = _queue()
        queue.push("prairie", "stays", cost=1)
        for number in range(5_000):
            queue.remove(queue.push("prairie", "x", cost=1).ticket)
            name = f"customer-{number % 5}"
            queue.remove(queue.push(name, "x", cost=1).ticket)
        self.assertLess(queue.stored_entries_count, 200)

    def test_idle_customers_in_memory_are_bounded(self):
        queue = _queue(idle_limit_count=20)
        for number in range(500):
            queue.push(f"customer-{number}", "x", cost=1)
            queue.pop(0.0)
        self.assertLess(queue.stored_entries_count, 80)

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["push", "push", "pop", "remove"]),
                st.sampled_from("abcd"),
                st.integers(1, 1_000),
                st.integers(0, 9),
            ),
            max_size=120,
        )
    )
    @settings(derandomize=True, deadline=None)
    def test_every_request_leaves_the_queue_exactly_once(self, steps):
        queue = _queue(entries_limit_count=8, customer_limit_count=5)
        waiting = set()
        for number, (step, customer, cost, priority) in enumerate(steps):
            if step == "push":
                queued = queue.push(
                    customer, str(number), cost=cost, priority=priority
                )
                if queued.displaced:
                    waiting.remove(queued.displaced)
                if queued.ticket:
                    waiting.add(queued.ticket)
            elif step == "pop":
                ticket = queue.pop(0.0)
                self.assertEqual(ticket is None, not waiting)
                waiting.discard(ticket)
            elif waiting:
                ticket = min(waiting, key=lambda t: int(t.item))
                queue.remove(ticket)
                waiting.remove(ticket)
            self.assertEqual(len(queue), len(waiting))
            self.assertLessEqual(len(queue), 8)


if __name__ == "__main__":
    unittest.main()
