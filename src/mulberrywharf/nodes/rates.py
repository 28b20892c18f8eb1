"""Rates of customers and models, asked by a controller of its zone's routers.

Routers count the requests; the controller, which has the roles and loads to
decide, meets none. It asks each router of its zone for the rates of just
those customers and models that the rules in force name, and adds them up.
"""

from collections.abc import Callable, Collection, Mapping
from typing import NamedTuple

from result import Err, Ok, Result

from mulberrywharf import errors
from mulberrywharf.nodes import link, messages, server

NAMES_LIMIT_COUNT = 32
"""Customers, and models, that are asked for; any more are unknown."""

KEPT_S = 15.0
"""Age up to which an answer counts; the rules take 20 s for stale."""

ENOUGH_SHARE = 2 / 3
"""Share of the zone's routers whose answers make the sum known.

The sum of those that answered is a lower bound. It is nearly the whole when
the others are gone, since the balancer sends their requests elsewhere; with
fewer answers it may miss most of the load and no rule may act on it.
"""

GIVE_UP_S = 60.0
"""After so long without enough answers, conditions on rates do not hold.

Undecided rules hold the zone. That is right for a restart or a short
partition; if it lasted, no rule behind them would act on the loss of engines
or a shift of the mix, though the controller sees both.
"""

_GAP_LIMIT_S = 15.0


class WantedRates(NamedTuple):
    """Whose rates the rules in force name, in the rules' order.

    Attributes:
        customers: Names of customers, each once.
        models: Names of models, each once.
    """

    customers: tuple[str, ...] = ()
    models: tuple[str, ...] = ()


class SeenRates(NamedTuple):
    """What a controller knows of the rates of its zone.

    Attributes:
        customers: Requests per second by customer, of those asked for.
        models: Likewise by model.
        age_s: Age of the oldest answer that counts; infinite when too few
            routers answered.
        given_up: Too few have answered for ``GIVE_UP_S``.
    """

    customers: Mapping[str, float]
    models: Mapping[str, float]
    age_s: float = float("inf")
    given_up: bool = False


NO_RATES = SeenRates({}, {})


class _Answer(NamedTuple):
    asked_s: float
    customers: dict[str, float]
    models: dict[str, float]

    def covers(self, wanted: WantedRates) -> bool:
        """Whether it tells all that is wanted now."""
        return self.customers.keys() >= set(
            wanted.customers
        ) and self.models.keys() >= set(wanted.models)


class RouterRates:
    """The latest answer of each router, and since when they are too few."""

    def __init__(self, give_up_s: float = GIVE_UP_S):
        self._give_up_s = give_up_s
        self._answers: dict[str, _Answer] = {}
        self._wanted = WantedRates()
        self._short_since_s = 0.0
        self._read_s = float("-inf")

    def note(
        self,
        vm_id: str,
        asked: WantedRates,
        answer: messages.Rates,
        asked_s: float,
    ) -> None:
        """Notes a router's answer.

        Args:
            vm_id: Who answered.
            asked: What it was asked.
            answer: As many rates as names were asked.
            asked_s: Monotonic time of the question.
        """
        self._answers[vm_id] = _Answer(
            asked_s,
            dict(zip(asked.customers, answer.customers, strict=True)),
            dict(zip(asked.models, answer.models, strict=True)),
        )

    def read(
        self, wanted: WantedRates, vm_ids: Collection[str], now_s: float
    ) -> SeenRates:
        """Adds up what the zone's routers answered.

        Args:
            wanted: What the rules name.
            vm_ids: The zone's routers by the VM list.
            now_s: Monotonic time.
        """
        self._note_reading(wanted, now_s)
        self._answers = {
            vm_id: answer
            for vm_id, answer in self._answers.items()
            if vm_id in vm_ids and now_s - answer.asked_s <= KEPT_S
        }
        counted = [a for a in self._answers.values() if a.covers(wanted)]
        if not counted or len(counted) < ENOUGH_SHARE * len(vm_ids):
            given_up = now_s - self._short_since_s >= self._give_up_s
            return NO_RATES._replace(given_up=given_up)
        self._short_since_s = now_s
        return SeenRates(
            _sums(wanted.customers, [a.customers for a in counted]),
            _sums(wanted.models, [a.models for a in counted]),
            now_s - min(answer.asked_s for answer in counted),
        )

    def _note_reading(self, wanted: WantedRates, now_s: float) -> None:
        # A process that slept, or held no lease, did not ask meanwhile. That
        # nobody answered it says nothing about the routers.
        slept = now_s - self._read_s > _GAP_LIMIT_S
        if slept or wanted != self._wanted:
            self._short_since_s = now_s
        self._wanted = wanted
        self._read_s = now_s


def _sums(
    names: Collection[str], answers: Collection[Mapping[str, float]]
) -> dict[str, float]:
    return {name: sum(answer[name] for answer in answers) for name in names}


def ask(
    router: link.Link, wanted: WantedRates, timeout_s: float
) -> Result[messages.Rates, errors.NodeError]:
    """Asks one router.

    Args:
        router: The link to it.
        wanted: Whose rates.
        timeout_s: For connecting and the answer together.
    """
    answered = router.call(messages.RatesFetch(*wanted), timeout_s)
    if isinstance(answered, Err):
        return answered
    answer = answered.ok_value
    if not isinstance(answer, messages.Rates) or not _fits(answer, wanted):
        return Err(errors.BadFrameError("rates that were not asked for"))
    return Ok(answer)


def _fits(answer: messages.Rates, wanted: WantedRates) -> bool:
    counts = (len(answer.customers), len(answer.models))
    return counts == (len(wanted.customers), len(wanted.models))


def register_rates_handler(
    node_server: server.NodeServer,
    read: Callable[[], tuple[Mapping[str, float], Mapping[str, float]]],
) -> None:
    """Lets a router's server answer controllers.

    Args:
        node_server: The server.
        read: Returns the router's rates by customer and by model; who is
            absent sends none.
    """

    def answer(
        sender_vm_id: str, question: messages.RatesFetch
    ) -> messages.Rates:
        del sender_vm_id
        customers, models = read()
        return messages.Rates(
            tuple(customers.get(name, 0.0) for name in question.customers),
            tuple(models.get(name, 0.0) for name in question.models),
        )

    node_server.register(messages.RatesFetch, answer)
