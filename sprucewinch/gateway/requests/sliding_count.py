"""Counts events over a sliding window of time.

The counter uses buckets, so its memory depends on the window's length and not on the number of
events. It relies on no other module and reads no clock: callers pass the monotonic time in seconds.
"""

from collections import deque

BUCKET_S = 0.25
"""Default length of a bucket; an event counts for up to this much longer than the window."""


class SlidingCount:
    """Counts events within a sliding window, in small buckets.

    Args:
        window_s: Length of the window, in seconds.
        bucket_s: Length of a bucket, in seconds; an event counts for up to this much longer.
    """

    __slots__ = ("_buckets", "bucket_s", "total", "window_s")

    def __init__(self, window_s: float, *, bucket_s: float = BUCKET_S) -> None:
        self.window_s = window_s
        self.bucket_s = bucket_s
        self.total = 0
        self._buckets: deque[list[float]] = deque()

    def resize(self, window_s: float) -> None:
        """Change the window's length; events that were dropped before are not restored.

        Args:
            window_s: Length of the window, in seconds.
        """
        self.window_s = window_s

    def add(self, now: float) -> None:
        """Count one event."""
        start = now - now % self.bucket_s
        if not self._buckets or self._buckets[-1][0] != start:
            self._buckets.append([start, 0])
        self._buckets[-1][1] += 1
        self.total += 1

    def count(self, now: float) -> int:
        """Return the number of events in the window that ends now."""
        while self._buckets and self._buckets[0][0] + self.bucket_s <= now - self.window_s:
            self.total -= int(self._buckets.popleft()[1])
        return self.total
