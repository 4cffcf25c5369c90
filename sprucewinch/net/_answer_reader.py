"""Reads the answers that arrive on one connection to a server.

Owns what is known of the answer that is arriving, and the rules of HTTP framing that the parser
leaves open: an answer with two lengths is none, and one without a length lasts until the orderly
end of its connection. Relies on httptools for the grammar. Which request an answer belongs to is
the business of `connection`.
"""

from collections.abc import Callable
from typing import NamedTuple, Optional

import httptools

MAX_ANSWER_BYTES = 32 * 1024 * 1024
"""Longest body of an answer that is kept in memory, in bytes."""

FIRST_FINAL_STATUS = 200
"""Lowest status of a final answer: HTTP announces that one follows with 100 to 199 (RFC 9110)."""

_STATUSES_WITHOUT_BODY = (204, 304)
"""Statuses whose answers end with their headers (RFC 9112)."""

_LENGTH_HEADERS = {"content-length", "transfer-encoding"}


class Answer(NamedTuple):
    """A whole answer.

    Args:
        status: HTTP status.
        headers: Names in lower case, and values.
        body: The whole body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str) -> Optional[str]:
        """Return the first value of a header; None when it is absent."""
        return next((value for key, value in self.headers if key == name), None)


class AnswerReader:
    """Parses bytes into answers, one after another.

    The methods whose names begin with `on_` are called by the parser.

    Args:
        received: Called with each whole answer, also with one that announces a final one.
        failed: Called with the problem when the bytes are no proper answer.
    """

    def __init__(self, received: Callable[[Answer], None], failed: Callable[[str], None]) -> None:
        self.received = received
        self.failed = failed
        self._parser = httptools.HttpResponseParser(self)
        self._reset()

    def _reset(self) -> None:
        self._headers: list[tuple[str, str]] = []
        self._chunks: list[bytes] = []
        self._size = 0
        self._head_done = False

    def feed(self, data: bytes) -> None:
        """Parse what arrived."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.failed(f"no proper answer: {error}")
        except httptools.HttpParserUpgrade:
            self.failed("an upgrade that was not requested")

    @property
    def ends_with_connection(self) -> bool:
        """True while an answer is arriving whose body lasts until the connection's end."""
        if not self._head_done:
            return False
        status = self._parser.get_status_code()
        if status < FIRST_FINAL_STATUS or status in _STATUSES_WITHOUT_BODY:
            return False
        return not self._lengths()

    @property
    def keeps_connection(self) -> bool:
        """True when the last answer lets the connection carry another request."""
        return self._parser.should_keep_alive()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self._headers.append((name.decode("latin-1").lower(), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Check the lengths that the headers give."""
        self._head_done = True
        if self._lengths() == _LENGTH_HEADERS:
            self.failed("an answer with two lengths")

    def on_body(self, body: bytes) -> None:
        """Keep a piece of the body."""
        self._size += len(body)
        if self._size > MAX_ANSWER_BYTES:
            self.failed("the answer is too large")
            return
        self._chunks.append(body)

    def on_message_complete(self) -> None:
        """Hand over the whole answer."""
        status = self._parser.get_status_code()
        answer = Answer(status, tuple(self._headers), b"".join(self._chunks))
        self._reset()
        self.received(answer)

    def _lengths(self) -> set[str]:
        return {name for name, _ in self._headers} & _LENGTH_HEADERS
