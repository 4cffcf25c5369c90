"""A responder that also keeps a small answer, for a caller that repeats its request.

Owns the copy of the one answer that passes through it, up to a limit in bytes. Relies on the
responder that it wraps; `at_most_once` stores the copy under the operation's ticket.
"""

from typing import Optional

from ...net.request import Headers, Responder
from .tickets import Answer


class RecordingResponder(Responder):
    """Passes an answer on and keeps it while it is small.

    Args:
        target: Where the answer goes.
        limit: Most bytes of body that are kept.
    """

    def __init__(self, target: Responder, limit: int) -> None:
        self.target = target
        self.limit = limit
        self.status = 0
        self.headers: Headers = []
        self.body: Optional[bytearray] = bytearray()
        self.finished = False

    async def start(self, status: int, headers: Headers) -> None:
        """Begin the answer."""
        self.started = True
        self.status = status
        self.headers = headers
        await self.target.start(status, headers)

    async def write(self, chunk: bytes) -> None:
        """Send a piece of the answer's body."""
        if self.body is not None:
            self.body += chunk
            if len(self.body) > self.limit:
                self.body = None
        await self.target.write(chunk)

    async def finish(self) -> None:
        """End the answer."""
        self.finished = True
        await self.target.finish()

    def answer(self) -> Optional[Answer]:
        """Return the complete answer; None when it was too large or did not end."""
        if not self.finished or self.body is None:
            return None
        return Answer(self.status, tuple(self.headers), bytes(self.body))
