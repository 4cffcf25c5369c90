"""Decides whether a request's body is accepted into memory.

A body is read up to the configured limit or the memory that is left, whichever is less, plus one
byte to detect a longer one. A longer body is refused: as too large if it exceeds the configured
limit, otherwise for lack of memory. The inputs, all in bytes, are the configured limit, the memory
used by bodies and by answers that callers have not read (`answer_budget`), and the size of what was
read.

A body must be complete before its request is sent, as the request may be sent twice, and the
process must stay within its memory whatever callers send. Memory is counted once a body has been
read and not while it is read, so bodies that are read at the same time may together exceed
`MAX_BODIES_FRACTION`.

A refusal is logged in the event `request` with the `outcome` `too-large`, or `no-room` without
`blocked`; the gauge `body_bytes` shows the memory in use. The tests are in
tests/test_gateway_request_rules.py (`BodiesInMemory`) and tests/test_formats_gateway.py.
"""

import enum

MAX_BODIES_FRACTION = 0.25
"""Fraction of the process's memory that request bodies and unread answers may use together."""


class BodyAdmission(enum.Enum):
    """Whether a body is accepted, and why not."""

    ADMITTED = "admitted"
    """The whole body is in memory."""
    TOO_LARGE = "too-large"
    """The body is larger than the configuration allows."""
    NO_MEMORY = "no-memory"
    """The body is larger than the memory that was left for bodies."""


class BodyMemory:
    """Memory used by request bodies and by answers that callers have not read.

    Args:
        memory_bytes: Memory of the process, in bytes.

    Attributes:
        held_bytes: Bytes of request bodies.
        answer_bytes: Bytes of answers.
    """

    __slots__ = ("answer_bytes", "held_bytes", "max_bytes")

    def __init__(self, memory_bytes: int) -> None:
        self.max_bytes = int(memory_bytes * MAX_BODIES_FRACTION)
        self.held_bytes = 0
        self.answer_bytes = 0

    @property
    def used_bytes(self) -> int:
        """Bytes of bodies and answers together."""
        return self.held_bytes + self.answer_bytes

    def room_bytes(self, limit_bytes: int) -> int:
        """Return the largest body that may be read now, in bytes.

        Args:
            limit_bytes: The configuration's limit on a body, in bytes.
        """
        return max(0, min(limit_bytes, self.max_bytes - self.used_bytes))

    def take(self, size_bytes: int) -> None:
        """Count a body that is now in memory."""
        self.held_bytes += size_bytes

    def release(self, size_bytes: int) -> None:
        """Subtract a body that is no longer in memory."""
        self.held_bytes -= size_bytes


def admit_body(size_bytes: int, limit_bytes: int, *, complete: bool) -> BodyAdmission:
    """Return whether a body is accepted, and why not.

    Args:
        size_bytes: Number of bytes of the body that were read.
        limit_bytes: The configuration's limit on a body, in bytes.
        complete: True when these are the whole body.
    """
    if complete:
        return BodyAdmission.ADMITTED
    return BodyAdmission.TOO_LARGE if size_bytes > limit_bytes else BodyAdmission.NO_MEMORY
