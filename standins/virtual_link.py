"""Network links of limited bandwidth for VMs on the virtual loop.

Decides how long bytes take through a VM's link, one piece after the other in each direction.
`virtual` asks for each piece; the module relies on nothing else. A test sets `current_link` to the
link of the VM that its tasks stand for, and the connections of those tasks then use that link.
"""

from contextvars import ContextVar
from typing import Optional

_BITS_PER_BYTE = 8

_BITS_PER_MBIT = 1_000_000


class LinkDirection:
    """One direction of a link.

    Args:
        bytes_per_s: Bandwidth, in bytes a second.
    """

    __slots__ = ("bytes_per_s", "free_at", "passed")

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.free_at = float("-inf")
        self.passed = 0

    def pass_through(self, size: int, now: float) -> float:
        """Queue some bytes behind earlier ones and return the time at which they have passed.

        Args:
            size: Number of bytes.
            now: Time at which they arrive, in seconds.
        """
        self.passed += size
        self.free_at = max(now, self.free_at) + size / self.bytes_per_s
        return self.free_at


class Link:
    """A VM's network link, with the same bandwidth in both directions.

    Args:
        mbps: Bandwidth of each direction, in Mbit/s.
    """

    __slots__ = ("down", "up")

    def __init__(self, mbps: float) -> None:
        bytes_per_s = mbps * _BITS_PER_MBIT / _BITS_PER_BYTE
        self.up = LinkDirection(bytes_per_s)
        self.down = LinkDirection(bytes_per_s)


current_link: ContextVar[Optional[Link]] = ContextVar("current_link", default=None)
"""Link of the VM that the running task stands for; None for unlimited bandwidth."""
