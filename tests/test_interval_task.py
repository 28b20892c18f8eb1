"""Tests interval tasks: order of steps, close, and steps that raise."""

import unittest
from collections.abc import Callable

import gevent
import gevent.event

from mulberrywharf.programs import _interval_task


class IntervalTaskTest(unittest.TestCase):
    def setUp(self) -> None:
        self.calls: list[str] = []
        self.rounds_done = gevent.event.Event()

    def run_task(
        self, *steps: Callable[[], None]
    ) -> _interval_task.IntervalTask:
        task = _interval_task.IntervalTask(
            steps, interval_s=0.001, failure_message="a step failed"
        )
        self.addCleanup(task.close)
        task.start()
        return task

    def last_step(self) -> None:
        self.calls.append("last")
        if self.calls.count("last") == 3:
            self.rounds_done.set()

    def test_steps_run_in_order_until_closed(self) -> None:
        task = self.run_task(lambda: self.calls.append("first"), self.last_step)
        self.assertTrue(self.rounds_done.wait(10))
        task.close()
        self.assertEqual(self.calls[:6], ["first", "last"] * 3)
        calls_count = len(self.calls)
        gevent.sleep(0.02)
        self.assertEqual(len(self.calls), calls_count)

    def test_exception_in_a_step_does_not_end_round_or_task(self) -> None:
        """A step raises, for example on a report that it cannot use.

        Guards against the exception ending the greenlet, after which old
        limits stay in force although the rules changed.
        """

        def fail() -> None:
            raise ValueError("a bad report")

        self.run_task(fail, self.last_step)
        self.assertTrue(self.rounds_done.wait(10))

    def test_close_before_start_does_nothing(self) -> None:
        _interval_task.IntervalTask(
            (), interval_s=1.0, failure_message=""
        ).close()
