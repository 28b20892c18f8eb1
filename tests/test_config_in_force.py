"""An accepted configuration is in force everywhere and never reverts.

The tests with real processes can be seen red: ``MULBERRY_MECHANISM_OFF`` names
what ``tests.config_without`` takes out of the routers or of ``mulberryctl``.
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
    """``mulberryctl apply`` on a service that lost what nodes run."""

    def setUp(self):
        environment = {"MULBERRY_OPERATOR_TOKEN": builders_operators.TOKEN}
        self.enterContext(mock.patch.dict("os.environ", environment))
        self.platform = self.enterContext(builders_platform.running_key_value())
        self.client = builders_platform.client_for(self.platform.port)
        self.addCleanup(self.client.close)
        self.store = config_store.ConfigStore(self.client, DEPLOYMENT)
        self.asked_count = 0

    def node_that_answers_late(self) -> int:
        """Starts a node at version 5 whose first answer comes too late."""

        def report() -> Any:
            self.asked_count += 1
            if self.asked_count == 1:
                gevent.sleep(0.6)
            return builders_operators.status(config_version=5)

        server = builders_operators.start_node(report)
        self.addCleanup(server.close)
        return server.port

    def apply(self, wait_s: float) -> builders_operators.CtlRun:
        """Applies the first configuration of an empty service."""
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
        """Does what the node does once it sees that the service lost 5."""

        def put_back() -> None:
            builders_platform.wait_until(
                lambda: self.store.read().unwrap() is not None
            )
            # Later than the node's first answer: asked at once, the service
            # still holds the change that is about to be replaced.
            builders_platform.wait_until(lambda: self.asked_count > 1)
            gevent.sleep(0.5)
            held = builders_platform.configuration_of(5)
            self.store.reinstate(held).unwrap()

        greenlet = gevent.spawn(put_back)
        self.addCleanup(greenlet.kill)

    def test_a_change_that_was_replaced_is_not_reported_as_in_force(self):
        """The service came back empty; no node answered before the write.

        Symptom: apply says "in force on all nodes" of a change that no node
        ever ran.
        Sequence: nodes run 5; the service is restored empty; the operator's
        tool reaches the service and no node; the change is accepted as 1;
        nodes put 5 back.
        Cause: a node's higher version was taken as proof of the change.
        """
        self.put_back_later()
        found = self.apply(wait_s=8.0)
        self.assertEqual(found.exit_code, 3, found)
        value = found.value()
        self.assertFalse(value["in_force"])
        self.assertEqual(value["error"]["code"], "change-replaced")

    def test_a_service_behind_the_nodes_proves_nothing(self):
        """The same, and the nodes have not put their version back yet.

        Symptom: as above, in the seconds before the nodes act.
        Sequence: as above, but the wait ends before 5 is put back.
        Cause: the service was asked while it still held the doomed change.
        """
        found = self.apply(wait_s=1.0)
        self.assertEqual(found.exit_code, 5, found)
        value = found.value()
        self.assertFalse(value["in_force"])
        self.assertEqual(value["error"]["code"], "config-store-behind")


class InForceTest(unittest.TestCase):
    """Three zones with a router each, and operators' own processes."""

    def setUp(self):
        self.running = config_cluster.ConfigCluster(off=MECHANISM_OFF)
        self.running.start()
        self.addCleanup(self.running.close)

    def expect_none(self, outcome: config_scenarios.Outcome) -> None:
        """Fails with every breach and what the nodes wrote."""
        if outcome.violations:
            self.fail(f"{outcome}\n{self.running.collect_logs()}")

    def test_operators_who_race_while_answers_get_lost(self):
        """Several apply from the same version; the answers get lost.

        Symptom: a change that its author was told is accepted is gone, or a
        loser's document stands.
        Sequence: operators edit the same version and apply; the service
        writes one change, its answer is lost; its author reads back.
        Cause: a write that did not compare with what it replaces, or a lost
        answer that was taken for a write that failed.
        """
        outcome = config_scenarios.race(
            self.running, operators_count=4, applies_count=2
        )
        self.expect_none(outcome)
        self.assertGreaterEqual(outcome.counts["conflicts"], 1)
        self.assertGreaterEqual(outcome.counts["accepted"], 2)

    def test_a_zone_that_is_cut_from_the_service(self):
        """One zone's router cannot reach the key-value service.

        Symptom: that zone goes on by rules that operators replaced.
        Sequence: the zone loses the service; a change is accepted; the
        other zones have it.
        Cause: nodes learn of changes from the service alone.
        """
        self.expect_none(
            config_scenarios.cut_zone(self.running, ZONES[0], "cut")
        )

    def test_a_router_replaced_while_the_service_is_down(self):
        """A VM is replaced during an outage of the service.

        Symptom: the new router refuses every request until the outage ends.
        Sequence: the service goes down; a router dies; another starts in
        its place with nothing in memory.
        Cause: a fresh node reads its configuration from the service alone.
        """
        self.running.apply(config_cluster.document_of("before"))
        self.expect_none(
            config_scenarios.replace_router(self.running, ZONES[1])
        )

    def test_a_router_that_finds_no_configuration(self):
        """Neither the service nor a neighbour answers a fresh router.

        Symptom: the balancer sends it callers whom it cannot judge.
        Sequence: the service is down; a router starts; no other node has it
        in its VM list yet.
        Cause: readiness that did not ask for a configuration.
        """
        self.expect_none(config_scenarios.find_nothing(self.running, ZONES[2]))

    def test_a_service_restored_from_a_backup(self):
        """The service comes back with older data, or with none.

        Symptom: nodes go back to rules that were replaced, or no later
        change ever comes into force.
        Sequence: versions 2 and 3 are accepted; the service is restored
        with 2, then empty; operators apply.
        Cause: a node took what came last, or nobody put the newest back.
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

    def test_a_change_on_a_service_that_lost_what_nodes_run(self):
        """An operator reaches the empty service and no node.

        Symptom: apply tells that a change is in force that no node runs.
        Sequence: all nodes pause; the service comes back empty; a change is
        accepted as version 1; the nodes wake and put theirs back.
        Cause: a node's higher version was taken as proof of the change.
        """
        self.running.apply(config_cluster.document_of("second"))
        self.expect_none(
            config_scenarios.replaced_change(self.running, "doomed")
        )


if __name__ == "__main__":
    unittest.main()
