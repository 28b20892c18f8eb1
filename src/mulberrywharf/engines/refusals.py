"""What an engine's answer means when it is not a success."""

import json

from mulberrywharf import _answers, _headers, errors, fleet

_SERVICE_UNAVAILABLE = 503


def refusal(
    address: fleet.Address, answer: _answers.Answer, body: bytes
) -> errors.EngineError:
    """Types an answer that is not a success.

    A 503 with a ``type``, and any 4xx, say that the engine did not run the
    request; whatever else comes leaves that open.
    """
    status = answer.status_code
    reason = _reason(body)
    message = f"{address} answered {status} {reason}".rstrip()
    unavailable = status == _SERVICE_UNAVAILABLE and reason
    if unavailable or 400 <= status < 500:
        return errors.EngineRefusedError(
            message,
            status=status,
            reason=reason,
            retry_after_s=_headers.retry_after_s(answer.header("retry-after")),
            body=body,
        )
    return errors.EngineError(message)


def _reason(body: bytes) -> str:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return ""
    if not isinstance(document, dict):
        return ""
    return str(document.get("type", ""))
