"""Faults of links: the relay between two parts is cut, silent, one-way or slow, or it resets.

Owns the ways in which a link fails. Relies on the relay to carry them out.
"""

import asyncio
import random

from standins.relay import Relay

from .trouble import EVEN_CHANCE


async def inject_link_fault(relay: Relay, rng: random.Random, for_s: float) -> None:
    """Inject one randomly chosen fault into a relay's link, and clear it after some seconds."""
    way = rng.choice(("cut", "silent", "one-way", "slow", "reset"))
    if way == "cut":
        relay.cut()
    elif way == "silent":
        relay.freeze()
    elif way == "one-way":
        relay.freeze(to_target=rng.random() < EVEN_CHANCE, to_caller=False)
        relay.freeze(to_target=False, to_caller=True)
    elif way == "slow":
        relay.delay_s = rng.uniform(0.05, 0.3)
    else:
        relay.reset()
    await asyncio.sleep(for_s)
    relay.mend()
    relay.thaw()
    relay.delay_s = 0.0
