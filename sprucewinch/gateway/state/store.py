"""The interface of the platform's store as the routed path needs it.

Owns the interface and its errors; the platform's adapter implements it. Relies on `replica` for
what a listing or a watch returns. A call that fails raises an error; the caller repeats it.
"""

import abc

from .replica import Delta, Item


class HistoryGoneError(Exception):
    """The store no longer has the changes after the revision asked for; list everything."""


class StoreUnavailableError(Exception):
    """The store did not answer, or refused the call: repeat it; a write may have taken effect."""


class AnswerCutShortError(StoreUnavailableError):
    """A part of an answer came, and not the rest in time: what is asked for may be too much."""


class Store(abc.ABC):
    """Values with revisions, listings and watches."""

    calls = 0
    """Calls made so far; the store counts and limits them."""

    @abc.abstractmethod
    def move(self, address: str) -> None:
        """Use an address from the next call on.

        Args:
            address: `IP:PORT`.
        """

    @abc.abstractmethod
    async def listing(self) -> Delta:
        """Return all keys that the routed path reads, as a whole delta.

        Raises:
            StoreUnavailableError: When the store did not answer.
        """

    @abc.abstractmethod
    async def watch(self, after: int, wait_s: float) -> Delta:
        """Wait for changes after a revision.

        Args:
            after: Revision.
            wait_s: Longest wait, in seconds.

        Raises:
            HistoryGoneError: When that history is gone.
            AnswerCutShortError: When a part of the answer came and not the rest: it holds each
                version of a key since the revision, so that a listing may be shorter.
            StoreUnavailableError: When the store did not answer.
        """

    @abc.abstractmethod
    async def write(self, key: str, value: bytes) -> None:
        """Write a value of this system's own without comparing it with the value before.

        Raises:
            StoreUnavailableError: When the store did not answer.
        """

    @abc.abstractmethod
    async def replace(self, item: Item, value: bytes) -> bool:
        """Write a value of this system's own if its key is still at the item's revision.

        A key that is not there is at revision 0.

        Returns:
            False when another value stands there.

        Raises:
            StoreUnavailableError: When the store did not answer.
        """

    @abc.abstractmethod
    async def remove(self, item: Item) -> None:
        """Remove a key of this system's own if it is still at the item's revision.

        Raises:
            StoreUnavailableError: When the store did not answer.
        """
