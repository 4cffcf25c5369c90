"""Runs a loop of a process for as long as the process lives.

The module holds no state: the caller keeps the task, counts and logs each failure, and sets the
pause. It relies on asyncio alone; cancelling the task ends the loop.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

Step = Callable[[], Coroutine[Any, Any, None]]
"""Returns a coroutine that runs one round of a loop, or all of it."""


async def forever(step: Step, failed: Callable[[Step, Exception], None], *, pause_s: float) -> None:
    """Run a step repeatedly; a failure of one run does not end the loop.

    Args:
        step: Run again as soon as it returns.
        failed: Called with the step and its exception; counts and logs the failure.
        pause_s: Time between a failure and the next run, in seconds.
    """
    while True:
        try:
            await step()
        except Exception as error:  # noqa: BLE001  a failed step must not end the loop
            failed(step, error)
            await asyncio.sleep(pause_s)
