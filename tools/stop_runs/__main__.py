"""Stops one entry VM, a real process, beside bookings, and prints what became of them.

Owns the course of a run and its report. `scenario` says what callers do, `verdict` what counts as
lost. The exit status is 1 when a booking was lost, a promise was broken, or the process still ran
at the end of its grace time. `--tree` is the root of another checkout, to compare; `--share` is the
part of a core that the process gets, from the signal on, in turns of `_TURN_S`.

python -m tools.stop_runs --scenarios=slow-bodies-2.0,work-2.2 --grace=6 --share=0.54
"""

import asyncio
import contextlib
import json
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

import fire

from standins.consortium_store import StoreStandIn
from standins.scripted_server import ScriptedServer
from tools.entry_vm import ROOT, EntryVm, free_port, own_address

from .caller import HOST, Booking, book, connect
from .scenario import SCENARIOS, Scenario
from .verdict import LATE_S, Fate, ServerRun, Stop, could_be_served, fate

_SERVERS = 40
_SLOTS = 12
_READY_TIMEOUT_S = 30.0
_POLL_S = 0.02
_SETTLE_S = 1.0
"""Time from readiness to the signal, in seconds."""

_TURN_S = 0.1
"""Period in which a choked process gets its share of a core, in seconds."""

_LAST_ANSWERS_S = 0.5
"""Part of the grace time, at its end, in which nothing more is expected to be served."""

_QUANTILE = 0.95


class Report(NamedTuple):
    """What became of the bookings of one stop.

    Args:
        fates: Number of bookings by fate.
        refused_could_be_served: Refused bookings that would have been answered in time.
        refusal_p95_s: 95th percentile of the time to a refusal, in seconds, from when the request
            is sent and may be known to be late; 0 without any.
        ended_s: When the process ended, in seconds from the signal.
        lost: When each lost booking was sent, whole and ended, in seconds from the signal.
        lines: Lines of the process about the stop, and about what it refused or broke off.
    """

    fates: Counter[Fate]
    refused_could_be_served: int
    refusal_p95_s: float
    ended_s: float
    lost: list[tuple[float, float, float, int]]
    lines: list[dict[str, Any]]


class StopRun:
    """One VM with its servers and its callers.

    Args:
        scenario: What callers do.
        grace_s: Grace time, in seconds.
        share: Part of a core that the process gets from the signal on.
        tree: Root of the checkout from which the process starts.
    """

    def __init__(self, scenario: Scenario, grace_s: float, share: float, tree: Path) -> None:
        self.loop = asyncio.get_running_loop()
        self.scenario = scenario
        self.grace_s = grace_s
        self.share = share
        self.tree = tree
        self.store = StoreStandIn(self.loop)
        self.servers = [self._server(number) for number in range(_SERVERS)]
        self.bookings: list[Booking] = []

    def _server(self, number: int) -> ScriptedServer:
        scenario = self.scenario
        server = ScriptedServer(self.loop, f"i-{number}", work_s=scenario.work_s, slots=_SLOTS)
        if number < _SERVERS * scenario.cold_part:
            server.work_s *= 2
        server.answer_bytes = b"x" * scenario.answer_bytes
        return server

    async def run(self) -> Report:
        """Start the VM, stop it, and return what became of the bookings."""
        with tempfile.TemporaryDirectory() as folder, own_address() as ip:
            listener = await self.loop.create_server(self.store.accept, "127.0.0.1", 0)
            await self._fill_store()
            store = _address(listener)
            vm = EntryVm("vm1", ip, store, free_port("127.0.0.1"), Path(folder))
            vm.root = self.tree
            vm.table["Bounds"]["Grace"] = f"{self.grace_s:g}s"
            vm.lay_settings(vm.table)
            await vm.start()
            try:
                await _until_ready(vm)
                return await self._stop(vm)
            finally:
                await vm.kill()
                listener.close()

    async def _fill_store(self) -> None:
        self.store.put("op/config", json.dumps(self._configuration()).encode())
        for server in self.servers:
            listener = await self.loop.create_server(server.accept, "127.0.0.1", 0)
            row = {"Service": "bookings", "Address": _address(listener), "Zone": "east-a"}
            row |= {
                "Version": "v1",
                "Capacity": _SLOTS,
                "State": "ready",
                "WarmupLeft": "0ms",
                "Sequence": 1,
            }
            self.store.put(f"servers/{server.server_id}", json.dumps(row).encode())

    def _configuration(self) -> dict[str, Any]:
        path = {"Name": "book", "PathPrefix": "/book/", "RouteType": "unsafe"}
        path |= {"Timeout": f"{self.scenario.timeout_s:g}s", "Service": "bookings"}
        return {
            "Version": "r3",
            "Services": [{"Name": "bookings", "MaxConnections": 50, "ColdPerS": 9.0}],
            "Limits": {"MaxBodyBytes": 1 << 20, "IdleTimeout": "15000ms"},
            "Hosts": [{"Hostname": HOST, "Paths": [path]}],
        }

    async def _stop(self, vm: EntryVm) -> Report:
        await asyncio.sleep(_SETTLE_S)
        address, scenario = vm.addresses["Front"], self.scenario
        moments = scenario.sent_at()
        kept = [await connect(address, scenario) for _ in moments] if scenario.kept else []
        stop = Stop(self.loop.time(), self.grace_s, scenario.timeout_s)
        vm.signal(signal.SIGTERM)
        choke = asyncio.create_task(_choke(vm, self.share))
        ended = asyncio.create_task(self._ended(vm, stop))
        callers = []
        for number, moment in enumerate(moments):
            await asyncio.sleep(stop.signalled_at + moment - self.loop.time())
            connection = kept[number] if scenario.kept else await connect(address, scenario)
            if connection is not None:
                self.bookings.append(Booking(f"q{number}"))
                until = stop.signalled_at + (scenario.read_until_s or 0.0)
                pause_s = scenario.body_pause_s(number)
                work = book(connection, self.bookings[-1], scenario, pause_s, until)
                callers.append(asyncio.create_task(work))
        ended_s = await ended
        choke.cancel()
        await asyncio.gather(*callers)
        return self._report(vm, stop, ended_s)

    async def _ended(self, vm: EntryVm, stop: Stop) -> float:
        """Wait for the end of the process, which is killed at the end of its grace time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(stop.signalled_at + self.grace_s):
                await vm.ended()
        ended_s = self.loop.time() - stop.signalled_at
        await vm.kill()
        return ended_s

    def _runs(self) -> dict[str, ServerRun]:
        return {
            run.request_id: ServerRun(run.at, run.at + server.work_s)
            for server in self.servers
            for run in server.runs
        }

    def _report(self, vm: EntryVm, stop: Stop, ended_s: float) -> Report:
        runs = self._runs()
        by_fate = [(fate(each, runs.get(each.request_id), stop), each) for each in self.bookings]
        refused = [each for what, each in by_fate if what is Fate.REFUSED]
        known_at = stop.signalled_at + LATE_S
        times = sorted(each.ended_at - max(each.sent_at or 0.0, known_at) for each in refused)
        ends_s = self.grace_s - _LAST_ANSWERS_S
        could = sum(could_be_served(each, self.scenario.work_s, stop, ends_s) for each in refused)
        lost = [
            (*(round(at - stop.signalled_at, 2) for at in _times(each)), each.status)
            for what, each in by_fate
            if what in (Fate.LOST, Fate.BROKEN_PROMISE)
        ]
        return Report(
            Counter(what for what, _ in by_fate),
            could,
            times[int(_QUANTILE * (len(times) - 1))] if times else 0.0,
            ended_s,
            lost,
            [line for line in vm.lines if _tells_of_stop(line)],
        )


def _times(booking: Booking) -> Iterator[float]:
    assert booking.sent_at is not None and booking.whole_at is not None
    yield from (booking.sent_at, booking.whole_at, booking.ended_at)


def _tells_of_stop(line: dict[str, Any]) -> bool:
    return "stop" in line["event"] or line["event"] == "request" and line["outcome"] != "answered"


def _address(listener: asyncio.Server) -> str:
    return f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"


async def _until_ready(vm: EntryVm) -> None:
    host, port = vm.addresses["Ready"].split(":")
    async with asyncio.timeout(_READY_TIMEOUT_S):
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(f"GET /sprucewinch/readyz HTTP/1.1\r\nhost: {host}\r\n\r\n".encode())
                status = await reader.readline()
                writer.close()
                if b" 200 " in status:
                    return
            await asyncio.sleep(_POLL_S)


async def _choke(vm: EntryVm, share: float) -> None:
    """Give a process a part of a core, in turns."""
    if share >= 1.0:
        return
    try:
        while vm.running:
            vm.signal(signal.SIGSTOP)
            await asyncio.sleep(_TURN_S * (1 - share))
            vm.signal(signal.SIGCONT)
            await asyncio.sleep(_TURN_S * share)
    except ProcessLookupError:
        # It has ended between the check and the signal.
        return
    finally:
        if vm.running:
            vm.signal(signal.SIGCONT)


def main(
    scenarios: str = ",".join(SCENARIOS),
    grace: float = 6.0,
    share: float = 1.0,
    tree: str = str(ROOT),
    runs: int = 1,
    lines: bool = False,
) -> None:
    """Run scenarios one after the other.

    Args:
        scenarios: Their names, separated by commas.
        grace: Grace time, in seconds.
        share: Part of a core that the process gets from the signal on.
        tree: Root of the checkout from which the process starts.
        runs: Number of runs of each.
        lines: Whether to print the lines of the process about what it refused or broke off.
    """
    names = scenarios if isinstance(scenarios, tuple) else scenarios.split(",")
    sound = True
    for name in names:
        for _ in range(runs):
            report = asyncio.run(_run(SCENARIOS[name], grace, share, Path(tree)))
            sound &= _print(name, report, grace, lines)
    sys.exit(not sound)


async def _run(scenario: Scenario, grace_s: float, share: float, tree: Path) -> Report:
    return await StopRun(scenario, grace_s, share, tree).run()


def _print(name: str, report: Report, grace_s: float, with_lines: bool) -> bool:
    fates = ", ".join(f"{count} {what.value}" for what, count in report.fates.items())
    print(
        f"{name}: {fates}; {report.refused_could_be_served} of the refused could be served;"
        f" refusals p95 {report.refusal_p95_s * 1000:.0f} ms; ended after {report.ended_s:.2f} s"
    )
    for sent, whole, ended, status in report.lost:
        print(f"  lost: sent at {sent}, whole at {whole}, ended at {ended} with {status}")
    for line in report.lines if with_lines else ():
        print(f"  {json.dumps(line)}")
    return not report.lost and report.ended_s < grace_s


if __name__ == "__main__":
    fire.Fire(main)
