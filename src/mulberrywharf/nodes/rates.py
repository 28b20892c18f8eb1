"""Request rates that a controller fetches from the routers of its zone.

Only routers see requests and count them. The controller, which decides by
roles and loads, fetches from each router of its zone the rates of those
customers and models that the rules in force name, and adds them up.
"""

from collections.abc import Callable, Collection, Mapping
from typing import NamedTuple

from result import Err, Ok, Result

from mulberrywharf import errors
from mulberrywharf.nodes import link, messages, server

NAMES_LIMIT_COUNT = 32
"""Maximum number of customers, and of models, whose rates are fetched.

The rates of any further ones are unknown.
"""

REPLY_LIFETIME_S = 15.0
"""Maximum age of a reply that is used.

The rules treat rates that are older than 20 s as stale.
"""

QUORUM_SHARE = 2 / 3
"""Minimum share of the zone's routers that must reply.

The sum over the routers that replied is a lower bound of the zone's rate. If
the other routers are gone, it is nearly complete, because the load balancer
sends their requests to the rest. With fewer replies, it may miss most of the
load, so no rule may act on it.
"""

GIVE_UP_S = 60.0
"""After this time without enough replies, conditions on rates are false.

Until then, rules with such conditions are undecided, and the zone keeps its
roles. That is right during a restart or a short network partition. If it
lasted, no later rule could act on the loss of engines or a change of the
request mix, although the controller sees both.
"""

_READ_GAP_LIMIT_S = 15.0


class WantedRates(NamedTuple):
    """The names whose rates the rules in force need, in the rules' order.

    Attributes:
        customers: Names of customers, each once.
        models: Names of models, each once.
    """

    customers: tuple[str, ...] = ()
    models: tuple[str, ...] = ()


class SeenRates(NamedTuple):
    """The rates of a zone as a controller knows them.

    Attributes:
        customers: Requests per second by customer, for the wanted customers.
        models: Requests per second by model, for the wanted models.
        age_s: Age of the oldest reply that is used; infinite if too few
            routers replied.
        given_up: Whether too few routers have replied for ``GIVE_UP_S``.
    """

    customers: Mapping[str, float]
    models: Mapping[str, float]
    age_s: float = float("inf")
    given_up: bool = False


NO_RATES = SeenRates({}, {})


class _RouterReply(NamedTuple):
    asked_s: float
    customers: dict[str, float]
    models: dict[str, float]

    def covers(self, wanted: WantedRates) -> bool:
        """Whether the reply has the rates of all wanted names."""
        return self.customers.keys() >= set(
            wanted.customers
        ) and self.models.keys() >= set(wanted.models)


class RouterRates:
    """The latest reply of each router, and since when too few replied."""

    def __init__(self, give_up_s: float = GIVE_UP_S):
        self._give_up_s = give_up_s
        self._replies: dict[str, _RouterReply] = {}
        self._wanted = WantedRates()
        self._insufficient_since_s = 0.0
        self._read_s = float("-inf")

    def note(
        self,
        vm_id: str,
        asked: WantedRates,
        reply: messages.Rates,
        asked_s: float,
    ) -> None:
        """Stores a router's reply.

        Args:
            vm_id: The router.
            asked: The names whose rates were requested.
            reply: One rate for each name.
            asked_s: Monotonic time at which the rates were requested.
        """
        self._replies[vm_id] = _RouterReply(
            asked_s,
            dict(zip(asked.customers, reply.customers, strict=True)),
            dict(zip(asked.models, reply.models, strict=True)),
        )

    def read(
        self, wanted: WantedRates, vm_ids: Collection[str], now_s: float
    ) -> SeenRates:
        """Adds up the rates of the zone's routers.

        Args:
            wanted: The names that the rules need.
            vm_ids: The zone's routers in the VM list.
            now_s: Current monotonic time.
        """
        self._note_read(wanted, now_s)
        self._replies = {
            vm_id: reply
            for vm_id, reply in self._replies.items()
            if vm_id in vm_ids and now_s - reply.asked_s <= REPLY_LIFETIME_S
        }
        counted = [r for r in self._replies.values() if r.covers(wanted)]
        if not counted or len(counted) < QUORUM_SHARE * len(vm_ids):
            given_up = now_s - self._insufficient_since_s >= self._give_up_s
            return NO_RATES._replace(given_up=given_up)
        self._insufficient_since_s = now_s
        return SeenRates(
            _sums(wanted.customers, [r.customers for r in counted]),
            _sums(wanted.models, [r.models for r in counted]),
            now_s - min(reply.asked_s for reply in counted),
        )

    def _note_read(self, wanted: WantedRates, now_s: float) -> None:
        # A controller that was paused, or held no lease, sent no requests in
        # that time, so the missing replies say nothing about the routers.
        was_paused = now_s - self._read_s > _READ_GAP_LIMIT_S
        if was_paused or wanted != self._wanted:
            self._insufficient_since_s = now_s
        self._wanted = wanted
        self._read_s = now_s


def _sums(
    names: Collection[str], replies: Collection[Mapping[str, float]]
) -> dict[str, float]:
    return {name: sum(reply[name] for reply in replies) for name in names}


def ask(
    router: link.Link, wanted: WantedRates, timeout_s: float
) -> Result[messages.Rates, errors.NodeError]:
    """Fetches the rates of one router.

    Args:
        router: The link to the router.
        wanted: The names whose rates are fetched.
        timeout_s: Timeout for connecting and the reply together.
    """
    received = router.call(messages.RatesFetch(*wanted), timeout_s)
    if isinstance(received, Err):
        return received
    reply = received.ok_value
    if not isinstance(reply, messages.Rates) or not _matches_query(
        reply, wanted
    ):
        return Err(
            errors.BadFrameError("the reply has another number of rates")
        )
    return Ok(reply)


def _matches_query(reply: messages.Rates, wanted: WantedRates) -> bool:
    counts = (len(reply.customers), len(reply.models))
    return counts == (len(wanted.customers), len(wanted.models))


def register_rates_handler(
    node_server: server.NodeServer,
    read: Callable[[], tuple[Mapping[str, float], Mapping[str, float]]],
) -> None:
    """Registers the handler with which a router sends its rates.

    Args:
        node_server: The router's server.
        read: Returns the router's rates by customer and by model. The rate of
            a name that is missing is 0.
    """

    def handle_fetch(
        sender_vm_id: str, request: messages.RatesFetch
    ) -> messages.Rates:
        del sender_vm_id
        customers, models = read()
        return messages.Rates(
            tuple(customers.get(name, 0.0) for name in request.customers),
            tuple(models.get(name, 0.0) for name in request.models),
        )

    node_server.register(messages.RatesFetch, handle_fetch)
