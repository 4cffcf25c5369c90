"""Configurations that replace many routes let an entry VM grow until the platform kills it."""

import asyncio
import contextlib
import sys
from pathlib import Path
from typing import Any

sys.path.append(str(Path(__file__).resolve().parent.parent))

from fleet_2 import (
    TROUBLE,
    Backend,
    CannotRunError,
    Fleet,
    KeptConnection,
    Record,
    Vm,
    ask_each,
    configuration,
    enforce_memory,
    fleet,
    main,
    request_head,
    route,
)

MEMORY_MB = 200
"""Memory of the smaller entry VMs of the site."""

MAX_VALUE_BYTES = 1_048_576
"""Longest value that the store takes, as the settings of the pages state it."""

ROUTES = 1000
"""Routes that each configuration adds; `big_config` of the site file adds 1,400."""

KEPT = 2
"""Configurations for which a route stays, until another one removes it."""

CONFIGURATIONS = 9
OTHERS = 6
"""Clients with a request at a server at any time, each on a kept connection."""

MOST_CLOSED = 3
"""Kept connections that may be closed without an answer, by the rule."""

CONTACT_S = 4.0
APPLIED_S = 0.7
"""Time for which the clients wait with a new route, which the VM has by then."""

DEADLINE_MS = 8602
WORK_S = 1.0


def routes_of(number: int) -> list[dict[str, Any]]:
    """Return the routes that a configuration adds; without the disruption, the first ones again."""
    series = number if TROUBLE else (number - 1) % KEPT
    return [
        route(f"r{series}x{each}", "safe", "egyenleg", "2000ms", TargetLatency="1090ms")
        for each in range(ROUTES)
    ]


def put_configuration(deployment: Fleet, number: int, record: Record) -> None:
    """Write a configuration, as the operator does."""
    routes = [
        route("posting", "unsafe", "befizetes", f"{DEADLINE_MS}ms"),
        *(
            each
            for kept in range(max(1, number - KEPT + 1), number + 1)
            for each in routes_of(kept)
        ),
    ]
    value = configuration(f"r{7 + number}", ["egyenleg", "befizetes"], routes)
    if len(value) > MAX_VALUE_BYTES:
        raise CannotRunError(f"the configuration has {len(value)} bytes")
    deployment.store.put("op/config", value)
    record.note(f"operator: configuration r{7 + number}, {len(routes)} routes, {len(value)} bytes")


class Poster:
    """A client that posts one payment after another on a kept connection."""

    def __init__(self, vm: Vm, number: int) -> None:
        self.client = KeptConnection(vm.addresses["Front"])
        self.number = number
        self.served = 0
        self.lost = ""

    async def run(self) -> None:
        """Post until a connection ends without an answer."""
        while not self.lost:
            name = f"post-{self.number}-{self.served}"
            head = request_head("POST", "/posting/7", name, DEADLINE_MS, 4)
            answer = await self.client.exchange(head + b"paid", DEADLINE_MS / 1000)
            if answer is None:
                self.lost = name
            self.served += 1


async def play(vm: Vm, deployment: Fleet, servers: list[Backend], record: Record) -> bool:
    """Write the configurations and ask each route once; return the verdict."""
    posters = [Poster(vm, number) for number in range(OTHERS)]
    tasks = [asyncio.create_task(poster.run()) for poster in posters]
    await asyncio.sleep(CONTACT_S)
    for number in range(1, CONFIGURATIONS + 1):
        put_configuration(deployment, number, record)
        await asyncio.sleep(APPLIED_S)
        paths = [f"/{each['Name']}/{number}" for each in routes_of(number)]
        served = await ask_each(vm, paths, DEADLINE_MS)
        record.note(
            f"clients: {served} of {len(paths)} requests served, one on each route; "
            f"memory of the process: {vm.memory_mib('VmRSS'):.0f} MiB"
        )
        if not vm.running:
            break
    await asyncio.sleep(WORK_S / 2)
    passed_on = {run.request_id for server in servers for run in server.runs}
    lost = [poster.lost for poster in posters if poster.lost in passed_on]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    record.note(f"payments served: {sum(poster.served for poster in posters) - len(lost)}")
    record.note(f"kept connections closed without an answer after a request was passed on: {lost}")
    return len(lost) <= MOST_CLOSED


async def run(record: Record) -> bool:
    """Run the case; return whether the rule held."""
    quiet = Record(record.path.with_name("servers.tmp"))
    lookups = [Backend(f"i-look-{each}", quiet, work_s=0.002) for each in range(4)]
    postings = [Backend(f"i-post-{each}", quiet, work_s=WORK_S) for each in range(3)]
    async with contextlib.AsyncExitStack() as stack:
        stack.callback(quiet.path.unlink)
        deployment = await stack.enter_async_context(fleet(1))
        for server in (*lookups, *postings):
            await stack.enter_async_context(server.listening())
        [vm] = deployment.vms
        vm.limit(MemoryMb=MEMORY_MB, CpuShare=0.43, LinkMbps=100.0)
        put_configuration(deployment, 0, record)
        for service, group in (("egyenleg", lookups), ("befizetes", postings)):
            for server in group:
                deployment.store.put(f"servers/{server.server_id}", server.entry(service))
        await vm.start()
        await vm.ready()
        record.note(f"memory of the process: {vm.memory_mib('VmRSS'):.0f} MiB")
        platform = asyncio.create_task(enforce_memory(vm, MEMORY_MB, record))
        try:
            return await play(vm, deployment, postings, record)
        finally:
            platform.cancel()
            await asyncio.gather(platform, return_exceptions=True)


if __name__ == "__main__":
    main(run, Path(__file__).resolve().parent)
