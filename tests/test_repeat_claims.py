"""Tests of repeats that gateways claim at each other."""

import random
import unittest
from collections.abc import Callable, Iterable

import gevent

from mulberrywharf import clock, fleet
from mulberrywharf.forwarding import repeats
from mulberrywharf.peers import repeat_claims, repeat_codec, topics
from mulberrywharf.policy import allowance_shares, helpers, repeat_budget
from tests import builders_routes as build

SERVICE = "service"
HOLDER = fleet.Address("10.0.0.1", 7660)
OTHER = fleet.Address("10.0.0.2", 7660)
NOBODY = fleet.Address("10.0.0.3", 7660)


class _Network:
    """Carries messages between gateways of a test."""

    def __init__(self) -> None:
        self.sent_count = 0
        self._handlers: dict[fleet.Address, topics.Handler] = {}

    def exchange(self, address: fleet.Address) -> "_Exchange":
        return _Exchange(self, address)

    def register(self, address: fleet.Address, handler: topics.Handler) -> None:
        self._handlers[address] = handler

    def carry(
        self, body: bytes, source: fleet.Address, target: fleet.Address
    ) -> None:
        self.sent_count += 1
        handler = self._handlers.get(target)
        if handler is not None:
            gevent.spawn(handler, body, source)


class _Exchange:
    def __init__(self, network: _Network, address: fleet.Address):
        self._network = network
        self._address = address

    def register(self, topic: bytes, handler: topics.Handler) -> None:
        self._network.register(self._address, handler)

    def send(
        self,
        topic: bytes,
        body: bytes,
        addresses: Iterable[fleet.Address],
        *,
        is_urgent: bool,
    ) -> bool:
        for address in addresses:
            self._network.carry(body, self._address, address)
        return True


class _Peers:
    def __init__(self, *others: fleet.Address):
        self._others = others

    def zones(self) -> helpers.Zones:
        return helpers.Zones(list(self._others), [])


class ClaimsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.network = _Network()
        self.clock = clock.BootClock()

    def gateway(
        self,
        address: fleet.Address,
        others: Iterable[fleet.Address],
        held: Iterable[int] = (),
        holders: Callable[[], Iterable[fleet.Address]] = lambda: (HOLDER,),
    ) -> repeats.Repeats:
        shares = allowance_shares.HeldShares()
        for share in held:
            shares.note_acquired(share, 0.0, needs_cooldown=False)
        budget = repeat_budget.RepeatBudget(
            repeat_budget.RepeatBudgetSettings(allowance_count=8.0), shares
        )
        made = repeats.Repeats(
            budget, self.clock, lambda service: claims.claim(service)
        )
        claims = repeat_claims.RepeatClaims(
            _Peers(*others),
            holders,
            self.network.exchange(address),  # type: ignore[arg-type]
            lambda: (SERVICE,),
            made.lend,
            random.Random(1),
            self.clock,
        )
        return made

    def sent_count(self, gateway: repeats.Repeats, tries_count: int) -> int:
        """Returns how many of some repeats may be sent."""
        sent_count = 0
        for _ in range(tries_count):
            one = gateway.of(build.routed_request(0.0), SERVICE)
            one.note_handed_over()
            sent_count += one.may_send() and one.on_send("run").is_ok()
        return sent_count

    def test_a_gateway_without_repeats_uses_those_of_a_holder(self) -> None:
        self.gateway(HOLDER, [OTHER], held=range(3))
        other = self.gateway(OTHER, [HOLDER])
        self.assertEqual(self.sent_count(other, 10), 3)

    def test_repeats_of_the_ratio_are_lent_up_to_a_half(self) -> None:
        lender = self.gateway(HOLDER, [OTHER])
        other = self.gateway(OTHER, [HOLDER], holders=lambda: ())
        for _ in range(1_000):
            lender.note_request(SERVICE)
        gevent.sleep(1.5)
        lent_count = self.sent_count(other, 100)
        own_count = self.sent_count(lender, 100)
        self.assertGreater(lent_count, 10)
        self.assertLessEqual(abs(lent_count - own_count), 1)

    def test_a_granted_repeat_that_is_not_used_is_spent(self) -> None:
        """Guards against a grant that counts nowhere, as its reply was lost."""
        holder = self.gateway(HOLDER, [OTHER], held=range(1))
        other = self.gateway(OTHER, [HOLDER])
        self.assertIsNotNone(other.claim(SERVICE))
        self.assertEqual(self.sent_count(holder, 3), 0)

    def test_a_granted_repeat_must_be_sent_at_once(self) -> None:
        """Guards against repeats that arrive long behind their charge."""
        self.gateway(HOLDER, [OTHER], held=range(1))
        other = self.gateway(OTHER, [HOLDER])
        one = other.of(build.routed_request(0.0), SERVICE)
        one.note_handed_over()
        self.assertTrue(one.may_send())
        gevent.sleep(repeats.GRANT_LIFETIME_S)
        self.assertTrue(one.on_send("run").is_err())

    def test_nobody_is_asked_again_while_nobody_has_repeats(self) -> None:
        """Guards against claims that multiply with the failures."""
        self.gateway(HOLDER, [OTHER])
        other = self.gateway(OTHER, [HOLDER])
        self.assertEqual(self.sent_count(other, 200), 0)
        self.assertLess(self.network.sent_count, 20)

    def test_a_silent_gateway_is_not_asked_again(self) -> None:
        self.gateway(HOLDER, [OTHER], held=range(2))
        other = self.gateway(
            OTHER, [HOLDER, NOBODY], holders=lambda: (NOBODY, HOLDER)
        )
        self.assertEqual(self.sent_count(other, 10), 2)

    def test_malformed_messages_are_dropped(self) -> None:
        good = repeat_codec.encode_claim(repeat_codec.RepeatClaim(1, 2))
        for body in (b"", good[:-1], good + b"x", b"\x07" + good[1:]):
            with self.subTest(body=body):
                self.assertTrue(repeat_codec.decode(body).is_err())
        self.assertEqual(
            repeat_codec.decode(good).unwrap(), repeat_codec.RepeatClaim(1, 2)
        )
        reply = repeat_codec.RepeatReply(2**32 - 1, True)
        encoded = repeat_codec.encode_reply(reply)
        self.assertEqual(repeat_codec.decode(encoded).unwrap(), reply)


if __name__ == "__main__":
    unittest.main()
