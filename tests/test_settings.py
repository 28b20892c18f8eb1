"""Faulty settings are refused, and every example file is accepted."""

import copy
import json
import pathlib
import unittest
from typing import Any

from result import Err, Ok

from mulberrywharf import gateway_settings, settings
from mulberrywharf.errors import SettingsError
from mulberrywharf.platform_service import vm_list
from tests.builders_operators import run_ctl
from tests.builders_settings import node_settings

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"


def _faults(document: Any) -> dict[str, str]:
    """Returns the message and advice of each fault by its path."""
    found = settings.parse(json.dumps(document), "node.json")
    if isinstance(found, Ok):
        return {}
    return {f.path: f"{f.message}; {f.advice}" for f in found.err_value.faults}


def _settings_with(path: str, value: Any) -> dict[str, Any]:
    """Returns valid settings with one field set, or removed if None."""
    document = copy.deepcopy(node_settings())
    *parents, last = path.split(".")
    section = document
    for parent in parents:
        section = section.setdefault(parent, {})
    if value is None:
        del section[last]
    else:
        section[last] = value
    return document


class SettingsTest(unittest.TestCase):
    def test_valid_settings_have_no_fault(self):
        self.assertEqual(_faults(node_settings()), {})

    def test_each_faulty_field_is_reported(self):
        cases = [
            ("platform.call_timeout", 2, "Extra inputs"),
            ("callers.default_deadline", 2, "Extra inputs"),
            ("controller.lease_ttl_ms", 2, "Extra inputs"),
            ("operators.listen.ip", "localhost", ""),
            ("operators.listen.ip", "10.0.0.256", ""),
            ("operators.listen.ip", 7, ""),
            ("operators.listen.port", 65_536, "65535"),
            ("operators.listen.port", -1, "0"),
            ("operators.listen.port", "80", "integer"),
            ("operators.listen.port", True, "integer"),
            ("nodes.key_hex", "0f", ""),
            ("nodes.heartbeat_interval_s", 0, "greater than 0"),
            ("nodes.suspect_after_s", "1s", "number"),
            ("platform.key_value", [], "at least 1"),
            ("controller.lease_ttl_s", 1e9, "86400"),
            ("controller.lease_ttl_s", 3.0, "between renewals"),
            ("controller.goodput_weight", -1, "0"),
            ("log_level", "LOUD", ""),
            ("vm_id", "Entry 1", ""),
            ("vm_id", "", ""),
            ("deployment", None, "add this field"),
            ("platform.vm_list", None, "add this field"),
        ]
        for path, value, text in cases:
            with self.subTest(path=path, value=value):
                faults = _faults(_settings_with(path, value))
                self.assertEqual(list(faults), [path])
                self.assertIn(text, faults[path])

    def test_all_faults_are_reported_at_once(self):
        document = node_settings(log_level="LOUD", extra=1)
        del document["vm_id"]
        document["platform"]["key_value"][0]["ip"] = "etcd.local"
        self.assertEqual(
            set(_faults(document)),
            {"log_level", "extra", "vm_id", "platform.key_value.0.ip"},
        )

    def test_unreadable_text_and_files_are_refused(self):
        for text in ("", "{", "[]", "[" * 100_000, "7"):
            with self.subTest(text=text[:10]):
                found = settings.parse(text, "node.json")
                self.assertIsInstance(found.err(), SettingsError)
        for path in ("/no/such/file", str(EXAMPLES)):
            found = settings.load(path)
            self.assertIsInstance(found.err(), SettingsError)

    def test_ipv6_and_comments_are_accepted(self):
        text = json.dumps(_settings_with("operators.listen.ip", "::1"))
        found = settings.parse("// node\n" + text, "node.json")
        self.assertEqual(found.unwrap()["operators"]["listen"]["ip"], "::1")


class ExamplesTest(unittest.TestCase):
    def test_every_example_is_valid(self):
        files = sorted(EXAMPLES.rglob("*.json"))
        self.assertEqual(len(files), 19)
        for path in files:
            with self.subTest(path=path):
                if path.name == "vms.json":
                    entries = json.loads(path.read_text())["vms"]
                    self.assertEqual(len(vm_list._records(entries)), 4)
                elif path.name == "rules.json":
                    found = run_ctl("check", str(path), "--strict")
                    self.assertEqual(found.exit_code, 0, found.stderr)
                elif path.name == "gateway.json":
                    read = gateway_settings.load(str(path))
                    self.assertFalse(isinstance(read, Err), read)
                else:
                    loaded = settings.load(str(path))
                    self.assertFalse(isinstance(loaded, Err), loaded)


if __name__ == "__main__":
    unittest.main()
