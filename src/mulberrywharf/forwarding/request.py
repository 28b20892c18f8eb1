"""Types for a request on a route, for its attempts and for their answers."""

from typing import NamedTuple, Protocol

from result import Result

from mulberrywharf import _answers, _exchange, errors, fleet
from mulberrywharf.crashes import fingerprints
from mulberrywharf.customers import directory
from mulberrywharf.policy import request_limits, stream_version

_EVENT_STREAM = "text/event-stream"

_PART_KEYS_LIMIT_COUNT = 16


class PromptPart(NamedTuple):
    """A part of a prompt that other prompts may share.

    Attributes:
        part_id: Equal ids mean equal text.
        tokens: Length in tokens.
    """

    part_id: str
    tokens: int


class Prompt(NamedTuple):
    """Description of a prompt, as stated by its request.

    Attributes:
        model: Name of the model.
        tokens: Length of the whole prompt in tokens.
        output_limit_tokens: Maximum number of tokens to generate.
        parts: All parts in order; the last one is specific to the request.
    """

    model: str
    tokens: int
    output_limit_tokens: int
    parts: tuple[PromptPart, ...]


class Handover(NamedTuple):
    """What the gateway that handed over a request has done with it.

    Attributes:
        vm_id: Name of the gateway.
        is_counted: Whether its retry budget includes the request.
        is_admitted: Whether it has admitted the request and counts its demand.
        version_key: Software version at which the stream goes on, None if it
            begins here.
        has_arrived: Whether it may have arrived at a server.
        is_prefilled: Whether a server may have prefilled its prompt.
    """

    vm_id: str
    is_counted: bool
    is_admitted: bool
    version_key: stream_version.VersionKey | None = None
    has_arrived: bool = False
    is_prefilled: bool = False


class RoutedRequest(NamedTuple):
    """A caller's request, completely read.

    Attributes:
        request_id: The id that the caller gave it.
        method: HTTP method.
        target: Path and query as received.
        path: The path alone, as received.
        host: The ``Host`` field as received.
        fields: End-to-end header fields without those that only a gateway sets.
        body: The complete body.
        arrived_s: Monotonic time in seconds at which it was read.
        deadline_s: Monotonic time in seconds after which the caller no longer
            waits.
        last_event_id: Id of the event after which a stream is to resume, None
            to start at the beginning.
        resumes: Id of the request that brought the first event of the stream
            that is taken up, None if the caller names none.
        prompt: Description of its prompt, None if it has none.
        caller: Credentials that the caller sent, empty if none.
        key_digests: Hashes of the customer keys in the request.
        customer: Name of the customer, empty if none was identified.
        handover: Set if another gateway handed the request over.
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
    resumes: str | None = None
    prompt: Prompt | None = None
    caller: str = ""
    key_digests: frozenset[directory.KeyDigest] = frozenset()
    customer: str = ""
    handover: Handover | None = None

    def fingerprint(self) -> int:
        """Returns a 64-bit hash that is equal for repeats of the request."""
        return fingerprints.fingerprint(
            (
                self.host.lower(),
                self.method,
                self.target,
                self.customer or self.caller,
            ),
            self.body,
        )

    def customer_key(self) -> int:
        """Returns a 64-bit hash that is equal for requests of one customer."""
        return fingerprints.fingerprint((self.customer or self.caller,), b"")

    def part_keys(self, service: str) -> dict[str, int]:
        """Returns the keys of the parts that other prompts may share, by id.

        Args:
            service: Service that runs the request; what one service can't
                process, another one with the same models may.
        """
        if self.prompt is None:
            return {}
        return {
            part.part_id: fingerprints.part_key(
                service, self.prompt.model, part.part_id
            )
            for part in self.prompt.parts[:-1][:_PART_KEYS_LIMIT_COUNT]
        }


class CacheHandle(NamedTuple):
    """A prefilled KV cache that another engine can fetch.

    Attributes:
        address: Address of the engine that holds it.
        handle: Its identifier at that engine.
    """

    address: fleet.Address
    handle: str


class Attempt(NamedTuple):
    """One sending of a request to one server.

    Attributes:
        request: The caller's request.
        server: The server that it is sent to.
        time_left_s: Time in seconds after which the server is to stop.
        priority: Priority at an engine, 0 (served first) to 9; None for the
            engine's default.
        prefill_only: Whether the engine is to prefill the prompt only.
        cache: Prefilled KV cache to start decoding from.
        fetch_from: Engine to copy cached parts of the prompt from.
        last_event_id: Id of the event after which a stream is to resume.
    """

    request: RoutedRequest
    server: fleet.Server
    time_left_s: float
    priority: int | None = None
    prefill_only: bool = False
    cache: CacheHandle | None = None
    fetch_from: fleet.Address | None = None
    last_event_id: str | None = None


WAITING_PER_SLOT_LIMIT = 4
"""Longest queue of a server that is believed, in multiples of its slots. A
longer one would keep all callers away from servers that may be idle until the
report has faded."""


class ReportedLoad(NamedTuple):
    """Load that a server reports with an answer.

    Attributes:
        running_count: Requests that it is running.
        waiting_count: Requests in its queue.
        slots_count: Requests that it can run at the same time.
        pace: Factor on the duration of work at the server now, 1 is usual; None
            if not stated.
    """

    running_count: int
    waiting_count: int
    slots_count: int
    pace: float | None = None

    @property
    def requests_count(self) -> int:
        """Requests at the server, running and waiting."""
        return self.running_count + self.waiting_count

    def limited_to(self, slots_count: int) -> "ReportedLoad":
        """Returns the load, limited to what a server with these slots holds."""
        return self._replace(
            running_count=min(self.running_count, slots_count),
            waiting_count=min(
                self.waiting_count, WAITING_PER_SLOT_LIMIT * slots_count
            ),
        )


class MalformedLoad(NamedTuple):
    """A load that can't be read.

    Attributes:
        text: The load as received.
    """

    text: str


StatedLoad = ReportedLoad | MalformedLoad


class AnswerHead(NamedTuple):
    """The head of a server's answer.

    Attributes:
        status: HTTP status.
        reason: Reason phrase of the status line.
        fields: End-to-end header fields.
        request_id: Id of the request that the answer claims to belong to, None
            if it names none.
        has_signature: Whether it carries the server's response signature.
        not_executed: Whether the server states that nothing ran.
        load: The load that the server states, None if it states none.
        retry_after_s: Time in seconds for which the server asks this gateway to
            send it nothing, None if it asks for none.
        is_leaving: Whether the server states that it is leaving.
        limit: The request limit that the server states.
        server: The server that sent it, None if unknown.
        is_misdirected: Whether another server than the addressed one answered,
            or the addressed one has another role now.
    """

    status: int
    reason: str
    fields: tuple[tuple[str, str], ...]
    request_id: str | None
    has_signature: bool
    not_executed: bool
    load: StatedLoad | None
    retry_after_s: float | None = None
    is_leaving: bool = False
    limit: request_limits.StatedLimit = request_limits.NoLimit()
    server: fleet.ServerStart | None = None
    is_misdirected: bool = False

    @property
    def is_success(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300

    @property
    def is_event_stream(self) -> bool:
        """Whether the body of an engine's answer is a stream of events.

        An engine that names no content type sends one.
        """
        content_types = [
            value for name, value in self.fields if name == "content-type"
        ]
        return self.is_success and all(
            value.lower().startswith(_EVENT_STREAM) for value in content_types
        )


class ServerDialect(Protocol):
    """Encodes requests to servers and reads their answers."""

    def encode(self, attempt: Attempt) -> _exchange.Request:
        """Returns the HTTP request for an attempt."""
        ...

    def read_head(self, answer: _answers.Answer) -> AnswerHead:
        """Reads the head of an answer."""
        ...

    def decode_handle(
        self, server: fleet.Server, body: bytes
    ) -> Result[CacheHandle, errors.EngineError]:
        """Reads the KV cache handle from the answer to a prefill request."""
        ...

    def encode_release(self, cache: CacheHandle) -> _exchange.Request:
        """Returns the request that releases an unused KV cache."""
        ...
