"""Orders engines from the operators' platform, as the capacity plan decides.

Only the gateway that holds the duty does so. Each order is recorded before it
is sent and repeated unchanged until it is answered. Numbers are absolute, so
that an order that is carried out twice or late does no harm: the plan compares
the engines that are present with those that it wants.
"""

import collections
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple, Protocol

import gevent
from loguru import logger
from result import Err, Ok, Result

from mulberrywharf import clock, errors, fleet, metrics, supervised_task
from mulberrywharf.authority import duty_holder
from mulberrywharf.duties import capacity_metrics, capacity_records, client
from mulberrywharf.policy import capacity_plan

ROUND_INTERVAL_S = 1.0
"""Interval between two rounds. Bursts last 3 s and longer, and an ordered
engine serves only some seconds later."""

UNAVAILABLE_S = 5.0
"""How long an order that the platform refused is not requested again. After a
loss of all reclaimable engines of a zone, none are available for some seconds,
and each call counts toward the platform's limit on duty calls."""

MIN_REPEAT_INTERVAL_S = 2.0
"""Time after its answer before an order may be repeated because its engines are
missing. The list of engines may be a heartbeat old."""

MAX_UNANSWERED_COUNT = 1
"""Unanswered orders with which other zones are still planned. One may fail for
a reason of its own; with more, the platform is unavailable, and orders planned
now would be old when it is back."""

_orders_total = metrics.counter(
    "mulberry_capacity_orders_total",
    "Calls that order engines, by kind of engine and outcome.",
)


class CapacityTask(Protocol):
    """Holds the duty of ordering engines."""

    @property
    def last_record(self) -> bytes | None:
        """The latest record written by this holder or read at takeover."""
        ...

    def authority(
        self,
    ) -> Result[duty_holder.Authority, errors.AuthorityLostError]:
        """Returns the authority if it is held and may be used now."""
        ...

    def record(self, value: bytes) -> Result[None, errors.PlatformError]:
        """Writes the record before orders are sent."""
        ...


class Fleet(Protocol):
    """What this gateway knows about the services and their engines."""

    def scaled_services(self) -> Mapping[str, capacity_plan.CapacityBounds]:
        """Returns the bounds of the services whose engines are ordered."""
        ...

    def engines(self, service: str) -> Sequence[fleet.Server]:
        """Returns the engines of a service, also those that are leaving."""
        ...

    def demand(self, service: str) -> capacity_plan.CapacityDemand | None:
        """Returns the demand, None while it is not known."""
        ...

    def stale_reason(self) -> str | None:
        """Returns why this view may be stale, None if it is not."""
        ...


class OrderSender(Protocol):
    """Sends orders to the operators' platform."""

    def order_engines(
        self, order: client.ServiceOrder, identity: client.HolderIdentity
    ) -> Result[None, errors.MulberryError]:
        """Orders engines."""
        ...


class Plan(Protocol):
    """Decides how many engines a service has."""

    def decide(
        self,
        bounds: capacity_plan.CapacityBounds,
        zones: Sequence[capacity_plan.ZoneEngines],
        demand: capacity_plan.CapacityDemand | None,
        unavailable: frozenset[capacity_plan.Unavailable],
        now_s: float,
    ) -> list[capacity_plan.CapacityOrder]:
        """Returns the orders to send now."""
        ...


class _Presence(NamedTuple):
    """Engines of a service in one zone: serving by kind, and leaving."""

    serving: Mapping[bool, int]
    leaving_count: int


class _AuthorityGoneError(Exception):
    """Ends a round: the duty may be lost, or the record was not written."""


class CapacityOrders:
    """Plans, records and sends orders of engines while the duty is held."""

    def __init__(
        self,
        task: CapacityTask,
        known_fleet: Fleet,
        sender: OrderSender,
        vm_id: str,
        system_clock: clock.Clock,
        *,
        make_plan: Callable[[], Plan] = capacity_plan.CapacityPlan,
    ):
        """Creates it; ``start`` begins the rounds.

        Args:
            task: Holds the duty and keeps the record of this task.
            known_fleet: Services, engines and demand.
            sender: Sends the orders.
            vm_id: Identifies this gateway in orders.
            system_clock: Measures boot times and refusals.
            make_plan: Creates the plan of one service. A new holder starts
                with new plans.
        """
        self._task = task
        self._fleet = known_fleet
        self._sender = sender
        self._vm_id = vm_id
        self._clock = system_clock
        self._make_plan = make_plan
        self._number: int | None = None
        self._book = capacity_records.OrderBook()
        self._plans: dict[str, Plan] = {}
        self._unavailable: dict[capacity_records.Subject, float] = {}
        self._gauges = capacity_metrics.CapacityGauges()
        self._last_stale_reason: str | None = None
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts the rounds."""
        self._greenlet = supervised_task.spawn("capacity-orders", self._run)

    def close(self) -> None:
        """Stops the rounds; the next holder repeats unanswered orders."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def _run(self) -> None:
        while True:
            gevent.sleep(ROUND_INTERVAL_S)
            self.poll()

    def poll(self) -> None:
        """Plans and orders for all services if the duty is held."""
        services = self._fleet.scaled_services()
        held = self._task.authority()
        if not services or isinstance(held, Err):
            self._forget()
            return
        stale_reason = self._fleet.stale_reason()
        self._log_stale(stale_reason)
        if stale_reason is not None:
            return
        if held.ok_value.number != self._number:
            self._take_over(held.ok_value.number)
        self._book.keep_only(services)
        try:
            self._send_all(self._book.unanswered())
            for service, bounds in services.items():
                if len(self._book.unanswered()) > MAX_UNANSWERED_COUNT:
                    break
                self._round(service, bounds)
                # Callers' requests go first: a round over all services of a
                # large fleet takes some milliseconds.
                gevent.sleep(0)
        except _AuthorityGoneError as error:
            logger.info("no engines ordered: {}", error)
            self._forget()

    def _take_over(self, number: int) -> None:
        self._forget()
        self._number = number
        self._book.load(self._task.last_record, self._clock.monotonic_s())
        logger.bind(
            number=number, unanswered_count=len(self._book.unanswered())
        ).info("this VM orders engines now")

    def _forget(self) -> None:
        """Drops what another holder may change from now on."""
        self._number = None
        self._plans.clear()
        self._unavailable.clear()
        self._gauges.clear()

    def _log_stale(self, reason: str | None) -> None:
        if reason != self._last_stale_reason:
            self._last_stale_reason = reason
            logger.info(
                "engines may be ordered again"
                if reason is None
                else f"no engines are ordered: {reason}"
            )

    def _round(
        self, service: str, bounds: capacity_plan.CapacityBounds
    ) -> None:
        now_s = self._clock.monotonic_s()
        present = _presence(self._fleet.engines(service), bounds.zone_prices)
        zones = [
            self._zone_engines(service, zone, found, bounds.boot_s, now_s)
            for zone, found in sorted(present.items())
        ]
        demand = self._fleet.demand(service)
        plan = self._plans.get(service)
        if plan is None:
            plan = self._plans[service] = self._make_plan()
        planned = plan.decide(
            bounds, zones, demand, self._recently_refused(service, now_s), now_s
        )
        orders = [
            one for one in planned if self._is_due(service, one, present, now_s)
        ]
        if orders:
            _log_plan(service, demand, zones, orders)
            self._order(service, orders)
        self._show(service, present, bounds.boot_s)

    def _zone_engines(
        self,
        service: str,
        zone: str,
        found: _Presence,
        boot_s: float,
        now_s: float,
    ) -> capacity_plan.ZoneEngines:
        ordered = {
            kind: self._book.valid_count(
                capacity_records.Subject(service, zone, kind),
                found.serving[kind],
                boot_s,
                now_s,
            )
            for kind in capacity_metrics.KIND_NAMES
        }
        return capacity_plan.ZoneEngines(
            zone,
            found.serving[False],
            found.serving[True],
            found.leaving_count,
            ordered[False],
            ordered[True],
        )

    def _recently_refused(
        self, service: str, now_s: float
    ) -> frozenset[capacity_plan.Unavailable]:
        self._unavailable = {
            subject: until_s
            for subject, until_s in self._unavailable.items()
            if now_s < until_s
        }
        return frozenset(
            capacity_plan.Unavailable(
                subject.availability_zone, subject.is_reclaimable
            )
            for subject in self._unavailable
            if subject.service == service
        )

    def _is_due(
        self,
        service: str,
        planned: capacity_plan.CapacityOrder,
        present: Mapping[str, _Presence],
        now_s: float,
    ) -> bool:
        """Returns whether a planned order is to be sent now.

        It is not while another order of its zone has no answer, while the
        platform has no such engines, and if nothing was ever ordered and it
        asks for what is there. The number that was last ordered repeats the
        order.
        """
        zone, kind = planned.availability_zone, planned.is_reclaimable
        subject = capacity_records.Subject(service, zone, kind)
        if zone not in present or self._book.is_zone_open(service, zone):
            return False
        present_count = present[zone].serving[kind]
        if (
            subject in self._unavailable
            and planned.desired_count > present_count
        ):
            return False
        known = self._book.find(subject)
        if known is None:
            return planned.desired_count != present_count
        return (
            planned.desired_count != known.order.desired_count
            or now_s - known.answered_s >= MIN_REPEAT_INTERVAL_S
        )

    def _order(
        self, service: str, planned: Iterable[capacity_plan.CapacityOrder]
    ) -> None:
        """Records and sends orders, at most one a zone at a time."""
        left = [
            client.ServiceOrder(
                service,
                one.availability_zone,
                one.is_reclaimable,
                one.desired_count,
            )
            for one in planned
        ]
        while left:
            batch = {one.availability_zone: one for one in reversed(left)}
            left = [one for one in left if one not in batch.values()]
            self._book.put(batch.values())
            self._record()
            if not self._send_all(batch.values()):
                return

    def _record(self) -> None:
        assert self._number is not None
        recorded = self._task.record(self._book.encode(self._number))
        if isinstance(recorded, Err):
            raise _AuthorityGoneError(recorded.err_value.message)

    def _send_all(self, orders: Iterable[client.ServiceOrder]) -> bool:
        """Sends recorded orders until one is not answered.

        Returns:
            Whether all were answered. The others follow in the next round, so
            that a platform that answers late or refuses further calls is not
            called more often than once a round.
        """
        return all(self._send(order) for order in orders)

    def _send(self, order: client.ServiceOrder) -> bool:
        """Sends one order; returns whether the platform answered it."""
        assert self._number is not None
        sent = self._sender.order_engines(
            order, client.HolderIdentity(self._vm_id, self._number)
        )
        if isinstance(sent, Ok):
            self._book.note_accepted(order, self._clock.monotonic_s())
            self._log_order(order, "accepted", is_logged=True)
            return True
        error = sent.err_value
        if isinstance(error, errors.AuthorityLostError):
            raise _AuthorityGoneError(error.message)
        if isinstance(error, errors.OrderRefusedError):
            self._on_refused(order, error)
            return True
        is_changed = self._book.note_outcome(order, error.code)
        self._log_order(order, error.code, is_logged=is_changed)
        return False

    def _on_refused(
        self, order: client.ServiceOrder, error: errors.OrderRefusedError
    ) -> None:
        """Handles a refusal.

        It may mean that another gateway holds the duty. The record can be
        written only by the holder. If it still can be, the platform has no
        such engines.
        """
        self._book.drop(order)
        self._log_order(order, error.code, is_logged=True)
        self._record()
        self._unavailable[capacity_records.subject_of(order)] = (
            self._clock.monotonic_s() + UNAVAILABLE_S
        )

    def _log_order(
        self, order: client.ServiceOrder, outcome: str, *, is_logged: bool
    ) -> None:
        kind = capacity_metrics.KIND_NAMES[order.is_reclaimable]
        _orders_total.inc({"kind": kind, "outcome": outcome})
        if is_logged:
            logger.bind(
                service=order.service,
                availability_zone=order.availability_zone,
                kind=kind,
                desired_count=order.desired_count,
                number=self._number,
                outcome=outcome,
            ).info("engines ordered")

    def _show(
        self, service: str, present: Mapping[str, _Presence], boot_s: float
    ) -> None:
        now_s = self._clock.monotonic_s()
        for zone, found in present.items():
            for kind, count in found.serving.items():
                subject = capacity_records.Subject(service, zone, kind)
                valid_count = self._book.valid_count(
                    subject, count, boot_s, now_s
                )
                self._gauges.show(
                    subject,
                    count if valid_count is None else valid_count,
                    count,
                )


def _presence(
    engines: Iterable[fleet.Server], zones: Iterable[str]
) -> dict[str, _Presence]:
    """Counts engines by zone; includes zones without any."""
    serving: collections.Counter[tuple[str, bool]] = collections.Counter()
    leaving: collections.Counter[str] = collections.Counter()
    names = set(zones)
    for one in engines:
        names.add(one.availability_zone)
        if one.is_draining:
            leaving[one.availability_zone] += 1
        else:
            serving[one.availability_zone, one.is_reclaimable] += 1
    return {
        zone: _Presence(
            {kind: serving[zone, kind] for kind in capacity_metrics.KIND_NAMES},
            leaving[zone],
        )
        for zone in names
    }


def _log_plan(
    service: str,
    demand: capacity_plan.CapacityDemand | None,
    zones: Sequence[capacity_plan.ZoneEngines],
    orders: Sequence[capacity_plan.CapacityOrder],
) -> None:
    logger.bind(
        service=service,
        prefill_engines=round(demand.prefill_engines, 2) if demand else None,
        decode_engines=round(demand.decode_engines, 2) if demand else None,
        present=[
            f"{one.availability_zone}:{one.regular_count}"
            f"+{one.reclaimable_count}-{one.leaving_count}"
            for one in zones
        ],
        orders=[
            " ".join(
                (
                    one.availability_zone,
                    capacity_metrics.KIND_NAMES[one.is_reclaimable],
                    f"{one.desired_count}: {one.reason}",
                )
            )
            for one in orders
        ],
    ).info("capacity planned")
