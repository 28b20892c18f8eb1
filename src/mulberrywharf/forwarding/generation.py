"""Forwards requests that engines answer with a stream of events.

A long prompt may be prefilled by one engine and decoded by another. Until an
answer ends, only its complete events are passed on. So a broken stream can
resume at another engine after the last event that the caller has received.
"""

from collections.abc import Iterator, Sequence
from typing import NamedTuple

import gevent
from loguru import logger
from result import Err, Ok, Result

from mulberrywharf import (
    clock,
    errors,
    fleet,
    server_limits,
)
from mulberrywharf.crashes import crash_watch
from mulberrywharf.forwarding import (
    ejection_filter,
    engine_estimates,
    engine_pool,
    events,
    handover,
    open_answers,
    repeats,
    request,
    server_client,
    server_tracker,
    stream_relay,
    stream_versions,
    time_limits,
)
from mulberrywharf.policy import (
    observed_waits,
    outcome,
    stream_version,
)
from mulberrywharf.routes import kinds, table

RETRY_AFTER_REFUSED_S = 0.3
"""Retry delay for a caller whose request the engines refused. An engine's batch
ends within about 300 ms."""

_SENDS_LIMIT_COUNT = 4
"""After a request was sent this often, prefills included, no attempt follows.
When several engines crash together, many of them refuse or can't be reached at
the same time, and already the fourth sending rarely finds a working engine
before the caller times out."""

_HANDLE_LIMIT_BYTES = 64 * 1024
_FAILURE_STATUS = 500


class StreamAnswer(NamedTuple):
    """A streamed answer whose head has been received.

    Attributes:
        blocks: Complete events as they arrive, one or more in each item, and at
            the end any bytes after the last one; closing it cancels the
            request.
        state: What is known of the stream.
    """

    blocks: Iterator[bytes]
    state: stream_relay.StreamState

    @property
    def head(self) -> request.AnswerHead:
        """The head; settled as the state is."""
        return self.state.head


class Dependencies(NamedTuple):
    """Components shared by all generations.

    Attributes:
        pool: Chooses the engines for each prompt.
        estimates: Tracks the work that the engines have.
        tracker: State of the engines, from this gateway's own exchanges.
        client: Sends the attempts.
        limits: Permits requests to engines that state a request limit.
        repeats: Charges repeats.
        crashes: Blocks requests that crash servers.
        system_clock: Measures the time left.
        versions: Keeps streams at the software version that began them.
        ejections: Tells which engines are ejected.
        handovers: Hands requests over to other gateways.
    """

    pool: engine_pool.EnginePool
    estimates: engine_estimates.EngineEstimates
    tracker: server_tracker.ServerTracker
    client: server_client.ServerClient
    limits: server_limits.ServerLimits
    repeats: repeats.Repeats
    crashes: crash_watch.CrashWatch
    system_clock: clock.Clock
    versions: stream_versions.StreamVersions
    ejections: ejection_filter.Ejections = ejection_filter.NoEjections()
    handovers: handover.Handovers = handover.NoHandovers()


class Generations:
    """Forwards requests to engines."""

    def __init__(self, dependencies: Dependencies):
        self._dependencies = dependencies

    def open(
        self,
        routed_request: request.RoutedRequest,
        route: table.Route,
        service: table.Service,
    ) -> StreamAnswer:
        """Returns the answer once its head has been received.

        Raises:
            RequestError: There is no answer; the error's outcome tells whether
                the request may have run.
        """
        return _Generation(
            self._dependencies, routed_request, route, service
        ).open()


class _Prefilled(NamedTuple):
    """A prefilled prompt that no decode engine has taken over yet."""

    cache: request.CacheHandle
    server: fleet.Server
    expires_s: float


class _Generation:
    """One request with its attempts and its answer stream."""

    def __init__(
        self,
        dependencies: Dependencies,
        routed_request: request.RoutedRequest,
        route: table.Route,
        service: table.Service,
    ):
        self._dependencies = dependencies
        self._routed_request = routed_request
        self._route = route
        self._service = service
        self._may_run_again = kinds.may_run_again(route.kind)
        self._limit = time_limits.TimeLimit.of(
            routed_request, route, dependencies.system_clock
        )
        self._excluded: set[fleet.ServerStart] = set()
        self._sends_count = 0
        self._runs_count = 0
        self._outcome: errors.Outcome = "not-run"
        self._place_in_stream = events.StreamPlace(routed_request.last_event_id)
        self._prefilled: _Prefilled | None = None
        received = routed_request.handover
        self._is_counted = received is not None and received.is_counted
        self._is_admitted = received is not None and received.is_admitted
        self._was_placed = False
        self._was_handed_over = False
        self._has_begun = False
        self._only_version: stream_version.VersionKey | None = None
        self._crashes = dependencies.crashes.of(routed_request, service.name)
        self._repeats = dependencies.repeats.of(routed_request, service.name)

    def open(self) -> StreamAnswer:
        self._crashes.check()
        self._take_up()
        try:
            run = self._start_within_limit()
        except errors.DeadlineExceededError:
            self._note_started()
            raise
        self._note_started()
        relay = self._new_relay(run)
        return StreamAnswer(self._events(run, relay), relay.state)

    def _new_relay(
        self, run: open_answers.OpenAnswer
    ) -> stream_relay.StreamRelay:
        dependencies = self._dependencies
        return stream_relay.StreamRelay(
            stream_relay.Dependencies(
                dependencies.estimates,
                dependencies.tracker,
                dependencies.client,
                dependencies.system_clock,
            ),
            stream_relay.StreamedRequest(
                self._routed_request.request_id,
                self._route,
                self._limit,
                self._crashes,
            ),
            self._place_in_stream,
            run.head,
            self._note_begun,
        )

    def _take_up(self) -> None:
        """Finds the version of a stream that the caller takes up.

        Raises:
            StreamNotResumableError: It may not go on.
        """
        routed_request = self._routed_request
        handed = routed_request.handover
        is_new = (
            not routed_request.last_event_id
            and routed_request.resumes is None
            and (handed is None or handed.version_key is None)
        )
        if is_new:
            return
        self._only_version = self._dependencies.versions.take_up(
            routed_request, self._service.name, self._limit
        )

    def _note_started(self) -> None:
        if self._was_handed_over and not self._was_placed:
            # The other gateway records it.
            return
        self._dependencies.pool.note_started(
            self._routed_request, self._route, self._service
        )

    def _start_within_limit(self) -> open_answers.OpenAnswer:
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

    def _start(self) -> open_answers.OpenAnswer:
        while True:
            attempted = self._attempt_once()
            if isinstance(attempted, Err):
                self._allow_retry_or_raise(attempted.err_value)
            elif self._replaces_failure(attempted.ok_value):
                self._discard(attempted.ok_value)
            else:
                return attempted.ok_value

    def _attempt_once(
        self,
    ) -> Result[open_answers.OpenAnswer, errors.EngineError]:
        """Sends the request once, after a separate prefill if that is best.

        If the stream may go on at one software version only, the decode engine
        is of that version; a prefill may be of any, as it makes no event.

        The decode engine is chosen only when the prefill is done. The prefill
        may wait in a queue, and an engine chosen before that may meanwhile
        have started to leave, changed its role, failed or filled up. The
        answer would then be late, or the prefill would be lost and repeated.
        """
        self._require_version()
        if self._prefers_helper():
            handed = self._hand_over("own path lost")
            if handed is not None:
                return handed
        self._count_request()
        try:
            return self._attempt_on_own_path()
        except errors.NoEngineError as error:
            if self._may_hand_over():
                handed = self._hand_over("no engine reachable")
                if handed is not None:
                    return handed
            if not self._readmit_engines():
                raise self._no_engine_error(error) from error
        try:
            return self._attempt_on_own_path()
        except errors.NoEngineError as error:
            raise self._no_engine_error(error) from error

    def _require_version(self) -> None:
        """Gives up at once if no server of the stream's version is left.

        Raises:
            RequestError: None is left.
        """
        if self._only_version is None:
            return
        try:
            self._dependencies.versions.require_server(
                self._routed_request,
                self._service.name,
                self._only_version,
                self._limit,
            )
        except errors.StreamNotResumableError as error:
            raise self._no_engine_error(error) from error

    def _attempt_on_own_path(
        self,
    ) -> Result[open_answers.OpenAnswer, errors.EngineError]:
        prefilled = self._usable_prefill()
        if prefilled is None:
            placed, permit = self._place()
            if placed.plan.prefill is None:
                return self._generate(placed, permit)
            if not self._repeats.may_prefill():
                raise self._final_error("the repeat budget is exhausted")
            result = self._prefill(placed, placed.plan.prefill.server, permit)
            if isinstance(result, Err):
                return result
            prefilled = self._prefilled = result.ok_value
        return self._generate(*self._place_decode(prefilled))

    def _count_request(self) -> None:
        """Adds the request to the retry budget, if no gateway has done so."""
        if not self._is_counted:
            self._is_counted = True
            self._dependencies.repeats.note_request(self._service.name)

    def _prefers_helper(self) -> bool:
        return (
            self._routed_request.handover is None
            and self._dependencies.handovers.prefers_helper(
                self._service.name, may_repeat=self._may_run_again
            )
        )

    def _may_hand_over(self) -> bool:
        return (
            self._routed_request.handover is None
            and self._dependencies.handovers.may_hand_over(self._service.name)
        )

    def _hand_over(
        self, reason: str
    ) -> Result[open_answers.OpenAnswer, errors.EngineError] | None:
        """Lets another gateway answer; returns None if none takes the request.

        Raises:
            RequestError: The other gateway ended the request.
        """
        previous_outcome = self._outcome
        handed = self._dependencies.handovers.hand_over(
            self._handed_over(reason), self._note_sent
        )
        if isinstance(handed, Err) and isinstance(
            handed.err_value, errors.NoHelperError
        ):
            self._outcome = previous_outcome
            return None
        self._was_handed_over = True
        self._runs_count += 1
        self._sends_count += 1
        if isinstance(handed, Ok):
            return Ok(open_answers.HelperAnswer(handed.ok_value))
        error = handed.err_value
        if isinstance(error, errors.EngineError):
            return Err(error)
        if previous_outcome == "not-run" or error.outcome == "unknown":
            raise error
        raise errors.BackEndLostError(error.message, outcome="unknown")

    def _handed_over(self, reason: str) -> handover.HandedOver:
        return handover.HandedOver(
            self._routed_request._replace(
                last_event_id=self._place_in_stream.last_event_id
            ),
            self._route,
            self._service.name,
            self._limit,
            attempts_left_count=max(
                1, self._route.attempts_limit_count - self._runs_count
            ),
            is_counted=self._is_counted,
            is_admitted=self._is_admitted,
            reason=reason,
            version_key=self._only_version,
            has_arrived=self._repeats.has_arrived,
            is_prefilled=self._repeats.is_prefilled,
        )

    def _note_sent(self) -> None:
        self._outcome = "unknown"
        self._repeats.note_handed_over()

    def _usable_prefill(self) -> _Prefilled | None:
        """Returns the prefilled prompt, unless its KV cache has expired."""
        prefilled = self._prefilled
        if prefilled is None:
            return None
        if self._dependencies.system_clock.monotonic_s() < prefilled.expires_s:
            return prefilled
        self._prefilled = None
        return None

    def _place(self) -> engine_pool.PermittedPlacement:
        try:
            placement = self._dependencies.pool.place(
                self._routed_request,
                self._route,
                self._service,
                self._limit,
                excluded=frozenset(self._excluded),
                may_refuse=self._sends_count == 0,
                is_admitted=self._is_admitted,
                allowed_servers=self._allowed_servers,
            )
        except errors.OverloadedError as error:
            raise self._no_engine_error(error) from error
        self._is_admitted = self._was_placed = True
        return placement

    def _place_decode(
        self, prefilled: _Prefilled
    ) -> engine_pool.PermittedPlacement:
        try:
            return self._dependencies.pool.place_decode(
                self._routed_request,
                self._service,
                prefilled.server,
                self._limit,
                excluded=frozenset(self._excluded),
                allowed_servers=self._allowed_servers,
            )
        except errors.OverloadedError as error:
            raise self._no_engine_error(error) from error

    def _allowed_servers(
        self, servers: Sequence[fleet.Server]
    ) -> list[fleet.Server]:
        allowed: Sequence[fleet.Server] = self._crashes.allowed_servers(servers)
        # A prefill may always be repeated, at any version.
        is_prefill = all(server.role == "prefill" for server in allowed)
        if not is_prefill:
            allowed = self._servers_of_version(allowed)
        return self._dependencies.ejections.allowed(
            allowed, may_repeat=self._may_run_again or is_prefill
        )

    def _readmit_engines(self) -> bool:
        """Lets engines that failed a begun stream be asked again.

        It may go on at no engines but those of its version, and one that broke
        off a run may serve the next one.

        Returns:
            Whether there are such engines.
        """
        if not self._has_begun:
            return False
        of_version = {
            server.start
            for server in self._servers_of_version(
                self._dependencies.pool.generating(self._service.name)
            )
        }
        again = of_version & self._excluded
        self._excluded -= again
        return bool(again)

    def _servers_of_version(
        self, servers: Sequence[fleet.Server]
    ) -> Sequence[fleet.Server]:
        version_key = self._only_version
        if version_key is None:
            return servers
        return [
            server
            for server in servers
            if stream_version.key_of(server.software_version) == version_key
        ]

    def _no_engine_error(
        self,
        error: errors.NoEngineError
        | errors.OverloadedError
        | errors.StreamNotResumableError,
    ) -> errors.RequestError:
        if self._outcome == "not-run":
            return error
        # These errors tell the caller that nothing ran.
        return errors.BackEndLostError(error.message, outcome=self._outcome)

    def _prefill(
        self,
        placed: engine_estimates.Placed,
        server: fleet.Server,
        permit: server_limits.SendPermit,
    ) -> Result[_Prefilled, errors.EngineError]:
        attempt = self._new_attempt(server)._replace(
            prefill_only=True, fetch_from=_fetch_from(placed)
        )
        began_s = self._dependencies.system_clock.monotonic_s()
        awaited = self._dependencies.estimates.prefill_sent(placed)
        try:
            with _InFlightRequest(self._dependencies.tracker, server, began_s):
                result = self._prefill_exchange(attempt, permit)
        except BaseException:
            self._dependencies.estimates.failed(placed, awaited)
            raise
        self._note_result(placed, awaited, result)
        expected_s = self._dependencies.estimates.expected_s(placed, awaited)
        self._record_attempt(attempt, began_s, expected_s, result)
        return result.map(lambda cache: self._record_prefill(cache, server))

    def _record_prefill(
        self, cache: request.CacheHandle, server: fleet.Server
    ) -> _Prefilled:
        self._repeats.note_prefilled()
        engine = self._service.engine
        ttl_s = engine.handle_ttl_s if engine else 0.0
        now_s = self._dependencies.system_clock.monotonic_s()
        return _Prefilled(cache, server, now_s + ttl_s)

    def _note_result(
        self,
        placed: engine_estimates.Placed,
        awaited: observed_waits.PendingPrompt,
        result: Result[object, errors.EngineError],
    ) -> None:
        if isinstance(result, Ok):
            self._dependencies.estimates.answer_began(placed, awaited)
        else:
            self._dependencies.estimates.failed(placed, awaited)

    def _prefill_exchange(
        self, attempt: request.Attempt, permit: server_limits.SendPermit
    ) -> Result[request.CacheHandle, errors.EngineError]:
        # Prefilling a prompt twice is harmless for every kind of request.
        began_s = self._dependencies.system_clock.monotonic_s()
        sent = self._send(attempt, permit, may_run_again=True)
        if isinstance(sent, Err):
            self._crashes.note_failed(attempt.server, began_s, sent.err_value)
            return sent
        answer = sent.ok_value
        try:
            body = answer.exchange.read_all(
                self._limit.wait_s(), _HANDLE_LIMIT_BYTES
            )
        except BaseException:
            answer.exchange.close()
            raise
        answer.exchange.finish()
        if isinstance(body, Err):
            self._note_answer_lost(attempt.server, body.err_value)
            self._crashes.note_failed(attempt.server, began_s, body.err_value)
            return body
        if not answer.head.is_success:
            self._note_answer_failed(attempt.server, answer.head)
            message = f"{attempt.server.address} failed to prefill the prompt"
            return Err(errors.AnswerLostError(message))
        decoded = self._dependencies.client.decode_handle(
            attempt.server, body.ok_value
        )
        if isinstance(decoded, Ok):
            self._dependencies.tracker.succeeded(attempt.server.start)
        return decoded

    def _generate(
        self, placed: engine_estimates.Placed, permit: server_limits.SendPermit
    ) -> Result[open_answers.OpenAnswer, errors.EngineError]:
        server = placed.plan.decode.server
        prefilled, self._prefilled = self._prefilled, None
        # A handle can be used only once. If this attempt fails, it is unknown
        # whether the handle was used, so it is dropped.
        prefills_itself = prefilled is None
        attempt = self._new_attempt(server)._replace(
            cache=prefilled.cache if prefilled else None,
            fetch_from=_fetch_from(placed) if prefills_itself else None,
            last_event_id=self._place_in_stream.last_event_id,
        )
        began_s = self._dependencies.system_clock.monotonic_s()
        previous_outcome = self._outcome
        self._outcome = "unknown"
        estimates = self._dependencies.estimates
        note_sent = (
            estimates.prefill_sent if prefills_itself else estimates.decode_sent
        )
        awaited = note_sent(placed)
        self._dependencies.tracker.began(server.start, began_s)
        try:
            sent = self._send(
                attempt, permit, may_run_again=self._may_run_again
            )
        except BaseException:
            estimates.failed(placed, awaited)
            self._dependencies.tracker.ended(server.start)
            raise
        if isinstance(sent, Ok) and not sent.ok_value.head.is_success:
            # The time to a failure says nothing about the engine's speed.
            estimates.failed(placed, awaited)
            self._note_failed_head(server, sent.ok_value.head)
        else:
            self._note_result(placed, awaited, sent)
        expected_s = estimates.expected_s(placed, awaited)
        self._record_attempt(attempt, began_s, expected_s, sent)
        if isinstance(sent, Err):
            self._dependencies.tracker.ended(server.start)
            self._crashes.note_failed(server, began_s, sent.err_value)
            if isinstance(
                sent.err_value,
                errors.EngineUnreachableError
                | errors.MisdirectedError
                | errors.ServerLimitError
                | errors.RepeatRefusedError,
            ):
                # No engine took the handle, so another one can use it.
                self._prefilled = prefilled
            if sent.err_value.outcome == "not-run":
                self._outcome = previous_outcome
            else:
                self._runs_count += 1
            return sent
        self._runs_count += 1
        return Ok(open_answers.EngineAnswer(server, sent.ok_value, began_s))

    def _replaces_failure(self, run: open_answers.OpenAnswer) -> bool:
        """Returns whether another engine is to answer in place of a failure.

        An engine that fails a part of its requests would otherwise cost the
        callers of all of them their answers, although others work. The
        request's route and the budget of repeats allow the attempt.
        """
        return (
            self._may_run_again
            and isinstance(run, open_answers.EngineAnswer)
            and outcome.is_server_fault(run.head.status)
            and not self._is_limit_reached()
            and not self._crashes.is_blocked()
            and self._repeats.may_send()
        )

    def _discard(self, run: open_answers.OpenAnswer) -> None:
        run.exchange.close()
        open_answers.note_ended(run, self._dependencies.tracker)
        self._exclude(run)

    def _exclude(self, run: open_answers.OpenAnswer) -> None:
        if isinstance(run, open_answers.EngineAnswer):
            self._excluded.add(run.server.start)

    def _new_attempt(self, server: fleet.Server) -> request.Attempt:
        return request.Attempt(
            self._routed_request,
            server,
            self._limit.for_server_s(),
            priority=min(engine_estimates.LEAST_PRIORITY, self._route.priority),
        )

    def _send(
        self,
        attempt: request.Attempt,
        permit: server_limits.SendPermit,
        *,
        may_run_again: bool,
    ) -> Result[server_client.StartedAnswer, errors.EngineError]:
        self._sends_count += 1
        part: repeats.Part = "prefill" if attempt.prefill_only else "run"
        if not self._repeats.may_send():
            return Err(errors.RepeatRefusedError("no repeat is left"))
        with self._repeats.attempt():
            sent = self._dependencies.client.send(
                attempt,
                permit,
                may_run_again=may_run_again,
                wait_s=self._limit.wait_s(),
                on_write=lambda: self._repeats.on_send(part),
            )
            self._repeats.note_result(sent)
        if isinstance(sent, Err) and isinstance(
            sent.err_value, errors.MisdirectedError
        ):
            # It is refused at once, so the limit on sends need not count it.
            self._sends_count -= 1
        return sent

    def _allow_retry_or_raise(self, error: errors.EngineError) -> None:
        """Returns if another attempt is allowed.

        Raises:
            RequestError: No further attempt is allowed.
        """
        if self._outcome == "unknown" and not self._may_run_again:
            raise errors.BackEndLostError(error.message, outcome="unknown")
        if self._outcome == "not-run":
            self._crashes.check_repeat()
        elif self._crashes.is_blocked():
            raise errors.BackEndLostError(error.message, outcome="unknown")
        is_refused = isinstance(error, errors.RepeatRefusedError)
        if (
            is_refused
            or self._is_limit_reached()
            or not self._repeats.may_send()
        ):
            raise self._final_error(error.message)

    def _is_limit_reached(self) -> bool:
        return (
            self._sends_count >= _SENDS_LIMIT_COUNT
            or self._runs_count >= self._route.attempts_limit_count
        )

    def _final_error(self, message: str) -> errors.RequestError:
        if self._outcome == "unknown":
            return errors.BackEndLostError(message, outcome="unknown")
        return errors.OverloadedError(
            message, retry_after_s=RETRY_AFTER_REFUSED_S
        )

    def _events(
        self, run: open_answers.OpenAnswer, relay: stream_relay.StreamRelay
    ) -> Iterator[bytes]:
        """Yields complete events; at the end also bytes after the last one.

        Raises:
            RequestError: The answer broke off and can't be resumed, or it did
                not end in time.
        """
        while True:
            broken = yield from relay.relay(run)
            if broken is None:
                return
            self._exclude(run)
            if not (run.head.is_success and self._place_in_stream.is_known):
                # No answer of another run may follow its head, and no event
                # may come twice.
                raise errors.BackEndLostError(broken.message, outcome="unknown")
            run = self._resume(broken)

    def _note_begun(
        self, run: open_answers.OpenAnswer
    ) -> stream_version.VersionKey | None:
        """Records, before its first event is passed on, who began a stream.

        Returns:
            The software version that began it, None if it is unknown.
        """
        self._has_begun = True
        if self._only_version is None:
            self._only_version = run.version_key
        if isinstance(run, open_answers.EngineAnswer):
            self._crashes.note_answer_began()
        # A helper's answer may be lost, and another one begin the stream. The
        # gateway that relays it to the caller knows which one did.
        is_helper = self._routed_request.handover is not None
        if (
            not is_helper
            and self._may_run_again
            and self._only_version is not None
        ):
            self._dependencies.versions.note_begun(
                self._routed_request, self._service.name, self._only_version
            )
        return self._only_version

    def _resume(self, error: errors.EngineError) -> open_answers.OpenAnswer:
        """Resumes at another engine after the last event delivered."""
        if self._has_begun:
            self._only_version = self._dependencies.versions.go_on(
                self._routed_request,
                self._service.name,
                self._only_version,
                self._limit,
            )
        self._allow_retry_or_raise(error)
        run = self._start_within_limit()
        if not run.head.is_success:
            run.exchange.close()
            open_answers.note_ended(run, self._dependencies.tracker)
            raise errors.BackEndLostError(
                "the stream was not resumed",
                outcome="unknown",
            )
        logger.bind(
            request_id=self._routed_request.request_id,
            **open_answers.log_fields(run),
            last_event_id=self._place_in_stream.last_event_id,
            reason=error.code,
        ).info("resumed")
        return run

    def _note_answer_lost(
        self, server: fleet.Server, error: errors.EngineError
    ) -> None:
        self._excluded.add(server.start)
        self._dependencies.client.note_answer_broken(server, error)

    def _note_answer_failed(
        self, server: fleet.Server, head: request.AnswerHead
    ) -> None:
        self._excluded.add(server.start)
        self._dependencies.tracker.failed(
            server.start,
            self._dependencies.system_clock.monotonic_s(),
            is_fault=outcome.is_server_fault(head.status),
        )

    def _note_failed_head(
        self, server: fleet.Server, head: request.AnswerHead
    ) -> None:
        tracker = self._dependencies.tracker
        if outcome.is_server_fault(head.status):
            now_s = self._dependencies.system_clock.monotonic_s()
            tracker.failed(server.start, now_s)
        else:
            tracker.succeeded(server.start)

    def _release_cache(self) -> None:
        prefilled, self._prefilled = self._prefilled, None
        if prefilled is None:
            return
        now_s = self._dependencies.system_clock.monotonic_s()
        # An engine whose Retry-After has not passed, or whose request limit is
        # used up, gets no release request; its KV cache expires by itself.
        if (
            not self._dependencies.tracker.is_paused(
                prefilled.server.start, now_s
            )
            and self._dependencies.limits.acquire(prefilled.server).is_ok()
        ):
            self._dependencies.client.release(prefilled.cache)

    def _since_s(self, began_s: float) -> float:
        return self._dependencies.system_clock.monotonic_s() - began_s

    def _record_attempt(
        self,
        attempt: request.Attempt,
        began_s: float,
        expected_s: float,
        result: Result[object, errors.EngineError],
    ) -> None:
        """Logs an attempt; if it failed, excludes its server from others."""
        if isinstance(result, Err):
            self._excluded.add(attempt.server.start)
        logger.bind(
            request_id=self._routed_request.request_id,
            route=self._route.name,
            server_id=attempt.server.server_id,
            software_version=attempt.server.software_version,
            resumes=self._routed_request.resumes,
            last_event_id=attempt.last_event_id,
            prefill_only=attempt.prefill_only,
            has_cache=attempt.cache is not None,
            took_s=round(self._since_s(began_s), 4),
            expected_s=round(expected_s, 4),
            left_s=round(self._limit.left_s(), 3),
            reported=self._dependencies.tracker.last_report(
                attempt.server.start
            ),
            result="ok" if isinstance(result, Ok) else result.err_value.code,
        ).info("attempt")


class _InFlightRequest:
    """Counts a request as in flight at a server while the block runs."""

    def __init__(
        self,
        tracker: server_tracker.ServerTracker,
        server: fleet.Server,
        now_s: float,
    ):
        self._tracker = tracker
        self._now_s = now_s
        self._start = server.start

    def __enter__(self) -> None:
        self._tracker.began(self._start, self._now_s)

    def __exit__(self, *failure: object) -> None:
        self._tracker.ended(self._start)


def _fetch_from(placed: engine_estimates.Placed) -> fleet.Address | None:
    source = placed.plan.fetch_from
    return source.address if source is not None else None
