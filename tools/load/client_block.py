"""One client block: its cached look-ups and its unused tickets.

This module owns the two caches of a caller of the own interface and fills them. A client block
knows some entry VMs of each region from the start, as callers do by their own configuration.
"""

import random
import time
from collections.abc import Mapping
from http import HTTPStatus
from typing import NamedTuple, Optional

import aiohttp

_TICKETS_PER_CALL = 4
"""Tickets requested in one call."""

_MS_PER_S = 1000
"""Milliseconds in a second."""


class _CachedLookup(NamedTuple):
    entry_vms: list[dict[str, str]]
    until: float


class ClientBlock:
    """A caller identified by its client block.

    Args:
        block: Network of the client block, in CIDR notation.
        region: Region of the client block.
        known: Caller addresses of the entry VMs that it knows from the start, by region.
        rng: Source of randomness, shared by the whole load.
    """

    def __init__(
        self, block: str, region: str, known: Mapping[str, list[str]], rng: random.Random
    ) -> None:
        self.block = block
        self.region = region
        self._known = known
        self._rng = rng
        self._lookups: dict[str, _CachedLookup] = {}
        self._tickets: dict[tuple[str, str], list[str]] = {}

    async def look_up(self, session: aiohttp.ClientSession, service: str) -> list[dict[str, str]]:
        """Return the entry VMs for a service, cached for the TTL of the answer.

        Returns:
            The entry VMs; empty when none of the known ones answered.
        """
        cached = self._lookups.get(service)
        if cached is not None and cached.until > time.monotonic():
            return cached.entry_vms
        own = self._known[self.region]
        others = [a for r, listed in self._known.items() if r != self.region for a in listed]
        for address in self._rng.sample(own, len(own)) + others:
            url = f"http://{address}/v1/lookup?block={self.block}&service={service}"
            try:
                async with session.get(url) as response:
                    if response.status != HTTPStatus.OK:
                        continue
                    answer = await response.json()
            except aiohttp.ClientError:
                continue  # the next address may answer; if none does, the result is `no-entry-vm`
            until = time.monotonic() + answer["ttl_ms"] / _MS_PER_S
            self._lookups[service] = _CachedLookup(answer["entry_vms"], until)
            return answer["entry_vms"]
        return []

    def forget(self, service: str) -> None:
        """Drop the cached look-up of a service, as none of its entry VMs could be reached."""
        self._lookups.pop(service, None)

    async def take_ticket(
        self, session: aiohttp.ClientSession, service: str, address: str
    ) -> Optional[str]:
        """Return an unused ticket of an entry VM, requesting more if none is cached.

        Returns:
            The ticket; None when the entry VM issues none or cannot be reached.
        """
        cached_tickets = self._tickets.setdefault((service, address), [])
        if not cached_tickets:
            url = f"http://{address}/v1/tickets?service={service}&count={_TICKETS_PER_CALL}"
            try:
                async with session.post(url) as response:
                    if response.status != HTTPStatus.OK:
                        return None
                    cached_tickets.extend((await response.json())["tickets"])
            except aiohttp.ClientError:
                return None
        return cached_tickets.pop()
