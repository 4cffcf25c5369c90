"""Which backend servers may run a request, the best first."""

import math
from typing import NamedTuple

import xxhash

from ...steering.placement import block_key
from ..regions.shares import RegionShares
from ..servers.backend_registry import BackendRegistry
from ..servers.backend_server import BackendServer

_HASH_SPACE = float(1 << 32)
_MAX_KEPT = 4_000


class Ranking(NamedTuple):
    """Backend servers for one object, in order of preference.

    Args:
        region: Region that the object lives in.
        servers: Servers of that region, then of the others.
        near: How many of them stand in that region.
    """

    region: str
    servers: tuple[BackendServer, ...]
    near: int


class ServerRanker:
    """Places objects by region shares, then by rendezvous hashing within a region.

    Args:
        registry: Backend servers.
        shares: Region shares in force.
        regions: Region of each data hall.
    """

    def __init__(
        self, registry: BackendRegistry, shares: RegionShares, regions: dict[str, str]
    ) -> None:
        self.registry = registry
        self.shares = shares
        self.regions = regions
        self._kept: dict[tuple[str, str, str], Ranking] = {}
        self._generation = -1

    def place(self, service: str, key: str, allowed: tuple[str, ...], now: float) -> Ranking:
        """Return the servers for an object.

        Args:
            service: Service.
            key: Names the object.
            allowed: Regions that may run it; empty for all.
            now: Monotonic time, in seconds.
        """
        if self._generation != self.registry.generation or len(self._kept) > _MAX_KEPT:
            self._generation = self.registry.generation
            self._kept.clear()
        block = block_key(key, service)
        region = self.shares.shares(service, now).region_at(block)
        at = (service, key, f"{region}|{'|'.join(allowed)}")
        ranking = self._kept.get(at)
        if ranking is None:
            ranking = self._kept[at] = self._rank(service, block, region, allowed)
        return ranking

    def _rank(self, service: str, block: bytes, region: str, allowed: tuple[str, ...]) -> Ranking:
        def order(server: BackendServer) -> tuple[bool, float]:
            away = self.regions.get(server.backend.hall) != region
            uniform = (xxhash.xxh32_intdigest(block, server.seed) + 1) / _HASH_SPACE
            return away, -math.log(uniform) / max(1, server.backend.capacity)

        servers = [
            server
            for server in self.registry.usable(service)
            if not allowed or self.regions.get(server.backend.hall) in allowed
        ]
        servers.sort(key=order)
        near = sum(self.regions.get(s.backend.hall) == region for s in servers)
        return Ranking(region, tuple(servers), near)
