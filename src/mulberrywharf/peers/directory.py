"""Which gateways there are, by the keys that they hold in the store."""

import heapq
import ipaddress
import random
import time
from typing import NamedTuple

import gevent
import gevent.event
import xxhash
from loguru import logger
from result import Err

from mulberrywharf import errors, fleet, metrics
from mulberrywharf.platform_service import (
    http_calls,
    key_value,
    lease,
)

PURPOSE = "peers"
KEY_PREFIX = "mulberrywharf/gateways/"
LEASE_TTL_S = 6.0
"""A gateway that is gone is told of work, and counted, for so long at most.
Renewals come at a third of it, 4.5 a second for nine nodes; each costs a tenth
of a read."""

READ_INTERVAL_S = 5.0
"""Between readings, each of which may be stale and costs a tenth. A watch would
bring each registration to each gateway: with it 80 gateways sent 6,476 calls in
their first 31 s, with this 6,052."""

READERS_COUNT = 2
"""Gateways among those that tell each other whose watches are never left
waiting for long; the others wait while they hear from one of them. With one,
its restart would send all the others to the store."""

FIRST_READ_S = 1.5
"""After the start: all start together, and have registered by then."""

TOLD_LIMIT_COUNT = 20
"""Gateways up to which all are told of all work. Beyond it those in an engine's
availability zone are told of work that it gets: a notice to each of 80 would
cost five times what a node may send."""

RESTORED_HOLD_S = 12.0
"""Gateways that the store lost when it came back from an older copy stay known
so long: they notice within a renewal, register again within some seconds, and
are read with the next look."""

REMOVED_PEER_TIMEOUT_S = 30.0
"""How long datagrams are exchanged with a gateway after its key is removed. It
may still be serving if the store rejected its renewals."""

_OWNERS_LIMIT_COUNT = 5_000
"""Owners of queues that are remembered. A prompt asks for those of all engines,
and choosing one hashes all gateways of a zone. Engines come and go, so there
are more than the fleet has."""

_PORT_LIMIT = 65_535
_RETRY_BASE_S = 1.0
_RETRY_LIMIT_S = 8.0

_peers_gauge = metrics.gauge(
    "mulberry_peers_count", "Other gateways that this one knows."
)


class _Registration(NamedTuple):
    """The key of one gateway, where it takes notices, and where it stands."""

    key: str
    address: fleet.Address
    availability_zone: str


class PeerDirectory:
    """Registers this gateway and follows the others.

    A VM counts once, by its newest key. Its key of before a restart stays in
    the store until the lease lapses; counted beside the new one, it made
    gateways believe in twice the traffic after a restart of all, and refuse
    half of their callers while engines were idle.

    Peers stay known while the store is away: they are told of work by
    datagrams, which a gateway that is gone does not miss.
    """

    def __init__(
        self,
        client: key_value.KeyValueClient,
        vm_id: str,
        own_address: fleet.Address,
        availability_zone: str,
        incarnation: str,
    ):
        self._client = client
        self._incarnation = incarnation
        self._registrations_count = 0
        self._is_registered = False
        self._own_value = f"{own_address}/{availability_zone}".encode()
        self._availability_zone = availability_zone
        self._own_vm_id = vm_id
        self._by_vm: dict[str, _Registration] = {}
        self._removed_peers: dict[fleet.Address, float] = {}
        self._owners: dict[tuple[int, str, int, str], fleet.Address | None] = {}
        self._following: gevent.Greenlet | None = None
        self._lease: lease.LeaseHolder | None = None
        self._registering: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begins to register and to follow."""
        self._following = gevent.spawn(self._follow)
        self._registering = gevent.spawn(self._keep_registered)

    def close(self) -> None:
        """Takes this gateway out of the directory."""
        for task in (self._following, self._registering):
            if task is not None:
                task.kill()
        if self._lease is not None:
            self._lease.close()

    @property
    def gateways_count(self) -> int:
        """All gateways, this one included."""
        return 1 + len(self._by_vm)

    @property
    def is_registered(self) -> bool:
        """Whether the others can know of this gateway, and tell it of work."""
        return self._is_registered

    @property
    def is_reader(self) -> bool:
        """Whether this gateway reads the store on behalf of its neighbours.

        All of them choose the same ones by hashing, without a message. Where
        they know of different gateways more than the usual number may read.
        """
        return self._own_vm_id in self._reader_ids()

    def reader_addresses(self) -> tuple[fleet.Address, ...]:
        """Returns the datagram addresses of the other readers in the zone."""
        return tuple(
            self._by_vm[vm_id].address
            for vm_id in self._reader_ids()
            if vm_id != self._own_vm_id
        )

    def _reader_ids(self) -> list[str]:
        told = {
            vm_id
            for vm_id, found in self._by_vm.items()
            if self._tells(found, self._availability_zone)
        }
        ranked = sorted({*told, self._own_vm_id}, key=_vm_rank)
        return ranked[:READERS_COUNT]

    def addresses(self, availability_zone: str) -> tuple[fleet.Address, ...]:
        """Returns where the gateways take notices of a zone's engines."""
        return tuple(
            found.address
            for found in self._by_vm.values()
            if self._tells(found, availability_zone)
        )

    def all_addresses(self) -> tuple[fleet.Address, ...]:
        """Returns where all other gateways take datagrams."""
        return tuple(found.address for found in self._by_vm.values())

    def recent_addresses(self) -> tuple[fleet.Address, ...]:
        """Returns the addresses of current and recently removed gateways.

        A gateway whose renewals the store rejects loses its key but keeps
        serving.
        """
        self._expire_removed_peers()
        return (*self.all_addresses(), *self._removed_peers)

    def _expire_removed_peers(self) -> None:
        now_s = time.monotonic()
        known = set(self.all_addresses())
        self._removed_peers = {
            address: removed_s
            for address, removed_s in self._removed_peers.items()
            if now_s - removed_s < REMOVED_PEER_TIMEOUT_S
            and address not in known
        }

    def one_of_each_other_zone(self) -> tuple[fleet.Address, ...]:
        """Returns one gateway of each zone that hears nothing of this one's.

        Drawn anew each time, so that all are told in turn. None where all are
        told of all work.
        """
        by_zone: dict[str, list[fleet.Address]] = {}
        for found in self._by_vm.values():
            if not self._tells(found, self._availability_zone):
                of_zone = by_zone.setdefault(found.availability_zone, [])
                of_zone.append(found.address)
        return tuple(random.choice(known) for known in by_zone.values())

    @property
    def tells_all(self) -> bool:
        """Whether all gateways are told of all work."""
        return len(self._by_vm) <= TOLD_LIMIT_COUNT

    def hears_of(self, availability_zone: str) -> bool:
        """Tells whether this gateway hears of all work at a zone's engines."""
        return self.tells_all or availability_zone == self._availability_zone

    def owner(
        self,
        engine_key: int,
        availability_zone: str,
        owners_count: int,
        kind: str,
    ) -> fleet.Address | None:
        """Returns who keeps the queue of an engine, None for this gateway.

        It is one of the engine's availability zone, so that a cut between
        zones leaves engine and owner together. Where none is known there each
        gateway goes by its own placements. Gateways that know of different
        ones may choose differently.

        Args:
            engine_key: See ``codec.key_of_server``.
            availability_zone: Where the engine stands.
            owners_count: Gateways of the zone that share its engines of the
                kind.
            kind: Of the engine; each is kept by other gateways.
        """
        wanted = engine_key, availability_zone, owners_count, kind
        if wanted not in self._owners:
            if len(self._owners) >= _OWNERS_LIMIT_COUNT:
                self._owners.clear()
            self._owners[wanted] = self._choose_owner(*wanted)
        return self._owners[wanted]

    def _choose_owner(
        self,
        engine_key: int,
        availability_zone: str,
        owners_count: int,
        kind: str,
    ) -> fleet.Address | None:
        among: dict[str, fleet.Address | None] = {
            vm_id: found.address
            for vm_id, found in self._by_vm.items()
            if found.availability_zone == availability_zone
        }
        if availability_zone == self._availability_zone:
            among[self._own_vm_id] = None
        if not among:
            return None
        owner_ids = heapq.nsmallest(
            owners_count, among, key=lambda vm_id: _vm_rank(f"{kind}/{vm_id}")
        )
        owner_id = max(
            owner_ids,
            key=lambda vm_id: xxhash.xxh3_64_intdigest(
                vm_id.encode(), seed=engine_key
            ),
        )
        return among[owner_id]

    def knows(self, ip: str) -> bool:
        """Tells whether a gateway has this address."""
        return any(
            found.address.ip == ip for found in self._by_vm.values()
        ) or any(address.ip == ip for address in self._removed_peers)

    def _tells(self, found: _Registration, availability_zone: str) -> bool:
        """Tells whether a gateway is told of work at a zone's engines."""
        return self.tells_all or found.availability_zone == availability_zone

    def _keep_registered(self) -> None:
        failures_count = 0
        while True:
            lost = gevent.event.Event()
            failed = self._register(lost)
            if failed is None:
                failures_count = 0
                self._is_registered = True
                lost.wait()
                self._is_registered = False
            else:
                failures_count += 1
                logger.warning("not registered: {}", failed.message)
            gevent.sleep(
                http_calls.full_jitter_s(
                    failures_count,
                    base_s=_RETRY_BASE_S,
                    limit_s=_RETRY_LIMIT_S,
                )
            )

    def _register(
        self, lost: gevent.event.Event
    ) -> errors.PlatformError | None:
        held = lease.LeaseHolder(
            self._client,
            ttl_s=LEASE_TTL_S,
            purpose=PURPOSE,
            on_lost=lambda _: lost.set(),
        )
        started = held.start()
        if isinstance(started, Err):
            return started.err_value
        self._lease = held
        # Where a renewal failed the key of before may still be there, under
        # a lease that has yet to lapse; a new key waits for nobody.
        self._registrations_count += 1
        key = (
            f"{KEY_PREFIX}{self._own_vm_id}/"
            f"{self._incarnation}-{self._registrations_count}"
        )
        created = held.create_key(key, self._own_value)
        if isinstance(created, Err):
            held.close()
            return created.err_value
        logger.bind(key=key).info("registered")
        return None

    def _follow(self) -> None:
        pause_s = FIRST_READ_S
        while True:
            gevent.sleep(pause_s * random.uniform(0.8, 1.2))
            read = self._client.get_prefix_stale(KEY_PREFIX, purpose=PURPOSE)
            if isinstance(read, Err):
                logger.info("peers not read: {}", read.err_value.message)
            else:
                self._take(read.ok_value)
            pause_s = READ_INTERVAL_S

    def _take(self, found: list[key_value.KeyValue]) -> None:
        by_vm: dict[str, _Registration] = {}
        for kv in sorted(found, key=lambda one: one.create_revision):
            vm_id = kv.key.removeprefix(KEY_PREFIX).rpartition("/")[0]
            registration = _registration(kv)
            if vm_id and vm_id != self._own_vm_id and registration is not None:
                by_vm[vm_id] = registration
        if self._client.restored_age_s() < RESTORED_HOLD_S:
            # Their keys went with their leases. Without them this gateway
            # would take itself for the only one, and all repeats and all
            # traffic for its own.
            by_vm = {**self._by_vm, **by_vm}
        if by_vm == self._by_vm:
            return
        removed_s = time.monotonic()
        self._removed_peers.update(
            dict.fromkeys(
                (one.address for one in self._by_vm.values()), removed_s
            )
        )
        self._by_vm = by_vm
        self._expire_removed_peers()
        self._owners.clear()
        _peers_gauge.set({}, len(by_vm))
        logger.bind(peers=sorted(by_vm)).info(
            "peers changed, {} known", len(by_vm)
        )


def _vm_rank(vm_id: str) -> int:
    return xxhash.xxh3_64_intdigest(vm_id.encode())


def _registration(found: key_value.KeyValue) -> _Registration | None:
    """Reads the value of a key, None if another program wrote it.

    Raised from here, it would end the task that follows the other gateways:
    this one would count on nobody, and nothing would show it.
    """
    try:
        address, _, zone = found.value.decode().partition("/")
        ip, _, port = address.rpartition(":")
        ipaddress.IPv4Address(ip)
        number = int(port)
    except ValueError as error:
        logger.debug("{} names no gateway: {}", found.key, error)
        return None
    if not zone or not 0 < number <= _PORT_LIMIT:
        return None
    return _Registration(found.key, fleet.Address(ip, number), zone)
