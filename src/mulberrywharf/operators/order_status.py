"""Converts order records to the format shown to operators."""

from mulberrywharf.authority.order_records import OrderRecord
from mulberrywharf.operators.status import OrderStatus


def order_status(record: OrderRecord) -> OrderStatus:
    """Returns an order record as /status and mulberryctl show it."""
    return OrderStatus(
        order_id=record.order_id,
        action=record.action,
        wanted=record.model or record.role,
        phase=record.phase,
        in_flight=record.in_flight(),
        rule=record.rule,
        config_version=record.config_version,
        fencing_number=record.fencing_number,
        reason=record.reason,
        recorded_unix_s=record.recorded_unix_s,
    )
