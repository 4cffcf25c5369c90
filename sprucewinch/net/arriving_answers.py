"""Interface by which connections to servers count the memory of answers that arrive, and refusals.

Owns the interface, which the application implements, as it knows what else uses the same memory.
Sizes are in bytes. Connections without such a memory count nothing (`UncountedArrivals`).
"""

import abc
import sys

from ._inbound_answer import AnswerState

__all__ = ["UNCOUNTED", "AnswerState", "ArrivingAnswers", "UncountedArrivals"]


class ArrivingAnswers(abc.ABC):
    """Memory of the bodies of all answers that are not whole yet."""

    @abc.abstractmethod
    def fits(self, size_bytes: int) -> bool:
        """Return whether there is memory for a body whose length its headers state.

        Args:
            size_bytes: The length.
        """

    @abc.abstractmethod
    def grow(self, held_bytes: int, more_bytes: int, *, stated: bool) -> bool:
        """Count bytes of a body that have arrived.

        Args:
            held_bytes: What is counted of this body already.
            more_bytes: What has arrived.
            stated: Whether the headers state the length of the body.

        Returns:
            False when there is no memory for them; they are not counted then.
        """

    @abc.abstractmethod
    def release(self, held_bytes: int, *, stated: bool) -> None:
        """Subtract a body that no longer arrives, as it is whole or its exchange has failed.

        Args:
            held_bytes: What was counted of it.
            stated: As in `grow`.
        """

    @abc.abstractmethod
    def count_over_limit(self, state: AnswerState) -> None:
        """Count an answer that exceeds the bound of a state."""


class UncountedArrivals(ArrivingAnswers):
    """Memory without a limit."""

    def fits(self, size_bytes: int) -> bool:
        """Return that there is memory for any body."""
        return size_bytes <= sys.maxsize

    def grow(self, held_bytes: int, more_bytes: int, *, stated: bool) -> bool:  # noqa: ARG002
        """Count nothing."""
        return True

    def release(self, held_bytes: int, *, stated: bool) -> None:
        """Count nothing."""

    def count_over_limit(self, state: AnswerState) -> None:
        """Count nothing."""


UNCOUNTED = UncountedArrivals()
"""Memory of connections that are given none."""
