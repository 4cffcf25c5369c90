"""Following a peer: a VM that the store refuses catches up, and deltas that cannot be fetched."""

import asyncio
import json
import random
import unittest
from typing import Any

from sprucewinch.gateway.datagrams import Datagrams
from sprucewinch.gateway.events import EventLog
from sprucewinch.gateway.following.deltas import DeltaUnavailableError, encode_delta, fetch_delta
from sprucewinch.gateway.following.fetch_failures import FetchFailures
from sprucewinch.gateway.following.follow_role import FollowRole
from sprucewinch.gateway.following.large_items import LargeItems
from sprucewinch.gateway.following.notices import ProgressNotices
from sprucewinch.gateway.following.peer_follower import PeerFollower
from sprucewinch.gateway.membership.gossip import Gossip
from sprucewinch.gateway.state.outages import StoreOutages
from sprucewinch.gateway.state.replica import Delta, Item
from sprucewinch.gateway.state.store_view import StoreView
from sprucewinch.gateway.timing import Timing
from standins.consortium_store import Fault

from .gateway_process import CONFIGURATION, GatewayCase


class RefusedByStore(GatewayCase):
    vm_count = 2

    async def test_a_vm_that_the_store_refuses_learns_from_its_peer(self) -> None:
        first, second = self.vms
        await self.until(lambda: self._knows_all(first), "the VMs to know each other")
        self.store.faults_by_machine[second.name] = Fault.BUSY
        await self.until(lambda: self._lost_store(second), "the VM to be turned away")
        table = {**CONFIGURATION, "Version": "r9"}
        self.store.put("op/config", json.dumps(table).encode())
        await self.until(lambda: self._version(second, 9), "the version to arrive")

    async def _knows_all(self, vm) -> bool:
        return len(await self.directory_addresses(vm)) == 2

    async def _lost_store(self, vm) -> bool:
        return any(line["event"] == "store" and not line["up"] for line in vm.lines)

    async def _version(self, vm, version: int) -> bool:
        async with self.session.get(f"http://{vm.ip}:9464/state") as response:
            state = json.loads(await response.read())
        return state["configuration_version"] == version


class Peer:
    """A peer listener that answers every request with the same response."""

    def __init__(self, status: int, body: bytes) -> None:
        head = f"HTTP/1.1 {status} x\r\ncontent-length: {len(body)}\r\n\r\n"
        self.answer = head.encode() + body

    async def start(self, case: unittest.IsolatedAsyncioTestCase) -> str:
        """Listen until the test ends, and return the address."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        case.addAsyncCleanup(server.wait_closed)
        case.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.answer)
        writer.close()


class Events(EventLog):
    """Records events and counts."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, Any]]] = []
        self.counted: list[str] = []

    def state(self, event: str, **fields: Any) -> None:
        self.lines.append((event, fields))

    def count(self, counter: str) -> None:
        self.counted.append(counter)


class Unreachable(unittest.IsolatedAsyncioTestCase):
    async def test_an_unreachable_peer_is_an_error_with_a_reason(self) -> None:
        with self.assertRaisesRegex(DeltaUnavailableError, "check that the peer VM runs"):
            await fetch_delta("127.0.0.1:9", 0)

    async def test_an_answer_without_a_delta_is_an_error_with_its_reason(self) -> None:
        for status, body, reason in (
            (503, b"", "status 503, expected 200"),
            (200, b"\xc1", "not a delta"),
            (200, b"", "not a delta"),
        ):
            with self.subTest(status=status, body=body):
                address = await Peer(status, body).start(self)
                with self.assertRaisesRegex(DeltaUnavailableError, reason):
                    await fetch_delta(address, 0)

    async def test_a_delta_arrives_whole(self) -> None:
        delta = Delta((Item("op/config", b"{}", 7),), (), 9, is_snapshot=True)
        address = await Peer(200, encode_delta(delta)).start(self)
        self.assertEqual(await fetch_delta(address, 0), delta)


class FailedDeltas(unittest.IsolatedAsyncioTestCase):
    async def test_each_is_counted_and_some_are_logged_with_the_reason(self) -> None:
        self.now = 100.0
        events = Events()
        follower = self._follower(events)
        address = await Peer(503, b"").start(self)
        follower.datagrams.last_sender = address
        for now in (101.0, 102.0, 105.9, 106.0):
            self.now = now
            await follower.step()
        self.assertEqual(events.counted, ["deltas_failed"] * 4)
        self.assertEqual([event for event, _ in events.lines], ["delta-failed"] * 2)
        fields = events.lines[0][1]
        self.assertEqual(fields["peer"], address)
        self.assertIn("status 503", fields["problem"])

    def _follower(self, events: Events) -> PeerFollower:
        rng = random.Random(1)
        timing = Timing(lambda: self.now, rng)
        view = StoreView(decoder=None)  # type: ignore[arg-type]
        gossip = Gossip("vm0", 1, rng)
        datagrams = Datagrams(timing.monotonic)
        role = FollowRole("vm0", "r", gossip, view, StoreOutages(1.5), regions=1)
        notices = ProgressNotices(role, datagrams, timing)
        failures = FetchFailures(events, timing.monotonic)
        large_items = LargeItems(view, role, notices, failures, events, timing)
        return PeerFollower(view, role, notices, datagrams, timing, large_items, failures)
