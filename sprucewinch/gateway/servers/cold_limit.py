"""Which backend servers count as cold, and how many requests this VM may send them.

Question: may this VM send a cold server one more request now? Inputs: the service's rule (requests
a second that a cold server bears, warm-up in seconds), the fleet's factor and slack on it, the
registered VMs, this VM's sends of the last `_COLD_WINDOW_S`, and how many requests to the service's
cold servers were answered in time.

Rules. Cold is a server whose entry says so, one that appears after this VM's start, and all of a
data hall whose evacuation has ended, each for its time and `COLD_MARGIN_S`. The fleet's bound, less
a margin, is divided: most of it among the VMs of the server's region, the rest among the others;
what is left over goes to the first in an order by hash. Where the configuration states no bound, or
0, each VM may send a cold server as many as it has slots. Divided, as VMs that ask each other
before each send would be late, and a bound that is not divided is overrun. Where under half of the
requests to cold servers are answered in time, the fleet sends only `_COLD_TRIALS`.

Shows in: a refusal with the outcome `no-server` of the event `request`; `cold` of a VM's state.
Tests: `test_gateway_cold_limit`, `test_gateway_outliers.ColdServers`. Owns the sends to cold
servers and the part answered; relies on `state` for configuration, VMs and outages of the store.
"""

import math
from collections import deque
from typing import NamedTuple, Optional

from ..._hash import hash64
from ..resources import BackendEntry, ServiceRule
from ..settings import Bounds
from ..state.store_view import StoreView
from .lapsed_entries import LapsedEntries

COLD_MARGIN_S = 0.5
"""How much longer than its entry states a backend server counts as cold, in seconds; a margin for
the delay of the store's entry."""

_COLD_WINDOW_S = 1.15
"""Window of the limit at one VM, in seconds: the second of the platform's bound, and a margin for
what the delays between send and arrival differ by."""

_COLD_SAFETY = 0.8
"""Part of the platform's bound that is used; a margin for VMs that count the fleet differently."""

_COLD_WEIGHT = 0.2
"""Weight of the last request in the part that cold servers answer."""

_COLD_WORTH = 0.5
"""Part of the requests to a service's cold servers that have to be answered for more to be sent. No
gain beyond noise was seen (docs/CONSTANTS.md)."""

_COLD_TRIALS = 2
"""Requests a second, all VMs together, that try a cold server where most answers come too late. No
gain beyond noise was seen (docs/CONSTANTS.md)."""

_NEAR_PART = 0.75
"""Part of the limit that the VMs of a cold server's region share, as most requests for its objects
arrive there; the rest is for the VMs of other regions."""

_COLD_KEPT = 64
"""Most times of requests that are kept for a server's allowance."""

_DEFAULT_WARMUP_S = 3.0
"""Warm-up of a service that the configuration does not name, in seconds."""

_ALL_ANSWERED = 1.0
"""Part answered in time of a service whose cold servers got nothing yet."""


class ColdSends:
    """This VM's requests to one server, as far as they count towards the cold limit."""

    __slots__ = ("sent_at",)

    def __init__(self) -> None:
        self.sent_at: deque[float] = deque()

    def record(self, now: float) -> None:
        """Count a request that is sent at a monotonic time, in seconds."""
        self.sent_at.append(now)
        if len(self.sent_at) > _COLD_KEPT:
            self.sent_at.popleft()

    def take_back(self, at: float) -> None:
        """Count a request no longer that was recorded at a monotonic time, in seconds."""
        if at in self.sent_at:
            self.sent_at.remove(at)

    def allowed(self, now: float, allowance: int) -> bool:
        """Return whether one more request may be sent.

        Args:
            now: Monotonic time, in seconds.
            allowance: Requests that this VM may send in the window.
        """
        while self.sent_at and self.sent_at[0] <= now - _COLD_WINDOW_S:
            self.sent_at.popleft()
        return len(self.sent_at) < allowance


class ColdLimit:
    """The limit of the fleet on cold servers, as far as it is this VM's.

    Args:
        store_view: What this VM holds of the store.
        bounds: The fleet's figures.
        name: Name of this VM.
        regions: Region of each data hall.
    """

    def __init__(
        self, store_view: StoreView, bounds: Bounds, name: str, regions: dict[str, str]
    ) -> None:
        self.store_view = store_view
        self.bounds = bounds
        self.name = name
        self.regions = regions
        self.answered_part: dict[str, float] = {}

    def set_bounds(self, bounds: Bounds) -> None:
        """Use other figures of the fleet from now on."""
        self.bounds = bounds

    def vm_count(self) -> int:
        """Return how many VMs may share the fleet's limits, rather too many than too few."""
        return max(1, len(self.store_view.members))

    def allowance(self, backend: BackendEntry) -> int:
        """Return how many requests this VM may send a cold server in `_COLD_WINDOW_S`."""
        rule = service_rule(self.store_view, backend.service)
        if rule is None or rule.cold_per_s <= 0:
            return backend.capacity
        bound = rule.cold_per_s * self.bounds.cold_over + self.bounds.cold_slack
        fleet = math.floor(_COLD_SAFETY * bound)
        if self.answered_part.get(backend.service, _ALL_ANSWERED) < _COLD_WORTH:
            fleet = min(fleet, _COLD_TRIALS)
        return self._own_part(backend, fleet)

    def tries_first(self, backend: BackendEntry) -> bool:
        """Return whether this VM is the one that tries a server before the others do."""
        return self._rank(backend) == 0

    def record_attempt(self, service: str, answered: bool) -> None:
        """Note whether a request to a cold server of a service was answered in time.

        Where a cold server works longer on a new object than routes hold their requests, every
        request sent there times out: then only a few are sent, and the others go elsewhere.
        """
        part = self.answered_part.get(service, _ALL_ANSWERED)
        self.answered_part[service] = part + _COLD_WEIGHT * (float(answered) - part)

    def _own_part(self, backend: BackendEntry, fleet: int) -> int:
        """Return this VM's part of what the fleet may send a server; the parts add up to that."""
        rank = self._rank(backend)
        near_vms = self._vms_near(backend)
        far_vms = self.vm_count() - near_vms
        near = _near_part(fleet, near_vms, far_vms)
        if rank < near_vms:
            return _part(near, near_vms, rank)
        return _part(fleet - near, far_vms, rank - near_vms)

    def _vms_near(self, backend: BackendEntry) -> int:
        """Return how many VMs there are in a server's region."""
        region = self.regions.get(backend.hall, "")
        return sum(member.region == region for member in self.store_view.members.values())

    def _rank(self, backend: BackendEntry) -> int:
        """Return how many VMs come before this one at a cold server: its region's first."""
        region = self.regions.get(backend.hall, "")
        draws = {
            member.name: (member.region != region, hash64(f"{backend.id}|{member.name}"))
            for member in self.store_view.members.values()
        }
        own = draws.get(self.name)
        if own is None:
            return len(draws) + 1
        return sum(draw < own for draw in draws.values())


def _near_part(fleet: int, near_vms: int, far_vms: int) -> int:
    """Return how many of the fleet's requests to a server the VMs of its region may send."""
    if near_vms == 0:
        return 0
    return math.ceil(_NEAR_PART * fleet) if far_vms else fleet


def _part(requests: int, vms: int, rank: int) -> int:
    """Return the part of the VM with some rank, from 0, when requests are divided among VMs."""
    every, left_over = divmod(requests, max(1, vms))
    return every + (rank < left_over)


class ColdStart(NamedTuple):
    """What follows for a server that may be cold.

    Args:
        cold_until: Monotonic time until which it counts as cold, in seconds; minus infinity when
            nothing says that it is cold.
        probe: True when the server is to be asked, as nothing says whether it is cold.
    """

    cold_until: float
    probe: bool


class ColdStarts:
    """Decides which servers count as cold.

    Args:
        store_view: What this VM holds of the store.
        lapsed_entries: When an entry may only have lapsed.
    """

    def __init__(self, store_view: StoreView, lapsed_entries: LapsedEntries) -> None:
        self.store_view = store_view
        self.lapsed_entries = lapsed_entries
        self.settled = False

    def settle(self) -> None:
        """Count servers that appear from now on as new: those of the start are not."""
        self.settled = True

    def on_entry(self, backend: BackendEntry, now: float, *, new: bool) -> ColdStart:
        """Return what follows from an entry of the store.

        Args:
            backend: The entry.
            now: Monotonic time, in seconds.
            new: True when this VM did not know the server.
        """
        appears = new and self.settled
        left_s = backend.cold_for_s
        if appears:
            left_s = max(left_s, self._warmup_s(backend.service))
        probe = appears and self.lapsed_entries.may_lapse(now)
        return ColdStart(now + left_s + COLD_MARGIN_S if left_s > 0 else float("-inf"), probe)

    def on_return(self, backend: BackendEntry, now: float) -> ColdStart:
        """Return what follows when the evacuation of a server's data hall has ended.

        Args:
            backend: The server's entry.
            now: Monotonic time, in seconds.
        """
        return ColdStart(now + self._warmup_s(backend.service) + COLD_MARGIN_S, True)

    def _warmup_s(self, service: str) -> float:
        rule = service_rule(self.store_view, service)
        return rule.warmup_s if rule else _DEFAULT_WARMUP_S


def service_rule(store_view: StoreView, service: str) -> Optional[ServiceRule]:
    """Return the configuration's rule for a service; None when it has none."""
    configuration = store_view.configuration
    return configuration.services.get(service) if configuration else None
