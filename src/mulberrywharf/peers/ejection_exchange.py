"""Ejects servers that fail requests, together with the other gateways.

Gateways report failures to two gateways near the server. These ask the gateways
of its zone for their counts, decide, and send the decision to all gateways.
"""

import random
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

import gevent
from loguru import logger
from result import Err

from mulberrywharf import clock, fleet, metrics
from mulberrywharf.peers import ejection_codec, notice_codec, outcome_reports
from mulberrywharf.policy import ejected_servers, server_ejection

REPLIES_S = 0.1
"""How long replies to a question are awaited. A gateway whose machine is short
of CPU time replies within that; the decision does not depend on all of them."""

RANK_DELAY_S = 0.15
"""By how much later the second gateway acts than the first one. It does not act
if it has received the question or the decision of the first one by then."""

QUESTION_PAUSE_S = 0.4
QUESTION_PAUSE_LIMIT_S = 2.0
"""Pause after a question about a server that was not ejected, doubled with each
further one. It limits the bytes while a service fails requests at random."""

QUESTIONS_FORGOTTEN_S = 10.0

_decisions_total = metrics.counter(
    "mulberry_ejection_decisions_total",
    "Decisions about failing servers, by outcome and by who decided.",
)
_ejected_gauge = metrics.gauge(
    "mulberry_ejected_servers",
    "Servers that are ejected or on trial, by service.",
)


class Peers(outcome_reports.Peers, Protocol):
    """The other gateways."""

    @property
    def gateways_count(self) -> int:
        """Number of gateways, including this one."""
        ...

    def addresses(self, availability_zone: str) -> tuple[fleet.Address, ...]:
        """Returns the other gateways near the servers of a zone."""
        ...

    def receives_notices_for(self, availability_zone: str) -> bool:
        """Returns whether this gateway is near the servers of a zone."""
        ...

    def recent_addresses(self) -> tuple[fleet.Address, ...]:
        """Returns the addresses of current and recently removed gateways."""
        ...


class _Case:
    """What this gateway knows of one server as one of its aggregators."""

    def __init__(self) -> None:
        self.reports = server_ejection.EjectionJudge[fleet.Address | None]()
        self.replies = server_ejection.EjectionJudge[fleet.Address | None]()
        self.asked: frozenset[fleet.Address] = frozenset()
        self.question_number = 0
        self.is_question_open = False
        self.is_step_scheduled = False
        self.next_question_s = float("-inf")
        self.pause_s = QUESTION_PAUSE_S

    def note_question(self, now_s: float) -> None:
        """Postpones the next question."""
        if now_s >= self.next_question_s + QUESTIONS_FORGOTTEN_S:
            self.pause_s = QUESTION_PAUSE_S
        self.next_question_s = now_s + self.pause_s
        self.pause_s = min(QUESTION_PAUSE_LIMIT_S, 2 * self.pause_s)

    def clear(self) -> None:
        """Forgets all counts, because the state of the server has changed."""
        self.reports.clear()
        self.replies.clear()
        self.is_question_open = False
        self.pause_s = QUESTION_PAUSE_S


class EjectionExchange:
    """Tracks which servers are ejected, and takes part in the decisions."""

    def __init__(
        self,
        peers: Peers,
        carrier: outcome_reports.Carrier,
        reachable: Callable[[str], Iterable[fleet.Server]],
        system_clock: clock.Clock,
        rng: random.Random,
        call_later: Callable[..., object] = gevent.spawn_later,
    ):
        """Creates it and registers it with the carrier.

        Args:
            peers: The other gateways.
            carrier: Carries the messages; the caller starts it.
            reachable: Returns the servers of a service that this gateway may
                send requests to.
            system_clock: Source of monotonic time.
            rng: See ``ejected_servers.EjectedServers``.
            call_later: Calls a function with arguments after a delay in
                seconds.
        """
        self._peers = peers
        self._carrier = carrier
        self._reachable = reachable
        self._clock = system_clock
        self._call_later = call_later
        self._ejected = ejected_servers.EjectedServers(rng)
        self._reports = outcome_reports.OutcomeReports(
            peers, carrier, self._on_report, system_clock, call_later
        )
        self._keys: dict[fleet.ServerStart, int] = {}
        self._servers: dict[int, fleet.Server] = {}
        self._cases: dict[int, _Case] = {}
        self._gauged_services: set[str] = set()
        carrier.register(b"o", self._on_outcome_message)
        carrier.register(b"e", self._on_ejection_message)

    def set_servers(self, known: tuple[fleet.Server, ...]) -> None:
        """Updates the servers; forgets those that ended."""
        self._keys = {
            server.start: notice_codec.hash_server_start(server.start)
            for server in known
        }
        self._servers = {self._keys[one.start]: one for one in known}
        self._reports.set_servers(known)
        self._cases = {
            key: case
            for key, case in self._cases.items()
            if key in self._servers
        }
        self._ejected.keep_only(self._servers, self._clock.monotonic_s())
        self._update_gauge()

    def note_outcome(self, start: fleet.ServerStart, is_failure: bool) -> None:
        """Counts an answer of a server, or a failure that it caused."""
        key = self._keys.get(start)
        if key is None:
            return
        now_s = self._clock.monotonic_s()
        state = self._ejected.state(key, now_s)
        if state == "ejected":
            # It answers a request from before, and the decision stands.
            return
        self._reports.counts.note(start, now_s, is_failure=is_failure)
        if is_failure or state == "trial":
            self._reports.schedule(self._servers[key])

    def allowed(
        self, servers: Sequence[fleet.Server], *, may_repeat: bool
    ) -> list[fleet.Server]:
        """Returns the servers that a request may be sent to.

        See ``ejected_servers.EjectedServers.allowed``.
        """
        return self._ejected.allowed(
            servers,
            self._keys,
            self._clock.monotonic_s(),
            may_repeat=may_repeat,
        )

    def is_ejected(self, start: fleet.ServerStart) -> bool:
        """Tells whether a server is ejected or on trial."""
        key = self._keys.get(start)
        now_s = self._clock.monotonic_s()
        return key is not None and self._ejected.state(key, now_s) in (
            "ejected",
            "trial",
        )

    def _on_outcome_message(self, body: bytes, source: fleet.Address) -> bool:
        decoded = ejection_codec.decode_report(body)
        if isinstance(decoded, Err):
            logger.warning("message dropped: {}", decoded.err_value.message)
            return False
        self._on_report(decoded.ok_value, source)
        return True

    def _on_report(
        self,
        report: ejection_codec.OutcomeReport,
        reporter: fleet.Address | None,
    ) -> None:
        for entry in report.entries:
            server = self._servers.get(entry.server_key)
            if server is None:
                continue
            if report.is_reply:
                self._on_reply(entry, reporter)
            else:
                self._on_counts(entry, server, reporter)

    def _on_counts(
        self,
        entry: ejection_codec.ServerCounts,
        server: fleet.Server,
        reporter: fleet.Address | None,
    ) -> None:
        now_s = self._clock.monotonic_s()
        key = entry.server_key
        state = self._ejected.state(key, now_s)
        current = self._ejected.current(key, now_s)
        if state == "ejected" and current is not None:
            # The gateway has missed the decision, or it is still on its way.
            self._send_decision(current, (reporter,) if reporter else ())
            return
        case = self._cases.setdefault(key, _Case())
        case.reports.note(reporter, entry.counted, now_s)
        if state == "trial":
            if case.reports.trial_verdict(now_s) is not None:
                self._schedule(case, server, self._end_trial)
        elif (
            now_s >= case.next_question_s
            and case.reports.verdict(now_s).is_failing
        ):
            self._schedule(case, server, self._ask)

    def _schedule(
        self,
        case: _Case,
        server: fleet.Server,
        step: Callable[[fleet.Server, _Case], None],
    ) -> None:
        """Takes a step now, or later if another gateway is to take it."""
        if case.is_step_scheduled:
            return
        delay_s = RANK_DELAY_S * self._own_rank(server)
        if delay_s:
            case.is_step_scheduled = True
            self._call_later(delay_s, self._take_step, server, case, step)
        else:
            step(server, case)

    def _take_step(
        self,
        server: fleet.Server,
        case: _Case,
        step: Callable[[fleet.Server, _Case], None],
    ) -> None:
        case.is_step_scheduled = False
        step(server, case)

    def _own_rank(self, server: fleet.Server) -> int:
        ranked = self._peers.ranked_gateways(
            outcome_reports.MATTER,
            self._key(server),
            server.availability_zone,
        )
        for one in ranked:
            if one.address is None:
                return one.rank
        return len(ranked)

    def _key(self, server: fleet.Server) -> int:
        return notice_codec.hash_server_start(server.start)

    def _ask(self, server: fleet.Server, case: _Case) -> None:
        """Asks the gateways near a server for their counts."""
        now_s = self._clock.monotonic_s()
        key = self._key(server)
        if (
            self._ejected.state(key, now_s) in ("ejected", "trial")
            or now_s < case.next_question_s
            or not case.reports.verdict(now_s).is_failing
            or not self._may_eject(server)
        ):
            return
        case.note_question(now_s)
        case.question_number += 1
        case.is_question_open = True
        case.replies.clear()
        own = self._reports.counted(server).counted
        case.replies.note(None, own, now_s)
        near = self._peers.addresses(server.availability_zone)
        asked = near or self._peers.recent_addresses()
        case.asked = frozenset(asked)
        question = ejection_codec.Question(key)
        self._carrier.send(
            b"e",
            ejection_codec.encode_question(question),
            asked,
            is_urgent=True,
        )
        self._call_later(
            REPLIES_S, self._on_replies_due, server, case, case.question_number
        )

    def _on_reply(
        self, entry: ejection_codec.ServerCounts, reporter: fleet.Address | None
    ) -> None:
        case = self._cases.get(entry.server_key)
        if case is None or not case.is_question_open:
            return
        case.replies.note(reporter, entry.counted, self._clock.monotonic_s())
        if case.asked <= case.replies.reporters:
            self._decide(self._servers[entry.server_key], case)

    def _on_replies_due(
        self, server: fleet.Server, case: _Case, question_number: int
    ) -> None:
        if case.is_question_open and case.question_number == question_number:
            self._decide(server, case)

    def _decide(self, server: fleet.Server, case: _Case) -> None:
        """Ejects a server or keeps it, by the counts in the replies."""
        case.is_question_open = False
        verdict = case.replies.verdict(self._clock.monotonic_s())
        if not verdict.is_failing or not self._may_eject(server):
            self._log(server, "kept", verdict)
            return
        self._eject(server, verdict, "ejected")

    def _may_eject(self, server: fleet.Server) -> bool:
        ejected = self._ejected.ejected_keys(self._clock.monotonic_s())
        return server_ejection.may_eject(
            server,
            tuple(self._reachable(server.service)),
            {
                self._servers[key].start
                for key in ejected
                if key in self._servers
            },
        )

    def _eject(
        self,
        server: fleet.Server,
        verdict: server_ejection.Verdict,
        outcome: str,
    ) -> None:
        key = self._key(server)
        times_count = self._ejected.next_times_count(
            key, self._clock.monotonic_s()
        )
        decision = ejected_servers.Decision(
            key, True, times_count, server_ejection.ejected_s(times_count)
        )
        self._log(server, outcome, verdict, decision)
        self._announce(decision)

    def _end_trial(self, server: fleet.Server, case: _Case) -> None:
        """Ends or renews an ejection by the answers to trial requests."""
        now_s = self._clock.monotonic_s()
        key = self._key(server)
        verdict = case.reports.trial_verdict(now_s)
        if verdict is None or self._ejected.state(key, now_s) != "trial":
            return
        if verdict.is_failing:
            self._eject(server, verdict, "ejected-again")
            return
        current = self._ejected.current(key, now_s)
        times_count = current.times_count if current else 1
        decision = ejected_servers.Decision(key, False, times_count)
        self._log(server, "returned", verdict, decision)
        self._announce(decision)

    def _announce(self, decision: ejected_servers.Decision) -> None:
        self._apply(decision)
        self._send_decision(decision, self._peers.recent_addresses())

    def _send_decision(
        self,
        decision: ejected_servers.Decision,
        addresses: tuple[fleet.Address, ...],
    ) -> None:
        if addresses:
            body = ejection_codec.encode_decision(decision)
            self._carrier.send(b"e", body, addresses, is_urgent=True)

    def _on_ejection_message(self, body: bytes, source: fleet.Address) -> bool:
        decoded = ejection_codec.decode_ejection(body)
        if isinstance(decoded, Err):
            logger.warning("message dropped: {}", decoded.err_value.message)
            return False
        message = decoded.ok_value
        if isinstance(message, ejection_codec.Question):
            self._reply(message, source)
        elif self._apply(message):
            outcome = "ejected" if message.is_ejected else "returned"
            _decisions_total.inc({"outcome": outcome, "by": "other"})
        return True

    def _reply(
        self, question: ejection_codec.Question, source: fleet.Address
    ) -> None:
        server = self._servers.get(question.server_key)
        if server is None:
            return
        case = self._cases.setdefault(question.server_key, _Case())
        case.note_question(self._clock.monotonic_s())
        report = ejection_codec.OutcomeReport(
            True, (self._reports.counted(server),)
        )
        body = ejection_codec.encode_report(report)
        self._carrier.send(b"o", body, (source,), is_urgent=True)

    def _apply(self, decision: ejected_servers.Decision) -> bool:
        server = self._servers.get(decision.server_key)
        if server is None:
            return False
        now_s = self._clock.monotonic_s()
        share = self._testers_share(server.availability_zone)
        if not self._ejected.apply(decision, share, now_s):
            return False
        # What was counted before says nothing about its new state.
        self._reports.counts.forget(server.start)
        case = self._cases.get(decision.server_key)
        if case is not None:
            case.clear()
        self._update_gauge()
        if decision.is_ejected:
            self._call_later(
                decision.left_s + ejected_servers.TRIAL_S + 0.1,
                self._update_gauge,
            )
        return True

    def _testers_share(self, availability_zone: str) -> float:
        near_count = len(self._peers.addresses(availability_zone))
        if self._peers.receives_notices_for(availability_zone):
            near_count += 1
        elif near_count:
            return 0.0
        else:
            near_count = self._peers.gateways_count
        return min(1.0, ejected_servers.TRIAL_REQUESTS_COUNT / near_count)

    def _update_gauge(self) -> None:
        counts = dict.fromkeys(self._gauged_services, 0)
        for key in self._ejected.ejected_keys(self._clock.monotonic_s()):
            if key in self._servers:
                service = self._servers[key].service
                counts[service] = counts.get(service, 0) + 1
        for service, count in counts.items():
            _ejected_gauge.set({"service": service}, count)
        self._gauged_services = set(counts)

    def _log(
        self,
        server: fleet.Server,
        outcome: str,
        verdict: server_ejection.Verdict,
        decision: ejected_servers.Decision | None = None,
    ) -> None:
        _decisions_total.inc({"outcome": outcome, "by": "own"})
        own, others = verdict.sums
        # A question that changes nothing is no news to an operator.
        level = "INFO" if decision else "DEBUG"
        logger.bind(
            server=str(server.start),
            service=server.service,
            role=server.role,
            availability_zone=server.availability_zone,
            reporters_count=verdict.reporters_count,
            answers_count=own.answers_count,
            failures_count=own.failures_count,
            others_answers_count=others.answers_count,
            others_failures_count=others.failures_count,
            times_count=decision.times_count if decision else 0,
            ejected_s=decision.left_s if decision else 0.0,
        ).log(level, "failing server {}", outcome)
