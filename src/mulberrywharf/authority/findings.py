"""What can be the matter with one engine, and what is known of it."""

from typing import NamedTuple

from mulberrywharf import fleet
from mulberrywharf.authority import order_records
from mulberrywharf.engines import orders

OrderRecord = order_records.OrderRecord


class WantedEngine(NamedTuple):
    """The state that the rules describe for one engine.

    Attributes:
        role: Role to take, or empty when the rules leave it open.
        model: Model to have loaded, or empty when left open.
        adapter: Adapter to have loaded, or empty.
        version: Version of the weights, or empty.
        drained: Whether it shall take no work.
        rule: Name of the rule that says so.
        config_version: Version of the configuration that holds the rule.
        reason: Why, for operators.
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
    """All that is known of one engine at one instant.

    Attributes:
        engine_id: The engine.
        wanted: What the rules want, None while that is unknown.
        record: Its latest order record, or None.
        report: What it says of itself, or None. Reports lag.
        accepted_unix_s: Wall clock at which it last accepted the order in
            flight from this process, or 0.
    """

    engine_id: str
    wanted: WantedEngine | None
    record: OrderRecord | None
    report: fleet.LoadReport | None
    accepted_unix_s: float = 0.0


class Holder(NamedTuple):
    """Who reconciles.

    Attributes:
        fencing_number: Of the lease.
        quiet: True while old orders may still arrive at the engine.
        clock_margin_s: Allowed error between the engine's clock and ours.
    """

    fencing_number: int
    quiet: bool
    clock_margin_s: float = 0.0


class InOrder(NamedTuple):
    """Nothing is to be done."""


class Unseen(NamedTuple):
    """The engine gave no report; nothing is ordered without one."""


class Waiting(NamedTuple):
    """An order is on its way and runs as recorded.

    Attributes:
        why: What is waited for.
    """

    why: str


class Applied(NamedTuple):
    """The engine says that it has carried out the order in flight."""

    record: OrderRecord


class Broken(NamedTuple):
    """The engine took the order on and failed in the middle of it."""

    record: OrderRecord


class Unfinished(NamedTuple):
    """The order in flight is still wanted; go on with it.

    Attributes:
        record: The order.
        draining: Whether the engine says that it takes no new work.
        idle: Whether it has finished all its work besides.
    """

    record: OrderRecord
    draining: bool
    idle: bool


class Undrained(NamedTuple):
    """The engine drained for the order in flight, and serves again."""

    record: OrderRecord


class Superseded(NamedTuple):
    """The order in flight is not wanted any more and can be dropped."""

    record: OrderRecord


class Astray(NamedTuple):
    """The engine is in a state that the rules don't describe.

    Attributes:
        action: The order that mends it.
        wanted: What the rules want.
        unordered: True when its last settled order doesn't explain the state
            either, as after a crash in mid-change.
        needs_drain: Whether it has to finish its work first.
    """

    action: orders.OrderAction
    wanted: WantedEngine
    unordered: bool
    needs_drain: bool


Finding = (
    InOrder
    | Unseen
    | Waiting
    | Applied
    | Broken
    | Unfinished
    | Undrained
    | Superseded
    | Astray
)
