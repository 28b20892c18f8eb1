"""Dispatches callers' requests by path and reports failures to callers."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

from loguru import logger
from result import Err

from mulberrywharf import _wsgi, clock, errors, metrics
from mulberrywharf.callers import (
    completions,
    listener,
    models,
    passthrough,
    problems,
    request,
    response,
)

_COMPLETION_PATHS = frozenset({"/v1/completions", "/v1/chat/completions"})
_MODELS_PATH = "/v1/models"
_NOT_READY_RETRY_S = 1.0

_requests_total = metrics.counter(
    "mulberry_caller_requests_total", "Answers to callers by kind and result."
)


class Catalogue(NamedTuple):
    """The customers, models and services of a configuration.

    Attributes:
        customers: Looks up customers by key.
        models: Models by name.
        services: Plain services by name.
    """

    customers: request.Customers
    models: Mapping[str, Mapping[str, Any]]
    services: Mapping[str, Mapping[str, Any]]

    @classmethod
    def from_config(cls, document: Mapping[str, Any]) -> "Catalogue":
        """Reads them from a validated configuration document."""
        return cls(
            request.Customers(document.get("customers", {})),
            document.get("models", {}),
            document.get("services", {}),
        )


class CallerServer:
    """Answers callers' requests: completions, models and plain services."""

    def __init__(
        self,
        caller_listener: listener.CallerListener,
        *,
        catalogue: Callable[[], Catalogue | None],
        generations: completions.Generations,
        service_calls: passthrough.ServiceCalls,
        default_deadline_s: float = request.DEFAULT_DEADLINE_S,
        system_clock: clock.Clock | None = None,
    ):
        self._listener = caller_listener
        self._catalogue = catalogue
        self._generations = generations
        self._service_calls = service_calls
        self._default_deadline_s = default_deadline_s
        self._clock = system_clock or clock.SystemClock()
        caller_listener.serve(self.application)

    @property
    def port(self) -> int:
        """TCP port that callers connect to."""
        return self._listener.port

    @property
    def in_flight_count(self) -> int:
        """Number of requests that are being answered."""
        return self._listener.in_flight_count

    def start(self) -> None:
        """Starts accepting connections."""
        self._listener.start()

    def announce_stop(self) -> None:
        """Makes every further answer close its connection."""
        self._listener.announce_stop()

    def close(self) -> None:
        """Stops accepting; returns once all requests have been answered."""
        self._listener.finish()

    def application(
        self, environ: _wsgi.Environ, start_response: _wsgi.StartResponse
    ) -> Iterable[bytes]:
        """Answers one request; every failure becomes an error response."""
        request_id = request.request_id_of(environ)
        answer = self._answer_or_error(environ, request_id)
        start_response(answer.status_line, answer.headers)
        return answer.body

    def _answer_or_error(
        self, environ: _wsgi.Environ, request_id: str
    ) -> response.Response:
        kind = _path_kind(environ["PATH_INFO"])
        try:
            answer = self._answer(environ, request_id)
        except errors.MulberryError as error:
            return _error_response(
                problems.as_request_error(error), kind, request_id
            )
        except Exception as error:
            # After an internal fault the request may have run in part, so the
            # caller gets the outcome "unknown"; the log has the traceback.
            logger.bind(request_id=request_id).exception("a request failed")
            return _error_response(
                problems.as_request_error(error), kind, request_id
            )
        _requests_total.inc({"kind": kind, "result": "answered"})
        return answer

    def _answer(
        self, environ: _wsgi.Environ, request_id: str
    ) -> response.Response:
        catalogue = self._catalogue()
        if catalogue is None:
            raise errors.NotReadyError(
                "this node has no accepted configuration yet",
                retry_after_s=_NOT_READY_RETRY_S,
                advice="Try again; another entry VM may have it already.",
            )
        read = request.read(
            environ,
            request_id=request_id,
            customers=catalogue.customers,
            now_s=self._clock.monotonic_s(),
            body_limit_bytes=self._listener.body_limit_bytes,
            default_deadline_s=self._default_deadline_s,
        )
        if isinstance(read, Err):
            raise read.err_value
        return self._dispatch(read.ok_value, catalogue, environ)

    def _dispatch(
        self,
        caller: request.CallerRequest,
        catalogue: Catalogue,
        environ: _wsgi.Environ,
    ) -> response.Response:
        if caller.path in _COMPLETION_PATHS:
            _require_method(caller, "POST")
            completion = request.read_completion(caller, catalogue.models)
            if isinstance(completion, Err):
                raise completion.err_value
            return completions.respond(
                completion.ok_value,
                self._generations,
                environ[listener.SOCKET_KEY],
            )
        if caller.path == _MODELS_PATH:
            _require_method(caller, "GET")
            return models.respond(catalogue.models, caller.request_id)
        if passthrough.is_service_path(caller.path):
            return passthrough.respond(
                caller, catalogue.services, self._service_calls
            )
        raise errors.UnknownTargetError(
            "no such path", advice="See docs/operators/routers.md for paths."
        )


def _error_response(
    error: errors.RequestError, kind: str, request_id: str
) -> response.Response:
    _requests_total.inc({"kind": kind, "result": error.code})
    if error.outcome == "unknown":
        logger.bind(request_id=request_id).warning(
            "request failed with {} and an unknown outcome: {}",
            error.code,
            error.message,
        )
    return response.error_response(error, request_id)


def _path_kind(path: str) -> str:
    if path in _COMPLETION_PATHS:
        return "completion"
    if path == _MODELS_PATH:
        return "models"
    return "service" if passthrough.is_service_path(path) else "other"


def _require_method(caller: request.CallerRequest, method: str) -> None:
    if caller.method != method:
        raise errors.UnknownTargetError(
            f"method {caller.method} is not allowed for this path",
            advice=f"Use {method}.",
        )
