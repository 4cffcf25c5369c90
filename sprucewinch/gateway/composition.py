"""Composition root of the gateway: creates every part and passes it its dependencies.

Owns the order in which the parts are created (`make_parts`): state, membership and following,
servers, crashes, workspaces, regions, requests, load sharing. The parameters of each function show
what its parts depend on. Relies on every folder of the gateway except `lifecycle`, and on `parts`
for the types.
"""

from collections.abc import Callable

from .crashes.crash_reports import CrashReport, CrashReporter, SuccessReport
from .crashes.quarantine import Quarantine
from .crashes.quarantine_store import QuarantineStore
from .datagrams import Datagrams
from .following.fetch_failures import FetchFailures
from .following.follow_role import FollowRole
from .following.large_items import LargeItems
from .following.notices import ProgressNotices
from .following.peer_follower import PeerFollower
from .following.store_follower import StoreFollower
from .load_sharing.load_sharing import LoadSharing
from .membership.caller_part import own_part
from .membership.directory import Directory
from .membership.gossip import Gossip
from .membership.heartbeats import Heartbeats
from .membership.registrar import Registrar
from .membership.vm_capacity import requests_per_s
from .parts import (
    Context,
    Crashes,
    Fleet,
    Parts,
    Regions,
    Requests,
    Servers,
    State,
    Workspaces,
)
from .quotas.exchange import QuotaExchange
from .quotas.owners import QuotaOwners
from .quotas.parts import QuotaParts
from .quotas.quotas import FleetQuotas
from .regions.policies import PolicyTable
from .regions.region_reporter import RegionReportBuilder, RegionReporter
from .regions.region_reports import RegionReports
from .regions.shares import RegionShares
from .requests.admission.gate import AdmissionGate
from .requests.app import GatewayApp
from .requests.attempt_feedback import AttemptFeedback
from .requests.callers.arrival_budget import ArrivalBudget
from .requests.choice.region_moves import RegionMoves
from .requests.choice.server_choice import ServerChoice
from .requests.choice.server_order import ServerRanker
from .requests.choice.server_selection import ServerSelector
from .requests.outcome.process_end import ProcessEnd
from .requests.pipeline import Pipeline
from .requests.relay.relay import PeerRelay
from .requests.relay.relay_app import RelayApp
from .requests.relay.relay_peers import RelayPeers
from .requests.sender import Sender
from .resources import Member
from .servers.backend_registry import BackendRegistry
from .servers.capacity.live_estimates import LiveEstimates
from .servers.cold_reports import ColdReports
from .servers.health_asks import HealthAsks
from .servers.links.link_check import LinkCheck
from .servers.links.server_links import ServerLinks
from .servers.outliers import OutlierDetector
from .servers.peer_reports import FailureReport, OverloadReport, PeerReports
from .servers.pool import ConnectionPool
from .servers.probe import Prober
from .servers.start_doubts import StartDoubts
from .settings import GatewaySettings
from .state.named_state import NamedState
from .state.outages import StoreOutages
from .state.store_view import StoreView
from .statements.server_quotas import FleetServerQuotas, ServerQuotas
from .statements.start_asks import StartAsks
from .statements.statement_report import StatementReport
from .statements.statements import Statements
from .workspaces.admission import WorkspaceAdmission


def make_parts(
    context: Context, incarnation: int, on_unreadable: Callable[[str, str], None]
) -> Parts:
    """Create all parts, each from those before it.

    Args:
        context: Common dependencies.
        incarnation: Number of this process, higher than that of any earlier process of this VM.
        on_unreadable: Called with the key of an item that cannot be read and the cause.

    Raises:
        SettingsError: If the settings name a policy that is not shipped.
    """
    state = make_state(context, on_unreadable)
    fleet = make_fleet(context, state, incarnation)
    servers = make_servers(context, state, fleet)
    crashes = make_crashes(context, state, fleet)
    workspaces = make_workspaces(context, state, fleet)
    regions = make_regions(context, state, servers, on_unreadable)
    requests = make_requests(context, state, servers, crashes, workspaces, regions, fleet)
    region_reporter = make_region_reporter(context, state, fleet, regions, requests)
    return Parts(
        state=state,
        fleet=fleet,
        servers=servers,
        crashes=crashes,
        workspaces=workspaces,
        regions=regions,
        requests=requests,
        region_reporter=region_reporter,
        load_sharing=make_load_sharing(context, state, fleet, servers),
        named_state=make_named_state(context, state, servers, regions, requests),
    )


def make_state(context: Context, on_unreadable: Callable[[str, str], None]) -> State:
    """Create the store client and the parts that keep a copy of the store's items.

    Args:
        context: Common dependencies.
        on_unreadable: Called with the key of an item that cannot be read and the cause.
    """
    settings, adapter = context.settings, context.adapter
    view = StoreView(adapter.decoder, on_unreadable, events=context.events)
    view.on_era.append(
        lambda era: context.events.state("store-era", era=era, after=view.replica.complete_revision)
    )
    return State(
        store=adapter.store(settings, context.monotonic),
        view=view,
        outages=StoreOutages(settings.server_heartbeat_s),
    )


def make_fleet(context: Context, state: State, incarnation: int) -> Fleet:
    """Create the parts that communicate with other VMs.

    Args:
        context: Common dependencies.
        state: The parts that keep a copy of the store's items.
        incarnation: Number of this process, higher than that of any earlier process of this VM.
    """
    settings, timing = context.settings, context.timing
    datagrams = Datagrams(context.monotonic, context.events)
    gossip = Gossip(
        settings.name,
        incarnation,
        context.rng,
        link_mbps=settings.link_mbps,
        requests_per_s=requests_per_s(settings.cores, settings.link_mbps),
    )
    role = _follow_role(settings, state, gossip)
    notices = ProgressNotices(role, datagrams, timing)
    failures = FetchFailures(context.events, context.monotonic)
    large_items = LargeItems(state.view, role, notices, failures, context.events, timing)
    return Fleet(
        datagrams=datagrams,
        gossip=gossip,
        heartbeats=Heartbeats(
            settings.region, gossip, state.view, datagrams, timing, ready=context.ready
        ),
        registrar=Registrar(own_member(settings), state.view, gossip, state.store, timing),
        directory=Directory(state.view, gossip, settings.bounds.lookup_ttl_s, context.rng),
        follow_role=role,
        notices=notices,
        store_follower=StoreFollower(
            state.view, state.store, role, state.outages, context.events, timing, notices
        ),
        large_items=large_items,
        peer_follower=PeerFollower(
            state.view, role, notices, datagrams, timing, large_items, failures
        ),
    )


def _follow_role(settings: GatewaySettings, state: State, gossip: Gossip) -> FollowRole:
    regions = len(set(settings.regions.values()))
    return FollowRole(
        settings.name, settings.region, gossip, state.view, state.outages, regions=regions
    )


def own_member(settings: GatewaySettings) -> Member:
    """Return the entry with which this VM registers itself in the store."""
    return Member(
        settings.name,
        settings.hall,
        settings.region,
        settings.caller_address,
        settings.peer_address,
    )


def make_servers(context: Context, state: State, fleet: Fleet) -> Servers:
    """Create the parts that track backend servers, and register them for other VMs' reports.

    Args:
        context: Common dependencies.
        state: The parts that keep a copy of the store's items.
        fleet: The parts that communicate with other VMs.
    """
    settings = context.settings
    reports = PeerReports(fleet.datagrams, fleet.follow_role)
    registry = BackendRegistry(
        state.view, settings.bounds, settings.name, settings.regions, state.outages, reports
    )
    registry.events = context.events
    registry.known_vms.heard = lambda: fleet.gossip.latest
    registry.cold_limit.started_at = context.started_at
    outliers = OutlierDetector(registry, reports, context.events)
    fleet.datagrams.register(OverloadReport, registry.load_reports.on_overload_report)
    fleet.datagrams.register(FailureReport, outliers.on_failure_report)
    table = registry.statement_table
    statements = Statements(table, reports.send_statement, context.events, context.rng)
    pool = ConnectionPool(context.adapter.names.request_id, context.monotonic)
    fleet.datagrams.register(StatementReport, statements.on_report)
    prober = _prober(context, registry, statements)
    cold_reports = ColdReports(registry, fleet.datagrams, fleet.follow_role)
    prober.on_health.append(lambda server, cold: cold_reports.tell(server, cold=cold))
    health_asks = HealthAsks(registry, state.outages, fleet.gossip.in_touch, context.monotonic)
    start_doubts = StartDoubts(
        registry, cold_reports, health_asks, fleet.datagrams, started_at=context.started_at
    )
    start_asks = StartAsks(
        table,
        fleet.datagrams,
        fleet.follow_role,
        context.timing,
        learnt=lambda: not registry.doubts_listed,
    )
    start_asks.on_asked.append(start_doubts.answer)
    pool.on_unreachable.append(registry.address_failed)
    pool.on_connected.append(lambda address: registry.address_reached(address, context.monotonic()))
    return Servers(
        registry=registry,
        outliers=outliers,
        estimates=LiveEstimates(registry, outliers),
        statements=statements,
        start_asks=start_asks,
        pool=pool,
        prober=prober,
        cold_reports=cold_reports,
        health_asks=health_asks,
        links=_links(context, fleet, registry, pool),
    )


def _links(
    context: Context, fleet: Fleet, registry: BackendRegistry, pool: ConnectionPool
) -> ServerLinks:
    links = ServerLinks(
        registry,
        LinkCheck(registry, pool, context.rng),
        monotonic=context.monotonic,
        events=context.events,
    )
    pool.on_connected.append(links.record_connection)
    pool.on_unreachable.append(links.record_failure)

    def announce(up: bool) -> None:
        fleet.gossip.set_servers_reachable(up)
        fleet.heartbeats.announce()

    links.on_change.append(announce)
    return links


def _prober(context: Context, registry: BackendRegistry, statements: Statements) -> Prober:
    return Prober(
        registry,
        statements,
        context.adapter.names,
        context.events,
        monotonic=context.monotonic,
        wall=context.clock.wall,
        incarnation_of=context.adapter.probed_incarnation,
    )


def make_crashes(context: Context, state: State, fleet: Fleet) -> Crashes:
    """Create the parts that quarantine requests that crash backend servers.

    Args:
        context: Common dependencies.
        state: The parts that keep a copy of the store's items.
        fleet: The parts that communicate with other VMs.
    """
    name = context.settings.name
    quarantine = Quarantine(
        state.view,
        name,
        context.adapter.names.request_id,
        monotonic=context.monotonic,
        wall=context.clock.wall,
        events=context.events,
    )
    suspects = quarantine.suspects
    suspects.reporter = reporter = CrashReporter(
        fleet.datagrams, fleet.follow_role, context.timing, earlier=suspects.earlier
    )
    fleet.datagrams.register(CrashReport, suspects.on_crash_report)
    fleet.datagrams.register(SuccessReport, quarantine.on_success_report)
    store = QuarantineStore(
        quarantine, state.store, state.view, fleet.follow_role, context.timing, context.events
    )
    quarantine.take_trial = store.take_trial
    return Crashes(quarantine, reporter, store)


def make_workspaces(context: Context, state: State, fleet: Fleet) -> Workspaces:
    """Create the parts that check the keys and quotas of workspaces.

    Args:
        context: Common dependencies.
        state: The parts that keep a copy of the store's items.
        fleet: The parts that communicate with other VMs.
    """
    settings, monotonic, view = context.settings, context.monotonic, state.view
    owners = _quota_owners(context, state, fleet)
    parts = QuotaParts(owners, monotonic())
    exchange = QuotaExchange(
        parts,
        lambda name: admission.quota(name),
        view,
        fleet.datagrams,
        context.timing,
        name=settings.name,
    )
    quotas = FleetQuotas(
        owners, exchange, context.timing, hall=settings.hall, regions=settings.regions
    )
    admission = WorkspaceAdmission(view, quotas, settings.bounds, monotonic, context.events)
    return Workspaces(admission, quotas, exchange)


def _quota_owners(context: Context, state: State, fleet: Fleet) -> QuotaOwners:
    view = state.view
    return QuotaOwners(
        lambda: view.members,
        fleet.gossip.in_touch,
        regions=context.settings.regions,
        name=context.settings.name,
        started_at=context.monotonic(),
    )


def make_regions(
    context: Context, state: State, servers: Servers, on_unreadable: Callable[[str, str], None]
) -> Regions:
    """Create the parts that steer between regions.

    Args:
        context: Common dependencies.
        state: The parts that keep a copy of the store's items.
        servers: The parts that track backend servers.
        on_unreadable: Called with the key of a policy that cannot be used and the cause.

    Raises:
        SettingsError: If the settings name a policy that is not shipped.
    """
    settings = context.settings
    policies = PolicyTable(state.view, on_unreadable, default=settings.policy)
    reports = RegionReports(servers.registry, settings.name, settings.region)
    shares = RegionShares(
        servers.registry,
        policies,
        reports,
        regions=settings.regions,
        home=settings.region,
        shift_cap=settings.bounds.shift_cap,
    )
    return Regions(policies, reports, shares)


def make_requests(
    context: Context,
    state: State,
    servers: Servers,
    crashes: Crashes,
    workspaces: Workspaces,
    regions: Regions,
    fleet: Fleet,
) -> Requests:
    """Create the parts that process requests.

    Args:
        context: Common dependencies.
        state: The parts that keep a copy of the store's items.
        servers: The parts that track backend servers.
        crashes: The parts that quarantine requests that crash backend servers.
        workspaces: The parts that check the keys and quotas of workspaces.
        regions: The parts that steer between regions.
        fleet: The parts that communicate with other VMs.
    """
    settings, gossip = context.settings, fleet.gossip
    server_quotas = FleetServerQuotas(workspaces.quotas, context.monotonic)
    ranker = ServerRanker(servers.registry, regions.shares, settings.regions)
    moves = RegionMoves(regions.shares, settings.bounds.shift_cap, settings.name)
    selector = ServerSelector(
        servers.registry, servers.outliers, estimates=servers.estimates, moves=moves
    )
    admission = AdmissionGate(
        servers.registry,
        context.rng,
        events=context.events,
        estimates=servers.estimates,
        caller_part=lambda: own_part(
            settings.region, state.view.members.values(), gossip, context.monotonic()
        ),
    )
    process_end = ProcessEnd()
    relay_pool = ConnectionPool(context.adapter.names.request_id, context.monotonic)
    relay = _relay(context, state, servers, gossip, relay_pool, process_end)
    pipeline = Pipeline(
        state.view,
        ServerChoice(ranker, selector, crashes.quarantine, server_quotas, admission),
        _sender(context, servers, crashes, server_quotas, process_end),
        workspaces.admission,
        relay,
        bounds=settings.bounds,
        timing=context.timing,
    )
    app = GatewayApp(
        state.view,
        pipeline,
        names=context.adapter.names,
        events=context.events,
        monotonic=context.monotonic,
        memory_bytes=settings.memory_bytes,
        counters=context.events,
    )
    arrivals = ArrivalBudget(app.bodies, context.events)
    servers.pool.answers = relay_pool.answers = servers.prober.answers = arrivals
    relay_app = RelayApp(
        app,
        servers.links,
        context.events,
        monotonic=context.monotonic,
        requests_per_s=gossip.requests_per_s,
    )
    owners = (pipeline, moves, admission, relay)
    return Requests(pipeline, app, relay_app, relay_pool, owners)


def _relay(
    context: Context,
    state: State,
    servers: Servers,
    gossip: Gossip,
    pool: ConnectionPool,
    process_end: ProcessEnd,
) -> PeerRelay:
    peers = RelayPeers(own_member(context.settings), state.view, gossip, context.rng)
    return PeerRelay(
        servers.links,
        peers,
        pool,
        context.adapter.names,
        context.events,
        context.timing,
        process_end=process_end,
    )


def _sender(
    context: Context,
    servers: Servers,
    crashes: Crashes,
    server_quotas: ServerQuotas,
    process_end: ProcessEnd,
) -> Sender:
    feedback = AttemptFeedback(
        servers.registry,
        servers.outliers,
        crashes.quarantine,
        servers.statements,
        context.monotonic,
        context.events,
        servers.links,
    )
    return Sender(
        servers.registry,
        servers.pool,
        context.adapter.names,
        feedback,
        server_quotas,
        process_end=process_end,
        wall=context.clock.wall,
    )


def make_named_state(
    context: Context, state: State, servers: Servers, regions: Regions, requests: Requests
) -> NamedState:
    """Create the part that drops what is kept by names that the configuration no longer has.

    Args:
        context: Common dependencies.
        state: The parts that keep a copy of the store's items.
        servers: The parts that track backend servers.
        regions: The parts that steer between regions.
        requests: The parts that process requests.
    """
    return NamedState(
        state.view,
        (
            context.events,
            servers.registry,
            servers.outliers,
            servers.estimates,
            regions.shares,
            *requests.named_state_owners,
        ),
    )


def make_region_reporter(
    context: Context, state: State, fleet: Fleet, regions: Regions, requests: Requests
) -> RegionReporter:
    """Create the part that reports this region's load to all VMs.

    Args:
        context: Common dependencies.
        state: The parts that keep a copy of the store's items.
        fleet: The parts that communicate with other VMs.
        regions: The parts that steer between regions.
        requests: The parts that process requests; they count the demand at this VM.
    """
    builder = RegionReportBuilder(
        regions.policies,
        regions.reports,
        state.view,
        fleet.gossip,
        requests.pipeline.arrivals_per_s,
    )
    return RegionReporter(
        regions.reports,
        fleet.follow_role,
        fleet.datagrams,
        context.timing,
        own_report=builder.report,
    )


def make_load_sharing(
    context: Context, state: State, fleet: Fleet, servers: Servers
) -> LoadSharing:
    """Create the part that tells other VMs of the load and pace of backend servers.

    Args:
        context: Common dependencies.
        state: The parts that keep a copy of the store's items.
        fleet: The parts that communicate with other VMs.
        servers: The parts that track backend servers.
    """
    return LoadSharing(
        context.settings.region,
        servers.registry,
        fleet.gossip,
        state.view,
        fleet.datagrams,
        context.timing,
    )
