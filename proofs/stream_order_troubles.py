"""Troubles of a day: releases, kills, stops and cuts."""

import random
import signal
import time

import gevent
from gevent import event

from proofs import stream_order_fleet
from tests import processes

_LOSES_OTHERS_CHANCE = 0.3
_UPSET_COUNT = 3


class Troubles:
    """Plays the troubles of one seed."""

    def __init__(self, wharf: stream_order_fleet.Wharf):
        self._wharf = wharf
        self._rng = random.Random(f"troubles {wharf.seed}")
        self._upset: set[int] = set()
        self._has_joined = event.Event()

    def play(self, length_s: float) -> None:
        """Plays releases, and begins troubles beside them for a time."""
        releases = gevent.spawn(
            self._release, random.Random(f"releases {self._wharf.seed}")
        )
        plays = {
            self._stop: 3,
            self._kill: 2,
            self._end: 1,
            self._cut_path: 3,
            self._cut_store: 2,
            self._delay_watch: 2,
            self._drop_history: 1,
            self._restart_server: 3,
        }
        # What upsets gateways before it lets none of them infer a version.
        self._has_joined.wait()
        ends_s = time.monotonic() + length_s
        running = []
        while time.monotonic() < ends_s:
            gevent.sleep(self._rng.uniform(0.2, 1.2))
            (play,) = self._rng.choices(list(plays), list(plays.values()))
            lasts_s = self._rng.uniform(0.3, 3.5)
            index = self._rng.randrange(stream_order_fleet.GATEWAYS_COUNT)
            running.append(gevent.spawn(play, index, lasts_s))
        gevent.joinall([*running, releases], raise_error=True)

    def _release(self, rng: random.Random) -> None:
        """Lets a newer version join beside a gateway that is out of step."""
        wharf = self._wharf
        newer = stream_order_fleet.VERSIONS[1]
        gevent.sleep(rng.uniform(0.5, 2.0))
        index = rng.randrange(stream_order_fleet.GATEWAYS_COUNT)
        play = rng.choice((self._stop, self._delay_watch, self._cut_store))
        loses_others = rng.random() < _LOSES_OTHERS_CHANCE
        length_s = rng.uniform(1.5, 3.5)
        wharf.out_of_step = index
        aside = [gevent.spawn(play, index, length_s)]
        gevent.sleep(0.2)
        wharf.note(f"{newer} joins")
        for name in wharf.names_of(newer):
            wharf.register(name)
        gevent.sleep(length_s / 2)
        self._has_joined.set()
        if loses_others:
            aside += [
                gevent.spawn(self._kill, other, length_s)
                for other in range(stream_order_fleet.GATEWAYS_COUNT)
                if other != index
            ]
        gevent.joinall(aside, raise_error=True)
        gevent.sleep(rng.uniform(0.0, 2.0))
        wharf.out_of_step = None
        self._end_release(rng)

    def _end_release(self, rng: random.Random) -> None:
        """Lets either version leave, or keeps both."""
        wharf = self._wharf
        leaving = rng.choice(
            (None, *stream_order_fleet.VERSIONS, stream_order_fleet.VERSIONS[0])
        )
        if leaving is None:
            return
        (staying,) = set(stream_order_fleet.VERSIONS) - {leaving}
        wharf.note(f"{leaving} leaves")
        first, again, *others = rng.sample(wharf.names_of(leaving), 4)
        wharf.leave(first)
        self._begin_again(again, staying, rng.uniform(0.05, 0.5))
        gevent.sleep(rng.uniform(0.5, 2.0))
        for name in others:
            wharf.leave(name)

    def _begin_again(self, name: str, version: str, away_s: float) -> None:
        wharf = self._wharf
        wharf.leave(name)
        server = wharf.servers[name]
        wharf.ids[name] = f"{name}-{server.born + 1}"
        server.begin_again(wharf.ids[name], version, away_s)
        wharf.register(name)

    def _restart_server(self, index: int, length_s: float) -> None:
        del index
        wharf = self._wharf
        name = self._rng.choice(sorted(wharf.states))
        wharf.note(f"{name} restarts")
        server = wharf.servers[name]
        if self._rng.random() < 0.5:
            self._begin_again(name, server.software_version, length_s / 5)
            return
        server.begin_again(
            wharf.ids[name], server.software_version, length_s / 5
        )

    def _stop(self, index: int, length_s: float) -> None:
        gateway = self._take(index)
        if gateway is None:
            return
        self._wharf.note(f"{index} stands still {length_s:.1f} s")
        gateway.signal(signal.SIGSTOP)
        gevent.sleep(length_s)
        gateway.signal(signal.SIGCONT)
        self._upset.discard(index)

    def _kill(self, index: int, length_s: float) -> None:
        self._restart(index, signal.SIGKILL, length_s)

    def _end(self, index: int, length_s: float) -> None:
        self._restart(index, signal.SIGTERM, length_s)

    def _restart(self, index: int, number: signal.Signals, s: float) -> None:
        gateway = self._take(index)
        if gateway is None:
            return
        self._wharf.note(f"{index} gets {number.name}")
        self._wharf.gateways[index] = None
        gateway.signal(number)
        gevent.get_hub().threadpool.apply(gateway.wait)
        gevent.sleep(s / 5)
        self._wharf.launch(index)
        self._upset.discard(index)

    def _take(self, index: int) -> processes.LoggedProcess | None:
        """Returns a gateway, unless too many are away."""
        gateway = self._wharf.gateways[index]
        is_free = index not in self._upset and len(self._upset) < _UPSET_COUNT
        if gateway is None or not is_free or gateway.poll() is not None:
            return None
        self._upset.add(index)
        return gateway

    def _cut_path(self, index: int, length_s: float) -> None:
        mode = self._rng.choice(("cut", "refuse", "silent", "freeze", "reset"))
        self._wharf.note(f"{index} loses servers: {mode} {length_s:.1f} s")
        paths = list(self._wharf.paths[index].values())
        if mode == "reset":
            for path in paths:
                path.reset_all()
            return
        for path in paths:
            path.set_faults(mode=mode)
        gevent.sleep(length_s)
        for path in paths:
            path.set_faults(mode="pass")

    def _cut_store(self, index: int, length_s: float) -> None:
        mode = self._rng.choice(("cut", "silent", "freeze", "half-open-down"))
        self._wharf.note(f"{index} loses the store: {mode} {length_s:.1f} s")
        path = self._wharf.store_paths[index]
        path.set_faults(mode=mode)
        gevent.sleep(length_s)
        path.set_faults(mode="pass")

    def _delay_watch(self, index: int, length_s: float) -> None:
        self._wharf.note(f"{index} has a watch behind {length_s:.1f} s")
        view = self._wharf.views[index]
        self._wharf.store.behind.add(view)
        gevent.sleep(length_s)
        self._wharf.store.behind.discard(view)

    def _drop_history(self, index: int, length_s: float) -> None:
        del index, length_s
        self._wharf.note("the store drops its history")
        self._wharf.store.hang_watches()
        self._wharf.store.store.compact()
