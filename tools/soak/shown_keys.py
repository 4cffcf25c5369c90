"""Looks for API keys where none may be shown: in log lines, metrics and state of the entry VMs.

Owns the promise SECRET. Relies on `world` for the VMs and their addresses.
"""

import json

import aiohttp

from tools.entry_vm import METRICS_PORT, EntryVm

from .configuration import KEY_START
from .world import World

_PAGE_TIMEOUT_S = 2.0
"""Timeout of one request for a VM's metrics or state, in seconds."""


async def judge_shown_keys(world: World) -> None:
    """Record a broken promise for each entry VM that shows an API key."""
    timeout = aiohttp.ClientTimeout(total=_PAGE_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        for vm in world.vms.values():
            shown = [json.dumps(line) for line in vm.lines]
            shown += [await _page(session, vm, path) for path in ("/metrics", "/state")]
            if any(KEY_START in text for text in shown):
                world.ledger.record_broken("SECRET", f"{vm.name} shows an API key")


async def _page(session: aiohttp.ClientSession, vm: EntryVm, path: str) -> str:
    try:
        async with session.get(f"http://{vm.ip}:{METRICS_PORT}{path}") as response:
            return await response.text()
    except (aiohttp.ClientError, TimeoutError):
        # A VM that is restarting serves no pages; its log lines are judged all the same.
        return ""
