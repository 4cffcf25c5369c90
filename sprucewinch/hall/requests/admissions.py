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


class HallDispatch:
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
        self.admissions: dict[str, Admission] = {}

    def apply(self, topology: Topology) -> None:
        """Set the servers of this hall, and which of them are draining, from the configuration."""
        pools = {pool.service: pool for pool in topology.pools_of(self.hall)}
        drained = topology.drained_servers(self.hall)
        for service in list(self.admissions):
            if service not in pools:
                self.admissions[service].set_servers(service, ())
        for service, pool in pools.items():
            admission = self.admissions.get(service)
            if admission is None:
                admission = self.admissions[service] = Admission(self.slots.usable, self.rng)
            admission.set_servers(service, pool.servers)
            admission.drained = drained

    def find(self, service: str) -> Optional[Admission]:
        """Return the admission of a service; None when this hall never had servers for it."""
        return self.admissions.get(service)

    def mark_leaving(self, servers: Sequence[str], until: float) -> None:
        """Mark backend servers that the platform lists as leaving.

        The marks are reported to other VMs.

        Args:
            servers: Their addresses; those that this hall does not have are ignored.
            until: Monotonic time at which the marks end, in seconds.
        """
        for admission in self.admissions.values():
            for server in servers:
                admission.leaving(server, until)

    def mark_heard_leaving(self, servers: Sequence[str], until: float) -> None:
        """Mark backend servers that another VM reports as leaving.

        These marks are not reported further; see `Admission`.

        Args:
            servers: Their addresses; those that this hall does not have are ignored.
            until: Monotonic time at which the marks end, in seconds.
        """
        for admission in self.admissions.values():
            for server in servers:
                admission.heard_leaving(server, until)

    def leaving_servers(self, now: float) -> list[str]:
        """Return the addresses of the servers that are to be reported to other VMs as leaving."""
        return [s for a in self.admissions.values() for s in a.leaving_servers(now)]

    def held(self, topology: Topology, now: float) -> dict[str, int]:
        """Return how many requests of this VM run on draining or leaving servers, by drain key.

        The key of the hall, if it is drained, has the sum of these.
        """
        held: dict[str, int] = {}
        for admission in self.admissions.values():
            for server in admission.servers.values():
                if server.address in admission.drained or server.is_leaving(now):
                    held[drain_key("server", server.address)] = server.in_use
        if topology.hall_drained(self.hall):
            held[drain_key("hall", self.hall)] = sum(held.values())
        return held

    def serve_waiting(self, now: float) -> None:
        """Give slots that became usable to waiting requests."""
        for admission in self.admissions.values():
            admission.serve_waiting(now)
