"""Tells other gateways at which version streams began, and asks them."""

import collections
import itertools
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

import gevent
import gevent.event
from loguru import logger
from result import Err

from mulberrywharf import clock, fleet, metrics
from mulberrywharf.peers import notice_codec, stream_codec, topics
from mulberrywharf.policy import stream_keepers, stream_version

ROUND_S = 0.04
"""Time between two rounds of questions. A reply comes within a few ms, or some
tens of ms from a machine short of CPU time."""

ROUNDS_COUNT = 4
RANKS_COUNT = 2
"""Gateways of each zone that are asked from the second round on."""

UNTOLD_S = 10.0
"""How long a stream is remembered that other gateways do not keep. They get it
when a second version appears; most streams have ended after that time."""

_UNTOLD_LIMIT_COUNT = 2_000

_questions_total = metrics.counter(
    "mulberry_stream_questions_total",
    "Questions for the versions of streams, by what became of them.",
)


class Peers(Protocol):
    """The other gateways."""

    def stream_fleet(self) -> stream_keepers.Fleet:
        """Returns the gateways, this one included."""
        ...

    def address_of(self, vm_id: str) -> fleet.Address | None:
        """Returns the address of another gateway, None for this one."""
        ...


class StreamId(NamedTuple):
    """Identifies a stream.

    Attributes:
        name: Id of the request that brought its first event.
        service: Its service.
        scope: What its requests have in common, see ``scope_of``.
    """

    name: str
    service: str
    scope: int

    @property
    def key(self) -> int:
        """Key under which it is kept."""
        return stream_keepers.key_of(self.name)


class _Search:
    """A question that waits for its replies."""

    def __init__(
        self,
        stream: StreamId,
        on_end: Callable[[stream_version.Origin], None],
        *,
        needs_versions: bool,
    ):
        self.stream = stream
        self.needs_versions = needs_versions
        self.on_end = on_end
        self.loan: _Loan | None = None
        self.replied: set[fleet.Address] = set()
        self.asked: set[fleet.Address] = set()
        self.rounds_count = 0


class _Loan:
    """A question for the versions of a service.

    Attributes:
        search: Needs them.
        key: Takes the place of a stream's key in the question, and in replies
            to this question alone.
        asked_s: When it was first sent.
        replied: Gateways that replied, perhaps without the versions.
    """

    def __init__(self, search: _Search, key: int, asked_s: float):
        self.search = search
        self.key = key
        self.asked_s = asked_s
        self.replied: set[fleet.Address] = set()


class StreamOrigins:
    """The versions at which streams began, as the gateways keep them."""

    def __init__(
        self,
        peers: Peers,
        exchange: topics.TopicExchange,
        history: stream_version.VersionHistory,
        system_clock: clock.Clock,
        confirm: Callable[[Callable[[], None]], object],
        call_later: Callable[..., object] = gevent.spawn_later,
    ):
        """Creates it and registers it with the exchange.

        Args:
            peers: The other gateways.
            exchange: Carries the messages.
            history: The versions of the services; gets those that others know.
            system_clock: Source of monotonic time.
            confirm: Confirms the history, see ``VersionHistory.set_confirmed``,
                and calls a function if that worked. Returns at once.
            call_later: Calls a function with arguments after a delay in
                seconds.
        """
        self._peers = peers
        self._exchange = exchange
        self._history = history
        self._clock = system_clock
        self._call_later = call_later
        self._confirm = confirm
        self._table = stream_keepers.StreamTable()
        self._untold: collections.OrderedDict[
            int, tuple[stream_keepers.KeptStream, float]
        ] = collections.OrderedDict()
        self._services: dict[int, str] = {}
        self._searches: dict[int, list[_Search]] = {}
        self._loans: collections.OrderedDict[int, _Loan] = (
            collections.OrderedDict()
        )
        self._loan_numbers = itertools.count()
        exchange.register(b"s", self._on_message)

    def set_services(self, services: Iterable[str]) -> None:
        """Sets the services whose versions may be asked for."""
        self._services = {notice_codec.hash_name(one): one for one in services}

    def note_begun(
        self, stream: StreamId, version_key: stream_version.VersionKey
    ) -> None:
        """Tells the gateways that keep a stream at which version it began.

        They are not told as long as the service has one version and the
        key-value service works: whoever is asked for the stream infers it.
        """
        now_s = self._clock.monotonic_s()
        stream_key = stream.key
        kept = stream_keepers.KeptStream(version_key, stream.scope)
        self._table.put(stream_key, kept, now_s)
        seen = self._history.seen(stream.service, now_s)
        if seen.is_single and self._history.is_current(now_s):
            self._untold[stream_key] = kept, now_s
            if len(self._untold) > _UNTOLD_LIMIT_COUNT:
                self._untold.popitem(last=False)
            return
        self._tell([stream_codec.StreamNote(stream_key, kept)])

    def tell_untold(self) -> None:
        """Tells of recent streams, as a service now has several versions."""
        since_s = self._clock.monotonic_s() - UNTOLD_S
        untold, self._untold = self._untold, collections.OrderedDict()
        self._tell(
            [
                stream_codec.StreamNote(stream_key, kept)
                for stream_key, (kept, begun_s) in untold.items()
                if begun_s >= since_s
            ]
        )

    def _tell(self, notes: Iterable[stream_codec.StreamNote]) -> None:
        gateways = self._peers.stream_fleet()
        by_vm: dict[str, list[stream_codec.StreamNote]] = {}
        for note in notes:
            for vm_id in stream_keepers.keepers_to_tell(
                note.stream_key, gateways
            ):
                by_vm.setdefault(vm_id, []).append(note)
        size = stream_codec.NOTES_LIMIT_COUNT
        for vm_id, told in by_vm.items():
            for at in range(0, len(told), size):
                body = stream_codec.encode_notes(told[at : at + size])
                self._exchange.send(
                    b"s", body, self._addresses([vm_id]), is_urgent=True
                )

    def find(self, stream: StreamId, limit_s: float) -> stream_version.Origin:
        """Returns the version at which a stream began; asks if necessary.

        Args:
            stream: The stream.
            limit_s: Longest wait in seconds, if below ``ROUNDS_COUNT`` rounds.
        """
        found: gevent.event.AsyncResult[stream_version.Origin] = (
            gevent.event.AsyncResult()
        )
        self.ask(stream, found.set)
        origin = found.wait(limit_s)
        return stream_version.Unknown("no-reply") if origin is None else origin

    def ask(
        self,
        stream: StreamId,
        on_end: Callable[[stream_version.Origin], None],
    ) -> None:
        """Finds the version at which a stream began.

        Gateways whose own history is complete ask for no other one, nor do
        others as long as the stream may be found: a lender reads all records to
        confirm it.

        Args:
            stream: The stream; without a name to ask for the history alone.
            on_end: Called once with the result, perhaps before this returns.
        """
        now_s = self._clock.monotonic_s()
        kept = self._table.get(stream.key, now_s)
        if kept is not None:
            self._end(on_end, _origin(kept, stream.scope))
            return
        seen = self._history.seen(stream.service, now_s)
        search = _Search(stream, on_end, needs_versions=not seen.is_complete)
        self._searches.setdefault(stream.key, []).append(search)
        self._ask_round(search)

    def _ask_round(self, search: _Search) -> None:
        stream_key = search.stream.key
        if search not in self._searches.get(stream_key, ()):
            return
        if search.rounds_count >= ROUNDS_COUNT:
            self._give_up(search)
            return
        ranks_count = 1 if search.rounds_count == 0 else RANKS_COUNT
        search.rounds_count += 1
        round_count = search.rounds_count
        needs_loan = round_count > 1 or not search.stream.name
        if search.needs_versions and needs_loan and search.loan is None:
            search.loan = self._new_loan(search)
        vm_ids = stream_keepers.gateways_to_ask(
            stream_key, self._peers.stream_fleet(), ranks_count=ranks_count
        )
        search.asked |= set(self._addresses(vm_ids))
        if self._has_all_replies(search):
            self._give_up(search)
            return
        if search.stream.name:
            self._send_question(
                stream_codec.StreamQuestion(
                    stream_key, stream_codec.NO_SERVICE_KEY
                ),
                search.asked - search.replied,
            )
        if search.loan is not None:
            service_key = notice_codec.hash_name(search.stream.service)
            self._send_question(
                stream_codec.StreamQuestion(search.loan.key, service_key),
                search.asked - search.loan.replied,
            )
        self._call_later(ROUND_S, self._end_round, search, round_count)

    def _send_question(
        self,
        question: stream_codec.StreamQuestion,
        addresses: Iterable[fleet.Address],
    ) -> None:
        body = stream_codec.encode_question(question)
        self._exchange.send(b"s", body, sorted(addresses), is_urgent=True)

    def _new_loan(self, search: _Search) -> _Loan:
        """Returns a question for versions, whose replies are told apart.

        A reply to an earlier question may lie unread for as long as this
        gateway stands still.
        """
        now_s = self._clock.monotonic_s()
        while self._loans:
            oldest = next(iter(self._loans.values()))
            if now_s - oldest.asked_s <= stream_version.CONTACT_LIMIT_S:
                break
            del self._loans[oldest.key]
        number = next(self._loan_numbers)
        loan = _Loan(search, stream_keepers.key_of(f"{now_s} {number}"), now_s)
        self._loans[loan.key] = loan
        return loan

    def _end_round(self, search: _Search, round_count: int) -> None:
        if search.rounds_count == round_count:
            self._ask_round(search)

    def _give_up(self, search: _Search) -> None:
        self._remove(search)
        reason: stream_version.UnknownReason = (
            "not-found" if search.replied else "no-reply"
        )
        self._end(search.on_end, stream_version.Unknown(reason))

    def _remove(self, search: _Search) -> None:
        searches = self._searches[search.stream.key]
        searches.remove(search)
        if not searches:
            del self._searches[search.stream.key]

    def _end(
        self,
        on_end: Callable[[stream_version.Origin], None],
        origin: stream_version.Origin,
    ) -> None:
        _questions_total.inc({"result": _result(origin)})
        on_end(origin)

    def _on_message(self, body: bytes, source: fleet.Address) -> bool:
        decoded = stream_codec.decode(body)
        if isinstance(decoded, Err):
            logger.warning("message dropped: {}", decoded.err_value.message)
            return False
        message = decoded.ok_value
        now_s = self._clock.monotonic_s()
        if isinstance(message, stream_codec.StreamNotes):
            for note in message.notes:
                self._table.put(note.stream_key, note.kept, now_s)
        elif isinstance(message, stream_codec.StreamQuestion):
            self._reply(message, source, now_s)
        else:
            self._on_reply(message, source, now_s)
        return True

    def _reply(
        self,
        question: stream_codec.StreamQuestion,
        source: fleet.Address,
        now_s: float,
    ) -> None:
        history = self._complete_history(question.service_key, now_s)
        is_lent = history is not None and self._history.is_confirmed(now_s)
        reply = stream_codec.StreamReply(
            question.stream_key,
            question.service_key,
            self._table.get(question.stream_key, now_s),
            history if is_lent else None,
        )
        self._exchange.send(
            b"s", stream_codec.encode_reply(reply), (source,), is_urgent=True
        )
        if history is not None and not is_lent and reply.kept is None:
            self._confirm(lambda: self._lend(question, source))

    def _lend(
        self, question: stream_codec.StreamQuestion, source: fleet.Address
    ) -> None:
        """Replies once more, with a history that was confirmed meanwhile."""
        now_s = self._clock.monotonic_s()
        if self._history.is_confirmed(now_s):
            self._reply(question, source, now_s)

    def _complete_history(
        self, service_key: int, now_s: float
    ) -> tuple[stream_version.VersionKey, ...] | None:
        service = self._services.get(service_key)
        if service is None:
            return None
        seen = self._history.seen(service, now_s)
        known = tuple(key for key in seen.recent if key is not None)
        if (
            not seen.is_complete
            or len(known) < len(seen.recent)
            or len(known) > stream_version.VERSIONS_LIMIT_COUNT
        ):
            return None
        return known

    def _on_reply(
        self,
        reply: stream_codec.StreamReply,
        source: fleet.Address,
        now_s: float,
    ) -> None:
        if reply.service_key != stream_codec.NO_SERVICE_KEY:
            self._on_versions(reply, source, now_s)
            return
        for search in list(self._searches.get(reply.stream_key, ())):
            search.replied.add(source)
            if reply.kept is not None:
                self._remove(search)
                origin = _origin(reply.kept, search.stream.scope)
                self._end(search.on_end, origin)
            elif self._has_all_replies(search):
                self._ask_round(search)

    def _on_versions(
        self,
        reply: stream_codec.StreamReply,
        source: fleet.Address,
        now_s: float,
    ) -> None:
        loan = self._loans.get(reply.stream_key)
        if loan is None:
            return
        search = loan.search
        loan.replied.add(source)
        if not search.stream.name:
            search.replied.add(source)
        if reply.recent is not None:
            self._history.merge(
                search.stream.service, reply.recent, loan.asked_s, now_s
            )
        if self._has_all_replies(search):
            self._ask_round(search)

    def _has_all_replies(self, search: _Search) -> bool:
        """Returns whether no more replies are awaited.

        Gateways that confirm their history before they lend it reply twice.
        """
        now_s = self._clock.monotonic_s()
        return search.replied >= search.asked and (
            search.loan is None
            or self._history.seen(search.stream.service, now_s).is_complete
        )

    def _addresses(self, vm_ids: Iterable[str]) -> list[fleet.Address]:
        addresses = map(self._peers.address_of, vm_ids)
        return [address for address in addresses if address is not None]


def _origin(
    kept: stream_keepers.KeptStream, scope: int
) -> stream_version.Origin:
    if kept.scope != scope:
        return stream_version.Foreign()
    return stream_version.Begun(kept.version_key)


def _result(origin: stream_version.Origin) -> str:
    if isinstance(origin, stream_version.Begun):
        return "found"
    if isinstance(origin, stream_version.Foreign):
        return "other-stream"
    return origin.reason
