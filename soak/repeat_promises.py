"""The promise on repeats, held against what came to servers.

In any window, the servers of a service get at most as many repeats as ``RULE``
allows, from all gateways together. A repeat is not counted while the way to its
server is harmed: the way holds requests back for longer than a kernel would,
and lets them through together.
"""

from collections.abc import Iterator

from proofs import repeat_windows
from soak import calls, fleet

RULE = repeat_windows.Rule(
    fleet.REPEATS["ratio"],
    fleet.REPEATS["window_s"],
    fleet.REPEATS["allowance_count"],
)
HELD_S = 0.5


def broken(played: fleet.Fleet, made: list[calls.Call]) -> Iterator[str]:
    """Yields a line for each service that got too many repeats."""
    request_ids = {call.request_id for call in made}
    for service in ("plain", "engines"):
        sent_s = [
            call.began_s
            for call in made
            if (call.kind == "stream") == (service == "engines")
        ]
        arrivals = {
            repeat_windows.Arrival(
                arrival.at_s, arrival.request_id, arrival.is_accepted_prefill
            ): (f"server-{name}", f"path-{played.sender_of(arrival)}")
            for name, server in played.all_servers.items()
            if fleet.service_of(name) == service
            for arrival in server.arrivals
            if arrival.request_id in request_ids
        }
        repeated_s = [
            repeat.at_s
            for repeat in repeat_windows.repeats(arrivals)
            if not _was_held(played, arrivals[repeat], repeat.at_s)
        ]
        window = repeat_windows.worst(sent_s, repeated_s, RULE)
        if window.excess_count > 0:
            yield (
                f"{service} got {window.taken_count} repeats in"
                f" {RULE.window_s} s; allowed {window.allowed_count:.1f}"
            )


def _was_held(played: fleet.Fleet, ways: tuple[str, ...], at_s: float) -> bool:
    """Tells whether a request may have been held back on its way."""
    return any(
        way in ways and began_s <= at_s <= ended_s + HELD_S
        for way, began_s, ended_s in played.harms
    )
