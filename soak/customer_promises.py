"""The promises on customers' API keys, checked against servers and callers.

* A server receives the name of the customer that owns the request's key, and
  never the key itself.
* A request that begins later than ``fleet.REVOCATION_BOUND_S`` after its key
  was revoked does not run, even if its gateway was partitioned from the store,
  suspended or restarted. ``_is_excused_by_restore`` describes the exception.
* A request with the static key, which is never revoked, is not answered with
  401.
"""

from collections.abc import Iterator, Sequence

from soak import calls, fleet

_UNAUTHORIZED_STATUS = 401
_CUSTOMER_HEADER = "HTTP_X_MULBERRYWHARF_TENANT_ID"
_REQUEST_ID_HEADER = "HTTP_X_MULBERRYWHARF_REQUEST_ID"


def broken(played: fleet.Fleet, made: Sequence[calls.Call]) -> Iterator[str]:
    """Yields a line for each promise that was broken."""
    by_id = {call.request_id: call for call in made}
    for server in played.all_servers.values():
        for headers in server.request_headers:
            call = by_id.get(headers.get(_REQUEST_ID_HEADER, ""))
            if call is not None:
                yield from _broken_by_headers(call, headers)
        for run in server.runs:
            call = by_id.get(run["id"])
            if call is not None and _violates_revocation_bound(played, call):
                yield (
                    f"{call.request_id}: ran with a revoked key;"
                    f" {_evidence(played, call)}"
                )
    for call in made:
        if call.status == _UNAUTHORIZED_STATUS and call.key == fleet.STATIC_KEY:
            yield f"{call.request_id}: 401 for a valid key"


def _broken_by_headers(
    call: calls.Call, headers: dict[str, str]
) -> Iterator[str]:
    expected = (
        fleet.STATIC_KEY_CUSTOMER
        if call.key == fleet.STATIC_KEY
        else fleet.ROTATING_KEY_CUSTOMER
    )
    customer = headers.get(_CUSTOMER_HEADER)
    if customer != expected:
        yield f"{call.request_id}: ran for customer {customer}"
    if any(call.key in value for value in headers.values()):
        yield f"{call.request_id}: API key forwarded to a server"


def _violates_revocation_bound(played: fleet.Fleet, call: calls.Call) -> bool:
    revoked_s = played.revoked_at_s.get(call.key)
    if revoked_s is None:
        return False
    if call.began_s <= revoked_s + fleet.REVOCATION_BOUND_S:
        return False
    return not _is_excused_by_restore(played, call, revoked_s)


def _evidence(played: fleet.Fleet, call: calls.Call) -> str:
    """Returns when the request began, and what befell its gateway before."""
    revoked_s = played.revoked_at_s[call.key]
    upset = [
        *(
            ("start", *span)
            for index, *span in played.starts
            if index == call.gateway
        ),
        *(
            ("upset", *span)
            for index, *span in played.upsets
            if index in (None, call.gateway)
        ),
        *(("restore", *span) for span in played.restores),
        *(
            (way, *span)
            for way, *span in played.harms
            if way == f"store-{call.gateway}"
        ),
    ]
    spans = [
        f"{name} {began_s - call.began_s:.2f} to {ended_s - call.began_s:.2f} s"
        for name, began_s, ended_s in upset
        if began_s <= call.began_s
    ]
    return (
        f"began {call.began_s - revoked_s:.2f} s behind that at gateway"
        f" {call.gateway}, before: {', '.join(spans) or 'nothing'}"
    )


def _is_excused_by_restore(
    played: fleet.Fleet, call: calls.Call, revoked_s: float
) -> bool:
    """Tells whether the gateway started during a restore of the store.

    A gateway that starts while the store holds an older copy cannot detect the
    restore, and accepts the keys in that copy until the routes are written
    again.
    """
    return any(
        began_s <= started_s
        and start_s <= ended_s
        and revoked_s <= ended_s
        and call.began_s <= ended_s + fleet.REVOCATION_BOUND_S
        for began_s, ended_s in played.restores
        for index, start_s, started_s in played.starts
        if index == call.gateway
    )
