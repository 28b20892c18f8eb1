"""Estimates when the last outage of the key-value service ended.

The service may have recovered while a failed call was still waiting for its
timeout. The end of an outage therefore lies between the time at which the last
failed call was sent and the first response after that.
"""

import math

OUTAGE_EXPIRY_S = 0.75
"""An outage is assumed to end at most this long after the last failed call was
sent, even without a response. During an outage a gateway sends a call about
every 0.5 s: its two watches and its lease renewals. It keeps all servers for
2 s after an outage, and operators accept requests to a server that has left for
3 s after it."""

CUT_WAIT_S = 0.1
"""A waiting call whose connection is closed later than this was cut; a service
that is down closes connections sooner."""


class LastOutage:
    """The last period in which calls to the service failed."""

    def __init__(self) -> None:
        self._last_failure_sent_s = -math.inf
        self._first_answer_s: float | None = None

    def record_failure(self, sent_s: float) -> None:
        """Records that a call failed.

        A failed call that was sent before the response that ended the last
        outage belongs to that outage. When it counted as a new outage, servers
        that had left stayed in use for 1 s longer.

        Args:
            sent_s: Monotonic time at which the call was sent.
        """
        self._last_failure_sent_s = max(self._last_failure_sent_s, sent_s)
        if self._first_answer_s is not None and sent_s > self._first_answer_s:
            self._first_answer_s = None

    def record_cut(self, sent_s: float) -> None:
        """Records that the service cut a call that waited for a change.

        A service that works may do so. Such a cut therefore prolongs an outage
        that other calls have shown, but doesn't begin one.

        Args:
            sent_s: Monotonic time at which the call was sent.
        """
        if self._first_answer_s is None:
            self.record_failure(sent_s)

    def record_answer(self, now_s: float) -> None:
        """Records that the service responded, even if it rejected the call.

        Args:
            now_s: Current monotonic time.
        """
        if self._first_answer_s is None:
            self._first_answer_s = now_s

    def age_s(self, now_s: float) -> float:
        """Returns the seconds since the last outage ended, or inf.

        Args:
            now_s: Current monotonic time.
        """
        ended_s = (
            now_s if self._first_answer_s is None else self._first_answer_s
        )
        return now_s - min(ended_s, self._last_failure_sent_s + OUTAGE_EXPIRY_S)
