"""Interface by which an application learns of a request's place among those of its connection.

Owns the interface and the key of the ASGI scope that holds it. A listener that runs requests of one
connection at once implements it in `_exchange`; the application decides what it does with it: a
request that must not run twice waits for its turn, as a caller counts every request behind an
answer that closes the connection as not read, and sends it again.
"""

import abc
from typing import Any, Optional

TURN_KEY = "sprucewinch.turn"
"""Key of the ASGI scope that holds the `ConnectionTurn` of a request."""


class ConnectionTurn(abc.ABC):
    """Place of one request among those of its connection."""

    @abc.abstractmethod
    async def wait_for_turn(self) -> bool:
        """Wait until all requests ahead are answered whole.

        Returns:
            True when the request may run; False when its connection closes before, so that the
            caller counts it as not read.
        """

    @property
    @abc.abstractmethod
    def closing(self) -> bool:
        """Whether the connection reads no further request and closes."""

    @property
    @abc.abstractmethod
    def waited_s(self) -> float:
        """Time since the request arrived, in seconds."""

    @property
    @abc.abstractmethod
    def whole_s(self) -> Optional[float]:
        """Time since the last byte of the request arrived, in seconds; None until then."""

    @abc.abstractmethod
    def read_no_more(self) -> None:
        """Read no further request; the connection closes after the last one that has begun."""

    @abc.abstractmethod
    def hold_answer(self, size_bytes: int) -> None:
        """Count an answer that the application holds in memory until it is sent.

        Args:
            size_bytes: Its size.
        """


def turn_of(scope: dict[str, Any]) -> Optional[ConnectionTurn]:
    """Return the turn of a request; None where its listener tells none."""
    return scope.get(TURN_KEY)
