"""How busy engines are, as far as one node can tell."""

from typing import Protocol

from mulberrywharf import clock, fleet
from mulberrywharf.forwarding import server_book
from mulberrywharf.peers import codec
from mulberrywharf.policy import engine_queues, server_choice, usual_load

TOLD_LOAD_AGE_S = 0.5
"""Older loads are not told on: a batch of short answers turns over in that
time."""

LEAST_WEIGHT = 0.5
"""Of all that engines told together, from which it says how busy others are."""

_Kind = tuple[str, fleet.Role | None]
"""A service, and a role of its engines."""

_ToldKind = tuple[int, int, bool]
"""Keys of an availability zone and a service; whether prefill engines."""

_NEVER = usual_load.IDLE, float("-inf")


class Hearing(Protocol):
    """What this node hears."""

    def hears_of(self, server: fleet.Server) -> bool:
        """Tells whether this node hears of all work at an engine."""
        ...


class EngineLoads:
    """Loads that engines and other gateways told, and what follows of others.

    Engines whose work this node doesn't hear of are taken to be as busy as
    their availability zone tells, or, without its word, as the engines that
    this node hears of.

    What an engine told says less with each second. It fades to what engines of
    its role told on the mean: fading to nothing, whoever was not heard for two
    seconds looked idle, and got prompts that held up the streams that it ran.
    On 61 gateways 0.12 of the streams of 12 s paused too long instead of 0.17.
    """

    def __init__(
        self,
        book: server_book.ServerBook,
        queues: engine_queues.EngineQueues,
        notices: Hearing,
        system_clock: clock.Clock,
    ):
        """Makes it; no engine is known.

        Args:
            book: Requests at engines, own and reported.
            queues: Work that engines were given.
            notices: Tells of which engines this node hears all work.
            system_clock: Measures ages.
        """
        self._book = book
        self._queues = queues
        self._notices = notices
        self._clock = system_clock
        self._known: dict[int, fleet.Server] = {}
        self._zones: dict[fleet.ServerStart, str] = {}
        self._usual: dict[_Kind, tuple[usual_load.Load, float]] = {}
        self._told_shares: dict[_Kind, tuple[float, float]] = {}
        self._told: dict[_ToldKind, tuple[usual_load.Load, float]] = {}

    def follow(self, known: dict[int, fleet.Server]) -> None:
        """Takes in the engines, by their keys in notices."""
        self._known = known
        self._zones = {
            server.start: server.availability_zone
            for server in known.values()
            if server.role is not None
        }

    def load(
        self, candidate: server_choice.Candidate, now_s: float
    ) -> usual_load.Load:
        """Returns how busy an engine is believed to be."""
        if self._notices.hears_of(candidate.server):
            return self._heard_load(candidate, now_s)
        return usual_load.at_least(
            self._seen(candidate, now_s),
            self._believed(candidate.server, now_s),
        )

    def reported(self, availability_zone: str) -> tuple[codec.Load, ...]:
        """Returns what engines of a zone told this node lately."""
        now_s = self._clock.monotonic_s()
        return tuple(
            codec.Load(
                codec.key_of_server(start),
                load.requests_count,
                now_s - told_s,
            )
            for start, load, told_s in self._book.reported_since(
                now_s - TOLD_LOAD_AGE_S
            )
            if self._zones.get(start) == availability_zone
        )

    def of_roles(self) -> tuple[codec.RoleLoad, ...]:
        """Returns how busy engines are that this node hears of, by role."""
        now_s = self._clock.monotonic_s()
        kinds = {
            (one.service, one.role)
            for one in self._known.values()
            if one.role is not None and self._notices.hears_of(one)
        }
        return tuple(
            codec.RoleLoad(
                codec.key_of(service),
                role == "prefill",
                self._usual_load((service, role), now_s),
            )
            for service, role in sorted(kinds)
        )

    def on_notice(self, notice: codec.Notice) -> None:
        """Takes in the loads that another gateway told."""
        now_s = self._clock.monotonic_s()
        for load in notice.loads:
            server = self._known.get(load.engine_key)
            if server is not None:
                self._book.heard(
                    server.start, load.requests_count, now_s - load.age_s
                )
        for told in notice.role_loads:
            kind = notice.zone_key, told.service_key, told.is_prefill
            self._told[kind] = told.load, now_s

    def _seen(
        self, candidate: server_choice.Candidate, now_s: float
    ) -> usual_load.Load:
        server = candidate.server
        running_count = candidate.own_count + candidate.others_count
        return usual_load.Load(
            running_count / max(1, server.slots_count),
            self._queues.wait_s(server.start, now_s),
        )

    def _heard_load(
        self, candidate: server_choice.Candidate, now_s: float
    ) -> usual_load.Load:
        """Returns the load of an engine whose work this node hears of."""
        server = candidate.server
        seen = self._seen(candidate, now_s)
        unknown_share = 1.0 - self._book.told(server.start, now_s).weight
        mean_share = self._told_share((server.service, server.role), now_s)
        return seen._replace(
            running_share=seen.running_share + unknown_share * mean_share
        )

    def _believed(self, server: fleet.Server, now_s: float) -> usual_load.Load:
        kind = (
            codec.key_of(server.availability_zone),
            codec.key_of(server.service),
            server.role == "prefill",
        )
        told, told_s = self._told.get(kind, _NEVER)
        if now_s - told_s <= usual_load.TOLD_AGE_S:
            return told
        return self._usual_load((server.service, server.role), now_s)

    def _told_share(self, kind: _Kind, now_s: float) -> float:
        """Returns the part of engines' slots that others' requests take."""
        found, found_s = self._told_shares.get(kind, (0.0, float("-inf")))
        if now_s - found_s < usual_load.KEPT_S:
            return found
        told = [
            (self._book.told(one.start, now_s), one.slots_count)
            for one in self._heard(kind)
        ]
        weight = sum(load.weight for load, _ in told)
        found = 0.0
        if weight >= LEAST_WEIGHT:
            found = sum(
                load.weight * load.requests_count / max(1, slots_count)
                for load, slots_count in told
            )
            found /= weight
        self._told_shares[kind] = found, now_s
        return found

    def _heard(self, kind: _Kind) -> list[fleet.Server]:
        """Returns the engines of a kind that this node hears of."""
        return [
            one
            for one in self._known.values()
            if (one.service, one.role) == kind
            and not one.is_draining
            and self._notices.hears_of(one)
        ]

    def _usual_load(self, kind: _Kind, now_s: float) -> usual_load.Load:
        """Returns the mean load of the engines that this node hears of."""
        found, found_s = self._usual.get(kind, _NEVER)
        if now_s - found_s < usual_load.KEPT_S:
            return found
        heard = self._book.candidates(self._heard(kind), now_s)
        found = usual_load.mean(
            [self._heard_load(candidate, now_s) for candidate in heard]
        )
        self._usual[kind] = found, now_s
        return found
