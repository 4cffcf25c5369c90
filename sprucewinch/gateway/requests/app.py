"""The ASGI application that serves callers.

It owns the requests in flight: their number, the memory of their bodies and of unread answers, and
their final answers when the process ends. It relies on `callers` to read requests, admit bodies and
write answers, on the pipeline to run requests, and on the request log to record their outcomes.
"""

import asyncio
from collections.abc import Callable
from typing import Any, Optional

from ...net.asgi import AsgiBody, Receive, Send
from ...net.body import CallerLeftError
from ...net.connection_turn import turn_of
from ...net.content_length import content_length
from ..events import EventLog, NoEvents
from ..header_names import HeaderNames
from ..resources import CallerLimits
from ..state.store_view import StoreView
from .callers.answer_budget import AnswerBudget
from .callers.answer_writer import write_reply
from .callers.body_admission import BodyAdmission, BodyMemory
from .callers.body_reader import BodyReader
from .callers.request_reader import RequestReader
from .client_request import ClientRequest, RefusalReason, Reply
from .outcome import final_answer
from .outcome.hold_time import WaitSource
from .outcome.process_end import StopOutcome
from .pipeline import Pipeline
from .relay.relay_message import OUTCOME, VERSION, RelayedRequest, RelayOutcome
from .request_log import RequestLog
from .sliding_count import SlidingCount

_ARRIVALS_WINDOW_S = 1.0
"""Window over which callers' requests are counted, in seconds."""


class Exchange:
    """One HTTP exchange with a caller.

    Args:
        scope: Its ASGI scope.
        body: Body of its request.
        now: Monotonic time, in seconds.
        relayed: What the VM states that passes the request on; None for one of a caller.

    Attributes:
        request: The request once its body is whole or it is answered.
        reading: The request until its body is whole.
        refused: True once a stop refuses it while its body arrives.
    """

    __slots__ = (
        "arrived_at",
        "body",
        "reading",
        "refused",
        "relayed",
        "request",
        "scope",
        "turn",
    )

    def __init__(
        self,
        scope: dict[str, Any],
        body: AsgiBody,
        now: float,
        relayed: Optional[RelayedRequest] = None,
    ) -> None:
        self.scope = scope
        self.relayed = relayed
        self.body = body
        self.turn = turn_of(scope)
        self.arrived_at = now - (self.turn.waited_s if self.turn else 0.0)
        self.request: Optional[ClientRequest] = None
        self.reading: Optional[ClientRequest] = None
        self.refused = False

    def note_whole(self, request: ClientRequest, now: float) -> None:
        """Record when the last byte of a request arrived, if it has.

        Args:
            request: The request.
            now: Monotonic time, in seconds.
        """
        since_s = self.turn.whole_s if self.turn is not None else None
        if since_s is not None:
            request.whole_at = now - since_s
        elif self.body.complete:
            request.whole_at = now
        self.reading = None if request.whole_at is not None else request

    def hold_answer(self, reply: Reply) -> None:
        """Count an answer of a backend server, which stays in memory until the caller reads it."""
        if self.turn is not None and reply.answer is not None:
            self.turn.hold_answer(reply.answer.body_bytes)

    def close_connection(self) -> bool:
        """Close the connection after the requests of it that have begun.

        Returns:
            Whether the answer must say so; otherwise the listener does.
        """
        if self.turn is None:
            return True
        self.turn.read_no_more()
        return False


class GatewayApp:
    """ASGI application that reads requests, runs them, and writes their answers.

    Args:
        store_view: This VM's view of the store.
        pipeline: Runs requests.
        names: Names of headers.
        events: Records the outcome of every request.
        monotonic: Source of monotonic time, in seconds.
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
        self.body_reader = BodyReader(self.bodies, monotonic)
        self.counters = counters or NoEvents()
        self.answers = AnswerBudget(self.bodies, self.counters)
        self.in_flight = 0
        self.stopping = False
        self.process_end = pipeline.process_end
        self.aborting = False
        self.arrivals = SlidingCount(_ARRIVALS_WINDOW_S)
        self._serving: dict[asyncio.Task, Exchange] = {}

    @property
    def buffered(self) -> int:
        """Bytes of request bodies in memory."""
        return self.bodies.held_bytes

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force; 0 before the first."""
        configuration = self.store_view.configuration
        return configuration.version if configuration else 0

    @property
    def limits(self) -> CallerLimits:
        """Current limits on callers: those of the configuration, else the defaults."""
        configuration = self.store_view.configuration
        return configuration.limits if configuration else CallerLimits()

    def stop(self) -> None:
        """From now on, read no further requests of a connection that answers, and close it."""
        self.stopping = True

    def refuse_late_bodies(self) -> None:
        """Refuse the requests whose bodies are not whole and that may outlast the process."""
        for task, exchange in self._serving.items():
            request = exchange.reading
            if request is None:
                continue
            exchange.note_whole(request, self.monotonic())
            if exchange.reading is not None and not self.pipeline.ends_in_time(request):
                exchange.refused = True
                task.cancel()

    def abort_all(self) -> None:
        """Answer every request that is still in flight now, as the process ends."""
        self.aborting = True
        for task in self._serving:
            task.cancel()

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """Serve one request of a caller."""
        now = self.monotonic()
        self.arrivals.add(now)
        await self._serve_exchange(Exchange(scope, AsgiBody(receive), now), send)

    async def serve_relayed(
        self, scope: dict[str, Any], receive: Receive, send: Send, relayed: RelayedRequest
    ) -> None:
        """Serve one request that another entry VM passes on.

        Args:
            scope: Its ASGI scope, as of a caller's request.
            receive: ASGI receive.
            send: ASGI send.
            relayed: What that VM states of it.
        """
        exchange = Exchange(scope, AsgiBody(receive), self.monotonic(), relayed)
        await self._serve_exchange(exchange, send)

    async def _serve_exchange(self, exchange: Exchange, send: Send) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.in_flight += 1
        self._serving[task] = exchange
        try:
            await self._serve(exchange, send, task)
        finally:
            self._serving.pop(task, None)
            self.in_flight -= 1
            self.bodies.release(len(exchange.body.first))

    async def _serve(self, exchange: Exchange, send: Send, task: asyncio.Task) -> None:
        """Answer one request, or record that its caller left."""
        try:
            reply = await self._reply(exchange, task)
            self._serving.pop(task, None)
            self._record_reply(exchange, reply)
            exchange.hold_answer(reply)
            headers = () if exchange.relayed is None else self._relay_headers(reply)
            await write_reply(reply, send, close=self._closes(exchange), more_headers=headers)
        except CallerLeftError:
            # Before the whole request is read, nothing has run and there is no request to log.
            if exchange.request is not None:
                self.events.caller_left(exchange.request, self.monotonic() - exchange.arrived_at)

    def _closes(self, exchange: Exchange) -> bool:
        """Return whether an answer itself must close its connection, whatever follows on it."""
        return self.stopping and exchange.close_connection()

    async def _reply(self, exchange: Exchange, task: asyncio.Task) -> Reply:
        """Return the final answer, from the pipeline or because the process ends."""
        request = self._read_request(exchange)
        exchange.note_whole(request, self.monotonic())
        try:
            await self.pipeline.wait_for_turn(request)
            refusal = await self._refusal_by_head(request, exchange.relayed)
            if refusal is None:
                refusal = await self._read_body(exchange, request)
            exchange.request = request
            return refusal or await self._run_while_caller_stays(request, exchange.body, task)
        except asyncio.CancelledError:
            if not self.aborting and not exchange.refused:
                raise
            task.uncancel()
            exchange.request = request
            return self.pipeline.stop_reply(request)
        finally:
            self.pipeline.return_unused_quota(request)

    async def _refusal_by_head(
        self, request: ClientRequest, relayed: Optional[RelayedRequest]
    ) -> Optional[Reply]:
        """Return the answer to a request that is refused by its head; None when it is admitted."""
        if not request.path.startswith("/"):
            return final_answer.refused_for_good(RefusalReason.MALFORMED)
        if self.answers.used_up and not self.bodies.make_room(1, self.monotonic()):
            return final_answer.refused_for_lack_of_memory()
        if not self.pipeline.ends_in_time(request):
            return self.pipeline.stop_reply(request)
        if relayed is not None:
            return self.pipeline.admit_relayed(request, relayed)
        return await self.pipeline.admit(request)

    async def _read_body(self, exchange: Exchange, request: ClientRequest) -> Optional[Reply]:
        """Read a body; return the answer to a request whose body is refused, else None."""
        admission = await self.body_reader.read(
            exchange.body,
            content_length(exchange.scope),
            limit_bytes=self.limits.body_bytes,
            until=self.pipeline.held_until(request),
        )
        request.body = exchange.body.first
        exchange.note_whole(request, self.monotonic())
        if admission is BodyAdmission.TOO_LARGE:
            return final_answer.refused_for_good(RefusalReason.TOO_LARGE)
        if admission is BodyAdmission.NO_MEMORY:
            return final_answer.refused_for_lack_of_memory()
        return self.pipeline.late_reply() if admission is BodyAdmission.LATE else None

    def _read_request(self, exchange: Exchange) -> ClientRequest:
        read = self.reader.read(exchange.scope, exchange.body.first, exchange.arrived_at)
        if read.wait_source is WaitSource.UNREADABLE:
            self.counters.count("requests_with_unreadable_deadline")
        read.request.turn = exchange.turn
        return read.request

    async def _run_while_caller_stays(
        self, request: ClientRequest, body: AsgiBody, task: asyncio.Task
    ) -> Reply:
        """Run a request, and cancel it when its caller leaves.

        Raises:
            CallerLeftError: The caller closed its connection.
        """
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

    def _record_reply(self, exchange: Exchange, reply: Reply) -> None:
        assert exchange.request is not None
        if exchange.request.stopped and reply.answer is None:
            refused = reply.refusal is RefusalReason.STOPPING
            outcome = StopOutcome.REFUSED if refused else StopOutcome.BROKEN_OFF
            self.events.stopped(exchange.request, outcome, self.process_end)
        self.events.replied(exchange.request, reply, self.monotonic() - exchange.arrived_at)

    def _relay_headers(self, reply: Reply) -> tuple[tuple[str, str], ...]:
        """Return the headers that tell another VM whose answer this is, by which version."""
        outcome = RelayOutcome.REFUSED if reply.answer is None else RelayOutcome.ANSWERED
        return (OUTCOME, outcome.value), (VERSION, str(self.configuration_version))
