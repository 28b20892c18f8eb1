"""A fair queue over customers: start-time fair queueing.

Requests that wait for a place are served so that each customer gets engine
time in proportion to its weight, however many requests one of them sends. A
customer with a short queue therefore waits for about one request of each of
the others, not for the flood of one. When the queue is full, the newcomer
takes the place of the last request of the customer with the longest queue,
unless it is that customer's own.
"""

import collections
import heapq
import itertools
from typing import Generic, NamedTuple, TypeVar

Item = TypeVar("Item")

_SLACK_COUNT = 16
"""Dead entries that a heap may hold beyond as many as are alive."""


class FairQueueSettings(NamedTuple):
    """Bounds of the queue.

    Attributes:
        entries_limit_count: Most requests that wait.
        customer_limit_count: Most requests of one customer that wait.
        idle_limit_count: Customers without a waiting request whose used
            share is remembered.
    """

    entries_limit_count: int = 256
    customer_limit_count: int = 128
    idle_limit_count: int = 1_000


class Ticket(Generic[Item]):
    """One waiting request.

    Attributes:
        customer: Whose it is.
        item: What the caller of ``push`` gave.
        priority: 0 (first) to 9, among the customer's own requests.
        cost: Tokens that it will use.
        expires_s: After this it is no longer handed out.
        is_waiting: False once it was handed out, removed or displaced.
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


class Queued(NamedTuple, Generic[Item]):
    """What became of a push.

    Attributes:
        ticket: The newcomer's, or None when it is refused.
        displaced: The request that lost its place, to be answered at once.
    """

    ticket: Ticket[Item] | None
    displaced: Ticket[Item] | None = None


class _Flow(Generic[Item]):
    """One customer's waiting requests and its used share."""

    __slots__ = ("finish", "heap", "start", "waiting_count", "weight")

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, Ticket[Item]]] = []
        self.waiting_count = 0
        self.weight = 1.0
        self.start = 0.0
        self.finish = 0.0


class FairQueue(Generic[Item]):
    """Requests that wait, handed out fairly by customer."""

    def __init__(self, settings: FairQueueSettings):
        self._settings = settings
        self._flows: collections.OrderedDict[str, _Flow[Item]] = (
            collections.OrderedDict()
        )
        # Customers with waiting requests by start tag; entries go stale and
        # are dropped when they come up.
        self._order: list[tuple[float, int, str]] = []
        self._numbers = itertools.count()
        self._virtual = 0.0
        self._count = 0

    @classmethod
    def from_config(
        cls, settings: FairQueueSettings | None = None
    ) -> "FairQueue[Item]":
        """Makes an empty queue, with the default bounds when none given."""
        return cls(settings or FairQueueSettings())

    def __len__(self) -> int:
        """Requests that wait."""
        return self._count

    @property
    def held_count(self) -> int:
        """Entries in memory, those included that no longer wait."""
        tickets = sum(len(flow.heap) for flow in self._flows.values())
        return tickets + len(self._order) + len(self._flows)

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
    ) -> Queued[Item]:
        """Queues a request, or refuses it when the queue is full.

        Args:
            customer: Whose it is.
            item: Handed back with the ticket.
            cost: Tokens that it will use, at least 1.
            weight: The customer's part of the whole against others'.
            priority: 0 (first) to 9, among the customer's own requests.
            expires_s: After this it is no longer handed out.
        """
        if self.waiting_count(customer) >= self._settings.customer_limit_count:
            return Queued(None)
        displaced = None
        if self._count >= self._settings.entries_limit_count:
            displaced = self._displace(customer)
            if displaced is None:
                return Queued(None)
        ticket = Ticket(
            customer,
            item,
            cost=max(1.0, cost),
            priority=priority,
            expires_s=expires_s,
        )
        flow = self._flow(customer)
        flow.weight = max(weight, 0.001)
        heapq.heappush(flow.heap, (priority, next(self._numbers), ticket))
        flow.waiting_count += 1
        self._count += 1
        if flow.waiting_count == 1:
            self._schedule(customer, flow, max(self._virtual, flow.finish))
        return Queued(ticket, displaced)

    def pop(self, now_s: float) -> Ticket[Item] | None:
        """Hands out the next request, or None when none waits.

        Requests that expired are dropped here; whoever waits on one has its
        own timer and answers its caller without being told.
        """
        while self._order:
            entry = heapq.heappop(self._order)
            if not self._is_current(entry):
                continue
            start, _, customer = entry
            flow = self._flows[customer]
            ticket = self._take_first(flow, now_s)
            if ticket is None:
                continue
            self._virtual = max(self._virtual, start)
            flow.finish = start + ticket.cost / flow.weight
            if flow.waiting_count:
                self._schedule(customer, flow, flow.finish)
            return ticket
        return None

    def remove(self, ticket: Ticket[Item]) -> None:
        """Takes out a request whose caller is gone or was answered."""
        if not ticket.is_waiting:
            return
        ticket.is_waiting = False
        flow = self._flows[ticket.customer]
        flow.waiting_count -= 1
        self._count -= 1
        # While no engine has a place, callers come and time out and nothing
        # is handed out; without this their dead tickets would pile up.
        if len(flow.heap) > 2 * flow.waiting_count + _SLACK_COUNT:
            flow.heap = [e for e in flow.heap if e[2].is_waiting]
            heapq.heapify(flow.heap)

    def _schedule(self, customer: str, flow: _Flow[Item], start: float) -> None:
        flow.start = start
        if len(self._order) > 2 * len(self._flows) + _SLACK_COUNT:
            self._order = [e for e in self._order if self._is_current(e)]
            heapq.heapify(self._order)
        heapq.heappush(self._order, (start, next(self._numbers), customer))

    def _is_current(self, entry: tuple[float, int, str]) -> bool:
        start, _, customer = entry
        flow = self._flows.get(customer)
        if flow is None or not flow.waiting_count:
            return False
        return flow.start == start

    def _take_first(
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

    def _displace(self, newcomer: str) -> Ticket[Item] | None:
        longest = max(
            self._flows, key=lambda name: self._flows[name].waiting_count
        )
        if self.waiting_count(longest) <= self.waiting_count(newcomer) + 1:
            return None
        waiting = [e for e in self._flows[longest].heap if e[2].is_waiting]
        last = max(waiting, key=lambda entry: entry[:2])[2]
        self.remove(last)
        return last

    def _flow(self, customer: str) -> _Flow[Item]:
        flow = self._flows.get(customer)
        if flow is None:
            self._forget_idle()
            flow = _Flow()
            self._flows[customer] = flow
        self._flows.move_to_end(customer)
        return flow

    def _forget_idle(self) -> None:
        # The oldest idle ones have most likely been overtaken by the virtual
        # time, so that forgetting them changes nothing.
        excess = len(self._flows) - self._settings.idle_limit_count
        if excess < 0:
            return
        idle = [n for n, flow in self._flows.items() if not flow.waiting_count]
        for name in idle[: excess + 1]:
            del self._flows[name]
