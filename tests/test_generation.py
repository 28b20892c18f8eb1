"""Tests of streams from engines: prefill, handover, resume and failures."""

import contextlib
import random
import unittest
import unittest.mock
from typing import Any

from mulberrywharf import clock, errors, fleet, server_limits
from mulberrywharf.forwarding import (
    ejection_filter,
    engine_estimates,
    engine_pool,
    generation,
    handover,
    repeats,
    request,
    server_client,
    server_tracker,
    time_limits,
)
from mulberrywharf.platform import requests
from mulberrywharf.policy import (
    repeat_budget,
    request_limits,
    stream_version,
)
from mulberrywharf.routes import kinds, table
from tests import builders_engines
from tests import builders_routes as build
from tests.builders_crashes import end, record_end
from tests.test_plain_call import ECHO, RECEIPT, StaticServers, refusal

HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    b"transfer-encoding: chunked\r\n" + RECEIPT + ECHO + b"\r\n"
)
HANDLE = b'{"kv-handle":"h1","tokens":16000,"version":1}'
PREFILLED = (
    b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n" % len(HANDLE)
    + ECHO
    + b"\r\n"
    + HANDLE
)
RESUMABLE = kinds.EventStream(True)
NOT_RESUMABLE = kinds.EventStream(False)


def event(number: int) -> bytes:
    return b"id: %d\ndata: token %d\n\n" % (number, number)


def chunks(*parts: bytes, end: bool = True) -> bytes:
    data = b"".join(builders_engines.chunk(part) for part in parts)
    return data + (b"0\r\n\r\n" if end else b"")


class NoNotices:
    """Stands in for the notices to other gateways; sends none."""

    gateways_count = 1

    def receives_notices_for(self, server: Any) -> bool:
        """Claims that notices of every engine reach this gateway."""
        return True

    def add_placement(self, *_: Any) -> None:
        """Discards the placement."""


class _RecordingPool(engine_pool.EnginePool):
    """Records the decode engine of each plan as it is made."""

    planned_decode_ids: list[str]

    def place(
        self, *args: Any, **options: Any
    ) -> engine_pool.PermittedPlacement:
        found = super().place(*args, **options)
        decode = found.placed.plan.decode
        self.planned_decode_ids.append(decode.server.server_id)
        return found


class GenerationCase(builders_engines.ScriptedServerCase):
    crashes: Any = None
    known_servers: tuple[fleet.Server, ...] = ()
    versions: tuple[str, ...] = ("v1",)
    ejections: Any = ejection_filter.NoEjections()
    handovers: Any = handover.NoHandovers()

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

    def open(
        self,
        *scripted: tuple[str, Any],
        kind: Any = RESUMABLE,
        engine: table.EngineTraits = build.ENGINE,
        route: table.Route | None = None,
        **changes: Any,
    ) -> generation.StreamAnswer:
        servers = [
            build.server(
                f"s{number}",
                one.address,
                role=role,
                slots_count=16,
                software_version=self.versions[number % len(self.versions)],
            )
            for number, (role, one) in enumerate(scripted)
        ]
        estimates = engine_estimates.EngineEstimates(
            self.tracker, self.clock, NoNotices(), lambda _: 500_000
        )
        self.servers = StaticServers(*servers)
        self.planned_decode_ids: list[str] = []
        pool = _RecordingPool(
            self.servers,
            self.tracker,
            estimates,
            self.limits,
            self.clock,
            random.Random(1),
        )
        pool.planned_decode_ids = self.planned_decode_ids
        generations = generation.Generations(
            generation.Dependencies(
                pool,
                estimates,
                self.tracker,
                self.client,
                self.limits,
                repeats.Repeats(self.budget, self.clock),
                self.crashes,
                self.clock,
                build.versions_of(*servers, *self.known_servers),
                self.ejections,
                self.handovers,
            )
        )
        route = route or build.route(
            kind=kind, timeout_s=1.0, target_s=0.5, has_prompt=True
        )
        routed_request = build.routed_request(
            self.clock.monotonic_s(), **changes
        )
        return generations.open(
            routed_request, route, table.Service("service", 100, engine)
        )

    def body(self, *scripted: tuple[str, Any], **changes: Any) -> bytes:
        return b"".join(self.open(*scripted, **changes).blocks)

    def decode_engine(self, script: Any) -> tuple[str, Any]:
        return "decode", self.serve(script)

    def respond_with(
        self, data: bytes, role: str = "decode"
    ) -> tuple[str, Any]:
        return role, self.serve(lambda sock, _: sock.sendall(data))

    def break_after(self, data: bytes) -> tuple[str, Any]:
        def script(sock: Any, _: bytes) -> None:
            sock.sendall(data)
            sock.close()

        return self.decode_engine(script)


class StreamTest(GenerationCase):
    def test_events_pass_unchanged(self) -> None:
        engine = self.respond_with(HEAD + chunks(event(1), event(2) + event(3)))
        self.assertEqual(self.body(engine), event(1) + event(2) + event(3))
        self.assertEqual(self.tracker.own_in_flight_count("s0"), 0)

    def test_answer_head_comes_from_the_engine(self) -> None:
        answer = self.open(self.respond_with(HEAD + chunks(event(1))))
        names = [name for name, _ in answer.head.fields]
        self.assertIn("x-mulberrywharf-response-signature", names)

    def test_client_resumes_after_its_last_event(self) -> None:
        engine = self.respond_with(HEAD + chunks(event(3)))
        self.assertEqual(self.body(engine, last_event_id="2"), event(3))
        head = engine[1].requests[0]
        self.assertEqual(builders_engines.header(head, b"last-event-id"), b"2")

    def test_error_answer_of_an_engine_passes_unchanged(self) -> None:
        failure = b"HTTP/1.1 500 Broken\r\n" + RECEIPT + ECHO
        engine = self.respond_with(failure + b"content-length: 3\r\n\r\nbad")
        answer = self.open(engine, kind=NOT_RESUMABLE)
        self.assertEqual(answer.head.status, 500)
        self.assertEqual(b"".join(answer.blocks), b"bad")


class ResumeTest(GenerationCase):
    def test_broken_stream_resumes_at_another_engine(self) -> None:
        """The caller received an event twice, or part of one.

        An engine crashed in the middle of its third event. Bytes were passed
        on as they arrived, and the next engine started from the beginning.
        """
        broken = self.break_after(
            HEAD + chunks(event(1), event(2), event(3)[:9], end=False)
        )
        healthy = self.respond_with(HEAD + chunks(event(3), event(4)))
        body = self.body(broken, healthy)
        self.assertEqual(body, b"".join(event(n) for n in (1, 2, 3, 4)))
        head = healthy[1].requests[0]
        self.assertEqual(builders_engines.header(head, b"last-event-id"), b"2")

    def test_repeated_events_are_dropped(self) -> None:
        broken = self.break_after(HEAD + chunks(event(1), event(2), end=False))
        healthy = self.respond_with(HEAD + chunks(event(1), event(2), event(3)))
        body = self.body(broken, healthy)
        self.assertEqual(body, event(1) + event(2) + event(3))

    def test_non_resumable_stream_ends_with_an_error(self) -> None:
        """A request ran twice, or a truncated stream looked complete.

        The engine crashed in mid-stream and the route forbids a second run.
        The end of the connection was taken for the end of the answer.
        """
        broken = self.break_after(HEAD + chunks(event(1), end=False))
        other = self.respond_with(HEAD + chunks(event(2)))
        answer = self.open(broken, other, kind=NOT_RESUMABLE)
        self.assertEqual(next(answer.blocks), event(1))
        with self.assertRaises(errors.BackEndLostError) as caught:
            next(answer.blocks)
        self.assertEqual(caught.exception.outcome, "unknown")
        self.assertEqual(other[1].requests, [])

    def test_events_of_another_engine_do_not_follow_a_failure(self) -> None:
        """Guards against a stream that is joined to a broken error answer."""
        failure = HEAD.replace(b"200 OK", b"404 Not Found")
        failing = self.break_after(failure + chunks(b"no", end=False))
        sound = self.respond_with(HEAD + chunks(event(1)))
        for engines in ((failing, sound), (sound, failing)):
            answer = self.open(*engines)
            if answer.head.status == 404:
                with self.assertRaises(errors.BackEndLostError):
                    list(answer.blocks)
            else:
                self.assertEqual(b"".join(answer.blocks), event(1))

    def test_route_limits_the_number_of_runs(self) -> None:
        broken = [
            self.break_after(HEAD + chunks(event(n), end=False))
            for n in (1, 2, 3)
        ]
        with self.assertRaises(errors.BackEndLostError):
            self.body(*broken)
        self.assertEqual(sum(len(one.requests) for _, one in broken), 2)

    def test_a_stream_ends_at_the_route_timeout(self) -> None:
        """The caller waited forever for an engine that stopped sending.

        The engine sent one event and then nothing. Only the wait for the first
        event had a timeout.
        """

        def script(sock: Any, _: bytes) -> None:
            sock.sendall(HEAD + chunks(event(1), end=False))
            sock.recv(1)

        answer = self.open(self.decode_engine(script))
        before_s = self.clock.monotonic_s()
        with self.assertRaises(errors.DeadlineExceededError):
            list(answer.blocks)
        self.assertLess(self.clock.monotonic_s() - before_s, 1.5)

    def test_closing_the_answer_disconnects_from_the_engine(self) -> None:
        """Engines kept generating for callers that had disconnected.

        When a caller disconnected in mid-stream, the connection to the engine
        stayed open.
        """
        ended: list[bytes] = []

        def script(sock: Any, _: bytes) -> None:
            sock.sendall(HEAD + chunks(event(1), end=False))
            ended.append(sock.recv(1))

        answer = self.open(self.decode_engine(script))
        next(answer.blocks)
        answer.blocks.close()
        builders_engines.gevent.sleep(0.05)
        self.assertEqual(ended, [b""])
        self.assertEqual(self.tracker.own_in_flight_count("s0"), 0)


class VersionTest(GenerationCase):
    versions = ("v1", "v2")

    def test_stream_ends_at_once_without_a_server_of_its_version(self) -> None:
        engines = [
            self.break_after(HEAD + chunks(event(1), end=False)),
            self.respond_with(HEAD + chunks(event(2))),
        ]
        for order in (engines, engines[::-1]):
            self.versions = ("v1", "v2") if order is engines else ("v2", "v1")
            answer = self.open(*order)
            first = next(answer.blocks)
            if first == event(1):
                self.servers.servers = tuple(
                    one
                    for one in self.servers.servers
                    if one.software_version == "v2"
                )
                with self.assertRaises(errors.BackEndLostError):
                    next(answer.blocks)

    def test_suspect_is_kept_from_the_last_of_the_role_not_the_version(
        self,
    ) -> None:
        """Guards against a stream that ends while its version serves."""
        engines = [
            self.break_after(HEAD + chunks(event(1), end=False)),
            self.break_after(HEAD + chunks(event(1), end=False)),
            self.respond_with(HEAD + chunks(event(2))),
            self.respond_with(HEAD + chunks(event(2))),
        ]
        with unittest.mock.patch.object(
            self.crashes, "allowed_servers", wraps=self.crashes.allowed_servers
        ) as allowed:
            self.body(*engines)
        asked = [call.args[1] for call in allowed.call_args_list]
        self.assertGreater(len([servers for servers in asked if servers]), 1)
        for servers in filter(None, asked):
            versions = {one.software_version for one in servers}
            self.assertEqual(versions, {"v1", "v2"})

    def test_handed_over_stream_without_event_ids_keeps_its_version(
        self,
    ) -> None:
        engines = [
            self.respond_with(HEAD + chunks(event(1))),
            self.respond_with(HEAD + chunks(event(2))),
        ]
        for version, expected in (("v1", event(1)), ("v2", event(2))):
            handed = request.Handover(
                "entry-9", True, True, stream_version.key_of(version)
            )
            for _ in range(3):
                self.assertEqual(self.body(*engines, handover=handed), expected)

    def test_error_answer_begins_no_stream(self) -> None:
        failure = HEAD.replace(b"200 OK", b"404 Not Found")
        engine = self.respond_with(failure + chunks(b"no\n\n"))
        with unittest.mock.patch.object(build.NoOrigins, "note_begun") as noted:
            self.body(engine)
            self.assertEqual(noted.call_count, 0)
            self.body(self.respond_with(HEAD + chunks(event(1))))
            self.assertEqual(noted.call_count, 1)

    def test_empty_last_event_id_begins_a_stream(self) -> None:
        engines = [self.respond_with(HEAD + chunks(event(1)))] * 2
        body = self.body(*engines, last_event_id="")
        self.assertEqual(body, event(1))

    def test_caller_that_names_no_stream_is_refused_beside_two_versions(
        self,
    ) -> None:
        engines = [self.respond_with(HEAD + chunks(event(1)))] * 2
        with self.assertRaises(errors.StreamNotResumableError) as refused:
            self.open(*engines, last_event_id="1")
        self.assertEqual(refused.exception.outcome, "not-run")


class SuccessTest(GenerationCase):
    """Answers that may be truncated counted as successes of their engines."""

    def setUp(self) -> None:
        super().setUp()
        self.succeeded = self.enterContext(
            unittest.mock.patch.object(self.tracker, "succeeded")
        )
        self.completed = self.enterContext(
            unittest.mock.patch.object(self.crashes, "note_completed")
        )

    def test_only_answers_with_a_marked_end_are_successes(self) -> None:
        unframed = HEAD.replace(b"transfer-encoding: chunked\r\n", b"")
        answers = {
            HEAD + chunks(event(1)): 1,
            unframed + event(1): 0,
            unframed + event(1)[:-1]: 0,
            HEAD + chunks(event(1)[:-1]): 0,
        }
        for data, successes_count in answers.items():
            with self.subTest(data):
                self.succeeded.reset_mock()
                self.completed.reset_mock()
                answer = self.open(self.break_after(data), kind=NOT_RESUMABLE)
                with contextlib.suppress(errors.BackEndLostError):
                    list(answer.blocks)
                self.assertEqual(self.succeeded.call_count, successes_count)
                self.assertEqual(self.completed.call_count, successes_count)

    def test_truncated_handle_is_no_success(self) -> None:
        prefilled = PREFILLED.replace(
            b"content-length: %d\r\n" % len(HANDLE), b""
        )

        def script(sock: Any, _: bytes) -> None:
            sock.sendall(prefilled[:-3])
            sock.close()

        decode = self.break_after(HEAD + chunks(event(1), end=False))
        answer = self.open(
            ("prefill", self.serve(script)),
            decode,
            kind=NOT_RESUMABLE,
            prompt=build.prompt(16_000),
        )
        with contextlib.suppress(errors.BackEndLostError):
            list(answer.blocks)
        self.assertEqual(self.succeeded.call_count, 0)


class CrashTest(GenerationCase):
    def crashing_engine(self, *events: bytes) -> tuple[str, Any]:
        """Returns an engine that crashes after sending these events."""
        made: list[Any] = []

        def script(sock: Any, _: bytes) -> None:
            sock.sendall(HEAD + chunks(*events, end=False))
            builders_engines.gevent.spawn(made[0].close)
            builders_engines.gevent.sleep(1)

        made.append(self.serve(script))
        return "decode", made[0]

    def test_request_is_blocked_after_two_crashes(self) -> None:
        """A repeated prompt crashed one engine after another."""
        # After two crashes, the third engine is the last one and is not used.
        engines = [self.crashing_engine() for _ in range(3)]
        healthy = self.respond_with(HEAD + chunks(event(1)))
        with self.assertRaises(errors.BackEndLostError) as caught:
            self.body(*engines)
        max_asked_owners_count = sum(bool(one[1].requests) for one in engines)
        self.assertEqual(max_asked_owners_count, 2)
        self.assertEqual(caught.exception.outcome, "unknown")
        with self.assertRaises(errors.CrashingRequestError) as refused:
            self.open(healthy, request_id="another")
        self.assertEqual(refused.exception.outcome, "not-run")
        self.assertGreater(refused.exception.retry_after_s or 0.0, 60.0)
        self.assertEqual(healthy[1].requests, [])
        self.assertEqual(self.body(healthy, body=b"another"), event(1))

    def test_blocked_request_that_never_ran_is_reported_as_not_run(
        self,
    ) -> None:
        """The caller was told that its request may have run, or to retry it.

        The request never ran, but crashes had blocked it by the time an engine
        refused it.
        """

        def refuse(sock: Any, _: bytes) -> None:
            for server_key in (1, 2):
                at_s = self.clock.monotonic_s()
                record_end(suspects, fingerprint, end(server_key, at_s))
            sock.sendall(refusal())

        suspects = self.crashes._suspects
        routed_request = build.routed_request(0.0)
        fingerprint = routed_request.fingerprint()
        healthy = self.respond_with(HEAD + chunks(event(1)))
        with self.assertRaises(errors.CrashingRequestError) as refused:
            self.body(self.decode_engine(refuse), healthy)
        self.assertEqual(refused.exception.outcome, "not-run")
        self.assertEqual(healthy[1].requests, [])

    def test_request_with_a_suspected_part_is_sent_again_if_refused(
        self,
    ) -> None:
        """Guards against counting its own first attempt as another request."""
        prompt = build.prompt(100, 100)
        now_s = self.clock.monotonic_s()
        request_with_part = build.routed_request(now_s, prompt=prompt)
        for number in range(2):
            record_end(
                self.crashes._suspects,
                number,
                end(number, now_s),
                request_with_part.part_keys("service").values(),
                request_with_part.customer_key(),
            )
        answers = [refusal(), HEAD + chunks(event(1))]
        engines = [
            self.decode_engine(lambda sock, _: sock.sendall(answers.pop(0)))
            for _ in range(3)
        ]
        self.assertEqual(self.body(*engines, prompt=prompt), event(1))

    def test_stream_with_output_resumes_after_a_crash(self) -> None:
        ended = self.crashing_engine(event(1), event(2))
        healthy = self.respond_with(HEAD + chunks(event(3)))
        body = self.body(ended, healthy)
        self.assertEqual(body, event(1) + event(2) + event(3))

    def test_lost_answers_do_not_block_a_request(self) -> None:
        lost = [self.break_after(HEAD) for _ in range(2)]
        for _ in range(2):
            with self.assertRaises(errors.BackEndLostError):
                self.body(*lost)
        healthy = self.respond_with(HEAD + chunks(event(1)))
        self.assertEqual(self.body(healthy), event(1))

    def test_prompt_that_crashes_prefill_engines_is_blocked(self) -> None:
        def crashing_prefill() -> tuple[str, Any]:
            made: list[Any] = []

            def script(sock: Any, _: bytes) -> None:
                builders_engines.gevent.spawn(made[0].close)
                builders_engines.gevent.sleep(1)

            made.append(self.serve(script))
            return "prefill", made[0]

        decodes = [self.respond_with(HEAD + chunks(event(1))) for _ in range(2)]
        prefills = [crashing_prefill() for _ in range(3)]
        with self.assertRaises(errors.RequestError):
            self.body(*prefills, *decodes, prompt=build.prompt())
        with self.assertRaises(errors.CrashingRequestError):
            self.body(self.respond_with(HEAD), prompt=build.prompt())


class HandoverTest(GenerationCase):
    def setUp(self) -> None:
        super().setUp()
        self.released: list[bytes] = []

    def prefill(self, data: bytes = PREFILLED) -> tuple[str, Any]:
        def script(sock: Any, asked: bytes) -> None:
            if asked.startswith(b"DELETE"):
                self.released.append(asked.split(b" ")[1])
                sock.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
            else:
                sock.sendall(data)

        return "prefill", self.serve(script)

    def test_long_prompt_is_prefilled_and_decoded_separately(self) -> None:
        prefill = self.prefill()
        decode = self.respond_with(HEAD + chunks(event(1)))
        body = self.body(
            prefill, decode, prompt=build.prompt(), kind=NOT_RESUMABLE
        )
        self.assertEqual(body, event(1))
        (asked,) = prefill[1].requests
        self.assertEqual(
            builders_engines.header(asked, b"x-mulberrywharf-stage"),
            b"prefill",
        )
        (run,) = decode[1].requests
        source = builders_engines.header(run, b"x-mulberrywharf-kv-source")
        self.assertEqual(source, f"{prefill[1].address}/h1".encode())
        self.assertEqual(
            builders_engines.header(run, b"x-mulberrywharf-stage"), b""
        )

    def test_decode_engine_is_chosen_after_the_prefill(self) -> None:
        """An engine received new work after announcing that it was leaving.

        A stream reached an engine 2.3 s after its record said ``draining``.
        The prompt had waited for seconds in a prefill queue, and its decode
        engine was chosen before that and not checked again. For the same
        reason prompts reached engines that had changed their role, whose
        refusal lost the prefill, or whose batch had filled up.
        """
        decodes = [self.respond_with(HEAD + chunks(event(1))) for _ in range(2)]

        def script(sock: Any, asked: bytes) -> None:
            placed = [one for one in self.planned_decode_ids if one != "s0"]
            self.servers.servers = tuple(
                one._replace(is_draining=one.server_id in placed)
                for one in self.servers.servers
            )
            sock.sendall(PREFILLED)

        prefill = "prefill", self.serve(script)
        self.body(prefill, *decodes, prompt=build.prompt(), kind=NOT_RESUMABLE)
        reached = [
            f"s{number + 1}"
            for number, (_, one) in enumerate(decodes)
            if one.requests
        ]
        self.assertEqual(len(reached), 1)
        self.assertNotIn(reached[0], self.planned_decode_ids)

    def test_expired_handle_is_not_sent(self) -> None:
        """A prompt was sent with a handle that had expired.

        The first decode engine could not be reached, and detecting that took
        longer than the handle's lifetime. A handle was treated as valid until
        it was used.
        """
        unreachable = self.respond_with(b"")
        unreachable[1].close()
        decode = self.respond_with(HEAD + chunks(event(1)))
        prefill = self.prefill()
        expiring_at_once = build.ENGINE._replace(handle_ttl_s=0.0)
        for engines in ((unreachable, decode), (decode, unreachable)):
            self.tracker = server_tracker.ServerTracker("zone-a")
            self.body(
                prefill,
                *engines,
                prompt=build.prompt(),
                kind=NOT_RESUMABLE,
                engine=expiring_at_once,
            )
        # Only one of the two orders tries the unreachable engine first, and it
        # needs a second prefill.
        self.assertEqual(len(prefill[1].requests), 3)

    def test_failed_prefill_falls_back_to_the_decode_engine(self) -> None:
        for failing in (
            self.prefill(refusal()),
            self.prefill(b"HTTP/1.1 500 X\r\ncontent-length: 0\r\n\r\n"),
            ("prefill", self.serve(lambda sock, _: sock.close())),
        ):
            self.tracker = server_tracker.ServerTracker("zone-a")
            decode = self.respond_with(HEAD + chunks(event(1)))
            body = self.body(
                failing, decode, prompt=build.prompt(), kind=NOT_RESUMABLE
            )
            self.assertEqual(body, event(1))

    def test_refused_handle_falls_back_to_the_decode_engine(self) -> None:
        """A prompt was refused although an engine could prefill it itself.

        The handle had expired when the decode engine asked for it, and that
        engine's refusal was passed on to the caller.
        """
        answers = [refusal(), HEAD + chunks(event(1))]
        decode = self.decode_engine(
            lambda sock, _: sock.sendall(answers.pop(0))
        )
        other = self.respond_with(HEAD + chunks(event(1)))
        body = self.body(
            self.prefill(),
            decode,
            other,
            prompt=build.prompt(),
            kind=NOT_RESUMABLE,
        )
        self.assertEqual(body, event(1))

    def test_a_second_prefill_counts_as_a_repeat(self) -> None:
        """Engines received more repeats than operators allow.

        There were 935 repeated arrivals in 10 s where 923 are allowed. After a
        decode engine refused a prefilled prompt, the prompt was prefilled
        again and sent to another engine. The second prefill was not charged,
        like the first, so two arrivals counted as one repeat.
        """
        taken: list[str] = []
        decide = self.budget.decide

        def counted(service: str, now_s: float) -> repeat_budget.Decision:
            taken.append(service)
            return decide(service, now_s)

        self.budget.decide = counted  # type: ignore[method-assign]
        prefill = self.prefill()
        answers = [refusal(), HEAD + chunks(event(1))]
        decodes = [
            self.decode_engine(lambda sock, _: sock.sendall(answers.pop(0)))
            for _ in range(2)
        ]
        self.body(prefill, *decodes, prompt=build.prompt(), kind=NOT_RESUMABLE)
        prefills_count = len(prefill[1].requests)
        self.assertEqual(prefills_count, 2)
        arrivals_count = prefills_count + sum(
            len(one.requests) for _, one in decodes
        )
        first_prefill_count = first_run_count = 1
        self.assertEqual(
            len(taken), arrivals_count - first_prefill_count - first_run_count
        )

    def test_a_second_prefill_beyond_the_budget_is_not_sent(self) -> None:
        self.budget.configure(
            repeat_budget.RepeatBudgetSettings(allowance_count=1.0)
        )
        prefill = self.prefill()
        decodes = [self.respond_with(refusal()) for _ in range(2)]
        with self.assertRaises(errors.OverloadedError):
            self.body(
                prefill, *decodes, prompt=build.prompt(), kind=NOT_RESUMABLE
            )
        self.assertEqual(len(prefill[1].requests), 1)

    def test_unused_handle_is_released(self) -> None:
        """Engines filled up with prompts of callers that had left.

        A prompt was prefilled and its decode engine could not be reached. The
        handle was not released and stayed until it expired.
        """
        unreachable = self.respond_with(b"")
        unreachable[1].close()
        with self.assertRaises(errors.RequestError) as caught:
            self.body(
                self.prefill(),
                unreachable,
                prompt=build.prompt(),
                kind=NOT_RESUMABLE,
            )
        self.assertEqual(caught.exception.outcome, "not-run")
        builders_engines.gevent.sleep(0.05)
        self.assertEqual(self.released, [b"/kv-handle/h1"])

    def test_handle_is_kept_when_the_decode_engine_is_unreachable(self) -> None:
        """A long prompt was prefilled twice, or refused, after a crash.

        The decode engine for the prefilled prompt could not be reached. The
        handle was discarded although nothing had been sent.
        """
        unreachable = self.respond_with(b"")
        unreachable[1].close()
        decode = self.respond_with(HEAD + chunks(event(1)))
        prefill = self.prefill()
        for engines in ((unreachable, decode), (decode, unreachable)):
            self.tracker = server_tracker.ServerTracker("zone-a")
            body = self.body(
                prefill, *engines, prompt=build.prompt(), kind=NOT_RESUMABLE
            )
            self.assertEqual(body, event(1))
        self.assertEqual(len(prefill[1].requests), 2)

    def test_lost_answer_after_a_handover_is_not_repeated(self) -> None:
        lost = self.decode_engine(lambda sock, _: sock.close())
        other = self.respond_with(HEAD + chunks(event(1)))
        with self.assertRaises(errors.RequestError) as caught:
            self.body(
                self.prefill(), lost, prompt=build.prompt(), kind=NOT_RESUMABLE
            )
        self.assertEqual(caught.exception.outcome, "unknown")
        self.assertEqual(other[1].requests, [])


class RefusalTest(GenerationCase):
    def test_no_engine_is_reported_as_not_run(self) -> None:
        with self.assertRaises(errors.NoEngineError) as caught:
            self.open()
        self.assertEqual(caught.exception.outcome, "not-run")
        self.assertEqual(caught.exception.status, 503)

    def test_lost_answer_without_another_engine_is_reported_as_unknown(
        self,
    ) -> None:
        """The caller was told that its request had not run, but it had.

        The only engine ran a resumable request and closed the connection. The
        request may run again, but no engine was left, and the caller received
        503 as if nothing had been sent.
        """
        with self.assertRaises(errors.BackEndLostError) as caught:
            self.open(self.break_after(b""))
        self.assertEqual(caught.exception.outcome, "unknown")
        self.assertEqual(caught.exception.status, 502)

    def test_refusals_are_reported_as_not_run(self) -> None:
        with self.assertRaises(errors.RequestError) as caught:
            self.body(self.respond_with(refusal()), kind=NOT_RESUMABLE)
        self.assertEqual(caught.exception.outcome, "not-run")

    def test_request_is_refused_at_once_if_the_queue_is_too_long(self) -> None:
        """The caller waited until its deadline before it was refused.

        So many long prompts were queued that the next one could not start
        within its target, but it was sent anyway.
        """
        engine = build.server("s0", role="decode")
        estimates = engine_estimates.EngineEstimates(
            self.tracker, self.clock, NoNotices(), lambda _: 500_000
        )
        pool = engine_pool.EnginePool(
            StaticServers(engine),
            self.tracker,
            estimates,
            self.limits,
            self.clock,
            random.Random(1),
        )
        route = build.route(kind=NOT_RESUMABLE, timeout_s=5.0, target_s=0.4)
        service = table.Service("service", 100, build.ENGINE)
        routed_request = build.routed_request(
            self.clock.monotonic_s(), prompt=build.prompt()
        )
        limit = time_limits.TimeLimit.of(routed_request, route, self.clock)
        with self.assertRaises(errors.OverloadedError) as caught:
            for _ in range(10):
                pool.place(
                    routed_request,
                    route,
                    service,
                    limit,
                    excluded=frozenset(),
                    may_refuse=True,
                )
        self.assertEqual(caught.exception.outcome, "not-run")
        assert caught.exception.retry_after_s is not None


class LimitedEnginesTest(GenerationCase):
    """Prompts before decode engines that accept one request per second."""

    def place(self, *engines: fleet.Server) -> str:
        """Returns the engine that a new prompt is placed at."""
        estimates = engine_estimates.EngineEstimates(
            self.tracker, self.clock, NoNotices(), lambda _: 500_000
        )
        pool = engine_pool.EnginePool(
            StaticServers(*engines),
            self.tracker,
            estimates,
            self.limits,
            self.clock,
            random.Random(1),
        )
        route = build.route(kind=NOT_RESUMABLE, timeout_s=5.0, target_s=0.4)
        routed_request = build.routed_request(
            self.clock.monotonic_s(), prompt=build.prompt(100, 100)
        )
        found = pool.place(
            routed_request,
            route,
            table.Service("service", 100, build.ENGINE),
            time_limits.TimeLimit.of(routed_request, route, self.clock),
            excluded=frozenset(),
            may_refuse=True,
        )
        return found.placed.plan.decode.server.server_id

    def limited_engine(self, server_id: str) -> fleet.Server:
        engine = build.server(server_id, role="decode", slots_count=16)
        self.limits.note_answer(
            engine.start, request_limits.RequestLimit(1.0), may_end=True
        )
        return engine

    def test_prompts_go_to_an_engine_without_a_limit_meanwhile(self) -> None:
        """Callers were refused beside an idle engine without a limit."""
        engines = [
            self.limited_engine("s0"),
            self.limited_engine("s1"),
            build.server("s2", role="decode", slots_count=16),
        ]
        placed = [self.place(*engines) for _ in range(12)]
        self.assertLessEqual(placed.count("s0"), 2)
        self.assertLessEqual(placed.count("s1"), 2)
        self.assertGreaterEqual(placed.count("s2"), 8)

    def test_prompts_beyond_all_limits_are_refused_at_once(self) -> None:
        """Callers waited for a limit until their answers were late."""
        engines = [self.limited_engine("s0"), self.limited_engine("s1")]
        began_s = self.clock.monotonic_s()
        with self.assertRaises(errors.OverloadedError) as caught:
            for _ in range(12):
                self.place(*engines)
        self.assertLess(self.clock.monotonic_s() - began_s, 0.4)
        self.assertEqual(caught.exception.outcome, "not-run")
        self.assertIn("accepts 1 requests", caught.exception.message)
        assert caught.exception.retry_after_s is not None
        self.assertGreater(caught.exception.retry_after_s, 0.5)


if __name__ == "__main__":
    unittest.main()
