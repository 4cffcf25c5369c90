"""Waiting for a slot without holding up anyone else."""

import asyncio
from typing import Union

from ...clock import Clock
from ...net.outcome import Reason, Refusal, not_run
from .admission import Admission, Slot


async def wait_for_slot(
    admission: Admission, longest_s: float, clock: Clock
) -> Union[Slot, Refusal]:
    """Wait in the queue of an admission.

    Args:
        admission: The admission.
        longest_s: Longest wait, in seconds.
        clock: Source of time.

    Returns:
        A slot, or a refusal when none became free in time or the queue is full.
    """
    freed: asyncio.Future[Slot] = asyncio.get_running_loop().create_future()

    def take(slot: Slot) -> bool:
        if freed.done():
            return False
        freed.set_result(slot)
        return True

    if longest_s <= 0 or not admission.wait(take):
        return not_run(Reason.NO_ROOM)
    try:
        await asyncio.wait((freed,), timeout=longest_s)
    except asyncio.CancelledError:
        if freed.done():
            admission.release(freed.result(), clock.monotonic())
        raise
    finally:
        admission.stop_waiting(take)
        freed.cancel()
    if freed.cancelled():
        return not_run(Reason.NO_ROOM)
    return freed.result()
