"""Workspaces in trouble: keys that come and go, rates that change, one that sends far too much.

Owns one class a kind. The first key of each workspace stays in every version, so that its callers
always have one that works; keys that were taken away are used for a while, as callers would.
"""

import asyncio

from ..configuration import RATES_PER_S, WORKSPACES, first_key
from ..ledger import OPERATORS
from .trouble import Trouble

_HOT_FACTOR = 7.5
"""How many times its usual a hot workspace sends."""

_LOWERED_PART = 0.25
"""Part of its rate that a workspace is left with when its limit is lowered."""


class Keys(Trouble):
    """A key is added to a workspace, used, and taken away again."""

    scope = OPERATORS
    planned = True

    async def _happen(self) -> None:
        name = self.rng.choice(WORKSPACES)
        configuration = self.world.configuration
        key = f"{first_key(name)}-{self.rng.randrange(1 << 30)}"
        configuration.keys[name] = [*configuration.keys[name], key]
        configuration.write()
        await asyncio.sleep(self.for_s)
        configuration.keys[name] = [held for held in configuration.keys[name] if held != key]
        configuration.write()


class HotWorkspace(Trouble):
    """One workspace sends many times its usual."""

    scope = OPERATORS
    planned = True

    async def _happen(self) -> None:
        name = self.rng.choice(WORKSPACES)
        self.world.hot[name] = _HOT_FACTOR
        await asyncio.sleep(self.for_s)
        self.world.hot.pop(name, None)


class LowerRate(Trouble):
    """A workspace's limit is lowered far below what it sends, and raised again."""

    scope = OPERATORS
    planned = True

    async def _happen(self) -> None:
        name = self.rng.choice(WORKSPACES)
        configuration = self.world.configuration
        configuration.rates_per_s[name] = RATES_PER_S[name] * _LOWERED_PART
        configuration.write()
        await asyncio.sleep(self.for_s)
        configuration.rates_per_s[name] = RATES_PER_S[name]
        configuration.write()
