"""Measures the daemon's own cost, each as a ratio in one run, and the fleet's control traffic."""

import asyncio
import os
import statistics
import sys
import time
from http import HTTPStatus
from pathlib import Path
from typing import Any

import aiohttp
import fire
import msgspec
from rich.console import Console
from rich.table import Table

from sprucewinch.config import Configuration, load_configuration
from tools.fleet import Fleet, Operator, Vm, free_ports, wait_until
from tools.http_load import drive, get_request
from tools.load import Flow, Load, quantile
from tools.small import small_deployment

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE = os.sysconf("SC_PAGE_SIZE")
_UPLOAD_CHUNK = 1 << 18


def cpu_s(pid: int) -> float:
    """Return the processor time of a process so far, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process, in MB."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * _PAGE / 1e6


class Bench:
    """One fleet and what is measured on it."""

    def __init__(
        self, fleet: Fleet, session: aiohttp.ClientSession, configuration: Configuration
    ) -> None:
        self.fleet = fleet
        self.session = session
        self.configuration = configuration

    def operator(self, vm: Vm) -> Operator:
        """Return an operator at a VM."""
        return Operator(self.session, vm, "bench")

    async def start(self) -> None:
        """Start all processes and wait until every VM holds slots."""
        self.fleet.start_standins()
        self.fleet.start_daemons()
        first = self.operator(next(iter(self.fleet.vms.values())))
        await wait_until(lambda: first.get("/v1/status"), "the operators' port")
        body = {"configuration": msgspec.to_builtins(self.configuration), "base": 0}

        async def applied() -> bool:
            return (await first.call("POST", "/v1/configuration", body))[0] == HTTPStatus.OK

        await wait_until(applied, "the platform")
        for vm in self.fleet.vms.values():
            await wait_until(lambda vm=vm: self._ready(vm), f"{vm.name} to be ready")

    async def _ready(self, vm: Vm) -> bool:
        rows = (await self.operator(vm).get("/v1/status"))["vms"]
        ready = [row for row in rows if row["state"] == "serving" and row["slots"]]
        return len(ready) == len(self.fleet.vms)


async def _started(session: aiohttp.ClientSession, address: str) -> bool:
    async with session.get(f"http://{address}/") as response:
        return response.status == HTTPStatus.OK


async def lookups(bench: Bench, seconds: float, rounds: int) -> dict[str, Any]:
    """Compare look-ups with a bare ASGI application, in turn."""
    [port] = free_ports(1)
    bare = f"127.0.0.1:{port}"
    bench.fleet._spawn("bare", "tools.bare_app", f"--address={bare}")
    await wait_until(lambda: _started(bench.session, bare), "the bare application")
    vm = next(iter(bench.fleet.vms.values()))
    asked = [
        get_request(f"/v1/lookup?block=10.{1 + n % 2}.{n}.0/24&service=rates") for n in range(200)
    ]
    rows: dict[str, list] = {"bare": [], "look-up": []}
    for _ in range(rounds):
        for name, address, requests in (
            ("bare", bare, [get_request("/")]),
            ("look-up", vm.caller, asked),
        ):
            histogram, errors = await drive(address, requests, 32, seconds)
            per_s = histogram.get_total_count() / seconds
            rows[name].append((per_s, histogram.get_value_at_percentile(99) / 1000, errors))
    bench.fleet.kill("bare")
    medians = {
        name: [statistics.median(column) for column in zip(*found, strict=True)]
        for name, found in rows.items()
    }
    return {
        "bare per s": medians["bare"][0],
        "look-ups per s": medians["look-up"][0],
        "ratio": medians["look-up"][0] / medians["bare"][0],
        "bare p99 ms": medians["bare"][1],
        "look-up p99 ms": medians["look-up"][1],
        "errors": sum(row[2] for row in rows["look-up"]),
    }


async def small_requests(bench: Bench, seconds: float, rounds: int) -> dict[str, Any]:
    """Compare a small request through an entry VM with the same straight to the server."""
    vm = next(iter(bench.fleet.vms.values()))
    server = bench.configuration.pool[0].servers[0]
    service = bench.configuration.pool[0].service
    through = [get_request(f"/s/{service}/run?work_ms=1", sprucewinch_client_block="10.1.0.1")]
    straight = [get_request("/run?work_ms=1")]
    rows: dict[str, list] = {"straight": [], "through": []}
    for _ in range(rounds):
        for name, address, requests in (
            ("straight", server, straight),
            ("through", vm.caller, through),
        ):
            histogram, errors = await drive(address, requests, 2, seconds)
            p50 = histogram.get_value_at_percentile(50) / 1000
            rows[name].append((p50, histogram.get_value_at_percentile(99) / 1000, errors))
    medians = {
        name: [statistics.median(column) for column in zip(*found, strict=True)]
        for name, found in rows.items()
    }
    return {
        "straight p50 ms": medians["straight"][0],
        "through p50 ms": medians["through"][0],
        "added p50 ms": medians["through"][0] - medians["straight"][0],
        "straight p99 ms": medians["straight"][1],
        "through p99 ms": medians["through"][1],
        "p99 ratio": medians["through"][1] / medians["straight"][1],
        "errors": sum(row[2] for row in rows["through"]),
    }


async def upload(bench: Bench, megabytes: int) -> dict[str, Any]:
    """Compare a large upload through an entry VM with the same straight to the server."""
    vm = next(iter(bench.fleet.vms.values()))
    server = bench.configuration.pool[0].servers[0]
    service = bench.configuration.pool[0].service
    chunk = bytes(_UPLOAD_CHUNK)
    count = megabytes * 1_000_000 // _UPLOAD_CHUNK

    async def send(url: str) -> float:
        async def body():
            for _ in range(count):
                yield chunk

        headers = {"sprucewinch-deadline-ms": "600000", "sprucewinch-client-block": "10.1.0.1"}
        began = time.perf_counter()
        async with bench.session.post(url, data=body(), headers=headers) as response:
            answer = await response.read()
            whole = str(count * _UPLOAD_CHUNK) in answer.decode()
            if response.status != HTTPStatus.OK or not whole:
                raise RuntimeError(f"the upload was not answered: {response.status} {answer!r}")
        return time.perf_counter() - began

    pid = bench.fleet.processes[vm.name].pid
    straight_s = await send(f"http://{server}/up")
    before, most = resident_mb(pid), 0.0
    task = asyncio.create_task(send(f"http://{vm.caller}/s/{service}/up"))
    while not task.done():
        most = max(most, resident_mb(pid))
        await asyncio.sleep(0.02)
    through_s = await task
    return {
        "MB": megabytes,
        "straight MB/s": megabytes / straight_s,
        "through MB/s": megabytes / through_s,
        "ratio": straight_s / through_s,
        "daemon grew MB": most - before,
    }


async def idle(bench: Bench, seconds: float) -> dict[str, Any]:
    """Measure what control costs a fleet without callers."""

    async def calls() -> dict[str, int]:
        async with bench.session.get(f"http://{bench.fleet.platform}/stand-in/calls") as response:
            return await response.json()

    async def peer_bytes() -> int:
        total = 0
        for vm in bench.fleet.vms.values():
            counters = (await bench.operator(vm).get("/v1/metrics"))["counters"]
            total += counters.get("peer_bytes_sent", 0) + counters.get("peer_bytes_received", 0)
        return total

    pids = [bench.fleet.processes[name].pid for name in bench.fleet.vms]
    cpu, platform, sent = sum(map(cpu_s, pids)), await calls(), await peer_bytes()
    await asyncio.sleep(seconds)
    cpu_now, platform_now, sent_now = sum(map(cpu_s, pids)), await calls(), await peer_bytes()
    vms = len(pids)
    return {
        "VMs": vms,
        "processor, part of a core each": (cpu_now - cpu) / seconds / vms,
        "peer bytes per s each": (sent_now - sent) / seconds / vms,
        "resident MB each": statistics.mean(map(resident_mb, pids)),
        "platform reads per s, all": (platform_now["read"] - platform["read"]) / seconds,
        "platform writes per s, all": (platform_now["write"] - platform["write"]) / seconds,
    }


async def changes(bench: Bench, count: int) -> dict[str, Any]:
    """Measure how long accepted changes take until they are in force at every VM."""
    vms = list(bench.fleet.vms.values())
    server = bench.configuration.pool[0].servers[0]
    delays: list[float] = []
    worst = 0.0
    for number in range(count):
        operator = bench.operator(vms[number % len(vms)])
        method = "DELETE" if number % 2 else "PUT"
        status, answer = await operator.call(method, f"/v1/drains/server/{server}")
        if status != HTTPStatus.OK:
            raise RuntimeError(f"the change was refused: {answer}")
        accepted = time.perf_counter()
        waits = await asyncio.gather(
            *(_in_force(bench, vm, answer["revision"], accepted) for vm in vms)
        )
        delays += waits
        worst = max(worst, *waits)
    return {
        "changes": count,
        "VMs": len(vms),
        "p50 s": quantile(delays, 0.5),
        "p95 s": quantile(delays, 0.95),
        "worst s": worst,
    }


async def _in_force(bench: Bench, vm: Vm, revision: int, accepted: float) -> float:
    operator = bench.operator(vm)

    async def there() -> bool:
        return (await operator.get("/v1/status"))["newest_revision"] >= 0 and (
            await operator.get("/v1/configuration")
        )["revision"] >= revision

    await wait_until(there, "the change", every_s=0.01)
    return time.perf_counter() - accepted


async def overload(seconds: float) -> dict[str, Any]:
    """Compare answers within time at once and at three times what the servers can run."""
    configuration = small_deployment(halls=2, servers=1)
    found: dict[str, Any] = {}
    capacity = 2 * 4 / 0.1
    with Fleet(configuration, work_ms={"rates": 100.0, "booking": 100.0}) as fleet:
        async with aiohttp.ClientSession() as session:
            bench = Bench(fleet, session, configuration)
            await bench.start()
            entry: dict[str, list[str]] = {}
            for vm in fleet.vms.values():
                entry.setdefault(vm.region, []).append(vm.caller)
            for times in (0.5, 0.8, 1.0, 3.0):
                flow = Flow("rates", capacity * times / 2)
                load = Load(configuration, entry, [flow], seed=7, come_backs=0)
                await load.run(seconds)
                good = [r for r in load.results if r.outcome == "answered"]
                found[f"{times:g}x answered per s"] = len(good) / seconds
                found[f"{times:g}x p99 ms"] = quantile([r.latency_ms for r in good], 0.99)
                unknown = sum(r.outcome not in ("answered", "not-run") for r in load.results)
                found[f"{times:g}x neither answered nor refused"] = unknown
    peak = max(v for k, v in found.items() if k.endswith("answered per s"))
    found["3x as a part of the peak"] = found["3x answered per s"] / peak
    return found


def _show(console: Console, title: str, row: dict[str, Any]) -> None:
    table = Table(title=title, title_justify="left", show_header=False)
    for name, value in row.items():
        table.add_row(name, f"{value:.4g}" if isinstance(value, float) else str(value))
    console.print(table)


async def _bench(seconds: float, rounds: int, megabytes: int) -> None:
    console = Console(width=None if sys.stdout.isatty() else 100)
    configuration = load_configuration(Path("examples/freight.toml"))
    with Fleet(configuration, vms_per_hall=2) as fleet:
        timeout = aiohttp.ClientTimeout(total=300)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            bench = Bench(fleet, session, configuration)
            await bench.start()
            await asyncio.sleep(3)
            _show(console, "idle control plane", await idle(bench, 10.0))
            _show(console, "configuration changes", await changes(bench, 20))
            _show(console, "look-ups", await lookups(bench, seconds, rounds))
            _show(console, "small requests", await small_requests(bench, seconds, rounds))
            _show(console, "upload", await upload(bench, megabytes))
    _show(console, "more than can run", await overload(10.0))


def main(seconds: float = 3.0, rounds: int = 3, megabytes: int = 1000) -> None:
    """Run all measurements of the daemon.

    Args:
        seconds: Length of each round of load.
        rounds: Rounds of each, in turn.
        megabytes: Size of the upload.
    """
    asyncio.run(_bench(seconds, rounds, megabytes))


if __name__ == "__main__":
    fire.Fire(main)
