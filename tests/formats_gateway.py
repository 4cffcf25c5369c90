"""One entry VM of the routed request path on a virtual clock, for the tests of formats.

Everything goes in and comes out as others see it: items of the store, requests, datagrams, log
lines, answers. Names of the code stand here and in no literal.
"""

import asyncio
import random
from typing import Any, Optional

import msgspec

from sprucewinch._supervise import forever
from sprucewinch.clock import Clock
from sprucewinch.errors import SettingsError
from sprucewinch.gateway.daemon import Gateway
from standins.consortium_store import StoreStandIn
from standins.scripted_server import ScriptedServer
from standins.virtual import VirtualLoop, pass_time

from . import adapter  # noqa: F401 - makes the next imports possible

from consortium import ConsortiumAdapter  # isort: skip
from node_settings import translate  # isort: skip

SETTINGS = b"""{
"NodeName":"vm1","Ip":"10.1.0.34","Zone":"east-a","Region":"east",
"Zones":{"east-a":"east","west-a":"west"},
"Listen":{"Front":"10.1.0.34:1","Ready":"10.1.0.34:2","Directory":"10.1.0.34:3"},
"InternalPorts":[7540,7555],
"Limits":{"MemoryMb":300,"MaxFds":4100,"LinkMbps":100,"CpuShare":0.5,"Cores":3},
"Heartbeat":"2s",
"Bounds":{"Contact":"2500ms","Grace":"7s","Drain":"1s","ttl_max":"4s","BudgetWindow":"9s",
"MaxShift":0.1,"RetryBudgetRatio":0.3,"BudgetSlack":64,"ColdOver":1.5,"ColdSlack":5},
"Platform":{"Address":"10.9.0.1:80"}}"""

CONFIGURATION = b"""{"Version":"r7",
"Services":[{"Name":"rates","HealthPath":"/healthz","MaxConnections":390,"Warmup":"3s",
"ColdPerS":9.0}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1000,"HeaderTimeout":"3s","IdleTimeout":"15000ms"},
"Hosts":[{"Hostname":"Quotes.example","Paths":[
{"Name":"r1","PathPrefix":"/rates/","RouteType":"safe","Timeout":"800ms","TargetLatency":"300ms",
"TrafficSplit":[{"Service":"rates","Weight":90}],"MaxAttempts":2,"SessionAffinity":true},
{"Name":"once","PathPrefix":"/book/","RouteType":"upload","Timeout":"500ms","Service":"rates"},
{"Name":"none","PathPrefix":"/none/","RouteType":"safe","Service":"nobody"}]}]}"""

STORE = "10.9.0.1:80"
PEER = ("10.1.0.35", 7540)


def server_item(address: str, *, born: Optional[int] = None) -> bytes:
    """Return what the store says of a backend server, and when its process started."""
    started = b"" if born is None else b',"born":%d' % born
    return (
        b'{"Service":"rates","Address":"%s","Zone":"east-a","Version":"v1","Capacity":6,'
        b'"State":"ready","WarmupLeft":"0ms","Sequence":1%s}' % (address.encode(), started)
    )


class LoopClock(Clock):
    """The loop's time for both clocks."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop

    def monotonic(self) -> float:
        return self.loop.time()

    def wall(self) -> float:
        return self.loop.time()


class VirtualGateway:
    """One entry VM, its store and its backend servers.

    Args:
        loop: The virtual loop.
        servers: How many backend servers.
    """

    def __init__(self, loop: VirtualLoop, *, servers: int = 0) -> None:
        self.loop = loop
        self.lines: list[str] = []
        self.rereads: list[Any] = []
        self.store = StoreStandIn(loop)
        loop.listen(STORE, self.store.accept)
        self.gateway = Gateway(
            translate(msgspec.json.decode(SETTINGS)),
            ConsortiumAdapter(),
            reread=self._reread,
            clock=LoopClock(loop),
            rng=random.Random(1),
        )
        self.gateway.events.emit = self.lines.append
        self.servers = [self._serve(number) for number in range(servers)]

    def _reread(self) -> Any:
        found = self.rereads.pop(0) if self.rereads else None
        if isinstance(found, Exception):
            raise found
        return found

    def _serve(self, number: int) -> ScriptedServer:
        server = ScriptedServer(self.loop, f"s{number}")
        self.loop.listen(f"10.0.0.{number + 1}:80", server.accept)
        self.store.put(f"servers/s{number}", server_item(f"10.0.0.{number + 1}:80"))
        return server

    def start(self) -> None:
        """Start all loops."""
        self.gateway._start_loops()

    async def started(self) -> "VirtualGateway":
        """Start with a configuration in the store, and wait until it is in force."""
        self.store.put("op/config", CONFIGURATION)
        self.start()
        await pass_time(3.0)
        return self

    async def run(self, seconds: float) -> None:
        """Run from start to stop, without listeners and signals."""
        gateway: Any = self.gateway
        gateway._listen = _nothing
        gateway.signals.take = gateway.signals.ignore = lambda: None
        self.loop.call_later(seconds, gateway.stopping.set)
        await gateway.run()

    async def stop(self) -> None:
        """Stop as on SIGTERM."""
        self.gateway.stopping.set()
        await self.gateway.shutdown.run(self.gateway.settings.bounds.grace_s)

    def abort_all(self) -> None:
        """Give up what is in flight, as at the end of a stop."""
        self.gateway.requests.app.abort_all()

    def reload(self, found: Any = None) -> None:
        """Reload as on SIGHUP, when the settings file is unchanged, changed or unusable."""
        self.rereads = [found]
        self.gateway.reloader.reload()

    def reload_changed(self) -> None:
        """Reload other settings."""
        self.reload(translate(msgspec.json.decode(SETTINGS.replace(b'"vm1"', b'"vm2"'))))

    def reload_unusable(self) -> None:
        """Reload a settings file that cannot be used."""
        self.reload(SettingsError("settings: no Zone", "write it"))

    def datagram(self, data: bytes) -> None:
        """Receive a datagram of another VM."""
        self.gateway.fleet.datagrams.datagram_received(data, PEER)

    async def fail_a_loop(self) -> None:
        """Let a loop fail once."""

        async def broken() -> None:
            raise ValueError("broken")

        supervised = forever(broken, self.gateway._loop_failed, pause_s=1.0)
        task = self.loop.create_task(supervised)
        await pass_time(0.1)
        task.cancel()

    async def ask(self, target: str = "/rates/a?q=1", **options: Any) -> "Answered":
        """Send a request to the callers' listener."""
        return await asgi(self.gateway.requests.app, target, **options)

    async def resolve(self, target: str) -> "Answered":
        """Ask the directory."""
        app = self.gateway.adapter.directory_app(self.gateway.fleet.directory, self.loop.time)
        return await asgi(app, target)

    async def readiness(self, target: str) -> "Answered":
        """Ask whether it is ready."""
        return await asgi(self.gateway.adapter.ready_app(self.gateway.ready), target)

    def metrics(self) -> str:
        """Return what `/metrics` shows."""
        return "".join(self.gateway._report())

    def state(self) -> str:
        """Return what `/state` shows."""
        return "".join(self.gateway._state())

    def rows(self, event: str) -> list[dict[str, Any]]:
        """Return the log lines of an event."""
        rows = [msgspec.json.decode(line) for line in self.lines]
        return [row for row in rows if row["event"] == event]


async def _nothing() -> None:
    return None


class Answered:
    """An answer as it goes out.

    Args:
        status: HTTP status.
        headers: One text with a line for each header, in order.
        body: The body.
    """

    def __init__(self, status: int, headers: str, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


async def asgi(  # noqa: PLR0913  one argument a part of a request
    app: Any,
    target: str,
    *,
    method: str = "GET",
    headers: tuple[tuple[str, str], ...] = (),
    body: bytes = b"",
    leaves: Optional[Any] = None,
    stalls: bool = False,
    client: str = "10.1.0.1",
) -> Answered:
    """Send an ASGI application one request.

    Args:
        app: The application.
        target: Path and query.
        method: HTTP method.
        headers: Headers beside the host's.
        body: The body.
        leaves: Awaited before the caller closes its connection; None when it stays.
        stalls: The body never arrives.
        client: The caller's address.
    """
    sent: list[dict] = []
    whole_body = {"type": "http.request", "body": body, "more_body": False}
    parts = iter(() if stalls else (whole_body,))

    async def receive() -> dict:
        message = next(parts, None)
        if message is not None:
            return message
        if leaves is None:
            await asyncio.Event().wait()
        await leaves
        return {"type": "http.disconnect"}

    async def send(message: dict) -> None:
        sent.append(message)

    path, _, query = target.partition("?")
    named = (("host", "quotes.example"), *headers)
    scope = {
        "type": "http",
        "http_version": "1.1",
        "server": ("10.1.0.34", 1),
        "scheme": "http",
        "method": method,
        "path": path,
        "raw_path": target.encode(),
        "query_string": query.encode(),
        "root_path": "",
        "headers": [(n.encode(), v.encode()) for n, v in named],
        "client": (client, 1),
    }
    await app(scope, receive, send)
    if not sent:
        return Answered(0, "", b"")
    lines = [f"{n.decode()}: {v.decode()}" for n, v in sent[0]["headers"]]
    whole = b"".join(m.get("body", b"") for m in sent[1:])
    return Answered(sent[0]["status"], "\n".join(lines), whole)
