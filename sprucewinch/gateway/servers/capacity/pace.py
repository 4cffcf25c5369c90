"""How fast one backend server works at the moment, from what it states.

A server shares its host with others and may therefore work several times slower than usual for a
fraction of a second. It states its pace with each answer (`statements.load_report`), which shows
this sooner than the mean of its answer times. The newest statement counts, by the time at which the
server made it; it reaches this VM in an answer or in another VM's summary. As a pace lasts for
about `PACE_HALF_LIFE_S`, the estimate fades from the statement to the usual pace, 1.0, with that
half-life: a linear mean of both, which is what is expected of a pace that ends at a random moment.
Times are monotonic, in seconds.

Owns the pace of each server; relies on no other module. Shows as `pace` of a server in `/state`.
Tests: `test_gateway_pace`.
"""

from typing import Optional

PACE_HALF_LIFE_S = 0.6
"""Half-life of a stated pace, in seconds: about the time for which a pace lasts."""

USUAL_PACE = 1.0
"""Factor on the time of work at a server that works as fast as usual."""


class PaceEstimate:
    """An estimate of the pace of one server.

    Attributes:
        stated: The pace that counts; None if the server has stated none.
        stated_at: Monotonic time at which it was stated, in seconds.
    """

    __slots__ = ("stated", "stated_at")

    def __init__(self) -> None:
        self.stated: Optional[float] = None
        self.stated_at = float("-inf")

    def record(self, pace: Optional[float], at: float) -> None:
        """Record a statement, unless a newer one is known; one without a pace changes nothing.

        Of two statements of the same moment the slower one counts, so that the order in which they
        arrive does not matter.

        Args:
            pace: The stated pace; None if the server stated none.
            at: Monotonic time of the statement, in seconds.
        """
        if pace is None:
            return
        if self.stated is None or (at, pace) > (self.stated_at, self.stated):
            self.stated = pace
            self.stated_at = at

    def pace(self, now: float) -> float:
        """Return the expected pace now, as a factor on the usual time of work.

        Args:
            now: Monotonic time, in seconds.
        """
        if self.stated is None:
            return USUAL_PACE
        age_s = max(0.0, now - self.stated_at)
        return USUAL_PACE + (self.stated - USUAL_PACE) * 0.5 ** (age_s / PACE_HALF_LIFE_S)
