"""The promises that a soak holds against what callers and servers saw.

* An answer of success is the request's own, vouched for, and whole, if its end
  is marked.
* A request that may run once ran at most once.
* A request that was refused as not run did not run.
* A stream's events are its own and follow each other without a gap.
* A stream holds events of one software version, also one that is taken up.
* A request ends without a whole answer only if its gateway was killed, the
  way to it was harmed, or no gateway was there to take it; a stream also if
  its servers failed it.
* The final answer comes soon after the caller's deadline.
* Once the faults have ended, requests are served again.

Those to servers are in ``server_promises`` and ``limit_promises``, those on
customers' API keys in ``customer_promises``.
"""

import collections
import re
from collections.abc import Iterator

from mulberrywharf import server_limits
from mulberrywharf.policy import limit_grants, limit_ownership
from soak import (
    calls,
    charge_promises,
    customer_promises,
    fleet,
    limit_promises,
    repeat_promises,
    server_promises,
    version_promises,
)

RECOVERY_S = 3.0
"""After the last fault; suspicion of a server lasts a second or two, and a
store that was away is asked again after some hundred ms."""

RECOVERED_S = 1.5
"""How long callers go on behind that."""

_TRIAL_S = limit_ownership.SETTLE_S + server_limits.ASK_AGAIN_S
"""Behind a start of a gateway. Until its owners are settled, a server that
accepted no requests is tried once in ``SETTLE_S``; more tries might exceed its
limit, as another gateway may take itself for the owner."""

_REFUSED_BY_LIMIT = re.compile(rb"not run: (\S+) accepts (\S+) requests per")
_RECOVERED_SHARE = 0.9
_RECOVERED_LEAST_COUNT = 20
_KILL_GRACE_S = 0.3
_LATEST_S = calls.DEADLINE_MS / 1000 + 2.5
"""A gateway ends a request at its deadline; pauses of its process add up to a
second or two, and the soak shares its cores."""

_EVENTS_COUNT = 5
_UNAVAILABLE_STATUS = 503
_PROMISES_NOT_RUN = frozenset({429, _UNAVAILABLE_STATUS})
_EXPECTED = frozenset({200, 401, 500, 502, 503, 504})


class Judge:
    """Holds one seed's calls against the promises."""

    def __init__(self, played: fleet.Fleet, healed_s: float):
        """Makes a judge.

        Args:
            played: What the calls went through.
            healed_s: Monotonic time at which the last fault had ended.
        """
        self._fleet = played
        self._healed_s = healed_s

    def broken(self, made: list[calls.Call]) -> list[str]:
        """Returns a line for each promise that was broken."""
        runs: collections.Counter[str] = collections.Counter()
        for server in self._fleet.all_servers.values():
            runs.update(run["id"] for run in server.runs)
        lines = [
            f"{call.kind} {call.request_id}: {reason}"
            for call in made
            for reason in self.broken_by(call, runs[call.request_id])
        ]
        others = [
            call
            for call in made
            if not call.is_culprit and call.key == fleet.STATIC_KEY
        ]
        lines += list(self._not_recovered(others))
        lines += list(version_promises.broken(self._fleet, made))
        judge = server_promises.ServerJudge(self._fleet, made)
        lines += judge.broken()
        lines += list(limit_promises.broken(self._fleet, made))
        lines += list(repeat_promises.broken(self._fleet, made))
        lines += list(charge_promises.broken(self._fleet, made))
        return lines + list(customer_promises.broken(self._fleet, made))

    def broken_by(self, call: calls.Call, runs_count: int) -> Iterator[str]:
        """Yields what one call shows.

        Args:
            call: The call.
            runs_count: How often servers ran its request.
        """
        if call.kind == "unsafe" and runs_count > 1:
            yield f"ran {runs_count} times"
        if call.status in _PROMISES_NOT_RUN and runs_count:
            yield f"refused with {call.status} and ran"
        if call.status and call.status not in _EXPECTED:
            yield f"answered {call.status}"
        if call.status == 200:
            yield from _wrong_answer(call)
        if not self._is_excused(call):
            yield from _unfinished(call)

    def _is_excused(self, call: calls.Call) -> bool:
        """Tells whether something between caller and gateway was harmed.

        What a connection suffered while it rested shows only with the next
        request on it, so its whole life counts.
        """
        if call.has_left or not call.is_reached:
            return True
        way = f"callers-{call.gateway}"
        ended_s = call.ended_s + _KILL_GRACE_S
        was_harmed = any(
            name == way and began_s <= ended_s and call.connected_s <= to_s
            for name, began_s, to_s in self._fleet.harms
        )
        was_killed = any(
            index == call.gateway
            and call.connected_s - _KILL_GRACE_S <= at_s <= ended_s
            for index, at_s in self._fleet.kills
        )
        return was_harmed or was_killed

    def _not_recovered(self, made: list[calls.Call]) -> Iterator[str]:
        since_s = self._healed_s + RECOVERY_S
        served_ids = {one.request_id for one in made if one.status == 200}
        late = [
            call
            for call in made
            if call.began_s >= since_s
            and not self._awaits_trial(call, served_ids)
        ]
        if len(late) < _RECOVERED_LEAST_COUNT:
            yield f"only {len(late)} calls after the faults"
            return
        served = [call for call in late if call.status == 200 and call.is_whole]
        if len(served) < _RECOVERED_SHARE * len(late):
            yield f"served {len(served)} of {len(late)} after the faults"

    def _awaits_trial(self, call: calls.Call, served_ids: set[str]) -> bool:
        """Tells whether a server was to be tried before a refused call.

        It accepted no requests when it last answered any gateway, but for the
        time in which gateways tell each other, and the owners of its limit
        were not settled.
        """
        refused = _REFUSED_BY_LIMIT.search(call.body)
        if call.status != _UNAVAILABLE_STATUS or refused is None:
            return False
        last_start_s = max(
            (ready_s for _, _, ready_s in self._fleet.starts), default=0.0
        )
        came = [
            one
            for server in self._fleet.all_servers.values()
            for one in server.arrivals
            if one.server_id == refused[1].decode() and one.at_s < call.ended_s
        ]
        stated_s = max((one.at_s for one in came if one.limits), default=0.0)
        has_ended = any(
            stated_s < one.at_s <= call.began_s - server_limits.ASK_AGAIN_S
            and one.request_id in served_ids
            for one in came
        )
        return (
            not has_ended
            and float(refused[2]) < limit_grants.TRIAL_PER_S
            and call.began_s <= last_start_s + _TRIAL_S
        )


def _unfinished(call: calls.Call) -> Iterator[str]:
    if call.status == 0:
        yield "no answer"
    elif not call.is_whole and call.kind != "stream":
        yield "cut"
    if call.ended_s - call.began_s > _LATEST_S:
        yield f"ended after {call.ended_s - call.began_s:.1f} s"


def _wrong_answer(call: calls.Call) -> Iterator[str]:
    if not call.has_receipt:
        yield "no receipt"
    if call.kind != "stream":
        is_complete = call.is_whole and call.is_marked
        if is_complete and call.request_id.encode() not in call.body:
            yield "the answer of another request"
        return
    events = calls.EVENT.findall(call.body)
    numbers = [int(number) for number, _, _ in events]
    first = call.last_event_id + 1
    if numbers != list(range(first, first + len(numbers))):
        yield f"events {numbers}"
    if any(owner != call.request_id.encode() for _, owner, _ in events):
        yield "events of another request"
    if not call.is_whole:
        return
    if call.is_marked and call.last_number != _EVENTS_COUNT:
        yield f"ended as whole after {len(numbers)} events"
    is_over = call.last_event_id == _EVENTS_COUNT
    if calls.EVENT.sub(b"", call.body) or not (numbers or is_over):
        yield f"ended inside an event or before any: {call.body[-20:]!r}"
