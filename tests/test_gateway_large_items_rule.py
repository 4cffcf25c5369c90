"""`LargeItems` on the virtual loop, with a scripted peer.

One transfer runs at a time; a newer version waits for it; a failed fetch is repeated only after the
next delta; the store is not called while bytes arrive.
"""

import asyncio
import random
import unittest
from collections.abc import Callable, Coroutine
from typing import Any
from urllib.parse import parse_qsl, urlsplit

from sprucewinch.gateway.datagrams import Datagrams
from sprucewinch.gateway.following.deltas import encode_item
from sprucewinch.gateway.following.fetch_failures import FetchFailures
from sprucewinch.gateway.following.follow_role import FollowReason, FollowRole, ProgressNotice
from sprucewinch.gateway.following.large_items import LargeItems
from sprucewinch.gateway.following.notices import ProgressNotices
from sprucewinch.gateway.membership.gossip import Gossip
from sprucewinch.gateway.state.outages import StoreOutages
from sprucewinch.gateway.state.replica import DeferredItem, Delta, Item, Removal
from sprucewinch.gateway.state.store_view import StoreView
from sprucewinch.gateway.timing import Timing
from standins.virtual import MemoryTransport, VirtualLoop, pass_time, run_virtual

from .gateway_fakes import ResourceTableDecoder
from .test_gateway_peer_follower import Events

_ADDRESS = "10.0.0.1:70"
_PIECES = 5
_PAUSE_S = 0.4
_TRANSFER_S = _PIECES * _PAUSE_S
"""Duration of a response in seconds; its pauses are shorter than the timeout between bytes."""

_CATCH_UP_TIMEOUT_S = 0.8
"""Time behind an announced revision after which a VM follows the store, in seconds."""

_MAX_TRANSFER_EXTENSION_S = 0.7
"""Longest extension of that time while bytes of a transfer arrive, in seconds."""

_UNREACHABLE_ADDRESS = "10.0.0.9:70"
"""No peer listens at this address."""


class ScriptedPeer:
    """A peer listener that sends its items slowly and records the requests.

    Args:
        loop: The loop.

    Attributes:
        items: Its items, by key.
        stops_after: Pieces after which it stops sending.
        pause_s: Pause before each piece, in seconds.
        requested: Key and revision of each request.
        running: Transfers in progress.
        max_running: Most transfers in progress at once.
    """

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop
        self.items: dict[str, Item] = {}
        self.stops_after = _PIECES
        self.pause_s = _PAUSE_S
        self.requested: list[tuple[str, int]] = []
        self.running = 0
        self.max_running = 0
        loop.listen(_ADDRESS, lambda: _PeerProtocol(self))

    def add(self, key: str, revision: int) -> DeferredItem:
        """Add an item, and return it as a delta names it."""
        item = self.items[key] = Item(key, b"%d" % revision * 20_000, revision)
        return DeferredItem(key, revision, len(item.value))

    async def answer(self, transport: MemoryTransport, target: str) -> None:
        """Answer a request piece by piece."""
        query = dict(parse_qsl(urlsplit(target).query))
        self.requested.append((query["key"], int(query["revision"])))
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        await self._send(transport, self.items.get(query["key"]))
        self.running -= 1

    async def _send(self, transport: MemoryTransport, item: Item | None) -> None:
        if item is None:
            transport.write(b"HTTP/1.1 404 x\r\ncontent-length: 0\r\n\r\n")
            return
        body = encode_item(item)
        size = -(-len(body) // _PIECES)
        transport.write(b"HTTP/1.1 200 x\r\ncontent-length: %d\r\n\r\n" % len(body))
        for number in range(self.stops_after):
            await pass_time(self.pause_s)
            transport.write(body[number * size : (number + 1) * size])


class _PeerProtocol(asyncio.Protocol):
    """The peer's end of one connection."""

    def __init__(self, peer: ScriptedPeer) -> None:
        self.peer = peer
        self.tasks: list[asyncio.Task] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, MemoryTransport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        target = data.split()[1].decode()
        self.tasks.append(self.peer.loop.create_task(self.peer.answer(self.transport, target)))


class Vm:
    """The parts of a VM that fetch large items."""

    def __init__(self, loop: VirtualLoop) -> None:
        rng = random.Random(1)
        timing = Timing(loop.time, rng)
        self.loop = loop
        self.events = Events()
        self.view = StoreView(ResourceTableDecoder())
        gossip = Gossip("vm0", 1, rng)
        self.role = FollowRole("vm0", "r", gossip, self.view, StoreOutages(1.5), regions=1)
        self.notices = ProgressNotices(self.role, Datagrams(loop.time), timing)
        failures = FetchFailures(self.events, loop.time)
        self.large_items = LargeItems(
            self.view, self.role, self.notices, failures, self.events, timing
        )
        self.task = loop.create_task(self.large_items.run())

    def enqueue(self, *deferred: DeferredItem) -> None:
        """Enqueue items that a delta of the peer names."""
        self.large_items.enqueue(_ADDRESS, deferred)

    def held(self) -> dict[str, int]:
        """Return the revisions of the held keys."""
        return {key: item.revision for key, item in self.view.replica.items.items()}

    def decide(self, announced: int) -> FollowReason:
        """Receive a fresh notice of a revision, and return the decision."""
        now = self.loop.time()
        self.role.receive(ProgressNotice("vm1", announced, 0), now)
        return self.role.decide(now)


Scenario = Callable[[ScriptedPeer, Vm], Coroutine[Any, Any, None]]


def _run_scenario(scenario: Scenario) -> tuple[ScriptedPeer, Vm]:
    """Run a scenario with a new peer and VM on the virtual loop, and return both."""

    async def main(loop: VirtualLoop) -> tuple[ScriptedPeer, Vm]:
        peer, vm = ScriptedPeer(loop), Vm(loop)
        await scenario(peer, vm)
        return peer, vm

    return run_virtual(main)


class Transfers(unittest.TestCase):
    def test_one_runs_at_a_time(self) -> None:
        async def scenario(peer: ScriptedPeer, vm: Vm) -> None:
            vm.enqueue(*(peer.add(key, number) for number, key in enumerate("abc", start=1)))
            await pass_time(4 * _TRANSFER_S)

        peer, vm = _run_scenario(scenario)
        self.assertEqual(vm.held(), {"a": 1, "b": 2, "c": 3})
        self.assertEqual(len(peer.requested), 3)
        self.assertEqual(peer.max_running, 1)

    def test_an_item_that_is_named_again_during_its_transfer_is_fetched_once(self) -> None:
        async def scenario(peer: ScriptedPeer, vm: Vm) -> None:
            named = peer.add("a", 5)
            vm.enqueue(named)
            await pass_time(_TRANSFER_S / 2)
            vm.enqueue(named)
            await pass_time(3 * _TRANSFER_S)

        peer, vm = _run_scenario(scenario)
        self.assertEqual(peer.requested, [("a", 5)])
        self.assertEqual(vm.held(), {"a": 5})

    def test_a_newer_version_is_fetched_after_the_transfer_that_runs(self) -> None:
        held_between: list[dict[str, int]] = []

        async def scenario(peer: ScriptedPeer, vm: Vm) -> None:
            vm.enqueue(peer.add("a", 5))
            await pass_time(_TRANSFER_S / 2)
            vm.enqueue(peer.add("a", 9))
            await pass_time(_TRANSFER_S)
            held_between.append(vm.held())
            await pass_time(2 * _TRANSFER_S)

        peer, vm = _run_scenario(scenario)
        self.assertEqual(peer.requested, [("a", 5), ("a", 9)])
        self.assertEqual(peer.max_running, 1)
        self.assertEqual(held_between, [{"a": 5}])
        self.assertEqual(vm.held(), {"a": 9})

    def test_of_several_newer_versions_only_the_newest_is_fetched(self) -> None:
        async def scenario(peer: ScriptedPeer, vm: Vm) -> None:
            vm.enqueue(peer.add("a", 5))
            await pass_time(_TRANSFER_S / 2)
            vm.enqueue(peer.add("a", 9))
            vm.enqueue(peer.add("a", 12))
            await pass_time(4 * _TRANSFER_S)

        peer, vm = _run_scenario(scenario)
        self.assertEqual(peer.requested, [("a", 5), ("a", 12)])
        self.assertEqual(vm.held(), {"a": 12})

    def test_an_item_that_arrived_otherwise_meanwhile_is_not_fetched(self) -> None:
        async def scenario(peer: ScriptedPeer, vm: Vm) -> None:
            vm.enqueue(peer.add("a", 5))
            await pass_time(_TRANSFER_S / 2)
            vm.enqueue(peer.add("b", 6))
            vm.view.apply_item(peer.items["b"], vm.loop.time())
            await pass_time(3 * _TRANSFER_S)

        peer, _ = _run_scenario(scenario)
        self.assertEqual(peer.requested, [("a", 5)])

    def test_an_item_that_was_removed_meanwhile_is_not_fetched(self) -> None:
        async def scenario(peer: ScriptedPeer, vm: Vm) -> None:
            vm.enqueue(peer.add("a", 5))
            await pass_time(_TRANSFER_S / 2)
            vm.enqueue(peer.add("b", 6))
            vm.view.apply(Delta((), (Removal("b", 7),), 0), vm.loop.time())
            await pass_time(3 * _TRANSFER_S)

        peer, vm = _run_scenario(scenario)
        self.assertEqual(peer.requested, [("a", 5)])
        self.assertEqual(vm.held(), {"a": 5})

    def test_an_item_that_is_removed_during_its_transfer_stays_removed(self) -> None:
        async def scenario(peer: ScriptedPeer, vm: Vm) -> None:
            vm.enqueue(peer.add("a", 5))
            await pass_time(_TRANSFER_S / 2)
            vm.view.apply(Delta((), (Removal("a", 7),), 7), vm.loop.time())
            await pass_time(2 * _TRANSFER_S)

        _, vm = _run_scenario(scenario)
        self.assertEqual(vm.held(), {})

    def test_an_item_that_is_held_is_not_fetched(self) -> None:
        async def scenario(peer: ScriptedPeer, vm: Vm) -> None:
            named = peer.add("a", 5)
            vm.view.apply_item(peer.items["a"], vm.loop.time())
            vm.enqueue(named)
            await pass_time(_TRANSFER_S)

        peer, _ = _run_scenario(scenario)
        self.assertEqual(peer.requested, [])

    def test_fetching_is_true_during_a_transfer(self) -> None:
        shown: list[bool] = []

        async def scenario(peer: ScriptedPeer, vm: Vm) -> None:
            shown.append(vm.large_items.fetching)
            vm.enqueue(peer.add("a", 5))
            await pass_time(_TRANSFER_S / 2)
            shown.append(vm.large_items.fetching)
            await pass_time(_TRANSFER_S)
            shown.append(vm.large_items.fetching)

        _run_scenario(scenario)
        self.assertEqual(shown, [False, True, False])

    def test_each_item_is_logged_and_wakes_the_peer_follower(self) -> None:
        waited_s: list[float] = []

        async def scenario(peer: ScriptedPeer, vm: Vm) -> None:
            vm.enqueue(peer.add("a", 5))
            started = vm.loop.time()
            await vm.notices.wait_until_behind(60.0)
            waited_s.append(vm.loop.time() - started)

        peer, vm = _run_scenario(scenario)
        self.assertAlmostEqual(waited_s[0], _TRANSFER_S, delta=0.1)
        ((event, fields),) = vm.events.lines
        duration_ms = fields.pop("ms")
        size = len(peer.items["a"].value)
        self.assertEqual(event, "large-item")
        self.assertEqual(fields, {"key": "a", "revision": 5, "bytes": size, "peer": _ADDRESS})
        self.assertAlmostEqual(duration_ms, 1000 * _TRANSFER_S, delta=100)
        self.assertEqual(vm.events.counted, [])


class Failures(unittest.TestCase):
    def test_one_is_counted_and_causes_the_fallback_and_waits_for_the_next_delta(self) -> None:
        reasons: list[FollowReason] = []

        async def scenario(peer: ScriptedPeer, vm: Vm) -> None:
            vm.large_items.enqueue(_UNREACHABLE_ADDRESS, (DeferredItem("a", 5, 99_999),))
            await pass_time(0.1)
            reasons.append(vm.role.decide(vm.loop.time()))
            await pass_time(30.0)

        _, vm = _run_scenario(scenario)
        self.assertEqual(reasons, [FollowReason.PEER_FAILED])
        self.assertEqual(vm.events.counted, ["deltas_failed"])
        ((event, fields),) = vm.events.lines
        self.assertEqual((event, fields["peer"]), ("delta-failed", _UNREACHABLE_ADDRESS))
        self.assertIn("ConnectFailedError", fields["problem"])

    def test_an_item_that_was_removed_before_it_was_fetched_is_no_failure(self) -> None:
        reasons: list[FollowReason] = []

        async def scenario(peer: ScriptedPeer, vm: Vm) -> None:
            vm.enqueue(DeferredItem("gone", 5, 99_999))
            await pass_time(0.1)
            reasons.append(vm.role.decide(vm.loop.time()))
            await pass_time(30.0)

        peer, vm = _run_scenario(scenario)
        self.assertEqual(peer.requested, [("gone", 5)])
        self.assertNotIn(FollowReason.PEER_FAILED, reasons)
        self.assertEqual((vm.events.counted, vm.events.lines), ([], []))

    def test_an_item_is_fetched_after_the_next_delta(self) -> None:
        async def scenario(peer: ScriptedPeer, vm: Vm) -> None:
            vm.enqueue(DeferredItem("a", 5, 99_999))
            await pass_time(1.0)
            vm.enqueue(peer.add("a", 5))
            await pass_time(2 * _TRANSFER_S)

        peer, vm = _run_scenario(scenario)
        self.assertEqual(peer.requested, [("a", 5), ("a", 5)])
        self.assertEqual(vm.held(), {"a": 5})

    def test_a_failure_does_not_keep_others_from_being_fetched(self) -> None:
        async def scenario(peer: ScriptedPeer, vm: Vm) -> None:
            gone = DeferredItem("gone", 5, 99_999)
            vm.enqueue(peer.add("a", 4), gone, peer.add("b", 6))
            await pass_time(4 * _TRANSFER_S)

        _, vm = _run_scenario(scenario)
        self.assertEqual(vm.held(), {"a": 4, "b": 6})

    def test_a_peer_that_falls_silent_is_a_failure(self) -> None:
        async def scenario(peer: ScriptedPeer, vm: Vm) -> None:
            peer.stops_after = 2
            vm.enqueue(peer.add("a", 5))
            await pass_time(2 * _TRANSFER_S)

        _, vm = _run_scenario(scenario)
        self.assertEqual(vm.held(), {})
        self.assertEqual(vm.events.counted, ["deltas_failed"])
        self.assertFalse(vm.large_items.fetching)


class StoreCallsDuringTransfers(unittest.TestCase):
    def test_while_bytes_arrive_a_vm_that_is_behind_does_not_ask_the_store(self) -> None:
        reasons: list[FollowReason] = []

        async def scenario(peer: ScriptedPeer, vm: Vm) -> None:
            vm.decide(5)
            vm.enqueue(peer.add("a", 5))
            for pause_s in (_CATCH_UP_TIMEOUT_S, _MAX_TRANSFER_EXTENSION_S - 0.31, 0.3, 0.3):
                await pass_time(pause_s)
                reasons.append(vm.decide(5))

        _run_scenario(scenario)
        self.assertNotIn(FollowReason.BEHIND, reasons[:2])
        self.assertIs(reasons[3], FollowReason.BEHIND)

    def test_without_a_transfer_a_vm_that_is_behind_asks_the_store(self) -> None:
        reasons: list[FollowReason] = []

        async def scenario(peer: ScriptedPeer, vm: Vm) -> None:
            vm.decide(5)
            for pause_s in (_CATCH_UP_TIMEOUT_S - 0.01, 0.02):
                await pass_time(pause_s)
                reasons.append(vm.decide(5))

        _run_scenario(scenario)
        self.assertIsNot(reasons[0], FollowReason.BEHIND)
        self.assertIs(reasons[1], FollowReason.BEHIND)

    def test_a_vm_that_is_still_behind_asks_the_store_some_time_after_the_last_byte(self) -> None:
        """The item arrives at once, but the announced revision is still missing."""
        reasons: list[FollowReason] = []

        async def scenario(peer: ScriptedPeer, vm: Vm) -> None:
            peer.pause_s = 0.1
            vm.decide(9)
            vm.enqueue(peer.add("a", 5))
            await vm.notices.wait_until_behind(60.0)
            for pause_s in (_CATCH_UP_TIMEOUT_S - 0.01, 0.02):
                await pass_time(pause_s)
                reasons.append(vm.decide(9))

        _, vm = _run_scenario(scenario)
        self.assertEqual(vm.held(), {"a": 5})
        self.assertIsNot(reasons[0], FollowReason.BEHIND)
        self.assertIs(reasons[1], FollowReason.BEHIND)


if __name__ == "__main__":
    unittest.main()
