"""Acquires claim shards, keeps them by a lease and hands them over.

One greenlet renews the lease, another scans for shards without an owner. The
rank of the VMs for a shard decides which node tries to acquire it first. This
spreads the shards, and few nodes spend key-value calls on scanning.
"""

from typing import Protocol

import gevent
import gevent.event
from result import Err

from mulberrywharf import clock, fleet, metrics, settings, supervised_task
from mulberrywharf.nodes import (
    claim_candidates,
    claim_log,
    claim_ownership,
    claim_shard,
    claims,
    links,
    messages,
    server,
)
from mulberrywharf.platform_service import call_budget, key_value

PURPOSE_BUDGETS = {
    claim_log.PURPOSE_COMMIT: call_budget.CallBudget(60.0, 120),
    claim_log.PURPOSE_READ: call_budget.CallBudget(20.0, 60),
    claim_ownership.PURPOSE_OWNER: call_budget.CallBudget(10.0, 60),
    # A separate budget, so that calls spent on scanning can never prevent the
    # renewal of the lease on the shards that this process owns.
    claim_ownership.PURPOSE_LEASE: call_budget.CallBudget(4.0, 20),
}
"""Call budgets of a router's key-value client for claims, by purpose."""

LEASE_TTL_S = 10.0
POLL_INTERVAL_S = 2.0

_RENEWALS_PER_TTL_COUNT = 3
_MAX_SCANS_PER_POLL_COUNT = 4
_FINISH_TIMEOUT_S = 5.0
_HANDOVER_CALL_TIMEOUT_S = 1.0
_HAND_OVER_ALL_TIMEOUT_S = 5.0

_shards_owned = metrics.gauge(
    "mulberry_claim_shards_owned_count",
    "Claim shards that this process owns.",
)


class VmList(Protocol):
    """The part of ``VmListReader`` that claims use."""

    def vms(self) -> list[fleet.VmRecord]:
        """Returns the most recently read VM list."""
        ...


class ClaimOwner:
    """The shards that this process owns."""

    def __init__(
        self,
        store: claim_log.KeyValue,
        vm_list: VmList,
        node_links: links.Links,
        own_vm: fleet.VmRecord,
        deployment: str,
        *,
        system_clock: clock.Clock | None = None,
        lease_ttl_s: float = LEASE_TTL_S,
        poll_interval_s: float = POLL_INTERVAL_S,
        shard_count: int = claims.SHARD_COUNT,
        window_s: float = claims.WINDOW_S,
    ):
        self._store = store
        self._vm_list = vm_list
        self._links = node_links
        self._own_vm = own_vm
        self._deployment = deployment
        self._clock = system_clock or clock.SystemClock()
        self._lease_ttl_s = lease_ttl_s
        self._poll_interval_s = poll_interval_s
        self._shard_count = shard_count
        self._window_s = window_s
        self._shards: dict[int, claim_shard.ClaimShard] = {}
        self._revisions: dict[int, int] = {}
        self._ownerless_since_s: dict[int, float] = {}
        self._ownership_keys = claim_ownership.OwnershipKeys(
            store, deployment, own_vm, lease_ttl_s
        )
        self._is_leaving = False
        self._tasks: list[gevent.Greenlet] = []
        self._requested_shards: set[int] = set()
        self._offered_shards: set[int] = set()
        self._scan_requested = gevent.event.Event()
        self._handover_received = gevent.event.Event()

    @classmethod
    def from_config(
        cls,
        config: settings.Settings,
        store: claim_log.KeyValue,
        vm_list: VmList,
        node_links: links.Links,
        node_server: server.NodeServer,
    ) -> "ClaimOwner":
        """Creates the owner from the settings.

        Args:
            config: Settings of the process.
            store: Client of the key-value service.
            vm_list: The VM list.
            node_links: Links to other nodes.
            node_server: Server for other nodes. It must listen already, so
                that its port is known. The claim handlers are registered on
                it.
        """
        own_vm = fleet.VmRecord(
            config["vm_id"],
            "entry",
            config["availability_zone"],
            fleet.Address(config["nodes"]["listen"]["ip"], node_server.port),
        )
        owner = cls(store, vm_list, node_links, own_vm, config["deployment"])
        owner.register(node_server)
        return owner

    def register(self, node_server: server.NodeServer) -> None:
        """Registers the handlers for claim messages of other nodes."""

        def handler(
            sender_vm_id: str, message: messages.Message
        ) -> messages.Message | None:
            return self.handle_message(sender_vm_id, message)

        for message_type in (
            messages.ClaimRequest,
            messages.ClaimComplete,
            messages.ClaimRelease,
            messages.ClaimWait,
            messages.ShardHandover,
        ):
            node_server.register(message_type, handler, may_wait=True)

    def start(self) -> None:
        """Starts to renew the lease and to scan for shards."""
        self._tasks = [
            # The next scan reads the shards that this process owns anew.
            supervised_task.spawn(
                "claim-lease", self._keep_lease, on_failure=self._close_shards
            ),
            supervised_task.spawn(
                "claim-scan",
                self._scan_repeatedly,
                on_failure=self._close_shards,
            ),
        ]

    def close(self) -> None:
        """Stops at once without a handover, like a crash.

        Other nodes can acquire the shards only after the lease has expired.
        """
        gevent.killall(self._tasks)
        self._tasks = []
        self._close_shards()

    def hand_over(self) -> None:
        """Hands over all shards to other nodes.

        Without a handover, a planned stop would leave the shards without an
        owner, and all their claims unavailable, until the lease expires.
        """
        self._is_leaving = True
        finishing = [
            gevent.spawn(shard.finish, _FINISH_TIMEOUT_S)
            for shard in self._shards.values()
        ]
        gevent.joinall(finishing)
        # Runs concurrently: while the key-value service is unavailable each
        # call runs into its timeouts, and sequential calls would delay the
        # stop.
        handing_over = [
            gevent.spawn(self._hand_over_shard, number)
            for number in self._shards
        ]
        gevent.joinall(handing_over, timeout=_HAND_OVER_ALL_TIMEOUT_S)
        self._ownership_keys.revoke()

    def owned_shards(self) -> list[int]:
        """Returns the numbers of the shards that this process owns."""
        return sorted(n for n, s in self._shards.items() if s.is_owner)

    def statistics(self) -> claim_shard.ShardStatistics:
        """Returns the sums of the owned shards' statistics."""
        each = [shard.statistics for shard in self._shards.values()]
        return claim_shard.ShardStatistics(
            sum(s.records_count for s in each),
            sum(s.commits_count for s in each),
        )

    def request_takeover(self, shard: int) -> None:
        """Requests that this node acquire a shard if it has no owner.

        Called when a request needs a shard whose owner is unknown. All
        candidates may be gone while the VM list still contains them; a node
        that needs the shard then acquires it although it is no candidate.
        """
        self._requested_shards.add(shard)
        self._scan_requested.set()

    def handle_message(
        self, sender_vm_id: str, message: messages.Message
    ) -> messages.ClaimReply | None:
        """Handles one claim message from another node or this one."""
        if isinstance(message, messages.ShardHandover):
            self._offered_shards.add(message.shard)
            self._handover_received.set()
            self._scan_requested.set()
            return messages.ClaimReply("accepted")
        if not isinstance(
            message,
            messages.ClaimRequest
            | messages.ClaimComplete
            | messages.ClaimRelease
            | messages.ClaimWait,
        ):
            return None
        number = claims.shard_of(message.claim_id, self._shard_count)
        shard = self._shards.get(number)
        if shard is None:
            return messages.ClaimReply("not-owner")
        if isinstance(message, messages.ClaimRequest):
            return shard.claim(sender_vm_id, message)
        if isinstance(message, messages.ClaimComplete):
            return shard.complete(message)
        if isinstance(message, messages.ClaimRelease):
            return shard.release(message)
        return shard.wait(message)

    def _keep_lease(self) -> None:
        while True:
            if not self._is_leaving and not self._ownership_keys.renew():
                self._close_shards()
            gevent.sleep(self._lease_ttl_s / _RENEWALS_PER_TTL_COUNT)

    def _scan_repeatedly(self) -> None:
        while True:
            if not self._is_leaving:
                self._scan()
            # Every request that waits for a shard requests a scan many times
            # per second. A scan for each would spend all calls on reads and
            # leave none to acquire the shards: claims would stay unavailable
            # after an outage of the key-value service has ended, with the
            # service's number of reads as the only symptom.
            pause_s = self._poll_interval_s / _MAX_SCANS_PER_POLL_COUNT
            self._handover_received.wait(pause_s)
            self._scan_requested.wait(self._poll_interval_s - pause_s)
            self._handover_received.clear()
            self._scan_requested.clear()

    def _scan(self) -> None:
        self._remove_lost_shards()
        ranks = claim_candidates.own_ranks(
            self._own_vm.vm_id, self._vm_list.vms(), self._shard_count
        )
        if (
            not ranks
            and not self._requested_shards
            and not self._offered_shards
        ):
            return
        found = self._ownership_keys.read()
        if isinstance(found, Err):
            return
        owned = found.ok_value
        for number in range(self._shard_count):
            if number in owned:
                self._start_if_own(number, owned[number])
                self._ownerless_since_s.pop(number, None)
                self._requested_shards.discard(number)
                self._offered_shards.discard(number)
            elif self._should_acquire(number, ranks):
                self._acquire(number)

    def _start_if_own(self, number: int, owned: key_value.KeyValue) -> None:
        """Starts a shard that this process owns but does not serve yet.

        A write of the ownership key may take effect after its response was
        lost and the read-back found nothing. No other process could acquire
        the shard as long as this process renews its lease.
        """
        if self._ownership_keys.is_own(owned) and number not in self._shards:
            self._start_shard(number, owned.mod_revision)

    def _should_acquire(self, number: int, ranks: dict[int, int]) -> bool:
        """Returns whether this node should now acquire a shard without owner.

        A candidate waits one poll interval for each candidate that ranks
        before it, and at most one if a request needs the shard. Without the
        wait all candidates would write at once, and the node that starts
        first would own all shards.
        """
        if number in self._offered_shards:
            return True
        now_s = self._clock.monotonic_s()
        since_s = self._ownerless_since_s.setdefault(number, now_s)
        rank = ranks.get(number, claim_candidates.CANDIDATES_COUNT)
        is_candidate = number in ranks
        if not is_candidate and number not in self._requested_shards:
            return False
        if number in self._requested_shards:
            rank = min(rank, 1)
        return now_s - since_s >= rank * self._poll_interval_s

    def _acquire(self, number: int) -> None:
        mod_revision = self._ownership_keys.acquire(number)
        if mod_revision is not None:
            self._start_shard(number, mod_revision)

    def _start_shard(self, number: int, mod_revision: int) -> None:
        """Reads the log of an acquired shard and starts to serve it."""
        key = claims.owner_key(self._deployment, number)
        shard = claim_shard.ClaimShard(
            claim_log.ClaimLog(
                self._store,
                self._deployment,
                number,
                claim_log.Ownership(key, mod_revision),
            ),
            self._clock,
            window_s=self._window_s,
        )
        self._revisions[number] = mod_revision
        started = shard.start()
        if isinstance(started, Err):
            # Without its log, the shard would grant claims a second time.
            self._ownership_keys.delete(number, self._revisions.pop(number))
            return
        self._shards[number] = shard
        self._ownerless_since_s.pop(number, None)
        self._requested_shards.discard(number)
        self._offered_shards.discard(number)
        _shards_owned.set({}, len(self._shards))

    def _hand_over_shard(self, number: int) -> None:
        shard = self._shards.pop(number)
        shard.close()
        self._ownership_keys.delete(number, self._revisions.pop(number))
        successor = claim_candidates.successor(
            number, self._own_vm.vm_id, self._vm_list.vms()
        )
        if successor is not None:
            self._links.to(successor).call(
                messages.ShardHandover(number), _HANDOVER_CALL_TIMEOUT_S
            )

    def _remove_lost_shards(self) -> None:
        for number, shard in list(self._shards.items()):
            if not shard.is_owner:
                del self._shards[number]
                self._revisions.pop(number, None)
        _shards_owned.set({}, len(self._shards))

    def _close_shards(self) -> None:
        for shard in self._shards.values():
            shard.close()
        self._shards.clear()
        self._revisions.clear()
