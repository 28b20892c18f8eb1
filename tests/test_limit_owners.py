"""Tests claims of requests at the owners of limits, over real sockets."""

import itertools
import types
import unittest
from typing import Any

from gevent import socket
from result import Err

from mulberrywharf import clock, errors, fleet, limit_claims, server_limits
from mulberrywharf.forwarding import engine_pool
from mulberrywharf.peers import datagrams, limit_codec, limit_datagrams
from mulberrywharf.policy import limit_grants, request_limits
from tests import builders_platform
from tests import builders_routes as build

LIMIT_PER_S = 10.0
SERVER = build.server()
STATEMENT = limit_grants.LimitStatement(LIMIT_PER_S, 90.0)
CLAIM = limit_grants.Claim(2**32 - 1, 2, True, STATEMENT, 0.25)
MESSAGES = (
    limit_codec.ClaimMessage(7, CLAIM),
    limit_codec.GrantMessage(8, limit_grants.Grant(True, 0.5, STATEMENT)),
    limit_codec.GrantMessage(
        9,
        limit_grants.Grant(False, 4.0, limit_grants.LimitStatement(None, 1.0)),
    ),
)


class CodecTest(unittest.TestCase):
    def test_round_trip(self) -> None:
        for message in MESSAGES:
            with self.subTest(message=message):
                encoded = limit_codec.encode(message, 100.0)
                decoded = limit_codec.decode(encoded, 100.0)
                self.assertEqual(decoded.unwrap(), message)

    def test_truncated_datagrams_are_errors(self) -> None:
        for message in MESSAGES:
            whole = limit_codec.encode(message, 100.0)
            for cut in range(len(whole) - 1):
                limit_codec.decode(whole[:cut], 100.0)
        self.assertIsInstance(limit_codec.decode(b"", 100.0), Err)

    def test_impossible_limits_are_errors(self) -> None:
        for limit_per_s in (-1.0, float("nan"), float("inf")):
            statement = limit_grants.LimitStatement(limit_per_s, 90.0)
            message = limit_codec.ClaimMessage(
                7, CLAIM._replace(statement=statement)
            )
            encoded = limit_codec.encode(message, 100.0)
            self.assertIsInstance(limit_codec.decode(encoded, 100.0), Err)


class Peers:
    """Gateways with given ranks; all of them share one IP address."""

    def __init__(self) -> None:
        self.ranked: tuple[limit_claims.RankedOwner, ...] = ()
        self.known_ips = {"127.0.0.1"}

    def knows(self, ip: str) -> bool:
        return ip in self.known_ips

    def limit_owners(
        self, server_key: int, availability_zone: str
    ) -> tuple[limit_claims.RankedOwner, ...]:
        return self.ranked

    def rank(self, *addresses: fleet.Address | None) -> None:
        self.ranked = tuple(
            limit_claims.RankedOwner(rank, address, True)
            for rank, address in enumerate(addresses)
        )


class LimitOwnersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.SystemClock()
        self.owner_peers = Peers()
        self.owner_at, self.owner = self.start(self.owner_peers)
        self.peers = Peers()
        self.peers.rank(self.owner_at)
        _, owners = self.start(self.peers)
        self.limits = self.limits_with(owners)

    def start(
        self, peers: Peers
    ) -> tuple[fleet.Address, limit_claims.LimitClaims]:
        address = self.free_address()
        carrier = datagrams.PeerSocket(address, peers, self.clock)
        sender = limit_datagrams.LimitDatagrams(carrier, self.clock)
        made = limit_claims.LimitClaims(peers, sender, self.clock)
        sender.on_claim(made.decide)
        carrier.start()
        self.addCleanup(carrier.close)
        return address, made

    def free_address(self) -> fleet.Address:
        with socket.socket(type=socket.SOCK_DGRAM) as sock:
            sock.bind(("127.0.0.1", 0))
            return fleet.Address("127.0.0.1", int(sock.getsockname()[1]))

    def limits_with(
        self, owners: limit_claims.LimitClaims
    ) -> server_limits.ServerLimits:
        limits = server_limits.ServerLimits(self.clock, owners)
        stated = request_limits.RequestLimit(LIMIT_PER_S)
        limits.note_answer(SERVER.start, stated, may_end=True)
        return limits

    def acquired_count(
        self, limits: server_limits.ServerLimits, tries_count: int = 20
    ) -> int:
        return sum(limits.acquire(SERVER).is_ok() for _ in range(tries_count))

    def test_all_gateways_together_get_one_limit(self) -> None:
        count = 0
        for _ in range(9):
            peers = Peers()
            peers.rank(self.owner_at)
            _, owners = self.start(peers)
            count += self.acquired_count(self.limits_with(owners))
        self.assertGreaterEqual(count, 1)
        self.assertLessEqual(count, 3)

    def test_servers_without_a_limit_need_no_owner(self) -> None:
        self.peers.rank()
        other = build.server("server-2")
        for _ in range(100):
            self.assertTrue(self.limits.acquire(other).is_ok())

    def test_an_unknown_gateway_is_granted_nothing(self) -> None:
        self.owner_peers.known_ips = set()
        self.assertEqual(self.acquired_count(self.limits), 0)

    def test_a_standby_grants_a_part_when_the_owner_is_silent(self) -> None:
        standby_at, _ = self.start(Peers())
        self.peers.rank(self.free_address(), standby_at)
        self.assertEqual(self.acquired_count(self.limits), 1)

    def test_without_any_reply_nothing_is_sent(self) -> None:
        self.peers.rank(self.free_address(), self.free_address())
        refused = self.limits.acquire(SERVER)
        assert isinstance(refused, Err)
        self.assertGreater(refused.err_value.retry_after_s, 0.0)
        self.assertLessEqual(
            refused.err_value.retry_after_s, server_limits.SILENT_RETRY_S
        )

    def test_the_end_of_a_limit_is_learned_from_the_owner(self) -> None:
        """A limit whose end one gateway missed kept a server idle there."""
        ended = limit_grants.LimitStatement(None, self.clock.monotonic_s() + 1)
        self.owner.note_statement(SERVER.start, ended)
        self.assertEqual(self.acquired_count(self.limits), 20)
        self.assertIsNone(self.limits.limit_per_s(SERVER.start))

    def test_the_owner_learns_of_the_end_of_a_limit(self) -> None:
        """Other gateways left a server idle whose limit one knew as ended."""
        other_peers = Peers()
        other_peers.rank(self.owner_at)
        _, owners = self.start(other_peers)
        other = self.limits_with(owners)
        self.assertLessEqual(self.acquired_count(other), 3)
        self.acquired_count(self.limits)
        self.limits.note_answer(
            SERVER.start, request_limits.NoLimit(), may_end=True
        )
        self.assertTrue(
            builders_platform.wait_until(
                lambda: (
                    other.acquire(SERVER, 1.0).is_ok()
                    and other.limit_per_s(SERVER.start) is None
                )
            )
        )


class RefusingClaims:
    """An owner that has granted all time slots of the next minute."""

    def __init__(self) -> None:
        self.claims_count = 0

    def note_statement(self, *_: object) -> None:
        """Takes what a server states."""

    def claim(
        self, _: object, statement: limit_grants.LimitStatement, __: float
    ) -> limit_grants.Grant:
        self.claims_count += 1
        return limit_grants.Grant(False, 60.0, statement)


class AskAgainTest(unittest.TestCase):
    def test_a_long_wait_is_not_claimed_by_each_request(self) -> None:
        """Guards against requests that prefer a server that refuses them."""
        manual_clock = build.ManualClock()
        claims: Any = RefusingClaims()
        limits = server_limits.ServerLimits(manual_clock, claims)
        limits.note_answer(
            SERVER.start, request_limits.RequestLimit(0.0), may_end=True
        )
        for _ in range(100):
            self.assertIsInstance(limits.acquire(SERVER, 3.0), Err)
            self.assertGreater(limits.wait_s(SERVER.start), 50.0)
            manual_clock.now_s += server_limits.ASK_AGAIN_S / 100
        self.assertEqual(claims.claims_count, 1)

    def test_another_engine_is_planned_for_behind_a_refused_claim(self) -> None:
        """Guards against 503 beside an engine that is busy for 2.5 s."""
        claims: Any = RefusingClaims()
        limits = server_limits.ServerLimits(clock.SystemClock(), claims)
        limits.note_answer(
            SERVER.start, request_limits.RequestLimit(0.0), may_end=True
        )
        busy = build.server("server-2")

        def choose(waiting: frozenset[fleet.ServerStart]) -> Any:
            wait_s = limits.wait_s(SERVER.start)
            is_first = SERVER.start not in waiting and wait_s < 2.5
            return types.SimpleNamespace(server=SERVER if is_first else busy)

        pool: Any = engine_pool.EnginePool.__new__(engine_pool.EnginePool)
        pool._limits = limits
        pool._server_list = types.SimpleNamespace(usable=lambda _: [SERVER])
        plan, _ = pool._acquire_for_plan(
            choose, lambda plan: plan, types.SimpleNamespace(name="s"), 3.0
        )
        self.assertEqual(plan.server, busy)

    def test_a_refused_claim_is_repeated_before_its_wait_has_passed(
        self,
    ) -> None:
        """Guards against a limit that is believed for long behind its end."""
        manual_clock = build.ManualClock()
        claims: Any = RefusingClaims()
        limits = server_limits.ServerLimits(manual_clock, claims)
        limits.note_answer(
            SERVER.start, request_limits.RequestLimit(0.0), may_end=True
        )
        for count in (1, 2):
            for _ in range(3):
                self.assertIsInstance(limits.acquire(SERVER), Err)
            self.assertEqual(claims.claims_count, count)
            manual_clock.now_s += server_limits.ASK_AGAIN_S


class PermitTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = build.ManualClock()
        self.limits = server_limits.ServerLimits(self.clock)
        stated = request_limits.RequestLimit(LIMIT_PER_S)
        self.limits.note_answer(SERVER.start, stated, may_end=True)

    def test_a_permit_expires_during_a_pause_of_the_process(self) -> None:
        permit = self.limits.acquire(SERVER).unwrap()
        self.assertTrue(self.limits.check(permit, SERVER).is_ok())
        self.clock.now_s += 1.0
        checked = self.limits.check(permit, SERVER)
        assert isinstance(checked, Err)
        self.assertIsInstance(checked.err_value, errors.ServerLimitError)
        self.assertEqual(checked.err_value.outcome, "not-run")

    def test_a_permit_holds_for_its_server_only(self) -> None:
        permit = self.limits.acquire(SERVER).unwrap()
        with self.assertRaises(ValueError):
            self.limits.check(permit, build.server("server-2"))

    def test_refused_callers_return_one_after_the_other(self) -> None:
        """All refused callers came back at once and were refused again."""
        self.assertIsNone(self.limits.retry_after_s([SERVER]))
        while self.limits.acquire(SERVER).is_ok():
            pass
        delays_s = [self.limits.retry_after_s([SERVER]) for _ in range(5)]
        for before_s, after_s in itertools.pairwise(delays_s):
            assert before_s is not None and after_s is not None
            self.assertAlmostEqual(after_s - before_s, 1 / LIMIT_PER_S)
        other = build.server("server-2")
        self.assertIsNone(self.limits.retry_after_s([SERVER, other]))


if __name__ == "__main__":
    unittest.main()
