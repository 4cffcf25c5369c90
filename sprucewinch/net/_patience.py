"""Waits that do not count the time in which this process stood still.

A process that is frozen, or kept from its processor, finds all its timers due when it goes on,
before it has looked at what arrived meanwhile. A peer that answered in time is not to blame.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

STALL_S = 0.05
"""How late a timer has to be for this process to have stood still, in seconds."""

T = TypeVar("T")


async def run_within(work: Coroutine[Any, Any, T], timeout_s: float) -> T:
    """Run something for at most some time, and once more that long if this process stood still.

    Args:
        work: What to run; cancelled when its time is over.
        timeout_s: Longest time, in seconds.

    Raises:
        TimeoutError: When it took longer.
    """
    loop = asyncio.get_running_loop()
    task = loop.create_task(work)
    try:
        due = loop.time() + timeout_s
        await asyncio.wait((task,), timeout=timeout_s)
        if not task.done() and loop.time() - due > STALL_S:
            await asyncio.wait((task,), timeout=timeout_s)
        if not task.done():
            raise TimeoutError
        return await task
    finally:
        task.cancel()
