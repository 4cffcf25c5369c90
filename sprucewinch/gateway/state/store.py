"""Interface of the platform's store, as far as the routed path needs it.

Owns the interface and its errors; the platform's adapter implements it. Relies on `replica` for
the result of a listing or a watch. A failed call raises an error; the caller repeats it.
"""

import abc

from .replica import Delta, Item


class HistoryGoneError(Exception):
    """The store no longer has the changes after the requested revision; list everything."""


class StoreUnavailableError(Exception):
    """The store did not answer or refused the call; repeat it. A write may have taken effect."""


class AnswerCutShortError(StoreUnavailableError):
    """Only a part of an answer arrived in time; the requested data may be too large."""


class Store(abc.ABC):
    """Values with revisions, listings and watches."""

    calls = 0
    """Number of calls made so far; the store counts and limits them."""

    @abc.abstractmethod
    def move(self, address: str) -> None:
        """Use an address from the next call on.

        Args:
            address: `IP:PORT`.
        """

    @abc.abstractmethod
    async def listing(self) -> Delta:
        """Return all keys that the routed path reads, as a snapshot.

        Raises:
            StoreUnavailableError: If the store did not answer.
        """

    @abc.abstractmethod
    async def watch(self, after: int, wait_s: float) -> Delta:
        """Wait for changes after a revision.

        Args:
            after: Revision.
            wait_s: Longest wait, in seconds.

        Raises:
            HistoryGoneError: If the store no longer has these changes.
            AnswerCutShortError: If only a part of the answer arrived. A listing may be shorter, as
                a watch returns every version of a key since the revision.
            StoreUnavailableError: If the store did not answer.
        """

    @abc.abstractmethod
    async def write(self, key: str, value: bytes) -> None:
        """Write a value under one of this system's own keys, unconditionally.

        Raises:
            StoreUnavailableError: If the store did not answer.
        """

    @abc.abstractmethod
    async def replace(self, item: Item, value: bytes) -> bool:
        """Write a value under one of this system's own keys if it is still at the item's revision.

        A key that does not exist has revision 0.

        Returns:
            False if the key is at another revision.

        Raises:
            StoreUnavailableError: If the store did not answer.
        """

    @abc.abstractmethod
    async def remove(self, item: Item) -> None:
        """Remove one of this system's own keys if it is still at the item's revision.

        Raises:
            StoreUnavailableError: If the store did not answer.
        """
