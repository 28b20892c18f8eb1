"""One whole answer over several engines."""

import json
import unittest
from collections.abc import Iterator
from typing import Any

from result import Err, Ok, Result

from mulberrywharf import _exchange, errors, fleet
from mulberrywharf.engines import handover, plain, resume
from mulberrywharf.policy import retry_budget
from tests import builders_engines as build
from tests import processes

_WHOLE = 8
_STAND_IN_TOKENS = 20
_ATTEMPTS_LIMIT_COUNT = 3


class Books:
    """Records begins and ends."""

    def __init__(self) -> None:
        self.begun: list[tuple[str, int]] = []
        self.ended: list[tuple[str, bool]] = []

    def begin(self, engine_id: str, prompt_tokens: int) -> None:
        self.begun.append((engine_id, prompt_tokens))

    def end(self, engine_id: str, failed: bool) -> None:
        self.ended.append((engine_id, failed))


class Chooser:
    """Offers the first engine that is not excluded."""

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


def _retry_few(
    tried: resume.FailedTry,
) -> retry_budget.Retry | retry_budget.GiveUp:
    if tried.attempt_count < _ATTEMPTS_LIMIT_COUNT:
        return retry_budget.Retry(0.0)
    error = errors.BackEndLostError(tried.error.message, outcome="unknown")
    return retry_budget.GiveUp(error)


class ResumeCase(build.ScriptedServerCase):
    def setUp(self) -> None:
        self.books = Books()
        self.tries: list[resume.FailedTry] = []
        self.retry_limit_count = 3

    def decide(
        self, tried: resume.FailedTry
    ) -> retry_budget.Retry | retry_budget.GiveUp:
        self.tries.append(tried)
        if len(self.tries) > self.retry_limit_count:
            error = errors.BackEndLostError("given up", outcome="unknown")
            return retry_budget.GiveUp(error)
        return retry_budget.Retry(0.0)

    def engine(
        self, *answers: bytes, vm_id: str = "e1", version: str = "v1"
    ) -> tuple[fleet.EngineView, build.ScriptedServer]:
        """Makes an engine that gives these answers, each then cut off."""
        left = list(answers)

        def script(sock: Any, request: bytes) -> None:
            sock.sendall(left.pop(0))
            sock.close()

        server = self.serve(script)
        return _view(vm_id, server.address, version), server

    def stream(
        self, *views: fleet.EngineView, **options: Any
    ) -> resume.ResumingStream:
        body = build.request_body(_WHOLE)
        generation = resume.Generation(
            "/v1/completions", body, build.REQUEST_ID, 3
        )
        return resume.ResumingStream(
            generation,
            next_engine=Chooser(list(views)),
            decide=self.decide,
            books=self.books,
            **options,
        )

    def read(self, stream: resume.ResumingStream) -> bytes:
        return b"".join(batch.raw for batch in stream.batches())

    def assert_whole(self, raw: bytes) -> None:
        self.assertEqual(
            raw, build.events(0, _WHOLE, _WHOLE) + build.DONE, raw.decode()
        )


def _cut(first: int, end: int) -> bytes:
    """A streamed answer whose connection breaks before token ``end``."""
    events = build.events(first, end, _WHOLE)
    return build.STREAM_HEAD + (build.chunk(events) if events else b"")


def _short(end: int) -> bytes:
    """A streamed answer that ends cleanly before token ``end``."""
    return _cut(0, end) + build.LAST_CHUNK


class ResumingTest(ResumeCase):
    """An answer is cut short or repeats itself when its engine is lost.

    Symptom: a verdict lacks its end, or has a part twice. Sequence: an
    engine dies after some tokens and another one is asked. Cause: the second
    begins anew, or the first's end is taken for the answer's.
    """

    def test_goes_on_after_the_delivered_tokens(self) -> None:
        for lost in (_cut(0, 3), _short(3), _cut(0, 0), b""):
            with self.subTest(lost[-40:]):
                self.setUp()
                delivered = 3 if build.event(0) in lost else 0
                first, _ = self.engine(lost)
                second, server = self.engine(
                    build.whole_stream(delivered, _WHOLE), vm_id="e2"
                )
                self.assert_whole(self.read(self.stream(first, second)))
                sent = build.document_of(server.requests[0])["mulberry"]
                self.assertEqual(sent.get("resume_token_count", 0), delivered)
                self.assertEqual(
                    sent.get("resume_text", ""), build.answer_text(delivered)
                )
                self.assertEqual(
                    self.books.ended, [("e1", True), ("e2", False)]
                )

    def test_a_skipped_token_is_not_passed_on(self) -> None:
        events = build.events(0, 3, _WHOLE) + build.event(5)
        first, _ = self.engine(build.STREAM_HEAD + build.chunk(events))
        second, _ = self.engine(build.whole_stream(0, _WHOLE), vm_id="e2")
        self.assert_whole(self.read(self.stream(first, second)))

    def test_a_crossed_answer_is_not_passed_on(self) -> None:
        foreign = build.event(3, request_id="other")
        events = build.events(0, 3, _WHOLE) + foreign
        first, _ = self.engine(build.STREAM_HEAD + build.chunk(events))
        second, _ = self.engine(build.whole_stream(0, _WHOLE), vm_id="e2")
        self.assert_whole(self.read(self.stream(first, second)))

    def test_only_the_end_mark_was_lost(self) -> None:
        first, _ = self.engine(_cut(0, _WHOLE))
        self.assert_whole(self.read(self.stream(first)))
        self.assertEqual(self.tries, [])

    def test_the_only_engine_may_be_asked_again(self) -> None:
        only, server = self.engine(_cut(0, 2), build.whole_stream(2, _WHOLE))
        self.assert_whole(self.read(self.stream(only)))
        self.assertEqual(len(server.requests), 2)

    def test_never_goes_on_with_another_version(self) -> None:
        first, _ = self.engine(_cut(0, 2))
        other, server = self.engine(vm_id="e2", version="v2")
        third, _ = self.engine(build.whole_stream(2, _WHOLE), vm_id="e3")
        self.assert_whole(self.read(self.stream(first, other, third)))
        self.assertEqual(server.requests, [])

    def test_usage_counts_both_engines(self) -> None:
        first, _ = self.engine(_cut(0, 5))
        events = build.events(5, _WHOLE - 1, _WHOLE) + build.event(
            _WHOLE - 1, last=True, usage_tokens=3
        )
        second, _ = self.engine(
            build.STREAM_HEAD
            + build.chunk(events + build.DONE)
            + build.LAST_CHUNK,
            vm_id="e2",
        )
        answer = plain.assemble(
            self.stream(first, second).batches(),
            request_id=build.REQUEST_ID,
            model=build.MODEL,
            chat=False,
        ).unwrap()
        self.assertEqual(answer["usage"]["completion_tokens"], _WHOLE)
        choice = answer["choices"][0]
        self.assertEqual(choice["text"], build.answer_text(_WHOLE))
        self.assertEqual(choice["finish_reason"], "stop")


class GivingUpTest(ResumeCase):
    def test_a_clear_failure_when_the_budget_is_spent(self) -> None:
        self.retry_limit_count = 0
        first, _ = self.engine(_cut(0, 3))
        stream = self.stream(first)
        with self.assertRaises(errors.BackEndLostError):
            self.read(stream)
        self.assertEqual(stream.delivered_count, 3)
        self.assertEqual(self.tries[0].progress, "answer-began")

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
        progress = [tried.progress for tried in self.tries]
        self.assertEqual(progress, ["nothing-sent", "refused", "sent"])
        outcomes = {tried.outcome for tried in self.tries}
        self.assertEqual(outcomes, {"not-run"})

    def test_nobody_left_after_a_maybe_run_is_unknown(self) -> None:
        lost, _ = self.engine(b"")
        offered = iter([Ok(lost)])

        def chooser(excluded: frozenset[str]) -> Any:
            return next(offered, Err(errors.NoEngineError("none is left")))

        stream = self.stream()
        stream._next_engine = chooser
        with self.assertRaises(errors.NoEngineError) as caught:
            self.read(stream)
        self.assertEqual(caught.exception.outcome, "unknown")

    def test_a_bad_request_is_not_tried_elsewhere(self) -> None:
        bad = build.plain_answer(b'{"type": "bad-request"}').replace(
            b"200 OK", b"400 Bad"
        )
        first, _ = self.engine(bad)
        second, server = self.engine(vm_id="e2")
        with self.assertRaises(errors.BadRequestError):
            self.read(self.stream(first, second))
        self.assertEqual(server.requests, [])
        self.assertEqual(self.books.ended, [("e1", False)])

    def test_a_caller_that_leaves_is_no_failure_of_the_engine(self) -> None:
        first, _ = self.engine(_cut(0, 3))
        batches = self.stream(first).batches()
        next(batches)
        assert isinstance(batches, Iterator)
        batches.close()  # type: ignore[attr-defined]
        self.assertEqual(self.books.ended, [("e1", False)])

    def test_a_plain_answer_is_bounded(self) -> None:
        first, _ = self.engine(build.whole_stream(0, _WHOLE))
        error = plain.assemble(
            self.stream(first).batches(),
            request_id=build.REQUEST_ID,
            model=build.MODEL,
            chat=True,
            limit_characters=10,
        ).unwrap_err()
        self.assertIsInstance(error, errors.AnswerTooLargeError)


class StandInTest(unittest.TestCase):
    """The same with real engine processes that batch and fail."""

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
            next_engine=Chooser(self.views),
            decide=_retry_few,
            books=Books(),
            **options,
        )
        tokens = [t for batch in stream.batches() for t in batch.tokens]
        text = "".join(token.text for token in tokens)
        self.assertEqual(text, build.answer_text(_STAND_IN_TOKENS))
        usage = tokens[-1].usage
        assert usage is not None
        self.assertEqual(usage.completion_tokens, _STAND_IN_TOKENS)

    def test_whole_answer_through_every_fault(self) -> None:
        last = _STAND_IN_TOKENS - 1
        for name in ("cut_stream_after_tokens", "short_stream"):
            for after in (0, 1, last, _STAND_IN_TOKENS):
                with self.subTest(name, after=after):
                    self.set_fault(self.views[0], **{name: after})
                    self.assert_whole()

    def test_whole_answer_when_the_engine_falls_silent(self) -> None:
        self.set_fault(self.views[0], silent_after_tokens=3)
        self.assert_whole(idle_timeout_s=0.5)

    def test_handover_and_the_export_that_is_gone(self) -> None:
        books = Books()
        generation = self.generation()
        prepared = handover.prepare(self.views[1].vm, generation, books)
        self.assertEqual(prepared.prompt_tokens, 0)
        source = prepared.body["mulberry"]["kv_source"]
        self.assertEqual(source["port"], self.views[1].vm.address.port)
        self.assertEqual(books.ended, [("e2", False)])
        for handle in (source["handle"], "gone"):
            with self.subTest(handle):
                source["handle"] = handle
                self.assert_whole(prepare=lambda view: prepared)

    def test_handover_without_its_prefill_engine(self) -> None:
        vm = _view("e3", build.closed_address()).vm
        books = Books()
        prepared = handover.prepare(vm, self.generation(), books)
        self.assertEqual(prepared.prompt_tokens, 3)
        self.assertNotIn("mulberry", prepared.body)
        self.assertEqual(books.ended, [("e3", True)])


if __name__ == "__main__":
    unittest.main()
