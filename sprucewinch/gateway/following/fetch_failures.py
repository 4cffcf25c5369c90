"""Counts failed fetches from peers and logs them at a limited rate.

The metric `deltas_failed` counts all of them; the event `delta-failed` is logged at most once per
`_FAILURE_LOG_INTERVAL_S`. Relies only on the event log.
"""

from collections.abc import Callable

from ..events import EventLog

_FAILURE_LOG_INTERVAL_S = 5.0
"""Shortest time between two `delta-failed` events, in seconds."""


class FetchFailures:
    """Records the failures of all fetches of this VM.

    Args:
        events: Receives counts and events.
        monotonic: Source of time, in seconds.
    """

    def __init__(self, events: EventLog, monotonic: Callable[[], float]) -> None:
        self.events = events
        self.monotonic = monotonic
        self._logged_at = float("-inf")

    def record(self, address: str, problem: str) -> None:
        """Count a failure, and log it unless one was logged within `_FAILURE_LOG_INTERVAL_S`.

        Args:
            address: `IP:PORT` of the peer.
            problem: Reason and remedy.
        """
        self.events.count("deltas_failed")
        now = self.monotonic()
        if now - self._logged_at >= _FAILURE_LOG_INTERVAL_S:
            self._logged_at = now
            self.events.state("delta-failed", peer=address, problem=problem)
