"""Histograms of the time from a request's arrival to its answer, one for each route.

Owns the histograms and their lines on `/metrics`. A route's histogram is dropped when the
configuration no longer has the route (`state.named_state`); one that returns begins anew. Relies on
`sparse_histogram`. Tests: `test_gateway_latency_histograms`.
"""

from collections.abc import Iterator

from .sparse_histogram import SparseHistogram

_US_PER_S = 1e6
"""Microseconds in a second; the histograms count in microseconds."""

_US_PER_MS = 1000
"""Microseconds in a millisecond; the lines on `/metrics` are in milliseconds."""

_PERCENTILES = (50, 90, 99)
"""Percentiles on `/metrics`; monitoring reads them by these numbers."""


class LatencyHistograms:
    """Latency histograms of all routes that have answered a request."""

    def __init__(self) -> None:
        self.by_route: dict[str, SparseHistogram] = {}

    def observe(self, route: str, seconds: float) -> None:
        """Record the latency of one answer.

        Args:
            route: Name of the route.
            seconds: Time from the request's arrival to its answer.
        """
        histogram = self.by_route.get(route)
        if histogram is None:
            histogram = self.by_route[route] = SparseHistogram()
        histogram.record(max(1, int(seconds * _US_PER_S)))

    def parts(self) -> Iterator[str]:
        """Yield the lines of one route after the other: name and value, in milliseconds."""
        for route, histogram in sorted(self.by_route.items()):
            values_us = histogram.percentiles(_PERCENTILES)
            yield "".join(
                f'latency_ms{{route="{route}",quantile="{percentile}"}} {value_us / _US_PER_MS:g}\n'
                for percentile, value_us in zip(_PERCENTILES, values_us, strict=True)
            )
