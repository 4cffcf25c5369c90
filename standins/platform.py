"""Stand-in for the platform service behind sprucewinch's own interface.

Serves values, leases, watches and the list of VMs from memory, and applies rate limits and the
faults that tests set over HTTP under `/stand-in/`. The consortium's store is a different service:
see `consortium_store`.
"""

import asyncio
import base64
import time
from typing import Any, Optional

import fire
from aiohttp import web

_RATE_WINDOW_S = 1.0
"""Window of the rate limits, in seconds: the limits are per second."""

_MAX_BODY_BYTES = 2 << 20
"""Maximum body size of a call, in bytes; above the 1 MB that a value may have."""


class _Value:
    __slots__ = ("value", "version")

    def __init__(self, version: int, value: bytes) -> None:
        self.version = version
        self.value = value


class PlatformStandIn:
    """The service in memory, with faults on demand.

    Args:
        vms: Rows of the list of VMs.
        writes_per_s: Rate limit of writes, in calls a second.
        reads_per_s: Rate limit of reads, in calls a second; a watch counts as one read.
    """

    def __init__(
        self,
        vms: Optional[list[dict[str, Any]]] = None,
        *,
        writes_per_s: int = 300,
        reads_per_s: int = 2000,
    ) -> None:
        self.vms = vms or []
        self.limits = {"write": writes_per_s, "read": reads_per_s}
        self.version = 0
        self.values: dict[str, _Value] = {}
        self.history: dict[str, list[_Value]] = {}
        self.leases: dict[str, tuple[str, float]] = {}
        self.calls: dict[str, int] = {"write": 0, "read": 0}
        self.recent: dict[str, list[float]] = {"write": [], "read": []}
        self.faults: dict[str, Any] = {}
        self.changed = asyncio.Condition()

    def app(self) -> web.Application:
        """Return the web application with the service's routes."""
        app = web.Application(client_max_size=_MAX_BODY_BYTES)
        app.add_routes(
            [
                web.get("/v1/values/{key:.+}", self.get),
                web.put("/v1/values/{key:.+}", self.put),
                web.get("/v1/watch", self.watch),
                web.post("/v1/leases/{name:.+}", self.lease),
                web.delete("/v1/leases/{name:.+}", self.release),
                web.get("/v1/vms", self.list_vms),
                web.post("/stand-in/faults", self.set_faults),
                web.post("/stand-in/vms", self.set_vms),
                web.post("/stand-in/rewind", self.rewind),
                web.get("/stand-in/calls", self.show_calls),
            ]
        )
        return app

    async def _admit(self, kind: str) -> None:
        """Count a call, and apply the outage, the delay and the rate limit in force."""
        self.calls[kind] += 1
        if self.faults.get("down"):
            raise web.HTTPServiceUnavailable(text="{}")
        await asyncio.sleep(float(self.faults.get("slow_s", 0)))
        now = time.monotonic()
        recent = [at for at in self.recent[kind] if at > now - _RATE_WINDOW_S]
        self.recent[kind] = recent
        if len(recent) >= self.limits[kind]:
            raise web.HTTPTooManyRequests(text='{"retry_after_s": 1.0}')
        recent.append(now)

    async def get(self, request: web.Request) -> web.Response:
        """Return one value."""
        await self._admit("read")
        key = request.match_info["key"]
        if key not in self.values:
            return web.json_response({}, status=404)
        return web.json_response(self._row(key))

    async def put(self, request: web.Request) -> web.Response:
        """Write one value if its version is the expected one, else answer with status 409."""
        await self._admit("write")
        key = request.match_info["key"]
        expected = int(request.query["expected"])
        value = await request.read()
        held = self.values.get(key)
        if (held.version if held else 0) != expected:
            return web.json_response({"version": held.version if held else 0}, status=409)
        async with self.changed:
            self.version += 1
            self.values[key] = _Value(self.version, value)
            self.history.setdefault(key, []).append(self.values[key])
            self.changed.notify_all()
        if self.faults.get("lose_answers", 0) > 0 and key.startswith(
            self.faults.get("lose_prefix", "")
        ):
            self.faults["lose_answers"] -= 1
            request.transport.abort()  # type: ignore[union-attr]
        return web.json_response({"version": self.version})

    async def watch(self, request: web.Request) -> web.Response:
        """Return newer values under a prefix, waiting up to `wait_s` seconds for one."""
        await self._admit("read")
        prefix, after = request.query["prefix"], int(request.query["after"])
        wait_s = float(request.query["wait_s"])
        try:
            async with asyncio.timeout(wait_s), self.changed:
                await self.changed.wait_for(lambda: self._newer(prefix, after))
        except TimeoutError:
            pass
        if self.faults.get("down"):
            raise web.HTTPServiceUnavailable(text="{}")
        rows = [self._row(key) for key in self._newer(prefix, after)]
        return web.json_response({"entries": rows})

    def _newer(self, prefix: str, after: int) -> list[str]:
        return [k for k, v in self.values.items() if k.startswith(prefix) and v.version > after]

    def _row(self, key: str) -> dict[str, Any]:
        held = self.values[key]
        value = base64.b64encode(held.value).decode()
        return {"key": key, "version": held.version, "value": value}

    async def lease(self, request: web.Request) -> web.Response:
        """Grant or renew a lease, unless another holder has it."""
        await self._admit("write")
        name, holder = request.match_info["name"], request.query["holder"]
        now = time.monotonic()
        owner, until = self.leases.get(name, ("", 0.0))
        held = owner == holder or until <= now
        if held:
            self.leases[name] = (holder, now + float(request.query["ttl_s"]))
        return web.json_response({"held": held})

    async def release(self, request: web.Request) -> web.Response:
        """Release a lease if the caller holds it."""
        await self._admit("write")
        name = request.match_info["name"]
        if self.leases.get(name, ("", 0.0))[0] == request.query["holder"]:
            del self.leases[name]
        return web.json_response({})

    async def list_vms(self, _request: web.Request) -> web.Response:
        """Return the list of VMs."""
        await self._admit("read")
        return web.json_response({"vms": self.vms})

    async def set_faults(self, request: web.Request) -> web.Response:
        """Replace the faults: down, slow_s, lose_answers, lose_prefix."""
        self.faults = await request.json()
        async with self.changed:
            self.changed.notify_all()
        return web.json_response({})

    async def set_vms(self, request: web.Request) -> web.Response:
        """Replace the list of VMs."""
        self.vms = await request.json()
        return web.json_response({})

    async def rewind(self, request: web.Request) -> web.Response:
        """Serve an older value of a key, as after a restore from a backup."""
        key = request.query["key"]
        older = self.history[key][-1 - int(request.query["steps"])]
        self.version += 1
        self.values[key] = _Value(self.version, older.value)
        return web.json_response({})

    async def show_calls(self, _request: web.Request) -> web.Response:
        """Return the number of calls, by kind."""
        return web.json_response(self.calls)


def serve(port: int, vms: str = "") -> None:
    """Run the stand-in on loopback.

    Args:
        port: Port to listen on.
        vms: Peer addresses of entry VMs, separated by semicolons.
    """
    addresses = [address for address in vms.split(";") if address]
    listed = [{"kind": "entry", "address": a, "leaving": False} for a in addresses]

    async def make() -> web.Application:
        return PlatformStandIn(listed).app()

    web.run_app(make(), host="127.0.0.1", port=port, print=None, access_log=None)


if __name__ == "__main__":
    fire.Fire(serve)
