"""Stand-in for backend servers of sprucewinch's own interface.

Each server has slots, a cold start and a leaving state. It reads a request, works for a while and
answers with a digest of what arrived, so that callers can check each answer. Tests read the record
of runs over HTTP under `/stand-in/`. Several servers share a process.
"""

import asyncio
import hashlib
import random
import time
from collections import Counter
from typing import Any

import fire
from aiohttp import web

_PROBE_RESPONSE_S = 0.001
"""Response time of a load probe, in seconds."""

_PIECE_BYTES = 65_536
"""Maximum number of bytes read or written in one piece."""

_MS_PER_S = 1000


class BackendStandIn:
    """One backend server.

    Args:
        name: Name of the server, which is also its address.
        slots: Number of requests that run at once.
        work_ms: Mean time of one request, in milliseconds.
        cold_s: Time after the start in which requests take twice as long, in seconds.
        seed: Seed of the random request times.
    """

    def __init__(
        self,
        name: str,
        *,
        slots: int = 4,
        work_ms: float = 10.0,
        cold_s: float = 2.0,
        seed: int = 0,
    ) -> None:
        self.name = name
        self.slots = slots
        self.work_ms = work_ms
        self.cold_s = cold_s
        self.rng = random.Random(f"{seed}{name}")
        self.started = time.monotonic()
        self.in_use = 0
        self.most_in_use = 0
        self.leaving = False
        self.reported_in_use: Any = None
        self.runs: Counter[str] = Counter()
        self.counters: Counter[str] = Counter()

    def app(self) -> web.Application:
        """Return the web application with the server's routes."""
        app = web.Application(client_max_size=0)
        app.add_routes(
            [
                web.get("/load", self.load),
                web.get("/stand-in/runs", self.show_runs),
                web.post("/stand-in/leaving", self.set_leaving),
                web.post("/stand-in/lie", self.set_reported_load),
                web.route("*", "/{path:.*}", self.run),
            ]
        )
        return app

    async def load(self, _request: web.Request) -> web.Response:
        """Report the requests in progress, or the value that overrides them."""
        await asyncio.sleep(_PROBE_RESPONSE_S)
        in_use = self.in_use if self.reported_in_use is None else self.reported_in_use
        return web.json_response({"leaving": self.leaving, "in_use": in_use})

    async def run(self, request: web.Request) -> web.StreamResponse:
        """Run one request; refuse it with status 503 when leaving or without a free slot."""
        refused = self._refusal_reason()
        if refused:
            self.counters[refused] += 1
            headers = {"sprucewinch-not-run": refused}
            return web.Response(status=503, headers=headers, text=refused)
        self.in_use += 1
        self.most_in_use = max(self.most_in_use, self.in_use)
        try:
            return await self._work(request)
        finally:
            self.in_use -= 1

    def _refusal_reason(self) -> str:
        if self.leaving:
            return "leaving"
        return "shed" if self.in_use >= self.slots else ""

    async def _work(self, request: web.Request) -> web.StreamResponse:
        operation = request.headers.get("operation", "")
        self.runs[operation] += 1
        self.counters["runs"] += 1
        digest, length = hashlib.sha256(), 0
        async for chunk in request.content.iter_chunked(_PIECE_BYTES):
            digest.update(chunk)
            length += len(chunk)
        cold = time.monotonic() - self.started < self.cold_s
        mean = self.work_ms * (2 if cold else 1)
        work_ms = float(request.query.get("work_ms", self.rng.uniform(0.5, 1.5) * mean))
        await asyncio.sleep(work_ms / _MS_PER_S)
        if "drop" in request.query:
            request.transport.abort()  # type: ignore[union-attr]
        return await self._answer(request, operation, digest.hexdigest(), length)

    async def _answer(
        self, request: web.Request, operation: str, digest: str, length: int
    ) -> web.StreamResponse:
        body = f"{operation} {request.path} {length} {digest}\n".encode()
        headers = {"operation": operation}
        if name := request.headers.get("sprucewinch-request-id"):
            headers["sprucewinch-request-id"] = name
        if self.leaving:
            headers["sprucewinch-leaving"] = "1"
        size = int(request.query.get("answer_bytes", 0))
        if size <= 0:
            return web.Response(body=body, headers=headers)
        response = web.StreamResponse(headers=headers)
        response.content_length = len(body) + size
        await response.prepare(request)
        await response.write(body)
        cut_at = int(request.query.get("cut_at", -1))
        pause_s = float(request.query.get("pause_s", 0))
        for start in range(0, size, _PIECE_BYTES):
            if 0 <= cut_at <= start:
                request.transport.abort()  # type: ignore[union-attr]
                return response
            await response.write(bytes(min(_PIECE_BYTES, size - start)))
            await asyncio.sleep(pause_s)
        return response

    async def show_runs(self, _request: web.Request) -> web.Response:
        """Return how often each operation ran, the counters and the slots in use."""
        counts = {
            "runs": dict(self.runs),
            "counters": dict(self.counters),
            "most_in_use": self.most_in_use,
            "in_use": self.in_use,
        }
        return web.json_response(counts)

    async def set_leaving(self, request: web.Request) -> web.Response:
        """Set or clear the leaving state."""
        self.leaving = bool((await request.json())["leaving"])
        return web.json_response({})

    async def set_reported_load(self, request: web.Request) -> web.Response:
        """Override the reported load; null reports the actual load again."""
        self.reported_in_use = (await request.json())["in_use"]
        return web.json_response({})


async def start(standins: list[BackendStandIn]) -> list[web.AppRunner]:
    """Start backend servers, each listening on the address in its name."""
    runners = []
    for standin in standins:
        host, _, port = standin.name.rpartition(":")
        runner = web.AppRunner(standin.app(), access_log=None, handler_cancellation=True)
        await runner.setup()
        await web.TCPSite(runner, host, int(port)).start()
        runners.append(runner)
    return runners


def parse_pools(text: str, seed: int) -> list[BackendStandIn]:
    """Return the backend servers of pools `work_ms,slots,address,address...`, joined by `|`."""
    standins = []
    for pool in filter(None, text.split("|")):
        work_ms, slots, *addresses = pool.split(",")
        standins += [
            BackendStandIn(a, slots=int(slots), work_ms=float(work_ms), seed=seed)
            for a in addresses
        ]
    return standins


def serve(pools: str, seed: int = 0) -> None:
    """Run backend servers on loopback, several in one process.

    Args:
        pools: Pools in the format of `parse_pools`.
        seed: Seed of the random request times.
    """

    async def run() -> None:
        await start(parse_pools(pools, seed))
        await asyncio.Event().wait()

    asyncio.run(run())


if __name__ == "__main__":
    fire.Fire(serve)
