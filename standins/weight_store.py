"""A stand-in of the weight store, whose rate of loads is limited.

Run as ``python -m standins.weight_store --ip 127.0.0.1 --port 0``.
"""

import argparse
import uuid
from collections.abc import Iterable
from typing import Any

from standins import _http, http_control


class WeightStoreStandin:
    """The store in this process.

    Attributes:
        port: The TCP port that it listens on, also after ``close``.
        loads: Every load that it allowed, in order.
    """

    def __init__(
        self,
        ip: str = "127.0.0.1",
        port: int = 0,
        *,
        loads_per_s: float = 1.0,
        away_s: float = 0.5,
    ):
        self.loads: list[dict[str, Any]] = []
        self.refused_count = 0
        self._limit = http_control.RateLimit(loads_per_s)
        self._away_s = away_s
        self._server = http_control.make_server(ip, port, self._application)
        self.port = self._server.port

    def start(self) -> None:
        """Begins to listen."""
        self._server.start()

    def close(self) -> None:
        """Stops."""
        http_control.stop_server(self._server)

    def _application(
        self, environ: http_control.Environ, start_response: Any
    ) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path == "/standin/log":
            result = {"loads": self.loads, "refused_count": self.refused_count}
            return _http.send_reply(_http.Reply(200, result), start_response)
        if path != "/loads":
            return _http.send_reply(_http.Reply(404, {}), start_response)
        body = _http.read_json(environ)
        if not self._limit.take():
            self.refused_count += 1
            headers = (("retry-after", f"{1 / self._limit.per_s:.3f}"),)
            return _http.send_reply(
                _http.Reply(429, {}, headers), start_response
            )
        load = {**body, "load_id": uuid.uuid4().hex, "away_s": self._away_s}
        self.loads.append(load)
        result = {"load_id": load["load_id"], "away_s": self._away_s}
        return _http.send_reply(_http.Reply(200, result), start_response)


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--loads-per-s", type=float, default=1.0)
    parser.add_argument("--away-s", type=float, default=0.5)


def _build(arguments: argparse.Namespace) -> WeightStoreStandin:
    return WeightStoreStandin(
        arguments.ip,
        arguments.port,
        loads_per_s=arguments.loads_per_s,
        away_s=arguments.away_s,
    )


if __name__ == "__main__":
    http_control.run("weight-store", __doc__, _add_arguments, _build)
