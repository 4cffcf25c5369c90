"""The daemon's periodic work: rounds, exchanges, the platform, plans and probes."""

import asyncio
import random
from collections.abc import Callable
from typing import Optional

import msgspec

from . import log
from .admission import Admission
from .backend import BackendClient
from .clock import Clock
from .documents import CONFIGURATION_KEY, PLAN_PREFIX, WATCH_PREFIX, Revisioned, revisioned
from .errors import PlatformError, WriteUnknownError
from .exchange import Exchange, choose_partners
from .membership import member_id
from .node import LEAVING_S, Node
from .peer_client import PeerClient
from .peer_pb2 import LEAVING, SERVING
from .planner import Planner
from .platform import Entry, Platform, VmListing, Written
from .retry import backoff_s
from .steering import Plan
from .view import View

TICK_S = 0.5
EXCHANGE_S = 1.0
PLAN_S = 1.0
PROBE_S = 1.0
WATCH_S = 20.0
POLL_S = 30.0
"""How often a VM that does not watch reads the platform by itself, in seconds."""

READ_ALL_S = 60.0
"""How often everything is read again, in seconds."""

LEASE_S = 6.0
_LEASE_RENEW_S = 2.0
_CHANGE_FANOUT = 4


class Loops:
    """Runs everything of a daemon that happens by itself.

    Args:
        node: This VM's view.
        platform: The platform's service.
        peers: Calls to other entry VMs.
        backend: Calls to backend servers.
        clock: Source of time.
        rng: Source of randomness.
    """

    def __init__(
        self,
        node: Node,
        platform: Platform,
        peers: PeerClient,
        backend: BackendClient,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.node = node
        self.platform = platform
        self.peers = peers
        self.backend = backend
        self.clock = clock
        self.rng = rng
        self.exchange = Exchange(node)
        self.seen = 0
        self.platform_up: Optional[bool] = None
        self.versions: dict[str, int] = {}
        self.listed: tuple[str, ...] = ()
        self._changed = asyncio.Event()
        self._lease_at = float("-inf")
        self._read_all_at = float("-inf")
        self._planner: Optional[Planner] = None
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Start all loops."""
        loops: list[Callable] = [
            self._tick_loop,
            self._exchange_loop,
            self._change_loop,
            self._watch_loop,
            self._plan_loop,
            self._probe_loop,
        ]
        self._tasks = [asyncio.ensure_future(_forever(loop)) for loop in loops]

    async def stop(self) -> None:
        """Stop all loops."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def changed(self) -> None:
        """Tell others at once that a newer document is held here."""
        self._changed.set()

    async def _tick_loop(self) -> None:
        self.node.tick(self.clock.monotonic())
        counters = self.node.metrics.counters
        counters["peer_bytes_sent"] = self.peers.bytes_sent
        counters["peer_bytes_received"] = self.peers.bytes_received
        counters["platform_calls"] = self.platform.calls
        await asyncio.sleep(TICK_S)

    async def _exchange_loop(self) -> None:
        await self.exchange_with(self._partners(2))
        await asyncio.sleep(EXCHANGE_S * self.rng.uniform(0.8, 1.2))

    async def _change_loop(self) -> None:
        await self._changed.wait()
        self._changed.clear()
        await self.exchange_with(self._partners(_CHANGE_FANOUT))

    def _partners(self, others: int) -> list[str]:
        partners = choose_partners(self.node, self.rng, self.clock.monotonic(), others=others)
        unknown = [address for address in self.listed if address not in partners]
        return partners or self.rng.sample(unknown, min(2, len(unknown)))

    async def exchange_with(self, addresses: list[str]) -> None:
        """Exchange what is known with some entry VMs at once."""
        await asyncio.gather(*(self._exchange_one(address) for address in addresses))

    async def _exchange_one(self, address: str) -> None:
        before = self.node.shelf.revisions()
        message = self.exchange.ask()
        for _ in range(2):
            reply = await self.peers.exchange(address, message)
            if reply is None:
                return
            following = self.exchange.learn(reply, self.clock.monotonic())
            if following is None:
                break
            message = following
        if self.node.shelf.revisions() != before:
            self.changed()

    async def _watch_loop(self) -> None:
        """Read the platform: by a watch on one VM of each hall, now and then on the others."""
        failures = 0
        while True:
            try:
                await self._read_platform()
                failures = 0
            except PlatformError as error:
                failures += 1
                self._platform_is(False, str(error))
                wait = max(error.retry_after_s, backoff_s(failures, self.rng))
                await asyncio.sleep(wait)

    async def _read_platform(self) -> None:
        self._take_listing(await self.platform.members())
        watching = self._watches()
        entries = await self._entries(WATCH_S if watching else 0.0)
        self._platform_is(True)
        self._take(entries)
        if not watching:
            await asyncio.sleep(POLL_S * self.rng.uniform(0.5, 1.0))

    async def _entries(self, wait_s: float) -> list[Entry]:
        """Return newer entries; now and then all, since a restored platform may count anew."""
        now = self.clock.monotonic()
        if now - self._read_all_at >= READ_ALL_S:
            entries = await self.platform.watch(WATCH_PREFIX, 0, 0.0)
            self._read_all_at = now
            self.seen = 0
            return entries
        return await self.platform.watch(WATCH_PREFIX, self.seen, wait_s)

    def _take_listing(self, listing: list[VmListing]) -> None:
        """Learn entry VMs to ask, and backend servers that the platform says are leaving."""
        own = self.node.settings.peer_address
        self.listed = tuple(r.address for r in listing if r.kind == "entry" and r.address != own)
        leaving = [r.address for r in listing if r.kind == "backend" and r.leaving]
        self.node.hall.mark_leaving(leaving, self.clock.monotonic() + 2 * POLL_S)

    def _watches(self) -> bool:
        """Tell whether this VM watches for its hall: the first by name that is live."""
        now = self.clock.monotonic()
        hall = [m.vm for m in self.node.membership.of_hall(now) if m.state in (SERVING, LEAVING)]
        return self.node.own.vm <= min(hall, default=self.node.own.vm)

    def _take(self, entries: list[Entry]) -> None:
        for entry in entries:
            self.seen = max(self.seen, entry.version)
            self.versions[entry.key] = entry.version
            document = revisioned(entry.key, entry.value)
            if document is None:
                log.trouble(f"event=unreadable key={entry.key}")
                continue
            if document.revision < self.node.shelf.revision(entry.key):
                held = self.node.shelf.revision(entry.key)
                log.trouble(
                    f"event=platform-behind key={entry.key} shows={document.revision} "
                    f"in_force={held}"
                )
            if self.node.shelf.offer(document):
                self.changed()

    def _platform_is(self, up: bool, problem: str = "") -> None:
        if up != self.platform_up:
            self.platform_up = up
            word = "up" if up else "down"
            log.state(f"event=platform state={word} problem={problem!r}")

    async def _plan_loop(self) -> None:
        """Plan for this region's callers while this VM holds the lease."""
        try:
            await self._plan()
        except PlatformError:
            self._planner = None
            self._lease_at = float("-inf")
        await asyncio.sleep(PLAN_S * self.rng.uniform(0.8, 1.2))

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
        """Few VMs ask for the lease: the first two of the region by name."""
        topology = self.node.topology
        region = self.node.settings.region
        if topology is None or region not in topology.order:
            return False
        members = self.node.membership.serving(now)
        names = sorted(m.vm for m in members if m.region == region)
        return self.node.own.vm in names[:2]

    async def _hold_lease(self, now: float) -> bool:
        if now - self._lease_at < _LEASE_RENEW_S:
            return self._planner is not None
        self._lease_at = now
        name = f"planner/{self.node.settings.region}"
        return await self.platform.lease(name, member_id(self.node.own), LEASE_S)

    async def _adopt(self, key: str, region: str) -> None:
        entry = await self.platform.get(key)
        held = None
        if entry is not None:
            held = msgspec.json.decode(entry.value, type=Plan)
            self._take([entry])
        newest = self.node.steering.plans.get(region)
        if newest is not None and (held is None or newest.revision > held.revision):
            held = newest
        self.versions[key] = entry.version if entry else 0
        self._planner = Planner(region, member_id(self.node.own))
        assert self.node.topology is not None
        self._planner.adopt(held, self.node.topology, self.clock.monotonic())
        log.state(f"event=planner region={region} plan={held.revision if held else 0}")

    async def _write_plan(self, key: str, plan: Plan) -> None:
        assert self._planner is not None and self.node.topology is not None
        value = msgspec.json.encode(plan)
        try:
            result = await self.platform.put(key, value, self.versions.get(key, 0))
        except WriteUnknownError:
            self._planner = None
            return
        if not isinstance(result, Written):
            self._planner = None
            return
        self.versions[key] = result.version
        self._planner.confirm(plan, self.node.topology, self.clock.monotonic())
        for service, problem in plan.faults.items():
            log.trouble(f"event=policy-fault service={service} problem={problem!r}")
        if self.node.shelf.offer(Revisioned(key, plan.revision, value)):
            self.changed()

    async def _probe_loop(self) -> None:
        """Ask the backend servers of this hall how they are."""
        admissions = self.node.hall.admissions.values()
        work = [(a, server) for a in admissions for server in list(a.servers)]
        await asyncio.gather(*(self._probe(a, server) for a, server in work))
        await asyncio.sleep(PROBE_S)

    async def _probe(self, admission: Admission, server: str) -> None:
        report = await self.backend.probe(server)
        if report is not None and report.leaving:
            admission.leaving(server, self.clock.monotonic() + LEAVING_S)


async def _forever(step: Callable) -> None:
    """Run a step again and again; a fault in one round does not end the loop."""
    while True:
        try:
            await step()
        except asyncio.CancelledError:
            raise
        except Exception as error:
            log.trouble(f"event=loop-fault step={step.__name__} error={error!r}")
            await asyncio.sleep(TICK_S)


def configuration_document(revision: int, value: bytes) -> Revisioned:
    """Return a configuration as a document for the shelf."""
    return Revisioned(CONFIGURATION_KEY, revision, value)
