"""Callers of the model: each keeps to one VM for a while, and sends at random moments.

Owns the rates of the workspaces' callers and where they are. Relies on `fleet` and `judge`.
"""

import asyncio
import random
from typing import Optional

from sprucewinch._hash import hash64
from sprucewinch.gateway.quotas.quotas import QuotaEnd
from sprucewinch.gateway.resources import Workspace
from sprucewinch.gateway.workspaces.workspace_quota import workspace_quota

from .fleet import ModelFleet, ModelVm
from .judge import Judge, Outcome

STAY_S = 3.0
"""Time for which a caller keeps to one VM, in seconds."""

_CALLER_PER_S = 1.0
"""Requests a second of one caller."""


class Demand:
    """Callers of all workspaces.

    Args:
        fleet: The fleet.
        judge: Records what they get.
        use: Usual requests of a workspace, as a part of its limit.
        seed: Seed of their moments and places.
    """

    def __init__(
        self, fleet: ModelFleet, judge: Judge, *, use: float = 0.625, seed: int = 1
    ) -> None:
        self.fleet = fleet
        self.judge = judge
        self.use = use
        self.rng = random.Random(seed)
        self.rates = {w.name: w.rate_per_s for w in fleet.workspaces.values()}
        self.factor: dict[str, float] = {}
        self.moved_to: Optional[str] = None
        self.moved_part = 0.0
        self._tasks: set[asyncio.Task] = set()

    def start(self) -> None:
        """Let all callers send."""
        loop = self.fleet.loop
        for workspace in list(self.fleet.workspaces.values()):
            callers = max(1, round(workspace.rate_per_s * self.use / _CALLER_PER_S))
            for number in range(callers):
                self._keep(loop.create_task(self._caller(workspace.name, number, callers)))

    def stop(self) -> None:
        """Let nobody send any more."""
        for task in self._tasks:
            task.cancel()

    def _keep(self, task: asyncio.Task) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _caller(self, name: str, number: int, callers: int) -> None:
        home = self.fleet.halls[hash64(f"{name}|{number}") % len(self.fleet.halls)]
        vm, until = None, 0.0
        while True:
            rate = self.rates[name] * self.use * self.factor.get(name, 1.0) / callers
            await asyncio.sleep(self.rng.expovariate(max(rate, 0.01)))
            now = self.fleet.loop.time()
            if vm is None or not vm.alive or now > until:
                vm, until = self._vm(home), now + STAY_S
            if vm is not None:
                self._keep(self.fleet.loop.create_task(self._send(vm, name)))

    def _vm(self, home: str) -> Optional[ModelVm]:
        hall = home
        if self.moved_to is not None and self.rng.random() < self.moved_part:
            hall = self.moved_to
        found = self.fleet.in_hall(hall) or [vm for vm in self.fleet.vms.values() if vm.alive]
        return self.rng.choice(found) if found else None

    async def _send(self, vm: ModelVm, name: str) -> None:
        workspace: Workspace = self.fleet.workspaces[name]
        at = self.fleet.loop.time()
        owed = self.judge.owed(workspace, at)
        quota = workspace_quota(workspace, self.fleet.bounds)
        decision = await vm.quotas.take(quota)
        waited_s = self.fleet.loop.time() - at
        admitted = decision.end is QuotaEnd.ADMITTED
        self.judge.note(name, Outcome(at, admitted, owed, waited_s))
