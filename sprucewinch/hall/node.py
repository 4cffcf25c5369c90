"""One entry VM's view and decisions, without any input or output of its own."""

import random
from collections.abc import Callable
from typing import Optional, Union

import msgspec

from .._hash import hash32
from ..config.configuration import Document
from ..config.loading import decode_document
from ..config.settings import Settings
from ..errors import ConfigurationError, PolicyError
from ..net.outcome import Reason, Refusal, not_run
from ..steering.policy import Policy, ProgramPolicy, shipped_policies
from .metrics import Label, Metrics, RateMeter
from .peers.membership import Membership, member_id
from .peers.peer_pb2 import GONE, JOINING, LEAVING, SERVING, Member, ServiceLoad, State
from .planning.links import RateAllowance
from .planning.lookup import LookupTable
from .planning.steering import Plan, Steering
from .planning.topology import Topology
from .requests.admissions import HallDispatch
from .requests.tickets import TicketBook
from .slots import SlotShare, view_digest
from .store.documents import CONFIGURATION_KEY, PLAN_PREFIX, DocumentShelf, Revisioned

LEAVING_S = 10.0
"""How long a backend server's word that it is leaving counts, in seconds."""

_RETRY_MS = 1000

Listener = Callable[[str], None]
"""Told of a change of state, as a line for the log."""


class Node:
    """What one entry VM knows and decides.

    Args:
        settings: The daemon's settings.
        incarnation: Number of this process; higher than that of any earlier one.
        ticket_key: Secret of this process, for its tickets.
        rng: Source of randomness.
        now: Monotonic time, in seconds.
        log: Told of changes of state.
    """

    def __init__(
        self,
        settings: Settings,
        *,
        incarnation: int,
        ticket_key: bytes,
        rng: random.Random,
        now: float,
        log: Listener = lambda _line: None,
    ) -> None:
        self.settings = settings
        self.rng = rng
        self.log = log
        self.ticket_key = ticket_key
        self.started_at = now
        self.ticked_at = now
        self.membership = Membership(_own_entry(settings, incarnation))
        self.shelf = DocumentShelf(self._accept)
        self.slots = SlotShare(member_id(self.membership.own))
        self.hall = HallDispatch(settings.hall, self.slots, rng)
        self.steering = Steering()
        self.metrics = Metrics()
        self.topology: Optional[Topology] = None
        self.policies: dict[str, Policy] = {}
        self.policy_labels: dict[str, str] = {}
        self.tickets: Optional[TicketBook] = None
        self.lookups: Optional[LookupTable] = None
        self.arrivals: dict[tuple[str, str], RateMeter] = {}
        self.links: dict[str, RateAllowance] = {}
        self.drain_started: dict[str, float] = {}
        self.requests_in_flight = 0
        self._served_by: list[tuple[str, int, str]] = []

    @property
    def own(self) -> Member:
        """This VM's own entry."""
        return self.membership.own

    @property
    def revision(self) -> int:
        """Configuration revision in force here; 0 when there is none."""
        return self.shelf.revision(CONFIGURATION_KEY)

    def tick(self, now: float) -> None:
        """Bring everything up to date; called several times a second.

        Args:
            now: Monotonic time, in seconds.
        """
        elapsed = now - self.ticked_at
        self.ticked_at = now
        for meter in self.arrivals.values():
            meter.tick(elapsed)
        self.membership.forget(now)
        self._join(now)
        self._renew_slots(now)
        if self.topology is not None:
            self._steer(self.topology, now)
        self._describe(now)

    def _join(self, now: float) -> None:
        """Start serving once a configuration is in force and old owners of slots have gone."""
        waited = now - self.started_at >= self.slots.hold_s
        if self.own.state != JOINING or not waited or self.topology is None:
            return
        self.set_state(SERVING)
        self.tickets = TicketBook(self.own.vm, self.own.incarnation, self.ticket_key)
        self.slots.me = member_id(self.own)

    def set_state(self, state: "State.ValueType") -> None:
        """Change the state that this VM shows to others."""
        if state == self.own.state:
            return
        self.own.state = state
        self.log(f"event=state vm={self.own.vm} state={State.Name(state).lower()}")

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
        self.own.hall_view = view_digest(holders)
        self._learn_leaving(now)
        self.hall.serve_waiting(now)

    def _learn_leaving(self, now: float) -> None:
        for member in self.membership.of_hall(now):
            if member is not self.own:
                self.hall.mark_leaving(member.leaving_servers, now + LEAVING_S / 2)

    def _steer(self, topology: Topology, now: float) -> None:
        self.steering.tick(topology, now)
        serving = self.membership.serving(now)
        self._renew_lookups(topology, serving)
        sharers = sum(member.region == self.settings.region for member in serving)
        for region in topology.order:
            if region != self.settings.region:
                allowance = self.links.setdefault(region, RateAllowance())
                limit = topology.link_per_s(region, self.settings.region)
                allowance.renew(limit, sharers, now)
        self._watch_drains(topology, now)

    def _renew_lookups(self, topology: Topology, serving: list[Member]) -> None:
        """Build the look-up table again when the configuration or who serves has changed."""
        names = sorted((m.vm, m.incarnation, m.caller_address) for m in serving)
        if (
            self.lookups is None
            or self.lookups.topology is not topology
            or names != self._served_by
        ):
            self._served_by = names
            self.lookups = LookupTable(topology, self.steering, serving)

    def _watch_drains(self, topology: Topology, now: float) -> None:
        held = self.hall.held(topology, now)
        for thing, requests in held.items():
            started = self.drain_started.setdefault(thing, now)
            if requests == 0 and thing not in self.metrics.drains:
                self.metrics.drained(thing, now - started)
                self.log(f"event=drained thing={thing} seconds={now - started:.3f}")
        for thing in self.drain_started.keys() - held.keys():
            del self.drain_started[thing]
            self.metrics.drains.pop(thing, None)

    def _describe(self, now: float) -> None:
        own = self.own
        own.config_revision = self.revision
        own.in_flight = self.requests_in_flight
        own.ClearField("loads")
        own.loads.extend(self._loads(now))
        own.ClearField("leaving_servers")
        own.leaving_servers.extend(self.hall.leaving_servers(now))
        own.held.clear()
        if self.topology is not None:
            for thing, requests in self.hall.held(self.topology, now).items():
                own.held[thing] = requests
        self.membership.touch()

    def _loads(self, now: float) -> list[ServiceLoad]:
        loads: dict[str, ServiceLoad] = {}
        for service, admission in self.hall.admissions.items():
            capacity, in_use = admission.capacity(now), admission.in_use()
            latency = admission.latency_ms()
            load = ServiceLoad(service=service, capacity=capacity, in_use=in_use)
            load.latency_ms = -1.0 if latency is None else latency
            loads[service] = load
            if capacity:
                self.metrics.room(self.label(service), max(0.0, 1.0 - in_use / capacity))
        for (service, client_region), meter in self.arrivals.items():
            load = loads.setdefault(service, ServiceLoad(service=service, latency_ms=-1.0))
            load.demand[client_region] = meter.per_s
        return list(loads.values())

    def label(self, service: str) -> Label:
        """Return the label of measures of a service here; one for all unknown services."""
        policy = self.policy_labels.get(service)
        if policy is None:
            return Label("unknown", self.settings.hall, "none")
        return Label(service, self.settings.hall, policy)

    def arrived(self, service: str, client_region: str) -> None:
        """Count a caller's request that arrived here."""
        key = (service, client_region)
        meter = self.arrivals.get(key)
        if meter is None:
            meter = self.arrivals[key] = RateMeter()
        meter.count += 1

    def cross_link(self, from_region: str, now: float) -> bool:
        """Take room on the link from another region; True when there is room, or no link."""
        if from_region == self.settings.region:
            return True
        allowance = self.links.get(from_region)
        return allowance is None or allowance.take(now)

    def lookup(self, client: str, service: str) -> Union[bytes, Refusal]:
        """Answer a look-up; see `LookupTable.answer`."""
        if self.lookups is None:
            return not_run(Reason.NO_CONFIGURATION, _RETRY_MS)
        return self.lookups.answer(client, service)

    def _accept(self, document: Revisioned) -> bool:
        try:
            if document.key == CONFIGURATION_KEY:
                self._apply(decode_document(document.value), document.revision)
            elif document.key.startswith(PLAN_PREFIX):
                self.steering.offer(msgspec.json.decode(document.value, type=Plan))
            else:
                return False
        except (ConfigurationError, PolicyError, msgspec.MsgspecError) as error:
            self.log(f"event=rejected key={document.key} problem={str(error)!r}")
            return False
        return True

    def _apply(self, document: Document, revision: int) -> None:
        if document.revision != revision:
            raise ConfigurationError(
                f"stored configuration says revision {document.revision}, its envelope {revision}",
                "apply the configuration again",
            )
        sources = {**shipped_policies(), **{p.name: p.source for p in document.policies}}
        policies = {name: ProgramPolicy(name, source) for name, source in sources.items()}
        topology = Topology(document)
        self.policies = policies
        self.policy_labels = {
            name: _policy_label(service.policy, sources)
            for name, service in topology.services.items()
        }
        self.topology = topology
        self.hall.apply(topology)
        self.log(f"event=in-force revision={revision}")

    def finish(self) -> None:
        """Show others that this VM holds no slots any more."""
        self.set_state(GONE)
        self.membership.touch()

    def leave(self) -> None:
        """Show others that this VM takes no new callers."""
        if self.own.state != GONE:
            self.set_state(LEAVING)
            self.membership.touch()


def _policy_label(name: str, sources: dict[str, str]) -> str:
    """Return a policy's name with a digest that changes only when its program does."""
    return f"{name}@{hash32(sources.get(name, '')):08x}"


def _own_entry(settings: Settings, incarnation: int) -> Member:
    return Member(
        vm=settings.vm,
        hall=settings.hall,
        region=settings.region,
        incarnation=incarnation,
        version=1,
        peer_address=settings.peer_address,
        caller_address=settings.caller_address,
        operators_address=settings.operators_address,
        state=JOINING,
    )
