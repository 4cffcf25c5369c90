"""Signals that reach the platform's program during its start, before its gateway runs.

The process reports its imports by `-X importtime`, so that the test can send a signal at a chosen
moment of the start. The start of the interpreter itself, before the first line of the program,
cannot be covered by any program.
"""

import asyncio
import os
import signal
import sys
import tempfile
import unittest
from collections.abc import Iterator
from pathlib import Path

from tools.entry_vm import PROGRAM, ROOT, EntryVm, free_port, own_address

_PROGRAMS = (PROGRAM, "tools/soak_vm.py")
_MOMENTS = ("asyncio", "consortium", "sprucewinch.gateway.daemon")
"""Modules after whose import the signal is sent: the first, one in the middle and the last."""

_START_TIMEOUT_S = 30.0


class Starting(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        ip = self.enterContext(own_address())
        unused_address = f"{ip}:{free_port(ip)}"
        self.vm = EntryVm("vm1", ip, unused_address, free_port(ip), Path(folder.name))

    def moments(self) -> Iterator[tuple[str, str]]:
        """Return every combination of program and moment of the start."""
        return ((program, moment) for program in _PROGRAMS for moment in _MOMENTS)

    async def _start_and_signal(
        self, program: str, moment: str, number: signal.Signals
    ) -> asyncio.subprocess.Process:
        """Start a program, and send it a signal once it has imported a module."""
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-X", "importtime", program),
            cwd=ROOT,
            env={**os.environ, "SPRUCEWINCH_CONFIG": str(self.vm.settings)},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        self.addAsyncCleanup(self._kill, process)
        assert process.stderr is not None
        await self._until_line(process.stderr, f"| {moment}")
        process.send_signal(number)
        drained = asyncio.create_task(process.stderr.read())
        self.addCleanup(drained.cancel)
        return process

    async def _until_line(self, stream: asyncio.StreamReader, end: str) -> None:
        async with asyncio.timeout(_START_TIMEOUT_S):
            async for line in stream:
                if " ".join(line.decode().split()).endswith(end):
                    return
        self.fail(f"the process ended before it wrote {end!r}")

    async def _kill(self, process: asyncio.subprocess.Process) -> None:
        if process.returncode is None:
            process.kill()
            await process.wait()

    async def test_a_reload_before_the_gateway_runs_does_not_end_the_process(self) -> None:
        for program, moment in self.moments():
            with self.subTest(program=program, moment=moment):
                process = await self._start_and_signal(program, moment, signal.SIGHUP)
                assert process.stdout is not None
                async with asyncio.timeout(_START_TIMEOUT_S):
                    line = await process.stdout.readline()
                self.assertIn(b'"event":"start"', line)
                await self._kill(process)

    async def test_a_stop_before_the_gateway_runs_ends_in_order(self) -> None:
        for program, moment in self.moments():
            for number in (signal.SIGTERM, signal.SIGINT):
                with self.subTest(program=program, moment=moment, signal=number.name):
                    process = await self._start_and_signal(program, moment, number)
                    assert process.stdout is not None
                    async with asyncio.timeout(_START_TIMEOUT_S):
                        lines = (await process.stdout.read()).splitlines()
                        self.assertEqual(await process.wait(), 0)
                    self.assertIn(b'"event":"stop"', lines[-1])


if __name__ == "__main__":
    unittest.main()
