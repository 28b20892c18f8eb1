"""A request whose answer is a stream of events, made by engines.

Long prompts are prefilled at one engine and go on at another. Whole events
only are passed on, so that a stream which breaks can go on elsewhere behind
the last event that its caller has.
"""

from collections.abc import Generator, Iterator, Sequence
from typing import NamedTuple

import gevent
from loguru import logger
from result import Err, Ok, Result

from mulberrywharf import clock, crash_watch, errors, fleet
from mulberrywharf.forwarding import (
    engine_account,
    engine_pool,
    events,
    exchanges,
    request,
    server_book,
    time_limits,
)
from mulberrywharf.policy import observed_waits, repeat_budget, stream_gaps
from mulberrywharf.routes import kinds, table

RETRY_AFTER_REFUSED_S = 0.3
"""For a caller whom engines refused; a batch drains within some 300 ms."""

_SENDS_LIMIT_COUNT = 4
"""Sends of one request before it is given up, prefills included. Engines that
refuse or can't be reached come together in a crash of several; a fourth try
then seldom finds a living one before the caller's patience ends."""

_HANDLE_LIMIT_BYTES = 64 * 1024
_FAILURE_STATUS = 500


class StreamAnswer(NamedTuple):
    """An answer whose head has come.

    Attributes:
        head: The head of the first engine that answered.
        blocks: Whole events as they come; closing it ends the request.
    """

    head: request.AnswerHead
    blocks: Iterator[bytes]


class Parts(NamedTuple):
    """What generations are made with.

    Attributes:
        pool: Plans where prompts go.
        account: What is known of the engines' work.
        book: What this node knows of the engines.
        client: Sends the attempts.
        budget: Bounds repeats.
        crashes: Blocks requests under which servers end.
        system_clock: Measures time left.
    """

    pool: engine_pool.EnginePool
    account: engine_account.EngineAccount
    book: server_book.ServerBook
    client: exchanges.ServerClient
    budget: repeat_budget.RepeatBudget
    crashes: crash_watch.CrashWatch
    system_clock: clock.Clock


class Generations:
    """Runs requests to engines."""

    def __init__(self, parts: Parts):
        self._parts = parts

    def open(
        self,
        wanted: request.RoutedRequest,
        route: table.Route,
        service: table.Service,
    ) -> StreamAnswer:
        """Returns the answer once its head has come.

        Raises:
            RequestError: With the outcome that holds for the request.
        """
        self._parts.crashes.check(wanted)
        now_s = self._parts.system_clock.monotonic_s()
        self._parts.budget.note_request(service.name, now_s)
        return _Generation(self._parts, wanted, route, service).open()


class _Run(NamedTuple):
    """An answer that is being read, and where it is made."""

    server: fleet.Server
    begun: exchanges.Begun
    began_s: float


class _Prefilled(NamedTuple):
    """A prompt that was prefilled and waits to be taken over."""

    cache: request.CacheHandle
    server: fleet.Server
    lapses_s: float


class _Generation:
    """One request, its attempts and its stream."""

    def __init__(
        self,
        parts: Parts,
        wanted: request.RoutedRequest,
        route: table.Route,
        service: table.Service,
    ):
        self._parts = parts
        self._wanted = wanted
        self._route = route
        self._service = service
        self._may_run_again = kinds.may_run_again(route.kind)
        self._limit = time_limits.TimeLimit.of(
            wanted, route, parts.system_clock
        )
        self._excluded: set[fleet.ServerStart] = set()
        self._sends_count = 0
        self._runs_count = 0
        self._outcome: errors.Outcome = "not-run"
        self._last_event_id = wanted.last_event_id
        self._delivered_id = _number(wanted.last_event_id)
        self._prefilled: _Prefilled | None = None
        self._was_prefilled = False

    def open(self) -> StreamAnswer:
        run = self._bounded_start()
        return StreamAnswer(run.begun.head, self._blocks(run))

    def _bounded_start(self) -> _Run:
        bound = gevent.Timeout(self._limit.left_s())
        try:
            with bound:
                return self._start()
        except gevent.Timeout as timeout:
            if timeout is not bound:
                raise
            raise errors.DeadlineExceededError(
                "no answer began in time", outcome=self._outcome
            ) from None
        finally:
            self._release_cache()

    def _start(self) -> _Run:
        while True:
            attempted = self._attempt_once()
            if isinstance(attempted, Ok):
                return attempted.ok_value
            self._after_failure(attempted.err_value)

    def _attempt_once(self) -> Result[_Run, errors.EngineError]:
        """Prefills the prompt where that is best, and has it answered.

        The engine that answers is chosen when the prefill is done. Chosen
        before, by what was known a queue's length ago, it may since have
        begun to leave, taken another role, failed or filled up: the answer
        then comes late, or the prefill is lost and done again.
        """
        prefilled = self._usable_prefill()
        if prefilled is None:
            placed = self._place()
            if placed.plan.prefill is None:
                return self._generate(placed)
            self._pay_for_prefill()
            read = self._prefill(placed, placed.plan.prefill.server)
            if isinstance(read, Err):
                return read
            prefilled = self._prefilled = read.ok_value
        return self._generate(self._take_over(prefilled))

    def _usable_prefill(self) -> _Prefilled | None:
        """Returns what was prefilled, unless its engine has dropped it."""
        prefilled = self._prefilled
        if prefilled is None:
            return None
        if self._parts.system_clock.monotonic_s() < prefilled.lapses_s:
            return prefilled
        self._prefilled = None
        return None

    def _place(self) -> engine_account.Placed:
        try:
            return self._parts.pool.place(
                self._wanted,
                self._route,
                self._service,
                self._limit,
                excluded=frozenset(self._excluded),
                may_refuse=self._sends_count == 0,
                allowed_servers=self._allowed_servers,
            )
        except errors.NoEngineError as error:
            raise self._without_engine(error) from error

    def _take_over(self, prefilled: _Prefilled) -> engine_account.Placed:
        try:
            return self._parts.pool.take_over(
                self._wanted,
                self._service,
                prefilled.server,
                excluded=frozenset(self._excluded),
                allowed_servers=self._allowed_servers,
            )
        except errors.NoEngineError as error:
            raise self._without_engine(error) from error

    def _allowed_servers(
        self, servers: Sequence[fleet.Server]
    ) -> list[fleet.Server]:
        return self._parts.crashes.allowed_servers(self._wanted, servers)

    def _without_engine(
        self, error: errors.NoEngineError
    ) -> errors.RequestError:
        if self._outcome == "not-run":
            return error
        # The status of an absent engine promises that nothing ran.
        return errors.BackEndLostError(error.message, outcome=self._outcome)

    def _prefill(
        self, placed: engine_account.Placed, server: fleet.Server
    ) -> Result[_Prefilled, errors.EngineError]:
        attempt = self._attempt(server)._replace(
            prefill_only=True, fetch_from=_fetch_from(placed)
        )
        began_s = self._parts.system_clock.monotonic_s()
        awaited = self._parts.account.reading(placed)
        try:
            with _Counted(self._parts.book, server, began_s):
                read = self._prefill_exchange(attempt)
        except BaseException:
            self._parts.account.failed(placed, awaited)
            raise
        self._note_outcome(placed, awaited, read)
        expected_s = self._parts.account.expected_s(placed, awaited)
        self._log(attempt, began_s, expected_s, read)
        return read.map(lambda cache: self._kept(cache, server))

    def _kept(
        self, cache: request.CacheHandle, server: fleet.Server
    ) -> _Prefilled:
        self._was_prefilled = True
        engine = self._service.engine
        kept_s = engine.handle_ttl_s if engine else 0.0
        now_s = self._parts.system_clock.monotonic_s()
        return _Prefilled(cache, server, now_s + kept_s)

    def _note_outcome(
        self,
        placed: engine_account.Placed,
        awaited: observed_waits.Awaited,
        outcome: Result[object, errors.EngineError],
    ) -> None:
        if isinstance(outcome, Ok):
            self._parts.account.began(placed, awaited)
        else:
            self._parts.account.failed(placed, awaited)

    def _prefill_exchange(
        self, attempt: request.Attempt
    ) -> Result[request.CacheHandle, errors.EngineError]:
        # Reading a prompt again does no harm, whatever the request's kind.
        began_s = self._parts.system_clock.monotonic_s()
        sent = self._send(attempt, may_run_again=True)
        if isinstance(sent, Err):
            self._broke_off(attempt.server, began_s, sent.err_value)
            return sent
        begun = sent.ok_value
        try:
            body = begun.exchange.read_all(
                self._limit.wait_s(), _HANDLE_LIMIT_BYTES
            )
        except BaseException:
            begun.exchange.close()
            raise
        begun.exchange.finish()
        if isinstance(body, Err):
            self._lost(attempt.server)
            self._broke_off(attempt.server, began_s, body.err_value)
            return body
        if not begun.head.is_success:
            self._failed(attempt.server)
            message = f"{attempt.server.address} did not prefill"
            return Err(errors.AnswerLostError(message))
        self._parts.book.succeeded(attempt.server.start)
        return self._parts.client.decode_handle(attempt.server, body.ok_value)

    def _generate(
        self, placed: engine_account.Placed
    ) -> Result[_Run, errors.EngineError]:
        server = placed.plan.decode.server
        prefilled, self._prefilled = self._prefilled, None
        # A handle can be taken once, and nobody knows whether it was when
        # this attempt fails.
        reads_itself = prefilled is None
        attempt = self._attempt(server)._replace(
            cache=prefilled.cache if prefilled else None,
            fetch_from=_fetch_from(placed) if reads_itself else None,
            last_event_id=self._last_event_id,
        )
        began_s = self._parts.system_clock.monotonic_s()
        before = self._outcome
        self._outcome = "unknown"
        account = self._parts.account
        sent_to = account.reading if reads_itself else account.starting
        awaited = sent_to(placed)
        self._parts.book.began(server.start, began_s)
        try:
            sent = self._send(attempt, may_run_again=self._may_run_again)
        except BaseException:
            account.failed(placed, awaited)
            self._parts.book.ended(server.start)
            raise
        self._note_outcome(placed, awaited, sent)
        expected_s = account.expected_s(placed, awaited)
        self._log(attempt, began_s, expected_s, sent)
        if isinstance(sent, Err):
            self._parts.book.ended(server.start)
            self._broke_off(server, began_s, sent.err_value)
            if isinstance(sent.err_value, errors.EngineUnreachableError):
                # Nothing left, so the handle is still there for another.
                self._prefilled = prefilled
            if sent.err_value.outcome == "not-run":
                self._outcome = before
            else:
                self._runs_count += 1
            return sent
        self._runs_count += 1
        return Ok(_Run(server, sent.ok_value, began_s))

    def _attempt(self, server: fleet.Server) -> request.Attempt:
        return request.Attempt(
            self._wanted,
            server,
            self._limit.for_server_s(),
            priority=min(engine_account.LEAST_PRIORITY, self._route.priority),
        )

    def _send(
        self, attempt: request.Attempt, *, may_run_again: bool
    ) -> Result[exchanges.Begun, errors.EngineError]:
        self._sends_count += 1
        return self._parts.client.send(
            attempt, may_run_again=may_run_again, wait_s=self._limit.wait_s()
        )

    def _after_failure(self, error: errors.EngineError) -> None:
        """Allows another attempt, or ends the request.

        Raises:
            RequestError: No further attempt is allowed.
        """
        if self._outcome == "unknown" and not self._may_run_again:
            raise errors.BackEndLostError(error.message, outcome="unknown")
        if self._outcome == "not-run":
            self._parts.crashes.check(self._wanted)
        elif self._parts.crashes.is_blocked(self._wanted):
            raise errors.BackEndLostError(error.message, outcome="unknown")
        is_spent = (
            self._sends_count >= _SENDS_LIMIT_COUNT
            or self._runs_count >= self._route.attempts_limit_count
        )
        if is_spent or not self._pay(error):
            raise self._given_up(error.message)

    def _pay(self, error: errors.EngineError) -> bool:
        if isinstance(error, errors.EngineUnreachableError):
            # Nothing arrived anywhere, so nothing is repeated.
            return True
        return self._take_repeat()

    def _pay_for_prefill(self) -> None:
        """Pays for a prefill, unless it is the request's first.

        Operators count each further one as a repeat. With further ones sent
        for free, 935 repeats in 10 s reached the engines of a fleet of 61
        gateways where 923 were allowed.

        Raises:
            RequestError: The budget is spent.
        """
        if self._was_prefilled and not self._take_repeat():
            raise self._given_up("the budget of repeats is spent")

    def _take_repeat(self) -> bool:
        now_s = self._parts.system_clock.monotonic_s()
        return self._parts.budget.take(self._service.name, now_s)

    def _given_up(self, message: str) -> errors.RequestError:
        if self._outcome == "unknown":
            return errors.BackEndLostError(message, outcome="unknown")
        return errors.OverloadedError(
            message, retry_after_s=RETRY_AFTER_REFUSED_S
        )

    def _blocks(self, run: _Run) -> Iterator[bytes]:
        """Yields whole events up to the checked end of the answer.

        Raises:
            RequestError: The answer can't be made whole.
        """
        while True:
            broken = yield from self._relay(run)
            if broken is None:
                return
            run = self._resume(broken)

    def _relay(
        self, run: _Run
    ) -> Generator[bytes, None, errors.EngineError | None]:
        """Yields one engine's events; returns why it broke off, if it did."""
        cutter = events.EventCutter()
        exchange = run.begun.exchange
        began_s = self._parts.system_clock.monotonic_s()
        gaps = stream_gaps.StreamGaps(began_s)
        try:
            while True:
                some = exchange.read_some(self._limit.left_s())
                if self._limit.is_over:
                    raise errors.DeadlineExceededError(
                        "the answer was not whole in time", outcome="unknown"
                    )
                if isinstance(some, Err):
                    self._lost(run.server)
                    self._broke_off(
                        run.server,
                        run.began_s,
                        some.err_value,
                        made_output=gaps.has_begun,
                    )
                    return some.err_value
                if not some.ok_value:
                    break
                block = self._new_events(cutter, some.ok_value)
                if block:
                    gaps.note(self._parts.system_clock.monotonic_s())
                    yield block
            self._parts.book.succeeded(run.server.start)
            self._parts.account.ended(run.server, self._since_s(began_s))
            if run.begun.head.is_success:
                self._parts.crashes.ended_whole(self._wanted)
            if cutter.rest:
                yield cutter.rest
            exchange.finish()
            return None
        except errors.StreamBrokenError as error:
            self._lost(run.server)
            return error
        finally:
            exchange.close()
            self._parts.book.ended(run.server.start)
            self._log_stream(run.server, gaps)

    def _log_stream(
        self, server: fleet.Server, gaps: stream_gaps.StreamGaps
    ) -> None:
        logger.bind(
            request_id=self._wanted.request_id,
            route=self._route.name,
            server_id=server.server_id,
            run_s=round(gaps.run_s, 3),
            worst_gap_s=round(gaps.worst_s, 3),
            gap_target_s=self._route.gap_target_s,
        ).info("stream")

    def _new_events(self, cutter: events.EventCutter, data: bytes) -> bytes:
        """Returns the whole events that the caller doesn't have yet."""
        fresh = []
        for event in cutter.feed(data):
            if event.event_id is not None:
                if event.event_id <= self._delivered_id:
                    continue
                self._delivered_id = event.event_id
                self._last_event_id = str(event.event_id)
            fresh.append(event.raw)
        return b"".join(fresh)

    def _resume(self, error: errors.EngineError) -> _Run:
        """Lets another engine go on behind the last event delivered."""
        self._after_failure(error)
        run = self._bounded_start()
        if not run.begun.head.is_success:
            run.begun.exchange.close()
            self._parts.book.ended(run.server.start)
            raise errors.BackEndLostError(
                f"{run.server.address} did not resume", outcome="unknown"
            )
        logger.bind(
            request_id=self._wanted.request_id,
            server_id=run.server.server_id,
            last_event_id=self._last_event_id,
            reason=error.code,
        ).info("resumed")
        return run

    def _lost(self, server: fleet.Server) -> None:
        self._excluded.add(server.start)
        now_s = self._parts.system_clock.monotonic_s()
        self._parts.book.lost(server.start, now_s)

    def _broke_off(
        self,
        server: fleet.Server,
        began_s: float,
        error: errors.EngineError,
        *,
        made_output: bool = False,
    ) -> None:
        if crash_watch.may_be_crash(error):
            run = crash_watch.Run(
                self._wanted, server.start, server.address, began_s
            )
            self._parts.crashes.broke_off(run, made_output=made_output)

    def _failed(self, server: fleet.Server) -> None:
        self._excluded.add(server.start)
        self._parts.book.failed(server.start)

    def _release_cache(self) -> None:
        prefilled, self._prefilled = self._prefilled, None
        if prefilled is None:
            return
        now_s = self._parts.system_clock.monotonic_s()
        # An engine that wants rest wants no release either; what it holds
        # lapses by itself.
        if not self._parts.book.is_resting(prefilled.server.start, now_s):
            self._parts.client.release(prefilled.cache)

    def _since_s(self, began_s: float) -> float:
        return self._parts.system_clock.monotonic_s() - began_s

    def _log(
        self,
        attempt: request.Attempt,
        began_s: float,
        expected_s: float,
        outcome: Result[object, errors.EngineError],
    ) -> None:
        if isinstance(outcome, Err):
            self._excluded.add(attempt.server.start)
        logger.bind(
            request_id=self._wanted.request_id,
            route=self._route.name,
            server_id=attempt.server.server_id,
            prefill_only=attempt.prefill_only,
            has_cache=attempt.cache is not None,
            took_s=round(self._since_s(began_s), 4),
            expected_s=round(expected_s, 4),
            left_s=round(self._limit.left_s(), 3),
            reported=self._parts.book.last_report(attempt.server.start),
            result="ok" if isinstance(outcome, Ok) else outcome.err_value.code,
        ).info("attempt")


class _Counted:
    """Counts a request at a server for as long as the block runs."""

    def __init__(
        self,
        book: server_book.ServerBook,
        server: fleet.Server,
        now_s: float,
    ):
        self._book = book
        self._now_s = now_s
        self._start = server.start

    def __enter__(self) -> None:
        self._book.began(self._start, self._now_s)

    def __exit__(self, *failure: object) -> None:
        self._book.ended(self._start)


def _fetch_from(placed: engine_account.Placed) -> fleet.Address | None:
    source = placed.plan.fetch_from
    return source.address if source is not None else None


def _number(event_id: str | None) -> int:
    return int(event_id) if event_id and event_id.isdecimal() else -1
