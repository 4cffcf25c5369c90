"""Planning rounds: hold the lease, make plans with `planner` and write them to the store.

Owns the planner while this VM holds the lease. Relies on `planner_lease` for when to request the
lease, on `planner` for the plan, on the store for the lease and for compare-and-swap, and on the
node for configuration, members and measures. A round that fails shows in the counters
`plan_rounds_without_store`, `plan_writes_unknown` and `plan_writes_overtaken`. The tests are
`tests.test_plan_rounds` and `tests.test_formats_own_lines`.
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
from ..peers.view import MeasuresView
from ..store.documents import PLAN_PREFIX, Revisioned
from ..store.store import Store, Written
from ..store.store_reader import StoreReader
from .planner import Planner
from .planner_lease import LEASE_DURATION_S, LeaseRenewal, is_candidate
from .shares_in_force import Plan


class PlanRounds:
    """Makes this region's plans and writes them to the store.

    Args:
        node: This VM's state.
        store: Client of the store.
        reader: Holds the version of each value in the store, for compare-and-swap.
        clock: Source of time.
        changed: Called after a new plan was written.
    """

    def __init__(
        self,
        node: Node,
        store: Store,
        reader: StoreReader,
        clock: Clock,
        changed: Callable[[], None],
    ) -> None:
        self.node = node
        self.store = store
        self.reader = reader
        self.clock = clock
        self.changed = changed
        self._renewal = LeaseRenewal()
        self._planner: Optional[Planner] = None

    async def step(self) -> None:
        """Plan once if this VM holds the lease.

        When the store cannot be reached, the shares in force stay and the next round requests the
        lease again.
        """
        try:
            await self._plan_once()
        except PlatformError:
            # No log line here: the reader logs the outage and its reason as `event=platform`.
            self._count_failure("plan_rounds_without_store")
            self._planner = None
            self._renewal.reset()

    def _count_failure(self, name: str) -> None:
        self.node.metrics.counters[name] += 1

    async def _plan_once(self) -> None:
        topology = self.node.topology
        now = self.clock.monotonic()
        if topology is None or self.node.own.state != SERVING or not self._is_candidate(now):
            return
        if not await self._hold_lease(now):
            self._planner = None
            return
        region = self.node.settings.region
        key = PLAN_PREFIX + region
        if self._planner is None:
            await self._start_planner(key, region)
        assert self._planner is not None
        now = self.clock.monotonic()
        view = MeasuresView(topology, self.node.membership, region, now)
        snapshots = {service: view.snapshot(service) for service in topology.services}
        plan = self._planner.propose(topology, self.node.policies, snapshots, now)
        if plan is not None:
            await self._write_plan(key, plan)

    def _is_candidate(self, now: float) -> bool:
        """Return whether this VM may request its region's lease."""
        topology = self.node.topology
        region = self.node.settings.region
        if topology is None or region not in topology.order:
            return False
        members = self.node.membership.serving(now)
        return is_candidate(self.node.own.vm, (m.vm for m in members if m.region == region))

    async def _hold_lease(self, now: float) -> bool:
        """Return whether this VM holds the lease; request or renew it when that is due."""
        if not self._renewal.due(now):
            return self._planner is not None
        self._renewal.record_request(now)
        name = f"planner/{self.node.settings.region}"
        return await self.store.lease(name, member_id(self.node.own), LEASE_DURATION_S)

    async def _start_planner(self, key: str, region: str) -> None:
        """Start a planner from the newest plan: the stored one, or the one that this VM follows."""
        entry = await self.store.get(key)
        newest = None
        if entry is not None:
            newest = msgspec.json.decode(entry.value, type=Plan)
            self.reader.apply([entry])
        followed = self.node.shares_in_force.plans.get(region)
        if followed is not None and (newest is None or followed.revision > newest.revision):
            newest = followed
        self.reader.versions[key] = entry.version if entry else 0
        self._planner = Planner(region, member_id(self.node.own))
        assert self.node.topology is not None
        self._planner.start_from(newest, self.node.topology, self.clock.monotonic())
        log.state(f"event=planner region={region} plan={newest.revision if newest else 0}")

    async def _write_plan(self, key: str, plan: Plan) -> None:
        """Write a plan by compare-and-swap; a write that is not confirmed drops the planner."""
        assert self._planner is not None and self.node.topology is not None
        value = msgspec.json.encode(plan)
        try:
            result = await self.store.put(key, value, self.reader.versions.get(key, 0))
        except WriteUnknownError:
            # No log line here: the next round starts again from the stored plan.
            self._count_failure("plan_writes_unknown")
            self._planner = None
            return
        if not isinstance(result, Written):
            self._count_failure("plan_writes_overtaken")
            self._planner = None
            return
        self.reader.versions[key] = result.version
        self._planner.confirm(plan, self.node.topology, self.clock.monotonic())
        for service, problem in plan.faults.items():
            log.trouble(f"event=policy-fault service={service} problem={problem!r}")
        if self.node.documents.offer(Revisioned(key, plan.revision, value)):
            self.changed()
