"""Detects pauses of the soak's own process, for which the entry VMs are not to blame.

The stand-ins and relays run in the soak's process and stop with it, so a pause of its event loop is
recorded as a trouble of all entry VMs. An entry VM that waits for a processor while the soak runs
is recorded too, but excuses nothing: the record shows in the promise HELD only.
"""

import asyncio
from collections.abc import Mapping
from pathlib import Path

from tools.entry_vm import EntryVm

from .ledger import EVERYBODY, Ledger, ProcessorWait, TroubleSpan

_CHECK_INTERVAL_S = 0.05
"""Seconds between two checks of the soak's own clock; shorter than `_MIN_LAG_S`."""

_MIN_LAG_S = 0.15
"""Seconds between two checks beyond which a pause of the soak's process is recorded."""


_NS_PER_S = 1e9


async def watch_own_lag(ledger: Ledger, vms: Mapping[str, EntryVm]) -> None:
    """Record every pause of the soak, and every wait of an entry VM, until cancelled."""
    loop = asyncio.get_running_loop()
    waited: dict[int, float] = {}
    while True:
        before = loop.time()
        await asyncio.sleep(_CHECK_INTERVAL_S)
        now = loop.time()
        if now - before > _MIN_LAG_S:
            ledger.troubles.append(TroubleSpan("own lag", EVERYBODY, before, now))
        for vm in vms.values():
            if vm.process is None:
                continue
            pid, total_s = vm.process.pid, _waited_s(vm.process.pid)
            if total_s - waited.get(pid, total_s) > _MIN_LAG_S:
                ledger.waits.append(ProcessorWait(vm.name, now, total_s - waited[pid]))
            waited[pid] = total_s


def _waited_s(pid: int) -> float:
    """Return for how long a process has waited for a processor in all, in seconds; 0 if it ended.

    The kernel counts a wait when it ends.
    """
    try:
        _, waited_ns, _ = Path(f"/proc/{pid}/schedstat").read_text(encoding="utf-8").split()
    except OSError:
        return 0.0
    return int(waited_ns) / _NS_PER_S
