"""Harm to a link: the relay between two parts is cut, silent, one-way, slow, or resets.

Owns the ways in which a link fails. Relies on the relay to do it.
"""

import asyncio
import random

from standins.relay import Relay

from .trouble import EVEN


async def spoil_link(link: Relay, rng: random.Random, for_s: float) -> None:
    """Harm a link in one of its ways, and mend it."""
    way = rng.choice(("cut", "silent", "one-way", "slow", "reset"))
    if way == "cut":
        link.cut()
    elif way == "silent":
        link.freeze()
    elif way == "one-way":
        link.freeze(to_target=rng.random() < EVEN, to_caller=False)
        link.freeze(to_target=False, to_caller=True)
    elif way == "slow":
        link.delay_s = rng.uniform(0.05, 0.3)
    else:
        link.reset()
    await asyncio.sleep(for_s)
    link.mend()
    link.thaw()
    link.delay_s = 0.0
