"""What a gateway's decisions and notices cost as the fleet grows.

Run as ``python -m bench.gateway_slopes``. It prints, for fleets of several
sizes, the processor time of placing a long and a short prompt, the memory of
the estimates, and the bytes of one notice to all who are told.
"""

import random
import time
import tracemalloc
from collections.abc import Iterable

from mulberrywharf import clock, fleet, server_limits
from mulberrywharf.forwarding import (
    engine_estimates,
    engine_pool,
    request,
    server_tracker,
    time_limits,
)
from mulberrywharf.peers import (
    datagrams,
    limit_codec,
    notice_codec,
    queue_codec,
    queue_owners,
)
from mulberrywharf.policy import limit_grants, part_caches
from mulberrywharf.routes import kinds, table

FLEETS = (5, 28, 106, 850)
PARTS_COUNT = 500
RUNS_COUNT = 2_000
CLAIMS_COUNT = 20_000
_ENGINE = table.EngineTraits(48, 545_579, 18_432.0, 46.25e9, 5.0)
_SERVICE = table.Service("service", 300, _ENGINE)
_ROUTE = table.Route(
    "route",
    "host",
    "/",
    kinds.EventStream(False),
    60.0,
    (table.Destination("service", 1.0),),
)


class _AllServers:
    """A server list of one service."""

    def __init__(self, engines: list[fleet.Server]):
        self._engines = tuple(engines)

    def usable(self, service: str) -> tuple[fleet.Server, ...]:
        """Returns every engine."""
        return self._engines

    def unlisted(self, server_ids: Iterable[str]) -> list[str]:
        """Returns none: every engine is listed."""
        return []


class _NoNotices:
    """Tells nobody."""

    gateways_count = 9

    def receives_notices_for(self, server: fleet.Server) -> bool:
        """Hears of every engine."""
        return True

    def add_placement(self, *placement: object) -> None:
        """Drops the placement."""


def _engines(count: int) -> list[fleet.Server]:
    return [
        fleet.Server(
            fleet.ServerStart(f"engine-{number}"),
            "service",
            fleet.Address("10.0.0.1", number),
            f"zone-{number % 3}",
            48,
            role="prefill" if number % 3 == 0 else "decode",
        )
        for number in range(count)
    ]


def _prompt(rng: random.Random, *, is_long: bool) -> request.Prompt:
    shared = 13_300 if is_long else 92
    own = 3_720 if is_long else 291
    parts = (
        request.PromptPart(f"{rng.randrange(PARTS_COUNT):x}", shared),
        request.PromptPart(f"{rng.getrandbits(32):x}", own),
    )
    return request.Prompt("m", shared + own, 100, parts)


def _place_ms(engines_count: int, *, is_long: bool) -> tuple[float, float]:
    """Returns processor milliseconds a placing, and MB of the estimates."""
    rng = random.Random(1)
    system_clock = clock.SystemClock()
    tracker = server_tracker.ServerTracker("zone-0")
    tracemalloc.start()
    estimates = engine_estimates.EngineEstimates(
        tracker, system_clock, _NoNotices(), lambda _: _ENGINE.kv_tokens
    )
    pool = engine_pool.EnginePool(
        _AllServers(_engines(engines_count)),
        tracker,
        estimates,
        server_limits.ServerLimits(system_clock),
        system_clock,
        rng,
    )

    def place() -> None:
        now_s = system_clock.monotonic_s()
        routed_request = request.RoutedRequest(
            "id", "POST", "/", "/", "host", (), b"", now_s, now_s + 60.0
        )._replace(prompt=_prompt(rng, is_long=is_long))
        limit = time_limits.TimeLimit.of(routed_request, _ROUTE, system_clock)
        pool.place(
            routed_request,
            _ROUTE,
            _SERVICE,
            limit,
            excluded=frozenset(),
            may_refuse=False,
        )

    for _ in range(RUNS_COUNT):
        place()
    held_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    began_s = time.process_time()
    for _ in range(RUNS_COUNT):
        place()
    return (time.process_time() - began_s) / RUNS_COUNT * 1e3, held_mb


def main() -> None:
    """Prints the table."""
    from loguru import logger

    logger.remove()
    print("engines  long_ms  short_ms  account_mb")
    for count in FLEETS:
        long_ms, held_mb = _place_ms(count, is_long=True)
        short_ms, _ = _place_ms(count, is_long=False)
        print(f"{count:7d}  {long_ms:7.3f}  {short_ms:8.3f}  {held_mb:10.2f}")
    placements = tuple(
        notice_codec.Placement(
            number, 0.1, (part_caches.HeldPart(number, 13_300),), 3_720
        )
        for number in range(2)
    )
    datagram = notice_codec.encode(notice_codec.Notice(1, 1, placements))
    notice_bytes = len(datagram) + datagrams.DATAGRAM_OVERHEAD_BYTES
    print(f"one notice of a handed over prompt: {notice_bytes} bytes a peer")
    print(f"owners of queues: {_queue_bytes()} bytes a prompt")
    claim_bytes, grant_bytes, owner_us = _limit_costs()
    print(
        f"limited servers: {claim_bytes} bytes a claim, {grant_bytes} a grant,"
        f" {owner_us:.0f} us of its owner"
    )


def _limit_costs() -> tuple[int, int, float]:
    """Returns bytes of a claim and a grant, and the owner's us for both."""
    statement = limit_grants.LimitStatement(10.5, 99.0)
    claim = limit_grants.Claim(2**31 + 7, 0, True, statement, 0.1)
    message = limit_codec.ClaimMessage(2**31 + 9, claim)
    encoded = limit_codec.encode(message, 100.0)
    grants = limit_grants.LimitGrants()
    began_s = time.process_time()
    for number in range(CLAIMS_COUNT):
        now_s = 100.0 + number / 100
        received = limit_codec.decode(encoded, now_s).unwrap()
        assert isinstance(received, limit_codec.ClaimMessage)
        grant = grants.decide(received.claim, now_s)
        reply = limit_codec.GrantMessage(received.number, grant)
        answered = limit_codec.encode(reply, now_s)
    owner_s = (time.process_time() - began_s) / CLAIMS_COUNT
    overhead_bytes = datagrams.DATAGRAM_OVERHEAD_BYTES
    return (
        len(encoded) + overhead_bytes,
        len(answered) + overhead_bytes,
        owner_s * 1e6,
    )


def _queue_bytes() -> dict[str, int]:
    """Returns what owners of queues cost for one prompt, by who sends it."""
    keys = tuple(range(2**31, 2**31 + queue_owners.ENGINES_PER_OWNER_COUNT))
    waits = tuple(queue_codec.EngineWait(key, 0.25, 60.0) for key in keys)
    asker = [
        queue_codec.WaitQuery(2**20, 2, keys)
    ] * queue_owners.MAX_ASKED_OWNERS_COUNT
    owner = [
        queue_codec.Waits(2**20, waits)
    ] * queue_owners.MAX_ASKED_OWNERS_COUNT
    told = [
        queue_codec.PromptUpdate(keys[0], 2**31, 2**20, "placed", 2, 0.125),
        queue_codec.PromptUpdate(keys[0], 2**31, 2**20, "read"),
    ]
    return {
        "asker": sum(map(_datagram_bytes, [*asker, *told])),
        "owners": sum(map(_datagram_bytes, owner)),
    }


def _datagram_bytes(message: queue_codec.QueueMessage) -> int:
    encoded = queue_codec.encode(message)
    return len(encoded) + datagrams.DATAGRAM_OVERHEAD_BYTES


if __name__ == "__main__":
    main()
