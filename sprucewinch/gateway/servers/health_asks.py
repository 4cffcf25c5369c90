"""Decides which backend servers this VM asks whether they are cold, and when.

Entries of the store tell it as long as servers can write them. Without that, only health answers
do. A server is asked every `_ASK_INTERVAL_S`

- while nobody has confirmed for `_MAX_CONFIRMATION_AGE_S` that this VM holds the store's newest
  revision, which shows a silent store before a call to it fails;
- shortly after the store did not answer, while entries may be missing;
- for `_ENTRIES_BACK_S` after the store's return from an older copy, as its entries may be older
  than the truth, and for as long after another VM has told a process that starts that entries say
  nothing of now;
- while it is unproven after the start of a process (`start_doubts`);
- while it is doubted, by each VM that doubts it.

The VMs in touch share the first four. Each server is asked by `_ASKING_VMS` of them, as one may
have died a moment ago, and of its own region if there is one. For `HEARTBEAT_TIMEOUT_S` after the
start all registered VMs count as in touch, as no heartbeat can have come from them. A VM that no
other one reaches asks all servers. Servers that are known to be cold are not asked.

Relies on `probe` for the questions, on `cold_reports` for telling the others, and on `gossip` for
the VMs in touch. Owns the division of the servers among the VMs. Results show in the event `probe`
and in the metric `probes`. Times are monotonic, in seconds. Tests: `test_gateway_health_asks`.
"""

import asyncio
from collections.abc import Callable, Collection

from ..membership.gossip import HEARTBEAT_TIMEOUT_S
from ..membership.vm_ring import VmRing
from ..state.outages import MAX_ANSWER_AGE_S, StoreOutages
from .backend_registry import BackendRegistry
from .backend_server import BackendServer

_TICK_S = 0.1
"""Time between two looks for servers to ask, in seconds."""

_START_TICK_S = 0.02
"""The same for `_START_S` after the start, while requests wait for servers to be proven."""

_START_S = 1.0
"""Time after the start within which listed servers are proven, in seconds."""

_ASK_INTERVAL_S = 0.6
"""Time between two questions of a VM to a server, in seconds. With the time for the answer and for
telling the others, a server that turns cold is known to be so within a second."""

_MAX_CONFIRMATION_AGE_S = MAX_ANSWER_AGE_S
"""Age of the last confirmation from which entries say nothing of now, in seconds. A store in which
nothing changes answers a watch only at its end, so a shorter time would ask servers all the time.
"""

_ASKING_VMS = 2
"""VMs that ask one server."""

_ENTRIES_BACK_S = 3.0
"""Time within which every running server has written its entry again, in seconds: two of its
heartbeats."""

_SHARE_INTERVAL_S = 1.0
"""Time after which the servers are divided among the VMs again, in seconds; at once when the
servers change."""

_ALL = ""
"""Stands for all regions; no region has an empty name."""

_POINTS = 8
"""Points of each VM on the ring, so that the parts are of similar size."""


class HealthAsks:
    """Asks servers whether they are cold.

    Args:
        registry: Backend servers; asks those of its list `to_probe`.
        outages: Records when the store was unreachable.
        in_touch: Returns whether another VM is in touch at a monotonic time, in seconds.
        monotonic: Source of monotonic time, in seconds.
    """

    def __init__(
        self,
        registry: BackendRegistry,
        outages: StoreOutages,
        in_touch: Callable[[str, float], bool],
        monotonic: Callable[[], float],
    ) -> None:
        self.registry = registry
        self.outages = outages
        self.in_touch = in_touch
        self.monotonic = monotonic
        self.started_at = monotonic()
        self._entries_old_until = float("-inf")
        self._shared: set[str] = set()
        self._shared_at = float("-inf")
        self._shared_generation = -1
        self._asked_at: dict[BackendServer, float] = {}
        registry.store_view.on_era.append(self._on_era)

    async def run(self) -> None:
        """Ask servers when it is time, until cancelled."""
        while True:
            now = self.monotonic()
            self.ask_due(now)
            young = now - self.started_at < _START_S
            await asyncio.sleep(_START_TICK_S if young else _TICK_S)

    def ask_due(self, now: float) -> None:
        """Ask the servers that are due.

        Args:
            now: Monotonic time, in seconds.
        """
        if self.entries_tell(now) and now >= self.registry.doubts_until:
            return
        servers = [server for server in self.registry.servers.values() if not server.cold(now)]
        due = [server for server in servers if server.doubted(now) and self._is_due(server, now)]
        if self.entries_tell(now):
            servers = [server for server in servers if server.unproven(now)]
        due += [s for s in self._own_part(servers, now) if self._is_due(s, now)]
        for server in dict.fromkeys(due):
            self._asked_at[server] = now
            self.registry.to_probe.append(server)
        if not due:
            self._asked_at = {s: at for s, at in self._asked_at.items() if not _is_old(at, now)}

    def entries_tell(self, now: float) -> bool:
        """Return whether the store's entries say which servers are cold now.

        Args:
            now: Monotonic time, in seconds.
        """
        confirmed = now - self.registry.store_view.confirmed_at <= _MAX_CONFIRMATION_AGE_S
        lapsed = self.outages.entries_may_have_lapsed(now)
        return confirmed and not lapsed and now >= self._entries_old_until

    def distrust_entries(self) -> None:
        """Ask servers for `_ENTRIES_BACK_S`, as their entries may be older than the truth."""
        self._entries_old_until = self.monotonic() + _ENTRIES_BACK_S

    def _on_era(self, _era: int) -> None:
        self.distrust_entries()

    def _is_due(self, server: BackendServer, now: float) -> bool:
        return _is_old(self._asked_at.get(server, float("-inf")), now)

    def _own_part(self, servers: Collection[BackendServer], now: float) -> list[BackendServer]:
        """Return the servers that this VM asks of those that the VMs in touch share."""
        generation = self.registry.generation
        if now - self._shared_at >= _SHARE_INTERVAL_S or self._shared_generation != generation:
            self._shared_at, self._shared_generation = now, generation
            self._shared = self._share(now)
        return [server for server in servers if server.backend.id in self._shared]

    def _share(self, now: float) -> set[str]:
        """Return the ids of the servers that this VM asks."""
        rings = self._rings(now)
        regions = self.registry.regions
        own = self.registry.known_vms.name

        def asks(server: BackendServer) -> bool:
            region = regions.get(server.backend.hall, "")
            return own in rings.get(region, rings[_ALL]).first(server.backend.id, _ASKING_VMS)

        return {name for name, server in self.registry.servers.items() if asks(server)}

    def _rings(self, now: float) -> dict[str, VmRing]:
        """Return the VMs in touch, by region and all together; this VM counts as in touch."""
        own = self.registry.known_vms.name
        members = self.registry.known_vms.members().values()
        names: dict[str, list[str]] = {_ALL: [own]}
        for member in members:
            if member.name == own:
                names.setdefault(member.region, []).append(own)
            elif now - self.started_at < HEARTBEAT_TIMEOUT_S or self.in_touch(member.name, now):
                names.setdefault(member.region, []).append(member.name)
                names[_ALL].append(member.name)
        return {region: VmRing(vms, points=_POINTS) for region, vms in names.items()}


def _is_old(asked_at: float, now: float) -> bool:
    return now - asked_at >= _ASK_INTERVAL_S
