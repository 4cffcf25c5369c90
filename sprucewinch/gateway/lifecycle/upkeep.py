"""Periodic upkeep: moves shares, drops expired entries, closes old connections, reloads settings.

Owns the interval of each of these tasks. Relies on the parts that perform them; it decides nothing
itself.
"""

import asyncio
from collections.abc import Callable

from ..decision_log import DecisionLog
from ..parts import Parts
from ..statements.server_quotas import forget_unstated

_SWEEP_INTERVAL_S = 1.0
"""Time between two sweeps, in seconds."""


class Upkeep:
    """Runs the periodic upkeep.

    Args:
        parts: All parts of the VM.
        reload_if_changed: Reloads the settings if they have changed.
        monotonic: Source of time, in seconds.
        tick_s: Time between two ticks, in seconds.
        events: Measures how late ticks are, and how long they take.
    """

    def __init__(
        self,
        parts: Parts,
        *,
        reload_if_changed: Callable[[], bool],
        monotonic: Callable[[], float],
        tick_s: float,
        events: DecisionLog,
    ) -> None:
        self.state = parts.state
        self.servers = parts.servers
        self.workspaces = parts.workspaces
        self.regions = parts.regions
        self.requests = parts.requests
        self.named_state = parts.named_state
        self.reload_if_changed = reload_if_changed
        self.monotonic = monotonic
        self.tick_s = tick_s
        self.events = events

    async def run(self) -> None:
        """Tick until cancelled, and sweep after each `_SWEEP_INTERVAL_S`."""
        swept_at = self.monotonic()
        while True:
            now = self.monotonic()
            with self.events.loop_step("tick"):
                self._tick(now)
            if now - swept_at > _SWEEP_INTERVAL_S:
                swept_at = now
                with self.events.loop_step("sweep"):
                    self._sweep()
            await self._wait_for_tick()

    async def _wait_for_tick(self) -> None:
        """Wait for the next tick, and record by how much the loop is late with it."""
        due = self.monotonic() + self.tick_s
        await asyncio.sleep(self.tick_s)
        self.events.loop_holds.record_late(self.monotonic() - due)

    def _tick(self, now: float) -> None:
        if self.state.view.has_configuration:
            self.servers.registry.count_new_as_cold()
        self.state.view.drop_lost(now)
        self.servers.registry.known_vms.refresh()
        self.servers.registry.drop_lapsed(now)
        self.servers.registry.accept_outdated_entries(now)
        self.requests.pipeline.sender.feedback.held_failures.release(now)
        self.regions.shares.tick(now)
        self.workspaces.exchange.parts.tick(now)
        self.workspaces.quotas.sweep()

    def _sweep(self) -> None:
        """Close old connections, forget what is removed and reload changed settings."""
        self.servers.pool.sweep()
        self.requests.relay_pool.sweep()
        self.servers.outliers.drop_removed()
        registry = self.servers.registry
        registry.forget_old(self.monotonic())
        forget_unstated(self.workspaces.quotas, registry.statement_table)
        self.named_state.sweep(self.monotonic())
        self._limit_connections()
        self.reload_if_changed()

    def _limit_connections(self) -> None:
        """Limit this VM's connections to its part of what each backend server accepts."""
        configuration = self.state.view.configuration
        if configuration is not None and configuration.services:
            min_connections = min(rule.connections for rule in configuration.services.values())
            self.servers.pool.share(min_connections, self.servers.registry.vm_count())
