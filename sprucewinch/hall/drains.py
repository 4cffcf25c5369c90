"""Duration of drains: from the change until the last request on the drained target has ended.

`DrainTimer` owns the start time of each drain that this VM sees. The caller passes in the numbers
of requests that still run; each drain is reported once, to the metrics and to the log.
"""

from collections.abc import Mapping

from .metrics import Metrics
from .own_entry import LineLog


class DrainTimer:
    """Measures the drains of this VM's hall and its servers.

    Args:
        metrics: Records the duration of each finished drain.
        log: Called with a line for each finished drain.
    """

    def __init__(self, metrics: Metrics, log: LineLog) -> None:
        self.metrics = metrics
        self.log = log
        self.started_at: dict[str, float] = {}

    def update(self, draining_requests: Mapping[str, int], now: float) -> None:
        """Record drains that started, finished or were cancelled.

        Args:
            draining_requests: Requests that still run on each draining hall and server, keyed by
                drain key.
            now: Monotonic time, in seconds.
        """
        for key, requests in draining_requests.items():
            started_at = self.started_at.setdefault(key, now)
            if requests == 0 and key not in self.metrics.drains:
                self.metrics.drained(key, now - started_at)
                self.log(f"event=drained thing={key} seconds={now - started_at:.3f}")
        for key in self.started_at.keys() - draining_requests.keys():
            del self.started_at[key]
            self.metrics.drains.pop(key, None)
