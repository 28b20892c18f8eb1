"""Tests of decoding and rejecting server records and routes."""

import json
import unittest
from typing import Any

import hypothesis
from hypothesis import strategies

from mulberrywharf import fleet
from mulberrywharf.platform import documents
from tests import builders_routes as build

KEY = documents.SERVERS_PREFIX + "i-1"
_SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=300, deadline=None, database=None
)

_json = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(10**30), 10**30)
    | strategies.floats()
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner)
        | strategies.dictionaries(strategies.text(), inner)
    ),
    max_leaves=10,
)


def decode(value: bytes) -> Any:
    return documents.StoredDocuments().decode_server(KEY, value)


class InvalidRecordTest(unittest.TestCase):
    def assert_refused(self, **fields: Any) -> None:
        self.assertTrue(decode(build.server_value(**fields)).is_err(), fields)

    def test_fields_of_wrong_type_or_value_are_refused(self) -> None:
        cases: dict[str, list[Any]] = {
            "service": [7, "", None, ["plain"], {}],
            "address": [
                7,
                "",
                "127.0.0.1",
                "127.0.0.1:",
                "127.0.0.1:0",
                "127.0.0.1:65536",
                "127.0.0.1:-1",
                "127.0.0.1:+80",
                "127.0.0.1:\u0668\u0660",
                "name:80",
                "300.0.0.1:80",
            ],
            "zone": [None, "", 3, True],
            "version": [None, 3, ""],
            "slots": [True, 0, -1, 2.5, "6", None, 10**12],
            "state": [None, "", "starting", True, 1],
            "cold-remaining-ms": [None, -1, "0", True],
            "sequence": [None, -1, 1.5, True, "1"],
            "stage": ["mixed", "", 7, None],
            "born": [None, True, 1.5, "1700000000000", -1, 0, []],
            "spot": [None, 0, 1, "true", []],
            "leaves_ms": [None, -1, "2000", True, []],
        }
        for name, values in cases.items():
            for value in values:
                with self.subTest(name=name, value=value):
                    self.assert_refused(**{name: value})

    def test_missing_fields_are_refused(self) -> None:
        fields = json.loads(build.server_value())
        for name in fields:
            with self.subTest(name=name):
                rest = {key: fields[key] for key in fields if key != name}
                self.assertTrue(decode(json.dumps(rest).encode()).is_err())

    def test_values_that_are_not_objects_are_refused(self) -> None:
        for value in (
            b"",
            b"null",
            b"[]",
            b'"i-1"',
            b"\xff\xfe",
            b"{",
            b"[" * 100_000,
            b'{"slots":1e999}',
        ):
            with self.subTest(value=value[:20]):
                self.assertTrue(decode(value).is_err())

    def test_key_without_a_server_id_is_refused(self) -> None:
        found = documents.StoredDocuments().decode_server(
            documents.SERVERS_PREFIX, build.server_value()
        )
        self.assertTrue(found.is_err())

    def test_records_of_servers_are_accepted(self) -> None:
        found = decode(
            build.server_value(born=1_700_000_000_000, models=[], more=1)
        ).unwrap()
        self.assertEqual(
            found.start, fleet.ServerStart("i-1", 1_700_000_000_000)
        )
        self.assertIsNone(decode(build.server_value()).unwrap().role)

    def test_server_is_kept_however_often_it_has_registered(self) -> None:
        """Guards against servers that are lost two weeks after their start."""
        for sequence in (10**6, 10**6 + 1, 10**12, 2**63):
            with self.subTest(sequence=sequence):
                found = decode(build.server_value(sequence=sequence))
                self.assertTrue(found.is_ok())

    def test_reclaimable_server_and_the_time_that_it_leaves(self) -> None:
        found = decode(
            build.server_value(spot=True, state="draining", leaves_ms=2_400)
        ).unwrap()
        self.assertTrue(found.is_reclaimable)
        self.assertEqual(found.leaves_in_s, 2.4)
        regular = decode(build.server_value()).unwrap()
        self.assertFalse(regular.is_reclaimable)
        self.assertIsNone(regular.leaves_in_s)


class AnyValueTest(unittest.TestCase):
    """Decoding returns an error and never raises, whatever the value."""

    @_SETTINGS
    @hypothesis.given(strategies.binary())
    def test_any_bytes_as_record(self, value: bytes) -> None:
        self.assertTrue(decode(value).is_err())

    @_SETTINGS
    @hypothesis.given(_json)
    def test_any_json_as_record(self, document: Any) -> None:
        self.assertTrue(decode(json.dumps(document).encode()).is_err())

    @_SETTINGS
    @hypothesis.given(
        strategies.sampled_from(sorted(json.loads(build.server_value()))),
        _json,
    )
    def test_any_json_in_a_record_field(self, name: str, value: Any) -> None:
        decoded = decode(build.server_value(**{name: value}))
        if decoded.is_ok():
            self.assertIs(type(decoded.unwrap().slots_count), int)
            self.assertIs(type(decoded.unwrap().service), str)

    @_SETTINGS
    @hypothesis.given(_json)
    def test_any_json_as_routes(self, document: Any) -> None:
        value = json.dumps(document).encode()
        documents.StoredDocuments().decode_routes(value)

    @_SETTINGS
    @hypothesis.given(
        strategies.sampled_from(sorted(build.routes_document())), _json
    )
    def test_any_json_in_a_routes_field(self, name: str, value: Any) -> None:
        documents.StoredDocuments().decode_routes(
            build.routes_value(**{name: value})
            if name != "version"
            else build.routes_value(value)
        )

    def test_deeply_nested_routes_are_refused(self) -> None:
        found = documents.StoredDocuments().decode_routes(b"[" * 100_000)
        self.assertTrue(found.is_err())


if __name__ == "__main__":
    unittest.main()
