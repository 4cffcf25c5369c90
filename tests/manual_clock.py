"""A clock for tests."""

from sprucewinch.clock import Clock


class ManualClock(Clock):
    """A clock that stands still until a test sets `now`.

    Args:
        start: First reading of both clocks, in seconds.
    """

    def __init__(self, start: float = 1000.0) -> None:
        self.now = start

    def monotonic(self) -> float:
        """Return the reading, in seconds."""
        return self.now

    def wall(self) -> float:
        """Return the reading, in seconds."""
        return self.now
