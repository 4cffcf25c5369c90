"""When a backend server rests after failures, and when it counts as silent.

Question: does the server currently fail or not answer? Inputs: failures and answers of requests
that this VM sent, the start of its oldest request in flight, what requests took there of late, and
monotonic time; all in seconds.

Rules. A server that could not be reached, or broke off, rests for `_FIRST_PAUSE_S`, twice as long
after each further failure, at most `_MOST_PAUSE_S`; an answer ends the rest. A server is silent
while it holds a request and has answered none for longer than `_SILENT_S` and `_SILENT_LATENCIES`
times its usual time. Silence is judged by the server's answers, not by the age of one request, so
that a slow server that goes on answering is not left out.

Shows in: the event `server-rests`; `paused` of a VM's state. Tests:
`test_gateway_server_selection.SilentServers`. Owns the failures in a row; relies on nothing.
"""

from typing import Optional

_FIRST_PAUSE_S = 0.5
"""Rest after a first failure, in seconds."""

_MOST_PAUSE_S = 4.0
"""Longest rest after failures, in seconds."""

_SILENT_S = 0.4
"""Least time without any answer after which a server with requests counts as silent, in seconds."""

_SILENT_LATENCIES = 3.0
"""The same as a multiple of the server's recent mean time of a request."""


class Rest:
    """Until when one server gets no request, as it failed or did not run one."""

    __slots__ = ("failures", "until")

    def __init__(self) -> None:
        self.failures = 0
        self.until = float("-inf")

    def record_success(self) -> None:
        """End the rest: the server answers."""
        self.failures = 0
        self.until = float("-inf")

    def record_failure(self, now: float) -> None:
        """Start a rest, longer with each failure in a row.

        Args:
            now: Monotonic time, in seconds.
        """
        self.failures += 1
        self.until = now + min(_MOST_PAUSE_S, _FIRST_PAUSE_S * 2 ** (self.failures - 1))

    def extend(self, until: float) -> None:
        """Rest at least until some monotonic time, in seconds."""
        self.until = max(self.until, until)


def is_silent(
    oldest_start: float, answered_at: float, latency_s: Optional[float], now: float
) -> bool:
    """Return whether a server that holds requests has answered none for too long.

    Args:
        oldest_start: When the oldest request in flight was sent, in seconds.
        answered_at: When the server last answered, in seconds.
        latency_s: Recent mean time of a request there, in seconds; None when not known.
        now: Monotonic time, in seconds.
    """
    longest_s = max(_SILENT_S, _SILENT_LATENCIES * (latency_s or 0.0))
    return now - max(oldest_start, answered_at) > longest_s
