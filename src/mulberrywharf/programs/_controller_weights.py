"""Permissions of the weight store, asked for before an engine is drained.

Drained first, the engine would stand idle for as long as the store's queue
lasts.
"""

import gevent
from loguru import logger
from result import Err

from mulberrywharf.platform_service import weight_store

_ASK_TIMEOUT_S = 600.0


class WeightLoads:
    """Which engines may load what; asks without holding up the rounds."""

    def __init__(self, client: weight_store.WeightStoreClient | None):
        self._client = client
        self._allowed: set[weight_store.LoadRequest] = set()
        self._asking: dict[weight_store.LoadRequest, gevent.Greenlet] = {}

    def start(self) -> None:
        """Opens nothing before the first load."""
        if self._client is not None:
            self._client.start()

    def close(self) -> None:
        """Stops asking and closes the connection to the store."""
        gevent.killall(list(self._asking.values()))
        if self._client is not None:
            self._client.close()

    def may_load(self, request: weight_store.LoadRequest) -> bool:
        """Tells whether the load is allowed; asks the store if it isn't.

        Args:
            request: Which engine loads what.
        """
        if self._client is None or request in self._allowed:
            return True
        if request not in self._asking:
            self._asking[request] = gevent.spawn(self._ask, request)
        return False

    def used(self, engine_id: str) -> None:
        """Forgets the engine's permissions once its load is ordered."""
        self._allowed = {r for r in self._allowed if r.engine_id != engine_id}

    def _ask(self, request: weight_store.LoadRequest) -> None:
        assert self._client is not None
        try:
            answer = self._client.ask(request, timeout_s=_ASK_TIMEOUT_S)
            if isinstance(answer, Err):
                logger.warning("weight store: {}", answer.err_value.message)
                return
            self._allowed.add(request)
        finally:
            self._asking.pop(request, None)
