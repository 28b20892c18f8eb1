"""Tests of parsing the configuration document: faults and the diff."""

import contextlib
import json
import unittest
from typing import Any

import json5
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from mulberrywharf.errors import RulesError
from mulberrywharf.rules import parse
from mulberrywharf.rules.audit_trail import diff
from mulberrywharf.rules.document import DOCUMENT_LIMIT_BYTES
from mulberrywharf.rules.parse import _read
from tests import builders_rules as build

BOUNDED = settings(derandomize=True, max_examples=150, deadline=None)

_FRAGMENTS = st.sampled_from(
    [
        "{",
        "}",
        "[",
        "]",
        '"rules"',
        ":",
        ",",
        "//x\n",
        "1e999",
        "NaN",
        "'",
        "\\",
    ]
)


def _faults(document: Any) -> dict[str, str]:
    """Returns the message and advice of each fault by its path."""
    found = parse(json.dumps(document), "rules.json")
    if isinstance(found, Ok):
        return {}
    return {f.path: f"{f.message}; {f.advice}" for f in found.err_value.faults}


class ParseTest(unittest.TestCase):
    def test_accepts_comments_and_trailing_commas(self):
        text = """{
          // No rule yet.
          rules: [],
          "default": {"hold": true}, /* leave engines alone */
        }"""
        self.assertEqual(
            parse(text, "rules.json").ok(),
            {"rules": [], "default": {"hold": True}},
        )

    @given(
        st.lists(
            st.sampled_from(
                [
                    "// note",
                    "  // /* note",
                    "/* block",
                    "// */",
                    '"rules": [],',
                    '"x": "a // b",',
                    '"y": "// \\',
                    '// ",',
                    "// cut\u2028",
                    '"default": {"hold": true}',
                ]
            ),
            max_size=8,
        ),
        st.sampled_from(["\n", "\r\n", "\r"]),
    )
    @settings(derandomize=True, max_examples=400, deadline=None)
    def test_comment_lines_mean_what_json5_says(self, lines, line_end):
        text = line_end.join(["{", *lines, "}"])
        expected: object = None
        with contextlib.suppress(ValueError):
            expected = json5.loads(text, allow_duplicate_keys=False)
        found: object = None
        with contextlib.suppress(ValueError):
            found = _read(text)
        self.assertEqual(found, expected)

    def test_document_with_all_sections_has_no_faults(self):
        document = build.document(
            build.rule(
                "all",
                {
                    "prefill_share_above": 0.2,
                    "prefill_share_below": 0.8,
                    "customer": "dispatch",
                    "requests_above_per_s": 2,
                    "between_utc": ["22:00", "06:00"],
                    "for_s": 30,
                },
                {
                    "roles": {"prefill": 0.5, "decode": 0.5},
                    "load": {
                        "model": "verdict-70b",
                        "adapter": "tags",
                        "engines_count": 2,
                    },
                    "limit": {"customer": "dispatch", "requests_per_s": 5},
                    "prefer_zone": "hall-a",
                    "drain": {"engine_id": "engine-3"},
                },
            ),
            services={
                "dispatch": {
                    "idempotent_paths": ["/echo"],
                    "default_idempotent": False,
                    "timeout_s": 30,
                }
            },
            shed={
                "first_token_target_ms": 1300,
                "between_tokens_target_ms": 28,
            },
        )
        self.assertEqual(_faults(document), {})

    def test_each_fault_has_its_path_and_message(self):
        share = {"prefill_share_above": 0.5}
        cases: list[tuple[dict[str, Any], dict[str, Any], str, str]] = [
            (
                {"queue_delay_above": 1},
                {},
                "when.queue_delay_above",
                "_above_s",
            ),
            ({"prefil_share_above": 1}, {}, "when.prefil_share_above", "mean"),
            ({"prefill_share_above": 1.5}, {}, "when.prefill_share_above", "1"),
            ({"prefill_share_above": "1"}, {}, "when.prefill_share_above", ""),
            ({"for_s": 3}, {}, "when", "no condition"),
            ({"between_utc": ["24:00", "06:00"]}, {}, "when.between_utc.0", ""),
            ({"between_utc": ["06:00"]}, {}, "when.between_utc", ""),
            (
                {"between_utc": ["06:00", "06:00"]},
                {},
                "when.between_utc",
                "empty",
            ),
            (
                {"prefill_share_above": 0.5, "prefill_share_below": 0.5},
                {},
                "when.prefill_share_below",
                "nothing is above",
            ),
            ({"customer": "nobody"}, {}, "when.customer", "no customer"),
            ({"model": "none"}, {}, "when.model", "no model"),
            (
                share | {"requests_above_per_s": 1},
                {},
                "when.requests_above_per_s",
                "one customer or one model",
            ),
            (share, {"hold": False}, "then.hold", ""),
            (
                share,
                {"hold": True, "drain": {"engine_id": "engine-1"}},
                "then.hold",
                "another action",
            ),
            (
                share,
                build.roles(prefill=0.6, decode=0.6),
                "then.roles",
                "add up to 1.200",
            ),
            (
                share,
                build.roles(prefill=0.6, decode_count=2),
                "then.roles",
                "mixed",
            ),
            (share, {"roles": {}}, "then.roles", "no role"),
            (
                share,
                {"limit": {"customer": "nobody", "requests_per_s": 1}},
                "then.limit.customer",
                "no customer",
            ),
            (
                share,
                {
                    "load": {
                        "model": "verdict-70b",
                        "adapter": "none",
                        "version": "v9",
                        "engines_count": 1,
                    }
                },
                "then.load.adapter",
                "no adapter",
            ),
        ]
        for when, then, path, message in cases:
            with self.subTest(when=when, then=then):
                rule = build.rule("only", when, then or {"hold": True})
                faults = _faults(build.document(rule))
                self.assertIn(f"rules.0.{path}", faults)
                self.assertIn(message, faults[f"rules.0.{path}"])

    def test_all_faults_are_reported_at_once(self):
        document = build.document(
            build.rule("one", {"queue_delay_above": 1}),
            build.rule("two", {"prefill_share_above": 2}),
            extra=1,
        )
        del document["default"]
        self.assertEqual(
            set(_faults(document)),
            {
                "rules.0.when.queue_delay_above",
                "rules.1.when.prefill_share_above",
                "default",
                "extra",
            },
        )

    def test_duplicate_names_and_keys_are_faults(self):
        document = build.document(
            build.rule("one"),
            build.rule("one"),
            build.rule("default"),
            customers={"a": build.customer("k"), "b": build.customer("k")},
        )
        self.assertEqual(
            set(_faults(document)),
            {
                "rules.1.name",
                "rules.2.name",
                "customers.b.key_sha256_hex",
            },
        )

    def test_invalid_text_is_an_error(self):
        cases = [
            "",
            "{",
            "[]",
            "[" * 100_000,
            '{"rules": [], "rules": [], "default": {}}',
            "{rules: [], rules: [], default: {}}",
            '{"rules": [], "default": {"hold": NaN}}',
            " " * (DOCUMENT_LIMIT_BYTES + 1),
        ]
        for text in cases:
            with self.subTest(text=text[:40]):
                found = parse(text, "rules.json")
                self.assertIsInstance(found.err(), RulesError)

    @given(st.one_of(st.text(max_size=200), st.lists(_FRAGMENTS).map("".join)))
    @BOUNDED
    def test_any_text_gives_a_result(self, text):
        self.assertIsInstance(parse(text, "rules.json"), (Ok, Err))

    @given(
        st.recursive(
            st.none() | st.booleans() | st.floats() | st.text(max_size=8),
            lambda inner: (
                st.lists(inner, max_size=3)
                | st.dictionaries(
                    st.sampled_from(["rules", "default", "when", "then", "x"]),
                    inner,
                    max_size=4,
                )
            ),
            max_leaves=10,
        )
    )
    @BOUNDED
    def test_any_json_gives_a_result(self, value):
        self.assertIsInstance(parse(json.dumps(value), "x"), (Ok, Err))


class DiffTest(unittest.TestCase):
    def test_diff_lists_only_changed_fields(self):
        before = build.document(build.rule("a"), build.rule("b"))
        after = build.document(
            build.rule("b"), build.rule("a", {"prefill_share_above": 0.6})
        )
        lines = {line["path"]: line for line in diff(before, after)}
        path = "rules.a.when.prefill_share_above"
        self.assertEqual(set(lines), {path, "rules order"})
        self.assertEqual(lines[path]["before"], "0.5")
        self.assertEqual(lines[path]["after"], "0.6")
        self.assertEqual(diff(after, after), [])
        self.assertTrue(diff(None, after))


if __name__ == "__main__":
    unittest.main()
