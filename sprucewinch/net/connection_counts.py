"""Interfaces by which a listener shows what its connections read, and counts what ends them.

Owns the interfaces. A listener's connections implement `ListenerConnection`, the application
implements `ConnectionCounts`; a listener without it counts nothing (`Uncounted`).
"""

import abc

from ._inbound import ReadState

__all__ = ["ConnectionCounts", "ListenerConnection", "ReadState", "Uncounted"]


class ListenerConnection(abc.ABC):
    """What an open connection shows of its reading side."""

    @property
    @abc.abstractmethod
    def read_state(self) -> ReadState:
        """What the bytes that arrive next belong to."""

    @property
    @abc.abstractmethod
    def read_paused(self) -> bool:
        """Whether nothing is read until requests or their answers have gone on."""


class ConnectionCounts(abc.ABC):
    """Counters of a listener's connections."""

    @abc.abstractmethod
    def count_timeout(self, state: ReadState) -> None:
        """Count a connection whose caller took too long for its next bytes.

        Args:
            state: What these bytes would have belonged to.
        """

    @abc.abstractmethod
    def count_long_body(self) -> None:
        """Count a connection that closes as too much of an answered request's body came."""


class Uncounted(ConnectionCounts):
    """Counts nothing."""

    def count_timeout(self, state: ReadState) -> None:
        """Count nothing."""

    def count_long_body(self) -> None:
        """Count nothing."""
