"""Ranks the backend servers of a service for an object.

The ranking says which servers may run a request about the object, in order of preference. The
region is the one whose share the object's hash falls into. Its servers come first, then those of
all other regions; within each group the order is that of rendezvous hashing, weighted by the
servers' slots. The inputs are the service, the object's key, the allowed regions, the regions'
current shares and the time (monotonic, in seconds).

Every VM computes the same ranking without asking another one. When a server joins or leaves, only
its own objects move, so the caches of the other servers stay warm. A ranking costs one hash for
each server, so rankings are cached until the registry changes.

The first server of a ranking is logged as the first of `sends` in the event `request`. The tests
are in tests/test_gateway_pipeline.py (`Placing`).
"""

import math
from typing import NamedTuple, Optional

import xxhash

from ....steering.placement import block_key
from ...regions.shares import RegionShares
from ...servers.backend_registry import BackendRegistry
from ...servers.backend_server import BackendServer

_HASH_SPACE = float(1 << 32)
"""Number of values of the 32-bit hash."""

MAX_CACHED_RANKINGS = 4_000
"""Largest number of cached rankings, which bounds memory; beyond it the cache is cleared."""


class Ranking(NamedTuple):
    """Backend servers for one object, in order of preference.

    Args:
        region: Region that the object's hash falls into.
        servers: Servers of that region, then those of the others.
        local_count: Number of servers in that region, which come first in `servers`.
        heads: Ids of the servers that come first among those of their region.
    """

    region: str
    servers: tuple[BackendServer, ...]
    local_count: int
    heads: frozenset[str] = frozenset()


class ServerRanker:
    """Ranks servers by region shares, then by rendezvous hashing within a region.

    Args:
        registry: Backend servers.
        shares: Current region shares.
        regions: Region of each data hall.
    """

    def __init__(
        self, registry: BackendRegistry, shares: RegionShares, regions: dict[str, str]
    ) -> None:
        self.registry = registry
        self.shares = shares
        self.regions = regions
        self._rankings: dict[tuple[str, str, str], Ranking] = {}
        self._generation = -1

    def rank(self, service: str, key: str, allowed: tuple[str, ...], now: float) -> Ranking:
        """Return the servers for an object, in order of preference.

        Args:
            service: Service.
            key: Key of the object.
            allowed: Regions that may serve it; empty for all.
            now: Monotonic time, in seconds.
        """
        if (
            self._generation != self.registry.generation
            or len(self._rankings) > MAX_CACHED_RANKINGS
        ):
            self._generation = self.registry.generation
            self._rankings.clear()
        block = block_key(key, service)
        region = self.shares.shares(service, now).region_of(block)
        at = (service, key, f"{region}|{'|'.join(allowed)}")
        ranking = self._rankings.get(at)
        if ranking is None:
            ranking = self._rankings[at] = self._build_ranking(service, block, region, allowed)
        return ranking

    def _build_ranking(
        self, service: str, block: bytes, region: str, allowed: tuple[str, ...]
    ) -> Ranking:
        def order(server: BackendServer) -> tuple[bool, float]:
            away = self.regions.get(server.backend.hall) != region
            uniform = (xxhash.xxh32_intdigest(block, server.seed) + 1) / _HASH_SPACE
            return away, -math.log(uniform) / max(1, server.backend.capacity)

        servers = [
            server
            for server in self.registry.offered(service)
            if not allowed or self.regions.get(server.backend.hall) in allowed
        ]
        servers.sort(key=order)
        local_count = sum(self.regions.get(s.backend.hall) == region for s in servers)
        heads: dict[Optional[str], str] = {}
        for server in servers:
            heads.setdefault(self.regions.get(server.backend.hall), server.backend.id)
        return Ranking(region, tuple(servers), local_count, frozenset(heads.values()))
