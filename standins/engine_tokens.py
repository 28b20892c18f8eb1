"""The tokens that the stand-in engine answers with, as pure functions.

Token i depends on nothing but the model, the prompt and i, so whoever holds
an answer can tell whether a token was lost, doubled, changed or foreign.
"""

import xxhash

_MIN_ANSWER_TOKENS = 4
_ANSWER_SPREAD_TOKENS = 60


def token_text(model: str, prompt: str, index: int) -> str:
    """Returns the text of token ``index``, with a trailing space."""
    seed = xxhash.xxh64_intdigest(f"{model}\x00{prompt}".encode())
    digest = xxhash.xxh64_intdigest(str(index).encode(), seed)
    return f"{digest & 0xFFFFFF:06x} "


def answer_length(model: str, prompt: str, max_tokens: int | None) -> int:
    """Returns how many tokens the whole answer has.

    Args:
        model: Model name.
        prompt: Whole prompt text.
        max_tokens: The caller's bound; None leaves it to the model.
    """
    if max_tokens is not None:
        return max_tokens
    digest = xxhash.xxh64_intdigest(f"length\x00{model}\x00{prompt}".encode())
    return _MIN_ANSWER_TOKENS + digest % _ANSWER_SPREAD_TOKENS


def answer_text(model: str, prompt: str, max_tokens: int | None) -> str:
    """Returns the whole answer."""
    count = answer_length(model, prompt, max_tokens)
    return "".join(token_text(model, prompt, i) for i in range(count))
