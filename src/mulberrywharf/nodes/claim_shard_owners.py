"""Finds the owner of a claim shard and calls it until an owner replies."""

import random
from typing import NamedTuple

import gevent
from result import Err, Ok

from mulberrywharf import clock, fleet
from mulberrywharf.nodes import (
    claim_log,
    claim_owner,
    claim_ownership,
    claims,
    links,
    messages,
)

CALL_TIMEOUT_S = 3.0
"""Timeout of one call to one owner; a ``ClaimWait`` adds its own wait."""

_FIRST_LOOKUP_DELAY_S = 0.1
_LONGEST_LOOKUP_DELAY_S = 1.0


class _Call(NamedTuple):
    shard: int
    message: messages.Message
    timeout_s: float


class ShardOwners:
    """The owners of all claim shards, which may include this process."""

    def __init__(
        self,
        store: claim_log.KeyValue,
        node_links: links.Links,
        local_owner: claim_owner.ClaimOwner,
        own_vm_id: str,
        deployment: str,
        *,
        system_clock: clock.Clock,
        shard_count: int,
    ):
        self._store = store
        self._links = node_links
        self._local_owner = local_owner
        self._own_vm_id = own_vm_id
        self._deployment = deployment
        self._clock = system_clock
        self._shard_count = shard_count
        self._addresses: dict[int, fleet.Address] = {}
        self._next_lookup_s = 0.0
        self._lookup_delay_s = _FIRST_LOOKUP_DELAY_S

    def call(
        self,
        claim: bytes,
        message: messages.Message,
        timeout_s: float,
        *,
        retry_unavailable: bool = False,
    ) -> messages.ClaimReply | None:
        """Calls the owner of the claim's shard until an owner replies.

        Args:
            claim: The claim.
            message: The message to send; it must be safe to send repeatedly.
            timeout_s: Total time for all calls.
            retry_unavailable: Whether to call again after ``unavailable``.

        Returns:
            The owner's reply, or None.
        """
        shard = claims.shard_of(claim, self._shard_count)
        deadline_s = self._clock.monotonic_s() + timeout_s
        reply = None
        while True:
            left_s = deadline_s - self._clock.monotonic_s()
            if left_s <= 0:
                return reply
            call_s = min(left_s, _call_timeout_s(message))
            reply = self._call_once(_Call(shard, message, call_s))
            if reply is not None and not _should_retry(
                reply, retry_unavailable
            ):
                return reply
            self._addresses.pop(shard, None)
            reply = None
            gevent.sleep(random.uniform(0.02, 0.1))

    def _call_once(self, call: _Call) -> messages.ClaimReply | None:
        if call.shard in self._local_owner.owned_shards():
            return self._call_local_owner(call)
        address = self._addresses.get(call.shard)
        if address is None:
            self._look_up()
            address = self._addresses.get(call.shard)
        if address is None:
            self._local_owner.request_takeover(call.shard)
            return None
        answered = self._links.to(address).call(call.message, call.timeout_s)
        if isinstance(answered, Err):
            return None
        answer = answered.ok_value
        return answer if isinstance(answer, messages.ClaimReply) else None

    def _call_local_owner(self, call: _Call) -> messages.ClaimReply | None:
        # Runs in a separate greenlet, as calls from other nodes do. If this
        # call's timeout interrupted the owner, the owner would not mark the
        # claim as abandoned.
        task = gevent.spawn(
            self._local_owner.handle_message, self._own_vm_id, call.message
        )
        task.join(call.timeout_s)
        reply: messages.ClaimReply | None = task.value
        return reply

    def _look_up(self) -> None:
        """Reads the owners of all shards, with backoff if nothing changed.

        Without the backoff, every node with a pending request would read in a
        tight loop during a takeover, and the whole fleet shares the call rate
        of the key-value service.
        """
        now_s = self._clock.monotonic_s()
        if now_s < self._next_lookup_s:
            return
        known_before = dict(self._addresses)
        self._next_lookup_s = now_s + self._lookup_delay_s * random.uniform(
            0.5, 1.0
        )
        found = self._store.get_prefix(
            claims.owners_prefix(self._deployment),
            purpose=claim_ownership.PURPOSE_OWNER,
        )
        if isinstance(found, Ok):
            self._addresses.update(
                claim_ownership.owner_addresses(found.ok_value)
            )
        if self._addresses == known_before:
            self._lookup_delay_s = min(
                2 * self._lookup_delay_s, _LONGEST_LOOKUP_DELAY_S
            )
        else:
            self._lookup_delay_s = _FIRST_LOOKUP_DELAY_S


def _call_timeout_s(message: messages.Message) -> float:
    if isinstance(message, messages.ClaimWait):
        return message.wait_s + CALL_TIMEOUT_S
    return CALL_TIMEOUT_S


def _should_retry(reply: messages.ClaimReply, retry_unavailable: bool) -> bool:
    return reply.kind == "not-owner" or (
        retry_unavailable and reply.kind == "unavailable"
    )
