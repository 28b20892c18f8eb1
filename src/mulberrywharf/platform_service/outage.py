"""When the key-value service was last in trouble, as far as calls tell.

A call that fails says little about now: it may have been sent seconds ago. So
the end of an outage lies between the sending of the last call that failed and
the first answer behind it.
"""

import math

UNSURE_S = 0.75
"""How long behind the sending of the last failed call an outage is believed to
last at the most, if no answer ends it before. A gateway in an outage sends a
call every half second or so, its two watches and its renewals together; a
server is kept for 2 s behind the end, and operators excuse work at a server
that left for 3 s behind it."""


class LastOutage:
    """The last time in which calls failed."""

    def __init__(self) -> None:
        self._failed_sent_s = -math.inf
        self._answered_s: float | None = None

    def failed(self, sent_s: float) -> None:
        """Notes that a call was not carried out.

        A call that was sent before the service answered another one is news
        of an outage that is known to be over. Taken for a new one it kept
        servers that had left in use for a second longer.

        Args:
            sent_s: When it was sent.
        """
        self._failed_sent_s = max(self._failed_sent_s, sent_s)
        if self._answered_s is not None and sent_s > self._answered_s:
            self._answered_s = None

    def answered(self, now_s: float) -> None:
        """Notes that the service decided about a call, also by refusing it."""
        if self._answered_s is None:
            self._answered_s = now_s

    def age_s(self, now_s: float) -> float:
        """Returns how long ago it ended, inf if there was none."""
        ended_s = now_s if self._answered_s is None else self._answered_s
        return now_s - min(ended_s, self._failed_sent_s + UNSURE_S)
