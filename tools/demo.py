"""The demo: a whole deployment on one machine, a policy change and a drain under load.

Owns the course of the demo and the table that it prints. Exits with status 1 when a caller saw a
broken promise. Relies on `fleet` for the processes and `load` for the callers.
"""

import asyncio
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

from sprucewinch.config.configuration import Configuration, Service
from sprucewinch.config.loading import load_configuration
from tools.fleet import Fleet, Operator, wait_until
from tools.load.checks import broken_promises, runs_at_servers
from tools.load.load import Load
from tools.load.results import Flow, Result, quantile

_LONG_DEADLINE_MS = 60_000
"""Deadline from which a service counts as one of large files, in milliseconds. A guess."""

_PHASE_S = 5.0
"""Seconds of each phase. A guess, never measured."""

_PHASES = ("nearest", "headroom", "drain")
"""Phases of the demo in their order: two policies, then a drain."""


def flow_of(service: Service) -> Flow:
    """Return ordinary load of a service: queries, operations that run once, or large files."""
    if service.repeatable:
        return Flow(service.name, 60, path="query", query="?lane=7")
    if service.deadline_ms >= _LONG_DEADLINE_MS:
        return Flow(service.name, 4, "POST", "file", 300_000)
    return Flow(service.name, 15, "POST", "operation", 400)


def work_ms_of(service: Service) -> float:
    """Return the mean time of a request at a backend server, in milliseconds."""
    if service.repeatable:
        return 12.0
    return 40.0 if service.deadline_ms >= _LONG_DEADLINE_MS else 20.0


class Sampler:
    """Reads the measures of every region while load runs."""

    def __init__(self, operator: Operator, configuration: Configuration) -> None:
        self.operator = operator
        self.services = [service.name for service in configuration.service]
        self.block = configuration.region[0].clients[0]
        self.rows: list[tuple[float, str, str, float]] = []

    async def run(self, started: float) -> None:
        """Sample until cancelled."""
        while True:
            for service in self.services:
                explained = await self.operator.get(
                    f"/v1/explain?block={self.block}&service={service}"
                )
                for row in explained.get("regions", []):
                    at = time.monotonic() - started
                    self.rows.append((at, service, row["region"], row["headroom"]))
            await asyncio.sleep(0.5)

    def least(self, service: str, begin: float, end: float) -> float:
        """Return the least headroom of any region within a time."""
        found = [h for at, s, _, h in self.rows if s == service and begin <= at < end]
        return min(found, default=1.0)


async def _start(fleet: Fleet, session: aiohttp.ClientSession, configuration: Configuration):
    fleet.start_standins()
    fleet.start_daemons()
    operator = Operator(session, next(iter(fleet.vms.values())))
    await wait_until(lambda: operator.get("/v1/status"), "the first operators' port")
    tables = msgspec.to_builtins(configuration)
    status, answer = await operator.call(
        "POST", "/v1/configuration", {"configuration": tables, "base": 0}
    )
    if status != HTTPStatus.OK:
        raise RuntimeError(f"the configuration was refused: {answer}")
    asked = f"block={configuration.region[0].clients[0]}&service={configuration.service[0].name}"
    await wait_until(lambda: _all_ready(fleet, session, asked), "all entry VMs to serve")
    await wait_until(lambda: _all_measured(operator, asked), "measures of all regions")
    return operator


async def _all_measured(operator: Operator, asked: str) -> bool:
    explained = await operator.get(f"/v1/explain?{asked}")
    return all(row["headroom"] > 0 for row in explained["regions"])


async def _all_ready(fleet: Fleet, session: aiohttp.ClientSession, asked: str) -> bool:
    for vm in fleet.vms.values():
        async with session.get(f"http://{vm.caller}/v1/lookup?{asked}") as r:
            if r.status != HTTPStatus.OK:
                return False
    return True


async def _operate(operator: Operator, service: str, server: str) -> dict[str, Any]:
    """Change the policy after one phase, and drain a backend server after two."""
    notes: dict[str, Any] = {}
    await asyncio.sleep(_PHASE_S)
    body = {"policy": "headroom"}
    _, notes["policy"] = await operator.call("PUT", f"/v1/services/{service}/policy", body)
    await asyncio.sleep(_PHASE_S)
    began = time.monotonic()
    _, notes["drain"] = await operator.call("PUT", f"/v1/drains/server/{server}")

    async def drained() -> bool:
        rows = (await operator.get("/v1/status"))["drains"]
        return any(r["thing"] == f"server:{server}" and not r["in_flight"] for r in rows)

    await wait_until(drained, "the drain", longest_s=_PHASE_S)
    notes["drain_seconds"] = time.monotonic() - began
    return notes


def _table(results: list[Result], sampler: Sampler, notes: dict[str, Any]) -> Table:
    table = Table(title="latency as callers see it, and least headroom of any region")
    for column in ("phase", "service", "requests", "answered", "p50 ms", "p99 ms", "headroom"):
        table.add_column(column, justify="left" if column in ("phase", "service") else "right")
    for number, phase in enumerate(_PHASES):
        begin, end = number * _PHASE_S, (number + 1) * _PHASE_S
        for service in sampler.services:
            rows = [r for r in results if r.service == service and begin <= r.at < end]
            times = [r.latency_ms for r in rows if r.outcome == "answered"]
            table.add_row(
                phase,
                service,
                str(len(rows)),
                str(len(times)),
                f"{quantile(times, 0.5):.1f}",
                f"{quantile(times, 0.99):.1f}",
                f"{sampler.least(service, begin, end):.2f}",
            )
    table.caption = f"drain of one backend server: {notes['drain_seconds']:.2f} s"
    return table


async def _demo(configuration: Configuration, seed: int) -> int:
    console = Console(width=None if sys.stdout.isatty() else 100)
    flows = [flow_of(service) for service in configuration.service]
    work_ms = {service.name: work_ms_of(service) for service in configuration.service}
    with Fleet(configuration, work_ms=work_ms, seed=seed) as fleet:
        async with aiohttp.ClientSession() as session:
            console.print(f"starting {len(fleet.vms)} entry VMs and their stand-ins")
            operator = await _start(fleet, session, configuration)
            entry: dict[str, list[str]] = {}
            for vm in fleet.vms.values():
                entry.setdefault(vm.region, []).append(vm.caller)
            load = Load(configuration, entry, flows, seed=seed)
            sampler = Sampler(operator, configuration)
            sampling = asyncio.create_task(sampler.run(time.monotonic()))
            server = configuration.pool[0].servers[0]
            console.print(f"load for {_PHASE_S * len(_PHASES):.0f} s; policy change, then a drain")
            operating = asyncio.create_task(
                _operate(operator, configuration.service[0].name, server)
            )
            await load.run(_PHASE_S * len(_PHASES))
            notes = await operating
            sampling.cancel()
            runs, shed, over = await runs_at_servers(configuration)
        statuses = fleet.stop_daemons()
    console.print(_table(load.results, sampler, notes))
    return _verdict(console, configuration, load.results, runs, shed, over, statuses)


def _verdict(
    console: Console,
    configuration: Configuration,
    results: list[Result],
    runs: Any,
    shed: int,
    over: list[str],
    statuses: dict[str, int],
) -> int:
    services = {service.name: service for service in configuration.service}
    broken = broken_promises(results, runs, services)
    broken += [f"{server}: ran more than its slots" for server in over]
    broken += [f"{vm}: exit status {code}" for vm, code in statuses.items() if code]
    answered = sum(result.outcome == "answered" for result in results)
    refused = sum(result.outcome == "not-run" for result in results)
    unknown = sum(result.outcome == "unknown" for result in results)
    console.print(
        f"{len(results)} requests: {answered} answered, {refused} refused as not run, "
        f"{unknown} unknown; {shed} refusals by backend servers on the way"
    )
    for line in broken[:20]:
        console.print(f"BROKEN {line}", markup=False)
    console.print("every answer was complete and its own" if not broken else "promises broken")
    return 1 if broken else 0


def main(configuration: str = "examples/freight.toml", seed: int = 1) -> None:
    """Run the demo.

    Args:
        configuration: A deployment on loopback addresses.
        seed: Seed of all arrivals.
    """
    sys.exit(asyncio.run(_demo(load_configuration(Path(configuration)), seed)))


if __name__ == "__main__":
    fire.Fire(main)
