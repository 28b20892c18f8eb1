"""Assembles a non-streaming completion from a stream.

Engines are always asked for a stream, so that a non-streaming answer can be
resumed at another engine as well.
"""

from collections.abc import Iterator
from typing import Any

from result import Err, Ok, Result

from mulberrywharf import errors
from mulberrywharf.engines import streams

DEFAULT_LIMIT_CHARACTERS = 16_000_000


def assemble(
    batches: Iterator[streams.TokenBatch],
    *,
    request_id: str,
    model: str,
    chat: bool,
    limit_characters: int = DEFAULT_LIMIT_CHARACTERS,
) -> Result[dict[str, Any], errors.AnswerTooLargeError]:
    """Reads a stream to its end and returns the completion.

    Args:
        batches: The batches of an ``EngineStream`` or ``ResumingStream``.
        request_id: Used as the ``id`` of the answer.
        model: The model that the caller requested.
        chat: Whether to return a chat completion instead of a text completion.
        limit_characters: Maximum length of the answer, which is held in memory.

    Returns:
        The answer in the OpenAI format, with the usage of all engines.

    Raises:
        MulberryError: The stream raised it.
    """
    texts: list[str] = []
    size_characters = 0
    last: streams.Token | None = None
    for batch in batches:
        for token in batch.tokens:
            texts.append(token.text)
            size_characters += len(token.text)
            last = token
        if size_characters > limit_characters:
            message = f"the answer exceeds {limit_characters} characters"
            return Err(errors.AnswerTooLargeError(message))
    text = "".join(texts)
    return Ok(_completion(text, last, request_id, model, chat))


def _completion(
    text: str,
    last: streams.Token | None,
    request_id: str,
    model: str,
    chat: bool,
) -> dict[str, Any]:
    choice: dict[str, Any] = {
        "index": 0,
        "finish_reason": last.finish_reason if last else None,
    }
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    document: dict[str, Any] = {
        "id": request_id,
        "object": "chat.completion" if chat else "text_completion",
        "model": model,
        "choices": [choice],
    }
    if last is not None and last.usage is not None:
        document["usage"] = {
            **last.usage._asdict(),
            "total_tokens": sum(last.usage),
        }
    return document
