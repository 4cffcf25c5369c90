"""The platform's store as the routed request path needs it."""

import abc

from .replica import Delta, Item


class HistoryGoneError(Exception):
    """The store has forgotten what happened after the revision asked for; list everything."""


class StoreUnavailableError(Exception):
    """The store did not answer, or refused the call; nothing is known of a write's effect."""


class Store(abc.ABC):
    """Values with revisions, listings and watches."""

    calls = 0
    """Calls made so far; the store counts and limits them."""

    @abc.abstractmethod
    def move(self, address: str) -> None:
        """Use another address from the next call on, when it differs.

        Args:
            address: `IP:PORT`.
        """

    @abc.abstractmethod
    async def listing(self) -> Delta:
        """Return everything that matters here, as a whole delta.

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
            StoreUnavailableError: When the store did not answer.
        """

    @abc.abstractmethod
    async def write(self, key: str, value: bytes) -> None:
        """Write a value of this system's own, whatever it was before.

        Raises:
            StoreUnavailableError: When the answer is not known.
        """

    @abc.abstractmethod
    async def remove(self, item: Item) -> None:
        """Remove a key of this system's own if it is still at the item's revision.

        Raises:
            StoreUnavailableError: When the answer is not known.
        """
