"""Estimates which part of all callers comes to this VM.

Regions are taken to have callers in proportion to their VMs. Within a region callers come in
proportion to the VMs' capacity (`caller_spread`); where the capacity of one of them is not known,
in even parts. VMs that have lost their links to backend servers pass their callers' requests on, so
they count as having none. Inputs are the registered VMs and what their heartbeats state. Tests:
tests/test_gateway_caller_spread.py.
"""

from collections.abc import Collection

from ..resources import Member
from .gossip import Gossip


def own_part(region: str, members: Collection[Member], gossip: Gossip, now: float) -> float:
    """Return this VM's part of all callers, from 0 to 1.

    Args:
        region: Region of this VM.
        members: All registered VMs.
        gossip: Heartbeats of the VMs.
        now: Monotonic time, in seconds.
    """
    members = [each for each in members if not gossip.lost_servers(each.name, now)]
    names = [member.name for member in members if member.region == region]
    if not names:
        return 1.0
    capacities = [gossip.requests_per_s_of(name) for name in names]
    even = 1.0 / len(members)
    if not gossip.requests_per_s or not all(capacities):
        return even
    return even * len(names) * gossip.requests_per_s / sum(capacities)
