"""An event loop on a virtual clock with a network in memory.

Virtual time stands still while code runs and advances to the next timer when no callback is ready,
so that a test of several seconds runs in milliseconds and is deterministic. Owns the loop, its
clock and the connections in memory, which the code under test uses as if they were asyncio's own.
"""

import asyncio
import selectors
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any, Optional, TypeVar

from .virtual_link import Link, current_link

T = TypeVar("T")

Factory = Callable[[], asyncio.Protocol]

_START_TIME_S = 1000.0
"""Virtual time at the start, in seconds; not 0, so that a time of 0 is far in the past."""

_SILENCE_S = 3600
"""Seconds for which a silent listener leaves a connection unanswered; longer than any test."""

_PIECE_BYTES = 16_384
"""Bytes that a connection puts on a link at a time, so that connections take turns."""


class _InstantSelector(selectors.DefaultSelector):
    """Selector that never waits and adds up the time for which it would have waited."""

    def __init__(self) -> None:
        super().__init__()
        self.skipped_s = 0.0

    def select(self, timeout: Optional[float] = None) -> list:
        if timeout is None:
            raise RuntimeError(
                "virtual loop has no timer and no ready task left: the test waits for an event "
                "that cannot occur; set a timer or end the wait"
            )
        self.skipped_s += max(0.0, timeout)
        return super().select(0)


class Listener:
    """Accepts connections in memory at an address.

    Args:
        factory: Creates the protocol of an accepted connection.
        link: Network link of the listening VM; None for unlimited bandwidth.

    Attributes:
        silent: True while connection attempts stay unanswered.
        late_s: Additional time to establish a connection, in seconds.
    """

    def __init__(self, factory: Factory, link: Optional[Link] = None) -> None:
        self.factory = factory
        self.link = link
        self.silent = False
        self.late_s = 0.0


class MemoryTransport(asyncio.Transport):
    """One end of a connection in memory.

    Args:
        loop: The loop.
        delay_s: One-way latency to the other end, in seconds.
        link: Network link of this end's VM; None for unlimited bandwidth.
    """

    def __init__(self, loop: "VirtualLoop", delay_s: float, link: Optional[Link] = None) -> None:
        super().__init__()
        self.loop = loop
        self.delay_s = delay_s
        self.link = link
        self.unsent = bytearray()
        self.sending = False
        self.ended = False
        self.peer: Optional[MemoryTransport] = None
        self.protocol: Optional[asyncio.Protocol] = None
        self.closing = False
        self.held = False
        self.in_transit: deque[Callable[[], None]] = deque()

    def write(self, data: Any) -> None:
        """Send bytes to the other end."""
        if self.closing:
            return
        if not self.limited:
            self._call_after_delay(self._deliver_to_peer, bytes(data))
            return
        self.unsent += data
        self._send_piece()

    def close(self) -> None:
        """Close the connection; the other end receives everything already written first."""
        self._end(None)

    def abort(self) -> None:
        """Reset the connection: the other end gets an error, and unsent bytes are lost."""
        self.unsent.clear()
        self._end(ConnectionResetError("reset by peer"))

    def write_eof(self) -> None:
        """Send the end of what this end writes; it goes on reading."""
        self.ended = True
        if not self.sending and not self.unsent:
            self._call_after_delay(self._end_writing)

    def is_closing(self) -> bool:
        """Return whether this end is closed."""
        return self.closing

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that wait for a link; 0 without links."""
        return len(self.unsent)

    def get_extra_info(self, _name: str, default: Any = None) -> Any:
        """Return the default: there is no socket."""
        return default

    def pause_reading(self) -> None:
        """Do nothing: bytes are handed over as they come."""

    def resume_reading(self) -> None:
        """Do nothing: bytes are handed over as they come."""

    def _call_after_delay(self, action: Callable, *arguments: Any) -> None:
        """Let something arrive at the other end, after all that was sent before it."""
        self.in_transit.append(lambda: action(*arguments))
        self.loop.call_later(self.delay_s, lambda: self.in_transit.popleft()())

    @property
    def limited(self) -> bool:
        """Whether a link limits the bandwidth of what this end sends."""
        return self.link is not None or (self.peer is not None and self.peer.link is not None)

    def _send_piece(self) -> None:
        """Put the next piece on the uplink, unless another piece is still in transit."""
        if self.sending or not self.unsent:
            return
        piece = bytes(self.unsent[:_PIECE_BYTES])
        del self.unsent[:_PIECE_BYTES]
        self.sending = True
        at = self.loop.time()
        if self.link is not None:
            at = self.link.up.pass_through(len(piece), at)
        self.loop.call_at(at, self._piece_passed_uplink, piece)

    def _piece_passed_uplink(self, piece: bytes) -> None:
        """Put a piece on the other VM's downlink once it has passed this VM's uplink."""
        at = self.loop.time()
        if self.peer is not None and self.peer.link is not None:
            at = self.peer.link.down.pass_through(len(piece), at)
        self.loop.call_at(at, self._piece_passed_downlink, piece)

    def _piece_passed_downlink(self, piece: bytes) -> None:
        self.sending = False
        self._call_after_delay(self._deliver_to_peer, piece)
        self._send_piece()
        if self.closing and not self.unsent:
            self._call_after_delay(self._end_peer, None)
        elif self.ended and not self.unsent:
            self._call_after_delay(self._end_writing)

    def _end_writing(self) -> None:
        peer = self.peer
        if peer is None or peer.closing or peer.protocol is None or self.held:
            return
        if not peer.protocol.eof_received():
            peer.close()

    def _deliver_to_peer(self, data: bytes) -> None:
        peer = self.peer
        if peer is not None and not peer.closing and peer.protocol and not self.held:
            peer.protocol.data_received(data)

    def _end(self, error: Optional[Exception]) -> None:
        if self.closing:
            return
        self.closing = True
        self.loop.call_soon(self._lost, None)
        if not self.sending and not self.unsent:
            self._call_after_delay(self._end_peer, error)

    def _end_peer(self, error: Optional[Exception]) -> None:
        peer = self.peer
        if peer is None or peer.closing or self.held:
            return
        peer.unsent.clear()
        if error is None and peer.protocol is not None:
            peer.protocol.eof_received()
        peer.closing = True
        peer._lost(error)

    def _lost(self, error: Optional[Exception]) -> None:
        protocol, self.protocol = self.protocol, None
        if protocol is not None:
            protocol.connection_lost(error)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock is virtual and whose connections are in memory.

    Args:
        delay_s: One-way latency of every connection, in seconds.
    """

    def __init__(self, *, delay_s: float = 0.001) -> None:
        self.instant = _InstantSelector()
        super().__init__(self.instant)
        self.delay_s = delay_s
        self.listeners: dict[str, Listener] = {}

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return _START_TIME_S + self.instant.skipped_s

    def listen(self, address: str, factory: Factory, link: Optional[Link] = None) -> Listener:
        """Accept connections at `IP:PORT`, over the listening VM's link if one is given."""
        listener = self.listeners[address] = Listener(factory, link)
        return listener

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Factory, host: str, port: int, **_options: Any
    ) -> tuple[MemoryTransport, asyncio.Protocol]:
        """Connect in memory.

        The attempt stays unanswered while the listener is silent.

        Raises:
            ConnectionRefusedError: When nothing listens at the address.
        """
        listener = self.listeners.get(f"{host}:{port}")
        await asyncio.sleep(2 * self.delay_s)
        if listener is None:
            raise ConnectionRefusedError(f"{host}:{port}")
        if listener.silent:
            await asyncio.sleep(_SILENCE_S)
        if listener.late_s:
            await asyncio.sleep(listener.late_s)
        near = MemoryTransport(self, self.delay_s, current_link.get())
        far = MemoryTransport(self, self.delay_s, listener.link)
        near.peer, far.peer = far, near
        near.protocol, far.protocol = protocol_factory(), listener.factory()
        far.protocol.connection_made(far)
        near.protocol.connection_made(near)
        return near, near.protocol


async def pass_time(seconds: float) -> None:
    """Advance virtual time; no real time passes.

    Args:
        seconds: Virtual time, in seconds.
    """
    await asyncio.sleep(seconds)


def run_virtual(main: Callable[[VirtualLoop], Coroutine[Any, Any, T]]) -> T:
    """Run a coroutine on a new virtual loop, cancel the tasks it leaves, and return its result."""
    loop = VirtualLoop()
    try:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(main(loop))
    finally:
        pending = asyncio.all_tasks(loop)
        for task in pending:
            task.cancel()
        if pending:
            loop.run_until_complete(asyncio.gather(*pending, return_exceptions=True))
        asyncio.set_event_loop(None)
        loop.close()
