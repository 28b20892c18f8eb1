"""Test data for the admin listener and mulberryctl."""

import hashlib
import io
import json
from collections.abc import Callable
from typing import Any, NamedTuple

from mulberrywharf.operators.server import OperatorsServer
from mulberrywharf.operators.status import StatusReport
from mulberrywharf.programs import _ctl_run

TOKEN = "night shift token"


def operators_settings(token: str = TOKEN) -> Any:
    """Builds the part of a node's settings that the admin listener reads."""
    token_hash = hashlib.sha256(token.encode()).hexdigest()
    return {
        "operators": {
            "listen": {"ip": "127.0.0.1", "port": 0},
            "tokens": [
                {"operator": "ana", "token_sha256_hex": "0" * 64},
                {"operator": "luis", "token_sha256_hex": token_hash},
            ],
        }
    }


def status(**changes: Any) -> StatusReport:
    """Builds the status of a router in hall-a."""
    report: Any = {
        "vm_id": "entry-1",
        "availability_zone": "hall-a",
        "program": "router",
        "config_version": 3,
        "ready": True,
        "engines": [],
        "platform": {"key_value_age_s": 0.5, "vm_list_age_s": None},
    }
    return report | changes


def engine_status(engine_id: str, **changes: Any) -> dict[str, Any]:
    """Builds a ready decode engine in hall-a."""
    return {
        "engine_id": engine_id,
        "availability_zone": "hall-a",
        "seen_role": "decode",
        "seen_state": "ready",
        "report_age_s": 1.0,
    } | changes


def start_node(report: Callable[[], StatusReport]) -> OperatorsServer:
    """Starts the admin listener of a node with the given status report."""
    server = OperatorsServer.from_config(
        operators_settings(), report, lambda: None
    )
    server.start()
    return server


class CtlRun(NamedTuple):
    """Exit code and output of one run of mulberryctl."""

    exit_code: int
    stdout: str
    stderr: str

    def value(self) -> Any:
        """Parses the output of ``--output json``."""
        return json.loads(self.stdout)


def run_ctl(*arguments: str) -> CtlRun:
    """Runs mulberryctl in this process."""
    stdout, stderr = io.StringIO(), io.StringIO()
    exit_code = _ctl_run.run(arguments, stdout, stderr)
    return CtlRun(exit_code, stdout.getvalue(), stderr.getvalue())
