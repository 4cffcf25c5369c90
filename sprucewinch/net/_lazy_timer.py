"""A timer whose deadline moves often, mostly to a later time.

Owns the timer of the loop, which is set again only when the deadline becomes earlier or has not
been reached when it fires: a connection moves its deadline with each request, and nearly none is
ever reached.
"""

import asyncio
from collections.abc import Callable
from typing import Optional

_RESOLUTION_S = 0.001
"""Resolution of the loop's timers, in seconds."""


class LazyTimer:
    """Calls back once its deadline has passed.

    Args:
        loop: The loop.
        on_deadline: Called at the deadline, which is then none.
    """

    __slots__ = ("_deadline", "_handle", "_handle_at", "loop", "on_deadline")

    def __init__(self, loop: asyncio.AbstractEventLoop, on_deadline: Callable[[], None]) -> None:
        self.loop = loop
        self.on_deadline = on_deadline
        self._deadline: Optional[float] = None
        self._handle: Optional[asyncio.TimerHandle] = None
        self._handle_at = 0.0

    def move(self, deadline: Optional[float]) -> None:
        """Replace the deadline.

        Args:
            deadline: Time of the loop, in seconds; None for no deadline.
        """
        self._deadline = deadline
        if deadline is None or (self._handle is not None and self._handle_at <= deadline):
            return
        self.stop()
        self._deadline = deadline
        self._schedule(deadline)

    def stop(self) -> None:
        """Forget the deadline and the loop's timer."""
        self._deadline = None
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _schedule(self, deadline: float) -> None:
        self._handle_at = deadline
        self._handle = self.loop.call_at(deadline, self._fire)

    def _fire(self) -> None:
        self._handle = None
        deadline = self._deadline
        if deadline is None:
            return
        if self.loop.time() + _RESOLUTION_S < deadline:
            self._schedule(deadline)
            return
        self._deadline = None
        self.on_deadline()
