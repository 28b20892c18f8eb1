"""Types that describe VMs, servers, engines and their loads.

``policy`` and ``rules`` base their decisions on these. A load report carries
its time or age, because what a node knows about other VMs is always somewhat
out of date.
"""

from typing import Literal, NamedTuple

Role = Literal["prefill", "decode", "mixed"]
"""Work that an engine does; ``mixed`` is both prefill and decode."""

EngineState = Literal["ready", "draining", "changing", "failed", "unknown"]
"""State of an engine.

A ``changing`` engine serves nothing; a ``failed`` one needs an order to
recover.
"""

VmKind = Literal["entry", "engine", "backend"]
VmState = Literal["live", "leaving"]


class Address(NamedTuple):
    """An IP address and a TCP port."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Returns ``ip:port``."""
        return f"{self.ip}:{self.port}"


class VmRecord(NamedTuple):
    """One entry of the platform's VM list, which may be out of date.

    Attributes:
        vm_id: Stable name of the VM; also the engine id of an engine.
        kind: Entry VM, language-model engine, or other backend server.
        availability_zone: Availability zone of the VM.
        address: Address that requests are sent to; for an entry VM, that of
            its listener for other entry VMs.
        state: A ``leaving`` VM gets no new requests.
        service: Service name of a backend server, otherwise empty.
        engine_kind: Product of an engine, otherwise empty. The settings list
            the kinds that check fencing numbers.
        operators_address: Admin listener of an entry VM, otherwise None.
    """

    vm_id: str
    kind: VmKind
    availability_zone: str
    address: Address
    state: VmState = "live"
    service: str = ""
    engine_kind: str = ""
    operators_address: Address | None = None


class ServerStart(NamedTuple):
    """Identifies one start of a server.

    A server keeps its id when it restarts but loses its state and counters, so
    what is known about it is valid for one start only.

    Attributes:
        server_id: Id of the server.
        started_unix_ms: Start time by the server's clock; differs between its
            starts. It does not order them, because the clock may be stepped
            back. None if the server does not report it.
    """

    server_id: str
    started_unix_ms: int | None = None

    def __str__(self) -> str:
        """Returns the id, followed by the start time if it is known."""
        if self.started_unix_ms is None:
            return self.server_id
        return f"{self.server_id}@{self.started_unix_ms}"


class Server(NamedTuple):
    """A server as it registered itself at one start.

    Attributes:
        start: Key for what is known about the server. It is a field because it
            is read several times per candidate engine: created on each read,
            it makes placement among 850 engines take 4.5 ms instead of 3.2.
        service: Service that the server belongs to.
        address: Address that requests are sent to.
        availability_zone: Availability zone of the server.
        slots_count: Requests that the server processes at the same time.
        is_draining: Whether the server is about to leave the fleet.
        role: Role of an engine; None for other servers.
        is_reclaimable: Whether the platform may take the server back at any
            time, with short notice.
        leaves_in_s: Time left when its record was written until it leaves,
            None if the record states none.
        software_version: Version of its software, None if unknown; not that of
            the models that it has loaded.
    """

    start: ServerStart
    service: str
    address: Address
    availability_zone: str
    slots_count: int
    is_draining: bool = False
    role: Role | None = None
    is_reclaimable: bool = False
    leaves_in_s: float | None = None
    software_version: str | None = None

    @property
    def server_id(self) -> str:
        """Id of the server; a restart does not change it."""
        return self.start.server_id

    @property
    def started_unix_ms(self) -> int | None:
        """Start time of the server, see ``ServerStart``."""
        return self.start.started_unix_ms


def server_of(vm: VmRecord) -> Server:
    """Returns an engine or backend server of the VM list as a server.

    The VM list tells neither its start nor its slots.
    """
    return Server(
        start=ServerStart(vm.vm_id),
        service=vm.service,
        address=vm.address,
        availability_zone=vm.availability_zone,
        slots_count=0,
    )


class LoadReport(NamedTuple):
    """Load and state that an engine last reported.

    Attributes:
        engine_id: Id of the engine.
        role: Its current role.
        state: Its state; see ``EngineState``.
        models: Models that it has loaded.
        adapters: Adapters that it has loaded.
        version: Version label of its weights.
        waiting_count: Requests that wait to join the batch.
        running_count: Requests in the batch.
        waiting_prompt_tokens: Prompt tokens not yet prefilled.
        running_output_tokens: Output tokens generated for running requests.
        kv_used_share: Fraction of the KV cache in use, 0 to 1.
        prefill_tokens_per_s: Prefill speed.
        decode_tokens_per_s: Decode speed of the whole batch.
        prompt_tokens_total: Prompt tokens prefilled since it started.
        output_tokens_total: Output tokens generated since it started.
        order_id: Id of the last order that it applied, or empty.
        fencing_number: Highest fencing number that it has seen, or 0.
        reported_unix_s: When the engine measured these values.
    """

    engine_id: str
    role: Role
    state: EngineState
    models: tuple[str, ...]
    adapters: tuple[str, ...] = ()
    version: str = ""
    waiting_count: int = 0
    running_count: int = 0
    waiting_prompt_tokens: int = 0
    running_output_tokens: int = 0
    kv_used_share: float = 0.0
    prefill_tokens_per_s: float = 0.0
    decode_tokens_per_s: float = 0.0
    prompt_tokens_total: int = 0
    output_tokens_total: int = 0
    order_id: str = ""
    fencing_number: int = 0
    reported_unix_s: float = 0.0


class EngineView(NamedTuple):
    """What a router or planner knows about one engine at one time.

    Attributes:
        vm: Its entry in the VM list.
        report: Its last load report, or None if none was received yet.
        report_age_s: Age of the report.
        own_in_flight_count: In-flight requests from this node to the engine.
        own_prompt_tokens_since: Prompt tokens that this node sent to the
            engine since the report.
        failures_recent_count: Failed exchanges in the last seconds.
        drained: Whether an order record or drain notice excludes the engine
            from new requests.
    """

    vm: VmRecord
    report: LoadReport | None
    report_age_s: float
    own_in_flight_count: int = 0
    own_prompt_tokens_since: int = 0
    failures_recent_count: int = 0
    drained: bool = False
