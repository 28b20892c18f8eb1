"""Builders of settings for tests."""

import json
import pathlib
import tempfile
from typing import Any

NODE_KEY_HEX = "0f" * 32


def node_settings(**changes: Any) -> dict[str, Any]:
    """Returns valid settings of an entry VM; ``changes`` replace sections."""
    loopback = {"ip": "127.0.0.1", "port": 0}
    settings: dict[str, Any] = {
        "deployment": "prairie",
        "vm_id": "entry-1",
        "availability_zone": "regina-hall",
        "region": "prairies",
        "callers": {"listen": dict(loopback)},
        "operators": {"listen": dict(loopback)},
        "nodes": {"listen": dict(loopback), "key_hex": NODE_KEY_HEX},
        "platform": {
            "key_value": [dict(loopback)],
            "vm_list": dict(loopback),
        },
    }
    settings.update(changes)
    return settings


def write_settings(settings: dict[str, Any]) -> str:
    """Writes settings to a temporary file and returns its path."""
    directory = pathlib.Path(tempfile.mkdtemp(prefix="mulberry-test-"))
    path = directory / "settings.json"
    path.write_text(json.dumps(settings))
    return str(path)
