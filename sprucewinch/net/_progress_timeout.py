"""Timeouts that an answer's progress extends: a call continues while bytes arrive.

Decides when a peer has failed to answer in time. It has `first_s` seconds until its first byte,
then `silence_s` from each byte to the next, and `most_s` in all. A limit on the total time alone
would fail every answer that is larger than the link can carry in that time, also when the call is
retried: with such limits a configuration of 0.95 MB never reached VMs with links of 5 Mbit/s, and
with this rule it arrives within 3 s (`tests/test_gateway_large_items.py`, on simulated links).
Relies on the event loop's clock alone; used by `connection` and by clients that keep a connection.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple, Optional, TypeVar

T = TypeVar("T")


class Patience(NamedTuple):
    """Timeouts of one answer, in seconds.

    Args:
        first_s: Until its first byte, including the time to connect.
        silence_s: From one byte to the next. It never ends a call before `first_s` is over, so that
            a peer may send its headers at once and wait that long until it has data to send.
        most_s: Until its last byte, so that a peer that sends very slowly cannot block the caller
            without limit.
    """

    first_s: float
    silence_s: float
    most_s: float

    @classmethod
    def in_all(cls, seconds: float) -> "Patience":
        """Return a limit on the total time alone, for answers that are always small."""
        return cls(seconds, seconds, seconds)

    def until(self, started: float, last_byte_at: Optional[float]) -> float:
        """Return the time at which the call times out, in seconds of the caller's clock.

        Args:
            started: When the call started.
            last_byte_at: When the last byte arrived; None before the first. A byte from before the
                start belongs to an earlier answer on the same connection and does not count.
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
    """Run a call until it ends or one of its timeouts is over.

    Args:
        work: The call; cancelled on a timeout.
        last_byte_at: Returns when the last byte arrived; see `Patience.until`.
        patience: The timeouts.

    Raises:
        TimeoutError: When a timeout is over.
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
