"""Exception hierarchy of mulberrywharf.

A function that can fail for reasons its caller must handle returns a
``result.Result`` whose ``Err`` holds one of these errors. They are raised only
where no caller can continue. Each error has a message that says what went
wrong and ``advice`` that says what to do next.
"""

from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, Any, ClassVar, Literal, NamedTuple

if TYPE_CHECKING:
    from mulberrywharf.rules.audit_trail import AuditEntry, DiffLine

Outcome = Literal["not-run", "unknown"]
"""Whether a failed request ran: it did not, or it is unknown."""

DisconnectCause = Literal["closed", "reset", "own-shutdown"]
"""What ended a caller's connection: the caller closed it, it was reset, or this
process has shut down reading, which is a fault of this process."""


class Fault(NamedTuple):
    """One fault in a document that an operator wrote.

    Attributes:
        path: Path of the faulty field, such as ``callers.port``.
        message: What is wrong with it.
        advice: What the operator should write instead.
    """

    path: str
    message: str
    advice: str


class MulberryError(Exception):
    """Base class of all errors.

    Attributes:
        code: Stable identifier, used in metrics, logs and problem details.
        advice: What the reader should do next.
    """

    code: ClassVar[str] = "internal"
    advice: str = "Report this error with its log line."

    def __init__(self, message: str, *, advice: str | None = None):
        super().__init__(message)
        self.message = message
        if advice is not None:
            self.advice = advice


# --- documents written by operators ---------------------------------------


class DocumentError(MulberryError):
    """A settings or rules document has faults; every fault is listed."""

    code = "bad-document"

    def __init__(self, source: str, faults: list[Fault]):
        lines = [f"{f.path}: {f.message} ({f.advice})" for f in faults]
        super().__init__(
            f"{source}: {len(faults)} fault(s)\n" + "\n".join(lines),
            advice="Correct every listed fault, then check again.",
        )
        self.source = source
        self.faults = faults


class SettingsError(DocumentError):
    """The settings file of a process cannot be used."""

    code = "bad-settings"


class ListenError(MulberryError):
    """The process cannot listen on an address in its settings."""

    code = "cannot-listen"
    advice = (
        "Correct the `listen` field in the settings, or stop the process that "
        "uses the port; a router and a controller on one VM need different "
        "ports."
    )


class RulesError(DocumentError):
    """The operators' rules document cannot be accepted."""

    code = "bad-rules"


class StoredConfigurationError(DocumentError):
    """The stored configuration is not in the expected format.

    Attributes:
        version: Version that it states, None if it states none.
    """

    code = "bad-stored-configuration"

    def __init__(
        self, source: str, faults: list[Fault], *, version: int | None = None
    ):
        super().__init__(source, faults)
        self.version = version
        self.advice = (
            "Nodes keep the configuration that they run. Unless a newer "
            "release wrote the key, delete it as described in "
            "docs/operators/platform_outage.md."
        )


class StoredRecordError(MulberryError):
    """A record in the key-value service is not in the expected format."""

    code = "bad-stored-record"
    advice = (
        "Find out what else writes keys with this prefix; the server that the "
        "record describes is not used."
    )


# --- requests of callers ----------------------------------------------------


class RequestError(MulberryError):
    """A caller's request failed.

    Attributes:
        status: HTTP status towards the caller.
        outcome: ``not-run`` only if no back end ran the request.
        retry_after_s: Seconds until a retry, or None if a retry cannot help.
    """

    code = "request-failed"
    status: ClassVar[int] = 500
    advice = (
        "Send the request id to the operators; check the outcome before "
        "repeating the request."
    )

    def __init__(
        self,
        message: str,
        *,
        outcome: Outcome = "not-run",
        retry_after_s: float | None = None,
        advice: str | None = None,
    ):
        super().__init__(message, advice=advice)
        self.outcome: Outcome = outcome
        self.retry_after_s = retry_after_s


class BadRequestError(RequestError):
    """The request is malformed; the same request will be rejected again."""

    code = "bad-request"
    status = 400
    advice = "Correct the request; the same request will be rejected again."


class RequestTooLargeError(BadRequestError):
    """The request head or body exceeds the limit in the settings."""

    code = "request-too-large"
    status = 413
    advice = "Send a smaller request; the settings limit head and body."


class UnknownTargetError(RequestError):
    """The requested model, service or path does not exist."""

    code = "unknown-target"
    status = 404
    advice = "Correct the path, the service or the model."


class UnknownCustomerError(RequestError):
    """The customer key is missing or unknown."""

    code = "unknown-customer"
    status = 401
    advice = "Send `authorization: Bearer <customer key>`."


class UnconfirmedKeyError(RequestError):
    """The customer key may have been revoked since it was last confirmed."""

    code = "unconfirmed-key"
    status = 503
    advice = "Retry; another entry VM may reach the key-value service."


class NotReadyError(RequestError):
    """This node has no accepted configuration yet."""

    code = "not-ready"
    status = 503
    advice = "Retry after a few seconds; another node may be ready now."


class UnusableRouteError(RequestError):
    """A required field of the route, or of its service, is malformed."""

    code = "unusable-route"
    status = 503
    advice = "Retry later; the operators must correct the route."


class StoppingError(RequestError):
    """This node is stopping and can't serve the request before it ends."""

    code = "stopping"
    status = 503
    advice = "Retry at once on a new connection; another node will serve it."


class CallerGoneError(RequestError):
    """The caller closed its connection before the answer was complete.

    Attributes:
        cause: What ended the connection.
    """

    code = "caller-gone"
    status = 400
    advice = "Keep the connection open until the deadline of the request."

    def __init__(self, message: str, *, cause: DisconnectCause = "closed"):
        super().__init__(message)
        self.cause = cause


class KeyReuseError(RequestError):
    """An idempotency key was reused with a different body."""

    code = "idempotency-key-reused"
    status = 422
    advice = "Use a new key for a new request; reuse a key only with its body."


class OverLimitError(RequestError):
    """The customer has used up its own limit."""

    code = "over-limit"
    status = 429
    advice = "Retry after the time in Retry-After."


class OverloadedError(RequestError):
    """The fleet cannot answer within the caller's deadline."""

    code = "overloaded"
    status = 503
    advice = "Retry after the time in Retry-After, or with a later deadline."


class NoEngineError(RequestError):
    """No ready engine has the model and adapter loaded."""

    code = "no-engine"
    status = 503
    advice = "Retry if GET /v1/models lists this model."


class StreamNotResumableError(RequestError):
    """Not run, because the stream can't go on at the version that began it."""

    code = "stream-not-resumable"
    status = 503
    advice = (
        "Send the request again without Resumes and Last-Event-Id, to begin a "
        "new stream."
    )


class RetryBudgetSpentError(RequestError):
    """The request failed and the retry budget allows no further attempt."""

    code = "retry-budget-spent"
    status = 503
    advice = "Retry later if the outcome is not-run; otherwise check what ran."


class ClaimUnavailableError(RequestError):
    """Not run, because at-most-once execution could not be guaranteed."""

    code = "claim-unavailable"
    status = 503
    advice = "Retry with the same idempotency key."


class CrashingRequestError(RequestError):
    """Not sent, because servers exited while they ran the request."""

    code = "crashing-request"
    status = 503
    advice = "Change the request; servers exited each time they ran it."


class BackEndLostError(RequestError):
    """The back end failed after it may have received the request."""

    code = "back-end-lost"
    status = 502
    advice = "Check whether the request ran before repeating it."


class DeadlineExceededError(RequestError):
    """The request's deadline passed."""

    code = "deadline-exceeded"
    status = 504
    advice = "Check the outcome before repeating; use a later deadline."


# --- engines and backend servers ---------------------------------------------


class EngineError(MulberryError):
    """An exchange with an engine or a backend server failed.

    Attributes:
        outcome: ``not-run`` only if the request certainly did not run.
    """

    code = "engine-failed"
    outcome: Outcome = "unknown"
    advice = "Check the back end's log."


class EngineUnreachableError(EngineError):
    """The connection could not be opened, so nothing was sent.

    Attributes:
        was_refused: Whether the VM refused the connection because nothing
            listens on the port.
    """

    code = "engine-unreachable"
    outcome: Outcome = "not-run"
    advice = "Check that the back end's VM is up."

    def __init__(self, message: str, *, was_refused: bool = False):
        super().__init__(message)
        self.was_refused = was_refused


class EngineRefusedError(EngineError):
    """The back end refused to run the request.

    Attributes:
        status: HTTP status of its answer.
        reason: Machine-readable reason, such as ``queue-full``.
        retry_after_s: Seconds until it may be tried again, or None.
        body: Body of its answer, limited in size.
    """

    code = "engine-refused"
    outcome: Outcome = "not-run"
    advice = "Retry with another back end."

    def __init__(
        self,
        message: str,
        *,
        status: int = 503,
        reason: str = "",
        retry_after_s: float | None = None,
        body: bytes = b"",
    ):
        super().__init__(message)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s
        self.body = body


class MisdirectedError(EngineRefusedError):
    """Another server than the addressed one answered, or its role changed."""

    code = "misdirected"
    advice = (
        "None is needed if the server ended or changed its role a moment ago;"
        " otherwise compare its record with what listens at its address."
    )


class ServerLimitError(EngineError):
    """The request would exceed the request limit of the back end.

    Attributes:
        retry_after_s: Seconds after which it may be within the limit.
    """

    code = "server-limit"
    outcome: Outcome = "not-run"
    advice = "Retry with another back end, or after the time given."

    def __init__(self, message: str, *, retry_after_s: float):
        super().__init__(message)
        self.retry_after_s = retry_after_s


class RepeatRefusedError(EngineError):
    """The request was not sent once more, as the budget of repeats is spent."""

    code = "repeat-refused"
    outcome: Outcome = "not-run"
    advice = "Find out why requests fail; the budget bounds the extra load."


class AnswerLostError(EngineError):
    """The request may have been sent, but no complete answer was received."""

    code = "answer-lost"
    advice = (
        "Repeat the request only if it is idempotent; drain a VM on which "
        "this happens often."
    )


class UnsignedAnswerError(AnswerLostError):
    """A server's answer of success lacks the server's signature."""

    code = "unsigned-answer"
    advice = "Find out what answers in the server's place, and drain it."


class PeerSilentError(AnswerLostError):
    """The peer acknowledged no data: the peer or the network path is down."""

    code = "peer-silent"
    advice = "Check the back end's VM and the network to its availability zone."


class HelperRefusedError(EngineError):
    """Another gateway did not take a request that was offered to it.

    Attributes:
        refusal: Why, see ``policy.helpers.Refusal``.
    """

    code = "helper-refused"
    outcome: Outcome = "not-run"
    advice = "None needed; the request is offered to another gateway."

    def __init__(
        self, message: str, *, refusal: Literal["no-path", "busy", "silent"]
    ):
        super().__init__(message)
        self.refusal = refusal


class NoHelperError(EngineError):
    """No other gateway took the request."""

    code = "no-helper"
    outcome: Outcome = "not-run"
    advice = "Check the network between the VM and the back ends."


class HelperLostError(AnswerLostError):
    """Another gateway took the request and gave no complete answer."""

    code = "helper-lost"
    advice = "Check the log of the other gateway for the request id."


class AnswerTooLargeError(EngineError):
    """An answer exceeds the limit on what is kept in memory."""

    code = "answer-too-large"
    advice = "Request fewer tokens or a smaller answer."


class AnswerMemoryError(EngineError):
    """Answers that wait for their callers leave no memory for another one."""

    code = "answer-memory"
    advice = "Request smaller answers, or fewer at a time."


class StreamBrokenError(EngineError):
    """An answer ended early or belongs to another request."""

    code = "stream-broken"
    advice = "Drain the engine if this happens often."


class ForeignAnswerError(StreamBrokenError):
    """An answer has another request's id; none of it is forwarded."""

    code = "foreign-answer"
    advice = "Drain the back end and report the error to its operators."


class OrderRefusedError(EngineError):
    """An engine refused an order, such as one with an old fencing number."""

    code = "order-refused"
    advice = "Run `mulberryctl handover` to see the order."


class EngineBusyError(OrderRefusedError):
    """The engine is applying a change; the order can be repeated later."""

    code = "engine-busy"
    advice = "None needed; the order is repeated."


class StaleFencingNumberError(OrderRefusedError):
    """The engine has seen a higher fencing number, from a later holder."""

    code = "stale-fencing-number"
    advice = (
        "None needed; this controller steps down and a newer one takes over."
    )


class ConflictingOrderError(OrderRefusedError):
    """The platform refused an order of engines.

    Another gateway has ordered with a higher fencing number, or no engines of
    that kind are available.
    """

    code = "conflicting-order"
    advice = (
        "None needed while the gateway still holds the duty; engines are "
        "ordered elsewhere until the platform has some again."
    )


class OrderOutcomeUnknownError(EngineError):
    """An order was sent but not answered; the engine's state must be read."""

    code = "order-outcome-unknown"
    advice = "None needed; the engine's state is read again."


class OrderRecordsError(MulberryError):
    """The zone's order records cannot be read, so no order is sent."""

    code = "bad-order-records"
    advice = (
        "Find out what wrote the key; docs/operators/platform_outage.md says "
        "when and how to delete it."
    )


# --- the platform's services --------------------------------------------------


class PlatformError(MulberryError):
    """An exchange with the platform's services failed."""

    code = "platform-failed"
    advice = "Check the service and its log."


class PlatformUnavailableError(PlatformError):
    """The service did not answer; nothing was written."""

    code = "platform-unavailable"
    advice = "The fleet keeps its last accepted state; retry later."


class TooManyCallsError(PlatformError):
    """The operators' platform refused a call because there were too many."""

    code = "too-many-calls"
    advice = "None needed; the call is sent again later."


class WriteOutcomeUnknownError(PlatformError):
    """A write was sent but its answer was lost; it may have been applied.

    Attributes:
        was_cut: Whether the connection was closed instead of an answer.
    """

    code = "write-outcome-unknown"
    advice = "Read the data again, or repeat with the same change id."

    def __init__(self, message: str, *, was_cut: bool = False):
        super().__init__(message)
        self.was_cut = was_cut


class RevisionConflictError(PlatformError):
    """Another writer changed the key first.

    Attributes:
        key: The key that was not written.
    """

    code = "revision-conflict"
    advice = "Read the key again before repeating the change."

    def __init__(self, key: str):
        super().__init__(f"{key} was changed by another writer")
        self.key = key


class PlatformRefusedError(PlatformError):
    """The service rejected the call; nothing was written."""

    code = "platform-refused"
    advice = "Read the message; the same call will be rejected again."


class ConditionFailedError(PlatformRefusedError):
    """A conditional write was not done: its condition no longer holds.

    Attributes:
        answer: Body of the response.
    """

    code = "condition-failed"
    advice = "Read the keys again before repeating the write."

    def __init__(self, message: str, answer: Mapping[str, Any]):
        super().__init__(message)
        self.answer = answer


class HistoryGoneError(PlatformRefusedError):
    """The service no longer keeps the changes since a revision."""

    code = "history-gone"
    advice = "None needed; the keys are read again."


class BudgetExceededError(PlatformError):
    """The process has used up its share of calls for a purpose."""

    code = "call-budget-exceeded"
    advice = "Retry later; the metrics show which purpose uses up the calls."


class AuthorityLostError(PlatformError):
    """The process no longer holds the lease that it needs to act."""

    code = "authority-lost"
    advice = "None needed; the next lease holder continues."


# --- changes of the configuration ---------------------------------------------


class ConfigChangeError(PlatformError):
    """A change of the configuration was refused; no part of it applies."""

    code = "config-change-refused"
    advice = "Read the message; the configuration in force stays."


class ConfigConflictError(ConfigChangeError):
    """Another operator changed the configuration first.

    Attributes:
        expected_version: The version that the refused change is based on.
        held_version: The version that the service holds.
        others: Audit entries of the changes in between, oldest first, each
            with its own diff; the service keeps only the latest ones.
        diff: Differences from the stored document to the refused one.
    """

    code = "config-conflict"
    advice = "Read the other change, merge yours into it and apply again."

    def __init__(
        self,
        *,
        expected_version: int,
        held_version: int,
        others: "Sequence[AuditEntry]",
        diff: "Sequence[DiffLine]",
    ):
        authors = ", ".join(sorted({other["author"] for other in others}))
        super().__init__(
            f"the configuration is at version {held_version}, not "
            f"{expected_version}; changed by {authors or 'an unknown author'}"
        )
        self.expected_version = expected_version
        self.held_version = held_version
        self.others = tuple(others)
        self.diff = tuple(diff)


class ConfigStoreBehindError(ConfigChangeError):
    """The service holds an older configuration than the nodes run.

    Attributes:
        held_version: The version that the service holds.
        seen_version: The version that nodes run.
    """

    code = "config-store-behind"
    advice = (
        "The service was restored from older data; nodes put back the newer "
        "version within seconds. Apply the change again after that."
    )

    def __init__(self, *, held_version: int, seen_version: int):
        super().__init__(
            f"the service holds version {held_version}, nodes run "
            f"{seen_version}"
        )
        self.held_version = held_version
        self.seen_version = seen_version


class ChangeReplacedError(ConfigChangeError):
    """An accepted change was replaced after the service lost newer data.

    Attributes:
        change_id: Id of the replaced change.
        version: Version of the replaced change.
        held_version: Version that nodes restored.
    """

    code = "change-replaced"
    advice = (
        "No part of the change is in force. Get the rules with "
        "`mulberryctl show`, make the change again and apply it with a new "
        "change id."
    )

    def __init__(self, *, change_id: str, version: int, held_version: int):
        super().__init__(
            f"change {change_id}, accepted as version {version}, was replaced "
            f"by version {held_version}, which nodes restored because the "
            "service had lost it"
        )
        self.change_id = change_id
        self.version = version
        self.held_version = held_version


class ChangeIdReusedError(ConfigChangeError):
    """A change id was reused with a different document."""

    code = "change-id-reused"
    advice = "Use a new change id for a new change."

    def __init__(self, change_id: str):
        super().__init__(f"change id {change_id} belongs to another document")


# --- traffic between entry VMs ---------------------------------------------


class NodeError(MulberryError):
    """An exchange with another entry VM failed."""

    code = "node-failed"
    advice = "Check the other entry VM and its log."


class BadFrameError(NodeError):
    """A frame is malformed, too large or not authenticated."""

    code = "bad-frame"
    advice = "Check that nodes.key_hex is the same on both nodes."


class NodeUnreachableError(NodeError):
    """The other entry VM does not answer."""

    code = "node-unreachable"
    advice = "Check that the other entry VM is up and its zone is reachable."


# --- operators and their tools -----------------------------------------------


class OperatorError(MulberryError):
    """An operator's request could not be carried out."""

    code = "operator-failed"
    advice = "Read the message and correct what it reports."


class NotAuthorisedError(OperatorError):
    """The request has no valid operator token."""

    code = "not-authorised"
    advice = (
        "Put the token into the environment variable that "
        "--operator-token-env names; its SHA-256 must be in operators.tokens "
        "of the node's settings."
    )


class OperatorRequestError(OperatorError):
    """The admin listener has no such path or method."""

    code = "unknown-operator-request"
    advice = "docs/operators/settings.md lists the paths of the admin listener."


class AdminListenerError(OperatorError):
    """A node's admin listener did not answer, or its answer is invalid."""

    code = "admin-listener-failed"
    advice = (
        "Check that the node is running and that this machine can reach its "
        "admin listener; the VM list may be out of date."
    )


class UsageError(OperatorError):
    """mulberryctl was called with invalid arguments."""

    code = "bad-usage"
    advice = "Run the command with --help to see its arguments."
