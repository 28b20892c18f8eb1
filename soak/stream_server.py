"""Servers of the soak whose streams have shapes that their callers ask for."""

from collections.abc import Iterable, Iterator
from typing import Any

import gevent

from proofs import stream_order
from standins import platform_server

_PAUSE_S = 0.01
_UNMARKED = ("none", "http/1.0")


class StreamServer(platform_server.PlatformServerStandin):
    """A server that makes numbered events, or those of a stream's shape."""

    def __init__(self, server_id: str, run_ends: dict[str, list[str]]):
        """Makes a server.

        Args:
            server_id: Its id.
            run_ends: Where it notes of each run of a stream with a shape
                whether its end is marked.
        """
        super().__init__(server_id)
        self._run_ends = run_ends

    def _numbered_events(self, environ: dict[str, Any]) -> Iterator[bytes]:
        run = self._latest_run(environ)
        shape = stream_order.Shape.find(run["body"])
        if shape is None:
            yield from super()._numbered_events(environ)
            return
        raw = self.faults.get("raw") or {}
        end = "unmarked" if raw.get("framing") in _UNMARKED else "marked"
        self._run_ends.setdefault(run["id"], []).append(end)
        yield from shape.events(
            run["after"],
            self._server_id,
            run["version"],
            f"{self._server_id}/{len(self.runs)}",
        )

    def _events(
        self, environ: dict[str, Any], crashes_under: str | None
    ) -> Iterable[bytes]:
        shape = stream_order.Shape.find(self._latest_run(environ)["body"])
        if shape is None:
            return super()._events(environ, crashes_under)
        return self._shaped_events(environ)

    def _shaped_events(self, environ: dict[str, Any]) -> Iterator[bytes]:
        for number, event in enumerate(self._numbered_events(environ)):
            if number == self.faults.get("break_after"):
                raise ConnectionError("told to break off")
            yield event
            gevent.sleep(self.faults.get("pause_s", _PAUSE_S))

    def _latest_run(self, environ: dict[str, Any]) -> dict[str, str]:
        request_id = self._header(environ, "REQUEST_ID")
        return next(
            run for run in reversed(self.runs) if run["id"] == request_id
        )
