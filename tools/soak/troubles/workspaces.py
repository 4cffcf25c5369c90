"""Troubles of workspaces: added and revoked keys, changed limits, one that sends far too much.

Owns one class for each kind. The first key of each workspace is in every version, so that its
callers always have a valid one; revoked keys are used for a while longer, as callers would.
"""

import asyncio

from ..configuration import RATES_PER_S, WORKSPACES, first_key
from ..ledger import OPERATORS
from .trouble import Trouble

_RATE_FACTOR = 7.5
"""Factor on the usual request rate of the workspace that sends too much."""

_LOWERED_PART = 0.25
"""Fraction of a workspace's limit that is left after the limit is lowered."""


class Keys(Trouble):
    """A key is added to a workspace, used for a while, and revoked."""

    scope = OPERATORS
    planned = True

    async def _inject(self) -> None:
        name = self.rng.choice(WORKSPACES)
        configuration = self.world.configuration
        key = f"{first_key(name)}-{self.rng.randrange(1 << 30)}"
        configuration.keys[name] = [*configuration.keys[name], key]
        configuration.write()
        await asyncio.sleep(self.for_s)
        configuration.keys[name] = [held for held in configuration.keys[name] if held != key]
        configuration.write()


class HotWorkspace(Trouble):
    """One workspace sends many times its usual rate."""

    scope = OPERATORS
    planned = True

    async def _inject(self) -> None:
        name = self.rng.choice(WORKSPACES)
        self.world.rate_factors[name] = _RATE_FACTOR
        await asyncio.sleep(self.for_s)
        self.world.rate_factors.pop(name, None)


class LowerRate(Trouble):
    """A workspace's limit is lowered far below its request rate, and restored later."""

    scope = OPERATORS
    planned = True

    async def _inject(self) -> None:
        name = self.rng.choice(WORKSPACES)
        configuration = self.world.configuration
        configuration.rates_per_s[name] = RATES_PER_S[name] * _LOWERED_PART
        configuration.write()
        await asyncio.sleep(self.for_s)
        configuration.rates_per_s[name] = RATES_PER_S[name]
        configuration.write()
