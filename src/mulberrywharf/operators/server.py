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


class _Reply(NamedTuple):
    """An HTTP response that has not been written yet."""

    status: HTTPStatus
    body: bytes
    content_type: str = _JSON


class OperatorsServer:
    """Answers operators and the platform's load balancer and collectors.

    Attributes:
        ready: Whether ``/readyz`` answers that the process is ready.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        *,
        tokens: Tokens,
        status: Callable[[], StatusReport],
        on_drain: Callable[[], object],
        audit: AuditLog | None = None,
    ):
        self.ready = False
        self._tokens = tokens
        self._status = status
        self._on_drain = on_drain
        self._audit = audit
        self._draining = False
        self._server = WsgiServer(ip, port, self._answer)
        self._answer_by_path: dict[
            tuple[str, str], Callable[[Environ], _Reply]
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
        status: Callable[[], StatusReport],
        on_drain: Callable[[], object],
        *,
        audit: AuditLog | None = None,
    ) -> "OperatorsServer":
        """Binds the listener; call ``start`` to answer requests.

        Args:
            settings: Settings of the process.
            status: Builds the body of ``/status``; must not block.
            on_drain: Starts a graceful stop, as SIGTERM does. Called once, in
                its own greenlet, however often operators request it.
            audit: Audit trail of the process, shown in ``/status``.
        """
        operators = settings["operators"]
        listen = operators["listen"]
        return cls(
            listen["ip"],
            listen["port"],
            tokens=Tokens.from_config(operators),
            status=status,
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
        reply = self._reply(environ)
        path = str(environ["PATH_INFO"])
        known = any(path == known for _, known in self._answer_by_path)
        # Unknown paths share one label, so that a scanner cannot add an
        # unbounded number of time series.
        label = path if known else "other"
        _requests_total.inc({"path": label, "status": str(int(reply.status))})
        start_response(
            f"{int(reply.status)} {reply.status.phrase}",
            [
                ("Content-Type", reply.content_type),
                ("Content-Length", str(len(reply.body))),
            ],
        )
        return [reply.body]

    def _reply(self, environ: Environ) -> _Reply:
        key = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        try:
            answer = self._answer_by_path.get(key)
            if answer is None:
                raise OperatorRequestError(
                    f"the admin listener has no {key[0]} {key[1]}"
                )
            return answer(environ)
        except NotAuthorisedError as error:
            return _problem(HTTPStatus.UNAUTHORIZED, error)
        except OperatorRequestError as error:
            return _problem(HTTPStatus.NOT_FOUND, error)
        except Exception as error:
            logger.exception("the admin listener could not answer {}", key)
            return _problem(
                HTTPStatus.INTERNAL_SERVER_ERROR, MulberryError(repr(error))
            )

    def _health(self, environ: Environ) -> _Reply:
        return _json({"healthy": True})

    def _readiness(self, environ: Environ) -> _Reply:
        if self.ready:
            return _json({"ready": True})
        return _json({"ready": False}, HTTPStatus.SERVICE_UNAVAILABLE)

    def _metrics(self, environ: Environ) -> _Reply:
        body, headers = metrics.render_text()
        return _Reply(HTTPStatus.OK, body, headers["Content-Type"])

    def _report(self, environ: Environ) -> _Reply:
        self._authorise(environ)
        report = self._status()
        if self._audit is not None:
            report["audit"] = self._audit.lines()
        return _json(report)

    def _drain(self, environ: Environ) -> _Reply:
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


def _json(value: Any, status: HTTPStatus = HTTPStatus.OK) -> _Reply:
    return _Reply(status, json.dumps(value).encode())


def _problem(status: HTTPStatus, error: MulberryError) -> _Reply:
    body = {
        "type": f"urn:mulberrywharf:{error.code}",
        "title": status.phrase,
        "status": int(status),
        "detail": error.message,
        "advice": error.advice,
    }
    return _Reply(status, json.dumps(body).encode(), "application/problem+json")
