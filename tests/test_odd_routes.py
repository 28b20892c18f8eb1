"""Tests that a field of the routes costs no more than what it belongs to."""

import json
import unittest
from typing import Any

from mulberrywharf.customers import directory
from mulberrywharf.platform import documents
from mulberrywharf.routes import table
from tests import builders_customers
from tests import builders_routes as build


def decode(document: dict[str, Any]) -> table.RouteTable:
    return (
        documents.StoredDocuments()
        .decode_routes(json.dumps(document).encode())
        .unwrap()
    )


def route(routes: table.RouteTable, path: str = "/safe/x") -> table.Route:
    found = routes.match(build.HOST, path)
    assert found is not None
    return found


class RankTest(unittest.TestCase):
    def test_route_of_a_high_rank_is_taken(self) -> None:
        """Guards against routes that stay old beside one of rank 10."""
        for rank in (9, 10, 11, 1_000, 10**12):
            with self.subTest(rank=rank):
                document = build.routes_document()
                document["routes"][0]["priority"] = rank
                routes = decode(document)
                self.assertEqual(route(routes).priority, 9)
                self.assertEqual(route(routes, "/stream/x").priority, 1)

    def test_ranks_of_routes_and_customers_stay_in_order(self) -> None:
        """Guards against a high rank that is served before a lower one."""
        document = build.routes_document(
            tenants=[
                {"name": "ann", "api-keys": [builders_customers.KEY]},
                {
                    "name": "bob",
                    "api-keys": [builders_customers.OTHER_KEY],
                    "priority": 12,
                },
            ]
        )
        document["routes"][0]["priority"] = 10
        document["routes"][1]["priority"] = 11
        routes = decode(document)
        assert routes.customers is not None
        bob = routes.customers.find(
            directory.digest(builders_customers.OTHER_KEY.encode())
        )
        self.assertEqual(bob, directory.Customer("bob", 9))
        self.assertEqual(route(routes).priority, 7)
        self.assertEqual(route(routes, "/stream/x").priority, 8)


if __name__ == "__main__":
    unittest.main()
