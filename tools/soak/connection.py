"""One connection of a caller that sends several requests at once, or reads slowly.

Owns the bytes of the requests and the answers in the order in which they arrive; aiohttp, which the
other callers use, neither sends requests together nor leaves answers unread. It decides nothing:
`troubles.callers` matches answers to requests.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Mapping
from typing import NamedTuple, Optional

import httptools
from multidict import CIMultiDict

_READ_BYTES = 65_536
"""Largest number of bytes that a caller reads at once."""

_SLOW_READ_BYTES = 4096
"""The same for one that reads slowly, whose buffers are of this size too."""

_SLOW_READ_PAUSE_S = 0.05
"""Seconds between two reads of a caller that reads slowly."""


class Received(NamedTuple):
    """One answer.

    Args:
        status: HTTP status.
        headers: Its headers.
        body: Its whole body.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes

    @property
    def closes(self) -> bool:
        """Return whether the connection ends after this answer."""
        return self.headers.get("Connection", "").lower() == "close"


class CallerConnection:
    """One connection to an entry VM.

    Args:
        reader: Stream of answers.
        writer: Stream of requests.
        slow: True to read slowly.

    Attributes:
        problem: What is wrong with the bytes that arrived; empty for nothing.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, slow: bool = False
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.slow = slow
        self.problem = ""
        self._parser = httptools.HttpResponseParser(self)
        self._answers: deque[Received] = deque()
        self._in_answer = False
        self.on_message_begin()

    @classmethod
    async def open(cls, address: str, *, slow: bool = False) -> "CallerConnection":
        """Connect to `IP:PORT`, with small buffers for a caller that reads slowly.

        Raises:
            OSError: When the connection is refused.
        """
        ip, port = address.split(":")
        sock = socket.socket()
        sock.setblocking(False)
        if slow:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SLOW_READ_BYTES)
        try:
            await asyncio.get_running_loop().sock_connect(sock, (ip, int(port)))
        except OSError:
            sock.close()
            raise
        limit = _SLOW_READ_BYTES if slow else _READ_BYTES
        return cls(*await asyncio.open_connection(sock=sock, limit=limit), slow=slow)

    def send(self, *requests: bytes) -> None:
        """Send requests together."""
        self.writer.write(b"".join(requests))

    async def receive(self) -> Optional[Received]:
        """Return the next answer; None when the connection ended without one."""
        while not self._answers and not self.problem:
            try:
                data = await self.reader.read(_SLOW_READ_BYTES if self.slow else _READ_BYTES)
            except OSError:
                return None
            if not data:
                return self._answer_until_end()
            self._feed(data)
            if self.slow:
                await asyncio.sleep(_SLOW_READ_PAUSE_S)
        return self._answers.popleft() if self._answers else None

    def surplus(self) -> str:
        """Return what arrived beyond the answers received so far; empty for nothing."""
        further = "a further answer" if self._answers or self._in_answer else ""
        return self.problem or further

    def close(self) -> None:
        """End the connection at once, whatever has not been read."""
        self.writer.transport.abort()

    def _feed(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.problem = f"{type(error).__name__}: {error}"

    def _answer_until_end(self) -> Optional[Received]:
        """Return the answer that the end of the connection completes, as it states no length."""
        framed = "Content-Length" in self._headers or "Transfer-Encoding" in self._headers
        if not self._in_answer or framed:
            return None
        self._in_answer = False
        return Received(self._parser.get_status_code(), self._headers, bytes(self._body))

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self._headers: CIMultiDict[str] = CIMultiDict()
        self._body = bytearray()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header of the current answer."""
        self._headers.add(name.decode("latin-1"), value.decode("latin-1"))

    def on_headers_complete(self) -> None:
        """Wait for the body of the current answer."""
        self._in_answer = True

    def on_body(self, body: bytes) -> None:
        """Take a part of the current answer's body."""
        self._body += body

    def on_message_complete(self) -> None:
        """Complete the current answer."""
        self._in_answer = False
        status = self._parser.get_status_code()
        self._answers.append(Received(status, self._headers, bytes(self._body)))


def request_bytes(path: str, headers: Mapping[str, str]) -> bytes:
    """Return a GET request as bytes."""
    lines = [f"GET {path} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode("latin-1")
