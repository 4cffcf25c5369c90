"""Holds back failures without an answer until it is known that this VM's links work.

A VM that loses its links sees failures at all servers before it knows the cause. If it counted and
reported each at once, all other VMs would eject servers that are well. A failure is counted
`_HOLD_S` later, with its own time, unless the links were lost since its attempt began.

Owns the failures that wait. Relies on `server_links` for the links and on `outliers` for the
samples. `lifecycle.upkeep` calls `release`. Dropped failures are counted in `failures_not_counted`.
Tests: `test_gateway_server_links`.
"""

from collections import deque
from typing import NamedTuple

from ...events import EventLog
from ..backend_server import BackendServer
from ..outliers import OutlierDetector
from .server_links import ServerLinks

_HOLD_S = 0.4
"""Time for which a failure is held back, in seconds; until the end of a check that runs then."""


class _Held(NamedTuple):
    """One failure.

    Args:
        server: The server.
        since: Monotonic time at which the attempt began, in seconds.
        at: Monotonic time of the failure, in seconds.
        late: True if the request timed out.
    """

    server: BackendServer
    since: float
    at: float
    late: bool


class HeldFailures:
    """Failures that are not counted yet, in the order of their times.

    Args:
        links: State of this VM's links.
        outliers: Counts the failures.
        events: Counts those that are dropped.
    """

    def __init__(self, links: ServerLinks, outliers: OutlierDetector, events: EventLog) -> None:
        self.links = links
        self.outliers = outliers
        self.events = events
        self._held: deque[_Held] = deque()

    def add(self, server: BackendServer, since: float, at: float, *, late: bool) -> None:
        """Hold a failure back.

        Args:
            server: The server.
            since: Monotonic time at which the attempt began, in seconds.
            at: Monotonic time of the failure, in seconds.
            late: True if the request timed out.
        """
        self._held.append(_Held(server, since, at, late))

    def release(self, now: float) -> None:
        """Count the failures that have waited, or drop them if the links were lost."""
        while self._held and now - self._held[0].at >= _HOLD_S and not self.links.checking:
            held = self._held.popleft()
            if self.links.lost_since(held.since):
                self.events.count("failures_not_counted")
            else:
                self.outliers.record_failure(held.server, held.at, late=held.late)
