"""Decides how much memory answers of backend servers may use while they arrive.

The bytes of a body count from their arrival until the answer is whole; from then on
`answer_budget` counts what its caller has not read. They take room from request bodies
(`body_admission.BodyMemory`), and with none left further requests are refused. What bodies and
unread answers hold takes no room from them, as their requests may have run: all answers that arrive
may hold as much as `BodyMemory.max_bytes`.

An answer whose headers state its length may use all that is left of it, and is refused at its
headers when that is less. One without a stated length may have no end. Up to `OPEN_BYTES` it may
use all that is left as well. What all of them hold beyond that is at most `OPEN_BYTES_TOTAL` and
`OPEN_FRACTION` of the memory, and one of them may hold no more of it than it leaves to others, so
that answers without end do not take the room of those that have one.

All sizes are in bytes. The gauge `answer_bytes_arriving` shows the memory in use, the metrics
`answers_over_limit_…` and `answers_without_memory` what was refused. Tests:
tests/test_inbound_answer.py.
"""

from ....net.arriving_answers import AnswerState, ArrivingAnswers
from ...events import EventLog
from .body_admission import BodyMemory

OPEN_BYTES = 1024 * 1024
"""Size up to which an answer without a stated length may use all memory that is left, in bytes."""

OPEN_BYTES_TOTAL = 12 * 1024 * 1024
"""Most bytes that all answers without a stated length hold beyond `OPEN_BYTES` each."""

OPEN_FRACTION = 0.25
"""Fraction of the memory that they hold at most beyond `OPEN_BYTES` each."""


class ArrivalBudget(ArrivingAnswers):
    """Memory of the bodies of answers that are not whole yet.

    Args:
        memory: Memory of request bodies, from which answers take room.
        events: Receives the counters.
    """

    __slots__ = ("_open_bytes", "events", "memory")

    def __init__(self, memory: BodyMemory, events: EventLog) -> None:
        self.memory = memory
        self.events = events
        self._open_bytes = 0

    def fits(self, size_bytes: int) -> bool:
        """Return whether there is memory for a body whose length its headers state."""
        return self._counted(size_bytes <= self._left)

    def grow(self, held_bytes: int, more_bytes: int, *, stated: bool) -> bool:
        """Count bytes of a body that have arrived, unless there is no memory for them."""
        beyond = 0 if stated else _beyond(held_bytes + more_bytes)
        more_beyond = beyond - _beyond(held_bytes) if beyond else 0
        if more_bytes > self._left or (beyond and beyond > self._left_for_open - more_beyond):
            return self._counted(False)
        self._open_bytes += more_beyond
        self.memory.arriving_answer_bytes += more_bytes
        return True

    def release(self, held_bytes: int, *, stated: bool) -> None:
        """Subtract a body that no longer arrives."""
        if not stated:
            self._open_bytes -= _beyond(held_bytes)
        self.memory.arriving_answer_bytes -= held_bytes

    def count_over_limit(self, state: AnswerState) -> None:
        """Count an answer that exceeds the bound of a state."""
        self.events.count(f"answers_over_limit_{state.value}")

    @property
    def _left(self) -> int:
        return self.memory.max_bytes - self.memory.arriving_answer_bytes

    @property
    def _left_for_open(self) -> int:
        most_bytes = min(OPEN_BYTES_TOTAL, int(self.memory.max_bytes * OPEN_FRACTION))
        return most_bytes - self._open_bytes

    def _counted(self, has_room: bool) -> bool:
        if not has_room:
            self.events.count("answers_without_memory")
        return has_room


def _beyond(size_bytes: int) -> int:
    """Return what an answer without a stated length holds beyond `OPEN_BYTES`."""
    return max(0, size_bytes - OPEN_BYTES)
