"""The log lines of the own interface that `test_formats_own` does not hold, as the first release
has them, each brought about by what brings it about in service.
"""

import asyncio
import contextlib
import logging
import random
import unittest
from collections.abc import Callable

import msgspec

from sprucewinch._supervise import forever
from sprucewinch.daemon import Daemon
from sprucewinch.hall.loops import _log_failure
from sprucewinch.hall.peers.peer_listener import PeerListener
from sprucewinch.hall.planning.plan_rounds import PlanRounds
from sprucewinch.hall.store.store import Entry
from sprucewinch.hall.store.store_reader import StoreReader
from tools.ports import free_ports

from .fakes import FakeStore, settings
from .formats_own import OwnVm, StillClock
from .test_formats import DOCUMENT

PLAN = (
    b'{"client_region":"east","revision":1,"planner":"a#18f","configuration_revision":7,'
    b'"shares":{"rates":{"east":1.0,"west":0.0},"book":{"east":1.0,"west":0.0}},'
    b'"notes":{"rates":[],"book":["drained:east","drained:east"]},'
    b'"faults":{"rates":"all weights are 0"}}'
)


class _Store(FakeStore):
    """A store that remembers which leases were asked for."""

    def __init__(self) -> None:
        super().__init__()
        self.leases: list[tuple[str, str]] = []

    async def lease(self, name: str, holder: str, ttl_s: float) -> bool:
        self.leases.append((name, holder))
        return True


def no_change() -> None:
    """Be told of a change."""


def reader_of(vm: OwnVm) -> StoreReader:
    """Return the reader of a VM's store."""
    return StoreReader(vm.node, vm.store, StillClock(), random.Random(1), no_change)


def rounds_of(vm: OwnVm) -> PlanRounds:
    """Return what plans at a VM."""
    return PlanRounds(vm.node, vm.store, reader_of(vm), StillClock(), no_change)


def full_listener() -> PeerListener:
    """Return a listener for peers that takes no connections."""

    class Nothing:
        def __mapping__(self) -> dict:
            return {}

    return PeerListener(Nothing(), connections=0)  # type: ignore[arg-type]


def daemon() -> Daemon:
    """Return a daemon on free ports whose platform is not there."""
    caller, peer, operators, platform = [f"127.0.0.1:{port}" for port in free_ports(4)]
    plain = settings("a", "east-1", "east")
    return Daemon(
        msgspec.structs.replace(
            plain,
            caller_address=caller,
            peer_address=peer,
            operators_address=operators,
            platform_address=platform,
            stop=msgspec.structs.replace(plain.stop, report_s=0.2),
        )
    )


def signal_to(running: Daemon) -> None:
    """Tell a daemon to stop."""
    running._on_stop_signal()


class _Kept(logging.Handler):
    def __init__(self, lines: list[str]) -> None:
        super().__init__()
        self.kept = lines

    def emit(self, record: logging.LogRecord) -> None:
        self.kept.append(f"{record.levelname.lower()} {record.getMessage()}")


class LineCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.lines: list[str] = []
        logger, handler = logging.getLogger("absl"), _Kept(self.lines)
        before = (logger.level, logger.propagate, list(logger.handlers))
        logger.handlers = [handler]
        logger.propagate = False
        logger.setLevel(logging.INFO)

        def restore() -> None:
            logger.level, logger.propagate, logger.handlers = before

        self.addCleanup(restore)


class Platforms(LineCase):
    async def test_what_the_platform_shows(self) -> None:
        vm = OwnVm().configure(DOCUMENT, 7)
        older = DOCUMENT.replace(b'"revision":7', b'"revision":6', 1)
        reader = reader_of(vm)
        reader.apply([Entry("steer/x", 3, b"{"), Entry("steer/configuration", 4, older)])
        vm.store.down = True
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(reader.run(), 0.05)
        self.assertEqual(
            self.lines,
            [
                "warning event=unreadable key=steer/x",
                "warning event=platform-behind key=steer/configuration shows=6 in_force=7",
                "info event=platform state=down problem='down; wait'",
            ],
        )

    async def test_a_plan_and_its_lease(self) -> None:
        store = _Store()
        document = DOCUMENT.replace(b'"policy":"capacity"', b'"policy":"mine"')
        vm = OwnVm(store).configure(document, 7)
        await rounds_of(vm).step()
        self.assertEqual(
            self.lines,
            [
                "info event=planner region=east plan=0",
                "warning event=policy-fault service=rates problem='all weights are 0'",
            ],
        )
        self.assertEqual(store.values["steer/plan/east"].value, PLAN)
        self.assertEqual(store.leases, [("planner/east", "a#18f")])


class Faults(LineCase):
    async def test_a_loop(self) -> None:
        async def broken() -> None:
            raise ValueError("broken")

        task = asyncio.create_task(forever(broken, _log_failure, pause_s=1.0))
        await asyncio.sleep(0.05)
        task.cancel()
        line = "warning event=loop-fault step=broken error=ValueError('broken')"
        self.assertEqual(self.lines[0], line)

    async def test_a_full_listener(self) -> None:
        full_listener()._protocol_factory()
        self.assertEqual(self.lines, ["warning event=peer-connections full=True open=0"])


class Calls(LineCase):
    def test_the_operators_port(self) -> None:
        vm = OwnVm().configure(DOCUMENT, 7)
        vm.store.watch = None  # type: ignore[assignment, method-assign]
        answer = vm.operate("GET", "/v1/audit?all=1")
        self.assertEqual(answer.status, 500)
        start = "warning event=operators-fault path=/v1/audit error=TypeError("
        self.assertEqual([line[: len(start)] for line in self.lines], [start])

    def test_a_drain(self) -> None:
        vm = OwnVm().configure(DOCUMENT, 7)
        vm.operate("PUT", "/v1/drains/hall/east-1")
        vm.node.tick(100.5)
        self.assertEqual(
            vm.lines[2:],
            [
                "event=in-force revision=8",
                "event=drained thing=server:10.0.0.1:80 seconds=0.000",
                "event=drained thing=hall:east-1 seconds=0.000",
            ],
        )


class Daemons(LineCase):
    async def until_started(self, running: Daemon) -> "asyncio.Task[None]":
        task = asyncio.create_task(running.run())
        async with asyncio.timeout(10.0):
            while not any("event=platform" in line for line in self.lines):
                await asyncio.sleep(0.02)
        return task

    def of(self, events: Callable[[str], bool]) -> list[str]:
        """Return the lines of some events, each once, in order."""
        found = dict.fromkeys(self.lines)
        return [line for line in found if events(line.split()[1].removeprefix("event="))]

    async def test_a_stop(self) -> None:
        running = daemon()
        task = await self.until_started(running)
        running.node.in_flight.count = 1
        signal_to(running)
        signal_to(running)
        await asyncio.sleep(0.6)
        running.node.in_flight.count = 0
        await task
        self.assertEqual(
            self.of(lambda event: event != "platform"),
            [
                "info event=started vm=a hall=east-1",
                "info event=stop-repeated note='already stopping; requests are finished first'",
                "info event=state vm=a state=leaving",
                "info event=stopping in_flight=1",
                "info event=state vm=a state=gone",
                "info event=stopped vm=a",
            ],
        )

    async def test_a_newer_process_of_the_same_name(self) -> None:
        running = daemon()
        task = await self.until_started(running)
        running.node.membership.superseded = True
        await task
        line = "warning event=superseded note='a newer process has this name'"
        self.assertEqual(self.of(lambda event: event == "superseded"), [line])
