"""How evenly the events of a stream came."""


class StreamGaps:
    """The pauses between the events of one stream.

    Attributes:
        worst_s: The longest pause so far.
        run_s: From the head to the last event.
        has_begun: Whether there was any event.
    """

    def __init__(self, began_s: float):
        self.worst_s = 0.0
        self.run_s = 0.0
        self.has_begun = False
        self._began_s = began_s
        self._last_s = began_s

    def note(self, now_s: float) -> None:
        """Takes in that events came."""
        self.has_begun = True
        self.worst_s = max(self.worst_s, now_s - self._last_s)
        self._last_s = now_s
        self.run_s = now_s - self._began_s
