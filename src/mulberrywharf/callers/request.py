"""What a caller asks for, typed and checked before anything else sees it."""

import hashlib
import re
import uuid
from collections.abc import Mapping
from typing import Any, NamedTuple

from result import Err, Ok, Result

from mulberrywharf import _wsgi, errors, fingerprints
from mulberrywharf.callers import _completion_body, listener

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
_DEADLINE_LIMIT_MS = 86_400_000
_LOWEST_PRIORITY = 9
DEFAULT_DEADLINE_S = 60.0
_ENGINE_EXTENSION = "mulberry"


class CallerRequest(NamedTuple):
    """One request whose head and body are within bounds.

    Attributes:
        method: HTTP method.
        path: Decoded path, for routing.
        target: Path and query as they came, for pass-through.
        fields: Header fields without those that callers may not set.
        body: The whole body.
        request_id: The caller's, or a fresh one.
        customer: Name of the customer whose key it carried.
        deadline_s: Monotonic instant by which the answer must be whole.
        priority: 0 (first) to 9, or None if the caller named none.
        idempotency_key: Names the caller's one intent, or None.
        idempotent: What the caller said of a service call, or None.
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
        """Returns 64 bits that are equal when the same is asked again."""
        return fingerprints.fingerprint(
            (self.method, self.target, self.customer), self.body
        )


class CompletionRequest(NamedTuple):
    """One generation that a caller asks for.

    Attributes:
        caller: The request it came in.
        model: A model of the configuration.
        adapter: An adapter of that model, or empty.
        prompt: Prompt text; a chat's messages as ``role: content`` lines, as
            the engines join them.
        prompt_tokens: Estimate of the prompt's length.
        max_tokens: Bound of the answer, or None to leave it to the model.
        stream: Whether the caller reads events.
        chat: Whether it came as chat.
        body: The checked OpenAI body, without our own extension.
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


class Customers:
    """Finds the customer that a bearer key belongs to."""

    def __init__(self, customers: Mapping[str, Mapping[str, Any]]):
        self._names_by_sha256 = {
            str(entry["key_sha256_hex"]): name
            for name, entry in customers.items()
        }

    def find(self, key: str) -> str | None:
        """Returns the customer's name, or None.

        The key is hashed before it is looked up, so how long the look-up
        takes tells nothing about a key that is nearly right.
        """
        digest = hashlib.sha256(key.encode("latin-1", "replace")).hexdigest()
        return self._names_by_sha256.get(digest)


def request_id_of(environ: _wsgi.Environ) -> str:
    """Returns the caller's request id if it is usable, else a fresh one."""
    given = environ.get("HTTP_X_REQUEST_ID", "")
    if _REQUEST_ID.fullmatch(given):
        return str(given)
    return uuid.uuid4().hex


def read(
    environ: _wsgi.Environ,
    *,
    request_id: str,
    customers: Customers,
    now_s: float,
    body_limit_bytes: int = listener.DEFAULT_BODY_LIMIT_BYTES,
    default_deadline_s: float = DEFAULT_DEADLINE_S,
) -> Result[CallerRequest, errors.RequestError]:
    """Checks a request's head and reads its body.

    Args:
        environ: From the callers' listener.
        request_id: See ``request_id_of``.
        customers: From the configuration in force.
        now_s: Monotonic time; the deadline counts from here.
        body_limit_bytes: Larger bodies are refused.
        default_deadline_s: For requests that name no deadline.

    Returns:
        The request, or the refusal that its caller gets.
    """
    try:
        customer = _customer(environ, customers)
        deadline_s = now_s + _time_left_s(environ, default_deadline_s)
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
            fields=_settable(environ[listener.HEADERS_KEY]),
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
    """Reads a request's body whole.

    Args:
        environ: From the callers' listener.
        limit_bytes: A larger body is refused.

    Raises:
        RequestTooLargeError: It is larger.
        BadRequestError: It ended early, or its chunks are malformed.
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
    """Refuses a body that is larger than allowed.

    Args:
        body_bytes: Its length, as announced or as read.
        limit_bytes: What is allowed.

    Raises:
        RequestTooLargeError: It is larger.
    """
    if body_bytes > limit_bytes:
        raise errors.RequestTooLargeError(
            f"the body exceeds {limit_bytes} bytes"
        )


def read_completion(
    caller: CallerRequest, models: Mapping[str, Mapping[str, Any]]
) -> Result[CompletionRequest, errors.RequestError]:
    """Checks an OpenAI body.

    Args:
        caller: The request that carries it.
        models: The configuration's models, with their adapters.

    Returns:
        The generation asked for, or the refusal that its caller gets.
    """
    try:
        body = _completion_body.json_object(caller.body)
        model, adapter = _completion_body.model_and_adapter(body, models)
        chat = caller.path.endswith("/chat/completions")
        read_prompt = (
            _completion_body.chat_prompt
            if chat
            else _completion_body.plain_prompt
        )
        prompt = read_prompt(body)
        max_tokens = _completion_body.max_tokens(body)
        _completion_body.check_one_choice(body)
        stream = _completion_body.flag(body, "stream")
    except errors.RequestError as error:
        return Err(error)
    # The extension steers resuming and KV handover between our own
    # processes; a caller that set it could read another's KV cache.
    body.pop(_ENGINE_EXTENSION, None)
    return Ok(
        CompletionRequest(
            caller=caller,
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


def _settable(
    fields: list[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, value)
        for name, value in fields
        if name in _SETTABLE_HEADERS or not name.startswith(_INTERNAL_PREFIX)
    )


def _customer(environ: _wsgi.Environ, customers: Customers) -> str:
    match = _BEARER.fullmatch(environ.get("HTTP_AUTHORIZATION", ""))
    name = customers.find(match.group(1)) if match else None
    if name is None:
        raise errors.UnknownCustomerError(
            "the request carries no known customer key",
            advice="Send `authorization: Bearer <customer key>`.",
        )
    return name


def _time_left_s(environ: _wsgi.Environ, default_s: float) -> float:
    text = environ.get("HTTP_X_MULBERRY_DEADLINE_MS")
    if text is None:
        return default_s
    milliseconds = _whole_number(
        "x-mulberry-deadline-ms", text, _DEADLINE_LIMIT_MS
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
