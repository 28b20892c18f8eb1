"""Converts unsuccessful engine answers to typed errors."""

import json

from mulberrywharf import _answers, _headers, errors, fleet

_SERVICE_UNAVAILABLE = 503


def error_from_answer(
    address: fleet.Address, answer: _answers.Answer, body: bytes
) -> errors.EngineError:
    """Returns the error for an unsuccessful answer.

    A 503 whose body has a ``type``, and any 4xx, mean that the engine did not
    run the request. With any other status, it is unknown whether it did.
    """
    status = answer.status_code
    reason = _parse_reason(body)
    message = f"{address} returned status {status} {reason}".rstrip()
    is_unavailable = status == _SERVICE_UNAVAILABLE and reason
    if is_unavailable or 400 <= status < 500:
        return errors.EngineRefusedError(
            message,
            status=status,
            reason=reason,
            retry_after_s=_headers.retry_after_s(answer.header("retry-after")),
            body=body,
        )
    return errors.EngineError(message)


def _parse_reason(body: bytes) -> str:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return ""
    if not isinstance(document, dict):
        return ""
    return str(document.get("type", ""))
