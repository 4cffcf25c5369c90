"""Reads the body of a request into memory, within its time and the memory of all bodies.

Owns the reading itself. `body_admission` decides what is accepted and which body is evicted; the
listener ends a connection whose caller sends nothing for its idle timeout (`net._inbound`). Sizes
are in bytes, times in monotonic seconds.

A request is answered when its time is over, whether its body has come or not: after that, nobody
waits for what it would do. Tests: tests/test_gateway_body_memory.py.
"""

import asyncio
from collections.abc import Callable
from typing import Optional

from ....net.asgi import AsgiBody
from .body_admission import ArrivingBody, BodyAdmission, BodyMemory, admit_body


class BodyReader:
    """Reads bodies.

    Args:
        memory: Memory of all bodies.
        monotonic: Source of monotonic time, in seconds.
    """

    __slots__ = ("memory", "monotonic")

    def __init__(self, memory: BodyMemory, monotonic: Callable[[], float]) -> None:
        self.memory = memory
        self.monotonic = monotonic

    async def read(
        self, body: AsgiBody, stated_bytes: Optional[int], *, limit_bytes: int, until: float
    ) -> BodyAdmission:
        """Read a body; one that is admitted is whole, in `first`, and counted in the memory.

        Args:
            body: The body.
            stated_bytes: Its length by the headers; None without one.
            limit_bytes: The configuration's limit on a body.
            until: Time at which its request must be answered.

        Raises:
            CallerLeftError: When the caller closed its connection before the end.
        """
        stated_bytes = stated_bytes or 0
        fits = not stated_bytes or self.memory.make_room(stated_bytes, self.monotonic())
        admission = admit_body(stated_bytes, limit_bytes, complete=fits)
        if admission is BodyAdmission.ADMITTED:
            admission = await self._read_in_time(body, limit_bytes, until)
        if admission is BodyAdmission.ADMITTED:
            self.memory.take(len(body.first))
        return admission

    async def _read_in_time(self, body: AsgiBody, limit_bytes: int, until: float) -> BodyAdmission:
        timer = asyncio.timeout(until - self.monotonic())
        arriving = ArrivingBody(lambda: _expire(timer))
        self.memory.begin(arriving, self.monotonic())
        try:
            async with timer:
                return await self._collect(body, arriving, limit_bytes)
        except TimeoutError:
            return BodyAdmission.NO_MEMORY if arriving.evicted else BodyAdmission.LATE
        finally:
            self.memory.end(arriving)

    async def _collect(
        self, body: AsgiBody, arriving: ArrivingBody, limit_bytes: int
    ) -> BodyAdmission:
        whole = bytearray()
        while (chunk := await body.next_chunk()) is not None:
            if len(whole) + len(chunk) > limit_bytes:
                return BodyAdmission.TOO_LARGE
            if not self.memory.grow(arriving, len(chunk), self.monotonic()):
                return BodyAdmission.NO_MEMORY
            whole += chunk
        # Not copied to `bytes`: that would hold a long body twice for a moment.
        body.first, body.complete = whole, True
        return BodyAdmission.ADMITTED


def _expire(timer: asyncio.Timeout) -> None:
    if not timer.expired():
        timer.reschedule(asyncio.get_running_loop().time())
