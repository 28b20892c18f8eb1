"""The collected logs of one run, as one checked JSON document."""

import json
import pathlib
import re
from typing import Any, Literal, NotRequired

import pydantic
from result import Err, Ok, Result
from typing_extensions import TypedDict

from mulberrywharf import errors, settings

CallerOutcome = Literal["answered", "not-run", "unknown", "broken", "none"]
"""``answered``: taken as whole. ``broken``: the caller was told, or saw, that
its answer is incomplete. ``none``: nothing came while the caller waited."""


_RUN_ID = re.compile(r"(?P<caller_request_id>[^~]+)~[0-9a-f]{32}")


def caller_request_id(run_id: str) -> str:
    """Returns the caller's id of a request as a back end logged it.

    Towards back ends a request's id is its caller's id, ``~`` and 32
    hexadecimal digits. An id of another form is nobody's but its own.
    """
    found = _RUN_ID.fullmatch(run_id)
    return found["caller_request_id"] if found else run_id


class HistoryError(errors.DocumentError):
    """The document of collected logs cannot be used."""

    code = "bad-history"


class OrderEntry(TypedDict):
    """One order as an engine logged it.

    Attributes:
        effective: It changed the engine; a repeat or a refusal did not.
        cut_request_ids: Requests that it cut.
        unix_s: When it came.
        ended_unix_s: When its effect was complete; None while in flight.
    """

    order_id: str
    fencing_number: int
    action: str
    effective: bool
    cut_request_ids: list[str]
    unix_s: float
    ended_unix_s: float | None


class EngineRun(TypedDict):
    """One request that an engine began to run.

    Attributes:
        request_id: The run's; see ``caller_request_id``.
        came_unix_s: When the request arrived there.
    """

    request_id: str
    came_unix_s: float


class EngineLog(TypedDict):
    """What one life of an engine saw; a restart begins another log."""

    engine_id: str
    orders: list[OrderEntry]
    runs: list[EngineRun]


class BackendRun(TypedDict):
    """One call that a backend server ran.

    Attributes:
        request_id: The run's; see ``caller_request_id``.
    """

    path: str
    request_id: str
    idempotency_key: str
    unix_s: float


class BackendLog(TypedDict):
    """What one life of a backend server saw."""

    vm_id: str
    runs: list[BackendRun]


class KeyValueWrite(TypedDict):
    """One write that took effect in the key-value service.

    Attributes:
        value: In base64, empty for a DELETE.
    """

    revision: int
    type: Literal["PUT", "DELETE"]
    key: str
    value: str
    unix_s: float


class CallerRecord(TypedDict):
    """What one caller asked and got.

    Attributes:
        request_id: Its own; callers may choose the same.
        outcome: How it ended, as the caller may understand it.
        customer: Idempotency keys of different customers differ.
        path: Of a call to a plain service.
        idempotency_key: Empty for none.
        request_body: Of a call to a plain service.
        answer_body: Its JSON answer.
        model: Of a completion; so are the following.
        prompt: The whole prompt text.
        max_tokens: None leaves the length to the model.
        answer_text: What arrived.
        answer_ids: Of a streamed answer: each id that its events carry.
    """

    request_id: str
    outcome: CallerOutcome
    customer: NotRequired[str]
    path: NotRequired[str]
    idempotency_key: NotRequired[str]
    request_body: NotRequired[str]
    answer_body: NotRequired[dict[str, Any]]
    model: NotRequired[str]
    prompt: NotRequired[str]
    max_tokens: NotRequired[int | None]
    answer_text: NotRequired[str]
    answer_ids: NotRequired[list[str]]


class Leaving(TypedDict):
    """When readers of the VM list could first see that a VM leaves."""

    vm_id: str
    listed_unix_s: float


class AcceptedChange(TypedDict):
    """A change of configuration that an operator was told is accepted."""

    version: int
    change_id: str


class SeenVersion(TypedDict):
    """Configuration version that a node was seen to run.

    Attributes:
        vm_id: The node.
        process_id: Of the life that was seen; a new life starts anew.
        version: 0 while it has none.
        unix_s: When it was seen.
    """

    vm_id: str
    process_id: int
    version: int
    unix_s: float


class WantedEngine(TypedDict):
    """What the rules in force make of an engine; absent is unconstrained."""

    role: NotRequired[str]
    state: NotRequired[str]
    model: NotRequired[str]
    adapter: NotRequired[str]
    version: NotRequired[str]


class FinalEngine(TypedDict):
    """What an engine reports of itself at the end."""

    role: str
    state: str
    models: list[str]
    adapters: list[str]
    version: str


class History(TypedDict):
    """Everything that was collected; parts that a run lacks are left out.

    Attributes:
        lost_logs: Names of those whose log could not be read.
        idempotent_paths: Plain calls that may run more than once.
        early_ended_fencing_numbers: Leases that the test itself ended before
            their time, so that no holder could know.
        wanted: By engine id, for ``final``.
    """

    engines: NotRequired[list[EngineLog]]
    backend_servers: NotRequired[list[BackendLog]]
    key_value_writes: NotRequired[list[KeyValueWrite]]
    callers: NotRequired[list[CallerRecord]]
    leaving: NotRequired[list[Leaving]]
    accepted_changes: NotRequired[list[AcceptedChange]]
    seen_versions: NotRequired[list[SeenVersion]]
    wanted: NotRequired[dict[str, WantedEngine]]
    final: NotRequired[dict[str, FinalEngine]]
    lost_logs: NotRequired[list[str]]
    idempotent_paths: NotRequired[list[str]]
    early_ended_fencing_numbers: NotRequired[list[int]]


_ADAPTER = pydantic.TypeAdapter(History)


def parse(text: str, source: str) -> Result[History, HistoryError]:
    """Reads a document of collected logs.

    Args:
        text: The JSON document.
        source: Its name, for messages.
    """
    try:
        document = json.loads(text)
    except ValueError as error:
        fault = errors.Fault("document", str(error), "collect the logs anew")
        return Err(HistoryError(source, [fault]))
    faults = settings.check_document(_ADAPTER, document)
    if faults:
        return Err(HistoryError(source, faults))
    history: History = document
    return Ok(history)


def load(path: str) -> Result[History, HistoryError]:
    """Reads the document at ``path``."""
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        fault = errors.Fault("file", str(error), "name a readable file")
        return Err(HistoryError(path, [fault]))
    return parse(text, path)
