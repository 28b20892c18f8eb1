"""The bench's own check of figures against bounds."""

import unittest

from bench import run


class FindBreachesTest(unittest.TestCase):
    def test_each_kind_of_breach(self) -> None:
        figures = {"relay": {"ratio": 2.0, "nested": {"deep": 1}}}
        cases: list[tuple[run.Bounds, int]] = [
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

    def test_keys_that_hold_dots_are_reached(self) -> None:
        figures = {
            "limits": {
                "asked_2.0": {"lost_0.1": {"settled": 0.5}, "settled": 0.9},
                "asked_2": {"0": {"other": 1}},
            }
        }
        cases = [
            ("limits.asked_2.0.settled", 0.9),
            ("limits.asked_2.0.lost_0.1.settled", 0.5),
            ("limits.asked_2.0.other", 1),
            ("limits.asked_2.0", None),
            ("limits.asked_2.1.settled", None),
        ]
        for path, expected in cases:
            with self.subTest(path=path):
                self.assertEqual(run.look_up(figures, path), expected)

    def test_only_numbers_count(self) -> None:
        figures = {"a": {"flag": True, "text": "1", "none": None}}
        for key in figures["a"]:
            with self.subTest(key=key):
                self.assertIsNone(run.look_up(figures, f"a.{key}"))

    def test_a_failed_section_breaks_its_bounds(self) -> None:
        figures = {"relay": {"failed": "exit code 1"}}
        found = run.find_breaches(
            figures, {"relay.ratio": {"min": 1}}, figures.keys()
        )
        self.assertIsNone(found[0].value)

    def test_every_bound_names_a_section_and_a_limit(self) -> None:
        names = {section.name for section in run.SECTIONS}
        for figure, bound in run.read_bounds().items():
            with self.subTest(figure=figure):
                self.assertIn(figure.partition(".")[0], names)
                self.assertTrue(bound)
                self.assertLessEqual(set(bound), {"min", "max"})


class CompareTest(unittest.TestCase):
    def test_pairs_what_both_revisions_gave(self) -> None:
        present = {"relay": {"p50_ms": 3.0, "new": 1, "zero": 2}, "x": [1]}
        earlier = {"relay": {"p50_ms": 2.0, "gone": 1, "zero": 0}}
        self.assertEqual(
            run.compare(present, earlier),
            [
                run.Comparison("relay.p50_ms", 3.0, 2.0, 1.5),
                run.Comparison("relay.zero", 2, 0, None),
            ],
        )

    def test_spread_of_bounded_figures(self) -> None:
        runs = [{"a": {"b": value}} for value in (3.0, 1.0, 2.0)]
        bounds: run.Bounds = {"a.b": {"min": 0}, "a.missing": {"min": 0}}
        self.assertEqual(
            run.spread(runs, bounds), {"a.b": run.Spread(1.0, 2.0, 3.0)}
        )


if __name__ == "__main__":
    unittest.main()
