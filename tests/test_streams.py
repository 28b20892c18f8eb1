"""Tests of EngineStream: it yields a complete answer or raises an error."""

import itertools
import json
import unittest
from collections.abc import Callable
from typing import Any

import gevent
from gevent import socket

from mulberrywharf import errors
from mulberrywharf.engines import streams
from tests import builders_engines as build


class StreamCase(build.ScriptedServerCase):
    def serve_bytes(self, data: bytes, *, close: bool = True) -> Any:
        def script(sock: Any, request: bytes) -> None:
            if build.is_cancel(request):
                sock.sendall(build.plain_answer(b'{"cancelled": true}'))
                return
            sock.sendall(data)
            if close:
                sock.close()

        return self.serve(script)

    def open(self, server: Any, **options: Any) -> streams.EngineStream:
        stream = streams.EngineStream.open(
            server.address,
            "/v1/completions",
            json.dumps(build.request_body()).encode(),
            build.REQUEST_ID,
            **options,
        ).unwrap()
        self.addCleanup(stream.close)
        return stream


class WholeStreamTest(StreamCase):
    def test_yields_every_token_in_order(self) -> None:
        stream = self.open(self.serve_bytes(build.whole_stream(0, 8)))
        tokens = list(stream)
        self.assertEqual([token.index for token in tokens], list(range(8)))
        text = "".join(token.text for token in tokens)
        self.assertEqual(text, build.answer_text(8))
        self.assertEqual(tokens[-1].finish_reason, "stop")
        self.assertEqual(tokens[-1].usage, streams.Usage(3, 8))

    def test_tokens_received_together_form_one_batch(self) -> None:
        stream = self.open(self.serve_bytes(build.whole_stream(0, 8)))
        batches = list(stream.batches())
        raw = b"".join(batch.raw for batch in batches)
        self.assertEqual(raw, build.events(0, 8, 8) + build.DONE)
        self.assertLess(len(batches), 8)
        self.assertTrue(batches[-1].is_last)

    def test_accepts_every_valid_json_encoding_of_a_token(
        self,
    ) -> None:
        """Guards against cutting off a correct answer within an emoji.

        An engine may send each half of a surrogate pair as one token. orjson
        rejects such text; the standard library's decoder accepts it.
        """
        cases = {
            "half a surrogate pair": (rb'"\ud83d"', "\ud83d"),
            "an escaped text": (rb'"\u00e9\n"', "\u00e9\n"),
            "text outside ASCII": ('"\u00e9"'.encode(), "\u00e9"),
        }
        for name, (encoded, text) in cases.items():
            with self.subTest(name):
                first = build.event(0)
                first_text = json.dumps(build.answer_text(1)).encode()
                self.assertIn(first_text, first)
                raw = first.replace(first_text, encoded) + build.events(1, 3, 3)
                data = build.STREAM_HEAD + build.chunk(raw + build.DONE)
                stream = self.open(self.serve_bytes(data + build.LAST_CHUNK))
                batches = list(stream.batches())
                self.assertEqual(batches[0].tokens[0].text, text)
                passed = b"".join(batch.raw for batch in batches)
                self.assertEqual(passed, raw + build.DONE)

    def test_events_split_across_chunks_are_reassembled(self) -> None:
        body = build.events(0, 3, 3) + build.DONE

        def script(sock: Any, request: bytes) -> None:
            sock.sendall(build.STREAM_HEAD)
            for start in range(0, len(body), 50):
                sock.sendall(build.chunk(body[start : start + 50]))
                gevent.sleep(0)
            sock.sendall(build.LAST_CHUNK)

        tokens = list(self.open(self.serve(script)))
        self.assertEqual(len(tokens), 3)

    def test_a_resumed_stream_starts_at_its_first_index(self) -> None:
        server = self.serve_bytes(build.whole_stream(5, 8))
        tokens = list(self.open(server, first_index=5))
        self.assertEqual([token.index for token in tokens], [5, 6, 7])


class BrokenStreamTest(StreamCase):
    """Guards against passing on an incomplete answer or another caller's.

    An engine may die, skip a token or mix up two answers while all bytes up to
    that point are well formed. A caller would then act on a truncated answer or
    on another caller's if the end of the stream or an event went unchecked.
    """

    def test_incomplete_or_malformed_streams_raise_an_error(self) -> None:
        head = build.STREAM_HEAD
        last = build.LAST_CHUNK
        first_four = build.events(0, 4, 8)
        cases = {
            "cut after four tokens": head + build.chunk(first_four),
            "clean end without finish_reason": head
            + build.chunk(first_four)
            + last,
            "[DONE] without finish_reason": head
            + build.chunk(first_four + build.DONE)
            + last,
            "finish_reason without [DONE]": head
            + build.chunk(build.events(0, 8, 8))
            + last,
            "a token left out": head
            + build.chunk(first_four + build.event(5))
            + last,
            "a token twice": head
            + build.chunk(first_four + build.event(3))
            + last,
            "token after the finish": head
            + build.chunk(build.events(0, 8, 8) + build.event(8))
            + last,
            "not JSON": head + build.chunk(b"data: {\n\n") + last,
            "not UTF-8": head
            + build.chunk(build.event(0).replace(b"{", b'{"x": "\xff", ', 1))
            + last,
            "not an object": head + build.chunk(b"data: 7\n\n") + last,
            "nested too deep": head
            + build.chunk(b"data: " + b"[" * 100_000 + b"\n\n")
            + last,
            "a delta that is no object": head
            + build.chunk(
                build.event(0).replace(b'"text"', b'"delta": null, "x"')
            )
            + last,
            "engine's error": head
            + build.chunk(
                first_four + b'data: {"error": {"type": "crash"}}\n\n'
            )
            + last,
        }
        for name, data in cases.items():
            with self.subTest(name):
                stream = self.open(self.serve_bytes(data))
                with self.assertRaises(errors.StreamBrokenError):
                    list(stream)

    def test_an_event_with_another_request_id_is_a_foreign_answer(self) -> None:
        data = build.events(0, 2, 8) + build.event(2, request_id="other")
        stream = self.open(
            self.serve_bytes(build.STREAM_HEAD + build.chunk(data))
        )
        with self.assertRaises(errors.ForeignAnswerError):
            list(stream)

    def test_a_head_with_another_request_id_is_a_foreign_answer(self) -> None:
        data = build.whole_stream(0, 8).replace(
            b"\r\n\r\n", b"\r\nx-request-id: other\r\n\r\n", 1
        )
        server = self.serve_bytes(data)
        opened = streams.EngineStream.open(
            server.address, "/v1/completions", b"{}", build.REQUEST_ID
        )
        self.assertIsInstance(opened.unwrap_err(), errors.ForeignAnswerError)

    def test_idle_timeout_ends_the_stream_of_a_silent_engine(self) -> None:
        data = build.STREAM_HEAD + build.chunk(build.events(0, 2, 8))
        server = self.serve_bytes(data, close=False)
        stream = self.open(server, idle_timeout_s=0.05)
        with self.assertRaises(errors.StreamBrokenError):
            list(stream)


class OpeningTest(StreamCase):
    def open_error(self, address: Any) -> errors.EngineError:
        return streams.EngineStream.open(
            address, "/v1/completions", b"{}", build.REQUEST_ID
        ).unwrap_err()

    def test_refused_connection_has_outcome_not_run(self) -> None:
        error = self.open_error(build.closed_address())
        self.assertIsInstance(error, errors.EngineUnreachableError)
        self.assertEqual(error.outcome, "not-run")

    def test_connection_lost_after_send_has_outcome_unknown(self) -> None:
        error = self.open_error(self.serve_bytes(b"").address)
        self.assertIsInstance(error, errors.AnswerLostError)
        self.assertEqual(error.outcome, "unknown")

    def test_a_refusal_has_outcome_not_run_and_a_retry_delay(self) -> None:
        body = b'{"type": "queue-full"}'
        answer = build.plain_answer(body, headers=b"retry-after: 2\r\n")
        answer = answer.replace(b"200 OK", b"503 Busy")
        error = self.open_error(self.serve_bytes(answer).address)
        assert isinstance(error, errors.EngineRefusedError)
        self.assertEqual(error.outcome, "not-run")
        self.assertEqual(error.reason, "queue-full")
        self.assertEqual(error.retry_after_s, 2.0)

    def test_a_500_answer_has_outcome_unknown(self) -> None:
        answer = build.plain_answer(b"").replace(b"200 OK", b"500 Oh")
        error = self.open_error(self.serve_bytes(answer).address)
        self.assertEqual(error.outcome, "unknown")


class CancelTest(StreamCase):
    def cancels(self, server: Any) -> list[bytes]:
        return [r for r in server.requests if build.is_cancel(r)]

    def test_closing_early_cancels_at_the_engine(self) -> None:
        data = build.STREAM_HEAD + build.chunk(build.events(0, 2, 8))
        server = self.serve_bytes(data, close=False)
        stream = self.open(server)
        next(stream.batches())
        stream.close()
        self.assertTrue(build.wait_until(lambda: bool(self.cancels(server))))
        sent = build.document_of(self.cancels(server)[0])
        self.assertEqual(sent, {"request_id": build.REQUEST_ID})
        stream.close()
        gevent.sleep(0.02)
        self.assertEqual(len(self.cancels(server)), 1)

    def test_a_finished_stream_is_not_cancelled(self) -> None:
        server = self.serve_bytes(build.whole_stream(0, 8))
        stream = self.open(server)
        list(stream)
        stream.close()
        gevent.sleep(0.02)
        self.assertEqual(self.cancels(server), [])


class FinishTest(StreamCase):
    def test_a_finished_answer_is_read_to_its_last_byte(self) -> None:
        """Guards against engines counting complete answers as cancelled.

        If the stream closes its connection at ``[DONE]``, the last bytes of the
        chunked body arrive at a closed socket and reset the connection.
        """
        resets: list[OSError] = []
        ends: list[bytes] = []
        whole = build.whole_stream(0, 8).removesuffix(build.LAST_CHUNK)

        def script(sock: Any, request: bytes) -> None:
            sock.sendall(whole)
            try:
                for part in (build.LAST_CHUNK[:3], build.LAST_CHUNK[3:]):
                    gevent.sleep(0.02)
                    sock.sendall(part)
                ends.append(sock.recv(1))
            except OSError as error:
                resets.append(error)

        stream = self.open(self.serve(script))
        list(stream)
        stream.close()
        self.assertTrue(build.wait_until(lambda: bool(ends or resets)))
        self.assertEqual((ends, resets), ([b""], []))


class FairnessTest(StreamCase):
    """Guards against one busy stream that delays all other greenlets.

    If an engine sends faster than its stream is read, reading never blocks and
    the greenlet never yields; first tokens of other callers came 90 ms late.
    Yielding alone lets other greenlets run, but does not poll their sockets.
    """

    def read_while_running(self, turn: Callable[[], None]) -> list[int]:
        """Returns the tokens read between consecutive turns of a greenlet."""
        count = 5000
        server = self.serve_bytes(build.whole_stream(0, count), close=False)
        stream = self.open(server)
        turn_indices = [0]

        def other() -> None:
            while True:
                turn()
                turn_indices.append(stream.next_index)

        greenlet = gevent.spawn(other)
        self.assertEqual(len(list(stream)), count)
        greenlet.kill()
        turn_indices.append(count)
        return [b - a for a, b in itertools.pairwise(turn_indices)]

    def test_a_busy_stream_lets_other_greenlets_run(self) -> None:
        gaps = self.read_while_running(lambda: gevent.sleep(0))
        self.assertLessEqual(max(gaps), 256)

    def test_a_busy_stream_lets_other_greenlets_use_their_sockets(self) -> None:
        near, far = socket.socketpair()
        self.addCleanup(near.close)
        self.addCleanup(far.close)

        def echo() -> None:
            while data := far.recv(1):
                far.sendall(data)

        echoing = gevent.spawn(echo)
        self.addCleanup(echoing.kill)

        def round_trip() -> None:
            near.sendall(b"x")
            near.recv(1)

        self.assertLessEqual(max(self.read_while_running(round_trip)), 350)


if __name__ == "__main__":
    unittest.main()
