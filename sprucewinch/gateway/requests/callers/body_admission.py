"""Decides whether a request's body is accepted into memory.

A body is refused before it is read if its stated length exceeds the configured limit or the memory
that is left, and while it is read as soon as what arrived does: as too large if it exceeds the
limit, otherwise for lack of memory. The inputs, all in bytes, are the configured limit, the memory
used by bodies, by answers that arrive (`arrival_budget`) and that callers have not read
(`answer_budget`), and what has arrived of each body; times are in seconds.

A body must be complete before its request is sent, as the request may be sent twice, and the
process must stay within its memory whatever callers send. So each byte counts when it arrives. A
caller that sends a part of a body and then nothing must not keep out those that send theirs: all
bodies that are being read share `READING_FRACTION` of the memory, except that the one that began
first may use all that is left. When there is no room, the body that has been stalled for the
longest is evicted, from `MIN_STALL_S` on.

A refusal is logged in the event `request` with the `outcome` `too-large`, or `no-room` without
`blocked`; the gauges `body_bytes` and `bodies_arriving` show the memory in use. The tests are in
tests/test_gateway_body_memory.py, tests/test_gateway_request_rules.py (`BodiesInMemory`),
tests/test_process_uploads.py and tests/test_formats_gateway.py.
"""

import enum
from collections.abc import Callable

MAX_BODIES_FRACTION = 0.25
"""Fraction of the process's memory that request bodies and answers may use together."""

READING_FRACTION = 0.25
"""Fraction of that memory that bodies which are being read may use, beside the first of them."""

MIN_STALL_S = 0.5
"""Time without a byte after which a body is stalled, and may be evicted, in seconds."""


class BodyAdmission(enum.Enum):
    """Whether a body is accepted, and why not."""

    ADMITTED = "admitted"
    """The whole body is in memory."""
    TOO_LARGE = "too-large"
    """The body is larger than the configuration allows."""
    NO_MEMORY = "no-memory"
    """The body is larger than the memory that was left for bodies."""
    LATE = "late"
    """The body was not complete when the time of its request was over."""


class ArrivingBody:
    """A body that is being read.

    Args:
        evict: Ends the reading; called at most once.

    Attributes:
        size_bytes: What has arrived of it, in bytes.
        progress_at: Monotonic time of its last byte, in seconds.
        evicted: True once it was refused to make room.
    """

    __slots__ = ("evict", "evicted", "progress_at", "size_bytes")

    def __init__(self, evict: Callable[[], None]) -> None:
        self.evict = evict
        self.size_bytes = 0
        self.progress_at = 0.0
        self.evicted = False


class BodyMemory:
    """Memory used by request bodies, and by answers that arrive or that callers have not read.

    Args:
        memory_bytes: Memory of the process, in bytes.

    Attributes:
        held_bytes: Bytes of request bodies, whole or not.
        answer_bytes: Bytes of answers that callers have not read.
        arriving_answer_bytes: Bytes of answers of backend servers that are not whole yet.
        arriving_bytes: Bytes of the bodies that are being read.
    """

    __slots__ = (
        "_by_begin",
        "_by_progress",
        "answer_bytes",
        "arriving_answer_bytes",
        "arriving_bytes",
        "held_bytes",
        "max_bytes",
    )

    def __init__(self, memory_bytes: int) -> None:
        self.max_bytes = int(memory_bytes * MAX_BODIES_FRACTION)
        self.held_bytes = 0
        self.answer_bytes = 0
        self.arriving_answer_bytes = 0
        self.arriving_bytes = 0
        self._by_begin: dict[ArrivingBody, None] = {}
        self._by_progress: dict[ArrivingBody, None] = {}

    @property
    def used_bytes(self) -> int:
        """Bytes of bodies and answers together."""
        return self.held_bytes + self.answer_bytes + self.arriving_answer_bytes

    @property
    def arriving(self) -> int:
        """Number of bodies that are being read."""
        return len(self._by_begin)

    def make_room(self, size_bytes: int, now: float) -> bool:
        """Return whether there is room, for which stalled bodies may be evicted.

        Args:
            size_bytes: The bytes that need it.
            now: Monotonic time, in seconds.
        """
        if size_bytes > self.max_bytes:
            return False
        while self.used_bytes + size_bytes > self.max_bytes:
            if not self._evict_stalled(now):
                return False
        return True

    def take(self, size_bytes: int) -> None:
        """Count a body that is now in memory."""
        self.held_bytes += size_bytes

    def release(self, size_bytes: int) -> None:
        """Subtract a body that is no longer in memory."""
        self.held_bytes -= size_bytes

    def begin(self, body: ArrivingBody, now: float) -> None:
        """Record that the reading of a body begins.

        Args:
            body: The body.
            now: Monotonic time, in seconds.
        """
        body.progress_at = now
        self._by_begin[body] = None

    def grow(self, body: ArrivingBody, size_bytes: int, now: float) -> bool:
        """Count bytes of a body that have arrived, unless there is no room for them.

        Args:
            body: The body.
            size_bytes: Their number.
            now: Monotonic time, in seconds.

        Returns:
            False when the body must be refused; the bytes are not counted then.
        """
        if body.evicted:
            return False
        body.progress_at = now
        self._by_progress.pop(body, None)
        self._by_progress[body] = None
        while not self._has_room(body, size_bytes):
            if not self._evict_stalled(now):
                return False
        body.size_bytes += size_bytes
        self.arriving_bytes += size_bytes
        self.held_bytes += size_bytes
        return True

    def end(self, body: ArrivingBody) -> None:
        """Forget a body that is no longer read; an evicted one is forgotten already."""
        if body not in self._by_begin:
            return
        del self._by_begin[body]
        self._by_progress.pop(body, None)
        self.arriving_bytes -= body.size_bytes
        self.held_bytes -= body.size_bytes

    def _has_room(self, body: ArrivingBody, size_bytes: int) -> bool:
        if self.used_bytes + size_bytes > self.max_bytes:
            return False
        first = next(iter(self._by_begin))
        if body is first:
            return True
        beside_first = self.arriving_bytes - first.size_bytes + size_bytes
        return beside_first <= self.max_bytes * READING_FRACTION

    def _evict_stalled(self, now: float) -> bool:
        """Evict the body that has been stalled for the longest; False if none is stalled."""
        body = next(iter(self._by_progress), None)
        if body is None or now - body.progress_at < MIN_STALL_S:
            return False
        self.end(body)
        body.evicted = True
        body.evict()
        return True


def admit_body(size_bytes: int, limit_bytes: int, *, complete: bool) -> BodyAdmission:
    """Return whether a body is accepted, and why not.

    Args:
        size_bytes: Number of bytes of the body that were read, or its stated length.
        limit_bytes: The configuration's limit on a body, in bytes.
        complete: True when there is memory for the whole body.
    """
    if size_bytes > limit_bytes:
        return BodyAdmission.TOO_LARGE
    return BodyAdmission.ADMITTED if complete else BodyAdmission.NO_MEMORY
