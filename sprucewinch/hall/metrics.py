"""Metrics of one daemon: counters, and histograms of latency and headroom.

`Metrics` owns every counter that the operators' port reports and limits the size of each table. It
relies on `hdrh` for histograms. Callers pass in durations, so nothing here reads a clock.
"""

from collections import Counter
from collections.abc import Iterable
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

_MIN_HISTOGRAM_VALUE = 1
"""Lowest value of a histogram, in microseconds or steps of headroom. HDR histograms start at 1."""

_MAX_LATENCY_US = 3_600_000_000
"""Highest latency that a histogram holds, in microseconds: one hour."""

_HISTOGRAM_DIGITS = 2
"""Significant decimal digits that a histogram keeps, so that a value is off by at most 1%."""

_QUANTILES_PERCENT = (50.0, 99.0, 99.9)
"""Quantiles in a report, in percent: the usual ones for service levels."""

_MAX_REFUSALS = 5000
"""Most pairs of label and reason that are counted, to limit memory; the oldest is dropped first."""

_MAX_LABELS = 200
"""Most labels with a histogram; the oldest is dropped first. Without a limit the table would grow
with each change of the configuration."""

SMOOTHING_S = 3.0
"""Time constant of smoothed rates, in seconds."""

_US_PER_S = 1e6
"""Microseconds in a second."""

_US_PER_MS = 1000.0
"""Microseconds in a millisecond."""

_HEADROOM_STEPS = 1000
"""Histogram steps of headroom. Histograms hold integers, so headroom is recorded in steps of
0.1%."""

_DRAIN_DIGITS = 3
"""Decimal digits of a drain's duration in a report, which is in seconds: to the millisecond."""


class Label(NamedTuple):
    """The label of a metric.

    Args:
        service: Service.
        hall: Data hall that ran the request.
        policy: Policy in force, with a digest of its program; `none` for an unknown service.
    """

    service: str
    hall: str
    policy: str


class RateMeter:
    """An exponentially smoothed rate, in requests a second.

    Args:
        smooth_s: Time constant, in seconds.
    """

    __slots__ = ("count", "per_s", "smooth_s")

    def __init__(self, *, smooth_s: float = SMOOTHING_S) -> None:
        self.smooth_s = smooth_s
        self.count = 0
        self.per_s = 0.0

    def tick(self, elapsed_s: float) -> None:
        """Update the rate with the count since the last tick, and reset the count.

        Args:
            elapsed_s: Time since the last tick, in seconds. Unless it is above 0, nothing happens.
        """
        if elapsed_s <= 0:
            return
        weight = min(1.0, elapsed_s / self.smooth_s)
        self.per_s += weight * (self.count / elapsed_s - self.per_s)
        self.count = 0


class Metrics:
    """All metrics of one daemon.

    Every part of the daemon may change `counters`; the methods fill the other tables.
    """

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()
        self.refusals: Counter[tuple[Label, str]] = Counter()
        self.latency: dict[Label, HdrHistogram] = {}
        self.headroom: dict[Label, HdrHistogram] = {}
        self.drains: dict[str, float] = {}

    def answered(self, label: Label, seconds: float) -> None:
        """Record a complete answer and its latency, in seconds."""
        self.counters["answered"] += 1
        _histogram_of(self.latency, label).record_value(
            max(_MIN_HISTOGRAM_VALUE, int(seconds * _US_PER_S))
        )

    def refused(self, label: Label, reason: str) -> None:
        """Count a refusal."""
        self.refusals[(label, reason)] += 1
        if len(self.refusals) > _MAX_REFUSALS:
            del self.refusals[next(iter(self.refusals))]

    def record_headroom(self, label: Label, headroom: float) -> None:
        """Record the free fraction of the usable slots, in `[0, 1]`."""
        _histogram_of(self.headroom, label).record_value(
            max(_MIN_HISTOGRAM_VALUE, int(headroom * _HEADROOM_STEPS))
        )

    def drained(self, key: str, seconds: float) -> None:
        """Record the duration of a drain, from the change to the last request, in seconds."""
        self.drains[key] = seconds

    def report(self) -> dict[str, Any]:
        """Return all metrics as plain values: latency in milliseconds and drains in seconds."""
        return {
            "counters": dict(self.counters),
            "refusals": [
                {**label._asdict(), "reason": reason, "count": count}
                for (label, reason), count in sorted(self.refusals.items())
            ],
            "latency_ms": [
                {**label._asdict(), **_quantiles(histogram, _US_PER_MS)}
                for label, histogram in sorted(self.latency.items())
            ],
            "headroom": [
                {**label._asdict(), "least": histogram.get_min_value() / _HEADROOM_STEPS}
                for label, histogram in sorted(self.headroom.items())
            ],
            "drains": [
                {"thing": key, "seconds": round(seconds, _DRAIN_DIGITS)}
                for key, seconds in sorted(self.drains.items())
            ],
        }


def _histogram_of(histograms: dict[Label, HdrHistogram], label: Label) -> HdrHistogram:
    histogram = histograms.get(label)
    if histogram is None:
        if len(histograms) >= _MAX_LABELS:
            del histograms[next(iter(histograms))]
        histogram = histograms[label] = HdrHistogram(
            _MIN_HISTOGRAM_VALUE, _MAX_LATENCY_US, _HISTOGRAM_DIGITS
        )
    return histogram


def _quantiles(histogram: HdrHistogram, unit: float) -> dict[str, float]:
    values = {
        f"p{quantile:g}": histogram.get_value_at_percentile(quantile) / unit
        for quantile in _QUANTILES_PERCENT
    }
    return {"count": histogram.get_total_count(), **values}


def merge_reports(reports: Iterable[dict[str, Any]]) -> dict[str, Any]:
    """Merge the reports of several daemons; quantiles are not merged but listed for each daemon.

    Args:
        reports: Results of `Metrics.report`.

    Returns:
        The sums of the counters, and all rows of refusals, latency, headroom and drains.
    """
    counters: Counter[str] = Counter()
    rows: dict[str, list] = {"refusals": [], "latency_ms": [], "headroom": [], "drains": []}
    for report in reports:
        counters.update(report["counters"])
        for name, listed in rows.items():
            listed.extend(report[name])
    return {"counters": dict(counters), **rows}
