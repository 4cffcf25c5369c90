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
        metrics: Takes the duration of each finished drain.
        log: Called with a line for each finished drain.
    """

    def __init__(self, metrics: Metrics, log: LineLog) -> None:
        self.metrics = metrics
        self.log = log
        self.started: dict[str, float] = {}

    def update(self, held: Mapping[str, int], now: float) -> None:
        """Record drains that started, finished or were cancelled.

        Args:
            held: Number of requests that still run on each draining hall or server, by drain key.
            now: Monotonic time, in seconds.
        """
        for key, requests in held.items():
            started = self.started.setdefault(key, now)
            if requests == 0 and key not in self.metrics.drains:
                self.metrics.drained(key, now - started)
                self.log(f"event=drained thing={key} seconds={now - started:.3f}")
        for key in self.started.keys() - held.keys():
            del self.started[key]
            self.metrics.drains.pop(key, None)
