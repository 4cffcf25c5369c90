"""Decides what the bytes of an arriving answer belong to, and when there are too many of them.

One state says what the next bytes are. Each has a bound in bytes, so that a server that sends
without end costs neither memory nor the time of its request:

| state | next bytes | bound |
| --- | --- | --- |
| `START` | empty lines before an answer | `MAX_EMPTY_BYTES` |
| `HEAD` | status line and headers | `MAX_HEAD_BYTES`, `MAX_LINES` |
| `INTERIM` | the answer behind an interim one | `MAX_HEAD_BYTES` for all, `MAX_PASSED_OVER` |
| `BODY` | the body | the connection's, and the memory for answers |
| `CHUNK` | the size of a chunk and its extensions | `MAX_CHUNK_LINE_BYTES`, `FRAMING_FACTOR` |
| `TRAILERS` | a chunk that is empty so far, or trailers | `MAX_HEAD_BYTES`, `MAX_LINES` |
| `BEHIND` | nothing, the answer is whole | no byte |

`INTERIM` also follows an answer to another request, which is passed over like an interim one. Time
is not bounded here: each exchange has the time-out of its caller.

The parser tells nothing of a header or a chunk's size that is not whole. So the bytes handed to it
are counted, less those that it delivers as body: `MAX_HEAD_BYTES` and `MAX_CHUNK_LINE_BYTES` bound
them from the last progress on, and `FRAMING_FACTOR` all those of an answer in proportion to its
body. They are checked behind each piece that is parsed, and may exceed their bound by one.

The inputs are the events of the parser and the sizes of pieces; there is no input or output. An
answer beyond a bound fails its exchange, whose text names the bound; the metrics
`answers_over_limit_…` count them. Tests: tests/test_inbound_answer.py,
tests/test_inbound_answer_splits.py.
"""

import enum
from typing import Optional

MAX_EMPTY_BYTES = 1024
"""Most bytes of empty lines before an answer."""

MAX_HEAD_BYTES = 65_536
"""Most bytes of status line and headers, those of interim answers included; also of trailers."""

MAX_LINES = 4096
"""Most headers of an answer, and most trailers."""

MAX_PASSED_OVER = 16
"""Most interim answers, and answers to other requests, before the answer to a request."""

MAX_CHUNK_LINE_BYTES = 16_384
"""Most bytes of a chunk's size and its extensions."""

FRAMING_FACTOR = 16
"""Most bytes of framing for each byte of a body in chunks."""

_FRAMING_ALLOWANCE_BYTES = 4 * MAX_HEAD_BYTES
"""Bytes of head, framing and trailers that an answer may have whatever its body."""


class AnswerState(enum.Enum):
    """What the bytes that arrive next belong to; the value is part of names of metrics."""

    START = "start"
    """Empty lines, as no answer has begun."""
    HEAD = "head"
    """Status line and headers."""
    INTERIM = "interim"
    """The answer behind an interim one, or behind one to another request."""
    BODY = "body"
    """The body."""
    CHUNK = "chunk"
    """The size of a chunk and its extensions."""
    TRAILERS = "trailers"
    """The first byte of a chunk, or trailers."""
    BEHIND = "behind"
    """Nothing, as the answer is whole."""


_PROBLEMS = {
    AnswerState.START: f"more than {MAX_EMPTY_BYTES} bytes of empty lines before the answer",
    AnswerState.HEAD: f"head beyond {MAX_HEAD_BYTES} bytes or {MAX_LINES} headers",
    AnswerState.INTERIM: f"interim answers beyond {MAX_HEAD_BYTES} bytes or {MAX_PASSED_OVER}",
    AnswerState.BODY: "the answer is too large",
    AnswerState.CHUNK: f"chunks' sizes beyond {MAX_CHUNK_LINE_BYTES} bytes or their body's part",
    AnswerState.TRAILERS: f"trailers beyond {MAX_HEAD_BYTES} bytes or {MAX_LINES} lines",
    AnswerState.BEHIND: "bytes behind the answer",
}

_MAX_RUN_BYTES = {
    AnswerState.START: MAX_EMPTY_BYTES,
    AnswerState.HEAD: MAX_HEAD_BYTES,
    AnswerState.INTERIM: MAX_HEAD_BYTES,
    AnswerState.CHUNK: MAX_CHUNK_LINE_BYTES,
    AnswerState.TRAILERS: MAX_HEAD_BYTES,
}
"""Most bytes since the last progress by what arrives; none is below `MAX_EMPTY_BYTES`."""


class InboundAnswer:
    """What arrives on one connection to a server.

    Args:
        max_body_bytes: Longest body of an answer, in bytes.

    Attributes:
        state: What the next bytes belong to.
        body_bytes: Bytes of the current body so far.
    """

    __slots__ = (
        "_chunked",
        "_framing_bytes",
        "_passed_over",
        "_piece_body_bytes",
        "_progress",
        "_run_bytes",
        "body_bytes",
        "max_body_bytes",
        "state",
    )

    def __init__(self, max_body_bytes: int) -> None:
        self.max_body_bytes = max_body_bytes
        self.begin()

    def begin(self) -> None:
        """Record that a request is sent, whose answer comes next."""
        self.state = AnswerState.START
        self.body_bytes = 0
        self._chunked = False
        self._passed_over = 0
        self._run_bytes = 0
        self._framing_bytes = 0
        self._piece_body_bytes = 0
        self._progress = False

    @property
    def too_many_passed_over(self) -> bool:
        """Whether more answers than permitted came before the one to the request."""
        return self._passed_over > MAX_PASSED_OVER

    def exceeds_limit(self, size_bytes: int) -> bool:
        """Return whether a body of this size, in bytes, is too long."""
        return size_bytes > self.max_body_bytes

    def begin_message(self) -> None:
        """Record the first byte of an answer."""
        if self.state is AnswerState.START:
            self.state = AnswerState.HEAD

    def end_head(self, *, chunked: bool) -> None:
        """Record that the headers of a final answer are complete.

        Args:
            chunked: Whether its body comes in chunks.
        """
        self.state = AnswerState.CHUNK if chunked else AnswerState.BODY
        self._chunked = chunked
        self._progress = True

    def begin_chunk(self) -> None:
        """Record that the size of a chunk and its extensions are complete."""
        self.state = AnswerState.TRAILERS

    def add_body(self, size_bytes: int) -> None:
        """Count bytes of a body."""
        self.state = AnswerState.BODY
        self.body_bytes += size_bytes
        self._piece_body_bytes += size_bytes
        self._progress = True

    def end_chunk(self) -> None:
        """Record that a chunk is whole."""
        self.state = AnswerState.CHUNK

    def end_message(self) -> None:
        """Record that an answer is whole, be it the awaited one or not."""
        self.state = AnswerState.INTERIM
        self.body_bytes = 0
        self._chunked = False
        self._framing_bytes = 0
        self._passed_over += 1

    def finish(self) -> None:
        """Record that the answer to the request is whole."""
        self.state = AnswerState.BEHIND

    def end_piece(self, size_bytes: int) -> Optional[AnswerState]:
        """Count a piece that was parsed.

        Args:
            size_bytes: Its size.

        Returns:
            The state whose bound is exceeded; None if none is.
        """
        other_bytes = size_bytes - self._piece_body_bytes
        self._run_bytes = 0 if self._progress else self._run_bytes + other_bytes
        self._framing_bytes += other_bytes
        self._piece_body_bytes = 0
        self._progress = False
        if self._run_bytes > MAX_EMPTY_BYTES and self._run_too_long:
            return self.state
        if self._chunked and self._framing_bytes > self._max_framing_bytes:
            return AnswerState.CHUNK
        return None

    @property
    def _run_too_long(self) -> bool:
        limit = _MAX_RUN_BYTES.get(self.state)
        return limit is not None and self._run_bytes > limit

    @property
    def _max_framing_bytes(self) -> int:
        return _FRAMING_ALLOWANCE_BYTES + FRAMING_FACTOR * self.body_bytes


def problem_of(state: AnswerState) -> str:
    """Return the text for an answer that exceeds the bound of a state."""
    return _PROBLEMS[state]
