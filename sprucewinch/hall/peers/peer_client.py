"""Calls to other entry VMs: exchanges and forwarded requests.

`PeerClient` owns the gRPC channels to each peer address and closes them when an exchange fails.
Requests that may be repeated then fail and are retried elsewhere; operations continue, since their
answers may still arrive. `frames` converts the messages.

The client also decides whether a forwarded request certainly did not run: that is so if the stream
to the other VM was never opened, or if that VM reports it. Tested by `tests.test_peer_client`.
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
from ..requests.forwarding import PeerForwarder
from .frames import body_frames, decode_headers, decode_refusal, open_frame
from .peer_grpc import PeerStub
from .peer_pb2 import ExchangeReply, ExchangeRequest, Frame, Member

FLOW_CONTROL_WINDOW_BYTES = 1 << 20
"""HTTP/2 flow-control window of a connection between two entry VMs and of each of its streams, in
bytes. With it, a 1 GB upload was forwarded at 165 MB/s and the memory of the two daemons grew by
2.2 and 2.0 MB."""

_EXCHANGE_TIMEOUT_S = 2.0
"""Longest time for an exchange, in seconds: two intervals of `loops.EXCHANGE_S`."""

_CALL_ERRORS = (GRPCError, StreamTerminatedError, OSError, asyncio.TimeoutError)
"""Errors of a call to a VM that has ended, is frozen or cannot be reached."""


class PeerClient(PeerForwarder):
    """Client of other entry VMs; keeps the channels to each address.

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
        """Exchange members and documents with one entry VM.

        Returns:
            Its reply; None when the call failed or took longer than `_EXCHANGE_TIMEOUT_S`.
        """
        self.bytes_sent += message.ByteSize()
        try:
            stub = PeerStub(self._channels(address).shared)
            reply = await stub.Exchange(message, timeout=_EXCHANGE_TIMEOUT_S)
        except _CALL_ERRORS:
            # No log line is needed: the failure shows as a growing `age_s` of the VM's entry.
            self.drop(address)
            return None
        self.bytes_received += reply.ByteSize()
        return reply

    async def forward(
        self, member: Member, request: Request, responder: Responder, *, home: bool
    ) -> Attempt:
        """Forward a request to another entry VM; see `PeerForwarder.forward`."""
        remaining_s = request.deadline - self.clock.monotonic()
        if remaining_s <= 0:
            return Attempt(not_run(Reason.DEADLINE_PASSED))
        forwarded = _ForwardedRequest(request, responder)
        frame = open_frame(request, now=self.clock.monotonic(), from_region=self.region, home=home)
        channels = self._channels(member.peer_address)
        try:
            with channels.channel_of(operation=request.ticket is not None) as channel:
                async with (
                    asyncio.timeout(remaining_s) as timeout,
                    PeerStub(channel).Handle.open() as stream,
                ):
                    await forwarded.run(stream, frame, timeout)
        except TimeoutError:
            return forwarded.failed(Reason.BACKEND_TIMEOUT)
        except CallerLeftError:
            return forwarded.failed(Reason.CALLER_LEFT)
        except _CALL_ERRORS:
            return forwarded.failed(Reason.PEER_FAILED)
        return forwarded.attempt or forwarded.failed(Reason.PEER_FAILED)

    def drop(self, address: str) -> None:
        """Remove and close the channels to an address; the next call opens new ones."""
        channels = self.channels.pop(address, None)
        if channels is not None:
            channels.drop()

    def _channels(self, address: str) -> "_PeerChannels":
        channels = self.channels.get(address)
        if channels is None:
            channels = self.channels[address] = _PeerChannels(address)
        return channels


class _PeerChannels:
    """The channels to one peer: one for operations and one for everything else.

    Each channel connects when it is first used.

    Args:
        address: The peer's address.
    """

    def __init__(self, address: str) -> None:
        self.shared = _channel(address)
        self.for_operations = _channel(address)
        self.operations = 0
        self.dropped = False

    @contextlib.contextmanager
    def channel_of(self, *, operation: bool) -> Iterator[Channel]:
        """Yield the channel for a request; an operation's stays open until the operation ends."""
        if not operation:
            yield self.shared
            return
        self.operations += 1
        try:
            yield self.for_operations
        finally:
            self.operations -= 1
            self._close_if_unused()

    def drop(self) -> None:
        """Close the channels; that of operations only once the last operation on it has ended."""
        self.shared.close()
        self.dropped = True
        self._close_if_unused()

    def close(self) -> None:
        """Close the channels at once."""
        self.shared.close()
        self.for_operations.close()

    def _close_if_unused(self) -> None:
        if self.dropped and not self.operations:
            self.for_operations.close()


def _channel(address: str) -> Channel:
    host, port = parse_address(address)
    window = ChannelConfiguration(
        http2_connection_window_size=FLOW_CONTROL_WINDOW_BYTES,
        http2_stream_window_size=FLOW_CONTROL_WINDOW_BYTES,
    )
    return Channel(host, port, config=window)


class _ForwardedRequest:
    """One forwarded request.

    Args:
        request: The request.
        responder: Receives the answer.
    """

    def __init__(self, request: Request, responder: Responder) -> None:
        self.request = request
        self.responder = responder
        self.sent = False
        self.attempt: Optional[Attempt] = None

    async def run(self, stream: Stream, opening: Frame, timeout: asyncio.Timeout) -> None:
        """Send the request and relay its answer; `attempt` is set when the final frame arrives."""
        await stream.send_request()
        self.sent = True
        await stream.send_message(opening, end=self.request.body.complete)
        frame = await stream.recv_message()
        if frame is not None and frame.WhichOneof("kind") == "accepted":
            frame = await self._send_body(stream)
        if frame is None or not self._has_request_id(frame):
            return
        kind = frame.WhichOneof("kind")
        if kind == "refused":
            refusal = decode_refusal(frame.refused)
            self.attempt = Attempt(refusal, sent=True)
        elif kind == "head":
            timeout.reschedule(None)
            await self._relay_answer(stream, frame)

    async def _send_body(self, stream: Stream) -> Optional[Frame]:
        """Send the rest of the body, and return the first frame of the answer.

        The answer may begin before the body is complete.
        """
        receiving = asyncio.ensure_future(stream.recv_message())
        sending = asyncio.ensure_future(self._send_frames(stream))
        try:
            done, _ = await asyncio.wait({receiving, sending}, return_when=asyncio.FIRST_COMPLETED)
            if sending in done:
                await sending
            return await receiving
        finally:
            for task in (receiving, sending):
                task.cancel()
            await asyncio.gather(receiving, sending, return_exceptions=True)

    async def _send_frames(self, stream: Stream) -> None:
        async for frame in body_frames(self.request.body, self.request.request_id):
            await stream.send_message(frame)
        await stream.end()

    def _has_request_id(self, frame: Frame) -> bool:
        """Return whether a frame carries this request's id; kinds without an id never match."""
        kind = frame.WhichOneof("kind")
        if kind not in ("head", "refused", "end"):
            return False
        return getattr(frame, kind).request_id == self.request.request_id

    async def _relay_answer(self, stream: Stream, head: Frame) -> None:
        await self.responder.start(head.head.status, decode_headers(head.head.headers))
        length = 0
        while (frame := await stream.recv_message()) is not None:
            if frame.WhichOneof("kind") == "chunk":
                length += len(frame.chunk)
                await self.responder.write(frame.chunk)
                continue
            if frame.WhichOneof("kind") == "end" and self._has_request_id(frame):
                if frame.end.length != length:
                    return
                await self.responder.finish()
                self.attempt = Attempt(sent=True)
            return

    def failed(self, reason: Reason) -> Attempt:
        """Return the result of a call that ended without a final answer.

        Raises:
            BrokenAnswerError: When the answer broke off after its start had been relayed.
        """
        if self.attempt is not None:
            return self.attempt
        if self.responder.started:
            raise BrokenAnswerError(reason.value)
        if not self.sent:
            return Attempt(not_run(Reason.NO_ROOM))
        return Attempt(unknown(reason), sent=True)
