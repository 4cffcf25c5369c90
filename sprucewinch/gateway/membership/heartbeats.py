"""Datagrams between entry VMs: heartbeats, news of the store, crowded servers, measures."""

import asyncio
import contextlib
import random
import socket
from collections.abc import Callable, Iterable
from typing import Optional, Union

import msgspec

from ...net.address import parse_address
from ..following.follow_role import NOTICE_S, FollowRole, ProgressNotice
from ..regions.region_reports import REPORT_S, RegionReport, RegionReports
from ..servers.backend_registry import BackendRegistry
from ..servers.outliers import OutlierDetector
from ..state.store_view import StoreView
from .gossip import HEARTBEAT_S, Gossip, Heartbeat


class OverloadReport(msgspec.Struct, array_like=True, frozen=True, tag="crowded"):
    """A backend server's word that requests wait at it, passed on by the VM that heard it.

    Args:
        server: Id of the server.
        running: Requests that it runs.
        waiting: Requests that wait there.
    """

    server: str
    running: int
    waiting: int


class FailureReport(msgspec.Struct, array_like=True, frozen=True, tag="bad"):
    """A request that failed at a backend server, or took far longer than usual.

    Args:
        server: Id of the server.
    """

    server: str


Message = Union[Heartbeat, ProgressNotice, OverloadReport, FailureReport, RegionReport]


class Heartbeats(asyncio.DatagramProtocol):
    """Sends this VM's heartbeats and learns from those of others.

    Args:
        gossip: Who is there.
        store_view: Registered VMs.
        follow_role: This VM's part in passing on what the store says.
        registry: Backend servers; told of those that are crowded.
        outliers: Told of bad samples.
        region_reports: Told of the load of other regions.
        ready: Tells whether this VM takes callers.
        monotonic: Source of time.
        rng: Source of randomness.
    """

    def __init__(  # noqa: PLR0913  each part that hears of a datagram is handed in by name
        self,
        gossip: Gossip,
        store_view: StoreView,
        follow_role: FollowRole,
        registry: BackendRegistry,
        outliers: OutlierDetector,
        region_reports: RegionReports,
        *,
        ready: Callable[[], bool],
        monotonic: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.gossip = gossip
        self.store_view = store_view
        self.follow_role = follow_role
        self.registry = registry
        self.outliers = outliers
        self.region_reports = region_reports
        self.own_report: Callable[[float], Optional[RegionReport]] = lambda _now: None
        self.ready = ready
        self.monotonic = monotonic
        self.rng = rng
        self.transport: Optional[asyncio.DatagramTransport] = None
        self.behind = asyncio.Event()
        self.last_peer_address: Optional[str] = None

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
            self.send(self.gossip.partners(self.store_view.members))
            await asyncio.sleep(HEARTBEAT_S * self.rng.uniform(0.9, 1.1))

    async def run_notices(self) -> None:
        """Tell others what the store says while this VM follows it, again and again."""
        while True:
            await asyncio.sleep(NOTICE_S * self.rng.uniform(0.9, 1.1))
            if self.follow_role.follows_store(self.monotonic()):
                self.send_notice(changed=False)

    async def run_reports(self) -> None:
        """Send reports of this region's load while this VM is one of its store followers."""
        while True:
            await asyncio.sleep(REPORT_S * self.rng.uniform(0.9, 1.1))
            now = self.monotonic()
            service_reads_measures = (
                self.own_report(now) if self.follow_role.is_elected(now) else None
            )
            if service_reads_measures is None:
                continue
            self.region_reports.take(service_reads_measures, now)
            data = msgspec.msgpack.encode(service_reads_measures)
            for member in self.follow_role.recipients(changed=True):
                self._send(data, member.peer_address)

    def send_notice(self, *, changed: bool) -> None:
        """Tell others what the store says.

        Args:
            changed: True when this VM has just learnt something.
        """
        notice = self.follow_role.notice(self.monotonic())
        if notice is None:
            return
        data = msgspec.msgpack.encode(notice)
        for member in self.follow_role.recipients(changed):
            self._send(data, member.peer_address)

    def report_overload(self, server_id: str, running: int, waiting: int) -> None:
        """Tell other VMs that requests wait at a backend server.

        A VM of a large fleet sends each server so few requests that it would not hear of it.
        """
        self._tell_some(OverloadReport(server_id, running, waiting))

    def report_failure(self, server_id: str) -> None:
        """Tell other VMs of a request that failed at a backend server or took long."""
        self._tell_some(FailureReport(server_id))

    def _tell_some(self, message: Message) -> None:
        data = msgspec.msgpack.encode(message)
        for member in self.follow_role.recipients(changed=False):
            self._send(data, member.peer_address)

    def send(self, names: Iterable[str]) -> None:
        """Send one heartbeat to some VMs."""
        self.gossip.open = self.ready()
        beat = self.gossip.tick(self.monotonic(), self.store_view.complete_revision)
        data = msgspec.msgpack.encode(beat)
        for name in names:
            member = self.store_view.members.get(name)
            if member is not None:
                self._send(data, member.peer_address)

    def _send(self, data: bytes, address: str) -> None:
        if self.transport is not None:
            self.transport.sendto(data, tuple(parse_address(address)))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Learn from a message; what is none is dropped."""
        with contextlib.suppress(msgspec.MsgspecError):
            message = msgspec.msgpack.decode(data, type=Message)
            self.last_peer_address = f"{addr[0]}:{addr[1]}"
            self._take(message, self.monotonic())

    def _take(self, message: Message, now: float) -> None:
        if isinstance(message, Heartbeat):
            self.gossip.take(message, now)
        elif isinstance(message, OverloadReport):
            self.registry.record_overload_report(
                message.server, message.running, message.waiting, now
            )
        elif isinstance(message, FailureReport):
            self.outliers.heard(message.server, now)
        elif isinstance(message, RegionReport):
            self.region_reports.take(message, now)
        elif self.follow_role.take(message, now):
            self.behind.set()

    def error_received(self, exc: Exception) -> None:
        """Ignore a VM that is not there."""
