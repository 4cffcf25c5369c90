"""Decides which VMs one look-up answer names, so that callers come in proportion to VMs' capacity.

Callers choose one of the addresses of an answer at random, so a VM that is named in every answer
gets as many callers as any other, however small its link. Here a VM is named with a probability
that is its capacity divided by the largest one. Each look-up is sampled anew, so every VM is named
again soon and gets new callers.

The load that it answers: a fleet in which a few VMs have a link of 100 Mbit/s and most have 5
Mbit/s. A download of 90 kB occupies a link of 5 Mbit/s for 0.14 s twice, from the server and to the
caller, in a latency target of 0.8 s, and those of 300 kB miss the target by their transfer alone.

VMs of equal capacity are all named, as without the rule, and so is a VM whose capacity is not
known. An answer names at least `MIN_ADDRESSES`, so that a caller has others to try when some VMs
have just failed. Inputs are the VMs with their capacity in requests a second and a random source.
Tests: tests/test_gateway_caller_spread.py.
"""

import random
from collections.abc import Sequence
from typing import NamedTuple

MIN_ADDRESSES = 4
"""Least number of VMs in an answer, if there are as many. Callers leave out a VM that failed them
until their next look-up a second later."""


class Candidate(NamedTuple):
    """A VM that callers may use.

    Args:
        address: `IP:PORT` for callers.
        requests_per_s: Its capacity; 0 when it is not known.
    """

    address: str
    requests_per_s: int


def spread_callers(candidates: Sequence[Candidate], rng: random.Random) -> list[str]:
    """Return the addresses to name in one answer, in the order of the candidates.

    Args:
        candidates: VMs that accept callers.
        rng: Source of randomness; not used when all capacities are equal.
    """
    largest = max((candidate.requests_per_s for candidate in candidates), default=0)
    if all(candidate.requests_per_s in (0, largest) for candidate in candidates):
        return [candidate.address for candidate in candidates]
    named = {
        candidate.address
        for candidate in candidates
        if not candidate.requests_per_s or rng.random() * largest < candidate.requests_per_s
    }
    missing = [c.address for c in candidates if c.address not in named]
    named.update(rng.sample(missing, min(len(missing), max(0, MIN_ADDRESSES - len(named)))))
    return [candidate.address for candidate in candidates if candidate.address in named]
