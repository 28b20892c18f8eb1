"""Tests customer keys end to end through a gateway process."""

import json
import signal
import time
from typing import Any

import gevent

from mulberrywharf.platform import documents
from tests import builders_customers, builders_platform
from tests import builders_routes as build
from tests.test_gateway import PROMPT_FIELDS, Answer, GatewayCase

BOUND_S = 2.0
KEY_FIELD = "x-mulberrywharf-credential: "
FORGED_CUSTOMER_FIELD = "x-mulberrywharf-tenant-id: bob\r\n"


def key_fields(*keys: str) -> str:
    return "".join(f"{KEY_FIELD}{key}\r\n" for key in keys)


class CustomerRequestsTest(GatewayCase):
    def setUp(self) -> None:
        super().setUp()
        self.version = 0
        self.put_routes(builders_customers.tenants())
        self.start(revocation={"bound_ms": BOUND_S * 1000})
        self.wait_ready()

    def put_routes(self, tenants: list[dict[str, Any]]) -> None:
        self.version += 1
        document = build.routes_document(self.version, tenants=tenants)
        document["routes"][1].pop("traffic-split")
        document["routes"][1]["service"] = "engines"
        public = {**document["routes"][0], "name": "r-public"}
        document["routes"].append(
            {**public, "prefix": "/public/", "public": True}
        )
        self.store.put(documents.ROUTES_KEY, json.dumps(document).encode())

    def ask_with_keys(
        self, *keys: str, path: str = "/safe/x", fields: str = ""
    ) -> Answer:
        return self.ask(
            path, fields=key_fields(*keys) + FORGED_CUSTOMER_FIELD + fields
        )

    def request_headers(self) -> list[dict[str, str]]:
        servers = [self.plain, self.prefill, *self.decodes]
        return [
            headers for server in servers for headers in server.request_headers
        ]

    def customers_seen(self) -> set[str | None]:
        return {
            headers.get("HTTP_X_MULBERRYWHARF_TENANT_ID")
            for headers in self.request_headers()
        }

    def test_servers_receive_the_name_instead_of_the_key(self) -> None:
        """Guards against leaking keys or forged names to backend servers."""
        self.assertEqual(self.ask_with_keys(builders_customers.KEY).status, 200)
        answer = self.ask_with_keys(
            builders_customers.SECOND_KEY,
            path="/stream/x",
            fields=PROMPT_FIELDS,
        )
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.customers_seen(), {"ann"})
        self.assertGreaterEqual(len(self.request_headers()), 3)
        self.assertNotIn("-of-ann", str(self.request_headers()))

    def test_retries_send_the_customer_name(self) -> None:
        """Guards against losing or forging the customer on a retry."""
        for engine in self.decodes:
            engine.faults = {"break_after": 2}
        self.ask_with_keys(
            builders_customers.KEY, path="/stream/x", fields=PROMPT_FIELDS
        )
        runs = self.decodes[0].runs + self.decodes[1].runs
        self.assertGreaterEqual(len(runs), 2)
        self.assertEqual(self.customers_seen(), {"ann"})

    def test_requests_without_one_known_key_are_rejected(self) -> None:
        for keys in (
            (),
            ("unknown",),
            (builders_customers.KEY, builders_customers.OTHER_KEY),
            ("k" * 8_000,),
            (f"{builders_customers.KEY} x",),
        ):
            with self.subTest(keys=keys):
                self.assertEqual(self.ask_with_keys(*keys).status, 401)
        self.assertEqual(self.request_headers(), [])

    def test_a_public_route_needs_no_key(self) -> None:
        self.assertEqual(self.ask_with_keys(path="/public/x").status, 200)
        answer = self.ask_with_keys("unknown", path="/public/x")
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.customers_seen(), {None})

    def test_customer_priority_overrides_route_priority(self) -> None:
        self.ask_with_keys(
            builders_customers.KEY, path="/stream/x", fields=PROMPT_FIELDS
        )
        self.put_routes([{**builders_customers.tenants()[0], "priority": 4}])
        gevent.sleep(1.0)
        self.ask_with_keys(
            builders_customers.KEY, path="/stream/x", fields=PROMPT_FIELDS
        )
        seen = [
            headers["HTTP_X_MULBERRYWHARF_REQUEST_PRIORITY"]
            for engine in self.decodes
            for headers in engine.request_headers
        ]
        self.assertEqual(sorted(seen), ["1", "4"])

    def test_engines_get_a_level_for_a_high_rank(self) -> None:
        """Guards against a rank above 9 that keeps new routes out of force."""
        self.put_routes([{**builders_customers.tenants()[0], "priority": 70}])
        gevent.sleep(1.0)
        self.ask_with_keys(
            builders_customers.KEY, path="/stream/x", fields=PROMPT_FIELDS
        )
        seen = [
            headers["HTTP_X_MULBERRYWHARF_REQUEST_PRIORITY"]
            for engine in self.decodes
            for headers in engine.request_headers
        ]
        self.assertEqual(seen, ["9"])

    def test_key_changes_take_effect(self) -> None:
        self.put_routes([{"name": "ann", "api-keys": ["new-key"]}])
        self.assertTrue(
            builders_platform.wait_until(
                lambda: self.ask_with_keys("new-key").status == 200
            )
        )
        self.assertEqual(self.ask_with_keys(builders_customers.KEY).status, 401)

    def test_partitioned_gateway_rejects_keys_after_the_bound(self) -> None:
        """Guards against accepting revoked keys during a network partition."""
        self.store.faults["silent"] = 60.0
        partitioned_s = time.monotonic()
        self.assertEqual(self.ask_with_keys(builders_customers.KEY).status, 200)
        gevent.sleep(max(0.0, partitioned_s + BOUND_S - time.monotonic()))
        before_count = len(self.request_headers())
        refused = self.ask_with_keys(builders_customers.KEY)
        self.assertEqual(refused.status, 503)
        self.assertIn("retry-after", refused.headers)
        self.assertEqual(len(self.request_headers()), before_count)
        self.assertEqual(self.ask_with_keys(path="/public/x").status, 200)
        self.store.faults.clear()
        self.assertTrue(
            builders_platform.wait_until(
                lambda: self.ask_with_keys(builders_customers.KEY).status == 200
            )
        )

    def test_logs_do_not_contain_keys(self) -> None:
        """Guards against leaking keys through the logs."""
        self.ask_with_keys(builders_customers.KEY)
        self.ask_with_keys("unknown-key-text")
        assert self.gateway is not None
        self.gateway.signal(signal.SIGTERM)
        pool = gevent.get_hub().threadpool
        output = pool.apply(self.gateway.output) + self.gateway.errors()
        self.assertIn("unknown-customer", output)
        for key in (builders_customers.KEY, "unknown-key-text"):
            self.assertNotIn(key, output)
