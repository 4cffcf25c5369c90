"""Planning rounds: keeps the planner's lease, makes plans with `planner` and writes them.

Owns the planner while this VM holds the lease. Relies on `planner_lease` for when to ask, on
`planner` for the plan, on the store for the lease and for compare-and-swap, and on the node for
configuration, members and measures. A round that fails shows in the counters
`plan_rounds_without_store`, `plan_writes_unknown` and `plan_writes_overtaken`. Tests:
`tests.test_plan_rounds`, `tests.test_formats_own_lines`.
"""

from collections.abc import Callable
from typing import Optional

import msgspec

from ... import log
from ...clock import Clock
from ...errors import PlatformError, WriteUnknownError
from ..node import Node
from ..peers.membership import member_id
from ..peers.peer_pb2 import SERVING
from ..peers.view import View
from ..store.documents import PLAN_PREFIX, Revisioned
from ..store.store import Platform, Written
from ..store.store_reader import PlatformReader
from .planner import Planner
from .planner_lease import LEASE_DURATION_S, LeaseRenewal, is_candidate
from .steering import Plan


class PlanRounds:
    """Makes this region's plans and writes them to the store.

    Args:
        node: This VM's state.
        platform: Client of the store.
        reader: Keeps the versions that the store holds.
        clock: Source of time.
        changed: Called after a new plan was written.
    """

    def __init__(
        self,
        node: Node,
        platform: Platform,
        reader: PlatformReader,
        clock: Clock,
        changed: Callable[[], None],
    ) -> None:
        self.node = node
        self.platform = platform
        self.reader = reader
        self.clock = clock
        self.changed = changed
        self._renewal = LeaseRenewal()
        self._planner: Optional[Planner] = None

    async def step(self) -> None:
        """Plan once if this VM holds the lease; without the store the shares in force stay."""
        try:
            await self._plan()
        except PlatformError:
            # The counter is enough: the reader logs the outage and its reason as `event=platform`.
            self._count("plan_rounds_without_store")
            self._planner = None
            self._renewal.reset()

    def _count(self, name: str) -> None:
        self.node.metrics.counters[name] += 1

    async def _plan(self) -> None:
        topology = self.node.topology
        now = self.clock.monotonic()
        if topology is None or self.node.own.state != SERVING or not self._may_plan(now):
            return
        if not await self._hold_lease(now):
            self._planner = None
            return
        region = self.node.settings.region
        key = PLAN_PREFIX + region
        if self._planner is None:
            await self._adopt(key, region)
        assert self._planner is not None
        now = self.clock.monotonic()
        view = View(topology, self.node.membership, region, now)
        snapshots = {service: view.snapshot(service) for service in topology.services}
        plan = self._planner.propose(topology, self.node.policies, snapshots, now)
        if plan is not None:
            await self._write_plan(key, plan)

    def _may_plan(self, now: float) -> bool:
        """Return whether this VM may ask for its region's lease."""
        topology = self.node.topology
        region = self.node.settings.region
        if topology is None or region not in topology.order:
            return False
        members = self.node.membership.serving(now)
        return is_candidate(self.node.own.vm, (m.vm for m in members if m.region == region))

    async def _hold_lease(self, now: float) -> bool:
        """Return whether this VM holds the lease; renew it when that is due."""
        if not self._renewal.due(now):
            return self._planner is not None
        self._renewal.record_request(now)
        name = f"planner/{self.node.settings.region}"
        return await self.platform.lease(name, member_id(self.node.own), LEASE_DURATION_S)

    async def _adopt(self, key: str, region: str) -> None:
        """Start a planner from the newest plan: the stored one, or the one in force here."""
        entry = await self.platform.get(key)
        held = None
        if entry is not None:
            held = msgspec.json.decode(entry.value, type=Plan)
            self.reader.take([entry])
        newest = self.node.steering.plans.get(region)
        if newest is not None and (held is None or newest.revision > held.revision):
            held = newest
        self.reader.versions[key] = entry.version if entry else 0
        self._planner = Planner(region, member_id(self.node.own))
        assert self.node.topology is not None
        self._planner.adopt(held, self.node.topology, self.clock.monotonic())
        log.state(f"event=planner region={region} plan={held.revision if held else 0}")

    async def _write_plan(self, key: str, plan: Plan) -> None:
        assert self._planner is not None and self.node.topology is not None
        value = msgspec.json.encode(plan)
        try:
            result = await self.platform.put(key, value, self.reader.versions.get(key, 0))
        except WriteUnknownError:
            # The next round reads the stored plan, so the counter is enough.
            self._count("plan_writes_unknown")
            self._planner = None
            return
        if not isinstance(result, Written):
            self._count("plan_writes_overtaken")
            self._planner = None
            return
        self.reader.versions[key] = result.version
        self._planner.confirm(plan, self.node.topology, self.clock.monotonic())
        for service, problem in plan.faults.items():
            log.trouble(f"event=policy-fault service={service} problem={problem!r}")
        if self.node.shelf.offer(Revisioned(key, plan.revision, value)):
            self.changed()
