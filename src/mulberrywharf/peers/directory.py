"""Registers this gateway in the key-value service and finds the others."""

import heapq
import ipaddress
import random
import secrets
import time
from collections.abc import Callable, Collection
from typing import NamedTuple

import gevent
import gevent.event
import xxhash
from loguru import logger
from result import Err

from mulberrywharf import (
    clock,
    errors,
    fleet,
    limit_claims,
    metrics,
    supervised_task,
)
from mulberrywharf.platform_service import (
    http_calls,
    key_value,
    lease,
)
from mulberrywharf.policy import (
    allowance_shares,
    gateway_ranks,
    helpers,
    stream_keepers,
)

PURPOSE = "peers"
KEY_PREFIX = "mulberrywharf/gateways/"
LEASE_TTL_S = allowance_shares.LEASE_TTL_S
"""Limits how long a stopped gateway is still counted and still receives
notices. Leases are renewed after a third of this time: 4.5 renewals per second
for nine gateways, each at a tenth of the cost of a read."""

READ_INTERVAL_S = 5.0
"""Interval between reads of all registrations. These reads accept stale results
and so cost a tenth of a regular one. A watch would deliver each registration to
each gateway: with a watch, 80 gateways sent 6,476 calls in their first 31 s,
with these reads 6,052."""

READERS_COUNT = 2
"""Number of readers among gateways that exchange notices. A gateway that gets
no answer from the key-value service asks these for confirmations, and they are
candidates for duties."""

FIRST_READ_DELAY_S = 1.5
"""Delay of the first read after the start. Gateways that start together have
registered by then."""

FULL_MESH_LIMIT_COUNT = 20
"""Maximum number of other gateways for a full mesh, in which all work is
reported to all gateways. In larger fleets, work at an engine is reported only
to gateways in the engine's availability zone: notices to each of 80 gateways
would cost five times what a gateway may send."""

RESTORE_GRACE_S = 12.0
"""After the key-value service was restored from an older copy, known gateways
that are missing there are kept for this time. They notice the loss at their
next renewal, register again within seconds, and are found by the next read."""

REMOVED_PEER_TIMEOUT_S = 30.0
"""How long datagrams are exchanged with a gateway after its key is removed. It
may still be serving if the key-value service rejected its renewals."""

_OWNER_CACHE_LIMIT_COUNT = 5_000
"""Maximum number of cached queue owners. Each prompt needs the owners of all
engines, and choosing an owner hashes all gateways of a zone. Entries of
removed engines stay in the cache, so the limit exceeds the number of engines in
a fleet."""

TOKEN_BYTES = 16
"""Length of the random part of a registration's key. It is known to whoever may
read the registrations, and so proves to a gateway that a sender is another
one."""

_PORT_LIMIT = 65_535
_RETRY_BASE_S = 1.0
_RETRY_LIMIT_S = 8.0

_peers_gauge = metrics.gauge(
    "mulberry_peers_count", "Other gateways that this one knows."
)


class _Registration(NamedTuple):
    """Key, datagram address and availability zone of one gateway."""

    key: str
    address: fleet.Address
    availability_zone: str

    @property
    def value(self) -> bytes:
        """The value of the key."""
        return _registration_value(self.address, self.availability_zone)


class RankedGateway(NamedTuple):
    """A gateway that may handle a matter for all.

    Attributes:
        rank: Its rank, 0 for the gateway that handles the matter.
        address: Its datagram address, None for this gateway.
        is_settled: Whether every gateway knows the one of rank 0.
    """

    rank: int
    address: fleet.Address | None
    is_settled: bool


class PeerDirectory:
    """Registers this gateway and keeps a list of the others.

    Each VM counts once, by its newest registration. The registration from
    before a restart stays in the key-value service until its lease expires. If
    both were counted, each gateway would assume twice the real traffic after a
    restart of all gateways, and refuse half of its callers while engines are
    idle.

    Peers stay known while the key-value service is unavailable. Datagrams to a
    gateway that has stopped do no harm.
    """

    def __init__(
        self,
        client: key_value.KeyValueClient,
        vm_id: str,
        own_address: fleet.Address,
        availability_zone: str,
        incarnation: str,
        lease_clock: clock.Clock | None = None,
    ):
        """Creates it; ``start`` registers the gateway.

        Args:
            client: Client of the key-value service.
            vm_id: Name of this gateway.
            own_address: Its address for datagrams.
            availability_zone: Its availability zone.
            incarnation: Identifies this run of the gateway.
            lease_clock: Times the lease of the registration; by default one
                that goes on while the machine is suspended.
        """
        self._client = client
        self._lease_clock = lease_clock or clock.BootClock()
        self._incarnation = incarnation
        self._registrations_count = 0
        self._own_tokens: list[str] = []
        self._is_registered = False
        self._has_read = False
        self._own_value = _registration_value(own_address, availability_zone)
        self._availability_zone = availability_zone
        self._own_vm_id = vm_id
        self._peers_by_vm: dict[str, _Registration] = {}
        self._removed_peers: dict[fleet.Address, float] = {}
        self._owner_cache: dict[
            tuple[int, str, int, str], fleet.Address | None
        ] = {}
        self._zones_by_vm = {vm_id: availability_zone}
        self._ranks = gateway_ranks.GatewayRanks()
        self._address_by_vm: dict[str, fleet.Address] = {}
        self._poll_task: gevent.Greenlet | None = None
        self._lease: lease.LeaseHolder | None = None
        self._register_task: gevent.Greenlet | None = None
        self._on_read: Callable[[list[key_value.KeyValue]], None] | None = None
        self._on_registered: Callable[[], None] | None = None

    def start(self) -> None:
        """Starts registering this gateway and reading the others."""
        self._poll_task = supervised_task.spawn("directory", self._poll)
        self._register_task = supervised_task.spawn(
            "registration", self._keep_registered
        )

    def close(self) -> None:
        """Stops both tasks and removes the registration."""
        for task in (self._poll_task, self._register_task):
            if task is not None:
                task.kill()
        if self._lease is not None:
            self._lease.close()

    @property
    def gateways_count(self) -> int:
        """Number of all gateways, including this one."""
        return 1 + len(self._peers_by_vm)

    @property
    def has_read(self) -> bool:
        """Whether the registrations of the other gateways were read once."""
        return self._has_read

    def read_before_first(self) -> None:
        """Reads the registrations if that has not happened yet.

        Gateways that start together may not have registered by then, so
        ``has_read`` stays False until the first regular read.
        """
        if not self._has_read:
            self._read()

    @property
    def is_registered(self) -> bool:
        """Whether this gateway is registered, so that others can notify it."""
        return self._is_registered

    @property
    def own_lease(self) -> lease.LeaseHolder | None:
        """Lease of this gateway's registration, None without one."""
        return self._lease if self._is_registered else None

    @property
    def own_value(self) -> bytes:
        """Value of this gateway's registration."""
        return self._own_value

    def addresses_of(
        self, values: Collection[bytes]
    ) -> tuple[fleet.Address, ...]:
        """Returns the other gateways whose registration has a value."""
        return tuple(
            peer.address
            for peer in self._peers_by_vm.values()
            if peer.value in values
        )

    def on_read(
        self, callback: Callable[[list[key_value.KeyValue]], None]
    ) -> None:
        """Sets a function that gets all keys of each read."""
        self._on_read = callback

    def on_registered(self, callback: Callable[[], None]) -> None:
        """Sets a function that is called after each registration."""
        self._on_registered = callback

    @property
    def is_reader(self) -> bool:
        """Whether this gateway is one of the readers.

        All gateways select the same readers by hashing, without messages. If
        they know different gateways, more than the usual number may be readers.
        """
        return self._own_vm_id in self._reader_ids()

    def reader_addresses(self) -> tuple[fleet.Address, ...]:
        """Returns the datagram addresses of the other readers.

        Readers are chosen among the gateways that exchange notices with this
        one: all gateways in a full mesh, otherwise those in its zone.
        """
        return tuple(
            self._peers_by_vm[vm_id].address
            for vm_id in self._reader_ids()
            if vm_id != self._own_vm_id
        )

    def _reader_ids(self) -> list[str]:
        notified = {
            vm_id
            for vm_id, peer in self._peers_by_vm.items()
            if self._is_notified(peer, self._availability_zone)
        }
        ranked = sorted({*notified, self._own_vm_id}, key=_vm_rank)
        return ranked[:READERS_COUNT]

    def addresses(self, availability_zone: str) -> tuple[fleet.Address, ...]:
        """Returns the gateways that receive notices about a zone's engines."""
        return tuple(
            peer.address
            for peer in self._peers_by_vm.values()
            if self._is_notified(peer, availability_zone)
        )

    def all_addresses(self) -> tuple[fleet.Address, ...]:
        """Returns the datagram addresses of all other gateways."""
        return tuple(peer.address for peer in self._peers_by_vm.values())

    def other_zone_addresses(self) -> dict[str, tuple[fleet.Address, ...]]:
        """Returns the datagram addresses of the gateways of each other zone."""
        by_zone: dict[str, tuple[fleet.Address, ...]] = {}
        for peer in self._peers_by_vm.values():
            zone = peer.availability_zone
            if zone != self._availability_zone:
                by_zone[zone] = (*by_zone.get(zone, ()), peer.address)
        return by_zone

    def stream_fleet(self) -> stream_keepers.Fleet:
        """Returns all known gateways, this one included."""
        return stream_keepers.Fleet(self._zones_by_vm, self._own_vm_id)

    def address_of(self, vm_id: str) -> fleet.Address | None:
        """Returns the address of another gateway, None if there is none."""
        peer = self._peers_by_vm.get(vm_id)
        return peer.address if peer is not None else None

    def zones(self) -> helpers.Zones:
        """Returns the addresses of the other gateways by closeness."""
        own: list[fleet.Address] = []
        others: list[fleet.Address] = []
        for peer in self._peers_by_vm.values():
            is_own = peer.availability_zone == self._availability_zone
            (own if is_own else others).append(peer.address)
        return helpers.Zones(own, others)

    def token(self, address: fleet.Address) -> str | None:
        """Returns the token of a gateway, None if it is not registered.

        See ``TOKEN_BYTES``.
        """
        for peer in self._peers_by_vm.values():
            if peer.address == address:
                return peer.key.rpartition("/")[2]
        return None

    def is_own_token(self, token: str) -> bool:
        """Tells whether a token is one of this gateway's registrations."""
        return any(
            secrets.compare_digest(token.encode(), own.encode())
            for own in self._own_tokens
        )

    def recent_addresses(self) -> tuple[fleet.Address, ...]:
        """Returns the addresses of current and recently removed gateways.

        A gateway whose renewals the key-value service rejects loses its key but
        keeps serving.
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

    def pick_gateway_per_other_zone(self) -> tuple[fleet.Address, ...]:
        """Returns one gateway of each other zone, none in a full mesh.

        Gateways in other zones get no notices about the engines of this zone.
        Picks at random on each call, so that over time every gateway is
        reached.
        """
        by_zone: dict[str, list[fleet.Address]] = {}
        for peer in self._peers_by_vm.values():
            if not self._is_notified(peer, self._availability_zone):
                in_zone = by_zone.setdefault(peer.availability_zone, [])
                in_zone.append(peer.address)
        return tuple(random.choice(addresses) for addresses in by_zone.values())

    @property
    def is_full_mesh(self) -> bool:
        """Whether all work is reported to all gateways (a full mesh)."""
        return len(self._peers_by_vm) <= FULL_MESH_LIMIT_COUNT

    def receives_notices_for(self, availability_zone: str) -> bool:
        """Returns whether all work at a zone's engines is reported here."""
        return self.is_full_mesh or availability_zone == self._availability_zone

    def queue_owner(
        self,
        engine_key: int,
        availability_zone: str,
        owners_count: int,
        role: str,
    ) -> fleet.Address | None:
        """Returns the owner of an engine's queue, None for this gateway.

        The owner is in the engine's availability zone, so that a network
        partition between zones does not separate them. If no gateway is known
        there, each gateway relies on its own placements. Gateways that know
        different peers may choose different owners.

        Args:
            engine_key: Key of the engine, see
                ``notice_codec.hash_server_start``.
            availability_zone: Zone of the engine.
            owners_count: Number of gateways in the zone that share the queues
                of its engines of this role.
            role: Role of the engine; each role has its own owners.
        """
        cache_key = engine_key, availability_zone, owners_count, role
        if cache_key not in self._owner_cache:
            if len(self._owner_cache) >= _OWNER_CACHE_LIMIT_COUNT:
                self._owner_cache.clear()
            self._owner_cache[cache_key] = self._choose_owner(*cache_key)
        return self._owner_cache[cache_key]

    def _choose_owner(
        self,
        engine_key: int,
        availability_zone: str,
        owners_count: int,
        role: str,
    ) -> fleet.Address | None:
        candidates: dict[str, fleet.Address | None] = {
            vm_id: peer.address
            for vm_id, peer in self._peers_by_vm.items()
            if peer.availability_zone == availability_zone
        }
        if availability_zone == self._availability_zone:
            candidates[self._own_vm_id] = None
        if not candidates:
            return None
        owner_ids = heapq.nsmallest(
            owners_count,
            candidates,
            key=lambda vm_id: _vm_rank(f"{role}/{vm_id}"),
        )
        [owner_id] = gateway_ranks.first_names(owner_ids, engine_key, 1)
        return candidates[owner_id]

    def limit_owners(
        self, server_key: int, availability_zone: str
    ) -> tuple[limit_claims.RankedOwner, ...]:
        """Returns the gateways that grant requests to a server, by rank.

        There are none until the registrations were read once: a gateway that
        knows no other one would grant itself the whole limit.

        Args:
            server_key: Key of the server, see
                ``notice_codec.hash_server_start``.
            availability_zone: Zone of the server.
        """
        return tuple(
            limit_claims.RankedOwner(*ranked)
            for ranked in self._ranked(server_key, availability_zone)
        )

    def ranked_gateways(
        self, matter: str, key: int, availability_zone: str
    ) -> tuple[RankedGateway, ...]:
        """Returns the gateways that handle a matter for all, by rank.

        There are none until the registrations were read once.

        Args:
            matter: Name of the kind of matter.
            key: Identifies what it concerns, such as the hash of a server.
            availability_zone: Zone whose gateways come first.
        """
        return self._ranked(
            gateway_ranks.matter_key(matter, key), availability_zone
        )

    def _ranked(
        self, key: int, availability_zone: str
    ) -> tuple[RankedGateway, ...]:
        now_s = time.monotonic()
        is_settled = self._ranks.is_settled(key, availability_zone, now_s)
        vm_ids = self._ranks.ranked(key, availability_zone, now_s)
        return tuple(
            RankedGateway(rank, self._address_by_vm.get(vm_id), is_settled)
            for rank, vm_id in enumerate(vm_ids)
        )

    def knows(self, ip: str) -> bool:
        """Returns whether a current or recently removed gateway has this IP."""
        return any(
            peer.address.ip == ip for peer in self._peers_by_vm.values()
        ) or any(address.ip == ip for address in self._removed_peers)

    def _is_notified(self, peer: _Registration, availability_zone: str) -> bool:
        """Returns whether a gateway gets notices about a zone's engines."""
        return self.is_full_mesh or peer.availability_zone == availability_zone

    def _keep_registered(self) -> None:
        failures_count = 0
        while True:
            lost = gevent.event.Event()
            failed = self._register(lost)
            if failed is None:
                failures_count = 0
                self._is_registered = True
                if self._on_registered is not None:
                    self._on_registered()
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
        holder = lease.LeaseHolder(
            self._client,
            ttl_s=LEASE_TTL_S,
            purpose=PURPOSE,
            on_lost=lambda _: lost.set(),
            system_clock=self._lease_clock,
        )
        started = holder.start()
        if isinstance(started, Err):
            return started.err_value
        self._lease = holder
        # After a failed renewal, the previous key may still exist under a lease
        # that has not yet expired. A new key name can be created at once.
        self._registrations_count += 1
        token = (
            f"{self._incarnation}-{self._registrations_count}-"
            f"{secrets.token_hex(TOKEN_BYTES)}"
        )
        self._own_tokens.append(token)
        key = f"{KEY_PREFIX}{self._own_vm_id}/{token}"
        created = holder.create_key(key, self._own_value)
        if isinstance(created, Err):
            holder.close()
            return created.err_value
        logger.bind(key=key).info("registered")
        return None

    def _poll(self) -> None:
        pause_s = FIRST_READ_DELAY_S
        while True:
            gevent.sleep(pause_s * random.uniform(0.8, 1.2))
            read = self._read()
            if read is not None:
                self._has_read = True
                if self._on_read is not None:
                    self._on_read(read)
            pause_s = READ_INTERVAL_S

    def _read(self) -> list[key_value.KeyValue] | None:
        read = self._client.get_prefix_stale(KEY_PREFIX, purpose=PURPOSE)
        if isinstance(read, Err):
            logger.info(
                "cannot read the registered gateways: {}",
                read.err_value.message,
            )
            return None
        self._update_peers(read.ok_value)
        return read.ok_value

    def _rank_gateways(self, by_vm: dict[str, _Registration]) -> None:
        zones_by_vm = {self._own_vm_id: self._availability_zone}
        for vm_id, registration in by_vm.items():
            zones_by_vm[vm_id] = registration.availability_zone
            self._address_by_vm[vm_id] = registration.address
        self._ranks.note_listed(zones_by_vm, time.monotonic())
        self._zones_by_vm = zones_by_vm

    def _update_peers(self, records: list[key_value.KeyValue]) -> None:
        by_vm: dict[str, _Registration] = {}
        for kv in sorted(records, key=lambda one: one.create_revision):
            vm_id = kv.key.removeprefix(KEY_PREFIX).rpartition("/")[0]
            registration = _parse_registration(kv)
            if vm_id and vm_id != self._own_vm_id and registration is not None:
                by_vm[vm_id] = registration
        if self._client.restored_age_s() < RESTORE_GRACE_S:
            # The restore removed the keys of other gateways with their leases.
            # Without them, this gateway would assume that it is the only one
            # and claim all retries and all traffic for itself.
            by_vm = {**self._peers_by_vm, **by_vm}
        self._rank_gateways(by_vm)
        if by_vm == self._peers_by_vm:
            return
        removed_s = time.monotonic()
        self._removed_peers.update(
            dict.fromkeys(
                (one.address for one in self._peers_by_vm.values()), removed_s
            )
        )
        self._peers_by_vm = by_vm
        self._expire_removed_peers()
        self._owner_cache.clear()
        _peers_gauge.set({}, len(by_vm))
        logger.bind(peers=sorted(by_vm)).info(
            "peers changed, {} known", len(by_vm)
        )


def _registration_value(
    address: fleet.Address, availability_zone: str
) -> bytes:
    return f"{address}/{availability_zone}".encode()


def _vm_rank(vm_id: str) -> int:
    return xxhash.xxh3_64_intdigest(vm_id.encode())


def _parse_registration(record: key_value.KeyValue) -> _Registration | None:
    """Parses a registration; returns None if another program wrote the key.

    An exception would end the task that reads the registrations. This gateway
    would then know no peers, without any sign of the fault.
    """
    try:
        address, _, zone = record.value.decode().partition("/")
        ip, _, port = address.rpartition(":")
        ipaddress.IPv4Address(ip)
        number = int(port)
    except ValueError as error:
        logger.debug("{} is not a gateway registration: {}", record.key, error)
        return None
    if not zone or not 0 < number <= _PORT_LIMIT:
        return None
    return _Registration(record.key, fleet.Address(ip, number), zone)
