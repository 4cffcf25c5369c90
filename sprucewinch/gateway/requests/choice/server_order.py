"""Rule: in which order the backend servers of a service are tried for an object.

Question: which servers may run a request about this object, the best first? Inputs: service,
object, allowed regions, the regions' shares in force, time in monotonic seconds. Rule: the share
that the object's hash falls into gives its region; servers of that region come first, then all
others, each group by rendezvous hashing weighted with the servers' slots.

Why so: every VM finds the same order without asking another one, and a server that comes or goes
moves its own objects only, so the others find their servers warm. Rankings are kept until the
registry changes, as one costs a hash for each server. Constants: `RANKINGS_KEPT`. Shows in: event
`request`, first of `sends`. Tests: tests/test_gateway_pipeline.py (`Placing`).
"""

import math
from typing import NamedTuple

import xxhash

from ....steering.placement import block_key
from ...regions.shares import RegionShares
from ...servers.backend_registry import BackendRegistry
from ...servers.backend_server import BackendServer

_HASH_SPACE = float(1 << 32)
"""Number of values of the hash, which has 32 bits."""

RANKINGS_KEPT = 4_000
"""Rankings that are kept before all are dropped, to bound memory."""


class Ranking(NamedTuple):
    """Backend servers for one object, in order of preference.

    Args:
        region: Region that the object's hash falls into.
        servers: Servers of that region, then those of the others.
        near: Number of servers in that region.
    """

    region: str
    servers: tuple[BackendServer, ...]
    near: int


class ServerRanker:
    """Orders servers by region shares, then by rendezvous hashing within a region.

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
        """Return the servers for an object, in order of preference.

        Args:
            service: Service.
            key: Names the object.
            allowed: Regions that may run it; empty for all.
            now: Monotonic time, in seconds.
        """
        if self._generation != self.registry.generation or len(self._kept) > RANKINGS_KEPT:
            self._generation = self.registry.generation
            self._kept.clear()
        block = block_key(key, service)
        region = self.shares.shares(service, now).region_of(block)
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
