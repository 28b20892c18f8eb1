"""Determines which engines are drained by the controllers' orders."""

from collections.abc import Callable

from loguru import logger
from result import Err

from mulberrywharf.authority import order_records
from mulberrywharf.platform_service import key_value, watch

PURPOSE = "orders-watch"


class DrainWatch:
    """Watches the order records of every availability zone.

    While the key-value service is unavailable, the last known records apply:
    a drained engine stays drained, which costs capacity but interrupts no
    request.
    """

    def __init__(
        self,
        client: key_value.KeyValueClient,
        deployment: str,
        on_change: Callable[[frozenset[str]], None],
    ):
        self._client = client
        self._prefix = f"/mulberry/{deployment}/orders/"
        self._on_change = on_change
        self._drained_by_key: dict[str, frozenset[str]] = {}
        self._watch: watch.Watch | None = None

    def start(self) -> None:
        """Starts the watch."""
        self._watch = self._client.watch(
            self._prefix, self._on_event, purpose=PURPOSE
        )

    def close(self) -> None:
        """Ends the watch."""
        if self._watch is not None:
            self._watch.close()

    def _on_event(self, event: key_value.WatchEvent) -> None:
        key = event.key_value.key
        if event.kind == "delete":
            self._drained_by_key.pop(key, None)
        else:
            decoded = order_records.decode(event.key_value.value)
            if isinstance(decoded, Err):
                logger.error("{}: {}", key, decoded.err_value)
                return
            drained = decoded.ok_value.drained_engine_ids()
            self._drained_by_key[key] = drained
        self._on_change(frozenset().union(*self._drained_by_key.values()))
