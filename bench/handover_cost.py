"""What it costs to hand a request over.

Run as ``python -m bench.handover_cost``. Two real gateways serve calls to a
stand-in one after the other: first on the own path, then handed over. It prints
the time of a call and the processor time of both processes, for each kind of
request.
"""

import os
import pathlib
import statistics
import unittest
from collections.abc import Callable
from typing import NamedTuple

from tests import builders_paths

CALLS_COUNT = 300
KINDS = {
    "plain call": ("/safe/x", ""),
    "stream of 5 events": ("/stream/x", builders_paths.SHORT_PROMPT_FIELDS),
}
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Cost(NamedTuple):
    """The cost of one request.

    Attributes:
        median_ms: Time until its end.
        first_cpu_ms: Processor time of the gateway that the caller reached.
        other_cpu_ms: Processor time of the other one.
    """

    median_ms: float
    first_cpu_ms: float
    other_cpu_ms: float


class HandoverCost(builders_paths.PathCase):
    """Measures both ways of serving."""

    def runTest(self) -> None:  # noqa: N802
        """Prints the cost of each kind of request on each way."""
        self.start_gateways(2)
        own = {name: self._cost(name) for name in KINDS}
        self.cut([0], "refuse")
        for path, fields in KINDS.values():
            for _ in range(3):
                self.call(0, path, fields)
        self.wait_metric(0, "mulberry_paths_lost", 2.0)
        for name in KINDS:
            print(
                f"{name}: own path {own[name]}, handed over {self._cost(name)}"
            )

    def _cost(self, name: str) -> Cost:
        path, fields = KINDS[name]
        for _ in range(10):
            self.call(0, path, fields)
        began_s = [self._cpu_s(number) for number in range(2)]
        took_s = []
        for _ in range(CALLS_COUNT):
            tried = self.call(0, path, fields)
            self.assertEqual(tried.status, 200)
            took_s.append(tried.took_s)
        used_s = [
            self._cpu_s(number) - began for number, began in enumerate(began_s)
        ]
        return Cost(
            round(statistics.median(took_s) * 1_000, 2),
            *(round(used * 1_000 / CALLS_COUNT, 2) for used in used_s),
        )

    def _cpu_s(self, number: int) -> float:
        stat = pathlib.Path(f"/proc/{self.gateways[number].pid}/stat")
        fields = stat.read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def main() -> None:
    """Runs the measurement."""
    runner: Callable[[unittest.TestCase], object] = (
        unittest.TextTestRunner().run
    )
    runner(HandoverCost())


if __name__ == "__main__":
    main()
