"""Metrics of a process, safe to use from several threads."""

import threading
from collections.abc import Mapping, Sequence

from aioprometheus import Counter, Gauge, Histogram, Registry, render

LATENCY_BUCKETS_SECONDS = (
    0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.4, 5.0, 10.0, 60.0, 600.0,
)  # fmt: skip


class Metrics:
    """Registry of counters, gauges and histograms, each created at its first use.

    aioprometheus is not thread-safe, so every access holds one lock.

    Example:
        >>> metrics = Metrics()
        >>> metrics.increment("requests", "Requests answered.", {"team": "a"})
        >>> b'requests{team="a"} 1' in metrics.render()[0]
        True
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._registry = Registry()
        self._collectors_by_name: dict[str, Counter | Gauge | Histogram] = {}

    def increment(
        self, name: str, doc: str, labels: Mapping[str, str], amount: float = 1
    ) -> None:
        """Add ``amount`` to a counter."""
        with self._lock:
            self._get_or_create(Counter, name, doc).add(dict(labels), amount)

    def set(self, name: str, doc: str, labels: Mapping[str, str], value: float) -> None:
        """Set a gauge."""
        with self._lock:
            self._get_or_create(Gauge, name, doc).set(dict(labels), value)

    def observe(
        self,
        name: str,
        doc: str,
        labels: Mapping[str, str],
        value: float,
        buckets: Sequence[float] = LATENCY_BUCKETS_SECONDS,
    ) -> None:
        """Add ``value`` to a histogram."""
        with self._lock:
            collector = self._get_or_create(Histogram, name, doc, buckets=list(buckets))
            collector.observe(dict(labels), value)

    def render(self) -> tuple[bytes, str]:
        """Return the exposition text and its content type."""
        with self._lock:
            content, headers = render(self._registry, ["text/plain"])
        return content, headers.get("Content-Type", "text/plain")

    def _get_or_create(self, kind, name, doc, **options):
        collector = self._collectors_by_name.get(name)
        if collector is None:
            collector = kind(name, doc, registry=self._registry, **options)
            self._collectors_by_name[name] = collector
        return collector
