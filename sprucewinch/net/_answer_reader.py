"""Parses the answers that arrive on one connection to a server.

Owns what is held of the answer that is arriving, and the rules of HTTP framing that the parser
leaves open: a status outside of 100 to 599, an interim answer with a body, and an answer with both
`content-length` and `transfer-encoding` are malformed, and an answer with neither header lasts
until the orderly end of its connection. Relies on httptools for the grammar, on
`_inbound_answer` for when there are too many bytes of what, and on `arriving_answers` for whether
there is memory. `connection` decides to which request an answer belongs. Tests:
tests/test_inbound_answer.py, tests/test_answer_chunks.py.
"""

from collections.abc import Callable
from typing import NamedTuple, Optional, Union

import httptools

from ._inbound_answer import MAX_LINES, AnswerState, InboundAnswer, problem_of
from .arriving_answers import UNCOUNTED, ArrivingAnswers

MAX_ANSWER_BYTES = 32 * 1024 * 1024
"""Longest body of an answer; answers are kept in memory as a whole."""

_MIN_CHUNK_BYTES = 65_536
"""Size up to which chunks of a body are put together, as a server may send it in any pieces."""

_PIECE_BYTES = 65_536
"""Most bytes outside a body that are parsed before they are checked against the bounds."""

MIN_STATUS = 100
"""Lowest status that an answer may have (RFC 9110, 15)."""

MAX_STATUS = 599
"""Highest status that an answer may have; with any other one it is no answer."""

FIRST_FINAL_STATUS = 200
"""Lowest status of a final answer: 100 to 199 announce that another one follows (RFC 9110)."""

_STATUSES_WITHOUT_BODY = (204, 304)
"""Statuses of answers that end with their headers (RFC 9112)."""

_LENGTH_HEADERS = {"content-length", "transfer-encoding"}
"""Headers that state where a body ends (RFC 9112)."""

_NO_MEMORY = "no memory for the answer"
"""Problem of an answer for which the process has no memory left."""


class Answer(NamedTuple):
    """A whole answer.

    Args:
        status: HTTP status.
        headers: Pairs of name, in lower case, and value.
        chunks: The whole body, in the chunks in which it is kept; whoever forwards it takes them
            away one by one, so that what was forwarded is no longer in memory.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    chunks: list[Union[bytes, bytearray]]

    @property
    def body(self) -> bytes:
        """The whole body in one piece, which for a large one is a copy."""
        return b"".join(self.chunks)

    @property
    def body_bytes(self) -> int:
        """Size of the body, in bytes."""
        return sum(len(chunk) for chunk in self.chunks)

    def header(self, name: str) -> Optional[str]:
        """Return the first value of a header; None when it is absent."""
        return next((value for key, value in self.headers if key == name), None)


class AnswerReader:
    """Parses bytes into answers, one after another.

    The parser of httptools calls the methods whose names begin with `on_`.

    Args:
        deliver: Called with each whole answer, also with interim ones (1xx).
        fail: Called with the problem when the bytes are not a valid answer.
        memory: Counts the body while it arrives.
        max_body_bytes: Longest body of an answer, in bytes.
    """

    def __init__(
        self,
        deliver: Callable[[Answer], None],
        fail: Callable[[str], None],
        memory: ArrivingAnswers = UNCOUNTED,
        max_body_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self.deliver = deliver
        self.fail = fail
        self.memory = memory
        self.inbound = InboundAnswer(max_body_bytes)
        self._parser = httptools.HttpResponseParser(self)
        self._failed = False
        self._stated = False
        self._reset()

    def _reset(self) -> None:
        self._headers: list[tuple[str, str]] = []
        self._max_headers = MAX_LINES
        self._chunks: list[Union[bytes, bytearray]] = []
        self._headers_complete = False
        if self.inbound.body_bytes:
            self.memory.release(self.inbound.body_bytes, stated=self._stated)
            self.inbound.body_bytes = 0

    def begin(self) -> None:
        """Expect the answer to a request that is sent."""
        self.inbound.begin()

    def finish(self) -> None:
        """Expect nothing more, as the answer to the request is whole."""
        self.inbound.finish()

    def drop(self) -> None:
        """Give up the answer that is arriving, and its memory; nothing more is parsed."""
        self._failed = True
        self._reset()
        self._max_headers = 0

    def feed(self, data: bytes) -> None:
        """Parse bytes of the connection."""
        if len(data) <= _PIECE_BYTES:
            self._feed_piece(data)
            return
        rest = memoryview(data)
        while rest and not self._failed:
            state = self.inbound.state
            if state is AnswerState.BEHIND:
                self._exceed(state)
                return
            size = len(rest) if state is AnswerState.BODY else _PIECE_BYTES
            self._feed_piece(rest[:size])
            rest = rest[size:]

    def _feed_piece(self, piece: Union[bytes, memoryview]) -> None:
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserError as error:
            self._fail(f"malformed answer: {error}")
        except httptools.HttpParserUpgrade:
            self._fail("the answer upgrades the protocol, which was not requested")
        exceeded = self.inbound.end_piece(len(piece))
        if exceeded is not None:
            self._exceed(exceeded)

    def _exceed(self, state: AnswerState) -> None:
        """Fail as the bound of a state is exceeded."""
        if not self._failed:
            self.memory.count_over_limit(state)
            self._fail(problem_of(state))

    def _fail(self, problem: str) -> None:
        if not self._failed:
            self.drop()
            self.fail(problem)

    @property
    def ends_with_connection(self) -> bool:
        """True while the body of the arriving answer lasts until the connection ends."""
        if not self._headers_complete:
            return False
        return self._has_body and not self._length_headers()

    @property
    def keeps_connection(self) -> bool:
        """True when the last answer permits another request on the connection."""
        return self._parser.should_keep_alive()

    @property
    def _has_body(self) -> bool:
        status = self._parser.get_status_code()
        return status >= FIRST_FINAL_STATUS and status not in _STATUSES_WITHOUT_BODY

    def on_message_begin(self) -> None:
        """Record the first byte of an answer."""
        self.inbound.begin_message()
        if self.inbound.state is AnswerState.BEHIND:
            self._exceed(AnswerState.BEHIND)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header, or a trailer."""
        if len(self._headers) >= self._max_headers:
            self._exceed(self.inbound.state)
            return
        self._headers.append((name.decode("latin-1").lower(), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Check what the headers state of the length of the body."""
        if self._failed:
            return
        self._headers_complete = True
        self._max_headers = len(self._headers) + MAX_LINES
        lengths = self._length_headers()
        status = self._parser.get_status_code()
        if not is_status(status):
            self._fail(f"status {status:03}: expected {MIN_STATUS} to {MAX_STATUS}")
        elif status < FIRST_FINAL_STATUS and _states_body(lengths):
            # It was meant to be the answer, so that no other one follows.
            self._fail(f"status {status} with a body: expected none for an interim answer")
        elif lengths.keys() == _LENGTH_HEADERS:
            self._fail("the answer has both content-length and transfer-encoding")
        elif self._has_body:
            self.inbound.end_head(chunked="transfer-encoding" in lengths)
            self._check_length(lengths.get("content-length"))

    def _check_length(self, stated: Optional[str]) -> None:
        """Refuse a body whose stated length is too large."""
        self._stated = stated is not None
        if stated is None:
            return
        size = int(stated)
        if self.inbound.exceeds_limit(size):
            self._exceed(AnswerState.BODY)
        elif not self.memory.fits(size):
            self._fail(_NO_MEMORY)

    def on_chunk_header(self) -> None:
        """Record that the size of a chunk is complete."""
        self.inbound.begin_chunk()

    def on_chunk_complete(self) -> None:
        """Record that a chunk is whole."""
        self.inbound.end_chunk()

    def on_body(self, body: bytes) -> None:
        """Store a chunk of the body."""
        if self._failed:
            return
        inbound, size = self.inbound, len(body)
        if inbound.exceeds_limit(inbound.body_bytes + size):
            self._exceed(AnswerState.BODY)
            return
        if not self.memory.grow(inbound.body_bytes, size, stated=self._stated):
            self._fail(_NO_MEMORY)
            return
        inbound.add_body(size)
        last = self._chunks[-1] if self._chunks else None
        if last is None or max(len(last), len(body)) >= _MIN_CHUNK_BYTES:
            self._chunks.append(body)
        elif isinstance(last, bytearray):
            last += body
        else:
            self._chunks[-1] = bytearray(last) + body

    def on_message_complete(self) -> None:
        """Deliver the whole answer."""
        if self._failed:
            return
        status = self._parser.get_status_code()
        answer = Answer(status, tuple(self._headers), self._chunks)
        self._reset()
        self.inbound.end_message()
        self.deliver(answer)
        if self.inbound.too_many_passed_over:
            self._exceed(AnswerState.INTERIM)

    def _length_headers(self) -> dict[str, str]:
        return {name: value for name, value in self._headers if name in _LENGTH_HEADERS}


def is_status(status: int) -> bool:
    """Return whether a number is the status of an answer, interim or final."""
    return MIN_STATUS <= status <= MAX_STATUS


def _states_body(lengths: dict[str, str]) -> bool:
    return "transfer-encoding" in lengths or lengths.get("content-length", "0").strip("0") != ""
