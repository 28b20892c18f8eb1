"""Estimates the length of answers, for each model."""

_INITIAL_MEAN_TOKENS = 64.0
_SMOOTHING = 0.05


class OutputLengths:
    """Exponential moving averages of the answer lengths, one for each model."""

    def __init__(self) -> None:
        self._mean_tokens: dict[str, float] = {}

    def expected(self, model: str, max_tokens: int | None) -> int:
        """Returns the expected length of an answer, in tokens.

        Args:
            model: Name of a model in the configuration.
            max_tokens: The caller's limit on output tokens, or None.
        """
        mean_tokens = self._mean_tokens.get(model, _INITIAL_MEAN_TOKENS)
        if max_tokens is not None:
            mean_tokens = min(mean_tokens, max_tokens)
        return max(1, round(mean_tokens))

    def record(self, model: str, tokens: int) -> None:
        """Adds the length of one complete answer to the average.

        Args:
            model: Name of a model in the configuration, so that the number of
                averages is bounded.
            tokens: Length of the answer.
        """
        mean_tokens = self._mean_tokens.get(model, _INITIAL_MEAN_TOKENS)
        smoothed_tokens = mean_tokens + _SMOOTHING * (tokens - mean_tokens)
        self._mean_tokens[model] = smoothed_tokens
