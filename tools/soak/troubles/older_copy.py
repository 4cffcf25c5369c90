"""The store is away for a moment and returns from an older copy.

Owns the trouble, and what the operators and the servers write again then. The durations only have
to vary.
"""

import asyncio

from standins.consortium_store import Fault, StoreCopy

from ..ledger import SERVERS
from .trouble import Trouble

_AWAY_S = 0.8
_MIN_AGE_S, _MAX_AGE_S = 0.5, 4.0
"""Age of the copy in seconds, drawn uniformly."""

_MIN_PAUSE_S, _MAX_PAUSE_S = 0.1, 2.0
"""Time until something is written again in seconds, drawn uniformly for each key."""

_LAPSE_S = 3.0
"""Time until the entry of a server lapses that has ended, in seconds."""

_OPERATORS_PREFIX = "op/"
_SERVERS_PREFIX = "servers/"


class StoreReturns(Trouble):
    """The store loses its last seconds; this excuses no entry VM."""

    scope = SERVERS

    async def _inject(self) -> None:
        store = self.world.store
        copy = store.copy()
        await asyncio.sleep(self.rng.uniform(_MIN_AGE_S, _MAX_AGE_S))
        store.fault = Fault.RESET
        await asyncio.sleep(_AWAY_S)
        before = store.copy()
        store.return_from(copy)
        store.fault = Fault.NONE
        await self._write_again(copy, before)

    async def _write_again(self, copy: StoreCopy, before: StoreCopy) -> None:
        """Let the operators and the servers write again what they wrote since the copy."""
        async with asyncio.TaskGroup() as writes:
            for key in sorted({*copy.items, *before.items}):
                kept, lost = copy.items.get(key), before.items.get(key)
                own = key.startswith((_OPERATORS_PREFIX, _SERVERS_PREFIX))
                if own and kept != lost:
                    value = lost["Value"] if lost is not None else None
                    writes.create_task(self._write(key, value, copy.revision))

    async def _write(self, key: str, value: str | None, revision: int) -> None:
        """Write a key, unless that has been done in the new era already.

        Args:
            key: The key.
            value: Its value, in base64; None to remove it.
            revision: Revision of the copy.
        """
        lapses = value is None and key.startswith(_SERVERS_PREFIX)
        pause_s = _LAPSE_S if lapses else self.rng.uniform(_MIN_PAUSE_S, _MAX_PAUSE_S)
        await asyncio.sleep(pause_s)
        store = self.world.store
        held = store.items.get(key)
        if held is not None and held["Revision"] > revision:
            return
        if value is None:
            store.remove(key)
        else:
            store.put_encoded(key, value)
