"""UDP endpoint through which entry VMs send each other typed messages.

Owns the socket, the encoding and the dispatch: each part registers the type of message that it
handles. Relies on `net.address` and msgspec; it contains no message types. A lost datagram is not
retransmitted: each message is either sent again at its next interval or only saves time.
"""

import asyncio
import socket
from collections.abc import Callable, Iterable
from typing import Any, Optional, TypeVar, Union

import msgspec

from ..net.address import parse_address
from .events import EventLog, NoEvents

T = TypeVar("T", bound=msgspec.Struct)

Handler = Callable[[T, float], None]
"""Receives a message and the monotonic time of its arrival, in seconds."""


class Datagrams(asyncio.DatagramProtocol):
    """Sends messages and passes received ones to their handlers.

    Args:
        monotonic: Source of time, in seconds.
        events: Counts datagrams that cannot be read.
    """

    def __init__(self, monotonic: Callable[[], float], events: Optional[EventLog] = None) -> None:
        self.monotonic = monotonic
        self.events = events or NoEvents()
        self.transport: Optional[asyncio.DatagramTransport] = None
        self.last_sender: Optional[str] = None
        self._handlers: dict[type, Handler[Any]] = {}
        self._decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder()

    def register(self, message_type: type[T], handler: Handler[T]) -> None:
        """Register the handler of a type of message.

        Args:
            message_type: A struct with a unique tag.
            handler: Called with each message of this type.
        """
        self._handlers[message_type] = handler
        self._decoder = msgspec.msgpack.Decoder(Union[tuple(self._handlers)])

    async def listen(self, address: str) -> None:
        """Bind to an address and start to receive.

        Args:
            address: `IP:PORT`, UDP.
        """
        host, port = parse_address(address)
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port), family=socket.AF_INET
        )

    def send(self, message: msgspec.Struct, addresses: Iterable[str]) -> None:
        """Send a message to VMs; nothing is sent before `listen`.

        Args:
            message: A struct of a type that the recipients have registered.
            addresses: `IP:PORT` of each VM.
        """
        data = msgspec.msgpack.encode(message)
        for address in addresses:
            if self.transport is not None:
                self.transport.sendto(data, tuple(parse_address(address)))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a message to its handler; one that cannot be decoded is counted and dropped.

        No event is logged: a VM of another version may send types that are unknown here, many of
        them a second, and that is no fault of either VM. The counter shows it.
        """
        try:
            message = self._decoder.decode(data)
        except msgspec.MsgspecError:
            self.events.count("datagrams_unreadable")
            return
        handler = self._handlers.get(type(message))
        if handler is None:
            self.events.count("datagrams_unreadable")
            return
        self.last_sender = f"{addr[0]}:{addr[1]}"
        handler(message, self.monotonic())

    def error_received(self, _exc: Exception) -> None:
        """Ignore an undelivered datagram; `gossip` notices that the VM's heartbeats stop."""
