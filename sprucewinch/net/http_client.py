"""HTTP client sessions without automatic retries, and with limits on status and size of an answer.

Owns how sessions to backend servers, to the store and to operators' ports are made for
Sprucewinch's own interface, and the limits on what one answer may have in bytes. aiohttp hands on
answers with any three digits as their status; those outside of 100 to 599 fail here. It limits the
status line, the length of a header and the number of headers and trailers, but neither the number
of interim answers nor empty lines, chunk sizes, chunk extensions and bodies.

Relies on aiohttp and on its private attributes `_retry_connection` and `_factory`, as it has no
public options. Tests: `tests/test_endless_answers_clients.py`.
"""

import asyncio
import functools
import math
from typing import Any, Optional

import aiohttp
from aiohttp.client_proto import ResponseHandler

from ._answer_reader import FIRST_FINAL_STATUS, MAX_STATUS, MIN_STATUS, is_status

_MAX_HEAD_BYTES = 262_144
"""Maximum size of all that comes before the body of an answer, interim answers included, in bytes.
It is counted as read from the connection, so that some of the body may be part of it."""


class AnswerTooLongError(aiohttp.ClientPayloadError):
    """A server sent more bytes than an answer may have; the connection was closed.

    Args:
        limit_bytes: Size that the answer exceeds, in bytes.
    """

    def __init__(self, limit_bytes: float) -> None:
        super().__init__(f"the answer is longer than {limit_bytes:.0f} bytes")


class InvalidStatusError(aiohttp.ClientPayloadError):
    """A server sent an answer whose status is none of HTTP; the connection was closed.

    Args:
        status: The number.
    """

    def __init__(self, status: int) -> None:
        super().__init__(f"status {status:03}: expected {MIN_STATUS} to {MAX_STATUS}")


def make_session(*, max_answer_bytes: Optional[int], **options: Any) -> aiohttp.ClientSession:
    """Return a client session that never retries a request by itself.

    By default aiohttp retries requests of some methods when a reused connection breaks. A write, or
    a request that must not run twice, might then run twice; a compare-and-swap that took effect
    would appear to have been overtaken by another writer.

    Answers that exceed a limit fail with `AnswerTooLongError`, those without a status of HTTP with
    `InvalidStatusError`.

    Args:
        max_answer_bytes: Maximum size of an answer, in bytes; such answers are not decompressed,
            as that would exceed it. None for bodies of any size, which must be read piece by piece.
        options: Options of `aiohttp.ClientSession`.
    """
    connector = options.pop("connector", None)
    if connector is None:
        connector = aiohttp.TCPConnector()
    loop = asyncio.get_running_loop()
    connector._factory = functools.partial(_LimitedHandler, loop, max_answer_bytes or math.inf)
    if max_answer_bytes is not None:
        options.setdefault("auto_decompress", False)
        options.setdefault("skip_auto_headers", ("Accept-Encoding",))
    session = aiohttp.ClientSession(connector=connector, **options)
    session._retry_connection = False
    return session


class _LimitedHandler(ResponseHandler):
    """A connection of aiohttp that ends when an answer exceeds a limit.

    Args:
        loop: Event loop.
        max_bytes: Maximum size of an answer, in bytes.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, max_bytes: float) -> None:
        super().__init__(loop=loop)
        self._max_bytes = max_bytes
        self._limit_bytes = max_bytes
        self._received_bytes = 0

    def set_response_params(self, **options: Any) -> None:
        """Begin to count, as a request is about to be sent."""
        self._limit_bytes = min(self._max_bytes, _MAX_HEAD_BYTES)
        self._received_bytes = 0
        super().set_response_params(**options)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Take a parsed head; that of a final answer lifts the limit on heads."""
        status = data[0].code
        if not is_status(status):
            self._end(InvalidStatusError(status))
            return
        if status >= FIRST_FINAL_STATUS:
            self._limit_bytes = self._max_bytes
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and end the connection when there are too many."""
        super().data_received(data)
        self._received_bytes += len(data)
        if self._received_bytes > self._limit_bytes and self.transport is not None:
            self._end(AnswerTooLongError(self._limit_bytes))

    def _end(self, error: aiohttp.ClientPayloadError) -> None:
        self.set_exception(error)
        if self._payload is not None:
            self._payload.set_exception(error)
        if self.transport is not None:
            self.transport.abort()
