"""An event loop whose time advances while the VM is suspended.

asyncio's own loop uses Linux's monotonic clock, which stops during a suspension: each timeout would
have as much time left after the suspension as before it, and a request would be held for longer
than its caller waits. On `BootTimeEventLoop`, a timer that became due during a suspension fires
with the next event, or after the rest of the loop's current wait, which periodic work keeps short.
The module relies on `clock.since_boot`. Tested by `tests.test_boot_time_loop`.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from .clock import since_boot

T = TypeVar("T")


class BootTimeEventLoop(asyncio.SelectorEventLoop):
    """asyncio's selector event loop, using the time since boot.

    Args:
        now: Returns the time since boot, in seconds.
    """

    def __init__(self, now: Callable[[], float] = since_boot) -> None:
        self.now = now
        super().__init__()

    def time(self) -> float:
        """Return the time since the VM's boot, in seconds."""
        return self.now()


def run(work: Coroutine[Any, Any, T], now: Callable[[], float] = since_boot) -> T:
    """Run a coroutine on a `BootTimeEventLoop` and return its result.

    Args:
        work: The coroutine.
        now: Returns the time since boot, in seconds.
    """
    with asyncio.Runner(loop_factory=lambda: BootTimeEventLoop(now)) as runner:
        return runner.run(work)
