"""Measures this router's request rates, by customer and by model."""

from typing import NamedTuple

from mulberrywharf.policy import shares

_TIME_CONSTANT_S = 10.0


class Rates(NamedTuple):
    """Request rates at one router, in requests per second.

    Attributes:
        customers: Rate of each customer; 0 for customers that are absent.
        models: Rate of each model; 0 for models that are absent.
    """

    customers: dict[str, float]
    models: dict[str, float]


class DemandRates:
    """Exponentially decaying averages of the request rates.

    Customers and models come from the configuration, so there are few. A rate
    that has decayed to zero is removed.
    """

    def __init__(self) -> None:
        self._customers: dict[str, shares.DemandMeter] = {}
        self._models: dict[str, shares.DemandMeter] = {}

    def count(self, customer: str, model: str, now_s: float) -> None:
        """Counts one request, whether it is refused or not.

        Args:
            customer: The customer that sent the request.
            model: The requested model, or empty for a plain service.
            now_s: Monotonic time.
        """
        _count_request(self._customers, customer, now_s)
        if model:
            _count_request(self._models, model, now_s)

    def read(self, now_s: float) -> Rates:
        """Returns the current averages."""
        return Rates(
            _read_rates(self._customers, now_s),
            _read_rates(self._models, now_s),
        )


def _count_request(
    meters: dict[str, shares.DemandMeter], name: str, now_s: float
) -> None:
    meter = meters.setdefault(name, shares.DemandMeter(now_s))
    meter.add(0.0, now_s, _TIME_CONSTANT_S)


def _read_rates(
    meters: dict[str, shares.DemandMeter], now_s: float
) -> dict[str, float]:
    rates = {}
    for name, meter in list(meters.items()):
        rate = meter.read(name, now_s, _TIME_CONSTANT_S).requests_per_s
        if rate > 0:
            rates[name] = rate
        else:
            del meters[name]
    return rates
