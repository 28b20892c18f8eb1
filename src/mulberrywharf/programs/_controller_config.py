"""Keeps the configuration of an active controller up to date."""

from loguru import logger
from result import Err

from mulberrywharf import clock as clocks
from mulberrywharf.platform_service import (
    config_follower,
    configuration,
    key_value,
)
from mulberrywharf.programs import _controller_lease

_REFRESH_INTERVAL_S = 3.0


class ConfigRefresh:
    """Polls the configuration in addition to the watch.

    A network fault that drops packets without closing the connection leaves
    the watch open but silent. A controller that won the lease after such a
    fault applied rules that had been replaced half a minute before, until the
    watch was reopened. Only active controllers poll, one in each zone.
    """

    def __init__(
        self,
        key_value_client: key_value.KeyValueClient,
        follower: config_follower.ConfigFollower,
        clock: clocks.Clock,
        deployment: str,
    ):
        self._key_value = key_value_client
        self._follower = follower
        self._clock = clock
        self._key = configuration.config_key(deployment)
        self._held: _controller_lease.HeldLease | None = None
        self._last_read_s = 0.0

    def refresh(self, held: _controller_lease.HeldLease) -> bool:
        """Reads the configuration if a read is due.

        Args:
            held: The lease that the caller holds.

        Returns:
            False if no read has succeeded since this lease was acquired.
        """
        now_s = self._clock.monotonic_s()
        if (
            self._held is held
            and now_s < self._last_read_s + _REFRESH_INTERVAL_S
        ):
            return True
        found = self._key_value.get(self._key, purpose=config_follower.PURPOSE)
        if isinstance(found, Err):
            return self._held is held
        self._held = held
        self._last_read_s = now_s
        if found.ok_value is not None:
            offered = self._follower.apply_if_newer(found.ok_value.value)
            if isinstance(offered, Err):
                logger.warning("configuration: {}", offered.err_value.message)
        return True
