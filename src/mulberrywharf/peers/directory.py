"""Which gateways there are, by the keys that they hold in the store."""

import gevent
import gevent.event
from loguru import logger
from result import Err

from mulberrywharf import errors, fleet, metrics
from mulberrywharf.platform_service import (
    http_calls,
    key_value,
    key_value_types,
    lease,
    watch,
)

PURPOSE = "peers"
KEY_PREFIX = "mulberrywharf/gateways/"
LEASE_TTL_S = 12.0
"""A gateway that is gone is told of work for so long at most. Each renewal is
a call that is paid for; a third of this makes two a second for nine nodes."""

_RETRY_BASE_S = 1.0
_RETRY_LIMIT_S = 8.0

_peers_gauge = metrics.gauge(
    "mulberry_peers_count", "Other gateways that this one knows."
)


class PeerDirectory:
    """Registers this gateway and follows the others.

    Peers stay known while the store is away: they are told of work by
    datagrams, which a gateway that is gone does not miss.
    """

    def __init__(
        self,
        client: key_value.KeyValueClient,
        vm_id: str,
        own_address: fleet.Address,
        incarnation: str,
    ):
        self._client = client
        self._own_key = f"{KEY_PREFIX}{vm_id}/{incarnation}"
        self._own_address = own_address
        self._by_key: dict[str, fleet.Address] = {}
        self._watch: watch.Watch | None = None
        self._lease: lease.LeaseHolder | None = None
        self._registering: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begins to register and to follow."""
        self._watch = self._client.watch(
            KEY_PREFIX, self._on_event, purpose=PURPOSE
        )
        self._registering = gevent.spawn(self._keep_registered)

    def close(self) -> None:
        """Takes this gateway out of the directory."""
        if self._watch is not None:
            self._watch.close()
        if self._registering is not None:
            self._registering.kill()
        if self._lease is not None:
            self._lease.close()

    def addresses(self) -> tuple[fleet.Address, ...]:
        """Returns where the other gateways take notices."""
        return tuple(self._by_key.values())

    def knows(self, ip: str) -> bool:
        """Tells whether a gateway has this address."""
        return any(address.ip == ip for address in self._by_key.values())

    def _keep_registered(self) -> None:
        failures_count = 0
        while True:
            lost = gevent.event.Event()
            failed = self._register(lost)
            if failed is None:
                failures_count = 0
                lost.wait()
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
        created = held.create_key(
            self._own_key, str(self._own_address).encode()
        )
        if isinstance(created, Err):
            held.close()
            return created.err_value
        logger.bind(key=self._own_key).info("registered")
        return None

    def _on_event(self, event: key_value_types.WatchEvent) -> None:
        key = event.key_value.key
        if key == self._own_key:
            return
        if event.kind == "delete":
            self._by_key.pop(key, None)
        else:
            ip, _, port = event.key_value.value.decode().rpartition(":")
            self._by_key[key] = fleet.Address(ip, int(port))
        _peers_gauge.set({}, len(self._by_key))
        logger.bind(
            key=key, revision=event.key_value.mod_revision, kind=event.kind
        ).info("peers changed, {} known", len(self._by_key))
