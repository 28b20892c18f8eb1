"""The admin listener: health, readiness, metrics, status and drain.

Health, readiness and metrics require no token, because the platform's load
balancer and metrics collectors have none; they reveal nothing about callers'
requests. Status and drain require an operator's token.
"""

import json
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any, NamedTuple

import gevent
from loguru import logger

from mulberrywharf import metrics
from mulberrywharf._wsgi import Environ, StartResponse, WsgiServer
from mulberrywharf.errors import (
    MulberryError,
    NotAuthorisedError,
    OperatorRequestError,
)
from mulberrywharf.operators.audit import AuditLog, DrainStarted
from mulberrywharf.operators.status import StatusReport
from mulberrywharf.operators.tokens import Tokens
from mulberrywharf.settings import Settings

_CLOSE_TIMEOUT_S = 1.0
_JSON = "application/json"

_requests_total = metrics.counter(
    "mulberry_operator_requests_total",
    "Requests to the admin listener by path and status.",
)


class _Response(NamedTuple):
    """An HTTP response that has not been written yet."""

    http_status: HTTPStatus
    body: bytes
    content_type: str = _JSON


class OperatorsServer:
    """The admin listener of one process.

    Answers operators, the platform's load balancer and metrics collectors.

    Attributes:
        ready: Whether ``/readyz`` answers that the process is ready.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        *,
        tokens: Tokens,
        build_report: Callable[[], StatusReport],
        on_drain: Callable[[], object],
        audit: AuditLog | None = None,
    ):
        self.ready = False
        self._tokens = tokens
        self._build_report = build_report
        self._on_drain = on_drain
        self._audit = audit
        self._draining = False
        self._server = WsgiServer(ip, port, self._answer)
        self._handlers: dict[
            tuple[str, str], Callable[[Environ], _Response]
        ] = {
            ("GET", "/healthz"): self._health,
            ("GET", "/readyz"): self._readiness,
            ("GET", "/metrics"): self._metrics,
            ("GET", "/status"): self._report,
            ("POST", "/drain"): self._drain,
        }

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        build_report: Callable[[], StatusReport],
        on_drain: Callable[[], object],
        *,
        audit: AuditLog | None = None,
    ) -> "OperatorsServer":
        """Binds the listener; call ``start`` to answer requests.

        Args:
            settings: Settings of the process.
            build_report: Builds the body of ``/status``; must not block.
            on_drain: Starts a graceful stop, as SIGTERM does. Called once, in
                its own greenlet, however often operators request it.
            audit: Audit trail of the process, included in ``/status``.
        """
        operators = settings["operators"]
        listen = operators["listen"]
        return cls(
            listen["ip"],
            listen["port"],
            tokens=Tokens.from_config(operators),
            build_report=build_report,
            on_drain=on_drain,
            audit=audit,
        )

    @property
    def port(self) -> int:
        """TCP port that the admin listener listens on."""
        return self._server.port

    def start(self) -> None:
        """Starts answering; not ready until ``set_ready`` is called."""
        self._server.start()

    def close(self) -> None:
        """Stops listening; waits up to a second for answers in progress."""
        self._server.stop(timeout=_CLOSE_TIMEOUT_S)

    def set_ready(self, ready: bool) -> None:
        """Sets whether ``/readyz`` answers that the process is ready."""
        self.ready = ready

    def _answer(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        response = self._respond(environ)
        path = str(environ["PATH_INFO"])
        is_known = any(path == known_path for _, known_path in self._handlers)
        # Unknown paths share one label, so that a scanner cannot add an
        # unbounded number of time series.
        label = path if is_known else "other"
        _requests_total.inc(
            {"path": label, "status": str(int(response.http_status))}
        )
        start_response(
            f"{int(response.http_status)} {response.http_status.phrase}",
            [
                ("Content-Type", response.content_type),
                ("Content-Length", str(len(response.body))),
            ],
        )
        return [response.body]

    def _respond(self, environ: Environ) -> _Response:
        key = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        try:
            handler = self._handlers.get(key)
            if handler is None:
                raise OperatorRequestError(
                    f"the admin listener has no {key[0]} {key[1]}"
                )
            return handler(environ)
        except NotAuthorisedError as error:
            return _problem(HTTPStatus.UNAUTHORIZED, error)
        except OperatorRequestError as error:
            return _problem(HTTPStatus.NOT_FOUND, error)
        except Exception as error:
            logger.exception("the admin listener could not answer {}", key)
            return _problem(
                HTTPStatus.INTERNAL_SERVER_ERROR, MulberryError(repr(error))
            )

    def _health(self, environ: Environ) -> _Response:
        return _json({"healthy": True})

    def _readiness(self, environ: Environ) -> _Response:
        if self.ready:
            return _json({"ready": True})
        return _json({"ready": False}, HTTPStatus.SERVICE_UNAVAILABLE)

    def _metrics(self, environ: Environ) -> _Response:
        body, headers = metrics.render_text()
        return _Response(HTTPStatus.OK, body, headers["Content-Type"])

    def _report(self, environ: Environ) -> _Response:
        self._authorise(environ)
        report = self._build_report()
        if self._audit is not None:
            report["audit"] = self._audit.latest_records()
        return _json(report)

    def _drain(self, environ: Environ) -> _Response:
        operator = self._authorise(environ)
        if not self._draining:
            self._draining = True
            if self._audit is not None:
                self._audit.record(
                    DrainStarted("this process", f"asked by {operator}")
                )
            # A graceful stop lasts until all requests are answered and may
            # close this listener; the operator's request is answered now.
            gevent.spawn(self._on_drain)
        return _json({"draining": True}, HTTPStatus.ACCEPTED)

    def _authorise(self, environ: Environ) -> str:
        operator = self._tokens.operator(environ.get("HTTP_AUTHORIZATION", ""))
        if operator is None:
            raise NotAuthorisedError("no valid operator's token in the request")
        return operator


def _json(value: Any, http_status: HTTPStatus = HTTPStatus.OK) -> _Response:
    return _Response(http_status, json.dumps(value).encode())


def _problem(http_status: HTTPStatus, error: MulberryError) -> _Response:
    body = {
        "type": f"urn:mulberrywharf:{error.code}",
        "title": http_status.phrase,
        "status": int(http_status),
        "detail": error.message,
        "advice": error.advice,
    }
    return _Response(
        http_status, json.dumps(body).encode(), "application/problem+json"
    )
