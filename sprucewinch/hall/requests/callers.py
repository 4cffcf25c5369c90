"""The ASGI application of the callers' port: look-ups, tickets, readiness and requests.

Parses what a caller sends, refuses requests that are malformed or exceed this VM's limits, and
passes the others to the dispatcher. Owns the parsing of paths, queries and headers, and counts a
request as in flight while it runs. Relies on the node for look-ups and tickets and on `net.asgi`
for ASGI messages.
"""

import asyncio
import functools
import uuid
from http import HTTPStatus
from typing import Any, Optional, Union
from urllib.parse import parse_qs

import msgspec

from ...clock import Clock
from ...net.asgi import AsgiBody, AsgiResponder, Receive, Send, send_answer, send_refusal
from ...net.body import Body, CallerLeftError
from ...net.outcome import Reason, Refusal, not_run, unknown
from ...net.request import BLOCK_HEADER, DEADLINE_HEADER, TICKET_HEADER, Headers, Request
from ..node import Node
from ..peers.peer_pb2 import SERVING
from ..planning.topology import Topology
from .backend import BrokenAnswerError
from .dispatch import Dispatcher
from .retry_after import DEFAULT_RETRY_AFTER_MS
from .tickets import MAX_TICKETS_PER_BATCH

_LOOKUP_PATH = "/v1/lookup"
_TICKETS_PATH = "/v1/tickets"
_READY_PATH = "/v1/ready"
_SERVICES_PREFIX = "/s/"
_SLASHES_BEFORE_TARGET = _SERVICES_PREFIX.count("/") + 1
"""Number of slashes in `/s/SERVICE/`, which precedes the path that the backend server gets."""

_MAX_DEADLINE_MS = 24 * 3_600_000
"""Longest time until the deadline that a caller may set, in milliseconds: a day."""

_MAX_CACHED_QUERIES = 8192
"""Maximum number of cached parsed look-up queries: parsing one costs more than answering it."""


class CallerApp:
    """The ASGI application of the callers' port.

    Args:
        node: This VM's state.
        dispatcher: Runs requests.
        clock: Source of time.
    """

    def __init__(self, node: Node, dispatcher: Dispatcher, clock: Clock) -> None:
        self.node = node
        self.dispatcher = dispatcher
        self.clock = clock
        self.limits = node.settings.limits

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        path: str = scope["path"]
        if path == _LOOKUP_PATH:
            await self._serve_lookup(scope, send)
        elif path.startswith(_SERVICES_PREFIX):
            await self._serve_request(scope, receive, send)
        elif path == _TICKETS_PATH:
            await self._serve_tickets(scope, send)
        elif path == _READY_PATH:
            await self._serve_ready(send)
        else:
            await send_refusal(send, not_run(Reason.NO_SUCH_SERVICE))

    async def _serve_lookup(self, scope: dict[str, Any], send: Send) -> None:
        service, block = _lookup_query(scope["query_string"])
        client = block or _caller_ip(scope)
        self.node.metrics.counters["lookups"] += 1
        answer = self.node.lookup(client, service)
        if isinstance(answer, Refusal):
            self.node.metrics.refused(self.node.label(service), answer.reason.value)
            await send_refusal(send, answer)
            return
        await send_answer(send, HTTPStatus.OK, answer)

    async def _serve_tickets(self, scope: dict[str, Any], send: Send) -> None:
        query = parse_qs(scope["query_string"].decode("latin-1"))
        service = query.get("service", [""])[0]
        count = query.get("count", ["1"])[0]
        refusal = self._ticket_refusal(service, count)
        if refusal is not None:
            await send_refusal(send, refusal)
            return
        assert self.node.tickets is not None
        tickets = self.node.tickets
        issued = tickets.issue(service, int(count), self.clock.monotonic())
        if isinstance(issued, Refusal):
            await send_refusal(send, issued)
            return
        answer = {"tickets": issued, "lifetime_ms": int(tickets.lifetime_s * 1000)}
        await send_answer(send, HTTPStatus.OK, msgspec.json.encode(answer))

    def _ticket_refusal(self, service: str, count: str) -> Optional[Refusal]:
        if self.node.tickets is None or self.node.topology is None:
            return not_run(Reason.NO_CONFIGURATION, DEFAULT_RETRY_AFTER_MS)
        if service not in self.node.topology.services:
            return not_run(Reason.NO_SUCH_SERVICE)
        if self.node.own.state != SERVING:
            return not_run(Reason.LEAVING, DEFAULT_RETRY_AFTER_MS)
        if not (count.isascii() and count.isdigit() and 1 <= int(count) <= MAX_TICKETS_PER_BATCH):
            return not_run(Reason.MALFORMED)
        return None

    async def _serve_ready(self, send: Send) -> None:
        if self.node.tickets is None:
            await send_refusal(send, not_run(Reason.NO_CONFIGURATION, DEFAULT_RETRY_AFTER_MS))
            return
        state = {"vm": self.node.own.vm, "revision": self.node.revision}
        await send_answer(send, HTTPStatus.OK, msgspec.json.encode(state))

    async def _serve_request(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        now = self.clock.monotonic()
        headers = [(n.decode("latin-1"), v.decode("latin-1")) for n, v in scope["headers"]]
        responder = AsgiResponder(send, self.node.settings.hall)
        request = self._parse(scope, headers, AsgiBody(receive), now)
        if isinstance(request, Refusal):
            ticket = dict(headers).get(TICKET_HEADER)
            await send_refusal(
                send, self.dispatcher.with_certain_outcome(request, ticket), close=True
            )
            return
        self.node.arrived(request.service, request.client_region)
        refusal = self._limit_refusal(request, now)
        if refusal is None:
            refusal = await self._run(request, responder)
        else:
            refusal = self.dispatcher.with_certain_outcome(refusal, request.ticket)
        if refusal is not None:
            self.node.metrics.refused(self.node.label(request.service), refusal.reason.value)
            await send_refusal(send, refusal, close=not request.body.complete)
            return
        label = self.node.label(request.service)
        self.node.metrics.answered(label, self.clock.monotonic() - now)

    def _parse(
        self, scope: dict[str, Any], headers: Headers, body: Body, now: float
    ) -> Request | Refusal:
        named = {name.lower(): value for name, value in headers}
        service, _, rest = scope["path"][len(_SERVICES_PREFIX) :].partition("/")
        topology = self.node.topology
        if topology is None:
            return not_run(Reason.NO_CONFIGURATION, DEFAULT_RETRY_AFTER_MS)
        configured = topology.services.get(service)
        if configured is None:
            return not_run(Reason.NO_SUCH_SERVICE)
        deadline_ms = _deadline_ms(named.get(DEADLINE_HEADER), configured.deadline_ms)
        region = _client_region(topology, named.get(BLOCK_HEADER) or _caller_ip(scope))
        if deadline_ms is None or isinstance(region, Refusal):
            return not_run(Reason.MALFORMED)
        return Request(
            request_id=uuid.uuid4().hex,
            service=service,
            client_region=region,
            method=scope["method"],
            target=_target(scope, rest),
            headers=headers,
            body=body,
            deadline=now + deadline_ms / 1000,
            ticket=named.get(TICKET_HEADER),
        )

    def _limit_refusal(self, request: Request, now: float) -> Optional[Refusal]:
        """Return the refusal of a request beyond a limit of this VM or a link, else None."""
        if self.node.in_flight.count >= self.limits.requests:
            return not_run(Reason.OVERLOADED_VM, DEFAULT_RETRY_AFTER_MS)
        if request.client_region and not self.node.cross_link(request.client_region, now):
            return not_run(Reason.LINK_FULL, DEFAULT_RETRY_AFTER_MS)
        return None

    async def _run(self, request: Request, responder: AsgiResponder) -> Optional[Refusal]:
        body = request.body
        assert isinstance(body, AsgiBody)
        self.node.in_flight.enter()
        try:
            async with asyncio.timeout(request.deadline - self.clock.monotonic()):
                await body.keep_start(self.limits.memory_body_bytes)
            return await self._run_while_caller_stays(request, body, responder)
        except TimeoutError:
            return self.dispatcher.with_certain_outcome(
                not_run(Reason.DEADLINE_PASSED), request.ticket
            )
        except BrokenAnswerError:
            self.node.metrics.counters["broken"] += 1
            raise
        except CallerLeftError:
            return unknown(Reason.CALLER_LEFT)
        finally:
            self.node.in_flight.leave()

    async def _run_while_caller_stays(
        self, request: Request, body: AsgiBody, responder: AsgiResponder
    ) -> Optional[Refusal]:
        """Run a request, and cancel it when its caller disconnects.

        Raises:
            CallerLeftError: When the caller disconnected before its answer was complete.
        """
        request_task = asyncio.current_task()
        assert request_task is not None
        disconnect = asyncio.create_task(body.caller_left())

        def cancel(task: asyncio.Task) -> None:
            # The HTTP server also reports a disconnect when an answer is complete.
            if not task.cancelled() and not responder.finished:
                request_task.cancel()

        disconnect.add_done_callback(cancel)
        try:
            return await self.dispatcher.run(request, responder)
        except asyncio.CancelledError:
            if disconnect.done() and not disconnect.cancelled() and not responder.finished:
                request_task.uncancel()
                raise CallerLeftError("the caller closed its connection") from None
            raise
        finally:
            disconnect.cancel()


@functools.lru_cache(maxsize=_MAX_CACHED_QUERIES)
def _lookup_query(query_string: bytes) -> tuple[str, str]:
    """Return the service and the client block of a look-up, each empty when it is not given."""
    query = parse_qs(query_string.decode("latin-1"))
    return query.get("service", [""])[0], query.get("block", [""])[0]


def _caller_ip(scope: dict[str, Any]) -> str:
    client = scope.get("client")
    return client[0] if client else ""


def _client_region(topology: Topology, client: str) -> Union[str, Refusal]:
    """Return the region of a client, empty when no block contains it; a refusal when malformed."""
    try:
        return topology.client_region(client) or ""
    except ValueError:
        return not_run(Reason.MALFORMED)


def _target(scope: dict[str, Any], decoded: str) -> str:
    """Return the path and query that the backend server gets.

    Args:
        scope: ASGI scope.
        decoded: The decoded rest of the path, used when the raw path has no such part.
    """
    query = scope["query_string"].decode("latin-1")
    parts = scope["raw_path"].decode("latin-1").split("/", _SLASHES_BEFORE_TARGET)
    path = parts[_SLASHES_BEFORE_TARGET] if len(parts) > _SLASHES_BEFORE_TARGET else decoded
    return f"/{path}?{query}" if query else f"/{path}"


def _deadline_ms(text: Optional[str], default: int) -> Optional[int]:
    """Return the time until the deadline, in milliseconds; None when the header is malformed."""
    if text is None:
        return default
    if not (text.isascii() and text.isdigit()) or not 0 < int(text) <= _MAX_DEADLINE_MS:
        return None
    return int(text)
