"""A caller that sends one booking at a known moment and records what it sees.

Owns the bytes of one request on one connection. Relies on `tools.soak.connection` to read answers.
"""

import asyncio
from typing import Optional

from tools.soak.connection import CallerConnection, Received

from .scenario import Scenario

HOST = "quotes.example"
DEADLINE_S = 10.0
"""Time for which a caller waits, in seconds."""

_BODY_BYTES = 4000
_REST_BYTES = 65_536
_READS = 50
"""Steps in which an answer is read by a caller that reads evenly."""


class Booking:
    """One booking, with its times in seconds of the loop.

    Attributes:
        sent_at: When its first byte was sent; None if it was not sent.
        whole_at: When its last byte was sent.
        ended_at: When its answer was whole, or its connection ended.
        status: Status of its answer; 0 without one.
        whole: Whether its answer was whole.
    """

    __slots__ = ("ended_at", "request_id", "sent_at", "status", "whole", "whole_at")

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id
        self.sent_at: Optional[float] = None
        self.whole_at: Optional[float] = None
        self.ended_at = 0.0
        self.status = 0
        self.whole = False


async def connect(address: str, scenario: Scenario) -> Optional[CallerConnection]:
    """Open a connection; None when it is refused."""
    try:
        return await CallerConnection.open(address, slow=scenario.read_until_s is not None)
    except OSError:
        return None


async def book(
    connection: CallerConnection, booking: Booking, scenario: Scenario, pause_s: float, until: float
) -> None:
    """Send a booking and read its answer.

    Args:
        connection: Its connection.
        booking: Takes what is seen.
        scenario: How it is sent and read.
        pause_s: Time between its head and the rest of its body, in seconds.
        until: Time of the loop by which a slow caller has read its answer, in seconds.
    """
    loop = asyncio.get_running_loop()
    head = (
        f"POST /book/1 HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {booking.request_id}\r\n"
        f"x-request-deadline-ms: {DEADLINE_S * 1000:g}\r\ncontent-length: {_BODY_BYTES}\r\n\r\n"
    ).encode()
    body = b"x" * _BODY_BYTES
    booking.sent_at = loop.time()
    connection.send(head + body[:1] if pause_s else head + body)
    answer = asyncio.create_task(_answer(connection, booking, scenario, until))
    if pause_s:
        await asyncio.sleep(pause_s)
        connection.send(body[1:])
    booking.whole_at = loop.time()
    await answer
    connection.close()


async def _answer(
    connection: CallerConnection, booking: Booking, scenario: Scenario, until: float
) -> None:
    """Record the answer, or the end without one."""
    try:
        async with asyncio.timeout(DEADLINE_S):
            received = await _receive(connection, scenario, until)
    except TimeoutError:
        received = None
    booking.ended_at = asyncio.get_running_loop().time()
    if received is not None:
        booking.status, booking.whole = received.status, True


async def _receive(
    connection: CallerConnection, scenario: Scenario, until: float
) -> Optional[Received]:
    if scenario.read_until_s is None:
        return await connection.receive()
    loop = asyncio.get_running_loop()
    reading = bytearray()
    step_s = (until - loop.time()) / _READS
    for _ in range(_READS):
        await asyncio.sleep(step_s)
        reading += await connection.reader.read(scenario.answer_bytes // _READS + 1)
    while data := await _rest(connection):
        reading += data
    _, _, body = bytes(reading).partition(b"\r\n\r\n")
    whole = len(body) == scenario.answer_bytes
    return Received(int(reading.split(b" ", 2)[1]), {}, bytes(body)) if whole else None


async def _rest(connection: CallerConnection) -> bytes:
    try:
        return await connection.reader.read(_REST_BYTES)
    except OSError:
        return b""
