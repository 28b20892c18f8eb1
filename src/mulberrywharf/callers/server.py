"""The listener for callers."""

import uuid
from collections.abc import Iterable, Iterator

from mulberrywharf import _wsgi, fleet, settings
from mulberrywharf.engines import streams


class CallerServer:
    """Relays completions from engines to callers."""

    def __init__(self, listen: settings.Endpoint, engines: list[fleet.Address]):
        self._engines = engines
        self._server = _wsgi.WsgiServer(
            listen["ip"], listen["port"], self._application
        )

    @property
    def port(self) -> int:
        """The TCP port for callers."""
        return self._server.port

    def start(self) -> None:
        """Begins to accept callers."""
        self._server.start()

    def close(self) -> None:
        """Stops accepting and waits for every request in flight."""
        self._server.stop_accepting()
        self._server.wait_idle()
        self._server.stop()

    def _application(
        self, environ: _wsgi.Environ, start_response: _wsgi.StartResponse
    ) -> Iterable[bytes]:
        request_id = environ.get("HTTP_X_REQUEST_ID") or uuid.uuid4().hex
        body = environ["wsgi.input"].read()
        events = self._relay(environ["PATH_INFO"], body, request_id)
        start_response(
            "200 OK",
            [
                ("content-type", "text/event-stream"),
                ("x-request-id", request_id),
            ],
        )
        return events

    def _relay(
        self, path: str, body: bytes, request_id: str
    ) -> Iterator[bytes]:
        yield from streams.relay(self._engines[0], path, body, request_id)
