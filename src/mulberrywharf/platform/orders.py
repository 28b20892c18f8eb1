"""Encodes role orders and decodes engine reports in the platform's format."""

from collections.abc import Mapping
from typing import Any

import orjson
from result import Err, Ok, Result

from mulberrywharf import _exchange, errors, fleet, stated_numbers
from mulberrywharf.engines import role_orders
from mulberrywharf.platform import headers, server_records

_DECODE_ERRORS = (KeyError, TypeError, ValueError)


class OrderDialect:
    """Format of role orders and engine reports.

    Attributes:
        report_request: The request that fetches a report.
        order_path: URL path to which orders are posted.
    """

    report_request = _exchange.Request("GET", "/report")
    order_path = "/order"

    def encode_order(
        self, order: role_orders.RoleOrder
    ) -> tuple[bytes, Mapping[str, str]]:
        """Returns the body and the header fields of an order."""
        body = orjson.dumps(
            {
                "op": "stage",
                "stage": order.role,
                "holder": order.holder,
                "fencing-token": order.number,
                # The number of orders that the engine has accepted so far.
                "expected": order.expected_count,
            }
        )
        return body, {
            "content-type": "application/json",
            headers.EXPECTED_SERVER: order.server.server_id,
        }

    def decode_report(
        self, server: fleet.Server, body: bytes
    ) -> Result[role_orders.EngineReport, errors.EngineError]:
        """Decodes a report."""
        try:
            fields = orjson.loads(body)
            return Ok(
                role_orders.EngineReport(
                    role=server_records.ROLES[fields["stage"]],
                    running_count=_count(fields, "running"),
                    waiting_count=_count(fields, "waiting"),
                    # ``busy`` means that the engine is executing an order,
                    # not that its load is high.
                    is_changing=bool(fields["busy"]),
                    accepted_count=_count(fields, "sequence"),
                    started_unix_ms=server_records.started_unix_ms(fields),
                )
            )
        except _DECODE_ERRORS as error:
            message = f"{server.address} returned no valid report: {error!r}"
            return Err(errors.AnswerLostError(message))


def _count(fields: Mapping[str, Any], name: str) -> int:
    return stated_numbers.count(fields[name], name)
