"""What is expected of one backend server at a moment, and the answer time that follows from it.

A request at a server first waits until one of its slots is free and then works for its usual time,
multiplied by the server's pace. The expected answer time is the sum of both. It compares servers
of one service with each other, and with the latency target of a route.

The value is computed by the part that knows the servers and used by placement and admission; both
compare answer times and never loads, as the same load means different waits at servers of different
pace. All times are in seconds. Tests: tests/test_gateway_estimates.py.
"""

import abc
from typing import NamedTuple

from ..resources import BackendEntry


class ServerEstimate(NamedTuple):
    """What is expected of one backend server now.

    Args:
        server_id: Id of the server.
        slots: Requests that it works on at once.
        held: Requests that it holds, running and waiting, from all VMs.
        pace: Factor on the usual time of work there, above 1 for a slow server.
        work_s: Usual time of this request's work at a server of usual pace, in seconds; 0 if not
            known. It is longer where the server does not keep the request's object warm.
        queued_work_s: Usual time of the work of the requests that it holds, in seconds each.
        warm: True if it is expected to keep the request's object warm.
        age_s: Age of the newest report on its load, in seconds; infinite without one.
    """

    server_id: str
    slots: int
    held: float
    pace: float
    work_s: float
    queued_work_s: float
    warm: bool
    age_s: float

    @property
    def wait_s(self) -> float:
        """Return the expected time until a slot is free for one more request, in seconds."""
        ahead = self.held + 1.0 - self.slots
        if ahead <= 0.0:
            return 0.0
        return ahead / max(1, self.slots) * self.queued_work_s * self.pace

    @property
    def answer_s(self) -> float:
        """Return the expected time until a request sent now is answered, in seconds."""
        return self.wait_s + self.work_s * self.pace

    @property
    def free_slots(self) -> float:
        """Return the number of slots that are expected to be free."""
        return max(0.0, self.slots - self.held)


class ServerEstimates(abc.ABC):
    """Estimates what backend servers can bear."""

    @abc.abstractmethod
    def estimate(self, backend: BackendEntry, route: str, key: str, now: float) -> ServerEstimate:
        """Return what is expected of a server for one request.

        Args:
            backend: The server's entry.
            route: Name of the request's route, which is its kind of work.
            key: Key of the request's object; empty if it has none.
            now: Monotonic time, in seconds.
        """
