"""How fleets of several sizes go through a store that is back from a copy.

Run as ``python -m bench.store_restores``. Each gateway runs what it runs
towards the store: it registers, follows routes and servers, hears of peers'
news and keeps the records of blocked requests. The store comes back from a copy
some seconds old, without leases, with its revisions given out again. Servers
write their records again within a heartbeat. It prints when the last gateway
had noticed, had read routes and servers anew and was registered again, and what
that cost in calls. The last line is a JSON object.

The gateways share few processes and the machine with the store, so times are
upper bounds for a fleet on machines of its own.
"""

import argparse
import json
import random
import subprocess
import sys
import time
from typing import Any, NamedTuple

import gevent
from loguru import logger

from mulberrywharf import clock, fleet
from mulberrywharf.crashes import crash_records
from mulberrywharf.forwarding import servers
from mulberrywharf.peers import (
    directory,
    notices,
    revision_exchange,
)
from mulberrywharf.platform import documents, store
from mulberrywharf.platform_service import key_value, watch, watch_audit
from mulberrywharf.policy import crash_suspects
from mulberrywharf.routes import follower, freshness
from standins import platform_store
from tests import builders_platform
from tests import builders_routes as build

SIZES = (9, 61, 195)
ZONES_COUNT = 3
SERVERS_COUNT = 40
HEARTBEAT_S = 1.2
SETTLED_S = 12.0
COPY_AGE_S = 4.0
AWAY_S = 0.3
WATCHED_S = 15.0
_GATEWAYS_PER_PROCESS = 40
_PORT = 7661
_LOST_REVISIONS_COUNT = 10_000
_LOOK_S = 0.02
_STORE_TIMEOUT_S = 1.0


class Restore(NamedTuple):
    """One restore, seen from the store.

    Attributes:
        gateways_count: Gateways that ran.
        noticed_s: From the store's return until the last one had noticed.
        read_s: The same until routes and servers were read anew.
        registered_s: The same until it was registered again.
        calls_count: Calls in the seconds behind the return.
        idle_calls_count: Calls in as many seconds before.
        reads_per_s: Most reads within one second of those; renewals of
            leases count as such.
        writes_per_s: Most writes likewise.
    """

    gateways_count: int
    noticed_s: float
    read_s: float
    registered_s: float
    calls_count: int
    idle_calls_count: int
    reads_per_s: int
    writes_per_s: int


class _Gateway:
    """What one gateway runs towards the store."""

    def __init__(self, store_port: int, net: str, number: int):
        self.number = number
        system_clock = clock.SystemClock()
        zone = f"zone-{number % ZONES_COUNT}"
        address = fleet.Address(f"{net}.{number // 200}.{number % 200}", _PORT)
        self.client = key_value.KeyValueClient(
            [builders_platform.endpoint(store_port)],
            timeout_s=_STORE_TIMEOUT_S,
            dialect=store.StoreDialect(),
        )
        source = documents.StoredDocuments()
        peers = directory.PeerDirectory(
            self.client, f"vm-{number}", address, zone, f"{number:08x}"
        )
        told = notices.NoticeExchange(
            address, peers, number, zone, system_clock
        )
        news = revision_exchange.RevisionExchange(
            told, self._watches, lambda: self.client.era
        )
        self.routes = follower.RouteFollower(
            self.client, source, timeouts=lambda: watch.LONG_TIMEOUTS
        )
        self.servers = servers.ServerList(
            self.client, source, timeouts=lambda: watch.LONG_TIMEOUTS
        )
        confirmed = freshness.RoutesFreshness(
            self.client,
            self.routes,
            None,
            audit=watch_audit.WatchAudit(
                self.client, self.servers.watched, purpose=freshness.PURPOSE
            ),
        )
        self.servers.on_change(news.on_change)
        self.routes.on_change(lambda _: news.on_change())
        records = crash_records.CrashRecords(
            self.client, crash_suspects.CrashSuspects(), system_clock
        )
        self._parts = [
            self.routes,
            self.servers,
            peers,
            told,
            confirmed,
            records,
        ]

    def _watches(self) -> dict[str, watch.Watch]:
        found = {
            "routes_revision": self.routes.watched(),
            "servers_revision": self.servers.watched(),
        }
        return {name: one for name, one in found.items() if one is not None}

    def start(self) -> None:
        for part in self._parts:
            part.start()

    def close(self) -> None:
        for part in reversed(self._parts):
            part.close()
        self.client.close()

    @property
    def revisions(self) -> list[int]:
        return [one.seen_revision for one in self._watches().values()]


def _work(store_port: int, net: str, numbers: range) -> None:
    """Runs some gateways, and prints when each had gone through a restore."""
    gateways = [_Gateway(store_port, net, number) for number in numbers]
    for gateway in gateways:
        gateway.start()
    print("started", flush=True)
    highest = 0
    noticed: dict[int, float] = {}
    while len(noticed) < len(gateways):
        gevent.sleep(_LOOK_S)
        for gateway in gateways:
            highest = max([highest, *gateway.revisions])
            if gateway.client.era > 1 and gateway.number not in noticed:
                noticed[gateway.number] = time.time()
    read: dict[int, float] = {}
    while len(read) < len(gateways):
        gevent.sleep(_LOOK_S)
        for gateway in gateways:
            is_new = all(one < highest for one in gateway.revisions)
            if is_new and gateway.number not in read:
                read[gateway.number] = time.time()
    told = {"noticed": max(noticed.values()), "read": max(read.values())}
    print(json.dumps(told), flush=True)
    gevent.sleep(WATCHED_S)
    for gateway in gateways:
        gateway.close()


class FleetStore:
    """The store, and the servers that write into it.

    Attributes:
        standin: The store.
    """

    def __init__(self) -> None:
        self.standin = platform_store.PlatformStoreStandin()
        self.standin.era = 1
        self.standin.start()
        self._sequence = 0
        self._version = 0
        self.write_routes()
        self.write_servers(0.0)

    def close(self) -> None:
        """Stops the store."""
        self.standin.close()

    def write_routes(self) -> None:
        """Writes the next version of the routes."""
        self._version += 1
        self.standin.put(
            documents.ROUTES_KEY, build.routes_value(self._version)
        )

    def write_servers(self, within_s: float) -> None:
        """Lets each server write its record once, spread over a time."""
        self._sequence += 1
        for number in range(SERVERS_COUNT):
            self.write_server(number, self._sequence)
            gevent.sleep(within_s / SERVERS_COUNT)

    def write_server(self, number: int, sequence: int) -> None:
        """Lets a server write its record."""
        record = build.server_value(
            sequence=sequence, address=f"127.0.0.1:{1000 + number}"
        )
        self.standin.put(f"{documents.SERVERS_PREFIX}i-{number}", record)

    def registered_count(self) -> int:
        """Returns how many gateways are registered."""
        prefix = directory.KEY_PREFIX.encode()
        return sum(key.startswith(prefix) for key in self.standin.store.records)

    def restore(self) -> float:
        """Comes back from a copy; returns when that was."""
        copy = self.standin.copy()
        # Revisions are further on than they are again within the play, and
        # every watch is brought one of them.
        self.standin.store.revision += _LOST_REVISIONS_COUNT
        self.write_servers(0.0)
        self.write_routes()
        gevent.sleep(COPY_AGE_S)
        self.standin.faults = {"down": True}
        gevent.sleep(AWAY_S)
        self.standin.restore(copy)
        self.standin.faults = {}
        gevent.spawn(self.write_servers, HEARTBEAT_S)
        self.write_routes()
        return time.time()


def play(gateways_count: int) -> Restore:
    """Lets a fleet go through one restore."""
    logger.remove()
    played = FleetStore()
    rng = random.SystemRandom()
    net = f"127.{rng.randint(1, 254)}"
    workers = start_workers(played.standin.port, net, gateways_count)
    try:
        gevent.sleep(SETTLED_S)
        counted = gevent.spawn(_count_calls, played)
        gevent.sleep(WATCHED_S)
        idle_count = len(played.standin.calls) - counted.get(timeout=1.0)
        returned_s = played.restore()
        before_count = len(played.standin.calls)
        by_second = gevent.spawn(_calls_by_second, played, before_count)
        registered_s = _await_registered(played, gateways_count)
        told = [_read_told(worker) for worker in workers]
        counts = by_second.get()
        return Restore(
            gateways_count,
            round(max(one["noticed"] for one in told) - returned_s, 2),
            round(max(one["read"] for one in told) - returned_s, 2),
            round(registered_s - returned_s, 2),
            sum(map(sum, counts)),
            idle_count,
            max(reads for reads, _ in counts),
            max(writes for _, writes in counts),
        )
    finally:
        for worker in workers:
            worker.kill()
            worker.wait()
        played.close()


def start_workers(store_port: int, net: str, gateways_count: int) -> list[Any]:
    """Starts gateways, some in each process.

    Args:
        store_port: Port of the store.
        net: First two numbers of the gateways' addresses.
        gateways_count: How many.
    """
    return [
        _start_worker(store_port, net, first, gateways_count)
        for first in range(0, gateways_count, _GATEWAYS_PER_PROCESS)
    ]


def _start_worker(
    store_port: int, net: str, first: int, gateways_count: int
) -> Any:
    last = min(first + _GATEWAYS_PER_PROCESS, gateways_count)
    arguments = ["--worker", f"{store_port},{net},{first},{last}"]
    return subprocess.Popen(
        [sys.executable, "-m", "bench.store_restores", *arguments],
        stdout=subprocess.PIPE,
        text=True,
    )


def _read_told(worker: Any) -> dict[str, float]:
    pool = gevent.get_hub().threadpool
    line = pool.apply(worker.stdout.readline)
    while line == "started\n":
        line = pool.apply(worker.stdout.readline)
    return dict(json.loads(line))


def _count_calls(played: FleetStore) -> int:
    return len(played.standin.calls)


def _calls_by_second(
    played: FleetStore, before_count: int
) -> list[tuple[int, int]]:
    """Returns the reads and the writes of each second from now on."""
    counts = []
    for _ in range(int(WATCHED_S)):
        gevent.sleep(1.0)
        calls = played.standin.calls[before_count:]
        before_count += len(calls)
        writes_count = sum(_is_write(*call) for call in calls)
        counts.append((len(calls) - writes_count, writes_count))
    return counts


def _is_write(method: str, path: str) -> bool:
    return method != "GET" and not path.startswith("/kv-keep")


def _await_registered(played: FleetStore, gateways_count: int) -> float:
    while played.registered_count() < gateways_count:
        gevent.sleep(_LOOK_S)
    return time.time()


def main() -> None:
    """Prints one line a size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default=",".join(map(str, SIZES)))
    parser.add_argument("--worker", help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    if arguments.worker:
        logger.remove()
        port, net, first, last = arguments.worker.split(",")
        _work(int(port), net, range(int(first), int(last)))
        return
    found = [play(int(size)) for size in arguments.sizes.split(",")]
    for restore in found:
        print(
            f"{restore.gateways_count} gateways: noticed {restore.noticed_s} s,"
            f" read {restore.read_s} s, registered {restore.registered_s} s;"
            f" {restore.calls_count} calls in {WATCHED_S:.0f} s"
            f" ({restore.idle_calls_count} idle), at most"
            f" {restore.reads_per_s} reads and {restore.writes_per_s} writes"
            " in one second",
            flush=True,
        )
    print(json.dumps([restore._asdict() for restore in found]))


if __name__ == "__main__":
    from gevent import monkey

    monkey.patch_all()
    main()
