"""Measures the gaps between the events of a stream."""


class StreamGaps:
    """The gaps between the events of one stream.

    Attributes:
        longest_gap_s: The longest gap so far.
        run_s: Time from the response head to the last event.
        has_begun: Whether there was any event.
    """

    def __init__(self, began_s: float):
        self.longest_gap_s = 0.0
        self.run_s = 0.0
        self.has_begun = False
        self._began_s = began_s
        self._last_s = began_s

    def note(self, now_s: float) -> None:
        """Records that events arrived."""
        self.has_begun = True
        self.longest_gap_s = max(self.longest_gap_s, now_s - self._last_s)
        self._last_s = now_s
        self.run_s = now_s - self._began_s
