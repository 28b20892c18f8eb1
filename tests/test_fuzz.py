"""Short runs of the fuzzer."""

import signal
import unittest

import gevent

from fuzz import play, router_target, target

SEED = 1
LENGTH_S = 20.0
HELD_UP_S = 1.0
_EXAMPLES_LEAST_COUNT = 50
_ROUTER_EXAMPLES_LEAST_COUNT = 20


class FuzzTest(target.Target):
    def test_gateways_stand_whatever_comes_from_outside(self) -> None:
        """Guards against input that ends a gateway or one of its tasks."""
        count = play.play(self, SEED, LENGTH_S)
        self.assertGreater(count, _EXAMPLES_LEAST_COUNT)


class RouterFuzzTest(router_target.RouterTarget):
    def test_routers_stand_whatever_comes_from_outside(self) -> None:
        """Guards against input that ends a router or one of its tasks."""
        count = play.play(self, SEED, LENGTH_S)
        self.assertGreater(count, _ROUTER_EXAMPLES_LEAST_COUNT)

    def test_router_that_is_held_up_is_found(self) -> None:
        """Guards against a check that excuses a router by the machine."""
        process = self.cluster.routers[0].process
        process.signal(signal.SIGSTOP)
        gevent.spawn_later(HELD_UP_S, process.signal, signal.SIGCONT)
        with self.assertRaises(AssertionError):
            self.send_frame(b"")


if __name__ == "__main__":
    unittest.main()
