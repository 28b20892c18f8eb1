"""Prefills on one engine and points another, which decodes, to the KV cache."""

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
    "Prefills on a prefill engine that failed; the decode engine then prefilled"
    " the prompt.",
)


class KvSource(TypedDict):
    """The source from which a decode engine fetches a prompt's KV cache.

    Attributes:
        ip: IP address of the prefill engine.
        port: Port of the prefill engine.
        handle: Identifies the kept KV cache at the prefill engine.
    """

    ip: str
    port: int
    handle: str


def prefill(
    address: fleet.Address,
    generation: resume.Generation,
    timeout_s: float = DEFAULT_PREFILL_TIMEOUT_S,
    on_head: Callable[[_answers.Answer], None] = lambda _: None,
) -> Result[KvSource, errors.EngineError]:
    """Asks an engine to prefill the prompt and to keep its KV cache.

    Args:
        address: The prefill engine.
        generation: The generation with the prompt.
        timeout_s: Timeout of the connect and of each read, in seconds.
        on_head: Called with the answer.
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
    on_head(answer)
    if answer.status_code != _OK:
        return Err(refusals.error_from_answer(address, answer, data))
    return _parse_kv_source(address, data, generation.request_id)


def prepare(
    prefill_vm: fleet.VmRecord,
    generation: resume.Generation,
    tracker: resume.RequestTracker,
    timeout_s: float = DEFAULT_PREFILL_TIMEOUT_S,
    on_failed: Callable[[errors.EngineError], None] = lambda _: None,
    on_head: Callable[[_answers.Answer], None] = lambda _: None,
) -> resume.PreparedRequest:
    """Prefills on another engine and points the decode engine to the KV cache.

    A handover only saves time. If the prefill fails, or if the kept KV
    cache is gone when the decode engine fetches it, the decode engine prefills
    the prompt itself.

    Args:
        prefill_vm: The engine that prefills.
        generation: The generation with the prompt.
        tracker: Notified when the prefill begins and ends.
        timeout_s: Timeout of the connect and of each read, in seconds.
        on_failed: Called with the error if the prefill fails.
        on_head: Called with the engine's answer.
    """
    tracker.request_started(prefill_vm.vm_id, generation.prompt_tokens)
    failed = False
    try:
        prefilled = prefill(prefill_vm.address, generation, timeout_s, on_head)
        failed = isinstance(prefilled, Err)
    finally:
        tracker.request_finished(prefill_vm.vm_id, failed)
    if isinstance(prefilled, Err):
        on_failed(prefilled.err_value)
        _failed_handovers.inc({"engine": prefill_vm.vm_id})
        logger.bind(
            request_id=generation.request_id, engine_id=prefill_vm.vm_id
        ).warning("prefill failed: {}", prefilled.err_value)
        return resume.PreparedRequest(generation.body, generation.prompt_tokens)
    extension = {"kv_source": prefilled.ok_value}
    return resume.PreparedRequest({**generation.body, "mulberry": extension}, 0)


def _parse_kv_source(
    address: fleet.Address, data: bytes, request_id: str
) -> Result[KvSource, errors.EngineError]:
    try:
        document = json.loads(data)
        answer_id = document["id"]
        handle = str(document["kv_handle"])
    except (KeyError, RecursionError, TypeError, ValueError) as error:
        return Err(errors.EngineError(f"malformed prefill answer: {error!r}"))
    if answer_id != request_id:
        # A handle from another request's answer would make the decode engine
        # fetch another caller's KV cache.
        _answers.count_foreign(address)
        message = f"{address} sent a prefill answer with another request's id"
        return Err(errors.ForeignAnswerError(message))
    return Ok({"ip": address.ip, "port": address.port, "handle": handle})
