"""Tests of tasks that hold something at the key-value service and fail."""

import contextlib
import unittest
import unittest.mock
from collections.abc import Iterator
from typing import Any

from result import Ok

from mulberrywharf import clock, fleet, metrics, supervised_task
from mulberrywharf.engines import load_reader
from mulberrywharf.forwarding import path_monitor
from mulberrywharf.nodes import claim_log
from mulberrywharf.platform_service import key_value
from mulberrywharf.programs import _controller_lease
from tests import builders_claims, builders_mesh, builders_settings
from tests.test_claims import ClaimsTestCase


class TaskFailedError(Exception):
    """What a patched function raises."""


@contextlib.contextmanager
def failing(owner: Any, name: str) -> Iterator[unittest.mock.Mock]:
    """Lets a function fail until the block ends, once at least."""
    with unittest.mock.patch.object(
        owner, name, side_effect=TaskFailedError
    ) as failed:
        yield failed
        builders_claims.wait_until(lambda: failed.called)


class ClaimTasksTest(ClaimsTestCase):
    """Guards against claims that stay unavailable behind one exception."""

    nodes_count = 1

    def setUp(self) -> None:
        self.enterContext(
            unittest.mock.patch.object(supervised_task, "RESTART_PAUSE_S", 0.05)
        )
        super().setUp()
        (self.node,) = self.nodes

    def assert_claims_are_granted(self) -> None:
        builders_claims.wait_until(lambda: self.owner() is not None)
        self.assert_granted(self.claim(self.node, key="key-behind"))

    def test_scan_goes_on_after_an_exception(self) -> None:
        with failing(self.node.owner._ownership_keys, "read"):
            pass
        self.node.owner._close_shards()
        self.assert_claims_are_granted()

    def test_lease_is_renewed_after_an_exception(self) -> None:
        with failing(self.node.owner._ownership_keys, "renew"):
            pass
        with unittest.mock.patch.object(
            self.node.owner._ownership_keys,
            "renew",
            wraps=self.node.owner._ownership_keys.renew,
        ) as renewed:
            builders_claims.wait_until(lambda: renewed.call_count >= 2)
        self.assert_claims_are_granted()

    def test_shard_is_read_anew_after_an_exception(self) -> None:
        """Guards against a shard that no longer commits, and keeps its key."""
        self.assert_granted(self.claim(self.node))
        failed = self.shard()
        with failing(claim_log.ClaimLog, "append"):
            self.claim(self.node, key="key-2", request="r-2", timeout_s=0.2)
        builders_claims.wait_until(
            lambda: self.owner() is not None and self.shard() is not failed
        )
        self.assert_met(self.claim(self.node, request="r-3"), "in-progress")
        self.assert_claims_are_granted()


class ControllerLeaseTest(unittest.TestCase):
    """Guards against a controller that competes for its lease no more."""

    def setUp(self) -> None:
        self.enterContext(
            unittest.mock.patch.object(supervised_task, "RESTART_PAUSE_S", 0.05)
        )
        self.standin = builders_claims.start_standin()
        self.addCleanup(self.standin.close)
        self.store = key_value.KeyValueClient(
            [{"ip": "127.0.0.1", "port": self.standin.port}], timeout_s=0.5
        )
        self.addCleanup(self.store.close)
        watchdog = unittest.mock.Mock()
        watchdog.on_renewed.return_value = True
        watchdog.may_order.return_value = True
        self.keeper = _controller_lease.LeaseKeeper.from_config(
            builders_settings.node_settings(controller={"lease_ttl_s": 2.0}),
            self.store,
            watchdog,
            clock.SystemClock(),
            unittest.mock.Mock(),
            operators_port=81,
        )
        self.addCleanup(self.keeper.close)

    def wait_held(self) -> None:
        builders_claims.wait_until(lambda: self.keeper.held is not None)

    def test_lease_is_acquired_after_an_exception(self) -> None:
        for name in ("_acquire", "_value"):
            with self.subTest(name=name):
                with failing(self.keeper, name):
                    self.keeper.start()
                self.wait_held()
                self.keeper.close()

    def test_lease_is_given_up_with_an_exception(self) -> None:
        numbers: list[int] = []

        def fail() -> None:
            assert self.keeper.held is not None
            numbers.append(self.keeper.held.fencing_number)
            raise TaskFailedError

        with unittest.mock.patch.object(
            self.keeper, "_step_down_before_expiry", side_effect=fail
        ):
            self.keeper.start()
            builders_claims.wait_until(lambda: numbers)
        builders_claims.wait_until(
            lambda: (
                self.keeper.held is not None
                and self.keeper.held.fencing_number > numbers[0]
            )
        )


class LoadPollTest(unittest.TestCase):
    def test_an_engine_is_polled_after_an_exception(self) -> None:
        """Guards against an engine whose load stays the last one for good."""
        self.enterContext(
            unittest.mock.patch.object(supervised_task, "RESTART_PAUSE_S", 0.05)
        )
        reader = load_reader.LoadReader.from_config({"load_interval_s": 0.05})
        self.addCleanup(reader.close)
        reader.set_vms(
            [
                fleet.VmRecord(
                    "engine-1", "engine", "zone", fleet.Address("127.0.0.1", 1)
                )
            ]
        )
        with failing(reader, "_poll_once"):
            reader.start()
        with unittest.mock.patch.object(
            reader, "_poll_once", return_value=Ok(None)
        ) as polled:
            builders_claims.wait_until(lambda: polled.call_count >= 2)


class MeshTest(unittest.TestCase):
    def test_failed_interval_is_counted_and_the_next_one_runs(self) -> None:
        """Guards against a router that fails without an operator's notice."""
        labels = {"task": "mesh"}
        failures = metrics.counter("mulberry_task_failures_total", "")
        before_count = failures.values.get(labels) or 0
        _, (node,) = builders_mesh.start_zone(1)
        self.addCleanup(node.close)
        with failing(node.mesh, "tick"):
            pass
        builders_claims.wait_until(
            lambda: (failures.values.get(labels) or 0) > before_count
        )
        with unittest.mock.patch.object(node.mesh, "tick") as ticked:
            builders_claims.wait_until(lambda: ticked.call_count >= 2)


class PathMonitorTest(unittest.TestCase):
    def test_paths_are_followed_after_an_exception(self) -> None:
        """Guards against a path that counts as lost until it changes again."""
        self.enterContext(
            unittest.mock.patch.object(supervised_task, "RESTART_PAUSE_S", 0.05)
        )
        paths = unittest.mock.Mock()
        paths.unsettled.return_value = ["service"]
        paths.returning_s.return_value = None
        monitor = path_monitor.PathMonitor(
            unittest.mock.Mock(),
            paths,
            unittest.mock.Mock(),
            unittest.mock.Mock(),
            clock.SystemClock(),
        )
        self.addCleanup(monitor.close)
        with (
            unittest.mock.patch.object(monitor, "_is_sweep_due", lambda *_: 0),
            failing(monitor, "_probe_due"),
        ):
            monitor.note_change("service", 0.0)
        with unittest.mock.patch.object(monitor, "_probe_due") as probed:
            builders_claims.wait_until(lambda: probed.call_count >= 2)


if __name__ == "__main__":
    unittest.main()
