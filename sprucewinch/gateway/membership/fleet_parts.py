"""Divides a number of requests to a backend server among all VMs, by their names alone.

The VMs of the server's region and the others are two groups. Each group's requests are dealt to its
VMs in the order of a ring (`vm_ring`), so that a VM's part follows from the list of VMs. A VM that
does not know of another one takes the same part or a larger one. So the parts of VMs whose lists
differ add up to no more than is divided, as long as each VM that takes a part is in the lists of
all others that do; a list may hold any number of VMs beyond these. `KnownVms` keeps VMs in the list
for long after they are gone, and states from when all others know this one.

A VM that was heard of but is not registered has no known region and counts in both groups.

Owns the rings, which are made again when the VMs change. Relies on `known_vms`. Tests:
`test_gateway_fleet_parts`.
"""

import math
from typing import NamedTuple

from .known_vms import KnownVms
from .vm_ring import VmRing

_REGION_FRACTION = 0.75
"""Fraction for the VMs of a server's region, as most requests for its objects arrive there; the
remainder is for the VMs of other regions."""


class _Groups(NamedTuple):
    """The VMs, as seen from one region.

    Args:
        local: VMs of the region.
        others: VMs of all other regions.
    """

    local: VmRing
    others: VmRing


class FleetParts:
    """This VM's part of what all VMs together may send to a server.

    Args:
        known_vms: The VMs, and this VM's name.
    """

    def __init__(self, known_vms: KnownVms) -> None:
        self.known_vms = known_vms
        self._groups_by_region: dict[str, _Groups] = {}
        self._version = -1

    def part(self, server_id: str, region: str, requests: int) -> int:
        """Return this VM's part of the requests of all VMs to a server; 0 without registration.

        Args:
            server_id: Id of the server.
            region: Its region.
            requests: Requests of all VMs together.
        """
        own = self.known_vms.own_member()
        if own is None:
            return 0
        groups = self._groups(region)
        local_requests = _local_requests(requests, groups)
        if own.region == region:
            return _part(groups.local, own.name, server_id, local_requests)
        return _part(groups.others, own.name, server_id, requests - local_requests)

    def is_first(self, server_id: str, region: str) -> bool:
        """Return whether this VM is the first registered one in the order of a server."""
        members = self.known_vms.members()
        groups = self._groups(region)
        order = (
            *groups.local.first(server_id, groups.local.count),
            *groups.others.order(server_id),
        )
        return next((name for name in order if name in members), None) == self.known_vms.name

    def _groups(self, region: str) -> _Groups:
        if self._version != self.known_vms.version:
            self._version = self.known_vms.version
            self._groups_by_region = {}
        if region not in self._groups_by_region:
            self._groups_by_region[region] = self._make_groups(region)
        return self._groups_by_region[region]

    def _make_groups(self, region: str) -> _Groups:
        members = self.known_vms.members().values()
        local = {member.name for member in members if member.region == region}
        others = {member.name for member in members if member.region != region}
        unregistered = self.known_vms.unregistered
        return _Groups(VmRing(local | unregistered), VmRing(others | unregistered))


def _local_requests(requests: int, groups: _Groups) -> int:
    """Return how many of the requests are for the VMs of the server's region."""
    if groups.local.count == 0:
        return 0
    return math.ceil(_REGION_FRACTION * requests) if groups.others.count else requests


def _part(ring: VmRing, name: str, server_id: str, requests: int) -> int:
    """Return the part of a VM when requests are dealt to all VMs of a ring in turn."""
    if requests < ring.count:
        return int(name in ring.first(server_id, requests))
    share, remainder = divmod(requests, max(1, ring.count))
    return share + int(name in ring.first(server_id, remainder))
