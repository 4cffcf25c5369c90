"""Conversion between requests and the frames of `peer.proto` that entry VMs send each other.

The module owns the encoding and decoding of each kind of frame, and `FrameBody`, a request body
that arrives in frames. It relies on the generated messages and `net`; `peer_client` and
`peer_server` send and receive the frames.
"""

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Optional

from ...net.body import Body, CallerLeftError
from ...net.outcome import Outcome, Reason, Refusal
from ...net.request import Headers, Request
from .peer_pb2 import Accepted, End, Frame, Head, Header, Open, Refused

MAX_CHUNK_BYTES = 65_536
"""Most bytes of a body in one frame."""

ReceiveFrame = Callable[[], Awaitable[Optional[Frame]]]
"""Returns the next frame; None when the stream has ended."""


def open_frame(request: Request, *, now: float, from_region: str, home: bool) -> Frame:
    """Return the first frame of a forwarded request. `now` is monotonic time, in seconds."""
    body = request.body
    return Frame(
        open=Open(
            request_id=request.request_id,
            service=request.service,
            client_region=request.client_region,
            method=request.method,
            target=request.target,
            headers=[Header(name=name, value=value) for name, value in request.headers],
            deadline_ms=max(0, int((request.deadline - now) * 1000)),
            ticket=request.ticket or "",
            body_complete=body.complete,
            first_chunk=body.first,
            from_region=from_region,
            home=home,
        )
    )


def decode_request(opened: Open, body: Body, now: float) -> Request:
    """Return the request that an opening frame describes. `now` is monotonic time, in seconds."""
    return Request(
        request_id=opened.request_id,
        service=opened.service,
        client_region=opened.client_region,
        method=opened.method,
        target=opened.target,
        headers=decode_headers(opened.headers),
        body=body,
        deadline=now + opened.deadline_ms / 1000,
        ticket=opened.ticket or None,
    )


def decode_headers(headers: object) -> Headers:
    """Return the headers of a frame as pairs of name and value."""
    return [(header.name, header.value) for header in headers]  # type: ignore[attr-defined]


def accepted_frame(request_id: str) -> Frame:
    """Return the frame that asks for the rest of a body."""
    return Frame(accepted=Accepted(request_id=request_id))


def head_frame(request_id: str, status: int, headers: Headers) -> Frame:
    """Return the first frame of an answer: status and headers."""
    listed = [Header(name=name, value=value) for name, value in headers]
    return Frame(head=Head(request_id=request_id, status=status, headers=listed))


def end_frame(request_id: str, length: int) -> Frame:
    """Return the frame that ends a body. `length` is the body's total length, in bytes."""
    return Frame(end=End(request_id=request_id, length=length))


def refused_frame(request_id: str, refusal: Refusal) -> Frame:
    """Return the frame that refuses a request."""
    return Frame(
        refused=Refused(
            request_id=request_id,
            outcome=refusal.outcome.value,
            reason=refusal.reason.value,
            retry_after_ms=refusal.retry_after_ms,
        )
    )


def decode_refusal(refused: Refused) -> Refusal:
    """Return the refusal that a frame carries; an unknown reason becomes `PEER_FAILED`."""
    try:
        reason = Reason(refused.reason)
    except ValueError:
        # A newer release may send reasons that this one lacks; the outcome is still valid.
        reason = Reason.PEER_FAILED
    outcome = Outcome.NOT_RUN if refused.outcome == Outcome.NOT_RUN.value else Outcome.UNKNOWN
    return Refusal(outcome, reason, refused.retry_after_ms)


def chunk_frames(chunk: bytes) -> list[Frame]:
    """Return the frames of a piece of a body."""
    return [
        Frame(chunk=chunk[i : i + MAX_CHUNK_BYTES]) for i in range(0, len(chunk), MAX_CHUNK_BYTES)
    ]


class FrameBody(Body):
    """A request body that arrives in frames.

    Args:
        opened: The opening frame.
        receive: Receives frames.
        request_rest: Asks the sender for the rest of the body.
    """

    def __init__(
        self, opened: Open, receive: ReceiveFrame, request_rest: Callable[[], Awaitable[None]]
    ) -> None:
        self.first = opened.first_chunk
        self.complete = opened.body_complete
        self._request_id = opened.request_id
        self._receive = receive
        self._request_rest = request_rest
        self._rest_requested = False
        self._length = len(opened.first_chunk)

    async def next_chunk(self) -> Optional[bytes]:
        """Return the next piece, or None at the end.

        Raises:
            CallerLeftError: When the stream ended early or the length is not the one sent.
        """
        if not self._rest_requested:
            self._rest_requested = True
            await self._request_rest()
        frame = await self._receive()
        kind = frame.WhichOneof("kind") if frame is not None else None
        if frame is not None and kind == "chunk":
            self._length += len(frame.chunk)
            return frame.chunk
        ended = kind == "end" and frame.end.request_id == self._request_id
        if ended and frame.end.length == self._length:
            return None
        raise CallerLeftError("the sender closed the stream before the body was complete")


async def body_frames(body: Body, request_id: str) -> AsyncIterator[Frame]:
    """Yield the frames of a body after its first chunk, then its end frame."""
    length = len(body.first)
    body.consumed = True
    while (chunk := await body.next_chunk()) is not None:
        length += len(chunk)
        for frame in chunk_frames(chunk):
            yield frame
    yield end_frame(request_id, length)
