"""Tests decoding of the engines that a service may have."""

import json
import unittest
from typing import Any

from result import Err

from mulberrywharf import fleet
from mulberrywharf.forwarding import servers
from mulberrywharf.platform import documents
from mulberrywharf.policy import capacity_plan
from mulberrywharf.routes import follower
from tests import builders_platform
from tests import builders_routes as build

SCALING: dict[str, Any] = {
    "min-instances": 1,
    "max-instances": 12,
    "boot-timeout-s": 4,
    "spot-price": 0.22,
    "zone-prices": {"zone-a": 0.85, "zone-b": 1.2},
}
KEY = documents.SERVERS_PREFIX + "i-1"


def routes_value(version: int, scaling: Any) -> bytes:
    document = build.routes_document(version)
    document["services"][0]["scaling"] = scaling
    return json.dumps(document).encode()


class ScalingTest(unittest.TestCase):
    def decode(self, scaling: Any) -> Any:
        return documents.StoredDocuments().decode_routes(
            routes_value(1, scaling)
        )

    def test_bounds_are_decoded(self) -> None:
        table = self.decode(SCALING).unwrap()
        self.assertEqual(
            table.scaled_services(),
            {
                "engines": capacity_plan.CapacityBounds(
                    1, 12, 4.0, 0.22, {"zone-a": 0.85, "zone-b": 1.2}
                )
            },
        )

    def test_prices_may_be_missing(self) -> None:
        scaling = {
            name: value
            for name, value in SCALING.items()
            if "price" not in name
        }
        bounds = self.decode(scaling).unwrap().scaled_services()["engines"]
        self.assertIsNone(bounds.reclaimable_price)
        self.assertEqual(bounds.zone_prices, {})

    def test_service_without_scaling_has_none(self) -> None:
        self.assertEqual(self.decode(None).unwrap().scaled_services(), {})

    def assert_not_ordered(self, found: Any, path: str) -> None:
        """Checks that the routes are in force and order no engines."""
        table = found.unwrap()
        self.assertEqual(table.scaled_services(), {})
        self.assertIsNotNone(table.services["engines"].engine)
        self.assertIn(path, [fault.path for fault in table.faults])

    def test_impossible_figures_order_nothing(self) -> None:
        """Guards against orders by figures that nobody can have meant."""
        cases: dict[str, list[Any]] = {
            "min-instances": [13, -1, 1.5, "1", True, None, 10**15],
            "max-instances": [-1, 2.5, "12", None],
            "boot-timeout-s": [-1, "4", True, None],
            "spot-price": [-0.1, 1.01, "0.2", True],
            "zone-prices": [[], "zone-a", 7],
            "zone-prices.zone-a": [-1, "1", None, True],
        }
        for path, values in cases.items():
            for value in values:
                with self.subTest(path=path, value=value):
                    scaling = json.loads(json.dumps(SCALING))
                    name, _, zone = path.partition(".")
                    if zone:
                        scaling[name][zone] = value
                    else:
                        scaling[name] = value
                    self.assert_not_ordered(
                        self.decode(scaling), f"services[0].scaling.{path}"
                    )

    def test_figures_that_are_not_finite_are_refused(self) -> None:
        for text in (b"NaN", b"Infinity", b"1e999", b"-1e999"):
            with self.subTest(text=text):
                value = routes_value(1, SCALING).replace(b"0.22", text)
                found = documents.StoredDocuments().decode_routes(value)
                self.assertIsInstance(found, Err)

    def test_empty_names_and_wrong_types_order_nothing(self) -> None:
        path = "services[0].scaling"
        for scaling, faulty in (
            (7, path),
            ([], path),
            ("x", path),
            ({}, f"{path}.min-instances"),
            ({**SCALING, "zone-prices": {"": 1}}, f"{path}.zone-prices"),
        ):
            with self.subTest(scaling=scaling):
                self.assert_not_ordered(self.decode(scaling), faulty)

    def test_faulty_bounds_leave_the_routes_in_force(self) -> None:
        """Guards against one service that keeps all routes out of force."""
        with build.running_store() as standin:
            client = build.store_client(standin.port)
            client.start()
            self.addCleanup(client.close)
            routes = follower.RouteFollower(client, documents.StoredDocuments())
            standin.put(documents.ROUTES_KEY, routes_value(1, SCALING))
            routes.start()
            self.addCleanup(routes.close)
            self.assertIsNotNone(routes.wait_first(5.0))
            faulty = {**SCALING, "min-instances": 13}
            for version, scaling in ((2, faulty), (3, None), (4, SCALING)):
                standin.put(
                    documents.ROUTES_KEY, routes_value(version, scaling)
                )
                builders_platform.wait_until(
                    lambda version=version: (
                        (found := routes.current()) and found.version == version
                    )
                )
                current = routes.current()
                assert current is not None
                self.assertEqual(current.version, version)
                self.assertEqual(
                    bool(current.scaled_services()), scaling == SCALING
                )


class ServerListTest(unittest.TestCase):
    def test_notice_of_leaving_is_not_a_new_start(self) -> None:
        """Guards against an engine whose caches are forgotten as it leaves."""
        with build.running_store() as standin:
            client = build.store_client(standin.port)
            client.start()
            self.addCleanup(client.close)
            listed = servers.ServerList(client, documents.StoredDocuments())
            listed.start()
            self.addCleanup(listed.close)
            fields = {"born": 1_000, "spot": True}
            standin.put(KEY, build.server_value(**fields))
            builders_platform.wait_until(lambda: listed.find("i-1"))
            started = listed.find("i-1")
            assert started is not None
            self.assertTrue(listed.is_complete)
            for leaves_ms in (2_000, 1_000):
                standin.put(
                    KEY,
                    build.server_value(
                        **fields, state="draining", leaves_ms=leaves_ms
                    ),
                )
                builders_platform.wait_until(
                    lambda expected_s=leaves_ms / 1_000: (
                        (one := listed.find("i-1"))
                        and one.leaves_in_s == expected_s
                    )
                )
                found = listed.find("i-1")
                assert isinstance(found, fleet.Server)
                self.assertEqual(found.leaves_in_s, leaves_ms / 1_000)
                self.assertEqual(found.start, started.start)
                self.assertEqual(listed.usable("plain"), ())


if __name__ == "__main__":
    unittest.main()
