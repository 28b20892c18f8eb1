"""The typed messages between entry VMs; messages.capnp is the wire schema."""

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
"""``accepted`` is the reply to completions, releases and handovers."""

CLAIM_REPLY_KINDS: frozenset[str] = frozenset(
    ClaimReplyKind.__args__  # type: ignore[attr-defined]
)


class Demand(NamedTuple):
    """One customer's load at one node.

    Attributes:
        customer: Name of the customer.
        requests_per_s: Requests per second, including refused ones.
        tokens_per_s: Tokens per second of these requests.
    """

    customer: str
    requests_per_s: float
    tokens_per_s: float


class Heartbeat(NamedTuple):
    """A node's view of its own availability zone, sent at each interval.

    The columns are ``stamps``, ``suspicions``, ``loads`` and ``load_ages``.
    Their order is that of the zone's sorted lists of entry VMs and engines.
    ``list_hash`` identifies these lists: a receiver whose lists differ ignores
    the columns, as it would assign the loads to the wrong engines.

    Attributes:
        availability_zone: The zone that the columns describe.
        incarnation: Start of the sending process in Unix milliseconds.
        stamp: Sequence number of the sender's heartbeat.
        config_version: Version of the configuration that the sender runs.
        list_hash: Hash of the two lists.
        stamps: Newest known heartbeat sequence number of each entry VM, two
            bytes each.
        suspicions: One bit for each entry VM, set if the sender suspects that
            it has failed.
        loads: Quantised load of each engine, one byte each.
        load_ages: Age of each engine's load, half a byte each.
        round_number: Round of the demand report; 0 without a report.
        live_digest: Digest of the nodes that the demand report counts as
            live.
        demands: Demand of the sender's busiest customers.
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
    """Announces a planned stop: the sender accepts no new work.

    Attributes:
        incarnation: Start of the stopping process in Unix milliseconds.
    """

    incarnation: int


class ConfigFetch(NamedTuple):
    """Requests the configuration document that the receiver runs."""


class ConfigDocument(NamedTuple):
    """The configuration as stored in the key-value service.

    Attributes:
        document: The raw value, empty if the sender has none.
    """

    document: bytes


class ClaimRequest(NamedTuple):
    """Asks the shard's owner for the right to run a request once.

    Attributes:
        claim_id: Digest of customer and idempotency key, 16 bytes.
        body_digest: Digest of the request's method, path and body, 16 bytes.
        request_id: Id of the request that would run.
        token: Random number of this attempt; a message with the same token
            repeats the same attempt.
        runner_ip: IP address on which the sender listens for callers.
        runner_port: TCP port on which the sender listens for callers.
        run_bound_s: Time after which the outcome of a run without a
            completion counts as unknown.
    """

    claim_id: bytes
    body_digest: bytes
    request_id: str
    token: int
    runner_ip: str
    runner_port: int
    run_bound_s: float


class ClaimComplete(NamedTuple):
    """Reports that the run ended with an answer.

    Attributes:
        claim_id: The claim.
        token: The attempt that holds the claim.
        status: HTTP status of the answer.
        answer_digest: Digest of the whole answer, 16 bytes.
        answer: The answer, or None if it is too long to be stored.
    """

    claim_id: bytes
    token: int
    status: int
    answer_digest: bytes
    answer: bytes | None


class ClaimRelease(NamedTuple):
    """Reports that the attempt was abandoned.

    No byte of the request reached a backend server.

    Attributes:
        claim_id: The claim.
        token: The abandoned attempt.
    """

    claim_id: bytes
    token: int


class ClaimWait(NamedTuple):
    """Requests the answer of a run in progress.

    Attributes:
        claim_id: The claim.
        wait_s: How long the owner may wait for the end of the run.
    """

    claim_id: bytes
    wait_s: float


class ClaimReply(NamedTuple):
    """The owner's reply to any of the claim messages.

    Attributes:
        kind: Result of the message, or state of the claim.
        runner_vm_id: Entry VM that runs or ran the request.
        runner_ip: IP address on which that VM listens for callers.
        runner_port: TCP port on which that VM listens for callers.
        status: HTTP status of the answer if ``done``.
        answer_digest: Digest of the answer if ``done``.
        answer: The answer if ``done`` and short enough to be stored.
        request_id: Id of the request that holds the claim.
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
    """The sender released a shard; the receiver should acquire it now.

    Attributes:
        shard: Number of the shard.
    """

    shard: int


class RatesFetch(NamedTuple):
    """Requests a router's request rates of some customers and models.

    Attributes:
        customers: Names of customers.
        models: Names of models.
    """

    customers: tuple[str, ...]
    models: tuple[str, ...]


class Rates(NamedTuple):
    """The reply to ``RatesFetch``.

    Attributes:
        customers: Requests per second of each customer at this router,
            including refused ones, in the order of the request.
        models: The same for each model.
    """

    customers: tuple[float, ...]
    models: tuple[float, ...]


class LimitCall(NamedTuple):
    """A claim of a request to a server with a limit, or its reply.

    Attributes:
        body: The message, see ``peers.limit_codec``.
    """

    body: bytes


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
    | LimitCall
)


class Envelope(NamedTuple):
    """A message with its sender.

    Attributes:
        sender_vm_id: VM id of the sender.
        correlation: Matches a reply to its request; 0 if no reply is expected.
        message: The message.
    """

    sender_vm_id: str
    correlation: int
    message: Message
