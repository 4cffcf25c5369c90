"""The server for other entry VMs: exchanges and requests that they forward.

`PeerServer` refuses requests beyond this VM's limits, runs the others through the dispatcher and
sends each answer back as frames. It owns no state; the node counts the requests in flight. It
relies on `exchange`, `frames` and `requests.dispatch`. A request that was forwarded for this hall's
slots is not forwarded again; one that was forwarded to its ticket's home is decided as if it came
from a caller.
"""

from collections.abc import Callable

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from ...clock import Clock
from ...net.outcome import Reason, Refusal, not_run, unknown
from ...net.request import Headers, Request, Responder
from ..requests.backend import BrokenAnswerError
from ..requests.dispatch import Dispatcher
from ..requests.retry_after import DEFAULT_RETRY_AFTER_MS
from ..requests.tickets import parse_ticket
from .exchange import Exchange
from .frames import (
    FrameBody,
    accepted_frame,
    chunk_frames,
    decode_request,
    end_frame,
    head_frame,
    refused_frame,
)
from .peer_grpc import PeerBase
from .peer_pb2 import ExchangeReply, ExchangeRequest, Frame, Open

MAX_REQUESTS = 1000
"""Most requests in flight by default; the same as the default of the setting
`limits.requests`."""


class PeerServer(PeerBase):
    """Serves exchanges and forwarded requests.

    Args:
        exchange: Answers exchanges.
        dispatcher: Runs requests.
        clock: Source of time.
        max_requests: Requests in flight at this VM beyond which forwarded ones are refused.
        changed: Called when an exchange delivered a newer document.
    """

    def __init__(
        self,
        exchange: Exchange,
        dispatcher: Dispatcher,
        clock: Clock,
        *,
        max_requests: int = MAX_REQUESTS,
        changed: Callable[[], None] = lambda: None,
    ) -> None:
        self.exchange = exchange
        self.dispatcher = dispatcher
        self.clock = clock
        self.max_requests = max_requests
        self.changed = changed

    async def Exchange(  # noqa: N802 - named by the protocol
        self, stream: "Stream[ExchangeRequest, ExchangeReply]"
    ) -> None:
        """Answer an exchange."""
        message = await stream.recv_message()
        if message is None:
            return
        before = self.exchange.node.documents.revisions()
        reply = self.exchange.handle_request(message, self.clock.monotonic())
        if self.exchange.node.documents.revisions() != before:
            self.changed()
        await stream.send_message(reply)

    async def Handle(self, stream: "Stream[Frame, Frame]") -> None:  # noqa: N802
        """Run a forwarded request and send its answer back.

        Raises:
            GRPCError: When the first frame is no opening frame, or the answer broke off.
        """
        frame = await stream.recv_message()
        if frame is None or frame.WhichOneof("kind") != "open":
            raise GRPCError(
                Status.INVALID_ARGUMENT, "the first frame of a request must be an opening frame"
            )
        opened = frame.open
        responder = _FrameResponder(stream, opened.request_id)
        node = self.dispatcher.node
        node.in_flight.enter()
        try:
            refusal = await self._run(stream, opened, responder)
        except BrokenAnswerError as error:
            raise GRPCError(Status.DATA_LOSS, str(error)) from None
        finally:
            node.in_flight.leave()
        if refusal is not None:
            await stream.send_message(refused_frame(opened.request_id, refusal))

    async def _run(
        self, stream: "Stream[Frame, Frame]", opened: Open, responder: Responder
    ) -> Refusal | None:
        node = self.dispatcher.node
        now = self.clock.monotonic()

        async def request_rest() -> None:
            await stream.send_message(accepted_frame(opened.request_id))

        request = decode_request(opened, FrameBody(opened, stream.recv_message, request_rest), now)
        if opened.home:
            return await self._run_home(request, responder)
        if node.in_flight.count > self.max_requests:
            return not_run(Reason.OVERLOADED_VM, DEFAULT_RETRY_AFTER_MS)
        if not node.cross_link(opened.from_region, now):
            return not_run(Reason.LINK_FULL, DEFAULT_RETRY_AFTER_MS)
        attempt = await self.dispatcher.run_here(request, responder)
        return attempt.refusal

    async def _run_home(self, request: Request, responder: Responder) -> Refusal | None:
        """Run an operation at its ticket's home; refuse it when this process is not the home."""
        tickets = self.dispatcher.node.tickets
        ticket = parse_ticket(request.ticket or "")
        if tickets is None or ticket is None or not tickets.is_home(ticket):
            return unknown(Reason.TICKET_HOME_LOST)
        return await self.dispatcher.run(request, responder)


class _FrameResponder(Responder):
    """Sends an answer as frames.

    Args:
        stream: The stream of the request.
        request_id: The request's id, which the first and the last frame of the answer carry.
    """

    def __init__(self, stream: "Stream[Frame, Frame]", request_id: str) -> None:
        self.stream = stream
        self.request_id = request_id
        self.length = 0

    async def start(self, status: int, headers: Headers) -> None:
        self.started = True
        await self.stream.send_message(head_frame(self.request_id, status, headers))

    async def write(self, chunk: bytes) -> None:
        self.length += len(chunk)
        for frame in chunk_frames(chunk):
            await self.stream.send_message(frame)

    async def finish(self) -> None:
        await self.stream.send_message(end_frame(self.request_id, self.length))
