"""Decides how much memory answers may use that callers have not read.

Answers share a budget with request bodies (`body_admission.BodyMemory`): what one of them holds,
the other has not. One connection may hold `CONNECTION_FRACTION` of the budget before its further
requests wait. From `SHORT_FRACTION` of it on, callers that read nothing are given up. When it is
used up, every request is refused before it is passed on. All sizes are in bytes.

A VM that runs out of memory ends, and every request of it is lost, so that a caller that reads
slowly must cost its own answers and not those of others. The fractions follow from that: a dozen
callers that read nothing do not use up the budget, and half of it is left for bodies and answers
while they are given up.

The gauges `answer_bytes` and `requests_behind_others`, the metric `connections_closed_unread` and
the event `caller-reads-nothing` show the result; refusals are logged with the `outcome` `no-room`.
Tests: tests/test_gateway_answer_budget.py.
"""

from ....net.answer_memory import AnswerMemory
from ...events import EventLog
from .body_admission import BodyMemory

CONNECTION_FRACTION = 1 / 16
"""Fraction of the budget that one connection may hold before its further requests wait."""

SHORT_FRACTION = 0.5
"""Fraction of the budget from which on callers that read nothing are given up."""

_TIME_DIGITS = 1
"""Decimal places of the time without reading in the event, in seconds."""


class AnswerBudget(AnswerMemory):
    """Memory of answers that callers have not read.

    Args:
        memory: Memory of request bodies, which answers share.
        events: Receives the event and the counter.
    """

    __slots__ = ("behind", "events", "memory")

    def __init__(self, memory: BodyMemory, events: EventLog) -> None:
        self.memory = memory
        self.events = events
        self.behind = 0

    @property
    def connection_bytes(self) -> int:
        """Bytes that one connection may hold before its further requests wait."""
        return int(self.memory.max_bytes * CONNECTION_FRACTION)

    @property
    def short(self) -> bool:
        """Whether callers that read nothing must give their memory back."""
        return self.memory.used_bytes >= self.memory.max_bytes * SHORT_FRACTION

    @property
    def used_up(self) -> bool:
        """Whether nothing is left."""
        return self.memory.used_bytes >= self.memory.max_bytes

    def change(self, size_bytes: int) -> None:
        """Count answers that are now in memory; negative for those that no longer are."""
        self.memory.answer_bytes += size_bytes

    def change_behind(self, requests: int) -> None:
        """Count requests that now stand behind another one of their connection; or no longer."""
        self.behind += requests

    def closed_unread(self, held_bytes: int, unread_s: float) -> None:
        """Record that a connection is closed, as its caller reads nothing."""
        self.events.count("connections_closed_unread")
        self.events.state(
            "caller-reads-nothing",
            held_bytes=held_bytes,
            unread_s=round(unread_s, _TIME_DIGITS),
            answer_bytes=self.memory.answer_bytes,
            body_bytes=self.memory.held_bytes,
            budget_bytes=self.memory.max_bytes,
        )
