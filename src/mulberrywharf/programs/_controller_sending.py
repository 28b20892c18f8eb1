"""Sends recorded orders to engines, several at a time."""

import functools
from collections.abc import Callable, Sequence
from typing import NamedTuple

import gevent
import gevent.pool

from mulberrywharf import errors, fleet, metrics
from mulberrywharf.authority import lease_watchdog
from mulberrywharf.engines import orders

_CONCURRENT_ORDERS_COUNT = 32

_orders_counter = metrics.counter(
    "mulberry_controller_orders_total",
    "Orders sent to engines, by action and outcome.",
)


class OutgoingOrder(NamedTuple):
    """An order to send.

    Attributes:
        engine_id: The engine that receives it.
        address: The engine's address for orders.
        order: The order, already recorded.
    """

    engine_id: str
    address: fleet.Address
    order: orders.Order


class SentOrder(NamedTuple):
    """An order that was sent, with the result."""

    outgoing: OutgoingOrder
    result: orders.OrderResult


class OrderSender:
    """Sends orders while the lease is held, and cancels them when it ends."""

    def __init__(
        self, watchdog: lease_watchdog.LeaseWatchdog, *, user_timeout_s: float
    ):
        self._watchdog = watchdog
        self._user_timeout_s = user_timeout_s
        self._pool = gevent.pool.Pool(_CONCURRENT_ORDERS_COUNT)

    def send_all(
        self, outgoing: Sequence[OutgoingOrder], check: Callable[[], None]
    ) -> list[SentOrder]:
        """Sends orders to different engines and waits for all outcomes.

        Args:
            outgoing: At most one for each engine.
            check: Raises AuthorityLostError if the lease of the orders was
                lost. Called right before the first byte is sent, together
                with the check of the lease's remaining time.
        """
        greenlets = [self._pool.spawn(self._send, s, check) for s in outgoing]
        gevent.joinall(greenlets)
        return [g.value for g in greenlets if isinstance(g.value, SentOrder)]

    def cancel_all(self) -> None:
        """Cancels every exchange; the kernel discards unsent bytes."""
        self._pool.kill(block=False)

    def _send(
        self, outgoing: OutgoingOrder, check: Callable[[], None]
    ) -> SentOrder:
        def before_send() -> None:
            check()
            self._watchdog.check()

        result = orders.send_order(
            outgoing.address,
            outgoing.order,
            user_timeout_s=self._user_timeout_s,
            before_send=before_send,
        )
        outcome = outcome_name(result.value)
        _orders_counter.inc(
            {"action": outgoing.order.action, "outcome": outcome}
        )
        return SentOrder(outgoing, result)


@functools.singledispatch
def outcome_name(outcome: object) -> str:
    """Returns the label of an order's outcome in the metrics."""
    raise TypeError(f"not an outcome: {outcome!r}")


@outcome_name.register
def _accepted_name(outcome: orders.OrderAccepted) -> str:
    return "accepted"


@outcome_name.register
def _error_name(outcome: errors.MulberryError) -> str:
    return outcome.code
