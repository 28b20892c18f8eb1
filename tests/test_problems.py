"""Error responses to callers."""

import json
import unittest

from mulberrywharf import errors
from mulberrywharf.callers import problems


class ProblemsTest(unittest.TestCase):
    def test_failures_map_to_status_and_outcome(self) -> None:
        cases = [
            (errors.OverLimitError("spent"), 429, "not-run"),
            (errors.EngineUnreachableError("no route"), 503, "not-run"),
            (errors.EngineRefusedError("full"), 503, "not-run"),
            (errors.StreamBrokenError("short"), 502, "unknown"),
            (errors.PlatformUnavailableError("down"), 503, "not-run"),
            (errors.NodeUnreachableError("down"), 503, "not-run"),
            (errors.MulberryError("other"), 500, "unknown"),
            (ValueError("a fault of ours"), 500, "unknown"),
        ]
        for error, status, outcome in cases:
            with self.subTest(error=type(error).__name__):
                request_error = problems.as_request_error(error)
                self.assertEqual(
                    (request_error.status, request_error.outcome),
                    (status, outcome),
                )

    def test_body_and_headers_agree(self) -> None:
        error = errors.OverloadedError("queue is full", retry_after_s=1.2)
        headers = dict(problems.headers(error, "r1"))
        body = json.loads(problems.body(error, "r1"))
        self.assertEqual(headers["content-type"], "application/problem+json")
        self.assertEqual(headers["retry-after"], "2")
        self.assertEqual(headers["x-mulberry-outcome"], body["outcome"])
        self.assertEqual(body["type"], "urn:mulberrywharf:overloaded")
        self.assertEqual(body["request_id"], "r1")
        self.assertTrue(body["advice"])

    def test_messages_of_internal_faults_are_not_disclosed(self) -> None:
        request_error = problems.as_request_error(ValueError("secret"))
        self.assertNotIn("secret", problems.body(request_error, "r1").decode())

    def test_stream_event_carries_the_problem(self) -> None:
        error = errors.BackEndLostError("engine died", outcome="unknown")
        event = problems.stream_event(error, "r1")
        self.assertTrue(event.endswith(b"\n\n"))
        problem = json.loads(event.removeprefix(b"data: "))["error"]
        self.assertEqual(problem["outcome"], "unknown")


if __name__ == "__main__":
    unittest.main()
