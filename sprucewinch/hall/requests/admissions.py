"""The admissions of this data hall, one for each service.

Owns the `Admission` of each service and updates its servers and drains from the configuration.
Relies on `slots.SlotShare` for the slots of each server that this VM may use.
"""

import random
from collections.abc import Sequence
from typing import Optional

from ...config.configuration import drain_key
from ..planning.topology import Topology
from ..slots import SlotShare
from .admission import Admission


class HallAdmissions:
    """The admissions of one entry VM, by service.

    Args:
        hall: Name of this VM's data hall.
        slots: This VM's share of the hall's slots.
        rng: Source of randomness.
    """

    def __init__(self, hall: str, slots: SlotShare, rng: random.Random) -> None:
        self.hall = hall
        self.slots = slots
        self.rng = rng
        self.by_service: dict[str, Admission] = {}

    def apply(self, topology: Topology) -> None:
        """Set the servers of this hall, and which of them are draining, from the configuration."""
        pools = {pool.service: pool for pool in topology.pools_of(self.hall)}
        drained = topology.drained_servers(self.hall)
        for service in list(self.by_service):
            if service not in pools:
                self.by_service[service].set_servers(service, ())
        for service, pool in pools.items():
            admission = self.by_service.get(service)
            if admission is None:
                admission = self.by_service[service] = Admission(self.slots.usable_slots, self.rng)
            admission.set_servers(service, pool.servers)
            admission.drained = drained

    def find(self, service: str) -> Optional[Admission]:
        """Return the admission of a service; None when this hall never had servers for it."""
        return self.by_service.get(service)

    def mark_leaving(self, servers: Sequence[str], until: float) -> None:
        """Mark backend servers that the platform lists as leaving.

        The marks are reported to other VMs.

        Args:
            servers: Their addresses; those that this hall does not have are ignored.
            until: Monotonic time at which the marks end, in seconds.
        """
        for admission in self.by_service.values():
            for server in servers:
                admission.mark_leaving(server, until)

    def mark_leaving_by_peer(self, servers: Sequence[str], until: float) -> None:
        """Mark backend servers that another VM reports as leaving.

        These marks are not reported further; see `Admission`.

        Args:
            servers: Their addresses; those that this hall does not have are ignored.
            until: Monotonic time at which the marks end, in seconds.
        """
        for admission in self.by_service.values():
            for server in servers:
                admission.mark_leaving_by_peer(server, until)

    def leaving_servers(self, now: float) -> list[str]:
        """Return the addresses of the servers that are to be reported to other VMs as leaving."""
        return [s for a in self.by_service.values() for s in a.leaving_servers(now)]

    def draining_requests(self, topology: Topology, now: float) -> dict[str, int]:
        """Return how many requests of this VM run on draining or leaving servers, by drain key.

        The key of the hall, if it is drained, has the sum of these.
        """
        draining_requests: dict[str, int] = {}
        for admission in self.by_service.values():
            for server in admission.servers.values():
                if server.address in admission.drained or server.is_leaving(now):
                    draining_requests[drain_key("server", server.address)] = server.in_use
        if topology.hall_drained(self.hall):
            draining_requests[drain_key("hall", self.hall)] = sum(draining_requests.values())
        return draining_requests

    def serve_waiting(self, now: float) -> None:
        """Give slots that became usable to waiting requests."""
        for admission in self.by_service.values():
            admission.serve_waiting(now)
