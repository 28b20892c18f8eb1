"""Gateway settings: reported faults, and the platform's template."""

import json
import pathlib
import re
import unittest
from typing import Any

from result import Err

from mulberrywharf import gateway_settings, settings

ROOT = pathlib.Path(__file__).resolve().parent.parent
TEMPLATE = ROOT / "deploy" / "gateway.json"
FIELDS: dict[str, Any] = {
    "node-name": "front-regina-hall-1",
    "zone": "regina-hall",
    "ip": "10.1.0.35",
    "listen.front": "10.1.0.35:8144",
    "listen.ready": "10.1.0.35:8140",
    "internal-ports.0": 7660,
    "platform.address": "10.200.1.7:8142",
    "bounds.retry-budget-ratio": 0.2,
    "bounds.budget-window-s": 10,
    "bounds.retry-budget-slack": 58,
    "bounds.grace-s": 8,
    "bounds.lease-ms": 3000,
}
VALID: dict[str, Any] = {
    "vm_id": "entry-1",
    "availability_zone": "zone-a",
    "callers_listen": "127.0.0.1:1",
    "operators_listen": "127.0.0.1:2",
    "nodes_listen": "127.0.0.1:3",
    "store": "127.0.0.1:4",
    "repeats": {"ratio": 0.2, "window_s": 10, "allowance_count": 58},
    "grace_s": 8,
}


def parse(document: dict[str, Any]) -> Any:
    return settings.parse_with(
        gateway_settings._ADAPTER, json.dumps(document), "gateway.json"
    )


def render(text: str, fields: dict[str, Any] | None = None) -> str:
    """Renders the values and sections of a template as the platform does."""
    fields = FIELDS if fields is None else fields

    def section(match: re.Match[str]) -> str:
        name, inner = match.groups()
        if not fields.get(name):
            return ""
        # Render nested sections first; ``{{.}}`` refers to the innermost one.
        inner = sections(inner)
        inner = inner.replace("{{.|json}}", json.dumps(fields[name]))
        return inner.replace("{{.}}", str(fields[name]))

    def sections(text: str) -> str:
        return re.sub(r"(?s)\{\{#([^{}]+)\}\}(.*?)\{\{/\1\}\}", section, text)

    text = sections(text)
    text = re.sub(
        r"\{\{([^{}|]+)\|json\}\}",
        lambda match: json.dumps(fields[match.group(1)]),
        text,
    )
    return re.sub(
        r"\{\{([^{}|]+)\}\}", lambda match: str(fields[match.group(1)]), text
    )


class SettingsTest(unittest.TestCase):
    def test_valid_settings_are_accepted(self) -> None:
        self.assertFalse(isinstance(parse(VALID), Err))

    def test_every_fault_is_listed(self) -> None:
        faulty = {**VALID, "store": "nowhere", "grace_s": -1, "extra": 1}
        error = parse(faulty).err()
        paths = {fault.path for fault in error.faults}
        self.assertEqual(paths, {"store", "grace_s", "extra"})

    def test_each_missing_field_is_reported(self) -> None:
        for name in VALID:
            rest = {key: value for key, value in VALID.items() if key != name}
            with self.subTest(name=name):
                (fault,) = parse(rest).err().faults
                self.assertEqual(fault.path, name)

    def test_template_renders_to_valid_settings(self) -> None:
        """A template that does not match the settings stops every start.

        A field was renamed in the settings but not in the template, and
        nothing compared the two.
        """
        text = render(TEMPLATE.read_text(encoding="utf-8"))
        read = settings.parse_with(
            gateway_settings._ADAPTER, text, TEMPLATE.name
        )
        self.assertFalse(isinstance(read, Err), read)
        self.assertEqual(read.unwrap()["nodes_listen"], "10.1.0.35:7660")
        self.assertEqual(read.unwrap()["roles"], {"turn_ms": 3000})

    def test_platform_without_lease_bound_gets_no_role_settings(self) -> None:
        fields = {k: v for k, v in FIELDS.items() if k != "bounds.lease-ms"}
        text = render(TEMPLATE.read_text(encoding="utf-8"), fields)
        read = settings.parse_with(
            gateway_settings._ADAPTER, text, TEMPLATE.name
        )
        self.assertNotIn("roles", read.unwrap())

    def test_platform_with_revocation_and_duties_gets_both_settings(
        self,
    ) -> None:
        fields = {
            **FIELDS,
            "bounds.strict-revocation": True,
            "bounds.revoke-ms": 5000,
            "bounds.require-fencing": True,
            "bounds.report-window-s": 5,
            "bounds.usage-late-s": 10,
            "cloud.address": "10.200.0.6:8407",
        }
        text = render(TEMPLATE.read_text(encoding="utf-8"), fields)
        read = settings.parse_with(
            gateway_settings._ADAPTER, text, TEMPLATE.name
        )
        self.assertEqual(read.unwrap()["revocation"], {"bound_ms": 5000})
        self.assertEqual(
            read.unwrap()["duties"],
            {
                "platform": "10.200.0.6:8407",
                "lease_ms": 3000,
                "checks_fencing": True,
                "usage": {"window_s": 5, "late_s": 10},
            },
        )

    def test_platform_without_usage_reports_gets_duty_settings(self) -> None:
        """Guards against engines that no gateway may order.

        The platform accepts orders of engines, but no usage reports.
        """
        fields = {
            **FIELDS,
            "bounds.require-fencing": True,
            "cloud.address": "10.200.0.6:8407",
        }
        text = render(TEMPLATE.read_text(encoding="utf-8"), fields)
        read = settings.parse_with(
            gateway_settings._ADAPTER, text, TEMPLATE.name
        )
        self.assertEqual(
            read.unwrap()["duties"],
            {
                "platform": "10.200.0.6:8407",
                "lease_ms": 3000,
                "checks_fencing": True,
            },
        )

    def test_platform_without_revocation_or_duties_gets_neither(self) -> None:
        fields = {**FIELDS, "bounds.strict-revocation": False}
        text = render(TEMPLATE.read_text(encoding="utf-8"), fields)
        read = settings.parse_with(
            gateway_settings._ADAPTER, text, TEMPLATE.name
        )
        self.assertNotIn("revocation", read.unwrap())
        self.assertNotIn("duties", read.unwrap())

    def test_endpoint_splits_ip_and_port(self) -> None:
        self.assertEqual(
            gateway_settings.endpoint("10.0.0.1:80"),
            {"ip": "10.0.0.1", "port": 80},
        )


if __name__ == "__main__":
    unittest.main()
