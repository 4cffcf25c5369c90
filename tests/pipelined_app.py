"""One connection of a listener on a transport in memory, before an application that is scripted."""

import asyncio
import enum
import logging
from typing import Any, Optional

from uvicorn.server import ServerState

from sprucewinch.net._inbound import LINGER_S
from sprucewinch.net.answer_memory import AnswerMemory
from sprucewinch.net.connection_turn import turn_of
from sprucewinch.net.http_server import ListenerLimits, make_listener
from standins.virtual import pass_time


def silent_logger() -> logging.Logger:
    """Return a logger that drops the warnings about malformed bytes."""
    logger = logging.Logger("silent")
    logger.addHandler(logging.NullHandler())
    return logger


class End(enum.Enum):
    """How the application ends a request."""

    WHOLE = "whole"
    """With a whole answer."""
    CLOSES = "closes"
    """With a whole answer that closes the connection."""
    RAISES = "raises"
    """With an error before its answer."""
    CUTS = "cuts"
    """With an error in the middle of its answer."""


class FakeTransport(asyncio.Transport):
    """Records what is written; a test hands over what is read.

    Args:
        loop: The loop.

    Attributes:
        written: What the caller has read.
        unread: What the transport has not sent, as the caller does not read.
        stalled: True while the caller reads nothing.
        ended: True once nothing more is written.
    """

    HIGH_BYTES = 65_536
    LOW_BYTES = 16_384

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__()
        self.loop = loop
        self.written = b""
        self.unread = b""
        self.protocol: Any = None
        self.closing = False
        self.ended = False
        self.reads = True
        self.stalled = False
        self.paused = False

    def write(self, data: Any) -> None:
        if self.closing:
            return
        self.unread += bytes(data)
        if not self.stalled:
            self.read()
        elif len(self.unread) > self.HIGH_BYTES and not self.paused:
            self.paused = True
            self.protocol.pause_writing()

    def read(self, size: Optional[int] = None) -> None:
        """Let the caller read some bytes, or all."""
        size = len(self.unread) if size is None else size
        self.written += self.unread[:size]
        self.unread = self.unread[size:]
        if self.paused and len(self.unread) <= self.LOW_BYTES:
            self.paused = False
            self.protocol.resume_writing()
        if self.closing and not self.unread:
            self._lose()

    def close(self) -> None:
        if not self.closing:
            self.closing = True
            if not self.unread:
                self._lose()

    def abort(self) -> None:
        self.closing = True
        self.unread = b""
        self._lose()

    def _lose(self) -> None:
        protocol, self.protocol = self.protocol, None
        if protocol is not None:
            self.loop.call_soon(protocol.connection_lost, None)

    def write_eof(self) -> None:
        self.ended = True

    def is_closing(self) -> bool:
        return self.closing

    def pause_reading(self) -> None:
        self.reads = False

    def resume_reading(self) -> None:
        self.reads = True

    def get_write_buffer_size(self) -> int:
        return len(self.unread)

    def get_extra_info(self, _name: str, default: Any = None) -> Any:
        return default


class ScriptedApp:
    """Ends each request as the test says; a path that begins with `/once` must not run twice."""

    def __init__(self) -> None:
        self.ends: dict[str, asyncio.Future] = {}
        self.started: list[str] = []
        self.ran: list[str] = []
        self.left: list[str] = []
        self.turns: dict[str, bool] = {}
        self.bodies: dict[str, bytes] = {}
        self.waited: dict[str, float] = {}
        self.on_run: Any = None

    def end(self, path: str, end: End = End.WHOLE) -> None:
        """End a request, now or as soon as it runs."""
        self._end_of(path).set_result(end)

    def _end_of(self, path: str) -> asyncio.Future:
        return self.ends.setdefault(path, asyncio.get_running_loop().create_future())

    async def __call__(self, scope: dict, receive: Any, send: Any) -> None:
        path = scope["path"]
        turn = turn_of(scope)
        assert turn is not None
        self.started.append(path)
        if path.startswith("/once"):
            self.turns[path] = await turn.wait_for_turn()
            if not self.turns[path]:
                self.left.append(path)
                return
        self.waited[path] = turn.waited_s
        if not await self._read(path, receive):
            self.left.append(path)
            return
        self.ran.append(path)
        if self.on_run is not None:
            self.on_run(path, turn)
        left = asyncio.create_task(receive())
        await asyncio.wait((left, self._end_of(path)), return_when=asyncio.FIRST_COMPLETED)
        if left.done():
            self.left.append(path)
            return
        await self._answer(path, self._end_of(path).result(), send)
        left.cancel()

    async def _read(self, path: str, receive: Any) -> bool:
        body = b""
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return False
            body += message["body"]
            if not message["more_body"]:
                self.bodies[path] = body
                return True

    async def _answer(self, path: str, end: End, send: Any) -> None:
        if end is End.RAISES:
            raise ValueError(path)
        body = path.encode()
        headers = [(b"content-length", b"%d" % len(body))]
        if end is End.CLOSES:
            headers.append((b"connection", b"close"))
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        if end is End.CUTS:
            await send({"type": "http.response.body", "body": body[:1], "more_body": True})
            raise ValueError(path)
        await send({"type": "http.response.body", "body": body})


class OneConnection:
    """One connection of a listener.

    Args:
        app: The application.
        max_at_once: Requests that run at once.
        limits: Limits of the listener; None for large ones.
        memory: Memory of unread answers; None to count none.
    """

    def __init__(
        self,
        app: Any,
        *,
        max_at_once: int = 16,
        limits: Optional[ListenerLimits] = None,
        memory: Optional[AnswerMemory] = None,
    ) -> None:
        limits = limits or ListenerLimits(16_384, connections=100, requests=1000)
        server = make_listener(app, limits, max_at_once=max_at_once, memory=memory)
        server.config.load()
        self.state = ServerState()
        self.transport = FakeTransport(asyncio.get_running_loop())
        self.protocol = server.config.http_protocol_class(
            config=server.config, server_state=self.state, app_state={}
        )
        self.protocol.logger = silent_logger()
        self.transport.protocol = self.protocol
        self.protocol.connection_made(self.transport)

    @property
    def written(self) -> bytes:
        return self.transport.written

    def receive(self, *data: bytes) -> None:
        """Hand over bytes of the caller."""
        self.protocol.data_received(b"".join(data))

    def leave(self) -> None:
        """Let the caller reset the connection."""
        self.transport.closing = True
        self.protocol.connection_lost(ConnectionResetError())


def get(path: str, more: str = "", *, version: str = "1.1", method: str = "GET") -> bytes:
    """Return the bytes of a request without body."""
    return f"{method} {path} HTTP/{version}\r\nhost: x\r\n{more}\r\n".encode()


def post(path: str, body: bytes) -> bytes:
    """Return the bytes of a request with a body."""
    return get(path, f"content-length: {len(body)}\r\n", method="POST") + body


def whole(path: str, *, closes: bool = False) -> bytes:
    """Return the bytes of a whole answer."""
    close = "connection: close\r\n" if closes else ""
    return f"HTTP/1.1 200 OK\r\ncontent-length: {len(path)}\r\n{close}\r\n{path}".encode()


FAILED = (
    b"HTTP/1.1 500 Internal Server Error\r\ncontent-type: text/plain; charset=utf-8\r\n"
    b"content-length: 21\r\nconnection: close\r\n\r\nInternal Server Error"
)
"""The bytes of the answer to a request whose application raised an error."""


def cut(path: str) -> bytes:
    """Return the bytes of an answer that ended after the first byte of its body."""
    return whole(path)[: 1 - len(path)]


async def lingers(one: OneConnection) -> bool:
    """Return whether a connection sends nothing more, reads on, and ends by itself."""
    began = one.transport.ended and one.transport.reads and not one.transport.closing
    one.receive(b"more")
    await pass_time(LINGER_S)
    return began and one.transport.closing


async def settle() -> None:
    """Let everything run that can."""
    for _ in range(30):
        await asyncio.sleep(0)
