"""Requests to backend servers over HTTP, each sent once.

Owns the client session and its connections, and decides from what the server or the library
reports whether a request certainly did not run. Relies on aiohttp, and on `net.http_client`, which
switches off the library's own resends. Repeats are the rule of `retry_rule`.
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

_CHUNK_BYTES = 65_536
"""Most bytes of an answer passed on at once."""

_KEEPALIVE_S = 10.0
"""Time after which an idle connection is closed, in seconds."""

_CONNECT_S = 1.0
"""Longest time for opening a connection, in seconds."""

_PROBE_S = 1.0
"""Longest time for a probe, in seconds."""

_MAX_CONNECTIONS = 100
"""Most connections to one backend server."""

_READ_BUFFER_BYTES = 2**14
"""Bytes of an answer above which reading pauses. With it a 500 MB answer grew the daemon by under
0.2 MB."""

_NO_CONTENT = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
"""Statuses of answers that have no body, by HTTP."""


class Attempt(NamedTuple):
    """The result of one try at a backend server.

    Args:
        refusal: Why there is no answer; None when the answer is complete.
        sent: True when a byte of the request may have reached the server.
        leaving: True when the server reports that it is leaving.
        shed: True when the server reports that it has no room.
    """

    refusal: Optional[Refusal] = None
    sent: bool = False
    leaving: bool = False
    shed: bool = False


class BrokenAnswerError(Exception):
    """An answer broke off after its start was passed on; the caller's connection must be cut."""


class Probe(NamedTuple):
    """A backend server's answer to a probe; it may lag or be wrong.

    Args:
        leaving: True when the server takes no new requests.
        in_use: Requests that run on it.
    """

    leaving: bool
    in_use: int


class BackendClient:
    """Sends requests to backend servers and passes their answers on.

    A connection on which anything went wrong is closed and never used again.

    Args:
        connections: Most connections to one backend server.
    """

    def __init__(self, *, connections: int = _MAX_CONNECTIONS) -> None:
        connector = aiohttp.TCPConnector(
            limit=0, limit_per_host=connections, keepalive_timeout=_KEEPALIVE_S
        )
        self.session = make_session(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=_CONNECT_S),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
            read_bufsize=_READ_BUFFER_BYTES,
        )

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    async def run(self, request: Request, server: str, responder: Responder, now: float) -> Attempt:
        """Try a request at a backend server.

        Args:
            request: The request.
            server: `IP:PORT`.
            responder: Where a complete or beginning answer goes.
            now: Monotonic time, in seconds.

        Returns:
            The result. Nothing was passed on unless `refusal` is None.

        Raises:
            BrokenAnswerError: When the answer broke off after its start was passed on.
        """
        left = request.deadline - now
        if left <= 0:
            return Attempt(not_run(Reason.DEADLINE_PASSED))
        try:
            async with asyncio.timeout(left) as limit:
                return await self._exchange(request, server, responder, limit, left)
        except TimeoutError:
            return self._failed(responder, Reason.BACKEND_TIMEOUT)
        except aiohttp.ClientConnectorError:
            return Attempt(not_run(Reason.BACKEND_FAILED))
        except aiohttp.ConnectionTimeoutError:
            return Attempt(not_run(Reason.BACKEND_FAILED))
        except (aiohttp.ClientError, OSError, ValueError):
            return self._failed(responder, Reason.BACKEND_FAILED)

    def _failed(self, responder: Responder, reason: Reason) -> Attempt:
        """Return the result of a try that ended after a byte may have been sent.

        Raises:
            BrokenAnswerError: When the answer broke off after its start was passed on.
        """
        if responder.started:
            raise BrokenAnswerError(reason.value)
        return Attempt(unknown(reason), sent=True)

    async def _exchange(
        self,
        request: Request,
        server: str,
        responder: Responder,
        limit: asyncio.Timeout,
        left: float,
    ) -> Attempt:
        async with self.session.request(
            request.method,
            f"http://{server}{request.target}",
            headers=_headers(request, left),
            data=_data(request),
            allow_redirects=False,
        ) as response:
            refused = _own_refusal(response)
            if refused is not None:
                await response.read()
                return refused
            if not _answers(response, request):
                response.close()
                return Attempt(unknown(Reason.BACKEND_FAILED), sent=True)
            limit.reschedule(None)
            await _pass_on(response, responder)
            return Attempt(sent=True, leaving=LEAVING_HEADER in response.headers)

    async def probe(self, server: str) -> Optional[Probe]:
        """Ask a backend server for its state; None without a readable answer in time."""
        timeout = aiohttp.ClientTimeout(total=_PROBE_S)
        try:
            async with self.session.get(f"http://{server}/load", timeout=timeout) as response:
                report: Any = await response.json()
            return Probe(bool(report["leaving"]), int(report["in_use"]))
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError, KeyError, TypeError):
            # A probe only finds servers that leave; one that fails shows in its requests.
            return None


def _headers(request: Request, left: float) -> CIMultiDict[str]:
    headers = CIMultiDict(end_to_end(request.headers))
    headers[REQUEST_ID_HEADER] = request.request_id
    headers[DEADLINE_HEADER] = str(int(left * 1000))
    return headers


def _data(request: Request) -> Any:
    body = request.body
    if not body.complete:
        return body.chunks()
    return body.first or None


def _own_refusal(response: aiohttp.ClientResponse) -> Optional[Attempt]:
    """Return the result when the server itself reports that it did not run the request."""
    cause = response.headers.get(NOT_RUN_HEADER)
    if cause is None:
        return None
    if cause == "leaving":
        return Attempt(not_run(Reason.NO_BACKEND_SERVER), sent=True, leaving=True)
    return Attempt(not_run(Reason.NO_ROOM), sent=True, shed=True)


def _answers(response: aiohttp.ClientResponse, request: Request) -> bool:
    """Return whether an answer belongs to this request and has a known end."""
    answered_id = response.headers.get(REQUEST_ID_HEADER, request.request_id)
    return answered_id == request.request_id and _framed(response)


def _framed(response: aiohttp.ClientResponse) -> bool:
    """Return whether the headers give the end of the body: a length, chunks, or no body."""
    if response.method == "HEAD" or response.status in _NO_CONTENT:
        return True
    chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    return chunked or "Content-Length" in response.headers


async def _pass_on(response: aiohttp.ClientResponse, responder: Responder) -> None:
    headers: Headers = end_to_end(list(response.headers.items()))
    await responder.start(response.status, headers)
    async for chunk in response.content.iter_chunked(_CHUNK_BYTES):
        await responder.write(chunk)
    await responder.finish()
