"""A completion without streaming, put together from the stream.

Towards the engines every generation is a stream, so a plain answer too can be
carried on by another engine.
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
    """Reads a stream to its checked end.

    Args:
        batches: Of an ``EngineStream`` or a ``ResumingStream``.
        request_id: Becomes the answer's ``id``.
        model: The model that the caller named.
        chat: Whether the answer is a message instead of text.
        limit_characters: Bound on the answer kept in memory.

    Returns:
        The answer in OpenAI's shape, its usage over all engines.

    Raises:
        MulberryError: As the stream does.
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
    return Ok(_document(text, last, request_id, model, chat))


def _document(
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
