"""Reads the configuration document from text."""

import difflib
import json
import re
from collections.abc import Iterable
from typing import Any, NoReturn

import json5
import pydantic
from result import Err, Ok, Result

from mulberrywharf.errors import Fault, RulesError
from mulberrywharf.rules import consistency
from mulberrywharf.rules import document as document_module
from mulberrywharf.rules.document import ADAPTER, Document

_ADVICE_BY_KIND = {
    "missing": "add this field",
    "string_pattern_mismatch": "write it in the form that the page shows",
    "greater_than_equal": "write a value in the range",
    "less_than_equal": "write a value in the range",
    "float_type": "write a number without quotation marks",
    "int_type": "write a whole number without quotation marks",
}
_ADVICE = "see docs/operators/rules.md for this field"
_COMMENT_LINE = re.compile(
    r"^[ \t]*//[^\r\n\u2028\u2029]*(?=\r?\n|\Z)", re.MULTILINE
)
_KNOWN_KEYS = sorted(
    {
        key
        for part in vars(document_module).values()
        for key in getattr(part, "__annotations__", {})
    }
)


class _DuplicateKeyError(ValueError):
    """An object names one key twice."""


def parse(text: str, source: str) -> Result[Document, RulesError]:
    """Reads and checks a document in JSON with comments.

    Args:
        text: The whole document.
        source: Its name, for messages.

    Returns:
        The document, or every fault found in it.
    """
    size_bytes = len(text.encode("utf-8", "surrogatepass"))
    if size_bytes > document_module.DOCUMENT_LIMIT_BYTES:
        fault = Fault(
            "document",
            f"{size_bytes} bytes; the limit is "
            f"{document_module.DOCUMENT_LIMIT_BYTES}",
            "remove what is no longer used",
        )
        return Err(RulesError(source, [fault]))
    try:
        value = _read(text)
    except (ValueError, RecursionError) as error:
        fault = Fault(
            "document",
            _first_line(error),
            "write JSON; comments and trailing commas are allowed",
        )
        return Err(RulesError(source, [fault]))
    return check_value(value, source)


def check_value(value: object, source: str) -> Result[Document, RulesError]:
    """Checks a document that is already read, such as a stored one.

    Args:
        value: What a JSON reader returned.
        source: Its name, for messages.

    Returns:
        The document, or every fault found in it.
    """
    try:
        document = ADAPTER.validate_python(value)
    except pydantic.ValidationError as error:
        return Err(RulesError(source, [_fault(e) for e in error.errors()]))
    found = consistency.faults(document)
    if found:
        return Err(RulesError(source, found))
    return Ok(document)


def _read(text: str) -> object:
    # The json5 reader is written in Python and some thousand times slower.
    # Whole comment lines, which mulberryctl writes itself, are blanked first.
    # That is safe: a JSON string cannot span lines, so a line of one never
    # begins with a comment, and whatever is no plain JSON then goes to json5
    # as it was written.
    try:
        return json.loads(
            _COMMENT_LINE.sub("", text),
            object_pairs_hook=_object,
            parse_constant=_refuse_constant,
        )
    except _DuplicateKeyError:
        raise
    except ValueError:
        return json5.loads(text, object_pairs_hook=_object)


def _object(pairs: Iterable[tuple[str, Any]]) -> dict[str, Any]:
    # A JSON reader keeps the last of two equal keys: an operator who pastes a
    # customer twice would lose one limit without a word. Refuse instead.
    value: dict[str, Any] = {}
    for key, item in pairs:
        if key in value:
            raise _DuplicateKeyError(f"{key!r} stands twice in one object")
        value[key] = item
    return value


def _refuse_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is not a number that can be used")


def _first_line(error: Exception) -> str:
    lines = str(error).splitlines()
    return lines[0] if lines else type(error).__name__


def _fault(detail: Any) -> Fault:
    path = ".".join(str(part) for part in detail["loc"]) or "document"
    if detail["type"] == "extra_forbidden":
        key = str(detail["loc"][-1])
        return Fault(path, f"unknown field {key}", _advice_for_key(key))
    advice = _ADVICE_BY_KIND.get(detail["type"], _ADVICE)
    return Fault(path, detail["msg"], advice)


def _advice_for_key(key: str) -> str:
    """Proposes known fields, first those that only add a unit."""
    with_unit = [
        known
        for known in _KNOWN_KEYS
        if re.fullmatch(
            re.escape(key) + r"_(s|ms|count|per_s|hex|share)", known
        )
    ]
    near = with_unit or difflib.get_close_matches(key, _KNOWN_KEYS, n=2)
    if near:
        return f"did you mean {' or '.join(near)}?"
    return "remove it; docs/operators/rules.md lists the fields"
