"""Readiness, health and metrics of a process without an admin listener."""

from collections.abc import Iterable

from mulberrywharf import _wsgi, metrics

_CLOSE_TIMEOUT_S = 0.5
_TEXT = [("Content-Type", "text/plain")]


class ReadinessServer:
    """Answers the platform's load balancer and metrics collectors.

    Attributes:
        ready: Whether ``/ready`` answers that the process is ready.
    """

    def __init__(self, ip: str, port: int):
        self.ready = False
        self._server = _wsgi.WsgiServer(ip, port, self._answer)

    @property
    def port(self) -> int:
        """TCP port that the server listens on."""
        return self._server.port

    def start(self) -> None:
        """Starts answering; not ready until ``ready`` is set."""
        self._server.start()

    def close(self) -> None:
        """Stops listening."""
        self._server.stop(timeout=_CLOSE_TIMEOUT_S)

    def _answer(
        self, environ: _wsgi.Environ, start_response: _wsgi.StartResponse
    ) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path == "/metrics":
            body, headers = metrics.render_text()
            start_response("200 OK", list(headers.items()))
            return [body]
        if path == "/ready":
            status = "200 OK" if self.ready else "503 Service Unavailable"
            start_response(status, _TEXT)
            return [b"ready\n" if self.ready else b"not ready\n"]
        if path == "/health":
            start_response("200 OK", _TEXT)
            return [b"healthy\n"]
        start_response("404 Not Found", _TEXT)
        return [b"ask for /ready, /health or /metrics\n"]
