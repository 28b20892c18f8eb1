"""The typed messages between entry VMs; messages.capnp is their wire form."""

from typing import Literal, NamedTuple

ClaimReplyKind = Literal[
    "granted",
    "in-progress",
    "done",
    "unknown",
    "key-reused",
    "not-owner",
    "unavailable",
    "accepted",
    "not-found",
]
"""``accepted`` answers completions and releases."""

CLAIM_REPLY_KINDS: frozenset[str] = frozenset(
    ClaimReplyKind.__args__  # type: ignore[attr-defined]
)


class Demand(NamedTuple):
    """What one node sees of one customer.

    Attributes:
        customer: The customer's name.
        requests_per_s: Requests, refused ones too.
        tokens_per_s: Their tokens.
    """

    customer: str
    requests_per_s: float
    tokens_per_s: float


class Heartbeat(NamedTuple):
    """A node's picture of its own availability zone, sent each interval.

    The columns follow the sorted lists of the zone's VMs; ``list_hash`` names
    the lists, so that a receiver whose VM list differs ignores the columns
    instead of reading one engine's load as another's.

    Attributes:
        availability_zone: The zone that the columns describe.
        incarnation: Start of the sending process in Unix milliseconds.
        stamp: The sender's own heartbeat stamp.
        config_version: Version of the configuration that it runs.
        list_hash: Names the two lists.
        stamps: Two bytes for each entry VM: its newest known heartbeat stamp.
        suspicions: One bit for each entry VM that the sender suspects.
        loads: One quantised load for each engine.
        load_ages: Half a byte for each engine, the age of its load.
        round_number: Round of the demand report; 0 without one.
        live_digest: The report's digest of the nodes held for live.
        demands: The sender's busiest customers.
    """

    availability_zone: str
    incarnation: int
    stamp: int
    config_version: int
    list_hash: int = 0
    stamps: bytes = b""
    suspicions: bytes = b""
    loads: bytes = b""
    load_ages: bytes = b""
    round_number: int = 0
    live_digest: int = 0
    demands: tuple[Demand, ...] = ()


class Leaving(NamedTuple):
    """The sender stops as planned and takes no new work.

    Attributes:
        incarnation: Start of the process that stops, Unix milliseconds.
    """

    incarnation: int


class ConfigFetch(NamedTuple):
    """Asks for the configuration document that the receiver runs."""


class ConfigDocument(NamedTuple):
    """The configuration as the key-value service holds it.

    Attributes:
        document: The raw value, or empty when the node has none.
    """

    document: bytes


class ClaimRequest(NamedTuple):
    """Asks the shard's owner for the right to run a request once.

    Attributes:
        claim_id: Digest of customer and idempotency key, 16 bytes.
        body_digest: Digest of the request's body, 16 bytes.
        request_id: The request that would run.
        token: Drawn for this attempt; a repeat with the same token is the
            same attempt.
        runner_ip: Where the runner's callers' listener answers.
        runner_port: Its TCP port.
        run_bound_s: How long the run may take before its outcome counts as
            unknown.
    """

    claim_id: bytes
    body_digest: bytes
    request_id: str
    token: int
    runner_ip: str
    runner_port: int
    run_bound_s: float


class ClaimComplete(NamedTuple):
    """The run ended with an answer.

    Attributes:
        claim_id: The claim.
        token: The attempt that was granted.
        status: HTTP status of the answer.
        answer_digest: Digest of the whole answer, 16 bytes.
        answer: The answer, or None if it exceeds the bound.
    """

    claim_id: bytes
    token: int
    status: int
    answer_digest: bytes
    answer: bytes | None


class ClaimRelease(NamedTuple):
    """The attempt was given up before any byte reached a back end.

    Attributes:
        claim_id: The claim.
        token: The attempt.
    """

    claim_id: bytes
    token: int


class ClaimWait(NamedTuple):
    """Asks for the answer of a run in progress.

    Attributes:
        claim_id: The claim.
        wait_s: How long the owner may hold the question.
    """

    claim_id: bytes
    wait_s: float


class ClaimReply(NamedTuple):
    """The owner's answer to any of the claim messages.

    Attributes:
        kind: What became of it.
        runner_vm_id: Who runs or ran it.
        runner_ip: That node's address for callers.
        runner_port: Its TCP port.
        status: HTTP status of the answer when ``done``.
        answer_digest: Digest of the answer when ``done``.
        answer: The answer when ``done`` and short enough to be kept.
        request_id: The request that holds the claim.
    """

    kind: ClaimReplyKind
    runner_vm_id: str = ""
    runner_ip: str = ""
    runner_port: int = 0
    status: int = 0
    answer_digest: bytes = b""
    answer: bytes | None = None
    request_id: str = ""


class ShardHandover(NamedTuple):
    """The sender gave up a shard that the receiver should take now.

    Attributes:
        shard: Number of the shard.
    """

    shard: int


class RatesFetch(NamedTuple):
    """Asks a router for the rates of some customers and models.

    Attributes:
        customers: Names of customers.
        models: Names of models.
    """

    customers: tuple[str, ...]
    models: tuple[str, ...]


class Rates(NamedTuple):
    """Answers ``RatesFetch``.

    Attributes:
        customers: Requests per second at this router, refused ones too, in
            the order of the question.
        models: Likewise.
    """

    customers: tuple[float, ...]
    models: tuple[float, ...]


Message = (
    Heartbeat
    | Leaving
    | ConfigFetch
    | ConfigDocument
    | ClaimRequest
    | ClaimComplete
    | ClaimRelease
    | ClaimWait
    | ClaimReply
    | ShardHandover
    | RatesFetch
    | Rates
)


class Envelope(NamedTuple):
    """A message with its sender.

    Attributes:
        sender_vm_id: Name of the sending VM.
        correlation: Pairs a question with its answer; 0 when none is due.
        message: What is said.
    """

    sender_vm_id: str
    correlation: int
    message: Message
