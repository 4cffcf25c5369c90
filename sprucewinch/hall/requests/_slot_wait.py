"""Waiting for a slot: decides how long a request waits, also when it is cancelled meanwhile.

The decision needs the admission of the service and the wait limit in seconds, which is the
service's `max_wait_ms` or, if shorter, the time until the request's deadline. A request waits in
the first-in, first-out queue of the admission until it gets a slot or the limit is reached. It is
refused at once when the queue is full. A request that is cancelled just as it gets a slot, as when
its caller disconnects, releases that slot.

A bounded queue absorbs short peaks of load. The two limits keep requests from waiting so long that
their answers are of no use. The module has no constants; the length of the queue is
`admission.MAX_WAITING_REQUESTS`. Refusals are counted as `no-room`. Tested by
`tests.test_admission`.
"""

import asyncio
import functools
from typing import Union

from ...clock import Clock
from ...net.outcome import Reason, Refusal, not_run
from .admission import Admission, Slot


async def wait_for_slot(
    admission: Admission, wait_limit_s: float, clock: Clock
) -> Union[Slot, Refusal]:
    """Wait in the queue of an admission for a slot.

    Args:
        admission: The admission of the service.
        wait_limit_s: Maximum time to wait, in seconds.
        clock: Source of time.

    Returns:
        A slot; or a refusal when no slot became free in time or the queue is full.
    """
    slot_future: asyncio.Future[Slot] = asyncio.get_running_loop().create_future()
    waiter = functools.partial(_accept_slot, slot_future)
    if wait_limit_s <= 0 or not admission.wait(waiter):
        return not_run(Reason.NO_ROOM)
    try:
        await asyncio.wait((slot_future,), timeout=wait_limit_s)
    except asyncio.CancelledError:
        if slot_future.done():
            admission.release(slot_future.result(), clock.monotonic())
        raise
    finally:
        admission.stop_waiting(waiter)
        slot_future.cancel()
    if slot_future.cancelled():
        return not_run(Reason.NO_ROOM)
    return slot_future.result()


def _accept_slot(slot_future: "asyncio.Future[Slot]", slot: Slot) -> bool:
    """Pass a slot to a waiting request; returns False when the request no longer waits."""
    if slot_future.done():
        return False
    slot_future.set_result(slot)
    return True
