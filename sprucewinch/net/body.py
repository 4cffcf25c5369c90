"""Request bodies: streamed with back-pressure, and buffered in memory only while small.

Owns the abstract body and the rule when it may be sent again: as long as nothing beyond the
buffered part has been consumed. Subclasses provide the chunks; the settings limit the size of the
buffered part.
"""

import abc
from collections.abc import AsyncIterator
from typing import Optional, Union


class CallerLeftError(Exception):
    """The caller closed its connection before its request was complete."""


class Body(abc.ABC):
    """A request body that arrives in chunks.

    The start of the body, up to a limit, is buffered in memory. A body that is buffered as a whole
    may be sent more than once.
    """

    first: Union[bytes, bytearray]
    """Start of the body, as far as it is buffered in memory."""

    complete: bool
    """True when `first` is the whole body."""

    consumed = False
    """True once chunks after `first` may have been consumed: the body cannot be sent again."""

    @abc.abstractmethod
    async def next_chunk(self) -> Optional[bytes]:
        """Return the next chunk after `first`; None at the end.

        Raises:
            CallerLeftError: When the caller closed its connection before the end.
        """

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the whole body, chunk by chunk."""
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
