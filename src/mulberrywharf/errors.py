"""The failures of mulberrywharf, one small hierarchy.

Every failure has a type. A function that can fail for reasons its caller must
handle returns a ``result.Result`` whose ``Err`` holds one of these; the same
classes are raised only where no caller can go on. Each carries a message that
says what went wrong and ``advice`` that says what to do next.
"""

from collections.abc import Sequence
from typing import TYPE_CHECKING, ClassVar, Literal, NamedTuple

if TYPE_CHECKING:
    from mulberrywharf.rules.audit_trail import AuditEntry, DiffLine

Outcome = Literal["not-run", "unknown"]
"""What a refused caller may assume: nothing ran, or nobody knows."""


class Fault(NamedTuple):
    """One fault in a document that an operator wrote.

    Attributes:
        path: Where the fault is, such as ``callers.port``.
        message: What is wrong there.
        advice: What the operator should write instead.
    """

    path: str
    message: str
    advice: str


class MulberryError(Exception):
    """Base of all failures.

    Attributes:
        code: Stable short name, used in metrics, logs and problem details.
        advice: What the reader should do next.
    """

    code: ClassVar[str] = "internal"
    advice: str = "Keep the log line and report it."

    def __init__(self, message: str, *, advice: str | None = None):
        super().__init__(message)
        self.message = message
        if advice is not None:
            self.advice = advice


# --- documents written by operators ---------------------------------------


class DocumentError(MulberryError):
    """A settings or rules document has faults; all are listed at once."""

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
    """A port that the settings name cannot be listened on."""

    code = "cannot-listen"
    advice = (
        "Correct the `listen` field in the settings, or end what holds the "
        "port; a router and a controller on one VM need different ports."
    )


class RulesError(DocumentError):
    """The operators' rules document cannot be accepted."""

    code = "bad-rules"


class StoredConfigurationError(DocumentError):
    """The stored configuration is not in the form that we write."""

    code = "bad-stored-configuration"

    def __init__(self, source: str, faults: list[Fault]):
        super().__init__(source, faults)
        self.advice = (
            "Nodes keep theirs. Unless a newer release wrote the key, delete "
            "it; docs/operators/platform_outage.md says how."
        )


class StoredRecordError(MulberryError):
    """A record in the key-value service is not in the form that it has."""

    code = "bad-stored-record"
    advice = "Look who else writes under its prefix; what it names is unused."


# --- requests of callers ----------------------------------------------------


class RequestError(MulberryError):
    """A caller's request ends without its answer.

    Attributes:
        status: HTTP status towards the caller.
        outcome: ``not-run`` only when no byte reached a back end.
        retry_after_s: When to come back, or None when a retry cannot help.
    """

    code = "request-failed"
    status: ClassVar[int] = 500
    advice = (
        "Send the request id to the operators; see outcome before repeating."
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
    """The request is malformed; a retry of the same bytes cannot succeed."""

    code = "bad-request"
    status = 400
    advice = "Correct the request; the same bytes are refused again."


class RequestTooLargeError(BadRequestError):
    """A body or header exceeds the bound in the settings."""

    code = "request-too-large"
    status = 413
    advice = "Send less; the operators' settings bound head and body."


class UnknownTargetError(RequestError):
    """No such model, service or path."""

    code = "unknown-target"
    status = 404
    advice = "Correct the path, the service or the model."


class UnknownCustomerError(RequestError):
    """The customer key is missing or unknown."""

    code = "unknown-customer"
    status = 401
    advice = "Send `authorization: Bearer <customer key>`."


class UnconfirmedKeyError(RequestError):
    """The key may have been revoked since the last confirmation."""

    code = "unconfirmed-key"
    status = 503
    advice = "Retry; another entry VM may reach the key-value service."


class NotReadyError(RequestError):
    """This node has no accepted configuration yet."""

    code = "not-ready"
    status = 503
    advice = "Retry after a few seconds; another node may be ready now."


class CallerGoneError(RequestError):
    """The caller closed its connection before its answer was whole."""

    code = "caller-gone"
    status = 400
    advice = "Keep the connection open until the deadline that was sent."


class KeyReuseError(RequestError):
    """An idempotency key came back with another body."""

    code = "idempotency-key-reused"
    status = 422
    advice = "Use a new key for a new request, the old key for the old body."


class OverLimitError(RequestError):
    """The customer's own limit is spent."""

    code = "over-limit"
    status = 429
    advice = "Retry after the time in Retry-After."


class OverloadedError(RequestError):
    """The fleet cannot answer within the caller's deadline."""

    code = "overloaded"
    status = 503
    advice = "Retry after the time in Retry-After, or with a later deadline."


class NoEngineError(RequestError):
    """No engine that is ready has the model and adapter loaded."""

    code = "no-engine"
    status = 503
    advice = "GET /v1/models lists the models; retry if it names this one."


class RetryBudgetSpentError(RequestError):
    """The request failed and another attempt is not allowed now."""

    code = "retry-budget-spent"
    status = 503
    advice = "Retry later if the outcome is not-run, else check what ran first."


class ClaimUnavailableError(RequestError):
    """At-most-once could not be secured, so the request was not run."""

    code = "claim-unavailable"
    status = 503
    advice = "Retry with the same idempotency key."


class CrashingRequestError(RequestError):
    """Servers ended under the request before, so it isn't sent to another."""

    code = "crashing-request"
    status = 503
    advice = "Change the request; servers end each time that they run it."


class BackEndLostError(RequestError):
    """The back end failed after it may have received the request."""

    code = "back-end-lost"
    status = 502
    advice = "Check whether the request ran before repeating it."


class DeadlineExceededError(RequestError):
    """The caller's deadline passed."""

    code = "deadline-exceeded"
    status = 504
    advice = "Check the outcome before repeating; allow more time."


# --- engines and backend servers ---------------------------------------------


class EngineError(MulberryError):
    """An exchange with an engine or a backend server failed.

    Attributes:
        outcome: ``not-run`` only when the request certainly did not run.
    """

    code = "engine-failed"
    outcome: Outcome = "unknown"
    advice = "Look at the back end's own log."


class EngineUnreachableError(EngineError):
    """No connection was made, so no byte of the request left.

    Attributes:
        was_refused: Whether the VM answered that nobody listens there.
    """

    code = "engine-unreachable"
    outcome: Outcome = "not-run"
    advice = "Check that the back end's VM is up."

    def __init__(self, message: str, *, was_refused: bool = False):
        super().__init__(message)
        self.was_refused = was_refused


class EngineRefusedError(EngineError):
    """The back end answered that it will not run the request.

    Attributes:
        status: Its HTTP status.
        reason: Its short word for why, such as ``queue-full``.
        retry_after_s: When it wants to be asked again, or None.
        body: Its answer's body, bounded.
    """

    code = "engine-refused"
    outcome: Outcome = "not-run"
    advice = "Retry at another back end."

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


class AnswerLostError(EngineError):
    """The request may have left, and its whole answer did not come."""

    code = "answer-lost"
    advice = (
        "Repeat only an idempotent request; drain a VM that often fails so."
    )


class PeerSilentError(AnswerLostError):
    """Nothing that was sent was acknowledged: the peer or the way is gone."""

    code = "peer-silent"
    advice = "Check the back end's VM and the way to its availability zone."


class AnswerTooLargeError(EngineError):
    """An answer exceeds the bound on what is kept in memory."""

    code = "answer-too-large"
    advice = "Ask for fewer tokens, or a smaller answer."


class StreamBrokenError(EngineError):
    """An answer ended before its checked end, or is not the caller's own."""

    code = "stream-broken"
    advice = "Drain the engine if it often breaks answers."


class ForeignAnswerError(StreamBrokenError):
    """An answer carries another request's id; none of it is passed on."""

    code = "foreign-answer"
    advice = "Drain the back end and report it to who runs it."


class OrderRefusedError(EngineError):
    """An engine refused an order, such as one with an old fencing number."""

    code = "order-refused"
    advice = "Run mulberryctl handover to see the order."


class EngineBusyError(OrderRefusedError):
    """The engine is in mid-change; the order can be repeated later."""

    code = "engine-busy"
    advice = "Nothing; the order is repeated."


class StaleFencingNumberError(OrderRefusedError):
    """The engine has seen a newer fencing number: the authority has passed."""

    code = "stale-fencing-number"
    advice = "Nothing; the controller steps down and a newer one acts."


class OrderOutcomeUnknownError(EngineError):
    """An order was sent and no answer came; read the engine's state back."""

    code = "order-outcome-unknown"
    advice = "Nothing; the engine's state is read back."


class OrderRecordsError(MulberryError):
    """The zone's order records cannot be read; nothing is ordered."""

    code = "bad-order-records"
    advice = (
        "Find who wrote the key; docs/operators/platform_outage.md says when "
        "and how to delete it."
    )


# --- the platform's services --------------------------------------------------


class PlatformError(MulberryError):
    """An exchange with the platform's services failed."""

    code = "platform-failed"
    advice = "Look at the service and its log."


class PlatformUnavailableError(PlatformError):
    """The service did not answer; nothing was written."""

    code = "platform-unavailable"
    advice = "The fleet keeps its last accepted state; try again later."


class WriteOutcomeUnknownError(PlatformError):
    """A write was sent and its answer was lost; read back before deciding."""

    code = "write-outcome-unknown"
    advice = "Read back, or repeat with the same change id."


class RevisionConflictError(PlatformError):
    """Another writer changed the key first.

    Attributes:
        key: The key that was to be written.
    """

    code = "revision-conflict"
    advice = "Read the key again and decide anew."

    def __init__(self, key: str):
        super().__init__(f"{key} was changed by another writer")
        self.key = key


class PlatformRefusedError(PlatformError):
    """The service refused the call as it is; nothing was written."""

    code = "platform-refused"
    advice = "The same call will be refused again; see the message."


class ConditionFailedError(PlatformRefusedError):
    """A write was not done, because what it was to depend on has changed."""

    code = "condition-failed"
    advice = "Read the keys again before deciding anew."


class HistoryGoneError(PlatformRefusedError):
    """The changes behind a revision are no longer kept."""

    code = "history-gone"
    advice = "Nothing to do: the keys are read again."


class BudgetExceededError(PlatformError):
    """This process has spent its share of calls for the purpose."""

    code = "call-budget-exceeded"
    advice = "Try again later; the metrics name the purpose that spends."


class AuthorityLostError(PlatformError):
    """The lease that entitled this process to act has lapsed."""

    code = "authority-lost"
    advice = "Nothing; the next lease holder goes on."


# --- changes of the configuration ---------------------------------------------


class ConfigChangeError(PlatformError):
    """A change of the configuration was refused; nothing of it applies."""

    code = "config-change-refused"
    advice = "Read the message; the configuration in force stays."


class ConfigConflictError(ConfigChangeError):
    """Another operator's change came first.

    Attributes:
        expected_version: The version that the author started from.
        held_version: The version that the service holds.
        others: Audit entries of the changes in between, oldest first, each
            with its own diff; the service keeps only the latest.
        diff: From the held document to the refused one.
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
            f"{expected_version}; changed by {authors or 'nobody known'}"
        )
        self.expected_version = expected_version
        self.held_version = held_version
        self.others = tuple(others)
        self.diff = tuple(diff)


class ConfigStoreBehindError(ConfigChangeError):
    """The service holds an older version than nodes run.

    Attributes:
        held_version: The version that the service holds.
        seen_version: The version that nodes run.
    """

    code = "config-store-behind"
    advice = (
        "The service came back with older data; nodes put the newer version "
        "back within seconds. Apply again then."
    )

    def __init__(self, *, held_version: int, seen_version: int):
        super().__init__(
            f"the service holds version {held_version}, nodes run "
            f"{seen_version}"
        )
        self.held_version = held_version
        self.seen_version = seen_version


class ChangeReplacedError(ConfigChangeError):
    """An accepted change stood on data that the service had lost.

    Attributes:
        change_id: Of the change.
        version: The version that it had.
        held_version: The version that nodes have put back.
    """

    code = "change-replaced"
    advice = (
        "Nothing of the change is in force. Take the rules with show, make "
        "the change again and apply it with a new change id."
    )

    def __init__(self, *, change_id: str, version: int, held_version: int):
        super().__init__(
            f"change {change_id}, accepted as version {version}, was replaced "
            f"by version {held_version}, which nodes put back into a service "
            "that had lost it"
        )
        self.change_id = change_id
        self.version = version
        self.held_version = held_version


class ChangeIdReusedError(ConfigChangeError):
    """A change id came back with another document."""

    code = "change-id-reused"
    advice = "Use a new change id for a new change."

    def __init__(self, change_id: str):
        super().__init__(f"change id {change_id} belongs to another document")


# --- between our own processes ---------------------------------------------


class NodeError(MulberryError):
    """An exchange with another entry VM failed."""

    code = "node-failed"
    advice = "Look at the other entry VM and its log."


class BadFrameError(NodeError):
    """A frame is malformed, too large or not authenticated."""

    code = "bad-frame"
    advice = "Compare nodes.key_hex of both nodes."


class NodeUnreachableError(NodeError):
    """The other entry VM does not answer."""

    code = "node-unreachable"
    advice = "Check that the other entry VM is up and its zone reachable."


# --- operators and their tools -----------------------------------------------


class OperatorError(MulberryError):
    """Something that an operator asked for could not be done."""

    code = "operator-failed"
    advice = "Read the message and correct what it names."


class NotAuthorisedError(OperatorError):
    """The request carries no token of an operator."""

    code = "not-authorised"
    advice = (
        "Put the token into the variable that --operator-token-env names; its "
        "SHA-256 must be in operators.tokens of the node's settings."
    )


class OperatorRequestError(OperatorError):
    """The admin listener has no such path or method."""

    code = "unknown-operator-request"
    advice = "docs/operators/settings.md lists what the admin listener answers."


class AdminListenerError(OperatorError):
    """A node's admin listener did not answer, or not in the known form."""

    code = "admin-listener-failed"
    advice = (
        "Check that the node runs and that this machine reaches its "
        "operators' address; the VM list may lag behind."
    )


class UsageError(OperatorError):
    """mulberryctl was called with arguments that cannot be used."""

    code = "bad-usage"
    advice = "Run the command with --help."
