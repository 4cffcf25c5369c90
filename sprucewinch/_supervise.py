"""Runs a loop of a process for as long as the process lives.

Owns nothing: the caller keeps the task, counts and logs each failure, and chooses the pause.
Relies on asyncio alone; cancelling the task ends the loop.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

Step = Callable[[], Coroutine[Any, Any, None]]
"""Returns a coroutine that runs one round of a loop, or all of it."""


async def forever(step: Step, failed: Callable[[Step, Exception], None], *, pause_s: float) -> None:
    """Run a step again and again; a failure of one round does not end the loop.

    Args:
        step: Run again as soon as it has ended.
        failed: Counts and logs a failure of the step.
        pause_s: Time between a failure and the next run, in seconds.
    """
    while True:
        try:
            await step()
        except Exception as error:  # noqa: BLE001  a loop outlives any fault of a step, logged
            failed(step, error)
            await asyncio.sleep(pause_s)
