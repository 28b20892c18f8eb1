"""Real gateways whose routes change beside troubles, judged at their callers.

Run as ``python -m proofs.routes_in_force_runs --seeds 1-6`` or with
``--scenes all``; ``--source`` names another checkout whose gateways are run.
"""

import argparse
import collections
import contextlib
import os
import pathlib
import random
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple

import gevent

from mulberrywharf.peers import directory
from proofs import routes_in_force, routes_in_force_fleet
from tests import processes

LENGTH_S = 25.0
_AFTER_S = 5.0
_AWAY_LIMIT_COUNT = 3
_FLOOD_RATE = 1_000.0


class Played(NamedTuple):
    """What one run came to.

    Attributes:
        cases: Broken promises.
        latest_s: Longest time for which a gateway in touch lacked a change.
        fleet: What was played.
    """

    cases: list[routes_in_force.Case]
    latest_s: float
    fleet: routes_in_force_fleet.Fleet


class Troubles:
    """What may happen beside changes of the routes."""

    def __init__(self, fleet: routes_in_force_fleet.Fleet, rng: random.Random):
        self._fleet = fleet
        self._rng = rng
        self._away: set[int] = set()

    def readers(self) -> list[int]:
        """Returns the gateways that earlier landings let read for others."""
        return sorted(
            range(routes_in_force_fleet.GATEWAYS_COUNT),
            key=lambda index: directory._vm_rank(f"entry-{index}"),
        )[: directory.READERS_COUNT]

    def change(self, every_s: float, until_s: float) -> None:
        """Changes the routes at intervals."""
        while time.monotonic() < until_s:
            self._fleet.change_routes()
            gevent.sleep(every_s)

    def change_by_chance(self, until_s: float) -> None:
        """Changes the routes and lets servers leave, in uneven steps."""
        rng = random.Random(self._rng.random())
        while time.monotonic() < until_s:
            self._fleet.change_routes()
            if rng.random() < 0.2:
                self._fleet.write_invalid_routes()
            if rng.random() < 0.3:
                self.lose_server()
            gevent.sleep(rng.choice((0.3, 1.0, 2.5, 4.5)))

    def lose_server(self) -> None:
        """Lets a server leave, and adds another one later."""
        name = self._rng.choice(self._fleet.staying())
        says_so = self._rng.random() < 0.7
        self._fleet.trouble(f"{name} leaves, {says_so=}")
        self._fleet.leave(name, says_so=says_so)
        self._fleet.replace(name)

    def hang(self) -> None:
        """Lets the watches that wait now wait for ever."""
        self._fleet.trouble("watches hang")
        self._fleet.store.hang_watches()

    def hang_always(self, until_s: float) -> None:
        """Lets watches hang again and again."""
        while time.monotonic() < until_s:
            self._fleet.store.hang_watches()
            gevent.sleep(0.3)

    def compact(self) -> None:
        """Drops the history with changes in it that no watch was told of."""
        self._fleet.trouble("compaction")
        for view in self._fleet.views:
            self._fleet.store.hold_watches(view)
        gevent.sleep(0.5)
        self._fleet.change_routes()
        gevent.sleep(0.5)
        self._fleet.store.drop_history()
        for view in self._fleet.views:
            self._fleet.store.free_watches(view)

    def skip(self, indexes: Sequence[int], length_s: float) -> None:
        """Tells watches of gateways the present revision and no change."""
        self._fleet.trouble(
            f"watches pass over changes {length_s:.1f} s {indexes}"
        )
        for index in indexes:
            self._fleet.store.hold_watches(self._fleet.views[index])
        gevent.sleep(length_s)
        for index in indexes:
            self._fleet.store.free_watches(self._fleet.views[index])

    def mute(self) -> None:
        """Leaves the connections to the store open and silent for good."""
        self._fleet.trouble("connections fall silent")
        self._fleet.store.mute_connections()

    def freeze(self, index: int, length_s: float) -> None:
        """Stops a gateway for a time."""
        with self._taken(index) as gateway:
            if gateway is None:
                return
            self._fleet.trouble(f"frozen {length_s:.1f} s", index)
            gateway.signal(signal.SIGSTOP)
            gevent.sleep(length_s)
            gateway.signal(signal.SIGCONT)

    def restart(self, index: int, number: signal.Signals) -> None:
        """Ends a gateway and starts it again."""
        with self._taken(index) as gateway:
            if gateway is None:
                return
            self._fleet.trouble(number.name, index)
            self._fleet.gateways[index] = None
            gateway.signal(number)
            gevent.get_hub().threadpool.apply(gateway.wait)
            self._fleet.launch(index)

    def end(self, index: int, number: signal.Signals) -> None:
        """Ends a gateway for good."""
        with self._taken(index) as gateway:
            if gateway is not None:
                self._fleet.trouble(f"{number.name} for good", index)
                self._fleet.gateways[index] = None
                gateway.signal(number)

    def roll(self, number: signal.Signals, until_s: float) -> None:
        """Restarts one gateway after the other."""
        for index in range(routes_in_force_fleet.GATEWAYS_COUNT):
            if time.monotonic() < until_s:
                self.restart(index, number)
                gevent.sleep(0.5)

    def reload(self, index: int) -> None:
        """Sends SIGHUP."""
        gateway = self._fleet.gateways[index]
        if gateway is not None and index not in self._away:
            self._fleet.trouble("SIGHUP", index)
            gateway.signal(signal.SIGHUP)

    def flood(self, index: int, length_s: float) -> None:
        """Opens new connections at a rate that a gateway can't keep up with."""
        with self._taken(index) as gateway:
            if gateway is None:
                return
            self._fleet.trouble(f"flood {length_s:.1f} s", index)
            command = [sys.executable, "-m", "tests.connection_flood"]
            command += [f"--port={gateway.ready['callers']}"]
            command += [f"--rate={_FLOOD_RATE}", f"--length-s={length_s}"]
            gevent.get_hub().threadpool.apply(
                lambda: subprocess.run(
                    command, cwd=processes.ROOT, stdout=subprocess.DEVNULL
                )
            )

    def delay(self, index: int, length_s: float) -> None:
        """Delays the way to the store, and lets the routes be many."""
        self._fleet.trouble(f"slow way to the store {length_s:.1f} s", index)
        self._fleet.extra_routes_count = 1_000
        with self._fleet.out_of_touch(index):
            self._fleet.paths[index].set_faults(delay_ms=150.0)
            gevent.sleep(length_s)
            self._fleet.paths[index].set_faults(delay_ms=0.0)
        self._fleet.extra_routes_count = 0

    def begin_any(self) -> None:
        """Plays one trouble drawn by chance."""
        rng = self._rng
        index = rng.randrange(routes_in_force_fleet.GATEWAYS_COUNT)
        length_s = rng.uniform(0.5, 4.0)
        readers = [*self.readers(), index]
        plays: dict[Callable[[], None], int] = {
            self.hang: 4,
            self.compact: 3,
            self.mute: 1,
            lambda: self.skip(readers, length_s): 2,
            lambda: self.skip([index], length_s): 2,
            lambda: self.freeze(rng.choice(readers), length_s): 3,
            lambda: self.restart(rng.choice(readers), signal.SIGKILL): 2,
            lambda: self.restart(index, signal.SIGTERM): 2,
            lambda: self.reload(index): 1,
            lambda: self.flood(index, length_s): 1,
            lambda: self.delay(index, length_s): 1,
        }
        (play,) = rng.choices(list(plays), list(plays.values()))
        play()

    @contextlib.contextmanager
    def _taken(self, index: int) -> Iterator[processes.LoggedProcess | None]:
        gateway = self._fleet.gateways[index]
        is_free = index not in self._away
        is_free = is_free and len(self._away) < _AWAY_LIMIT_COUNT
        if gateway is None or not is_free:
            yield None
            return
        self._away.add(index)
        with self._fleet.out_of_touch(index):
            yield gateway
        self._away.discard(index)


def _play_by_chance(troubles: Troubles, until_s: float) -> None:
    rng = random.Random(troubles._rng.random())
    running = [gevent.spawn(troubles.change_by_chance, until_s)]
    while time.monotonic() < until_s:
        gevent.sleep(rng.uniform(0.2, 2.0))
        running.append(gevent.spawn(troubles.begin_any))
    gevent.joinall(running, raise_error=True)


def _changes(
    every_s: float, *aside: Callable[[Troubles, float], object]
) -> Callable[[Troubles, float], None]:
    """Returns a scene of regular changes beside troubles."""

    def play(troubles: Troubles, until_s: float) -> None:
        running = [gevent.spawn(troubles.change, every_s, until_s)]
        gevent.sleep(1.0)
        running += [gevent.spawn(one, troubles, until_s) for one in aside]
        gevent.joinall(running, raise_error=True)

    return play


def _hangs(troubles: Troubles, until_s: float) -> None:
    troubles.hang_always(until_s)


def _at_readers(
    act: Callable[[Troubles, int], object],
) -> Callable[[Troubles, float], object]:
    def play(troubles: Troubles, until_s: float) -> None:
        acting = [
            gevent.spawn(act, troubles, index) for index in troubles.readers()
        ]
        gevent.joinall(acting, raise_error=True)

    return play


def _skips(
    choose: Callable[[Troubles], list[int]],
) -> Callable[[Troubles, float], object]:
    def play(troubles: Troubles, until_s: float) -> None:
        troubles.skip(choose(troubles), until_s - time.monotonic())

    return play


def _compactions(troubles: Troubles, until_s: float) -> None:
    while time.monotonic() < until_s:
        troubles.hang()
        troubles.compact()
        gevent.sleep(4.0)


def _leaving(troubles: Troubles, until_s: float) -> None:
    while time.monotonic() < until_s:
        troubles.lose_server()
        gevent.sleep(2.5)


def _quiet_servers(troubles: Troubles, until_s: float) -> None:
    troubles._fleet.heartbeats = False
    _leaving(troubles, until_s)


_ALL = list(range(routes_in_force_fleet.GATEWAYS_COUNT))


def _others(troubles: Troubles) -> list[int]:
    readers = troubles.readers()
    return [index for index in _ALL if index not in readers]


def _deafen(troubles: Troubles, until_s: float) -> None:
    troubles._fleet.trouble("gateways hear no datagrams")
    troubles._fleet.deaf = set(_ALL)


SCENES: dict[str, Callable[[Troubles, float], None]] = {
    "calm": _changes(1.0),
    "hang": _changes(3.5, _hangs),
    "readers-frozen-hang": _changes(
        1.5, _hangs, _at_readers(lambda t, i: t.freeze(i, 6.0))
    ),
    "readers-killed-hang": _changes(
        1.5, _hangs, _at_readers(lambda t, i: t.end(i, signal.SIGKILL))
    ),
    "readers-stopped-hang": _changes(
        1.5, _hangs, _at_readers(lambda t, i: t.end(i, signal.SIGTERM))
    ),
    "rolling-restart-hang": _changes(
        1.5, _hangs, lambda t, s: t.roll(signal.SIGTERM, s)
    ),
    "skip-one": _changes(1.5, _skips(lambda t: [_others(t)[0]])),
    "skip-others": _changes(1.5, _skips(_others)),
    "skip-readers": _changes(1.5, _skips(lambda t: t.readers())),
    "skip-all": _changes(7.0, _skips(lambda t: _ALL)),
    "compactions": _changes(3.0, _compactions),
    "deaf-hang": _changes(3.5, _deafen, _hangs),
    "leaving-hang": _changes(9.0, _leaving, _hangs),
    "leaving-readers-frozen": _changes(
        9.0, _leaving, _hangs, _at_readers(lambda t, i: t.freeze(i, 6.0))
    ),
    "leaving-skip-all": _changes(9.0, _leaving, _skips(lambda t: _ALL)),
    "leaving-quiet-skip-all": _changes(
        9.0, _quiet_servers, _skips(lambda t: _ALL)
    ),
    "mute": _changes(2.5, lambda t, s: t.mute()),
}


def play(
    seed: int,
    scene: str = "",
    length_s: float = LENGTH_S,
) -> Played:
    """Plays a scene, or troubles drawn by chance.

    Args:
        seed: Decides the troubles; the machine interleaves them.
        scene: Key of ``SCENES``, empty for troubles by chance.
        length_s: How long troubles are begun.
    """
    with contextlib.ExitStack() as cleanup:
        fleet = routes_in_force_fleet.Fleet(cleanup)
        fleet.start()
        troubles = Troubles(fleet, random.Random(f"{seed} {scene}"))
        run = SCENES.get(scene, _play_by_chance)
        run(troubles, time.monotonic() + length_s)
        gevent.sleep(_AFTER_S)
        judged = routes_in_force.judge(
            fleet.seen, fleet.writes, fleet.is_in_touch
        )
        cases = [*judged.cases, *fleet.late_arrivals()]
        return Played(cases, judged.latest_s, fleet)


def _report(name: str, played: Played, *, has_details: bool) -> Iterator[str]:
    forms = collections.Counter(case.form for case in played.cases)
    worst_s = max((case.late_s for case in played.cases), default=0.0)
    gateways = sorted({case.gateway for case in played.cases})
    fleet = played.fleet
    yield (
        f"{name}: {len(fleet.seen)} answers, {len(fleet.writes)} versions,"
        f" {len(fleet.left)} leavings, latest {played.latest_s:.2f} s,"
        f" {len(played.cases)} cases {dict(forms)}, worst {worst_s:.2f} s,"
        f" gateways {gateways}"
    )
    if not has_details:
        return
    for at_s, text in fleet.troubles:
        yield f"  {at_s:.2f} s {text}"
    for case in played.cases[:10]:
        yield f"  {case.at_s - fleet.began_s:.2f} s {case}"


def _range(text: str) -> list[int]:
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def main() -> int:
    """Plays seeds or scenes; returns 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=_range, default=[1])
    parser.add_argument("--scenes", default="", help="names, or all")
    parser.add_argument("--source", type=pathlib.Path, help="a checkout")
    parser.add_argument("--length-s", type=float, default=LENGTH_S)
    parser.add_argument("--details", action="store_true")
    arguments = parser.parse_args()
    if arguments.source is not None:
        os.environ["PYTHONPATH"] = str(arguments.source.resolve() / "src")
    names = [one for one in arguments.scenes.split(",") if one] or [""]
    cases_count = 0
    for scene in SCENES if names == ["all"] else names:
        for seed in arguments.seeds:
            played = play(seed, scene, arguments.length_s)
            cases_count += len(played.cases)
            name = f"{scene or 'seed'} {seed}"
            for line in _report(name, played, has_details=arguments.details):
                print(line, flush=True)
    return 1 if cases_count else 0


if __name__ == "__main__":
    sys.exit(main())
