"""The way of one request of the load, from its first attempt to what became of it.

Owns attempts at one entry VM after the other, come-backs as told, the delay of the way, and the
check that an answer is whole and the request's own. Relies on `client_block` for look-ups and
tickets.
"""

import asyncio
import hashlib
import json
from http import HTTPStatus
from typing import Optional

import aiohttp

from sprucewinch.config.configuration import Configuration

from .client_block import ClientBlock
from .results import Flow, Result

_CLIENT_MS = 1.0
"""One-way delay of a caller to its own region, in milliseconds, as the brief has it for Kovács."""

_GIVE_UP_S = 20.0
"""Seconds after which a caller gives a request up. A guess, never measured."""

_UNTOLD_MS = 100
"""Wait of a refused caller that is told no time, in milliseconds. A guess, never measured."""

_NOBODY_MS = 200
"""Wait of a caller that reached no entry VM, in milliseconds. A guess, never measured."""

_MS_PER_S = 1000
"""Milliseconds in a second."""


class Deployment:
    """What callers know of a deployment: which services need tickets, and how far regions are.

    Args:
        configuration: The deployment.
    """

    def __init__(self, configuration: Configuration) -> None:
        self._repeatable = {service.name: service.repeatable for service in configuration.service}
        self._links = {frozenset((link.a, link.b)): link.one_way_ms for link in configuration.link}

    def needs_ticket(self, service: str) -> bool:
        """Return whether requests of a service need a ticket, as they must not run twice."""
        return not self._repeatable[service]

    def distance_s(self, client_region: str, region: str) -> float:
        """Return the one-way delay from a caller to an entry VM, in seconds."""
        between_ms = 0.0
        if client_region != region:
            between_ms = self._links.get(frozenset((client_region, region)), 0.0)
        return (between_ms + _CLIENT_MS) / _MS_PER_S


class Request:
    """One request.

    Args:
        session: HTTP client of the load.
        deployment: What the caller knows of it.
        flow: What it is one of.
        caller: Who sends it.
        result: What became of it; filled in here.
        body: Its body.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        deployment: Deployment,
        flow: Flow,
        caller: ClientBlock,
        result: Result,
        body: bytes,
    ) -> None:
        self.session = session
        self.deployment = deployment
        self.flow = flow
        self.caller = caller
        self.result = result
        self.body = body

    async def run(self, come_backs: int) -> None:
        """Send it, and again as told when it is refused, until it is given up.

        Args:
            come_backs: How often it may be sent again.
        """
        try:
            async with asyncio.timeout(_GIVE_UP_S):
                for left in reversed(range(come_backs + 1)):
                    wait_ms = await self._attempt()
                    if self.result.outcome != "not-run" or not left:
                        return
                    await asyncio.sleep((wait_ms or _UNTOLD_MS) / _MS_PER_S)
        except TimeoutError:
            self.result.outcome = "lost"

    async def _attempt(self) -> Optional[int]:
        """Send it once; returns when to come back, in milliseconds, if refused."""
        service = self.flow.service
        for vm in await self.caller.look_up(self.session, service):
            ticket = None
            if self.deployment.needs_ticket(service):
                ticket = await self.caller.take_ticket(self.session, service, vm["address"])
                if ticket is None:
                    continue
            self.result.region = vm["region"]
            try:
                return await self._send(vm, ticket)
            except aiohttp.ClientConnectorError:
                continue
            except aiohttp.ClientError as error:
                self.result.outcome = "unknown"
                self.result.reason = f"connection:{type(error).__name__}"
                return None
        self.result.outcome, self.result.reason = "not-run", "no-entry-vm"
        self.caller.forget(service)
        return _NOBODY_MS

    async def _send(self, vm: dict[str, str], ticket: Optional[str]) -> Optional[int]:
        headers = {
            "operation": self.result.operation,
            "sprucewinch-client-block": self.caller.block,
        }
        if ticket:
            headers["sprucewinch-ticket"] = ticket
        flow = self.flow
        url = f"http://{vm['address']}/s/{flow.service}/{flow.path}{flow.query}"
        distance_s = self.deployment.distance_s(self.caller.region, vm["region"])
        await asyncio.sleep(distance_s)
        call = self.session.request(flow.method, url, data=self.body or None, headers=headers)
        async with call as response:
            answer = await response.read()
            await asyncio.sleep(distance_s)
        return self._judge(response, answer)

    def _judge(self, response: aiohttp.ClientResponse, answer: bytes) -> Optional[int]:
        """Fill in the result; returns when to come back, in milliseconds, if refused."""
        result = self.result
        result.outcome = response.headers.get("sprucewinch-outcome", "wrong")
        result.hall = response.headers.get("sprucewinch-hall", "")
        if result.outcome == "answered":
            if response.status != HTTPStatus.OK or not answer.startswith(self._expected()):
                result.outcome = "wrong"
            return None
        refused = json.loads(answer)
        result.reason = refused["reason"]
        return int(refused["retry_after_ms"])

    def _expected(self) -> bytes:
        digest = hashlib.sha256(self.body).hexdigest()
        operation, size = self.result.operation, len(self.body)
        return f"{operation} /{self.flow.path} {size} {digest}\n".encode()
