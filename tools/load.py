"""Seeded load as callers make it, checked answer by answer against what the servers ran.

Owns callers of the own interface: look-ups with a cache, tickets, retries as told, and the check of
each answer. The same seed gives the same arrivals. Relies on the stand-ins for what ran.
"""

import asyncio
import hashlib
import ipaddress
import json
import random
import time
from collections import Counter
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Optional

import aiohttp

from sprucewinch.config.configuration import Configuration, Service

_CLIENT_MS = 1.0
"""One-way delay of a caller to its own region, in milliseconds, as the brief has it for Kovács."""

_GIVE_UP_S = 20.0
"""Seconds after which a caller gives a request up. A guess, never measured."""


@dataclass(frozen=True, slots=True)
class Flow:
    """Requests of one service.

    Args:
        service: Service.
        per_s: Mean requests a second of each client region.
        method: HTTP method.
        path: Path at the backend server.
        body_bytes: Size of the body.
        query: Query for the stand-in.
    """

    service: str
    per_s: float
    method: str = "GET"
    path: str = "run"
    body_bytes: int = 0
    query: str = ""


@dataclass(slots=True)
class Result:
    """What became of one request.

    Args:
        service: Service.
        operation: Its name at the backend servers.
        client_region: Region of the caller.
        outcome: `answered`, `not-run`, `unknown`, `wrong` or `lost`.
        reason: Reason of a refusal.
        latency_ms: From the planned arrival to the end of the answer, come-backs included.
        at: Planned arrival, seconds after the start.
        region: Region of the entry VM.
        hall: Data hall that answered, as the answer says.
    """

    service: str
    operation: str
    client_region: str
    outcome: str
    reason: str = ""
    latency_ms: float = 0.0
    at: float = 0.0
    region: str = ""
    hall: str = ""


@dataclass(slots=True)
class _Cached:
    entry_vms: list[dict[str, str]]
    until: float


@dataclass(slots=True)
class Caller:
    """One client block with its cached look-up answers and tickets."""

    block: str
    region: str
    lookups: dict[str, _Cached] = field(default_factory=dict)
    tickets: dict[tuple[str, str], list[str]] = field(default_factory=dict)


class Load:
    """Drives flows against a fleet from planned arrivals.

    Args:
        configuration: The deployment.
        entry_vms: Callers' addresses that callers know from the start, by region.
        flows: What is sent.
        seed: Seed of all arrivals.
        blocks: Client blocks in each region.
        come_backs: How often a refused caller comes back.
    """

    def __init__(
        self,
        configuration: Configuration,
        entry_vms: dict[str, list[str]],
        flows: list[Flow],
        *,
        seed: int = 1,
        blocks: int = 100,
        come_backs: int = 3,
    ) -> None:
        self.configuration = configuration
        self.entry_vms = entry_vms
        self.flows = flows
        self.rng = random.Random(seed)
        self.come_backs = come_backs
        self.results: list[Result] = []
        self.arrivals: Counter[tuple[str, str, int]] = Counter()
        self.started = 0.0
        self._services = {service.name: service for service in configuration.service}
        self._links = {frozenset((link.a, link.b)): link.one_way_ms for link in configuration.link}
        self._callers = {
            region.name: [
                Caller(block, region.name) for block in _blocks(region.clients[0], blocks)
            ]
            for region in configuration.region
            if region.clients
        }

    async def run(self, seconds: float) -> None:
        """Send everything that arrives within some seconds, and wait for all answers."""
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
                tasks.append(asyncio.create_task(self._one(session, at, flow, caller)))
            await asyncio.gather(*tasks)

    def _plan(self, seconds: float) -> list[tuple[float, Flow, Caller]]:
        planned = []
        for flow in self.flows:
            for callers in self._callers.values():
                at = self.rng.expovariate(flow.per_s)
                while at < seconds:
                    planned.append((at, flow, self.rng.choice(callers)))
                    at += self.rng.expovariate(flow.per_s)
        planned.sort(key=lambda row: row[0])
        return planned

    async def _one(
        self, session: aiohttp.ClientSession, at: float, flow: Flow, caller: Caller
    ) -> None:
        operation = f"{flow.service}-{len(self.results)}-{self.rng.getrandbits(48):x}"
        result = Result(flow.service, operation, caller.region, "lost", at=at)
        self.results.append(result)
        body = self.rng.randbytes(flow.body_bytes)
        try:
            async with asyncio.timeout(_GIVE_UP_S):
                await self._with_come_backs(session, flow, caller, result, body)
        except TimeoutError:
            result.outcome = "lost"
        result.latency_ms = (time.monotonic() - self.started - at) * 1000

    async def _with_come_backs(
        self,
        session: aiohttp.ClientSession,
        flow: Flow,
        caller: Caller,
        result: Result,
        body: bytes,
    ) -> None:
        for attempt in range(self.come_backs + 1):
            wait_ms = await self._attempt(session, flow, caller, result, body)
            if result.outcome != "not-run" or attempt == self.come_backs:
                return
            await asyncio.sleep((wait_ms or 100) / 1000)

    async def _attempt(
        self,
        session: aiohttp.ClientSession,
        flow: Flow,
        caller: Caller,
        result: Result,
        body: bytes,
    ) -> Optional[int]:
        """Send a request once; returns when to come back, in milliseconds, if refused."""
        vms = await self._lookup(session, flow.service, caller)
        for vm in vms:
            ticket = None
            if not self._services[flow.service].repeatable:
                ticket = await self._ticket(session, flow.service, caller, vm["address"])
                if ticket is None:
                    continue
            result.region = vm["region"]
            self.arrivals[(flow.service, f"{caller.region}>{vm['region']}", int(result.at))] += 1
            try:
                return await self._send(session, flow, caller, vm, result, body, ticket)
            except aiohttp.ClientConnectorError:
                continue
            except aiohttp.ClientError as error:
                result.outcome, result.reason = "unknown", f"connection:{type(error).__name__}"
                return None
        result.outcome, result.reason = "not-run", "no-entry-vm"
        caller.lookups.pop(flow.service, None)
        return 200

    async def _lookup(
        self, session: aiohttp.ClientSession, service: str, caller: Caller
    ) -> list[dict[str, str]]:
        cached = caller.lookups.get(service)
        if cached is not None and cached.until > time.monotonic():
            return cached.entry_vms
        own = self.entry_vms[caller.region]
        others = [a for r, listed in self.entry_vms.items() if r != caller.region for a in listed]
        for address in self.rng.sample(own, len(own)) + others:
            url = f"http://{address}/v1/lookup?block={caller.block}&service={service}"
            try:
                async with session.get(url) as response:
                    if response.status != HTTPStatus.OK:
                        continue
                    answer = await response.json()
            except aiohttp.ClientError:
                continue
            until = time.monotonic() + answer["ttl_ms"] / 1000
            caller.lookups[service] = _Cached(answer["entry_vms"], until)
            return answer["entry_vms"]
        return []

    async def _ticket(
        self, session: aiohttp.ClientSession, service: str, caller: Caller, address: str
    ) -> Optional[str]:
        kept = caller.tickets.setdefault((service, address), [])
        if not kept:
            url = f"http://{address}/v1/tickets?service={service}&count=4"
            try:
                async with session.post(url) as response:
                    if response.status != HTTPStatus.OK:
                        return None
                    kept.extend((await response.json())["tickets"])
            except aiohttp.ClientError:
                return None
        return kept.pop()

    async def _send(
        self,
        session: aiohttp.ClientSession,
        flow: Flow,
        caller: Caller,
        vm: dict[str, str],
        result: Result,
        body: bytes,
        ticket: Optional[str],
    ) -> Optional[int]:
        headers = {"operation": result.operation, "sprucewinch-client-block": caller.block}
        if ticket:
            headers["sprucewinch-ticket"] = ticket
        distance_s = self._distance_ms(caller.region, vm["region"]) / 1000
        url = f"http://{vm['address']}/s/{flow.service}/{flow.path}{flow.query}"
        await asyncio.sleep(distance_s)
        call = session.request(flow.method, url, data=body or None, headers=headers)
        async with call as response:
            answer = await response.read()
            await asyncio.sleep(distance_s)
        expected = _expected(result.operation, flow, body)
        return _judge(result, response, answer, expected)

    def _distance_ms(self, client_region: str, region: str) -> float:
        if client_region == region:
            return _CLIENT_MS
        return self._links.get(frozenset((client_region, region)), 0.0) + _CLIENT_MS


def _judge(
    result: Result, response: aiohttp.ClientResponse, answer: bytes, expected: bytes
) -> Optional[int]:
    """Fill in a result; returns when to come back, in milliseconds, if refused."""
    result.outcome = response.headers.get("sprucewinch-outcome", "wrong")
    result.hall = response.headers.get("sprucewinch-hall", "")
    if result.outcome == "answered":
        if response.status != HTTPStatus.OK or not answer.startswith(expected):
            result.outcome = "wrong"
        return None
    refused = json.loads(answer)
    result.reason = refused["reason"]
    return int(refused["retry_after_ms"])


def _expected(operation: str, flow: Flow, body: bytes) -> bytes:
    digest = hashlib.sha256(body).hexdigest()
    return f"{operation} /{flow.path} {len(body)} {digest}\n".encode()


def _blocks(network: str, count: int) -> list[str]:
    subnets = ipaddress.ip_network(network).subnets(new_prefix=24)
    return [str(subnet) for subnet, _ in zip(subnets, range(count), strict=False)]


async def runs_at_servers(configuration: Configuration) -> tuple[Counter[str], int, list[str]]:
    """Ask every stand-in what it ran.

    Returns:
        Runs by operation, refused-for-room answers, and servers that ran more than their slots.
    """
    runs: Counter[str] = Counter()
    shed, over = 0, []
    async with aiohttp.ClientSession() as session:
        for pool in configuration.pool:
            for server in pool.servers:
                async with session.get(f"http://{server}/stand-in/runs") as response:
                    report = await response.json()
                runs.update(report["runs"])
                shed += report["counters"].get("shed", 0)
                if report["most_in_use"] > pool.slots:
                    over.append(server)
    return runs, shed, over


def broken_promises(
    results: list[Result], runs: Counter[str], services: dict[str, Service]
) -> list[str]:
    """Return a line for every promise that a request saw broken."""
    broken = []
    for result in results:
        ran = runs.get(result.operation, 0)
        if result.outcome in ("lost", "wrong"):
            broken.append(f"{result.operation}: {result.outcome} {result.reason}")
        if result.outcome == "not-run" and ran:
            broken.append(f"{result.operation}: refused as not run, but ran {ran} times")
        if result.outcome == "answered" and not ran:
            broken.append(f"{result.operation}: answered, but never ran")
        if ran > 1 and not services[result.service].repeatable:
            broken.append(f"{result.operation}: ran {ran} times")
    return broken


def quantile(values: list[float], part: float) -> float:
    """Return a quantile of values by the nearest rank; 0 of none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]
