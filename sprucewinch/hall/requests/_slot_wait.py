"""The rule on waiting: how long a request waits for a slot, also when its caller leaves.

Inputs: the admission of the service and the longest wait in seconds (the service's `max_wait_ms`
or the time to the request's deadline, if that is shorter).
The rule: a request waits in the admission's queue, first come, first served, until a slot is given
to it or its time is over. A full queue refuses at once. A request that is cancelled while it is
given a slot releases that slot.
Why: a bounded queue evens out short peaks; the bound and the time keep a wait from outlasting its
use.
Constants: none here; the length of the queue is `admission.MAX_WAITING_REQUESTS`.
Where it shows: refusals counted as `no-room`. Tests: `tests.test_admission`.
"""

import asyncio
import functools
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
    take = functools.partial(_take, freed)
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


def _take(freed: "asyncio.Future[Slot]", slot: Slot) -> bool:
    """Give a slot to a waiting request; returns False when the request waits no more."""
    if freed.done():
        return False
    freed.set_result(slot)
    return True
