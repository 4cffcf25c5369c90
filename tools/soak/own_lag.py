"""Detects pauses of the soak's own process, for which the entry VMs are not to blame.

The stand-ins and relays run in the soak's process and stop with it, so a pause of its event loop is
recorded as a trouble of all entry VMs.
"""

import asyncio

from .ledger import EVERYBODY, Ledger, TroubleSpan

_CHECK_INTERVAL_S = 0.05
"""Seconds between two checks of the soak's own clock; shorter than `_MIN_LAG_S`."""

_MIN_LAG_S = 0.15
"""Seconds between two checks beyond which a pause of the soak's process is recorded."""


async def watch_own_lag(ledger: Ledger) -> None:
    """Record every pause until cancelled."""
    loop = asyncio.get_running_loop()
    while True:
        before = loop.time()
        await asyncio.sleep(_CHECK_INTERVAL_S)
        now = loop.time()
        if now - before > _MIN_LAG_S:
            ledger.troubles.append(TroubleSpan("own lag", EVERYBODY, before, now))
