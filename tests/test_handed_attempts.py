"""Tests of attempts that are handed over to other gateways."""

from typing import Any

import gevent

from mulberrywharf import errors
from mulberrywharf.forwarding import request
from mulberrywharf.policy import stream_version
from mulberrywharf.routes import kinds
from tests import builders_handover as handovers
from tests import builders_routes as build
from tests.test_generation import HEAD, GenerationCase, chunks, event
from tests.test_plain_call import CallCase, answer

LOST = errors.HelperLostError("the helper is gone")
NOBODY = errors.NoHelperError("no other gateway took the request")
REFUSED = errors.OverloadedError("full", retry_after_s=0.2)
FROM_PEER = request.Handover("other", is_counted=False, is_admitted=False)
ONCE = kinds.AtMostOnce()


class PlainCallTest(CallCase):
    def hand_over(self, *steps: Any, **changes: Any) -> Any:
        self.handovers = handovers.ScriptedHandovers(*steps, **changes)
        return self.handovers

    def test_helper_answers_without_a_try_of_the_own_path(self) -> None:
        own = self.respond_with(answer(b"own"))
        made = self.hand_over(self.respond_with(answer(b"helped")))
        got = self.call(own)
        self.assertEqual((got.body, got.head.status), (b"helped", 200))
        self.assertEqual(own.requests, [])
        (handed,) = made.handed
        self.assertEqual(handed.attempts_left_count, 2)
        self.assertFalse(handed.is_counted)
        self.assertEqual(made.ended_count, 1)

    def test_request_that_found_no_server_is_handed_over(self) -> None:
        made = self.hand_over(
            self.respond_with(answer(b"helped")), prefers=False
        )
        self.assertEqual(self.call(kind=ONCE).body, b"helped")
        self.assertEqual(len(made.handed), 1)

    def test_own_path_serves_when_no_gateway_takes_the_request(self) -> None:
        own = self.respond_with(answer(b"own"))
        self.hand_over(NOBODY)
        self.assertEqual(self.call(own, kind=ONCE).body, b"own")

    def test_refusal_by_everyone_is_not_run(self) -> None:
        self.hand_over(NOBODY, NOBODY)
        self.assertEqual(self.failure(kind=ONCE).outcome, "not-run")

    def test_refusal_of_a_helper_is_final(self) -> None:
        """Guards against a refused request that is tried at all gateways."""
        own = self.respond_with(answer(b"own"))
        made = self.hand_over(REFUSED, self.respond_with(answer(b"other")))
        self.assertIs(self.failure(own), REFUSED)
        self.assertEqual((len(made.handed), own.requests), (1, []))

    def test_lost_helper_may_have_run_the_request(self) -> None:
        """Guards against a second run of a request that must run once."""
        own = self.respond_with(answer(b"own"))
        made = self.hand_over(LOST, self.respond_with(answer(b"other")))
        self.assertEqual(self.failure(own, kind=ONCE).outcome, "unknown")
        self.assertEqual((len(made.handed), own.requests), (1, []))

    def test_idempotent_request_goes_on_at_another_helper(self) -> None:
        made = self.hand_over(LOST, self.respond_with(answer(b"other")))
        self.assertEqual(self.call().body, b"other")
        self.assertEqual(made.handed[1].attempts_left_count, 1)

    def test_route_limits_the_attempts_of_all_gateways(self) -> None:
        made = self.hand_over(LOST, LOST, self.respond_with(answer(b"other")))
        self.assertEqual(self.failure().outcome, "unknown")
        self.assertEqual(len(made.handed), 2)

    def test_not_run_at_the_helper_is_unknown_after_a_lost_attempt(
        self,
    ) -> None:
        """Guards against "not run" for a request that an own server had."""
        own = self.serve(lambda sock, _: sock.close())
        made = self.hand_over(REFUSED, prefers=False)
        self.assertEqual(self.failure(own).outcome, "unknown")
        self.assertEqual(len(made.handed), 1)
        self.assertTrue(made.handed[0].is_counted)

    def test_broken_answer_of_a_helper_is_not_passed_on(self) -> None:
        cut = self.serve(
            lambda sock, _: (sock.sendall(answer(b"fine")[:-2]), sock.close())
        )
        made = self.hand_over(cut)
        self.assertEqual(self.failure(kind=ONCE).outcome, "unknown")
        self.assertEqual((made.lost_count, made.ended_count), (1, 1))

    def test_handed_over_request_is_not_handed_over_again(self) -> None:
        """Guards against loops of gateways that each trust the other."""
        own = self.respond_with(answer(b"own"))
        made = self.hand_over(self.respond_with(answer(b"helped")))
        self.assertEqual(self.call(own, handover=FROM_PEER).body, b"own")
        self.assertEqual(made.handed, [])
        error = self.failure(handover=FROM_PEER)
        self.assertEqual((error.outcome, made.handed), ("not-run", []))

    def test_each_request_counts_once_in_the_retry_budget(self) -> None:
        counted: list[str] = []
        self.budget.note_request = lambda service, now_s: counted.append(
            service
        )
        self.hand_over(self.respond_with(answer(b"helped")))
        self.call()
        self.assertEqual(counted, [])
        own = self.respond_with(answer(b"own"))
        self.call(own, handover=FROM_PEER)
        self.assertEqual(counted, ["service"])
        self.call(own, handover=FROM_PEER._replace(is_counted=True))
        self.assertEqual(counted, ["service"])


class GenerationTest(GenerationCase):
    known_servers = (build.server(role="decode"),)

    def hand_over(self, *steps: Any, **changes: Any) -> Any:
        self.handovers = handovers.ScriptedHandovers(*steps, **changes)
        return self.handovers

    def helped(self, *parts: bytes) -> Any:
        return self.serve(lambda sock, _: sock.sendall(HEAD + chunks(*parts)))

    def test_stream_of_a_helper_passes_unchanged(self) -> None:
        own = self.respond_with(HEAD + chunks(event(9)))
        made = self.hand_over(self.helped(event(1), event(2)))
        self.assertEqual(self.body(own), event(1) + event(2))
        self.assertEqual(own[1].requests, [])
        self.assertEqual(made.ended_count, 1)

    def test_prompt_that_found_no_engine_is_handed_over(self) -> None:
        made = self.hand_over(self.helped(event(1)), prefers=False)
        self.assertEqual(self.body(), event(1))
        self.assertFalse(made.handed[0].is_admitted)

    def test_stream_that_breaks_on_the_way_goes_on_without_a_gap(self) -> None:
        def broken(sock: Any, _: bytes) -> None:
            sock.sendall(
                HEAD + chunks(event(1), event(2), event(3)[:9], end=False)
            )
            sock.close()

        made = self.hand_over(
            self.serve(broken), self.helped(event(2), event(3), event(4))
        )
        body = self.body()
        self.assertEqual(body, b"".join(event(n) for n in (1, 2, 3, 4)))
        self.assertEqual(made.handed[1].routed_request.last_event_id, "2")
        # The server behind it may have broken the stream off.
        self.assertEqual((made.lost_count, made.ended_count), (0, 2))

    def test_helper_that_falls_silent_within_a_stream_counts_as_lost(
        self,
    ) -> None:
        def silent(sock: Any, _: bytes) -> None:
            sock.sendall(HEAD + chunks(event(1), end=False))
            gevent.sleep(0.2)
            made.exchanges[0].interrupt()

        made = self.hand_over(self.serve(silent), self.helped(event(2)))
        self.assertEqual(self.body(), event(1) + event(2))
        self.assertEqual((made.lost_count, made.ended_count), (1, 2))

    def test_stream_is_handed_over_at_the_version_that_began_it(self) -> None:
        """Guards against a second helper that uses another version."""
        broken = self.break_after(HEAD + chunks(event(1), end=False))[1]
        made = self.hand_over(broken, self.helped(event(2)))
        self.assertEqual(self.body(), event(1) + event(2))
        first, second = (one.version_key for one in made.handed)
        self.assertIsNone(first)
        self.assertEqual(second, stream_version.key_of("v1"))

    def test_stream_of_an_unknown_version_does_not_go_on(self) -> None:
        """Guards against helpers of an earlier build, which tell no version."""
        self.known_servers = (
            build.server("s8", role="decode", software_version="v1"),
            build.server("s9", role="decode", software_version="v2"),
        )
        broken = self.break_after(HEAD + chunks(event(1), end=False))[1]
        made = self.hand_over(broken, self.helped(event(2)), version=None)
        with self.assertRaises(errors.BackEndLostError):
            self.body()
        self.assertEqual(len(made.handed), 1)

    def test_stream_that_breaks_on_the_own_path_goes_on_at_a_helper(
        self,
    ) -> None:
        own = self.break_after(HEAD + chunks(event(1), end=False))
        made = self.hand_over(self.helped(event(2)), prefers=False)
        self.assertEqual(self.body(own), event(1) + event(2))
        (handed,) = made.handed
        self.assertEqual(handed.routed_request.last_event_id, "1")
        self.assertTrue(handed.is_admitted)

    def test_broken_stream_that_may_not_resume_ends_with_an_error(
        self,
    ) -> None:
        """Guards against a second run of a stream that must run once."""
        cut = self.serve(
            lambda sock, _: (
                sock.sendall(HEAD + chunks(event(1), end=False)),
                sock.close(),
            )
        )
        made = self.hand_over(cut, self.helped(event(2)))
        stream = self.open(kind=kinds.EventStream(resumable=False))
        self.assertEqual(next(stream.blocks), event(1))
        with self.assertRaises(errors.BackEndLostError):
            next(stream.blocks)
        self.assertEqual(len(made.handed), 1)

    def test_refusal_of_a_helper_is_final(self) -> None:
        own = self.respond_with(HEAD + chunks(event(1)))
        self.hand_over(REFUSED)
        with self.assertRaises(errors.OverloadedError):
            self.open(own)
        self.assertEqual(own[1].requests, [])

    def test_handed_over_prompt_is_not_handed_over_again(self) -> None:
        own = self.respond_with(HEAD + chunks(event(1)))
        made = self.hand_over(self.helped(event(2)))
        self.assertEqual(self.body(own, handover=FROM_PEER), event(1))
        self.assertEqual(made.handed, [])

    def test_closing_the_answer_ends_the_handover(self) -> None:
        def script(sock: Any, _: bytes) -> None:
            sock.sendall(HEAD + chunks(event(1), end=False))
            sock.recv(1)

        made = self.hand_over(self.serve(script))
        stream = self.open()
        next(stream.blocks)
        stream.blocks.close()
        self.assertEqual(made.ended_count, 1)


class CountingTest(GenerationCase):
    """Who counts a prompt's demand and its part in the retry budget."""

    def test_demand_is_counted_by_the_gateway_that_places(self) -> None:
        counted: list[str] = []
        self.budget.note_request = lambda service, now_s: counted.append(
            service
        )
        self.handovers = handovers.ScriptedHandovers(
            self.serve(lambda sock, _: sock.sendall(HEAD + chunks(event(1))))
        )
        self.body()
        self.assertEqual((counted, self.planned_decode_ids), ([], []))
        engine = self.respond_with(HEAD + chunks(event(1)))
        self.body(engine, handover=FROM_PEER)
        self.assertEqual(counted, ["service"])
        self.assertEqual(self.planned_decode_ids, ["s0"])


if __name__ == "__main__":
    import unittest

    unittest.main()
