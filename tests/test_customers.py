"""Tests the customer directory and the admission of requests by key."""

import json
import unittest

import hypothesis
from hypothesis import strategies
from result import Err, Ok

from mulberrywharf import errors
from mulberrywharf.customers import authentication, directory
from mulberrywharf.platform import documents, requests
from mulberrywharf.routes import table
from tests import builders_customers as build
from tests import builders_routes

BOUND_S = 5.0


class DirectoryTest(unittest.TestCase):
    def test_find_by_key(self) -> None:
        found = directory.CustomerDirectory.from_config(
            [
                build.customer_keys(
                    "ann", build.KEY, build.SECOND_KEY, priority=1
                ),
                build.customer_keys("bob", build.OTHER_KEY),
            ]
        )
        for key, name in (
            (build.KEY, "ann"),
            (build.SECOND_KEY, "ann"),
            (build.OTHER_KEY, "bob"),
        ):
            customer = found.find(directory.digest(key.encode()))
            self.assertIsNotNone(customer)
            assert customer is not None
            self.assertEqual(customer.name, name)
        self.assertIsNone(found.find(directory.digest(b"unknown")))
        self.assertEqual(found.customers_count, 2)

    def test_digest_text_does_not_contain_the_key(self) -> None:
        key_digest = directory.digest(build.KEY.encode())
        for text in (repr(key_digest), str(key_digest), f"{key_digest}"):
            self.assertNotIn(build.KEY, text)
            self.assertLess(len(text), 20)


class FaultsTest(unittest.TestCase):
    def paths(self, *customers: directory.CustomerKeys) -> list[str]:
        found = directory.without_faults(customers)
        return [fault.path for fault in found.faults]

    def test_valid_customers_have_no_faults(self) -> None:
        """Guards against rejecting a customer whose keys were all revoked."""
        customers = [
            build.customer_keys("ann", build.KEY, build.KEY, priority=0),
            build.customer_keys("bob"),
            build.customer_keys("carl", "k" * 100_000, priority=10),
        ]
        self.assertEqual(directory.without_faults(customers), (customers, []))

    def test_key_shared_by_two_customers_stays_with_the_first(self) -> None:
        """Guards against attributing requests to the wrong customer."""
        found = directory.without_faults(
            [
                build.customer_keys("ann", build.KEY),
                build.customer_keys("bob", "x", build.KEY),
            ]
        )
        (fault,) = found.faults
        self.assertEqual(fault.path, "customers.bob.keys[1]")
        self.assertNotIn(build.KEY, fault.message)
        self.assertEqual(
            [list(one.keys) for one in found.customers], [[build.KEY], ["x"]]
        )

    def test_empty_key_is_left_out(self) -> None:
        """Guards against an empty key that matches requests without one."""
        found = directory.without_faults(
            [build.customer_keys("ann", "", build.KEY)]
        )
        self.assertEqual(
            [one.path for one in found.faults], ["customers.ann.keys[0]"]
        )
        self.assertEqual(
            found.customers, [build.customer_keys("ann", build.KEY)]
        )

    def test_invalid_priorities_and_names(self) -> None:
        found = directory.without_faults(
            [
                build.customer_keys("ann", build.KEY, priority=-2),
                build.customer_keys("", build.OTHER_KEY),
                build.customer_keys("ann", build.SECOND_KEY, priority=1),
            ]
        )
        self.assertEqual(
            [one.path for one in found.faults],
            ["customers.ann.priority", "customers[1].name"],
        )
        self.assertEqual(
            found.customers,
            [
                build.customer_keys("ann", build.KEY),
                build.customer_keys("ann", build.SECOND_KEY, priority=1),
            ],
        )


class DocumentTest(unittest.TestCase):
    def decode(self, **changes: object) -> table.RouteTable | errors.Fault:
        value = builders_routes.routes_value(**changes)
        decoded = documents.StoredDocuments().decode_routes(value)
        if isinstance(decoded, Err):
            self.assertNotIn(build.KEY, decoded.err_value.message)
            return decoded.err_value.faults[0]
        return decoded.ok_value

    def test_customers_and_public_routes(self) -> None:
        document = builders_routes.routes_document(tenants=build.tenants())
        document["routes"][0]["public"] = True
        found = documents.StoredDocuments().decode_routes(
            json.dumps(document).encode()
        )
        assert isinstance(found, Ok)
        customers = found.ok_value.customers
        assert customers is not None
        self.assertEqual(
            customers.find(directory.digest(build.KEY.encode())),
            directory.Customer("ann", 1),
        )
        for path, is_public in (("/safe/x", True), ("/stream/x", False)):
            route = found.ok_value.match(builders_routes.HOST, path)
            assert route is not None
            self.assertEqual(route.is_public, is_public)

    def test_routes_without_customers(self) -> None:
        found = self.decode()
        assert isinstance(found, table.RouteTable)
        self.assertIsNone(found.customers)

    def test_malformed_customer_costs_only_its_own_keys(self) -> None:
        """Guards against one customer that keeps all routes out of force."""
        for fields, keeps_key in (
            ({"name": "ann", "api-keys": build.KEY}, False),
            ({"name": "ann", "api-keys": [1, build.KEY]}, True),
            ({"name": "ann"}, False),
            ({"name": "ann", "api-keys": [build.KEY], "priority": "1"}, True),
            ({"name": "ann", "api-keys": [build.KEY], "priority": True}, True),
            ({"name": "ann", "api-keys": [build.KEY], "priority": -1}, True),
            ({"name": "ann", "api-keys": [build.KEY], "priority": 2.5}, True),
            ({"name": "", "api-keys": [build.KEY]}, False),
            ({"name": 7, "api-keys": [build.KEY]}, False),
            ({"name": "ann", "api-keys": ["", build.KEY]}, True),
            ("ann", False),
            (None, False),
        ):
            with self.subTest(fields=fields):
                other = {"name": "bob", "api-keys": [build.OTHER_KEY]}
                found = self.decode(tenants=[fields, other])
                assert isinstance(found, table.RouteTable)
                assert found.customers is not None
                for key, is_known in (
                    (build.KEY, keeps_key),
                    (build.OTHER_KEY, True),
                    ("", False),
                ):
                    customer = found.customers.find(
                        directory.digest(key.encode())
                    )
                    self.assertEqual(customer is not None, is_known)
                (fault,) = found.faults
                self.assertNotIn(build.KEY, str(fault))

    def test_customers_that_are_no_list_are_rejected(self) -> None:
        """Guards against routes that admit callers without a key."""
        for value in ("ann", 7, {}, True, ""):
            with self.subTest(value=value):
                self.assertIsInstance(self.decode(tenants=value), errors.Fault)

    @hypothesis.given(
        strategies.recursive(
            strategies.none()
            | strategies.booleans()
            | strategies.integers()
            | strategies.floats(allow_nan=False, allow_infinity=False)
            | strategies.text(),
            lambda inner: (
                strategies.lists(inner, max_size=4)
                | strategies.dictionaries(
                    strategies.sampled_from(["name", "api-keys", "priority"])
                    | strategies.text(max_size=3),
                    inner,
                    max_size=4,
                )
            ),
            max_leaves=12,
        )
    )
    def test_arbitrary_customers_do_not_raise(self, value: object) -> None:
        """Guards against unexpected documents that crash the reading task."""
        decoded = documents.StoredDocuments().decode_routes(
            builders_routes.routes_value(tenants=value)
        )
        if isinstance(decoded, Ok) and value is not None:
            self.assertIsNotNone(decoded.ok_value.customers)


class DialectTest(unittest.TestCase):
    def read(self, *keys: str) -> frozenset[directory.KeyDigest]:
        fields = [("x-mulberrywharf-credential", key) for key in keys]
        fields += [("x-mulberrywharf-tenant-id", "mallory"), ("accept", "*")]
        read = requests.CallerDialect().read(
            method="POST", target="/a", fields=fields, body=b"", now_s=0.0
        )
        assert isinstance(read, Ok)
        self.assertEqual(read.ok_value.fields, (("accept", "*"),))
        for key in filter(None, keys):
            self.assertNotIn(key, repr(read.ok_value.key_digests))
        return read.ok_value.key_digests

    def test_key_digests_of_a_request(self) -> None:
        self.assertEqual(self.read(build.KEY), build.digests(build.KEY))
        self.assertEqual(self.read(), frozenset())
        self.assertEqual(
            self.read(build.KEY, build.KEY), build.digests(build.KEY)
        )
        self.assertEqual(len(self.read(build.KEY, build.OTHER_KEY)), 2)

    @hypothesis.given(
        strategies.lists(
            strategies.text(
                strategies.characters(min_codepoint=33, max_codepoint=255),
                min_size=24,
                max_size=60,
            ),
            max_size=3,
        )
    )
    def test_arbitrary_keys_are_read(self, keys: list[str]) -> None:
        self.assertEqual(len(self.read(*keys)), len(set(keys)))

    def test_non_ascii_keys_are_compared_as_bytes(self) -> None:
        """Guards against rejecting valid keys that are not ASCII."""
        key = "clé"
        on_wire = key.encode().decode("latin-1")
        self.assertEqual(self.read(on_wire), build.digests(key))


class AdmissionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.freshness = build.FreshnessStub()
        self.admission = authentication.CustomerAdmission(
            self.freshness, BOUND_S
        )
        self.routes = build.routes(1, build.customer_keys("ann", build.KEY))
        self.is_public = False

    def admit(self, *keys: str) -> str | None:
        admitted = self.admission.admit(
            lambda: self.routes,
            lambda _: self.is_public,
            build.digests(*keys),
            3.0,
        )
        return admitted.customer.name if admitted.customer else None

    def advance_clock(self, age_s: float) -> None:
        self.freshness.current_s += age_s

    def test_known_key_is_admitted(self) -> None:
        self.assertEqual(self.admit(build.KEY), "ann")

    def test_requests_without_one_known_key_are_rejected(self) -> None:
        for keys in ((), ("unknown",), (build.KEY, build.OTHER_KEY)):
            with self.subTest(keys=keys):
                with self.assertRaises(errors.UnknownCustomerError) as raised:
                    self.admit(*keys)
                self.assertNotIn("unknown", str(raised.exception.message))

    def test_unconfirmed_key_is_rejected(self) -> None:
        """Guards against accepting a revoked key at a partitioned gateway."""
        self.advance_clock(BOUND_S - 0.1)
        self.assertEqual(self.admit(build.KEY), "ann")
        self.advance_clock(0.2)
        with self.assertRaises(errors.UnconfirmedKeyError):
            self.admit(build.KEY)

    def test_waits_for_a_confirmation(self) -> None:
        """Guards against rejecting every keyed request after a suspension."""
        self.advance_clock(BOUND_S * 2)
        self.freshness.confirms_on_wait = True
        self.assertEqual(self.admit(build.KEY), "ann")

    def test_revocation_loaded_by_a_confirmation_applies(self) -> None:
        """Guards against accepting a key that was revoked while suspended."""
        self.advance_clock(BOUND_S * 2)
        self.freshness.confirms_on_wait = True

        def revoke() -> None:
            self.routes = build.routes(2, build.customer_keys("ann"))

        self.freshness.on_wait = revoke
        with self.assertRaises(errors.UnknownCustomerError):
            self.admit(build.KEY)

    def test_newly_added_key_does_not_get_401(self) -> None:
        """Guards against 401 from a gateway with outdated routes."""
        self.advance_clock(authentication.UNKNOWN_KEY_AGE_LIMIT_S + 0.1)
        with self.assertRaises(errors.UnconfirmedKeyError):
            self.admit("added")
        self.freshness.confirms_on_wait = True

        def add() -> None:
            self.routes = build.routes(2, build.customer_keys("ann", "added"))

        self.freshness.on_wait = add
        self.assertEqual(self.admit("added"), "ann")

    def test_public_routes_need_no_confirmation(self) -> None:
        """Guards against rejecting public requests during a partition."""
        self.advance_clock(BOUND_S * 2)
        self.is_public = True
        self.assertIsNone(self.admit())
        self.assertIsNone(self.admit("unknown"))
        self.assertEqual(self.admit(build.KEY), "ann")

    def test_no_customers_needs_no_confirmation(self) -> None:
        self.advance_clock(BOUND_S * 2)
        self.routes = table.RouteTable(1, [], {})
        self.assertIsNone(self.admit("anything"))

    def test_known_key_without_a_bound_needs_no_confirmation(self) -> None:
        self.admission = authentication.CustomerAdmission(self.freshness, None)
        self.advance_clock(60.0)
        self.assertEqual(self.admit(build.KEY), "ann")


if __name__ == "__main__":
    unittest.main()
