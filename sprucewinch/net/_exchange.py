"""The entries of a connection's line: requests with their answers, and the listener's refusals.

Owns what one entry does when it begins, when its turn to send comes, and when it is dropped. An
answer waits in the application, which goes on once its turn has come, and a large one is handed to
the transport in pieces as the caller reads them, so that no answer is held twice and none is mixed
with another. The framing of an answer is uvicorn's.
"""

import abc
import asyncio
import logging
from typing import Any, Optional

import httptools
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import RequestResponseCycle

from ._unread_answers import UnreadAnswers
from ._write_side import WriteSide
from .connection_turn import TURN_KEY, ConnectionTurn

_PIECE_BYTES = 65_536
"""Bytes of an answer that are handed to the transport at a time, which copies what it cannot send
at once."""

INVALID_REQUEST = (
    b"HTTP/1.1 400 Bad Request\r\ncontent-type: text/plain; charset=utf-8\r\n"
    b"content-length: 30\r\nconnection: close\r\n\r\nInvalid HTTP request received."
)
"""The refusal of bytes that are no request."""

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Entry(abc.ABC):
    """One entry of a connection's line."""

    @abc.abstractmethod
    def begin(self) -> None:
        """Run."""

    @abc.abstractmethod
    def take_turn(self) -> None:
        """Send, as all answers ahead are whole."""

    @abc.abstractmethod
    def close_after(self) -> None:
        """Close the connection after this entry's answer."""

    @abc.abstractmethod
    def drop(self) -> None:
        """Send nothing and end, as when the caller leaves."""


class Connection(abc.ABC):
    """What an exchange needs of its connection; uvicorn's protocol has most of its attributes.

    Attributes:
        out: What answers are written to.
        unread: Answers of the connection that its caller has not read.
    """

    out: WriteSide
    unread: UnreadAnswers
    flow: FlowControl
    parser: httptools.HttpRequestParser
    scope: Any
    expect_100_continue: bool
    server_state: Any
    logger: logging.Logger
    access_logger: logging.Logger
    access_log: bool

    @abc.abstractmethod
    def on_response_complete(self) -> None:
        """Go on with the next answer, as that of the head is whole."""

    @property
    @abc.abstractmethod
    def closing(self) -> bool:
        """Whether no further request is read."""

    @abc.abstractmethod
    def is_head(self, entry: Entry) -> bool:
        """Return whether all answers ahead of an entry are whole."""

    @abc.abstractmethod
    def begin(self, exchange: "Exchange") -> None:
        """Pass a request to the application."""

    @abc.abstractmethod
    def keeps_after(self, exchange: "Exchange") -> bool:
        """Return whether the next request is read after an answer that is sent now."""

    @abc.abstractmethod
    def close_behind(self) -> None:
        """Drop all behind the head, whose answer closes the connection."""

    @abc.abstractmethod
    def cut(self) -> None:
        """Close the connection, as the head's answer ended before it was whole."""

    @abc.abstractmethod
    def body_taken(self) -> None:
        """Read on, as the application has taken what was read of a body."""

    @abc.abstractmethod
    def read_no_more(self) -> None:
        """Read no further request, and close after the last one that has begun."""


class FinalBytes(Entry):
    """A refusal of the listener itself, after which the connection closes.

    Args:
        transport: The connection's write side.
        content: The whole answer.
    """

    def __init__(self, transport: WriteSide, content: bytes) -> None:
        self.transport = transport
        self.content = content

    def begin(self) -> None:
        pass

    def take_turn(self) -> None:
        self.transport.write(self.content)
        self.transport.close()

    def close_after(self) -> None:
        pass

    def drop(self) -> None:
        pass


class Exchange(RequestResponseCycle, ConnectionTurn, Entry):
    """One request and its answer, created when its headers are complete.

    Args:
        connection: Its connection.
        arrived_at: Time of the loop when it arrived, in seconds.
    """

    def __init__(self, connection: Connection, arrived_at: float) -> None:
        keeps = connection.scope["http_version"] != "1.0" and connection.parser.should_keep_alive()
        super().__init__(
            scope=connection.scope,
            transport=connection.out,  # type: ignore[arg-type]
            flow=connection.flow,
            logger=connection.logger,
            access_logger=connection.access_logger,
            access_log=connection.access_log,
            default_headers=connection.server_state.default_headers,
            message_event=asyncio.Event(),
            expect_100_continue=connection.expect_100_continue,
            keep_alive=keeps,
            on_response=connection.on_response_complete,
        )
        self.connection = connection
        self.arrived_at = arrived_at
        self.whole_at: Optional[float] = None
        self.held_bytes = 0
        self._turn: Optional[asyncio.Event] = None
        self.scope[TURN_KEY] = self

    def begin(self) -> None:
        self.connection.begin(self)

    def take_turn(self) -> None:
        if self._turn is not None:
            self._turn.set()

    def close_after(self) -> None:
        self.keep_alive = False

    def drop(self) -> None:
        self.disconnected = True
        self.message_event.set()
        self.take_turn()

    async def wait_for_turn(self) -> bool:
        if not self.disconnected and not self.connection.is_head(self):
            if self._turn is None:
                self._turn = asyncio.Event()
            await self._turn.wait()
        return not self.disconnected

    @property
    def closing(self) -> bool:
        return self.disconnected or self.connection.closing

    @property
    def waited_s(self) -> float:
        return asyncio.get_running_loop().time() - self.arrived_at

    @property
    def whole_s(self) -> Optional[float]:
        if self.whole_at is None:
            return None
        return asyncio.get_running_loop().time() - self.whole_at

    def read_no_more(self) -> None:
        self.connection.read_no_more()

    def hold_answer(self, size_bytes: int) -> None:
        sent_at_once = size_bytes <= _PIECE_BYTES and not self.flow.write_paused
        if sent_at_once and self.connection.is_head(self):
            return
        self.held_bytes += size_bytes
        self.connection.unread.wait(size_bytes)

    async def run_asgi(self, app: Any) -> None:
        try:
            await super().run_asgi(app)
        finally:
            if self.held_bytes:
                self._hand_over(self.held_bytes)
        if not self.response_complete and not self.disconnected:
            self.connection.cut()

    async def send_500_response(self) -> None:
        # A cancelled request ends at once: the loop ends, and its turn may never come.
        task = asyncio.current_task()
        if task is None or not task.cancelling():
            await super().send_500_response()

    async def send(self, message: Any) -> None:
        if self.response_started:
            await self._send_body(message)
        elif self.connection.is_head(self) or await self.wait_for_turn():
            self.keep_alive = self.keep_alive and self.connection.keeps_after(self)
            await super().send(message)
            if not self.keep_alive and not self.disconnected:
                self.connection.close_behind()

    async def _send_body(self, message: Any) -> None:
        body = message.get("body", b"")
        if len(body) > _PIECE_BYTES:
            rest = memoryview(body)
            while len(rest) > _PIECE_BYTES and not self.disconnected:
                await self._send_piece({**message, "body": rest[:_PIECE_BYTES], "more_body": True})
                rest = rest[_PIECE_BYTES:]
            message = {**message, "body": rest}
        await self._send_piece(message)

    async def _send_piece(self, message: Any) -> None:
        if self.held_bytes:
            if self.flow.write_paused and not self.disconnected:
                await self.flow.drain()
            self._hand_over(min(self.held_bytes, len(message.get("body", b""))))
        await super().send(message)

    def _hand_over(self, size_bytes: int) -> None:
        """Count bytes that are no longer held here, but by the transport or by nobody."""
        self.held_bytes -= size_bytes
        self.connection.unread.wait(-size_bytes)

    async def receive(self) -> Any:
        if self.waiting_for_100_continue and await self.wait_for_turn():
            self.waiting_for_100_continue = False
            if not self.transport.is_closing():
                self.transport.write(_CONTINUE)
        if not self.disconnected and not self.response_complete:
            self.connection.body_taken()
            await self.message_event.wait()
            self.message_event.clear()
        if self.disconnected or self.response_complete:
            return {"type": "http.disconnect"}
        body, self.body = bytes(self.body), bytearray()
        return {"type": "http.request", "body": body, "more_body": self.more_body}
