"""Tests of requests that one gateway hands over to another one."""

import itertools
import random
import time
import unittest
import unittest.mock
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

import gevent
from gevent import socket
from result import Err, Ok

from mulberrywharf import errors, fleet, metrics
from mulberrywharf.callers import caller_watch, listener
from mulberrywharf.peers import (
    handover_client,
    handover_codec,
    handover_server,
    path_codec,
)
from mulberrywharf.peers import handover_fields as hop
from mulberrywharf.platform import requests
from mulberrywharf.policy import helpers
from mulberrywharf.routes import kinds
from standins import fault_proxy
from tests import builders_platform

TOKEN = "token-of-the-helper"
WAIT_S = 2.0
BODY = b"x" * 300


class Response(NamedTuple):
    status_line: str
    headers: list[tuple[str, str]]
    body: Iterable[bytes]
    server: fleet.ServerStart | None = None
    is_framed: bool = True
    version_key: int | None = None


class Helper:
    """A gateway that serves handed over requests with a function."""

    def __init__(self) -> None:
        self.runs: list[handover_codec.HandedRequest] = []
        self.offers: list[handover_server.Offer] = []
        self.respond: Callable[[], Response] = lambda: Response(
            "200 OK", [("x-own", "1"), ("content-length", "4")], [b"fine"]
        )
        self.reaches_servers = True
        self.listener = listener.CallerListener(
            "127.0.0.1",
            0,
            header_limit_bytes=handover_server.HEAD_LIMIT_BYTES,
            body_limit_bytes=handover_server.BODY_LIMIT_BYTES,
        )
        self.server = handover_server.HandoverServer(
            self.listener,
            self,
            "helper",
            lambda service: self.reaches_servers,
            self.serve,
        )
        self.listener.start()

    def is_own_token(self, token: str) -> bool:
        return token == TOKEN

    def serve(
        self,
        offer: handover_server.Offer,
        handed: handover_codec.HandedRequest,
        sock: Any,
    ) -> Response:
        self.offers.append(offer)
        self.runs.append(handed)
        self.sock = sock
        return self.respond()


def handed_request(**changes: Any) -> handover_codec.HandedRequest:
    made = handover_codec.HandedRequest(
        method="POST",
        target="/a/x?q=1",
        host="callers.example",
        fields=(("x-mulberrywharf-request-id", "request-1"), ("x-é", "ü")),
        body=BODY,
        service="service",
        route=handover_codec.HandedRoute(
            "route", kinds.AtMostOnce(), 2, 3, 0.25, None
        ),
        left_s=1.5,
        waited_s=0.25,
        customer="someone",
    )
    return made._replace(**changes)


class HandoverCase(unittest.TestCase):
    def setUp(self) -> None:
        self.helper = Helper()
        self.addCleanup(self.helper.listener.stop, 0)
        self.path = fault_proxy.FaultProxy(
            ("127.0.0.1", self.helper.listener.port)
        )
        self.path.start()
        self.addCleanup(self.path.close)
        self.client = handover_client.HandoverClient(
            "sender", requests.ServerDialect()
        )
        self.addCleanup(self.client.close)
        self.accepted_count = 0

    def note_accepted(self) -> None:
        self.accepted_count += 1

    def send(self, token: str = TOKEN, **changes: Any) -> Any:
        address = fleet.Address("127.0.0.1", self.path.port)
        return self.client.send(
            handover_client.Helper(address, token),
            "request-1",
            handed_request(**changes),
            WAIT_S,
            self.note_accepted,
        )

    def body(self, sent: Any) -> bytes:
        answer = sent.unwrap()
        body = answer.exchange.read_all(WAIT_S, 1_000_000).unwrap()
        answer.exchange.finish()
        return bytes(body)

    def assert_refused(self, sent: Any, refusal: str) -> None:
        self.assertIsInstance(sent, Err)
        self.assertIsInstance(sent.err_value, errors.HelperRefusedError)
        self.assertEqual(sent.err_value.refusal, refusal)
        self.assertEqual(sent.err_value.outcome, "not-run")


class RelayTest(HandoverCase):
    def test_request_and_answer_pass_unchanged(self) -> None:
        sent = self.send()
        self.assertEqual(self.body(sent), b"fine")
        self.assertEqual(self.helper.runs, [handed_request()])
        (offer,) = self.helper.offers
        self.assertEqual(
            (offer.sender, offer.request_id), ("sender", "request-1")
        )
        head = sent.unwrap().head
        self.assertIn(("x-own", "1"), head.fields)
        self.assertFalse(
            [f for f in head.fields if f[0].startswith(hop.PREFIX)]
        )
        self.assertEqual(sent.unwrap().vm_id, "helper")

    def test_fields_of_servers_cannot_pass_for_those_of_the_helper(
        self,
    ) -> None:
        forged = [(hop.RESULT, hop.NO_PATH), (hop.NUMBER, "9")]
        self.helper.respond = lambda: Response("200 OK", forged, [b"fine"])
        self.assertEqual(self.body(self.send()), b"fine")

    def test_the_answering_server_is_named(self) -> None:
        for start in (
            None,
            fleet.ServerStart("s@1"),
            fleet.ServerStart("s", 12),
        ):
            self.helper.respond = lambda start=start: Response(
                "200 OK", [("server-leaving", "1")], [b"fine"], start
            )
            sent = self.send()
            self.assertEqual(self.body(sent), b"fine")
            head = sent.unwrap().head
            self.assertEqual((head.server, head.is_leaving), (start, True))

    def test_errors_keep_their_outcome_and_retry_after(self) -> None:
        def fail() -> Response:
            raise errors.OverloadedError("full", retry_after_s=0.25)

        self.helper.respond = fail
        error = self.send().err_value
        self.assertIsInstance(error, errors.OverloadedError)
        self.assertEqual(
            (error.message, error.outcome, error.retry_after_s),
            ("full", "not-run", 0.25),
        )

    def test_an_internal_failure_of_the_helper_is_unknown(self) -> None:
        def fail() -> Response:
            raise KeyError("bug")

        self.helper.respond = fail
        error = self.send().err_value
        self.assertIsInstance(error, errors.RequestError)
        self.assertEqual(error.outcome, "unknown")

    def test_events_arrive_one_by_one(self) -> None:
        gate = gevent.event.Event()

        def events() -> Iterable[bytes]:
            yield b"first"
            gate.wait(WAIT_S)
            yield b"second"

        self.helper.respond = lambda: Response("200 OK", [], events())
        answer = self.send().unwrap()
        self.assertEqual(answer.exchange.read_some(WAIT_S), Ok(b"first"))
        gate.set()
        self.assertEqual(answer.exchange.read_some(WAIT_S), Ok(b"second"))
        self.assertEqual(answer.exchange.read_some(WAIT_S), Ok(b""))

    def test_a_slow_reader_does_not_fill_the_helper(self) -> None:
        """Guards against a helper that buffers an answer nobody reads."""
        made_count = 0

        def blocks() -> Iterable[bytes]:
            nonlocal made_count
            for made_count in range(10_000):  # noqa: B007
                yield b"x" * 65_536

        self.helper.respond = lambda: Response("200 OK", [], blocks())
        answer = self.send().unwrap()
        gevent.sleep(0.5)
        self.assertLess(made_count, 1_000)
        answer.exchange.close()
        self.assertTrue(
            builders_platform.wait_until(lambda: self.helper.server.load == 0)
        )

    def test_a_caller_that_leaves_ends_the_request_at_the_helper(self) -> None:
        ended: list[bool] = []

        def events() -> Iterable[bytes]:
            try:
                while True:
                    yield b"event"
                    gevent.sleep(0.01)
            finally:
                ended.append(True)

        self.helper.respond = lambda: Response("200 OK", [], events())
        answer = self.send().unwrap()
        self.assertEqual(self.helper.server.load, 1)
        answer.exchange.close()
        self.assertTrue(builders_platform.wait_until(lambda: bool(ended)))
        self.assertTrue(
            builders_platform.wait_until(lambda: self.helper.server.load == 0)
        )


class TruthTest(HandoverCase):
    """Requests were reported as not run although another gateway ran them."""

    def judge(self, sent: Any) -> None:
        runs_count = len(self.helper.runs)
        self.assertLessEqual(runs_count, 1)
        if isinstance(sent, Ok):
            self.assertEqual(runs_count, 1)
            sent.ok_value.exchange.close()
        elif sent.err_value.outcome == "not-run":
            gevent.sleep(0.02)
            self.assertEqual(len(self.helper.runs), 0)

    def test_reset_behind_any_byte_of_the_request(self) -> None:
        outcomes = set()
        for limit_bytes in range(1, 1_100, 37):
            self.helper.runs.clear()
            self.path.set_faults(reset_after_up_bytes=limit_bytes)
            sent = self.send()
            self.judge(sent)
            outcomes.add(
                "answered" if isinstance(sent, Ok) else sent.err_value.outcome
            )
        self.assertIn("not-run", outcomes)

    def test_reset_behind_any_byte_of_the_answer(self) -> None:
        for limit_bytes in range(1, 400, 11):
            self.helper.runs.clear()
            self.path.set_faults(reset_after_down_bytes=limit_bytes)
            self.judge(self.send())

    def test_silent_helper_is_given_up_before_it_has_the_body(self) -> None:
        self.path.set_faults(mode="freeze")
        sent = self.send()
        self.assert_refused(sent, "silent")
        self.assertEqual(self.accepted_count, 0)
        self.path.set_faults(mode="pass")
        gevent.sleep(0.3)
        self.assertEqual(self.helper.runs, [])

    def test_helper_that_stops_listening_is_silent(self) -> None:
        self.assertEqual(self.body(self.send()), b"fine")
        self.path.set_faults(mode="refuse")
        self.path.reset_all()
        self.assert_refused(self.send(), "silent")

    def test_idle_connections_that_were_closed_cost_no_request(self) -> None:
        self.assertEqual(self.body(self.send()), b"fine")
        self.path.reset_all()
        gevent.sleep(0.05)
        self.assertEqual(self.body(self.send()), b"fine")

    def test_broken_answer_is_unknown(self) -> None:
        def events() -> Iterable[bytes]:
            yield b"first"
            raise errors.BackEndLostError("broken", outcome="unknown")

        self.helper.respond = lambda: Response("200 OK", [], events())
        answer = self.send().unwrap()
        self.assertEqual(answer.exchange.read_some(WAIT_S), Ok(b"first"))
        broken = answer.exchange.read_some(WAIT_S)
        self.assertIsInstance(broken, Err)
        self.assertEqual(broken.err_value.outcome, "unknown")


class EndTest(HandoverCase):
    """The end of a relayed answer was taken for that of the server's answer."""

    def test_the_sender_learns_that_the_server_marked_no_end(self) -> None:
        for is_framed in (True, False):
            self.helper.respond = lambda is_framed=is_framed: Response(
                "200 OK", [], iter([b"first"]), None, is_framed
            )
            sent = self.send()
            self.assertEqual(self.body(sent), b"first")
            self.assertEqual(sent.unwrap().is_framed, is_framed)

    def test_the_end_of_an_earlier_build_proves_nothing(self) -> None:
        with unittest.mock.patch.object(hop, "PROTOCOL_VERSION", 1):
            sent = self.send()
        self.assertEqual(self.body(sent), b"fine")
        self.assertFalse(sent.unwrap().is_framed)

    def test_an_earlier_build_gets_no_end_that_the_server_did_not_mark(
        self,
    ) -> None:
        self.helper.respond = lambda: Response(
            "200 OK", [], iter([b"first"]), None, False
        )
        with unittest.mock.patch.object(hop, "PROTOCOL_VERSION", 1):
            answer = self.send().unwrap()
        self.assertEqual(answer.exchange.read_some(WAIT_S), Ok(b"first"))
        self.assertIsInstance(answer.exchange.read_some(WAIT_S), Err)


class VersionTest(HandoverCase):
    """Streams that must go on at one version went on at any behind the hop."""

    def test_the_version_goes_along_and_comes_back(self) -> None:
        for version_key in (None, 0, 2**64 - 1):
            self.helper.respond = lambda key=version_key: Response(
                "200 OK", [], iter([b"first"]), version_key=key
            )
            sent = self.send(version_key=version_key)
            self.assertEqual(self.body(sent), b"first")
            self.assertEqual(self.helper.runs[-1].version_key, version_key)
            self.assertEqual(sent.unwrap().version_key, version_key)

    def test_an_earlier_build_does_not_take_a_stream_at_a_version(
        self,
    ) -> None:
        earlier = frozenset({hop.PATH})
        with unittest.mock.patch.object(handover_server, "_PATHS", earlier):
            self.assert_refused(self.send(version_key=7), "silent")
            self.assertEqual(self.body(self.send()), b"fine")
        self.assertEqual(len(self.helper.runs), 1)

    def test_a_stream_of_an_earlier_build_has_no_version(self) -> None:
        """An earlier build names none; the stream goes on as any unknown."""
        sent = self.send()
        self.assertIsNone(self.helper.runs[-1].version_key)
        self.assertIsNone(sent.unwrap().version_key)


class LongNumbersTest(unittest.TestCase):
    def test_numbers_of_too_many_digits_count_as_not_stated(self) -> None:
        """Guards against an exception by a field of another gateway."""
        fields = {
            hop.SERVER_ID: "server-1",
            hop.SERVER_STARTED_MS: "9" * 5_000,
            hop.LOAD: "9" * 400,
        }
        answer: Any = unittest.mock.Mock(header=fields.get)
        self.assertEqual(
            handover_client._server(answer), fleet.ServerStart("server-1", None)
        )
        self.assertEqual(handover_client._number(fields[hop.LOAD]), 0.0)


class RefusalTest(HandoverCase):
    """Frames that no gateway sent, and requests beyond a helper's bounds."""

    def rejected(self) -> str:
        return metrics.render_text()[0].decode()

    def raw(self, data: bytes) -> bytes:
        address = ("127.0.0.1", self.helper.listener.port)
        with socket.create_connection(address, timeout=WAIT_S) as sock:
            sock.sendall(data)
            return bytes(sock.recv(65_536))

    def test_strangers_are_rejected_before_their_body(self) -> None:
        self.assert_refused(self.send(token="stranger"), "silent")
        self.assertEqual(self.accepted_count, 0)
        self.assertIn(
            'mulberry_handovers_rejected_total{reason="unauthenticated"}',
            self.rejected(),
        )

    def test_malformed_bodies_are_rejected(self) -> None:
        good = handover_codec.encode(handed_request())
        rng = random.Random(5)
        for _ in range(20):
            spoilt = bytearray(good)
            spoilt[rng.randrange(len(good))] ^= 1 << rng.randrange(8)
            head = (
                f"POST {hop.PATH} HTTP/1.1\r\nhost: h\r\n"
                f"{hop.TOKEN}: {TOKEN}\r\n"
                f"content-length: {len(spoilt)}\r\n\r\n"
            )
            answer = self.raw(head.encode() + bytes(spoilt))
            self.assertIn(b": malformed\r\n", answer)
        self.assertEqual(self.helper.runs, [])
        self.assertIn(
            'mulberry_handovers_rejected_total{reason="malformed"}',
            self.rejected(),
        )

    def test_requests_without_a_length_or_too_large_are_rejected(self) -> None:
        for field in (
            "transfer-encoding: chunked",
            f"content-length: {handover_server.BODY_LIMIT_BYTES + 1}",
        ):
            head = (
                f"POST {hop.PATH} HTTP/1.1\r\nhost: h\r\n"
                f"{hop.TOKEN}: {TOKEN}\r\n{field}\r\n\r\n"
            )
            self.assertIn(b": malformed\r\n", self.raw(head.encode()))

    def test_a_helper_without_a_path_says_so_at_once(self) -> None:
        self.helper.reaches_servers = False
        self.assert_refused(self.send(), "no-path")
        self.assertEqual(self.accepted_count, 0)

    def test_a_helper_that_finds_no_path_meanwhile_says_so(self) -> None:
        def fail() -> Response:
            self.helper.reaches_servers = False
            raise errors.NoEngineError("none is left to try")

        self.helper.respond = fail
        self.assert_refused(self.send(), "no-path")

    def test_a_stopping_helper_takes_no_requests(self) -> None:
        self.helper.listener.announce_stop()
        self.assert_refused(self.send(), "no-path")

    def test_a_helper_that_will_stop_too_early_says_so(self) -> None:
        """Guards against ending a request that another gateway can serve."""

        def fail() -> Response:
            raise errors.StoppingError("it would not end in time")

        self.helper.respond = fail
        self.assert_refused(self.send(), "no-path")

    def test_offers_on_a_kept_connection_of_a_stopping_helper_are_refused(
        self,
    ) -> None:
        """Guards against losing a request as the helper closes."""
        self.assertEqual(self.body(self.send()), b"fine")
        finishing = gevent.spawn(self.helper.listener.finish)
        ends_s = time.monotonic() + 1.5
        while time.monotonic() < ends_s:
            sent = self.send()
            self.assertIsInstance(sent.err_value, errors.HelperRefusedError)
            self.assertEqual(sent.err_value.outcome, "not-run")
            gevent.sleep(0.01)
        finishing.get(timeout=WAIT_S)
        self.assertEqual(len(self.helper.runs), 1)

    def test_a_request_accepted_before_a_stop_is_answered(self) -> None:
        """Guards against taking the helper's stop for the sender's close."""

        def respond() -> Response:
            watch = caller_watch.CallerWatch(self.helper.sock)
            watch.start()
            try:
                watch.enable()
                gevent.sleep(1.5)
            finally:
                watch.close()
            return Response("200 OK", [("content-length", "4")], [b"fine"])

        self.helper.respond = respond
        sending = gevent.spawn(self.send)
        gevent.sleep(0.05)
        finishing = gevent.spawn(self.helper.listener.finish)
        self.assertEqual(self.body(sending.get(timeout=5.0)), b"fine")
        finishing.get(timeout=WAIT_S)

    def test_requests_beyond_the_count_or_bytes_are_refused(self) -> None:
        server = self.helper.server
        for count, body_bytes in (
            (handover_server.SERVED_LIMIT_COUNT, 0),
            (1, handover_server.SERVED_LIMIT_BYTES),
        ):
            server.note_in_flight(count, body_bytes)
            self.assert_refused(self.send(), "busy")
            server.note_in_flight(-count, -body_bytes)
        self.assertEqual(self.body(self.send()), b"fine")

    def test_a_helper_short_of_cpu_time_takes_no_more_requests(self) -> None:
        """Guards against helpers whose own callers wait for others'."""
        gate = gevent.event.Event()

        def blocks() -> Iterable[bytes]:
            yield b"first"
            gate.wait(WAIT_S)

        self.helper.respond = lambda: Response("200 OK", [], blocks())
        answer = self.send().unwrap()
        ends_s = time.monotonic() + 1.2
        while time.monotonic() < ends_s:
            time.sleep(0.2)
            gevent.sleep(0.001)
        self.assert_refused(self.send(), "busy")
        gevent.sleep(0.5)
        self.helper.respond = lambda: Response("200 OK", [], [b"fine"])
        self.assertEqual(self.body(self.send()), b"fine")
        gate.set()
        answer.exchange.close()


class CodecTest(unittest.TestCase):
    def test_requests_survive_the_wire(self) -> None:
        every_kind = (
            kinds.AtMostOnce(),
            kinds.Idempotent(),
            kinds.EventStream(resumable=True),
            kinds.EventStream(resumable=False),
        )
        for kind, last_event_id, target_s in itertools.product(
            every_kind, (None, "", "7"), (None, 0.5)
        ):
            handed = handed_request(
                last_event_id=last_event_id,
                is_counted=target_s is None,
                is_admitted=target_s is not None,
                route=handover_codec.HandedRoute(
                    "r", kind, 1, 0, target_s, target_s
                ),
            )
            decoded = handover_codec.decode(handover_codec.encode(handed))
            self.assertEqual(decoded, Ok(handed))

    def test_path_messages_survive_the_wire(self) -> None:
        named = (fleet.Address("10.1.2.3", 7660), fleet.Address("10.9.8.7", 1))
        for body, message in (
            (
                path_codec.encode_question(path_codec.PathQuestion(7)),
                path_codec.PathQuestion(7),
            ),
            (
                path_codec.encode_reply(
                    path_codec.PathReply(
                        9, helpers.Report(can_serve=False, helpers=named)
                    )
                ),
                path_codec.PathReply(
                    9, helpers.Report(can_serve=False, helpers=named)
                ),
            ),
        ):
            self.assertEqual(path_codec.decode(body), Ok(message))
            for cut in range(len(body)):
                decoded = path_codec.decode(body[:cut])
                self.assertNotEqual(decoded, Ok(message))

    def test_malformed_path_messages_are_rejected(self) -> None:
        reply = path_codec.encode_reply(
            path_codec.PathReply(9, helpers.Report(can_serve=True))
        )
        for body in (
            b"",
            b"\x01",
            b"\x03abcd",
            reply + b"x",
            reply + b"x" * 60,
        ):
            self.assertIsInstance(path_codec.decode(body), Err)


if __name__ == "__main__":
    unittest.main()
