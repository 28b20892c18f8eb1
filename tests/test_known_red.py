"""How the test run treats the known-red list."""

import unittest

from tests import run


class JudgeTest(unittest.TestCase):
    def test_cases(self) -> None:
        cases = [
            ([], [], 0),
            ([], ["a"], 1),
            (["a"], ["a"], 0),
            (["a"], [], 1),
            (["a"], ["a", "b"], 1),
            (["a", "b", "c", "d"], ["a", "b", "c", "d"], 1),
        ]
        for known, failed, reason_count in cases:
            with self.subTest(known=known, failed=failed):
                reasons = run.judge(known, failed)
                self.assertEqual(len(reasons), reason_count)

    def test_ids_are_read_up_to_the_first_comma(self) -> None:
        lines = ["tests.test_a.B.test_c, a cause, issue 2", "", "x, y, 3"]
        self.assertEqual(
            run.known_red_ids(lines), ["tests.test_a.B.test_c", "x"]
        )

    def test_a_module_that_told_no_result_has_failed(self) -> None:
        result = run._read_result("tests.test_x", "Segmentation fault")
        self.assertEqual(result.failed, ["tests.test_x did not end"])


if __name__ == "__main__":
    unittest.main()
