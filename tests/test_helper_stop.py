"""Requests that a gateway has handed over as the other gateway stops."""

import collections
import random
import signal
import time
import unittest

import gevent

from soak import fleet, stops
from tests import builders_platform

_TIMEOUT_MS = 20_000
_STOPS_COUNT = 3
_CALLERS_COUNT = 12
_SERVED_COUNT = 20
_PAUSE_S = (0.3, 1.0)
_LOST_PATH, _HELPER = 0, 1


class HelperStopTest(unittest.TestCase):
    """One of two gateways has lost its path to all servers."""

    def setUp(self) -> None:
        self.fleet = fleet.Fleet(timeout_ms=_TIMEOUT_MS)
        self.addCleanup(self.fleet.close)
        self.fleet.start()
        for server_id, server in self.fleet.servers.items():
            server.faults = (
                {"delay_s": 0.3}
                if server_id.startswith("plain")
                else {"pause_s": 0.1}
            )
        self.fleet.set_path_faults(_LOST_PATH, mode="refuse")
        self.rng = random.Random(1)
        self.callers = [
            stops.Caller(self.fleet, random.Random(number), [_LOST_PATH])
            for number in range(_CALLERS_COUNT)
        ]
        self.running = [gevent.spawn(one.run) for one in self.callers]

    def calls(self) -> list[stops.Call]:
        return [call for one in self.callers for call in one.calls]

    def served_count(self) -> int:
        return sum(call.status == 200 for call in self.calls())

    def stop_helper(self) -> None:
        helper = self.fleet.gateways[_HELPER]
        assert helper is not None
        began_s = time.monotonic()
        helper.signal(signal.SIGTERM)
        code = gevent.get_hub().threadpool.apply(helper.wait)
        self.assertEqual(code, 0)
        self.assertLess(time.monotonic() - began_s, fleet.GRACE_S)
        helper.close()
        self.fleet.launch(_HELPER)

    def test_no_request_is_cut_by_the_stop_of_its_helper(self) -> None:
        """Guards against a planned stop that cuts what others handed over."""
        for _ in range(_STOPS_COUNT):
            expected_count = self.served_count() + _SERVED_COUNT
            self.assertTrue(
                builders_platform.wait_until(
                    lambda count=expected_count: self.served_count() > count,
                    limit_s=15.0,
                )
            )
            gevent.sleep(self.rng.uniform(*_PAUSE_S))
            self.stop_helper()
        self.fleet.is_over = True
        gevent.joinall(self.running, timeout=20.0)
        broken = list(stops.broken(self.fleet, self.calls(), []))
        statuses = collections.Counter(call.status for call in self.calls())
        self.assertEqual(broken, [], statuses)


if __name__ == "__main__":
    unittest.main()
