"""Calls to another entry VM that is late with some of its answers."""

import asyncio
import unittest
from unittest import mock

from grpclib.server import Server, Stream

from sprucewinch.clock import SystemClock
from sprucewinch.hall.peers import peer_client
from sprucewinch.hall.peers.frames import end_frame, head_frame
from sprucewinch.hall.peers.peer_client import PeerClient
from sprucewinch.hall.peers.peer_grpc import PeerBase
from sprucewinch.hall.peers.peer_pb2 import (
    ExchangeReply,
    ExchangeRequest,
    Frame,
    Member,
)
from sprucewinch.hall.requests.backend import Attempt
from sprucewinch.net.body import Body
from sprucewinch.net.outcome import Reason
from sprucewinch.net.request import Headers, Request, Responder

_EXCHANGE_TIMEOUT_S = 0.1
"""Longest time for an exchange in these tests, in seconds."""

_TIMEOUT_S = 30.0
"""Time after which a test has failed, in seconds."""


class _Peer(PeerBase):
    """A peer that never answers an exchange, and answers a request once the test allows it."""

    def __init__(self) -> None:
        self.running = asyncio.Event()
        self.may_answer = asyncio.Event()

    async def Exchange(  # noqa: N802 - named by the protocol
        self, stream: "Stream[ExchangeRequest, ExchangeReply]"
    ) -> None:
        await asyncio.Event().wait()

    async def Handle(self, stream: "Stream[Frame, Frame]") -> None:  # noqa: N802
        opening = await stream.recv_message()
        assert opening is not None
        self.running.set()
        await self.may_answer.wait()
        request_id = opening.open.request_id
        await stream.send_message(head_frame(request_id, 200, []))
        await stream.send_message(end_frame(request_id, 0))


class _Empty(Body):
    first = b""
    complete = True

    async def next_chunk(self) -> bytes | None:
        return None


class _Answer(Responder):
    async def start(self, status: int, headers: Headers) -> None:
        self.started = True
        self.status = status

    async def write(self, chunk: bytes) -> None:
        raise AssertionError("the answer has no body")

    async def finish(self) -> None:
        self.finished = True


class LatePeer(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.enterContext(
            mock.patch.object(peer_client, "_EXCHANGE_TIMEOUT_S", _EXCHANGE_TIMEOUT_S)
        )
        self.peer = _Peer()
        server = Server([self.peer])
        await server.start("127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.clock = SystemClock()
        self.client = PeerClient("east", self.clock)
        self.addCleanup(self.client.close)

    def forward(self, answer: Responder, ticket: str | None) -> "asyncio.Task[Attempt]":
        """Forward a request to the peer; one with a ticket is an operation."""
        until = self.clock.monotonic() + _TIMEOUT_S
        request = Request("q1", "booking", "east", "POST", "/a", [], _Empty(), until, ticket)
        member = Member(peer_address=self.address)
        call = self.client.forward(member, request, answer, home=False)
        return asyncio.create_task(call)

    async def _fail_exchange(self) -> None:
        """Let an exchange fail while the peer runs a request."""
        await self.peer.running.wait()
        self.assertIsNone(await self.client.exchange(self.address, ExchangeRequest()))

    async def test_a_failed_exchange_ends_no_operation_at_the_same_peer(self) -> None:
        """The operation must not end as unknown when the peer, which was only late, answers it."""
        answer = _Answer()
        sending = self.forward(answer, "ticket")
        async with asyncio.timeout(_TIMEOUT_S):
            await self._fail_exchange()
            self.peer.may_answer.set()
            attempt = await sending
        self.assertIsNone(attempt.refusal)
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.client.channels, {})

    async def test_a_failed_exchange_ends_a_repeatable_request(self) -> None:
        sending = self.forward(_Answer(), None)
        async with asyncio.timeout(_TIMEOUT_S):
            await self._fail_exchange()
            attempt = await sending
        assert attempt.refusal is not None
        self.assertEqual(attempt.refusal.reason, Reason.PEER_FAILED)

    async def test_the_next_call_opens_new_channels(self) -> None:
        self.assertIsNone(await self.client.exchange(self.address, ExchangeRequest()))
        self.assertEqual(self.client.channels, {})


if __name__ == "__main__":
    unittest.main()
