"""Tracks one engine's load: its last report and this node's own requests."""

import collections

from mulberrywharf import fleet

_FAILURE_WINDOW_S = 10.0
_SENT_RETENTION_S = 60.0
_LAG_LIMIT_S = 30.0


def report_lag_s(report: fleet.LoadReport, now_unix_s: float) -> float:
    """Returns how old a report was when it arrived, in seconds.

    The engine's clock may differ from this node's, so the lag is clamped to 0
    to 30 s. A report without a timestamp has a lag of 0.

    Args:
        report: The load report.
        now_unix_s: Wall clock of this node when the report arrived.
    """
    if not report.reported_unix_s:
        return 0.0
    return min(max(now_unix_s - report.reported_unix_s, 0.0), _LAG_LIMIT_S)


class EngineLoad:
    """What this node knows about the load of one engine.

    Attributes:
        vm: The engine's record in the VM list.
        last_sequence: Sequence number of the last cache event read, or 0.
    """

    def __init__(self, vm: fleet.VmRecord):
        self.vm = vm
        self.last_sequence = 0
        self._report: fleet.LoadReport | None = None
        self._report_taken_s = float("-inf")
        self._in_flight_count = 0
        # (send time, prompt tokens) of requests sent after the report's figures
        # were taken.
        self._sent: collections.deque[tuple[float, int]] = collections.deque()
        self._sent_tokens = 0
        self._failures_s: collections.deque[float] = collections.deque(
            maxlen=1000
        )

    def record_report(self, report: fleet.LoadReport, taken_s: float) -> None:
        """Stores a report unless a newer one is known.

        Args:
            report: The engine's load report.
            taken_s: When the engine took the figures, on the monotonic clock
                of this node.
        """
        if taken_s < self._report_taken_s:
            return
        self._report = report
        self._report_taken_s = taken_s
        self._drop_sent_before(taken_s)

    def request_started(self, prompt_tokens: int, now_s: float) -> None:
        """Records that a request is sent to the engine."""
        self._in_flight_count += 1
        self._drop_sent_before(now_s - _SENT_RETENTION_S)
        self._sent.append((now_s, prompt_tokens))
        self._sent_tokens += prompt_tokens

    def request_finished(self, failed: bool, now_s: float) -> None:
        """Records that a request at the engine ended."""
        # Stays at 0 for a request that began before this object replaced an
        # earlier one, such as when the engine's address changed.
        self._in_flight_count = max(0, self._in_flight_count - 1)
        if failed:
            self.record_failure(now_s)

    def record_failure(self, now_s: float) -> None:
        """Records a failed exchange."""
        self._failures_s.append(now_s)

    def view(self, now_s: float, drained: bool) -> fleet.EngineView:
        """Returns this node's view of the engine at ``now_s``."""
        while self._failures_s and (
            self._failures_s[0] < now_s - _FAILURE_WINDOW_S
        ):
            self._failures_s.popleft()
        return fleet.EngineView(
            self.vm,
            self._report,
            now_s - self._report_taken_s,
            self._in_flight_count,
            self._sent_tokens,
            len(self._failures_s),
            drained,
        )

    def _drop_sent_before(self, cutoff_s: float) -> None:
        while self._sent and self._sent[0][0] < cutoff_s:
            self._sent_tokens -= self._sent.popleft()[1]
