"""A request on a route, and what is sent to a server for it."""

from typing import NamedTuple, Protocol

from result import Result

from mulberrywharf import _answers, _exchange, errors, fingerprints, fleet
from mulberrywharf.customers import directory


class PromptPart(NamedTuple):
    """A part of a prompt that other prompts may share.

    Attributes:
        part_id: Equal ids mean equal text.
        tokens: Its length.
    """

    part_id: str
    tokens: int


class Prompt(NamedTuple):
    """What a request says of its prompt.

    Attributes:
        model: Name of the model.
        tokens: Length of the whole prompt.
        output_limit_tokens: Most tokens that may be generated.
        parts: All parts in order; the last one is the request's own.
    """

    model: str
    tokens: int
    output_limit_tokens: int
    parts: tuple[PromptPart, ...]


class RoutedRequest(NamedTuple):
    """One request of a caller, read whole.

    Attributes:
        request_id: The caller's id of it.
        method: HTTP method.
        target: Path and query as they came.
        path: The path alone, as it came.
        host: The ``Host`` field as it came.
        fields: End-to-end header fields without those that only a node sets.
        body: The whole body.
        arrived_s: Monotonic instant at which it was read.
        deadline_s: Monotonic instant after which the caller is gone.
        last_event_id: The event behind which a stream is to go on, or None.
        prompt: What it says of its prompt, None if nothing.
        caller: What the caller shows of who it is, empty if nothing.
        key_digests: Hashes of the customer keys in the request.
        customer: Name of the customer, empty if none was identified.
    """

    request_id: str
    method: str
    target: str
    path: str
    host: str
    fields: tuple[tuple[str, str], ...]
    body: bytes
    arrived_s: float
    deadline_s: float
    last_event_id: str | None = None
    prompt: Prompt | None = None
    caller: str = ""
    key_digests: frozenset[directory.KeyDigest] = frozenset()
    customer: str = ""

    def fingerprint(self) -> int:
        """Returns 64 bits that are equal when the same is asked again."""
        return fingerprints.fingerprint(
            (
                self.host.lower(),
                self.method,
                self.target,
                self.customer or self.caller,
            ),
            self.body,
        )


class CacheHandle(NamedTuple):
    """A prefilled KV cache that waits to be taken.

    Attributes:
        address: The engine that holds it.
        handle: Its name there.
    """

    address: fleet.Address
    handle: str


class Attempt(NamedTuple):
    """One request as it is sent to one server.

    Attributes:
        request: The caller's request.
        server: Where it goes.
        time_left_s: After this the server is to stop.
        priority: 0 to 9 at an engine; None for the engine's default.
        prefill_only: Whether only the prompt is to be prefilled.
        cache: A prefilled KV cache to go on from.
        fetch_from: An engine to copy cached parts of the prompt from.
        last_event_id: The event behind which a stream is to go on.
    """

    request: RoutedRequest
    server: fleet.Server
    time_left_s: float
    priority: int | None = None
    prefill_only: bool = False
    cache: CacheHandle | None = None
    fetch_from: fleet.Address | None = None
    last_event_id: str | None = None


class ReportedLoad(NamedTuple):
    """What a server says of its load beside an answer.

    Attributes:
        running_count: Requests that it works on.
        waiting_count: Requests in its queue.
        slots_count: Requests that it can work on at once.
    """

    running_count: int
    waiting_count: int
    slots_count: int

    @property
    def requests_count(self) -> int:
        """Requests that it has."""
        return self.running_count + self.waiting_count


class AnswerHead(NamedTuple):
    """The head of a server's answer.

    Attributes:
        status: HTTP status.
        reason: The status line's phrase.
        fields: End-to-end header fields.
        request_id: Whose answer it says it is, None if it doesn't say.
        has_receipt: Whether the server vouches for having made it.
        not_executed: Whether the server states that nothing ran.
        load: The server's load, None if it doesn't tell.
        rest_s: For how long the server wants nothing of this node, None if
            it names no time.
        is_leaving: Whether the server states that it leaves.
    """

    status: int
    reason: str
    fields: tuple[tuple[str, str], ...]
    request_id: str | None
    has_receipt: bool
    not_executed: bool
    load: ReportedLoad | None
    rest_s: float | None = None
    is_leaving: bool = False

    @property
    def is_success(self) -> bool:
        """Whether the server carried the request out."""
        return 200 <= self.status < 300


class ServerDialect(Protocol):
    """How servers are spoken to."""

    def encode(self, attempt: Attempt) -> _exchange.Request:
        """Returns the request as it is sent."""
        ...

    def read_head(self, answer: _answers.Answer) -> AnswerHead:
        """Reads the head of an answer."""
        ...

    def decode_handle(
        self, server: fleet.Server, body: bytes
    ) -> Result[CacheHandle, errors.EngineError]:
        """Reads the answer to a prefill."""
        ...

    def encode_release(self, cache: CacheHandle) -> _exchange.Request:
        """Returns the request that frees a KV cache that nobody will take."""
        ...
