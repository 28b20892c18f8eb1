"""Idempotency claims and the log records that store them.

A claim is the right to run a request once for a customer and idempotency key.
Claims are partitioned into shards. The key-value service stores the log of
each shard as segments: append-only lists of JSON lines. Replaying the
segments in order rebuilds the shard's table.
"""

import base64
import functools
import hashlib
import json
from typing import Any, Literal, NamedTuple

import orjson
from result import Err, Ok, Result

from mulberrywharf import errors, fleet, stated_numbers, wire_numbers

SHARD_COUNT = 16
WINDOW_S = 900.0
"""How long a claim is kept after it was made."""

ANSWER_LIMIT_BYTES = 4096
"""Of a longer answer only the digest is stored."""

SEGMENT_LIMIT_BYTES = 16 * 1024
"""Size at which the log starts a new segment.

Each commit rewrites the whole segment, so a larger limit writes more bytes per
commit. A smaller limit makes the next owner read more keys.
"""

DIGEST_BYTES = 16

ClaimState = Literal["in-progress", "done", "unknown"]
"""``unknown``: the run's deadline passed without a completion."""


class ClaimGranted(NamedTuple):
    """The caller may run the request now, once.

    Attributes:
        claim_id: The claim.
        token: Identifies the attempt that holds the claim.
    """

    claim_id: bytes
    token: int


class ClaimMet(NamedTuple):
    """An earlier request with the same key holds the claim.

    Attributes:
        state: State of the earlier request's run.
        runner_vm_id: Entry VM that runs or ran the earlier request.
        runner_address: Address on which that VM listens for callers.
        request_id: Id of the earlier request.
        status: HTTP status of its answer, 0 unless done.
        answer_digest: Digest of its answer, empty unless done.
        answer: Its answer, None unless done and short enough to be stored.
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
        request_id: Id of the first request.
        token: Identifies the attempt that holds the claim.
        runner_vm_id: Entry VM that runs the request.
        runner_ip: IP address on which that VM listens for callers.
        runner_port: TCP port on which that VM listens for callers.
        claimed_unix_s: When the claim was made.
        run_until_unix_s: Deadline of the run; a claim without a completion
            is ``unknown`` afterwards.
        is_done: Whether a completion was recorded.
        status: HTTP status of the answer, 0 unless done.
        answer_digest: Digest of the answer, empty unless done.
        answer: The answer, None unless done and short enough to be stored.
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
        """Returns the state of the run at a given time."""
        if self.is_done:
            return "done"
        return (
            "unknown" if now_unix_s > self.run_until_unix_s else "in-progress"
        )


class Claimed(NamedTuple):
    """Log record: a claim was made.

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
        answer_digest: Digest of the answer.
        answer: The answer, or None if it is too long to be stored.
    """

    claim_id: bytes
    token: int
    status: int
    answer_digest: bytes
    answer: bytes | None


class Released(NamedTuple):
    """Log record: the attempt was abandoned and nothing ran.

    Attributes:
        claim_id: The claim.
        token: The abandoned attempt.
    """

    claim_id: bytes
    token: int


Record = Claimed | Completed | Released


def claim_id(customer: str, key: str) -> bytes:
    """Returns the claim id of a customer's idempotency key."""
    text = f"{len(customer)}:{customer}{key}".encode()
    return digest(text)


def digest(data: bytes) -> bytes:
    """Returns the 16-byte digest that claims use for bodies and answers."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


def shard_of(claim: bytes, shard_count: int = SHARD_COUNT) -> int:
    """Returns the shard that a claim belongs to."""
    return int.from_bytes(claim[:4], "big") % shard_count


def owners_prefix(deployment: str) -> str:
    """Returns the key prefix of all ownership keys."""
    return f"/mulberry/{deployment}/claim-owners/"


def owner_key(deployment: str, shard: int) -> str:
    """Returns the ownership key of a shard."""
    return f"{owners_prefix(deployment)}{shard:04d}"


def segments_prefix(deployment: str, shard: int) -> str:
    """Returns the key prefix of a shard's log segments."""
    return f"/mulberry/{deployment}/claims/{shard:04d}/"


def segment_key(deployment: str, shard: int, number: int) -> str:
    """Returns the key of one segment; keys sort from oldest to newest."""
    return f"{segments_prefix(deployment, shard)}{number:010d}"


class Table:
    """The committed claims of one shard."""

    def __init__(self, window_s: float = WINDOW_S):
        self._window_s = window_s
        self._entries: dict[bytes, Entry] = {}

    def __len__(self) -> int:
        """Returns the number of stored claims."""
        return len(self._entries)

    def get(self, claim: bytes) -> Entry | None:
        """Returns the entry of a claim, or None."""
        return self._entries.get(claim)

    def apply(self, record: Record) -> None:
        """Applies a committed record."""
        _apply(record, self._entries)

    def expire(self, now_unix_s: float) -> None:
        """Removes claims older than the window, oldest first.

        A claim in progress is kept whatever its age. If it were removed, a
        duplicate could run concurrently with the first request.
        """
        for claim, entry in list(self._entries.items()):
            if entry.claimed_unix_s + self._window_s > now_unix_s:
                break
            if entry.state(now_unix_s) != "in-progress":
                del self._entries[claim]


@functools.singledispatch
def _apply(record: object, entries: dict[bytes, Entry]) -> None:
    raise TypeError(f"not a claim record: {type(record).__name__}")


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
    """Encodes a record as one line of a segment."""
    raise TypeError(f"not a claim record: {type(record).__name__}")


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


def decode_segment(
    value: bytes,
) -> Result[list[Record], errors.StoredRecordError]:
    """Decodes the records of a segment, or returns why one can't be read."""
    try:
        return Ok(
            [_decode_record(orjson.loads(line)) for line in value.splitlines()]
        )
    except (KeyError, TypeError, ValueError) as error:
        return Err(errors.StoredRecordError(f"unreadable claims: {error!r}"))


def _decode_record(fields: Any) -> Record:
    claim = bytes.fromhex(fields["id"])
    token = stated_numbers.count(
        fields["token"], "token", limit=wire_numbers.UINT64_LIMIT
    )
    if fields["op"] == "release":
        return Released(claim, token)
    if fields["op"] == "done":
        answer = fields["answer"]
        return Completed(
            claim,
            token,
            stated_numbers.count(
                fields["status"], "status", limit=wire_numbers.UINT16_LIMIT
            ),
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
            stated_numbers.count(
                fields["port"], "port", limit=wire_numbers.UINT16_LIMIT
            ),
            stated_numbers.figure(fields["at_unix_s"], "at_unix_s"),
            stated_numbers.figure(fields["until_unix_s"], "until_unix_s"),
        )
    )


def _line(fields: dict[str, object]) -> bytes:
    return json.dumps(fields, separators=(",", ":")).encode() + b"\n"
