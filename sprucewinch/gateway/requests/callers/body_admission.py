"""Rule: whether a request's body is taken into memory.

Question: how much of a body may be read, and is it accepted? Inputs, all in bytes: the
configuration's limit on a body, the bytes of bodies that are held, the size of what was read. Rule:
a body is read up to the configured limit or the memory that is left, whichever is less, and one
byte more to see whether it ends there. A longer body is refused: as too large if it passes the
configured limit, else because memory is short.

Why so: a body has to be whole before a request is sent, as it may be sent twice, and the process
has to stay below its memory whatever callers send. Memory is counted once a body is read, not
while it is read, so bodies that are read at the same time may pass the part together.

Constants: `MAX_BODIES_PART`, with its ground below it. Shows in: event `request`, `outcome`
`too-large` or `no-room` without `blocked`; gauge `body_bytes`. Tests:
tests/test_gateway_request_rules.py (`BodiesInMemory`), tests/test_formats_gateway.py.
"""

import enum

MAX_BODIES_PART = 0.25
"""Part of the process's memory that bodies of requests may take."""


class BodyAdmission(enum.Enum):
    """Whether a body is accepted, and why not."""

    ADMITTED = "admitted"
    """The whole body is held."""
    TOO_LARGE = "too-large"
    """It is larger than the configuration allows."""
    NO_MEMORY = "no-memory"
    """It is larger than the memory that was left for bodies."""


class BodyMemory:
    """Memory that the bodies of requests take.

    Args:
        memory_bytes: Memory of the process, in bytes.
    """

    __slots__ = ("held_bytes", "max_bytes")

    def __init__(self, memory_bytes: int) -> None:
        self.max_bytes = int(memory_bytes * MAX_BODIES_PART)
        self.held_bytes = 0

    def room_bytes(self, limit_bytes: int) -> int:
        """Return how large a body may be now, in bytes.

        Args:
            limit_bytes: The configuration's limit on a body, in bytes.
        """
        return max(0, min(limit_bytes, self.max_bytes - self.held_bytes))

    def take(self, size_bytes: int) -> None:
        """Count a body that is held from now on."""
        self.held_bytes += size_bytes

    def release(self, size_bytes: int) -> None:
        """Subtract a body that is no longer held."""
        self.held_bytes -= size_bytes


def admit_body(size_bytes: int, limit_bytes: int, *, complete: bool) -> BodyAdmission:
    """Return whether a body is accepted, and why not.

    Args:
        size_bytes: Bytes that were read of the body.
        limit_bytes: The configuration's limit on a body, in bytes.
        complete: True when they are the whole body.
    """
    if complete:
        return BodyAdmission.ADMITTED
    return BodyAdmission.TOO_LARGE if size_bytes > limit_bytes else BodyAdmission.NO_MEMORY
