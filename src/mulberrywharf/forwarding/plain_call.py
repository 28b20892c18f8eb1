"""Forwards requests to plain services, whose answers are read completely first.

No byte of an answer is passed on before all of it has been read. If it breaks
off, it is never passed on as if it were complete, and if the request may run
again, another server's answer can replace it.
"""

import random
from typing import NamedTuple

import gevent
from loguru import logger
from result import Err, Ok, Result

from mulberrywharf import _exchange, clock, errors, fleet, server_limits
from mulberrywharf.crashes import crash_watch
from mulberrywharf.forwarding import (
    answer_ends,
    ejection_filter,
    handover,
    held_answers,
    repeats,
    request,
    server_client,
    server_tracker,
    servers,
    stop_gate,
)
from mulberrywharf.policy import (
    answer_end,
    limit_waits,
    outcome,
    server_choice,
)
from mulberrywharf.routes import kinds, table

ANSWER_LIMIT_BYTES = 16_000_000
RETRY_AFTER_LEAST_S = 0.05
RETRY_AFTER_MOST_S = 0.25
"""Bounds of the random retry delay. A request to a plain service takes tens of
milliseconds, so a slot becomes free within the delay. The delay is random so
that refused callers do not all retry at the same time."""

_FAILURE_STATUS = 500


class WholeAnswer(NamedTuple):
    """A server's complete answer, to be passed on unchanged.

    Attributes:
        head: Its head.
        body: Its complete body.
        is_framed: Whether it marked its end, so that the body is known to be
            complete.
        hold: Holds its memory; to be closed once it is passed on.
    """

    head: request.AnswerHead
    body: bytes
    is_framed: bool = True
    hold: held_answers.Hold | None = None

    def close(self) -> None:
        """Releases its memory for other answers."""
        if self.hold is not None:
            self.hold.close()


class Dependencies(NamedTuple):
    """Components shared by all calls.

    Attributes:
        server_list: The servers of each service.
        tracker: State of the servers, from this gateway's own exchanges.
        client: Sends the attempts.
        limits: Permits requests to servers that state a request limit.
        repeats: Charges repeats.
        crashes: Blocks requests that crash servers.
        system_clock: Measures the time left.
        rng: Spreads retry delays and breaks ties between servers.
        ejections: Tells which servers are ejected.
        handovers: Hands requests over to other gateways.
        stops: Refuses requests that a stop of this process would cut off.
        held: Bounds the memory of answers.
    """

    server_list: servers.ServerList
    tracker: server_tracker.ServerTracker
    client: server_client.ServerClient
    limits: server_limits.ServerLimits
    repeats: repeats.Repeats
    crashes: crash_watch.CrashWatch
    system_clock: clock.Clock
    rng: random.Random
    ejections: ejection_filter.Ejections = ejection_filter.NoEjections()
    handovers: handover.Handovers = handover.NoHandovers()
    stops: stop_gate.StopGate = stop_gate.StopGate()
    held: held_answers.HeldAnswers = held_answers.HeldAnswers()


class PlainCalls:
    """Forwards requests to plain services."""

    def __init__(self, dependencies: Dependencies):
        self._dependencies = dependencies

    def call(
        self,
        routed_request: request.RoutedRequest,
        route: table.Route,
        service: str,
    ) -> WholeAnswer:
        """Returns the complete answer.

        Args:
            routed_request: The request.
            route: Its route.
            service: The service that the route selects for this request.

        Raises:
            RequestError: There is no answer; the error's outcome tells whether
                the request may have run.
        """
        dependencies = self._dependencies
        dependencies.crashes.check(routed_request)
        return _Call(dependencies, routed_request, route, service).run()


class _Chosen(NamedTuple):
    """A server, and the permit to send the request to it."""

    candidate: server_choice.Candidate
    permit: server_limits.SendPermit


class _Call:
    """One request with its attempts."""

    def __init__(
        self,
        dependencies: Dependencies,
        routed_request: request.RoutedRequest,
        route: table.Route,
        service: str,
    ):
        self._dependencies = dependencies
        self._routed_request = routed_request
        self._route = route
        self._service = service
        self._may_run_again = kinds.may_run_again(route.kind)
        self._tried: set[fleet.ServerStart] = set()
        self._runs_count = 0
        self._is_counted = (
            routed_request.handover is not None
            and routed_request.handover.is_counted
        )
        self._outcome: errors.Outcome = "not-run"
        self._failure_answer: WholeAnswer | None = None
        self._limit_error: errors.ServerLimitError | None = None
        self._limit = dependencies.stops.call_limit(routed_request, route)
        self._repeats = dependencies.repeats.of(routed_request, service)

    def run(self) -> WholeAnswer:
        bound = gevent.Timeout(self._limit.left_s())
        answer = None
        try:
            with bound:
                answer = self._attempts()
                return answer
        except gevent.Timeout as timeout:
            if timeout is not bound:
                raise
            raise errors.DeadlineExceededError(
                "the answer did not come in time", outcome=self._outcome
            ) from None
        finally:
            replaced = self._failure_answer
            if replaced is not None and replaced is not answer:
                replaced.close()

    def _attempts(self) -> WholeAnswer:
        while True:
            if self._prefers_helper():
                answer = self._hand_over("own path lost")
                if answer is not None:
                    return answer
            self._count_request()
            chosen = self._choose()
            if chosen is None:
                if self._may_hand_over():
                    answer = self._hand_over("no server reachable")
                    if answer is not None:
                        return answer
                return self._give_up(self._reason_without_server())
            if self._outcome == "not-run":
                # A wait for a server may have used up the rest of a stop.
                self._dependencies.stops.check(
                    self._routed_request, self._route, self._service
                )
            self._tried.add(chosen.candidate.server.start)
            attempted = self._attempt(chosen)
            if isinstance(attempted, Ok):
                answer = attempted.ok_value
                if not self._is_retryable(answer):
                    return answer
                if self._failure_answer is not None:
                    self._failure_answer.close()
                self._failure_answer = answer
            if not self._may_repeat(attempted):
                return self._give_up("no further attempt is allowed")

    def _count_request(self) -> None:
        """Adds the request to the retry budget, if no gateway has done so."""
        if not self._is_counted:
            self._is_counted = True
            self._dependencies.repeats.note_request(self._service)

    def _prefers_helper(self) -> bool:
        return (
            self._routed_request.handover is None
            and self._dependencies.handovers.prefers_helper(
                self._service, may_repeat=self._may_run_again
            )
        )

    def _may_hand_over(self) -> bool:
        return (
            self._routed_request.handover is None
            and self._dependencies.handovers.may_hand_over(self._service)
        )

    def _hand_over(self, reason: str) -> WholeAnswer | None:
        """Lets another gateway answer; returns None if none takes the request.

        Raises:
            RequestError: The other gateway, or this one, gives up.
        """
        while True:
            previous_outcome = self._outcome
            handed = self._dependencies.handovers.hand_over(
                self._handed_over(reason), self._note_sent
            )
            if isinstance(handed, Ok):
                received = self._read_handed(handed.ok_value)
            elif isinstance(handed.err_value, errors.RequestError):
                if self._failure_answer is not None:
                    return self._failure_answer
                raise self._helper_error(handed.err_value, previous_outcome)
            elif isinstance(handed.err_value, errors.NoHelperError):
                self._outcome = previous_outcome
                return None
            else:
                received = Err(handed.err_value)
            self._runs_count += 1
            if isinstance(received, Ok):
                return received.ok_value
            if not self._may_repeat(received):
                return self._give_up("no further attempt is allowed")

    def _handed_over(self, reason: str) -> handover.HandedOver:
        return handover.HandedOver(
            self._routed_request,
            self._route,
            self._service,
            self._limit,
            attempts_left_count=max(
                1, self._route.attempts_limit_count - self._runs_count
            ),
            is_counted=self._is_counted,
            is_admitted=False,
            reason=reason,
            has_arrived=self._repeats.has_arrived,
        )

    def _note_sent(self) -> None:
        self._outcome = "unknown"
        self._repeats.note_handed_over()

    def _read_handed(
        self, handed: handover.OpenHandover
    ) -> Result[WholeAnswer, errors.EngineError]:
        hold = self._dependencies.held.hold()
        try:
            body = self._read_body(handed.answer.exchange, hold)
        finally:
            handed.end()
        if isinstance(body, Err) and _is_fault_of_peer(body.err_value):
            handed.note_lost()
        return body.map(
            lambda data: WholeAnswer(
                handed.answer.head, data, handed.answer.is_framed, hold
            )
        )

    def _read_body(
        self, exchange: _exchange.Exchange, hold: held_answers.Hold
    ) -> Result[bytes, errors.EngineError]:
        """Reads a body and ends its exchange; holds it if it is complete."""
        try:
            body = exchange.read_all(
                self._limit.wait_s(), ANSWER_LIMIT_BYTES, hold.add
            )
            exchange.finish()
        except BaseException:
            exchange.close()
            hold.close()
            raise
        if isinstance(body, Err):
            hold.close()
        return body

    def _helper_error(
        self, error: errors.RequestError, previous_outcome: errors.Outcome
    ) -> errors.RequestError:
        """Returns the error for the caller after another gateway gave up."""
        if previous_outcome == "not-run" or error.outcome == "unknown":
            return error
        return errors.BackEndLostError(error.message, outcome="unknown")

    def _choose(self) -> _Chosen | None:
        """Returns the best server that permits a request, None if none does.

        Only if every server would have to be waited for because of its request
        limit, the request waits, for the server with the shortest wait.
        """
        servers = self._untried_servers()
        for _ in servers:
            permitting = [
                server
                for server in servers
                if self._dependencies.limits.wait_s(server.start) <= 0
            ]
            if not permitting:
                break
            chosen = self._acquire(permitting, max_wait_s=0.0)
            if chosen is not None:
                return chosen
        shortest_s = self._dependencies.limits.shortest_wait_s(servers)
        soonest = [
            server
            for server in servers
            if self._dependencies.limits.wait_s(server.start) <= shortest_s
        ]
        return self._acquire(
            soonest,
            limit_waits.longest_wait_s(
                self._limit.left_s(), self._route.target_s
            ),
        )

    def _reason_without_server(self) -> str:
        if self._limit_error is None:
            return "no server is left to try"
        return f"no server is left to try; {self._limit_error.message}"

    def _untried_servers(self) -> list[fleet.Server]:
        now_s = self._dependencies.system_clock.monotonic_s()
        usable = [
            server
            for server in self._dependencies.server_list.usable(self._service)
            if server.start not in self._tried
        ]
        reachable = self._dependencies.tracker.reachable(usable, now_s)
        allowed = self._dependencies.crashes.allowed_servers(
            self._routed_request, reachable
        )
        return self._dependencies.ejections.allowed(
            allowed, may_repeat=self._may_run_again
        )

    def _acquire(
        self, servers: list[fleet.Server], max_wait_s: float
    ) -> _Chosen | None:
        """Chooses one of the servers and acquires a permit for it."""
        now_s = self._dependencies.system_clock.monotonic_s()
        candidates = self._dependencies.tracker.candidates(servers, now_s)
        rng = self._dependencies.rng
        candidate = (
            server_choice.choose(candidates, rng)
            if self._may_run_again
            else server_choice.choose_most_certain(
                candidates, self._limit.for_server_s(), rng
            )
        )
        if candidate is None:
            return None
        acquired = self._dependencies.limits.acquire(
            candidate.server, max_wait_s
        )
        if isinstance(acquired, Err):
            self._limit_error = acquired.err_value
            return None
        return _Chosen(candidate, acquired.ok_value)

    def _attempt(
        self, chosen: _Chosen
    ) -> Result[WholeAnswer, errors.EngineError]:
        server = chosen.candidate.server
        tracker = self._dependencies.tracker
        attempt = request.Attempt(
            self._routed_request, server, self._limit.for_server_s()
        )
        began_s = self._dependencies.system_clock.monotonic_s()
        previous_outcome = self._outcome
        # The request may have run until the attempt reports otherwise.
        self._outcome = "unknown"
        tracker.began(server.start, began_s)
        try:
            attempted = self._exchange(attempt, chosen.permit)
        finally:
            tracker.ended(server.start)
        took_s = self._dependencies.system_clock.monotonic_s() - began_s
        if isinstance(attempted, Err):
            self._report_possible_crash(server, began_s, attempted.err_value)
            if attempted.err_value.outcome == "not-run":
                self._outcome = previous_outcome
            else:
                self._runs_count += 1
        else:
            self._runs_count += 1
            self._note_answer(server, attempted.ok_value, took_s)
        self._log(chosen, attempted, took_s)
        return attempted

    def _report_possible_crash(
        self, server: fleet.Server, began_s: float, error: errors.EngineError
    ) -> None:
        run = crash_watch.RequestRun.at(self._routed_request, server, began_s)
        self._dependencies.crashes.note_failed(run, error)

    def _exchange(
        self, attempt: request.Attempt, permit: server_limits.SendPermit
    ) -> Result[WholeAnswer, errors.EngineError]:
        if not self._repeats.may_send():
            return Err(errors.RepeatRefusedError("no repeat is left"))
        with self._repeats.attempt():
            sent = self._dependencies.client.send(
                attempt,
                permit,
                may_run_again=self._may_run_again,
                wait_s=self._limit.wait_s(),
                on_write=lambda: self._repeats.on_send("run"),
            )
            self._repeats.note_result(sent)
        if isinstance(sent, Err):
            return sent
        answer = sent.ok_value
        hold = self._dependencies.held.hold()
        body = self._read_body(answer.exchange, hold)
        if isinstance(body, Err):
            if _is_fault_of_peer(body.err_value):
                self._dependencies.client.note_answer_broken(
                    attempt.server, body.err_value
                )
            return body
        answer_ends.note(
            self._routed_request.request_id,
            self._route.name,
            {"server_id": attempt.server.server_id},
            answer_end.Ending(answer.is_framed),
        )
        return Ok(
            WholeAnswer(answer.head, body.ok_value, answer.is_framed, hold)
        )

    def _note_answer(
        self, server: fleet.Server, answer: WholeAnswer, took_s: float
    ) -> None:
        """Records what an answer says about its server.

        One whose end is not marked may be truncated, so it is no success.
        """
        head = answer.head
        if head.is_success and answer.is_framed:
            self._dependencies.crashes.note_completed(self._routed_request)
        if head.status >= _FAILURE_STATUS:
            self._dependencies.tracker.failed(
                server.start,
                self._dependencies.system_clock.monotonic_s(),
                is_fault=outcome.is_server_fault(head.status),
            )
        elif answer.is_framed:
            tracker = self._dependencies.tracker
            now_s = self._dependencies.system_clock.monotonic_s()
            pace = tracker.paces.note_duration(
                server, took_s, now_s - took_s, now_s
            )
            tracker.succeeded(server.start, took_s / pace)

    def _is_retryable(self, answer: WholeAnswer) -> bool:
        return answer.head.status >= _FAILURE_STATUS and self._may_run_again

    def _may_repeat(
        self, attempted: Result[WholeAnswer, errors.EngineError]
    ) -> bool:
        """Tells whether the request may be sent to another server."""
        if self._runs_count >= self._route.attempts_limit_count:
            return False
        if self._dependencies.crashes.is_blocked(self._routed_request):
            return False
        if isinstance(attempted, Err):
            error = attempted.err_value
            if isinstance(error, errors.RepeatRefusedError):
                return False
            if isinstance(
                error, errors.EngineUnreachableError | errors.ServerLimitError
            ):
                return True
        if self._outcome == "unknown" and not self._may_run_again:
            return False
        return self._repeats.may_send()

    def _give_up(self, reason: str) -> WholeAnswer:
        if self._failure_answer is not None:
            return self._failure_answer
        if self._outcome == "unknown":
            raise errors.BackEndLostError(
                f"the server failed, and {reason}", outcome="unknown"
            )
        self._dependencies.crashes.check_repeat(self._routed_request)
        raise errors.OverloadedError(
            f"not run: {reason}", retry_after_s=self._retry_after_s()
        )

    def _retry_after_s(self) -> float:
        now_s = self._dependencies.system_clock.monotonic_s()
        usable = self._dependencies.server_list.usable(self._service)
        retry_after_left_s = self._dependencies.tracker.retry_after_left_s(
            usable, now_s
        )
        if retry_after_left_s is not None:
            return retry_after_left_s
        limit_wait_s = self._dependencies.limits.retry_after_s(
            self._dependencies.tracker.reachable(usable, now_s)
        )
        if limit_wait_s is not None:
            return limit_wait_s
        return self._dependencies.rng.uniform(
            RETRY_AFTER_LEAST_S, RETRY_AFTER_MOST_S
        )

    def _log(
        self,
        chosen: _Chosen,
        attempted: Result[WholeAnswer, errors.EngineError],
        took_s: float,
    ) -> None:
        candidate = chosen.candidate
        result = (
            str(attempted.ok_value.head.status)
            if isinstance(attempted, Ok)
            else attempted.err_value.code
        )
        logger.bind(
            request_id=self._routed_request.request_id,
            route=self._route.name,
            server_id=candidate.server.server_id,
            unlisted=self._dependencies.server_list.unlisted(
                [candidate.server.server_id]
            ),
            own_count=candidate.own_in_flight_count,
            others_count=round(candidate.others_in_flight_count, 1),
            failure_share=round(candidate.failure_share, 2),
            pace=round(candidate.slowdown, 2),
            limit_per_s=chosen.permit.limit_per_s,
            limit_wait_s=round(chosen.permit.waited_s, 3),
            took_s=round(took_s, 4),
            left_s=round(self._limit.left_s(), 3),
            result=result,
        ).info("attempt")


def _is_fault_of_peer(error: errors.EngineError) -> bool:
    """Returns whether an answer broke off by its server's or helper's fault."""
    return not isinstance(error, errors.AnswerMemoryError)
