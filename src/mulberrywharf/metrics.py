"""Metrics of the process in the Prometheus text format.

The collectors and the renderer of aioprometheus need no asyncio event loop,
so gevent's WSGI server can use them directly.
"""

from collections.abc import Mapping

from aioprometheus import REGISTRY, Counter, Gauge, Histogram, render

__all__ = [
    "Counter",
    "Gauge",
    "Histogram",
    "counter",
    "gauge",
    "histogram",
    "render_text",
]

_ACCEPT_TEXT = ["text/plain"]

_counters: dict[str, Counter] = {}
_gauges: dict[str, Gauge] = {}
_histograms: dict[str, Histogram] = {}


def counter(name: str, doc: str) -> Counter:
    """Returns the counter with this name, created on first use.

    Args:
        name: Metric name; ends in ``_total``.
        doc: Help text of the metric, one line.
    """
    if name not in _counters:
        _counters[name] = Counter(name, doc)
    return _counters[name]


def gauge(name: str, doc: str) -> Gauge:
    """Returns the gauge with this name, created on first use."""
    if name not in _gauges:
        _gauges[name] = Gauge(name, doc)
    return _gauges[name]


def histogram(name: str, doc: str) -> Histogram:
    """Returns the histogram with this name, created on first use.

    Args:
        name: Metric name; ends in ``_seconds``.
        doc: Help text of the metric, one line.
    """
    if name not in _histograms:
        _histograms[name] = Histogram(name, doc)
    return _histograms[name]


def render_text() -> tuple[bytes, Mapping[str, str]]:
    """Renders all metrics.

    Returns:
        The body and the HTTP headers of the response.
    """
    return render(REGISTRY, _ACCEPT_TEXT)
