"""Orders to engines and their reports, as the platform writes them."""

from collections.abc import Mapping

import orjson
from result import Err, Ok, Result

from mulberrywharf import _exchange, errors, fleet
from mulberrywharf.engines import role_orders
from mulberrywharf.platform import headers, server_records

_MALFORMED = (KeyError, TypeError, ValueError, OverflowError)


class OrderDialect:
    """Writes orders and reads reports.

    Attributes:
        report_request: Asks an engine for its report.
        order_path: Where engines take orders.
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
                # The number of orders accepted, not a place in a sequence.
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
        """Reads a report."""
        try:
            fields = orjson.loads(body)
            return Ok(
                role_orders.EngineReport(
                    role=server_records.ROLES[fields["stage"]],
                    running_count=int(fields["running"]),
                    waiting_count=int(fields["waiting"]),
                    # ``busy`` means that an order is under way, not that the
                    # engine has much to do.
                    is_changing=bool(fields["busy"]),
                    accepted_count=int(fields["sequence"]),
                    started_unix_ms=server_records.started_unix_ms(fields),
                )
            )
        except _MALFORMED as error:
            message = f"{server.address} gave no report: {error!r}"
            return Err(errors.AnswerLostError(message))
