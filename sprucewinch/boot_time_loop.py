"""An event loop whose time goes on while the VM is suspended.

Owns that loop. asyncio's own takes Linux's steady clock, which stands still then: each timeout
would have as much left after a suspension as before it, and a request would be held for longer than
its caller waits. A timer that became due meanwhile fires with the next event, or after what was
left of the loop's wait, which regular work keeps short. Relies on `clock.since_boot`. Tests:
`test_boot_time_loop`.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from .clock import since_boot

T = TypeVar("T")


class BootTimeEventLoop(asyncio.SelectorEventLoop):
    """asyncio's loop on the time since boot."""

    def time(self) -> float:
        """Return the time since the VM's boot, in seconds."""
        return since_boot()


def run(work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on such a loop and return its result."""
    with asyncio.Runner(loop_factory=BootTimeEventLoop) as runner:
        return runner.run(work)
