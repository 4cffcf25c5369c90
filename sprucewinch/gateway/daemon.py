"""One entry VM of the routed request path: start, background loops, settings in force, stop.

Owns the life cycle of the process: the order of start and stop, the listeners, the supervised loops
and the settings in force. Relies on `composition` for the parts, on `lifecycle` for reload, upkeep
and graceful stop, on `process_signals`, and on the adapter for what depends on the platform. Read
`Gateway.run` first.
"""

import asyncio
import gc
import random
import signal
from collections.abc import Callable, Iterator
from typing import Optional

from .. import log
from .._supervise import Step, forever
from ..clock import Clock, SystemClock
from ..net.http_server import AsgiApp
from ..process_signals import ProcessSignals
from .composition import make_parts
from .connection_metrics import ConnectionMetrics
from .decision_log import DecisionLog
from .internal_apps import DeltaApp, PeerApp, TextApp
from .lifecycle.reload import Reloader
from .lifecycle.shutdown import Shutdown
from .lifecycle.upkeep import Upkeep
from .listeners import Listeners
from .parts import Context, Parts
from .platform_adapter import PlatformAdapter
from .requests.relay.relay_message import RELAY_PREFIX
from .settings import GatewaySettings
from .shared_text import SharedText
from .vm_metrics import vm_metrics
from .vm_state import vm_state

_MS_PER_S = 1000
"""Milliseconds in a second; an incarnation is the wall-clock time of the start in milliseconds."""

_TICK_INTERVAL_S = 0.2
"""Time between two ticks, and between the failure of a loop and its next run, in seconds.

It is a tenth of the shift cap's window, so that shares move in small steps.
"""


class Gateway:
    """One entry VM.

    Args:
        settings: Settings of this VM.
        adapter: Adapter to the platform.
        reread: Returns the settings as they are now, or None if they are unchanged.
        stop_asked: Returns whether the process received a signal to stop before `run`.
        clock: Source of time.
        rng: Source of randomness.
        started_at: Monotonic time at which this process started, in seconds; None for now.

    Raises:
        SettingsError: If the settings name a policy that is not shipped.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        adapter: PlatformAdapter,
        *,
        reread: Callable[[], Optional[GatewaySettings]] = lambda: None,
        stop_asked: Callable[[], bool] = lambda: False,
        clock: Optional[Clock] = None,
        rng: Optional[random.Random] = None,
        started_at: Optional[float] = None,
    ) -> None:
        self.settings = settings
        self.adapter = adapter
        self.stop_asked = stop_asked
        self.clock = clock or SystemClock()
        self.stopping = asyncio.Event()
        self.incarnation = int(self.clock.wall() * _MS_PER_S)
        self.events = DecisionLog(log.line, monotonic=self.clock.monotonic, wall=self.clock.wall)
        self.context = Context(
            settings,
            adapter,
            self.clock,
            rng or random.Random(),
            self.events,
            self.ready,
            self.clock.monotonic() if started_at is None else started_at,
        )
        self.parts = parts = make_parts(self.context, self.incarnation, self._report_unreadable)
        self.state, self.fleet, self.servers = parts.state, parts.fleet, parts.servers
        self.crashes, self.regions = parts.crashes, parts.regions
        self.requests, self.region_reporter = parts.requests, parts.region_reporter
        self.listeners = Listeners(settings.max_files, ConnectionMetrics(self.events))
        self.state.view.listeners.append(self.events.learned)
        self.state.view.listeners.append(self.listeners.on_change)
        self.reloader = Reloader(reread, self._apply_settings, self.events)
        self.signals = self._make_signals()
        self.upkeep = self._make_upkeep(parts)
        self.shutdown = self._make_shutdown()
        self._tasks: list[asyncio.Task] = []

    def _make_signals(self) -> ProcessSignals:
        return ProcessSignals(
            {
                signal.SIGTERM: self.stopping.set,
                signal.SIGINT: self.stopping.set,
                signal.SIGHUP: self.reloader.reload,
            },
            monotonic=self.clock.monotonic,
        )

    def _make_upkeep(self, parts: Parts) -> Upkeep:
        return Upkeep(
            parts,
            reload_if_changed=self.reloader.reload_if_changed,
            monotonic=self.clock.monotonic,
            tick_s=_TICK_INTERVAL_S,
            events=self.events,
        )

    def _make_shutdown(self) -> Shutdown:
        return Shutdown(
            self.requests.app,
            self.listeners,
            self.fleet.heartbeats,
            self.events,
            monotonic=self.clock.monotonic,
        )

    def ready(self) -> bool:
        """Return whether callers may be sent to this VM."""
        return self.state.view.has_configuration and not self.stopping.is_set()

    async def run(self) -> None:
        """Serve until a signal to stop arrives, then stop as `lifecycle.shutdown` describes.

        A process that received a signal to stop before this call serves no request and ends at
        once.
        """
        self.signals.take()
        if self.stop_asked():
            self.signals.ignore()
            self.events.state("stop", in_flight=0)
            return
        await self._listen()
        self._start_loops()
        self.events.state("start", name=self.settings.name, incarnation=self.incarnation)
        await self.stopping.wait()
        await self.shutdown.run(self.settings.bounds.grace_s, self._stop_signalled_at())
        self.signals.ignore()
        # The interpreter would search all objects for unreachable ones before the process ends.
        gc.freeze()

    def _stop_signalled_at(self) -> Optional[float]:
        """Return when a signal to stop came first, in monotonic seconds; None without one."""
        stops = (signal.SIGTERM, signal.SIGINT)
        times = [at for number, at in self.signals.received_at.items() if number in stops]
        return min(times, default=None)

    def _report_unreadable(self, key: str, cause: str) -> None:
        self.events.count("items_unreadable")
        self.events.state("unreadable", key=key, cause=cause)

    def _apply_settings(self, settings: GatewaySettings) -> None:
        """Put a part of changed settings in force; the others apply from the next start.

        Limits on cold servers and retries, the grace period, the TTL of look-up answers and the
        address of the store apply at once. Shift cap, policy, memory, file descriptors, heartbeat
        interval of the servers, link bandwidth, data halls and listen addresses apply from the
        next start.
        """
        self.settings = settings
        self.context = self.context._replace(settings=settings)
        self.servers.registry.set_bounds(settings.bounds)
        self.requests.pipeline.set_bounds(settings.bounds)
        self.fleet.directory.set_max_ttl(settings.bounds.lookup_ttl_s)
        self.state.store.move(settings.store_address)

    async def _listen(self) -> None:
        settings = self.settings
        monotonic = self.clock.monotonic
        callers = self.requests.app
        await self.listeners.serve(settings.caller_address, callers, callers.answers)
        peers = PeerApp(
            RELAY_PREFIX, self.requests.relay_app, DeltaApp(self.state.view, self.events)
        )
        await self.listeners.serve(settings.peer_address, peers, callers.answers)
        apps: dict[str, AsgiApp] = {
            settings.ready_address: self.adapter.ready_app(self.ready),
            settings.metrics_address: self._text_app(),
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
            self.fleet.large_items.run,
            self.fleet.registrar.run,
            self.servers.prober.run,
            self.servers.cold_reports.run,
            self.servers.health_asks.run,
            self.servers.links.run,
            self.servers.start_asks.run,
            self.fleet.heartbeats.run,
            self.fleet.notices.run,
            self.region_reporter.run,
            self.parts.load_sharing.run,
            self.crashes.reporter.run,
            self.crashes.store.run,
            self._tick_loop,
        ):
            supervised = forever(loop, self._loop_failed, pause_s=_TICK_INTERVAL_S)
            self._tasks.append(asyncio.ensure_future(supervised))

    async def _tick_loop(self) -> None:
        """Run the upkeep; the event `fault` identifies the loop by the name of this method."""
        await self.upkeep.run()

    def _loop_failed(self, loop: Step, error: Exception) -> None:
        """Count and log the failure of one loop, which must not end the process."""
        self.events.count("loop_faults")
        self.events.state("fault", loop=loop.__qualname__, error=repr(error))

    def _state(self) -> Iterator[str]:
        yield vm_state(self.context, self.parts).to_json()

    def _report(self) -> Iterator[str]:
        return vm_metrics(self.context, self.parts, self.listeners.connections())

    def _text_app(self) -> TextApp:
        texts = {"/metrics": ("metrics", self._report), "/state": ("state", self._state)}
        return TextApp(
            {
                path: SharedText(step, parts, monotonic=self.clock.monotonic, events=self.events)
                for path, (step, parts) in texts.items()
            }
        )
