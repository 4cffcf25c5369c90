"""Counts the requests that are in flight at this VM.

Owns the number and the rule that each request that enters also leaves. The callers' interface and
the server for other entry VMs count their requests here; the node shows the number to other VMs,
and the daemon waits for zero before it stops. Relies on nothing.
"""


class InFlight:
    """The number of requests of callers and of other entry VMs that are under way.

    Attributes:
        count: Requests that have entered and not left.
    """

    __slots__ = ("count",)

    def __init__(self) -> None:
        self.count = 0

    def enter(self) -> None:
        """Count a request that begins; `leave` must follow, also after an error."""
        self.count += 1

    def leave(self) -> None:
        """Subtract a request that has ended."""
        self.count -= 1
