"""Fair queue over customers, with start-time fair queueing (SFQ).

Requests that wait for a slot are served so that each customer gets engine time
in proportion to its weight, regardless of how many requests each customer
sends. A customer with a short queue therefore waits for about one request of
each other customer, even when one of them floods the queue. When the queue is
full, a new request displaces the last request of the customer with the longest
queue, unless its own customer has the longest or nearly the longest queue; then
it is refused.
"""

import collections
import heapq
import itertools
from typing import Generic, NamedTuple, TypeVar

Item = TypeVar("Item")

_STALE_SLACK_COUNT = 16
"""Stale entries that a heap may hold in addition to its number of live ones."""


class FairQueueSettings(NamedTuple):
    """Limits of the queue.

    Attributes:
        entries_limit_count: Maximum waiting requests.
        customer_limit_count: Maximum waiting requests of one customer.
        idle_limit_count: Maximum customers without a waiting request whose
            finish tag is kept.
    """

    entries_limit_count: int = 256
    customer_limit_count: int = 128
    idle_limit_count: int = 1_000


class Ticket(Generic[Item]):
    """One request in the queue.

    Attributes:
        customer: Customer that sent the request.
        item: Object passed to ``push``.
        priority: 0 (highest) to 9, among the customer's own requests.
        cost: Tokens that the request is expected to use.
        expires_s: Time after which the request is no longer returned.
        is_waiting: False once the request was returned, removed or displaced.
    """

    __slots__ = (
        "cost",
        "customer",
        "expires_s",
        "is_waiting",
        "item",
        "priority",
    )

    def __init__(
        self,
        customer: str,
        item: Item,
        *,
        cost: float,
        priority: int,
        expires_s: float,
    ):
        self.customer = customer
        self.item = item
        self.cost = cost
        self.priority = priority
        self.expires_s = expires_s
        self.is_waiting = True


class PushResult(NamedTuple, Generic[Item]):
    """Result of ``FairQueue.push``.

    Attributes:
        ticket: Ticket of the new request, or None if it is refused.
        displaced: Request that was removed to make room, if any. Its caller
            should be answered immediately.
    """

    ticket: Ticket[Item] | None
    displaced: Ticket[Item] | None = None


class _Flow(Generic[Item]):
    """One customer's waiting requests and its tags.

    Attributes:
        heap: Entries (priority, sequence number, ticket).
        waiting_count: Requests that wait; the heap may hold stale entries too.
        weight: Weight of the customer.
        start: Start tag: the virtual start time of its next request.
        finish: Finish tag: the virtual finish time of its last popped request.
    """

    __slots__ = ("finish", "heap", "start", "waiting_count", "weight")

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, Ticket[Item]]] = []
        self.waiting_count = 0
        self.weight = 1.0
        self.start = 0.0
        self.finish = 0.0


class FairQueue(Generic[Item]):
    """Queue of waiting requests that serves the customers fairly."""

    def __init__(self, settings: FairQueueSettings):
        self._settings = settings
        self._flows: collections.OrderedDict[str, _Flow[Item]] = (
            collections.OrderedDict()
        )
        # Customers with waiting requests, by start tag. Stale entries are
        # dropped when they reach the top.
        self._start_heap: list[tuple[float, int, str]] = []
        self._sequence_numbers = itertools.count()
        self._virtual_time = 0.0
        self._count = 0

    @classmethod
    def from_config(
        cls, settings: FairQueueSettings | None = None
    ) -> "FairQueue[Item]":
        """Makes an empty queue; uses default settings when None."""
        return cls(settings or FairQueueSettings())

    def __len__(self) -> int:
        """Number of waiting requests."""
        return self._count

    @property
    def stored_entries_count(self) -> int:
        """Number of entries in memory, including stale ones."""
        tickets = sum(len(flow.heap) for flow in self._flows.values())
        return tickets + len(self._start_heap) + len(self._flows)

    def waiting_count(self, customer: str) -> int:
        """Returns how many of the customer's requests wait."""
        flow = self._flows.get(customer)
        return flow.waiting_count if flow else 0

    def push(
        self,
        customer: str,
        item: Item,
        *,
        cost: float,
        weight: float = 1.0,
        priority: int = 5,
        expires_s: float = float("inf"),
    ) -> PushResult[Item]:
        """Queues a request, or refuses it if it exceeds a limit of the queue.

        Args:
            customer: Customer that sent the request.
            item: Object returned with the ticket.
            cost: Tokens that the request is expected to use; values below 1
                count as 1.
            weight: Weight of the customer relative to the others.
            priority: 0 (highest) to 9, among the customer's own requests.
            expires_s: Time after which the request is no longer returned.
        """
        if self.waiting_count(customer) >= self._settings.customer_limit_count:
            return PushResult(None)
        displaced = None
        if self._count >= self._settings.entries_limit_count:
            displaced = self._displace(customer)
            if displaced is None:
                return PushResult(None)
        ticket = Ticket(
            customer,
            item,
            cost=max(1.0, cost),
            priority=priority,
            expires_s=expires_s,
        )
        flow = self._flow_of(customer)
        flow.weight = max(weight, 0.001)
        heapq.heappush(
            flow.heap, (priority, next(self._sequence_numbers), ticket)
        )
        flow.waiting_count += 1
        self._count += 1
        if flow.waiting_count == 1:
            self._schedule(customer, flow, max(self._virtual_time, flow.finish))
        return PushResult(ticket, displaced)

    def pop(self, now_s: float) -> Ticket[Item] | None:
        """Returns the next request, or None if none waits.

        Expired requests are dropped here without notice: the code that waits
        for one has its own timeout, on which it answers the caller.
        """
        while self._start_heap:
            entry = heapq.heappop(self._start_heap)
            if not self._is_current(entry):
                continue
            start, _, customer = entry
            flow = self._flows[customer]
            ticket = self._pop_ticket(flow, now_s)
            if ticket is None:
                continue
            self._virtual_time = max(self._virtual_time, start)
            flow.finish = start + ticket.cost / flow.weight
            if flow.waiting_count:
                self._schedule(customer, flow, flow.finish)
            return ticket
        return None

    def remove(self, ticket: Ticket[Item]) -> None:
        """Removes a request whose caller is gone or was answered."""
        if not ticket.is_waiting:
            return
        ticket.is_waiting = False
        flow = self._flows[ticket.customer]
        flow.waiting_count -= 1
        self._count -= 1
        # While no engine has a free slot, requests are queued and time out,
        # and none is popped. Without this cleanup, stale tickets would
        # accumulate.
        if len(flow.heap) > 2 * flow.waiting_count + _STALE_SLACK_COUNT:
            flow.heap = [e for e in flow.heap if e[2].is_waiting]
            heapq.heapify(flow.heap)

    def _schedule(self, customer: str, flow: _Flow[Item], start: float) -> None:
        flow.start = start
        if len(self._start_heap) > 2 * len(self._flows) + _STALE_SLACK_COUNT:
            self._start_heap = [
                e for e in self._start_heap if self._is_current(e)
            ]
            heapq.heapify(self._start_heap)
        heapq.heappush(
            self._start_heap, (start, next(self._sequence_numbers), customer)
        )

    def _is_current(self, entry: tuple[float, int, str]) -> bool:
        start, _, customer = entry
        flow = self._flows.get(customer)
        if flow is None or not flow.waiting_count:
            return False
        return flow.start == start

    def _pop_ticket(
        self, flow: _Flow[Item], now_s: float
    ) -> Ticket[Item] | None:
        while flow.heap:
            _, _, ticket = heapq.heappop(flow.heap)
            if not ticket.is_waiting:
                continue
            self.remove(ticket)
            if ticket.expires_s > now_s:
                return ticket
        return None

    def _displace(self, pushing_customer: str) -> Ticket[Item] | None:
        longest = max(
            self._flows, key=lambda name: self._flows[name].waiting_count
        )
        if (
            self.waiting_count(longest)
            <= self.waiting_count(pushing_customer) + 1
        ):
            return None
        waiting = [e for e in self._flows[longest].heap if e[2].is_waiting]
        last = max(waiting, key=lambda entry: entry[:2])[2]
        self.remove(last)
        return last

    def _flow_of(self, customer: str) -> _Flow[Item]:
        flow = self._flows.get(customer)
        if flow is None:
            self._evict_idle_flows()
            flow = _Flow()
            self._flows[customer] = flow
        self._flows.move_to_end(customer)
        return flow

    def _evict_idle_flows(self) -> None:
        # The virtual time has most likely passed the finish tags of the
        # customers that were idle for longest, so evicting them has no effect.
        excess = len(self._flows) - self._settings.idle_limit_count
        if excess < 0:
            return
        idle = [n for n, flow in self._flows.items() if not flow.waiting_count]
        for name in idle[: excess + 1]:
            del self._flows[name]
