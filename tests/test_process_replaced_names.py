"""Memory of a real process beside configurations that replace all of their routes."""

import asyncio
import json
from typing import Any

from .gateway_process import CONFIGURATION, HOST, GatewayCase
from .process_memory import ProcessMemory

_ROUTES = 600
"""Routes of one configuration, all of which the next one replaces."""

_SETTLED, _LAST = 2, 5
"""Configurations after which the memory is looked at first and last."""

_MAX_GROWTH_BYTES = 6_000_000
"""Bound of the target: 2 MB for each configuration of 600 routes."""

_WORK_S = 0.001
_CALLERS = 4
"""Callers at once: fewer than the slots of one backend server."""


def _configuration(number: int) -> dict[str, Any]:
    parts = {"rates": 90, "others": 10}  # The first request of a route goes to the larger part.
    weights = [{"Service": name, "Weight": weight} for name, weight in parts.items()]
    routes = [
        {
            "Name": f"r{number}x{each}",
            "PathPrefix": f"/r{number}x{each}/",
            "RouteType": "safe",
            "Timeout": "5s",
            "TrafficSplit": weights,
            "MaxAttempts": 2,
        }
        for each in range(_ROUTES)
    ]
    services = [*CONFIGURATION["Services"], {"Name": "others"}]
    hosts = [{"Hostname": HOST, "Paths": routes}]
    return {**CONFIGURATION, "Version": f"r{10 + number}", "Services": services, "Hosts": hosts}


class ReplacedRoutes(GatewayCase):
    async def _put_in_force(self, number: int) -> None:
        self.store.put("op/config", json.dumps(_configuration(number)).encode())

        async def in_force() -> bool:
            async with self.session.get(f"http://{self.vms[0].ip}:9464/metrics") as response:
                return f"configuration_version {10 + number}\n" in await response.text()

        await self.until(in_force, "the configuration to be in force")

    async def _ask_each(self, number: int) -> None:
        """Send one request on each route of a configuration."""
        waiting = iter(range(_ROUTES))

        async def ask() -> None:
            for each in waiting:
                path = f"/r{number}x{each}/1"
                status, body, _ = await self.ask(self.vms[0], path, f"q{number}x{each}")
                self.assertEqual(status, 200, body)

        await asyncio.gather(*(ask() for _ in range(_CALLERS)))

    async def test_routes_that_are_replaced_take_no_more_memory(self) -> None:
        # Guards against an entry VM that grows with each route that ever answered a request, until
        # the platform kills it.
        assert self.vms[0].process is not None
        for backend in self.backends:
            backend.work_s = _WORK_S
        for number in range(1, _SETTLED + 1):
            await self._put_in_force(number)
            await self._ask_each(number)
        memory = ProcessMemory(self.vms[0].process.pid)
        for number in range(_SETTLED + 1, _LAST + 1):
            await self._put_in_force(number)
            await self._ask_each(number)
        self.assertLess(memory.growth(), _MAX_GROWTH_BYTES)
