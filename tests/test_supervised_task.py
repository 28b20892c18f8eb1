"""Background tasks that fail are started again."""

import pathlib
import re
import unittest
import unittest.mock
from collections.abc import Callable

import gevent
import gevent.event

from mulberrywharf import supervised_task

SOURCE = pathlib.Path(supervised_task.__file__).parent
_NOT_SUPERVISED = {
    "_interval_task.py: _run",  # goes on after a failed step by itself
    "logs.py: _run",  # can't log its own failure
    "_controller_zone.py: _run",  # steps down after a failed round by itself
    "lease.py: _renew_until_lost",  # the lease then ends at its expiry
    "lease.py: _wait_for_expiry",  # ends with the lease
}
_LOOP = re.compile(r"^ +while ", re.MULTILINE)
_ENDLESS = re.compile(r"gevent\.spawn\(self\.(_[a-z_]+)\)")


class SupervisedTaskTest(unittest.TestCase):
    def setUp(self) -> None:
        self.enterContext(
            unittest.mock.patch.object(supervised_task, "RESTART_PAUSE_S", 0.01)
        )
        self.runs_count = 0
        self.is_done = gevent.event.Event()

    def test_task_that_fails_is_started_again(self) -> None:
        """Guards against a task that ends for good with the first failure."""

        def run() -> None:
            self.runs_count += 1
            if self.runs_count < 3:
                raise ValueError("a failure")
            self.is_done.set()
            gevent.sleep(60.0)

        task = supervised_task.spawn("test", run)
        self.addCleanup(task.kill)
        self.assertTrue(self.is_done.wait(5.0))
        self.assertFalse(task.ready())

    def test_task_that_returns_or_is_killed_ends(self) -> None:
        supervised_task.spawn("test", lambda: None).get(timeout=5.0)
        task = supervised_task.spawn("test", lambda: gevent.sleep(60.0))
        gevent.sleep(0.01)
        task.kill(timeout=5.0)
        self.assertTrue(task.ready())

    def test_what_a_failure_left_is_given_up(self) -> None:
        for given_up in (lambda: None, lambda: 1 / 0):
            with self.subTest(given_up=given_up):
                calls = []

                def run(calls: list[str] = calls) -> None:
                    calls.append("run")
                    if len(calls) == 1:
                        raise ValueError("a failure")

                def give_up(
                    calls: list[str] = calls,
                    given_up: Callable[[], object] = given_up,
                ) -> None:
                    calls.append("given up")
                    given_up()

                supervised_task.spawn("test", run, on_failure=give_up).get(
                    timeout=5.0
                )
                self.assertEqual(calls, ["run", "given up", "run"])

    def test_endless_tasks_are_supervised(self) -> None:
        """Guards against a new task that one exception ends for good."""
        found = []
        for path in SOURCE.rglob("*.py"):
            text = path.read_text(encoding="utf-8")
            for name in _ENDLESS.findall(text):
                body = text.partition(f"def {name}(")[2].partition("\n    def ")
                if _LOOP.search(body[0]) and "except Exception" not in body[0]:
                    found.append(f"{path.name}: {name}")
        self.assertEqual(set(found), _NOT_SUPERVISED)


if __name__ == "__main__":
    unittest.main()
