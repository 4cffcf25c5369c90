"""Supervises the entry VMs of one day, and knows which of them are ready.

Owns their processes: restarts each whenever it has ended, as the platform would, and sends the
signals that troubles request. Starts, ends and signals are recorded in the ledger with their times,
by which `promises` judges. Relies on `tools.entry_vm` for a single process.
"""

import asyncio
import contextlib
import signal
from collections.abc import Mapping

from tools.entry_vm import EntryVm

from .ledger import START, Ledger, TroubleSpan

_RESTART_DELAY_S = 0.3
"""Seconds from the end of a process to its restart."""

_READY_TIMEOUT_S = 30.0
"""Seconds for all entry VMs to become ready on a busy machine."""

_POLL_S = 0.05
"""Seconds between two readiness checks of a process."""

_READY_CHECK_TIMEOUT_S = 1.0
"""Timeout of one readiness check, in seconds."""

_ENDING = (int(signal.SIGTERM), int(signal.SIGKILL))
"""Signals that end a process."""


class VmKeeper:
    """Supervisor of the entry VMs.

    Args:
        vms: Entry VMs, by name.
        ledger: Record of the day.

    Attributes:
        ready: Names of the entry VMs whose process is ready.
    """

    def __init__(self, vms: Mapping[str, EntryVm], ledger: Ledger) -> None:
        self.ready: set[str] = set()
        self._vms = vms
        self._ledger = ledger
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Start all entry VMs, and restart each when it ends."""
        self._tasks += [asyncio.create_task(self._supervise(vm)) for vm in self._vms.values()]

    async def stop(self) -> None:
        """Restart none any more, and kill all."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for vm in self._vms.values():
            await vm.kill()

    async def until_all_ready(self) -> bool:
        """Wait until every entry VM is ready and none is stopping; return False on a timeout.

        A start may take many times as long on a busy machine as on an idle one.
        """
        try:
            async with asyncio.timeout(_READY_TIMEOUT_S):
                while not all(self._is_up(vm) for vm in self._vms.values()):
                    await asyncio.sleep(_POLL_S)
        except TimeoutError:
            return False
        return True

    def signal(self, vm: EntryVm, number: signal.Signals) -> None:
        """Send a signal to an entry VM's process if it runs, and record it."""
        if not vm.running:
            return
        now = asyncio.get_running_loop().time()
        # The process may have ended while its exit status has not been read yet.
        with contextlib.suppress(ProcessLookupError):
            vm.signal(number)
            self._ledger.signalled[vm.name].append((now, int(number)))

    async def _supervise(self, vm: EntryVm) -> None:
        """Start an entry VM, and restart it whenever it has ended."""
        loop = asyncio.get_running_loop()
        while True:
            started_at = loop.time()
            await vm.start()
            await self._until_ready(vm, started_at)
            status = await vm.ended()
            self.ready.discard(vm.name)
            self._ledger.ends[vm.name].append((loop.time(), status))
            await asyncio.sleep(_RESTART_DELAY_S)

    async def _until_ready(self, vm: EntryVm, started_at: float) -> None:
        """Wait until an entry VM is ready, and record the time until then as a trouble."""
        host, port = vm.addresses["Ready"].split(":")
        while vm.running:
            await asyncio.sleep(_POLL_S)
            if not vm.running:
                break
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(_READY_CHECK_TIMEOUT_S):
                    if await _is_ready(host, int(port)):
                        self.ready.add(vm.name)
                        break
        now = asyncio.get_running_loop().time()
        self._ledger.troubles.append(TroubleSpan(START, vm.name, started_at, now))

    def _is_up(self, vm: EntryVm) -> bool:
        signals = [at for at, n in self._ledger.signalled[vm.name] if n in _ENDING]
        ends = [at for at, _ in self._ledger.ends[vm.name]]
        stopping = bool(signals) and max(signals) > max(ends, default=float("-inf"))
        return vm.name in self.ready and not stopping


async def _is_ready(host: str, port: int) -> bool:
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(b"GET /sprucewinch/readyz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
        return b" 200 " in await reader.readline()
    finally:
        writer.close()
