"""The parts of one VM, grouped as they are created.

Owns the types that hold the parts and their common dependencies. Relies on every folder of the
gateway except `lifecycle`; `composition` creates the parts, and `daemon`, `lifecycle`, `vm_state`
and `vm_metrics` use them.
"""

import random
from collections.abc import Callable
from typing import NamedTuple

from ..clock import Clock
from .crashes.crash_reports import CrashReporter
from .crashes.quarantine import Quarantine
from .crashes.quarantine_store import QuarantineStore
from .datagrams import Datagrams
from .decision_log import DecisionLog
from .following.follow_role import FollowRole
from .following.large_items import LargeItems
from .following.notices import ProgressNotices
from .following.peer_follower import PeerFollower
from .following.store_follower import StoreFollower
from .load_sharing.load_sharing import LoadSharing
from .membership.directory import Directory
from .membership.gossip import Gossip
from .membership.heartbeats import Heartbeats
from .membership.registrar import Registrar
from .platform_adapter import PlatformAdapter
from .quotas.exchange import QuotaExchange
from .quotas.quotas import FleetQuotas
from .regions.policies import PolicyTable
from .regions.region_reporter import RegionReporter
from .regions.region_reports import RegionReports
from .regions.shares import RegionShares
from .requests.app import GatewayApp
from .requests.pipeline import Pipeline
from .requests.relay.relay_app import RelayApp
from .servers.backend_registry import BackendRegistry
from .servers.capacity.live_estimates import LiveEstimates
from .servers.cold_reports import ColdReports
from .servers.health_asks import HealthAsks
from .servers.links.server_links import ServerLinks
from .servers.outliers import OutlierDetector
from .servers.pool import ConnectionPool
from .servers.probe import Prober
from .settings import GatewaySettings
from .state.named_state import NamedState, NamedStateOwner
from .state.outages import StoreOutages
from .state.store import Store
from .state.store_view import StoreView
from .statements.start_asks import StartAsks
from .statements.statements import Statements
from .timing import Timing
from .workspaces.admission import WorkspaceAdmission


class Context(NamedTuple):
    """Dependencies that are common to all parts.

    Args:
        settings: Settings of this process.
        adapter: Adapter to the platform.
        clock: Source of time.
        rng: Source of randomness.
        events: Decision log and counters.
        ready: Returns whether callers may be sent to this VM.
        started_at: Monotonic time at which this process started, in seconds.
    """

    settings: GatewaySettings
    adapter: PlatformAdapter
    clock: Clock
    rng: random.Random
    events: DecisionLog
    ready: Callable[[], bool]
    started_at: float

    @property
    def monotonic(self) -> Callable[[], float]:
        """Return the source of monotonic time, in seconds."""
        return self.clock.monotonic

    @property
    def timing(self) -> Timing:
        """Return the sources of time and randomness of a loop."""
        return Timing(self.clock.monotonic, self.rng)


class State(NamedTuple):
    """The client of the store, this VM's copy of its items, and the store's outages."""

    store: Store
    view: StoreView
    outages: StoreOutages


class Fleet(NamedTuple):
    """The parts that communicate with other VMs: membership and following the store."""

    datagrams: Datagrams
    gossip: Gossip
    heartbeats: Heartbeats
    registrar: Registrar
    directory: Directory
    follow_role: FollowRole
    notices: ProgressNotices
    store_follower: StoreFollower
    large_items: LargeItems
    peer_follower: PeerFollower


class Servers(NamedTuple):
    """The parts that track backend servers."""

    registry: BackendRegistry
    outliers: OutlierDetector
    estimates: LiveEstimates
    statements: Statements
    start_asks: StartAsks
    pool: ConnectionPool
    prober: Prober
    cold_reports: ColdReports
    health_asks: HealthAsks
    links: ServerLinks


class Crashes(NamedTuple):
    """The parts that quarantine requests that crash backend servers."""

    quarantine: Quarantine
    reporter: CrashReporter
    store: QuarantineStore


class Workspaces(NamedTuple):
    """The parts that check the keys and quotas of workspaces."""

    admission: WorkspaceAdmission
    quotas: FleetQuotas
    exchange: QuotaExchange


class Regions(NamedTuple):
    """The parts that steer between regions."""

    policies: PolicyTable
    reports: RegionReports
    shares: RegionShares


class Requests(NamedTuple):
    """The parts that process requests, and those of them that keep rows by name."""

    pipeline: Pipeline
    app: GatewayApp
    relay_app: RelayApp
    relay_pool: ConnectionPool
    named_state_owners: tuple[NamedStateOwner, ...]


class Parts(NamedTuple):
    """All parts of one VM except its listeners and those of `lifecycle`."""

    state: State
    fleet: Fleet
    servers: Servers
    crashes: Crashes
    workspaces: Workspaces
    regions: Regions
    requests: Requests
    region_reporter: RegionReporter
    load_sharing: LoadSharing
    named_state: NamedState
