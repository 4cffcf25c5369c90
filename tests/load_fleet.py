"""A few entry VMs and backend servers under load, on the virtual loop, with callers that return.

`LoadedServer` works on a fixed number of requests at once, queues a few more and states its load
with four figures. `LoadFleet` runs several VMs over the same servers. `Caller` behaves as callers
do: after a refusal it returns once the stated time is over, with the rest of its deadline, perhaps
to another VM.
"""

import asyncio
import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple, Optional

from sprucewinch.gateway.estimates.server_estimate import ServerEstimate, ServerEstimates
from sprucewinch.gateway.events import EventLog
from sprucewinch.gateway.requests.client_request import ClientRequest, Reply
from sprucewinch.gateway.resources import BackendEntry, Member, Route
from sprucewinch.gateway.servers.backend_registry import BackendRegistry
from standins.scripted_server import ScriptedServer
from standins.virtual import VirtualLoop, pass_time

from .gateway_fakes import NAMES, PipelineFixture

SLOTS = 6
QUEUE = 12
WORK_S = 0.2
TARGET_S = 0.6
DEADLINE_S = 2.5
MAX_TRIES = 4


class LoadedServer(ScriptedServer):
    """A backend server with slots, a queue and a load header of four figures.

    Args:
        loop: The virtual event loop.
        server_id: Id of the server.
        slots: Requests that it works on at once.
        queue: Requests that wait there at most; further ones are refused as not run.
        rng: Varies the time of each run by a quarter.
    """

    def __init__(
        self, loop: VirtualLoop, server_id: str, *, slots: int, queue: int, rng: random.Random
    ) -> None:
        super().__init__(loop, server_id, work_s=WORK_S, slots=slots + queue)
        self.capacity = slots
        self.pace = 1.0
        self.rng = rng
        self.free_at = [0.0] * slots

    @property
    def says(self) -> dict[str, str]:  # type: ignore[override]
        running = min(self.running, self.capacity)
        figures = (running, self.running - running, self.capacity, int(self.pace * 100))
        return {NAMES.load: ",".join(map(str, figures))}

    @says.setter
    def says(self, _headers: dict[str, str]) -> None:
        """Ignore the initial value: the load is the only header."""

    def work_now_s(self) -> float:
        now = self.loop.time()
        start = max(now, heapq.heappop(self.free_at))
        end = start + self.work_s * self.pace * self.rng.uniform(0.75, 1.25)
        heapq.heappush(self.free_at, end)
        return end - now


class ReportedEstimates(ServerEstimates):
    """Estimates from what one VM has heard itself of each server.

    Args:
        registry: The VM's backend servers.
        loop: The virtual event loop.
    """

    def __init__(self, registry: BackendRegistry, loop: VirtualLoop) -> None:
        self.registry = registry
        self.loop = loop

    def estimate(self, backend: BackendEntry, _route: str, _key: str, now: float) -> ServerEstimate:
        server = self.registry.servers[backend.id]
        load, age_s = server.load(now), server.load_age_s(now)
        return ServerEstimate(backend.id, backend.capacity, load, 1.0, WORK_S, WORK_S, True, age_s)


class SharedEstimates(ServerEstimates):
    """Estimates from a board that shows every server's load as it was some time ago.

    Each VM adds the requests that it has sent since, as a VM of a large fleet does with what the
    others of its region tell it.

    Args:
        servers: All backend servers.
        loop: The virtual event loop.
        registry: The VM's backend servers.
        board: Load of each server by time, newest last.
        delay_s: Age of the newest entry that the VM knows, in seconds.
    """

    def __init__(
        self,
        registry: BackendRegistry,
        board: dict[str, list[tuple[float, int]]],
        delay_s: float,
    ) -> None:
        self.registry = registry
        self.board = board
        self.delay_s = delay_s

    def estimate(self, backend: BackendEntry, _route: str, _key: str, now: float) -> ServerEstimate:
        seen_at, held = next(
            (row for row in reversed(self.board[backend.id]) if row[0] <= now - self.delay_s),
            (float("-inf"), 0),
        )
        own = sum(at > seen_at for at in self.registry.servers[backend.id].started)
        return ServerEstimate(
            backend.id, backend.capacity, held + own, 1.0, WORK_S, WORK_S, True, now - seen_at
        )


class Fate(NamedTuple):
    """What became of one caller.

    Args:
        kind: Name of its kind.
        answered_s: Time from its first attempt to its answer, in seconds; None without one.
        refusals: Time until each refusal, and its Retry-After, in seconds.
        held_s: Longest time that one of its attempts was held without an answer, in seconds.
    """

    kind: str
    answered_s: Optional[float]
    refusals: tuple[tuple[float, Optional[float]], ...]
    held_s: float

    @property
    def in_time(self) -> bool:
        return self.answered_s is not None and self.answered_s <= TARGET_S


class Kind(NamedTuple):
    """One kind of callers.

    Args:
        name: Name, with which the ids of its requests begin.
        path: Path of its requests.
        per_s: Callers a second.
        at_once: True if its callers don't wait but repeat at once.
        api_key: Its workspace's key; None without one.
    """

    name: str
    path: str
    per_s: float
    at_once: bool = False
    api_key: Optional[bytes] = None


class CountedEvents(EventLog):
    """Counts events of all VMs."""

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()

    def state(self, event: str, **_fields: Any) -> None:
        """Write no lines."""

    def count(self, counter: str) -> None:
        self.counters[counter] += 1


class LoadFleet:
    """Entry VMs over the same backend servers.

    Args:
        loop: The virtual event loop.
        vms: Number of VMs.
        servers: Number of backend servers.
        routes: Routes in force.
        shared_delay_s: Age of what VMs know of all servers, in seconds; None if each knows only
            what it heard itself.
        admits: False to serve without estimates.
    """

    def __init__(
        self,
        loop: VirtualLoop,
        *,
        vms: int,
        servers: int,
        routes: tuple[Route, ...],
        shared_delay_s: Optional[float] = None,
        admits: bool = True,
    ) -> None:
        self.loop = loop
        self.rng = random.Random(7)
        self.fates: list[Fate] = []
        self.not_run: list[str] = []
        self.servers = [
            LoadedServer(loop, f"s{n}", slots=SLOTS, queue=QUEUE, rng=random.Random(n))
            for n in range(servers)
        ]
        self.board: dict[str, list[tuple[float, int]]] = {s.server_id: [] for s in self.servers}
        self.vms = [self._vm(number, vms, routes) for number in range(vms)]
        self.bears_per_s = servers * SLOTS / WORK_S
        self.counted = CountedEvents()
        if admits:
            for vm in self.vms:
                registry = vm.world.registry
                vm.choice.admission.events = self.counted
                estimates = (
                    ReportedEstimates(registry, loop)
                    if shared_delay_s is None
                    else SharedEstimates(registry, self.board, shared_delay_s)
                )
                vm.use_estimates(estimates)

    def _vm(self, number: int, vms: int, routes: tuple[Route, ...]) -> PipelineFixture:
        path = PipelineFixture(self.loop, servers=0)
        for other in range(1, vms):
            member = Member(f"vm{other}", "east-a", "east", "127.0.0.1:1", "127.0.0.1:2")
            path.world.put(f"members/vm{other}", member)
        for at, server in enumerate(self.servers):
            address = f"10.0.1.{at + 1}:80"
            self.loop.listen(address, server.accept)
            entry = BackendEntry(server.server_id, "rates", address, "east-a", server.capacity)
            path.world.put(f"servers/{server.server_id}", entry, self.loop.time())
        path.world.configure(*routes)
        path.pipeline.rng.seed(number)
        return path

    async def run(self, kinds: Iterable[Kind], seconds: float) -> list[Fate]:
        """Send callers of all kinds for some seconds, and return what became of them."""
        board = self.loop.create_task(self._write_board())
        sources = [self.loop.create_task(self._source(kind, seconds)) for kind in kinds]
        for source in sources:
            await source
        await pass_time(DEADLINE_S + 0.5)
        board.cancel()
        return self.fates

    async def _write_board(self) -> None:
        while True:
            for server in self.servers:
                rows = self.board[server.server_id]
                rows.append((self.loop.time(), server.running))
                del rows[:-40]
            await asyncio.sleep(0.05)

    async def _source(self, kind: Kind, seconds: float) -> None:
        rng = random.Random(kind.name)
        end = self.loop.time() + seconds
        for number in itertools.count():
            await pass_time(rng.expovariate(kind.per_s))
            if self.loop.time() > end:
                return
            self.loop.create_task(self._call(kind, f"{kind.name}-{number}", rng))

    async def _call(self, kind: Kind, name: str, rng: random.Random) -> None:
        first_at, key = self.loop.time(), f"object-{rng.randrange(400)}"
        refusals, held_s = [], 0.0
        for number in range(MAX_TRIES):
            at = self.loop.time()
            left_s = first_at + DEADLINE_S - at
            if left_s <= 0.05:
                break
            reply = await self._try(kind, f"{name}-{number}", key, left_s)
            took_s = self.loop.time() - at
            if reply.status == 200:
                self.fates.append(
                    Fate(kind.name, self.loop.time() - first_at, tuple(refusals), held_s)
                )
                return
            held_s = max(held_s, took_s)
            if reply.status != 503:
                break
            self.not_run.append(f"{name}-{number}")
            refusals.append((took_s, reply.retry_after_s))
            if not kind.at_once:
                left_s = first_at + DEADLINE_S - self.loop.time()
                await pass_time(min(reply.retry_after_s or 0.5, left_s / 3))
        self.fates.append(Fate(kind.name, None, tuple(refusals), held_s))

    def choose_vm(self) -> PipelineFixture:
        """Return the VM that the next caller connects to."""
        return self.rng.choice(self.vms)

    def goodput(self, seconds: float) -> float:
        """Return the requests answered in time, of those that the servers bear in some seconds."""
        return sum(fate.in_time for fate in self.fates) / (self.bears_per_s * seconds)

    async def _try(self, kind: Kind, request_id: str, key: str, left_s: float) -> Reply:
        vm = self.choose_vm()
        request: ClientRequest = vm.request(
            request_id,
            key=key,
            path=kind.path,
            target=kind.path,
            deadline=self.loop.time() + left_s,
            api_key=kind.api_key,
        )
        refused = await vm.pipeline.admit(request)
        return refused or await vm.pipeline.run(request)


def share(fates: list[Fate], holds: Callable[[Fate], bool], kind: str = "") -> float:
    """Return the part of the callers, of one kind or of all, for which something holds."""
    asked = [fate for fate in fates if kind in ("", fate.kind)]
    return sum(map(holds, asked)) / max(1, len(asked))


def quantile(values: Iterable[float], part: float) -> float:
    """Return a quantile of some values; 0 for none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0
