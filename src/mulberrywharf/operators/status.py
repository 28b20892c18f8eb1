"""What a process tells operators about itself: the body of ``GET /status``."""

from typing import NotRequired

import pydantic
from typing_extensions import TypedDict

from mulberrywharf.operators.audit import AuditLine

# Nodes and mulberryctl are replaced one by one. A newer node may say more than
# an older mulberryctl knows, and the known part must still be readable; a
# field that is added to a released report must be NotRequired, or a newer
# mulberryctl would take every older node for one that does not answer.
_OPEN = pydantic.ConfigDict(extra="ignore")


@pydantic.with_config(_OPEN)
class OrderStatus(TypedDict):
    """The latest order of an engine.

    Attributes:
        order_id: Unique.
        action: Such as ``set-role``.
        wanted: What the engine shall be afterwards, such as ``prefill``.
        phase: How far it is.
        in_flight: Not settled yet.
        rule: The rule that it follows from.
        config_version: Version of the configuration with that rule.
        fencing_number: Of the lease under which it was recorded.
        reason: Why it was ordered.
        recorded_unix_s: When the phase was recorded.
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


@pydantic.with_config(_OPEN)
class EngineStatus(TypedDict):
    """One engine as this process sees it.

    Attributes:
        engine_id: Its VM.
        availability_zone: Where it stands.
        seen_role: The role that it reported, or ``unknown``.
        seen_state: The state that it reported, or ``unknown``.
        report_age_s: Age of that report; None when none came yet.
        wanted_role: What the rules ask for, if they ask for something.
        order: Its latest order.
    """

    engine_id: str
    availability_zone: str
    seen_role: str
    seen_state: str
    report_age_s: float | None
    wanted_role: NotRequired[str | None]
    order: NotRequired[OrderStatus | None]


@pydantic.with_config(_OPEN)
class PlatformStatus(TypedDict):
    """How old the process's picture of the platform is.

    Attributes:
        key_value_age_s: Since the last answer of the key-value service; None
            when none came yet.
        vm_list_age_s: Since the last read of the VM list; None likewise.
    """

    key_value_age_s: float | None
    vm_list_age_s: float | None


@pydantic.with_config(_OPEN)
class LeaseStatus(TypedDict):
    """The zone's controller lease as this process sees it.

    Attributes:
        held: This process may give orders.
        fencing_number: Of the lease it holds, else of the last it held.
        holder_vm_id: Who holds it, as far as known.
    """

    held: bool
    fencing_number: int
    holder_vm_id: NotRequired[str]


@pydantic.with_config(_OPEN)
class RuleStatus(TypedDict):
    """What the rules said at the last evaluation.

    Attributes:
        rule_name: The rule that counts, or ``default``.
        undecided: It is not known whether it matches; nothing is changed.
        explanation: Rule, version, inputs and their age, for an operator.
    """

    rule_name: str
    undecided: bool
    explanation: str


@pydantic.with_config(_OPEN)
class SituationStatus(TypedDict):
    """What the rules were evaluated on, for dry runs of other rules.

    Attributes:
        availability_zone: The zone that is ruled.
        utc_minute: Minute of the UTC day.
        prefill_share: Prefill's share of the work; None when unknown.
        queue_delay_s: None when unknown.
        engines_lost_count: None when unknown.
        customer_requests_per_s: By customer.
        model_requests_per_s: By model.
        absent_requests_per_s: Of those absent there; None when unknown.
        rates_age_s: Age of both kinds of rates; None when unknown.
        rates_given_up: No condition on them holds, as too few routers have
            told them for long.
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


@pydantic.with_config(_OPEN)
class StatusReport(TypedDict):
    """The body of ``GET /status``.

    Attributes:
        vm_id: Name of the entry VM.
        availability_zone: Where it stands.
        program: ``router`` or ``controller``.
        config_version: Version in force in this process; 0 when none is.
        ready: Whether it takes work.
        engines: The zone's engines, as it sees them.
        platform: Age of its picture of the platform.
        lease: Of controllers.
        rule: Of controllers.
        situation: Of controllers; what the rules were evaluated on.
        counts: Totals that help an operator, by name.
        audit: Latest changes of state, oldest first; the server adds them.
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
    audit: NotRequired[list[AuditLine]]


ADAPTER: pydantic.TypeAdapter[StatusReport] = pydantic.TypeAdapter(StatusReport)
