"""A small cluster of real processes on loopback, for tests and the demo.

Key-value service, VM list, weight store, engines, backend servers and
programs are processes of their own; what a test asserts comes from the
stand-ins' own logs and from what a caller saw.
"""

import concurrent.futures
import json
import time
from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

import gevent
from geventhttpclient import HTTPClient
from result import Err

from mulberrywharf import settings
from mulberrywharf.platform_service import config_store, key_value
from mulberrywharf.rules.document import Document
from tests import builders_settings, callers_fixture, processes

LOOPBACK = "127.0.0.1"
OPERATOR_TOKEN = "token-of-the-night-shift"
MODEL = "tagger"
SERVICE = "desk"
WAIT_S = 30.0
_POLL_S = 0.02
_TIMEOUT_S = 60.0
_SETTLE_LIMIT_COUNT = 8


class Shape(NamedTuple):
    """How large a cluster is and how its parts behave.

    Attributes:
        zones: Its availability zones.
        engines_per_zone: Engines in each.
        backends_per_zone: Backend servers in each, of one service.
        routers_per_zone: Routers in each.
        controllers: Whether each zone has a controller as well.
        proxied: Whether a fault proxy stands before each engine and each
            backend server.
        vm_list_lag_s: How long the VM list lags.
        engine_arguments: Command line of every engine.
        document: Changes of the configuration document.
        callers: Changes of the routers' ``callers`` settings.
        engines: The routers' ``engines`` settings.
    """

    zones: tuple[str, ...] = ("regina-hall",)
    engines_per_zone: int = 1
    backends_per_zone: int = 0
    routers_per_zone: int = 1
    controllers: bool = False
    proxied: bool = False
    vm_list_lag_s: float = 0.0
    engine_arguments: tuple[str, ...] = ()
    document: Mapping[str, Any] = {}
    callers: Mapping[str, Any] = {"drain_notice_s": 0.2}
    engines: Mapping[str, Any] = {
        "load_interval_s": 0.2,
        "connect_timeout_s": 0.5,
        "idle_timeout_s": 2.0,
    }


class Member(NamedTuple):
    """One process of the cluster.

    Attributes:
        vm_id: Its name.
        kind: As the VM list says.
        availability_zone: Where it stands.
        process: The process.
        port: Where the VM list says that it answers.
        proxy: The fault proxy before it, or None.
        service: Of backend servers.
    """

    vm_id: str
    kind: str
    availability_zone: str
    process: processes.Process
    port: int
    proxy: processes.Process | None = None
    service: str = ""

    @property
    def own_port(self) -> int:
        """Its own port, past any proxy."""
        return int(self.process.ready.get("port", self.port))

    def log(self) -> dict[str, Any]:
        """Returns what a stand-in saw."""
        return get_json(self.own_port, "/standin/log")

    def set_faults(self, **faults: Any) -> None:
        """Sets a stand-in's own faults."""
        post_json(self.own_port, "/standin/faults", faults)

    def set_proxy_faults(self, **faults: Any) -> None:
        """Sets the faults of the proxy before it."""
        assert self.proxy is not None
        post_json(self.proxy.ready["control_port"], "/faults", faults)


class Answer(NamedTuple):
    """What a caller got.

    Attributes:
        status: HTTP status.
        headers: Header fields, names in lower case.
        body: The whole body.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict[str, Any]:
        """Returns the body as JSON."""
        return dict(json.loads(self.body))

    @property
    def outcome(self) -> str | None:
        """The outcome that a refusal tells."""
        return self.headers.get("x-mulberry-outcome")

    def events(self) -> list[str]:
        """Returns the data of each event of a stream."""
        parts = self.body.decode().split("\n\n")
        return [part.removeprefix("data: ") for part in parts if part]

    def is_whole(self) -> bool:
        """Whether a stream came to its checked end."""
        events = self.events()
        return self.status == 200 and bool(events) and events[-1] == "[DONE]"

    def text(self) -> str:
        """Returns the text of a streamed or a plain completion."""
        if not self.headers["content-type"].startswith("text/event-stream"):
            return str(self.json()["choices"][0]["text"])
        tokens = [json.loads(event) for event in self.events()[:-1]]
        return "".join(
            token["choices"][0]["text"]
            for token in tokens
            if "choices" in token
        )


class Caller:
    """A caller of one router, over a connection for each request."""

    def __init__(self, port: int, key: str = callers_fixture.CUSTOMER_KEY):
        self._port = port
        self._key = key

    def send(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        **headers: str,
    ) -> Answer:
        """Sends one request and reads its whole answer.

        Args:
            method: HTTP method.
            path: Target.
            body: Whole body.
            **headers: Header fields, with ``_`` for ``-``.
        """
        client = HTTPClient(
            LOOPBACK,
            self._port,
            connection_timeout=_TIMEOUT_S,
            network_timeout=_TIMEOUT_S,
        )
        fields = {name.replace("_", "-"): v for name, v in headers.items()}
        fields["authorization"] = f"Bearer {self._key}"
        fields["connection"] = "close"
        try:
            response = client.request(method, path, body, fields)
            content = bytes(response.read())
        finally:
            client.close()
        found = {name.lower(): value for name, value in response.items()}
        return Answer(response.status_code, found, content)

    def complete(
        self,
        prompt: str,
        max_tokens: int | None = None,
        *,
        model: str = MODEL,
        stream: bool = True,
        **headers: str,
    ) -> Answer:
        """Asks for one completion."""
        body: dict[str, Any] = {
            "model": model,
            "prompt": prompt,
            "stream": stream,
        }
        if max_tokens is not None:
            body["max_tokens"] = max_tokens
        data = json.dumps(body).encode()
        return self.send("POST", "/v1/completions", data, **headers)

    def call(self, path: str, body: bytes = b"", **headers: str) -> Answer:
        """Posts to the cluster's plain service."""
        target = f"/services/{SERVICE}{path}"
        return self.send("POST", target, body, **headers)


class Cluster:
    """The processes of one cluster.

    Attributes:
        engines: In the order of their zones.
        backends: Likewise.
        routers: Likewise.
        controllers: Likewise.
        platform: Key-value service, VM list and weight store by name.
    """

    def __init__(self, shape: Shape | None = None):
        self.shape = shape or Shape()
        self.engines: list[Member] = []
        self.backends: list[Member] = []
        self.routers: list[Member] = []
        self.controllers: list[Member] = []
        self.platform: dict[str, processes.Process] = {}
        self._proxies: list[processes.Process] = []
        self._left: set[str] = set()
        self._pool = concurrent.futures.ThreadPoolExecutor(_SETTLE_LIMIT_COUNT)

    def start(self) -> "Cluster":
        """Starts everything; returns once every router is ready."""
        try:
            self._start_platform()
            self.engines = self._start_engines()
            self.backends = self._start_backends()
            self.apply(callers_fixture.document(**self.shape.document))
            self.routers = self._start_programs("router", "entry")
            if self.shape.controllers:
                self.controllers = self._start_programs("controller", "")
            self.publish()
            for router in self.routers:
                self.wait_ready(router)
        except BaseException:
            self.close()
            raise
        return self

    def close(self) -> None:
        """Ends every process, whatever it does."""
        members = self.routers + self.controllers + self.backends + self.engines
        for member in members:
            member.process.close()
        for process in [*self._proxies, *self.platform.values()]:
            process.close()
        self._pool.shutdown()

    # --- parts ------------------------------------------------------------

    def _start_platform(self) -> None:
        arguments = {
            "key_value": ("--writes-per-s", "0", "--reads-per-s", "0"),
            "vm_list": ("--lag-s", str(self.shape.vm_list_lag_s)),
            "weight_store": ("--loads-per-s", "100"),
        }
        started = self._each(
            lambda name: processes.Process(
                f"standins.{name}", *arguments[name]
            ),
            arguments,
        )
        self.platform = dict(zip(arguments, started, strict=True))

    def _each(
        self, work: Callable[[Any], Any], items: Iterable[Any]
    ) -> list[Any]:
        return list(self._pool.map(work, items))

    def _names(self, kind: str, count: int) -> list[tuple[str, str]]:
        return [
            (f"{kind}-{zone}-{number}", zone)
            for zone in self.shape.zones
            for number in range(1, count + 1)
        ]

    def _start_engines(self) -> list[Member]:
        def start(named: tuple[str, str]) -> Member:
            vm_id, zone = named
            process = processes.Process(
                "standins.engine",
                "--engine-id",
                vm_id,
                "--models",
                MODEL,
                *self.shape.engine_arguments,
            )
            return self._member(vm_id, "engine", zone, process)

        names = self._names("engine", self.shape.engines_per_zone)
        return self._each(start, names)

    def _start_backends(self) -> list[Member]:
        def start(named: tuple[str, str]) -> Member:
            vm_id, zone = named
            process = processes.Process(
                "standins.backend_server", "--name", vm_id
            )
            return self._member(vm_id, "backend", zone, process, SERVICE)

        names = self._names("backend", self.shape.backends_per_zone)
        return self._each(start, names)

    def _member(
        self,
        vm_id: str,
        kind: str,
        zone: str,
        process: processes.Process,
        service: str = "",
    ) -> Member:
        port, proxy = process.ready["port"], None
        if self.shape.proxied:
            proxy = processes.Process(
                "standins.fault_proxy", "--upstream", f"{LOOPBACK}:{port}"
            )
            self._proxies.append(proxy)
            port = proxy.ready["port"]
        return Member(vm_id, kind, zone, process, port, proxy, service)

    def _start_programs(self, program: str, kind: str) -> list[Member]:
        def start(named: tuple[str, str]) -> Member:
            vm_id, zone = named
            return self._start_program(program, kind, vm_id, zone)

        count = self.shape.routers_per_zone if program == "router" else 1
        return self._each(start, self._names(program, count))

    def _start_program(
        self, program: str, kind: str, vm_id: str, zone: str
    ) -> Member:
        path = builders_settings.write_settings(self.node_settings(vm_id, zone))
        process = processes.Process(
            f"mulberrywharf.programs.{program}", "--settings", path
        )
        port = process.ready.get("nodes", 0)
        return Member(vm_id, kind, zone, process, port)

    def start_router(self, vm_id: str, zone: str) -> Member:
        """Starts one more router and publishes it."""
        router = self._start_program("router", "entry", vm_id, zone)
        self.routers.append(router)
        self.publish()
        return router

    def node_settings(self, vm_id: str, zone: str) -> dict[str, Any]:
        """Returns the settings of a program of this cluster."""
        token_sha256_hex = callers_fixture.customer(OPERATOR_TOKEN)[
            "key_sha256_hex"
        ]
        listen = {"ip": LOOPBACK, "port": 0}
        return builders_settings.node_settings(
            vm_id=vm_id,
            availability_zone=zone,
            callers={"listen": listen, **self.shape.callers},
            operators={
                "listen": listen,
                "tokens": [
                    {
                        "operator": "night-shift",
                        "token_sha256_hex": token_sha256_hex,
                    }
                ],
            },
            platform={
                "key_value": [self.endpoint("key_value")],
                "vm_list": self.endpoint("vm_list"),
                "weight_store": self.endpoint("weight_store"),
                "call_timeout_s": 1.0,
            },
            engines=dict(self.shape.engines),
        )

    def endpoint(self, name: str) -> settings.Endpoint:
        """Returns where one of the platform's services answers."""
        return {"ip": LOOPBACK, "port": self.platform[name].ready["port"]}

    # --- what operators and the platform do --------------------------------

    def apply(self, document: Mapping[str, Any]) -> int:
        """Puts a configuration in force; returns its version."""
        client = key_value.KeyValueClient([self.endpoint("key_value")])
        try:
            store = config_store.ConfigStore(client, "prairie")
            read = store.read()
            if isinstance(read, Err):
                raise read.err_value
            held = read.ok_value
            version = held.version if held is not None else 0
            checked: Document = dict(document)  # type: ignore[assignment]
            changed = store.change(
                checked, "night-shift", "", f"change-{version + 1}", version
            )
            if isinstance(changed, Err):
                raise changed.err_value
            return changed.ok_value.version
        finally:
            client.close()

    def put(self, key: str, value: bytes) -> None:
        """Creates a key in the key-value service."""
        client = key_value.KeyValueClient([self.endpoint("key_value")])
        try:
            written = client.compare_and_swap(
                key, value, expected_revision=0, purpose="test"
            )
            if isinstance(written, Err):
                raise written.err_value
        finally:
            client.close()

    def publish(self, *, leaving: Iterable[str] = ()) -> None:
        """Writes the VM list.

        Args:
            leaving: VMs that are marked as leaving.
        """
        marked = set(leaving)
        members = self.engines + self.backends + self.routers
        vms = [
            self._vm(member, member.vm_id in marked)
            for member in members
            if member.vm_id not in self._left
        ]
        port = self.platform["vm_list"].ready["port"]
        post_json(port, "/standin/vms", {"vms": vms})

    def forget(self, member: Member) -> None:
        """Takes a VM off the list for good."""
        self._left.add(member.vm_id)
        self.publish()

    def _vm(self, member: Member, is_leaving: bool) -> dict[str, Any]:
        ready = member.process.ready
        return {
            "vm_id": member.vm_id,
            "kind": member.kind,
            "availability_zone": member.availability_zone,
            "ip": LOOPBACK,
            "port": member.port,
            "state": "leaving" if is_leaving else "live",
            "service": member.service,
            "engine_kind": "stand-in" if member.kind == "engine" else "",
            "operators_ip": LOOPBACK if "operators" in ready else None,
            "operators_port": ready.get("operators"),
        }

    def set_key_value_down(self, down: bool) -> None:
        """Makes the key-value service cut every call, or serve again."""
        port = self.platform["key_value"].ready["port"]
        faults = {"down": True} if down else {}
        post_json(port, "/standin/faults", faults)

    def set_vm_list_down(self, down: bool) -> None:
        """Makes the VM list cut every call, or serve again."""
        port = self.platform["vm_list"].ready["port"]
        post_json(port, "/standin/faults", {"down": True} if down else {})

    # --- looking ------------------------------------------------------------

    def caller(self, index: int = 0, **options: str) -> Caller:
        """Returns a caller of one router."""
        return Caller(self.routers[index].process.ready["callers"], **options)

    def status(self, member: Member) -> dict[str, Any]:
        """Returns a program's status."""
        return get_json(
            member.process.ready["operators"],
            "/status",
            {"authorization": f"Bearer {OPERATOR_TOKEN}"},
        )

    def is_ready(self, member: Member) -> bool:
        """Whether a program tells the balancer to send work."""
        return _get(member.process.ready["operators"], "/readyz", {})[0] == 200

    def wait_ready(self, router: Member) -> None:
        """Waits until a router is ready and knows every engine's load."""
        wait_until(lambda: self.is_ready(router), f"{router.vm_id} ready")
        live = {e.vm_id for e in self.engines if e.vm_id not in self._left}

        def knows_engines() -> bool:
            seen = {
                engine["engine_id"]
                for engine in self.status(router)["engines"]
                if engine["report_age_s"] is not None
            }
            return live <= seen

        wait_until(knows_engines, f"{router.vm_id} knows the engines")

    def metric(self, member: Member, name: str) -> float:
        """Returns the sum of a program's metric over its labels."""
        _, body = _get(member.process.ready["operators"], "/metrics", {})
        total = 0.0
        for line in body.decode().splitlines():
            if line.startswith((f"{name}{{", f"{name} ")):
                total += float(line.rsplit(" ", 1)[1])
        return total

    def runs(self) -> list[dict[str, Any]]:
        """Returns every run that the backend servers logged."""
        logs = [backend.log() for backend in self.backends]
        return [run for log in logs for run in log["runs"]]

    def collect_logs(self) -> str:
        """Returns what the programs wrote, for a failed test's message."""
        members = self.routers + self.controllers
        parts = [f"--- {m.vm_id}\n{m.process.errors()}" for m in members]
        return "\n".join(parts)


def wait_until(
    condition: Callable[[], bool], what: str, limit_s: float = WAIT_S
) -> None:
    """Waits for a condition.

    Raises:
        AssertionError: It did not come about in time.
    """
    until_s = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > until_s:
            raise AssertionError(f"waited {limit_s} s in vain: {what}")
        # Greenlets of the test, such as callers, go on meanwhile.
        gevent.sleep(_POLL_S)


def get_json(
    port: int, path: str, headers: Mapping[str, str] | None = None
) -> dict[str, Any]:
    """Reads a JSON document from a process on loopback."""
    status, body = _get(port, path, headers or {})
    if status != 200:
        raise AssertionError(f"GET {path}: {status} {body!r}")
    return dict(json.loads(body))


def post_json(
    port: int, path: str, body: Any, *, status: int = 200
) -> dict[str, Any]:
    """Posts a JSON document to a process on loopback."""
    client = HTTPClient(LOOPBACK, port)
    headers = {"content-type": "application/json"}
    try:
        response = client.post(path, json.dumps(body).encode(), headers)
        content = response.read()
    finally:
        client.close()
    if response.status_code != status:
        raise AssertionError(f"POST {path}: {response.status_code} {content!r}")
    return dict(json.loads(content))


def _get(port: int, path: str, headers: Mapping[str, str]) -> tuple[int, bytes]:
    client = HTTPClient(LOOPBACK, port)
    try:
        response = client.get(path, dict(headers))
        return response.status_code, bytes(response.read())
    finally:
        client.close()
