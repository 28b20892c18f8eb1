"""Obtains the weight store's permissions to load models.

The permission is requested before the engine is drained. Otherwise the drained
engine would be idle while the request waits in the store's queue.
"""

import gevent
from loguru import logger
from result import Err

from mulberrywharf.platform_service import weight_store

_PERMISSION_TIMEOUT_S = 600.0


class LoadPermissions:
    """Permissions to load, requested without blocking the rounds."""

    def __init__(self, client: weight_store.WeightStoreClient | None):
        self._client = client
        self._allowed: set[weight_store.LoadRequest] = set()
        self._pending: dict[weight_store.LoadRequest, gevent.Greenlet] = {}

    def start(self) -> None:
        """Starts the client; it connects at the first load."""
        if self._client is not None:
            self._client.start()

    def close(self) -> None:
        """Cancels pending requests and closes the connection to the store."""
        gevent.killall(list(self._pending.values()))
        if self._client is not None:
            self._client.close()

    def may_load(self, request: weight_store.LoadRequest) -> bool:
        """Tells whether the load is permitted; if not, asks the store.

        Args:
            request: The engine and what it loads.
        """
        if self._client is None or request in self._allowed:
            return True
        if request not in self._pending:
            self._pending[request] = gevent.spawn(
                self._request_permission, request
            )
        return False

    def forget(self, engine_id: str) -> None:
        """Discards the engine's permissions, after its load was ordered."""
        self._allowed = {r for r in self._allowed if r.engine_id != engine_id}

    def _request_permission(self, request: weight_store.LoadRequest) -> None:
        assert self._client is not None
        try:
            answer = self._client.ask(request, timeout_s=_PERMISSION_TIMEOUT_S)
            if isinstance(answer, Err):
                logger.warning("weight store: {}", answer.err_value.message)
                return
            self._allowed.add(request)
        finally:
            self._pending.pop(request, None)
