"""Back-off after failures of a backend server, and when a server counts as silent.

Inputs are the failures and answers of requests that this VM sent, the start of its oldest request
in flight, the recent mean time of a request at the server, and monotonic time, all in seconds.

A server that could not be reached, or that broke off an exchange, gets no requests for
`_FIRST_BACKOFF_S`. The time doubles with each further failure up to `_MAX_BACKOFF_S`; an answer
ends it. A server is silent while it holds requests and has answered none for longer than both
`_MIN_SILENCE_S` and `_SILENCE_LATENCIES` times its mean time of a request. The time since its last
answer counts, not the age of one request, so that a slow server that keeps answering stays in use.

Owns the number of consecutive failures of each server; relies on no other module. Results show in
the event `server-rests` and in `paused` of a VM's state. Tests:
`test_gateway_server_selection.SilentServers`.
"""

from typing import Optional

_FIRST_BACKOFF_S = 0.5
"""Back-off after a first failure, in seconds."""

_MAX_BACKOFF_S = 4.0
"""Longest back-off, in seconds."""

_MIN_SILENCE_S = 0.4
"""Least time without any answer after which a server with requests counts as silent, in seconds."""

_SILENCE_LATENCIES = 3.0
"""The same time as a multiple of the server's recent mean time of a request."""


class Backoff:
    """The back-off of one server, after it failed or did not run a request."""

    __slots__ = ("failures", "until")

    def __init__(self) -> None:
        self.failures = 0
        self.until = float("-inf")

    def record_success(self) -> None:
        """End the back-off: the server has answered."""
        self.failures = 0
        self.until = float("-inf")

    def record_failure(self, now: float) -> None:
        """Start a back-off, twice as long with each consecutive failure.

        Args:
            now: Monotonic time, in seconds.
        """
        self.failures += 1
        self.until = now + min(_MAX_BACKOFF_S, _FIRST_BACKOFF_S * 2 ** (self.failures - 1))

    def forget_failures(self) -> None:
        """End a back-off that failures started, as they were not the server's."""
        if self.failures:
            self.record_success()

    def extend(self, until: float) -> None:
        """Back off at least until some monotonic time, in seconds."""
        self.until = max(self.until, until)


def is_silent(
    oldest_start: float, answered_at: float, latency_s: Optional[float], now: float
) -> bool:
    """Return whether a server that holds requests has not answered for too long.

    Args:
        oldest_start: When the oldest request in flight was sent, in seconds.
        answered_at: When the server last answered, in seconds.
        latency_s: Recent mean time of a request there, in seconds; None when not known.
        now: Monotonic time, in seconds.
    """
    longest_s = max(_MIN_SILENCE_S, _SILENCE_LATENCIES * (latency_s or 0.0))
    return now - max(oldest_start, answered_at) > longest_s
