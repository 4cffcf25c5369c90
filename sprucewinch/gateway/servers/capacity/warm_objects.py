"""Expects whether a backend server keeps an object warm, in a fleet where other VMs warm it too.

An object is expected to be warm at a server if

- this VM has sent it there recently (`sent_objects`), or
- the server is the object's first one in its region and its warm-up is over.

The second rule assumes that the fleet sends an object to its first server, so that some VM has sent
it there recently. It is wrong for an object that nobody has asked for lately, and for one whose
first server was not usable for long; both cost one request on a cold object. A server that joins or
loses its warm objects counts as cold for its warm-up, in which it gets requests for its objects.

The first server is that of `requests.choice.server_order`: the least value of `object_order` among
the region's servers that are offered. Results are cached until the registry changes, as each costs
one hash a server. Times are monotonic, in seconds.

Owns the cache; relies on the registry and on `sent_objects`. Shows in `warm` of the estimates.
Tests: `test_gateway_live_estimates`.
"""

import math

import xxhash

from ....steering.placement import block_key
from ..backend_registry import BackendRegistry
from ..backend_server import BackendServer
from ..sent_objects import SentObjects

_HASH_SPACE = float(1 << 32)
"""Number of values of the 32-bit hash."""

_MAX_CACHED_OBJECTS = 4_000
"""Largest number of objects whose first servers are cached; beyond it the cache is cleared."""


def object_order(server: BackendServer, block: bytes) -> float:
    """Return a server's place for an object in rendezvous hashing weighted by slots; least first.

    Args:
        server: The server.
        block: Key of the object in its service, as `block_key` returns it.
    """
    uniform = (xxhash.xxh32_intdigest(block, server.seed) + 1) / _HASH_SPACE
    return -math.log(uniform) / max(1, server.backend.capacity)


class WarmObjects:
    """Expects which objects are warm at which servers.

    Args:
        registry: Backend servers.
        sent_objects: The objects that this VM has recently sent to each server.
    """

    def __init__(self, registry: BackendRegistry, sent_objects: SentObjects) -> None:
        self.registry = registry
        self.sent_objects = sent_objects
        self._first: dict[tuple[str, str], frozenset[str]] = {}
        self._generation = -1

    def expects(self, server: BackendServer, key: str, now: float) -> bool:
        """Return whether an object is expected to be warm at a server.

        Args:
            server: The server.
            key: Key of the object.
            now: Monotonic time, in seconds.
        """
        backend = server.backend
        if self.sent_objects.is_warm(backend.id, key, now):
            return True
        return not server.cold(now) and backend.id in self._first_servers(backend.service, key)

    def _first_servers(self, service: str, key: str) -> frozenset[str]:
        """Return the ids of the first server for an object in each region."""
        changed = self._generation != self.registry.generation
        if changed or len(self._first) > _MAX_CACHED_OBJECTS:
            self._generation = self.registry.generation
            self._first.clear()
        found = self._first.get((service, key))
        if found is None:
            found = self._first[service, key] = self._find_first(service, key)
        return found

    def _find_first(self, service: str, key: str) -> frozenset[str]:
        block = block_key(key, service)
        regions = self.registry.regions
        least: dict[str, tuple[float, str]] = {}
        for server in self.registry.offered(service):
            region = regions.get(server.backend.hall, "")
            place = object_order(server, block), server.backend.id
            least[region] = min(place, least.get(region, place))
        return frozenset(server_id for _, server_id in least.values())
