"""Seeded workloads: what callers ask, and when.

Two kinds of call make the prompt-to-output mix: long contracts with short
verdicts (prefill work) and short notes with longer answers (decode work).
"""

import random
from typing import NamedTuple

_CONTRACT_PROMPT_WORDS = 1200
_CONTRACT_ANSWER_TOKENS = 8
_NOTE_PROMPT_WORDS = 24
_NOTE_ANSWER_TOKENS = 48
_SHARED_PREFIX_WORDS = 256
_ROSTER_COUNT = 6


class Phase(NamedTuple):
    """A stretch of time with one mix.

    Attributes:
        duration_s: How long it lasts.
        rate_per_s: Calls a second, Poisson.
        contract_share: Share of calls that are long contracts, 0 to 1.
    """

    duration_s: float
    rate_per_s: float
    contract_share: float


class Call(NamedTuple):
    """One call of the open workload.

    Attributes:
        at_s: When it is due, from the start of the run.
        customer: Who asks.
        prompt: The whole prompt text.
        max_tokens: Length of the answer in tokens.
        phase_index: The phase that it belongs to.
    """

    at_s: float
    customer: str
    prompt: str
    max_tokens: int
    phase_index: int


def open_workload(
    phases: list[Phase], customers: list[str], seed: int
) -> list[Call]:
    """Draws the calls of all phases, in order of time.

    Args:
        phases: The mix over time.
        customers: Names to draw from, equally likely.
        seed: Same seed, same calls.
    """
    rng = random.Random(seed)
    calls: list[Call] = []
    start_s = 0.0
    for index, phase in enumerate(phases):
        at_s = start_s + rng.expovariate(phase.rate_per_s)
        start_s += phase.duration_s
        while at_s < start_s:
            customer = rng.choice(customers)
            calls.append(_draw_call(rng, phase, index, at_s, customer))
            at_s += rng.expovariate(phase.rate_per_s)
    return calls


def _draw_call(
    rng: random.Random, phase: Phase, index: int, at_s: float, customer: str
) -> Call:
    if rng.random() < phase.contract_share:
        prompt = _contract_prompt(rng)
        return Call(at_s, customer, prompt, _CONTRACT_ANSWER_TOKENS, index)
    prompt = _words(rng, "note", _NOTE_PROMPT_WORDS)
    return Call(at_s, customer, prompt, _NOTE_ANSWER_TOKENS, index)


def _contract_prompt(rng: random.Random) -> str:
    """A roster that many calls share, then a contract of its own."""
    roster = rng.randrange(_ROSTER_COUNT)
    shared = " ".join(f"r{roster}-{i}" for i in range(_SHARED_PREFIX_WORDS))
    own_word_count = _CONTRACT_PROMPT_WORDS - _SHARED_PREFIX_WORDS
    return shared + " " + _words(rng, "c", own_word_count)


def _words(rng: random.Random, stem: str, count: int) -> str:
    tag = rng.randrange(1 << 30)
    return " ".join(f"{stem}{tag:x}-{i}" for i in range(count))
