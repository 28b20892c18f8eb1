"""Keeps the orders of engines that were recorded, and what became of them.

The record in the key-value service holds the orders whose outcome the next
holder has to know: those without an answer, which it repeats, and accepted ones
whose engines have not appeared yet.
"""

from collections.abc import Iterable
from typing import NamedTuple

import orjson
from loguru import logger

from mulberrywharf import stated_numbers
from mulberrywharf.duties import client

_COUNT_LIMIT = 100_000
"""More engines than any fleet has. The next holder repeats an order that has no
answer, so a larger number must not be one."""

ARRIVAL_MARGIN_S = 2.0
"""Added to the boot time of an engine. Within it an ordered engine registers
and its record reaches the gateway; a record is a heartbeat old at most."""


class Subject(NamedTuple):
    """What an order concerns: the engines of one kind in one zone.

    Attributes:
        service: Name of the service.
        availability_zone: The zone.
        is_reclaimable: The kind.
    """

    service: str
    availability_zone: str
    is_reclaimable: bool


class RecordedOrder(NamedTuple):
    """An order and what is known of its outcome.

    Attributes:
        order: The order.
        is_answered: Whether the platform accepted it. Until then it is
            repeated unchanged.
        answered_s: Monotonic time of the answer.
        has_arrived: Whether exactly the ordered number of engines was present
            since the answer.
        outcome: Outcome of the last attempt to send it, for the log.
        former: The accepted order that it replaces; in force again if the
            platform refuses this one.
    """

    order: client.ServiceOrder
    is_answered: bool = False
    answered_s: float = 0.0
    has_arrived: bool = False
    outcome: str = ""
    former: "RecordedOrder | None" = None


class OrderBook:
    """The latest order of each subject."""

    def __init__(self) -> None:
        self._orders: dict[Subject, RecordedOrder] = {}

    def load(self, record: bytes | None, now_s: float) -> None:
        """Replaces all orders by those in a record of a former holder.

        The time of an answer is not recorded; it counts as answered now, so
        that its engines have their whole boot time to appear.
        """
        self._orders = {
            subject_of(one.order): one._replace(answered_s=now_s)
            for one in decode(record)
        }

    def keep_only(self, services: Iterable[str]) -> None:
        """Drops the orders of services that are no longer scaled."""
        kept = set(services)
        self._orders = {
            subject: recorded
            for subject, recorded in self._orders.items()
            if subject.service in kept
        }

    def put(self, orders: Iterable[client.ServiceOrder]) -> None:
        """Adds orders that are about to be recorded and sent."""
        for order in orders:
            subject = subject_of(order)
            known = self._orders.get(subject)
            former = (
                known._replace(former=None)
                if known and known.is_answered
                else None
            )
            self._orders[subject] = RecordedOrder(order, former=former)

    def note_accepted(self, order: client.ServiceOrder, now_s: float) -> None:
        """Notes that the platform accepted an order."""
        self._orders[subject_of(order)] = RecordedOrder(
            order, is_answered=True, answered_s=now_s
        )

    def note_outcome(self, order: client.ServiceOrder, outcome: str) -> bool:
        """Notes the outcome of an attempt that leaves the order open.

        Returns:
            Whether it differs from that of the attempt before.
        """
        subject = subject_of(order)
        known = self._orders[subject]
        # Moved to the end, so that an order whose call never succeeds does not
        # keep the others waiting.
        del self._orders[subject]
        self._orders[subject] = known._replace(outcome=outcome)
        return known.outcome != outcome

    def drop(self, order: client.ServiceOrder) -> None:
        """Drops an order that the platform refused."""
        refused = self._orders.pop(subject_of(order), None)
        if refused is not None and refused.former is not None:
            self._orders[subject_of(order)] = refused.former

    def find(self, subject: Subject) -> RecordedOrder | None:
        """Returns the latest order of a subject, None if there is none."""
        return self._orders.get(subject)

    def unanswered(self) -> list[client.ServiceOrder]:
        """Returns the orders to repeat, the longest not tried first."""
        return [
            recorded.order
            for recorded in self._orders.values()
            if not recorded.is_answered
        ]

    def is_zone_open(self, service: str, availability_zone: str) -> bool:
        """Returns whether an order of a service and zone has no answer."""
        return any(
            (order.service, order.availability_zone)
            == (service, availability_zone)
            for order in self.unanswered()
        )

    def valid_count(
        self,
        subject: Subject,
        present_count: int,
        boot_s: float,
        now_s: float,
    ) -> int | None:
        """Returns the ordered number of engines, None if it is not in force.

        An order is in force until its engines have had the time to appear, and
        afterwards while their number is the ordered one. Another number means
        that engines were taken back, or that an earlier order was carried out
        late. Then the plan must decide by the engines that are present.

        Args:
            subject: The subject.
            present_count: Engines that serve now.
            boot_s: Time from an order until a new engine serves.
            now_s: The current time.
        """
        known = self._orders.get(subject)
        if known is None:
            return None
        count = known.order.desired_count
        if not known.is_answered:
            return count
        if present_count == count:
            self._orders[subject] = known._replace(has_arrived=True)
            return count
        waited_s = now_s - known.answered_s
        if known.has_arrived or waited_s > boot_s + ARRIVAL_MARGIN_S:
            return None
        return count

    def encode(self, number: int) -> bytes:
        """Encodes the orders for the record.

        Orders whose engines have appeared are left out: the next holder sees
        the engines.

        Args:
            number: Fencing number under which the orders are sent.
        """
        return orjson.dumps(
            {
                "number": number,
                "orders": [
                    {**one.order._asdict(), "is_answered": one.is_answered}
                    for one in self._orders.values()
                    if not one.has_arrived
                ],
            }
        )


def subject_of(order: client.ServiceOrder) -> Subject:
    """Returns the subject of an order."""
    return Subject(order.service, order.availability_zone, order.is_reclaimable)


def decode(record: bytes | None) -> list[RecordedOrder]:
    """Decodes a record; an unreadable one yields no orders."""
    if record is None:
        return []
    try:
        return [
            RecordedOrder(
                client.ServiceOrder(
                    str(fields["service"]),
                    str(fields["availability_zone"]),
                    bool(fields["is_reclaimable"]),
                    stated_numbers.count(
                        fields["desired_count"],
                        "desired_count",
                        limit=_COUNT_LIMIT,
                    ),
                ),
                bool(fields["is_answered"]),
            )
            for fields in orjson.loads(record)["orders"]
        ]
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        logger.warning("capacity record could not be decoded: {!r}", error)
        return []
