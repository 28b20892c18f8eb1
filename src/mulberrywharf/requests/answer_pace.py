"""How fast an engine makes one answer, apart from how fast it is read."""

_LEAST_TOKENS_COUNT = 4
_EARLY_S = 0.3
_HELD_UP_SHARE = 0.1


class AnswerPace:
    """The mean time between the tokens of one engine's part of an answer.

    It is known early, 0.3 s after the first token, because a slow engine's
    answers are the last to end. An answer whose caller reads slowly tells
    nothing: tokens that arrive while it is held up wait in buffers, and the
    engine would look as slow as the caller, or faster than it is.
    """

    def __init__(self) -> None:
        self._first_s: float | None = None
        self._last_s = 0.0
        self._following_count = 0
        self._held_up_s = 0.0
        self._is_told = False

    def on_tokens(self, count: int, now_s: float) -> float | None:
        """Counts tokens that have just arrived.

        Args:
            count: How many arrived together.
            now_s: Monotonic time.

        Returns:
            The mean time between tokens, once, as soon as it is known.
        """
        if self._first_s is None:
            self._first_s = self._last_s = now_s
            return None
        self._last_s = now_s
        self._following_count += count
        if self._is_told or now_s - self._first_s < _EARLY_S:
            return None
        return self._tell()

    def on_passed_on(self, arrived_s: float, now_s: float) -> None:
        """Notes how long the caller took to take what had arrived."""
        self._held_up_s += now_s - arrived_s

    def at_end(self) -> float | None:
        """Returns the mean of an answer too short to be told early."""
        return None if self._is_told else self._tell()

    def _tell(self) -> float | None:
        if self._first_s is None:
            return None
        if self._following_count < _LEAST_TOKENS_COUNT:
            return None
        elapsed_s = self._last_s - self._first_s
        if self._held_up_s > _HELD_UP_SHARE * elapsed_s:
            return None
        self._is_told = True
        return elapsed_s / self._following_count
