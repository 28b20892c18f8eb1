"""Prefill on one engine, decode on another: the KV cache is handed over."""

import json
from collections.abc import Callable

from loguru import logger
from result import Err, Ok, Result
from typing_extensions import TypedDict

from mulberrywharf import _answers, _exchange, errors, fleet, metrics
from mulberrywharf.engines import refusals, resume

DEFAULT_PREFILL_TIMEOUT_S = 10.0
_ANSWER_LIMIT_BYTES = 64 * 1024
_OK = 200

_failed_handovers = metrics.counter(
    "mulberry_handovers_failed_total",
    "Prefills elsewhere that failed, so the decode engine prefilled itself.",
)


class KvSource(TypedDict):
    """Where a decode engine fetches a prompt's KV cache.

    Attributes:
        ip: The prefill engine.
        port: The prefill engine's port.
        handle: Names the exported cache there.
    """

    ip: str
    port: int
    handle: str


def prefill(
    address: fleet.Address,
    generation: resume.Generation,
    timeout_s: float = DEFAULT_PREFILL_TIMEOUT_S,
) -> Result[KvSource, errors.EngineError]:
    """Has an engine prefill the prompt and keep its KV cache.

    Args:
        address: The prefill engine.
        generation: Whose prompt it is.
        timeout_s: For the connection and for each wait.
    """
    extension = {"priority": generation.priority, "prefill_only": True}
    body = {**generation.body, "stream": False, "mulberry": extension}
    headers = {
        "content-type": "application/json",
        "x-request-id": generation.request_id,
    }
    fetched = _exchange.fetch(
        address,
        _exchange.Request(
            "POST", generation.path, headers, json.dumps(body).encode()
        ),
        timeout_s=timeout_s,
        limit_bytes=_ANSWER_LIMIT_BYTES,
    )
    if isinstance(fetched, Err):
        return fetched
    answer, data = fetched.ok_value
    if answer.status_code != _OK:
        return Err(refusals.refusal(address, answer, data))
    return _source(address, data, generation.request_id)


def prepare(
    prefill_vm: fleet.VmRecord,
    generation: resume.Generation,
    books: resume.Books,
    timeout_s: float = DEFAULT_PREFILL_TIMEOUT_S,
    on_failed: Callable[[errors.EngineError], None] = lambda _: None,
) -> resume.Prepared:
    """Prefills elsewhere and points the decode engine to the cache.

    When that fails the decode engine prefills by itself, as it also does
    when the exported cache is gone by the time it fetches it: a handover
    saves time and is never needed for the answer.

    Args:
        prefill_vm: The engine that prefills.
        generation: Whose prompt it is.
        books: Told of the prefill's begin and end.
        timeout_s: For the connection and for each wait.
        on_failed: Called with what made the prefill fail.
    """
    books.begin(prefill_vm.vm_id, generation.prompt_tokens)
    failed = False
    try:
        prefilled = prefill(prefill_vm.address, generation, timeout_s)
        failed = isinstance(prefilled, Err)
    finally:
        books.end(prefill_vm.vm_id, failed)
    if isinstance(prefilled, Err):
        on_failed(prefilled.err_value)
        _failed_handovers.inc({"engine": prefill_vm.vm_id})
        logger.bind(
            request_id=generation.request_id, engine_id=prefill_vm.vm_id
        ).warning("prefill failed: {}", prefilled.err_value)
        return resume.Prepared(generation.body, generation.prompt_tokens)
    extension = {"kv_source": prefilled.ok_value}
    return resume.Prepared({**generation.body, "mulberry": extension}, 0)


def _source(
    address: fleet.Address, data: bytes, request_id: str
) -> Result[KvSource, errors.EngineError]:
    try:
        document = json.loads(data)
        answered_id = document["id"]
        handle = str(document["kv_handle"])
    except (KeyError, RecursionError, TypeError, ValueError) as error:
        return Err(errors.EngineError(f"malformed prefill answer: {error!r}"))
    if answered_id != request_id:
        # A crossed handle would lead to another caller's KV cache.
        _answers.count_foreign(address)
        message = f"{address} answered another request's prefill"
        return Err(errors.ForeignAnswerError(message))
    return Ok({"ip": address.ip, "port": address.port, "handle": handle})
