"""Open-loop load on a fleet: requests are sent at planned times, whatever the answers.

This module owns the plan and the random source of the whole load: the same seed gives the same
arrivals. It relies on `request` for sending each of them.
"""

import asyncio
import ipaddress
import random
import time

import aiohttp

from sprucewinch.config.configuration import Configuration

from .client_block import ClientBlock
from .request import Deployment, Request
from .results import Flow, Result

_MS_PER_S = 1000
"""Milliseconds in a second."""


class Load:
    """Sends flows of requests to a fleet at planned times.

    Args:
        configuration: The deployment.
        entry_vms: Caller addresses of the entry VMs that callers know from the start, by region.
        flows: Flows of requests to send.
        seed: Seed of all arrivals.
        blocks: Client blocks in each region.
        max_retries: Limit on the retries of a refused request.
    """

    def __init__(
        self,
        configuration: Configuration,
        entry_vms: dict[str, list[str]],
        flows: list[Flow],
        *,
        seed: int = 1,
        blocks: int = 100,
        max_retries: int = 3,
    ) -> None:
        self.flows = flows
        self.rng = random.Random(seed)
        self.max_retries = max_retries
        self.results: list[Result] = []
        self.started = 0.0
        self._deployment = Deployment(configuration)
        self._callers = {
            region.name: [
                ClientBlock(block, region.name, entry_vms, self.rng)
                for block in _blocks(region.clients[0], blocks)
            ]
            for region in configuration.region
            if region.clients
        }

    async def run(self, seconds: float) -> None:
        """Send all requests planned for a period, and wait for all answers.

        Args:
            seconds: Length of the period.
        """
        arrivals = self._plan(seconds)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(
            connector=connector, timeout=aiohttp.ClientTimeout(total=None)
        ) as session:
            self.started = time.monotonic()
            tasks = []
            for at, flow, caller in arrivals:
                wait = self.started + at - time.monotonic()
                if wait > 0:
                    await asyncio.sleep(wait)
                tasks.append(asyncio.create_task(self._send_planned(session, at, flow, caller)))
            await asyncio.gather(*tasks)

    def _plan(self, seconds: float) -> list[tuple[float, Flow, ClientBlock]]:
        planned = []
        for flow in self.flows:
            for callers in self._callers.values():
                at = self.rng.expovariate(flow.per_s)
                while at < seconds:
                    planned.append((at, flow, self.rng.choice(callers)))
                    at += self.rng.expovariate(flow.per_s)
        planned.sort(key=lambda row: row[0])
        return planned

    async def _send_planned(
        self, session: aiohttp.ClientSession, at: float, flow: Flow, caller: ClientBlock
    ) -> None:
        operation = f"{flow.service}-{len(self.results)}-{self.rng.getrandbits(48):x}"
        result = Result(flow.service, operation, caller.region, "lost", at=at)
        self.results.append(result)
        body = self.rng.randbytes(flow.body_bytes)
        request = Request(session, self._deployment, flow, caller, result, body)
        await request.run(self.max_retries)
        result.latency_ms = (time.monotonic() - self.started - at) * _MS_PER_S


def _blocks(network: str, count: int) -> list[str]:
    subnets = ipaddress.ip_network(network).subnets(new_prefix=24)
    return [str(subnet) for subnet, _ in zip(subnets, range(count), strict=False)]
