"""Decides which requests are blocked because they crash servers.

A request may crash every server that runs it, such as a prompt that an engine
cannot process. The cause may be the whole request, which its caller repeats, or
one part of a prompt that many different requests share. A single crash does not
show the cause, because all requests in progress on the server fail together.

The cause is identified by being in progress at several crashes while nothing
that contains it succeeds. Whole requests and parts are candidates of one
decision: the candidate that explains most crashes is accepted first, and
crashes that it explains are no evidence against others.
"""

from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

REQUEST_ENDS_COUNT = 3
"""A request is blocked once this many servers ended while they ran it, whatever
else they were running."""

REQUEST_ENDS_WITHOUT_OUTPUT_COUNT = 2
"""A request is also blocked once this many servers ended before it had produced
any output on them, if they have no other such request in common."""

PART_ENDS_COUNT = 3
"""A part is blocked once this many servers ended before different requests with
it had produced any output."""

OTHER_ANSWERS_COUNT = 3
"""This many answers to requests without the part must have begun since shortly
before the first of these ends. If nothing is answered at all, the part is no
more suspect than anything else."""

PART_ENDS_WITHOUT_ANSWERS_COUNT = 5
"""A part is blocked at this many ends even if there were no such answers."""

_PART_REQUESTS_COUNT = 2
_ALL_CUSTOMERS_COUNT = 2


class Traits(NamedTuple):
    """What a request has in common with others.

    Attributes:
        fingerprint: Identifies the whole request; a repeat has the same one.
        customer: Identifies its customer.
        parts: Keys of the parts of its prompt that others may share.
    """

    fingerprint: int
    customer: int = 0
    parts: frozenset[int] = frozenset()


class LostRun(NamedTuple):
    """A request that a server was running when it ended.

    Attributes:
        fingerprint: Identifies the request.
        customer: Identifies its customer.
        server_key: Identifies the run of the server's process.
        made_output: Whether any part of the answer had arrived.
        at_s: Monotonic time of the end.
        parts: Its parts that no request of this customer was answered with
            since.
        shared_parts: Those that no request of any customer was answered with
            since.
        answers_count: Answers that had begun at this gateway shortly before the
            end; None if other gateways have accepted it as the reason of a
            block.
    """

    fingerprint: int
    customer: int
    server_key: int
    made_output: bool
    at_s: float
    parts: frozenset[int] = frozenset()
    shared_parts: frozenset[int] = frozenset()
    answers_count: int | None = None


class PartTrait(NamedTuple):
    """A part of prompts as a possible cause.

    Attributes:
        part: Key of the part.
        customer: The customer in whose requests it is, None for all customers.
    """

    part: int
    customer: int | None


class Block(NamedTuple):
    """Requests that must not be sent to any server.

    Attributes:
        key: Identifies what is blocked.
        runs: The lost runs that are the reason.
        fingerprint: The only request that is blocked; None if all requests
            with certain parts are.
        parts: Parts that blocked requests have in common.
        customer: The customer whose requests are blocked, None for all.
    """

    key: int
    runs: tuple[LostRun, ...]
    fingerprint: int | None = None
    parts: frozenset[int] = frozenset()
    customer: int | None = None

    @property
    def last_end_s(self) -> float:
        """Monotonic time at which the last server ended."""
        return max(run.at_s for run in self.runs)

    @property
    def servers_count(self) -> int:
        """Number of servers that ended."""
        return len(servers_of(self.runs))

    def covers(self, traits: Traits) -> bool:
        """Returns whether a request is blocked."""
        if self.fingerprint is not None:
            return self.fingerprint == traits.fingerprint
        return self.parts <= traits.parts and self.customer in (
            None,
            traits.customer,
        )


class _Candidate(NamedTuple):
    """A possible cause and the runs that it was in."""

    runs: tuple[LostRun, ...]
    fingerprint: int | None = None
    trait: PartTrait | None = None

    @property
    def rank(self) -> tuple[int, int, int]:
        """Sorts by the ends without output.

        With as many, a part of one customer comes before that of all, and both
        before a request: one that is resumed is often at several servers that
        another cause ends.
        """
        ends_count = len(_without_output(self.runs))
        if self.trait is None:
            return -ends_count, 2, self.fingerprint or 0
        scope = 0 if self.trait.customer is not None else 1
        return -ends_count, scope, self.trait.part


def decide(
    by_request: Mapping[int, Mapping[int, LostRun]],
    by_part: Mapping[PartTrait, Iterable[LostRun]],
    answers_count: int,
) -> list[Block]:
    """Returns what must be blocked.

    The result does not depend on the order of the runs, so gateways that know
    of the same ones block the same requests.

    Args:
        by_request: Lost runs by fingerprint and server key.
        by_part: Lost runs without output by what they have in common.
        answers_count: Answers that have begun at this gateway.
    """
    candidates = [
        *_request_candidates(by_request),
        *_part_candidates(by_part, answers_count),
    ]
    blocks: list[Block] = []
    explained: set[int] = set()
    explained_by_parts: set[int] = set()
    for candidate in sorted(candidates, key=lambda one: one.rank):
        if candidate.trait is None:
            block = _request_block(candidate, by_request, explained_by_parts)
        else:
            block = _part_block(
                candidate, candidate.trait, explained, answers_count
            )
        if block is None:
            continue
        blocks.append(block)
        explained |= servers_of(block.runs)
        if block.fingerprint is None:
            explained_by_parts |= servers_of(block.runs)
    return blocks


def servers_of(runs: Iterable[LostRun]) -> frozenset[int]:
    """Returns the keys of the servers that ended."""
    return frozenset(run.server_key for run in runs)


def _request_candidates(
    by_request: Mapping[int, Mapping[int, LostRun]],
) -> Iterator[_Candidate]:
    for fingerprint, runs in by_request.items():
        if len(runs) >= REQUEST_ENDS_WITHOUT_OUTPUT_COUNT:
            yield _Candidate(tuple(runs.values()), fingerprint)


def _part_candidates(
    by_part: Mapping[PartTrait, Iterable[LostRun]], answers_count: int
) -> Iterator[_Candidate]:
    for trait, runs in by_part.items():
        candidate = _Candidate(tuple(runs), trait=trait)
        if _is_part_suspected(candidate.runs, trait, answers_count):
            yield candidate


def _is_part_suspected(
    runs: Iterable[LostRun], trait: PartTrait, answers_count: int
) -> bool:
    lost = list(runs)
    if len(lost) < PART_ENDS_COUNT:
        return False
    ends_count = (
        PART_ENDS_COUNT
        if _were_others_answered(lost, answers_count)
        else PART_ENDS_WITHOUT_ANSWERS_COUNT
    )
    customers_count = len({run.customer for run in lost})
    return (
        len(servers_of(lost)) >= ends_count
        and len({run.fingerprint for run in lost}) >= _PART_REQUESTS_COUNT
        and (
            trait.customer is not None
            or customers_count >= _ALL_CUSTOMERS_COUNT
        )
    )


def _were_others_answered(runs: Iterable[LostRun], answers_count: int) -> bool:
    """Returns whether answers began while none began with the part."""
    return any(
        run.answers_count is None
        or answers_count - run.answers_count >= OTHER_ANSWERS_COUNT
        for run in runs
    )


def _request_block(
    candidate: _Candidate,
    by_request: Mapping[int, Mapping[int, LostRun]],
    explained: set[int],
) -> Block | None:
    assert candidate.fingerprint is not None
    fresh = [run for run in candidate.runs if run.server_key not in explained]
    silent = _without_output(fresh)
    is_blocked = len(fresh) >= REQUEST_ENDS_COUNT or (
        len(silent) >= REQUEST_ENDS_WITHOUT_OUTPUT_COUNT
        and not _has_rival(candidate.fingerprint, silent, by_request)
    )
    if not is_blocked:
        return None
    return Block(
        candidate.fingerprint, candidate.runs, fingerprint=candidate.fingerprint
    )


def _has_rival(
    fingerprint: int,
    server_keys: frozenset[int],
    by_request: Mapping[int, Mapping[int, LostRun]],
) -> bool:
    """Returns whether another request is as suspect on these servers.

    One whose parts were all answered in other requests is less suspect than
    one with a part that was not.
    """
    has_unknown_part = _has_unknown_part(by_request[fingerprint], server_keys)
    return any(
        len(_without_output(runs.values()) & server_keys)
        >= REQUEST_ENDS_WITHOUT_OUTPUT_COUNT
        and (not has_unknown_part or _has_unknown_part(runs, server_keys))
        for other, runs in by_request.items()
        if other != fingerprint
    )


def _has_unknown_part(
    runs: Mapping[int, LostRun], server_keys: frozenset[int]
) -> bool:
    return any(runs[key].parts for key in server_keys & runs.keys())


def _part_block(
    candidate: _Candidate,
    trait: PartTrait,
    explained: set[int],
    answers_count: int,
) -> Block | None:
    fresh = [run for run in candidate.runs if run.server_key not in explained]
    if not _is_part_suspected(fresh, trait, answers_count):
        return None
    # Parts that all of the runs contain cannot be told apart.
    common = frozenset.intersection(
        *(
            run.shared_parts if trait.customer is None else run.parts
            for run in candidate.runs
        )
    )
    return Block(
        min(common) ^ (trait.customer or 0),
        candidate.runs,
        parts=common,
        customer=trait.customer,
    )


def _without_output(runs: Iterable[LostRun]) -> frozenset[int]:
    """Returns the keys of servers that ended before any output."""
    return frozenset(run.server_key for run in runs if not run.made_output)
