"""Parses and validates the configuration document."""

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

_ADVICE_BY_ERROR_TYPE = {
    "missing": "add this field",
    "string_pattern_mismatch": (
        "use the format that docs/operators/rules.md shows"
    ),
    "greater_than_equal": "write a value in the range",
    "less_than_equal": "write a value in the range",
    "float_type": "write a number without quotation marks",
    "int_type": "write a whole number without quotation marks",
}
_DEFAULT_ADVICE = "see docs/operators/rules.md for this field"
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
    """A JSON object contains a key more than once."""


def parse(text: str, source: str) -> Result[Document, RulesError]:
    """Parses and validates a document in JSON with comments.

    Args:
        text: The whole document.
        source: Name of the document, for error messages.

    Returns:
        The document, or an error that lists every fault found in it.
    """
    size_bytes = len(text.encode("utf-8", "surrogatepass"))
    if size_bytes > document_module.DOCUMENT_LIMIT_BYTES:
        fault = Fault(
            "document",
            f"{size_bytes} bytes; the limit is "
            f"{document_module.DOCUMENT_LIMIT_BYTES}",
            "remove entries that are no longer used",
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
    """Validates a document that is already decoded, such as a stored one.

    Args:
        value: The decoded JSON value.
        source: Name of the document, for error messages.

    Returns:
        The document, or an error that lists every fault found in it.
    """
    try:
        document = ADAPTER.validate_python(value)
    except pydantic.ValidationError as error:
        return Err(
            RulesError(source, [_fault_from_error(e) for e in error.errors()])
        )
    found = consistency.faults(document)
    if found:
        return Err(RulesError(source, found))
    return Ok(document)


def _read(text: str) -> object:
    # The json5 parser is pure Python and about a thousand times slower than
    # json, so it is only the fallback. Lines that hold nothing but a comment,
    # as mulberryctl writes them, are removed before json parses the text. This
    # cannot alter a string, because a JSON string cannot span lines. Text that
    # is still not plain JSON goes to json5 unmodified.
    try:
        return json.loads(
            _COMMENT_LINE.sub("", text),
            object_pairs_hook=_object_with_unique_keys,
            parse_constant=_reject_constant,
        )
    except _DuplicateKeyError:
        raise
    except ValueError:
        return json5.loads(text, object_pairs_hook=_object_with_unique_keys)


def _object_with_unique_keys(
    pairs: Iterable[tuple[str, Any]],
) -> dict[str, Any]:
    # JSON parsers keep only the last of several equal keys. An operator who
    # pastes a customer twice would silently lose one of its limits.
    value: dict[str, Any] = {}
    for key, item in pairs:
        if key in value:
            raise _DuplicateKeyError(
                f"{key!r} occurs more than once in an object"
            )
        value[key] = item
    return value


def _reject_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is not a valid number")


def _first_line(error: Exception) -> str:
    lines = str(error).splitlines()
    return lines[0] if lines else type(error).__name__


def _fault_from_error(detail: Any) -> Fault:
    path = ".".join(str(part) for part in detail["loc"]) or "document"
    if detail["type"] == "extra_forbidden":
        key = str(detail["loc"][-1])
        return Fault(path, f"unknown field {key}", _advice_for_key(key))
    advice = _ADVICE_BY_ERROR_TYPE.get(detail["type"], _DEFAULT_ADVICE)
    return Fault(path, detail["msg"], advice)


def _advice_for_key(key: str) -> str:
    """Suggests known fields, preferring those that only add a unit."""
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
