"""Encodes duty calls in the format of the operators' platform."""

import orjson

from mulberrywharf.duties import client
from mulberrywharf.platform import headers


class DutyDialect:
    """Encodes the calls that the holder of a duty sends."""

    def encode_usage(
        self, report: client.UsageReport, identity: client.HolderIdentity
    ) -> client.DutyCall:
        """Returns the call that reports usage."""
        body = {"window-number": report.window, "counts": dict(report.counts)}
        return _call("/usage", body, identity)

    def encode_capacity(
        self, order: client.ServiceOrder, identity: client.HolderIdentity
    ) -> client.DutyCall:
        """Returns the call that orders engines."""
        body: dict[str, object] = {
            "service": order.service,
            "zone": order.availability_zone,
            "desired-count": order.desired_count,
        }
        if order.is_reclaimable:
            body["spot"] = True
        return _call("/scale", body, identity)


def _call(
    path: str, body: dict[str, object], identity: client.HolderIdentity
) -> client.DutyCall:
    return client.DutyCall(
        path,
        orjson.dumps(body),
        {
            "content-type": "application/json",
            headers.DUTY_HOLDER: identity.holder,
            headers.FENCING_NUMBER: str(identity.number),
        },
    )
