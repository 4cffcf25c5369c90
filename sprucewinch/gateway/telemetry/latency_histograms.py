"""Time from a request's arrival to its answer, as a histogram for each route.

Owns the histograms and their lines on `/metrics`. Relies on `hdrh`.
"""

from hdrh.histogram import HdrHistogram

_US_PER_S = 1e6
"""Microseconds in a second; the histograms count in microseconds."""

_US_PER_MS = 1000
"""Microseconds in a millisecond; lines are in milliseconds."""

_HIGHEST_US = 600_000_000
"""Longest time that a histogram holds: ten minutes, in microseconds.

Twice the longest wait that a caller may ask for (`MAX_WAIT_S` in `requests.outcome.hold_time`).
"""

_DIGITS = 2
"""Significant digits that a histogram keeps."""

_QUANTILES = (50, 90, 99)
"""Percentiles that are shown; others read them by these numbers."""


class LatencyHistograms:
    """One histogram for each route that has had an answer."""

    def __init__(self) -> None:
        self.by_route: dict[str, HdrHistogram] = {}

    def observe(self, route: str, seconds: float) -> None:
        """Count one answer.

        Args:
            route: Name of the route.
            seconds: Time from the request's arrival to its answer.
        """
        histogram = self.by_route.get(route)
        if histogram is None:
            histogram = self.by_route[route] = HdrHistogram(1, _HIGHEST_US, _DIGITS)
        histogram.record_value(max(1, int(seconds * _US_PER_S)))

    def lines(self) -> list[str]:
        """Return the quantiles of all routes as lines of name and value, in milliseconds."""
        lines = []
        for route, histogram in sorted(self.by_route.items()):
            for quantile in _QUANTILES:
                value = histogram.get_value_at_percentile(quantile) / _US_PER_MS
                lines.append(f'latency_ms{{route="{route}",quantile="{quantile}"}} {value:g}')
        return lines
