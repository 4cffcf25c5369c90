"""Decides which requests of one connection run, which answer is sent now, and what follows a close.

The requests of a connection stand in a line in the order of their arrival. The first ones of the
line have begun, at most `max_begun` at once; the head of the line sends its answer, and leaves the
line when the answer is whole. A line that is closed takes no further request. After an answer that
closes the connection, all behind it are dropped: the caller counts them as not read. A stop drops
only those that have not begun. The inputs are the requests in the order of their arrival and the
ends of their answers; there is no input or output, and no time.

A caller that sends several requests together expects them to take as long as the longest, not as
their sum. The bound keeps one caller from running more at once than a client usually sends ahead,
so that it costs others no more than one that opens as many connections. The tests are in
tests/test_answer_order.py.
"""

from collections import deque
from typing import Generic, Optional, TypeVar

T = TypeVar("T")


class AnswerOrder(Generic[T]):
    """The line of one connection.

    Args:
        max_begun: Maximum number of requests that run at once.
    """

    __slots__ = ("_line", "begun", "closed", "max_begun")

    def __init__(self, max_begun: int) -> None:
        self.max_begun = max_begun
        self.begun = 0
        self.closed = False
        self._line: deque[T] = deque()

    def __len__(self) -> int:
        return len(self._line)

    @property
    def head(self) -> Optional[T]:
        """The request whose answer may be sent now; None when none has begun."""
        return self._line[0] if self.begun else None

    @property
    def last(self) -> Optional[T]:
        """The request that came last; None when the line is empty."""
        return self._line[-1] if self._line else None

    @property
    def full(self) -> bool:
        """Whether further requests would have to wait before they begin."""
        return len(self._line) >= self.max_begun

    def add(self, request: T, *, is_last: bool = False) -> None:
        """Append a request.

        Args:
            request: The request.
            is_last: True when its answer closes the connection in any case.
        """
        self._line.append(request)
        self.closed = self.closed or is_last

    def begin_next(self) -> Optional[T]:
        """Return the next request to run, which counts as begun; None when none may begin."""
        if self.begun == len(self._line) or self.begun >= self.max_begun:
            return None
        self.begun += 1
        return self._line[self.begun - 1]

    def complete_head(self) -> None:
        """Remove the head, whose answer is whole."""
        self._line.popleft()
        self.begun -= 1

    def close_after_head(self) -> list[T]:
        """Close the line, as the head's answer closes the connection; return those dropped."""
        self.closed = True
        return self._drop_from(1)

    def close_after_begun(self) -> list[T]:
        """Close the line behind the requests that have begun; return those dropped."""
        self.closed = True
        return self._drop_from(self.begun)

    def drop_last(self) -> T:
        """Remove and return the request that came last."""
        [last] = self._drop_from(len(self._line) - 1)
        return last

    def drop_all(self) -> list[T]:
        """Close the line, as the connection has ended; return all that were in it."""
        self.closed = True
        return self._drop_from(0)

    def _drop_from(self, index: int) -> list[T]:
        dropped = [self._line.pop() for _ in range(len(self._line) - index)]
        dropped.reverse()
        self.begun = min(self.begun, len(self._line))
        return dropped
