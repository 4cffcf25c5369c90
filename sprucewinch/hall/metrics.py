"""Measures of what happened: counters, and histograms of latency, headroom and drain time."""

from collections import Counter
from collections.abc import Iterable
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

_LOWEST = 1
_HIGHEST_US = 3_600_000_000
_DIGITS = 2
_QUANTILES = (50.0, 99.0, 99.9)
_MAX_REFUSALS = 5000
_MAX_LABELS = 200
"""Most labels with histograms; beyond it the oldest is dropped."""


class Label(NamedTuple):
    """What a measure is kept for.

    Args:
        service: Service.
        hall: Data hall that ran the request.
        policy: Policy in force, with a digest of its program.
    """

    service: str
    hall: str
    policy: str


class RateMeter:
    """Requests a second, smoothed over some seconds.

    Args:
        smooth_s: Time constant, in seconds.
    """

    __slots__ = ("count", "per_s", "smooth_s")

    def __init__(self, *, smooth_s: float = 3.0) -> None:
        self.smooth_s = smooth_s
        self.count = 0
        self.per_s = 0.0

    def tick(self, elapsed_s: float) -> None:
        """Fold in what was counted since the last tick."""
        if elapsed_s <= 0:
            return
        weight = min(1.0, elapsed_s / self.smooth_s)
        self.per_s += weight * (self.count / elapsed_s - self.per_s)
        self.count = 0


class Metrics:
    """All measures of one daemon."""

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()
        self.refusals: Counter[tuple[Label, str]] = Counter()
        self.latency: dict[Label, HdrHistogram] = {}
        self.headroom: dict[Label, HdrHistogram] = {}
        self.drains: dict[str, float] = {}

    def answered(self, label: Label, seconds: float) -> None:
        """Record a complete answer and how long it took, in seconds."""
        self.counters["answered"] += 1
        _of(self.latency, label).record_value(max(_LOWEST, int(seconds * 1e6)))

    def refused(self, label: Label, reason: str) -> None:
        """Count a refusal."""
        self.refusals[(label, reason)] += 1
        if len(self.refusals) > _MAX_REFUSALS:
            del self.refusals[next(iter(self.refusals))]

    def room(self, label: Label, headroom: float) -> None:
        """Record the free part of the usable slots, in `[0, 1]`."""
        _of(self.headroom, label).record_value(max(_LOWEST, int(headroom * 1000)))

    def drained(self, thing: str, seconds: float) -> None:
        """Record how long a drain took, from the change to the last request, in seconds."""
        self.drains[thing] = seconds

    def report(self) -> dict[str, Any]:
        """Return all measures as plain values; latency in milliseconds."""
        return {
            "counters": dict(self.counters),
            "refusals": [
                {**label._asdict(), "reason": reason, "count": count}
                for (label, reason), count in sorted(self.refusals.items())
            ],
            "latency_ms": [
                {**label._asdict(), **_quantiles(histogram, 1000.0)}
                for label, histogram in sorted(self.latency.items())
            ],
            "headroom": [
                {**label._asdict(), "least": histogram.get_min_value() / 1000.0}
                for label, histogram in sorted(self.headroom.items())
            ],
            "drains": [
                {"thing": thing, "seconds": round(seconds, 3)}
                for thing, seconds in sorted(self.drains.items())
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
