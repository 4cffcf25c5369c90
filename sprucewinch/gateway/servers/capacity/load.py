"""The load of one backend server, and how many requests this VM may have there at once.

Questions: how many requests does the server hold now, those of other VMs included; how many may
this VM have there? Inputs: the counts of running and waiting requests that the server states with
each answer (here or, in an overload report, at another VM), this VM's own requests in flight, and
monotonic time in seconds.

Rules. Estimate: own requests in flight, plus what the server last stated beyond them, which halves
every `_LOAD_HALF_LIFE_S`. Limit: additive increase, multiplicative decrease (AIMD) between 1 and
the server's slots; it shrinks when the server is overloaded, at most once in `_SHRINK_PAUSE_S`, and
grows with each load figure that shows no overload. AIMD, as the VMs of a fleet share a server
without asking each other: each shrinks its limit by the same factor and grows it by the same
amount, which brings their limits closer to each other.

Shows in: `load` and `window` under `blocked` of the event `request`. Tests:
`test_gateway_server_selection.Overload`. Owns two figures for each server; relies on nothing.
"""

_LOAD_HALF_LIFE_S = 0.6
"""Half-life of a stated load in the estimate, in seconds."""

_SHRINK = 0.7
"""Factor on the limit at an overload."""

_SHRINK_PAUSE_S = 0.2
"""Least time between two decreases, in seconds: answers that come together show one overload."""

_GROWTH = 0.5
"""Requests by which the limit grows in about as many answers as it allows requests."""

_LEAST_LIMIT = 1.0
"""Least limit, in requests: with less, this VM would send the server nothing and get no load
figure of it any more."""


class LoadEstimate:
    """How many requests one server holds."""

    __slots__ = ("others", "recorded_at")

    def __init__(self) -> None:
        self.others = 0.0
        self.recorded_at = float("-inf")

    def record(self, held: int, in_flight: int, now: float) -> None:
        """Keep a load that the server stated, here or to another VM.

        Args:
            held: Requests that run or wait there.
            in_flight: This VM's requests among them.
            now: Monotonic time, in seconds.
        """
        self.others = max(0.0, held - in_flight)
        self.recorded_at = now

    def load(self, in_flight: int, now: float) -> float:
        """Return the requests that it probably holds now, in requests."""
        age = max(0.0, now - self.recorded_at)
        return in_flight + self.others * 0.5 ** (age / _LOAD_HALF_LIFE_S)


class ConcurrencyLimit:
    """How many requests this VM may have at one server at once.

    Args:
        slots: Requests that the server works on at once; the limit starts there.
    """

    __slots__ = ("shrunk_at", "value")

    def __init__(self, slots: int) -> None:
        self.value = float(slots)
        self.shrunk_at = float("-inf")

    def increase(self, slots: int) -> None:
        """Allow a little more, up to the server's slots."""
        self.value = min(float(slots), self.value + _GROWTH / self.value)

    def decrease(self, now: float) -> None:
        """Allow less, as too many requests of all VMs together wait there.

        Args:
            now: Monotonic time, in seconds.
        """
        if now - self.shrunk_at >= _SHRINK_PAUSE_S:
            self.shrunk_at = now
            self.value = max(_LEAST_LIMIT, self.value * _SHRINK)
