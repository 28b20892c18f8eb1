"""Idempotency claims: what they are and how a shard's log records them.

A claim is the right to run the request of one customer and idempotency key
once. Claims are spread over shards. The log of a shard lives in the key-value
service as segments, each a list of JSON lines that only grows; replaying the
segments in order gives the shard's table.
"""

import base64
import functools
import hashlib
import json
from collections.abc import Iterator
from typing import Any, Literal, NamedTuple

from mulberrywharf import fleet

SHARD_COUNT = 16
WINDOW_S = 900.0
"""How long a key is remembered after it was first claimed."""

ANSWER_LIMIT_BYTES = 4096
"""Longer answers are remembered by their digest only."""

SEGMENT_LIMIT_BYTES = 16 * 1024
"""A segment that has grown so long gets a successor.

Every commit writes its segment anew, so the bytes written grow with this; the
keys that the next owner reads grow as it shrinks.
"""

DIGEST_BYTES = 16

ClaimState = Literal["in-progress", "done", "unknown"]
"""``unknown``: the runner's time passed without a completion."""


class ClaimGranted(NamedTuple):
    """The caller may run the request now, once.

    Attributes:
        claim_id: The claim.
        token: Proves that it was granted to this attempt.
    """

    claim_id: bytes
    token: int


class ClaimMet(NamedTuple):
    """Another request with the same key came first.

    Attributes:
        state: Where that request is.
        runner_vm_id: Entry VM that runs or ran it.
        runner_address: Its listener for callers.
        request_id: Its request id.
        status: HTTP status of its answer, 0 unless done.
        answer_digest: Digest of its answer, empty unless done.
        answer: Its answer, None unless done and short enough to be kept.
    """

    state: ClaimState
    runner_vm_id: str
    runner_address: fleet.Address
    request_id: str
    status: int = 0
    answer_digest: bytes = b""
    answer: bytes | None = None


class Entry(NamedTuple):
    """One claim in a shard's table.

    Attributes:
        claim_id: Digest of customer and key.
        body_digest: Digest of the first request's body.
        request_id: The first request.
        token: Its attempt.
        runner_vm_id: Who runs it.
        runner_ip: That node's listener for callers.
        runner_port: Its TCP port.
        claimed_unix_s: When the claim was taken.
        run_until_unix_s: Without a completion by then it is ``unknown``.
        is_done: Whether a completion was recorded.
        status: HTTP status of the answer.
        answer_digest: Digest of the answer.
        answer: The answer if it was short enough.
    """

    claim_id: bytes
    body_digest: bytes
    request_id: str
    token: int
    runner_vm_id: str
    runner_ip: str
    runner_port: int
    claimed_unix_s: float
    run_until_unix_s: float
    is_done: bool = False
    status: int = 0
    answer_digest: bytes = b""
    answer: bytes | None = None

    def state(self, now_unix_s: float) -> ClaimState:
        """Returns where the run is as far as the shard can tell."""
        if self.is_done:
            return "done"
        return (
            "unknown" if now_unix_s > self.run_until_unix_s else "in-progress"
        )


class Claimed(NamedTuple):
    """Log record: a claim was taken.

    Attributes:
        entry: The new entry.
    """

    entry: Entry


class Completed(NamedTuple):
    """Log record: the run ended with an answer.

    Attributes:
        claim_id: The claim.
        token: The attempt that ran.
        status: HTTP status of the answer.
        answer_digest: Its digest.
        answer: The answer, or None if it is not kept.
    """

    claim_id: bytes
    token: int
    status: int
    answer_digest: bytes
    answer: bytes | None


class Released(NamedTuple):
    """Log record: the attempt was given up and nothing ran.

    Attributes:
        claim_id: The claim.
        token: The attempt.
    """

    claim_id: bytes
    token: int


Record = Claimed | Completed | Released


def claim_id(customer: str, key: str) -> bytes:
    """Returns the digest that names the claim of a customer's key."""
    text = f"{len(customer)}:{customer}{key}".encode()
    return digest(text)


def digest(data: bytes) -> bytes:
    """Returns the 16-byte digest that claims use for bodies and answers."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


def shard_of(claim: bytes, shard_count: int = SHARD_COUNT) -> int:
    """Returns the shard that a claim belongs to."""
    return int.from_bytes(claim[:4], "big") % shard_count


def owners_prefix(deployment: str) -> str:
    """Returns the prefix of the shards' ownership keys."""
    return f"/mulberry/{deployment}/claim-owners/"


def owner_key(deployment: str, shard: int) -> str:
    """Returns the key whose holder owns the shard."""
    return f"{owners_prefix(deployment)}{shard:04d}"


def segments_prefix(deployment: str, shard: int) -> str:
    """Returns the prefix of the shard's log segments."""
    return f"/mulberry/{deployment}/claims/{shard:04d}/"


def segment_key(deployment: str, shard: int, number: int) -> str:
    """Returns the key of one segment; keys sort by age."""
    return f"{segments_prefix(deployment, shard)}{number:010d}"


class Table:
    """The claims of one shard that were committed."""

    def __init__(self, window_s: float = WINDOW_S):
        self._window_s = window_s
        self._entries: dict[bytes, Entry] = {}

    def __len__(self) -> int:
        """Returns the number of claims that are remembered."""
        return len(self._entries)

    def get(self, claim: bytes) -> Entry | None:
        """Returns the claim's entry."""
        return self._entries.get(claim)

    def apply(self, record: Record) -> None:
        """Takes a committed record in."""
        _apply(record, self._entries)

    def expire(self, now_unix_s: float) -> None:
        """Forgets claims older than the window, oldest first.

        A claim whose run may still be going on is kept however old it is:
        forgotten, a duplicate request would run beside the first.
        """
        for claim, entry in list(self._entries.items()):
            if entry.claimed_unix_s + self._window_s > now_unix_s:
                break
            if entry.state(now_unix_s) != "in-progress":
                del self._entries[claim]


@functools.singledispatch
def _apply(record: object, entries: dict[bytes, Entry]) -> None:
    raise TypeError(f"no claim record: {type(record).__name__}")


@_apply.register
def _(record: Claimed, entries: dict[bytes, Entry]) -> None:
    entries[record.entry.claim_id] = record.entry


@_apply.register
def _(record: Completed, entries: dict[bytes, Entry]) -> None:
    entry = entries.get(record.claim_id)
    if entry is None or entry.token != record.token:
        return
    entries[record.claim_id] = entry._replace(
        is_done=True,
        status=record.status,
        answer_digest=record.answer_digest,
        answer=record.answer,
    )


@_apply.register
def _(record: Released, entries: dict[bytes, Entry]) -> None:
    entry = entries.get(record.claim_id)
    if entry is not None and entry.token == record.token and not entry.is_done:
        del entries[record.claim_id]


@functools.singledispatch
def encode_record(record: object) -> bytes:
    """Returns the record as one line of a segment."""
    raise TypeError(f"no claim record: {type(record).__name__}")


@encode_record.register
def _(record: Claimed) -> bytes:
    entry = record.entry
    return _line(
        {
            "op": "claim",
            "id": entry.claim_id.hex(),
            "body": entry.body_digest.hex(),
            "request": entry.request_id,
            "token": entry.token,
            "vm": entry.runner_vm_id,
            "ip": entry.runner_ip,
            "port": entry.runner_port,
            "at_unix_s": round(entry.claimed_unix_s, 3),
            "until_unix_s": round(entry.run_until_unix_s, 3),
        }
    )


@encode_record.register
def _(record: Completed) -> bytes:
    answer = record.answer
    return _line(
        {
            "op": "done",
            "id": record.claim_id.hex(),
            "token": record.token,
            "status": record.status,
            "digest": record.answer_digest.hex(),
            "answer": None
            if answer is None
            else base64.b64encode(answer).decode(),
        }
    )


@encode_record.register
def _(record: Released) -> bytes:
    return _line(
        {"op": "release", "id": record.claim_id.hex(), "token": record.token}
    )


def decode_segment(value: bytes) -> Iterator[Record]:
    """Reads the records of a segment that this project wrote."""
    for line in value.splitlines():
        yield _decode_record(json.loads(line))


def _decode_record(fields: Any) -> Record:
    claim = bytes.fromhex(fields["id"])
    token = fields["token"]
    if fields["op"] == "release":
        return Released(claim, token)
    if fields["op"] == "done":
        answer = fields["answer"]
        return Completed(
            claim,
            token,
            fields["status"],
            bytes.fromhex(fields["digest"]),
            None if answer is None else base64.b64decode(answer),
        )
    return Claimed(
        Entry(
            claim,
            bytes.fromhex(fields["body"]),
            fields["request"],
            token,
            fields["vm"],
            fields["ip"],
            fields["port"],
            fields["at_unix_s"],
            fields["until_unix_s"],
        )
    )


def _line(fields: dict[str, object]) -> bytes:
    return json.dumps(fields, separators=(",", ":")).encode() + b"\n"
