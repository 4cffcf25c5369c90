"""State and decisions of one entry VM, without I/O: the core of a daemon.

`Node` owns the order of a round and builds every part that needs no I/O. It relies on the caller
for time, randomness and messages: `loops` calls `tick` and delivers documents and members;
`requests` and `operators` read the parts.
"""

import random
from typing import Optional, Union

from ..config.settings import Settings
from ..net.outcome import Refusal
from ..steering.policy import Policy
from .drains import DrainTimer
from .in_flight import InFlight
from .in_force import DocumentsInForce
from .load_report import LoadReport
from .metrics import Label, Metrics
from .own_entry import LineLog, OwnEntry, new_entry
from .peers.membership import Membership, member_id
from .peers.peer_pb2 import JOINING, SERVING, Member
from .planning.lookup import LookupTable
from .planning.region_tables import RegionTables
from .planning.shares_in_force import SharesInForce
from .planning.topology import Topology
from .requests.admissions import HallAdmissions
from .requests.tickets import TicketTable
from .slots import SlotShare, member_list_digest
from .store.documents import CONFIGURATION_KEY, DocumentReplica

LEAVING_REPORT_TTL_S = 10.0
"""Time for which a backend server's report that it is leaving is valid, in seconds: ten intervals
of `loops.PROBE_S`. With a shorter time a report would expire between probes."""

_FORWARDED_REPORT_TTL_S = LEAVING_REPORT_TTL_S / 2
"""The same for a report that another VM forwards, in seconds. It is shorter, since the server has
not reported to this VM itself."""


class Node:
    """The core of one entry VM.

    Args:
        settings: The daemon's settings.
        incarnation: Number of this process, higher than that of any earlier process of the VM.
        ticket_key: Secret key of this process's tickets.
        rng: Source of randomness.
        now: Monotonic time, in seconds.
        log: Called with a line for each change of state.

    Attributes:
        tickets: Tickets of this process; None until the VM serves.
        in_flight: Requests from callers and other entry VMs in flight.
    """

    def __init__(
        self,
        settings: Settings,
        *,
        incarnation: int,
        ticket_key: bytes,
        rng: random.Random,
        now: float,
        log: LineLog = lambda _line: None,
    ) -> None:
        self.settings = settings
        self.rng = rng
        self.ticket_key = ticket_key
        self.started_at = self.ticked_at = now
        self.tickets: Optional[TicketTable] = None
        self.in_flight = InFlight()
        self.metrics = Metrics()
        self.membership = Membership(new_entry(settings, incarnation))
        self.entry = OwnEntry(self.membership, log)
        self.slots = SlotShare(member_id(self.own))
        self.admissions = HallAdmissions(settings.hall, self.slots, rng)
        self.shares_in_force = SharesInForce()
        self.regions = RegionTables(settings.region, self.shares_in_force)
        self.in_force = DocumentsInForce(self.admissions, self.shares_in_force, log)
        self.documents = DocumentReplica(self.in_force.accept)
        self.load = LoadReport(self.admissions, self.metrics, self.label)
        self.drains = DrainTimer(self.metrics, log)

    @property
    def own(self) -> Member:
        """This VM's own entry."""
        return self.membership.own

    @property
    def revision(self) -> int:
        """Configuration revision in force here; 0 when there is none."""
        return self.documents.revision(CONFIGURATION_KEY)

    @property
    def topology(self) -> Optional[Topology]:
        """Configuration in force here; None before the first one is applied."""
        return self.in_force.topology

    @property
    def policies(self) -> dict[str, Policy]:
        """Loaded policies by name."""
        return self.in_force.policies

    @property
    def lookups(self) -> Optional[LookupTable]:
        """Look-up table; None before the first configuration."""
        return self.regions.lookups

    def tick(self, now: float) -> None:
        """Run one round; called several times a second.

        Args:
            now: Monotonic time, in seconds.
        """
        self.load.tick(now - self.ticked_at)
        self.ticked_at = now
        self.membership.drop_expired(now)
        self._join(now)
        self._renew_slots(now)
        draining_requests: dict[str, int] = {}
        if self.topology is not None:
            self.regions.tick(self.topology, self.membership.serving(now), now)
            draining_requests = self.admissions.draining_requests(self.topology, now)
            self.drains.update(draining_requests, now)
        self.entry.describe(
            revision=self.revision,
            in_flight=self.in_flight.count,
            loads=self.load.loads(now),
            leaving_servers=self.admissions.leaving_servers(now),
            draining_requests=draining_requests,
        )

    def _join(self, now: float) -> None:
        """Start serving once a configuration is in force and `takeover_delay_s` has passed."""
        waited = now - self.started_at >= self.slots.takeover_delay_s
        if self.own.state != JOINING or not waited or self.topology is None:
            return
        self.entry.set_state(SERVING)
        self.tickets = TicketTable(self.own.vm, self.own.incarnation, self.ticket_key)
        self.slots.set_own_id(member_id(self.own))

    def _renew_slots(self, now: float) -> None:
        pools = self.topology.pools_of(self.settings.hall) if self.topology else ()
        holders = self.membership.slot_holders(now)
        self.slots.renew(
            holders,
            pools,
            now,
            confirmed=self.membership.view_confirmed(now),
            finished=self.membership.finished(),
        )
        self.entry.set_hall_view(member_list_digest(holders))
        for member in self.membership.of_hall(now):
            if member is not self.own:
                self.admissions.mark_leaving_by_peer(
                    member.leaving_servers, now + _FORWARDED_REPORT_TTL_S
                )
        self.admissions.serve_waiting(now)

    def label(self, service: str) -> Label:
        """Return the label of a service's metrics; see `DocumentsInForce.label`."""
        return self.in_force.label(service)

    def arrived(self, service: str, client_region: str) -> None:
        """Count a caller's request that arrived here."""
        self.load.arrived(service, client_region)

    def cross_link(self, from_region: str, now: float) -> bool:
        """Take a token of the link from another region; see `RegionTables.cross_link`."""
        return self.regions.cross_link(from_region, now)

    def lookup(self, client: str, service: str) -> Union[bytes, Refusal]:
        """Answer a look-up; see `LookupTable.answer`."""
        return self.regions.lookup(client, service)

    def leave(self) -> None:
        """Announce that this VM accepts no new callers."""
        self.entry.leave()

    def finish(self) -> None:
        """Announce that this VM holds no slots any more."""
        self.entry.finish()
