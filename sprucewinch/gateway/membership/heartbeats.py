"""Datagrams between entry VMs: heartbeats, news of the store, crowded servers, measures."""

import asyncio
import contextlib
import random
import socket
from collections.abc import Callable, Iterable
from typing import Optional, Union

import msgspec

from ...net.address import parse_address
from ..following.follow_role import NEWS_S, News, Relay
from ..regions.region_reports import MEASURE_S, MeasureBoard, Measured
from ..servers.backend_registry import ServerBook
from ..servers.outliers import Outliers
from ..state.store_view import Beliefs
from .gossip import BEAT_S, Beat, Gossip


class Crowded(msgspec.Struct, array_like=True, frozen=True, tag="crowded"):
    """A backend server's word that requests wait at it, passed on by the machine that heard it.

    Args:
        server: Id of the server.
        running: Requests that it runs.
        waiting: Requests that wait there.
    """

    server: str
    running: int
    waiting: int


class BadSample(msgspec.Struct, array_like=True, frozen=True, tag="bad"):
    """A request that failed at a backend server, or took far longer than usual.

    Args:
        server: Id of the server.
    """

    server: str


Message = Union[Beat, News, Crowded, BadSample, Measured]


class Heartbeats(asyncio.DatagramProtocol):
    """Sends this machine's heartbeats and learns from those of others.

    Args:
        gossip: Who is there.
        beliefs: Registered machines.
        relay: This machine's part in passing on what the store says.
        book: Backend servers; told of those that are crowded.
        outliers: Told of bad samples.
        board: Told of the load of other regions.
        ready: Tells whether this machine takes callers.
        monotonic: Source of time.
        rng: Source of randomness.
    """

    def __init__(  # noqa: PLR0913  each part that hears of a datagram is handed in by name
        self,
        gossip: Gossip,
        beliefs: Beliefs,
        relay: Relay,
        book: ServerBook,
        outliers: Outliers,
        board: MeasureBoard,
        *,
        ready: Callable[[], bool],
        monotonic: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.gossip = gossip
        self.beliefs = beliefs
        self.relay = relay
        self.book = book
        self.outliers = outliers
        self.board = board
        self.own_measures: Callable[[float], Optional[Measured]] = lambda _now: None
        self.ready = ready
        self.monotonic = monotonic
        self.rng = rng
        self.transport: Optional[asyncio.DatagramTransport] = None
        self.known_less = asyncio.Event()
        self.heard_from: Optional[str] = None

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

    async def run_news(self) -> None:
        """Tell others what the store says while this machine follows it, again and again."""
        while True:
            await asyncio.sleep(NEWS_S * self.rng.uniform(0.9, 1.1))
            if self.relay.follows_store(self.monotonic()):
                self.tell_news(changed=False)

    async def run_measures(self) -> None:
        """Tell others of this region's load while this machine is its watcher, again and again."""
        while True:
            await asyncio.sleep(MEASURE_S * self.rng.uniform(0.9, 1.1))
            now = self.monotonic()
            measured = self.own_measures(now) if self.relay.chosen(now) else None
            if measured is None:
                continue
            self.board.take(measured, now)
            data = msgspec.msgpack.encode(measured)
            for member in self.relay.audience(changed=True):
                self._send(data, member.peer_address)

    def tell_news(self, *, changed: bool) -> None:
        """Tell others what the store says.

        Args:
            changed: True when this machine has just learnt something.
        """
        news = self.relay.news(self.monotonic())
        if news is None:
            return
        data = msgspec.msgpack.encode(news)
        for member in self.relay.audience(changed):
            self._send(data, member.peer_address)

    def tell_crowded(self, server_id: str, running: int, waiting: int) -> None:
        """Tell other machines that requests wait at a backend server.

        A machine of a large fleet sends each server so few requests that it would not hear of it.
        """
        self._tell_some(Crowded(server_id, running, waiting))

    def tell_bad_sample(self, server_id: str) -> None:
        """Tell other machines of a request that failed at a backend server or took long."""
        self._tell_some(BadSample(server_id))

    def _tell_some(self, message: Message) -> None:
        data = msgspec.msgpack.encode(message)
        for member in self.relay.audience(changed=False):
            self._send(data, member.peer_address)

    def send(self, names: Iterable[str]) -> None:
        """Send one heartbeat to some machines."""
        self.gossip.open = self.ready()
        beat = self.gossip.tick(self.monotonic(), self.beliefs.known_to)
        data = msgspec.msgpack.encode(beat)
        for name in names:
            member = self.beliefs.members.get(name)
            if member is not None:
                self._send(data, member.peer_address)

    def _send(self, data: bytes, address: str) -> None:
        if self.transport is not None:
            self.transport.sendto(data, tuple(parse_address(address)))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Learn from a message; what is none is dropped."""
        with contextlib.suppress(msgspec.MsgspecError):
            message = msgspec.msgpack.decode(data, type=Message)
            self.heard_from = f"{addr[0]}:{addr[1]}"
            self._take(message, self.monotonic())

    def _take(self, message: Message, now: float) -> None:
        if isinstance(message, Beat):
            self.gossip.take(message, now)
        elif isinstance(message, Crowded):
            self.book.heard_crowded(message.server, message.running, message.waiting, now)
        elif isinstance(message, BadSample):
            self.outliers.heard(message.server, now)
        elif isinstance(message, Measured):
            self.board.take(message, now)
        elif self.relay.take(message, now):
            self.known_less.set()

    def error_received(self, exc: Exception) -> None:
        """Ignore a machine that is not there."""
