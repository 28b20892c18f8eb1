"""The promise that a stream holds events of one software version."""

import collections
from collections.abc import Iterable, Iterator

from soak import calls, fleet


def broken(played: fleet.Fleet, made: Iterable[calls.Call]) -> Iterator[str]:
    """Yields a line for each stream with events of several versions.

    A run made the events between the one that it went on behind and the one
    that the next run went on behind, or the last one that the caller has.

    Args:
        played: The fleet, whose servers know their runs.
        made: Every call.
    """
    runs: dict[str, list[dict[str, str]]] = collections.defaultdict(list)
    for server in played.all_servers.values():
        for run in server.runs:
            runs[run["id"]].append(run)
    versions: dict[str, set[str]] = collections.defaultdict(set)
    for call in made:
        if call.kind == "stream" and call.status == 200:
            made_at = _versions(call, runs[call.request_id])
            versions[call.stream_id] |= made_at
    for name, found in versions.items():
        if len(found) > 1:
            yield f"stream {name}: events of {sorted(found)}"


def _versions(call: calls.Call, runs: list[dict[str, str]]) -> set[str]:
    by_time = sorted(runs, key=lambda run: float(run["at_s"]))
    starts = [int(run["after"] or 0) for run in by_time]
    ends = [*starts[1:], call.last_number]
    return {
        run["version"]
        for run, start, end in zip(by_time, starts, ends, strict=False)
        if end > start
    }
