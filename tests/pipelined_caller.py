"""A caller in memory that sends requests together on one connection to a whole VM."""

import asyncio
import re
from typing import Any, NamedTuple

from uvicorn.server import ServerState

from standins.virtual import VirtualLoop

from .formats_gateway import VirtualGateway

FRONT = "10.1.0.34:1"
_LENGTH = re.compile(rb"content-length: (\d+)")


class Received(NamedTuple):
    """One whole answer that a caller received."""

    status: int
    headers: bytes
    body: bytes
    at: float

    @property
    def closes(self) -> bool:
        return b"connection: close" in self.headers


class PipelinedCaller(asyncio.Protocol):
    """One connection of a caller; collects the answers in the order of their arrival."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop
        self.unread = b""
        self.answers: list[Received] = []
        self.closed_at: float | None = None
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.unread += data
        while (end := self.unread.find(b"\r\n\r\n")) >= 0:
            head = self.unread[:end]
            length = _LENGTH.search(head)
            size = int(length.group(1)) if length else 0
            if len(self.unread) < end + 4 + size:
                return
            body = self.unread[end + 4 : end + 4 + size]
            self.unread = self.unread[end + 4 + size :]
            status = int(head.split(b" ", 2)[1])
            self.answers.append(Received(status, head.lower(), body, self.loop.time()))

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed_at = self.loop.time()

    def send(self, *requests: bytes) -> None:
        self.transport.write(b"".join(requests))

    async def until_answered(self, count: int) -> None:
        while len(self.answers) < count and self.closed_at is None:
            await asyncio.sleep(0.005)


def request(
    request_id: str,
    path: str = "/rates/a",
    *,
    method: str = "GET",
    body: bytes = b"",
    more: str = "",
    version: str = "1.1",
) -> bytes:
    """Return the bytes of one request."""
    length = f"content-length: {len(body)}\r\n" if body else ""
    head = (
        f"{method} {path} HTTP/{version}\r\nhost: quotes.example\r\nx-request-id: {request_id}\r\n"
        f"x-request-deadline-ms: 2500\r\n{length}{more}\r\n"
    )
    return head.encode() + body


async def connect(loop: VirtualLoop, vm: VirtualGateway) -> PipelinedCaller:
    """Connect a caller to the VM's callers' listener."""
    if FRONT not in loop.listeners:
        listen(loop, vm)
    caller = PipelinedCaller(loop)
    host, port = FRONT.split(":")
    await loop.create_connection(lambda: caller, host, int(port))
    return caller


def listen(loop: VirtualLoop, vm: VirtualGateway) -> ServerState:
    """Listen for callers as the VM does, in memory; returns the listener's state."""
    app = vm.gateway.requests.app
    server = vm.gateway.listeners.make(app, app.answers)
    server.config.load()
    state = ServerState()
    loop.listen(
        FRONT,
        lambda: server.config.http_protocol_class(
            config=server.config, server_state=state, app_state={}
        ),
    )
    return state
