"""Notices that a caller has left while nothing is read from its connection.

A transport whose reading is paused does not notice the end of its connection, as unread bytes lie
before it; the kernel knows. Owns the interval of the checks. Relies on Linux's POLLRDHUP. Tests:
tests/test_pipelined_protocol.py.
"""

import asyncio
import select
from collections.abc import Callable
from typing import Optional

_POLL_INTERVAL_S = 0.2
"""Time between two checks, in seconds: work for a caller that has left should end within half a
second."""

_LEFT = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class DepartureWatch:
    """Checks at intervals whether a caller has left.

    Args:
        loop: The loop.
        transport: The connection.
        on_left: Called once, when the caller has left.
    """

    __slots__ = ("_timer", "loop", "on_left", "transport")

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        transport: asyncio.BaseTransport,
        on_left: Callable[[], None],
    ) -> None:
        self.loop = loop
        self.transport = transport
        self.on_left = on_left
        self._timer: Optional[asyncio.TimerHandle] = None

    def start(self) -> None:
        """Check now and at intervals, unless it does already."""
        if self._timer is None:
            self._check()

    def stop(self) -> None:
        """Check no more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        if _has_left(self.transport):
            self._timer = None
            self.on_left()
            return
        self._timer = self.loop.call_later(_POLL_INTERVAL_S, self._check)


def _has_left(transport: asyncio.BaseTransport) -> bool:
    """Return whether the other side has closed its connection; False where nobody can tell."""
    return bool(_events(transport, select.POLLRDHUP) & _LEFT)


def has_arrived(transport: asyncio.BaseTransport) -> bool:
    """Return whether bytes or the end of a connection wait in the kernel; False if unknown."""
    return bool(_events(transport, select.POLLIN))


def _events(transport: asyncio.BaseTransport, asked: int) -> int:
    """Return what is true of a connection's socket among the events asked for; 0 if unknown."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return 0
    poll = select.poll()
    poll.register(sock.fileno(), asked)
    return next((event for _, event in poll.poll(0)), 0)
