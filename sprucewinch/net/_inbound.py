"""Decides what the bytes that arrive on a connection belong to, and until when they are awaited.

One state covers what is parsed, whether an application takes it, and what limits it. Each state has
a limit on its time, so that no connection outlasts a stalled caller:

| state | next bytes | time | size | beyond it |
| --- | --- | --- | --- | --- |
| `IDLE` | a new request | `idle_s`; none while an answer is due | - | ends |
| `HEAD` | headers | `header_s` since the first byte | `header_bytes` | 408, 431 |
| `BODY` | a body that is taken | `idle_s` since the last byte | the application's | 408 |
| `DISCARDED` | an answered body | `idle_s` since byte and answer | `body_bytes` | ends |
| `LINGERING` | no request | `LINGER_SILENCE_S` since the last byte, `LINGER_S` | - | ends |

Time counts only while the connection reads: a caller is not late with what the listener does not
take. A body is read to its end after its answer because the next request stands behind it, and
because a connection that is closed with unread bytes is reset, and its answer with it. What lies
beyond `body_bytes` is not worth the wait: the connection closes, and lingers until the caller has
had time to read the answer.

The inputs are the events of the connection with their times, in seconds, and the limits of the
listener (`listener_limits`); there is no input or output. The metrics `connections_in_…` and
`connections_timed_out_…` show the states and the limits that ended connections. Tests:
tests/test_inbound.py, tests/test_body_after_answer.py.
"""

import enum
import math
from typing import Optional

from .listener_limits import ListenerLimits

LINGER_S = 2.0
"""Longest time that a connection lingers after its last answer, in seconds."""

LINGER_SILENCE_S = 0.5
"""Time without a byte after which a lingering connection ends, in seconds."""


class ReadState(enum.Enum):
    """What the bytes that arrive next belong to; the value is part of names of metrics."""

    IDLE = "idle"
    """The next request."""
    HEAD = "head"
    """The target and headers of a request."""
    BODY = "body"
    """A body that its application takes."""
    DISCARDED = "discarded"
    """A body that nobody takes, as its request is answered."""
    LINGERING = "lingering"
    """Nothing: the last answer is sent, and the connection ends."""


class Inbound:
    """Reading side of one connection.

    Args:
        limits: Limits of the listener, which may change.
        now: Time, in seconds.

    Attributes:
        state: What the next bytes belong to.
        body_bytes: Bytes of the current body so far.
    """

    __slots__ = ("_since", "_until", "body_bytes", "limits", "state")

    def __init__(self, limits: ListenerLimits, now: float) -> None:
        self.limits = limits
        self.state = ReadState.IDLE
        self.body_bytes = 0
        self._since = now
        self._until = math.inf

    @property
    def in_body(self) -> bool:
        """Whether a body has begun and is not whole."""
        return self.state is ReadState.BODY or self.state is ReadState.DISCARDED

    @property
    def body_too_long(self) -> bool:
        """Whether more of the body has come than is read after an answer."""
        return self.exceeds_limit(self.body_bytes)

    @property
    def deadline(self) -> Optional[float]:
        """Time at which the next bytes are late, in seconds; None for no limit."""
        timeout_s = self._timeout_s
        return None if timeout_s is None else min(self._since + timeout_s, self._until)

    @property
    def _timeout_s(self) -> Optional[float]:
        if self.state is ReadState.LINGERING:
            return LINGER_SILENCE_S
        return self.limits.header_s if self.state is ReadState.HEAD else self.limits.idle_s

    def exceeds_limit(self, size_bytes: int) -> bool:
        """Return whether a body of this size, in bytes, is too long to be read after an answer."""
        return self.limits.body_bytes is not None and size_bytes > self.limits.body_bytes

    def begin_head(self, now: float) -> None:
        """Record that a request begins."""
        self._enter(ReadState.HEAD, now)

    def begin_body(self, now: float) -> None:
        """Record that the headers are complete; an empty body ends at once."""
        self.body_bytes = 0
        self._enter(ReadState.BODY, now)

    def add_body(self, size_bytes: int, now: float) -> None:
        """Count bytes of a body."""
        self.body_bytes += size_bytes
        self._since = now

    def end_message(self, now: float) -> None:
        """Record that a request is whole."""
        self._enter(ReadState.IDLE, now)

    def answer(self, now: float, *, current: bool) -> None:
        """Record that an answer is whole.

        Args:
            now: Time, in seconds.
            current: True when it answers the request whose body is being read.
        """
        if self.state is ReadState.IDLE:
            self._since = now
        elif self.state is ReadState.BODY and current:
            self.state = ReadState.DISCARDED
            self._until = now + self.limits.idle_s

    def resume(self, now: float) -> None:
        """Record that the connection reads again after a pause."""
        if self.state is ReadState.HEAD or self.state is ReadState.BODY:
            self._since = now

    def linger(self, now: float) -> None:
        """Record that the last answer is sent."""
        self._enter(ReadState.LINGERING, now)
        self._until = now + LINGER_S

    def ignore(self, now: float) -> None:
        """Record bytes that belong to no request."""
        if self.state is ReadState.LINGERING:
            self._since = now

    def _enter(self, state: ReadState, now: float) -> None:
        self.state = state
        self._since = now
        self._until = math.inf
