"""Owns claim shards by lease: acquires, keeps and hands them over.

Two tasks: one renews the lease, the other looks for shards without an owner.
The rank of the VMs for a shard decides who looks first, so that
few nodes spend calls on looking and the owners are spread.
"""

from typing import Protocol

import gevent
import gevent.event
from result import Err

from mulberrywharf import clock, fleet, metrics, settings
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
    # Of its own: whatever is spent on looking for shards, the lease on those
    # that are held must not lapse for want of a call.
    claim_ownership.PURPOSE_LEASE: call_budget.CallBudget(4.0, 20),
}
"""What the key-value client of a router should allow for claims."""

LEASE_TTL_S = 10.0
POLL_INTERVAL_S = 2.0

_RENEWALS_PER_TTL_COUNT = 3
_LOOKS_PER_POLL_COUNT = 4
_FINISH_TIMEOUT_S = 5.0
_HANDOVER_TIMEOUT_S = 1.0
_GIVE_UP_TIMEOUT_S = 5.0

_shards_owned = metrics.gauge(
    "mulberry_claim_shards_owned_count",
    "Claim shards that this process owns.",
)


class VmList(Protocol):
    """What claims need of ``VmListReader``."""

    def vms(self) -> list[fleet.VmRecord]:
        """Returns the VM list as last read."""
        ...


class ClaimOwner:
    """The shards that this process owns."""

    def __init__(
        self,
        store: claim_log.KeyValue,
        vm_list: VmList,
        node_links: links.Links,
        own: fleet.VmRecord,
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
        self._own = own
        self._deployment = deployment
        self._clock = system_clock or clock.SystemClock()
        self._lease_ttl_s = lease_ttl_s
        self._poll_interval_s = poll_interval_s
        self._shard_count = shard_count
        self._window_s = window_s
        self._shards: dict[int, claim_shard.ClaimShard] = {}
        self._revisions: dict[int, int] = {}
        self._ownerless_since_s: dict[int, float] = {}
        self._keys = claim_ownership.OwnershipKeys(
            store, deployment, own, lease_ttl_s
        )
        self._is_leaving = False
        self._tasks: list[gevent.Greenlet] = []
        self._wanted: set[int] = set()
        self._handed: set[int] = set()
        self._look_now = gevent.event.Event()
        self._handover_came = gevent.event.Event()

    @classmethod
    def from_config(
        cls,
        config: settings.Settings,
        store: claim_log.KeyValue,
        vm_list: VmList,
        node_links: links.Links,
        node_server: server.NodeServer,
    ) -> "ClaimOwner":
        """Makes the owner that the settings describe.

        Args:
            config: Settings of the process.
            store: Client of the key-value service.
            vm_list: The VM list.
            node_links: Links to other nodes.
            node_server: Listens already, so that its port is known; gets the
                handlers for claims.
        """
        own = fleet.VmRecord(
            config["vm_id"],
            "entry",
            config["availability_zone"],
            fleet.Address(config["nodes"]["listen"]["ip"], node_server.port),
        )
        owner = cls(store, vm_list, node_links, own, config["deployment"])
        owner.register(node_server)
        return owner

    def register(self, node_server: server.NodeServer) -> None:
        """Lets other nodes ask this owner."""

        def handler(
            sender_vm_id: str, message: messages.Message
        ) -> messages.Message | None:
            return self.answer(sender_vm_id, message)

        for message_type in (
            messages.ClaimRequest,
            messages.ClaimComplete,
            messages.ClaimRelease,
            messages.ClaimWait,
            messages.ShardHandover,
        ):
            node_server.register(message_type, handler, may_wait=True)

    def start(self) -> None:
        """Begins to look for shards."""
        self._tasks = [
            gevent.spawn(self._keep_lease),
            gevent.spawn(self._look_for_shards),
        ]

    def close(self) -> None:
        """Stops at once, as a crash would; the lease then has to lapse."""
        gevent.killall(self._tasks)
        self._tasks = []
        self._drop_all()

    def hand_over(self) -> None:
        """Gives up every shard so that others own them within moments.

        Without it a planned stop would leave the shards without an owner
        until the lease lapses, and every claim in them unavailable.
        """
        self._is_leaving = True
        finishing = [
            gevent.spawn(shard.finish, _FINISH_TIMEOUT_S)
            for shard in self._shards.values()
        ]
        gevent.joinall(finishing)
        # Side by side: with the service away each call takes its timeouts,
        # and one after the other they would hold up the stop.
        giving_up = [
            gevent.spawn(self._give_up, number) for number in self._shards
        ]
        gevent.joinall(giving_up, timeout=_GIVE_UP_TIMEOUT_S)
        self._keys.revoke()

    def owned_shards(self) -> list[int]:
        """Returns the numbers of the shards that it answers for."""
        return sorted(n for n, s in self._shards.items() if s.is_owner)

    def statistics(self) -> claim_shard.ShardStatistics:
        """Sums the counts of the shards that it owns."""
        each = [shard.statistics for shard in self._shards.values()]
        return claim_shard.ShardStatistics(
            sum(s.records_count for s in each),
            sum(s.commits_count for s in each),
        )

    def consider(self, shard: int) -> None:
        """Notes that somebody needs a shard that seems to have no owner.

        The candidates may all be gone while the VM list still names them;
        then whoever needs the shard takes it.
        """
        self._wanted.add(shard)
        self._look_now.set()

    def answer(
        self, sender_vm_id: str, message: messages.Message
    ) -> messages.ClaimReply | None:
        """Answers one claim message, from another node or this one."""
        if isinstance(message, messages.ShardHandover):
            self._handed.add(message.shard)
            self._handover_came.set()
            self._look_now.set()
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
            if not self._is_leaving and not self._keys.renew():
                self._drop_all()
            gevent.sleep(self._lease_ttl_s / _RENEWALS_PER_TTL_COUNT)

    def _look_for_shards(self) -> None:
        while True:
            if not self._is_leaving:
                self._look()
            # Every request that waits for a shard asks for a look, many times
            # a second. Looking each time would spend all calls on reading and
            # leave none to take the shards: an outage of the service would
            # never end for claims, and only its count of reads would show it.
            pause_s = self._poll_interval_s / _LOOKS_PER_POLL_COUNT
            self._handover_came.wait(pause_s)
            self._look_now.wait(self._poll_interval_s - pause_s)
            self._handover_came.clear()
            self._look_now.clear()

    def _look(self) -> None:
        self._forget_lost()
        ranks = claim_candidates.own_ranks(
            self._own.vm_id, self._vm_list.vms(), self._shard_count
        )
        if not ranks and not self._wanted and not self._handed:
            return
        found = self._keys.read()
        if isinstance(found, Err):
            return
        owned = found.ok_value
        for number in range(self._shard_count):
            if number in owned:
                self._adopt(number, owned[number])
                self._ownerless_since_s.pop(number, None)
                self._wanted.discard(number)
                self._handed.discard(number)
            elif self._is_due(number, ranks):
                self._acquire(number)

    def _adopt(self, number: int, owned: key_value.KeyValue) -> None:
        """Serves a shard that is this process's own without its knowledge.

        A write that won the ownership may take effect after its answer was
        lost and the reading back showed nothing. Nobody else could take the
        shard for as long as this process renews its lease.
        """
        if self._keys.is_own(owned) and number not in self._shards:
            self._open(number, owned.mod_revision)

    def _is_due(self, number: int, ranks: dict[int, int]) -> bool:
        """Tells whether it is this node's turn to take an unowned shard.

        All candidates would otherwise write at once, and one node that
        starts first would own everything.
        """
        if number in self._handed:
            return True
        now_s = self._clock.monotonic_s()
        since_s = self._ownerless_since_s.setdefault(number, now_s)
        rank = ranks.get(number, claim_candidates.CANDIDATES_COUNT)
        is_candidate = number in ranks
        if not is_candidate and number not in self._wanted:
            return False
        if number in self._wanted:
            rank = min(rank, 1)
        return now_s - since_s >= rank * self._poll_interval_s

    def _acquire(self, number: int) -> None:
        mod_revision = self._keys.take(number)
        if mod_revision is not None:
            self._open(number, mod_revision)

    def _open(self, number: int, mod_revision: int) -> None:
        """Reads the log of a shard that was won and begins to answer."""
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
            # Owning a shard without having read its log would grant claims
            # that were granted before.
            self._keys.delete(number, self._revisions.pop(number))
            return
        self._shards[number] = shard
        self._ownerless_since_s.pop(number, None)
        self._wanted.discard(number)
        self._handed.discard(number)
        _shards_owned.set({}, len(self._shards))

    def _give_up(self, number: int) -> None:
        shard = self._shards.pop(number)
        shard.close()
        self._keys.delete(number, self._revisions.pop(number))
        successor = claim_candidates.successor(
            number, self._own.vm_id, self._vm_list.vms()
        )
        if successor is not None:
            self._links.to(successor).call(
                messages.ShardHandover(number), _HANDOVER_TIMEOUT_S
            )

    def _forget_lost(self) -> None:
        for number, shard in list(self._shards.items()):
            if not shard.is_owner:
                del self._shards[number]
                self._revisions.pop(number, None)
        _shards_owned.set({}, len(self._shards))

    def _drop_all(self) -> None:
        for shard in self._shards.values():
            shard.close()
        self._shards.clear()
        self._revisions.clear()
