"""Ownership keys of claim shards and the lease that they are attached to."""

import ipaddress
import json
import re
from collections.abc import Iterable, Iterator

import orjson
from loguru import logger
from result import Err, Ok, Result

from mulberrywharf import errors, fleet
from mulberrywharf.nodes import claim_log, claims
from mulberrywharf.platform_service import key_value

PURPOSE_OWNER = "claim-owner"
PURPOSE_LEASE = "claim-lease"

_SHARD_NUMBER = re.compile(r"[0-9]{4}")
_PORT_LIMIT = 65_535


class OwnershipKeys:
    """This process's lease and its ownership keys."""

    def __init__(
        self,
        store: claim_log.KeyValue,
        deployment: str,
        own_vm: fleet.VmRecord,
        lease_ttl_s: float,
    ):
        self._store = store
        self._deployment = deployment
        self._own_vm = own_vm
        self._lease_ttl_s = lease_ttl_s
        self._lease_id = 0

    def is_own(self, owned: key_value.KeyValue) -> bool:
        """Returns whether an ownership key has this process's lease."""
        return owned.lease_id == self._lease_id

    def renew(self) -> bool:
        """Renews the lease, if any; returns False if it has expired."""
        if not self._lease_id:
            return True
        renewed = self._store.keep_alive(self._lease_id, purpose=PURPOSE_LEASE)
        # While the key-value service is unavailable, the shards are kept:
        # commits fail anyway, and if the service returns before the lease
        # expires, no shard has to change its owner.
        if isinstance(renewed, Ok) or not isinstance(
            renewed.err_value, errors.AuthorityLostError
        ):
            return True
        logger.warning("the lease on claim shards expired")
        self._lease_id = 0
        return False

    def revoke(self) -> None:
        """Revokes the lease, which deletes all remaining ownership keys."""
        if self._lease_id:
            self._store.revoke(self._lease_id, purpose=PURPOSE_LEASE)
            self._lease_id = 0

    def read(
        self,
    ) -> Result[dict[int, key_value.KeyValue], errors.PlatformError]:
        """Reads the ownership keys of all processes, by shard number."""
        found = self._store.get_prefix(
            claims.owners_prefix(self._deployment), purpose=PURPOSE_OWNER
        )
        return found.map(
            lambda keys: {
                shard: kv
                for kv in keys
                if (shard := shard_number(kv.key)) is not None
            }
        )

    def acquire(self, shard: int) -> int | None:
        """Makes this process the owner of a shard that has none.

        Returns:
            The revision of the ownership key, or None if another process owns
            the shard or the key-value service did not respond.
        """
        if not self._ensure_lease():
            return None
        key = claims.owner_key(self._deployment, shard)
        created = self._create(key)
        if isinstance(created, Err):
            return None
        return created.ok_value.mod_revision

    def delete(self, shard: int, mod_revision: int) -> None:
        """Deletes an ownership key if it is unchanged since ``acquire``."""
        self._store.delete(
            claims.owner_key(self._deployment, shard),
            expected_revision=mod_revision,
            purpose=PURPOSE_OWNER,
        )

    def _ensure_lease(self) -> bool:
        if self._lease_id:
            return True
        granted = self._store.grant_lease(
            self._lease_ttl_s, purpose=PURPOSE_LEASE
        )
        if isinstance(granted, Err):
            return False
        self._lease_id = granted.ok_value
        return True

    def _create(
        self, key: str
    ) -> Result[key_value.KeyValue, errors.PlatformError]:
        value = self._value()
        created = self._store.compare_and_swap(
            key,
            value,
            expected_revision=0,
            lease_id=self._lease_id,
            purpose=PURPOSE_OWNER,
        )
        if isinstance(created, Ok):
            return created
        # The key may have been written although the response was lost, now or
        # in an earlier attempt. The value contains this process's lease id, so
        # an equal value proves ownership.
        found = self._store.get(key, purpose=PURPOSE_OWNER)
        if isinstance(found, Err) or found.ok_value is None:
            return created
        if found.ok_value.value != value:
            return created
        return Ok(found.ok_value)

    def _value(self) -> bytes:
        return json.dumps(
            {
                "vm_id": self._own_vm.vm_id,
                "ip": self._own_vm.address.ip,
                "port": self._own_vm.address.port,
                "lease_id": str(self._lease_id),
            }
        ).encode()


def owner_addresses(
    records: Iterable[key_value.KeyValue],
) -> Iterator[tuple[int, fleet.Address]]:
    """Yields the owners' addresses for other nodes, by shard number.

    Keys and values of other programs are skipped.
    """
    for record in records:
        shard = shard_number(record.key)
        try:
            fields = orjson.loads(record.value)
            ip, port = str(ipaddress.ip_address(fields["ip"])), fields["port"]
        except (KeyError, TypeError, ValueError):
            continue
        if shard is not None and type(port) is int and 0 < port <= _PORT_LIMIT:
            yield shard, fleet.Address(ip, port)


def shard_number(owner_key: str) -> int | None:
    """Returns the shard number in an ownership key, None if it has none."""
    number = owner_key.rsplit("/", 1)[1]
    return int(number) if _SHARD_NUMBER.fullmatch(number) else None
