"""Validates the fields of an OpenAI request body.

Each function returns a validated value or raises the ``RequestError`` to return
to the caller; ``request.read_completion`` calls them.
"""

import json
import math
from collections.abc import Mapping
from typing import Any

from mulberrywharf import errors

MAX_TOKENS_LIMIT = 131_072
_DIGITS_LIMIT_COUNT = 20
"""Digits of an integer in a body; engines have 64 bits for any of them."""


def json_object(body: bytes) -> dict[str, Any]:
    """Parses the body as a JSON object.

    Rejects ``NaN`` and ``Infinity``, which Python's parser accepts although
    they are not JSON, and numbers that are parsed as infinity or that engines
    have no type for: the body is written anew for an engine.
    """
    try:
        document = json.loads(
            body,
            parse_constant=_reject_constant,
            parse_float=_finite_float,
            parse_int=_short_integer,
        )
    except (ValueError, RecursionError) as error:
        raise errors.BadRequestError("the body is not JSON") from error
    if not isinstance(document, dict):
        raise errors.BadRequestError("the body is not a JSON object")
    return document


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not JSON")


def _finite_float(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise errors.BadRequestError(f"the number {text:.40} is too large")
    return number


def _short_integer(text: str) -> int:
    if len(text) > _DIGITS_LIMIT_COUNT:
        raise errors.BadRequestError(
            f"the number {text:.40} has more than {_DIGITS_LIMIT_COUNT} digits"
        )
    return int(text)


def check_one_choice(body: dict[str, Any]) -> None:
    """Rejects a request for several choices in one answer."""
    # A stream with several choices has no single count of delivered tokens, so
    # it could not be resumed on another engine.
    for name in ("n", "best_of"):
        if body.get(name) not in (None, 1):
            raise errors.BadRequestError(f"{name} above 1 is not supported")


def model_and_adapter(
    body: dict[str, Any], models: Mapping[str, Mapping[str, Any]]
) -> tuple[str, str]:
    """Returns the model and the adapter that a body names.

    Args:
        body: The OpenAI body.
        models: Models of the configuration, with their adapters.

    Returns:
        The names of the model and the adapter; the latter is empty if the body
        names none.

    Raises:
        BadRequestError: The model is missing or not a string.
        UnknownTargetError: The model, or its adapter, is not configured.
    """
    name = body.get("model")
    if not isinstance(name, str):
        raise errors.BadRequestError("model is missing or not a string")
    if name in models:
        return name, ""
    model, _, adapter = name.partition(":")
    if model in models and adapter in models[model].get("adapters", ()):
        return model, adapter
    raise errors.UnknownTargetError(
        f"no such model: {name[:80]!r}",
        advice="GET /v1/models lists the models.",
    )


def completion_prompt(body: dict[str, Any]) -> str:
    """Returns the prompt of a completion request."""
    prompt = body.get("prompt")
    if not isinstance(prompt, str):
        raise errors.BadRequestError("prompt is missing or not a string")
    return _require_encodable(prompt)


def chat_prompt(body: dict[str, Any]) -> str:
    """Returns the messages of a chat request as ``role: content`` lines."""
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise errors.BadRequestError("messages is missing or empty")
    return "".join(_message_text(message) for message in messages)


def _message_text(message: object) -> str:
    members = message if isinstance(message, dict) else {}
    role, content = members.get("role"), members.get("content")
    if not isinstance(role, str) or not isinstance(content, str):
        raise errors.BadRequestError(
            "the role or the content of a message is missing or not a string"
        )
    return _require_encodable(f"{role}: {content}\n")


def _require_encodable(text: str) -> str:
    # JSON escapes can encode lone surrogates, which UTF-8 can't represent.
    try:
        text.encode()
    except UnicodeEncodeError as error:
        raise errors.BadRequestError("text is not valid Unicode") from error
    return text


def max_tokens(body: dict[str, Any]) -> int | None:
    """Returns the maximum number of answer tokens, or None if not set."""
    value = body.get("max_tokens")
    if value is None:
        return None
    if not isinstance(value, int) or isinstance(value, bool):
        raise errors.BadRequestError("max_tokens is not a whole number")
    if not 1 <= value <= MAX_TOKENS_LIMIT:
        raise errors.BadRequestError(
            f"max_tokens is not between 1 and {MAX_TOKENS_LIMIT}"
        )
    return value


def boolean_field(body: dict[str, Any], name: str) -> bool:
    """Returns a boolean field; a missing or null one is False."""
    value = body.get(name, False)
    if value is None:
        return False
    if not isinstance(value, bool):
        raise errors.BadRequestError(f"{name} is not true or false")
    return value
