"""Links of limited width for machines on the virtual loop.

Owns how long bytes take through a machine's link, one piece after the other in each direction.
Relies on nothing; `virtual` asks it for each piece. A test names the link of the machine that its
tasks stand for in `current_link`, which their connections then use.
"""

from contextvars import ContextVar
from typing import Optional

_BITS_PER_BYTE = 8
"""Bits in a byte."""

_BITS_PER_MBIT = 1_000_000
"""Bits in a megabit."""


class Lane:
    """One direction of a link.

    Args:
        bytes_per_s: Its width, in bytes a second.
    """

    __slots__ = ("bytes_per_s", "free_at", "passed")

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.free_at = float("-inf")
        self.passed = 0

    def pass_through(self, size: int, now: float) -> float:
        """Return the time at which some bytes have passed, behind those that came before.

        Args:
            size: Number of bytes.
            now: Time at which they arrive, in seconds.
        """
        self.passed += size
        self.free_at = max(now, self.free_at) + size / self.bytes_per_s
        return self.free_at


class Link:
    """A machine's link, as wide up as down.

    Args:
        mbps: Its width, in Mbit/s.
    """

    __slots__ = ("down", "up")

    def __init__(self, mbps: float) -> None:
        bytes_per_s = mbps * _BITS_PER_MBIT / _BITS_PER_BYTE
        self.up = Lane(bytes_per_s)
        self.down = Lane(bytes_per_s)


current_link: ContextVar[Optional[Link]] = ContextVar("current_link", default=None)
"""Link of the machine that the running task stands for; None for one without a limit."""
