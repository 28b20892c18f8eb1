"""Encoding and in-memory store of answers that duplicate requests may need.

The router that owns a claim's shard stores short answers with the claim. Long
answers stay in the memory of the router that ran the request, and other routers
fetch them from there.
"""

import collections
import json

from mulberrywharf.callers import passthrough

DEFAULT_LIMIT_BYTES = 32_000_000
_STORED_HEADERS = frozenset({"content-type", "content-encoding", "location"})


def encode(answer: passthrough.ServiceAnswer) -> bytes:
    """Encodes an answer as one line of header fields and its body."""
    headers = [field for field in answer.headers if field[0] in _STORED_HEADERS]
    return json.dumps(headers).encode() + b"\n" + answer.body


def decode(status: int, encoded: bytes) -> passthrough.ServiceAnswer:
    """Decodes an answer that ``encode`` encoded."""
    head, _, body = encoded.partition(b"\n")
    fields = tuple((str(name), str(value)) for name, value in json.loads(head))
    return passthrough.ServiceAnswer(status, fields, body)


class AnswerStore:
    """The latest answers to requests run by this router, bounded in bytes."""

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES):
        self._limit_bytes = limit_bytes
        self._size_bytes = 0
        self._answers: collections.OrderedDict[bytes, bytes] = (
            collections.OrderedDict()
        )

    def put(self, claim: bytes, encoded: bytes) -> None:
        """Stores an answer and drops the oldest ones above the size limit."""
        if len(encoded) > self._limit_bytes:
            return
        self._size_bytes += len(encoded) - len(self._answers.pop(claim, b""))
        self._answers[claim] = encoded
        while self._size_bytes > self._limit_bytes:
            _, oldest = self._answers.popitem(last=False)
            self._size_bytes -= len(oldest)

    def get(self, claim: bytes) -> bytes | None:
        """Returns the stored answer, or None."""
        return self._answers.get(claim)
