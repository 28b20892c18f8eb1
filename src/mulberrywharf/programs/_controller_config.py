"""Makes sure that an active controller obeys the newest configuration."""

from loguru import logger
from result import Err

from mulberrywharf import clock as clocks
from mulberrywharf.platform_service import (
    config_follower,
    configuration,
    key_value,
)
from mulberrywharf.programs import _controller_lease

_REFRESH_S = 3.0


class ConfigRefresh:
    """Reads the configuration itself now and then, beside the watch.

    A cut that drops bytes without telling either side leaves the watch open
    and silent. A controller that won the lease after it went on ordering by
    rules that had been replaced half a minute before, until the watch was
    opened anew. Only active controllers read, one for each zone.
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
        self._read_s = 0.0

    def refresh(self, held: _controller_lease.HeldLease) -> bool:
        """Reads the configuration if it is time to.

        Args:
            held: The lease that the caller acts under.

        Returns:
            False while it could not be read since the lease was won.
        """
        now_s = self._clock.monotonic_s()
        if self._held is held and now_s < self._read_s + _REFRESH_S:
            return True
        found = self._key_value.get(self._key, purpose=config_follower.PURPOSE)
        if isinstance(found, Err):
            return self._held is held
        self._held = held
        self._read_s = now_s
        if found.ok_value is not None:
            taken = self._follower.offer(found.ok_value.value)
            if isinstance(taken, Err):
                logger.warning("configuration: {}", taken.err_value.message)
        return True
