"""Interface by which a listener counts the memory of answers that its callers have not read.

Owns the interface, which the application implements, as it knows what else uses the same memory.
Sizes are in bytes. A listener without such a memory counts nothing (`UncountedAnswers`).
"""

import abc
import sys


class AnswerMemory(abc.ABC):
    """Memory of all answers that wait for their turn or that callers have not read."""

    @property
    @abc.abstractmethod
    def connection_bytes(self) -> int:
        """Bytes that one connection may hold before its further requests wait."""

    @property
    @abc.abstractmethod
    def short(self) -> bool:
        """Whether callers that read nothing must give their memory back."""

    @property
    @abc.abstractmethod
    def used_up(self) -> bool:
        """Whether nothing is left."""

    @abc.abstractmethod
    def change(self, size_bytes: int) -> None:
        """Count answers that are now in memory; negative for those that no longer are."""

    @abc.abstractmethod
    def change_behind(self, requests: int) -> None:
        """Count requests that now stand behind another one of their connection; or no longer."""

    @abc.abstractmethod
    def closed_unread(self, held_bytes: int, unread_s: float) -> None:
        """Record that a connection is closed, as its caller reads nothing.

        Args:
            held_bytes: What the connection held.
            unread_s: Time since its caller last read something, in seconds.
        """


class UncountedAnswers(AnswerMemory):
    """Memory without a limit."""

    connection_bytes = sys.maxsize
    short = False
    used_up = False

    def change(self, size_bytes: int) -> None:
        """Count nothing."""

    def change_behind(self, requests: int) -> None:
        """Count nothing."""

    def closed_unread(self, held_bytes: int, unread_s: float) -> None:
        """Record nothing; it does not occur, as this memory is never short."""
