"""Answers that servers end behind any byte, by a close, a reset or silence."""

import unittest
import unittest.mock
from typing import Any

from mulberrywharf import _connections, errors
from mulberrywharf.policy import repeat_budget
from standins import raw_answers
from tests import builders_routes as build
from tests import test_generation, test_plain_call

EVENTS = tuple(test_generation.event(number) for number in (1, 2, 3))
STREAM = b"".join(EVENTS)
WHOLE_EVENTS = {b"".join(EVENTS[:count]) for count in range(4)}
SIGNED = (
    ("x-mulberrywharf-response-signature", "r"),
    ("x-mulberrywharf-request-id", "request-1"),
)
FRAMINGS: tuple[raw_answers.Framing, ...] = (
    "chunks",
    "length",
    "none",
    "http/1.0",
)
SILENCE_S = 0.05


def cut_script(answer: raw_answers.RawAnswer) -> Any:
    def script(sock: Any, _: bytes) -> None:
        sock.sendall(answer.encode()[: answer.cut_at])
        if answer.end == "silent":
            sock.recv(1)
        elif answer.end == "reset":
            _connections.reset_on_close(sock)
        sock.close()

    return script


def cuts(
    answer: raw_answers.RawAnswer, end: raw_answers.End
) -> list[raw_answers.RawAnswer]:
    """Returns the answer cut behind each of its bytes."""
    size = len(answer.encode())
    return [answer._replace(cut_at=at, end=end) for at in range(size)]


class CutStreamTest(test_generation.GenerationCase):
    def setUp(self) -> None:
        super().setUp()
        # Probes of the servers would take most of the time.
        self.enterContext(
            unittest.mock.patch.object(self.crashes, "note_connection_lost")
        )
        self.budget = repeat_budget.RepeatBudget(
            repeat_budget.RepeatBudgetSettings(allowance_count=100_000.0)
        )

    def check(self, cut: raw_answers.RawAnswer) -> None:
        sound = self.respond_with(
            test_generation.HEAD + test_generation.chunks(*EVENTS)
        )
        broken = self.decode_engine(cut_script(cut))
        for engines in ((broken, sound), (sound, broken)):
            answer = self.open(*engines)
            received = b"".join(answer.blocks)
            if answer.state.is_framed:
                self.assertEqual(received, STREAM)
            else:
                # The end proves nothing, and no event is cut.
                self.assertIn(received, WHOLE_EVENTS - {b""})
        once = self.decode_engine(cut_script(cut))
        try:
            answer = self.open(once, kind=test_generation.NOT_RESUMABLE)
            received = b"".join(answer.blocks)
        except errors.BackEndLostError:
            return
        self.assertIn(received, WHOLE_EVENTS - {b""})
        self.assertFalse(answer.state.is_framed)

    def test_no_cut_stream_ends_as_a_complete_one(self) -> None:
        ends: tuple[raw_answers.End, ...] = ("close", "reset")
        for framing in FRAMINGS:
            whole = raw_answers.RawAnswer(SIGNED, EVENTS, framing)
            for end in ends:
                for cut in cuts(whole, end):
                    with self.subTest(framing, end=end, cut_at=cut.cut_at):
                        self.check(cut)

    def test_silent_engine_ends_no_stream_as_a_complete_one(self) -> None:
        for framing in FRAMINGS:
            whole = raw_answers.RawAnswer(SIGNED, EVENTS, framing)
            for cut in cuts(whole, "silent")[::9]:
                route = build.route(
                    kind=test_generation.NOT_RESUMABLE,
                    timeout_s=SILENCE_S,
                    has_prompt=True,
                )
                engine = self.decode_engine(cut_script(cut))
                with (
                    self.subTest(framing, cut_at=cut.cut_at),
                    self.assertRaises(errors.RequestError),
                ):
                    list(self.open(engine, route=route).blocks)


class CutCallTest(test_plain_call.CallCase):
    def setUp(self) -> None:
        super().setUp()
        self.enterContext(
            unittest.mock.patch.object(self.crashes, "note_connection_lost")
        )

    def test_no_cut_answer_is_a_complete_one(self) -> None:
        ends: tuple[raw_answers.End, ...] = ("close", "reset")
        for framing in FRAMINGS:
            whole = raw_answers.RawAnswer(SIGNED, [b"fine"], framing)
            for end in ends:
                for cut in cuts(whole, end):
                    with self.subTest(framing, end=end, cut_at=cut.cut_at):
                        self.check(cut)

    def check(self, cut: raw_answers.RawAnswer) -> None:
        server = self.serve(cut_script(cut))
        try:
            answer = self.call(server, kind=test_plain_call.kinds.AtMostOnce())
        except errors.BackEndLostError as error:
            self.assertEqual(error.outcome, "unknown")
        else:
            self.assertFalse(answer.is_framed)
            self.assertTrue(b"fine".startswith(answer.body))
        self.assertEqual(len(server.requests), 1)


if __name__ == "__main__":
    unittest.main()
