"""Asks the weight store for its permission to load, and queues for it."""

import random
from typing import NamedTuple

import gevent
from gevent import lock
from result import Err, Ok, Result

from mulberrywharf import clock, errors, settings
from mulberrywharf.platform_service import http_calls

_DEFAULT_CALL_TIMEOUT_S = 2.0
_DEFAULT_RETRY_AFTER_S = 1.0
_QUEUE_JITTER_SHARE = 0.25


class LoadRequest(NamedTuple):
    """What an engine is to load; ``adapter`` and ``version`` may be empty."""

    engine_id: str
    model: str
    adapter: str = ""
    version: str = ""


class LoadSlot(NamedTuple):
    """Permission to load.

    Attributes:
        load_id: Names the permission at the store.
        away_s: How long the load will keep the engine away.
    """

    load_id: str
    away_s: float


class WeightStoreClient:
    """Loads of this process, asked for one after the other."""

    def __init__(
        self,
        endpoint: settings.Endpoint,
        *,
        timeout_s: float = _DEFAULT_CALL_TIMEOUT_S,
        system_clock: clock.Clock | None = None,
    ):
        self._calls = http_calls.HttpCalls(endpoint, timeout_s)
        self._clock = system_clock or clock.SystemClock()
        self._queue = lock.BoundedSemaphore(1)

    @classmethod
    def from_config(
        cls, config: settings.Settings
    ) -> "WeightStoreClient | None":
        """Builds the client, or None where the settings name no store."""
        platform = config["platform"]
        endpoint = platform.get("weight_store")
        if endpoint is None:
            return None
        return cls(
            endpoint,
            timeout_s=platform.get("call_timeout_s", _DEFAULT_CALL_TIMEOUT_S),
        )

    def start(self) -> None:
        """Opens nothing: connections open with the first call."""

    def close(self) -> None:
        """Closes the connections."""
        self._calls.close()

    def ask(
        self, request: LoadRequest, *, timeout_s: float
    ) -> Result[LoadSlot, errors.PlatformError]:
        """Waits until the store allows a load.

        Only one request of this process asks at a time, in the order of
        arrival: asked for all at once, each refusal would cost a call and
        the last to come might be served first.

        Args:
            request: What is to be loaded.
            timeout_s: How long to wait for permission.

        Returns:
            The permission. ``PlatformUnavailableError`` if none came in
            time. ``WriteOutcomeUnknownError`` if an answer was lost: the
            store may count a load that will not happen, which costs rate
            and nothing else.
        """
        end_s = self._clock.monotonic_s() + timeout_s
        if not self._queue.acquire(timeout=timeout_s):
            return Err(_too_late(request))
        try:
            return self._ask_until(request, end_s)
        finally:
            self._queue.release()

    def _ask_until(
        self, request: LoadRequest, end_s: float
    ) -> Result[LoadSlot, errors.PlatformError]:
        while True:
            sent = self._calls.call("POST", "/loads", request._asdict())
            if isinstance(sent, Err):
                return sent
            answer = sent.ok_value
            if answer.status == 200:
                return _slot(answer)
            if answer.status != 429:
                message = f"the weight store answered {answer.status}"
                return Err(errors.PlatformRefusedError(message))
            pause_s = _pause_s(answer)
            if self._clock.monotonic_s() + pause_s >= end_s:
                return Err(_too_late(request))
            gevent.sleep(pause_s)


def _slot(
    answer: http_calls.Answer,
) -> Result[LoadSlot, errors.PlatformError]:
    try:
        slot = LoadSlot(
            str(answer.body["load_id"]), float(answer.body["away_s"])
        )
    except (KeyError, TypeError, ValueError) as error:
        message = f"the weight store's answer is malformed: {error}"
        return Err(errors.PlatformRefusedError(message))
    return Ok(slot)


def _pause_s(answer: http_calls.Answer) -> float:
    asked_s = answer.retry_after_s
    pause_s = _DEFAULT_RETRY_AFTER_S if asked_s is None else asked_s
    return pause_s * random.uniform(1.0, 1.0 + _QUEUE_JITTER_SHARE)


def _too_late(request: LoadRequest) -> errors.PlatformUnavailableError:
    return errors.PlatformUnavailableError(
        f"no permission to load {request.model} on {request.engine_id} in time"
    )
