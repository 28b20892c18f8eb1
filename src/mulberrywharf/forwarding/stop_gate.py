"""Refuses requests that a stop of this process would cut off."""

from functools import singledispatch
from typing import NamedTuple

from loguru import logger

from mulberrywharf import clock, errors, metrics
from mulberrywharf.forwarding import request, time_limits
from mulberrywharf.policy import answer_times, stop_admission
from mulberrywharf.routes import kinds, table

RETRY_AFTER_S = 0.1
"""Another gateway serves the retry. Until the platform has removed this one,
some retries come back to it."""

_refused_total = metrics.counter(
    "mulberry_requests_refused_by_stop_total",
    "Requests that a stop refused as they could not end in time, by route.",
)


class _Routed(NamedTuple):
    """A request whose duration is to be estimated.

    Attributes:
        route: Its route.
        service: The service that is to answer it.
        tokens: Stated number of output tokens, 0 if not stated.
        first_token_s: Estimated time to its first event, None if not planned.
    """

    route: table.Route
    service: str
    tokens: int
    first_token_s: float | None


class StopGate:
    """Lets all requests pass until a stop begins.

    Attributes:
        times: Durations of recent answers; the gate estimates by them.
    """

    def __init__(self, system_clock: clock.Clock | None = None):
        self.times = answer_times.AnswerTimes()
        self._clock = system_clock or clock.SystemClock()
        self._grace: stop_admission.GracePeriod | None = None

    def begin(self, grace_s: float) -> float:
        """Begins a stop.

        Args:
            grace_s: Time until the process is killed.

        Returns:
            The monotonic time by which the last answer must have ended.
        """
        self._grace = stop_admission.GracePeriod(
            self._clock.monotonic_s(), grace_s
        )
        return self._grace.last_answer_s

    def call_limit(
        self, routed_request: request.RoutedRequest, route: table.Route
    ) -> time_limits.TimeLimit:
        """Returns the time limit of a request whose answer is not a stream.

        In a stop it ends before the process does. A call that the end of the
        process cuts off has no answer at all; at its time limit it gets one.
        """
        limit = time_limits.TimeLimit.of(routed_request, route, self._clock)
        if self._grace is None:
            return limit
        return limit.ending_by(self._grace.last_answer_s)

    def check(
        self,
        routed_request: request.RoutedRequest,
        route: table.Route,
        service: str,
        first_token_s: float | None = None,
    ) -> None:
        """Checks that a request which did not run yet can end in time.

        Args:
            routed_request: The request.
            route: Its route.
            service: The service that is to answer it.
            first_token_s: Estimated time to its first event, None if no
                engine was chosen yet.

        Raises:
            StoppingError: It can't.
        """
        if self._grace is None:
            return
        limit = time_limits.TimeLimit.of(routed_request, route, self._clock)
        prompt = routed_request.prompt
        expected_s = _expected_s(
            route.kind,
            self.times,
            _Routed(
                route,
                service,
                prompt.output_limit_tokens if prompt else 0,
                first_token_s,
            ),
        )
        left_s = self._grace.last_answer_s - self._clock.monotonic_s()
        if stop_admission.can_end(left_s, limit.left_s(), expected_s):
            return
        _refused_total.inc({"route": route.name})
        logger.bind(
            request_id=routed_request.request_id,
            route=route.name,
            grace_left_s=round(left_s, 3),
            limit_s=round(limit.left_s(), 3),
            expected_s=None if expected_s is None else round(expected_s, 3),
        ).info("refused: this gateway stops before the answer would end")
        raise errors.StoppingError(
            "this gateway is stopping, and the answer would not end in time",
            retry_after_s=RETRY_AFTER_S,
        )


@singledispatch
def _expected_s(
    kind: kinds.RequestKind, times: answer_times.AnswerTimes, routed: _Routed
) -> float | None:
    """Returns the estimated duration of a request, None if it is unknown.

    Until answers are known, the targets of the route count.
    """
    known_s = times.call_s(routed.route.name)
    return routed.route.target_s if known_s is None else known_s


@_expected_s.register
def _(
    kind: kinds.Idempotent, times: answer_times.AnswerTimes, routed: _Routed
) -> float | None:
    # If it takes too long, it is answered at its time limit, and its caller may
    # repeat it.
    known_s = times.call_s(routed.route.name)
    return routed.route.target_s or 0.0 if known_s is None else known_s


@_expected_s.register
def _(
    kind: kinds.EventStream, times: answer_times.AnswerTimes, routed: _Routed
) -> float | None:
    route = routed.route
    run_s = times.run_s(route.name, routed.service, routed.tokens)
    if run_s is None and route.gap_target_s is not None and routed.tokens > 0:
        run_s = route.gap_target_s * routed.tokens
    if run_s is None:
        return None
    if routed.first_token_s is not None:
        return routed.first_token_s + run_s
    return (times.start_s(route.name) or 0.0) + run_s
