"""Status of an active controller in mulberryctl, with real processes."""

import json
import unittest
from unittest import mock

from mulberrywharf import fleet, settings
from mulberrywharf.programs import _controller_lease
from tests import builders_operators, builders_settings, cluster


class ControllerStatusTest(unittest.TestCase):
    def setUp(self) -> None:
        shape = cluster.Shape(routers_per_zone=1, controllers=True)
        self.cluster = cluster.Cluster(shape).start()
        self.addCleanup(self.cluster.close)
        token = {"MULBERRY_OPERATOR_TOKEN": cluster.OPERATOR_TOKEN}
        self.enterContext(mock.patch.dict("os.environ", token))

    def ctl(self, *arguments: str) -> builders_operators.CtlRun:
        addresses = {
            option: fleet.Address(**self.cluster.endpoint(name))
            for option, name in (
                ("--platform", "key_value"),
                ("--vm-list", "vm_list"),
            )
        }
        options = ["--deployment", "prairie", "--output", "json"]
        for option, address in addresses.items():
            options += [option, str(address)]
        return builders_operators.run_ctl(*options, *arguments)

    def test_status_lists_the_active_controller(self) -> None:
        """Operators do not find a controller that ``--node`` does not name.

        The lease key did not contain the admin address of its holder. So
        ``status`` showed routers only, ``explain`` reported that no controller
        holds a lease, and ``apply`` waited for none.
        """
        controller = self.cluster.controllers[0]
        cluster.wait_until(
            lambda: self.cluster.status(controller)["lease"]["held"],
            "the lease",
        )
        found = self.ctl("status")
        self.assertEqual(found.exit_code, 0, found)
        nodes = {node["program"]: node for node in found.value()["nodes"]}
        self.assertEqual(nodes["controller"]["vm_id"], controller.vm_id)
        self.assertTrue(nodes["controller"]["lease"]["held"])
        for program, node in nodes.items():
            with self.subTest(program=program):
                self.assertLess(node["platform"]["key_value_age_s"], 60.0)
        cluster.wait_until(
            lambda: self.ctl("explain").exit_code == 0, "a rule in force"
        )

    def test_key_value_age_grows_during_an_outage(self) -> None:
        members = self.cluster.routers + self.cluster.controllers
        self.cluster.set_key_value_down(True)
        for member in members:
            with self.subTest(member=member.vm_id):
                cluster.wait_until(
                    lambda member=member: self.age_s(member) > 2.0,
                    "an age that grows",
                )
        self.cluster.set_key_value_down(False)
        for member in members:
            with self.subTest(member=member.vm_id):
                cluster.wait_until(
                    lambda member=member: self.age_s(member) < 2.0,
                    "an age that is small again",
                )

    def age_s(self, member: cluster.Member) -> float:
        platform = self.cluster.status(member)["platform"]
        return float(platform["key_value_age_s"])


class LeaseValueTest(unittest.TestCase):
    def test_value_contains_only_a_reachable_address(self) -> None:
        cases = (
            ("10.20.1.1", {"operators_ip": "10.20.1.1", "operators_port": 81}),
            ("fd00::1", {"operators_ip": "fd00::1", "operators_port": 81}),
            ("0.0.0.0", {}),
            ("::", {}),
        )
        for ip, fields in cases:
            with self.subTest(ip=ip):
                listen = settings.Endpoint(ip=ip, port=0)
                keeper = _controller_lease.LeaseKeeper.from_config(
                    builders_settings.node_settings(
                        operators={"listen": listen}
                    ),
                    mock.Mock(),
                    mock.Mock(),
                    mock.Mock(),
                    mock.Mock(),
                    operators_port=81,
                )
                value = json.loads(keeper._value(7))
                self.assertEqual(value.pop("lease_id"), 7)
                self.assertTrue(value.pop("vm_id"))
                self.assertEqual(value, fields)


if __name__ == "__main__":
    unittest.main()
