"""Measures an engine's time between tokens, independent of slow callers."""

_MIN_TOKENS_COUNT = 4
_EARLY_REPORT_S = 0.3
_MAX_CALLER_DELAY_SHARE = 0.1


class AnswerPace:
    """Mean time between the tokens of one engine's part of an answer.

    It is reported early, 0.3 s after the first token, because the answers of a
    slow engine end last. It is not reported if the caller reads slowly: tokens
    that arrive meanwhile wait in buffers, so the engine would appear as slow
    as the caller, or faster than it is.
    """

    def __init__(self) -> None:
        self._first_s: float | None = None
        self._last_s = 0.0
        self._later_tokens_count = 0
        self._caller_delay_s = 0.0
        self._is_reported = False

    def on_tokens(self, count: int, now_s: float) -> float | None:
        """Counts tokens that have just arrived.

        Args:
            count: Number of tokens that arrived together.
            now_s: Monotonic time.

        Returns:
            The mean time between tokens when it is first known, else None.
        """
        if self._first_s is None:
            self._first_s = self._last_s = now_s
            return None
        self._last_s = now_s
        self._later_tokens_count += count
        if self._is_reported or now_s - self._first_s < _EARLY_REPORT_S:
            return None
        return self._report()

    def on_delivered(self, arrived_s: float, now_s: float) -> None:
        """Adds the time that the caller took to accept the arrived tokens."""
        self._caller_delay_s += now_s - arrived_s

    def finish(self) -> float | None:
        """Returns the mean if it was not reported before the end, else None."""
        return None if self._is_reported else self._report()

    def _report(self) -> float | None:
        if self._first_s is None:
            return None
        if self._later_tokens_count < _MIN_TOKENS_COUNT:
            return None
        elapsed_s = self._last_s - self._first_s
        if self._caller_delay_s > _MAX_CALLER_DELAY_SHARE * elapsed_s:
            return None
        self._is_reported = True
        return elapsed_s / self._later_tokens_count
