"""A clock that tests set by hand."""

from sprucewinch.clock import Clock


class ManualClock(Clock):
    """A clock that advances only when a test sets `now`.

    Args:
        start: Initial reading of the monotonic and the wall clock, in seconds.
    """

    def __init__(self, start: float = 1000.0) -> None:
        self.now = start

    def monotonic(self) -> float:
        """Return the reading, in seconds."""
        return self.now

    def wall(self) -> float:
        """Return the reading, in seconds."""
        return self.now
