"""Failures to fetch something from a peer, counted and now and then written as a line.

Owns how often the event `delta-failed` is written; the metric `deltas_failed` counts all. Relies on
nothing but the event log.
"""

from collections.abc import Callable

from ..events import EventLog

_FAILURE_LINE_S = 5.0
"""Shortest time between two lines on failed fetches, in seconds."""


class FetchFailures:
    """Takes the failures of all fetches of this VM.

    Args:
        events: Takes counts and lines.
        monotonic: Source of time, in seconds.
    """

    def __init__(self, events: EventLog, monotonic: Callable[[], float]) -> None:
        self.events = events
        self.monotonic = monotonic
        self._written_at = float("-inf")

    def record(self, address: str, problem: str) -> None:
        """Count a failure, and write it unless another was written a moment ago.

        Args:
            address: `IP:PORT` of the peer.
            problem: What went wrong and what to look at.
        """
        self.events.count("deltas_failed")
        now = self.monotonic()
        if now - self._written_at >= _FAILURE_LINE_S:
            self._written_at = now
            self.events.state("delta-failed", peer=address, problem=problem)
