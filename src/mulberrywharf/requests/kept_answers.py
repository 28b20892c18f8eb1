"""Answers kept for duplicate requests: how they are written, and a local store.

The owner of a claim keeps short answers with the claim. Long ones stay in the
memory of the router that ran the request; other routers ask it for them.
"""

import collections
import json

from mulberrywharf.callers import passthrough

DEFAULT_LIMIT_BYTES = 32_000_000
_KEPT_FIELDS = frozenset({"content-type", "content-encoding", "location"})


def encode(answer: passthrough.ServiceAnswer) -> bytes:
    """Writes an answer as one line of header fields and its body."""
    kept = [field for field in answer.headers if field[0] in _KEPT_FIELDS]
    return json.dumps(kept).encode() + b"\n" + answer.body


def decode(status: int, kept: bytes) -> passthrough.ServiceAnswer:
    """Reads what ``encode`` wrote."""
    head, _, body = kept.partition(b"\n")
    fields = tuple((str(name), str(value)) for name, value in json.loads(head))
    return passthrough.ServiceAnswer(status, fields, body)


class AnswerStore:
    """The latest answers that this process ran, bounded in bytes."""

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES):
        self._limit_bytes = limit_bytes
        self._size_bytes = 0
        self._answers: collections.OrderedDict[bytes, bytes] = (
            collections.OrderedDict()
        )

    def put(self, claim: bytes, kept: bytes) -> None:
        """Keeps an answer; the oldest go when the bound is passed."""
        if len(kept) > self._limit_bytes:
            return
        self._size_bytes += len(kept) - len(self._answers.pop(claim, b""))
        self._answers[claim] = kept
        while self._size_bytes > self._limit_bytes:
            _, oldest = self._answers.popitem(last=False)
            self._size_bytes -= len(oldest)

    def get(self, claim: bytes) -> bytes | None:
        """Returns a kept answer."""
        return self._answers.get(claim)
