"""Tests of the client of the rate-limited weight store."""

import unittest

import gevent

from mulberrywharf import errors
from mulberrywharf.platform_service import weight_store
from standins.weight_store import WeightStoreStandin
from tests import builders_platform as builders


class WeightStoreClientTest(unittest.TestCase):
    def setUp(self) -> None:
        self.service = WeightStoreStandin(loads_per_s=10.0, away_s=0.5)
        self.service.start()
        self.addCleanup(self.service.close)
        self.client = weight_store.WeightStoreClient(
            builders.endpoint(self.service.port)
        )
        self.addCleanup(self.client.close)

    def test_requests_are_served_in_order_of_arrival(self) -> None:
        engines = [f"e{i}" for i in range(14)]
        waiting = [
            gevent.spawn(
                self.client.ask,
                weight_store.LoadRequest(engine, "model"),
                timeout_s=builders.WAIT_LIMIT_S,
            )
            for engine in engines
        ]
        gevent.joinall(waiting, timeout=builders.WAIT_LIMIT_S)
        slots = [greenlet.value.unwrap() for greenlet in waiting]
        self.assertEqual(slots[0].away_s, 0.5)
        self.assertEqual(
            [load["engine_id"] for load in self.service.loads], engines
        )
        self.assertTrue(self.service.refused_count)

    def test_request_fails_after_its_timeout(self) -> None:
        request = weight_store.LoadRequest("e1", "model")
        outcomes = [self.client.ask(request, timeout_s=0.01) for _ in range(12)]
        self.assertIsInstance(
            outcomes[-1].unwrap_err(), errors.PlatformUnavailableError
        )


if __name__ == "__main__":
    unittest.main()
