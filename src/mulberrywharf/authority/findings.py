"""Known facts about an engine, and the results of comparing states.

The wanted state of the engine is compared with its actual state; each possible
result is a finding.
"""

from typing import NamedTuple

from mulberrywharf import fleet
from mulberrywharf.authority import order_records
from mulberrywharf.engines import orders

OrderRecord = order_records.OrderRecord


class WantedEngine(NamedTuple):
    """The wanted state of an engine, according to the rules.

    Attributes:
        role: Wanted role, or empty if the rules do not specify one.
        model: Model that is to be loaded, or empty if not specified.
        adapter: Adapter that is to be loaded, or empty.
        version: Version of the weights, or empty.
        drained: Whether the engine is to accept no work.
        rule: Name of the rule that requires this state.
        config_version: Version of the configuration that contains the rule.
        reason: Why this state is wanted, for operators.
    """

    role: str = ""
    model: str = ""
    adapter: str = ""
    version: str = ""
    drained: bool = False
    rule: str = ""
    config_version: int = 0
    reason: str = ""


class EngineFacts(NamedTuple):
    """What is known about one engine at one time.

    Attributes:
        engine_id: Id of the engine.
        wanted: Wanted state, or None while it is unknown.
        record: Latest order record, or None.
        report: Latest report of the engine, or None. It may lag.
        accepted_unix_s: Wall clock time at which the engine first accepted the
            order that this process sent in the current phase (the drain order
            or the order itself), or 0.
    """

    engine_id: str
    wanted: WantedEngine | None
    record: OrderRecord | None
    report: fleet.LoadReport | None
    accepted_unix_s: float = 0.0


class Holder(NamedTuple):
    """What this process knows about its lease, for one engine.

    Attributes:
        fencing_number: Fencing number of the lease.
        is_waiting: True while orders of a previous holder may still arrive at
            the engine; no order may be sent then.
        clock_margin_s: Maximum error between the clocks of the engine and of
            this process.
    """

    fencing_number: int
    is_waiting: bool
    clock_margin_s: float = 0.0


class NoOrderNeeded(NamedTuple):
    """No order is needed."""


class NoReport(NamedTuple):
    """The engine has not reported; no order is sent without a report."""


class Waiting(NamedTuple):
    """No order may be sent now.

    Attributes:
        why: The reason, for operators.
    """

    why: str


class Applied(NamedTuple):
    """The engine has executed the order in flight."""

    record: OrderRecord


class NotApplied(NamedTuple):
    """The engine accepted the order in flight but did not execute it."""

    record: OrderRecord


class Unfinished(NamedTuple):
    """The order in flight is to be continued.

    It is still wanted, or it may still arrive and is sent again to settle it.

    Attributes:
        record: Record of the order.
        draining: Whether the engine reports that it accepts no new work.
        idle: Whether it has also finished all its work.
    """

    record: OrderRecord
    draining: bool
    idle: bool


class DrainEnded(NamedTuple):
    """The engine was drained for the order in flight but serves again."""

    record: OrderRecord


class Superseded(NamedTuple):
    """The order in flight is no longer wanted and can be dropped."""

    record: OrderRecord


class NotAsDesired(NamedTuple):
    """The engine is not in the wanted state and needs an order.

    Attributes:
        action: Action of the order that corrects it.
        wanted: Wanted state.
        unexplained: For ``set-role``, whether the engine failed or reports
            another role than its last order gave it, for example after a crash
            during a change.
        needs_drain: Whether the engine has to finish its work first.
    """

    action: orders.OrderAction
    wanted: WantedEngine
    unexplained: bool
    needs_drain: bool


Finding = (
    NoOrderNeeded
    | NoReport
    | Waiting
    | Applied
    | NotApplied
    | Unfinished
    | DrainEnded
    | Superseded
    | NotAsDesired
)
