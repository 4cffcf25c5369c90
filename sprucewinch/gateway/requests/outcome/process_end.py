"""Decides whether a request may still be sent when this process is about to end.

Owns the times of a stop, as monotonic times in seconds; `lifecycle.shutdown` sets them. Until a
signal to stop arrives nothing is refused. From then on a request is sent if its hold time ends
before the process does. Any other may be broken off while its server works on it. That is accepted
only for one that was whole by `late_from`, whose caller may not know of the stop yet, and unless
less time is left than any answer of its service takes: then it is known not to be served.

A request may wait long between its head and the first byte that is sent: for its body, its turn, a
quota, room, a connection or an earlier attempt. Therefore whoever sends a request asks right before
that byte (`requests.sender`, `relay.relay`); the earlier questions, at its head and at each start
of the pipeline, only refuse sooner.

The inputs are the request's `whole_at` and the end of its hold time. The result is the `outcome`
`stopping`. The event `request-stopped` reports each request that a stop refuses or breaks off, the
counters are `requests_refused_by_stop` and `requests_broken_off_by_stop`. Tests:
tests/test_gateway_process_end.py, tests/test_gateway_stop_losses.py.
"""

import enum
import math
from typing import Optional

from ..client_request import ClientRequest


class StopOutcome(enum.Enum):
    """What a stop did to a request; the value is `end` in its event."""

    REFUSED = "refused"
    """It has not run and never will."""
    BROKEN_OFF = "broken-off"
    """It may have run, or run on; its caller got no answer of its server."""


class ProcessEnd:
    """The end of this process.

    Attributes:
        signalled_at: When the signal to stop came; None until then.
        begun_at: When the stop began, as soon as the event loop was free; None until then.
        late_from: A request that is not whole before then must end before the process.
        ends_at: Until then requests are served; then those in flight are broken off.
    """

    __slots__ = ("begun_at", "ends_at", "late_from", "signalled_at")

    def __init__(self) -> None:
        self.signalled_at: Optional[float] = None
        self.begun_at: Optional[float] = None
        self.late_from = math.inf
        self.ends_at = math.inf

    def begin(self, signalled_at: float, now: float, *, late_from: float, ends_at: float) -> None:
        """Record that the stop begins.

        Args:
            signalled_at: When the signal came.
            now: The current time.
            late_from: See `ProcessEnd`.
            ends_at: See `ProcessEnd`.
        """
        self.signalled_at, self.begun_at = signalled_at, now
        self.late_from, self.ends_at = late_from, ends_at

    def may_send(
        self, request: ClientRequest, held_until: float, now: float, shortest_s: float = 0.0
    ) -> bool:
        """Return whether a request may be sent now.

        Args:
            request: The request.
            held_until: End of its hold time.
            now: The current time.
            shortest_s: Shortest recent latency of its service, in seconds; 0 when not known.
        """
        if held_until <= self.ends_at:
            return True
        whole_at = now if request.whole_at is None else request.whole_at
        return whole_at < self.late_from and now + shortest_s <= self.ends_at

    def since_signal_s(self, at: Optional[float]) -> Optional[float]:
        """Return a time as seconds since the signal; None for a time that has not come."""
        if at is None or self.signalled_at is None:
            return None
        return at - self.signalled_at
