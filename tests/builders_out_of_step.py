"""Fleets of which one gateway is out of step while a version joins."""

import contextlib
import itertools
import json
import signal
import unittest
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Any, NamedTuple

import gevent
from gevent import socket

from mulberrywharf.platform import documents
from standins import fault_proxy
from tests import (
    builders_paths,
    builders_platform,
    test_broken_answers,
    test_gateway,
    test_streams_after_kills,
)
from tests import builders_routes as build

HOLD_S = test_streams_after_kills.HOLD_S
STREAMS_COUNT = 12
BEHIND = 3
"""The gateway that is out of step."""

OTHERS = (0, 1, 2)
SEEN_S = 0.25
"""Time until gateways in contact with the store have seen a record."""

OLDER, NEWER = "v1", "v1.1"
_KNOWN_LIMIT_S = HOLD_S + 5.0
_SERVICES_COUNT = 48
_SLOTS_COUNT = 24
_MORE_ROUNDS_COUNT = 4
_HEARTBEAT_S = 1.2


class Outcome(NamedTuple):
    """What became of streams that were taken up.

    Attributes:
        scene: What the gateway was out of step by, and how they were taken up.
        newer_count: Streams that the newer version had begun.
        older_went_on_count: Streams that the older version had begun and that
            went on.
        newer_went_on_count: The same of the newer version.
        refused_count: Streams that were refused.
        joined: Streams with events of two versions.
        taken_count: All streams that were taken up.
    """

    scene: str
    newer_count: int
    older_went_on_count: int
    newer_went_on_count: int
    refused_count: int
    joined: Sequence[str]
    taken_count: int

    @property
    def older_count(self) -> int:
        """Streams that the older version had begun."""
        return self.taken_count - self.newer_count


class Fleet(test_streams_after_kills.KillCase):
    """Four gateways before services with an engine of each version.

    The engines of the newer version are registered later. Each scene has
    services of its own, so that one fleet plays several of them: the versions
    of a service are followed apart from those of all others.
    """

    gateways_count = 4
    relayed_number = BEHIND
    proxied_numbers = (BEHIND,)

    def runTest(self) -> None:  # noqa: N802 (unittest's name)
        """Lets a fleet be made that is no test."""

    def start_gateways(self, count: int, **settings: Any) -> None:
        """Starts gateways that know the older engines of all services."""
        self.outcomes: list[Outcome] = []
        self._unused = iter(range(_SERVICES_COUNT))
        self._engines: dict[str, Any] = {}
        self._registered: dict[str, dict[str, Any]] = {}
        for at in range(_SERVICES_COUNT):
            for version in (OLDER, NEWER):
                server_id = f"s{at}-{version}"
                engine = self.server(server_id, f"s{at}", "decode")
                self.store.delete(f"servers/{server_id}")
                self.decodes.append(engine)
                self._engines[server_id] = engine
                self.versions[server_id] = version
            self.join(f"s{at}", OLDER)
        super().start_gateways(count, **settings)

    def write_routes(self, version: int = 1, **stream_route: Any) -> None:
        """Writes a route of streams to each service."""
        document = build.routes_document(version)
        _, stream = document["routes"]
        del stream["traffic-split"]
        engines = document["services"][0]
        for at in range(_SERVICES_COUNT):
            fields = {"name": f"r-s{at}", "prefix": f"/s{at}/"}
            document["routes"].append({**stream, **fields, "service": f"s{at}"})
            document["services"].append({**engines, "name": f"s{at}"})
        stream["service"] = "engines"
        self.store.put(documents.ROUTES_KEY, json.dumps(document).encode())

    def open(self, number: int, request_id: str, fields: str = "") -> Any:
        """Asks a gateway for a stream of the service that its id begins with.

        Returns:
            The connection.
        """
        service = request_id.removeprefix("next-").partition(".")[0]
        address = ("127.0.0.1", self.gateways[number].ready["callers"])
        sock = socket.create_connection(address)
        sock.settimeout(15)
        request = test_gateway.request(
            f"/{service}/x", fields=builders_paths.SHORT_PROMPT_FIELDS + fields
        )
        sock.sendall(request.replace(b"id-1", request_id.encode()))
        return sock

    def join(self, service: str, version: str, **changes: Any) -> None:
        """Registers the engine of a version, or writes its record again."""
        server_id = f"{service}-{version}"
        self._registered[server_id] = {
            "service": service,
            "stage": "decode",
            "address": f"127.0.0.1:{self._engines[server_id].port}",
            "version": version,
            "slots": _SLOTS_COUNT,
            **changes,
        }
        self.store.put(
            documents.SERVERS_PREFIX + server_id,
            build.server_value(**self._registered[server_id]),
        )

    def overwrite(self, service: str, version: str) -> None:
        """Makes the record of a version's engine unreadable."""
        server_id = f"{service}-{version}"
        fields = {**self._registered[server_id], "slots": 0}
        value = build.server_value(**fields)
        self.store.put(documents.SERVERS_PREFIX + server_id, value)

    def part(self, service: str, version: str) -> None:
        """Removes the record of a version's engine."""
        server_id = f"{service}-{version}"
        del self._registered[server_id]
        self.leave(server_id)

    @contextlib.contextmanager
    def heartbeats(self) -> Iterator[None]:
        """Writes the records of the engines again and again."""

        def write() -> None:
            for sequence in itertools.count(2):
                gevent.sleep(_HEARTBEAT_S)
                for server_id, fields in list(self._registered.items()):
                    record = build.server_value(**fields, sequence=sequence)
                    self.store.put(documents.SERVERS_PREFIX + server_id, record)

        writing = gevent.spawn(write)
        try:
            yield
        finally:
            writing.kill()

    def next_services(self, count: int = 2) -> list[str]:
        """Returns unused services whose version the gateway infers.

        Without a complete history it infers nothing, and a scene would show
        nothing.
        """
        found = [f"s{next(self._unused)}" for _ in range(count)]
        gevent.joinall(
            [gevent.spawn(self._await_inference, one) for one in found],
            raise_error=True,
        )
        return found

    def _await_inference(self, service: str) -> None:
        name = f"{service}.control"
        self.begin(BEHIND, name)
        self.assertTrue(
            builders_platform.wait_until(
                lambda: self.take_up(BEHIND, name, is_named=False) == 200,
                _KNOWN_LIMIT_S,
            ),
            f"nothing is inferred for {service}",
        )

    def begin_streams(
        self,
        services: Iterable[str],
        numbers: Sequence[int] = OTHERS,
        sets_count: int = 1,
    ) -> list[list[list[str]]]:
        """Begins streams at gateways by turns.

        Args:
            services: The services.
            numbers: The gateways.
            sets_count: Sets of streams for each service.

        Returns:
            The streams of each service, by set.
        """
        sets = []
        for one in range(sets_count):
            names = [
                self._names(f"{service}.begun-{one}") for service in services
            ]
            self._begin_at(numbers, itertools.chain.from_iterable(names))
            for of_service in names:
                self._begin_newer(numbers, of_service)
            sets.append(names)
        return sets

    def _names(self, prefix: str) -> list[str]:
        return [f"{prefix}-{at}" for at in range(STREAMS_COUNT)]

    def _begin_at(self, numbers: Sequence[int], names: Iterable[str]) -> None:
        beginning = [
            gevent.spawn(self.begin, numbers[at % len(numbers)], name)
            for at, name in enumerate(names)
        ]
        gevent.joinall(beginning, raise_error=True)

    def _begin_newer(self, numbers: Sequence[int], names: list[str]) -> None:
        """Begins more streams until the newer version has begun some.

        Gateways choose the engines, and may choose the older one each time.
        """
        service = names[0].partition(".")[0]
        engine = self._engines[f"{service}-{NEWER}"]
        if f"{service}-{NEWER}" not in self._registered:
            return
        for round_count in range(_MORE_ROUNDS_COUNT):
            begun = {arrival.request_id for arrival in engine.arrivals}
            if begun.intersection(names):
                return
            more = self._names(f"{names[0]}-{round_count}")
            self._begin_at(numbers, more)
            names += more

    def take_up(self, number: int, name: str, *, is_named: bool = True) -> int:
        """Takes a stream up at a gateway.

        Args:
            number: The gateway.
            name: The stream.
            is_named: Whether the caller names it, beside its last event.

        Returns:
            The status.
        """
        return self._take_up(number, name, is_named=is_named).status

    def _take_up(
        self, number: int, name: str, *, is_named: bool
    ) -> test_broken_answers.Received:
        resumes = f"resumes: {name}\r\n" if is_named else ""
        fields = f"{resumes}last-event-id: 2\r\n"
        return self.stream(number, f"next-{name}", fields)

    def take_up_both(
        self,
        scene: str,
        names: Sequence[Sequence[str]],
        *,
        number: int = BEHIND,
        wake_in_s: float | None = None,
        before_wake: Callable[[], None] = lambda: None,
    ) -> list[Outcome]:
        """Takes streams up, named for the first service, else not.

        Args:
            scene: What they are taken up in.
            names: The streams of each service.
            number: The gateway.
            wake_in_s: The stopped gateway is woken after this time, None for a
                running one.
            before_wake: Called before that.

        Returns:
            The outcomes, which are also collected.
        """
        taking = [
            [
                gevent.spawn(self._take_up, number, name, is_named=at == 0)
                for name in of_service
            ]
            for at, of_service in enumerate(names)
        ]
        if wake_in_s is not None:
            gevent.sleep(wake_in_s)
            before_wake()
            self.wake(number)
        made = []
        for at, of_service in enumerate(names):
            gevent.joinall(taking[at], raise_error=True)
            statuses = [one.value.status for one in taking[at]]
            label = "Resumes" if at == 0 else "Last-Event-Id"
            made.append(
                self._outcome_of(f"{scene}, {label}", of_service, statuses)
            )
        self.outcomes += made
        return made

    def _outcome_of(
        self, scene: str, names: Sequence[str], statuses: Sequence[int]
    ) -> Outcome:
        joined = self.joined(names)
        began = {
            arrival.request_id: self.versions[arrival.server_id]
            for engine in self.decodes
            for arrival in engine.arrivals
        }
        by_name = [
            (began.get(name), status)
            for name, status in zip(names, statuses, strict=True)
            if name not in joined
        ]
        return Outcome(
            scene,
            [began.get(name) for name in names].count(NEWER),
            by_name.count((OLDER, 200)),
            by_name.count((NEWER, 200)),
            len(statuses) - statuses.count(200),
            joined,
            len(names),
        )

    def stop(self, number: int) -> None:
        """Lets a gateway stand still."""
        self.gateways[number].signal(signal.SIGSTOP)

    def wake(self, number: int) -> None:
        """Lets a gateway go on."""
        self.gateways[number].signal(signal.SIGCONT)

    def restart(self, numbers: Iterable[int]) -> None:
        """Starts killed gateways again and waits until they are ready."""
        super().restart(numbers)
        for number in numbers:
            self.gateway = self.gateways[number]
            self.wait_ready()

    def release_to(self, services: Iterable[str]) -> None:
        """Registers the newer engines of services."""
        for service in services:
            self.join(service, NEWER)
        gevent.sleep(SEEN_S)

    def heal(self) -> None:
        """Ends all faults and starts killed gateways again."""
        self.wake(BEHIND)
        self.cut_peers(())
        for path in self.store_paths:
            path.set_faults(mode="pass")
        self.cut([BEHIND], "pass")
        for port in self.view_ports:
            self.store.free_watches(port)
        self.restart(
            [
                number
                for number, gateway in enumerate(self.gateways)
                if gateway.poll() is not None
            ]
        )

    def replace_in_place(self, service: str) -> None:
        """Starts the newer engine at the address of the older one."""
        engine = self.engine(service, OLDER)
        self.part(service, OLDER)
        engine.close()
        engine.restart(f"{service}-{NEWER}")
        self._engines[f"{service}-{NEWER}"] = engine
        self.join(service, NEWER)

    def engine(self, service: str, version: str) -> Any:
        """Returns the engine of a version."""
        return self._engines[f"{service}-{version}"]

    def path_to(self, service: str, version: str) -> fault_proxy.FaultProxy:
        """Returns the path of the gateway out of step to an engine."""
        return self.paths[BEHIND][f"{service}-{version}"]


class OutOfStepCase(unittest.TestCase):
    """Scenes that share a fleet: it takes long to learn its versions."""

    fleet: Fleet

    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        cls.fleet = Fleet()
        cls.addClassCleanup(cls.fleet.doCleanups)
        cls.fleet.setUp()

    def setUp(self) -> None:
        super().setUp()
        self.fleet.outcomes.clear()

    def tearDown(self) -> None:
        self.fleet.heal()
        super().tearDown()

    def assert_none_joined(self) -> None:
        """Asserts that the newer version began streams and none were joined."""
        for one in self.fleet.outcomes:
            with self.subTest(one.scene):
                self.assertGreater(one.newer_count, 0)
                self.assertEqual(one.joined, [])
