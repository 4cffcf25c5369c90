"""Decides whether a connection's further requests wait, and whether its caller is given up.

Counted are the answers that wait in the application for their turn, and the bytes that the
transport has not sent, all in bytes, in the memory that the application shares between all
connections. Further requests of a connection wait while it holds more than a connection may, and
while it holds anything and the memory is used up. A caller that reads nothing for
`UNREAD_TIMEOUT_S` while the memory is short is given up; one that reads, however slowly, gets all
of its answers. Times are in seconds.

Answers are as large as backend servers make them, and a caller that reads nothing would keep them
for as long as it likes; the memory belongs to the callers that read. The timeout is longer than a
pause of a caller that is still there, and no longer than callers usually wait for an answer. The
metric `connections_closed_unread` and the event `caller-reads-nothing` show who was given up, the
gauge `answer_bytes` what is held. Tests: tests/test_unread_answers.py.
"""

from .answer_memory import AnswerMemory

UNREAD_TIMEOUT_S = 5.0
"""Time without any progress after which a caller is given up while memory is short, in seconds."""


class UnreadAnswers:
    """Answers of one connection that its caller has not read.

    Args:
        memory: Memory of all connections.
    """

    __slots__ = ("_progress_at", "_sent_bytes", "_unsent_bytes", "_waiting_bytes", "memory")

    def __init__(self, memory: AnswerMemory) -> None:
        self.memory = memory
        self._waiting_bytes = 0
        self._unsent_bytes = 0
        self._sent_bytes = 0
        self._progress_at = 0.0

    @property
    def held_bytes(self) -> int:
        """Bytes that are in memory for this connection."""
        return self._waiting_bytes + self._unsent_bytes

    @property
    def all_sent(self) -> bool:
        """Whether the transport had sent everything when it was last measured."""
        return not self._unsent_bytes

    @property
    def blocks(self) -> bool:
        """Whether further requests of the connection wait."""
        held_bytes = self._waiting_bytes + self._unsent_bytes
        if not held_bytes:
            return False
        return held_bytes > self.memory.connection_bytes or self.memory.used_up

    def wait(self, size_bytes: int) -> None:
        """Count an answer that waits in the application; negative for what was handed over."""
        self._waiting_bytes += size_bytes
        self.memory.change(size_bytes)

    def measure(self, written_bytes: int, unsent_bytes: int, now: float) -> None:
        """Count what the transport has not sent.

        Args:
            written_bytes: All that was ever handed to the transport.
            unsent_bytes: The part of it that the transport has not sent.
            now: Time, in seconds.
        """
        sent_bytes = written_bytes - unsent_bytes
        if sent_bytes > self._sent_bytes or not self._unsent_bytes:
            self._progress_at = now
        self._sent_bytes = sent_bytes
        self.memory.change(unsent_bytes - self._unsent_bytes)
        self._unsent_bytes = unsent_bytes

    def unread_s(self, now: float) -> float:
        """Return the time since the caller last read something; 0 when all is read, in seconds."""
        return now - self._progress_at if self._unsent_bytes else 0.0

    def gives_up(self, now: float) -> bool:
        """Return whether the caller is given up at this time, in seconds."""
        return self.memory.short and self.unread_s(now) >= UNREAD_TIMEOUT_S

    def end(self) -> None:
        """Forget what the transport has not sent, as the connection has ended."""
        self.memory.change(-self._unsent_bytes)
        self._unsent_bytes = 0
