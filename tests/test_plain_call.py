"""Tests of requests to plain services: answers, repeats and refusals."""

import random
import unittest
import unittest.mock
from typing import Any

from gevent import socket

from mulberrywharf import clock, errors, server_limits
from mulberrywharf.forwarding import (
    ejection_filter,
    handover,
    held_answers,
    plain_call,
    repeats,
    server_client,
    server_tracker,
)
from mulberrywharf.platform import requests
from mulberrywharf.policy import repeat_budget
from mulberrywharf.routes import kinds
from tests import builders_engines
from tests import builders_routes as build

RECEIPT = b"x-mulberrywharf-response-signature: r\r\n"
ECHO = b"x-mulberrywharf-request-id: request-1\r\n"


class StaticServers:
    """A server list whose servers a test sets."""

    def __init__(self, *servers: Any):
        self.servers = servers

    def usable(self, service: str) -> tuple[Any, ...]:
        return tuple(
            one
            for one in self.servers
            if one.service == service and not one.is_draining
        )

    def unlisted(self, server_ids: Any) -> list[str]:
        return []


def answer(
    body: bytes = b"fine", status: bytes = b"200 OK", extra: bytes = b""
) -> bytes:
    length = b"content-length: %d\r\n" % len(body)
    head = b"HTTP/1.1 " + status + b"\r\n" + RECEIPT + ECHO + extra + length
    return head + b"\r\n" + body


def refusal(status: bytes = b"503 Busy") -> bytes:
    head = b"HTTP/1.1 " + status + b"\r\nx-mulberrywharf-not-executed: 1\r\n"
    return head + b"content-length: 0\r\n\r\n"


class CallCase(builders_engines.ScriptedServerCase):
    first_server = 0
    ejections: Any = ejection_filter.NoEjections()
    handovers: Any = handover.NoHandovers()
    held = held_answers.HeldAnswers()

    def setUp(self) -> None:
        self.clock = clock.SystemClock()
        self.tracker = server_tracker.ServerTracker("zone-a")
        self.limits = server_limits.ServerLimits(self.clock)
        self.client = server_client.ServerClient(
            requests.ServerDialect(),
            self.tracker,
            self.clock,
            self.limits,
        )
        self.addCleanup(self.client.close)
        self.crashes = build.crash_watch_for(self.client, self.tracker)
        self.budget = repeat_budget.RepeatBudget(
            repeat_budget.RepeatBudgetSettings(allowance_count=100.0)
        )

    def respond_with(self, data: bytes) -> Any:
        return self.serve(lambda sock, _: sock.sendall(data))

    def call(
        self, *scripted: Any, kind: Any = None, **changes: Any
    ) -> plain_call.WholeAnswer:
        servers = [
            build.server(f"s{number}", one.address)
            for number, one in enumerate(scripted, self.first_server)
        ]
        calls = plain_call.PlainCalls(
            plain_call.Dependencies(
                StaticServers(*servers),
                self.tracker,
                self.client,
                self.limits,
                repeats.Repeats(self.budget, self.clock),
                self.crashes,
                self.clock,
                random.Random(1),
                self.ejections,
                self.handovers,
                held=self.held,
            )
        )
        route = build.route(kind=kinds.Idempotent() if kind is None else kind)
        routed_request = build.routed_request(
            self.clock.monotonic_s(), **changes
        )
        return calls.call(
            routed_request, route._replace(timeout_s=1.0), "service"
        )

    def failure(self, *scripted: Any, **changes: Any) -> errors.RequestError:
        with self.assertRaises(errors.RequestError) as caught:
            self.call(*scripted, **changes)
        return caught.exception


class PassThroughTest(CallCase):
    def test_request_and_answer_pass_unchanged(self) -> None:
        server = self.respond_with(answer(b"\x00body", extra=b"x-own: 1\r\n"))
        got = self.call(server)
        self.assertEqual(got.body, b"\x00body")
        self.assertIn(("x-own", "1"), got.head.fields)
        (sent,) = server.requests
        self.assertTrue(sent.startswith(b"POST /a/x?q=1 HTTP/1.1\r\n"))
        self.assertTrue(sent.endswith(b"\r\n\r\nbody"))
        self.assertEqual(
            builders_engines.header(sent, b"host"), build.HOST.encode()
        )

    def test_server_receives_its_name_and_the_time_left(self) -> None:
        server = self.respond_with(answer())
        self.call(server)
        head = server.requests[0]
        self.assertEqual(
            builders_engines.header(head, b"x-mulberrywharf-expected-instance"),
            b"s0",
        )
        left_ms = int(
            builders_engines.header(head, b"x-mulberrywharf-deadline-ms")
        )
        self.assertLessEqual(left_ms, 1000)
        self.assertGreater(left_ms, 900)

    def test_a_server_failure_passes_unchanged(self) -> None:
        server = self.respond_with(answer(b"broken", b"500 Broken"))
        got = self.call(server, kind=kinds.AtMostOnce())
        self.assertEqual((got.head.status, got.body), (500, b"broken"))

    def test_answer_that_ends_with_its_connection_is_complete(self) -> None:
        def script(sock: Any, _: bytes) -> None:
            sock.sendall(b"HTTP/1.1 200 OK\r\n" + RECEIPT + ECHO + b"\r\nall")
            sock.shutdown(socket.SHUT_WR)

        self.assertEqual(self.call(self.serve(script)).body, b"all")


class RepeatTest(CallCase):
    def test_refused_request_is_sent_to_another_server(self) -> None:
        for kind in (kinds.Idempotent(), kinds.AtMostOnce()):
            got = self.call(
                self.respond_with(refusal()),
                self.respond_with(answer()),
                kind=kind,
            )
            self.assertEqual(got.body, b"fine")

    def test_a_call_for_one_run_goes_where_it_ends_in_time(self) -> None:
        """Guards against a call that is late and can't be sent again.

        The first server is less loaded, but may need longer than is left.
        """
        now_s = self.clock.monotonic_s()
        for number, (pace, requests_count) in enumerate([(2.5, 0), (1.0, 5)]):
            server = build.server(f"s{number}")
            self.tracker.succeeded(server.start, 0.5)
            self.tracker.paces.note(server, pace, now_s)
            self.tracker.note_requests_count(
                server.start, requests_count, now_s
            )
        for kind, body in (
            (kinds.Idempotent(), b"first"),
            (kinds.AtMostOnce(), b"second"),
        ):
            got = self.call(
                self.respond_with(answer(b"first")),
                self.respond_with(answer(b"second")),
                kind=kind,
            )
            self.assertEqual(got.body, body)

    def test_failed_request_is_repeated_only_if_it_may_run_again(self) -> None:
        """A check-in ran twice.

        The first server ran it and answered 500, and the request was sent to
        another server as after any failure, although it must run at most once.
        """
        broken = self.respond_with(answer(b"broken", b"500 Broken"))
        healthy = self.respond_with(answer())
        self.assertEqual(self.call(broken, healthy).body, b"fine")
        self.tracker.succeeded("s0", 0.001)
        got = self.call(broken, kind=kinds.AtMostOnce())
        self.assertEqual(got.head.status, 500)

    def test_lost_answer_of_an_at_most_once_request_is_not_repeated(
        self,
    ) -> None:
        """A payment was charged twice, or reported as not run.

        The server closed the connection without an answer, and that was taken
        to mean that the request had not run.
        """
        lost = self.serve(lambda sock, _: sock.close())
        other = self.respond_with(answer())
        error = self.failure(lost, kind=kinds.AtMostOnce())
        self.assertEqual((error.status, error.outcome), (502, "unknown"))
        self.assertEqual(other.requests, [])

    def test_lost_answer_of_an_idempotent_request_is_repeated(self) -> None:
        lost = self.serve(lambda sock, _: sock.close())
        self.assertEqual(
            self.call(lost, self.respond_with(answer())).body, b"fine"
        )

    def test_route_limits_the_number_of_attempts(self) -> None:
        broken = [
            self.respond_with(answer(b"", b"500 Broken")) for _ in range(3)
        ]
        self.assertEqual(self.call(*broken).head.status, 500)
        self.assertEqual(sum(len(one.requests) for one in broken), 2)

    def test_exhausted_repeat_budget_ends_the_attempts(self) -> None:
        self.budget.configure(repeat_budget.RepeatBudgetSettings(ratio=0.0))
        error = self.failure(
            self.respond_with(refusal()), self.respond_with(answer())
        )
        self.assertEqual((error.status, error.outcome), (503, "not-run"))
        assert error.retry_after_s is not None
        self.assertLess(error.retry_after_s, 0.3)


class RefusalTest(CallCase):
    def test_no_server_is_reported_as_not_run(self) -> None:
        error = self.failure()
        self.assertEqual((error.status, error.outcome), (503, "not-run"))

    def test_unreachable_servers_are_reported_as_not_run(self) -> None:
        closed = self.respond_with(b"")
        closed.close()
        error = self.failure(closed, kind=kinds.AtMostOnce())
        self.assertEqual((error.status, error.outcome), (503, "not-run"))

    def test_silent_server_times_out_at_the_route_timeout(self) -> None:
        """The caller waited longer than the operators allow.

        The server accepted the request and sent nothing. Only single reads had
        a timeout.
        """
        silent = self.serve(lambda sock, _: sock.recv(1))
        before_s = self.clock.monotonic_s()
        error = self.failure(silent)
        self.assertEqual((error.status, error.outcome), (504, "unknown"))
        self.assertLess(self.clock.monotonic_s() - before_s, 1.4)


class SuccessTest(CallCase):
    """Answers that may be truncated counted as successes of their servers."""

    def test_only_answers_with_a_marked_end_are_successes(self) -> None:
        whole = answer()
        unframed = whole.replace(b"content-length: 4\r\n", b"")
        for data, successes_count in ((whole, 1), (unframed, 0)):
            with (
                self.subTest(data),
                unittest.mock.patch.object(self.tracker, "succeeded") as noted,
                unittest.mock.patch.object(
                    self.crashes, "note_completed"
                ) as completed,
            ):

                def script(sock: Any, _: bytes, data: bytes = data) -> None:
                    sock.sendall(data)
                    sock.close()

                self.assertEqual(self.call(self.serve(script)).body, b"fine")
                self.assertEqual(noted.call_count, successes_count)
                self.assertEqual(completed.call_count, successes_count)


class CrashTest(CallCase):
    def crashing_server(self) -> Any:
        """Returns a server that crashes on its first request."""
        made: list[Any] = []

        def script(sock: Any, _: bytes) -> None:
            builders_engines.gevent.spawn(made[0].close)
            builders_engines.gevent.sleep(1)

        made.append(self.serve(script))
        return made[0]

    def test_request_is_blocked_after_two_crashes(self) -> None:
        """A repeated request crashed one server after another."""
        # After two crashes, the third server is the last one and is not used.
        crashing = [self.crashing_server() for _ in range(3)]
        error = self.failure(*crashing)
        self.assertEqual(sum(bool(one.requests) for one in crashing), 2)
        self.assertEqual((error.status, error.outcome), (502, "unknown"))
        healthy = self.respond_with(answer())
        refused = self.failure(healthy, request_id="another")
        self.assertEqual((refused.status, refused.outcome), (503, "not-run"))
        self.assertEqual(healthy.requests, [])

    def test_at_most_once_request_is_blocked_when_callers_repeat_it(
        self,
    ) -> None:
        for number in range(2):
            self.first_server = 2 * number
            crashing = [self.crashing_server(), self.crashing_server()]
            error = self.failure(*crashing, kind=kinds.AtMostOnce())
            self.assertEqual((error.status, error.outcome), (502, "unknown"))
        self.first_server = 4
        refused = self.failure(
            self.respond_with(answer()), kind=kinds.AtMostOnce()
        )
        self.assertEqual(refused.code, "crashing-request")


class InvalidAnswerTest(CallCase):
    def test_answer_to_another_request_is_dropped(self) -> None:
        """The caller received another caller's receipt.

        A server sent a late answer to an earlier request, and the next bytes
        on a connection were taken for the answer to the current request.
        """
        foreign = answer().replace(b"request-1", b"request-0")
        error = self.failure(
            self.respond_with(foreign), kind=kinds.AtMostOnce()
        )
        self.assertEqual(error.status, 502)

    def test_a_truncated_answer_is_not_passed_on(self) -> None:
        def script(sock: Any, _: bytes) -> None:
            sock.sendall(answer(b"0123456789")[:-4])
            sock.close()

        truncated = self.serve(script)
        self.assertEqual(
            self.failure(truncated, kind=kinds.AtMostOnce()).status, 502
        )
        self.assertEqual(
            self.call(truncated, self.respond_with(answer())).body, b"fine"
        )

    def test_success_without_signature_is_not_passed_on(self) -> None:
        unsigned = answer().replace(RECEIPT, b"")
        error = self.failure(
            self.respond_with(unsigned), kind=kinds.AtMostOnce()
        )
        self.assertEqual(error.status, 502)

    def test_bytes_after_an_answer_never_reach_the_next_request(self) -> None:
        """The second request on a connection received bytes of the first.

        A server sent a second answer after the first one, and the connection
        was reused.
        """
        server = self.respond_with(answer(b"one") + answer(b"extra"))
        for _ in range(2):
            try:
                got = self.call(server)
            except errors.BackEndLostError:
                continue
            self.assertEqual(got.body, b"one")
        self.assertEqual(server.requests_per_connection, [1, 1])

    def test_refusal_before_the_body_was_read_is_passed_on(self) -> None:
        """A caller with a long body waited until its deadline.

        A server refused the request after its head and read no further. The
        whole body had to be written before the answer was read.
        """
        listener = socket.socket()
        self.addCleanup(listener.close)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen(1)

        def refuse() -> None:
            sock, _ = listener.accept()
            sock.recv(1000)
            sock.sendall(refusal())
            self.addCleanup(sock.close)

        import gevent

        refusing = gevent.spawn(refuse)
        self.addCleanup(refusing.kill)
        address = builders_engines.fleet.Address(
            "127.0.0.1", listener.getsockname()[1]
        )

        class EarlyRefuser:
            def __init__(self) -> None:
                self.address = address

        before_s = self.clock.monotonic_s()
        error = self.failure(EarlyRefuser(), body=b"x" * 8_000_000)
        self.assertEqual((error.status, error.outcome), (503, "not-run"))
        self.assertLess(self.clock.monotonic_s() - before_s, 0.6)


if __name__ == "__main__":
    unittest.main()
