"""What all troubles share: one strikes for a while, mends what it harmed, and is on record.

Owns the record of a trouble in the ledger, with its scope and time, by which `promises` knows whom
it struck. What a trouble does is its kind's own.
"""

import abc
import random

from ..ledger import EVERYBODY, Struck
from ..world import World

DAZED_S = 0.5
"""Seconds that a trouble counts after its end: what it held back arrives then. A guess."""

EVEN = 0.5
"""Chance of each of two ways that are as likely as each other; chosen so, not measured."""


class Trouble(abc.ABC):
    """Something that goes wrong for a while.

    `scope` says whom it strikes, and `planned` whether it is work that must cut nothing off; see
    `Struck`.

    Args:
        world: The day.
        rng: Source of randomness.
        for_s: How long, in seconds.
    """

    scope = EVERYBODY
    planned = False

    def __init__(self, world: World, rng: random.Random, for_s: float) -> None:
        self.world = world
        self.rng = rng
        self.for_s = for_s

    async def strike(self) -> None:
        """Strike, and record how long it lasted."""
        start = self.world.loop.time()
        held = Struck(type(self).__name__, self.scope, start, float("inf"), self.planned)
        struck = self.world.ledger.struck
        struck.append(held)
        try:
            await self._happen()
        finally:
            end = self.world.loop.time() + DAZED_S
            struck[struck.index(held)] = held._replace(end=end)

    @abc.abstractmethod
    async def _happen(self) -> None:
        """Let it happen, and mend it."""
