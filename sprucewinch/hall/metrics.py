"""Metrics of one daemon: counters, and histograms of latency and headroom.

Owns every counter that the operators' port reports and bounds the size of each table. Relies on
`hdrh` for histograms; callers pass durations, so nothing here reads a clock.
"""

from collections import Counter
from collections.abc import Iterable
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

_LOWEST = 1
"""Lowest value of a histogram, in microseconds or thousandths; HDR histograms start at 1."""

_HIGHEST_US = 3_600_000_000
"""Highest latency that a histogram holds, in microseconds: an hour."""

_DIGITS = 2
"""Significant decimal digits that a histogram keeps, so that a value is off by at most 1%."""

_QUANTILES = (50.0, 99.0, 99.9)
"""Quantiles in a report, in percent: those usual for service levels."""

_MAX_REFUSALS = 5000
"""Most pairs of label and reason that are counted; beyond it the oldest is dropped. A bound on
memory."""

_MAX_LABELS = 200
"""Most labels with histograms; beyond it the oldest is dropped. Without a bound the table grows
with each change."""

SMOOTHING_S = 3.0
"""Time constant of a smoothed rate, in seconds."""

_US_PER_S = 1e6
"""Microseconds in a second."""

_US_PER_MS = 1000.0
"""Microseconds in a millisecond."""

_HEADROOM_SCALE = 1000
"""Headroom is kept in thousandths, since histograms hold whole numbers: one step is 0.1%."""

_DRAIN_DIGITS = 3
"""Decimal digits of a drain's seconds in a report: milliseconds."""


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
        """Add the count since the last tick to the rate, and start a new count.

        Args:
            elapsed_s: Time since the last tick, in seconds; nothing happens unless it is above 0.
        """
        if elapsed_s <= 0:
            return
        weight = min(1.0, elapsed_s / self.smooth_s)
        self.per_s += weight * (self.count / elapsed_s - self.per_s)
        self.count = 0


class Metrics:
    """All metrics of one daemon.

    `counters` is open to every part of the daemon; the other tables are filled by the methods.
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
        _of(self.latency, label).record_value(max(_LOWEST, int(seconds * _US_PER_S)))

    def refused(self, label: Label, reason: str) -> None:
        """Count a refusal."""
        self.refusals[(label, reason)] += 1
        if len(self.refusals) > _MAX_REFUSALS:
            del self.refusals[next(iter(self.refusals))]

    def room(self, label: Label, headroom: float) -> None:
        """Record the free part of the usable slots, in `[0, 1]`."""
        _of(self.headroom, label).record_value(max(_LOWEST, int(headroom * _HEADROOM_SCALE)))

    def drained(self, key: str, seconds: float) -> None:
        """Record the duration of a drain, from the change to the last request, in seconds."""
        self.drains[key] = seconds

    def report(self) -> dict[str, Any]:
        """Return all metrics as plain values; latency in milliseconds, drains in seconds."""
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
                {**label._asdict(), "least": histogram.get_min_value() / _HEADROOM_SCALE}
                for label, histogram in sorted(self.headroom.items())
            ],
            "drains": [
                {"thing": key, "seconds": round(seconds, _DRAIN_DIGITS)}
                for key, seconds in sorted(self.drains.items())
            ],
        }


def _of(histograms: dict[Label, HdrHistogram], label: Label) -> HdrHistogram:
    histogram = histograms.get(label)
    if histogram is None:
        if len(histograms) >= _MAX_LABELS:
            del histograms[next(iter(histograms))]
        histogram = histograms[label] = HdrHistogram(_LOWEST, _HIGHEST_US, _DIGITS)
    return histogram


def _quantiles(histogram: HdrHistogram, scale: float) -> dict[str, float]:
    values = {
        f"p{quantile:g}": histogram.get_value_at_percentile(quantile) / scale
        for quantile in _QUANTILES
    }
    return {"count": histogram.get_total_count(), **values}


def merge_reports(reports: Iterable[dict[str, Any]]) -> dict[str, Any]:
    """Merge the reports of several daemons; quantiles stay those of single daemons.

    Args:
        reports: Results of `Metrics.report`.

    Returns:
        Counters added up; rows of refusals, latency, headroom and drains listed.
    """
    counters: Counter[str] = Counter()
    rows: dict[str, list] = {"refusals": [], "latency_ms": [], "headroom": [], "drains": []}
    for report in reports:
        counters.update(report["counters"])
        for name, listed in rows.items():
            listed.extend(report[name])
    return {"counters": dict(counters), **rows}
