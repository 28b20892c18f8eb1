"""Validates callers' requests and parses them into typed values."""

import hashlib
import re
import uuid
from collections.abc import Mapping
from typing import Any, NamedTuple

from result import Err, Ok, Result

from mulberrywharf import _wsgi, errors
from mulberrywharf.callers import _completion_body, listener
from mulberrywharf.crashes import fingerprints

_REQUEST_ID = re.compile(r"[A-Za-z0-9._:-]{1,128}")
_IDEMPOTENCY_KEY = re.compile(r"[\x21-\x7e]{1,255}")
_BEARER = re.compile(r"[Bb]earer +([\x21-\x7e]{1,512})")
_SETTABLE_HEADERS = frozenset(
    {
        "x-mulberry-deadline-ms",
        "x-mulberry-priority",
        "x-mulberry-idempotent",
    }
)
_INTERNAL_PREFIX = "x-mulberry-"
_MS_PER_S = 1000.0
_TIME_LIMIT_MAX_MS = 86_400_000
_LOWEST_PRIORITY = 9
DEFAULT_DEADLINE_S = 60.0
"""How many seconds a request without a deadline may take: a duration."""
_INTERNAL_EXTENSION = "mulberry"


class CallerRequest(NamedTuple):
    """A request of a caller, with a validated head and a complete body.

    Attributes:
        method: HTTP method.
        path: Percent-decoded path, for routing.
        target: Path and query as received, for pass-through.
        fields: Header fields in the order received, without the internal ones,
            which callers may not set.
        body: The whole body.
        request_id: The request ID of the caller, or a generated one.
        customer: Name of the customer whose key the request carries.
        deadline_s: Monotonic time by which the answer must be complete.
        priority: 0 (highest) to 9 (lowest), or None if the caller set none.
        idempotency_key: Key that the caller repeats when it retries the same
            request, or None.
        idempotent: Whether the caller declared a service call idempotent, or
            None if it did not say.
    """

    method: str
    path: str
    target: str
    fields: tuple[tuple[str, str], ...]
    body: bytes
    request_id: str
    customer: str
    deadline_s: float
    priority: int | None = None
    idempotency_key: str | None = None
    idempotent: bool | None = None

    def fingerprint(self) -> int:
        """Returns a 64-bit hash by which a repeated request is recognized."""
        return fingerprints.fingerprint(
            (self.method, self.target, self.customer), self.body
        )

    def customer_key(self) -> int:
        """Returns a 64-bit hash that is equal for requests of one customer."""
        return fingerprints.fingerprint((self.customer,), b"")

    def part_keys(self, service: str) -> dict[str, int]:
        """Returns nothing, as callers state no parts of their prompts."""
        return {}


class CompletionRequest(NamedTuple):
    """A validated completion or chat completion request.

    Attributes:
        caller: The caller's HTTP request.
        model: Name of a model in the configuration.
        adapter: Name of an adapter of that model, or empty.
        prompt: Prompt text; chat messages are joined into ``role: content``
            lines, as the engines do it.
        prompt_tokens: Estimated number of tokens in the prompt.
        max_tokens: Maximum number of tokens in the answer, or None to leave it
            to the model.
        stream: Whether the answer is sent as server-sent events.
        chat: Whether it is a chat completion.
        body: The validated OpenAI body, without the internal extension object.
    """

    caller: CallerRequest
    model: str
    adapter: str
    prompt: str
    prompt_tokens: int
    max_tokens: int | None
    stream: bool
    chat: bool
    body: dict[str, Any]


class CustomerKeys:
    """Looks up customers by their bearer keys."""

    def __init__(self, customers: Mapping[str, Mapping[str, Any]]):
        self._names_by_sha256 = {
            str(entry["key_sha256_hex"]): name
            for name, entry in customers.items()
        }

    def find(self, key: str) -> str | None:
        """Returns the name of the customer with a key, or None.

        The look-up uses the key's hash, so its duration reveals nothing about
        how much of a guessed key is right.
        """
        digest = hashlib.sha256(key.encode("latin-1", "replace")).hexdigest()
        return self._names_by_sha256.get(digest)


def request_id_of(environ: _wsgi.Environ) -> str:
    """Returns the caller's request ID if it is valid, else a new one."""
    given = environ.get("HTTP_X_REQUEST_ID", "")
    if _REQUEST_ID.fullmatch(given):
        return str(given)
    return uuid.uuid4().hex


def read(
    environ: _wsgi.Environ,
    *,
    request_id: str,
    customers: CustomerKeys,
    now_s: float,
    body_limit_bytes: int = listener.DEFAULT_BODY_LIMIT_BYTES,
    default_deadline_s: float = DEFAULT_DEADLINE_S,
) -> Result[CallerRequest, errors.RequestError]:
    """Validates a request's head and reads its body.

    Args:
        environ: WSGI environ from the callers' listener.
        request_id: See ``request_id_of``.
        customers: Customer keys of the configuration in force.
        now_s: Current monotonic time, from which the deadline counts.
        body_limit_bytes: Maximum body size; larger bodies are rejected.
        default_deadline_s: Seconds that a request without a deadline may take.

    Returns:
        The request, or the error to return to the caller.
    """
    try:
        customer = _customer(environ, customers)
        deadline_s = now_s + _time_limit_s(environ, default_deadline_s)
        priority = _priority(environ)
        key = _idempotency_key(environ)
        idempotent = _idempotent(environ)
        body = read_body(environ, body_limit_bytes)
    except errors.RequestError as error:
        return Err(error)
    return Ok(
        CallerRequest(
            method=environ["REQUEST_METHOD"],
            path=environ["PATH_INFO"],
            target=environ[listener.TARGET_KEY],
            fields=_without_internal_fields(environ[listener.HEADERS_KEY]),
            body=body,
            request_id=request_id,
            customer=customer,
            deadline_s=deadline_s,
            priority=priority,
            idempotency_key=key,
            idempotent=idempotent,
        )
    )


def read_body(environ: _wsgi.Environ, limit_bytes: int) -> bytes:
    """Reads the whole body of a request.

    Args:
        environ: WSGI environ from the callers' listener.
        limit_bytes: Maximum body size.

    Raises:
        RequestTooLargeError: The body is larger than the limit.
        BadRequestError: The body is truncated or its chunks are malformed.
    """
    announced_bytes = int(environ.get("CONTENT_LENGTH") or 0)
    check_size(announced_bytes, limit_bytes)
    try:
        body = environ["wsgi.input"].read(limit_bytes + 1)
    except OSError as error:
        raise errors.BadRequestError(
            "the body ended early or its chunks are malformed"
        ) from error
    check_size(len(body), limit_bytes)
    return bytes(body)


def check_size(body_bytes: int, limit_bytes: int) -> None:
    """Checks the size of a body.

    Args:
        body_bytes: Size of the body, as announced or as read.
        limit_bytes: Maximum body size.

    Raises:
        RequestTooLargeError: The body is larger than the limit.
    """
    if body_bytes > limit_bytes:
        raise errors.RequestTooLargeError(
            f"the body exceeds {limit_bytes} bytes"
        )


def read_completion(
    http_request: CallerRequest, models: Mapping[str, Mapping[str, Any]]
) -> Result[CompletionRequest, errors.RequestError]:
    """Validates the OpenAI body of a request.

    Args:
        http_request: The caller's HTTP request.
        models: Models of the configuration, with their adapters.

    Returns:
        The completion request, or the error to return to the caller.
    """
    try:
        body = _completion_body.json_object(http_request.body)
        model, adapter = _completion_body.model_and_adapter(body, models)
        chat = http_request.path.endswith("/chat/completions")
        read_prompt = (
            _completion_body.chat_prompt
            if chat
            else _completion_body.completion_prompt
        )
        prompt = read_prompt(body)
        max_tokens = _completion_body.max_tokens(body)
        _completion_body.check_one_choice(body)
        stream = _completion_body.boolean_field(body, "stream")
    except errors.RequestError as error:
        return Err(error)
    # The extension controls resuming and KV handover between processes of this
    # system. A caller that could set it could read another customer's KV cache.
    body.pop(_INTERNAL_EXTENSION, None)
    return Ok(
        CompletionRequest(
            caller=http_request,
            model=model,
            adapter=adapter,
            prompt=prompt,
            prompt_tokens=len(prompt.split()),
            max_tokens=max_tokens,
            stream=stream,
            chat=chat,
            body=body,
        )
    )


def _without_internal_fields(
    fields: list[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, value)
        for name, value in fields
        if name in _SETTABLE_HEADERS or not name.startswith(_INTERNAL_PREFIX)
    )


def _customer(environ: _wsgi.Environ, customers: CustomerKeys) -> str:
    match = _BEARER.fullmatch(environ.get("HTTP_AUTHORIZATION", ""))
    name = customers.find(match.group(1)) if match else None
    if name is None:
        raise errors.UnknownCustomerError(
            "the request carries no known customer key",
            advice="Send `authorization: Bearer <customer key>`.",
        )
    return name


def _time_limit_s(environ: _wsgi.Environ, default_s: float) -> float:
    text = environ.get("HTTP_X_MULBERRY_DEADLINE_MS")
    if text is None:
        return default_s
    milliseconds = _whole_number(
        "x-mulberry-deadline-ms", text, _TIME_LIMIT_MAX_MS
    )
    return milliseconds / _MS_PER_S


def _priority(environ: _wsgi.Environ) -> int | None:
    text = environ.get("HTTP_X_MULBERRY_PRIORITY")
    if text is None:
        return None
    return _whole_number("x-mulberry-priority", text, _LOWEST_PRIORITY)


def _whole_number(name: str, text: str, limit: int) -> int:
    if not (text.isascii() and text.isdigit() and len(text) <= 9):
        raise errors.BadRequestError(f"{name} is not a whole number")
    number = int(text)
    if number > limit:
        raise errors.BadRequestError(f"{name} is above {limit}")
    return number


def _idempotency_key(environ: _wsgi.Environ) -> str | None:
    text = environ.get("HTTP_IDEMPOTENCY_KEY")
    if text is None:
        return None
    if not _IDEMPOTENCY_KEY.fullmatch(text):
        raise errors.BadRequestError(
            "idempotency-key must be 1 to 255 printable ASCII characters"
        )
    return str(text)


def _idempotent(environ: _wsgi.Environ) -> bool | None:
    text = environ.get("HTTP_X_MULBERRY_IDEMPOTENT")
    if text is None:
        return None
    if text not in ("true", "false"):
        raise errors.BadRequestError(
            "x-mulberry-idempotent must be true or false"
        )
    return bool(text == "true")
