"""Faults of links: the relay between two parts is cut, silent, one-way or slow, or it resets.

Owns the ways in which a link fails. Relies on the relay to carry them out.
"""

import asyncio
import random

from standins.relay import Relay

from .trouble import EVEN_CHANCE


async def inject_link_fault(link: Relay, rng: random.Random, for_s: float) -> None:
    """Inject one randomly chosen fault into a link, and clear it after some seconds."""
    way = rng.choice(("cut", "silent", "one-way", "slow", "reset"))
    if way == "cut":
        link.cut()
    elif way == "silent":
        link.freeze()
    elif way == "one-way":
        link.freeze(to_target=rng.random() < EVEN_CHANCE, to_caller=False)
        link.freeze(to_target=False, to_caller=True)
    elif way == "slow":
        link.delay_s = rng.uniform(0.05, 0.3)
    else:
        link.reset()
    await asyncio.sleep(for_s)
    link.mend()
    link.thaw()
    link.delay_s = 0.0
