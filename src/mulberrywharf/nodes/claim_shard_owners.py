"""Finds the owner of a claim shard and asks it, until somebody answers."""

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
"""For one question to one owner, beside the time that it may wait."""

_FIRST_LOOKUP_DELAY_S = 0.1
_LONGEST_LOOKUP_DELAY_S = 1.0


class _Question(NamedTuple):
    shard: int
    message: messages.Message
    timeout_s: float


class ShardOwners:
    """The owners of all claim shards, this process among them."""

    def __init__(
        self,
        store: claim_log.KeyValue,
        node_links: links.Links,
        own: claim_owner.ClaimOwner,
        own_vm_id: str,
        deployment: str,
        *,
        system_clock: clock.Clock,
        shard_count: int,
    ):
        self._store = store
        self._links = node_links
        self._own = own
        self._own_vm_id = own_vm_id
        self._deployment = deployment
        self._clock = system_clock
        self._shard_count = shard_count
        self._addresses: dict[int, fleet.Address] = {}
        self._next_lookup_s = 0.0
        self._lookup_delay_s = _FIRST_LOOKUP_DELAY_S

    def ask(
        self,
        claim: bytes,
        message: messages.Message,
        timeout_s: float,
        *,
        insist: bool = False,
    ) -> messages.ClaimReply | None:
        """Asks whoever owns the claim's shard until somebody answers.

        Args:
            claim: The claim.
            message: The question; harmless when asked twice.
            timeout_s: In all.
            insist: Whether ``unavailable`` is asked again.

        Returns:
            The owner's answer, or None.
        """
        shard = claims.shard_of(claim, self._shard_count)
        deadline_s = self._clock.monotonic_s() + timeout_s
        reply = None
        while True:
            left_s = deadline_s - self._clock.monotonic_s()
            if left_s <= 0:
                return reply
            call_s = min(left_s, _call_timeout_s(message))
            reply = self._ask_once(_Question(shard, message, call_s))
            if reply is not None and not _asks_again(reply, insist):
                return reply
            self._addresses.pop(shard, None)
            reply = None
            gevent.sleep(random.uniform(0.02, 0.1))

    def _ask_once(self, question: _Question) -> messages.ClaimReply | None:
        if question.shard in self._own.owned_shards():
            return self._ask_own(question)
        address = self._addresses.get(question.shard)
        if address is None:
            self._look_up()
            address = self._addresses.get(question.shard)
        if address is None:
            self._own.consider(question.shard)
            return None
        answered = self._links.to(address).call(
            question.message, question.timeout_s
        )
        if isinstance(answered, Err):
            return None
        answer = answered.ok_value
        return answer if isinstance(answer, messages.ClaimReply) else None

    def _ask_own(self, question: _Question) -> messages.ClaimReply | None:
        # In a greenlet of its own, as for other nodes: cut off in the middle
        # by this caller's timeout, the owner would not note that nobody
        # waits for the claim any more.
        task = gevent.spawn(self._own.answer, self._own_vm_id, question.message)
        task.join(question.timeout_s)
        reply: messages.ClaimReply | None = task.value
        return reply

    def _look_up(self) -> None:
        """Reads who owns what, ever less often while it does not help.

        During a takeover every node that holds a request would else read in
        a tight loop, and the service's rate is shared by the whole fleet.
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
            for key_value in found.ok_value:
                shard = claim_ownership.shard_number(key_value.key)
                self._addresses[shard] = claim_ownership.owner_address(
                    key_value.value
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


def _asks_again(reply: messages.ClaimReply, insist: bool) -> bool:
    return reply.kind == "not-owner" or (insist and reply.kind == "unavailable")
