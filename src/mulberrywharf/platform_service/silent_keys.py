"""Compares keys that a watch has not reported for a while with the service.

The service may drop a waiting watch without an error, or answer it without some
changes. Keys whose writers renew them, such as the records of servers, show
this by their silence. Comparing them finds a change whatever the watch does,
and costs nothing while the watch reports each renewal.
"""

import itertools
import random
import time
from collections.abc import Callable, Iterator, Sequence

import gevent
from loguru import logger
from result import Err

from mulberrywharf import metrics, supervised_task
from mulberrywharf.platform_service import key_value, watch
from mulberrywharf.platform_service.key_value_types import Guard

SILENCE_LIMIT_S = 1.6
"""Keys are compared if they were not reported for so long. Servers renew their
records every 1.2 s and a watch collects changes for up to half a second; that a
server leaves must be known within 2 s."""

CHECK_INTERVAL_S = 0.15

COMPARED_LIMIT_COUNT = 64
"""If more keys are silent, all are read instead, in fewer calls."""

_RETRY_DELAY_S = (0.25, 0.65)
"""Range of the delay after a call that failed."""

_comparisons = metrics.counter(
    "mulberry_silent_keys_compared_total",
    "Comparisons of keys that a watch did not report, by purpose and result.",
)


class SilentKeys:
    """Keys that a watch has reported, and when each was last confirmed."""

    def __init__(
        self,
        client: key_value.KeyValueClient,
        watched: Callable[[], watch.Watch | None],
        is_relevant: Callable[[str], bool],
        *,
        purpose: str,
    ):
        """Creates it without keys; ``start`` begins to compare.

        Args:
            client: Client of the key-value service.
            watched: Returns the watch of the keys.
            is_relevant: Whether a change of a key would matter.
            purpose: Call budget that is charged.
        """
        self._client = client
        self._watched = watched
        self._is_relevant = is_relevant
        self._purpose = purpose
        self._confirmed_s: dict[str, float] = {}
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts to compare silent keys."""
        self._task = supervised_task.spawn("silent-keys", self._run)

    def close(self) -> None:
        """Stops comparing."""
        if self._task is not None:
            self._task.kill()

    def note_written(self, key: str) -> None:
        """Notes that the watch reported a write of a key."""
        self._confirmed_s[key] = time.monotonic()

    def note_deleted(self, key: str) -> None:
        """Notes that the watch reported the end of a key."""
        self._confirmed_s.pop(key, None)

    def _run(self) -> None:
        while True:
            gevent.sleep(CHECK_INTERVAL_S)
            silent = self._silent_keys()
            if silent and not self._check(silent):
                gevent.sleep(random.uniform(*_RETRY_DELAY_S))

    def _silent_keys(self) -> list[str]:
        before_s = time.monotonic() - SILENCE_LIMIT_S
        return [
            key
            for key, confirmed_s in self._confirmed_s.items()
            if confirmed_s < before_s and self._is_relevant(key)
        ]

    def _check(self, keys: Sequence[str]) -> bool:
        """Compares keys with the service; tells whether it answered."""
        watched = self._watched()
        if watched is None or not watched.has_read_all:
            # All keys are about to be read.
            return True
        if len(keys) > COMPARED_LIMIT_COUNT:
            _comparisons.inc({"purpose": self._purpose, "result": "read-all"})
            watched.read_again_if_waiting()
            self._confirmed_s.update(dict.fromkeys(keys, time.monotonic()))
            return True
        return all(self._compare(watched, some) for some in _chunks(keys))

    def _compare(self, watched: watch.Watch, keys: Sequence[str]) -> bool:
        sent_s = time.monotonic()
        era = self._client.era
        expected = [Guard(key, watched.reported_revision(key)) for key in keys]
        compared = self._client.compare_revisions(
            expected, purpose=self._purpose
        )
        if isinstance(compared, Err):
            _comparisons.inc({"purpose": self._purpose, "result": "failed"})
            return False
        if self._client.era != era:
            # Revisions of different eras are not comparable; the watch reads
            # all keys again.
            return True
        changed = compared.ok_value
        for one in expected:
            if one.key not in changed:
                self._confirmed_s[one.key] = sent_s
            elif watched.take_compared(one, changed[one.key]):
                logger.bind(
                    key=one.key,
                    reported_revision=one.mod_revision,
                    watched_revision=watched.continues_at_revision,
                ).info("a change was found that the watch did not report")
        result = "changed" if changed else "unchanged"
        _comparisons.inc({"purpose": self._purpose, "result": result})
        return True


def _chunks(keys: Sequence[str]) -> Iterator[Sequence[str]]:
    size = key_value.COMPARE_LIMIT_COUNT
    for first in itertools.count(0, size):
        if first >= len(keys):
            return
        yield keys[first : first + size]
