"""Timeouts on silence instead of size: work goes on while bytes arrive.

Question: has a peer failed to answer in time? Rule: it has `first_s` until its first byte, after
that `silence_s` from each byte to the next, and `most_s` in all. Reason: a limit on the whole time
fails each answer that is larger than the link carries in that time, also when it is asked for
again. With such limits a configuration of 0.95 MB never reached VMs with links of 5 Mbit/s; with
this rule it does within 3 s (`tests/test_gateway_large_items.py`, virtual links). Relies on the
event loop's clock alone; used by `connection` and by clients that keep a connection.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple, Optional, TypeVar

T = TypeVar("T")


class Patience(NamedTuple):
    """How long an answer may take, in seconds.

    Args:
        first_s: Until its first byte, with the connection.
        silence_s: From one byte to the next. It counts from `first_s` on, so that a peer that
            sends its headers at once, and then waits for something to tell, has that time too.
        most_s: In all, so that a peer that trickles holds nobody up without end.
    """

    first_s: float
    silence_s: float
    most_s: float

    @classmethod
    def in_all(cls, seconds: float) -> "Patience":
        """Return a limit on the whole time alone, for answers that are always small."""
        return cls(seconds, seconds, seconds)

    def until(self, started: float, last_byte_at: Optional[float]) -> float:
        """Return the time at which an answer is given up, in seconds of the caller's clock.

        Args:
            started: When the call started.
            last_byte_at: When the last byte arrived; None before the first. One that came before
                the start belongs to an earlier answer on the same connection.
        """
        due = started + self.first_s
        if last_byte_at is not None and last_byte_at >= started:
            due = max(due, last_byte_at + self.silence_s)
        return min(due, started + self.most_s)


async def run_while_progress(
    work: Coroutine[Any, Any, T],
    last_byte_at: Callable[[], Optional[float]],
    patience: Patience,
) -> T:
    """Run work until it ends or its bytes stay away.

    Args:
        work: Coroutine to run; cancelled when its time is over.
        last_byte_at: Returns when the last byte arrived, see `Patience.until`.
        patience: The limits.

    Raises:
        TimeoutError: When a limit was passed.
    """
    loop = asyncio.get_running_loop()
    started = loop.time()
    task = loop.create_task(work)
    try:
        while not task.done():
            left_s = patience.until(started, last_byte_at()) - loop.time()
            if left_s <= 0:
                raise TimeoutError
            await asyncio.wait((task,), timeout=left_s)
        return task.result()
    finally:
        task.cancel()
