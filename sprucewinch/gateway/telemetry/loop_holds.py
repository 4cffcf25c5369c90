"""How long single steps hold the event loop, and how late the loop is.

While one step runs, no request goes on. `LoopHolds` keeps the longest time of each measured step
and the lateness of the regular tick, which includes what no step measures. The steps are those
whose work grows with the configuration, the servers or the VMs: applying changes of the store
(`store-changes`), rendering the metrics and the state (`metrics`, `state`), encoding changes for
other VMs (`delta`) and the upkeep (`tick`, `sweep`).

Inputs are times in seconds. Shows as `loop_hold_max_ms`, `loop_holds_long` and `loop_late_ms` on
`/metrics`; `decision_log` writes the event `loop-hold` for a long one. Tests:
`test_gateway_loop_holds`.
"""

from collections import Counter

from .sparse_histogram import SparseHistogram

LONG_HOLD_S = 0.1
"""Time from which a hold counts as long and is logged, in seconds: well below the half second after
which an answer to a request that has timed out is late."""

_US_PER_S = 1e6
_US_PER_MS = 1000
_MS_PER_S = 1000

_PERCENTILES = (50, 99, 100)
"""Percentiles of the lateness on `/metrics`; monitoring reads them by these numbers."""


class LoopHolds:
    """Longest holds by step, and the lateness of the loop."""

    __slots__ = ("late", "long", "longest_s")

    def __init__(self) -> None:
        self.longest_s: dict[str, float] = {}
        self.long: Counter[str] = Counter()
        self.late = SparseHistogram()

    def record(self, step: str, seconds: float) -> bool:
        """Record a step's time in seconds; returns True if it is a long hold."""
        self.longest_s[step] = max(seconds, self.longest_s.get(step, 0.0))
        is_long = seconds >= LONG_HOLD_S
        self.long[step] += is_long
        return is_long

    def record_late(self, seconds: float) -> None:
        """Record by how much the regular tick is late, in seconds."""
        self.late.record(max(0, int(seconds * _US_PER_S)))

    def gauges(self) -> dict[str, float]:
        """Return the gauges by name."""
        late_us = self.late.percentiles(_PERCENTILES)
        return {
            **{f'loop_hold_max_ms{{step="{n}"}}': s * _MS_PER_S for n, s in self.longest_s.items()},
            **{f'loop_holds_long{{step="{n}"}}': count for n, count in self.long.items()},
            **{
                f'loop_late_ms{{quantile="{percentile}"}}': value_us / _US_PER_MS
                for percentile, value_us in zip(_PERCENTILES, late_us, strict=True)
            },
        }
