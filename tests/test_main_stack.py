"""Tests of calls on the stack of the main greenlet."""

import unittest
from collections.abc import Callable
from typing import Any

import gevent
import greenlet

from mulberrywharf import main_stack


class MainStackTest(unittest.TestCase):
    def serve(self, run: Callable[[], Any]) -> Any:
        results: list[Any] = []
        main_stack.serve(lambda: results.append(run()))
        return results[0]

    def test_functions_are_called_in_the_main_greenlet(self) -> None:
        def run() -> list[greenlet.greenlet]:
            calls = [
                gevent.spawn(main_stack.call, greenlet.getcurrent)
                for _ in range(3)
            ]
            return [call.get() for call in calls]

        called_in = self.serve(run)
        self.assertEqual(called_in, [greenlet.getcurrent()] * 3)

    def test_no_other_greenlet_runs_during_a_call(self) -> None:
        ran = []

        def run() -> None:
            gevent.spawn(ran.append, "other")
            for _ in range(100):
                main_stack.call(lambda: None)
            ran.append("calls")
            gevent.sleep(0)

        self.serve(run)
        self.assertEqual(ran, ["calls", "other"])

    def test_exceptions_are_raised_in_the_caller(self) -> None:
        def fail() -> None:
            raise ValueError("expected")

        def run() -> str:
            for _ in range(2):
                with self.assertRaisesRegex(ValueError, "expected"):
                    main_stack.call(fail)
            return main_stack.call(lambda: "next call")

        self.assertEqual(self.serve(run), "next call")

    def test_what_the_program_raises_is_raised_by_serve(self) -> None:
        def run() -> None:
            gevent.sleep(0)
            raise OSError("expected")

        with self.assertRaisesRegex(OSError, "expected"):
            main_stack.serve(run)

    def test_functions_are_called_at_once_where_nothing_serves(self) -> None:
        called_in = gevent.spawn(main_stack.call, greenlet.getcurrent)
        self.assertEqual(called_in.get(), called_in)


if __name__ == "__main__":
    unittest.main()
