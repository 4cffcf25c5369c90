"""VMs that keep limits together, on virtual time: datagrams with delay and loss, cuts, starts.

Owns who reaches whom and who counts as in touch: a VM drops another from its view
`HEARTBEAT_TIMEOUT_S` after the two last reached each other, as heartbeats would let it. Relies on
the product's own parts for all decisions and messages.
"""

import asyncio
import random
from collections.abc import Mapping
from typing import Any, Optional

import msgspec

from sprucewinch.gateway.datagrams import Datagrams
from sprucewinch.gateway.membership.gossip import HEARTBEAT_TIMEOUT_S
from sprucewinch.gateway.quotas.exchange import QuotaExchange
from sprucewinch.gateway.quotas.owners import QuotaOwners
from sprucewinch.gateway.quotas.parts import QuotaParts
from sprucewinch.gateway.quotas.quota import Quota
from sprucewinch.gateway.quotas.quotas import FleetQuotas, Quotas
from sprucewinch.gateway.resources import Member, Workspace
from sprucewinch.gateway.settings import Bounds
from sprucewinch.gateway.state.store_view import Decoder, StoreView
from sprucewinch.gateway.timing import Timing
from sprucewinch.gateway.workspaces.workspace_quota import workspace_quota

from .ways import SHARE_S, EqualParts, SharedCounts

HALLS_A_REGION = 2
"""Data halls of each region."""

_DELAYS_S = (0.0002, 0.0015, 0.012)
"""One way within a hall, within a region, between regions, in seconds."""

_HANDLE_S = 0.001
"""Time for which a datagram waits until its VM handles it, in seconds."""

_TICK_S = 0.2
"""Time between two ticks of a VM's upkeep, in seconds."""

_UDP_HEADER_BYTES = 28
"""Bytes of the headers of IP and UDP."""


class _NoDecoder(Decoder):
    def decode(self, _item: Any) -> None:
        return None


class ModelVm:
    """One VM of the model.

    Args:
        fleet: The fleet.
        member: How it is registered.
        way: Name of the way in which it keeps limits.
    """

    def __init__(self, fleet: "ModelFleet", member: Member, way: str) -> None:
        self.fleet = fleet
        self.member = member
        self.name = member.name
        self.alive = True
        self.frozen_until = 0.0
        self.group = 0
        self.changed_at = float("-inf")
        self.bytes_sent = 0
        self.messages = 0
        self.quotas = self._keeping(way)

    def restart(self) -> None:
        """Start again as a new process that knows nothing."""
        self.alive = True
        self.changed_at = self.fleet.loop.time()
        self.quotas = self._keeping(self.fleet.way)

    def _keeping(self, way: str) -> Quotas:
        fleet = self.fleet
        if way == "equal-parts":
            return EqualParts(lambda: len(fleet.vms), fleet.loop.time)
        if way == "shared-counts":
            return SharedCounts(fleet.workspaces, fleet.bounds, fleet.loop.time)
        return self._owners()

    def _owners(self) -> FleetQuotas:
        fleet, now = self.fleet, self.fleet.loop.time()
        view = StoreView(_NoDecoder())
        view.members = fleet.members  # type: ignore[assignment]
        owners = QuotaOwners(
            lambda: fleet.members,
            self.in_touch,
            regions=fleet.regions,
            name=self.name,
            started_at=now,
        )
        self.datagrams = Datagrams(fleet.loop.time)
        self.datagrams.transport = self  # type: ignore[assignment]
        timing = Timing(fleet.loop.time, fleet.rng)
        exchange = QuotaExchange(
            QuotaParts(owners, now),
            fleet.quota,
            view,
            self.datagrams,
            timing,
            name=self.name,
        )
        return FleetQuotas(owners, exchange, timing, hall=self.member.hall, regions=fleet.regions)

    def in_touch(self, name: str, now: float) -> bool:
        """Return whether another VM has been reached within `HEARTBEAT_TIMEOUT_S`."""
        other = self.fleet.vms.get(name)
        if other is None:
            return False
        if self.fleet.reach(self, other):
            return True
        return now - max(self.changed_at, other.changed_at) < HEARTBEAT_TIMEOUT_S

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram, as a transport does."""
        self.fleet.deliver(self, data, f"{address[0]}:{address[1]}")


class ModelFleet:
    """All VMs.

    Args:
        loop: The virtual loop.
        count: How many VMs.
        workspaces: All workspaces.
        bounds: The fleet's figures.
        way: `owners`, `equal-parts` or `shared-counts`.
        regions: How many regions.
        loss: Part of the datagrams that is lost.
        seed: Seed of delays and losses.
    """

    def __init__(  # noqa: PLR0913  one argument a part of a fleet
        self,
        loop: asyncio.AbstractEventLoop,
        count: int,
        workspaces: Mapping[str, Workspace],
        bounds: Bounds,
        *,
        way: str = "owners",
        regions: int = 3,
        loss: float = 0.0,
        seed: int = 1,
    ) -> None:
        self.loop = loop
        self.workspaces = dict(workspaces)
        self.bounds = bounds
        self.way = way
        self.loss = loss
        self.rng = random.Random(seed)
        self.halls = [f"r{n // HALLS_A_REGION}-{n}" for n in range(regions * HALLS_A_REGION)]
        self.regions = {hall: hall.partition("-")[0] for hall in self.halls}
        self.members: dict[str, Member] = {}
        self.vms: dict[str, ModelVm] = {}
        self.by_address: dict[str, ModelVm] = {}
        for number in range(count):
            self._add(number)
        self.upkeep = loop.create_task(self._keep_up())
        if way == "shared-counts":
            self.sharing = loop.create_task(self._share())

    def _add(self, number: int) -> None:
        hall = self.halls[number % len(self.halls)]
        address = f"10.{number >> 8}.{number & 255}.1:70"
        member = Member(f"vm{number}", hall, self.regions[hall], address, address)
        self.members[member.name] = member
        vm = self.vms[member.name] = ModelVm(self, member, self.way)
        self.by_address[address] = vm

    def quota(self, name: str) -> Optional[Quota]:
        """Return the quota of a workspace; None for a name that is none."""
        workspace = self.workspaces.get(name)
        return workspace_quota(workspace, self.bounds) if workspace else None

    def in_hall(self, hall: str) -> list[ModelVm]:
        """Return the living VMs of a hall."""
        return [vm for vm in self.vms.values() if vm.member.hall == hall and vm.alive]

    def reach(self, one: ModelVm, other: ModelVm) -> bool:
        """Return whether two VMs reach each other."""
        return one.alive and other.alive and one.group == other.group

    def cut(self, vms: list[ModelVm], group: int) -> None:
        """Let VMs reach only those of the same group; 0 is the group of all others."""
        for vm in vms:
            vm.group = group
            vm.changed_at = self.loop.time()

    def kill(self, vms: list[ModelVm], down_s: float) -> None:
        """End VMs, and start each again after some seconds, up to half as long later."""
        for vm in vms:
            vm.alive = False
            vm.changed_at = self.loop.time()
            self.loop.call_later(down_s * self.rng.uniform(1.0, 1.5), vm.restart)

    def freeze(self, vms: list[ModelVm], for_s: float) -> None:
        """Let VMs handle nothing for some seconds."""
        for vm in vms:
            vm.frozen_until = self.loop.time() + for_s

    def deliver(self, sender: ModelVm, data: bytes, address: str) -> None:
        """Bring a datagram to its VM, unless it is lost."""
        sender.bytes_sent += len(data) + _UDP_HEADER_BYTES
        sender.messages += 1
        receiver = self.by_address.get(address)
        if receiver is None or self.rng.random() < self.loss:
            return
        delay = self._delay_s(sender, receiver) * self.rng.uniform(1.0, 1.2) + _HANDLE_S
        self.loop.call_later(delay, self._arrive, sender, receiver, data)

    def _arrive(self, sender: ModelVm, receiver: ModelVm, data: bytes) -> None:
        wait_s = receiver.frozen_until - self.loop.time()
        if wait_s > 0:
            self.loop.call_later(wait_s, self._arrive, sender, receiver, data)
            return
        if self.reach(sender, receiver):
            ip, port = sender.member.peer_address.split(":")
            receiver.datagrams.datagram_received(data, (ip, int(port)))

    def _delay_s(self, sender: ModelVm, receiver: ModelVm) -> float:
        if sender.member.hall == receiver.member.hall:
            return _DELAYS_S[0]
        same = sender.member.region == receiver.member.region
        return _DELAYS_S[1] if same else _DELAYS_S[2]

    async def _keep_up(self) -> None:
        """Let each VM that does not stand still do its regular upkeep."""
        while True:
            now = self.loop.time()
            for vm in self.vms.values():
                if isinstance(vm.quotas, FleetQuotas) and now >= vm.frozen_until:
                    vm.quotas.exchange.parts.tick(now)
                    vm.quotas.sweep()
            await asyncio.sleep(_TICK_S)

    async def _share(self) -> None:
        """Send the counts of `SharedCounts` from each VM to all others."""
        while True:
            await asyncio.sleep(SHARE_S)
            for vm in list(self.vms.values()):
                self._share_of(vm)

    def _share_of(self, vm: ModelVm) -> None:
        counts = _shared(vm)
        if not counts or not vm.alive:
            return
        size = len(msgspec.msgpack.encode(counts)) + _UDP_HEADER_BYTES
        for other in self.vms.values():
            if other is vm:
                continue
            vm.bytes_sent += size
            vm.messages += 1
            if self.reach(vm, other) and self.rng.random() >= self.loss:
                self.loop.call_later(self._delay_s(vm, other), _hear, other, counts)


def _shared(vm: ModelVm) -> Optional[dict[str, int]]:
    return vm.quotas.counts() if isinstance(vm.quotas, SharedCounts) else None


def _hear(vm: ModelVm, counts: dict[str, int]) -> None:
    if isinstance(vm.quotas, SharedCounts):
        vm.quotas.hear(counts)
