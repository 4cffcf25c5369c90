"""One entry VM of the routed request path: start, loops, reload, stop.

Owns the process's life: signals, listeners, supervised loops, settings that change, and the order
of a stop. Relies on `composition` for the parts and on the adapter for what the platform decides.
"""

import asyncio
import random
import signal
from collections.abc import Callable
from typing import Optional

from .. import log
from .._supervise import Step, forever
from ..clock import Clock, SystemClock
from ..errors import SettingsError
from ..net.http_server import AsgiApp
from .composition import (
    Context,
    make_fleet,
    make_regions,
    make_reporter,
    make_requests,
    make_servers,
    make_state,
)
from .decision_log import DecisionLog
from .internal_apps import DeltaApp, TextApp
from .listeners import Listeners
from .platform_adapter import PlatformAdapter
from .settings import GatewaySettings
from .vm_state import vm_state

_TICK_S = 0.2
_SWEEP_S = 1.0
_STOP_POLL_S = 0.05
_STOP_MARGIN_S = 0.7
_FINAL_ANSWERS_S = 0.3
"""How long the final answers of requests that a stop gives up may take, in seconds."""

_LINGER_S = 3.2
"""How long a stopping VM goes on serving callers that still hold its address, in seconds."""


class Gateway:
    """One entry VM.

    Args:
        settings: Its settings.
        adapter: The platform's translation.
        reread: Returns the settings as they are now, or None when they are unchanged.
        clock: Source of time.
        rng: Source of randomness.

    Raises:
        SettingsError: When the settings name a policy that is not shipped.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        adapter: PlatformAdapter,
        *,
        reread: Callable[[], Optional[GatewaySettings]] = lambda: None,
        clock: Optional[Clock] = None,
        rng: Optional[random.Random] = None,
    ) -> None:
        self.settings = settings
        self.adapter = adapter
        self.reread = reread
        self.clock = clock or SystemClock()
        self.stopping = asyncio.Event()
        self.incarnation = int(self.clock.wall() * 1000)
        self.events = DecisionLog(log.line, monotonic=self.clock.monotonic, wall=self.clock.wall)
        context = Context(
            settings, adapter, self.clock, rng or random.Random(), self.events, self.ready
        )
        self.context = context
        self.state = make_state(context, self._unreadable)
        self.fleet = make_fleet(context, self.state, self.incarnation)
        self.servers = make_servers(context, self.state, self.fleet)
        self.regions = make_regions(context, self.state, self.servers, self._unreadable)
        self.requests = make_requests(context, self.state, self.servers, self.regions)
        self.reporter = make_reporter(context, self.state, self.fleet, self.regions, self.requests)
        self.listeners = Listeners(settings.max_files)
        self.state.view.listeners.append(self.events.learned)
        self.state.view.listeners.append(self.listeners.on_change)
        self._tasks: list[asyncio.Task] = []

    def ready(self) -> bool:
        """Tell whether callers may be sent here."""
        return self.state.view.has_configuration and not self.stopping.is_set()

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
        self.events.count("items_unreadable")
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
        self.context = self.context._replace(settings=settings)
        self.servers.registry.set_bounds(settings.bounds)
        self.requests.pipeline.set_bounds(settings.bounds)
        self.fleet.directory.limit(settings.bounds.lookup_ttl_s)
        self.state.store.move(settings.store_address)

    async def _listen(self) -> None:
        settings = self.settings
        monotonic = self.clock.monotonic
        apps: dict[str, AsgiApp] = {
            settings.caller_address: self.requests.app,
            settings.ready_address: self.adapter.ready_app(self.ready),
            settings.peer_address: DeltaApp(self.state.view),
            settings.metrics_address: TextApp({"/metrics": self._report, "/state": self._state}),
        }
        if settings.directory_address:
            apps[settings.directory_address] = self.adapter.directory_app(
                self.fleet.directory, monotonic
            )
        for address, app in apps.items():
            if address:
                await self.listeners.serve(address, app)
        await self.fleet.datagrams.listen(settings.peer_address)

    def _start_loops(self) -> None:
        for loop in (
            self.fleet.store_follower.run,
            self.fleet.peer_follower.run,
            self.fleet.registrar.run,
            self.servers.prober.run,
            self.fleet.heartbeats.run,
            self.fleet.notices.run,
            self.reporter.run,
            self._tick_loop,
        ):
            supervised = forever(loop, self._loop_failed, pause_s=_TICK_S)
            self._tasks.append(asyncio.ensure_future(supervised))

    def _loop_failed(self, loop: Step, error: Exception) -> None:
        """Count and log a failure of one part, which must not end the process."""
        self.events.count("loop_faults")
        self.events.state("fault", loop=loop.__qualname__, error=repr(error))

    async def _tick_loop(self) -> None:
        swept_at = self.clock.monotonic()
        while True:
            now = self.clock.monotonic()
            if self.state.view.has_configuration:
                self.servers.registry.settle()
            self.servers.registry.drop_lapsed(now)
            self.regions.shares.tick(now)
            if now - swept_at > _SWEEP_S:
                swept_at = now
                self._sweep()
            await asyncio.sleep(_TICK_S)

    def _sweep(self) -> None:
        """Close old connections, forget servers that are gone, look at the settings."""
        self.servers.pool.sweep()
        self.servers.outliers.drop_gone()
        self._share_connections()
        self._reload_if_changed()

    def _share_connections(self) -> None:
        configuration = self.state.view.configuration
        if configuration is not None and configuration.services:
            least = min(rule.connections for rule in configuration.services.values())
            self.servers.pool.share(least, self.servers.registry.vm_count())

    async def _leave(self) -> None:
        """Tell everybody, serve those who still come, and end before the process is killed.

        An answer counts as given once its connection has ended: a caller that reads slowly may
        have most of it still to come when the request is over here.
        """
        now = self.clock.monotonic()
        self.requests.app.stop()
        self.events.state("stopping", in_flight=self.requests.app.in_flight)
        self.fleet.heartbeats.send(self.state.view.members)
        end = now + self.settings.bounds.grace_s - _STOP_MARGIN_S
        await self._until(lambda: False, min(end, now + _LINGER_S))
        self.listeners.stop_accepting()
        await self._until(lambda: self.listeners.closed, end)
        if self.requests.app.in_flight:
            self.requests.app.give_up_all()
            await self._until(lambda: self.requests.app.in_flight == 0, end + _FINAL_ANSWERS_S)
        self.events.state("stop", in_flight=self.requests.app.in_flight)

    async def _until(self, holds: Callable[[], bool], end: float) -> None:
        """Wait until something holds, at the longest until some monotonic time, in seconds."""
        while not holds() and self.clock.monotonic() < end:
            await asyncio.sleep(_STOP_POLL_S)

    def _state(self) -> str:
        return vm_state(self.context, self.state, self.fleet, self.servers, self.regions).to_json()

    def _report(self) -> str:
        now = self.clock.monotonic()
        view = self.state.view
        gauges = {
            "in_flight": self.requests.app.in_flight,
            "body_bytes": self.requests.app.buffered,
            "backend_connections_opened": self.servers.pool.opened,
            "store_calls": self.state.store.calls,
            "store_revision": view.replica.at,
            "store_age_s": now - view.confirmed_at,
            "configuration_version": self.events.configuration_version,
            "members": len(view.members),
            "members_open": sum(self.fleet.gossip.accepts_callers(m, now) for m in view.members),
            "backend_servers": len(view.backends),
            "neighbour_deltas": self.fleet.peer_follower.taken,
        }
        return self.events.report(gauges)
