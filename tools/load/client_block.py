"""One client block: which entry VMs it was told of, and which tickets it holds.

Owns a caller's caches of the own interface, look-ups and tickets, and how it fills them. Knows some
entry VMs of each region from the start, as callers do by their own configuration.
"""

import random
import time
from collections.abc import Mapping
from http import HTTPStatus
from typing import NamedTuple, Optional

import aiohttp

_TICKETS = 4
"""Tickets asked for at once. A guess, never measured."""

_MS_PER_S = 1000
"""Milliseconds in a second."""


class _Cached(NamedTuple):
    entry_vms: list[dict[str, str]]
    until: float


class ClientBlock:
    """One client block.

    Args:
        block: Its network.
        region: Its region.
        known: Callers' addresses of entry VMs that it knows from the start, by region.
        rng: Source of randomness, shared by all of a load.
    """

    def __init__(
        self, block: str, region: str, known: Mapping[str, list[str]], rng: random.Random
    ) -> None:
        self.block = block
        self.region = region
        self._known = known
        self._rng = rng
        self._lookups: dict[str, _Cached] = {}
        self._tickets: dict[tuple[str, str], list[str]] = {}

    async def look_up(self, session: aiohttp.ClientSession, service: str) -> list[dict[str, str]]:
        """Return the entry VMs for a service, from the cache while that holds; empty for none."""
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
                continue  # the next address may answer; none at all is a result, `no-entry-vm`
            until = time.monotonic() + answer["ttl_ms"] / _MS_PER_S
            self._lookups[service] = _Cached(answer["entry_vms"], until)
            return answer["entry_vms"]
        return []

    def forget(self, service: str) -> None:
        """Look up anew at the next request: no entry VM that it was told of can be reached."""
        self._lookups.pop(service, None)

    async def take_ticket(
        self, session: aiohttp.ClientSession, service: str, address: str
    ) -> Optional[str]:
        """Return a ticket of an entry VM, from those at hand if any; None when it gives none."""
        at_hand = self._tickets.setdefault((service, address), [])
        if not at_hand:
            url = f"http://{address}/v1/tickets?service={service}&count={_TICKETS}"
            try:
                async with session.post(url) as response:
                    if response.status != HTTPStatus.OK:
                        return None
                    at_hand.extend((await response.json())["tickets"])
            except aiohttp.ClientError:
                return None
        return at_hand.pop()
