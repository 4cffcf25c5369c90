"""Timeouts that do not count the time in which this process stood still.

Question: has a peer failed to answer in time, or did this process not run? A process that is
stopped, or kept from its processor, finds all its timers due when it continues, before it has
read what arrived meanwhile; a peer that answered in time would count as silent. Rule: when the
timer fires late by more than `STALL_S`, the work gets its whole timeout once more. With stop
signals of 0.45 s during six requests one server was blamed without the rule and none with it.
Relies on the event loop's clock alone; used by `connection`. Tests:
`tests/test_gateway_connection.py`.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

STALL_S = 0.05
"""Seconds by which a timer is late once this process counts as having stood still.

The stops that the rule was tried with lasted 0.45 s.
"""

T = TypeVar("T")


async def run_within(work: Coroutine[Any, Any, T], timeout_s: float) -> T:
    """Run work under a timeout, which is granted once more when this process stood still.

    Args:
        work: Coroutine to run; cancelled when its time is over.
        timeout_s: Timeout, in seconds.

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
