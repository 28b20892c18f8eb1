"""Claims repeats at other gateways that have some left, and grants theirs.

The gateway that grants a repeat charges it as its own, whether or not its reply
arrives. So a grant never adds to what all gateways may send; a lost message
costs one repeat.
"""

import itertools
import random
from collections.abc import Callable, Iterable, Iterator
from typing import Protocol

import gevent.event
from loguru import logger
from result import Err

from mulberrywharf import clock, fleet, metrics
from mulberrywharf.peers import notice_codec, repeat_codec, topics
from mulberrywharf.policy import helpers

REPLY_TIMEOUT_S = 0.05
"""Maximum time to wait for a reply. A round trip between availability zones
takes about 2 ms, and a busy gateway some tens of milliseconds more."""

REFUSED_PAUSE_S = 0.3
"""How long nothing is claimed for a service after all asked gateways refused.
When many servers fail, nobody has repeats left, and each request would wait for
replies in vain."""

SILENT_PAUSE_S = 1.0
"""How long a gateway that did not reply is not asked."""

ASKED_COUNT = 3
"""Maximum number of gateways asked for one repeat."""

PENDING_LIMIT_COUNT = 16
"""Maximum number of claims that wait for a reply at a time."""

_NUMBERS_COUNT = 2**32

_claims_total = metrics.counter(
    "mulberry_repeat_claims_total",
    "Repeats claimed at other gateways, by result: granted, refused, silent or"
    " busy.",
)


class Peers(Protocol):
    """The other gateways."""

    def zones(self) -> helpers.Zones:
        """Returns the addresses of the other gateways by closeness."""
        ...


class RepeatClaims:
    """Claims repeats, and decides the claims of other gateways."""

    def __init__(
        self,
        peers: Peers,
        holders: Callable[[], Iterable[fleet.Address]],
        exchange: topics.TopicExchange,
        services: Callable[[], Iterable[str]],
        lend: Callable[[str], bool],
        rng: random.Random,
        system_clock: clock.Clock,
    ):
        """Creates it and registers it with the exchange.

        Args:
            peers: The other gateways.
            holders: Returns the gateways that hold shares of the allowance.
            exchange: Carries claims and replies.
            services: Returns the names of all services.
            lend: Charges a repeat for another gateway, if one can be spared.
            rng: Chooses among gateways.
            system_clock: Source of monotonic time.
        """
        self._peers = peers
        self._holders = holders
        self._exchange = exchange
        self._services = services
        self._lend = lend
        self._rng = rng
        self._clock = system_clock
        self._numbers = itertools.count(rng.getrandbits(32))
        self._pending: dict[int, _PendingClaim] = {}
        self._refused_until_s: dict[str, float] = {}
        self._silent_until_s: dict[fleet.Address, float] = {}
        self._last_lenders: dict[str, fleet.Address] = {}
        exchange.register(b"r", self._on_message)

    def claim(self, service: str) -> bool:
        """Asks other gateways for a repeat; returns whether one granted it."""
        now_s = self._clock.monotonic_s()
        is_paused = now_s < self._refused_until_s.get(service, float("-inf"))
        if is_paused or len(self._pending) >= PENDING_LIMIT_COUNT:
            _claims_total.inc({"result": "busy"})
            return False
        for address in itertools.islice(
            self._candidates(service, now_s), ASKED_COUNT
        ):
            is_granted = self._ask(address, service)
            if is_granted is None:
                self._silent_until_s[address] = (
                    self._clock.monotonic_s() + SILENT_PAUSE_S
                )
            elif is_granted:
                self._last_lenders[service] = address
                _claims_total.inc({"result": "granted"})
                return True
        self._last_lenders.pop(service, None)
        self._refused_until_s[service] = (
            self._clock.monotonic_s() + REFUSED_PAUSE_S
        )
        _claims_total.inc({"result": "refused"})
        return False

    def _candidates(
        self, service: str, now_s: float
    ) -> Iterator[fleet.Address]:
        """Yields gateways to ask, likely lenders first."""
        zones = self._peers.zones()
        known = {*zones.own, *zones.others}
        self._silent_until_s = {
            address: until_s
            for address, until_s in self._silent_until_s.items()
            if until_s > now_s
        }
        usable = known.difference(self._silent_until_s)
        last = self._last_lenders.get(service)
        groups = (
            [last] if last is not None else [],
            list(self._holders()),
            zones.own,
            zones.others,
        )
        for group in groups:
            chosen = [one for one in group if one in usable]
            if chosen:
                address = self._rng.choice(chosen)
                usable.discard(address)
                yield address

    def _ask(self, address: fleet.Address, service: str) -> bool | None:
        """Returns a gateway's decision, None if it did not reply in time."""
        number = next(self._numbers) % _NUMBERS_COUNT
        pending = self._pending[number] = _PendingClaim(address)
        claim = repeat_codec.RepeatClaim(
            number, notice_codec.hash_name(service)
        )
        try:
            is_sent = self._exchange.send(
                b"r",
                repeat_codec.encode_claim(claim),
                [address],
                is_urgent=False,
            )
            if not is_sent:
                return False
            return pending.reply.wait(REPLY_TIMEOUT_S)
        finally:
            del self._pending[number]

    def _on_message(self, body: bytes, source: fleet.Address) -> bool:
        decoded = repeat_codec.decode(body)
        if isinstance(decoded, Err):
            logger.warning("message dropped: {}", decoded.err_value.message)
            return False
        match decoded.ok_value:
            case repeat_codec.RepeatClaim(number, service_key):
                reply = repeat_codec.RepeatReply(
                    number, self._decide(service_key)
                )
                self._exchange.send(
                    b"r",
                    repeat_codec.encode_reply(reply),
                    [source],
                    is_urgent=False,
                )
            case repeat_codec.RepeatReply(number, is_granted):
                pending = self._pending.get(number)
                # The claim is missing if the reply arrived too late.
                if pending is not None and pending.address == source:
                    pending.reply.set(is_granted)
        return True

    def _decide(self, service_key: int) -> bool:
        for service in self._services():
            if notice_codec.hash_name(service) == service_key:
                return self._lend(service)
        return False


class _PendingClaim:
    """A claim that waits for its reply from an address."""

    def __init__(self, address: fleet.Address):
        self.address = address
        self.reply: gevent.event.AsyncResult[bool] = gevent.event.AsyncResult()
