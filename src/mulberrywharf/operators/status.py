"""The status report of a process: the body of ``GET /status``.

The process, also called a node, is a router or a controller.
"""

from typing import NotRequired

import pydantic
from typing_extensions import TypedDict

from mulberrywharf.operators.audit import AuditRecord

# Nodes and mulberryctl are upgraded one by one. An older mulberryctl must be
# able to read the fields that it knows in the report of a newer node. A field
# added to a released report must be NotRequired; otherwise a newer mulberryctl
# would treat every older node as one that does not answer.
_IGNORE_UNKNOWN_FIELDS = pydantic.ConfigDict(extra="ignore")


@pydantic.with_config(_IGNORE_UNKNOWN_FIELDS)
class OrderStatus(TypedDict):
    """The latest order of an engine.

    Attributes:
        order_id: Unique ID of the order.
        action: Ordered action, such as ``set-role``.
        wanted: Role or model that the engine should have afterwards, such as
            ``prefill``.
        phase: Progress of the order.
        in_flight: Whether the order is not settled yet.
        rule: Name of the rule that caused the order.
        config_version: Version of the configuration with that rule.
        fencing_number: Fencing number of the lease under which the order was
            recorded.
        reason: Reason for the order.
        recorded_unix_s: Unix time at which the phase was recorded.
    """

    order_id: str
    action: str
    wanted: str
    phase: str
    in_flight: bool
    rule: str
    config_version: int
    fencing_number: int
    reason: str
    recorded_unix_s: float


@pydantic.with_config(_IGNORE_UNKNOWN_FIELDS)
class EngineStatus(TypedDict):
    """One engine as this process sees it.

    Attributes:
        engine_id: ID of the engine's VM.
        availability_zone: Zone of that VM.
        seen_role: Role that the engine reported, or ``unknown``.
        seen_state: State that the engine reported, or ``unknown``.
        report_age_s: Age of that report; None if none was received yet.
        wanted_role: Role that the rules request for the engine, if any.
        order: Latest order of the engine.
    """

    engine_id: str
    availability_zone: str
    seen_role: str
    seen_state: str
    report_age_s: float | None
    wanted_role: NotRequired[str | None]
    order: NotRequired[OrderStatus | None]


@pydantic.with_config(_IGNORE_UNKNOWN_FIELDS)
class PlatformStatus(TypedDict):
    """Age of the data that the process has read from the platform.

    Attributes:
        key_value_age_s: Time since the last answer of the key-value service;
            None if there was none yet.
        vm_list_age_s: Time since the last read of the VM list; None if there
            was none yet.
    """

    key_value_age_s: float | None
    vm_list_age_s: float | None


@pydantic.with_config(_IGNORE_UNKNOWN_FIELDS)
class LeaseStatus(TypedDict):
    """The zone's controller lease as this process sees it.

    Attributes:
        held: Whether this process holds the lease and may give orders.
        fencing_number: Fencing number of the lease that this process holds or
            last held.
        holder_vm_id: VM of the lease holder, if known.
    """

    held: bool
    fencing_number: int
    holder_vm_id: NotRequired[str]


@pydantic.with_config(_IGNORE_UNKNOWN_FIELDS)
class RuleStatus(TypedDict):
    """The result of the last evaluation of the rules.

    Attributes:
        rule_name: Name of the first rule that matches or may match, or
            ``default``.
        undecided: Whether it is unknown if that rule matches, such as for a
            missing or stale input; if so, nothing is changed.
        explanation: Readable text with the rule, the configuration version, the
            inputs and their age.
    """

    rule_name: str
    undecided: bool
    explanation: str


@pydantic.with_config(_IGNORE_UNKNOWN_FIELDS)
class SituationStatus(TypedDict):
    """The inputs of the last evaluation of the rules.

    mulberryctl uses them for dry runs of rules that are not in force yet.

    Attributes:
        availability_zone: Zone that the rules were evaluated for.
        utc_minute: Minute of the UTC day, 0 to 1439.
        prefill_share: Share of prefill in the work, 0 to 1; None if unknown.
        queue_delay_s: Time that requests wait for an engine; None if unknown.
        engines_lost_count: Engines of the zone that should serve and do not;
            None if unknown.
        customer_requests_per_s: Request rates by customer.
        model_requests_per_s: Request rates by model.
        absent_requests_per_s: Rate to assume for a customer or model that is
            not listed; None if unknown.
        rates_age_s: Age of both kinds of rates; None if unknown.
        rates_given_up: Whether too few routers have reported rates for so long
            that no condition on rates is true.
    """

    availability_zone: str
    utc_minute: int
    prefill_share: float | None
    queue_delay_s: float | None
    engines_lost_count: float | None
    customer_requests_per_s: dict[str, float]
    model_requests_per_s: dict[str, float]
    absent_requests_per_s: NotRequired[float | None]
    rates_age_s: float | None
    rates_given_up: NotRequired[bool]


@pydantic.with_config(_IGNORE_UNKNOWN_FIELDS)
class StatusReport(TypedDict):
    """The body of ``GET /status``.

    Attributes:
        vm_id: ID of the entry VM.
        availability_zone: Zone of that VM.
        program: ``router`` or ``controller``.
        config_version: Version of the configuration that this process uses; 0
            if it has none.
        ready: Whether the process accepts work.
        engines: Engines of the zone, as this process sees them.
        platform: Age of the data read from the platform.
        lease: The zone's controller lease; only from controllers.
        rule: Last evaluation of the rules; only from controllers.
        situation: Inputs of that evaluation; only from controllers.
        counts: Further totals for operators, by name.
        audit: Latest state changes, oldest first; added by the admin listener.
    """

    vm_id: str
    availability_zone: str
    program: str
    config_version: int
    ready: bool
    engines: list[EngineStatus]
    platform: PlatformStatus
    lease: NotRequired[LeaseStatus]
    rule: NotRequired[RuleStatus]
    situation: NotRequired[SituationStatus]
    counts: NotRequired[dict[str, float]]
    audit: NotRequired[list[AuditRecord]]


REPORT_ADAPTER: pydantic.TypeAdapter[StatusReport] = pydantic.TypeAdapter(
    StatusReport
)
