"""Sends usage counts of all gateways to the collector, which reports them.

The collector announces itself. A window is reported once the collector has
recorded its usage report. The other gateways send it their counts of each
unreported window, once a second if they have changed and once more after the
window has ended. Counts never decrease, so late or duplicate datagrams have no
effect, a lost one is superseded by the next, and a new collector receives all
unreported counts.
"""

import time
from collections.abc import Callable, Mapping
from typing import Protocol

import gevent
from loguru import logger
from result import Err

from mulberrywharf import fleet, metrics, supervised_task
from mulberrywharf.peers import datagrams, usage_codec

SEND_INTERVAL_S = 1.0
"""Interval between checks for changed counts; limits the counts lost when a
gateway fails."""

FINAL_COUNTS_DELAY_S = 0.3
"""Delay after the end of a window before its counts are final. It allows for
clock skew. It need not cover requests in flight, because a request is counted
in the window in which its response starts."""

EMPTY_WINDOWS_LIMIT_COUNT = 3
"""Maximum number of windows without requests that are sent in reply to an
announcement."""

PEER_DISCOVERY_S = 8.0
"""Time after startup during which some peers may still be unknown; the peer
directory is read twice in this period."""

_sent_total = metrics.counter(
    "mulberry_usage_counts_told_total",
    "Counts of a window that were sent to the collector, which reports them.",
)


class Peers(Protocol):
    """The other gateways."""

    def recent_addresses(self) -> tuple[fleet.Address, ...]:
        """Returns the addresses of current and recently removed gateways."""
        ...


class LocalCounts(Protocol):
    """Counts of this gateway."""

    def counts_after(self, window: int) -> Mapping[int, Mapping[str, int]]:
        """Returns the counts of each window after the given one."""
        ...


class UsageExchange:
    """Sends local counts to the collector and collects those of peers."""

    def __init__(
        self,
        peers: Peers,
        socket: datagrams.PeerSocket,
        local_counts: LocalCounts,
        incarnation: int,
        window_s: float,
        unix_s: Callable[[], float],
    ):
        """Creates the exchange and registers it with the socket.

        The caller starts the socket.

        Args:
            peers: The other gateways.
            socket: Socket that carries the messages.
            local_counts: Counts of this gateway.
            incarnation: Identifies this run of the gateway.
            window_s: Length of a window.
            unix_s: Returns the wall-clock time.
        """
        self._peers = peers
        self._socket = socket
        self._local_counts = local_counts
        self._incarnation = incarnation
        self._window_s = window_s
        self._unix_s = unix_s
        self._created_s = time.monotonic()
        self._collector: fleet.Address | None = None
        self._number = -1
        self._reported_window = -1
        self._last_sent: dict[int, tuple[Mapping[str, int], bool]] = {}
        self._collected: dict[int, dict[tuple[str, int], dict[str, int]]] = {}
        self._final_sources: dict[int, set[fleet.Address]] = {}
        self._task: gevent.Greenlet | None = None
        socket.set_handler(b"u", self._on_datagram)

    def start(self) -> None:
        """Starts sending counts to the collector."""
        self._task = supervised_task.spawn("usage-exchange", self._run)

    def close(self) -> None:
        """Stops the sending task and sends the remaining counts."""
        if self._task is not None:
            self._task.kill()
            self._send_changed()

    @property
    def reported_window(self) -> int:
        """Last reported window that a collector announced, -1 if none."""
        return self._reported_window

    def announce(self, number: int, reported_window: int) -> None:
        """Announces this gateway to the others as the collector.

        Args:
            number: Fencing number of this gateway as the collector.
            reported_window: The last reported window.
        """
        self._set_collector(None, number, reported_window)
        announcement = usage_codec.Announcement(number, reported_window)
        self._socket.send(
            b"u",
            usage_codec.encode_announcement(announcement),
            self._peers.recent_addresses(),
        )

    def request_missing(
        self, number: int, reported_window: int, window: int
    ) -> None:
        """Sends an announcement to gateways whose final counts are missing.

        Args:
            number: Fencing number of this gateway as the collector.
            reported_window: The last reported window.
            window: The window whose counts are requested.
        """
        missing = self._missing_addresses(window)
        announcement = usage_codec.Announcement(number, reported_window)
        self._socket.send(
            b"u", usage_codec.encode_announcement(announcement), missing
        )

    def missing_count(self, window: int) -> int:
        """Returns how many gateways' final counts of a window are missing.

        Returns at least 1 until peer discovery is complete.
        """
        missing_count = len(self._missing_addresses(window))
        is_discovering = time.monotonic() - self._created_s < PEER_DISCOVERY_S
        return max(int(is_discovering), missing_count)

    def _missing_addresses(self, window: int) -> tuple[fleet.Address, ...]:
        final = self._final_sources.get(window, set())
        return tuple(
            address
            for address in self._peers.recent_addresses()
            if address not in final
        )

    def windows_after(self, window: int) -> list[int]:
        """Returns the windows after the given one that have counts."""
        known = {*self._collected, *self._local_counts.counts_after(window)}
        return sorted(number for number in known if number > window)

    def total(self, window: int) -> dict[str, int]:
        """Returns the sum of all gateways' counts for a window."""
        total: dict[str, int] = {}
        own = self._local_counts.counts_after(window - 1).get(window, {})
        for counts in (own, *self._collected.get(window, {}).values()):
            for customer, count in counts.items():
                total[customer] = total.get(customer, 0) + count
        return total

    def _run(self) -> None:
        while True:
            gevent.sleep(SEND_INTERVAL_S)
            self._send_changed()

    def _send_changed(self) -> None:
        if self._collector is None:
            return
        sent = {}
        unreported = self._local_counts.counts_after(self._reported_window)
        for window, counts in unreported.items():
            sent[window] = self._send_window(window, counts)
        self._last_sent = sent

    def _send_window(
        self, window: int, counts: Mapping[str, int]
    ) -> tuple[Mapping[str, int], bool]:
        """Sends the counts of a window if they have changed."""
        ended_s = (window + 1) * self._window_s
        is_final = self._unix_s() >= ended_s + FINAL_COUNTS_DELAY_S
        state = dict(counts), is_final
        if self._last_sent.get(window) != state:
            self._send_counts(window, *state)
        return state

    def _send_counts(
        self, window: int, counts: Mapping[str, int], is_final: bool
    ) -> None:
        if self._collector is None:
            return
        whole = usage_codec.Counts(
            self._incarnation, window, is_final, counts, sum(counts.values())
        )
        for batch in usage_codec.split_counts(whole):
            self._socket.send(
                b"u", usage_codec.encode_counts(batch), (self._collector,)
            )
        _sent_total.inc({})

    def _on_datagram(self, body: bytes, source: fleet.Address) -> bool:
        decoded = usage_codec.decode(body)
        if isinstance(decoded, Err):
            logger.warning("datagram dropped: {}", decoded.err_value.message)
            return False
        message = decoded.ok_value
        if isinstance(message, usage_codec.Announcement):
            self._on_announcement(message, source)
        else:
            self._merge_counts(message, source)
        return True

    def _on_announcement(
        self, announcement: usage_codec.Announcement, source: fleet.Address
    ) -> None:
        if announcement.number < self._number:
            return
        if announcement.reported_window * self._window_s > self._unix_s():
            # No window would be collected any more.
            logger.warning(
                "announcement of {} dropped: window {} has not begun",
                source,
                announcement.reported_window,
            )
            return
        self._set_collector(
            source, announcement.number, announcement.reported_window
        )
        # Resend everything: earlier datagrams may have been lost.
        self._last_sent = {}
        self._send_changed()
        self._send_empty_windows()

    def _send_empty_windows(self) -> None:
        """Sends final empty counts for ended windows without requests."""
        ended = (
            int((self._unix_s() - FINAL_COUNTS_DELAY_S) // self._window_s) - 1
        )
        oldest = max(
            self._reported_window + 1, ended - EMPTY_WINDOWS_LIMIT_COUNT + 1
        )
        for window in range(oldest, ended + 1):
            if window not in self._last_sent:
                self._send_counts(window, {}, True)

    def _set_collector(
        self,
        collector: fleet.Address | None,
        number: int,
        reported_window: int,
    ) -> None:
        if collector != self._collector:
            self._last_sent = {}
        self._collector = collector
        self._number = number
        self._reported_window = max(self._reported_window, reported_window)
        for window in [
            known for known in self._collected if known <= self._reported_window
        ]:
            self._collected.pop(window)
            self._final_sources.pop(window, None)

    def _merge_counts(
        self, counts: usage_codec.Counts, source: fleet.Address
    ) -> None:
        if counts.window <= self._reported_window:
            return
        by_source = self._collected.setdefault(counts.window, {})
        known = by_source.setdefault((source.ip, counts.incarnation), {})
        for customer, count in counts.by_customer.items():
            known[customer] = max(count, known.get(customer, 0))
        # Datagrams with other customers of the window may have been lost.
        is_complete = sum(known.values()) >= counts.total_count
        if counts.is_final and is_complete:
            self._final_sources.setdefault(counts.window, set()).add(source)
