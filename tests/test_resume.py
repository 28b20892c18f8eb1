"""Tests of ResumingStream: one complete answer from several engines."""

import json
import unittest
from collections.abc import Iterator
from typing import Any

from result import Err, Ok, Result

from mulberrywharf import _exchange, errors, fleet
from mulberrywharf.engines import completion_assembly, handover, resume
from mulberrywharf.policy import retry_budget
from tests import builders_engines as build
from tests import processes

_TOKEN_COUNT = 8
_STAND_IN_TOKENS = 20
_ATTEMPTS_LIMIT_COUNT = 3


class RecordingTracker:
    """Records when requests begin and end."""

    def __init__(self) -> None:
        self.begun: list[tuple[str, int]] = []
        self.ended: list[tuple[str, bool]] = []

    def request_started(self, engine_id: str, prompt_tokens: int) -> None:
        self.begun.append((engine_id, prompt_tokens))

    def request_finished(self, engine_id: str, failed: bool) -> None:
        self.ended.append((engine_id, failed))


class FirstEngineChooser:
    """Returns the first engine that is not excluded."""

    def __init__(self, views: list[fleet.EngineView]):
        self._views = views

    def __call__(
        self, excluded: frozenset[str]
    ) -> Result[fleet.EngineView, errors.RequestError]:
        for view in self._views:
            if view.vm.vm_id not in excluded:
                return Ok(view)
        return Err(errors.NoEngineError("none is left"))


def _view(
    vm_id: str, address: fleet.Address, version: str = "v1"
) -> fleet.EngineView:
    vm = fleet.VmRecord(vm_id, "engine", "regina-hall", address)
    report = fleet.LoadReport(vm_id, "mixed", "ready", (), version=version)
    return fleet.EngineView(vm, report, 0.0)


def _decide_retry(
    attempt: resume.AttemptFailure,
) -> retry_budget.Retry | retry_budget.GiveUp:
    if attempt.attempt_count < _ATTEMPTS_LIMIT_COUNT:
        return retry_budget.Retry(0.0)
    error = errors.BackEndLostError(attempt.error.message, outcome="unknown")
    return retry_budget.GiveUp(error)


class ResumeCase(build.ScriptedServerCase):
    def setUp(self) -> None:
        self.tracker = RecordingTracker()
        self.failed_attempts: list[resume.AttemptFailure] = []
        self.retry_limit_count = 3

    def decide(
        self, attempt: resume.AttemptFailure
    ) -> retry_budget.Retry | retry_budget.GiveUp:
        self.failed_attempts.append(attempt)
        if len(self.failed_attempts) > self.retry_limit_count:
            error = errors.BackEndLostError("given up", outcome="unknown")
            return retry_budget.GiveUp(error)
        return retry_budget.Retry(0.0)

    def engine(
        self, *answers: bytes, vm_id: str = "e1", version: str = "v1"
    ) -> tuple[fleet.EngineView, build.ScriptedServer]:
        """Starts an engine that sends these answers and closes after each."""
        left = list(answers)

        def script(sock: Any, request: bytes) -> None:
            sock.sendall(left.pop(0))
            sock.close()

        server = self.serve(script)
        return _view(vm_id, server.address, version), server

    def stream(
        self, *views: fleet.EngineView, **options: Any
    ) -> resume.ResumingStream:
        body = build.request_body(_TOKEN_COUNT)
        generation = resume.Generation(
            "/v1/completions", body, build.REQUEST_ID, 3
        )
        return resume.ResumingStream(
            generation,
            choose_engine=FirstEngineChooser(list(views)),
            decide=self.decide,
            tracker=self.tracker,
            **options,
        )

    def read(self, stream: resume.ResumingStream) -> bytes:
        return b"".join(batch.raw for batch in stream.batches())

    def assert_whole(self, raw: bytes) -> None:
        self.assertEqual(
            raw,
            build.events(0, _TOKEN_COUNT, _TOKEN_COUNT) + build.DONE,
            raw.decode(),
        )


def _broken_answer(first: int, end: int) -> bytes:
    """Returns a streamed answer whose connection breaks at token ``end``."""
    events = build.events(first, end, _TOKEN_COUNT)
    return build.STREAM_HEAD + (build.chunk(events) if events else b"")


def _short_answer(end: int) -> bytes:
    """Returns a streamed answer that ends cleanly before token ``end``."""
    return _broken_answer(0, end) + build.LAST_CHUNK


class ResumingTest(ResumeCase):
    """Guards against truncated or repeated text when an engine fails.

    An engine dies after some tokens and another one takes over. Text is
    repeated if the second engine starts from the beginning, and missing if the
    end of the first engine's stream counts as the end of the answer.
    """

    def test_resumes_after_the_delivered_tokens(self) -> None:
        for lost in (
            _broken_answer(0, 3),
            _short_answer(3),
            _broken_answer(0, 0),
            b"",
        ):
            with self.subTest(lost[-40:]):
                self.setUp()
                delivered = 3 if build.event(0) in lost else 0
                first, _ = self.engine(lost)
                second, server = self.engine(
                    build.whole_stream(delivered, _TOKEN_COUNT), vm_id="e2"
                )
                self.assert_whole(self.read(self.stream(first, second)))
                sent = build.document_of(server.requests[0])["mulberry"]
                self.assertEqual(sent.get("resume_token_count", 0), delivered)
                self.assertEqual(
                    sent.get("resume_text", ""), build.answer_text(delivered)
                )
                self.assertEqual(
                    self.tracker.ended, [("e1", True), ("e2", False)]
                )

    def test_tokens_after_a_skipped_one_are_not_passed_on(self) -> None:
        events = build.events(0, 3, _TOKEN_COUNT) + build.event(5)
        first, _ = self.engine(build.STREAM_HEAD + build.chunk(events))
        second, _ = self.engine(build.whole_stream(0, _TOKEN_COUNT), vm_id="e2")
        self.assert_whole(self.read(self.stream(first, second)))

    def test_tokens_of_another_request_are_not_passed_on(self) -> None:
        foreign = build.event(3, request_id="other")
        events = build.events(0, 3, _TOKEN_COUNT) + foreign
        first, _ = self.engine(build.STREAM_HEAD + build.chunk(events))
        second, _ = self.engine(build.whole_stream(0, _TOKEN_COUNT), vm_id="e2")
        self.assert_whole(self.read(self.stream(first, second)))

    def test_an_answer_that_lacks_only_done_is_complete(self) -> None:
        first, _ = self.engine(_broken_answer(0, _TOKEN_COUNT))
        self.assert_whole(self.read(self.stream(first)))
        self.assertEqual(self.failed_attempts, [])

    def test_the_only_engine_is_retried(self) -> None:
        only, server = self.engine(
            _broken_answer(0, 2), build.whole_stream(2, _TOKEN_COUNT)
        )
        self.assert_whole(self.read(self.stream(only)))
        self.assertEqual(len(server.requests), 2)

    def test_never_resumes_with_another_model_version(self) -> None:
        first, _ = self.engine(_broken_answer(0, 2))
        other, server = self.engine(vm_id="e2", version="v2")
        third, _ = self.engine(build.whole_stream(2, _TOKEN_COUNT), vm_id="e3")
        self.assert_whole(self.read(self.stream(first, other, third)))
        self.assertEqual(server.requests, [])

    def test_usage_counts_both_engines(self) -> None:
        first, _ = self.engine(_broken_answer(0, 5))
        events = build.events(5, _TOKEN_COUNT - 1, _TOKEN_COUNT) + build.event(
            _TOKEN_COUNT - 1, last=True, usage_tokens=3
        )
        second, _ = self.engine(
            build.STREAM_HEAD
            + build.chunk(events + build.DONE)
            + build.LAST_CHUNK,
            vm_id="e2",
        )
        answer = completion_assembly.assemble(
            self.stream(first, second).batches(),
            request_id=build.REQUEST_ID,
            model=build.MODEL,
            chat=False,
        ).unwrap()
        self.assertEqual(answer["usage"]["completion_tokens"], _TOKEN_COUNT)
        choice = answer["choices"][0]
        self.assertEqual(choice["text"], build.answer_text(_TOKEN_COUNT))
        self.assertEqual(choice["finish_reason"], "stop")


class GivingUpTest(ResumeCase):
    def test_raises_an_error_when_retries_are_denied(self) -> None:
        self.retry_limit_count = 0
        first, _ = self.engine(_broken_answer(0, 3))
        stream = self.stream(first)
        with self.assertRaises(errors.BackEndLostError):
            self.read(stream)
        self.assertEqual(stream.delivered_count, 3)
        self.assertEqual(self.failed_attempts[0].progress, "answer-began")

    def test_progress_and_outcome_of_attempts(self) -> None:
        busy = build.plain_answer(b'{"type": "queue-full"}').replace(
            b"200 OK", b"503 Busy"
        )
        gone = _view("e0", build.closed_address())
        refusing, _ = self.engine(busy, vm_id="e1")
        lost, _ = self.engine(b"", vm_id="e2")
        self.retry_limit_count = 2
        with self.assertRaises(errors.BackEndLostError):
            self.read(self.stream(gone, refusing, lost))
        progress = [attempt.progress for attempt in self.failed_attempts]
        self.assertEqual(progress, ["nothing-sent", "refused", "sent"])
        outcomes = {attempt.outcome for attempt in self.failed_attempts}
        self.assertEqual(outcomes, {"not-run"})

    def test_no_engine_left_after_a_possible_run_has_outcome_unknown(
        self,
    ) -> None:
        lost, _ = self.engine(b"")
        offered = iter([Ok(lost)])

        def chooser(excluded: frozenset[str]) -> Any:
            return next(offered, Err(errors.NoEngineError("none is left")))

        stream = self.stream()
        stream._next_engine = chooser
        with self.assertRaises(errors.NoEngineError) as caught:
            self.read(stream)
        self.assertEqual(caught.exception.outcome, "unknown")

    def test_a_bad_request_is_not_retried_at_another_engine(self) -> None:
        bad = build.plain_answer(b'{"type": "bad-request"}').replace(
            b"200 OK", b"400 Bad"
        )
        first, _ = self.engine(bad)
        second, server = self.engine(vm_id="e2")
        with self.assertRaises(errors.BadRequestError):
            self.read(self.stream(first, second))
        self.assertEqual(server.requests, [])
        self.assertEqual(self.tracker.ended, [("e1", False)])

    def test_a_closed_answer_does_not_count_as_engine_failure(self) -> None:
        first, _ = self.engine(_broken_answer(0, 3))
        batches = self.stream(first).batches()
        next(batches)
        assert isinstance(batches, Iterator)
        batches.close()  # type: ignore[attr-defined]
        self.assertEqual(self.tracker.ended, [("e1", False)])

    def test_an_assembled_answer_has_a_size_limit(self) -> None:
        first, _ = self.engine(build.whole_stream(0, _TOKEN_COUNT))
        error = completion_assembly.assemble(
            self.stream(first).batches(),
            request_id=build.REQUEST_ID,
            model=build.MODEL,
            chat=True,
            limit_characters=10,
        ).unwrap_err()
        self.assertIsInstance(error, errors.AnswerTooLargeError)


class EngineProcessTest(unittest.TestCase):
    """Resuming and handover with stand-in engine processes and faults."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.engines = [
            processes.Process("standins.engine", "--engine-id", vm_id)
            for vm_id in ("e1", "e2")
        ]
        for engine in cls.engines:
            cls.addClassCleanup(engine.close)
        cls.views = [
            _view(
                engine.ready["name"],
                fleet.Address("127.0.0.1", engine.ready["port"]),
                "",
            )
            for engine in cls.engines
        ]

    def set_fault(self, view: fleet.EngineView, **fault: Any) -> None:
        request = _exchange.Request(
            "POST", "/standin/faults", {}, json.dumps(fault).encode()
        )
        answer, _ = _exchange.fetch(
            view.vm.address, request, timeout_s=20.0, limit_bytes=1000
        ).unwrap()
        self.assertEqual(answer.status_code, 200)

    def generation(self) -> resume.Generation:
        body = build.request_body(_STAND_IN_TOKENS)
        return resume.Generation("/v1/completions", body, build.REQUEST_ID, 3)

    def assert_whole(self, **options: Any) -> None:
        stream = resume.ResumingStream(
            self.generation(),
            choose_engine=FirstEngineChooser(self.views),
            decide=_decide_retry,
            tracker=RecordingTracker(),
            **options,
        )
        tokens = [t for batch in stream.batches() for t in batch.tokens]
        text = "".join(token.text for token in tokens)
        self.assertEqual(text, build.answer_text(_STAND_IN_TOKENS))
        usage = tokens[-1].usage
        assert usage is not None
        self.assertEqual(usage.completion_tokens, _STAND_IN_TOKENS)

    def test_answer_is_complete_after_every_stream_fault(self) -> None:
        last = _STAND_IN_TOKENS - 1
        for name in ("cut_stream_after_tokens", "short_stream"):
            for after in (0, 1, last, _STAND_IN_TOKENS):
                with self.subTest(name, after=after):
                    self.set_fault(self.views[0], **{name: after})
                    self.assert_whole()

    def test_answer_is_complete_when_the_engine_sends_no_more_data(
        self,
    ) -> None:
        self.set_fault(self.views[0], silent_after_tokens=3)
        self.assert_whole(idle_timeout_s=0.5)

    def test_handover_works_with_and_without_the_exported_cache(
        self,
    ) -> None:
        tracker = RecordingTracker()
        generation = self.generation()
        prepared = handover.prepare(self.views[1].vm, generation, tracker)
        self.assertEqual(prepared.prompt_tokens, 0)
        source = prepared.body["mulberry"]["kv_source"]
        self.assertEqual(source["port"], self.views[1].vm.address.port)
        self.assertEqual(tracker.ended, [("e2", False)])
        for handle in (source["handle"], "gone"):
            with self.subTest(handle):
                source["handle"] = handle
                self.assert_whole(prepare=lambda view: prepared)

    def test_decode_engine_prefills_when_the_prefill_engine_is_unreachable(
        self,
    ) -> None:
        vm = _view("e3", build.closed_address()).vm
        tracker = RecordingTracker()
        prepared = handover.prepare(vm, self.generation(), tracker)
        self.assertEqual(prepared.prompt_tokens, 3)
        self.assertNotIn("mulberry", prepared.body)
        self.assertEqual(tracker.ended, [("e3", True)])


if __name__ == "__main__":
    unittest.main()
