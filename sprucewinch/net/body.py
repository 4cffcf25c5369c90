"""Request bodies: streamed with back-pressure, and kept only while they are small.

Owns the abstract body and the rule when it may be sent a second time: while nothing beyond the part
that is kept in memory was taken. Where the pieces come from is the subclass's; the limit on what is
kept is the settings'.
"""

import abc
from collections.abc import AsyncIterator
from typing import Optional


class CallerLeftError(Exception):
    """The caller closed its connection before its request was complete."""


class Body(abc.ABC):
    """A request body that arrives in pieces.

    The start of the body, up to a limit, is kept in memory. While that is the whole body it may be
    sent more than once.
    """

    first: bytes
    """Start of the body, as far as it is kept in memory."""

    complete: bool
    """True when `first` is the whole body."""

    consumed = False
    """True when more than `first` was taken, so that the body cannot be sent again."""

    @abc.abstractmethod
    async def next_chunk(self) -> Optional[bytes]:
        """Return the next piece after `first`; None at the end.

        Raises:
            CallerLeftError: When the body was cut short.
        """

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the whole body."""
        if self.first:
            yield self.first
        if self.complete:
            return
        self.consumed = True
        while (chunk := await self.next_chunk()) is not None:
            yield chunk

    @property
    def replayable(self) -> bool:
        """True while the body can still be sent from its start."""
        return not self.consumed
