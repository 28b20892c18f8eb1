"""Plays releases beside gateways that are out of step, in virtual time.

A tenth of the gateways stand still, are cut off or hear late of servers, while
engines of a newer software version join and begin streams. The streams break,
and callers take them up at these gateways. Who keeps a stream, what gateways
ask, what they lend and what is decided is the product's own; servers, callers,
the ways between gateways and the key-value store are models.

``python -m bench.out_of_step_play`` prints for each scene how many streams were
taken up, which share went on, and how many went on at another version.
"""

import collections
import itertools
import math
import random
import sys
from collections.abc import Callable
from typing import Literal, NamedTuple, get_args

from bench import _stream_gateway, stream_version_play, virtual_time
from mulberrywharf import fleet
from mulberrywharf.forwarding import servers
from mulberrywharf.peers import stream_origins
from mulberrywharf.policy import stream_keepers, stream_version

Fault = Literal[
    "none",
    "stands still",
    "no gateways",
    "no store",
    "no gateways, no store",
    "no replies",
    "no questions",
    "late watch",
]
"""How gateways are out of step; ``none`` if they aren't.

- ``stands still``: Its process is stopped. What queued up arrives as it wakes.
- ``no replies``: Messages of other gateways are lost on the way to it.
- ``no questions``: Its messages to other gateways are lost.
- ``late watch``: Its watch of the servers' records is behind; its other calls
  to the store work.
"""

Way = Literal["changes", "records"]
"""How a gateway confirms that it knows all versions: by the changes since its
watch's last report, which may be as late, or by all records as well."""

JOIN_S = 3.0
OUT_BEGIN_S = JOIN_S - 0.3
OUT_S = (0.7, 2.2, 3.5)
"""How long gateways are out of step after the newer version joins."""

_CANARY_SHARE = 0.4
"""Part of that time after which a canary leaves."""

_KILL_SHARE = 0.5
_RESTART_S = 0.2
_AFTERWARDS_S = 1.5
_STREAM_S = 0.4
_MESSAGE_S = (0.0003, 0.002)
_LOSS_SHARE = 0.01
_TAKE_UP_S = (0.006, 0.3)
_LEARN_S = (0.005, 0.2)
_CONTACT_S = (0.5, 2.0)
"""Time between two calls of a gateway to the store."""

_FOLLOW_S = 0.2
_READ_S = 0.004
_READ_TIMEOUT_S = 1.0
_CONFIRM_INTERVAL_S = 0.5
_CATCH_UP_S = 0.8
_MISSING_HOLD_S = servers.DEFAULT_MISSING_HOLD_S
_POLL_S = 0.01
_RECORD_BYTES = 350
_SERVERS_COUNT = {9: 5, 60: 150, 195: 488, 340: 850}
_BROKEN_SHARE = 0.1
_BROKEN_SHARE_THEN = 0.5
"""Share of the streams that break, before and after the version joins."""

_SHARE_AT_THEM = 0.7
"""Share of the broken streams that are taken up at gateways out of step."""


class Scene(NamedTuple):
    """What is played.

    Attributes:
        gateways_count: Gateways, in turn in each of the zones.
        zones_count: Availability zones.
        fault: How a tenth of the gateways are out of step.
        out_s: How long, after the newer version joins.
        way: How gateways confirm their lists.
        kills_others: Whether all other gateways are killed meanwhile, and start
            again at once.
        is_canary: Whether the newer version leaves again before that.
        joins: Whether a newer version joins at all.
        named_share: Share of the callers that name the stream they take up.
    """

    gateways_count: int = 9
    zones_count: int = 3
    fault: Fault = "none"
    out_s: float = OUT_S[1]
    way: Way = "records"
    kills_others: bool = False
    is_canary: bool = False
    joins: bool = True
    named_share: float = 0.5


class Outcome(NamedTuple):
    """What one play came to.

    Attributes:
        taken_up_count: Streams that were taken up after the version joined,
            at any gateway.
        went_on_count: Those of them that went on.
        joined_count: Those that went on at another version than they began.
        refusals: How many were refused, by the reason.
        contactless_count: Those taken up at a gateway that could not read the
            store, or not ask other gateways.
        known_in_contact_count: Those taken up at other gateways whose version
            served and that were named and told, or it was the only one.
        refused_in_contact_count: Those of them that were refused.
        reads_per_s: Reads of the records by one gateway in its busiest second.
        read_bytes_per_s: Their bytes.
    """

    taken_up_count: int
    went_on_count: int
    joined_count: int
    refusals: collections.Counter[str]
    contactless_count: int
    known_in_contact_count: int
    refused_in_contact_count: int
    reads_per_s: int
    read_bytes_per_s: int

    @property
    def went_on_share(self) -> float:
        """Share of the streams taken up that went on."""
        return self.went_on_count / max(1, self.taken_up_count)


class _Stream(NamedTuple):
    """A stream that began.

    Attributes:
        stream: Identifies it.
        version: The version that began it.
        is_named: Whether its caller names it.
        is_told: Whether its gateway told others of it as it began.
    """

    stream: stream_origins.StreamId
    version: str
    is_named: bool
    is_told: bool


class _Gateway(_stream_gateway.StreamGateway):
    def __init__(self, play: "_Play", number: int):
        super().__init__(number, play.scene.zones_count, play)
        self.play = play
        self.may_be_out = False
        self.process_number = 0
        self.read_times_s: list[float] = []
        self.start()

    def start(self) -> None:
        """Starts its process, which knows nothing of before."""
        now_s = self.play.loop.now_s
        self.is_up = True
        self.process_number += 1
        self.history = stream_version.VersionHistory()
        known_s = stream_version.LEAST_HOLD_S if now_s == 0.0 else 0.0
        self.history.set_following(True, now_s - known_s)
        self.contact_s = now_s
        self.has_outage = False
        self.outage_end_s = -math.inf
        self.readings_count = 1
        self.basis = True, 1
        self.origins = stream_origins.StreamOrigins(
            self,
            self,  # type: ignore[arg-type]
            self.history,
            self.play.loop,
            self.confirm_versions,
            self.call_later,
        )
        self.origins.set_services([stream_version_play.SERVICE])
        self.history.set_contact(now_s)
        self.awaiting: list[Callable[[bool], None]] = []
        self.is_confirming = False
        self.versions: list[str] = []
        self.learned_s = now_s
        self.postponed: list[Callable[[], object]] = []
        self._keep_contact()
        self._follow()
        self.learn()

    def _is_out(self, *faults: Fault) -> bool:
        return (
            self.may_be_out
            and self.play.is_out_time
            and self.play.scene.fault in faults
        )

    @property
    def stands_still(self) -> bool:
        return self._is_out("stands still")

    @property
    def has_store(self) -> bool:
        return not self._is_out(
            "no store", "no gateways, no store", "stands still"
        )

    @property
    def hears(self) -> bool:
        return not self._is_out(
            "no gateways", "no gateways, no store", "no replies"
        )

    @property
    def is_heard(self) -> bool:
        return not self._is_out(
            "no gateways", "no gateways, no store", "no questions"
        )

    @property
    def has_contact(self) -> bool:
        return self.has_store and self.hears and self.is_heard

    @property
    def is_watch_late(self) -> bool:
        return not self.has_store or self._is_out("late watch")

    def call_later(
        self, delay_s: float, call: Callable[..., object], *args: object
    ) -> None:
        """Calls a function of this process, as it wakes at the earliest."""
        process_number = self.process_number

        def run() -> None:
            if process_number == self.process_number and self.is_up:
                self.when_awake(lambda: call(*args))

        self.play.loop.after(delay_s, run)

    def when_awake(
        self, call: Callable[[], object], *, is_first: bool = False
    ) -> None:
        """Calls a function now, or as the process wakes."""
        if not self.stands_still:
            call()
        elif is_first:
            self.postponed.insert(0, call)
        else:
            self.postponed.append(call)

    def wake(self) -> None:
        """Handles what has queued up."""
        queued, self.postponed = self.postponed, []
        for call in queued:
            call()

    def _keep_contact(self) -> None:
        if not self.has_store:
            self.has_outage = True
        else:
            self.contact_s = self.play.loop.now_s
            if self.has_outage:
                self.has_outage = False
                self.outage_end_s = self.contact_s
        self.call_later(self.play.rng.uniform(*_CONTACT_S), self._keep_contact)

    def _follow(self) -> None:
        self._follow_versions()
        self.call_later(_FOLLOW_S, self._follow)

    def _follow_versions(self) -> None:
        """Tells the history of its basis, as ``Gateway`` does."""
        now_s = self.play.loop.now_s
        self.history.set_following(
            True, now_s, readings_count=self.readings_count
        )
        self.history.set_contact(self.contact_s)
        basis = self.history.is_current(now_s), self.readings_count
        if basis != self.basis:
            self.basis = basis
            self.origins.tell_untold()

    def learn(self) -> None:
        """Applies what its watch of the servers reports."""
        if self.is_watch_late and self.versions:
            self.play.at_end_of_fault(self, self.learn)
            return
        reported = self.play.versions_since(self.learned_s)
        self.versions = self.play.versions()
        self.learned_s = self.play.loop.now_s
        # What came and left in between is reported as well.
        has_new = [self._set(reported), self._set(self.versions)]
        if any(has_new):
            self.origins.tell_untold()

    def _set(self, versions: list[str]) -> bool:
        known = [stream_version_play.SERVERS[one] for one in versions]
        return self.history.set_servers(known, self.play.loop.now_s)

    def confirm_versions(
        self,
        then: Callable[[], None],
        otherwise: Callable[[], None] = lambda: None,
    ) -> None:
        """Confirms the history of versions, as ``Gateway`` does."""
        asked_s = self.play.loop.now_s
        waiting = [True]

        def end(is_confirmed: bool) -> None:
            if not waiting:
                return
            waiting.clear()
            self._follow_versions()
            if is_confirmed:
                self.history.set_confirmed(asked_s)
                then()
            else:
                otherwise()

        self.awaiting.append(end)
        self.call_later(servers.CONFIRM_LIMIT_S, end, False)
        if not self.is_confirming:
            self._confirm_next()

    def _confirm_next(self) -> None:
        """Compares the list with the store's, as ``ServerList`` does."""
        self.is_confirming = bool(self.awaiting)
        if not self.awaiting:
            return
        awaiting, self.awaiting = self.awaiting, []
        began_s = self.play.loop.now_s
        readings_count = self.readings_count
        has_read = self.has_store
        self.read_times_s.append(began_s)
        changed_s = 0.0
        is_behind = False
        if self.play.scene.way == "records":
            changed_s = self.play.joined_s()
            # The changes are of an earlier revision than the records.
            is_behind = self.is_watch_late
        if not self.is_watch_late:
            changed_s = max(changed_s, self.play.changed_s())

        def end(is_confirmed: bool) -> None:
            for on_end in awaiting:
                on_end(is_confirmed)
            pause_s = began_s + _CONFIRM_INTERVAL_S - self.play.loop.now_s
            self.call_later(max(0.0, pause_s), self._confirm_next)

        def compare() -> None:
            now_s = self.play.loop.now_s
            if not has_read:
                end(False)
            elif self.learned_s >= changed_s:
                is_after = now_s - self.outage_end_s >= _MISSING_HOLD_S
                is_same = self.readings_count == readings_count
                end(is_after and is_same and not is_behind)
            elif now_s >= began_s + _CATCH_UP_S:
                self._read_again()
                end(False)
            else:
                if not self.is_watch_late:
                    self.learn()
                self.call_later(_POLL_S, compare)

        self.call_later(_READ_S if has_read else _READ_TIMEOUT_S, compare)

    def _read_again(self) -> None:
        """Reads all records, which lack what came and left meanwhile."""
        if self.has_store:
            self.readings_count += 1
            self.learned_s = self.play.loop.now_s
            self.versions = self.play.versions()
            if self._set(self.versions):
                self.origins.tell_untold()

    def deliver(self, address: fleet.Address, body: bytes) -> None:
        """Carries the body of a message to a gateway, or loses it."""
        self.play.deliver(self, address, body)


class _Play:
    """One play of a scene."""

    def __init__(self, scene: Scene, seed: int):
        self.scene = scene
        self.loop = virtual_time.Timeline()
        self.rng = random.Random(seed)
        self.zones_by_vm: dict[str, str] = {}
        self.addresses: dict[str, fleet.Address] = {}
        self.by_address: dict[fleet.Address, _Gateway] = {}
        self.out_end_s = JOIN_S + scene.out_s
        self.gateways = [
            _Gateway(self, number) for number in range(scene.gateways_count)
        ]
        for gateway in self.gateways:
            self.zones_by_vm[gateway.vm_id] = gateway.zone
            self.addresses[gateway.vm_id] = gateway.address
            self.by_address[gateway.address] = gateway
        out_count = max(1, scene.gateways_count // 10)
        self.out = self.rng.sample(self.gateways, out_count)
        self.others = [one for one in self.gateways if one not in self.out]
        for gateway in self.out:
            gateway.may_be_out = True
        self.numbers = itertools.count()
        self.open: dict[str, tuple[_Gateway, _Stream, float]] = {}
        self.taken_up_count = self.went_on_count = self.joined_count = 0
        self.contactless_count = self.known_in_contact_count = 0
        self.refused_in_contact_count = 0
        self.refusals: collections.Counter[str] = collections.Counter()

    @property
    def is_out_time(self) -> bool:
        """Whether gateways are out of step now."""
        return OUT_BEGIN_S <= self.loop.now_s < self.out_end_s

    @property
    def _leaves_s(self) -> float:
        return JOIN_S + _CANARY_SHARE * self.scene.out_s

    def versions(self) -> list[str]:
        """Returns the versions of the servers there are now."""
        now_s = self.loop.now_s
        has_newer = (
            self.scene.joins
            and now_s >= JOIN_S
            and not (self.scene.is_canary and now_s >= self._leaves_s)
        )
        return list(stream_version_play.VERSIONS[: 2 if has_newer else 1])

    def versions_since(self, since_s: float) -> list[str]:
        """Returns the versions of the servers there are or were since then."""
        has_newer = (
            self.scene.joins
            and self.loop.now_s >= JOIN_S
            and not (self.scene.is_canary and since_s >= self._leaves_s)
        )
        return list(stream_version_play.VERSIONS[: 2 if has_newer else 1])

    def joined_s(self) -> float:
        """Returns when a server joined whose record is there, 0 if none is."""
        return JOIN_S if len(self.versions()) > 1 else 0.0

    def changed_s(self) -> float:
        """Returns when the records were last changed, 0 if never."""
        if not self.scene.joins or self.loop.now_s < JOIN_S:
            return 0.0
        has_left = self.scene.is_canary and self.loop.now_s >= self._leaves_s
        return self._leaves_s if has_left else JOIN_S

    def at_end_of_fault(
        self, gateway: _Gateway, call: Callable[[], None]
    ) -> None:
        """Calls some time after the gateways are in step again."""
        delay_s = self.out_end_s - self.loop.now_s
        gateway.call_later(delay_s + self.rng.uniform(*_LEARN_S), call)

    def run(self) -> Outcome:
        for gateway in self.gateways:
            self._begin_next(gateway)
        if self.scene.joins:
            self.loop.at(JOIN_S, self._report_change)
        if self.scene.is_canary:
            self.loop.at(self._leaves_s, self._report_change)
        if self.scene.kills_others:
            self.loop.at(JOIN_S + _KILL_SHARE * self.scene.out_s, self._kill)
        self.loop.at(self.out_end_s, self._wake)
        self.loop.run_until(self.out_end_s + _AFTERWARDS_S)
        reads = max(
            _most_in_a_second(one.read_times_s) for one in self.gateways
        )
        servers_count = _SERVERS_COUNT[self.scene.gateways_count]
        return Outcome(
            self.taken_up_count,
            self.went_on_count,
            self.joined_count,
            self.refusals,
            self.contactless_count,
            self.known_in_contact_count,
            self.refused_in_contact_count,
            reads,
            reads * servers_count * _RECORD_BYTES,
        )

    def _report_change(self) -> None:
        for gateway in self.gateways:
            if gateway.stands_still:
                self.at_end_of_fault(gateway, gateway.learn)
            else:
                gateway.call_later(self.rng.uniform(*_LEARN_S), gateway.learn)

    def _wake(self) -> None:
        for gateway in self.out:
            gateway.wake()

    def _kill(self) -> None:
        broken = [
            (gateway, one)
            for gateway, one, ends_s in self.open.values()
            if gateway in self.others and ends_s > self.loop.now_s
        ]
        for gateway in self.others:
            gateway.is_up = False
            self.loop.after(_RESTART_S, gateway.start)
        for _, one in broken:
            self._take_up_later(one)

    def deliver(
        self, sender: _Gateway, address: fleet.Address, body: bytes
    ) -> None:
        receiver = self.by_address[address]
        if (
            self.rng.random() < _LOSS_SHARE
            or not sender.is_heard
            or not receiver.hears
        ):
            return

        def arrive() -> None:
            if receiver.is_up:
                receiver.when_awake(
                    lambda: receiver.handler(body, sender.address)
                )

        self.loop.after(self.rng.uniform(*_MESSAGE_S), arrive)

    def _begin_next(self, gateway: _Gateway) -> None:
        self.loop.after(
            self.rng.expovariate(stream_version_play.STREAMS_PER_S),
            self._begin,
            gateway,
        )

    def _begin(self, gateway: _Gateway) -> None:
        self._begin_next(gateway)
        if not gateway.is_up or gateway.stands_still:
            return
        number = next(self.numbers)
        present = [one for one in gateway.versions if one in self.versions()]
        version = self.rng.choice(present)
        stream = stream_origins.StreamId(
            f"stream-{number}",
            stream_version_play.SERVICE,
            stream_keepers.scope_of(stream_version_play.SERVICE),
        )
        one = _Stream(
            stream,
            version,
            self.rng.random() < self.scene.named_share,
            gateway.has_contact and len(gateway.versions) > 1,
        )
        gateway.origins.note_begun(stream, stream_version.key_of(version) or 0)
        ends_s = self.loop.now_s + self.rng.uniform(0.0, _STREAM_S)
        is_then = self.loop.now_s >= JOIN_S
        share = _BROKEN_SHARE_THEN if is_then else _BROKEN_SHARE
        if self.rng.random() < share:
            self.loop.at(ends_s, self._take_up_later, one)
        else:
            self.open[stream.name] = gateway, one, ends_s
            self.loop.at(ends_s, self.open.pop, stream.name)

    def _take_up_later(self, one: _Stream) -> None:
        self.loop.after(self.rng.uniform(*_TAKE_UP_S), self._take_up, one)

    def _take_up(self, one: _Stream) -> None:
        at_them = self.is_out_time and self.rng.random() < _SHARE_AT_THEM
        ready = [x for x in self.others if x.is_up]
        gateway = self.rng.choice(self.out if at_them or not ready else ready)
        if not gateway.stands_still:
            self._find(gateway, one)
            return
        gateway.when_awake(lambda: self._find(gateway, one), is_first=True)

    def _find(self, gateway: _Gateway, one: _Stream) -> None:
        """Finds where a stream began, as ``StreamVersions`` does."""
        had_contact = gateway.has_contact
        process_number = gateway.process_number

        def end(origin: stream_version.Origin) -> None:
            if process_number == gateway.process_number and gateway.is_up:
                self._settle(gateway, one, origin, had_contact)

        if one.is_named:
            gateway.origins.ask(one.stream, end)
            return
        unknown = stream_version.Unknown("not-named")
        if gateway.history.seen(
            one.stream.service, self.loop.now_s
        ).is_complete:
            end(unknown)
        else:
            nobody = one.stream._replace(name="")
            gateway.origins.ask(nobody, lambda _: end(unknown))

    def _settle(
        self,
        gateway: _Gateway,
        one: _Stream,
        origin: stream_version.Origin,
        had_contact: bool,
    ) -> None:
        """Decides where a stream goes on, as ``StreamVersions`` does."""
        service = one.stream.service

        def end(is_confirmed: bool) -> None:
            now_seen = gateway.history.seen(service, self.loop.now_s)
            decided: stream_version.Continuation = (
                stream_version.decide(origin, now_seen)
                if is_confirmed
                or not stream_version.needs_confirmation(origin, now_seen)
                else stream_version.Refused("no-reply")
            )
            self._note(gateway, one, had_contact, decided)

        seen = gateway.history.seen(service, self.loop.now_s)
        if stream_version.needs_confirmation(origin, seen):
            gateway.confirm_versions(lambda: end(True), lambda: end(False))
        else:
            end(True)

    def _note(
        self,
        gateway: _Gateway,
        one: _Stream,
        had_contact: bool,
        decided: stream_version.Continuation,
    ) -> None:
        if self.loop.now_s < JOIN_S:
            return
        has_contact = had_contact and gateway.has_contact
        is_known = (
            has_contact
            and (not self.scene.joins or (one.is_named and one.is_told))
            and one.version in self.versions()
        )
        self.taken_up_count += 1
        self.contactless_count += not has_contact
        self.known_in_contact_count += is_known
        if isinstance(decided, stream_version.Only):
            self.went_on_count += 1
            began_key = stream_version.key_of(one.version)
            self.joined_count += decided.version_key != began_key
        else:
            self.refusals[decided.reason] += 1
            self.refused_in_contact_count += is_known


def _most_in_a_second(times_s: list[float]) -> int:
    return max(
        (
            sum(begin_s <= one < begin_s + 1.0 for one in times_s)
            for begin_s in times_s
        ),
        default=0,
    )


def play(scene: Scene, seed: int = 1) -> Outcome:
    """Plays a scene."""
    return _Play(scene, seed).run()


FAULTS: tuple[Fault, ...] = get_args(Fault)


def scenes() -> dict[str, Scene]:
    """Returns all scenes at nine gateways, by name."""
    found: dict[str, Scene] = {"one version": Scene(joins=False)}
    for fault, out_s in itertools.product(FAULTS, OUT_S):
        name = f"{fault}, {out_s} s"
        scene = Scene(fault=fault, out_s=out_s)
        unnamed = scene._replace(named_share=0.0)
        killed = scene._replace(kills_others=True)
        found[name] = scene
        found[f"{name}, unnamed"] = unnamed
        found[f"{name}, others killed"] = killed
        found[f"{name}, canary"] = killed._replace(is_canary=True)
        if fault == "late watch":
            found[f"{name}, unnamed, by changes"] = unnamed._replace(
                way="changes"
            )
    return found


def describe(outcome: Outcome) -> str:
    """Returns what a play came to, on one line."""
    taken_up = max(1, outcome.taken_up_count)
    refused_share = outcome.refusals.total() / taken_up
    return (
        f"{outcome.taken_up_count:5} taken up, {outcome.went_on_share:.3f} went"
        f" on, {refused_share:.3f} refused, {outcome.joined_count:3} joined,"
        f" {outcome.contactless_count:4} without contact,"
        f" {outcome.refused_in_contact_count:3} of"
        f" {outcome.known_in_contact_count:4} known ones refused in contact,"
        f" {outcome.reads_per_s:2} reads/s,"
        f" {outcome.read_bytes_per_s / 1000:.0f} KB/s"
    )


def main() -> None:
    """Prints all scenes at the sizes that are given, by default all."""
    sizes = [int(one) for one in sys.argv[1:]] or stream_version_play.SIZES
    for gateways_count in sizes:
        for name, scene in scenes().items():
            outcome = play(
                scene._replace(
                    gateways_count=gateways_count,
                    zones_count=stream_version_play.SIZES[gateways_count],
                )
            )
            print(
                f"{gateways_count:4} {name:40} {describe(outcome)}", flush=True
            )


if __name__ == "__main__":
    main()
