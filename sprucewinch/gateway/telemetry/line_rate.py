"""Limits the rate of lines in the decision log.

`LineRate` decides whether a line is written, or dropped and counted, when more happens than a log
can take. It is a token bucket and relies on nothing; the time is passed to each call. Its inputs
are the monotonic time in seconds and whether the line is a plain one, which means that the first
backend server answered the request.

The bucket holds `_MAX_BURST_LINES` lines and gains `_LINES_PER_S`. Each line takes one token. A
plain line is written only while more than half of the bucket is left, so that refusals, retries and
changes of state still have room when plain answers fill the log. Sampling by request would not do,
as it drops lines even when there is room for all of them.

The constants are `_LINES_PER_S`, `_MAX_BURST_LINES` and `_PLAIN_RESERVE_LINES`. The counter
`lines_dropped` on `/metrics` counts the dropped lines. Tests: `test_gateway_decision_log`.
"""

_LINES_PER_S = 150.0
"""Sustained rate of lines, in lines a second."""

_MAX_BURST_LINES = 300.0
"""Largest burst of lines: the sustained rate for two seconds."""

_PLAIN_RESERVE_LINES = _MAX_BURST_LINES / 2
"""Tokens that a plain line must leave in the bucket."""


class LineRate:
    """A token bucket for lines.

    Args:
        now: Monotonic time, in seconds; the bucket starts full.
    """

    __slots__ = ("_refilled_at", "_tokens")

    def __init__(self, now: float) -> None:
        self._tokens = _MAX_BURST_LINES
        self._refilled_at = now

    def admits(self, now: float, *, plain: bool) -> bool:
        """Take one token; returns False if the line must be dropped.

        Args:
            now: Monotonic time, in seconds.
            plain: True for the line of a request that the first backend server answered.
        """
        gained = (now - self._refilled_at) * _LINES_PER_S
        self._tokens = min(_MAX_BURST_LINES, self._tokens + gained)
        self._refilled_at = now
        reserve = _PLAIN_RESERVE_LINES if plain else 0.0
        if self._tokens < reserve + 1:
            return False
        self._tokens -= 1
        return True
