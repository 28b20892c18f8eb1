"""The promise that each repeat is charged, request by request.

Compares what came to the servers with what the gateways logged as charged.
"""

import collections
from collections.abc import Iterable, Iterator

import orjson

from proofs import repeat_windows
from soak import calls, fleet

LOST_LOG_S = 0.5
"""A gateway that is killed loses what it logged shortly before."""

_COUNT_BY_MESSAGE = {
    "repeat charged": 1,
    "repeat borrowed": 1,
    "repeat refunded": -1,
}


def broken(played: fleet.Fleet, made: list[calls.Call]) -> Iterator[str]:
    """Yields a line for each request with more repeats than charges."""
    charged = _charged(played.log_lines())
    arrivals = _arrivals(played)
    for call in made:
        came = arrivals[call.request_id]
        repeats_count = len(repeat_windows.repeats(came))
        charged_count = charged[call.request_id]
        if repeats_count > charged_count and not _lost_log(played, came):
            yield (
                f"{call.kind} {call.request_id}: {repeats_count} repeats,"
                f" {charged_count} charged"
            )


def _charged(lines: Iterable[str]) -> collections.Counter[str]:
    charged: collections.Counter[str] = collections.Counter()
    for line in lines:
        # The last line of a killed gateway may be cut.
        if '"repeat ' in line and line.endswith("}\n"):
            fields = orjson.loads(line)
            request_id = fields.get("request_id", "")
            charged[request_id] += _COUNT_BY_MESSAGE.get(fields["message"], 0)
    return charged


def _arrivals(
    played: fleet.Fleet,
) -> dict[str, dict[repeat_windows.Arrival, int | None]]:
    """Returns each request's arrivals, and the gateways that sent them."""
    found: dict[str, dict[repeat_windows.Arrival, int | None]]
    found = collections.defaultdict(dict)
    for server in played.all_servers.values():
        for came in server.arrivals:
            arrival = repeat_windows.Arrival(
                came.at_s, came.request_id, came.is_accepted_prefill
            )
            found[came.request_id][arrival] = played.sender_of(came)
    return found


def _lost_log(
    played: fleet.Fleet, came: dict[repeat_windows.Arrival, int | None]
) -> bool:
    return any(
        sender == index
        and arrival.at_s - LOST_LOG_S < killed_s
        and killed_s < arrival.at_s + LOST_LOG_S
        for arrival, sender in came.items()
        for index, killed_s in played.kills
    )
