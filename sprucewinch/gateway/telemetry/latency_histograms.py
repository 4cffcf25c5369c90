"""Histograms of the time from a request's arrival to its answer, one for each route.

Owns the histograms and their lines on `/metrics`. Relies on `hdrh`.
"""

from hdrh.histogram import HdrHistogram

_US_PER_S = 1e6
"""Microseconds in a second; the histograms count in microseconds."""

_US_PER_MS = 1000
"""Microseconds in a millisecond; the lines on `/metrics` are in milliseconds."""

_MAX_LATENCY_US = 600_000_000
"""Largest latency that a histogram can record: ten minutes, in microseconds.

It is twice the longest wait that a caller may ask for (`MAX_WAIT_S` in
`requests.outcome.hold_time`).
"""

_SIGNIFICANT_DIGITS = 2
"""Decimal digits of precision of a histogram."""

_PERCENTILES = (50, 90, 99)
"""Percentiles on `/metrics`; monitoring reads them by these numbers."""


class LatencyHistograms:
    """Latency histograms of all routes that have answered a request."""

    def __init__(self) -> None:
        self.by_route: dict[str, HdrHistogram] = {}

    def observe(self, route: str, seconds: float) -> None:
        """Record the latency of one answer.

        Args:
            route: Name of the route.
            seconds: Time from the request's arrival to its answer.
        """
        histogram = self.by_route.get(route)
        if histogram is None:
            histogram = self.by_route[route] = HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
        histogram.record_value(max(1, int(seconds * _US_PER_S)))

    def lines(self) -> list[str]:
        """Return the percentiles of all routes as lines of name and value, in milliseconds."""
        lines = []
        for route, histogram in sorted(self.by_route.items()):
            for percentile in _PERCENTILES:
                value = histogram.get_value_at_percentile(percentile) / _US_PER_MS
                lines.append(f'latency_ms{{route="{route}",quantile="{percentile}"}} {value:g}')
        return lines
