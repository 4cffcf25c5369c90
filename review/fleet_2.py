"""A small deployment for the cases of the second review: entry VMs, the store, backend servers.

The entry VMs are the project's own program as real processes, started with the command of the
deploy file. The store is the project's stand-in. `Backend` is a small backend server of its own: it
reads a body at the pace that a case sets and records what it ran. All addresses are loopback ones,
all times are those of the real clock. `main` runs a case and turns its verdict into the exit status
that the review asks for.
"""

import asyncio
import contextlib
import json
import os
import socket
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from pathlib import Path
from typing import Any, NamedTuple, Optional, Union

from standins.consortium_store import StoreStandIn
from tools.entry_vm import EntryVm, own_address
from tools.ports import free_ports

ROOT = Path(__file__).resolve().parent.parent
"""Root of the repository, in which the deploy file's command is run."""

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""False when a case is to do without its disruption."""

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
"""Exit statuses: the rule held, was broken, or the case could not run."""

OK = 200
HOST = "quotes.example"
_READY_TIMEOUT_S = 20.0
_MEMORY_POLL_S = 0.005
_REQUESTERS = 16
_DEPLOY_COMMAND = ("python3", "platform/main.py")


class CannotRunError(Exception):
    """The case could not run, so that it says nothing of the rule."""


class Record:
    """What was sent, answered and run, as lines with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.started = time.monotonic()
        path.write_text("", encoding="utf-8")

    def note(self, text: str) -> None:
        """Add a line."""
        with self.path.open("a", encoding="utf-8") as file:
            file.write(f"{time.monotonic() - self.started:8.3f} s  {text}\n")


class Answer(NamedTuple):
    """An answer as a client saw it."""

    status: int
    head: str
    body: bytes

    def header(self, name: str) -> str:
        """Return the value of a header; empty when it is absent."""
        for line in self.head.split("\r\n")[1:]:
            key, _, value = line.partition(":")
            if key.strip().lower() == name:
                return value.strip()
        return ""


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer that states its length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    answer = Answer(int(head.split()[1]), head, b"")
    size = int(answer.header("content-length") or 0)
    return answer._replace(body=await reader.readexactly(size))


def request_head(method: str, path: str, request_id: str, deadline_ms: int, size: int = 0) -> bytes:
    """Return the head of a client's request."""
    length = f"Content-Length: {size}\r\n" if size else ""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\n"
        f"X-Request-Deadline-Ms: {deadline_ms}\r\n{length}\r\n"
    ).encode()


async def exchange(address: str, data: bytes, timeout_s: float) -> Optional[Answer]:
    """Send a request on a connection of its own; None when no whole answer came."""
    host, port = address.split(":")
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(data)
                return await read_answer(reader)
            finally:
                writer.transport.abort()
    except (OSError, EOFError, TimeoutError):
        return None


class KeptConnection:
    """A client's connection that carries one request after another.

    Args:
        address: `IP:PORT`.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self._reader: Optional[asyncio.StreamReader] = None
        self._writer: Optional[asyncio.StreamWriter] = None

    async def exchange(self, data: bytes, timeout_s: float) -> Optional[Answer]:
        """Send a request; None when no whole answer came."""
        try:
            async with asyncio.timeout(timeout_s):
                if self._reader is None or self._writer is None:
                    host, port = self.address.split(":")
                    self._reader, self._writer = await asyncio.open_connection(host, int(port))
                self._writer.write(data)
                return await read_answer(self._reader)
        except (OSError, EOFError, TimeoutError):
            return None

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()


class Run(NamedTuple):
    """A request that a backend server began to work on."""

    request_id: str
    began_at: float


class Backend:
    """A backend server that answers each request once its body is read and its work is done.

    Args:
        server_id: Its id.
        record: The record of the case.
        work_s: Time of its work after the body was read, or what returns it by the request's id.
        pause_s: Returns the time for which it stops to read after the start of a body.
        window_bytes: Size of its receive buffers; None for the system's own.
    """

    def __init__(
        self,
        server_id: str,
        record: Record,
        *,
        work_s: Union[float, Callable[[str], float]],
        pause_s: Callable[[int], float] = lambda _size: 0.0,
        window_bytes: Optional[int] = None,
    ) -> None:
        self.server_id = server_id
        self.record = record
        self.work_s = work_s if callable(work_s) else lambda _id: work_s
        self.pause_s = pause_s
        self.window_bytes = window_bytes
        self.runs: list[Run] = []
        self.broken_off: list[str] = []
        self.address = ""
        self._serving: set[asyncio.Task[None]] = set()

    @contextlib.asynccontextmanager
    async def listening(self) -> AsyncIterator[None]:
        """Listen on a free port until the context ends."""
        bound = socket.socket()
        if self.window_bytes is not None:
            bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.window_bytes)
        bound.bind(("127.0.0.1", 0))
        server = await asyncio.start_server(self._serve, sock=bound, limit=32_768)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        try:
            yield
        finally:
            server.close()
            for task in self._serving:
                task.cancel()
            await asyncio.gather(*self._serving, return_exceptions=True)

    def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.create_task(self._serve_all(reader, writer))
        self._serving.add(task)
        task.add_done_callback(self._serving.discard)

    async def _serve_all(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await self._serve_one(reader, writer)
        except (OSError, EOFError):
            pass  # the other side has ended the connection
        finally:
            writer.transport.abort()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        asked = Answer(0, head, b"")
        request_id = asked.header("x-request-id")
        if head.split()[1] == "/healthz":
            self._write(writer, f"X-Instance-Id: {self.server_id}\r\n", b"")
            return
        size = int(asked.header("content-length") or 0)
        self.runs.append(Run(request_id, time.monotonic()))
        self.record.note(
            f"server {self.server_id} begins to work on {request_id}, body of {size} bytes, "
            f"deadline in {asked.header('x-request-deadline-ms')} ms"
        )
        try:
            await self._read_body(reader, size)
        except EOFError:
            self.broken_off.append(request_id)
            self.record.note(f"server {self.server_id}: the sender broke {request_id} off")
            raise
        await asyncio.sleep(self.work_s(request_id))
        self.record.note(f"server {self.server_id} answers {request_id}")
        signature = f"X-Request-Id: {request_id}\r\nX-Response-Signature: {self.server_id}.1\r\n"
        self._write(writer, signature, request_id.encode())

    async def _read_body(self, reader: asyncio.StreamReader, size: int) -> None:
        left = size - len(await reader.readexactly(min(size, 16_384)))
        await asyncio.sleep(self.pause_s(size))
        while left:
            piece = await reader.read(min(left, 1 << 20))
            if not piece:
                raise EOFError
            left -= len(piece)

    def _write(self, writer: asyncio.StreamWriter, headers: str, body: bytes) -> None:
        head = f"HTTP/1.1 200 OK\r\n{headers}X-Server-Load: 1,0,6\r\n"
        writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)

    def entry(self, service: str) -> bytes:
        """Return its entry in the store."""
        fields = {
            "Service": service,
            "Address": self.address,
            "Zone": "east-a",
            "Version": "v1",
            "Capacity": 6,
            "State": "ready",
            "WarmupLeft": "0ms",
            "Sequence": 1,
        }
        return json.dumps(fields).encode()


def route(name: str, kind: str, service: str, timeout: str, **more: Any) -> dict[str, Any]:
    """Return a route of the configuration, under a prefix of its name."""
    fields = {
        "Name": name,
        "PathPrefix": f"/{name}/",
        "RouteType": kind,
        "Timeout": timeout,
        "TargetLatency": "1286ms",
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        "SessionAffinity": False,
        "AllowedRegions": [],
    }
    return {**fields, **more}


def configuration(version: str, services: list[str], routes: list[dict[str, Any]]) -> bytes:
    """Return a configuration with the limits of the pages' example."""
    rules = [
        {
            "Name": name,
            "HealthPath": "/healthz",
            "MaxConnections": 390,
            "Protocol": "h1",
            "Tls": False,
            "Warmup": "3s",
            "ColdPerS": 9.0,
        }
        for name in services
    ]
    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 67108864,
        "HeaderTimeout": "3000ms",
        "IdleTimeout": "15000ms",
    }
    hosts = [{"Hostname": HOST, "Paths": routes}]
    fields = {"Version": version, "Services": rules, "Limits": limits, "BaseVersion": "r1"}
    return json.dumps({**fields, "Hosts": hosts}).encode()


class Vm(EntryVm):
    """An entry VM that is started with the command of the deploy file after its build alone."""

    def limit(self, **limits: Any) -> None:
        """Set the limits of its process in its settings file, as the pages' example has them."""
        example = {"CpuShare": 0.86, "Cores": 1, "MemoryMb": 300, "MaxFds": 4100}
        self.table["Limits"] = {**example, "LinkMbps": 1000.0, "DiskMb": 0, **limits}
        self.lay_settings(self.table)

    async def start(self) -> None:
        """Start the process; its lines go to a file beside its settings."""
        inherited = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        with self.log.open("ab") as lines:
            self.process = await asyncio.create_subprocess_exec(
                *_DEPLOY_COMMAND,
                cwd=ROOT,
                env={
                    **inherited,
                    "PYTHONPATH": "target/deps:.",
                    "SPRUCEWINCH_CONFIG": str(self.settings),
                },
                stdout=lines,
                stderr=lines,
            )

    @property
    def log(self) -> Path:
        """The file of its lines."""
        return self.settings.with_suffix(".log")

    async def ready(self) -> None:
        """Wait until the platform's check finds it ready.

        Raises:
            CannotRunError: When it is not ready in time.
        """
        ask = b"GET /sprucewinch/readyz HTTP/1.1\r\nHost: platform\r\n\r\n"
        until = time.monotonic() + _READY_TIMEOUT_S
        while time.monotonic() < until:
            answer = await exchange(self.addresses["Ready"], ask, 1.0)
            if answer is not None and answer.status == OK:
                return
            if not self.running:
                break
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} is {self.fate} and not ready")

    async def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()

    def memory_mib(self, row: str = "VmHWM") -> float:
        """Return a row of the process's memory: `VmHWM` for the most so far, `VmRSS` for now."""
        assert self.process is not None
        with contextlib.suppress(OSError):
            text = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
            for line in text.splitlines():
                if line.startswith(f"{row}:"):
                    return int(line.split()[1]) / 1024
        return 0.0


async def enforce_memory(vm: Vm, memory_mb: float, record: Record) -> None:
    """Kill the process of an entry VM once it is over its memory, as the platform does."""
    while (used := vm.memory_mib()) <= memory_mb:
        await asyncio.sleep(_MEMORY_POLL_S)
    record.note(f"platform: {vm.name} has used {used:.0f} MiB of {memory_mb}: killed")
    await vm.end()


async def ask_each(vm: Vm, paths: Iterable[str], deadline_ms: int) -> int:
    """Send one request on each path, some at once; return how many were served."""
    waiting = iter(paths)
    served = 0

    async def ask() -> None:
        nonlocal served
        client = KeptConnection(vm.addresses["Front"])
        for path in waiting:
            head = request_head("GET", path, path.strip("/").replace("/", "-"), deadline_ms)
            answer = await client.exchange(head, deadline_ms / 1000)
            if answer is None:
                break
            served += answer.status == OK
        client.close()

    await asyncio.gather(*(ask() for _ in range(_REQUESTERS)))
    return served


class Fleet:
    """The store and the entry VMs of one case.

    Attributes:
        store: The store.
        vms: The entry VMs, not started yet.
    """

    def __init__(self, store: StoreStandIn, vms: list[Vm]) -> None:
        self.store = store
        self.vms = vms


@contextlib.asynccontextmanager
async def fleet(count: int) -> AsyncIterator[Fleet]:
    """Lay out a store and entry VMs; all processes end with the context."""
    loop = asyncio.get_running_loop()
    store = StoreStandIn(loop)
    listener = await loop.create_server(store.accept, "127.0.0.1", 0)
    address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
    with contextlib.ExitStack() as claims, tempfile.TemporaryDirectory() as folder:
        vms = []
        for number in range(1, count + 1):
            ip = claims.enter_context(own_address())
            [port] = free_ports(1, ip)
            vms.append(Vm(f"front-east-a-{number}", ip, address, port, Path(folder)))
        try:
            yield Fleet(store, vms)
        finally:
            for vm in vms:
                await vm.end()
            listener.close()


def main(case: Callable[[Record], Awaitable[bool]], folder: Path) -> None:
    """Run a case, which returns whether the rule held, and exit with its verdict."""
    record = Record(folder / "record.txt")
    record.note("with the disruption" if TROUBLE else "without the disruption (TROUBLE=0)")
    try:
        held = asyncio.run(case(record))
    except (CannotRunError, OSError) as error:
        record.note(f"the case could not run: {error}")
        sys.exit(CANNOT_RUN)
    record.note("the rule held" if held else "the rule was broken")
    sys.exit(HELD if held else BROKEN)
