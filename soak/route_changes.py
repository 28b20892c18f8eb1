"""Changes of the routes beside the faults, and when they are in force.

Callers ask each gateway for the paths of the newest versions. At gateways in
touch with a store that answers, a change is in force in time whatever becomes
of watches and other gateways; no gateway returns to an older version.
"""

import contextlib
import itertools
import random
import time
from collections.abc import Iterator

import gevent

from mulberrywharf.platform import headers
from proofs import routes_in_force
from soak import fleet
from tests import builders_routes as build
from tests.test_gateway import Answer, read_to_end

_CHANGE_PAUSE_S = (0.3, 3.5)
_HELD_S = (0.5, 4.0)
_TROUBLE_CHANCE = 0.4
_POLL_S = 0.1
_ANSWER_TIMEOUT_S = 3.0


def change_routes(
    played: fleet.Fleet, rng: random.Random, length_s: float
) -> None:
    """Changes the routes, some changes while watches are behind.

    Args:
        played: The fleet whose routes change.
        rng: Decides pauses, troubles and their gateways.
        length_s: How long changes are begun.
    """
    ends_s = time.monotonic() + length_s
    holding = []
    while time.monotonic() < ends_s:
        gevent.sleep(rng.uniform(*_CHANGE_PAUSE_S))
        index = rng.randrange(fleet.GATEWAYS_COUNT)
        is_troubled = rng.random() < _TROUBLE_CHANCE
        hangs = rng.random() < 0.5
        held_s = rng.uniform(*_HELD_S)
        if is_troubled and hangs:
            played.store.hang_watches()
        elif is_troubled:
            holding.append(gevent.spawn(_hold, played, index, held_s))
            gevent.sleep(0)
        played.change_routes()
    gevent.joinall(holding)


def _hold(played: fleet.Fleet, index: int, length_s: float) -> None:
    port = played.view_port(index)
    played.store.hold_watches(port)
    gevent.sleep(length_s)
    played.store.free_watches(port)


class Caller:
    """Asks one gateway for the paths of the newest versions.

    Attributes:
        seen: What the answers tell.
    """

    def __init__(self, played: fleet.Fleet, index: int):
        self.seen: list[routes_in_force.Seen] = []
        self._fleet = played
        self._index = index

    def run(self) -> None:
        """Asks until the run is over."""
        for number in itertools.count():
            if self._fleet.is_over:
                return
            behind = number % (routes_in_force.KEPT_COUNT - 1)
            newest = len(self._fleet.route_writes)
            gevent.spawn(self._ask, max(1, newest - behind), number)
            gevent.sleep(_POLL_S)

    def _ask(self, version: int, number: int) -> None:
        boot = self._fleet.boots_count(self._index)
        sent_s = time.monotonic()
        try:
            with gevent.Timeout(_ANSWER_TIMEOUT_S):
                answer = Answer(self._exchange(version, number))
        except (OSError, ValueError, IndexError, gevent.Timeout):
            return
        ended_boot = self._fleet.boots_count(self._index)
        receipt = answer.headers.get("x-mulberrywharf-response-signature")
        is_served = answer.status == 200 and bool(receipt)
        if boot != ended_boot or not (is_served or answer.status == 404):
            return
        self.seen.append(
            routes_in_force.Seen(
                self._index,
                boot,
                sent_s,
                time.monotonic(),
                version,
                0 if is_served else None,
            )
        )

    def _exchange(self, version: int, number: int) -> bytes:
        address = (fleet.LOOPBACK, self._fleet.callers_port(self._index))
        with contextlib.closing(
            gevent.socket.create_connection(address)
        ) as sock:
            sock.sendall(
                (
                    f"GET /v{version}/x HTTP/1.1\r\nhost: {build.HOST}\r\n"
                    f"x-mulberrywharf-request-id: r{self._index}-{number}\r\n"
                    f"{headers.CUSTOMER_KEY}: {fleet.STATIC_KEY}\r\n"
                    "x-mulberrywharf-deadline-ms: 2000\r\n"
                    "connection: close\r\n\r\n"
                ).encode()
            )
            return read_to_end(sock)


def broken(
    played: fleet.Fleet, seen: list[routes_in_force.Seen]
) -> Iterator[str]:
    """Yields a line for each gateway whose routes were late or older."""

    def is_in_touch(index: int, at_s: float) -> bool:
        return not any(
            began_s <= at_s <= ended_s + routes_in_force.CONTACT_S
            for began_s, ended_s in played.outages(index)
        )

    judged = routes_in_force.judge(seen, played.route_writes, is_in_touch)
    for index in range(fleet.GATEWAYS_COUNT):
        cases = [one for one in judged.cases if one.gateway == index]
        if cases:
            worst = max(cases, key=lambda one: one.late_s)
            yield (
                f"routes not in force at gateway {index}: {len(cases)} cases,"
                f" worst {worst.form} {worst.late_s:.2f} s, {worst.text}"
            )
