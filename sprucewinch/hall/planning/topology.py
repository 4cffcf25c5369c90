"""A configuration's regions, halls, links and drains, as tables built once for each revision.

Owns the document in force and a bounded cache of callers' regions. Relies on `config.configuration`
for the document and on `steering.placement` for client blocks. Except for that cache, a `Topology`
does not change after its construction, so a new revision is a new object.
"""

import math
from collections.abc import Mapping
from typing import Optional

from ...config.configuration import Configuration, Document, Pool, Service, drain_key
from ...steering.placement import BlockTable, Shares, make_shares
from ...steering.shift import ShiftLimit

_UNLINKED_DISTANCE_MS = 1000.0
"""One-way distance between regions without a link: above that of any real link, so that such a
region comes last."""

_MAX_CACHED_CLIENTS = 8192
"""Most callers whose region is cached; the cache is emptied when it is full."""

_HOME_DISTANCE_MS = 1.0
"""One-way distance of a region to itself."""


class Topology:
    """A configuration document and the tables built from it.

    Args:
        document: The document in force.
    """

    def __init__(self, document: Document) -> None:
        self.document = document
        self.configuration: Configuration = document.configuration
        self.order: tuple[str, ...] = tuple(r.name for r in self.configuration.region)
        self.services: Mapping[str, Service] = {s.name: s for s in self.configuration.service}
        self.region_of_hall: Mapping[str, str] = {h.name: h.region for h in self.configuration.hall}
        self.blocks = BlockTable(
            (block, region.name) for region in self.configuration.region for block in region.clients
        )
        self.drained = frozenset(document.drained)
        self._region_of_client: dict[str, Optional[str]] = {}
        self._links = {
            frozenset((link.a, link.b)): (link.one_way_ms, link.requests_per_s)
            for link in self.configuration.link
        }

    def client_region(self, client: str) -> Optional[str]:
        """Return the region of a caller's address or block; None when no block contains it.

        Raises:
            ValueError: When the text is neither an IP address nor a block.
        """
        if client not in self._region_of_client:
            region = self.blocks.region_of(client)
            if len(self._region_of_client) >= _MAX_CACHED_CLIENTS:
                self._region_of_client.clear()
            self._region_of_client[client] = region
        return self._region_of_client[client]

    def distance_ms(self, client_region: str, region: str) -> float:
        """Return the one-way time between two regions, in milliseconds.

        Without a link it is `_UNLINKED_DISTANCE_MS`.
        """
        if client_region == region:
            return _HOME_DISTANCE_MS
        return self._links.get(frozenset((client_region, region)), (_UNLINKED_DISTANCE_MS, 0.0))[0]

    def link_per_s(self, client_region: str, region: str) -> float:
        """Return the limit of the link between two regions, in requests a second.

        It is 0 without a link, and infinite for one and the same region.
        """
        if client_region == region:
            return math.inf
        return self._links.get(frozenset((client_region, region)), (_UNLINKED_DISTANCE_MS, 0.0))[1]

    def by_distance(self, client_region: str) -> list[str]:
        """Return all regions, the nearest to a client region first."""
        return sorted(self.order, key=lambda region: self.distance_ms(client_region, region))

    def pools_of(self, hall: str) -> tuple[Pool, ...]:
        """Return the pools of a data hall."""
        return tuple(pool for pool in self.configuration.pool if pool.hall == hall)

    def hall_drained(self, hall: str) -> bool:
        """Return whether operators are draining a data hall."""
        return drain_key("hall", hall) in self.drained

    def region_drained(self, region: str) -> bool:
        """Return whether operators are draining a region, or every data hall of it."""
        halls = [hall for hall, hall_region in self.region_of_hall.items() if hall_region == region]
        if halls and all(map(self.hall_drained, halls)):
            return True
        return drain_key("region", region) in self.drained

    def drained_servers(self, hall: str) -> frozenset[str]:
        """Return the backend servers of a hall that operators are draining.

        They get no new requests.
        """
        servers = [server for pool in self.pools_of(hall) for server in pool.servers]
        if self.hall_drained(hall):
            return frozenset(servers)
        return frozenset(s for s in servers if drain_key("server", s) in self.drained)

    def shift_limit(self, service: str) -> ShiftLimit:
        """Return the shift cap of a service: its own, or else that of the configuration."""
        service_cap = self.services[service].shift_cap
        shift = self.configuration.shift
        cap = shift.cap if service_cap is None else service_cap
        return ShiftLimit(cap, shift.window_s, self.configuration.lookup.ttl_ms / 1000)

    def shares_of(self, weights: Mapping[str, float], default: str) -> Shares:
        """Return shares over this configuration's regions.

        Args:
            weights: Weights by region; unknown regions are left out.
            default: Region that gets everything when no weight is left.
        """
        known = {r: w for r, w in weights.items() if r in self.order and w > 0}
        return make_shares(self.order, known or {default: 1.0})
