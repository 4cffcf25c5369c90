"""The write side of a connection, which follows how much of it the caller has read.

Owns the measuring of what the transport has not sent: at each answer, and at intervals while
something is unsent. `_unread_answers` decides what follows from it.
"""

import asyncio
from collections.abc import Callable
from typing import Any, Optional

from ._unread_answers import UnreadAnswers

_INTERVAL_S = 0.25
"""Time between two measurements while something is unsent, in seconds."""


class WriteSide:
    """What the answers of one connection are written to.

    Args:
        loop: The loop.
        transport: The connection.
        unread: Answers of the connection that its caller has not read.
        on_measured: Called after each measurement at an interval.
        on_close: Called once, when nothing more is written.
    """

    __slots__ = (
        "_timer",
        "closed",
        "loop",
        "on_close",
        "on_measured",
        "transport",
        "unread",
        "written_bytes",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        transport: asyncio.Transport,
        unread: UnreadAnswers,
        *,
        on_measured: Callable[[], None],
        on_close: Callable[[], None],
    ) -> None:
        self.loop = loop
        self.transport = transport
        self.unread = unread
        self.on_measured = on_measured
        self.on_close = on_close
        self.closed = False
        self.written_bytes = 0
        self._timer: Optional[asyncio.TimerHandle] = None

    def write(self, data: Any) -> None:
        """Hand bytes to the transport."""
        self.written_bytes += len(data)
        self.transport.write(data)

    def close(self) -> None:
        """Write nothing more, and let the connection close once all is sent."""
        if not self.is_closing():
            self.closed = True
            self.on_close()

    def is_closing(self) -> bool:
        """Return whether nothing more is written."""
        return self.closed or self.transport.is_closing()

    def measure(self) -> None:
        """Measure now, and at intervals until all is sent."""
        unsent_bytes = self.transport.get_write_buffer_size()
        if not unsent_bytes and self.unread.all_sent:
            return
        self.unread.measure(self.written_bytes, unsent_bytes, self.loop.time())
        if unsent_bytes and self._timer is None:
            self._timer = self.loop.call_later(_INTERVAL_S, self._measure_again)

    def end(self) -> None:
        """Measure no more, as the connection has ended."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self.unread.end()

    def _measure_again(self) -> None:
        self._timer = None
        self.measure()
        self.on_measured()
