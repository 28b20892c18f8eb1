"""Reads a backend server's complete answer before any of it is forwarded."""

from mulberrywharf import errors
from mulberrywharf.backend_servers import client
from mulberrywharf.callers import passthrough

_ANSWER_LIMIT_BYTES = 16_000_000


def read_whole(answer: client.BackendAnswer) -> passthrough.ServiceAnswer:
    """Reads an answer into memory.

    Raises:
        EngineError: The answer broke off or is larger than 16 MB.
    """
    body = bytearray()
    for block in answer.body():
        body += block
        if len(body) > _ANSWER_LIMIT_BYTES:
            answer.close()
            raise errors.AnswerTooLargeError(
                f"the answer exceeds {_ANSWER_LIMIT_BYTES} bytes"
            )
    headers = tuple((name.lower(), value) for name, value in answer.headers)
    return passthrough.ServiceAnswer(answer.status, headers, bytes(body))
