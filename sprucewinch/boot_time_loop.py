"""An event loop whose time goes on while the VM is suspended.

Owns that loop. asyncio's own takes Linux's steady clock, which stands still then: each timeout
would have as much left after a suspension as before it, and a request would be held for longer than
its caller waits. A timer that became due meanwhile fires with the next event, or after what was
left of the loop's wait, which regular work keeps short. Relies on `clock.since_boot`. Tests:
`test_boot_time_loop`.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from .clock import since_boot

T = TypeVar("T")


class BootTimeEventLoop(asyncio.SelectorEventLoop):
    """asyncio's loop on the time since boot.

    Args:
        now: Returns that time, in seconds.
    """

    def __init__(self, now: Callable[[], float] = since_boot) -> None:
        self.now = now
        super().__init__()

    def time(self) -> float:
        """Return the time since the VM's boot, in seconds."""
        return self.now()


def run(work: Coroutine[Any, Any, T], now: Callable[[], float] = since_boot) -> T:
    """Run a coroutine on such a loop and return its result.

    Args:
        work: The coroutine.
        now: Returns the time since boot, in seconds.
    """
    with asyncio.Runner(loop_factory=lambda: BootTimeEventLoop(now)) as runner:
        return runner.run(work)
