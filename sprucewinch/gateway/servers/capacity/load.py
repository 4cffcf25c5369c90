"""The load of one backend server, and how many requests this VM may have there at once.

The load is the number of requests that a server holds, those of other VMs included. The estimate
is this VM's own requests in flight plus the surplus that the server last stated. The surplus fades
with a half-life of `_LOAD_HALF_LIFE_S` to that of a usual server of the service (`usual_load`), or
to nothing where no usual load is known. A server states its running and waiting requests with each
answer; the figures reach this VM in an answer of its own, in another VM's overload report or in
another VM's summary. A summary tells when its figures were stated: the newest statement counts, and
this VM's own requests that began later are added to it, so that VMs which are told of the same free
server do not each take it for free again after a request of their own.

The concurrency limit is how many requests this VM may have at the server at once. It follows
additive increase, multiplicative decrease (AIMD) between 1 and the server's slots: an answer that
shows an overload decreases it, at most once in `_DECREASE_PAUSE_S`, and any other stated load
increases it. AIMD is used because the VMs of a fleet share a server without asking each other: each
decreases its limit by the same factor and increases it by the same amount, which brings their
limits closer to each other. Times are monotonic, in seconds.

Owns the estimate and the limit of each server; relies on no other module. Results show as `load`
and `window` under `blocked` of the event `request`. Tests:
`test_gateway_server_selection.Overload`.
"""

_LOAD_HALF_LIFE_S = 0.6
"""Half-life of the stated surplus in the estimate, in seconds."""

_DECREASE_FACTOR = 0.7
"""Factor by which an overload decreases the limit."""

_DECREASE_PAUSE_S = 0.2
"""Shortest time between two decreases, in seconds: answers that arrive together show one
overload."""

_INCREASE_STEP = 0.5
"""Requests by which the limit grows during about as many answers as it allows requests."""

_MIN_LIMIT = 1.0
"""Lower bound of the limit, in requests: below it, this VM would send the server nothing and no
longer learn its load."""


class LoadEstimate:
    """An estimate of how many requests one server holds."""

    __slots__ = ("others", "recorded_at")

    def __init__(self) -> None:
        self.others = 0.0
        self.recorded_at = float("-inf")

    def record(self, held: int, in_flight: int, now: float) -> None:
        """Record a load that the server stated to this VM or to another one.

        Args:
            held: Requests that run or wait there.
            in_flight: This VM's requests in flight there.
            now: Monotonic time, in seconds.
        """
        self.others = max(0.0, held - in_flight)
        self.recorded_at = now

    def record_told(self, held: int, own: int, at: float) -> bool:
        """Record a load that the server stated to another VM, unless a newer one is known.

        Of two statements of the same moment the higher one counts, so that the order in which they
        arrive does not matter.

        Args:
            held: Requests that ran or waited there.
            own: This VM's requests that were in flight there at that time.
            at: Monotonic time of the statement, in seconds.

        Returns:
            True if it counts.
        """
        others = max(0.0, held - own)
        if (at, others) <= (self.recorded_at, self.others):
            return False
        self.others = others
        self.recorded_at = at
        return True

    def load(self, in_flight: int, now: float, usual: float = 0.0) -> float:
        """Return the estimated load now, in requests.

        Args:
            in_flight: This VM's requests in flight there.
            now: Monotonic time, in seconds.
            usual: Usual load of a server with these slots, in requests; 0 if not known.
        """
        age_s = max(0.0, now - self.recorded_at)
        weight = 0.5 ** (age_s / _LOAD_HALF_LIFE_S)
        usual_others = max(0.0, usual - in_flight)
        return in_flight + usual_others + (self.others - usual_others) * weight


class ConcurrencyLimit:
    """How many requests this VM may have at one server at once.

    Args:
        slots: Requests that the server works on at once, which is the initial limit.
    """

    __slots__ = ("decreased_at", "value")

    def __init__(self, slots: int) -> None:
        self.value = float(slots)
        self.decreased_at = float("-inf")

    def increase(self, slots: int) -> None:
        """Increase the limit, up to the server's slots."""
        self.value = min(float(slots), self.value + _INCREASE_STEP / self.value)

    def decrease(self, now: float) -> None:
        """Decrease the limit, as too many requests of all VMs together wait there.

        Args:
            now: Monotonic time, in seconds.
        """
        if now - self.decreased_at >= _DECREASE_PAUSE_S:
            self.decreased_at = now
            self.value = max(_MIN_LIMIT, self.value * _DECREASE_FACTOR)
