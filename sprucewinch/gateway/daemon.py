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
from .decision_log import Journal
from .following.follow_role import Relay
from .following.followers import NeighbourFollower, StoreFollower
from .header_names import Names
from .internal_apps import PeerApp, TextApp
from .listeners import Listening
from .membership.directory import Directory
from .membership.gossip import Gossip
from .membership.heartbeats import Heartbeats
from .membership.registrar import Registrar
from .regions.policies import PolicyBook
from .regions.region_reports import MeasureBoard, Measured
from .regions.shares import RegionShares
from .requests.app import GatewayApp
from .requests.pipeline import Pipeline
from .requests.sender import Sender
from .requests.server_order import Placer
from .resources import Member
from .servers.backend_registry import ServerBook
from .servers.outliers import Outliers
from .servers.pool import Pool
from .servers.probe import Prober
from .settings import GatewaySettings
from .state.outages import StoreOutages
from .state.store import Store
from .state.store_view import Beliefs, Decoder
from .timing import Timing
from .vm_state import machine_state

_TICK_S = 0.2
_SWEEP_S = 1.0
_STOP_POLL_S = 0.05
_STOP_MARGIN_S = 0.7
_FINAL_ANSWERS_S = 0.3
"""How long the final answers of requests that a stop gives up may take, in seconds."""

_LINGER_S = 3.2
"""How long a stopping machine goes on serving callers that still hold its address, in seconds."""


class Wire(Protocol):
    """What differs from platform to platform; an adapter provides it."""

    names: Names
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
        wire: Wire,
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
        self.journal = Journal(log.line, monotonic=monotonic, wall=self.clock.wall)
        self.beliefs = Beliefs(wire.decoder, self._unreadable)
        self.incarnation = incarnation
        self.gossip = Gossip(settings.name, incarnation, self.rng, link_mbps=settings.link_mbps)
        self.outages = StoreOutages(settings.server_heartbeat_s)
        self.book = ServerBook(
            self.beliefs, settings.bounds, settings.name, settings.regions, self.outages
        )
        self.policies = PolicyBook(self.beliefs, self._unreadable, default=settings.policy)
        self.board = MeasureBoard(self.book, settings.name, settings.region)
        self.shares = RegionShares(
            self.book,
            self.policies,
            self.board,
            regions=settings.regions,
            home=settings.region,
            shift_cap=settings.bounds.shift_cap,
        )
        self.pool = Pool(wire.names.request_id, monotonic)
        self.outliers = Outliers(self.book, note=self.journal.state)
        self.pipeline = Pipeline(
            self.beliefs,
            self.book,
            Placer(self.book, self.shares, settings.regions),
            Sender(self.book, self.outliers, self.pool, wire.names, monotonic, self.journal.state),
            bounds=settings.bounds,
            monotonic=monotonic,
            rng=self.rng,
        )
        self.app = GatewayApp(
            self.beliefs,
            self.pipeline,
            names=wire.names,
            journal=self.journal,
            monotonic=monotonic,
            memory_bytes=settings.memory_bytes,
        )
        self.directory = Directory(self.beliefs, self.gossip, settings.bounds.lookup_ttl_s)
        self.store = wire.store(settings, monotonic)
        self.beliefs.listeners.append(self.journal.learned)
        self.own = Member(
            settings.name,
            settings.zone,
            settings.region,
            settings.caller_address,
            settings.peer_address,
        )
        self.listening = Listening(settings.max_files)
        self.beliefs.listeners.append(self.listening.learn)
        self.relay = Relay(
            settings.name,
            settings.region,
            self.gossip,
            self.beliefs,
            self.outages,
            regions=len(set(settings.regions.values())),
        )
        self.heartbeats = Heartbeats(
            self.gossip,
            self.beliefs,
            self.relay,
            self.book,
            self.outliers,
            self.board,
            ready=self.ready,
            monotonic=monotonic,
            rng=self.rng,
        )
        self.book.tell_crowded = self.heartbeats.tell_crowded
        self.outliers.tell = self.heartbeats.tell_bad_sample
        self.heartbeats.own_measures = self._own_measures
        self._tasks: list[asyncio.Task] = []

    def ready(self) -> bool:
        """Tell whether callers may be sent here."""
        return self.beliefs.known and not self.stopping.is_set()

    async def run(self) -> None:
        """Serve until told to stop, then stop without cutting a request off."""
        self._take_signals()
        await self._listen()
        self._start_loops()
        self.journal.state("start", name=self.settings.name, incarnation=self.incarnation)
        await self.stopping.wait()
        await self._leave()
        self._ignore_signals()

    def _unreadable(self, key: str, cause: str) -> None:
        self.journal.counters["items_unreadable"] += 1
        self.journal.state("unreadable", key=key, cause=cause)

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
            self.journal.state("reload", outcome="unchanged")

    def _reload_if_changed(self) -> bool:
        """Take over changed settings; those that cannot be used leave the last good ones.

        Returns:
            True when there was something to tell.
        """
        try:
            settings = self.reread()
        except SettingsError as error:
            self.journal.state("reload", outcome="refused", cause=str(error))
            return True
        if settings is None:
            return False
        self.journal.state("reload", outcome="taken")
        self._follow_settings(settings)
        return True

    def _follow_settings(self, settings: GatewaySettings) -> None:
        """Put settings in force; listeners stay where they are until the next start."""
        self.settings = settings
        self.book.bounds = self.pipeline.bounds = settings.bounds
        self.pipeline.budgets.clear()
        self.directory.limit(settings.bounds.lookup_ttl_s)
        self.store.move(settings.store_address)

    async def _listen(self) -> None:
        settings = self.settings
        monotonic = self.clock.monotonic
        apps: dict[str, AsgiApp] = {
            settings.caller_address: self.app,
            settings.ready_address: self.wire.ready_app(self.ready),
            settings.peer_address: PeerApp(self.beliefs),
            settings.metrics_address: TextApp({"/metrics": self._report, "/state": self._state}),
        }
        if settings.directory_address:
            apps[settings.directory_address] = self.wire.directory_app(self.directory, monotonic)
        for address, app in apps.items():
            if address:
                await self.listening.serve(address, app)
        await self.heartbeats.listen(settings.peer_address)

    def _start_loops(self) -> None:
        timing = Timing(self.clock.monotonic, self.rng)
        self.follower = StoreFollower(
            self.beliefs,
            self.store,
            self.relay,
            self.outages,
            self.journal,
            timing,
            tell=lambda: self.heartbeats.tell_news(changed=True),
        )
        self.neighbours = NeighbourFollower(
            self.beliefs, self.gossip, self.relay, self.heartbeats, timing
        )
        registrar = Registrar(self.own, self.beliefs, self.gossip, self.store, timing)
        prober = Prober(self.book, self.wire.names, self.journal, timing.monotonic)
        for loop in (
            self.follower.run,
            self.neighbours.run,
            registrar.run,
            prober.run,
            self.heartbeats.run,
            self.heartbeats.run_news,
            self.heartbeats.run_measures,
            self._tick_loop,
        ):
            supervised = forever(loop, self._loop_failed, pause_s=_TICK_S)
            self._tasks.append(asyncio.ensure_future(supervised))

    def _loop_failed(self, loop: Step, error: Exception) -> None:
        """Count and log a failure of one part, which must not end the process."""
        self.journal.counters["loop_faults"] += 1
        self.journal.state("fault", loop=loop.__qualname__, error=repr(error))

    def _own_measures(self, now: float) -> Optional[Measured]:
        """Return what this machine has seen of its region; None while no policy asks for it."""
        if not self.policies.steers_by_measures:
            return None
        machines = sum(
            member.region == self.settings.region and self.gossip.takes_callers(member.name, now)
            for member in self.beliefs.members.values()
        )
        return self.board.measure(
            lambda service: machines * self.pipeline.arrivals_per_s(service, now), now
        )

    async def _tick_loop(self) -> None:
        swept_at = self.clock.monotonic()
        while True:
            now = self.clock.monotonic()
            self.book.now = now
            self.book.settled = self.beliefs.known
            self.book.drop_missing(now)
            self.shares.tick(now)
            if now - swept_at > _SWEEP_S:
                swept_at = now
                self.pool.sweep()
                self.outliers.forget()
                self._share_connections()
                self._reload_if_changed()
            await asyncio.sleep(_TICK_S)

    def _share_connections(self) -> None:
        configuration = self.beliefs.configuration
        if configuration is not None and configuration.services:
            least = min(rule.connections for rule in configuration.services.values())
            self.pool.share(least, self.book.machines())

    async def _leave(self) -> None:
        """Tell everybody, serve those who still come, and end before the process is killed.

        An answer counts as given once its connection has ended: a caller that reads slowly may
        have most of it still to come when the request is over here.
        """
        now = self.clock.monotonic()
        self.app.stopping = True
        self.journal.state("stopping", in_flight=self.app.in_flight)
        self.heartbeats.send(self.beliefs.members)
        end = now + self.settings.bounds.grace_s - _STOP_MARGIN_S
        await self._until(lambda: False, min(end, now + _LINGER_S))
        self.listening.accept_no_more()
        await self._until(lambda: self.listening.closed, end)
        if self.app.in_flight:
            self.app.give_up()
            await self._until(lambda: self.app.in_flight == 0, end + _FINAL_ANSWERS_S)
        self.journal.state("stop", in_flight=self.app.in_flight)

    async def _until(self, holds: Callable[[], bool], end: float) -> None:
        """Wait until something holds, at the longest until some monotonic time, in seconds."""
        while not holds() and self.clock.monotonic() < end:
            await asyncio.sleep(_STOP_POLL_S)

    def _state(self) -> str:
        return machine_state(self).to_json()

    def _report(self) -> str:
        now = self.clock.monotonic()
        gauges = {
            "in_flight": self.app.in_flight,
            "body_bytes": self.app.buffered,
            "backend_connections_opened": self.pool.opened,
            "store_calls": self.store.calls,
            "store_revision": self.beliefs.replica.at,
            "store_age_s": now - self.beliefs.confirmed_at,
            "configuration_version": self.journal.configuration_version,
            "members": len(self.beliefs.members),
            "members_open": sum(self.gossip.takes_callers(m, now) for m in self.beliefs.members),
            "backend_servers": len(self.beliefs.backends),
            "neighbour_deltas": self.neighbours.taken,
        }
        return self.journal.report(gauges)
