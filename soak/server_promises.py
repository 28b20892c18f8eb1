"""The promises to servers, held against what came to them.

* A server whose answer, passed on by a gateway, says that it leaves gets
  nothing from that gateway later than ``LEFT_WITHIN_S`` behind it.
* A server that has refused a gateway and asked for rest gets at most
  ``RESTING_LIMIT_COUNT`` requests from it between ``REST_FROM_S`` behind that
  and the end of the rest.
* A request that ends each server which runs it comes to servers at most
  ``LATE_SENDS_LIMIT_COUNT`` times later than ``TOLD_WITHIN_S`` behind the third
  end, sent by gateways that were not upset meanwhile; requests with a part that
  does so, all together, behind the fifth.
"""

from collections.abc import Iterator
from typing import NamedTuple

from soak import calls, fleet
from standins import platform_server

LEFT_WITHIN_S = 2.0
REST_FROM_S = 0.5
RESTING_LIMIT_COUNT = 2
TOLD_WITHIN_S = 3.0
LATE_SENDS_LIMIT_COUNT = 3
_ENDS_LIMIT_COUNT = 3
_PART_ENDS_LIMIT_COUNT = 5


class _Sent(NamedTuple):
    """A request that came to a server.

    Attributes:
        name: First id of the server.
        arrival: Its arrival.
        call: The call that it belongs to.
        sender: The gateway that sent it.
    """

    name: str
    arrival: platform_server.Arrival
    call: calls.Call
    sender: int | None


class ServerJudge:
    """Holds what came to servers against the promises."""

    def __init__(self, played: fleet.Fleet, made: list[calls.Call]):
        """Makes a judge.

        Args:
            played: What the calls went through.
            made: Every call.
        """
        self._fleet = played
        self._calls = {call.request_id: call for call in made}
        self._arrivals = [
            _Sent(
                name,
                arrival,
                self._calls[arrival.request_id],
                played.sender_of(arrival),
            )
            for name, server in played.all_servers.items()
            for arrival in server.arrivals
            if arrival.request_id in self._calls
        ]

    def broken(self) -> Iterator[str]:
        """Yields a line for each promise that was broken."""
        yield from self._sent_to_leaving()
        yield from self._sent_to_resting()
        yield from self._sent_again()

    def _sent_to_leaving(self) -> Iterator[str]:
        said_s: dict[tuple[int, str], float] = {}
        for call in self._calls.values():
            if call.leaving_id:
                key = call.gateway, call.leaving_id
                said_s[key] = min(call.ended_s, said_s.get(key, call.ended_s))
        for _, arrival, call, sender in self._arrivals:
            if sender is None:
                continue
            since_s = said_s.get((sender, arrival.server_id))
            if since_s is None or call.began_s <= since_s + LEFT_WITHIN_S:
                continue
            if not self._is_upset((sender,), (), since_s, arrival.at_s):
                late_s = call.began_s - since_s
                yield f"{arrival.server_id} leaves, sent {late_s:.2f} s later"

    def _sent_to_resting(self) -> Iterator[str]:
        for name, asked, _, told in self._arrivals:
            if not _is_rest(asked.rest):
                continue
            rest_s = float(asked.rest or 0.0)
            within = [
                arrival
                for _, arrival, _, sender in self._arrivals
                if arrival.server_id == asked.server_id
                and sender == told
                and REST_FROM_S < arrival.at_s - asked.at_s < rest_s
            ]
            is_upset = self._is_upset(
                (told,),
                (f"server-{name}",),
                asked.at_s,
                asked.at_s + rest_s,
            )
            if len(within) > RESTING_LIMIT_COUNT and not is_upset:
                yield f"{asked.server_id} rests, sent {len(within)} times"

    def _sent_again(self) -> Iterator[str]:
        for has_part in (False, True):
            allowed_count = (
                _PART_ENDS_LIMIT_COUNT if has_part else _ENDS_LIMIT_COUNT
            )
            ends_s = sorted(
                at_s
                for server in self._fleet.all_servers.values()
                for at_s, body in server.crashes
                if (body != fleet.CULPRIT) == has_part
            )
            if len(ends_s) < allowed_count:
                continue
            since_s = ends_s[allowed_count - 1] + TOLD_WITHIN_S
            late_count = self._late_sends_count(since_s, has_part)
            if late_count > LATE_SENDS_LIMIT_COUNT:
                what = "a part" if has_part else "a request"
                ends_count = len(ends_s)
                yield f"{what} sent {late_count} times behind {ends_count} ends"

    def _late_sends_count(self, since_s: float, has_part: bool) -> int:
        return sum(
            call.is_culprit
            and call.has_culprit_part == has_part
            and arrival.at_s > since_s
            and not self._is_upset(
                (sender, None),
                _ways(sender, name),
                arrival.at_s - TOLD_WITHIN_S,
                arrival.at_s,
            )
            for name, arrival, call, sender in self._arrivals
        )

    def _is_upset(
        self,
        who: tuple[int | None, ...],
        ways: tuple[str, ...],
        from_s: float,
        to_s: float,
    ) -> bool:
        """Tells whether something excuses a gateway in a span of time.

        Args:
            who: Whose starts, stops and pauses do; None for the store's
                trouble.
            ways: Ways whose harm does.
            from_s: Monotonic begin of the span.
            to_s: Its end.
        """
        spans = [
            (began_s, ended_s)
            for index, began_s, ended_s in self._fleet.upsets
            if index in who
        ]
        spans += [
            (began_s, ended_s)
            for name, began_s, ended_s in self._fleet.harms
            if name in ways
        ]
        return any(
            began_s <= to_s and ended_s >= from_s for began_s, ended_s in spans
        )


def _ways(gateway: int | None, server: str) -> tuple[str, ...]:
    return (
        f"store-{gateway}",
        f"server-{server}",
        f"callers-{gateway}",
        f"path-{gateway}",
    )


def _is_rest(text: str | None) -> bool:
    try:
        return float(text or 0.0) > 0
    except ValueError:
        return False
