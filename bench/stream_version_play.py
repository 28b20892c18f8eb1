"""Plays streams that callers take up at any gateway, in virtual time.

Which gateways keep a stream, whom a gateway asks and what is decided is the
product's own. Servers, callers and the ways between gateways are models.

``python -m bench.stream_version_play`` prints for each scene which share of the
streams that were taken up went on, how many went on at another version, and
what the messages cost the busiest gateway.
"""

import itertools
import math
import random
from typing import NamedTuple

from bench import _stream_gateway, virtual_time
from mulberrywharf import fleet
from mulberrywharf.peers import stream_origins
from mulberrywharf.policy import stream_keepers, stream_version

SERVICE = "service"
VERSIONS = ("v1", "v1.1", "v1.2")
STREAMS_PER_S = 5.0
"""New streams at each gateway: 1,700 a second at 340."""

WARM_UP_S = 2.0
BREAK_S = 6.0
_LENGTH_S = 12.0
_MESSAGE_S = (0.0003, 0.002)
_TAKE_UP_S = (0.006, 0.3)
"""Time from the break of a stream until its caller takes it up elsewhere."""

_BROKEN_SHARE = 0.1
"""Share of the streams that break by themselves."""

_STREAM_S = 0.4
_RESTART_S = 1.0
_LEARN_S = (0.005, 1.2)
"""Time until a gateway knows of new servers, long if its watch was cut."""

_BOTH_S = 3.0


class Scene(NamedTuple):
    """What is played.

    Attributes:
        gateways_count: Gateways, in turn in each of the zones.
        zones_count: Availability zones.
        loss_share: Share of the datagrams that are lost.
        killed_share: Share of the gateways that are killed at ``BREAK_S`` and
            start again a second later; their streams break.
        killed_zone: Whether all gateways of one zone are killed then.
        cut_zone: Whether one zone is partitioned from the others from then on;
            callers there take their streams up in it.
        kills_at_first_event: Whether gateways are killed in turn, each just
            after the first event of one of its streams.
        unknown_share: Share of the gateways that a gateway doesn't know.
        rolls_out: Whether engines of two further versions start at ``BREAK_S``
            and the others leave some seconds later. Gateways learn of both at
            different moments, and all had known one version until then.
    """

    gateways_count: int = 9
    zones_count: int = 3
    loss_share: float = 0.01
    killed_share: float = 0.0
    killed_zone: bool = False
    cut_zone: bool = False
    kills_at_first_event: bool = False
    unknown_share: float = 0.0
    rolls_out: bool = False


class Outcome(NamedTuple):
    """What one play came to.

    Attributes:
        taken_up_count: Streams that callers took up.
        went_on_share: Share of them that went on.
        joined_count: Streams that went on at another version.
        sent_bytes_per_s: Bytes that the busiest gateway sent, a second.
        found_s: Time within which 99 of 100 versions were found.
    """

    taken_up_count: int
    went_on_share: float
    joined_count: int
    sent_bytes_per_s: float
    found_s: float


class _Gateway(_stream_gateway.StreamGateway):
    def __init__(self, play: "_Play", number: int):
        super().__init__(number, play.scene.zones_count, play)
        self.play = play
        self.start()

    def start(self) -> None:
        """Starts its process, which knows nothing of before."""
        now_s = self.play.loop.now_s
        self.is_up = True
        self.history = stream_version.VersionHistory()
        known_s = stream_version.LEAST_HOLD_S if now_s == 0.0 else 0.0
        self.history.set_following(True, now_s - known_s)
        self.history.set_contact(math.inf)
        self.history.set_confirmed(math.inf)
        self.origins = stream_origins.StreamOrigins(
            self,
            self,  # type: ignore[arg-type]
            self.history,
            self.play.loop,
            lambda then: then(),
            self.play.loop.after,
        )
        self.origins.set_services([SERVICE])
        self.learn()

    def learn(self) -> None:
        """Reads which servers there are."""
        self.versions = self.play.versions()
        servers = [SERVERS[one] for one in self.versions]
        if self.history.set_servers(servers, self.play.loop.now_s):
            self.origins.tell_untold()

    def deliver(self, address: fleet.Address, body: bytes) -> None:
        """Carries the body of a message to a gateway, or loses it."""
        self.play.deliver(self, address, body)


class _Play:
    """One play of a scene."""

    def __init__(self, scene: Scene, seed: int):
        self.scene = scene
        self.loop = virtual_time.Timeline()
        self.phase = 0
        self.rng = random.Random(seed)
        self.zones_by_vm: dict[str, str] = {}
        self.addresses: dict[str, fleet.Address] = {}
        self.by_address: dict[fleet.Address, _Gateway] = {}
        self.gateways = [
            _Gateway(self, number) for number in range(scene.gateways_count)
        ]
        for gateway in self.gateways:
            self.zones_by_vm[gateway.vm_id] = gateway.zone
            self.addresses[gateway.vm_id] = gateway.address
            self.by_address[gateway.address] = gateway
        unknown_count = round(scene.unknown_share * scene.gateways_count)
        for gateway in self.gateways:
            others = [one for one in self.zones_by_vm if one != gateway.vm_id]
            gateway.unknown = frozenset(self.rng.sample(others, unknown_count))
        self.numbers = itertools.count()
        self.taken_up_count = self.went_on_count = self.joined_count = 0
        self.took_s: list[float] = []

    def versions(self) -> list[str]:
        """Returns the versions of the servers there are now."""
        if not self.scene.rolls_out:
            return list(VERSIONS)
        return list((VERSIONS[:1], VERSIONS, VERSIONS[1:])[self.phase])

    def _roll_out(self) -> None:
        self.phase += 1
        for gateway in self.gateways:
            self.loop.after(self.rng.uniform(*_LEARN_S), gateway.learn)

    def run(self) -> Outcome:
        for gateway in self.gateways:
            self._begin_next(gateway)
        if self.scene.rolls_out:
            self.loop.after(BREAK_S, self._roll_out)
            self.loop.after(BREAK_S + _BOTH_S, self._roll_out)
        self.loop.after(BREAK_S, self._break)
        self.loop.run_until(_LENGTH_S)
        self.took_s.sort()
        return Outcome(
            self.taken_up_count,
            self.went_on_count / max(1, self.taken_up_count),
            self.joined_count,
            max(one.sent_bytes for one in self.gateways) / _LENGTH_S,
            self.took_s[int(0.99 * len(self.took_s))] if self.took_s else 0.0,
        )

    def deliver(
        self, sender: _Gateway, address: fleet.Address, body: bytes
    ) -> None:
        receiver = self.by_address[address]
        if self.rng.random() < self.scene.loss_share or self._is_cut(
            sender.zone, receiver.zone
        ):
            return

        def arrive() -> None:
            if receiver.is_up:
                receiver.handler(body, sender.address)

        self.loop.after(self.rng.uniform(*_MESSAGE_S), arrive)

    def _is_cut(self, zone: str, other: str) -> bool:
        return (
            self.scene.cut_zone
            and self.loop.now_s >= BREAK_S
            and zone != other
            and "zone-0" in (zone, other)
        )

    def _begin_next(self, gateway: _Gateway) -> None:
        self.loop.after(
            self.rng.expovariate(STREAMS_PER_S), self._begin, gateway
        )

    def _begin(self, gateway: _Gateway) -> None:
        self._begin_next(gateway)
        if not gateway.is_up:
            return
        name = f"stream-{next(self.numbers)}"
        version = self.rng.choice(gateway.versions)
        version_key = stream_version.key_of(version) or 0
        stream = stream_origins.StreamId(
            name, SERVICE, stream_keepers.scope_of(SERVICE)
        )
        gateway.origins.note_begun(stream, version_key)
        ends_s = self.rng.uniform(0.0, _STREAM_S)
        kills = (
            self.scene.kills_at_first_event
            and self.loop.now_s > WARM_UP_S
            and self.rng.random() < _BROKEN_SHARE
        )
        if kills:
            self._kill(gateway)
            ends_s = 0.0
        if kills or self.rng.random() < _BROKEN_SHARE:
            self._take_up_later(ends_s, gateway, stream, version_key)
        elif self._breaks_with(gateway, ends_s):
            breaks_s = max(0.0, BREAK_S - self.loop.now_s)
            self._take_up_later(breaks_s, gateway, stream, version_key)

    def _breaks_with(self, gateway: _Gateway, ends_s: float) -> bool:
        is_open = self.loop.now_s <= BREAK_S < self.loop.now_s + ends_s
        return is_open and gateway in self._killed()

    def _killed(self) -> list[_Gateway]:
        if self.scene.killed_zone:
            return [one for one in self.gateways if one.zone == "zone-0"]
        count = round(self.scene.killed_share * len(self.gateways))
        return self.gateways[:count]

    def _break(self) -> None:
        for gateway in self._killed():
            self._kill(gateway)

    def _kill(self, gateway: _Gateway) -> None:
        gateway.is_up = False
        self.loop.after(_RESTART_S, gateway.start)

    def _take_up_later(
        self,
        breaks_s: float,
        gateway: _Gateway,
        stream: stream_origins.StreamId,
        version_key: int,
    ) -> None:
        self.loop.after(
            breaks_s + self.rng.uniform(*_TAKE_UP_S),
            self._take_up,
            gateway.zone,
            stream,
            version_key,
        )

    def _take_up(
        self, zone: str, stream: stream_origins.StreamId, version_key: int
    ) -> None:
        ready = [one for one in self.gateways if one.is_up]
        in_zone = [one for one in ready if one.zone == zone]
        gateway = self.rng.choice(in_zone or ready)
        began_s = self.loop.now_s
        self.taken_up_count += 1

        def end(origin: stream_version.Origin) -> None:
            seen = gateway.history.seen(SERVICE, self.loop.now_s)
            decided = stream_version.decide(origin, seen)
            if isinstance(decided, stream_version.Only):
                self.went_on_count += 1
                self.joined_count += decided.version_key != version_key
                self.took_s.append(self.loop.now_s - began_s)

        gateway.origins.ask(stream, end)


SERVERS = {
    version: fleet.Server(
        fleet.ServerStart(f"engine-{version}"),
        SERVICE,
        fleet.Address("10.0.0.2", 1),
        "zone-0",
        16,
        role="decode",
        software_version=version,
    )
    for version in VERSIONS
}


def play(scene: Scene, seed: int = 1) -> Outcome:
    """Plays a scene."""
    return _Play(scene, seed).run()


SCENES: dict[str, Scene] = {
    "calm": Scene(),
    "one datagram in ten lost": Scene(loss_share=0.1),
    "one zone's gateways killed": Scene(killed_zone=True),
    "a third of the gateways killed": Scene(killed_share=0.34),
    "one zone cut off": Scene(cut_zone=True),
    "gateways killed at a first event": Scene(kills_at_first_event=True),
    "one in ten gateways unknown": Scene(unknown_share=0.1),
    "two versions rolled out": Scene(rolls_out=True),
    "the same, a third killed": Scene(rolls_out=True, killed_share=0.34),
}
SIZES: dict[int, int] = {9: 3, 60: 4, 195: 5, 340: 8}
"""Zones by number of gateways."""


def main() -> None:
    """Prints all scenes at all sizes."""
    for gateways_count, zones_count in SIZES.items():
        for name, scene in SCENES.items():
            outcome = play(
                scene._replace(
                    gateways_count=gateways_count, zones_count=zones_count
                )
            )
            print(
                f"{gateways_count:4} {name:34} {outcome.taken_up_count:5}"
                f" taken up, {outcome.went_on_share:.3f} went on,"
                f" {outcome.joined_count} joined,"
                f" {outcome.sent_bytes_per_s:6.0f} bytes/s,"
                f" found in {outcome.found_s * 1000:.1f} ms"
            )


if __name__ == "__main__":
    main()
