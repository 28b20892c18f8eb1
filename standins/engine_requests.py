"""How the stand-in engine reads requests, and fetches KV for them."""

from typing import Any

import geventhttpclient
from geventhttpclient import response

from standins import _http, engine_batch, engine_cache, engine_tokens

_DEFAULT_PRIORITY = 5
_PRIORITIES = range(10)
_KV_FETCH_TIMEOUT_S = 10.0


def refusal(body: dict[str, Any], is_chat: bool) -> _http.Reply | None:
    """Returns the answer to a request that cannot be run, else None."""
    if not _is_well_formed(body, is_chat):
        return _http.Reply(400, {"type": "bad-request"})
    extension = body.get("mulberry", {})
    resumed = extension.get("resume_text")
    if resumed is None:
        return None
    own = "".join(
        engine_tokens.token_text(body["model"], prompt_text(body), index)
        for index in range(extension.get("resume_token_count", 0))
    )
    if resumed == own:
        return None
    return _http.Reply(400, {"type": "resume-text-mismatch"})


def make_run(request_id: str, body: dict[str, Any]) -> engine_batch.Run:
    """Makes the run of a well-formed request; fetches KV if it names any."""
    extension = body.get("mulberry", {})
    prompt = prompt_text(body)
    model = body["model"]
    run = engine_batch.Run(
        request_id,
        model,
        prompt,
        answer_tokens=engine_tokens.answer_length(
            model, prompt, body.get("max_tokens")
        ),
        first_index=extension.get("resume_token_count", 0),
        priority=extension.get("priority", _DEFAULT_PRIORITY),
        prefill_only=bool(extension.get("prefill_only")),
    )
    source = extension.get("kv_source")
    run.has_imported_kv = _import_kv(source, model, prompt)
    return run


def prompt_text(body: dict[str, Any]) -> str:
    """Returns the prompt that the answer's tokens depend on.

    Chat messages are joined as ``role: content`` lines.
    """
    if "messages" not in body:
        return str(body["prompt"])
    return "".join(f"{m['role']}: {m['content']}\n" for m in body["messages"])


def _is_well_formed(body: dict[str, Any], is_chat: bool) -> bool:
    if not isinstance(body.get("model"), str):
        return False
    limit = body.get("max_tokens")
    if limit is not None and (not isinstance(limit, int) or limit < 1):
        return False
    if not _is_well_formed_extension(body.get("mulberry", {})):
        return False
    if not is_chat:
        return isinstance(body.get("prompt"), str)
    messages = body.get("messages")
    return isinstance(messages, list) and all(
        isinstance(m, dict) and {"role", "content"} <= m.keys()
        for m in messages
    )


def _is_well_formed_extension(extension: Any) -> bool:
    if not isinstance(extension, dict):
        return False
    count = extension.get("resume_token_count", 0)
    if not isinstance(count, int) or count < 0:
        return False
    return extension.get("priority", _DEFAULT_PRIORITY) in _PRIORITIES


def _import_kv(source: dict[str, Any] | None, model: str, prompt: str) -> bool:
    """Fetches a prompt's KV cache; False means to prefill here."""
    if not source:
        return False
    client = geventhttpclient.HTTPClient(
        source["ip"],
        source["port"],
        connection_timeout=_KV_FETCH_TIMEOUT_S,
        network_timeout=_KV_FETCH_TIMEOUT_S,
    )
    try:
        answer = client.get(f"/kv/{source['handle']}")
        answer.read()
    except (OSError, response.HTTPParseError):
        return False
    finally:
        client.close()
    wanted = engine_cache.prompt_hash(model, prompt)
    return answer.status_code == 200 and (answer.get("x-prompt-hash") == wanted)
