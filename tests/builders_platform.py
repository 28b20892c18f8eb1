"""Test data and fixtures for the platform's services."""

import base64
import contextlib
import socket
import time
from collections.abc import Callable, Iterator
from typing import Any

import gevent

from mulberrywharf import settings
from mulberrywharf.platform_service import (
    call_budget,
    configuration,
    key_value,
)
from mulberrywharf.rules.document import Document
from standins.key_value import KeyValueStandin

WAIT_LIMIT_S = 10.0
DEPLOYMENT = "test"

LARGE_BUDGET = call_budget.CallBudget(per_s=10_000.0, burst_count=10_000)
PURPOSES = ("test", "config", "config-change", "lease")


def endpoint(port: int) -> settings.Endpoint:
    return settings.Endpoint(ip="127.0.0.1", port=port)


def settings_for(
    *, key_value_port: int = 1, vm_list_port: int = 1, timeout_s: float = 1.0
) -> settings.Settings:
    return settings.Settings(
        deployment=DEPLOYMENT,
        vm_id="entry-1",
        availability_zone="zone-a",
        region="region-1",
        operators={"listen": endpoint(0)},
        nodes={"listen": endpoint(0), "key_hex": "0" * 64},
        platform={
            "key_value": [endpoint(key_value_port)],
            "vm_list": endpoint(vm_list_port),
            "weight_store": endpoint(1),
            "call_timeout_s": timeout_s,
        },
    )


def client_for(*ports: int, timeout_s: float = 1.0) -> key_value.KeyValueClient:
    return key_value.KeyValueClient(
        [endpoint(port) for port in ports],
        timeout_s=timeout_s,
        purpose_budgets=dict.fromkeys(PURPOSES, LARGE_BUDGET),
    )


@contextlib.contextmanager
def running_key_value(**options: Any) -> Iterator[KeyValueStandin]:
    options = {"writes_per_s": 0.0, "reads_per_s": 0.0, **options}
    standin = KeyValueStandin(**options)
    standin.start()
    try:
        yield standin
    finally:
        standin.close()


def wait_until(
    condition: Callable[[], object], limit_s: float = WAIT_LIMIT_S
) -> bool:
    end_s = time.monotonic() + limit_s
    while time.monotonic() < end_s:
        if condition():
            return True
        gevent.sleep(0.005)
    return bool(condition())


def configuration_of(
    version: int,
    *,
    change_id: str | None = None,
    changed_unix_s: float = 0.0,
    document: dict[str, Any] | None = None,
) -> configuration.Configuration:
    return configuration.build(
        version=version,
        change_id=change_id or f"change-{version}",
        author="ana",
        changed_unix_s=changed_unix_s,
        document=document or {"rules": [], "default": {"hold": True}},
        audit=[],
    )


def closed_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


@contextlib.contextmanager
def listener_that_never_reads() -> Iterator[int]:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.bind(("127.0.0.1", 0))
        sock.listen(16)
        yield int(sock.getsockname()[1])


def put_operation(key: str, value: bytes) -> dict[str, Any]:
    return {
        "requestPut": {
            "key": base64.b64encode(key.encode()).decode(),
            "value": base64.b64encode(value).decode(),
        }
    }


def document_of(name: str) -> Document:
    return {
        "rules": [
            {
                "name": name,
                "when": {"prefill_share_above": 0.5},
                "then": {"hold": True},
            }
        ],
        "default": {"hold": True},
    }


def value_of(log_entry: dict[str, Any]) -> bytes:
    return base64.b64decode(log_entry["value"])


def vm_on_wire(vm_id: str, **fields: Any) -> dict[str, Any]:
    return {
        "vm_id": vm_id,
        "kind": "engine",
        "availability_zone": "zone-a",
        "ip": "127.0.0.1",
        "port": 80,
        **fields,
    }
