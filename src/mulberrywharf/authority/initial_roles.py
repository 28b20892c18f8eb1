"""Remembers which share of a service's engines prefilled at first.

Engines that are ordered start in the decode role, and those that go may include
the prefill engines. The share that the operators chose would get lost with
them.
"""

from collections.abc import Sequence

from mulberrywharf import fleet

SETTLE_TIME_S = 1.0
"""The share is taken once the engines have been the same for this long. Records
of a fleet that starts come one by one, within a heartbeat."""


class InitialPrefillShares:
    """The share of prefill engines in the first full view, by service."""

    def __init__(self) -> None:
        self._shares: dict[str, float] = {}
        self._seen: dict[str, tuple[frozenset[fleet.ServerStart], float]] = {}

    def note(
        self, service: str, engines: Sequence[fleet.Server], now_s: float
    ) -> None:
        """Notes the engines of a service, unless its share is known.

        Args:
            service: Name of the service.
            engines: All its engines.
            now_s: The current time.
        """
        if service in self._shares or not engines:
            return
        starts = frozenset(one.start for one in engines)
        known, since_s = self._seen.get(service, (None, now_s))
        if known != starts:
            self._seen[service] = starts, now_s
        elif now_s - since_s >= SETTLE_TIME_S:
            prefill_count = sum(one.role == "prefill" for one in engines)
            self._shares[service] = prefill_count / len(engines)
            del self._seen[service]

    def share(self, service: str) -> float | None:
        """Returns the share, None while it is unknown."""
        return self._shares.get(service)
