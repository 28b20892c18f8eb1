"""Routes, keys and servers at gateways whose watches are behind.

The gateways are real processes. Watches are told the present revision and none
of the changes before it, or nothing; all other calls to the store work.
"""

import json
import signal
import time
import unittest
from collections.abc import Callable, Iterable

import gevent

from mulberrywharf.peers import directory
from mulberrywharf.platform import documents
from tests import (
    builders_addresses,
    builders_gateways,
    builders_platform,
    processes,
)
from tests import builders_routes as build
from tests.test_customer_requests import key_fields
from tests.test_gateway import GatewayCase

REVOCATION_BOUND_S = 2.0
NEW_ROUTES_BOUND_S = 2.0
"""``config-apply-ms``."""

LEAVING_BOUND_S = 2.0
"""``drain-ms``."""

SCENES = ("all", "readers", "others")
"""Whose watches are held."""

_NODES_PORT = 7660
_HEARD_NOTHING_S = 1.5
_RELIANCE_S = 4.0
_POLL_S = 0.05


class RoutesWatchBehindCase(GatewayCase):
    """Gateways that know each other; two of them are readers."""

    gateways_count = 4

    def setUp(self) -> None:
        super().setUp()
        self.put_routes(1, path="/safe/")
        net = builders_addresses.claim_net(self)
        self.views: list[int] = []
        self.gateways: list[processes.Process] = []
        for number in range(self.gateways_count):
            self.views.append(self.store.add_view(lambda _, value: value))
            self.gateways.append(
                self.start(
                    f"entry-{number}",
                    nodes_listen=f"{net}.{number + 1}:{_NODES_PORT}",
                    store=f"127.0.0.1:{self.views[number]}",
                    **self.settings(),
                )
            )
            self.wait_ready()
        self.assertTrue(builders_gateways.know_each_other(self.gateways))

    def settings(self) -> dict[str, object]:
        """Returns more settings of the gateways."""
        return {}

    def put_routes(self, version: int, *, path: str) -> None:
        """Writes routes with one path."""
        document = build.routes_document(version)
        document["routes"] = [{**document["routes"][0], "prefix": path}]
        document.update(self.customers(version))
        self.store.put(documents.ROUTES_KEY, json.dumps(document).encode())

    def customers(self, version: int) -> dict[str, object]:
        """Returns the part of the routes with the customers."""
        return {}

    def read_as(self, number: int, path: str, *, key: str = "") -> int:
        """Asks a gateway; returns the status of its answer."""
        self.gateway = self.gateways[number]
        return self.ask(path, fields=key_fields(key) if key else "").status

    def held(self, scene: str) -> list[int]:
        """Holds the watches of all gateways, or of those of one kind."""
        readers = self.readers()
        held = [
            number
            for number in range(self.gateways_count)
            if scene == "all" or (scene == "readers") == (number in readers)
        ]
        for number in held:
            self.store.hold_watches(self.views[number])
        return held

    def readers(self) -> list[int]:
        """Returns the gateways on which others rely."""
        ranked = sorted(
            range(self.gateways_count),
            key=lambda number: directory._vm_rank(f"entry-{number}"),
        )
        return ranked[: directory.READERS_COUNT]

    def away(self) -> set[int]:
        """Returns the gateways that are not asked."""
        return set()

    def free(self, numbers: Iterable[int]) -> None:
        for number in numbers:
            self.store.free_watches(self.views[number])

    def last_s(self, is_old: Callable[[int], bool], limit_s: float) -> float:
        """Returns when a gateway last went by what was replaced."""
        began_s = time.monotonic()
        last_s = 0.0
        while (asked_s := time.monotonic() - began_s) < limit_s:
            asking = [
                gevent.spawn(is_old, number)
                for number in range(self.gateways_count)
                if number not in self.away()
            ]
            gevent.joinall(asking, raise_error=True)
            if any(one.value for one in asking):
                last_s = asked_s
            gevent.sleep(_POLL_S)
        return last_s


class OldRoutesTest(RoutesWatchBehindCase):
    def test_old_routes_end_though_watches_skip_their_change(self) -> None:
        """Guards against routes that stay old until the next change."""
        for version, scene in enumerate(SCENES, start=2):
            with self.subTest(scene):
                held = self.held(scene)
                self.assertTrue(held)
                self.put_routes(version, path=f"/v{version}/")
                last_s = self.last_s(
                    lambda number, version=version: (
                        self.read_as(number, f"/v{version}/x") == 404
                    ),
                    NEW_ROUTES_BOUND_S + 2.0,
                )
                self.assertLessEqual(last_s, NEW_ROUTES_BOUND_S)
                self.free(held)

    def test_old_routes_end_though_their_history_is_dropped(self) -> None:
        """Guards against a change that some watches lose with its history."""
        held = self.held("all")
        gevent.spawn_later(_HEARD_NOTHING_S, self.store.drop_history)
        gevent.spawn_later(_HEARD_NOTHING_S, self.free, held)
        self.put_routes(2, path="/v2/")
        last_s = self.last_s(
            lambda number: self.read_as(number, "/v2/x") == 404,
            NEW_ROUTES_BOUND_S + 2.0,
        )
        self.assertLessEqual(last_s, NEW_ROUTES_BOUND_S)


class LostReadersTest(RoutesWatchBehindCase):
    """The gateways that others relied on are gone, and no watch is answered."""

    def setUp(self) -> None:
        super().setUp()
        # Gateways that rely on others do so some seconds behind their start.
        gevent.sleep(_RELIANCE_S)
        hanging = gevent.spawn(self.hang_watches)
        self.addCleanup(hanging.kill)

    def hang_watches(self) -> None:
        while True:
            self.store.hang_watches()
            gevent.sleep(_POLL_S)

    def away(self) -> set[int]:
        return set(self.readers())

    def check(self) -> None:
        gevent.sleep(0.5)
        self.put_routes(2, path="/v2/")
        last_s = self.last_s(
            lambda number: self.read_as(number, "/v2/x") == 404,
            NEW_ROUTES_BOUND_S + 2.0,
        )
        self.assertLessEqual(last_s, NEW_ROUTES_BOUND_S)

    def test_old_routes_end_though_readers_are_killed(self) -> None:
        """Guards against waiting for a gateway that was killed."""
        for number in self.readers():
            self.gateways[number].signal(signal.SIGKILL)
        self.check()

    def test_old_routes_end_though_readers_stand_still(self) -> None:
        """Guards against waiting for a gateway that is suspended."""
        for number in self.readers():
            self.gateways[number].signal(signal.SIGSTOP)
            self.addCleanup(self.gateways[number].signal, signal.SIGCONT)
        self.check()


class LeavingServerTest(RoutesWatchBehindCase):
    def setUp(self) -> None:
        super().setUp()
        self.leaving = self.server("plain-2", "plain")
        self.name = documents.SERVERS_PREFIX + "plain-2"

    def check(self, write: Callable[[], object]) -> None:
        """Lets the server leave and checks when it gets its last request."""
        self.assertTrue(
            builders_platform.wait_until(
                lambda: (
                    all(
                        self.read_as(number, "/safe/x") == 200
                        for number in range(self.gateways_count)
                    )
                    and len(self.leaving.arrivals) > 0
                )
            )
        )
        for number in range(self.gateways_count):
            self.store.hold_watches(self.views[number])
        gevent.sleep(0.5)
        write()
        left_s = time.monotonic()
        self.last_s(
            lambda number: self.read_as(number, "/safe/x") != 200,
            LEAVING_BOUND_S + 2.0,
        )
        last_s = max((one.at_s for one in self.leaving.arrivals), default=0.0)
        self.assertLessEqual(last_s - left_s, LEAVING_BOUND_S)
        self.assertTrue(any(one.at_s > left_s for one in self.plain.arrivals))

    def test_draining_server_gets_no_work_though_watches_skip_it(self) -> None:
        """Guards against requests to a server that says once that it leaves."""
        address = f"127.0.0.1:{self.leaving.port}"
        record = build.server_value(address=address, state="draining")
        self.check(lambda: self.store.put(self.name, record))

    def test_removed_server_gets_no_work_though_watches_skip_it(self) -> None:
        """Guards against requests to a server whose record is gone."""
        self.check(lambda: self.store.delete(self.name))


class RevokedKeyTest(RoutesWatchBehindCase):
    def settings(self) -> dict[str, object]:
        return {"revocation": {"bound_ms": REVOCATION_BOUND_S * 1000}}

    def customers(self, version: int) -> dict[str, object]:
        return {"tenants": [{"name": "ann", "api-keys": [f"key-{version}"]}]}

    def test_key_ends_though_watches_skip_its_revocation(self) -> None:
        """Guards against a revocation that no watch reported."""
        for version, scene in enumerate(SCENES, start=2):
            with self.subTest(scene):
                held = self.held(scene)
                self.assertTrue(held)
                self.put_routes(version, path="/safe/")
                revoked = f"key-{version - 1}"
                last_s = self.last_s(
                    lambda number, key=revoked: (
                        self.read_as(number, "/safe/x", key=key) == 200
                    ),
                    REVOCATION_BOUND_S + 2.0,
                )
                self.assertLessEqual(last_s, REVOCATION_BOUND_S)
                self.free(held)


if __name__ == "__main__":
    unittest.main()
