"""Sends recorded orders to engines, several at once."""

import functools
from collections.abc import Callable, Sequence
from typing import NamedTuple

import gevent
import gevent.pool

from mulberrywharf import errors, fleet, metrics
from mulberrywharf.authority import lease_fuse
from mulberrywharf.engines import orders

_CONCURRENT_ORDERS_COUNT = 32

_orders_counter = metrics.counter(
    "mulberry_controller_orders_total",
    "Orders sent to engines, by action and outcome.",
)


class Sending(NamedTuple):
    """One order that is to leave.

    Attributes:
        engine_id: The engine.
        address: Where it takes orders.
        order: The order, which is recorded already.
    """

    engine_id: str
    address: fleet.Address
    order: orders.Order


class Sent(NamedTuple):
    """What became of it."""

    sending: Sending
    result: orders.OrderResult


class OrderSender:
    """Sends orders under a fuse, and drops them when authority ends."""

    def __init__(self, fuse: lease_fuse.LeaseFuse, *, user_timeout_s: float):
        self._fuse = fuse
        self._user_timeout_s = user_timeout_s
        self._pool = gevent.pool.Pool(_CONCURRENT_ORDERS_COUNT)

    def send_all(
        self, sendings: Sequence[Sending], check: Callable[[], None]
    ) -> list[Sent]:
        """Sends orders to different engines and waits for all outcomes.

        Args:
            sendings: At most one for each engine.
            check: Raises AuthorityLostError when the orders' own lease is
                gone; asked, with the fuse, right before the first byte.
        """
        greenlets = [self._pool.spawn(self._send, s, check) for s in sendings]
        gevent.joinall(greenlets)
        return [g.value for g in greenlets if isinstance(g.value, Sent)]

    def drop_all(self) -> None:
        """Ends every exchange; what the kernel still holds is dropped."""
        self._pool.kill(block=False)

    def _send(self, sending: Sending, check: Callable[[], None]) -> Sent:
        def before_send() -> None:
            check()
            self._fuse.check()

        result = orders.send_order(
            sending.address,
            sending.order,
            user_timeout_s=self._user_timeout_s,
            before_send=before_send,
        )
        outcome = outcome_name(result.value)
        _orders_counter.inc(
            {"action": sending.order.action, "outcome": outcome}
        )
        return Sent(sending, result)


@functools.singledispatch
def outcome_name(outcome: object) -> str:
    """Returns the short name of an order's outcome, for the metrics."""
    raise TypeError(f"not an outcome: {outcome!r}")


@outcome_name.register
def _accepted_name(outcome: orders.OrderAccepted) -> str:
    return "accepted"


@outcome_name.register
def _error_name(outcome: errors.MulberryError) -> str:
    return outcome.code
