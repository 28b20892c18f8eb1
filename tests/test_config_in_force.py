"""An accepted configuration is in force everywhere and never reverts."""

import json
import pathlib
import tempfile
import unittest
from typing import Any
from unittest import mock

import gevent

from mulberrywharf.platform_service import config_store
from tests import builders_operators, builders_platform, builders_rules
from tests.builders_platform import DEPLOYMENT


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


if __name__ == "__main__":
    unittest.main()
