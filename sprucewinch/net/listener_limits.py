"""Limits of a listener on what its callers send, and how long they may take.

Owns the type only. `http_server` and `_pipelined_protocol` enforce the limits; `gateway.listeners`
changes them with the configuration. Sizes are in bytes, times in seconds.
"""

from typing import Optional

_IDLE_TIMEOUT_S = 30.0
"""Time that a connection may stay idle, unless the listener states another, in seconds."""


class ListenerLimits:
    """Limits of one listener; `change` replaces some of them while it runs.

    Args:
        header_bytes: Maximum size of a request's target and headers, in bytes.
        connections: Maximum number of open connections.
        requests: Maximum number of requests in flight.
        header_s: Timeout of a request's headers, in seconds; None for no timeout.
        idle_s: Time without a byte after which a connection ends, between requests or within a
            body, in seconds.
        body_bytes: Maximum size of a body that is read to its end although its request is answered,
            in bytes; None for no limit.
    """

    __slots__ = ("body_bytes", "connections", "header_bytes", "header_s", "idle_s", "requests")

    def __init__(
        self,
        header_bytes: int,
        connections: int,
        requests: int,
        header_s: Optional[float] = None,
        *,
        idle_s: float = _IDLE_TIMEOUT_S,
        body_bytes: Optional[int] = None,
    ) -> None:
        self.header_bytes = header_bytes
        self.connections = connections
        self.requests = requests
        self.header_s = header_s
        self.idle_s = idle_s
        self.body_bytes = body_bytes

    def change(
        self,
        *,
        header_bytes: int,
        header_s: Optional[float],
        idle_s: float = _IDLE_TIMEOUT_S,
        body_bytes: Optional[int] = None,
    ) -> None:
        """Replace the limits on what callers send; they apply also to what is being read.

        Args:
            header_bytes: See the class.
            header_s: See the class.
            idle_s: See the class.
            body_bytes: See the class.
        """
        self.header_bytes = header_bytes
        self.header_s = header_s
        self.idle_s = idle_s
        self.body_bytes = body_bytes
