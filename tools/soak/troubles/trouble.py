"""Base class of all troubles: a trouble lasts for a while, undoes its effects, and is recorded.

Owns the record of a trouble in the ledger, with its scope and time, from which `promises` knows
which parts it affected. Its kind decides what it does.
"""

import abc
import random

from ..ledger import EVERYBODY, TroubleSpan
from ..world import World

AFTEREFFECT_S = 0.5
"""Seconds for which a trouble counts after its end, since delayed messages arrive then."""

EVEN_CHANCE = 0.5
"""Probability of each of two equally likely choices."""


class Trouble(abc.ABC):
    """An injected fault, or planned work, that lasts for a while.

    `scope` and `planned` are those of its record: what it affects, and whether it is planned work
    that must not cut requests off.

    Args:
        world: Parts of the day.
        rng: Source of randomness.
        for_s: Duration, in seconds.
    """

    scope = EVERYBODY
    planned = False

    def __init__(self, world: World, rng: random.Random, for_s: float) -> None:
        self.world = world
        self.rng = rng
        self.for_s = for_s

    async def carry_out(self) -> None:
        """Carry the trouble out, and record how long it lasted."""
        start = self.world.loop.time()
        held = TroubleSpan(type(self).__name__, self.scope, start, float("inf"), self.planned)
        troubles = self.world.ledger.troubles
        troubles.append(held)
        try:
            await self._inject()
        finally:
            end = self.world.loop.time() + AFTEREFFECT_S
            troubles[troubles.index(held)] = held._replace(end=end)

    @abc.abstractmethod
    async def _inject(self) -> None:
        """Inject the fault or do the work, and undo it in the end."""
