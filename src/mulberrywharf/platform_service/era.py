"""Which history of the key-value service an answer belongs to.

A service that comes back from an older copy loses what it has acknowledged
since, and gives the same revisions out again: by revisions alone a node would
go on in a history that it never saw. Where the service tells an era, which
rises each time, each answer shows it.
"""

from collections.abc import Callable

from loguru import logger

from mulberrywharf import metrics

NO_ERA = 0
"""Of a service that tells none, and never goes back."""

_restores = metrics.counter(
    "mulberry_store_restores_total",
    "Times that the key-value service was seen to be back from an older copy.",
)


class ServiceEra:
    """The newest era that this process has seen.

    Attributes:
        current: The era.
    """

    def __init__(self) -> None:
        self.current = NO_ERA
        self._is_first = True
        self._callbacks: list[Callable[[], None]] = []
        self._warned: set[str] = set()

    def on_restored(self, callback: Callable[[], None]) -> None:
        """Calls back once for each later era, as soon as an answer shows it."""
        self._callbacks.append(callback)

    def forget(self, callback: Callable[[], None]) -> None:
        """Takes a callback back; one that is not known is no failure."""
        if callback in self._callbacks:
            self._callbacks.remove(callback)

    def note(self, told: str | None) -> bool:
        """Takes in what an answer tells.

        Args:
            told: Its era, None if it tells none.

        Returns:
            Whether the answer is of the newest era. One that tells none, or
            nothing that can be read, is taken for it.
        """
        is_first, self._is_first = self._is_first, False
        if told is None:
            if self.current != NO_ERA:
                self._warn_once("missing", "an answer tells no era")
            return True
        if not (told.isascii() and told.isdecimal()):
            self._warn_once("unreadable", f"an answer tells the era {told!r}")
            return True
        era = int(told)
        if era < self.current:
            self._warn_once("older", f"an answer is of era {era}, now past")
            return False
        if is_first:
            # No restore: nothing was known before.
            self.current = era
        elif era > self.current:
            self._begin(era)
        return True

    def _begin(self, era: int) -> None:
        before, self.current = self.current, era
        self._warned.discard("older")
        _restores.inc({})
        logger.bind(
            era=era, before_era=before, dropped_count=len(self._callbacks)
        ).warning("the store is back from an older copy: all is read anew")
        for callback in list(self._callbacks):
            callback()

    def _warn_once(self, reason: str, message: str) -> None:
        if reason not in self._warned:
            self._warned.add(reason)
            logger.bind(era=self.current).warning("{}", message)
