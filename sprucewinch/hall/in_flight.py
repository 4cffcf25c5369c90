"""Counts the requests that are in flight at this VM.

`InFlight` owns the number; every `enter` must be followed by a `leave`. The callers' interface and
the server for other entry VMs count their requests here. The node reports the number to other VMs,
and the daemon waits for zero before it stops. The module relies on nothing.
"""


class InFlight:
    """The number of requests from callers and other entry VMs that are in flight.

    Attributes:
        count: Requests that have begun and not ended.
    """

    __slots__ = ("count",)

    def __init__(self) -> None:
        self.count = 0

    def enter(self) -> None:
        """Count a request that begins; `leave` must follow, also after an error."""
        self.count += 1

    def leave(self) -> None:
        """Stop counting a request that has ended."""
        self.count -= 1
