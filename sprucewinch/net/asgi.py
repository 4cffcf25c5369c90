"""Translates requests and answers of Sprucewinch's own interface from and to ASGI messages.

Owns the translation between ASGI and the types of `body` and `request`, and the form of refusals
to callers. Relies on an ASGI server, which `http_server` makes, for bytes and back-pressure.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Optional

from .body import Body, CallerLeftError
from .http_server import refusal_body
from .outcome import Outcome, Refusal, http_status
from .request import HALL_HEADER, OUTCOME_HEADER, REASON_HEADER, Headers, Responder

Receive = Callable[[], Awaitable[dict]]
Send = Callable[[dict], Awaitable[None]]
RawHeaders = list[tuple[bytes, bytes]]

_JSON = (b"content-type", b"application/json")

_MS_PER_S = 1000


async def send_answer(
    send: Send, status: int, body: bytes, headers: Optional[RawHeaders] = None
) -> None:
    """Send a whole JSON answer."""
    length = (b"content-length", b"%d" % len(body))
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [_JSON, length, *(headers or [])],
        }
    )
    await send({"type": "http.response.body", "body": body})


async def send_refusal(send: Send, refusal: Refusal, *, close: bool = False) -> None:
    """Send a refusal as the final answer.

    Args:
        send: ASGI send.
        refusal: The refusal.
        close: Close the connection afterwards, so that the rest of the body need not be read.
    """
    headers = [
        (OUTCOME_HEADER.encode(), refusal.outcome.value.encode()),
        (REASON_HEADER.encode(), refusal.reason.value.encode()),
    ]
    if refusal.retry_after_ms:
        # `Retry-After` is in whole seconds, rounded up.
        seconds = -(-refusal.retry_after_ms // _MS_PER_S)
        headers.append((b"retry-after", b"%d" % seconds))
    if close:
        headers.append((b"connection", b"close"))
    body = refusal_body(refusal.outcome, refusal.reason, refusal.retry_after_ms)
    await send_answer(send, http_status(refusal), body, headers)


class AsgiBody(Body):
    """A caller's request body."""

    def __init__(self, receive: Receive) -> None:
        self.first = b""
        self.complete = False
        self._receive = receive
        self._ended = asyncio.Event()

    async def keep_start(self, limit: int) -> None:
        """Read chunks into `first` until it has at least `limit` bytes or the body ends."""
        start = bytearray()
        while len(start) < limit:
            chunk = await self._read()
            if chunk is None:
                self.complete = True
                break
            start += chunk
        self.first = bytes(start)

    async def next_chunk(self) -> Optional[bytes]:
        """Return the next chunk; None at the end."""
        return await self._read()

    async def caller_left(self) -> None:
        """Wait until the caller closes its connection, after its whole body has been read."""
        await self._ended.wait()
        message = await self._receive()
        while message["type"] != "http.disconnect":
            message = await self._receive()

    async def _read(self) -> Optional[bytes]:
        if self._ended.is_set():
            return None
        message = await self._receive()
        if message["type"] == "http.disconnect":
            raise CallerLeftError("the caller closed its connection")
        if not message.get("more_body", False):
            self._ended.set()
        body = message.get("body", b"")
        if not body and self._ended.is_set():
            return None
        return body


class AsgiResponder(Responder):
    """Sends an answer to the caller."""

    finished = False
    """True once `finish` was called."""

    def __init__(self, send: Send, hall: str) -> None:
        self.send = send
        self.hall = hall
        self._remaining_bytes: Optional[int] = None
        self._last_chunk = b""

    async def start(self, status: int, headers: Headers) -> None:
        """Send the status and the headers; see `Responder`."""
        self.started = True
        self._remaining_bytes = _content_length(headers)
        raw = [(name.lower().encode("latin-1"), value.encode("latin-1")) for name, value in headers]
        raw.append((OUTCOME_HEADER.encode(), Outcome.ANSWERED.value.encode()))
        raw.append((HALL_HEADER.encode(), self.hall.encode()))
        await self.send({"type": "http.response.start", "status": status, "headers": raw})

    async def write(self, chunk: bytes) -> None:
        """Send a chunk at once; with a known length, `finish` sends the last chunk."""
        if self._remaining_bytes is not None:
            self._remaining_bytes -= len(chunk)
            if self._remaining_bytes == 0:
                self._last_chunk = chunk
                return
        await self.send({"type": "http.response.body", "body": chunk, "more_body": True})

    async def finish(self) -> None:
        """Send the last chunk of the body; see `Responder`."""
        self.finished = True
        await self.send({"type": "http.response.body", "body": self._last_chunk})


def _content_length(headers: Headers) -> Optional[int]:
    for name, value in headers:
        if name.lower() == "content-length" and value.isdigit():
            return int(value)
    return None
