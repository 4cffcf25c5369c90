"""Checks of a configuration that types alone cannot make.

Owns the ranges of every number in a configuration, and the rules on names, references, client
blocks and addresses. The first fault found becomes a `ConfigurationError` that names source, key,
what was found and what to write. Relies on `configuration` for the types and on `net.address` for
the form of addresses; `loading` calls it on everything that is read.
"""

import ipaddress
import math
import string
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from ..errors import ConfigurationError
from ..net.address import is_address
from .configuration import Configuration, Guard, Lookup, Pool, Service, Shift


class _Range(NamedTuple):
    """Smallest and largest value that a key may have, both included."""

    low: float
    high: float


_SAFE = frozenset(string.ascii_letters + string.digits + "-_.")
"""Characters of names, which stand in paths, keys of the store and log lines without quoting."""

_IP_VERSIONS = (4, 6)
"""Versions of the internet protocol, as `ipaddress` numbers them; blocks of two never overlap."""

_DEADLINE_MS = _Range(1, 3_600_000)
"""A service's deadline, in milliseconds, up to an hour."""

_MAX_WAIT_MS = _Range(0, 60_000)
"""A service's longest wait for a slot, in milliseconds; 0 refuses at once."""

_SHIFT_CAP = _Range(0.001, 1)
"""Part of the callers that may move in one window. It cannot exceed 1, all of them; a cap of 0
would freeze steering."""

_SLOTS = _Range(1, 10_000)
"""Requests that one backend server runs at once. The brief's have 4."""

_CONNECTIONS = _Range(1, 100_000)
"""Connections to one backend server. The brief's take 120 to 130."""

_ONE_WAY_MS = _Range(0, 10_000)
"""A link's time one way, in milliseconds. The brief's take 10 to 35."""

_LINK_REQUESTS_PER_S = _Range(0, 1e9)
"""Requests a second over a link; 0 closes it. Keeps infinity out."""

_TTL_MS = _Range(100, 600_000)
"""Time that callers keep a look-up answer, in milliseconds."""

_SHIFT_WINDOW_S = _Range(1, 3600)
"""Window of the shift cap, in seconds; planning rounds are a second apart, so a shorter window
holds no step."""

_CEILING = _Range(0.05, 1)
"""Part of a region's slots that steering plans to use; above 1 is overload."""

_STALE_S = _Range(1, 3600)
"""Age in seconds beyond which measures let no region gain."""

_WARM_STEP = _Range(0.01, 1)
"""Part of a region's slots' worth of callers gained in one window; 1 is all of them."""


def check_configuration(configuration: Configuration, source: str) -> None:
    """Check names, references, addresses and ranges.

    Args:
        configuration: The configuration.
        source: Name of the file, for messages.

    Raises:
        ConfigurationError: For the first fault found.
    """
    check = _Check(source)
    regions = check.names("region", configuration.region)
    halls = check.names("hall", configuration.hall)
    services = check.names("service", configuration.service)
    for index, hall in enumerate(configuration.hall):
        check.known(f"hall[{index}].region", hall.region, regions)
    _check_clients(check, configuration)
    _check_services(check, configuration.service)
    _check_pools(check, configuration.pool, halls, services)
    _check_links(check, configuration, regions)
    _check_lookup(check, configuration.lookup)
    _check_shift(check, configuration.shift)
    _check_guard(check, configuration.guard)


class _Check:
    """Raises errors that name the source and the key."""

    def __init__(self, source: str) -> None:
        self.source = source

    def fail(self, key: str, found: str, remedy: str) -> None:
        raise ConfigurationError(f"{self.source}: {key}: found {found}", remedy)

    def names(self, key: str, parts: Iterable) -> set[str]:
        listed = [part.name for part in parts]
        if not listed:
            self.fail(key, "none", f"write at least one [[{key}]]")
        for name, count in Counter(listed).items():
            if not name or not set(name) <= _SAFE:
                self.fail(f"{key}.name", repr(name), "use letters, digits, '-', '_' and '.'")
            if count > 1:
                self.fail(f"{key}.name", f"{name!r} {count} times", "give each its own name")
        return set(listed)

    def known(self, key: str, name: str, known: set[str]) -> None:
        if name not in known:
            self.fail(key, repr(name), f"write one of: {', '.join(sorted(known))}")

    def within(self, key: str, value: float, allowed: _Range) -> None:
        if not (math.isfinite(value) and allowed.low <= value <= allowed.high):
            self.fail(key, repr(value), f"write a number from {allowed.low:g} to {allowed.high:g}")


def _check_clients(check: _Check, configuration: Configuration) -> None:
    networks = []
    for index, region in enumerate(configuration.region):
        for block in region.clients:
            key = f"region[{index}].clients"
            try:
                networks.append(ipaddress.ip_network(block))
            except ValueError:
                check.fail(key, repr(block), "write a block such as 10.1.0.0/16")
    for version in _IP_VERSIONS:
        ordered = sorted(n for n in networks if n.version == version)
        for left, right in zip(ordered, ordered[1:], strict=False):
            if left.overlaps(right):
                check.fail("region.clients", f"{left} over {right}", "list each client block once")


def _check_services(check: _Check, services: tuple[Service, ...]) -> None:
    for index, service in enumerate(services):
        key = f"service[{index}]"
        check.within(f"{key}.deadline_ms", service.deadline_ms, _DEADLINE_MS)
        check.within(f"{key}.max_wait_ms", service.max_wait_ms, _MAX_WAIT_MS)
        if service.shift_cap is not None:
            check.within(f"{key}.shift_cap", service.shift_cap, _SHIFT_CAP)


def _check_pools(
    check: _Check, pools: tuple[Pool, ...], halls: set[str], services: set[str]
) -> None:
    seen: set[tuple[str, str]] = set()
    owners: dict[str, int] = {}
    for index, pool in enumerate(pools):
        key = f"pool[{index}]"
        check.known(f"{key}.hall", pool.hall, halls)
        check.known(f"{key}.service", pool.service, services)
        check.within(f"{key}.slots", pool.slots, _SLOTS)
        check.within(f"{key}.connections", pool.connections, _CONNECTIONS)
        if (pool.hall, pool.service) in seen:
            check.fail(key, f"{pool.hall} {pool.service} again", "write one pool for each pair")
        seen.add((pool.hall, pool.service))
        _check_servers(check, index, pool, owners)
    served = {pool.service for pool in pools if pool.servers}
    for name in sorted(services - served):
        check.fail("pool", f"no server for {name!r}", f"add a [[pool]] with service = {name!r}")


def _check_servers(check: _Check, index: int, pool: Pool, owners: dict[str, int]) -> None:
    """Check a pool's addresses; adds them to `owners`, the pool's index by address."""
    key = f"pool[{index}].servers"
    for server in pool.servers:
        if not is_address(server):
            check.fail(key, repr(server), "write IP:PORT with an IP number")
        if server in owners:
            check.fail(key, f"{server} also in pool[{owners[server]}]", "list it once")
        owners[server] = index


def _check_links(check: _Check, configuration: Configuration, regions: set[str]) -> None:
    seen: set[frozenset[str]] = set()
    for index, link in enumerate(configuration.link):
        key = f"link[{index}]"
        check.known(f"{key}.a", link.a, regions)
        check.known(f"{key}.b", link.b, regions)
        check.within(f"{key}.one_way_ms", link.one_way_ms, _ONE_WAY_MS)
        check.within(f"{key}.requests_per_s", link.requests_per_s, _LINK_REQUESTS_PER_S)
        pair = frozenset((link.a, link.b))
        if len(pair) == 1 or pair in seen:
            check.fail(key, f"{link.a} - {link.b}", "write one link for each pair of regions")
        seen.add(pair)


def _check_lookup(check: _Check, lookup: Lookup) -> None:
    check.within("lookup.ttl_ms", lookup.ttl_ms, _TTL_MS)


def _check_shift(check: _Check, shift: Shift) -> None:
    check.within("shift.cap", shift.cap, _SHIFT_CAP)
    check.within("shift.window_s", shift.window_s, _SHIFT_WINDOW_S)


def _check_guard(check: _Check, guard: Guard) -> None:
    check.within("guard.ceiling", guard.ceiling, _CEILING)
    check.within("guard.stale_s", guard.stale_s, _STALE_S)
    check.within("guard.warm_step", guard.warm_step, _WARM_STEP)
