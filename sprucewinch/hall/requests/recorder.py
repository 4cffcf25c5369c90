"""A responder that keeps a copy of a small answer, for callers that repeat their request.

Owns the copy of the one answer that passes through it, up to a limit in bytes. Relies on the
responder that it wraps. `at_most_once` stores the copy under the ticket of the operation.
"""

from typing import Optional

from ...net.request import Headers, Responder
from .tickets import Answer


class RecordingResponder(Responder):
    """Passes an answer on and keeps a copy unless it is too large.

    Args:
        responder: Receives the answer.
        max_body_bytes: Maximum size of a body that is kept, in bytes.
    """

    def __init__(self, responder: Responder, max_body_bytes: int) -> None:
        self.responder = responder
        self.max_body_bytes = max_body_bytes
        self.status = 0
        self.headers: Headers = []
        self.body: Optional[bytearray] = bytearray()
        self.finished = False

    async def start(self, status: int, headers: Headers) -> None:
        """Begin the answer."""
        self.started = True
        self.status = status
        self.headers = headers
        await self.responder.start(status, headers)

    async def write(self, chunk: bytes) -> None:
        """Send a piece of the answer's body."""
        if self.body is not None:
            self.body += chunk
            if len(self.body) > self.max_body_bytes:
                self.body = None
        await self.responder.write(chunk)

    async def finish(self) -> None:
        """End the answer."""
        self.finished = True
        await self.responder.finish()

    def answer(self) -> Optional[Answer]:
        """Return the complete answer; None when it is too large or incomplete."""
        if not self.finished or self.body is None:
            return None
        return Answer(self.status, tuple(self.headers), bytes(self.body))
