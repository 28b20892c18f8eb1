"""Routers and controllers of two builds as one fleet of one zone."""

import sys
import unittest
from typing import Any

from proofs import mixed_builds
from tests import callers_fixture, cluster

_ZONE = "regina-hall"


class _MixedCluster(cluster.Cluster):
    def _start_program(
        self, program: str, kind: str, vm_id: str, zone: str
    ) -> cluster.Member:
        with mixed_builds.patch_python(vm_id):
            return super()._start_program(program, kind, vm_id, zone)


class RouterUpgradeTest(unittest.TestCase):
    """Routers and controllers of one availability zone."""

    def setUp(self) -> None:  # noqa: D102
        shape = cluster.Shape(
            engines_per_zone=4, backends_per_zone=2, controllers=True
        )
        self.cluster = _MixedCluster(shape).start()
        self.addCleanup(self.cluster.close)
        for number in (2, 3, 4):
            self.cluster.start_router(f"router-{_ZONE}-{number}", _ZONE)
        self._start(f"controller-{_ZONE}-2")
        for router in self.cluster.routers:
            self.cluster.wait_ready(router)

    def _start(self, vm_id: str) -> None:
        controller = self.cluster._start_program("controller", "", vm_id, _ZONE)
        self.cluster.controllers.append(controller)

    def _stop(self, vm_id: str) -> None:
        for members in (self.cluster.routers, self.cluster.controllers):
            for each in [one for one in members if one.vm_id == vm_id]:
                members.remove(each)
                self.assertEqual(each.process.stop(), 0)

    def _holder(self) -> str:
        for each in self.cluster.controllers:
            if self.cluster.status(each)["lease"]["held"]:
                return each.vm_id
        return ""

    def _check_serving(self, key: str, runs_count: int) -> None:
        callers = [
            self.cluster.caller(index)
            for index in range(len(self.cluster.routers))
        ]
        streams = [each.complete(f"tag {key}", 8) for each in callers]
        self.assertTrue(all(answer.is_whole() for answer in streams))
        self.assertEqual(len({answer.text() for answer in streams}), 1)
        paid = [
            each.call("/payment", b"fee", idempotency_key=key)
            for each in callers
        ]
        self.assertEqual(len({(each.status, each.body) for each in paid}), 1)
        self.assertEqual(len(self.cluster.runs()), runs_count)
        members = self.cluster.routers + self.cluster.controllers
        for logged in [each.process.errors() for each in members]:
            self.assertNotIn("refused a frame", logged)

    def _apply(self, **changes: Any) -> None:
        version = self.cluster.apply(callers_fixture.document(**changes))
        members = self.cluster.routers + self.cluster.controllers
        cluster.wait_until(
            lambda: (
                {
                    self.cluster.metric(each, "mulberry_config_version")
                    for each in members
                }
                == {version}
            ),
            f"version {version} in force at all",
        )

    def test_one_fleet(self) -> None:
        """Configuration, claims and the lease pass between the builds."""
        self._check_serving("first", 1)
        self._apply(default={"roles": {"prefill": 0.5, "decode": 0.5}})
        handovers = {
            mixed_builds.hand_over(self._holder, self._stop, self._start)
            for _ in "1234"
        }
        self.assertLessEqual(mixed_builds.both_ways(), handovers)
        self._check_serving("second", 2)
        for each in self.cluster.routers + self.cluster.controllers:
            if mixed_builds.python_of(each.vm_id) != sys.executable:
                self._stop(each.vm_id)
        self._apply()
        self._check_serving("second", 2)
