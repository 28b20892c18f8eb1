"""Reports each window's usage from the gateway that holds the duty.

The gateway that holds the usage duty collects the counts of all gateways; it is
the collector.

All reports for a window must be identical, including across a takeover, and the
platform may process an unanswered call seconds later. Each report is therefore
recorded before it is sent, and a new holder resends the recorded report
unchanged.
"""

from typing import NamedTuple, Protocol

import gevent
import orjson
from loguru import logger
from result import Err, Ok, Result

from mulberrywharf import errors, metrics, stated_numbers, supervised_task
from mulberrywharf.authority import duty_holder
from mulberrywharf.customers import usage
from mulberrywharf.duties import client

POLL_INTERVAL_S = 0.25
"""Interval between checks for a window to report."""

COUNTS_WAIT_SHARE = 0.6
"""Share of the time between the end of a window and its deadline that may be
spent waiting for missing counts. The rest is reserved for recording and sending
the report."""

RETRY_INTERVAL_S = 0.5
"""Delay before a report is retried."""

COUNTS_REQUEST_INTERVAL_S = 1.0

RECORDED_REPORTS_COUNT = 4
"""Number of latest reports in the record; covers all that may be due."""

_windows_total = metrics.counter(
    "mulberry_usage_windows_total", "Windows of usage, by outcome."
)


class UsageDutyHolder(Protocol):
    """Holds the usage duty."""

    @property
    def last_record(self) -> bytes | None:
        """The latest record written by this holder or read at takeover."""
        ...

    def authority(
        self,
    ) -> Result[duty_holder.Authority, errors.AuthorityLostError]:
        """Returns the authority if it is held and may be used now."""
        ...

    def record(self, value: bytes) -> Result[None, errors.PlatformError]:
        """Writes the record before reports are sent."""
        ...

    def resign(self, reason: str) -> None:
        """Steps down, so that another gateway can acquire the duty."""
        ...


class Exchange(Protocol):
    """Collects the counts of all gateways."""

    @property
    def reported_window(self) -> int:
        """Highest window that a collector announced as recorded, -1 if none.

        Its report may not have been sent yet.
        """
        ...

    def announce(self, number: int, reported_window: int) -> None:
        """Announces this gateway as the collector.

        Args:
            number: Fencing number of the duty.
            reported_window: Highest window whose report is recorded.
        """
        ...

    def request_missing(
        self, number: int, reported_window: int, window: int
    ) -> None:
        """Requests counts from gateways whose final counts are missing."""
        ...

    def missing_count(self, window: int) -> int:
        """Returns how many gateways' final counts are missing."""
        ...

    def windows_after(self, window: int) -> list[int]:
        """Returns the windows after the given one that have counts."""
        ...

    def total(self, window: int) -> dict[str, int]:
        """Returns the sum of all gateways' counts."""
        ...


class ReportSender(Protocol):
    """Sends reports to the operators' platform."""

    def report_usage(
        self, report: client.UsageReport, identity: client.HolderIdentity
    ) -> Result[None, errors.MulberryError]:
        """Reports usage."""
        ...


class WindowTiming(NamedTuple):
    """Length and reporting deadline of a window.

    Attributes:
        length_s: Length of a window.
        late_s: Time after the end of a window within which its report is due.
    """

    length_s: float
    late_s: float


class UsageReporter:
    """Collects, records and reports usage while the duty is held."""

    def __init__(
        self,
        holder: UsageDutyHolder,
        exchange: Exchange,
        report_sender: ReportSender,
        vm_id: str,
        timing: WindowTiming,
        wall_clock: usage.WallClock,
    ):
        self._holder = holder
        self._exchange = exchange
        self._report_sender = report_sender
        self._vm_id = vm_id
        self._timing = timing
        self._clock = wall_clock
        self._number: int | None = None
        self._pending: list[client.UsageReport] = []
        self._recorded_reports: list[client.UsageReport] = []
        self._last_request_s = float("-inf")
        self._announced_s = float("-inf")
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts the polling task."""
        self._task = supervised_task.spawn("usage-reporter", self._run)

    def close(self) -> None:
        """Stops polling; the next holder sends recorded reports."""
        if self._task is not None:
            self._task.kill()

    def _run(self) -> None:
        while True:
            gevent.sleep(POLL_INTERVAL_S)
            self.poll()

    def poll(self) -> None:
        """Records and sends due reports if this gateway holds the duty."""
        held = self._holder.authority()
        if isinstance(held, Err):
            self._number = None
            return
        if held.ok_value.number != self._number:
            self._take_over(held.ok_value.number)
        window = self._next_window()
        if window is not None:
            self._collect(window)
        elif self._clock.unix_s() - self._announced_s > self._timing.length_s:
            # Gateways that were not known yet at the last announcement have
            # sent no counts, so that there may be no window to record.
            self._announce()
        if self._pending:
            self._send(self._pending[0])

    def _take_over(self, number: int) -> None:
        self._number = number
        self._recorded_reports = [
            report
            for report in decode_record(self._holder.last_record)
            if self._may_have_ended(report.window)
        ]
        self._pending = [
            report
            for report in self._recorded_reports
            if self._remaining_s(report.window) > 0
        ]
        logger.bind(
            number=number,
            recorded_window=self._recorded_window,
            pending_count=len(self._pending),
        ).info("this VM reports usage now")
        self._announce()

    def _announce(self) -> None:
        assert self._number is not None
        self._announced_s = self._clock.unix_s()
        self._exchange.announce(self._number, self._recorded_window)

    @property
    def _recorded_window(self) -> int:
        # A key-value service restored from an older copy may lack the newest
        # record, so the window that collectors announced is used too.
        return max(
            self._exchange.reported_window,
            *(report.window for report in self._recorded_reports),
            -1,
        )

    def _may_have_ended(self, window: int) -> bool:
        # Nothing would be reported until a window of the far future. Clocks
        # of gateways differ by less than a window.
        if window * self._timing.length_s <= self._clock.unix_s():
            return True
        logger.warning("usage record states window {}, not begun yet", window)
        return False

    def _remaining_s(self, window: int) -> float:
        """Returns the time until the report for a window is overdue."""
        ended_s = (window + 1) * self._timing.length_s
        return ended_s + self._timing.late_s - self._clock.unix_s()

    def _next_window(self) -> int | None:
        """Returns the first window to record, or None.

        The window has ended, is not recorded, and its report is not overdue. A
        window whose report is overdue is not reported.
        """
        for window in self._exchange.windows_after(self._recorded_window):
            remaining_s = self._remaining_s(window)
            if 0 < remaining_s < self._timing.late_s:
                return window
        return None

    def _collect(self, window: int) -> None:
        """Records a window once its counts are complete or the wait is over."""
        assert self._number is not None
        remaining_s = self._remaining_s(window)
        waited_share = 1.0 - remaining_s / self._timing.late_s
        missing_count = self._exchange.missing_count(window)
        if missing_count and waited_share < COUNTS_WAIT_SHARE:
            self._request_missing(window)
            return
        report = client.UsageReport(window, self._exchange.total(window))
        kept = [*self._recorded_reports, report][-RECORDED_REPORTS_COUNT:]
        recorded = self._holder.record(encode_record(kept))
        logger.bind(
            window=window,
            customers_count=len(report.counts),
            requests_count=sum(report.counts.values()),
            missing_count=missing_count,
            left_s=round(remaining_s, 3),
        ).info(
            "usage recorded"
            if isinstance(recorded, Ok)
            else "usage not recorded"
        )
        if isinstance(recorded, Err):
            # The outcome is unknown, so the record is read again at takeover.
            self._number = None
            return
        self._recorded_reports = kept
        self._pending.append(report)
        self._announce()

    def _request_missing(self, window: int) -> None:
        now_s = self._clock.unix_s()
        if now_s - self._last_request_s < COUNTS_REQUEST_INTERVAL_S:
            return
        assert self._number is not None
        self._last_request_s = now_s
        self._exchange.request_missing(
            self._number, self._recorded_window, window
        )

    def _send(self, report: client.UsageReport) -> None:
        assert self._number is not None
        remaining_s = self._remaining_s(report.window)
        if remaining_s <= 0:
            self._finish(report, "late", remaining_s)
            return
        identity = client.HolderIdentity(self._vm_id, self._number)
        sent = self._report_sender.report_usage(report, identity)
        if isinstance(sent, Ok):
            self._finish(report, "ok", remaining_s)
            return
        error = sent.err_value
        if isinstance(error, errors.StaleFencingNumberError):
            self._holder.resign(error.message)
            self._number = None
            return
        logger.bind(
            window=report.window,
            reason=error.code,
            left_s=round(remaining_s, 3),
        ).info("usage not reported: {}", error.message)
        gevent.sleep(RETRY_INTERVAL_S)

    def _finish(
        self, report: client.UsageReport, outcome: str, remaining_s: float
    ) -> None:
        self._pending.remove(report)
        _windows_total.inc({"outcome": outcome})
        logger.bind(
            window=report.window, outcome=outcome, left_s=round(remaining_s, 3)
        ).info("usage reported")


def encode_record(reports: list[client.UsageReport]) -> bytes:
    """Encodes reports for the record."""
    return orjson.dumps(
        [
            {"window": report.window, "counts": dict(report.counts)}
            for report in reports
        ]
    )


def decode_record(value: bytes | None) -> list[client.UsageReport]:
    """Decodes a record; an unreadable one yields no reports."""
    if value is None:
        return []
    try:
        return [
            client.UsageReport(
                stated_numbers.count(fields["window"], "window"),
                {
                    str(name): stated_numbers.count(number, "a count")
                    for name, number in fields["counts"].items()
                },
            )
            for fields in orjson.loads(value)
        ]
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        logger.warning("usage record could not be decoded: {!r}", error)
        return []
