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
        customers: Looks up customers by their keys.
        models: Models by name.
        services: Plain services by name.
    """

    customers: request.CustomerKeys
    models: Mapping[str, Mapping[str, Any]]
    services: Mapping[str, Mapping[str, Any]]

    @classmethod
    def from_config(cls, document: Mapping[str, Any]) -> "Catalogue":
        """Reads them from a validated configuration document.

        Args:
            document: The fleet's configuration document, not the settings of
                the process.
        """
        return cls(
            request.CustomerKeys(document.get("customers", {})),
            document.get("models", {}),
            document.get("services", {}),
        )


class CallerServer:
    """The WSGI application that answers the requests of a router's callers.

    It answers completion requests and requests for the list of models, and
    passes on calls to plain services.
    """

    def __init__(
        self,
        caller_listener: listener.CallerListener,
        *,
        catalogue: Callable[[], Catalogue | None],
        generations: completions.CompletionGenerator,
        service_calls: passthrough.ServiceCalls,
        default_deadline_s: float = request.DEFAULT_DEADLINE_S,
        system_clock: clock.Clock | None = None,
    ):
        """Creates the server and registers it with the listener.

        Args:
            caller_listener: Accepts requests.
            catalogue: Returns the customers, models and services of the
                configuration in force, or None before there is one.
            generations: Generates the answers to completion requests.
            service_calls: Runs calls to plain services.
            default_deadline_s: Seconds that a request without a deadline may
                take.
            system_clock: Measures deadlines.
        """
        self._listener = caller_listener
        self._current_configuration = catalogue
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
        """Stops accepting; returns when all requests have been answered.

        By then every connection of a caller is closed.
        """
        self._listener.finish()

    def application(
        self, environ: _wsgi.Environ, start_response: _wsgi.StartResponse
    ) -> Iterable[bytes]:
        """Answers one request; every failure becomes an error response."""
        request_id = request.request_id_of(environ)
        http_response = self._answer_or_error(environ, request_id)
        start_response(http_response.status_line, http_response.headers)
        return http_response.body

    def _answer_or_error(
        self, environ: _wsgi.Environ, request_id: str
    ) -> response.Response:
        kind = _path_kind(environ["PATH_INFO"])
        try:
            http_response = self._answer(environ, request_id)
        except errors.MulberryError as error:
            return _error_response(
                problems.as_request_error(error), kind, request_id
            )
        except Exception as error:
            # After an internal failure the request may have run in part, so the
            # caller gets the outcome "unknown"; the log has the traceback.
            logger.bind(request_id=request_id).exception("a request failed")
            return _error_response(
                problems.as_request_error(error), kind, request_id
            )
        _requests_total.inc({"kind": kind, "result": "answered"})
        return http_response

    def _answer(
        self, environ: _wsgi.Environ, request_id: str
    ) -> response.Response:
        catalogue = self._current_configuration()
        if catalogue is None:
            raise errors.NotReadyError(
                "this router has no accepted configuration yet",
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
        http_request: request.CallerRequest,
        catalogue: Catalogue,
        environ: _wsgi.Environ,
    ) -> response.Response:
        if http_request.path in _COMPLETION_PATHS:
            _require_method(http_request, "POST")
            completion = request.read_completion(http_request, catalogue.models)
            if isinstance(completion, Err):
                raise completion.err_value
            return completions.respond(
                completion.ok_value,
                self._generations,
                environ[listener.SOCKET_KEY],
            )
        if http_request.path == _MODELS_PATH:
            _require_method(http_request, "GET")
            return models.respond(catalogue.models, http_request.request_id)
        if passthrough.is_service_path(http_request.path):
            return passthrough.respond(
                http_request, catalogue.services, self._service_calls
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


def _require_method(http_request: request.CallerRequest, method: str) -> None:
    if http_request.method != method:
        raise errors.UnknownTargetError(
            f"method {http_request.method} is not allowed for this path",
            advice=f"Use {method}.",
        )
