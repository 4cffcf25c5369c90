"""One entry VM of the routed request path, put together."""

import asyncio
import random
import signal
from collections.abc import Callable
from typing import Optional, Protocol

from .. import log
from .._supervise import Step, forever
from ..clock import Clock, SystemClock
from ..errors import SettingsError
from ..net.http_server import AsgiApp
from .decision_log import DecisionLog
from .following.follow_role import FollowRole
from .following.followers import PeerFollower, StoreFollower
from .header_names import HeaderNames
from .internal_apps import DeltaApp, TextApp
from .listeners import Listeners
from .membership.directory import Directory
from .membership.gossip import Gossip
from .membership.heartbeats import Heartbeats
from .membership.registrar import Registrar
from .regions.policies import PolicyTable
from .regions.region_reports import RegionReport, RegionReports
from .regions.shares import RegionShares
from .requests.app import GatewayApp
from .requests.pipeline import Pipeline
from .requests.sender import Sender
from .requests.server_order import ServerRanker
from .resources import Member
from .servers.backend_registry import BackendRegistry
from .servers.outliers import OutlierDetector
from .servers.pool import ConnectionPool
from .servers.probe import Prober
from .settings import GatewaySettings
from .state.outages import StoreOutages
from .state.store import Store
from .state.store_view import Decoder, StoreView
from .timing import Timing
from .vm_state import vm_state

_TICK_S = 0.2
_SWEEP_S = 1.0
_STOP_POLL_S = 0.05
_STOP_MARGIN_S = 0.7
_FINAL_ANSWERS_S = 0.3
"""How long the final answers of requests that a stop gives up may take, in seconds."""

_LINGER_S = 3.2
"""How long a stopping VM goes on serving callers that still hold its address, in seconds."""


class PlatformAdapter(Protocol):
    """What differs from platform to platform; an adapter provides it."""

    names: HeaderNames
    decoder: Decoder

    def store(self, settings: GatewaySettings, monotonic: Callable[[], float]) -> Store:
        """Return a client of the store."""
        ...

    def directory_app(self, directory: Directory, monotonic: Callable[[], float]) -> AsgiApp:
        """Return the application that answers look-ups."""
        ...

    def ready_app(self, ready: Callable[[], bool]) -> AsgiApp:
        """Return the application that answers readiness checks."""
        ...


class Gateway:
    """One entry VM.

    Args:
        settings: Its settings.
        wire: The platform's translation.
        reread: Returns the settings as they are now, or None when they are unchanged.
        clock: Source of time.
        rng: Source of randomness.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        wire: PlatformAdapter,
        *,
        reread: Callable[[], Optional[GatewaySettings]] = lambda: None,
        clock: Optional[Clock] = None,
        rng: Optional[random.Random] = None,
    ) -> None:
        self.settings = settings
        self.wire = wire
        self.reread = reread
        self.clock = clock or SystemClock()
        self.rng = rng or random.Random()
        self.stopping = asyncio.Event()
        monotonic = self.clock.monotonic
        incarnation = int(self.clock.wall() * 1000)
        self.events = DecisionLog(log.line, monotonic=monotonic, wall=self.clock.wall)
        self.store_view = StoreView(wire.decoder, self._unreadable)
        self.incarnation = incarnation
        self.gossip = Gossip(settings.name, incarnation, self.rng, link_mbps=settings.link_mbps)
        self.outages = StoreOutages(settings.server_heartbeat_s)
        self.registry = BackendRegistry(
            self.store_view, settings.bounds, settings.name, settings.regions, self.outages
        )
        self.policies = PolicyTable(self.store_view, self._unreadable, default=settings.policy)
        self.region_reports = RegionReports(self.registry, settings.name, settings.region)
        self.shares = RegionShares(
            self.registry,
            self.policies,
            self.region_reports,
            regions=settings.regions,
            home=settings.region,
            shift_cap=settings.bounds.shift_cap,
        )
        self.pool = ConnectionPool(wire.names.request_id, monotonic)
        self.outliers = OutlierDetector(self.registry, note=self.events.state)
        self.pipeline = Pipeline(
            self.store_view,
            self.registry,
            ServerRanker(self.registry, self.shares, settings.regions),
            Sender(
                self.registry, self.outliers, self.pool, wire.names, monotonic, self.events.state
            ),
            bounds=settings.bounds,
            monotonic=monotonic,
            rng=self.rng,
        )
        self.app = GatewayApp(
            self.store_view,
            self.pipeline,
            names=wire.names,
            events=self.events,
            monotonic=monotonic,
            memory_bytes=settings.memory_bytes,
        )
        self.directory = Directory(self.store_view, self.gossip, settings.bounds.lookup_ttl_s)
        self.store = wire.store(settings, monotonic)
        self.store_view.listeners.append(self.events.learned)
        self.own = Member(
            settings.name,
            settings.hall,
            settings.region,
            settings.caller_address,
            settings.peer_address,
        )
        self.listeners = Listeners(settings.max_files)
        self.store_view.listeners.append(self.listeners.learn)
        self.follow_role = FollowRole(
            settings.name,
            settings.region,
            self.gossip,
            self.store_view,
            self.outages,
            regions=len(set(settings.regions.values())),
        )
        self.heartbeats = Heartbeats(
            self.gossip,
            self.store_view,
            self.follow_role,
            self.registry,
            self.outliers,
            self.region_reports,
            ready=self.ready,
            monotonic=monotonic,
            rng=self.rng,
        )
        self.registry.report_overload = self.heartbeats.report_overload
        self.outliers.tell = self.heartbeats.report_failure
        self.heartbeats.own_report = self._own_measures
        self._tasks: list[asyncio.Task] = []

    def ready(self) -> bool:
        """Tell whether callers may be sent here."""
        return self.store_view.has_configuration and not self.stopping.is_set()

    async def run(self) -> None:
        """Serve until told to stop, then stop without cutting a request off."""
        self._take_signals()
        await self._listen()
        self._start_loops()
        self.events.state("start", name=self.settings.name, incarnation=self.incarnation)
        await self.stopping.wait()
        await self._leave()
        self._ignore_signals()

    def _unreadable(self, key: str, cause: str) -> None:
        self.events.counters["items_unreadable"] += 1
        self.events.state("unreadable", key=key, cause=cause)

    def _take_signals(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stopping.set)
        loop.add_signal_handler(signal.SIGINT, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)

    def _ignore_signals(self) -> None:
        """Let nobody who tells this process to stop once more end it with a failure."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)

    def _reload(self) -> None:
        """Look at the settings when told to."""
        if not self._reload_if_changed():
            self.events.state("reload", outcome="unchanged")

    def _reload_if_changed(self) -> bool:
        """Take over changed settings; those that cannot be used leave the last good ones.

        Returns:
            True when there was something to tell.
        """
        try:
            settings = self.reread()
        except SettingsError as error:
            self.events.state("reload", outcome="refused", cause=str(error))
            return True
        if settings is None:
            return False
        self.events.state("reload", outcome="taken")
        self._follow_settings(settings)
        return True

    def _follow_settings(self, settings: GatewaySettings) -> None:
        """Put settings in force; listeners stay where they are until the next start."""
        self.settings = settings
        self.registry.bounds = self.pipeline.bounds = settings.bounds
        self.pipeline.budgets.clear()
        self.directory.limit(settings.bounds.lookup_ttl_s)
        self.store.move(settings.store_address)

    async def _listen(self) -> None:
        settings = self.settings
        monotonic = self.clock.monotonic
        apps: dict[str, AsgiApp] = {
            settings.caller_address: self.app,
            settings.ready_address: self.wire.ready_app(self.ready),
            settings.peer_address: DeltaApp(self.store_view),
            settings.metrics_address: TextApp({"/metrics": self._report, "/state": self._state}),
        }
        if settings.directory_address:
            apps[settings.directory_address] = self.wire.directory_app(self.directory, monotonic)
        for address, app in apps.items():
            if address:
                await self.listeners.serve(address, app)
        await self.heartbeats.listen(settings.peer_address)

    def _start_loops(self) -> None:
        timing = Timing(self.clock.monotonic, self.rng)
        self.follower = StoreFollower(
            self.store_view,
            self.store,
            self.follow_role,
            self.outages,
            self.events,
            timing,
            tell=lambda: self.heartbeats.send_notice(changed=True),
        )
        self.peer_follower = PeerFollower(
            self.store_view, self.gossip, self.follow_role, self.heartbeats, timing
        )
        registrar = Registrar(self.own, self.store_view, self.gossip, self.store, timing)
        prober = Prober(self.registry, self.wire.names, self.events, timing.monotonic)
        for loop in (
            self.follower.run,
            self.peer_follower.run,
            registrar.run,
            prober.run,
            self.heartbeats.run,
            self.heartbeats.run_notices,
            self.heartbeats.run_reports,
            self._tick_loop,
        ):
            supervised = forever(loop, self._loop_failed, pause_s=_TICK_S)
            self._tasks.append(asyncio.ensure_future(supervised))

    def _loop_failed(self, loop: Step, error: Exception) -> None:
        """Count and log a failure of one part, which must not end the process."""
        self.events.counters["loop_faults"] += 1
        self.events.state("fault", loop=loop.__qualname__, error=repr(error))

    def _own_measures(self, now: float) -> Optional[RegionReport]:
        """Return what this VM has seen of its region; None while no policy asks for it."""
        if not self.policies.reads_measures_anywhere:
            return None
        vm_count = sum(
            member.region == self.settings.region and self.gossip.accepts_callers(member.name, now)
            for member in self.store_view.members.values()
        )
        return self.region_reports.measure(
            lambda service: vm_count * self.pipeline.arrivals_per_s(service, now), now
        )

    async def _tick_loop(self) -> None:
        swept_at = self.clock.monotonic()
        while True:
            now = self.clock.monotonic()
            self.registry.now = now
            self.registry.settled = self.store_view.has_configuration
            self.registry.drop_lapsed(now)
            self.shares.tick(now)
            if now - swept_at > _SWEEP_S:
                swept_at = now
                self.pool.sweep()
                self.outliers.forget()
                self._share_connections()
                self._reload_if_changed()
            await asyncio.sleep(_TICK_S)

    def _share_connections(self) -> None:
        configuration = self.store_view.configuration
        if configuration is not None and configuration.services:
            least = min(rule.connections for rule in configuration.services.values())
            self.pool.share(least, self.registry.vm_count())

    async def _leave(self) -> None:
        """Tell everybody, serve those who still come, and end before the process is killed.

        An answer counts as given once its connection has ended: a caller that reads slowly may
        have most of it still to come when the request is over here.
        """
        now = self.clock.monotonic()
        self.app.stopping = True
        self.events.state("stopping", in_flight=self.app.in_flight)
        self.heartbeats.send(self.store_view.members)
        end = now + self.settings.bounds.grace_s - _STOP_MARGIN_S
        await self._until(lambda: False, min(end, now + _LINGER_S))
        self.listeners.stop_accepting()
        await self._until(lambda: self.listeners.closed, end)
        if self.app.in_flight:
            self.app.give_up_all()
            await self._until(lambda: self.app.in_flight == 0, end + _FINAL_ANSWERS_S)
        self.events.state("stop", in_flight=self.app.in_flight)

    async def _until(self, holds: Callable[[], bool], end: float) -> None:
        """Wait until something holds, at the longest until some monotonic time, in seconds."""
        while not holds() and self.clock.monotonic() < end:
            await asyncio.sleep(_STOP_POLL_S)

    def _state(self) -> str:
        return vm_state(self).to_json()

    def _report(self) -> str:
        now = self.clock.monotonic()
        gauges = {
            "in_flight": self.app.in_flight,
            "body_bytes": self.app.buffered,
            "backend_connections_opened": self.pool.opened,
            "store_calls": self.store.calls,
            "store_revision": self.store_view.replica.at,
            "store_age_s": now - self.store_view.confirmed_at,
            "configuration_version": self.events.configuration_version,
            "members": len(self.store_view.members),
            "members_open": sum(
                self.gossip.accepts_callers(m, now) for m in self.store_view.members
            ),
            "backend_servers": len(self.store_view.backends),
            "neighbour_deltas": self.peer_follower.taken,
        }
        return self.events.report(gauges)
