"""Tests of how many new connections a gateway reads under a flood."""

import unittest
from collections.abc import Callable

from mulberrywharf.policy import connection_admission

SERVICE_S = 0.002
"""Processor time that a connection takes; 500 a second can be served."""

ROUND_S = 0.02
USUAL_PER_S = 50.0
FLOOD_PER_S = 1_500.0


class Gateway:
    """A process that serves connections one after the other."""

    def __init__(self, service_s: float = SERVICE_S):
        self.now_s = 0.0
        self.admission = connection_admission.ConnectionAdmission(self.now_s)
        self.service_s = service_s
        self.backlog_s = 0.0
        self.offered_count = 0
        self.closed_count = 0
        self.longest_lag_s = 0.0
        self._due_count = 0.0

    def run(self, length_s: float, rate_per_s: float) -> None:
        """Runs it under a rate of new connections."""
        self.offered_count = self.closed_count = 0
        self.longest_lag_s = 0.0
        until_s = self.now_s + length_s
        while self.now_s < until_s:
            self.now_s += ROUND_S
            self.backlog_s = max(0.0, self.backlog_s - ROUND_S)
            self._due_count += rate_per_s * ROUND_S
            while self._due_count >= 1.0:
                self._due_count -= 1.0
                self.offered_count += 1
                if self.admission.admits(self.now_s):
                    self.backlog_s += self.service_s
                else:
                    self.closed_count += 1
            self.note_round()
            self.longest_lag_s = max(self.longest_lag_s, self.backlog_s)

    def note_round(self) -> None:
        self.admission.note_lag(self.backlog_s, self.now_s)

    @property
    def closed_share(self) -> float:
        return self.closed_count / self.offered_count


class QueuedMeasurementGateway(Gateway):
    """A process whose measurements wait in the queue that they measure."""

    def __init__(self, service_s: float = SERVICE_S):
        super().__init__(service_s)
        self._measure()

    def _measure(self) -> None:
        self._measured_from_s = self.now_s
        self._wait_left_s = self.backlog_s

    def note_round(self) -> None:
        self._wait_left_s -= ROUND_S
        waited_s = self.now_s - self._measured_from_s
        if self._wait_left_s <= 0:
            self.admission.note_lag(waited_s - ROUND_S, self.now_s)
            self._measure()
        else:
            self.admission.note_waiting(waited_s, self.now_s)


class FloodTest(unittest.TestCase):
    gateway_class: type[Gateway] = Gateway

    def setUp(self) -> None:
        self.gateway = self.gateway_class()
        self.gateway.run(10.0, USUAL_PER_S)

    def test_lag_stays_low_under_a_flood(self) -> None:
        """Guards against queues in which every caller waits too long."""
        self.gateway.run(2.0, FLOOD_PER_S)
        self.gateway.run(10.0, FLOOD_PER_S)
        self.assertLess(self.gateway.longest_lag_s, 0.3)
        self.assertGreater(self.gateway.closed_share, 0.5)

    def test_most_of_the_processor_is_used_under_a_flood(self) -> None:
        self.gateway.run(5.0, FLOOD_PER_S)
        self.gateway.run(10.0, FLOOD_PER_S)
        read_per_s = (
            self.gateway.offered_count - self.gateway.closed_count
        ) / 10.0
        self.assertGreater(read_per_s, 0.7 / SERVICE_S)

    def test_nothing_is_turned_away_soon_after_a_flood(self) -> None:
        self.gateway.run(5.0, FLOOD_PER_S)
        self.gateway.run(3.0, USUAL_PER_S)
        self.gateway.run(10.0, USUAL_PER_S)
        self.assertEqual(self.gateway.closed_count, 0)
        self.assertIsNone(self.gateway.admission.rate_per_s)

    def test_flood_that_comes_and_goes_each_second(self) -> None:
        for _ in range(5):
            self.gateway.run(1.0, FLOOD_PER_S)
            self.assertLess(self.gateway.longest_lag_s, 1.0)
            self.gateway.run(1.0, USUAL_PER_S)
            self.assertEqual(self.gateway.closed_count, 0)


class QueuedMeasurementFloodTest(FloodTest):
    """Guards against a limit that begins when the first wait has ended."""

    gateway_class = QueuedMeasurementGateway

    def test_limit_begins_while_the_first_task_still_waits(self) -> None:
        self.gateway.run(0.5, FLOOD_PER_S)
        self.assertIsNotNone(self.gateway.admission.rate_per_s)


class CalmTest(unittest.TestCase):
    gateway_class: type[Gateway] = Gateway

    def check_nothing_closed(self, prepare: Callable[[Gateway], None]) -> None:
        gateway = self.gateway_class()
        gateway.run(10.0, USUAL_PER_S)
        prepare(gateway)
        self.assertEqual(gateway.closed_count, 0)

    def test_calm_hours(self) -> None:
        self.check_nothing_closed(lambda gateway: gateway.run(60, USUAL_PER_S))

    def test_crowd_that_can_be_served(self) -> None:
        self.check_nothing_closed(lambda gateway: gateway.run(60, 400.0))

    def test_pause_of_the_process(self) -> None:
        def pause(gateway: Gateway) -> None:
            gateway.now_s += 3.0
            gateway.admission.note_lag(3.0, gateway.now_s)
            gateway.run(10.0, USUAL_PER_S)

        self.check_nothing_closed(pause)

    def test_slow_process_without_more_connections(self) -> None:
        def slow_down(gateway: Gateway) -> None:
            gateway.service_s = 1.1 / USUAL_PER_S
            gateway.run(20.0, USUAL_PER_S)

        self.check_nothing_closed(slow_down)

    def test_start(self) -> None:
        """Guards against refusing callers while caches are being filled."""
        gateway = self.gateway_class(service_s=0.05)
        gateway.run(1.0, USUAL_PER_S)
        gateway.service_s = SERVICE_S
        gateway.run(10.0, USUAL_PER_S)
        self.assertEqual(gateway.closed_count, 0)


class QueuedMeasurementCalmTest(CalmTest):
    """Guards against taking a wait that lasts for a flood."""

    gateway_class = QueuedMeasurementGateway


if __name__ == "__main__":
    unittest.main()
