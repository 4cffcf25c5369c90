"""The HTTP client for backend servers, which sends each request once.

Owns the client sessions, one for requests and one for probes, and their connections. Decides from
the server's answer or the library's error whether a request certainly did not run. Relies on
aiohttp, and on `net.http_client`, which switches off the retries of that library and limits heads
of answers. `retry_rule` decides on retries.
"""

import asyncio
from http import HTTPStatus
from typing import Any, NamedTuple, Optional

import aiohttp
from multidict import CIMultiDict

from ...net.http_client import make_session
from ...net.outcome import Reason, Refusal, not_run, unknown
from ...net.request import (
    DEADLINE_HEADER,
    LEAVING_HEADER,
    NOT_RUN_HEADER,
    REQUEST_ID_HEADER,
    Headers,
    Request,
    Responder,
    end_to_end,
)

_MAX_CHUNK_BYTES = 65_536
"""Maximum size of a piece of an answer that is passed on at once, in bytes."""

_KEEPALIVE_TIMEOUT_S = 10.0
"""Time after which an idle connection is closed, in seconds."""

_CONNECT_TIMEOUT_S = 1.0
"""Time limit for opening a connection, in seconds."""

_PROBE_TIMEOUT_S = 1.0
"""Time limit for a probe, in seconds."""

_MAX_PROBE_BYTES = 65_536
"""Maximum size of the answer to a probe, in bytes."""

_MAX_REFUSAL_BYTES = 65_536
"""Maximum size of the body of a refusal that is read so that its connection can be used again, in
bytes; beyond it the connection is closed."""

_MAX_CONNECTIONS_PER_SERVER = 100
"""Maximum number of connections to one backend server."""

_READ_BUFFER_BYTES = 2**14
"""Number of buffered bytes of an answer above which reading from the server pauses. It keeps the
daemon's memory small: an answer of 500 MB added less than 0.2 MB."""

_STATUSES_WITHOUT_BODY = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
"""Statuses whose answers never have a body (RFC 9110)."""


class Attempt(NamedTuple):
    """The result of sending a request once, to a backend server or another entry VM.

    Args:
        refusal: Why there is no answer; None when a complete answer was passed on.
        sent: True when a byte of the request may have reached the receiver.
        leaving: True when the server reports that it is leaving.
        shed: True when the server refused the request because it was at capacity.
    """

    refusal: Optional[Refusal] = None
    sent: bool = False
    leaving: bool = False
    shed: bool = False


class BrokenAnswerError(Exception):
    """An answer broke off after its start was passed on.

    The caller's connection must then be closed, so that the caller does not take the answer for a
    complete one.
    """


class Probe(NamedTuple):
    """The answer of a backend server to a probe, which may be outdated or wrong.

    Args:
        leaving: True when the server accepts no new requests.
        in_use: Number of requests that the server runs.
    """

    leaving: bool
    in_use: int


class BackendClient:
    """Sends requests to backend servers and passes their answers on.

    A connection on which an error occurred is closed and never reused.

    Args:
        connections: Maximum number of connections to one backend server.
    """

    def __init__(self, *, connections: int = _MAX_CONNECTIONS_PER_SERVER) -> None:
        connector = aiohttp.TCPConnector(
            limit=0, limit_per_host=connections, keepalive_timeout=_KEEPALIVE_TIMEOUT_S
        )
        self.session = make_session(
            max_answer_bytes=None,
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=_CONNECT_TIMEOUT_S),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
            read_bufsize=_READ_BUFFER_BYTES,
        )
        self.probe_session = make_session(
            max_answer_bytes=_MAX_PROBE_BYTES,
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=_KEEPALIVE_TIMEOUT_S),
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=_PROBE_TIMEOUT_S),
        )

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()
        await self.probe_session.close()

    async def run(self, request: Request, server: str, responder: Responder, now: float) -> Attempt:
        """Send a request to a backend server and pass its answer on.

        Args:
            request: The request.
            server: `IP:PORT`.
            responder: Receives the answer.
            now: Monotonic time, in seconds.

        Returns:
            The result. No part of an answer was passed on unless `refusal` is None.

        Raises:
            BrokenAnswerError: When the answer broke off after its start was passed on.
        """
        remaining_s = request.deadline - now
        if remaining_s <= 0:
            return Attempt(not_run(Reason.DEADLINE_PASSED))
        try:
            async with asyncio.timeout(remaining_s) as timeout:
                return await self._send_and_pass_on(
                    request, server, responder, timeout, remaining_s
                )
        except TimeoutError:
            return self._failed_attempt(responder, Reason.BACKEND_TIMEOUT)
        except aiohttp.ClientConnectorError:
            return Attempt(not_run(Reason.BACKEND_FAILED))
        except aiohttp.ConnectionTimeoutError:
            return Attempt(not_run(Reason.BACKEND_FAILED))
        except (aiohttp.ClientError, OSError, ValueError):
            return self._failed_attempt(responder, Reason.BACKEND_FAILED)

    def _failed_attempt(self, responder: Responder, reason: Reason) -> Attempt:
        """Return the result of an attempt that failed after a byte may have been sent.

        Raises:
            BrokenAnswerError: When the answer broke off after its start was passed on.
        """
        if responder.started:
            raise BrokenAnswerError(reason.value)
        return Attempt(unknown(reason), sent=True)

    async def _send_and_pass_on(
        self,
        request: Request,
        server: str,
        responder: Responder,
        timeout: asyncio.Timeout,
        remaining_s: float,
    ) -> Attempt:
        async with self.session.request(
            request.method,
            f"http://{server}{request.target}",
            headers=_headers(request, remaining_s),
            data=_data(request),
            allow_redirects=False,
        ) as response:
            refused = _server_refusal(response)
            if refused is not None:
                await _discard_body(response)
                return refused
            if not _is_valid_answer(response, request):
                response.close()
                return Attempt(unknown(Reason.BACKEND_FAILED), sent=True)
            timeout.reschedule(None)
            await _pass_on(response, responder)
            return Attempt(sent=True, leaving=LEAVING_HEADER in response.headers)

    async def probe(self, server: str) -> Optional[Probe]:
        """Ask a backend server for its state; returns None without a readable answer in time."""
        try:
            async with self.probe_session.get(f"http://{server}/load") as response:
                report: Any = await response.json()
            return Probe(bool(report["leaving"]), int(report["in_use"]))
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError, KeyError, TypeError):
            # Probes only detect servers that are leaving; requests detect servers that fail.
            return None


def _headers(request: Request, remaining_s: float) -> CIMultiDict[str]:
    headers = CIMultiDict(end_to_end(request.headers))
    headers[REQUEST_ID_HEADER] = request.request_id
    headers[DEADLINE_HEADER] = str(int(remaining_s * 1000))
    return headers


def _data(request: Request) -> Any:
    body = request.body
    if not body.complete:
        return body.chunks()
    return body.first or None


def _server_refusal(response: aiohttp.ClientResponse) -> Optional[Attempt]:
    """Return the result if the server reports that it did not run the request, else None."""
    cause = response.headers.get(NOT_RUN_HEADER)
    if cause is None:
        return None
    if cause == "leaving":
        return Attempt(not_run(Reason.NO_BACKEND_SERVER), sent=True, leaving=True)
    return Attempt(not_run(Reason.NO_ROOM), sent=True, shed=True)


def _is_valid_answer(response: aiohttp.ClientResponse, request: Request) -> bool:
    """Return whether an answer belongs to this request and its end can be recognized."""
    answered_id = response.headers.get(REQUEST_ID_HEADER, request.request_id)
    return answered_id == request.request_id and _is_framed(response)


def _is_framed(response: aiohttp.ClientResponse) -> bool:
    """Return whether the end of the body is defined: by a length or chunks, or without a body."""
    if response.method == "HEAD" or response.status in _STATUSES_WITHOUT_BODY:
        return True
    chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    return chunked or "Content-Length" in response.headers


async def _discard_body(response: aiohttp.ClientResponse) -> None:
    """Read the body of a refusal, or close its connection when it is too long."""
    size_bytes = 0
    async for chunk in response.content.iter_chunked(_MAX_CHUNK_BYTES):
        size_bytes += len(chunk)
        if size_bytes > _MAX_REFUSAL_BYTES:
            response.close()
            return


async def _pass_on(response: aiohttp.ClientResponse, responder: Responder) -> None:
    headers: Headers = end_to_end(list(response.headers.items()))
    await responder.start(response.status, headers)
    async for chunk in response.content.iter_chunked(_MAX_CHUNK_BYTES):
        await responder.write(chunk)
    await responder.finish()
