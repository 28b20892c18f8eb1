"""How long answers usually are, model by model."""

_FIRST_GUESS_TOKENS = 64.0
_SMOOTHING = 0.05


class OutputLengths:
    """Running means of the answers' lengths, one for each model."""

    def __init__(self) -> None:
        self._mean_tokens: dict[str, float] = {}

    def expected(self, model: str, max_tokens: int | None) -> int:
        """Returns the expected length of an answer.

        Args:
            model: A model of the configuration, so that names are few.
            max_tokens: The caller's bound, or None.
        """
        mean_tokens = self._mean_tokens.get(model, _FIRST_GUESS_TOKENS)
        if max_tokens is not None:
            mean_tokens = min(mean_tokens, max_tokens)
        return max(1, round(mean_tokens))

    def learn(self, model: str, tokens: int) -> None:
        """Takes in the length of one whole answer."""
        mean_tokens = self._mean_tokens.get(model, _FIRST_GUESS_TOKENS)
        moved = mean_tokens + _SMOOTHING * (tokens - mean_tokens)
        self._mean_tokens[model] = moved
