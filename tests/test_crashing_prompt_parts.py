"""Tests of prompt parts that crash engines, sent through real gateways."""

import itertools
import time
import unittest
from typing import NamedTuple

import gevent

from tests import processes, test_crashing_requests, test_gateway

CRASHES_LIMIT_COUNT = 5
"""Crashes after which operators limit further requests with the part."""

CRASHES_AIM_COUNT = 3

_CULPRIT = "0dead0"
_BODY_MARK = "has the part"
_PARTS = "HTTP_X_MULBERRYWHARF_PROMPT_PREFIX"
_SHARED_PARTS = ("a1", "b2", "c3")
_LENGTH_S = 14.0
_CULPRIT_PAUSE_S = 0.35
_SOUND_PAUSE_S = 0.15
_SETTLED_S = 1.0


class SoundAnswer(NamedTuple):
    """The answer to a request without the part.

    Attributes:
        at_s: Monotonic time at which the request was sent.
        status: HTTP status.
    """

    at_s: float
    status: int


class CrashingPartTest(test_crashing_requests.CrashCase):
    """Requests with one common part, no two alike, crashed all engines."""

    def setUp(self) -> None:
        super().setUp()
        for server in self.servers:
            server.crash_on = _BODY_MARK
        self.numbers = itertools.count()
        self.sound: list[SoundAnswer] = []

    def ask_with_parts(
        self, gateway: processes.Process, parts: tuple[str, ...], body: str
    ) -> int:
        """Sends a request whose last part and body no other request has."""
        number = next(self.numbers)
        entries = [f"{part}:400" for part in (*parts, f"e{number:x}")]
        fields = (
            "x-mulberrywharf-model: m\r\n"
            f"x-mulberrywharf-token-usage: {400 * len(entries)},50\r\n"
            f"x-mulberrywharf-prompt-prefix: {','.join(entries)}\r\n"
        )
        with self.connection_to(gateway) as sock:
            sock.sendall(
                test_gateway.request(
                    "/stream/x", body=f"{body} {number}", fields=fields
                )
            )
            return test_gateway.Answer(test_gateway.read_to_end(sock)).status

    def send_culprits(self, place: int, until_s: float) -> None:
        for gateway in itertools.cycle(self.gateways):
            if time.monotonic() > until_s:
                return
            parts = list(_SHARED_PARTS)
            parts[place] = _CULPRIT
            gevent.spawn(self.ask_with_parts, gateway, tuple(parts), _BODY_MARK)
            gevent.sleep(_CULPRIT_PAUSE_S)

    def send_sound(self, gateway: processes.Process, until_s: float) -> None:
        while time.monotonic() < until_s:
            at_s = time.monotonic()
            status = self.ask_with_parts(gateway, _SHARED_PARTS, "sound")
            self.sound.append(SoundAnswer(at_s, status))
            gevent.sleep(_SOUND_PAUSE_S)

    def play(self, place: int) -> None:
        self.start_two()
        until_s = time.monotonic() + _LENGTH_S
        gevent.joinall(
            [
                gevent.spawn(self.send_culprits, place, until_s),
                *(
                    gevent.spawn(self.send_sound, gateway, until_s)
                    for gateway in self.gateways
                ),
            ],
            raise_error=True,
        )

    def culprits_since(self, since_s: float) -> int:
        """Counts the requests with the part that reached servers."""
        return sum(
            arrival.at_s > since_s and _CULPRIT in headers.get(_PARTS, "")
            for server in self.servers
            for arrival, headers in zip(
                server.arrivals, server.request_headers, strict=True
            )
        )

    def check_crashes_are_limited(self, place: int) -> None:
        self.play(place)
        crashes = self.crashes()
        self.assertGreater(len(crashes), 1)
        if len(crashes) >= CRASHES_LIMIT_COUNT:
            told_s = (
                crashes[CRASHES_LIMIT_COUNT - 1]
                + test_crashing_requests.TOLD_WITHIN_S
            )
            self.assertLessEqual(
                self.culprits_since(told_s),
                test_crashing_requests.SENDS_LIMIT_COUNT,
            )
        self.assertLessEqual(len(crashes), CRASHES_AIM_COUNT)
        settled = [
            answer.status
            for answer in self.sound
            if answer.at_s > crashes[-1] + _SETTLED_S
        ]
        self.assertGreater(len(settled), 50)
        self.assertEqual(set(settled), {200})

    def test_first_part(self) -> None:
        self.check_crashes_are_limited(0)

    def test_part_in_the_middle(self) -> None:
        self.check_crashes_are_limited(1)

    def test_last_shared_part(self) -> None:
        self.check_crashes_are_limited(2)


if __name__ == "__main__":
    unittest.main()
