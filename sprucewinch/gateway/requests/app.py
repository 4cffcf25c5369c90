"""The callers' side as an ASGI application.

Owns the requests that are in flight: their number, the memory of their bodies, and their final
answers when the process ends. Relies on `callers` to read requests, admit bodies and write answers,
on the pipeline to run requests, and on the request log for their ends.
"""

import asyncio
from collections.abc import Callable
from typing import Any, Optional

from ...net.asgi import AsgiBody, Receive, Send
from ...net.body import CallerLeftError
from ..events import EventLog, NoEvents
from ..header_names import HeaderNames
from ..resources import CallerLimits
from ..state.store_view import StoreView
from .callers.answer_writer import write_reply
from .callers.body_admission import BodyAdmission, BodyMemory, admit_body
from .callers.request_reader import RequestReader
from .client_request import ClientRequest, RefusalReason, Reply
from .outcome import final_answer
from .outcome.hold_time import WaitSource
from .pipeline import Pipeline
from .request_log import RequestLog


class Exchange:
    """One request of a caller on its connection.

    Args:
        scope: Its ASGI scope.
        body: Its body.
        arrived_at: Monotonic time of its arrival, in seconds.
    """

    __slots__ = ("arrived_at", "body", "body_begun", "request", "scope")

    def __init__(self, scope: dict[str, Any], body: AsgiBody, arrived_at: float) -> None:
        self.scope = scope
        self.body = body
        self.arrived_at = arrived_at
        self.body_begun = False
        self.request: Optional[ClientRequest] = None

    @property
    def cut_short(self) -> bool:
        """Return whether reading the body ended before its end, so that the connection must close.

        A body that nobody began to read is dropped by the listener as it arrives: closing would
        reset the connection, and the caller might never see its answer.
        """
        return self.body_begun and not self.body.complete


class GatewayApp:
    """Reads requests, runs them, and writes their answers.

    Args:
        store_view: What this VM holds of the store.
        pipeline: Runs requests.
        names: Names of headers.
        events: Gets the end of every request.
        monotonic: Source of time, in seconds.
        memory_bytes: Memory of the process, in bytes.
        counters: Counts requests with an unreadable deadline; None to count none.
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
        counters: Optional[EventLog] = None,
    ) -> None:
        self.store_view = store_view
        self.pipeline = pipeline
        self.reader = RequestReader(names)
        self.events = events
        self.monotonic = monotonic
        self.bodies = BodyMemory(memory_bytes)
        self.counters = counters or NoEvents()
        self.in_flight = 0
        self.stopping = False
        self.giving_up = False
        self._serving: set[asyncio.Task] = set()

    @property
    def buffered(self) -> int:
        """Bytes of the bodies that are held."""
        return self.bodies.held_bytes

    @property
    def limits(self) -> CallerLimits:
        """Limits on callers in force: the configuration's, else the defaults."""
        configuration = self.store_view.configuration
        return configuration.limits if configuration else CallerLimits()

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
        exchange = Exchange(scope, AsgiBody(receive), self.monotonic())
        task = asyncio.current_task()
        assert task is not None
        self.in_flight += 1
        self._serving.add(task)
        try:
            await self._serve(exchange, send, task)
        finally:
            self._serving.discard(task)
            self.in_flight -= 1
            self.bodies.release(len(exchange.body.first))

    async def _serve(self, exchange: Exchange, send: Send, task: asyncio.Task) -> None:
        """Answer one request, or note that its caller left."""
        try:
            reply = await self._reply(exchange, task)
            self._serving.discard(task)
            self._note_reply(exchange, reply)
            await write_reply(reply, send, close=self.stopping or exchange.cut_short)
        except CallerLeftError:
            # Before the whole request is read there is nothing to name in a line, and nothing ran.
            if exchange.request is not None:
                self.events.left(exchange.request, self.monotonic() - exchange.arrived_at)

    async def _reply(self, exchange: Exchange, task: asyncio.Task) -> Reply:
        """Return the final answer: of the request's run, or of the stop that cuts it off."""
        request = self._read_request(exchange)
        try:
            refusal = await self._refusal_by_head(request)
            if refusal is None:
                refusal = await self._read_body(exchange, request)
            exchange.request = request
            return refusal or await self._run_while_caller_stays(request, exchange.body, task)
        except asyncio.CancelledError:
            if not self.giving_up:
                raise
            task.uncancel()
            exchange.request = request
            return self.pipeline.stop_reply(request)
        finally:
            self.pipeline.settle(request)

    async def _refusal_by_head(self, request: ClientRequest) -> Optional[Reply]:
        """Return the answer to a request that is refused before its body is read, else None."""
        if not request.path.startswith("/"):
            return final_answer.refused_for_good(RefusalReason.MALFORMED)
        return await self.pipeline.admit(request)

    async def _read_body(self, exchange: Exchange, request: ClientRequest) -> Optional[Reply]:
        """Read a body up to the most that is accepted, and one byte more to see whether it ends.

        Returns:
            The answer to a request whose body is not accepted, else None.
        """
        body = exchange.body
        exchange.body_begun = True
        await body.keep_start(self.bodies.room_bytes(self.limits.body_bytes) + 1)
        self.bodies.take(len(body.first))
        request.body = body.first
        return self._refusal_by_body(request, body)

    def _read_request(self, exchange: Exchange) -> ClientRequest:
        read = self.reader.read(exchange.scope, exchange.body.first, exchange.arrived_at)
        if read.wait_source is WaitSource.UNREADABLE:
            self.counters.count("requests_with_unreadable_deadline")
        return read.request

    def _refusal_by_body(self, request: ClientRequest, body: AsgiBody) -> Optional[Reply]:
        limit_bytes = self.limits.body_bytes
        admission = admit_body(len(request.body), limit_bytes, complete=body.complete)
        if admission is BodyAdmission.TOO_LARGE:
            return final_answer.refused_for_good(RefusalReason.TOO_LARGE)
        if admission is BodyAdmission.NO_MEMORY:
            return final_answer.refused_for_lack_of_memory()
        return None

    async def _run_while_caller_stays(
        self, request: ClientRequest, body: AsgiBody, task: asyncio.Task
    ) -> Reply:
        """Run a request, and cancel it when its caller has left."""
        left = asyncio.create_task(body.caller_left())
        left.add_done_callback(lambda done: None if done.cancelled() else task.cancel())
        try:
            return await self.pipeline.run(request)
        except asyncio.CancelledError:
            if left.done() and not left.cancelled():
                task.uncancel()
                raise CallerLeftError("the caller closed its connection") from None
            raise
        finally:
            left.cancel()

    def _note_reply(self, exchange: Exchange, reply: Reply) -> None:
        assert exchange.request is not None
        self.events.replied(exchange.request, reply, self.monotonic() - exchange.arrived_at)
