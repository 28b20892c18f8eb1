"""A request to a plain service: one whole answer, read before any is sent on.

An answer that breaks off can then still be replaced by another server's if
the request may run again, and is never passed on as if it were whole.
"""

import random
from typing import NamedTuple

import gevent
from loguru import logger
from result import Err, Ok, Result

from mulberrywharf import clock, crash_watch, errors, fleet
from mulberrywharf.forwarding import (
    exchanges,
    request,
    server_book,
    servers,
    time_limits,
)
from mulberrywharf.policy import repeat_budget, server_choice
from mulberrywharf.routes import kinds, table

ANSWER_LIMIT_BYTES = 16_000_000
RETRY_AFTER_LEAST_S = 0.05
RETRY_AFTER_MOST_S = 0.25
"""Plain work takes tens of milliseconds: a slot comes free within that time,
and callers that come back at random instants do not collide again."""

_FAILURE_STATUS = 500


class WholeAnswer(NamedTuple):
    """A server's answer, to be passed on unchanged.

    Attributes:
        head: Its head.
        body: Its whole body.
    """

    head: request.AnswerHead
    body: bytes


class Parts(NamedTuple):
    """What the calls are made with.

    Attributes:
        server_list: The servers.
        book: What this node knows of them.
        client: Sends the attempts.
        budget: Bounds repeats.
        crashes: Blocks requests under which servers end.
        system_clock: Measures time left.
        rng: Spreads callers and breaks ties.
    """

    server_list: servers.ServerList
    book: server_book.ServerBook
    client: exchanges.ServerClient
    budget: repeat_budget.RepeatBudget
    crashes: crash_watch.CrashWatch
    system_clock: clock.Clock
    rng: random.Random


class PlainCalls:
    """Runs requests to plain services."""

    def __init__(self, parts: Parts):
        self._parts = parts

    def call(
        self, wanted: request.RoutedRequest, route: table.Route, service: str
    ) -> WholeAnswer:
        """Returns the whole answer.

        Args:
            wanted: The request.
            route: Its route.
            service: The service that the route leads to for this request.

        Raises:
            RequestError: With the outcome that holds for the request.
        """
        parts = self._parts
        parts.crashes.check(wanted)
        parts.budget.note_request(service, parts.system_clock.monotonic_s())
        return _Call(parts, wanted, route, service).run()


class _Call:
    """One request and its attempts."""

    def __init__(
        self,
        parts: Parts,
        wanted: request.RoutedRequest,
        route: table.Route,
        service: str,
    ):
        self._parts = parts
        self._wanted = wanted
        self._route = route
        self._service = service
        self._may_run_again = kinds.may_run_again(route.kind)
        self._tried: set[fleet.ServerStart] = set()
        self._runs_count = 0
        self._outcome: errors.Outcome = "not-run"
        self._failure: WholeAnswer | None = None
        self._limit = time_limits.TimeLimit.of(
            wanted, route, parts.system_clock
        )

    def run(self) -> WholeAnswer:
        bound = gevent.Timeout(self._limit.left_s())
        try:
            with bound:
                return self._attempts()
        except gevent.Timeout as timeout:
            if timeout is not bound:
                raise
            raise errors.DeadlineExceededError(
                "the answer did not come in time", outcome=self._outcome
            ) from None

    def _attempts(self) -> WholeAnswer:
        while True:
            chosen = self._choose()
            if chosen is None:
                return self._give_up("no server is left to try")
            self._tried.add(chosen.server.start)
            tried = self._attempt(chosen)
            if isinstance(tried, Ok):
                answer = tried.ok_value
                if not self._wants_another(answer):
                    return answer
                self._failure = answer
            if not self._may_repeat(tried):
                return self._give_up("no further attempt is allowed")

    def _choose(self) -> server_choice.Candidate | None:
        now_s = self._parts.system_clock.monotonic_s()
        usable = [
            server
            for server in self._parts.server_list.usable(self._service)
            if server.start not in self._tried
        ]
        reachable = self._parts.book.reachable(usable, now_s)
        allowed = self._parts.crashes.allowed_servers(self._wanted, reachable)
        candidates = self._parts.book.candidates(allowed, now_s)
        return server_choice.choose(candidates, self._parts.rng)

    def _attempt(
        self, chosen: server_choice.Candidate
    ) -> Result[WholeAnswer, errors.EngineError]:
        server = chosen.server
        book = self._parts.book
        attempt = request.Attempt(
            self._wanted, server, self._limit.for_server_s()
        )
        began_s = self._parts.system_clock.monotonic_s()
        before = self._outcome
        # Until the attempt has told how it failed it may have run.
        self._outcome = "unknown"
        book.began(server.start, began_s)
        try:
            tried = self._exchange(attempt)
        finally:
            book.ended(server.start)
        took_s = self._parts.system_clock.monotonic_s() - began_s
        if isinstance(tried, Err):
            self._broke_off(server, began_s, tried.err_value)
            if tried.err_value.outcome == "not-run":
                self._outcome = before
            else:
                self._runs_count += 1
        else:
            self._runs_count += 1
            self._note_answer(server, tried.ok_value.head, took_s)
        self._log(chosen, tried, took_s)
        return tried

    def _broke_off(
        self, server: fleet.Server, began_s: float, error: errors.EngineError
    ) -> None:
        if crash_watch.may_be_crash(error):
            run = crash_watch.Run(
                self._wanted, server.start, server.address, began_s
            )
            self._parts.crashes.broke_off(run, made_output=False)

    def _exchange(
        self, attempt: request.Attempt
    ) -> Result[WholeAnswer, errors.EngineError]:
        sent = self._parts.client.send(
            attempt,
            may_run_again=self._may_run_again,
            wait_s=self._limit.wait_s(),
        )
        if isinstance(sent, Err):
            return sent
        begun = sent.ok_value
        try:
            body = begun.exchange.read_all(
                self._limit.wait_s(), ANSWER_LIMIT_BYTES
            )
        except BaseException:
            begun.exchange.close()
            raise
        begun.exchange.finish()
        if isinstance(body, Err):
            self._parts.book.lost(
                attempt.server.start,
                self._parts.system_clock.monotonic_s(),
            )
            return body
        if begun.head.is_success and not begun.head.has_receipt:
            message = f"{attempt.server.address} did not vouch for its answer"
            return Err(errors.AnswerLostError(message))
        return Ok(WholeAnswer(begun.head, body.ok_value))

    def _note_answer(
        self, server: fleet.Server, head: request.AnswerHead, took_s: float
    ) -> None:
        if head.is_success:
            self._parts.crashes.ended_whole(self._wanted)
        if head.status >= _FAILURE_STATUS:
            self._parts.book.failed(server.start)
        else:
            self._parts.book.succeeded(server.start, took_s)

    def _wants_another(self, answer: WholeAnswer) -> bool:
        return answer.head.status >= _FAILURE_STATUS and self._may_run_again

    def _may_repeat(
        self, tried: Result[WholeAnswer, errors.EngineError]
    ) -> bool:
        """Decides whether another server may get the request."""
        if self._runs_count >= self._route.attempts_limit_count:
            return False
        if self._parts.crashes.is_blocked(self._wanted):
            return False
        if isinstance(tried, Err) and isinstance(
            tried.err_value, errors.EngineUnreachableError
        ):
            # Nothing arrived anywhere, so nothing is repeated.
            return True
        if self._outcome == "unknown" and not self._may_run_again:
            return False
        now_s = self._parts.system_clock.monotonic_s()
        return self._parts.budget.take(self._service, now_s)

    def _give_up(self, reason: str) -> WholeAnswer:
        if self._failure is not None:
            return self._failure
        if self._outcome == "unknown":
            raise errors.BackEndLostError(
                f"the server failed: {reason}", outcome="unknown"
            )
        self._parts.crashes.check(self._wanted)
        raise errors.OverloadedError(
            f"not run: {reason}", retry_after_s=self._retry_after_s()
        )

    def _retry_after_s(self) -> float:
        now_s = self._parts.system_clock.monotonic_s()
        usable = self._parts.server_list.usable(self._service)
        rest_left_s = self._parts.book.rest_left_s(usable, now_s)
        if rest_left_s is not None:
            return rest_left_s
        return self._parts.rng.uniform(RETRY_AFTER_LEAST_S, RETRY_AFTER_MOST_S)

    def _log(
        self,
        chosen: server_choice.Candidate,
        tried: Result[WholeAnswer, errors.EngineError],
        took_s: float,
    ) -> None:
        result = (
            str(tried.ok_value.head.status)
            if isinstance(tried, Ok)
            else tried.err_value.code
        )
        logger.bind(
            request_id=self._wanted.request_id,
            route=self._route.name,
            server_id=chosen.server.server_id,
            unlisted=self._parts.server_list.unlisted(
                [chosen.server.server_id]
            ),
            own_count=chosen.own_count,
            others_count=round(chosen.others_count, 1),
            failure_share=round(chosen.failure_share, 2),
            pace=round(chosen.pace, 2),
            took_s=round(took_s, 4),
            left_s=round(self._limit.left_s(), 3),
            result=result,
        ).info("attempt")
