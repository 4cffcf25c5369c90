"""The usual load of a service's servers for each slot, from their recent reports.

A report on a server's load is outdated after about a second. In a large fleet this VM knows no
newer one of most servers, and an estimate that faded to nothing would take them all for idle. The
estimate of `load` therefore fades to what recent reports of the service's other servers say: the
mean of the requests held for each slot, in which a report's weight halves every
`_REPORT_HALF_LIFE_S`. Without `_MIN_WEIGHT` of recent reports nothing is known, and the estimate
fades to this VM's own requests as it does for servers that state no pace.

Only reports with a pace are recorded (`load_reports`), so that a deployment whose servers state
none is served as before. Busy servers answer more often, so the mean is rather too high than too
low. Times are monotonic, in seconds. Owns the mean of each service; relies on no other module.
Shows in `load` of `/state`. Tests: `test_gateway_usual_load`.
"""

from typing import Optional

_REPORT_HALF_LIFE_S = 2.0
"""Half-life of a report's weight, in seconds: long enough for the reports of many servers, and
short enough to follow a wave of callers."""

_MIN_WEIGHT = 2.0
"""Sum of weights that is needed: two reports of this moment, or more that are older."""


class UsualLoad:
    """The usual load for each slot of one service's servers."""

    __slots__ = ("_at", "_computed_at", "_per_slot", "_sum", "_weight")

    def __init__(self) -> None:
        self._sum = 0.0
        self._weight = 0.0
        self._at = float("-inf")
        self._per_slot = 0.0
        self._computed_at: Optional[float] = None

    def record(self, held: int, slots: int, at: float) -> None:
        """Record a report on a server.

        Args:
            held: Requests that the server held, running and waiting.
            slots: Requests that it works on at once.
            at: Monotonic time of the report, in seconds.
        """
        if at > self._at:
            decay = self._decay(at)
            self._sum *= decay
            self._weight *= decay
            self._at = at
        weight = 0.5 ** ((self._at - at) / _REPORT_HALF_LIFE_S)
        self._computed_at = None
        self._sum += weight * held / max(1, slots)
        self._weight += weight

    def per_slot(self, now: float) -> float:
        """Return the usual requests held for each slot; 0 if too little is known.

        Args:
            now: Monotonic time, in seconds.
        """
        if now != self._computed_at:
            known = self._weight * self._decay(now) >= _MIN_WEIGHT
            self._per_slot = self._sum / self._weight if known else 0.0
            self._computed_at = now
        return self._per_slot

    def _decay(self, now: float) -> float:
        return 0.5 ** (max(0.0, now - self._at) / _REPORT_HALF_LIFE_S)
