"""One engine's load as this node knows it: its last report, own requests."""

import collections

from mulberrywharf import fleet

_FAILURE_MEMORY_S = 10.0
_SENT_MEMORY_S = 60.0
_LAG_LIMIT_S = 30.0


def report_lag_s(report: fleet.LoadReport, now_unix_s: float) -> float:
    """Returns how old a report was when it came.

    The engine's clock may differ from ours: a lag below 0 counts as 0, and
    one above half a minute as half a minute.

    Args:
        report: The report.
        now_unix_s: Our wall clock at its arrival.
    """
    if not report.reported_unix_s:
        return 0.0
    return min(max(now_unix_s - report.reported_unix_s, 0.0), _LAG_LIMIT_S)


class EngineLoad:
    """What one node knows of one engine.

    Attributes:
        vm: The engine's line in the VM list.
        last_sequence: Last cache event that was read, or 0.
    """

    def __init__(self, vm: fleet.VmRecord):
        self.vm = vm
        self.last_sequence = 0
        self._report: fleet.LoadReport | None = None
        self._taken_s = float("-inf")
        self._in_flight_count = 0
        # (when, prompt tokens) of requests that the report cannot contain.
        self._sent: collections.deque[tuple[float, int]] = collections.deque()
        self._sent_tokens = 0
        self._failures_s: collections.deque[float] = collections.deque(
            maxlen=1000
        )

    def take_report(self, report: fleet.LoadReport, taken_s: float) -> None:
        """Takes a report unless a newer one is known.

        Args:
            report: What the engine said.
            taken_s: When it took the figures, on our monotonic clock.
        """
        if taken_s < self._taken_s:
            return
        self._report = report
        self._taken_s = taken_s
        self._drop_sent_before(taken_s)

    def begin(self, prompt_tokens: int, now_s: float) -> None:
        """Counts a request in."""
        self._in_flight_count += 1
        self._drop_sent_before(now_s - _SENT_MEMORY_S)
        self._sent.append((now_s, prompt_tokens))
        self._sent_tokens += prompt_tokens

    def end(self, failed: bool, now_s: float) -> None:
        """Counts a request out."""
        # A request that began before the engine was replaced ends here too.
        self._in_flight_count = max(0, self._in_flight_count - 1)
        if failed:
            self.fail(now_s)

    def fail(self, now_s: float) -> None:
        """Notes a failed exchange."""
        self._failures_s.append(now_s)

    def view(self, now_s: float, drained: bool) -> fleet.EngineView:
        """Returns the engine as it looks from here at ``now_s``."""
        while self._failures_s and (
            self._failures_s[0] < now_s - _FAILURE_MEMORY_S
        ):
            self._failures_s.popleft()
        return fleet.EngineView(
            self.vm,
            self._report,
            now_s - self._taken_s,
            self._in_flight_count,
            self._sent_tokens,
            len(self._failures_s),
            drained,
        )

    def _drop_sent_before(self, at_s: float) -> None:
        while self._sent and self._sent[0][0] < at_s:
            self._sent_tokens -= self._sent.popleft()[1]
