"""The bench's own check of figures against bounds."""

import unittest

from bench import run


class FindBreachesTest(unittest.TestCase):
    def test_each_kind_of_breach(self) -> None:
        figures = {"relay": {"ratio": 2.0, "nested": {"deep": 1}}}
        cases = [
            ({"relay.ratio": {"min": 1.5}}, 0),
            ({"relay.ratio": {"min": 2.5}}, 1),
            ({"relay.ratio": {"max": 1.5}}, 1),
            ({"relay.ratio": {"min": 1.0, "max": 3.0}}, 0),
            ({"relay.nested.deep": {"max": 1}}, 0),
            ({"relay.missing": {"min": 0}}, 1),
            ({"other.ratio": {"min": 9}}, 0),
        ]
        for bounds, expected_count in cases:
            with self.subTest(bounds=bounds):
                found = run.find_breaches(figures, bounds, figures.keys())
                self.assertEqual(len(found), expected_count)

    def test_a_failed_section_breaks_its_bounds(self) -> None:
        figures = {"relay": {"failed": "exit code 1"}}
        found = run.find_breaches(
            figures, {"relay.ratio": {"min": 1}}, figures.keys()
        )
        self.assertIsNone(found[0].value)


if __name__ == "__main__":
    unittest.main()
