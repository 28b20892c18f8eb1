"""A stand-in model engine: OpenAI's completions over HTTP.

Run as ``python -m standins.engine --engine-id e1 --ip 127.0.0.1 --port 0``.
"""

# ruff: noqa: E402
from gevent import monkey

monkey.patch_all()

import argparse
import json
from collections.abc import Iterator
from typing import Any

import gevent

from mulberrywharf import _wsgi
from standins import engine_tokens


class Engine:
    """One engine; answers every prompt with deterministic tokens."""

    def __init__(self, engine_id: str, between_tokens_s: float):
        self._engine_id = engine_id
        self._between_tokens_s = between_tokens_s

    def application(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterator[bytes]:
        """Serves one HTTP request."""
        body = json.loads(environ["wsgi.input"].read() or b"{}")
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        headers = [
            ("content-type", "text/event-stream"),
            ("x-request-id", request_id),
        ]
        start_response("200 OK", headers)
        count = engine_tokens.answer_length(
            body["model"], body["prompt"], body.get("max_tokens")
        )
        for index in range(count):
            gevent.sleep(self._between_tokens_s)
            yield self._event(body, request_id, index, count)
        yield b"data: [DONE]\n\n"

    def _event(
        self, body: dict[str, Any], request_id: str, index: int, count: int
    ) -> bytes:
        text = engine_tokens.token_text(body["model"], body["prompt"], index)
        reason = "stop" if index == count - 1 else None
        event = {
            "id": request_id,
            "object": "text_completion",
            "model": body["model"],
            "choices": [{"index": 0, "text": text, "finish_reason": reason}],
            "token_index": index,
        }
        return b"data: " + json.dumps(event).encode() + b"\n\n"


def main() -> None:
    """Runs the engine until it is ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--engine-id", default="engine-1")
    parser.add_argument("--ip", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--between-tokens-s", type=float, default=0.005)
    arguments = parser.parse_args()
    engine = Engine(arguments.engine_id, arguments.between_tokens_s)
    server = _wsgi.WsgiServer(arguments.ip, arguments.port, engine.application)
    server.start()
    _wsgi.announce_ready(name=arguments.engine_id, port=server.port)
    server.serve_forever()


if __name__ == "__main__":
    main()
