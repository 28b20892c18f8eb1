"""Completions towards callers: shapes, ends, slow callers, callers gone."""

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

    def data(self, path: str, **fields: Any) -> bytes:
        body = {"model": "tagger", "prompt": "is the hall ready"}
        body.update(fields)
        return fixture.request_bytes("POST", path, json.dumps(body).encode())

    def send(self, path: str, **fields: Any) -> bytes:
        return fixture.exchange(self.server.port, self.data(path, **fields))

    def wait_closed(self) -> None:
        with gevent.Timeout(_WAIT_S):
            while not self.generations.closed_count:
                gevent.sleep(0.01)


class ShapesTest(_CompletionsTest):
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
            self.generations.wanted[0].prompt,
            "system: be short\nuser: ready?\n",
        )

    def test_stream_passes_events_on(self) -> None:
        self.serve(_two_tokens)
        response = self.send(_COMPLETIONS, stream=True)
        self.assertEqual(
            fixture.head_of(response)["content-type"], "text/event-stream"
        )
        self.assertEqual(
            fixture.body_of(response),
            b"".join(batch.raw for batch in _two_tokens()),
        )


class BrokenAnswerTest(_CompletionsTest):
    def test_refusal_before_the_first_token_has_its_status(self) -> None:
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

    def test_begun_stream_ends_with_an_error_event(self) -> None:
        """A short answer is taken for a whole one.

        Symptom: a verdict that ends in mid-sentence.
        Sequence: the engine dies after some tokens and nobody can resume.
        Cause: an HTTP body that ends well says nothing about the answer.
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

    def test_answer_without_its_end_is_no_answer(self) -> None:
        self.serve(lambda: iter([fixture.batch("ready ", 0)]))
        response = self.send(_COMPLETIONS)
        self.assertEqual(fixture.status_of(response), 502)
        body = fixture.body_of(self.send(_COMPLETIONS, stream=True))
        self.assertIn(b"urn:mulberrywharf:back-end-lost", body)
        self.assertNotIn(b"[DONE]", body)

    def test_faults_of_ours_are_unknown(self) -> None:
        def faulty() -> _Batches:
            raise ZeroDivisionError
            yield fixture.batch("", 0)

        self.serve(faulty)
        response = self.send(_COMPLETIONS)
        self.assertEqual(fixture.status_of(response), 500)
        self.assertEqual(fixture.problem_of(response)["outcome"], "unknown")


class CallerGoneTest(_CompletionsTest):
    def test_engine_is_cancelled_when_the_caller_leaves(self) -> None:
        """An engine generates for nobody.

        Symptom: engines are busy while callers wait.
        Sequence: the caller closes its connection before the first token,
        when the router has nothing to write.
        Cause: only a write would show that the caller left.
        """
        begun = gevent.event.Event()

        def silent() -> _Batches:
            begun.set()
            gevent.event.Event().wait()
            yield fixture.batch("", 0)

        for stream in (True, False):
            with self.subTest(stream=stream):
                begun.clear()
                self.serve(silent)
                sock = fixture.connect(self.server.port)
                sock.sendall(self.data(_COMPLETIONS, stream=stream))
                self.assertTrue(begun.wait(_WAIT_S))
                sock.close()
                self.wait_closed()

    def test_engine_is_cancelled_in_mid_stream(self) -> None:
        def endless() -> _Batches:
            while True:
                gevent.sleep(0)
                yield fixture.batch("on ", 0)

        self.serve(endless)
        sock = fixture.connect(self.server.port)
        sock.sendall(self.data(_COMPLETIONS, stream=True))
        self.assertIn(b"200 OK", sock.recv(64))
        sock.close()
        self.wait_closed()


class SlowCallerTest(_CompletionsTest):
    def test_answer_is_pulled_no_faster_than_it_is_read(self) -> None:
        """A caller that does not read fills the router's memory.

        Symptom: a router grows until it is killed, and all its streams end.
        Sequence: a caller asks for a long stream and stops reading.
        Cause: an answer kept in memory for whoever does not take it.
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
        sock.sendall(self.data(_COMPLETIONS, stream=True))
        before_bytes = -1
        with gevent.Timeout(_WAIT_S):
            while pulled_bytes != before_bytes:
                before_bytes = pulled_bytes
                gevent.sleep(0.2)
        # What the kernel's socket buffers hold, and not a block more.
        self.assertLess(pulled_bytes, 16_000_000)
        sock.close()
        self.wait_closed()

    def test_caller_that_stops_reading_is_given_up(self) -> None:
        """An engine is held for as long as a caller cares to stall.

        Symptom: engines are busy, their streams stand still.
        Sequence: a caller asks for a long stream and reads nothing more,
        but keeps its connection open.
        Cause: a write without a bound.
        """
        block = fixture.batch("x" * 65_536, 0)

        def endless() -> _Batches:
            while True:
                yield block

        self.serve(endless, idle_timeout_s=0.2)
        sock = fixture.connect(self.server.port)
        self.addCleanup(sock.close)
        sock.sendall(self.data(_COMPLETIONS, stream=True))
        self.wait_closed()

    def test_large_answer_reaches_a_caller_that_reads_slowly(self) -> None:
        """A part of a large answer comes twice, or not at all.

        Symptom: the JSON of a long verdict cannot be read.
        Sequence: the kernel takes a part of a write, and the rest is sent
        once the caller has read on.
        Cause: the rest is counted from a wrong place.
        """
        text = "".join(f"{number:07d} " for number in range(1_000_000))
        self.serve(
            lambda: iter([fixture.last_batch(text, 0)]), idle_timeout_s=0.5
        )
        sock = fixture.connect(self.server.port)
        self.addCleanup(sock.close)
        # Else the kernel holds the whole answer and nobody has to wait.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 131_072)
        sock.sendall(self.data(_COMPLETIONS))
        received = b""
        while not received.endswith(b"}}"):
            part = sock.recv(262_144)
            self.assertTrue(part, "the answer was cut")
            received += part
            gevent.sleep(0.05)
        document = json.loads(fixture.body_of(received))
        self.assertEqual(document["choices"][0]["text"], text)


if __name__ == "__main__":
    unittest.main()
