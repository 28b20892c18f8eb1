"""Compares the keys that a watch has reported with the service.

The service may drop a waiting watch without an error, or answer it without some
changes. A comparison of keys depends on no watch. Where they are too many for
one comparison, a part of them is compared each time, and the changes since the
last audit are read by a call that does not wait.
"""

import bisect
from collections.abc import Callable, Sequence

from loguru import logger
from result import Err

from mulberrywharf import errors, metrics
from mulberrywharf.platform_service import dialect, key_value, watch
from mulberrywharf.platform_service.key_value_types import Guard

_found = metrics.counter(
    "mulberry_watch_changes_found_total",
    "Changes that a watch did not report and an audit found, by purpose.",
)


class WatchAudit:
    """Finds changes that a watch did not report."""

    def __init__(
        self,
        client: key_value.KeyValueClient,
        watched: Callable[[], watch.Watch | None],
        *,
        purpose: str,
    ):
        """Creates it; whoever owns it calls its methods at intervals.

        Args:
            client: Client of the key-value service.
            watched: Returns the watch, None before its start.
            purpose: Call budget that is charged.
        """
        self._client = client
        self._watched = watched
        self._purpose = purpose
        self._last_key = ""
        self._compares_all = True

    def next_keys(self, limit_count: int) -> list[Guard]:
        """Returns the keys to compare next, with their reported revisions.

        All keys take turns if they are more than the limit.
        """
        watched = self._watched()
        if watched is None or not watched.has_read_all:
            return []
        keys = watched.reported_keys()
        self._compares_all = len(keys) <= limit_count
        if not self._compares_all:
            keys.sort()
            first = bisect.bisect_right(keys, self._last_key)
            keys = [*keys[first:], *keys[:first]][:limit_count]
            self._last_key = keys[-1]
        return [Guard(key, watched.reported_revision(key)) for key in keys]

    def take(
        self, expected: Sequence[Guard], changed: dialect.ChangedKeys
    ) -> None:
        """Reports what a comparison has found to the owner of the watch."""
        watched = self._watched()
        if watched is None:
            return
        for one in expected:
            if one.key not in changed:
                continue
            if watched.take_compared(one, changed[one.key]):
                self._note_found(watched, one.key)

    def find_missed(self, after_revision: int, revision: int) -> bool:
        """Reads the changes since a revision, of keys that were not compared.

        Args:
            after_revision: Revision up to which nothing is missing.
            revision: Revision of the service before keys were compared.

        Returns:
            Whether nothing up to that revision is missing now.
        """
        watched = self._watched()
        if watched is None or not watched.has_read_all:
            return False
        if self._compares_all and watched.seen_revision >= revision:
            return True
        read = self._client.read_changes(
            watched.prefix,
            after_revision=max(after_revision, watched.read_revision),
            purpose=self._purpose,
        )
        if isinstance(read, Err):
            if isinstance(read.err_value, errors.HistoryGoneError):
                watched.read_again_if_waiting()
            return False
        for event in read.ok_value.events:
            if watched.take_event(event):
                self._note_found(watched, event.key_value.key)
        return True

    def _note_found(self, watched: watch.Watch, key: str) -> None:
        _found.inc({"purpose": self._purpose})
        logger.bind(
            key=key,
            watched_revision=watched.continues_at_revision,
            watch_age_s=round(watched.age_s, 3),
        ).info("a change was found that the watch did not report")
