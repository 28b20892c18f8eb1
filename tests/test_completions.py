"""Answers to completion requests: formats, failures, slow and gone callers."""

import json
import socket
import unittest
from collections.abc import Iterator
from typing import Any

import gevent
import gevent.event

from mulberrywharf import errors
from mulberrywharf.engines import streams
from tests import callers_fixture as fixture

_WAIT_S = 10.0
_COMPLETIONS = "/v1/completions"
_CHAT = "/v1/chat/completions"


_Batches = Iterator[streams.TokenBatch]


def _two_tokens(chat: bool = False) -> _Batches:
    yield fixture.batch("ready ", 0, chat=chat)
    yield fixture.last_batch("now ", 1, chat=chat)


class _CompletionsTest(unittest.TestCase):
    def serve(self, batches: Any, **limits: Any) -> None:
        self.generations = fixture.FakeGenerations(batches)
        self.server = fixture.caller_server(
            generations=self.generations, **limits
        )
        self.server.start()
        self.addCleanup(self.server.close)

    def completion_request(self, path: str, **fields: Any) -> bytes:
        body = {"model": "tagger", "prompt": "is the hall ready"}
        body.update(fields)
        return fixture.request_bytes("POST", path, json.dumps(body).encode())

    def send(self, path: str, **fields: Any) -> bytes:
        return fixture.exchange(
            self.server.port, self.completion_request(path, **fields)
        )

    def wait_closed(self) -> None:
        with gevent.Timeout(_WAIT_S):
            while not self.generations.closed_count:
                gevent.sleep(0.01)


class AnswerFormatTest(_CompletionsTest):
    def test_plain_completion(self) -> None:
        self.serve(_two_tokens)
        answer = json.loads(fixture.body_of(self.send(_COMPLETIONS)))
        self.assertEqual(answer["object"], "text_completion")
        choice = answer["choices"][0]
        self.assertEqual(choice["text"], "ready now ")
        self.assertEqual(choice["finish_reason"], "stop")
        self.assertEqual(answer["usage"]["completion_tokens"], 2)

    def test_plain_chat(self) -> None:
        self.serve(lambda: _two_tokens(chat=True))
        messages = [
            {"role": "system", "content": "be short"},
            {"role": "user", "content": "ready?"},
        ]
        answer = json.loads(
            fixture.body_of(self.send(_CHAT, messages=messages))
        )
        self.assertEqual(answer["object"], "chat.completion")
        message = answer["choices"][0]["message"]
        self.assertEqual(message["content"], "ready now ")
        self.assertEqual(
            self.generations.completions[0].prompt,
            "system: be short\nuser: ready?\n",
        )

    def test_stream_relays_events_unchanged(self) -> None:
        self.serve(_two_tokens)
        response = self.send(_COMPLETIONS, stream=True)
        self.assertEqual(
            fixture.head_of(response)["content-type"], "text/event-stream"
        )
        self.assertEqual(
            fixture.body_of(response),
            b"".join(batch.raw for batch in _two_tokens()),
        )


class FailedAnswerTest(_CompletionsTest):
    def test_failure_before_the_first_token_sets_the_status(self) -> None:
        def refused() -> _Batches:
            raise errors.OverloadedError("no room", retry_after_s=3)
            yield fixture.batch("", 0)

        self.serve(refused)
        for stream in (True, False):
            with self.subTest(stream=stream):
                response = self.send(_COMPLETIONS, stream=stream)
                self.assertEqual(fixture.status_of(response), 503)
                head = fixture.head_of(response)
                self.assertEqual(head["retry-after"], "3")
                self.assertEqual(head["x-mulberry-outcome"], "not-run")

    def test_started_stream_that_fails_ends_with_an_error_event(self) -> None:
        """Guards against a truncated answer that looks complete.

        If an engine dies after some tokens and no other can resume, a
        correctly terminated HTTP body alone would not show that the answer is
        incomplete.
        """

        def broken() -> _Batches:
            yield fixture.batch("ready ", 0)
            raise errors.OverloadedError("no engine left")

        self.serve(broken)
        body = fixture.body_of(self.send(_COMPLETIONS, stream=True))
        events = body.split(b"\n\n")[:-1]
        problem = json.loads(events[-1].removeprefix(b"data: "))["error"]
        self.assertEqual(problem["outcome"], "unknown")
        self.assertNotIn(b"[DONE]", body)

    def test_answer_without_a_last_batch_is_an_error(self) -> None:
        self.serve(lambda: iter([fixture.batch("ready ", 0)]))
        response = self.send(_COMPLETIONS)
        self.assertEqual(fixture.status_of(response), 502)
        body = fixture.body_of(self.send(_COMPLETIONS, stream=True))
        self.assertIn(b"urn:mulberrywharf:back-end-lost", body)
        self.assertNotIn(b"[DONE]", body)

    def test_internal_fault_has_an_unknown_outcome(self) -> None:
        def faulty() -> _Batches:
            raise ZeroDivisionError
            yield fixture.batch("", 0)

        self.serve(faulty)
        response = self.send(_COMPLETIONS)
        self.assertEqual(fixture.status_of(response), 500)
        self.assertEqual(fixture.problem_of(response)["outcome"], "unknown")


class CallerGoneTest(_CompletionsTest):
    def test_generation_is_cancelled_when_the_caller_disconnects(self) -> None:
        """Guards against engines that generate for disconnected callers.

        Before the first token the router has nothing to write, so no write
        shows that the caller closed its connection; the engine would stay busy
        while other callers wait.
        """
        started = gevent.event.Event()

        def silent() -> _Batches:
            started.set()
            gevent.event.Event().wait()
            yield fixture.batch("", 0)

        for stream in (True, False):
            with self.subTest(stream=stream):
                started.clear()
                self.serve(silent)
                sock = fixture.connect(self.server.port)
                sock.sendall(
                    self.completion_request(_COMPLETIONS, stream=stream)
                )
                self.assertTrue(started.wait(_WAIT_S))
                sock.close()
                self.wait_closed()

    def test_generation_is_cancelled_when_the_caller_disconnects_mid_stream(
        self,
    ) -> None:
        def endless() -> _Batches:
            while True:
                gevent.sleep(0)
                yield fixture.batch("on ", 0)

        self.serve(endless)
        sock = fixture.connect(self.server.port)
        sock.sendall(self.completion_request(_COMPLETIONS, stream=True))
        self.assertIn(b"200 OK", sock.recv(64))
        sock.close()
        self.wait_closed()


class SlowCallerTest(_CompletionsTest):
    def test_answer_is_pulled_only_as_fast_as_it_is_read(self) -> None:
        """Guards against a slow caller that exhausts the router's memory.

        If the router buffered a long stream for a caller that has stopped
        reading, it would grow until it is killed, and all its streams would
        end.
        """
        pulled_bytes = 0
        block = fixture.batch("x" * 65_536, 0)

        def endless() -> _Batches:
            nonlocal pulled_bytes
            while True:
                pulled_bytes += len(block.raw)
                yield block

        self.serve(endless)
        sock = fixture.connect(self.server.port)
        sock.sendall(self.completion_request(_COMPLETIONS, stream=True))
        before_bytes = -1
        with gevent.Timeout(_WAIT_S):
            while pulled_bytes != before_bytes:
                before_bytes = pulled_bytes
                gevent.sleep(0.2)
        # Only what fits in the kernel's socket buffers has been pulled.
        self.assertLess(pulled_bytes, 16_000_000)
        sock.close()
        self.wait_closed()

    def test_caller_that_stops_reading_is_disconnected(self) -> None:
        """Guards against a stalled caller that occupies an engine forever.

        A caller may stop reading a long stream but keep its connection open;
        writes to it need a timeout.
        """
        block = fixture.batch("x" * 65_536, 0)

        def endless() -> _Batches:
            while True:
                yield block

        self.serve(endless, idle_timeout_s=0.2)
        sock = fixture.connect(self.server.port)
        self.addCleanup(sock.close)
        sock.sendall(self.completion_request(_COMPLETIONS, stream=True))
        self.wait_closed()

    def test_large_answer_reaches_a_caller_that_reads_slowly(self) -> None:
        """Guards against repeated or missing bytes after a partial write.

        The kernel accepts only part of a large write, and the rest is sent
        once the caller has read more. If the rest began at a wrong offset, the
        JSON of a long answer could not be parsed.
        """
        text = "".join(f"{number:07d} " for number in range(1_000_000))
        self.serve(
            lambda: iter([fixture.last_batch(text, 0)]), idle_timeout_s=0.5
        )
        sock = fixture.connect(self.server.port)
        self.addCleanup(sock.close)
        # With a larger buffer the kernel would take the whole answer at once.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 131_072)
        sock.sendall(self.completion_request(_COMPLETIONS))
        received = b""
        while not received.endswith(b"}}"):
            part = sock.recv(262_144)
            self.assertTrue(part, "the answer was truncated")
            received += part
            gevent.sleep(0.05)
        document = json.loads(fixture.body_of(received))
        self.assertEqual(document["choices"][0]["text"], text)


if __name__ == "__main__":
    unittest.main()
