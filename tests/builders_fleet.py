"""Builders of fleet types for tests."""

from typing import Any

from mulberrywharf import fleet

MODEL = "contracts-8b"
ZONE = "regina-hall"
OTHER_ZONE = "saskatoon-hall"


def vm(vm_id: str = "engine-1", **fields: Any) -> fleet.VmRecord:
    """Builds the VM list entry of a live engine."""
    values: dict[str, Any] = {
        "vm_id": vm_id,
        "kind": "engine",
        "availability_zone": ZONE,
        "address": fleet.Address("127.0.0.1", 9000),
    }
    return fleet.VmRecord(**(values | fields))


def entry_vm(vm_id: str = "entry-1", **fields: Any) -> fleet.VmRecord:
    """Builds the VM list entry of a live entry VM."""
    return vm(vm_id, **({"kind": "entry"} | fields))


def report(engine_id: str = "engine-1", **fields: Any) -> fleet.LoadReport:
    """Builds the load report of an idle, ready engine with role ``mixed``."""
    values: dict[str, Any] = {
        "engine_id": engine_id,
        "role": "mixed",
        "state": "ready",
        "models": (MODEL,),
        "prefill_tokens_per_s": 10_000.0,
        "decode_tokens_per_s": 1_000.0,
    }
    return fleet.LoadReport(**(values | fields))


def view(
    vm_id: str = "engine-1",
    *,
    zone: str = ZONE,
    vm_state: fleet.VmState = "live",
    report_age_s: float = 0.5,
    own_in_flight_count: int = 0,
    own_prompt_tokens_since: int = 0,
    failures_recent_count: int = 0,
    drained: bool = False,
    has_report: bool = True,
    **report_fields: Any,
) -> fleet.EngineView:
    """Builds the view of an engine; ``report_fields`` go into its report."""
    return fleet.EngineView(
        vm=vm(vm_id, availability_zone=zone, state=vm_state),
        report=report(vm_id, **report_fields) if has_report else None,
        report_age_s=report_age_s,
        own_in_flight_count=own_in_flight_count,
        own_prompt_tokens_since=own_prompt_tokens_since,
        failures_recent_count=failures_recent_count,
        drained=drained,
    )
