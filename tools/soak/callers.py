"""Callers of the soak: some follow the look-up, some keep one entry VM until its connection ends.

Owns how callers choose an entry VM, what they send and what they record of each attempt. Relies on
`world` for addresses and the ledger, and hands answers to `promises.answers`.
"""

import asyncio
import random
from http import HTTPStatus
from typing import Optional

import aiohttp

from .configuration import BOOK, HOST, RATES, ROUTE_TIMEOUT_S, STANDING_ROUTES, WORKSPACES
from .ledger import Attempt, End
from .promises.answers import judge_answer
from .world import World

RATE_PER_S = 8.0
"""Mean requests a second of one caller. A guess, never measured."""

_KEEP_S = 1.0
"""Seconds for which a look-up's answer is used. A guess, never measured."""

_LOOKUP_S = 1.0
"""Seconds for one look-up. Bound of the platform's callers."""

_LONGEST_S = ROUTE_TIMEOUT_S + 3.0
"""Seconds that a caller waits: the route's timeout and a margin, which is a guess."""

_IDLE_S = 30
"""Seconds that a caller keeps a resting connection, longer than an entry VM does."""

_OBJECTS = 12
"""Objects that requests are about. A guess, never measured."""

_BOOKED_PART = 0.35
"""Draws below it that go to no such route are bookings. A guess, never measured."""

_OTHER_PART = 0.15
"""Part of the requests on routes that come and go, while there are any. A guess, never measured."""

_BODY_SIZES = (1, 100, 70_000)
"""Bytes of a booking's body: the longest does not fit one read of 64 KiB."""

_MS_PER_S = 1000
"""Milliseconds in a second."""


class Caller:
    """One caller.

    Args:
        world: The day.
        number: Its number.
        rng: Source of randomness.
        clings: Uses one entry VM until its connection ends.
    """

    def __init__(
        self,
        world: World,
        number: int,
        rng: random.Random,
        *,
        clings: bool,
    ) -> None:
        self.world = world
        self.number = number
        self.rng = rng
        self.clings = clings
        self.workspace = WORKSPACES[number % len(WORKSPACES)]
        self.region = rng.choice(("east", "west"))
        self.sent = 0
        self._vm: Optional[str] = None
        self._named: tuple[str, ...] = ()
        self._kept_until = float("-inf")

    async def run(self) -> None:
        """Send requests until cancelled."""
        connector = aiohttp.TCPConnector(keepalive_timeout=_IDLE_S)
        timeout = aiohttp.ClientTimeout(total=_LONGEST_S)
        async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
            while True:
                rate = RATE_PER_S * self.world.hot.get(self.workspace, 1.0)
                await asyncio.sleep(self.rng.expovariate(rate))
                await self._send(session, await self._choose(session))

    async def _choose(self, session: aiohttp.ClientSession) -> str:
        if self.clings and self._vm is not None:
            return self._vm
        if self.world.loop.time() > self._kept_until:
            await self._look_up(session)
        self._vm = self.rng.choice(self._named or tuple(self.world.vms))
        return self._vm

    async def _look_up(self, session: aiohttp.ClientSession) -> None:
        vm = self.world.vms[self.rng.choice(tuple(self.world.vms))]
        query = f"?Name={HOST}&Region={self.region}&Zone={vm.zone}"
        url = vm.url("Directory", f"/sprucewinch/resolve{query}")
        by_address = {each.addresses["Front"]: name for name, each in self.world.vms.items()}
        try:
            limit = aiohttp.ClientTimeout(total=_LOOKUP_S)
            async with session.get(url, timeout=limit) as response:
                ok = response.status == HTTPStatus.OK
                named = (await response.json())["Addresses"] if ok else []
        except (aiohttp.ClientError, TimeoutError):
            return
        if named:
            self._named = tuple(by_address[address] for address in named)
            self._kept_until = self.world.loop.time() + _KEEP_S

    def _route(self) -> str:
        draw = self.rng.random()
        others = [name for name in self.world.configuration.services if name not in STANDING_ROUTES]
        if others and draw < _OTHER_PART:
            return self.rng.choice(others)
        return BOOK if draw < _BOOKED_PART else RATES

    async def _send(self, session: aiohttp.ClientSession, name: str) -> None:
        """Send one request to an entry VM, and record what came of it."""
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
            self._kept_until = float("-inf")

    async def _exchange(self, session: aiohttp.ClientSession, attempt: Attempt) -> None:
        """Send an attempt's request, read the answer and have it judged."""
        books = attempt.route == BOOK
        headers = {
            "Host": HOST,
            "X-Request-Id": attempt.request_id,
            "X-Request-Deadline-Ms": str(int(_LONGEST_S * _MS_PER_S)),
            "Cookie": f"X-Affinity-Key={self.rng.randrange(_OBJECTS)}",
            "Api-Key": attempt.key,
            "X-Tenant-Name": "forged",
        }
        method = "POST" if books else "GET"
        data = b"x" * self.rng.choice(_BODY_SIZES) if books else None
        url = self.world.vms[attempt.vm].url("Front", f"/{attempt.route}/{self.sent}")
        async with session.request(method, url, headers=headers, data=data) as response:
            body = await response.read()
        attempt.end, attempt.status = End.ANSWERED, response.status
        judge_answer(self.world.ledger, attempt, body, response.headers)
