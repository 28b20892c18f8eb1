"""Claims idempotency keys at the owners of claim shards."""

import random

import gevent
import gevent.pool
from result import Err, Ok, Result

from mulberrywharf import clock, errors, fleet, metrics, settings
from mulberrywharf.nodes import (
    claim_log,
    claim_owner,
    claim_shard_owners,
    claims,
    links,
    messages,
)

DEFAULT_TIMEOUT_S = 4.0
DEFAULT_RUN_BOUND_S = 60.0

_RELEASE_ATTEMPTS_COUNT = 10
_LONGEST_RELEASE_DELAY_S = 30.0
_CONCURRENT_RELEASES_LIMIT_COUNT = 1000
_COMPLETE_TIMEOUT_S = 30.0
_WAIT_SLICE_S = 20.0

ClaimError = errors.ClaimUnavailableError | errors.KeyReuseError

_outcomes = metrics.counter(
    "mulberry_claims_total", "Requested idempotency claims, by outcome."
)


class ClaimClient:
    """Makes, completes and releases the claims of one node's requests."""

    def __init__(
        self,
        store: claim_log.KeyValue,
        node_links: links.Links,
        owner: claim_owner.ClaimOwner,
        own_vm_id: str,
        callers_address: fleet.Address,
        deployment: str,
        *,
        system_clock: clock.Clock | None = None,
        shard_count: int = claims.SHARD_COUNT,
    ):
        self._callers_address = callers_address
        self._clock = system_clock or clock.SystemClock()
        self._owners = claim_shard_owners.ShardOwners(
            store,
            node_links,
            owner,
            own_vm_id,
            deployment,
            system_clock=self._clock,
            shard_count=shard_count,
        )
        self._release_pool = gevent.pool.Pool(_CONCURRENT_RELEASES_LIMIT_COUNT)

    @classmethod
    def from_config(
        cls,
        config: settings.Settings,
        store: claim_log.KeyValue,
        node_links: links.Links,
        owner: claim_owner.ClaimOwner,
        callers_address: fleet.Address,
    ) -> "ClaimClient":
        """Creates the client of this node from the settings."""
        return cls(
            store,
            node_links,
            owner,
            config["vm_id"],
            callers_address,
            config["deployment"],
        )

    def close(self) -> None:
        """Stops the releases that are still being retried."""
        self._release_pool.kill()

    def claim(
        self,
        customer: str,
        key: str,
        body_digest: bytes,
        request_id: str,
        *,
        run_bound_s: float = DEFAULT_RUN_BOUND_S,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> Result[claims.ClaimGranted | claims.ClaimMet, ClaimError]:
        """Claims the right to run a request.

        Args:
            customer: Customer that sent the request.
            key: The idempotency key.
            body_digest: ``claims.digest`` of method, path and body.
            request_id: Id of the request.
            run_bound_s: Time after which the outcome of a run without a
                completion counts as unknown; at most the claim window.
            timeout_s: How long to wait for an owner's reply.

        Returns:
            ``ClaimGranted``: run the request and then call ``complete``, or
            call ``release`` if no byte was sent. ``ClaimMet``: do not run the
            request. ``KeyReuseError``: the key was used with another body.
            ``ClaimUnavailableError``: no owner confirmed the claim; do not
            run the request.
        """
        claim = claims.claim_id(customer, key)
        token = random.getrandbits(63)
        request = messages.ClaimRequest(
            claim,
            body_digest,
            request_id,
            token,
            self._callers_address.ip,
            self._callers_address.port,
            run_bound_s,
        )
        reply = self._owners.call(
            claim, request, timeout_s, retry_unavailable=True
        )
        if reply is not None and reply.kind == "granted":
            _outcomes.inc({"outcome": "granted"})
            return Ok(claims.ClaimGranted(claim, token))
        if reply is not None and reply.kind == "key-reused":
            _outcomes.inc({"outcome": "key-reused"})
            return Err(
                errors.KeyReuseError(
                    "the idempotency key was used with another request",
                    advice="Use a new key for a new request.",
                )
            )
        if reply is None or reply.kind == "unavailable":
            # The claim may have been committed nevertheless. Unless it is
            # released, the caller's next attempt would find the claim of a run
            # that never started.
            if self._release_pool.free_count():
                self._release_pool.spawn(
                    self._release_with_retries, claim, token
                )
            _outcomes.inc({"outcome": "unavailable"})
            return Err(_unavailable())
        _outcomes.inc({"outcome": f"met-{reply.kind}"})
        return Ok(_existing_claim(reply))

    def wait(
        self, customer: str, key: str, timeout_s: float
    ) -> Result[claims.ClaimMet, errors.ClaimUnavailableError]:
        """Waits for the end of the run that holds a claim.

        Returns:
            The claim at the end of the wait, ``in-progress`` after a timeout;
            an error if the claim no longer exists, for instance after a
            release, or if no owner replied.
        """
        claim = claims.claim_id(customer, key)
        deadline_s = self._clock.monotonic_s() + timeout_s
        while True:
            left_s = max(0.0, deadline_s - self._clock.monotonic_s())
            slice_s = min(left_s, _WAIT_SLICE_S)
            reply = self._owners.call(
                claim,
                messages.ClaimWait(claim, slice_s),
                slice_s + claim_shard_owners.CALL_TIMEOUT_S,
            )
            if reply is None or reply.kind in ("not-found", "unavailable"):
                return Err(_unavailable())
            if reply.kind != "in-progress" or left_s <= slice_s:
                return Ok(_existing_claim(reply))

    def complete(
        self,
        granted: claims.ClaimGranted,
        status: int,
        answer: bytes,
        *,
        timeout_s: float = _COMPLETE_TIMEOUT_S,
    ) -> Result[None, errors.ClaimUnavailableError]:
        """Records the answer of a run.

        May run while the answer is being delivered to the caller.

        Args:
            granted: The granted claim.
            status: HTTP status of the answer.
            answer: Body of the answer; stored only up to
                ``claims.ANSWER_LIMIT_BYTES``.
            timeout_s: How long to try.

        Returns:
            An error if no owner confirmed the completion. The claim then
            becomes ``unknown``, and the request is still not run again.
        """
        kept = answer if len(answer) <= claims.ANSWER_LIMIT_BYTES else None
        message = messages.ClaimComplete(
            granted.claim_id,
            granted.token,
            status,
            claims.digest(answer),
            kept,
        )
        reply = self._owners.call(
            granted.claim_id, message, timeout_s, retry_unavailable=True
        )
        if reply is not None and reply.kind == "accepted":
            return Ok(None)
        return Err(_unavailable())

    def release(
        self, granted: claims.ClaimGranted
    ) -> Result[None, errors.ClaimUnavailableError]:
        """Releases the claim of a request that reached no backend server.

        No byte of the request may have been sent to a backend server.
        """
        message = messages.ClaimRelease(granted.claim_id, granted.token)
        reply = self._owners.call(
            granted.claim_id, message, DEFAULT_TIMEOUT_S, retry_unavailable=True
        )
        if reply is not None and reply.kind in ("accepted", "not-found"):
            return Ok(None)
        return Err(_unavailable())

    def _release_with_retries(self, claim: bytes, token: int) -> None:
        granted = claims.ClaimGranted(claim, token)
        for attempt in range(_RELEASE_ATTEMPTS_COUNT):
            if isinstance(self.release(granted), Ok):
                return
            gevent.sleep(
                random.uniform(0, min(2.0**attempt, _LONGEST_RELEASE_DELAY_S))
            )


def _existing_claim(reply: messages.ClaimReply) -> claims.ClaimMet:
    state: claims.ClaimState = "unknown"
    if reply.kind == "in-progress" or reply.kind == "done":
        state = reply.kind
    return claims.ClaimMet(
        state,
        reply.runner_vm_id,
        fleet.Address(reply.runner_ip, reply.runner_port),
        reply.request_id,
        reply.status,
        reply.answer_digest,
        reply.answer,
    )


def _unavailable() -> errors.ClaimUnavailableError:
    return errors.ClaimUnavailableError(
        "at-most-once execution could not be guaranteed",
        outcome="not-run",
        retry_after_s=5.0,
        advice="Send the request again with the same idempotency key.",
    )
