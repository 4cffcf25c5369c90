"""The callers' side as an ASGI application."""

import asyncio
from collections.abc import Callable
from typing import Any, Optional

import msgspec

from ...net.asgi import AsgiBody, Receive, Send
from ...net.body import CallerLeftError
from ...net.http_server import TARGET_KEY
from ...net.request import end_to_end
from ..header_names import HeaderNames
from ..resources import CallerLimits
from ..state.store_view import StoreView
from .client_request import ClientRequest, RefusalReason, Reply
from .outcome import final_answer
from .outcome.hold_time import caller_wait
from .pipeline import Pipeline
from .request_log import RequestLog

_MOST_BUFFERED_PART = 0.25
"""Part of the process's memory that bodies of waiting requests may take."""

_NOT_PASSED_ON = frozenset(("content-length", "accept-encoding"))
_NOT_RETURNED = frozenset(("content-length", "keep-alive"))


class GatewayApp:
    """Reads requests, runs them, and writes their answers.

    Args:
        store_view: What this VM holds of the store.
        pipeline: Runs requests.
        names: Names of headers.
        events: Told of every request.
        monotonic: Source of time.
        memory_bytes: Memory of the process.
    """

    def __init__(
        self,
        store_view: StoreView,
        pipeline: Pipeline,
        *,
        names: HeaderNames,
        events: RequestLog,
        monotonic: Callable[[], float],
        memory_bytes: int,
    ) -> None:
        self.store_view = store_view
        self.pipeline = pipeline
        self.names = names
        self.events = events
        self.monotonic = monotonic
        self.max_buffered = int(memory_bytes * _MOST_BUFFERED_PART)
        self.buffered = 0
        self.in_flight = 0
        self.stopping = False
        self.giving_up = False
        self._serving: set[asyncio.Task] = set()

    def stop(self) -> None:
        """End each connection with its next answer from now on."""
        self.stopping = True

    def give_up_all(self) -> None:
        """Give every request that is still in flight its final answer now: the process ends."""
        self.giving_up = True
        for task in self._serving:
            task.cancel()

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """Serve one request."""
        arrived_at = self.monotonic()
        self.in_flight += 1
        body = AsgiBody(receive)
        request: Optional[ClientRequest] = None
        task = asyncio.current_task()
        assert task is not None
        self._serving.add(task)
        try:
            try:
                await self._read(body)
                request = self._call(scope, body, arrived_at)
                reply = self._gate(request, body) or await self._run_while_caller_stays(
                    request, body
                )
            except asyncio.CancelledError:
                if not self.giving_up:
                    raise
                task.uncancel()
                request = request or self._call(scope, body, arrived_at)
                reply = self.pipeline.stop_reply(request)
            self._serving.discard(task)
            self.events.replied(request, reply, self.monotonic() - arrived_at)
            await self._write(reply, send, close=self.stopping or not body.complete)
        except CallerLeftError:
            if request is not None:
                self.events.left(request, self.monotonic() - arrived_at)
        finally:
            self._serving.discard(task)
            self.in_flight -= 1
            self.buffered -= len(body.first)

    @property
    def limits(self) -> CallerLimits:
        """Limits in force."""
        held = self.store_view.configuration
        return held.limits if held else CallerLimits()

    async def _read(self, body: AsgiBody) -> None:
        room = max(0, min(self.limits.body_bytes, self.max_buffered - self.buffered))
        await body.keep_start(room + 1)
        self.buffered += len(body.first)

    def _call(self, scope: dict[str, Any], body: AsgiBody, arrived_at: float) -> ClientRequest:
        headers = [(n.decode("latin-1"), v.decode("latin-1")) for n, v in scope["headers"]]
        named = dict(reversed(headers))
        target = scope.get(TARGET_KEY, scope["raw_path"]).decode("latin-1")
        return ClientRequest(
            id=named.get(self.names.request_id, ""),
            method=scope["method"],
            host=named.get("host", ""),
            path=target.partition("?")[0],
            target=target,
            headers=self._passed_on(headers),
            body=body.first,
            arrived_at=arrived_at,
            deadline=arrived_at + caller_wait(named.get(self.names.deadline_ms)).seconds,
            key=_cookie(named.get("cookie", ""), self.names.affinity),
        )

    def _passed_on(self, headers: list[tuple[str, str]]) -> tuple[tuple[str, str], ...]:
        own = (self.names.deadline_ms, self.names.expected)
        return tuple(
            (name, value)
            for name, value in end_to_end(headers)
            if name not in _NOT_PASSED_ON and name not in own
        )

    def _gate(self, request: ClientRequest, body: AsgiBody) -> Optional[Reply]:
        """Refuse what cannot be taken on, before anything is done."""
        if not body.complete:
            if len(request.body) > self.limits.body_bytes:
                return Reply(None, RefusalReason.TOO_LARGE, 413)
            return final_answer.refused_for_memory()
        if not request.path.startswith("/"):
            return Reply(None, RefusalReason.MALFORMED, 400)
        return None

    async def _run_while_caller_stays(self, request: ClientRequest, body: AsgiBody) -> Reply:
        """Run a request, and cancel it when its caller has left."""
        work = asyncio.current_task()
        assert work is not None
        left = asyncio.create_task(body.caller_left())
        left.add_done_callback(lambda task: None if task.cancelled() else work.cancel())
        try:
            return await self.pipeline.run(request)
        except asyncio.CancelledError:
            if left.done() and not left.cancelled():
                work.uncancel()
                raise CallerLeftError("the caller closed its connection") from None
            raise
        finally:
            left.cancel()

    async def _write(self, reply: Reply, send: Send, *, close: bool) -> None:
        status, headers, body = self._encoded(reply)
        raw = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]
        raw.append((b"content-length", b"%d" % len(body)))
        if close:
            raw.append((b"connection", b"close"))
        await send({"type": "http.response.start", "status": status, "headers": raw})
        await send({"type": "http.response.body", "body": body})

    def _encoded(self, reply: Reply) -> tuple[int, list[tuple[str, str]], bytes]:
        if reply.answer is not None:
            headers = [
                h for h in end_to_end(list(reply.answer.headers)) if h[0] not in _NOT_RETURNED
            ]
            return reply.status, headers, reply.answer.body
        assert reply.refusal is not None
        headers = [("content-type", "application/json")]
        if reply.retry_after_s is not None:
            headers.append(("retry-after", f"{reply.retry_after_s:g}"))
        return reply.status, headers, msgspec.json.encode({"reason": reply.refusal.value})


def _cookie(header: str, name: str) -> str:
    """Return the value of a cookie; empty when it is not there."""
    for pair in header.split(";"):
        key, _, value = pair.strip().partition("=")
        if key.lower() == name.lower():
            return value
    return ""
