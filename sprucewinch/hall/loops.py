"""The daemon's periodic work: rounds, exchanges, the store, plans and probes of backend servers.

`Loops` owns the tasks of these loops and the event that a newer document was accepted here. It
relies on the node for every decision, and on the clients of peers, store and backend servers for
I/O. A failed round of a loop is logged as `event=loop-fault` and does not end the loop.
"""

import asyncio
import random

from .. import log
from .._supervise import Step, forever
from ..clock import Clock
from .node import LEAVING_REPORT_TTL_S, Node
from .peers.exchange import Exchange, choose_partners
from .peers.peer_client import PeerClient
from .planning.plan_rounds import PlanRounds
from .requests.admission import Admission
from .requests.backend import BackendClient
from .store.documents import CONFIGURATION_KEY, Revisioned
from .store.store import Store
from .store.store_reader import StoreReader

TICK_S = 0.5
"""Time between two rounds of the node, in seconds; `slots.MEMBER_LIST_TTL_S` and
`slots.TAKEOVER_DELAY_S` depend on it."""

EXCHANGE_S = 1.0
"""Mean time between two exchanges with peers, in seconds. It must stay well below the 3 s of
silence after which a VM is no longer live (`peers.membership.LIVENESS_TIMEOUT_S`)."""

PLAN_S = 1.0
"""Mean time between two planning rounds, in seconds. docs/CAPACITY.md computes the number of writes
to the store from it."""

PROBE_S = 1.0
"""Time between two probes of a backend server, in seconds: three probes fit into the 3 s within
which a leaving server must be noticed (docs/PROMISES.md, promise 6)."""

_JITTER_FRACTION = 0.2
"""Fraction by which the time between two exchanges or plans varies, up or down, so that VMs that
start together do not stay synchronized."""

_OTHER_HALL_PARTNERS = 2
"""Most VMs of other halls in one round of exchange."""

_CHANGE_FANOUT = 4
"""Most VMs of other halls to which a newer document is sent at once."""

_SEED_PARTNERS = 2
"""Most VMs of the store's list that are contacted while no peer is known."""

_MAX_MESSAGES = 2
"""Messages of one exchange: the versions held here, then what the other VM lacks."""


class Loops:
    """Runs the periodic work of a daemon.

    Args:
        node: This VM's state.
        store: Client of the store.
        peers: Client of other entry VMs.
        backend: Client of backend servers.
        clock: Source of time.
        rng: Source of randomness.
    """

    def __init__(
        self,
        node: Node,
        store: Store,
        peers: PeerClient,
        backend: BackendClient,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.node = node
        self.store = store
        self.peers = peers
        self.backend = backend
        self.clock = clock
        self.rng = rng
        self.exchange = Exchange(node)
        self._changed = asyncio.Event()
        self.reader = StoreReader(node, store, clock, rng, self.changed)
        self.plans = PlanRounds(node, store, self.reader, clock, self.changed)
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Start all loops."""
        steps: list[Step] = [
            self._tick_loop,
            self._exchange_loop,
            self._change_loop,
            self.reader.run,
            self._plan_loop,
            self._probe_loop,
        ]
        self._tasks = [
            asyncio.ensure_future(forever(step, _log_failure, pause_s=TICK_S)) for step in steps
        ]

    async def stop(self) -> None:
        """Stop all loops."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def changed(self) -> None:
        """Start an exchange at once, since a newer document was accepted here."""
        self._changed.set()

    async def _tick_loop(self) -> None:
        self.node.tick(self.clock.monotonic())
        counters = self.node.metrics.counters
        counters["peer_bytes_sent"] = self.peers.bytes_sent
        counters["peer_bytes_received"] = self.peers.bytes_received
        counters["platform_calls"] = self.store.calls
        await asyncio.sleep(TICK_S)

    async def _exchange_loop(self) -> None:
        await self.exchange_with(self.partners(_OTHER_HALL_PARTNERS))
        await asyncio.sleep(self._jittered(EXCHANGE_S))

    async def _change_loop(self) -> None:
        await self._changed.wait()
        self._changed.clear()
        await self.exchange_with(self.partners(_CHANGE_FANOUT))

    def partners(self, others: int) -> list[str]:
        """Return the peer addresses to exchange with.

        While no peer is known, some addresses of the store's list are returned.

        Args:
            others: Most VMs of other halls.
        """
        partners = choose_partners(self.node, self.rng, self.clock.monotonic(), others=others)
        untried = [address for address in self.reader.listed_peers if address not in partners]
        return partners or self.rng.sample(untried, min(_SEED_PARTNERS, len(untried)))

    async def exchange_with(self, addresses: list[str]) -> None:
        """Exchange members and documents with several entry VMs concurrently."""
        await asyncio.gather(*(self._exchange_one(address) for address in addresses))

    async def _exchange_one(self, address: str) -> None:
        before = self.node.documents.revisions()
        message = self.exchange.make_request()
        for _ in range(_MAX_MESSAGES):
            reply = await self.peers.exchange(address, message)
            if reply is None:
                return
            next_message = self.exchange.handle_reply(reply, self.clock.monotonic())
            if next_message is None:
                break
            message = next_message
        if self.node.documents.revisions() != before:
            self.changed()

    async def _plan_loop(self) -> None:
        await self.plans.step()
        await asyncio.sleep(self._jittered(PLAN_S))

    def _jittered(self, mean_s: float) -> float:
        return mean_s * self.rng.uniform(1.0 - _JITTER_FRACTION, 1.0 + _JITTER_FRACTION)

    async def _probe_loop(self) -> None:
        """Probe the backend servers of this hall, which report when they are leaving."""
        admissions = self.node.admissions.by_service.values()
        targets = [(a, server) for a in admissions for server in list(a.servers)]
        await asyncio.gather(*(self._probe(a, server) for a, server in targets))
        await asyncio.sleep(PROBE_S)

    async def _probe(self, admission: Admission, server: str) -> None:
        report = await self.backend.probe(server)
        if report is not None and report.leaving:
            admission.mark_leaving(server, self.clock.monotonic() + LEAVING_REPORT_TTL_S)


def _log_failure(step: Step, error: Exception) -> None:
    log.trouble(f"event=loop-fault step={step.__name__} error={error!r}")


def configuration_document(revision: int, value: bytes) -> Revisioned:
    """Return an encoded configuration as a document for `DocumentReplica`."""
    return Revisioned(CONFIGURATION_KEY, revision, value)
