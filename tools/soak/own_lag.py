"""Pauses of the soak's own process, which nobody may hold against the entry VMs.

Owns the look at the soak's clock: while its process stands still, so do the stand-ins and the
relays, so a pause is recorded as a trouble of all entry VMs.
"""

import asyncio

from .ledger import EVERYBODY, Ledger, Struck

_LOOK_S = 0.05
"""Seconds between looks at the soak's own clock; shorter than `_LAG_S`."""

_LAG_S = 0.15
"""Seconds of a pause of the soak's own process that strikes all entry VMs. A guess."""


async def watch_own_lag(ledger: Ledger) -> None:
    """Record every pause until cancelled."""
    loop = asyncio.get_running_loop()
    while True:
        before = loop.time()
        await asyncio.sleep(_LOOK_S)
        now = loop.time()
        if now - before > _LAG_S:
            ledger.struck.append(Struck("own lag", EVERYBODY, before, now))
