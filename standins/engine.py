"""A stand-in model engine: OpenAI's HTTP API, orders, loads, cache events.

Run as ``python -m standins.engine --engine-id e1 --ip 127.0.0.1 --port 0``.
"""

# ruff: noqa: E402
from gevent import monkey

monkey.patch_all()

import argparse
import os
import time
import urllib.parse
import uuid
from collections.abc import Iterable, Iterator
from typing import Any

import gevent

from standins import (
    _http,
    engine_answers,
    engine_batch,
    engine_cache,
    engine_faults,
    engine_loads,
    engine_orders,
    engine_requests,
)

_NOT_SERVING = _http.Reply(
    503, {"type": "not-serving"}, (("retry-after", "1"),)
)
_QUEUE_FULL = _http.Reply(503, {"type": "queue-full"}, (("retry-after", "1"),))
_NOT_FOUND = _http.Reply(404, {"type": "not-found"})


class Engine:
    """One engine, whole: batch, cache, orders, loads and faults."""

    def __init__(self, arguments: argparse.Namespace):
        speeds = engine_batch.Speeds(
            arguments.prefill_tokens_per_s,
            arguments.decode_tokens_per_s,
            arguments.between_tokens_s,
            arguments.step_prefill_tokens,
            arguments.batch_limit,
            arguments.queue_limit,
            arguments.kv_limit_tokens,
        )
        self._kv_bytes_per_token = arguments.kv_bytes_per_token
        self._feed = engine_cache.EventFeed(
            arguments.event_lag_s,
            arguments.event_gap_share,
            arguments.engine_id,
        )
        self._cache = engine_cache.PrefixCache(
            arguments.cache_blocks, self._feed
        )
        self._exports = engine_cache.KvExports(arguments.engine_id)
        self._faults = engine_faults.Faults()
        self._arrivals_unix_s: list[float] = []
        self._batch = engine_batch.Batch(
            speeds, self._cache, lambda: self._orders.role
        )
        self._orders = engine_orders.Orders(
            role=arguments.role,
            models=[m for m in arguments.models.split(",") if m],
            change_s=arguments.role_change_s,
            load_model_s=arguments.load_model_s,
            checks_fencing=arguments.checks_fencing == "true",
            halt=self._halt,
        )
        self._loads = engine_loads.Loads(
            arguments.engine_id,
            arguments.load_lag_s,
            self._batch,
            self._orders,
        )

    def start(self) -> None:
        """Starts the batch and the load reports."""
        self._batch.start()
        self._loads.start()

    def application(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Serves one HTTP request."""
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"]
        if path.startswith("/v1/"):
            self._arrivals_unix_s.append(time.time())
            start_response = self._with_limit(start_response)
        if method == "GET":
            return self._get(path, environ, start_response)
        try:
            body = _http.read_json(environ)
        except ValueError:
            body = None
        if not isinstance(body, dict):
            reply = _http.Reply(400, {"type": "bad-json"})
            return _http.send_reply(reply, start_response)
        if path in ("/v1/completions", "/v1/chat/completions"):
            return self._generate(path, body, environ, start_response)
        if path == "/orders":
            return self._order(body, environ, start_response)
        return _http.send_reply(self._post(path, body), start_response)

    def _with_limit(self, start_response: Any) -> Any:
        def start(status: str, headers: list[tuple[str, str]]) -> Any:
            if self._faults.limit:
                headers = [*headers, ("Server-Limit", self._faults.limit)]
            return start_response(status, headers)

        return start

    def _get(
        self, path: str, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        if path.startswith("/kv/"):
            handle = path.removeprefix("/kv/")
            return self._send_kv(handle, start_response)
        query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
        return _http.send_reply(self._get_reply(path, query), start_response)

    def _get_reply(self, path: str, query: dict[str, str]) -> _http.Reply:
        if path == "/load":
            return _http.Reply(200, self._loads.report()._asdict())
        if path == "/cache_events":
            after = int(query.get("after", "0"))
            return _http.Reply(200, self._feed.after(after))
        if path == "/v1/models":
            data = [{"id": m, "object": "model"} for m in self._orders.models]
            return _http.Reply(200, {"object": "list", "data": data})
        if path == "/standin/log":
            runs = [run.record() for run in self._batch.log]
            log = {
                "orders": self._orders.log,
                "runs": runs,
                "arrivals_unix_s": self._arrivals_unix_s,
            }
            return _http.Reply(200, log)
        if path == "/healthz":
            return _http.Reply(200, {"state": self._orders.state})
        return _NOT_FOUND

    def _post(self, path: str, body: dict[str, Any]) -> _http.Reply:
        if path == "/v1/cancel":
            cancelled = self._batch.cancel_by_id(body.get("request_id", ""))
            return _http.Reply(200, {"cancelled": cancelled})
        if path == "/standin/faults":
            return self._set_faults(body)
        return _NOT_FOUND

    def _set_faults(self, body: dict[str, Any]) -> _http.Reply:
        unknown = self._faults.update(body)
        if unknown:
            return _http.Reply(400, {"type": "unknown-fault", "names": unknown})
        if "slow_factor" in body:
            self._batch.slow_factor = float(body["slow_factor"])
        if "crash_mid_change" in body:
            self._orders.crash_mid_change = bool(body["crash_mid_change"])
        return _http.Reply(200, {})

    def _halt(self) -> list[str]:
        cut_ids = self._batch.halt()
        self._cache.clear()
        self._exports.clear()
        return cut_ids

    def _order(
        self, body: dict[str, Any], environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        is_dropped = self._faults.take_order_drop()
        reply = self._orders.take(body)
        if is_dropped:
            _http.break_connection(environ)
            return []
        return _http.send_reply(reply, start_response)

    def _send_kv(self, handle: str, start_response: Any) -> Iterable[bytes]:
        exported = self._exports.find(handle)
        if exported is None:
            return _http.send_reply(_NOT_FOUND, start_response)
        headers = [
            ("content-type", "application/octet-stream"),
            ("content-length", str(exported.size_bytes)),
            ("x-prompt-hash", exported.prompt_hash),
        ]
        start_response("200 OK", headers)
        return [bytes(exported.size_bytes)]

    def _generate(
        self,
        path: str,
        body: dict[str, Any],
        environ: dict[str, Any],
        start_response: Any,
    ) -> Iterable[bytes]:
        is_chat = path.endswith("chat/completions")
        refusal = engine_requests.refusal(body, is_chat)
        if refusal is not None:
            return _http.send_reply(refusal, start_response)
        if not self._orders.serves(body["model"]):
            return _http.send_reply(_NOT_SERVING, start_response)
        request_id = environ.get("HTTP_X_REQUEST_ID") or uuid.uuid4().hex
        run = engine_requests.make_run(request_id, body)
        # The import took time, in which an order may have come.
        if not self._orders.serves(body["model"]):
            return _http.send_reply(_NOT_SERVING, start_response)
        if not self._batch.submit(run):
            return _http.send_reply(_QUEUE_FULL, start_response)
        if self._faults.crash_on and self._faults.crash_on in run.prompt:
            # Its head has gone out by then, and no token.
            gevent.spawn_later(
                self._batch.speeds.between_tokens_s / 2, os._exit, 1
            )
        reason = "length" if body.get("max_tokens") is not None else "stop"
        source = self._faults.source_of(run)
        shape = engine_answers.Shape(source.request_id, is_chat, reason)
        return self._answer(source, shape, body, environ, start_response)

    def _answer(
        self,
        run: engine_batch.Run,
        shape: engine_answers.Shape,
        body: dict[str, Any],
        environ: dict[str, Any],
        start_response: Any,
    ) -> Iterator[bytes]:
        try:
            if body.get("stream") and not run.prefill_only:
                yield from self._stream(run, shape, environ, start_response)
            else:
                yield from self._plain(run, shape, environ, start_response)
        except engine_answers.PeerGoneError:
            _http.break_connection(environ)
        finally:
            # A caller that left needs no more tokens.
            self._batch.cancel(run)

    def _stream(
        self,
        run: engine_batch.Run,
        shape: engine_answers.Shape,
        environ: dict[str, Any],
        start_response: Any,
    ) -> Iterator[bytes]:
        first_index = engine_answers.next_index(run, environ)
        if run.is_refused:
            yield from _http.send_reply(_NOT_SERVING, start_response)
            return
        engine_answers.sleep_late(self._faults.late_answer_s, environ)
        fault = self._faults.take_stream_fault()
        headers = [
            ("content-type", "text/event-stream"),
            ("x-request-id", shape.request_id),
        ]
        start_response("200 OK", headers)
        yield from engine_answers.stream(
            run, shape, fault, environ, first_index
        )

    def _plain(
        self,
        run: engine_batch.Run,
        shape: engine_answers.Shape,
        environ: dict[str, Any],
        start_response: Any,
    ) -> Iterator[bytes]:
        for _ in engine_answers.token_indices(run, environ):
            pass
        if run.is_refused:
            yield from _http.send_reply(_NOT_SERVING, start_response)
            return
        engine_answers.sleep_late(self._faults.late_answer_s, environ)
        if run.is_cut:
            _http.break_connection(environ)
            return
        end_index = run.next_index
        fault = self._faults.take_stream_fault()
        if fault is not None:
            if fault.kind != "short":
                engine_answers.break_off(fault, environ)
                return
            end_index = min(end_index, run.first_index + fault.after_tokens)
        headers = (("x-request-id", shape.request_id),)
        body = self._plain_body(run, shape, end_index)
        reply = _http.Reply(200, body, headers)
        yield from _http.send_reply(reply, start_response)

    def _plain_body(
        self, run: engine_batch.Run, shape: engine_answers.Shape, end_index: int
    ) -> Any:
        if not run.prefill_only:
            return engine_answers.whole(run, shape, end_index)
        size_bytes = run.prompt_tokens * self._kv_bytes_per_token
        exported = self._exports.export(run.model, run.prompt, size_bytes)
        return {
            "id": shape.request_id,
            "kv_handle": exported.handle,
            "kv_bytes": exported.size_bytes,
            "prompt_tokens": run.prompt_tokens,
        }


def parse_arguments(arguments: list[str] | None = None) -> argparse.Namespace:
    """Returns the command line's settings, with defaults for tests."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--engine-id", default="engine-1")
    parser.add_argument("--ip", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--role", choices=engine_orders.ROLES, default="mixed")
    parser.add_argument("--models", default="tagger,verdict,waiver")
    parser.add_argument(
        "--checks-fencing", choices=("true", "false"), default="true"
    )
    speeds = engine_batch.Speeds()
    for name, default in (
        ("--prefill-tokens-per-s", speeds.prefill_tokens_per_s),
        ("--decode-tokens-per-s", speeds.decode_tokens_per_s),
        ("--between-tokens-s", speeds.between_tokens_s),
        ("--role-change-s", 1.0),
        ("--load-model-s", 1.0),
        ("--load-lag-s", 0.0),
        ("--event-lag-s", 0.0),
        ("--event-gap-share", 0.0),
    ):
        parser.add_argument(name, type=float, default=default)
    for name, count in (
        ("--step-prefill-tokens", speeds.step_prefill_tokens),
        ("--batch-limit", speeds.batch_limit_count),
        ("--queue-limit", speeds.queue_limit_count),
        ("--kv-limit-tokens", speeds.kv_limit_tokens),
        ("--kv-bytes-per-token", 64),
        ("--cache-blocks", 1024),
    ):
        parser.add_argument(name, type=int, default=count)
    return parser.parse_args(arguments)


def main() -> None:
    """Runs the engine until it is ended."""
    arguments = parse_arguments()
    engine = Engine(arguments)
    engine.start()
    _http.serve(
        arguments.ip,
        arguments.port,
        engine.application,
        name=arguments.engine_id,
    )


if __name__ == "__main__":
    main()
