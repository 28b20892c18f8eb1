"""Tests of the request limits that servers state in their answers."""

import unittest

from mulberrywharf import server_limits
from mulberrywharf.policy import request_limits
from tests import builders_routes as build

MALFORMED = (
    "",
    " ",
    "-1",
    "nan",
    "inf",
    "1e300",
    "ten",
    "0x10",
    "1,5",
    "9" * 40,
)
SERVER = build.start()


class ParseTest(unittest.TestCase):
    def test_decimal_numbers_are_limits(self) -> None:
        for text, limit_per_s in (("10.5", 10.5), ("0.001", 0.001), ("0", 0.0)):
            self.assertEqual(
                request_limits.parse([text]),
                request_limits.RequestLimit(limit_per_s),
            )

    def test_malformed_values_are_no_limits(self) -> None:
        for text in MALFORMED:
            self.assertEqual(
                request_limits.parse([text]),
                request_limits.MalformedLimit(text),
            )

    def test_the_lowest_of_repeated_fields_holds(self) -> None:
        self.assertEqual(
            request_limits.parse(["20", "10"]),
            request_limits.RequestLimit(10.0),
        )
        self.assertIsInstance(
            request_limits.parse(["20", "x"]), request_limits.MalformedLimit
        )

    def test_no_field_and_an_absurdly_high_one_are_no_limit(self) -> None:
        for values in ([], ["999999999999"]):
            self.assertEqual(
                request_limits.parse(values), request_limits.NoLimit()
            )


class KnownLimitsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = build.ManualClock()
        self.limits = server_limits.ServerLimits(self.clock)

    def note(self, *values: str, may_end: bool = True) -> float | None:
        stated = request_limits.parse(values)
        self.limits.note_answer(SERVER, stated, may_end=may_end)
        return self.limits.limit_per_s(SERVER)

    def test_the_newest_answer_holds(self) -> None:
        self.assertIsNone(self.note())
        self.assertEqual(self.note("10"), 10.0)
        self.assertEqual(self.note("2"), 2.0)
        self.assertIsNone(self.note())

    def test_a_refusal_without_the_field_ends_no_limit(self) -> None:
        self.note("10")
        self.assertEqual(self.note(may_end=False), 10.0)

    def test_a_malformed_value_changes_nothing(self) -> None:
        for text in MALFORMED:
            self.assertIsNone(self.note(text))
        self.note("10")
        for text in MALFORMED:
            self.assertEqual(self.note(text), 10.0)

    def test_an_earlier_start_limits_no_later_one(self) -> None:
        self.note("10")
        later = SERVER._replace(started_unix_ms=1)
        self.assertIsNone(self.limits.limit_per_s(later))

    def test_an_ended_server_has_no_limit(self) -> None:
        self.note("10")
        self.limits.keep_only([])
        self.assertIsNone(self.limits.limit_per_s(SERVER))


if __name__ == "__main__":
    unittest.main()
