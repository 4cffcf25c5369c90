"""Rule: whether a line of the decision log is written, or dropped and counted.

Question: how many lines a process writes when more happens than a log can take. Owns a token
bucket. Relies on nothing; time comes with each call.

Inputs: monotonic time in seconds, and whether the line is a plain one: a request that its first
server answered.

Rule: a bucket holds `_BURST` lines and gains `_LINES_PER_S`. A line takes one; a plain one only
while more than half of the bucket is left, so that refusals, repeats and changes of state still
have room when plain answers fill the log. Sampling by request is ruled out: it drops lines when
there is room for all of them.

Constants: `_LINES_PER_S`, `_BURST`, `_PLAIN_RESERVE`. A dropped line shows in the counter
`lines_dropped` on `/metrics`. Tests: `test_gateway_decision_log`.
"""

_LINES_PER_S = 150.0
"""Lines a second that are written in the long run."""

_BURST = 300.0
"""Lines that may be written at once: two seconds' worth."""

_PLAIN_RESERVE = _BURST / 2
"""Lines that have to be left beside a plain one."""


class LineRate:
    """A token bucket for lines.

    Args:
        now: Monotonic time, in seconds; the bucket starts full.
    """

    __slots__ = ("_refilled_at", "_tokens")

    def __init__(self, now: float) -> None:
        self._tokens = _BURST
        self._refilled_at = now

    def admits(self, now: float, *, plain: bool) -> bool:
        """Take one line from the bucket; returns False when the line has to be dropped.

        Args:
            now: Monotonic time, in seconds.
            plain: True for the line of a request that its first server answered.
        """
        gained = (now - self._refilled_at) * _LINES_PER_S
        self._tokens = min(_BURST, self._tokens + gained)
        self._refilled_at = now
        reserve = _PLAIN_RESERVE if plain else 0.0
        if self._tokens < reserve + 1:
            return False
        self._tokens -= 1
        return True
