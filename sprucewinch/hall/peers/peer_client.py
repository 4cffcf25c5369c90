"""Calls to other entry VMs: exchanges, and requests handed on.

Owns the gRPC channels to each peer address and drops them when an exchange fails. Requests that
may be sent again end then, and are tried elsewhere; operations go on, as their answers may still
come. Relies on `frames` for the messages. Decides whether a handed-on request certainly did not
run: it did not if the stream to the other VM was not opened, or if that VM reports so. Tests:
`test_peer_client`.
"""

import asyncio
import contextlib
from collections.abc import Iterator
from typing import Optional

from grpclib.client import Channel, Stream
from grpclib.config import Configuration as ChannelConfiguration
from grpclib.exceptions import GRPCError, StreamTerminatedError

from ...clock import Clock
from ...net.address import parse_address
from ...net.body import CallerLeftError
from ...net.outcome import Reason, not_run, unknown
from ...net.request import Request, Responder
from ..requests.backend import Attempt, BrokenAnswerError
from ..requests.handover import PeerLink
from .frames import body_frames, headers_of, open_frame, refusal_of
from .peer_grpc import PeerStub
from .peer_pb2 import ExchangeReply, ExchangeRequest, Frame, Member

WINDOW = 1 << 20
"""Bytes on their way on one connection between two entry VMs, and on one stream of it. With it a 1
GB upload was handed on at 165 MB/s and the two daemons grew by 2.2 and 2.0 MB."""

_EXCHANGE_S = 2.0
"""Longest time for an exchange, in seconds: two rounds of it."""

_FAILURES = (GRPCError, StreamTerminatedError, OSError, asyncio.TimeoutError)
"""Errors of a call to a VM that is gone, frozen or cut off."""


class PeerClient(PeerLink):
    """Channels to other entry VMs, kept by address.

    Args:
        region: This VM's region.
        clock: Source of time.
    """

    def __init__(self, region: str, clock: Clock) -> None:
        self.region = region
        self.clock = clock
        self.channels: dict[str, _PeerChannels] = {}
        self.bytes_sent = 0
        self.bytes_received = 0

    def close(self) -> None:
        """Close all channels."""
        for channels in self.channels.values():
            channels.close()
        self.channels.clear()

    async def exchange(self, address: str, message: ExchangeRequest) -> Optional[ExchangeReply]:
        """Exchange members and documents with one entry VM; None when it does not answer."""
        self.bytes_sent += message.ByteSize()
        try:
            stub = PeerStub(self._channels(address).shared)
            reply = await stub.Exchange(message, timeout=_EXCHANGE_S)
        except _FAILURES:
            # The VM's entry grows old by itself, which shows in its `age_s`; no line is needed.
            self.drop(address)
            return None
        self.bytes_received += reply.ByteSize()
        return reply

    async def hand_on(
        self, member: Member, request: Request, responder: Responder, *, home: bool
    ) -> Attempt:
        """Hand a request on to another entry VM; see `PeerLink.hand_on`."""
        left = request.deadline - self.clock.monotonic()
        if left <= 0:
            return Attempt(not_run(Reason.DEADLINE_PASSED))
        hand_on = _HandOn(request, responder)
        frame = open_frame(request, now=self.clock.monotonic(), from_region=self.region, home=home)
        channels = self._channels(member.peer_address)
        try:
            with channels.used(operation=request.ticket is not None) as channel:
                async with (
                    asyncio.timeout(left) as limit,
                    PeerStub(channel).Handle.open() as stream,
                ):
                    await hand_on.run(stream, frame, limit)
        except TimeoutError:
            return hand_on.failed(Reason.BACKEND_TIMEOUT)
        except CallerLeftError:
            return hand_on.failed(Reason.CALLER_LEFT)
        except _FAILURES:
            return hand_on.failed(Reason.PEER_FAILED)
        return hand_on.attempt or hand_on.failed(Reason.PEER_FAILED)

    def drop(self, address: str) -> None:
        """Let go of the channels to an address, so that the next call connects afresh."""
        channels = self.channels.pop(address, None)
        if channels is not None:
            channels.drop()

    def _channels(self, address: str) -> "_PeerChannels":
        channels = self.channels.get(address)
        if channels is None:
            channels = self.channels[address] = _PeerChannels(address)
        return channels


class _PeerChannels:
    """The channels to one peer: operations have one of their own. Each connects when it is used.

    Args:
        address: The peer's address.
    """

    def __init__(self, address: str) -> None:
        self.shared = _channel(address)
        self.for_operations = _channel(address)
        self.operations = 0
        self.dropped = False

    @contextlib.contextmanager
    def used(self, *, operation: bool) -> Iterator[Channel]:
        """Return the channel of a request, which is kept open for an operation until it ends."""
        if not operation:
            yield self.shared
            return
        self.operations += 1
        try:
            yield self.for_operations
        finally:
            self.operations -= 1
            self._close_unused()

    def drop(self) -> None:
        """Close the channels; that of operations once the last one at work there has ended."""
        self.shared.close()
        self.dropped = True
        self._close_unused()

    def close(self) -> None:
        """Close the channels at once."""
        self.shared.close()
        self.for_operations.close()

    def _close_unused(self) -> None:
        if self.dropped and not self.operations:
            self.for_operations.close()


def _channel(address: str) -> Channel:
    host, port = parse_address(address)
    window = ChannelConfiguration(
        http2_connection_window_size=WINDOW, http2_stream_window_size=WINDOW
    )
    return Channel(host, port, config=window)


class _HandOn:
    """One handed-on request.

    Args:
        request: The request.
        responder: Where its answer goes.
    """

    def __init__(self, request: Request, responder: Responder) -> None:
        self.request = request
        self.responder = responder
        self.sent = False
        self.attempt: Optional[Attempt] = None

    async def run(self, stream: Stream, opening: Frame, limit: asyncio.Timeout) -> None:
        """Send the request and pass its answer on; sets `attempt` when a final answer came."""
        await stream.send_request()
        self.sent = True
        await stream.send_message(opening, end=self.request.body.complete)
        frame = await stream.recv_message()
        if frame is not None and frame.WhichOneof("kind") == "accepted":
            frame = await self._send_body(stream)
        if frame is None or not self._ours(frame):
            return
        kind = frame.WhichOneof("kind")
        if kind == "refused":
            refusal = refusal_of(frame.refused)
            self.attempt = Attempt(refusal, sent=True)
        elif kind == "head":
            limit.reschedule(None)
            await self._pass_on(stream, frame)

    async def _send_body(self, stream: Stream) -> Optional[Frame]:
        """Send the rest of the body, while the answer may already begin."""
        answer = asyncio.ensure_future(stream.recv_message())
        sending = asyncio.ensure_future(self._send_frames(stream))
        try:
            done, _ = await asyncio.wait({answer, sending}, return_when=asyncio.FIRST_COMPLETED)
            if sending in done:
                await sending
            return await answer
        finally:
            for task in (answer, sending):
                task.cancel()
            await asyncio.gather(answer, sending, return_exceptions=True)

    async def _send_frames(self, stream: Stream) -> None:
        async for frame in body_frames(self.request.body, self.request.request_id):
            await stream.send_message(frame)
        await stream.end()

    def _ours(self, frame: Frame) -> bool:
        """Return whether a frame belongs to this request; frames without an id never do."""
        kind = frame.WhichOneof("kind")
        if kind not in ("head", "refused", "end"):
            return False
        return getattr(frame, kind).request_id == self.request.request_id

    async def _pass_on(self, stream: Stream, head: Frame) -> None:
        await self.responder.start(head.head.status, headers_of(head.head.headers))
        length = 0
        while (frame := await stream.recv_message()) is not None:
            if frame.WhichOneof("kind") == "chunk":
                length += len(frame.chunk)
                await self.responder.write(frame.chunk)
                continue
            if frame.WhichOneof("kind") == "end" and self._ours(frame):
                if frame.end.length != length:
                    return
                await self.responder.finish()
                self.attempt = Attempt(sent=True)
            return

    def failed(self, reason: Reason) -> Attempt:
        """Return the result of a call that ended without a final answer.

        Raises:
            BrokenAnswerError: When the answer broke off after its start was passed on.
        """
        if self.attempt is not None:
            return self.attempt
        if self.responder.started:
            raise BrokenAnswerError(reason.value)
        if not self.sent:
            return Attempt(not_run(Reason.NO_ROOM))
        return Attempt(unknown(reason), sent=True)
