"""Relays the events of streamed answers to one caller, and their ends.

Several engines may answer one after another, each behind the last event of the
one before. The caller reads one stream.
"""

from collections.abc import Callable, Generator
from typing import NamedTuple

from loguru import logger
from result import Err

from mulberrywharf import clock, errors
from mulberrywharf.crashes import crash_watch
from mulberrywharf.forwarding import (
    answer_ends,
    engine_estimates,
    events,
    open_answers,
    request,
    server_client,
    server_tracker,
    time_limits,
)
from mulberrywharf.policy import answer_end, stream_gaps, stream_version
from mulberrywharf.routes import table


class StreamState:
    """What is known of a stream; settled once it has yielded its first block.

    Attributes:
        head: Of the engine that sent its first event.
        is_framed: Whether that engine marks the end of its answer.
        end: What its end proves; settled at the end.
        version_key: Software version that began it, None if it is unknown.
    """

    def __init__(self, head: request.AnswerHead) -> None:
        self.head = head
        self.is_framed = True
        self.version_key: stream_version.VersionKey | None = None
        self.end: answer_end.End = "broken"


class Dependencies(NamedTuple):
    """Components shared by all streams.

    Attributes:
        estimates: Learns how long complete answers take.
        tracker: Learns how the answers of engines end.
        client: Is told of the answers that break off.
        system_clock: Measures the gaps between events.
    """

    estimates: engine_estimates.EngineEstimates
    tracker: server_tracker.ServerTracker
    client: server_client.ServerClient
    system_clock: clock.Clock


class StreamedRequest(NamedTuple):
    """The request whose answer is relayed.

    Attributes:
        request_id: Its id.
        route: Its route.
        limit: Its deadline.
        crashes: Learns whether engines survive it.
    """

    request_id: str
    route: table.Route
    limit: time_limits.TimeLimit
    crashes: crash_watch.RequestWatch


class StreamRelay:
    """Relays the answers that make one stream.

    Attributes:
        state: What is known of the stream.
    """

    def __init__(
        self,
        dependencies: Dependencies,
        streamed_request: StreamedRequest,
        place_in_stream: events.StreamPlace,
        head: request.AnswerHead,
        on_begin: Callable[
            [open_answers.OpenAnswer], stream_version.VersionKey | None
        ],
    ):
        """Creates it.

        Args:
            dependencies: Components shared by all streams.
            streamed_request: The request.
            place_in_stream: Where the stream stands; kept up to date.
            head: Of the first answer.
            on_begin: Called with the answer that begins the stream, unless it
                is a failure, before its first event is passed on. Returns the
                software version at which the stream begins.
        """
        self.state = StreamState(head)
        self._dependencies = dependencies
        self._request = streamed_request
        self._place_in_stream = place_in_stream
        self._on_begin = on_begin
        self._has_output = False

    def relay(
        self, run: open_answers.OpenAnswer
    ) -> Generator[bytes, None, errors.EngineError | None]:
        """Yields the events of one answer that the caller does not have yet.

        At the end of a complete answer it also yields bytes after the last
        event.

        Returns:
            The error if the answer broke off, or if its end is not marked
            although the caller's answer marks its end.

        Raises:
            DeadlineExceededError: It did not end in time.
        """
        splitter = events.EventSplitter()
        if not self._has_output:
            self.state.head = run.head
            self.state.is_framed = run.is_framed
        exchange = run.exchange
        limit = self._request.limit
        began_s = self._dependencies.system_clock.monotonic_s()
        gaps = stream_gaps.StreamGaps(began_s)
        try:
            while True:
                received = exchange.read_some(limit.left_s())
                if limit.is_over:
                    raise errors.DeadlineExceededError(
                        "the answer did not end in time", outcome="unknown"
                    )
                if isinstance(received, Err):
                    self._note_broken(
                        run, received.err_value, made_output=gaps.has_begun
                    )
                    return received.err_value
                if not received.ok_value:
                    break
                found = splitter.feed(received.ok_value)
                new_events = self._place_in_stream.pass_on(found)
                if new_events:
                    gaps.note(self._dependencies.system_clock.monotonic_s())
                    self._note_output(run)
                    yield new_events
            end = self._note_end(run, splitter)
            if end == "broken":
                error = errors.StreamBrokenError(
                    "the stream ended inside an event, or before any"
                )
                made_output = splitter.has_events
                self._note_broken(run, error, made_output=made_output)
                return error
            if end == "unmarked" and self.state.is_framed:
                # The caller's answer marks its end, as its first engine's did.
                # The caller would take this end for a marked one.
                return errors.StreamBrokenError(
                    "the end of the resumed stream is not marked"
                )
            self.state.end = end
            if end == "complete":
                self._note_complete(run, began_s)
            if splitter.pending:
                self._note_output(run)
                yield splitter.pending
            exchange.finish()
            return None
        except errors.StreamBrokenError as error:
            if isinstance(run, open_answers.EngineAnswer):
                self._dependencies.client.note_answer_broken(run.server, error)
            return error
        finally:
            exchange.close()
            open_answers.note_ended(run, self._dependencies.tracker)
            self._log(run, gaps)

    def _note_output(self, run: open_answers.OpenAnswer) -> None:
        if self._has_output:
            return
        self._has_output = True
        if run.head.is_success:
            self.state.version_key = self._on_begin(run)

    def _note_end(
        self,
        run: open_answers.OpenAnswer,
        splitter: events.EventSplitter,
    ) -> answer_end.End:
        ending = answer_end.Ending(
            is_framed=run.is_framed,
            is_event_stream=run.head.is_event_stream,
            has_events=splitter.has_events,
            is_inside_event=splitter.is_inside_event,
        )
        return answer_ends.note(
            self._request.request_id,
            self._request.route.name,
            open_answers.log_fields(run),
            ending,
        )

    def _note_broken(
        self,
        run: open_answers.OpenAnswer,
        error: errors.EngineError,
        *,
        made_output: bool,
    ) -> None:
        if isinstance(run, open_answers.HelperAnswer):
            # Another gateway also breaks off where its server did. If it has
            # ended itself, the next offer to it fails at once.
            if isinstance(error, errors.PeerSilentError):
                run.handed.note_lost()
            return
        self._dependencies.client.note_answer_broken(run.server, error)
        self._request.crashes.note_failed(
            run.server, run.began_s, error, made_output=made_output
        )

    def _note_complete(
        self, run: open_answers.OpenAnswer, began_s: float
    ) -> None:
        if isinstance(run, open_answers.HelperAnswer):
            return
        if not run.head.is_success:
            return
        self._dependencies.tracker.succeeded(run.server.start)
        run_s = self._dependencies.system_clock.monotonic_s() - began_s
        self._dependencies.estimates.ended(run.server, run_s)
        self._request.crashes.note_completed()

    def _log(
        self, run: open_answers.OpenAnswer, gaps: stream_gaps.StreamGaps
    ) -> None:
        route = self._request.route
        logger.bind(
            request_id=self._request.request_id,
            route=route.name,
            **open_answers.log_fields(run),
            run_s=round(gaps.run_s, 3),
            worst_gap_s=round(gaps.longest_gap_s, 3),
            gap_target_s=route.gap_target_s,
        ).info("stream")
