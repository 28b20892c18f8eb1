"""Parses JSON that contains values of other programs.

An answer of the platform lists entries that anybody may have written. Python's
parser gives up on the whole answer if one of them is nested too deeply or has
too long a number, and nothing would be read any more while it is there.
"""

import json
import re
from typing import Any

DEPTH_LIMIT = 64
"""Levels of nesting that are kept if an answer can't be parsed as it is. What
is nested more deeply becomes null."""

_INTEGER_DIGITS_LIMIT_COUNT = 20
"""Longer integers become floats, which no field with a count accepts."""

_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*+"|[\[{]+|[\]}]+')
"""A string, or a run of brackets that open or close."""


def loads(text: bytes) -> Any:
    """Parses JSON.

    Raises:
        ValueError: It is malformed.
    """
    try:
        return json.loads(text, parse_int=_integer)
    except RecursionError:
        return json.loads(_without_deep_values(text), parse_int=_integer)


def _integer(digits: str) -> int | float:
    if len(digits) > _INTEGER_DIGITS_LIMIT_COUNT:
        return float(digits)
    return int(digits)


def _without_deep_values(text: bytes) -> bytes:
    """Replaces each array and object below ``DEPTH_LIMIT`` levels by null."""
    kept: list[bytes] = []
    kept_until = 0
    depth_count = 0
    for token in _TOKEN.finditer(text):
        before_count = depth_count
        if token[0][0] in b"[{":
            depth_count += len(token[0])
            if before_count <= DEPTH_LIMIT < depth_count:
                cut_at = token.start() + DEPTH_LIMIT - before_count
                kept.append(text[kept_until:cut_at] + b"null")
        elif token[0][0] in b"]}":
            depth_count -= len(token[0])
            if depth_count <= DEPTH_LIMIT < before_count:
                kept_until = token.start() + before_count - DEPTH_LIMIT
    if depth_count > DEPTH_LIMIT:
        raise ValueError("the JSON ends inside an array or object")
    kept.append(text[kept_until:])
    return b"".join(kept)
