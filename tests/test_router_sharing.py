"""Routers that divide the reading of a larger fleet's loads."""

import time
import unittest

from mulberrywharf.programs import _router_sharing
from standins import engine_tokens
from tests import cluster

_FRESH_S = 4.0
_OBSERVATION_S = 6.0
"""Longer than a load that is read only once stays fresh."""


class LoadSharingTest(unittest.TestCase):
    def test_every_router_has_fresh_loads_of_all_engines(self) -> None:
        """Requests pile up at a few engines of a large fleet.

        The fleet has more engines than one router reads itself. If a router
        does not receive the loads of the engines that other routers read, it
        knows only its own slice.
        """
        count = _router_sharing.WHOLE_FLEET_LIMIT_COUNT + 1
        shape = cluster.Shape(engines_per_zone=count, routers_per_zone=2)
        running = cluster.Cluster(shape).start()
        self.addCleanup(running.close)
        until_s = time.monotonic() + _OBSERVATION_S
        while time.monotonic() < until_s:
            for router in running.routers:
                cluster.wait_until(
                    lambda router=router: self._all_fresh(running, router),
                    "fresh loads of all engines",
                )
        for number in range(4 * count):
            answer = running.caller(number % 2).complete(f"ask {number}", 5)
            wanted = engine_tokens.answer_text(
                cluster.MODEL, f"ask {number}", 5
            )
            self.assertEqual(answer.text(), wanted)
        used_count = sum(bool(e.log()["runs"]) for e in running.engines)
        self.assertGreater(used_count, count // 2)

    def _all_fresh(
        self, running: cluster.Cluster, router: cluster.Member
    ) -> bool:
        engines = running.status(router)["engines"]
        ages_s = [engine["report_age_s"] for engine in engines]
        return len(ages_s) == len(running.engines) and all(
            age_s is not None and age_s < _FRESH_S for age_s in ages_s
        )


if __name__ == "__main__":
    unittest.main()
