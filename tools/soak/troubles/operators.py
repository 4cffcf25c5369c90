"""Planned work of operators: changes of the configuration, and evacuation of a data hall.

Owns one class for each kind. The durations only have to vary.
"""

import asyncio

from ..configuration import STANDING_ROUTES
from ..ledger import OPERATORS
from ..world import ZONES
from .trouble import Trouble

_VERSION_GAPS_S = (0.08, 0.3, 1.0)
"""Seconds between two versions of the configuration, one of which is drawn."""


class Change(Trouble):
    """The operators change the configuration: they add, remove and reassign routes."""

    scope = OPERATORS
    planned = True

    async def _inject(self) -> None:
        for _ in range(self.rng.randint(1, 4)):
            self._change()
            self.world.configuration.write()
            await asyncio.sleep(self.rng.choice(_VERSION_GAPS_S))

    def _change(self) -> None:
        services = self.world.configuration.services
        extra = [name for name in services if name not in STANDING_ROUTES]
        kind = self.rng.choice(("add", "add", "drop", "move"))
        if kind == "add" or not extra:
            taken = len(self.world.ledger.versions)
            services[f"extra{taken}"] = self.rng.choice(("rates", "booking"))
        elif kind == "drop":
            del services[self.rng.choice(extra)]
        else:
            name = self.rng.choice(extra)
            services[name] = "booking" if services[name] == "rates" else "rates"


class Evacuate(Trouble):
    """A data hall is evacuated and restored."""

    scope = OPERATORS
    planned = True

    async def _inject(self) -> None:
        await self.world.backends.evacuate(self.rng.choice(tuple(ZONES)), self.for_s + 3.0)
