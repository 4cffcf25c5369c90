"""The UDP endpoint between entry VMs: dropped datagrams, dispatch to handlers and the sender."""

import asyncio
import socket
import unittest
from typing import Any

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.gateway.datagrams import Datagrams
from sprucewinch.gateway.events import EventLog
from sprucewinch.gateway.following.follow_role import ProgressNotice
from sprucewinch.gateway.load_sharing.load_summary import LoadRow, LoadSummary
from sprucewinch.gateway.membership.gossip import Heartbeat, HeartbeatRow
from sprucewinch.gateway.quotas.exchange import QuotaAnswer, QuotaRequest, QuotaReturn
from sprucewinch.gateway.regions.region_reports import RegionReport
from sprucewinch.gateway.servers.peer_reports import FailureReport, OverloadReport

_SENDER = ("10.0.0.2", 7000)
_UNREADABLE = "datagrams_unreadable"
_MESSAGES = (
    Heartbeat("vm1", 4711, (HeartbeatRow("vm1", 2, 3, True, False, 100),)),
    ProgressNotice("vm1", 4711, 250),
    OverloadReport("rates-7", 6, 18),
    FailureReport("rates-7"),
    RegionReport("vm1", "east", ()),
    QuotaRequest(1, "shipper", 2),
    QuotaAnswer(1, 2, 250),
    QuotaReturn("shipper", 2),
    LoadSummary(1, 2, (LoadRow(3, 6, 250, 40),)),
)


class Unknown(msgspec.Struct, array_like=True, frozen=True, tag="of-a-later-version"):
    """A message type that no VM of this version handles."""

    value: int


class Events(EventLog):
    """Records counts and fails on an event, as the endpoint reports none."""

    def __init__(self) -> None:
        self.counted: list[str] = []

    def state(self, event: str, **fields: Any) -> None:
        raise AssertionError(f"unexpected line {event}")

    def count(self, counter: str) -> None:
        self.counted.append(counter)


class Endpoint:
    """An endpoint with a handler for each of the given types of message."""

    def __init__(self, message_types: tuple[type, ...]) -> None:
        self.now = 10.0
        self.events = Events()
        self.received: list[tuple[type, Any, float]] = []
        self.datagrams = Datagrams(lambda: self.now, self.events)
        for message_type in message_types:
            self.datagrams.register(message_type, self._handler(message_type))

    def _handler(self, message_type: type) -> Any:
        return lambda message, now: self.received.append((message_type, message, now))

    def receive(self, data: bytes, sender: tuple[str, int] = _SENDER) -> None:
        """Deliver a datagram as the event loop does."""
        self.datagrams.datagram_received(data, sender)


def _endpoint() -> Endpoint:
    return Endpoint(tuple(type(message) for message in _MESSAGES))


def _free_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Dropped(unittest.TestCase):
    def test_unreadable_datagrams_are_counted_and_reach_no_handler(self) -> None:
        complete = msgspec.msgpack.encode(_MESSAGES[0])
        for data in (
            b"",
            b"\xc1",
            b"hello",
            complete[:-1],
            complete + b"\x00",
            b"\x93\xa4beat\xc0\xc0",
        ):
            with self.subTest(data=data):
                endpoint = _endpoint()
                endpoint.receive(data)
                self.assertEqual(endpoint.events.counted, [_UNREADABLE])
                self.assertEqual(endpoint.received, [])
                self.assertIsNone(endpoint.datagrams.last_sender)

    @given(st.binary(max_size=64))
    def test_no_bytes_raise(self, data: bytes) -> None:
        endpoint = _endpoint()
        endpoint.receive(data)
        self.assertEqual(len(endpoint.events.counted) + len(endpoint.received), 1)

    def test_unknown_types_are_counted_and_reach_no_handler(self) -> None:
        endpoint = _endpoint()
        endpoint.receive(msgspec.msgpack.encode(Unknown(1)))
        self.assertEqual(endpoint.events.counted, [_UNREADABLE])
        self.assertEqual(endpoint.received, [])
        self.assertIsNone(endpoint.datagrams.last_sender)

    def test_a_type_without_a_handler_here_is_unknown(self) -> None:
        endpoint = Endpoint((ProgressNotice,))
        endpoint.receive(msgspec.msgpack.encode(_MESSAGES[0]))
        self.assertEqual(endpoint.events.counted, [_UNREADABLE])

    def test_an_endpoint_without_any_handler_drops_everything(self) -> None:
        for message in _MESSAGES:
            endpoint = Endpoint(())
            endpoint.receive(msgspec.msgpack.encode(message))
            self.assertEqual(endpoint.events.counted, [_UNREADABLE])

    def test_a_message_after_an_unreadable_datagram_is_handled(self) -> None:
        endpoint = _endpoint()
        endpoint.receive(b"\xc1")
        endpoint.receive(msgspec.msgpack.encode(_MESSAGES[1]))
        self.assertEqual([message for _, message, _ in endpoint.received], [_MESSAGES[1]])


class Handled(unittest.TestCase):
    def test_each_message_reaches_the_handler_of_its_type_alone(self) -> None:
        endpoint = _endpoint()
        for message in _MESSAGES:
            endpoint.now += 1.0
            endpoint.receive(msgspec.msgpack.encode(message))
        expected = [(type(m), m, 11.0 + at) for at, m in enumerate(_MESSAGES)]
        self.assertEqual(endpoint.received, expected)
        self.assertEqual(endpoint.events.counted, [])

    def test_the_last_sender_is_that_of_the_newest_handled_message(self) -> None:
        endpoint = _endpoint()
        data = msgspec.msgpack.encode(_MESSAGES[1])
        endpoint.receive(data, ("10.0.0.2", 7000))
        self.assertEqual(endpoint.datagrams.last_sender, "10.0.0.2:7000")
        endpoint.receive(data, ("10.0.0.3", 7001))
        self.assertEqual(endpoint.datagrams.last_sender, "10.0.0.3:7001")
        endpoint.receive(b"\xc1", ("10.0.0.4", 7002))
        self.assertEqual(endpoint.datagrams.last_sender, "10.0.0.3:7001")


class OverLoopback(unittest.IsolatedAsyncioTestCase):
    async def test_nothing_is_sent_before_listening(self) -> None:
        Endpoint(()).datagrams.send(_MESSAGES[1], ["127.0.0.1:9"])

    async def test_a_message_passes_between_two_endpoints(self) -> None:
        first, second = _endpoint(), _endpoint()
        for endpoint in (first, second):
            await endpoint.datagrams.listen(f"127.0.0.1:{_free_port()}")
            assert endpoint.datagrams.transport is not None
            self.addCleanup(endpoint.datagrams.transport.close)
        first.datagrams.send(_MESSAGES[0], [self._address(second)])
        async with asyncio.timeout(5.0):
            while not second.received:
                await asyncio.sleep(0.01)
        self.assertEqual(second.received, [(Heartbeat, _MESSAGES[0], 10.0)])
        self.assertEqual(second.datagrams.last_sender, self._address(first))

    def _address(self, endpoint: Endpoint) -> str:
        assert endpoint.datagrams.transport is not None
        ip, port = endpoint.datagrams.transport.get_extra_info("sockname")
        return f"{ip}:{port}"


if __name__ == "__main__":
    unittest.main()
