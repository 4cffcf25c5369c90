"""Status lines of backend servers in trouble: what is no status of HTTP is no answer.

A server whose status line said 000 let the caller wait for the route's timeout, as three digits
below 100 were taken for an interim answer. One that said 600 made the entry VM close the caller's
connection without an answer. No other server was asked in either case.
"""

import asyncio
import unittest
from typing import NamedTuple, Optional, Union

import aiohttp
from hypothesis import example, given, settings
from hypothesis import strategies as st

from sprucewinch.gateway.requests.client_request import RefusalReason
from sprucewinch.net.connection import ExchangeFailedError, connect
from sprucewinch.net.http_client import make_session
from standins.scripted_server import Run
from standins.virtual import VirtualLoop, pass_time, run_virtual

from .formats_gateway import asgi
from .relay_fleet import RelayFleet

_ADDRESS = "10.0.0.1:80"
_AT_ONCE_S = 0.3
"""Time within which a request is answered that meets an invalid status: far less than the timeout
of its route, 0.8 s, and enough for two runs."""

_WITHOUT_BODY = (204, 304)
_UPGRADE = 101
_MISDIRECTED = 421


def _is_final(status: int) -> bool:
    """The oracle: which three digits are the status of a final answer."""
    return 200 <= status <= 599


class _RawServer(asyncio.Protocol):
    """Answers each request with the bytes of a status line and a body."""

    def __init__(self, data: bytes) -> None:
        self.data = data

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, _data: bytes) -> None:
        assert isinstance(self.transport, asyncio.Transport)
        self.transport.write(self.data)


async def _exchange(loop: VirtualLoop, data: bytes) -> Union[int, str]:
    """Return the status of an answer, or the text of the failure; fails after 5 s."""
    loop.listen(_ADDRESS, lambda: _RawServer(data))
    connection = await connect(_ADDRESS, 1.0)
    began = loop.time()
    try:
        async with asyncio.timeout(5.0):
            return (await connection.exchange(b"GET / HTTP/1.1\r\n\r\n")).status
    except ExchangeFailedError as error:
        assert loop.time() - began < _AT_ONCE_S
        return str(error)
    finally:
        connection.close()


class OneConnection(unittest.TestCase):
    def test_each_of_a_thousand_status_lines_is_an_answer_or_fails_at_once(self) -> None:
        # Guards against statuses that are taken for interim answers, or handed on and then break
        # the caller's connection.
        async def main(loop: VirtualLoop) -> dict[int, Union[int, str]]:
            found = {}
            for status in range(1000):
                body = b"" if status in _WITHOUT_BODY else b"ok"
                line = f"HTTP/1.1 {status:03} X\r\ncontent-length: {len(body)}\r\n\r\n"
                found[status] = await _exchange(loop, line.encode() + body)
            return found

        for status, result in run_virtual(main).items():
            with self.subTest(status=status):
                self.assertEqual(result == status, _is_final(status), result)

    def test_the_failure_names_the_status_and_what_is_expected(self) -> None:
        async def main(loop: VirtualLoop) -> list[Union[int, str]]:
            lines = (b"000 X", b"600 X")
            return [
                await _exchange(loop, b"HTTP/1.1 " + line + b"\r\ncontent-length: 0\r\n\r\n")
                for line in lines
            ]

        expected = ["status 000: expected 100 to 599", "status 600: expected 100 to 599"]
        self.assertEqual(run_virtual(main), expected)

    def test_interim_answers_without_a_body_are_passed_over(self) -> None:
        async def main(loop: VirtualLoop) -> list[Union[int, str]]:
            final = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
            return [
                await _exchange(loop, b"HTTP/1.1 %d X\r\n\r\n" % status + final)
                for status in range(100, 200)
                if status != _UPGRADE
            ]

        self.assertEqual(set(run_virtual(main)), {200})


class _Met(NamedTuple):
    """What became of a request whose first run is answered with a status.

    Args:
        status: Status of the final answer; None without one.
        refusal: Reason of the entry VM's own answer.
        runs: How often the request ran.
        seconds: Time until the answer.
    """

    status: Optional[int]
    refusal: Optional[RefusalReason]
    runs: int
    seconds: float


async def _meet(loop: VirtualLoop, status: int, *, once: bool, signs: bool, relayed: bool) -> _Met:
    fleet = RelayFleet(loop)
    await pass_time(1.0)
    vm = fleet.vms[0]
    if relayed:
        await fleet.lose_links(vm)
    answered: list[str] = []

    def status_of(run: Run) -> str:
        answered.append(run.request_id)
        first = run.request_id == "q" and answered.count("q") == 1
        return f"{status:03}" if first else "200"

    for server in fleet.servers:
        server.status_of, server.signs = status_of, signs or status >= 300
        server.answer_bytes = b"" if status in _WITHOUT_BODY else b"the whole answer"
    request = fleet.request("q", once=once)
    began = loop.time()
    reply = await vm.run(request)
    return _Met(reply.status, reply.refusal, fleet.runs("q"), loop.time() - began)


class ThroughTheVm(unittest.TestCase):
    @given(st.integers(0, 999), st.booleans(), st.booleans(), st.booleans())
    @example(status=0, once=True, signs=True, relayed=False)
    @example(status=0, once=False, signs=False, relayed=True)
    @example(status=199, once=True, signs=True, relayed=False)
    @example(status=600, once=True, signs=True, relayed=True)
    @example(status=999, once=False, signs=True, relayed=False)
    @settings(max_examples=150, deadline=None)
    def test_any_status_is_handed_on_or_the_attempt_has_failed_at_once(
        self, status: int, once: bool, signs: bool, relayed: bool
    ) -> None:
        # Guards against callers that wait for the timeout, and servers that nobody asks again.
        async def main(loop: VirtualLoop) -> _Met:
            return await _meet(loop, status, once=once, signs=signs, relayed=relayed)

        met = run_virtual(main)
        self.assertLess(met.seconds, _AT_ONCE_S)
        valid = _is_final(status) and (signs or status >= 300)
        if once and not valid:
            self.assertEqual((met.status, met.runs), (502, 1))
        elif once:
            misdirected = status == _MISDIRECTED
            self.assertEqual((met.status, met.runs), (200, 2) if misdirected else (status, 1))
        else:
            self.assertIn(met.status, (200, status) if valid else (200, 502))
            if signs and not valid:
                self.assertEqual((met.status, met.runs), (200, 2))

    def test_a_caller_keeps_its_connection_whatever_the_status(self) -> None:
        # Guards against a status that the caller's connection cannot write.
        async def main(loop: VirtualLoop, status: int) -> int:
            fleet = RelayFleet(loop)
            await pass_time(1.0)
            for server in fleet.servers:
                server.status_of = lambda _run: f"{status:03}"
            headers = (("x-request-id", "q"),)
            return (await asgi(fleet.vms[0].app, "/book/a", headers=headers)).status

        for status in (0, 1, 99, 600, 777, 999):
            with self.subTest(status=status):
                self.assertEqual(run_virtual(lambda loop, s=status: main(loop, s)), 502)


class OwnInterface(unittest.IsolatedAsyncioTestCase):
    async def _get(self, status: str) -> Union[int, str]:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(f"HTTP/1.1 {status} X\r\ncontent-length: 2\r\n\r\nok".encode())
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        timeout = aiohttp.ClientTimeout(total=2.0)
        async with server, make_session(max_answer_bytes=1000, timeout=timeout) as session:
            try:
                async with session.get(f"http://127.0.0.1:{port}/") as response:
                    await response.read()
                    return response.status
            except aiohttp.ClientError as error:
                return str(error)

    async def test_clients_take_no_status_outside_of_http(self) -> None:
        # Guards against an answer of status 000 that the client library hands on.
        for status in ("000", "099", "600", "999"):
            with self.subTest(status=status):
                expected = f"status {status}: expected 100 to 599"
                self.assertEqual(await self._get(status), expected)
        for status in (200, 418, 599):
            self.assertEqual(await self._get(str(status)), status)
