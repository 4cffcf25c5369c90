"""Decides which backend servers count as cold, and how many requests this VM may send them.

A server counts as cold if its entry or a health answer says so, if it appears after this VM's
start, or if the evacuation of its data hall has ended; in each case for the stated time or its
service's warm-up, plus `COLD_MARGIN_S`. One that could not be reached and then is may be a new
process: it is doubted, and gets no more than a cold one, until it answers (`health_asks`).

All VMs together may send a cold server at most the requests a second that the service's rule
states, times the fleet's factor plus its slack (`cold_over`, `cold_slack`). `_BOUND_USED_FRACTION`
of that bound is divided among the VMs by name (`membership.fleet_parts`). Where VMs are more than
requests, most have no part of a server. The bound is divided in advance because VMs that asked each
other before each send would be too late, and a bound that is not divided is exceeded. If the
configuration states no bound, or 0, each VM may send a cold server as many requests as the server
has slots. While less than `_MIN_ANSWERED_FRACTION` of the requests to a service's cold servers are
answered in time, the fleet sends each of them only `_COLD_TRIALS_PER_S`.

A process that has just started does not know what its predecessor sent within the window. Until the
window has passed since its start, and until all others count this VM (`KnownVms.known_since`), it
sends its part of the rest of the bound, which settled processes leave unused.

A request counts from its first byte on, and is checked again then: requests that waited for a
connection would otherwise go out together in a later second than they were counted in.

Owns this VM's sends to cold servers within `_COLD_WINDOW_S` and the part of them that is answered
in time. Relies on `state` for the configuration, the registered VMs and the outages of the store.
Results show in the event `server-cold`, as refusals with the outcome `no-server` in the event
`request`, and in `cold` of a VM's state. Tests: `test_gateway_cold_limit`,
`test_gateway_outliers.ColdServers`.
"""

import enum
import math
from collections import deque
from typing import NamedTuple, Optional

from ..membership.fleet_parts import FleetParts
from ..membership.known_vms import KnownVms
from ..resources import BackendEntry, ServiceRule
from ..settings import Bounds
from ..state.store_view import StoreView
from .lapsed_entries import LapsedEntries

COLD_MARGIN_S = 0.5
"""Time for which a backend server counts as cold beyond what its entry states, in seconds; a margin
for the delay of the entry."""

_COLD_WINDOW_S = 1.15
"""Window in which a VM counts its sends, in seconds: the second of the platform's bound, and a
margin because the delays between send and arrival vary."""

_BOUND_USED_FRACTION = 0.8
"""Fraction of the platform's bound that is used; a margin for VMs whose counts of the fleet
differ."""

_ANSWERED_FRACTION_WEIGHT = 0.2
"""Weight of the last request in the moving average of the fraction answered in time."""

_MIN_ANSWERED_FRACTION = 0.5
"""Fraction of the requests to a service's cold servers that must be answered in time for the whole
bound to be used."""

_COLD_TRIALS_PER_S = 2
"""Requests a second from all VMs together to a cold server while most answers come too late."""

_MAX_SEND_TIMES = 64
"""Maximum number of send times kept for each server."""

_DEFAULT_WARMUP_S = 3.0
"""Warm-up of a service that the configuration does not list, in seconds."""

_INITIAL_ANSWERED_FRACTION = 1.0
"""Fraction answered in time that is assumed before a service's cold servers got any request."""


class ColdSends:
    """This VM's recent sends to one server, which count towards the cold limit."""

    __slots__ = ("sent_at",)

    def __init__(self) -> None:
        self.sent_at: deque[float] = deque()

    def record(self, now: float) -> None:
        """Count a request that is sent at a monotonic time, in seconds."""
        self.sent_at.append(now)
        if len(self.sent_at) > _MAX_SEND_TIMES:
            self.sent_at.popleft()

    def remove(self, at: float) -> None:
        """Remove a request that was recorded at a monotonic time, in seconds, if still kept."""
        if at in self.sent_at:
            self.sent_at.remove(at)

    def allowed(self, now: float, allowance: int) -> bool:
        """Return whether one more request may be sent.

        Args:
            now: Monotonic time, in seconds.
            allowance: Requests that this VM may send within `_COLD_WINDOW_S`.
        """
        while self.sent_at and self.sent_at[0] <= now - _COLD_WINDOW_S:
            self.sent_at.popleft()
        return len(self.sent_at) < allowance


class ColdPartReason(enum.Enum):
    """What decides how many requests this VM may send a server that is limited as a cold one."""

    PART = "part"
    """Its part of the fleet's limit."""
    START = "start"
    """Its part of what is left for processes that have just started."""
    NO_BOUND = "no-bound"
    """The configuration states no limit."""


class ColdPart(NamedTuple):
    """How many requests this VM may send a server that is limited as a cold one.

    Args:
        requests: Requests within `_COLD_WINDOW_S`.
        reason: What decides it.
    """

    requests: int
    reason: ColdPartReason


class ColdLimit:
    """This VM's part of the fleet's limit on cold servers.

    Args:
        store_view: What this VM holds of the store.
        known_vms: The VMs among which the limit is divided, and this VM's name.
        bounds: The bounds that apply to the whole fleet.
        regions: Region of each data hall.

    Attributes:
        started_at: Monotonic time at which this process started, in seconds.
    """

    def __init__(
        self, store_view: StoreView, known_vms: KnownVms, bounds: Bounds, regions: dict[str, str]
    ) -> None:
        self.store_view = store_view
        self.known_vms = known_vms
        self.parts = FleetParts(known_vms)
        self.bounds = bounds
        self.regions = regions
        self.started_at = float("-inf")
        self.answered_fraction: dict[str, float] = {}

    def set_bounds(self, bounds: Bounds) -> None:
        """Replace the fleet's bounds."""
        self.bounds = bounds

    def part(self, backend: BackendEntry, now: float) -> ColdPart:
        """Return how many requests this VM may send a server that is limited as a cold one.

        Args:
            backend: The server's entry.
            now: Monotonic time, in seconds.
        """
        bound = self._bound(backend)
        if bound is None:
            return ColdPart(backend.capacity, ColdPartReason.NO_BOUND)
        settled = now >= max(self.started_at + _COLD_WINDOW_S, self.known_vms.known_since)
        if settled and self.known_vms.own_member() is not None:
            return ColdPart(self.allowance(backend), ColdPartReason.PART)
        return ColdPart(self._start_allowance(backend, bound), ColdPartReason.START)

    def allowance(self, backend: BackendEntry) -> int:
        """Return how many requests this VM may send a cold server once this process has settled."""
        bound = self._bound(backend)
        if bound is None:
            return backend.capacity
        return self._own_part(backend, self._used(backend.service, bound))

    def _start_allowance(self, backend: BackendEntry, bound: float) -> int:
        """Return how many requests this VM may send a server right after its start.

        A VM that others may not know yet leaves servers to them until these are proven. Servers
        without a health path cannot be proven; to them it sends a part by the VMs that are
        registered so far, or all requests if no other VM is known.
        """
        rule = service_rule(self.store_view, backend.service)
        provable = rule is not None and bool(rule.health_path)
        if not provable and self.known_vms.count() == 1:
            return _MAX_SEND_TIMES
        if provable and self.known_vms.known_since > float("-inf"):
            return 0
        return self._own_part(backend, math.floor(bound) - math.floor(_BOUND_USED_FRACTION * bound))

    def tries_first(self, backend: BackendEntry) -> bool:
        """Return whether this VM tries a server before all others."""
        return self.parts.is_first(backend.id, self._region(backend))

    def record_attempt(self, service: str, answered: bool) -> None:
        """Record whether a request to a cold server of a service was answered in time.

        If a cold server needs longer for a new object than the routes' timeouts, every request
        sent there times out; then only a few are sent, and the others go elsewhere.
        """
        fraction = self.answered_fraction.get(service, _INITIAL_ANSWERED_FRACTION)
        self.answered_fraction[service] = fraction + _ANSWERED_FRACTION_WEIGHT * (
            float(answered) - fraction
        )

    def _bound(self, backend: BackendEntry) -> Optional[float]:
        """Return the most requests of all VMs in a second; None if no limit is configured."""
        rule = service_rule(self.store_view, backend.service)
        if rule is None or rule.cold_per_s <= 0:
            return None
        return rule.cold_per_s * self.bounds.cold_over + self.bounds.cold_slack

    def _used(self, service: str, bound: float) -> int:
        """Return how many requests all VMs may send of those that the bound allows."""
        used = math.floor(_BOUND_USED_FRACTION * bound)
        answered = self.answered_fraction.get(service, _INITIAL_ANSWERED_FRACTION)
        return used if answered >= _MIN_ANSWERED_FRACTION else min(used, _COLD_TRIALS_PER_S)

    def _own_part(self, backend: BackendEntry, requests: int) -> int:
        return self.parts.part(backend.id, self._region(backend), requests)

    def _region(self, backend: BackendEntry) -> str:
        return self.regions.get(backend.hall, "")


class ColdReason(enum.Enum):
    """Why a server counts as cold."""

    ENTRY = "entry"
    """Its entry says so."""
    NEW = "new"
    """It appeared after this VM's start."""
    EVACUATION_ENDED = "evacuation-ended"
    """The evacuation of its data hall has ended."""
    HEALTH = "health"
    """It says so in a health answer."""
    TOLD = "told"
    """Another VM tells that it says so."""


class ColdStart(NamedTuple):
    """Until when a server counts as cold, and whether to probe it.

    Args:
        cold_until: Monotonic time until which it counts as cold, in seconds; minus infinity if
            nothing states that it is cold.
        probe: True if the server is to be probed, as the store does not show whether it is cold.
        reason: Why it counts as cold.
    """

    cold_until: float
    probe: bool
    reason: ColdReason


class ColdStarts:
    """Decides which servers count as cold.

    Args:
        store_view: What this VM holds of the store.
        lapsed_entries: Decides when a missing entry may be that of a running server.
    """

    def __init__(self, store_view: StoreView, lapsed_entries: LapsedEntries) -> None:
        self.store_view = store_view
        self.lapsed_entries = lapsed_entries
        self.counts_new_as_cold = False

    def count_new_as_cold(self) -> None:
        """Count servers that appear from now on as cold; those listed at the start are not new."""
        self.counts_new_as_cold = True

    def on_entry(self, backend: BackendEntry, now: float, *, new: bool) -> ColdStart:
        """Return until when a server counts as cold by its entry in the store.

        Args:
            backend: The entry.
            now: Monotonic time, in seconds.
            new: True if this VM did not know the server.
        """
        appeared = new and self.counts_new_as_cold
        cold_s = backend.cold_for_s
        if appeared:
            cold_s = max(cold_s, self._warmup_s(backend.service))
        probe = appeared and self.lapsed_entries.may_lapse(now)
        reason = ColdReason.NEW if appeared else ColdReason.ENTRY
        cold_until = now + cold_s + COLD_MARGIN_S if cold_s > 0 else float("-inf")
        return ColdStart(cold_until, probe, reason)

    def on_evacuation_end(self, backend: BackendEntry, now: float) -> ColdStart:
        """Return until when a server counts as cold after the evacuation of its data hall.

        Args:
            backend: The server's entry.
            now: Monotonic time, in seconds.
        """
        cold_until = now + self._warmup_s(backend.service) + COLD_MARGIN_S
        return ColdStart(cold_until, True, ColdReason.EVACUATION_ENDED)

    def _warmup_s(self, service: str) -> float:
        rule = service_rule(self.store_view, service)
        return rule.warmup_s if rule else _DEFAULT_WARMUP_S


def service_rule(store_view: StoreView, service: str) -> Optional[ServiceRule]:
    """Return the configuration's rule for a service; None if it has none."""
    configuration = store_view.configuration
    return configuration.services.get(service) if configuration else None
