"""Client of the weight store, which limits the rate of model loads."""

import random
from typing import NamedTuple

import gevent
from gevent import lock
from result import Err, Ok, Result

from mulberrywharf import clock, errors, settings, stated_numbers
from mulberrywharf.platform_service import http_calls

_DEFAULT_CALL_TIMEOUT_S = 2.0
_DEFAULT_RETRY_AFTER_S = 1.0
_RETRY_JITTER_SHARE = 0.25
_AWAY_LIMIT_S = 86_400.0


class LoadRequest(NamedTuple):
    """Model that an engine is to load.

    ``adapter`` and ``version`` may be empty.
    """

    engine_id: str
    model: str
    adapter: str = ""
    version: str = ""


class LoadSlot(NamedTuple):
    """Permission to load a model.

    Attributes:
        load_id: Id of the permission at the store.
        away_s: Time in seconds for which the engine is out of service during
            the load.
    """

    load_id: str
    away_s: float


class WeightStoreClient:
    """Requests permission for the loads of this process, one at a time."""

    def __init__(
        self,
        endpoint: settings.Endpoint,
        *,
        timeout_s: float = _DEFAULT_CALL_TIMEOUT_S,
        system_clock: clock.Clock | None = None,
    ):
        self._calls = http_calls.HttpCalls(endpoint, timeout_s)
        self._clock = system_clock or clock.SystemClock()
        self._request_lock = lock.BoundedSemaphore(1)

    @classmethod
    def from_config(
        cls, config: settings.Settings
    ) -> "WeightStoreClient | None":
        """Creates the client; None if the settings name no weight store."""
        platform = config["platform"]
        endpoint = platform.get("weight_store")
        if endpoint is None:
            return None
        return cls(
            endpoint,
            timeout_s=platform.get("call_timeout_s", _DEFAULT_CALL_TIMEOUT_S),
        )

    def start(self) -> None:
        """Does nothing; connections are opened on the first call."""

    def close(self) -> None:
        """Closes the connections."""
        self._calls.close()

    def ask(
        self, request: LoadRequest, *, timeout_s: float
    ) -> Result[LoadSlot, errors.PlatformError]:
        """Waits until the store permits a load.

        The requests of this process are sent one at a time, in order of
        arrival. If they were sent concurrently, each refusal would cost a
        call and the last to arrive might be served first.

        Args:
            request: The model to load.
            timeout_s: Maximum time to wait for permission.

        Returns:
            The permission. ``PlatformUnavailableError`` if none was granted
            in time. ``WriteOutcomeUnknownError`` if an answer was lost: the
            store may count a load that does not happen, which only uses up
            part of the permitted rate.
        """
        end_s = self._clock.monotonic_s() + timeout_s
        if not self._request_lock.acquire(timeout=timeout_s):
            return Err(_timeout_error(request))
        try:
            return self._request_slot(request, end_s)
        finally:
            self._request_lock.release()

    def _request_slot(
        self, request: LoadRequest, end_s: float
    ) -> Result[LoadSlot, errors.PlatformError]:
        while True:
            sent = self._calls.call("POST", "/loads", request._asdict())
            if isinstance(sent, Err):
                return sent
            answer = sent.ok_value
            if answer.status == 200:
                return _decode_slot(answer)
            if answer.status != 429:
                message = f"the weight store answered {answer.status}"
                return Err(errors.PlatformRefusedError(message))
            pause_s = _retry_delay_s(answer)
            if self._clock.monotonic_s() + pause_s >= end_s:
                return Err(_timeout_error(request))
            gevent.sleep(pause_s)


def _decode_slot(
    answer: http_calls.Answer,
) -> Result[LoadSlot, errors.PlatformError]:
    try:
        slot = LoadSlot(
            str(answer.body["load_id"]),
            stated_numbers.figure(
                answer.body["away_s"], "away_s", limit=_AWAY_LIMIT_S
            ),
        )
    except (KeyError, TypeError, ValueError) as error:
        message = f"the weight store's answer is malformed: {error}"
        return Err(errors.PlatformRefusedError(message))
    return Ok(slot)


def _retry_delay_s(answer: http_calls.Answer) -> float:
    retry_after_s = answer.retry_after_s
    pause_s = _DEFAULT_RETRY_AFTER_S if retry_after_s is None else retry_after_s
    return pause_s * random.uniform(1.0, 1.0 + _RETRY_JITTER_SHARE)


def _timeout_error(request: LoadRequest) -> errors.PlatformUnavailableError:
    return errors.PlatformUnavailableError(
        f"timed out waiting to load {request.model} on {request.engine_id}"
    )
