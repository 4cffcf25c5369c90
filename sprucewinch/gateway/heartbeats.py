"""Heartbeats as datagrams between entry VMs."""

import asyncio
import contextlib
import random
import socket
from collections.abc import Callable, Iterable
from typing import Optional

import msgspec

from .._address import parse_address
from .beliefs import Beliefs
from .gossip import BEAT_S, Beat, Gossip


class Heartbeats(asyncio.DatagramProtocol):
    """Sends this machine's heartbeats and learns from those of others.

    Args:
        gossip: Who is there.
        beliefs: Registered machines.
        ready: Tells whether this machine takes callers.
        monotonic: Source of time.
        rng: Source of randomness.
    """

    def __init__(
        self,
        gossip: Gossip,
        beliefs: Beliefs,
        *,
        ready: Callable[[], bool],
        monotonic: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.gossip = gossip
        self.beliefs = beliefs
        self.ready = ready
        self.monotonic = monotonic
        self.rng = rng
        self.transport: Optional[asyncio.DatagramTransport] = None

    async def listen(self, address: str) -> None:
        """Receive at an address.

        Args:
            address: `IP:PORT`, UDP.
        """
        host, port = parse_address(address)
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port), family=socket.AF_INET
        )

    async def run(self) -> None:
        """Send to a few others, again and again."""
        while True:
            self.send(self.gossip.partners(self.beliefs.members))
            await asyncio.sleep(BEAT_S * self.rng.uniform(0.9, 1.1))

    def send(self, names: Iterable[str]) -> None:
        """Send one heartbeat to some machines."""
        self.gossip.open = self.ready()
        beat = self.gossip.tick(self.monotonic(), self.beliefs.revision)
        data = msgspec.msgpack.encode(beat)
        for name in names:
            member = self.beliefs.members.get(name)
            if member is not None and self.transport is not None:
                self.transport.sendto(data, tuple(parse_address(member.peer_address)))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Learn from a heartbeat; what is none is dropped."""
        with contextlib.suppress(msgspec.MsgspecError):
            self.gossip.take(msgspec.msgpack.decode(data, type=Beat), self.monotonic())

    def error_received(self, exc: Exception) -> None:
        """Ignore a machine that is not there."""
