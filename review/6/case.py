"""An upload within the limits takes an entry VM over its memory, and the platform kills it."""

import asyncio
import contextlib
import sys
from pathlib import Path

sys.path.append(str(Path(__file__).resolve().parent.parent))

from fleet_2 import (
    OK,
    TROUBLE,
    Answer,
    Backend,
    KeptConnection,
    Record,
    Vm,
    configuration,
    enforce_memory,
    fleet,
    main,
    request_head,
    route,
)

MEMORY_MB = 200
"""Memory of the smaller entry VMs of the site."""

LARGE_BYTES = 50_000_000 if TROUBLE else 360_000
"""A body well below `MaxBodyBytes`; without the disruption, the longest of a usual day."""

SMALL_BYTES = 360_000
"""The longest body of a usual day."""

OTHERS = 6
"""Clients with an upload of their own at the same VM."""

MOST_CLOSED = 3
"""Kept connections that may be closed without an answer, by the rule."""

CONTACT_S = 4.0
"""Time without a disruption after which a machine is in touch, as the site states it."""

DEADLINE_MS = 9771
"""Deadline of uploads, as the site states it."""

WORK_S = 2.0


async def upload(
    client: KeptConnection, request_id: str, size: int, record: Record
) -> Answer | None:
    """Upload a body; return the answer, None when the connection ends without one."""
    record.note(f"client sends upload {request_id} of {size} bytes")
    head = request_head("POST", "/manifest/7", request_id, DEADLINE_MS, size)
    answer = await client.exchange(head + bytes(size), DEADLINE_MS / 1000)
    told = "no answer: its connection ended" if answer is None else f"status {answer.status}"
    record.note(f"client of {request_id} gets {told}")
    return answer


async def play(vm: Vm, servers: list[Backend], record: Record) -> bool:
    """Let the others upload on kept connections and one client beside them; return the verdict."""
    others = [KeptConnection(vm.addresses["Front"]) for _ in range(OTHERS)]
    for number, client in enumerate(others):
        answer = await upload(client, f"first-{number}", 1000, record)
        if answer is None or answer.status != OK:
            record.note("an upload of the lead was not served")
    await asyncio.sleep(CONTACT_S)
    names = [f"second-{number}" for number in range(OTHERS)]
    tasks = [
        asyncio.create_task(upload(client, name, SMALL_BYTES, record))
        for client, name in zip(others, names, strict=True)
    ]
    await asyncio.sleep(WORK_S / 4)
    large = KeptConnection(vm.addresses["Front"])
    await upload(large, "large", LARGE_BYTES, record)
    answers = await asyncio.gather(*tasks)
    passed_on = {run.request_id for server in servers for run in server.runs}
    lost = [
        name
        for name, answer in zip(names, answers, strict=True)
        if answer is None and name in passed_on
    ]
    for client in (*others, large):
        client.close()
    record.note(f"kept connections closed without an answer after a request was passed on: {lost}")
    record.note(f"most memory of the process: {vm.memory_mib():.0f} MiB (0 for one that has ended)")
    return len(lost) <= MOST_CLOSED


async def run(record: Record) -> bool:
    """Run the case; return whether the rule held."""
    servers = [Backend(f"i-{each}", record, work_s=WORK_S) for each in range(3)]
    async with contextlib.AsyncExitStack() as stack:
        deployment = await stack.enter_async_context(fleet(1))
        for server in servers:
            await stack.enter_async_context(server.listening())
        [vm] = deployment.vms
        vm.limit(MemoryMb=MEMORY_MB, CpuShare=0.43, LinkMbps=100.0)
        routes = [route("manifest", "upload", "docintake", f"{DEADLINE_MS}ms")]
        deployment.store.put("op/config", configuration("r7", ["docintake"], routes))
        for server in servers:
            deployment.store.put(f"servers/{server.server_id}", server.entry("docintake"))
        await vm.start()
        await vm.ready()
        platform = asyncio.create_task(enforce_memory(vm, MEMORY_MB, record))
        try:
            return await play(vm, servers, record)
        finally:
            platform.cancel()
            await asyncio.gather(platform, return_exceptions=True)


if __name__ == "__main__":
    main(run, Path(__file__).resolve().parent)
