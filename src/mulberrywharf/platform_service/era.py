"""Detects restores of the key-value service by the era in its responses.

A service that is restored from an older copy loses the writes that it
acknowledged since, and assigns the same revisions again. A node that compares
only revisions would not notice and would miss changes. A service may therefore
send an era with each response, a number that increases with each restore.
"""

from collections.abc import Callable

from loguru import logger

from mulberrywharf import metrics, stated_numbers

NO_ERA = 0
"""Era of a service that sends none; it is assumed never to be restored."""

_restores = metrics.counter(
    "mulberry_store_restores_total",
    "Times that the key-value service was seen to be back from an older copy.",
)


class ServiceEra:
    """The newest era that this process has seen.

    Attributes:
        current: The newest era, or ``NO_ERA``.
    """

    def __init__(self) -> None:
        self.current = NO_ERA
        self._is_first = True
        self._callbacks: list[Callable[[], None]] = []
        self._warned: set[str] = set()

    def on_restored(self, callback: Callable[[], None]) -> None:
        """Registers a callback that runs once for each newer era seen."""
        self._callbacks.append(callback)

    def remove_callback(self, callback: Callable[[], None]) -> None:
        """Removes a callback; it is no error if it is not registered."""
        if callback in self._callbacks:
            self._callbacks.remove(callback)

    def observe(self, era_text: str | None) -> bool:
        """Processes the era in a response and detects restores.

        Args:
            era_text: Value of the era header, None if it is absent.

        Returns:
            False if the response is from an older era. A response with no era
            or a malformed one counts as current.
        """
        is_first, self._is_first = self._is_first, False
        if era_text is None:
            if self.current != NO_ERA:
                self._warn_once("missing", "an answer tells no era")
            return True
        era = stated_numbers.from_digits(era_text)
        if era is None:
            self._warn_once(
                "unreadable", f"an answer tells the era {era_text!r:.40}"
            )
            return True
        if era < self.current:
            self._warn_once("older", f"an answer is of era {era}, now past")
            return False
        if is_first:
            # The first response is no restore, as no era was known before.
            self.current = era
        elif era > self.current:
            self._advance_to(era)
        return True

    def _advance_to(self, era: int) -> None:
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
