"""Learns how fast engines prefill prompts from the duration of their answers.

Engines of different vendors and models differ in speed by factors, and no
setting states it. An estimate of half the true duration sends prompts into long
queues that look short; an estimate of twice the true duration refuses callers
that could be served.

The time to the answer of a prompt is a sum of terms: the wait, a fixed
overhead, a time per prefilled token, and a time per attention pair, that is a
token and one that it attends to. Each answer corrects each term by the
logarithm of the ratio of actual to estimated duration, in proportion to the
term's share of the estimate. So short prompts correct the overhead and long
ones the speed, and a wait that was computed from the speed corrects the speed
too.
"""

import math
from typing import NamedTuple, Self

from mulberrywharf import fleet

INITIAL_TOKEN_S = 15e-6
"""Initial prefill time per token at a prefill engine. Engines in use today need
9 to 18 microseconds; an error of a factor of two is corrected within about five
answers."""

INITIAL_PAIR_S = 0.2e-9
"""Initial time per attention pair; engines in use today need about 0.2
nanoseconds."""

INITIAL_OVERHEAD_S = 0.02
"""Initial estimate of the time from the end of the prefill to the answer."""

INITIAL_TAKEOVER_S = 0.015
"""Initial estimate of the time that an engine takes to answer a prompt
prefilled elsewhere, besides the transfer of its KV cache."""

INITIAL_DECODE_SLOWDOWN = 2.0
"""Initial slowdown of prefills at decode engines: the platform's documentation
states half the speed."""

MIN_GAIN = 0.05
"""Minimum weight of one answer in the learned speeds, so that these depend
mostly on the last twenty answers. The first answers weigh more: the gain starts
at one half and falls with the number of answers."""

SLOWDOWN_GAIN = 0.1
"""Weight of one answer in the slowdown of its own engine, so that the slowdown
depends mostly on the last ten answers."""

SLOWDOWN_TIME_CONSTANT_S = 10.0
"""An engine's own slowdown decays by 1/e in this time, so that an engine that
got no work because it was slow is tried again."""

MAX_LOG_RATIO = 0.7
"""Bound of the logarithm of actual over estimated duration for one answer, a
factor of two: a single answer that was stuck in a queue, or an unexpected cache
hit, must not dominate."""

SLOWER_WEIGHT = 0.5
"""Weight of an answer that came later than estimated, relative to one that came
earlier. Unexpected events, such as a prompt ahead in the queue, only ever add
time; at full weight, engines would look slow for as long as an overload
lasts."""

WARMUP_ANSWERS_COUNT = 30
"""Number of first answers that count in full even if they are late. At engines
unlike those in use today, the initial speed itself may be off by a factor of
four, and this many answers come within some seconds."""

MAX_SLOWDOWN = 8.0
_MIN_DURATION_S = 1e-4


class PrefillTime(NamedTuple):
    """Time to prefill a prompt at an idle engine, term by term.

    Attributes:
        overhead_s: Fixed overhead; the engine prefills other prompts meanwhile.
        tokens_s: Time for its tokens.
        pairs_s: Time for attention between each token and those before it.
    """

    overhead_s: float
    tokens_s: float
    pairs_s: float

    @property
    def work_s(self) -> float:
        """The part during which the engine prefills nothing else."""
        return self.tokens_s + self.pairs_s

    @property
    def total_s(self) -> float:
        """The sum of all terms."""
        return self.overhead_s + self.work_s

    def slowed(self, slowdown: float) -> Self:
        """Returns the time at an engine that is slower by this factor."""
        return type(self)(
            self.overhead_s * slowdown,
            self.tokens_s * slowdown,
            self.pairs_s * slowdown,
        )


class RoleSpeed(NamedTuple):
    """Prefill speed of the engines of one role.

    Attributes:
        overhead_s: Time from the end of the prefill to the answer.
        token_s: Time per token.
        pair_s: Time per attention pair.
    """

    overhead_s: float = INITIAL_OVERHEAD_S
    token_s: float = INITIAL_TOKEN_S
    pair_s: float = INITIAL_PAIR_S

    def prefill_time(self, tokens: int, cached_tokens: int) -> PrefillTime:
        """Returns the time to prefill a prompt.

        Args:
            tokens: Length of the prompt.
            cached_tokens: Leading tokens that need no prefill.
        """
        missing_tokens = tokens - cached_tokens
        pairs = missing_tokens * (tokens + cached_tokens) / 2
        return PrefillTime(
            self.overhead_s, missing_tokens * self.token_s, pairs * self.pair_s
        )


class Speeds(NamedTuple):
    """Learned speeds of the engines of one service.

    Attributes:
        prefill: Prefill speed of its prefill engines.
        decode: Prefill speed (not decode speed) of its other engines.
        takeover_s: Time that an engine takes to answer a prompt prefilled
            elsewhere (a takeover), besides the transfer of its KV cache.
    """

    prefill: RoleSpeed = RoleSpeed()
    decode: RoleSpeed = RoleSpeed(
        INITIAL_OVERHEAD_S,
        INITIAL_TOKEN_S * INITIAL_DECODE_SLOWDOWN,
        INITIAL_PAIR_S * INITIAL_DECODE_SLOWDOWN,
    )
    takeover_s: float = INITIAL_TAKEOVER_S


class _Slowdown:
    """Slowdown of an engine relative to its role.

    Attributes:
        log_pace: Logarithm of the slowdown at the time ``at_s``.
        at_s: Monotonic time of the last answer.
    """

    __slots__ = ("at_s", "log_pace")

    def __init__(self) -> None:
        self.log_pace = 0.0
        self.at_s = 0.0

    def at(self, now_s: float) -> float:
        return self.log_pace * math.exp(
            -(now_s - self.at_s) / SLOWDOWN_TIME_CONSTANT_S
        )


class EngineSpeeds:
    """Learns the speeds of the engines of one service."""

    def __init__(self) -> None:
        self._speeds = Speeds()
        self._prefills_count: dict[bool, int] = {True: 0, False: 0}
        self._takeovers_count = 0
        self._slowdowns: dict[str, _Slowdown] = {}

    @property
    def speeds(self) -> Speeds:
        """The current estimates."""
        return self._speeds

    def keep_only(self, engine_ids: frozenset[str]) -> None:
        """Forgets the slowdown of engines not in ``engine_ids``."""
        for engine_id in self._slowdowns.keys() - engine_ids:
            del self._slowdowns[engine_id]

    def pace(self, engine_id: str, now_s: float) -> float:
        """Returns an engine's slowdown relative to its role.

        1 means equal speed, 2 means half the speed.
        """
        known = self._slowdowns.get(engine_id)
        if known is None:
            return 1.0
        return min(MAX_SLOWDOWN, math.exp(known.at(now_s)))

    def learn_prefill(
        self,
        server: fleet.Server,
        prefill_time: PrefillTime,
        wait_s: float,
        duration_s: float,
        now_s: float,
    ) -> None:
        """Learns from the time to a prompt's answer.

        Args:
            server: The engine that prefilled the prompt.
            prefill_time: Estimated prefill time.
            wait_s: Estimated wait before the prefill.
            duration_s: Actual duration of wait and prefill together.
            now_s: The current time.
        """
        is_prefill = server.role == "prefill"
        estimate_s = wait_s + prefill_time.total_s
        if estimate_s <= 0 or prefill_time.work_s <= 0:
            return
        answers_count = self._prefills_count[is_prefill]
        self._prefills_count[is_prefill] += 1
        log_ratio = _weighted_log_ratio(duration_s, estimate_s, answers_count)
        gain = _gain(answers_count)
        overhead_share = prefill_time.overhead_s / estimate_s
        tokens_share = (
            (1.0 - overhead_share) * prefill_time.tokens_s / prefill_time.work_s
        )
        attention_share = 1.0 - overhead_share - tokens_share
        speed = self._speeds.prefill if is_prefill else self._speeds.decode
        learned = RoleSpeed(
            speed.overhead_s * math.exp(gain * log_ratio * overhead_share),
            speed.token_s * math.exp(gain * log_ratio * tokens_share),
            speed.pair_s * math.exp(gain * log_ratio * attention_share),
        )
        if is_prefill:
            self._speeds = self._speeds._replace(prefill=learned)
        else:
            self._speeds = self._speeds._replace(decode=learned)
        self._learn_slowdown(server.server_id, log_ratio, now_s)

    def learn_takeover(
        self, transfer_s: float, wait_s: float, duration_s: float
    ) -> None:
        """Learns from the time to the answer of a prompt prefilled elsewhere.

        Args:
            transfer_s: Estimated transfer time of its KV cache.
            wait_s: Estimated wait for a slot.
            duration_s: Actual duration of the whole.
        """
        takeover_s = self._speeds.takeover_s
        estimate_s = transfer_s + wait_s + takeover_s
        log_ratio = _weighted_log_ratio(
            duration_s, estimate_s, self._takeovers_count
        )
        gain = _gain(self._takeovers_count)
        self._takeovers_count += 1
        step = gain * log_ratio * takeover_s / estimate_s
        self._speeds = self._speeds._replace(
            takeover_s=takeover_s * math.exp(step)
        )

    def _learn_slowdown(
        self, engine_id: str, log_ratio: float, now_s: float
    ) -> None:
        known = self._slowdowns.setdefault(engine_id, _Slowdown())
        known.log_pace = known.at(now_s) + SLOWDOWN_GAIN * log_ratio
        known.at_s = now_s


def _gain(answers_count: int) -> float:
    return max(MIN_GAIN, 1.0 / (answers_count + 2))


def _weighted_log_ratio(
    duration_s: float, estimate_s: float, answers_count: int
) -> float:
    log_ratio = math.log(max(duration_s, _MIN_DURATION_S) / estimate_s)
    log_ratio = max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, log_ratio))
    if log_ratio > 0 and answers_count >= WARMUP_ANSWERS_COUNT:
        return log_ratio * SLOWER_WEIGHT
    return log_ratio
