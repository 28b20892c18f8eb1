"""What a node believes about the fleet: VMs, engines and their loads.

These are the typed views that ``policy`` and ``rules`` decide on. Every
figure that came from afar carries its age, because the view is always
somewhat old.
"""

from typing import Literal, NamedTuple

Role = Literal["prefill", "decode", "mixed"]
"""What an engine spends its steps on; ``mixed`` does both."""

EngineState = Literal["ready", "draining", "changing", "failed", "unknown"]
"""``changing`` serves nothing; ``failed`` needs an order to recover."""

VmKind = Literal["entry", "engine", "backend"]
VmState = Literal["live", "leaving"]


class Address(NamedTuple):
    """An IP number and a TCP port."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Returns ``ip:port``."""
        return f"{self.ip}:{self.port}"


class VmRecord(NamedTuple):
    """One line of the platform's VM list, which lags.

    Attributes:
        vm_id: Stable name of the VM; also the engine id for engines.
        kind: Entry VM of ours, model engine, or plain backend server.
        availability_zone: Where it stands.
        address: Where callers' work is sent; for entry VMs the node port.
        state: ``leaving`` VMs get no new work.
        service: Service name of a backend server, else empty.
        engine_kind: Make of an engine; settings say which kinds check
            fencing numbers. Empty for others.
        operators_address: Admin listener of an entry VM, else None.
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
    """One start of one server.

    A server may start again under its id. What it held and counted before is
    gone then, so whatever is believed of it belongs to one start.

    Attributes:
        server_id: Names the server.
        started_unix_ms: Tells its starts apart, by its own clock. It says
            nothing of their order, as that clock may be stepped back. None
            where servers don't tell it.
    """

    server_id: str
    started_unix_ms: int | None = None

    def __str__(self) -> str:
        """Returns the id, with the start behind it if that is told."""
        if self.started_unix_ms is None:
            return self.server_id
        return f"{self.server_id}@{self.started_unix_ms}"


class Server(NamedTuple):
    """One start of one server, as it registered itself.

    Attributes:
        start: What everything is kept by that is believed of it. A field, as
            it is asked for several times for each engine that a prompt may go
            to: made anew each time, placing among 850 engines took 4.5 ms
            instead of 3.2.
        service: The service that it belongs to.
        address: Where it takes requests.
        availability_zone: Where it stands.
        slots_count: Requests that it works on at once.
        is_draining: Whether it is about to leave.
        role: What an engine spends its steps on, None for plain servers.
    """

    start: ServerStart
    service: str
    address: Address
    availability_zone: str
    slots_count: int
    is_draining: bool = False
    role: Role | None = None

    @property
    def server_id(self) -> str:
        """Names it; it keeps the id when it starts again."""
        return self.start.server_id

    @property
    def started_unix_ms(self) -> int | None:
        """Tells its starts apart, see ``ServerStart``."""
        return self.start.started_unix_ms


class LoadReport(NamedTuple):
    """What an engine said about itself, some time ago.

    Attributes:
        engine_id: The engine.
        role: Its role.
        state: Whether it serves.
        models: Models it has loaded.
        adapters: Adapters it has loaded.
        version: Version label of its weights.
        waiting_count: Requests that wait for a place in the batch.
        running_count: Requests in the batch.
        waiting_prompt_tokens: Prompt tokens not yet prefilled.
        running_output_tokens: Output tokens generated for running requests.
        kv_used_share: Share of KV memory in use, 0 to 1.
        prefill_tokens_per_s: Its prefill speed.
        decode_tokens_per_s: Its decode speed over the whole batch.
        prompt_tokens_total: Prompt tokens prefilled since it started.
        output_tokens_total: Output tokens generated since it started.
        order_id: Last order it applied, or empty.
        fencing_number: Highest fencing number it has seen, or 0.
        reported_unix_s: When the engine took the figures.
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
    """One engine as a router or planner sees it at one instant.

    Attributes:
        vm: Its line in the VM list.
        report: Its last load report, or None if none came yet.
        report_age_s: Age of the report.
        own_in_flight_count: Requests this node has at it now.
        own_prompt_tokens_since: Prompt tokens this node sent since the report.
        failures_recent_count: Failed exchanges in the last seconds.
        drained: True when an order record or drain notice says no new work.
    """

    vm: VmRecord
    report: LoadReport | None
    report_age_s: float
    own_in_flight_count: int = 0
    own_prompt_tokens_since: int = 0
    failures_recent_count: int = 0
    drained: bool = False
