"""The faults of one seed; they come in series and overlap."""

import collections
import contextlib
import random
import signal
import time
from collections.abc import Callable
from typing import Any

import gevent

from soak import fleet
from standins import raw_answers

_PAUSE_S = (0.05, 0.5)
_KEY_ROTATION_PAUSE_S = (0.5, 1.5)
_PARTITION_CHANCE = 0.5
_PARTITION_MODES = ("cut", "freeze", "half-open-up", "half-open-down")
_PARTITION_PAST_BOUND_S = (0.3, 1.5)
_TASKS_LIMIT_S = 60.0
"""For the last faults to end: a stop takes its grace and a start."""

_WEIGHT_BY_FAULT = {
    "server": 3,
    "way": 4,
    "store": 2,
    "restore": 1,
    "signal": 3,
    "restart": 1,
    "record": 1,
    "leave": 1,
    "rest": 2,
    "path": 2,
    "cut": 6,
}
_FOREIGN_RECORDS = (
    b"",
    b"\xff\xfe",
    b"[]",
    b'{"state":"ready"}',
    b"[" * 10_000,
    b'{"service":7,"address":"127.0.0.1:1","zone":"a","slots":1e999}',
)
_SERVER_FAULTS: tuple[dict[str, Any], ...] = (
    {"refuse": 1},
    {"lose": 1},
    {"foreign": 1},
    {"delay_s": 0.6},
    {"delay_s": 3.0},
    {"break_after": 2},
)
_LIMITS: tuple[tuple[str, ...], ...] = (
    ("5",),
    ("5",),
    ("2.5",),
    ("1",),
    ("0",),
    ("0.001",),
    ("nan",),
    ("",),
    ("1e300",),
    ("-1",),
    ("6", "3"),
    (),
)
_LIMIT_LENGTH_S = (0.5, 4.0)
_RESTS = ("1", "1.5", "3", "0", "-1", "soon")
_FRAMINGS: tuple[raw_answers.Framing, ...] = (
    "chunks",
    "length",
    "none",
    "none",
    "http/1.0",
)
_ENDS: tuple[raw_answers.End, ...] = ("close", "close", "reset", "silent")
_CUT_LIMIT_BYTES = 160
"""Longer than the body of any answer."""

_STORE_FAULTS: tuple[dict[str, Any], ...] = (
    {"down": True},
    {"status": 503},
    {"status": 429},
    {"silent": 2.0},
    {"lose_answers": True},
    {"drop_history": True},
)
_WAY_FAULTS: tuple[dict[str, Any], ...] = (
    {"mode": "cut"},
    {"mode": "refuse"},
    {"mode": "freeze"},
    {"mode": "half-open-up"},
    {"mode": "half-open-down"},
    {"delay_ms": 80.0},
    {"delay_ms": 400.0},
    {"reset_after_down_bytes": 300},
    {"reset_after_up_bytes": 200},
)
_PATH_MODES = ("silent", "refuse", "cut", "freeze")
_PATH_LENGTH_S = (0.5, 3.0)
_NO_WAY_FAULT: dict[str, Any] = {
    "mode": "pass",
    "delay_ms": 0.0,
    "reset_after_down_bytes": None,
    "reset_after_up_bytes": None,
}
_SIGNALS = (
    signal.SIGHUP,
    signal.SIGSTOP,
    signal.SIGTERM,
    signal.SIGKILL,
)


def rotate_keys(
    played: fleet.Fleet, rng: random.Random, length_s: float
) -> None:
    """Rotates a customer's key repeatedly.

    Some rotations take place while one gateway is partitioned from the store.
    The partition is scheduled to outlast the revocation bound.

    Args:
        played: The fleet whose key is rotated.
        rng: Decides pauses, partitions and their gateways.
        length_s: How long rotations are begun.
    """
    ends_s = time.monotonic() + length_s
    while time.monotonic() < ends_s:
        gevent.sleep(rng.uniform(*_KEY_ROTATION_PAUSE_S))
        index = rng.randrange(fleet.GATEWAYS_COUNT)
        is_partitioned = rng.random() < _PARTITION_CHANCE
        if not is_partitioned:
            played.rotate_key()
            continue
        way = played.ways[f"store-{index}"]
        began_s = time.monotonic()
        way.set_faults(mode=rng.choice(_PARTITION_MODES))
        played.rotate_key()
        gevent.sleep(
            fleet.REVOCATION_BOUND_S + rng.uniform(*_PARTITION_PAST_BOUND_S)
        )
        way.set_faults(**_NO_WAY_FAULT)
        played.gateway_outages.append((index, began_s, time.monotonic()))


def state_limits(
    played: fleet.Fleet, rng: random.Random, length_s: float
) -> None:
    """Lets a server state request limits, which change and end.

    Args:
        played: The fleet whose server does.
        rng: Decides the server, the limits and how long they are stated.
        length_s: How long limits are stated.
    """
    ends_s = time.monotonic() + length_s
    server = rng.choice(list(played.servers.values()))
    while time.monotonic() < ends_s:
        server.limits = rng.choice(_LIMITS)
        left_s = max(0.0, ends_s - time.monotonic())
        gevent.sleep(min(left_s, rng.uniform(*_LIMIT_LENGTH_S)))
    server.limits = ()


class Faults:
    """Plays faults on a fleet.

    Attributes:
        counts: Faults that took place, by name.
    """

    def __init__(self, played: fleet.Fleet, rng: random.Random):
        self.counts: collections.Counter[str] = collections.Counter()
        self._fleet = played
        self._rng = rng
        self._tasks: list[gevent.Greenlet] = []

    def play(self, length_s: float) -> None:
        """Plays faults for a time and waits until the last has ended."""
        plays: dict[str, Callable[[], None]] = {
            "server": self._harm_server,
            "way": self._harm_way,
            "store": self._harm_store,
            "restore": self._restore_store,
            "signal": self._signal,
            "restart": self._restart_server,
            "record": self._write_over_record,
            "leave": self._leave,
            "rest": self._ask_for_rest,
            "path": self._cut_path,
            "cut": self._cut_answers,
        }
        names = list(_WEIGHT_BY_FAULT)
        weights = list(_WEIGHT_BY_FAULT.values())
        ends_s = time.monotonic() + length_s
        while time.monotonic() < ends_s:
            gevent.sleep(self._rng.uniform(*_PAUSE_S))
            (name,) = self._rng.choices(names, weights)
            self._tasks.append(gevent.spawn(plays[name]))
        # A gateway that is still being started would outlive the soak.
        gevent.joinall(self._tasks, timeout=_TASKS_LIMIT_S)
        self._fleet.heal()

    def _harm_server(self) -> None:
        server = self._rng.choice(list(self._fleet.servers.values()))
        server.faults = self._rng.choice(_SERVER_FAULTS)
        self._count("server", server.faults)
        gevent.sleep(self._rng.uniform(0.2, 1.0))
        server.faults = {}

    def _cut_answers(self) -> None:
        """Lets servers frame their answers otherwise and end them anywhere."""
        servers = self._rng.sample(list(self._fleet.servers.values()), 2)
        at = self._rng.choice((None, -self._rng.randint(1, _CUT_LIMIT_BYTES)))
        raw = {
            "framing": self._rng.choice(_FRAMINGS),
            "cut_at": at,
            "end": self._rng.choice(_ENDS) if at is not None else "close",
        }
        is_cut = "cut" if at is not None else "whole"
        self.counts[f"{is_cut} {raw['framing']} {raw['end']}"] += 1
        for server in servers:
            server.faults = {"raw": raw}
        gevent.sleep(self._rng.uniform(0.2, 1.0))
        for server in servers:
            server.faults = {}

    def _restart_server(self) -> None:
        """Lets a server start again under its id, with its work cut off."""
        server_id = self._rng.choice(list(self._fleet.servers))
        away_s = self._rng.uniform(0.1, 0.8)
        self.counts["restart"] += 1
        name = f"server-{server_id}"
        began_s = time.monotonic()
        self._fleet.ways[name].set_faults(mode="cut")
        gevent.sleep(away_s)
        self._fleet.servers[server_id].start_again()
        self._fleet.ways[name].set_faults(**_NO_WAY_FAULT)
        self._fleet.register(server_id)
        self._fleet.note_harm(name, began_s)

    def _write_over_record(self) -> None:
        """Lets another program write over a server's record, and beside it."""
        server_id = self._rng.choice(list(self._fleet.servers))
        value = self._rng.choice(_FOREIGN_RECORDS)
        self.counts["record"] += 1
        self._fleet.store.put(f"servers/{server_id}", value)
        self._fleet.store.put("servers/foreign", value)
        gevent.sleep(self._rng.uniform(0.1, 1.0))
        self._fleet.register(server_id)

    def _leave(self) -> None:
        """Lets a server say in its answers that it leaves, then leave.

        Its record shows it late or never, as behind an outage of the store.
        """
        server_id = self._rng.choice(list(self._fleet.servers))
        server = self._fleet.servers[server_id]
        stays_s = self._rng.uniform(1.0, 4.0)
        self.counts["leave"] += 1
        left_id = self._fleet.id_of(server_id)
        server.faults = {"leaving": True}
        gevent.sleep(stays_s)
        has_ended = self._fleet.is_away(server_id)
        if not has_ended and self._fleet.id_of(server_id) == left_id:
            self._fleet.end(server_id)
            server.close()
            gevent.sleep(fleet.AWAY_S)
            self._fleet.begin_again(server_id)

    def _ask_for_rest(self) -> None:
        server = self._rng.choice(list(self._fleet.servers.values()))
        rest = self._rng.choice(_RESTS)
        self.counts[f"rest {rest}"] += 1
        server.faults = {"rest": rest}
        gevent.sleep(self._rng.uniform(0.3, 2.0))
        server.faults = {}

    def _harm_store(self) -> None:
        began_s = time.monotonic()
        store = self._fleet.store
        store.faults = self._rng.choice(_STORE_FAULTS)
        self._count("store", store.faults)
        if "drop_history" in store.faults:
            store.hang_watches()
            store.store.compact()
        is_answering = "drop_history" in store.faults
        gevent.sleep(self._rng.uniform(0.2, 1.5))
        store.faults = {}
        if not is_answering:
            self._fleet.store_outages.append((began_s, time.monotonic()))
        self._fleet.note_upset(None, began_s)

    def _restore_store(self) -> None:
        """Lets the store come back from a copy some seconds old.

        The operators and the servers write theirs again a moment later, each
        in its own time.
        """
        store = self._fleet.store
        began_s = time.monotonic()
        copy = store.copy()
        gevent.sleep(self._rng.uniform(0.2, 2.0))
        self.counts["restore"] += 1
        store.faults = {"down": True}
        gevent.sleep(self._rng.uniform(0.05, 0.5))
        store.restore(copy)
        store.faults = {}
        for server_id in self._rng.sample(
            list(self._fleet.servers), len(self._fleet.servers)
        ):
            gevent.sleep(self._rng.uniform(0.0, 0.4))
            self._fleet.register(server_id)
        self._fleet.write_routes()
        self._fleet.restores.append((began_s, time.monotonic()))
        self._fleet.store_outages.append((began_s, time.monotonic()))
        self._fleet.note_upset(None, began_s)

    def _harm_way(self) -> None:
        name = self._rng.choice(list(self._fleet.ways))
        way = self._fleet.ways[name]
        harm = self._rng.choice(_WAY_FAULTS)
        self._count(f"way {name.partition('-')[0]}", harm)
        began_s = time.monotonic()
        way.set_faults(**harm)
        gevent.sleep(self._rng.uniform(0.2, 1.2))
        way.set_faults(**_NO_WAY_FAULT)
        self._fleet.note_harm(name, began_s)

    def _cut_path(self) -> None:
        """Cuts a gateway off from all servers."""
        index = self._rng.randrange(fleet.GATEWAYS_COUNT)
        mode = self._rng.choice(_PATH_MODES)
        self.counts[f"path {mode}"] += 1
        began_s = time.monotonic()
        self._fleet.set_path_faults(index, mode=mode)
        gevent.sleep(self._rng.uniform(*_PATH_LENGTH_S))
        self._fleet.set_path_faults(index, **_NO_WAY_FAULT)
        self._fleet.note_harm(f"path-{index}", began_s)

    def _signal(self) -> None:
        index = self._rng.randrange(fleet.GATEWAYS_COUNT)
        number = self._rng.choice(_SIGNALS)
        pause_s = self._rng.uniform(0.1, 0.8)
        gateway = self._fleet.gateways[index]
        if gateway is None or gateway.poll() is not None:
            return
        self.counts[number.name] += 1
        began_s = time.monotonic()
        ends = number in (signal.SIGTERM, signal.SIGKILL)
        if ends:
            self._fleet.gateways[index] = None
        if number == signal.SIGKILL:
            self._fleet.note_kill(index)
        with contextlib.suppress(ProcessLookupError):
            gateway.signal(number)
            if number == signal.SIGSTOP:
                gevent.sleep(pause_s)
                gateway.signal(signal.SIGCONT)
        if ends:
            gevent.get_hub().threadpool.apply(gateway.wait)
            gateway.close()
            self._fleet.launch(index)
        self._fleet.note_upset(index, began_s)
        if number != signal.SIGHUP:
            self._fleet.gateway_outages.append(
                (index, began_s, time.monotonic())
            )

    def _count(self, where: str, harm: dict[str, Any]) -> None:
        what = ",".join(str(harm.get("mode", name)) for name in harm)
        self.counts[f"{where} {what}"] += 1
