"""An event loop on a virtual clock with a network in memory.

Time stands still while code runs and jumps to the next timer when nothing is left to do, so that
a test of seconds takes milliseconds and always takes the same course. Owns the loop, its clock and
connections in memory; code under test sees them as asyncio's own.
"""

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from typing import Any, Optional, TypeVar

from .virtual_link import Link, current_link

T = TypeVar("T")

Factory = Callable[[], asyncio.Protocol]

_START_S = 1000.0
"""Virtual time at the start, in seconds: not 0, so that a time of 0 is far in the past."""

_SILENT_S = 3600
"""Seconds for which a silent listener leaves a connection unanswered, longer than any test."""

_PIECE_BYTES = 16_384
"""Bytes that one connection puts on a link at a time, so that connections share it in turn."""


class _InstantSelector(selectors.DefaultSelector):
    """Never waits; counts how long it would have waited."""

    def __init__(self) -> None:
        super().__init__()
        self.skipped_s = 0.0

    def select(self, timeout: Optional[float] = None) -> list:
        if timeout is None:
            raise RuntimeError(
                "no timer and no task is left: a test waits for an event that cannot come"
            )
        self.skipped_s += max(0.0, timeout)
        return super().select(0)


class Listener:
    """Accepts connections at an address.

    Args:
        factory: Makes the protocol of an accepted connection.
        link: Link of the machine that listens; None for one without a limit.

    Attributes:
        silent: True while connections stay unanswered.
        late_s: How much later than others a connection comes up, in seconds.
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
        delay_s: Time that bytes take to the other end, in seconds.
        link: Link of this end's machine; None for one without a limit.
    """

    def __init__(self, loop: "VirtualLoop", delay_s: float, link: Optional[Link] = None) -> None:
        super().__init__()
        self.loop = loop
        self.delay_s = delay_s
        self.link = link
        self.unsent = bytearray()
        self.sending = False
        self.peer: Optional[MemoryTransport] = None
        self.protocol: Optional[asyncio.Protocol] = None
        self.closing = False
        self.held = False

    def write(self, data: Any) -> None:
        """Send bytes to the other end."""
        if self.closing:
            return
        if not self.limited:
            self._later(self._peer_receives, bytes(data))
            return
        self.unsent += data
        self._send_piece()

    def close(self) -> None:
        """End in order: the other end reads everything first."""
        self._end(None)

    def abort(self) -> None:
        """Reset: the other end gets an error, and what is not yet sent is lost."""
        self.unsent.clear()
        self._end(ConnectionResetError("reset by peer"))

    def is_closing(self) -> bool:
        """Return whether this end is closed."""
        return self.closing

    def get_write_buffer_size(self) -> int:
        """Return the bytes that wait for a link; 0 without links."""
        return len(self.unsent)

    def get_extra_info(self, _name: str, default: Any = None) -> Any:
        """Return the default: there is no socket."""
        return default

    def pause_reading(self) -> None:
        """Do nothing: bytes are handed over as they come."""

    def resume_reading(self) -> None:
        """Do nothing: bytes are handed over as they come."""

    def _later(self, action: Callable, *arguments: Any) -> None:
        self.loop.call_later(self.delay_s, action, *arguments)

    @property
    def limited(self) -> bool:
        """True when a link limits what this end sends."""
        return self.link is not None or (self.peer is not None and self.peer.link is not None)

    def _send_piece(self) -> None:
        """Put the next piece on the links, unless one is on its way."""
        if self.sending or not self.unsent:
            return
        piece = bytes(self.unsent[:_PIECE_BYTES])
        del self.unsent[:_PIECE_BYTES]
        self.sending = True
        at = self.loop.time()
        if self.link is not None:
            at = self.link.up.pass_through(len(piece), at)
        self.loop.call_at(at, self._piece_left, piece)

    def _piece_left(self, piece: bytes) -> None:
        """Take the other machine's link once a piece has left this one's, and not before."""
        at = self.loop.time()
        if self.peer is not None and self.peer.link is not None:
            at = self.peer.link.down.pass_through(len(piece), at)
        self.loop.call_at(at, self._piece_sent, piece)

    def _piece_sent(self, piece: bytes) -> None:
        self.sending = False
        self._later(self._peer_receives, piece)
        self._send_piece()
        if self.closing and not self.unsent:
            self._later(self._peer_ends, None)

    def _peer_receives(self, data: bytes) -> None:
        peer = self.peer
        if peer is not None and not peer.closing and peer.protocol and not self.held:
            peer.protocol.data_received(data)

    def _end(self, error: Optional[Exception]) -> None:
        if self.closing:
            return
        self.closing = True
        self.loop.call_soon(self._lost, None)
        if not self.sending and not self.unsent:
            self._later(self._peer_ends, error)

    def _peer_ends(self, error: Optional[Exception]) -> None:
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
    """The loop.

    Args:
        delay_s: Time that bytes take from one end to the other, in seconds.
    """

    def __init__(self, *, delay_s: float = 0.001) -> None:
        self.instant = _InstantSelector()
        super().__init__(self.instant)
        self.delay_s = delay_s
        self.listeners: dict[str, Listener] = {}

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return _START_S + self.instant.skipped_s

    def listen(self, address: str, factory: Factory, link: Optional[Link] = None) -> Listener:
        """Accept connections at `IP:PORT`, on a machine with a link."""
        listener = self.listeners[address] = Listener(factory, link)
        return listener

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Factory, host: str, port: int, **_options: Any
    ) -> tuple[MemoryTransport, asyncio.Protocol]:
        """Connect in memory; refused without a listener, unanswered while it is silent."""
        listener = self.listeners.get(f"{host}:{port}")
        await asyncio.sleep(2 * self.delay_s)
        if listener is None:
            raise ConnectionRefusedError(f"{host}:{port}")
        if listener.silent:
            await asyncio.sleep(_SILENT_S)
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
    """Let virtual time pass; real time does not.

    Args:
        seconds: Virtual time, in seconds.
    """
    await asyncio.sleep(seconds)


def run_virtual(main: Callable[[VirtualLoop], Coroutine[Any, Any, T]]) -> T:
    """Run a coroutine on a fresh virtual loop and return its result."""
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
