"""One request of the load, from its first attempt to its result.

This module tries the entry VMs of a look-up in turn, retries refused requests after the time that
the refusal states, adds the network delay between caller and entry VM, and checks that an answer is
complete and belongs to the request. It relies on `client_block` for look-ups and tickets.
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

_OWN_REGION_MS = 1.0
"""One-way delay between a caller and an entry VM of its own region."""

_REQUEST_TIMEOUT_S = 20.0
"""Time after which a caller gives up a request with all its retries, as lost."""

_DEFAULT_RETRY_MS = 100
"""Wait before a retry when the refusal states a time of 0."""

_NO_ENTRY_VM_RETRY_MS = 200
"""Wait before a retry when no entry VM could be reached."""

_MS_PER_S = 1000
"""Milliseconds in a second."""


class Deployment:
    """What callers know of a deployment: which services need tickets, and delays between regions.

    Args:
        configuration: The deployment.
    """

    def __init__(self, configuration: Configuration) -> None:
        self._repeatable = {service.name: service.repeatable for service in configuration.service}
        self._links = {frozenset((link.a, link.b)): link.one_way_ms for link in configuration.link}

    def needs_ticket(self, service: str) -> bool:
        """Return whether requests of a service need a ticket, since they must not run twice."""
        return not self._repeatable[service]

    def distance_s(self, client_region: str, region: str) -> float:
        """Return the one-way delay from a caller to an entry VM, in seconds."""
        link_ms = 0.0
        if client_region != region:
            link_ms = self._links.get(frozenset((client_region, region)), 0.0)
        return (link_ms + _OWN_REGION_MS) / _MS_PER_S


class Request:
    """One request.

    Args:
        session: HTTP client of the load.
        deployment: What the caller knows of the deployment.
        flow: Flow that the request belongs to.
        caller: Client block that sends it.
        result: Result of the request, filled in here.
        body: Body of the request.
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

    async def run(self, max_retries: int) -> None:
        """Send the request, and retry it while it is refused as not run.

        Args:
            max_retries: Limit on the retries.
        """
        try:
            async with asyncio.timeout(_REQUEST_TIMEOUT_S):
                for left in reversed(range(max_retries + 1)):
                    wait_ms = await self._attempt()
                    if self.result.outcome != "not-run" or not left:
                        return
                    await asyncio.sleep((wait_ms or _DEFAULT_RETRY_MS) / _MS_PER_S)
        except TimeoutError:
            self.result.outcome = "lost"

    async def _attempt(self) -> Optional[int]:
        """Make one attempt; returns the wait before a retry, in milliseconds, if refused."""
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
        return _NO_ENTRY_VM_RETRY_MS

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
        return self._fill_in_result(response, answer)

    def _fill_in_result(self, response: aiohttp.ClientResponse, answer: bytes) -> Optional[int]:
        """Fill in the result; returns the wait before a retry, in milliseconds, if refused."""
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
