"""Tests that an accepted configuration reaches all nodes and never reverts.

To see the tests with real processes fail, set ``MULBERRY_MECHANISM_OFF`` to a
mechanism that ``tests.config_without`` disables in routers or ``mulberryctl``.
"""

import json
import os
import pathlib
import tempfile
import unittest
from typing import Any
from unittest import mock

import gevent

from mulberrywharf.platform_service import config_store
from tests import (
    builders_operators,
    builders_platform,
    builders_rules,
    config_cluster,
    config_scenarios,
)
from tests.builders_platform import DEPLOYMENT
from tests.config_cluster import ZONES

MECHANISM_OFF = os.environ.get("MULBERRY_MECHANISM_OFF", "")


class ReplacedChangeTest(unittest.TestCase):
    """``mulberryctl apply`` to a service that lost the nodes' configuration."""

    def setUp(self):
        environment = {"MULBERRY_OPERATOR_TOKEN": builders_operators.TOKEN}
        self.enterContext(mock.patch.dict("os.environ", environment))
        self.platform = self.enterContext(builders_platform.running_key_value())
        self.client = builders_platform.client_for(self.platform.port)
        self.addCleanup(self.client.close)
        self.store = config_store.ConfigStore(self.client, DEPLOYMENT)
        self.max_asked_owners_count = 0

    def node_that_answers_late(self) -> int:
        """Starts a node at version 5 whose first answer is too late."""

        def report() -> Any:
            self.max_asked_owners_count += 1
            if self.max_asked_owners_count == 1:
                gevent.sleep(0.6)
            return builders_operators.status(config_version=5)

        server = builders_operators.start_node(report)
        self.addCleanup(server.close)
        return server.port

    def apply(self, wait_s: float) -> builders_operators.CtlRun:
        """Applies the first configuration to an empty service."""
        directory = self.enterContext(tempfile.TemporaryDirectory())
        path = pathlib.Path(directory) / "rules.json"
        path.write_text(json.dumps(builders_rules.document()))
        return builders_operators.run_ctl(
            *("--deployment", DEPLOYMENT, "--timeout-s", "0.4"),
            *("--platform", f"127.0.0.1:{self.platform.port}"),
            *("--node", f"127.0.0.1:{self.node_that_answers_late()}"),
            *("--output", "json", "apply", str(path)),
            *("--author", "ana", "--note", "why", "--base-version", "0"),
            *("--wait-s", str(wait_s)),
        )

    def put_back_later(self) -> None:
        """Writes version 5 back, as a node does when the service lost it."""

        def put_back() -> None:
            builders_platform.wait_until(
                lambda: self.store.read().unwrap() is not None
            )
            # Only after the node's first answer, so that apply finds the
            # change still stored when it first checks.
            builders_platform.wait_until(
                lambda: self.max_asked_owners_count > 1
            )
            gevent.sleep(0.5)
            held = builders_platform.configuration_of(5)
            self.store.write_back(held).unwrap()

        greenlet = gevent.spawn(put_back)
        self.addCleanup(greenlet.kill)

    def test_replaced_change_is_not_reported_as_in_force(self):
        """Guards against reporting a change as in force that no node ever had.

        Nodes have version 5 and the service is restored empty. The operator's
        tool reaches the service but no node, the change is accepted as
        version 1, and nodes write version 5 back. A node's higher version does
        not prove that it includes the change.
        """
        self.put_back_later()
        found = self.apply(wait_s=8.0)
        self.assertEqual(found.exit_code, 3, found)
        value = found.value()
        self.assertFalse(value["in_force"])
        self.assertEqual(value["error"]["code"], "change-replaced")

    def test_change_in_a_service_behind_the_nodes_is_not_in_force(self):
        """Guards against the same before the nodes write their version back.

        The wait ends while the service still stores the change that nodes are
        about to replace, so finding it there does not prove that it stays.
        """
        found = self.apply(wait_s=1.0)
        self.assertEqual(found.exit_code, 5, found)
        value = found.value()
        self.assertFalse(value["in_force"])
        self.assertEqual(value["error"]["code"], "config-store-behind")


class InForceTest(unittest.TestCase):
    """Three zones with a router each, and ``mulberryctl`` processes."""

    def setUp(self):
        self.running = config_cluster.ConfigCluster(off=MECHANISM_OFF)
        self.running.start()
        self.addCleanup(self.running.close)

    def expect_none(self, outcome: config_scenarios.Outcome) -> None:
        """Fails with all violations and the logs of the nodes."""
        if outcome.violations:
            self.fail(f"{outcome}\n{self.running.collect_logs()}")

    def test_concurrent_changes_with_lost_answers(self):
        """Guards against losing accepted changes and storing refused ones.

        Operators edit the same version and apply. The service writes one
        change, its answer is lost, and its author reads the configuration
        again. A write must check that the configuration it replaces is
        unchanged, and a lost answer must not count as a failed write.
        """
        outcome = config_scenarios.race(
            self.running, operators_count=4, applies_count=2
        )
        self.expect_none(outcome)
        self.assertGreaterEqual(outcome.counts["conflicts"], 1)
        self.assertGreaterEqual(outcome.counts["accepted"], 2)

    def test_change_reaches_a_zone_cut_off_from_the_service(self):
        """Guards against a zone that keeps using replaced rules.

        The zone's router cannot reach the key-value service, a change is
        accepted, and the other zones have it. Nodes must learn of changes from
        other nodes as well.
        """
        self.expect_none(
            config_scenarios.cut_zone(self.running, ZONES[0], "cut")
        )

    def test_router_replaced_during_an_outage_becomes_ready(self):
        """Guards against a new router that refuses requests during an outage.

        The service goes down, a router dies, and another one starts in its
        place without any state. It must be able to get its configuration from
        other nodes.
        """
        self.running.apply(config_cluster.document_of("before"))
        self.expect_none(
            config_scenarios.replace_router(self.running, ZONES[1])
        )

    def test_router_without_a_configuration_is_not_ready(self):
        """Guards against requests that a router cannot authorize yet.

        The service is down, and a router starts that is not in the VM list of
        any other node yet. If its readiness did not require a configuration,
        the load balancer would send it callers.
        """
        self.expect_none(
            config_scenarios.start_without_configuration(self.running, ZONES[2])
        )

    def test_newest_version_survives_a_restore_from_a_backup(self):
        """Guards against reverted rules and changes without effect.

        Versions 2 and 3 are accepted, the service is restored with version 2,
        then empty, and operators apply changes. Nodes must not apply whatever
        arrives last, and must write the newest version back.
        """
        self.running.apply(config_cluster.document_of("second"))
        newest = self.running.apply(config_cluster.document_of("third"))
        for name, older_version in (("older", newest - 1), ("empty", 0)):
            with self.subTest(name):
                self.expect_none(
                    config_scenarios.restore(
                        self.running, name, older_version=older_version
                    )
                )

    def test_change_accepted_by_an_empty_service_is_reported_as_replaced(self):
        """Guards against reporting a change as in force that no node has.

        All nodes are paused and the service comes back empty. A change is
        accepted as version 1, then the nodes resume and write their version
        back. A node's higher version does not prove that it has the change.
        """
        self.running.apply(config_cluster.document_of("second"))
        self.expect_none(
            config_scenarios.change_on_empty_service(self.running, "doomed")
        )


if __name__ == "__main__":
    unittest.main()
