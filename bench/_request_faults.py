"""The faults that a seed draws: which, when, at whom and for how long."""

import random
from collections.abc import Callable
from typing import NamedTuple

import gevent

from bench import _request_fleet
from tests import cluster

_LONG_PAUSE_S = (3.2, 4.5)
_FAULTS_COUNT = (3, 6)
_LATEST_S = 2.0
LEAVING_WATCH_S = 6.5
"""How long calls go on after a backend server was marked as leaving."""


class Planned(NamedTuple):
    """One fault of a seed.

    Attributes:
        name: Key of ``FAULTS``.
        at_s: After the seed's begin.
        chance: Draws whatever else the fault needs.
    """

    name: str
    at_s: float
    chance: random.Random


class Injector:
    """Injects one seed's faults; one that kills or pauses has its VM alone.

    Attributes:
        counts: Faults that took place, by name.
    """

    def __init__(self, fleet: _request_fleet.Fleet):
        self.fleet = fleet
        self.counts: dict[str, int] = {}
        self._taken: set[str] = set()

    def run(self, planned: Planned) -> None:
        """Waits for the fault's time, injects it and takes it back."""
        gevent.sleep(planned.at_s)
        if FAULTS[planned.name](self, planned.chance):
            self.counts[planned.name] = self.counts.get(planned.name, 0) + 1

    def member(self, chance: random.Random, kind: str = "") -> cluster.Member:
        """Returns an engine or a backend server, whatever else befalls it."""
        members = self.fleet.cluster.engines + self.fleet.cluster.backends
        members.sort(key=lambda m: m.vm_id)
        return chance.choice([m for m in members if kind in (m.kind, "")])

    def take(self, name: str) -> bool:
        """Reserves a VM, so that two faults do not undo each other."""
        if name in self._taken:
            return False
        self._taken.add(name)
        return True

    def give_back(self, name: str) -> None:
        """Ends a reservation."""
        self._taken.discard(name)


def plan(seed: int) -> list[Planned]:
    """Draws a seed's faults."""
    chance = random.Random(f"faults of {seed}")
    names = [
        chance.choices(list(_WEIGHTS), list(_WEIGHTS.values()))[0]
        for _ in range(chance.randint(*_FAULTS_COUNT))
    ]
    drawn: list[str] = []
    for name in names:
        # One router of the two may fall out at a time.
        is_second = name in _ROUTER_FAULTS and _ROUTER_FAULTS & set(drawn)
        drawn.append("engine-cross" if is_second else name)
    return [
        Planned(
            name,
            chance.uniform(0.1, _LATEST_S),
            random.Random(f"{seed} {number} {name}"),
        )
        for number, name in enumerate(drawn)
    ]


# --- the ways to back ends ------------------------------------------------


def _proxy_mode(mode: str) -> Callable[[Injector, random.Random], bool]:
    def inject(injector: Injector, chance: random.Random) -> bool:
        member = injector.member(chance)
        for_s = chance.uniform(0.1, 1.4)
        if not injector.take(member.vm_id):
            return False
        member.set_proxy_faults(mode=mode)
        gevent.sleep(for_s)
        member.set_proxy_faults(mode="pass")
        injector.give_back(member.vm_id)
        return True

    return inject


def _reset_after(field: str) -> Callable[[Injector, random.Random], bool]:
    def inject(injector: Injector, chance: random.Random) -> bool:
        member = injector.member(chance)
        member.set_proxy_faults(**{field: chance.randrange(1, 2500)})
        gevent.sleep(chance.uniform(0.2, 0.8))
        member.set_proxy_faults(**{field: None})
        return True

    return inject


def _late(injector: Injector, chance: random.Random) -> bool:
    member = injector.member(chance)
    member.set_proxy_faults(delay_ms=chance.uniform(100, 1200))
    gevent.sleep(chance.uniform(0.2, 0.8))
    member.set_proxy_faults(delay_ms=0)
    return True


def _zone_cut(injector: Injector, chance: random.Random) -> bool:
    zone = chance.choice(_request_fleet.ZONES)
    for_s = chance.uniform(0.5, 1.5)
    running = injector.fleet.cluster
    members = [
        member
        for member in running.engines + running.backends
        if member.availability_zone == zone and injector.take(member.vm_id)
    ]
    for member in members:
        member.set_proxy_faults(mode="freeze")
    gevent.sleep(for_s)
    for member in members:
        member.set_proxy_faults(mode="pass")
        injector.give_back(member.vm_id)
    return True


# --- engines and backend servers ----------------------------------------


def _own(
    kind: str, draw: Callable[[random.Random], dict[str, float]]
) -> Callable[[Injector, random.Random], bool]:
    def inject(injector: Injector, chance: random.Random) -> bool:
        member = injector.member(chance, kind)
        fields = draw(chance)
        if not injector.take(member.vm_id):
            return False
        member.set_faults(**fields)
        injector.give_back(member.vm_id)
        return True

    return inject


def _stream_fault(name: str) -> Callable[[random.Random], dict[str, float]]:
    def draw(chance: random.Random) -> dict[str, float]:
        return {
            name: chance.randrange(40),
            "stream_fault_count": chance.randint(1, 4),
        }

    return draw


def _count(name: str) -> Callable[[random.Random], dict[str, float]]:
    return lambda chance: {name: chance.randint(1, 4)}


def _for_a_while(
    kind: str, field: str
) -> Callable[[Injector, random.Random], bool]:
    def inject(injector: Injector, chance: random.Random) -> bool:
        member = injector.member(chance, kind)
        if not injector.take(member.vm_id):
            return False
        member.set_faults(**{field: chance.uniform(0.2, 1.3)})
        gevent.sleep(chance.uniform(0.3, 1.0))
        member.set_faults(**{field: 0.0})
        injector.give_back(member.vm_id)
        return True

    return inject


def _kill(kind: str) -> Callable[[Injector, random.Random], bool]:
    def inject(injector: Injector, chance: random.Random) -> bool:
        member = injector.member(chance, kind)
        down_s = chance.uniform(0.0, 1.0)
        if not injector.take(member.vm_id):
            return False
        # Kept: its successor could otherwise be killed in its start.
        injector.fleet.kill_member(member, down_s)
        return True

    return inject


def _pause(kind: str) -> Callable[[Injector, random.Random], bool]:
    def inject(injector: Injector, chance: random.Random) -> bool:
        member = injector.member(chance, kind)
        for_s = chance.uniform(0.2, 1.8)
        if not injector.take(member.vm_id):
            return False
        injector.fleet.pause_member(member, for_s)
        injector.give_back(member.vm_id)
        return True

    return inject


def _leave(injector: Injector, chance: random.Random) -> bool:
    member = injector.member(chance, "backend")
    if not injector.take("leaving"):
        return False
    injector.fleet.leave(member)
    return True


# --- routers --------------------------------------------------------------


def _kill_router(injector: Injector, chance: random.Random) -> bool:
    injector.fleet.kill_router(chance.randrange(len(_request_fleet.ZONES)))
    return True


def _pause_router(injector: Injector, chance: random.Random) -> bool:
    index = chance.randrange(len(_request_fleet.ZONES))
    injector.fleet.pause_router(index, chance.uniform(0.2, 1.8))
    return True


def _pause_router_long(injector: Injector, chance: random.Random) -> bool:
    """Longer than the lease on its shards of claims."""
    index = chance.randrange(len(_request_fleet.ZONES))
    injector.fleet.pause_router(index, chance.uniform(*_LONG_PAUSE_S))
    return True


def _stop_router(injector: Injector, chance: random.Random) -> bool:
    index = chance.randrange(len(_request_fleet.ZONES))
    injector.fleet.stop_router(index, listed=chance.random() < 0.5)
    return True


# --- the platform ----------------------------------------------------------


def _key_value(
    draw: Callable[[random.Random], dict[str, float]],
) -> Callable[[Injector, random.Random], bool]:
    def inject(injector: Injector, chance: random.Random) -> bool:
        running = injector.fleet.cluster
        if not injector.take("key-value"):
            return False
        fields = draw(chance)
        port = running.platform["key_value"].ready["port"]
        cluster.post_json(port, "/standin/faults", fields)
        gevent.sleep(chance.uniform(0.3, 2.0))
        running.set_key_value_down(False)
        injector.give_back("key-value")
        return True

    return inject


def _vm_list_down(injector: Injector, chance: random.Random) -> bool:
    injector.fleet.set_vm_list_faults(down=True)
    gevent.sleep(chance.uniform(0.3, 2.0))
    injector.fleet.set_vm_list_faults()
    return True


FAULTS: dict[str, Callable[[Injector, random.Random], bool]] = {
    "way-cut": _proxy_mode("cut"),
    "way-frozen": _proxy_mode("freeze"),
    "way-refused": _proxy_mode("refuse"),
    "half-open-up": _proxy_mode("half-open-up"),
    "half-open-down": _proxy_mode("half-open-down"),
    "reset-after-up-bytes": _reset_after("reset_after_up_bytes"),
    "reset-after-down-bytes": _reset_after("reset_after_down_bytes"),
    "late-bytes": _late,
    "zone-cut": _zone_cut,
    "engine-kill": _kill("engine"),
    "engine-pause": _pause("engine"),
    "engine-cross": _own("engine", _count("cross_answers")),
    "engine-late": _for_a_while("engine", "late_answer_s"),
    "stream-cut": _own("engine", _stream_fault("cut_stream_after_tokens")),
    "stream-silent": _own("engine", _stream_fault("silent_after_tokens")),
    "stream-short": _own("engine", _stream_fault("short_stream")),
    "backend-kill": _kill("backend"),
    "backend-pause": _pause("backend"),
    "backend-cross": _own("backend", _count("cross_answers")),
    "backend-late": _for_a_while("backend", "delay_s"),
    "answer-lost": _own("backend", _count("close_before_answer")),
    "backend-half-open": _own("backend", _count("half_open")),
    "backend-leaving": _leave,
    "router-kill": _kill_router,
    "router-pause": _pause_router,
    "router-pause-long": _pause_router_long,
    "router-stop": _stop_router,
    "key-value-down": _key_value(lambda _: {"down": True}),
    "key-value-slow": _key_value(
        lambda chance: {"delay_s": chance.uniform(0.1, 1.5)}
    ),
    "key-value-answers-lost": _key_value(
        lambda chance: {"lose_answers_count": chance.randint(1, 6)}
    ),
    "vm-list-down": _vm_list_down,
}
"""Each fault; false when another one had its VM."""

_ROUTER_FAULTS = {
    "router-kill",
    "router-pause",
    "router-pause-long",
    "router-stop",
}
_WEIGHTS = dict.fromkeys(FAULTS, 2.0) | {
    "router-kill": 4.0,
    "router-pause": 3.0,
    "router-pause-long": 3.0,
    "router-stop": 4.0,
    "key-value-down": 3.0,
    "key-value-answers-lost": 4.0,
    "answer-lost": 4.0,
}
