"""Callers of the soak: some look up entry VMs, some keep to one until its connection ends.

Owns how callers choose an entry VM, what they send and what they record of each request. Relies on
`world` for addresses and the ledger, and hands answers to `promises.answers`.
"""

import asyncio
import random
from http import HTTPStatus
from typing import Optional

import aiohttp

from .configuration import BOOK, HOST, ORDERS, RATES, ROUTE_TIMEOUT_S, STANDING_ROUTES, WORKSPACES
from .ledger import Attempt, End
from .promises.answers import judge_answer
from .world import World

RATE_PER_S = 8.0
"""Mean request rate of one caller, in requests a second."""

_LOOKUP_CACHE_S = 1.0
"""Seconds for which the answer of a look-up is cached."""

_LOOKUP_TIMEOUT_S = 1.0
"""Timeout of one look-up, in seconds. Bound of the platform's callers."""

REQUEST_TIMEOUT_S = ROUTE_TIMEOUT_S + 3.0
"""Timeout of a request, in seconds: the route's timeout and a margin."""

_KEEPALIVE_S = 30
"""Seconds for which a caller keeps an idle connection, longer than an entry VM does."""

_AFFINITY_KEYS = 12
"""Number of affinity keys that requests name."""

_BOOKING_THRESHOLD = 0.35
"""Random numbers below it that are not below `_ADDED_ROUTES_PART` select the booking route."""

_ADDED_ROUTES_PART = 0.15
"""Fraction of the requests on added routes, while there are any."""

_NOT_ADDED = (*STANDING_ROUTES, ORDERS)
"""Routes that no request selects as an added one."""

_BODY_SIZES = (1, 100, 70_000)
"""Body sizes of a booking, in bytes: the largest does not fit one read of 64 KiB."""

_MS_PER_S = 1000


class Caller:
    """One caller.

    Args:
        world: Parts of the day.
        number: Number of the caller, which its request ids begin with.
        rng: Source of randomness.
        sticky: True to use one entry VM until its connection ends.
    """

    def __init__(
        self,
        world: World,
        number: int,
        rng: random.Random,
        *,
        sticky: bool,
    ) -> None:
        self.world = world
        self.number = number
        self.rng = rng
        self.sticky = sticky
        self.workspace = WORKSPACES[number % len(WORKSPACES)]
        self.region = rng.choice(("east", "west"))
        self.sent = 0
        self._vm: Optional[str] = None
        self._looked_up: tuple[str, ...] = ()
        self._lookup_valid_until = float("-inf")

    async def run(self) -> None:
        """Send requests until cancelled."""
        connector = aiohttp.TCPConnector(keepalive_timeout=_KEEPALIVE_S)
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
            while True:
                rate = RATE_PER_S * self.world.rate_factors.get(self.workspace, 1.0)
                await asyncio.sleep(self.rng.expovariate(rate))
                await self._send(session, await self._choose(session))

    async def _choose(self, session: aiohttp.ClientSession) -> str:
        if self.sticky and self._vm is not None:
            return self._vm
        if self.world.loop.time() > self._lookup_valid_until:
            await self._look_up(session)
        self._vm = self.rng.choice(self._looked_up or tuple(self.world.vms))
        return self._vm

    async def _look_up(self, session: aiohttp.ClientSession) -> None:
        vm = self.world.vms[self.rng.choice(tuple(self.world.vms))]
        query = f"?Name={HOST}&Region={self.region}&Zone={vm.zone}"
        url = vm.url("Directory", f"/sprucewinch/resolve{query}")
        by_address = {each.addresses["Front"]: name for name, each in self.world.vms.items()}
        try:
            limit = aiohttp.ClientTimeout(total=_LOOKUP_TIMEOUT_S)
            async with session.get(url, timeout=limit) as response:
                ok = response.status == HTTPStatus.OK
                named = (await response.json())["Addresses"] if ok else []
        except (aiohttp.ClientError, TimeoutError):
            return
        if named:
            self._looked_up = tuple(by_address[address] for address in named)
            self._lookup_valid_until = self.world.loop.time() + _LOOKUP_CACHE_S

    def _route(self) -> str:
        draw = self.rng.random()
        others = [name for name in self.world.configuration.services if name not in _NOT_ADDED]
        if others and draw < _ADDED_ROUTES_PART:
            return self.rng.choice(others)
        return BOOK if draw < _BOOKING_THRESHOLD else RATES

    async def _send(self, session: aiohttp.ClientSession, name: str) -> None:
        """Send one request to an entry VM, and record how it ended."""
        self.sent += 1
        route = self._route()
        key = self.rng.choice(self.world.configuration.keys[self.workspace])
        request_id = f"c{self.number}-{self.sent}"
        attempt = Attempt(request_id, route, name, self.world.loop.time(), key=key)
        self.world.ledger.attempts.append(attempt)
        try:
            await self._exchange(session, attempt)
        except TimeoutError:
            attempt.end = End.LATE
        except aiohttp.ClientConnectorError:
            attempt.end = End.UNREACHED
        except aiohttp.ClientError:
            attempt.end = End.CLOSED
        attempt.ended_at = self.world.loop.time()
        if attempt.end in (End.UNREACHED, End.CLOSED):
            self._vm = None
            self._lookup_valid_until = float("-inf")

    async def _exchange(self, session: aiohttp.ClientSession, attempt: Attempt) -> None:
        """Send the request of an attempt, read the answer and judge it."""
        is_booking = attempt.route == BOOK
        headers = headers_of(attempt, self.rng)
        method = "POST" if is_booking else "GET"
        data = b"x" * self.rng.choice(_BODY_SIZES) if is_booking else None
        url = self.world.vms[attempt.vm].url("Front", f"/{attempt.route}/{self.sent}")
        async with session.request(method, url, headers=headers, data=data) as response:
            body = await response.read()
        attempt.end, attempt.status = End.ANSWERED, response.status
        judge_answer(self.world.ledger, attempt, body, response.headers)


def headers_of(attempt: Attempt, rng: random.Random) -> dict[str, str]:
    """Return the headers of an attempt's request, for one of the objects at random."""
    return {
        "Host": HOST,
        "X-Request-Id": attempt.request_id,
        "X-Request-Deadline-Ms": str(int(REQUEST_TIMEOUT_S * _MS_PER_S)),
        "Cookie": f"X-Affinity-Key={rng.randrange(_AFFINITY_KEYS)}",
        "Api-Key": attempt.key,
        "X-Tenant-Name": "forged",
    }
