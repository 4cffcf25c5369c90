"""What backend servers can bear now, from all that this VM knows of them.

A `ServerEstimate` is put together from the server's load (this VM's requests in flight and what the
server last stated of the others, `load`), its pace (`pace`), the usual work of the request's kind
on a warm or cold object (`work_times`, `warm_objects`) and the age of the last stated load. What is
not known counts as usual: pace 1, the usual load of the service, no time of work.

The room of a service in a region is the sum over its servers that may get requests now
(`usability`). It is computed at most every `_ROOM_VALID_S` for a service and region, as it costs a
step for each server.

Estimates exist for every server. That of a server that has stated no pace has no age, so that
deployments whose servers state none are served as before; `states_pace` tells that of a service.
Times are monotonic, in seconds.

Owns the cached room; relies on the registry and the outlier detector. Shows in `/state` as `load`,
`pace` and `load_age_s` of a server. Tests: `test_gateway_live_estimates`.
"""

import math
from collections.abc import Iterable
from operator import itemgetter
from typing import NamedTuple

from ...estimates.server_estimate import ServerEstimate, ServerEstimates
from ...estimates.service_room import ServiceRoom, sum_room
from ...resources import BackendEntry
from ...state.named_state import NamedStateOwner, NamedTable, NameKind
from ..backend_registry import BackendRegistry
from ..backend_server import BackendServer
from ..outliers import OutlierDetector
from ..usability import unusable_reason
from .pace import PACE_HALF_LIFE_S
from .warm_objects import WarmObjects

MAX_REPORT_AGE_S = 4 * PACE_HALF_LIFE_S
"""Age up to which a report on a server's load counts as recent, in seconds: later, less than a
sixteenth of it is left in the estimates."""

_ROOM_VALID_S = 0.1
"""Time for which a computed room is used, in seconds."""


class _CachedRoom(NamedTuple):
    """A room, and the monotonic time at which it was computed, in seconds."""

    room: ServiceRoom
    at: float


class LiveEstimates(ServerEstimates, NamedStateOwner):
    """Estimates from what this VM knows of the servers in its registry.

    Args:
        registry: Backend servers.
        outliers: Knows which servers are ejected, and which objects this VM has sent where.
    """

    def __init__(self, registry: BackendRegistry, outliers: OutlierDetector) -> None:
        self.registry = registry
        self.ejected = outliers.ejected
        self.cold_allowance = registry.cold_allowance
        self.warm_objects = WarmObjects(registry, outliers.sent_objects)
        self._rooms: dict[tuple[str, str], _CachedRoom] = {}

    def named_tables(self) -> Iterable[NamedTable]:
        """Return the rooms by service and region; see `NamedStateOwner`."""
        return (NamedTable("service_rooms", NameKind.SERVICE, self._rooms, name_of=itemgetter(0)),)

    def estimate(self, backend: BackendEntry, route: str, key: str, now: float) -> ServerEstimate:
        """Return what is expected of a server for one request; see `ServerEstimates`."""
        server = self.registry.servers.get(backend.id) or BackendServer(backend)
        times = self.registry.work_times
        warm = not (key and times.warmth_counts(route))
        warm = warm or self.warm_objects.expects(server, key, now)
        work_s = times.usual_s(route, backend.service, warm=warm)
        estimate = self._estimate(server, work_s, warm, now)
        if server.pace.stated is None:
            # Without a pace, the server is chosen by its load alone.
            return estimate._replace(age_s=math.inf)
        return estimate

    def room(self, service: str, region: str, now: float) -> ServiceRoom:
        """Return the room of a service in a region.

        Args:
            service: Name of the service.
            region: Name of the region; empty for all regions.
            now: Monotonic time, in seconds.
        """
        cached = self._rooms.get((service, region))
        if cached is None or now - cached.at >= _ROOM_VALID_S:
            cached = _CachedRoom(self._sum_room(service, region, now), now)
            self._rooms[service, region] = cached
        return cached.room

    def states_pace(self, service: str) -> bool:
        """Return whether an offered server of a service has stated its pace."""
        return any(s.pace.stated is not None for s in self.registry.offered(service))

    def _sum_room(self, service: str, region: str, now: float) -> ServiceRoom:
        regions = self.registry.regions
        estimates = (
            self._estimate(server, 0.0, True, now)
            for server in self.registry.offered(service)
            if not region or regions.get(server.backend.hall) == region
            if unusable_reason(server, now, self.ejected, self.cold_allowance) is None
        )
        return sum_room(estimates, MAX_REPORT_AGE_S)

    def _estimate(
        self, server: BackendServer, work_s: float, warm: bool, now: float
    ) -> ServerEstimate:
        backend = server.backend
        return ServerEstimate(
            server_id=backend.id,
            slots=backend.capacity,
            held=server.load(now),
            pace=server.pace.pace(now),
            work_s=work_s,
            queued_work_s=self.registry.work_times.queued_s(backend.service),
            warm=warm,
            age_s=server.load_age_s(now),
        )
