"""Checks a configuration for what its types cannot express.

Owns the range of every number in a configuration, and the rules on names, references, client blocks
and addresses. The first violation raises a `ConfigurationError` that states the source, the key,
what was found and what to write instead. Relies on `configuration` for the types and on
`net.address` for the form of addresses; `loading` calls it for every configuration that is read.
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
    """Smallest and largest valid value of a key, both included."""

    low: float
    high: float


_NAME_CHARACTERS = frozenset(string.ascii_letters + string.digits + "-_.")
"""Valid characters of names, which appear in paths, store keys and log lines without quoting."""

_IP_VERSIONS = (4, 6)
"""IP versions; blocks of different versions never overlap and cannot be compared."""

_DEADLINE_RANGE_MS = _Range(1, 3_600_000)
"""Deadline of a service; at most an hour."""

_MAX_WAIT_RANGE_MS = _Range(0, 60_000)
"""Longest wait of a service for a free slot; 0 refuses at once."""

_SHIFT_CAP_RANGE = _Range(0.001, 1)
"""Share of callers that may move in one window: 1 is all of them, and 0 would prevent any
steering."""

_SLOTS_RANGE = _Range(1, 10_000)
"""Requests that one backend server runs at once; those in `examples/` run 4."""

_CONNECTIONS_RANGE = _Range(1, 100_000)
"""Connections that one backend server accepts; those in `examples/` accept 120 or
130."""

_ONE_WAY_RANGE_MS = _Range(0, 10_000)
"""One-way latency of a link; 10 to 35 ms in `examples/`."""

_LINK_REQUESTS_RANGE_PER_S = _Range(0, 1e9)
"""Requests per second over a link; 0 closes the link. The upper bound excludes infinity."""

_TTL_RANGE_MS = _Range(100, 600_000)
"""Time for which callers cache a look-up answer."""

_SHIFT_WINDOW_RANGE_S = _Range(1, 3600)
"""Window of the shift cap. Planning rounds are 1 s apart, so that a shorter window would contain no
step."""

_CEILING_RANGE = _Range(0.05, 1)
"""Share of a region's slots that steering plans to use; above 1 means overload."""

_STALE_RANGE_S = _Range(1, 3600)
"""Age of a region's measurements beyond which it may not gain callers."""

_WARM_STEP_RANGE = _Range(0.01, 1)
"""Share of a region's slots by which its callers may grow in one window; 1 is all of them."""


def check_configuration(configuration: Configuration, source: str) -> None:
    """Check names, references, addresses and ranges.

    Args:
        configuration: The configuration.
        source: Name of the file or other source, for messages.

    Raises:
        ConfigurationError: For the first violation found.
    """
    checker = _Checker(source)
    regions = checker.unique_names("region", configuration.region)
    halls = checker.unique_names("hall", configuration.hall)
    services = checker.unique_names("service", configuration.service)
    for index, hall in enumerate(configuration.hall):
        checker.reference(f"hall[{index}].region", hall.region, regions)
    _check_clients(checker, configuration)
    _check_services(checker, configuration.service)
    _check_pools(checker, configuration.pool, halls, services)
    _check_links(checker, configuration, regions)
    _check_lookup(checker, configuration.lookup)
    _check_shift(checker, configuration.shift)
    _check_guard(checker, configuration.guard)


class _Checker:
    """Basic checks, which raise a `ConfigurationError` with the source and the key."""

    def __init__(self, source: str) -> None:
        self.source = source

    def fail(self, key: str, found: str, remedy: str) -> None:
        raise ConfigurationError(f"{self.source}: {key}: found {found}", remedy)

    def unique_names(self, key: str, items: Iterable) -> set[str]:
        names = [item.name for item in items]
        if not names:
            self.fail(key, "none", f"write at least one [[{key}]]")
        for name, count in Counter(names).items():
            if not name or not set(name) <= _NAME_CHARACTERS:
                self.fail(f"{key}.name", repr(name), "use letters, digits, '-', '_' and '.'")
            if count > 1:
                self.fail(f"{key}.name", f"{name!r} {count} times", "give each its own name")
        return set(names)

    def reference(self, key: str, name: str, known: set[str]) -> None:
        if name not in known:
            self.fail(key, repr(name), f"write one of: {', '.join(sorted(known))}")

    def in_range(self, key: str, value: float, valid: _Range) -> None:
        if not (math.isfinite(value) and valid.low <= value <= valid.high):
            self.fail(key, repr(value), f"write a number from {valid.low:g} to {valid.high:g}")


def _check_clients(checker: _Checker, configuration: Configuration) -> None:
    networks = []
    for index, region in enumerate(configuration.region):
        for block in region.clients:
            key = f"region[{index}].clients"
            try:
                networks.append(ipaddress.ip_network(block))
            except ValueError:
                checker.fail(key, repr(block), "write a block such as 10.1.0.0/16")
    for version in _IP_VERSIONS:
        ordered = sorted(n for n in networks if n.version == version)
        for left, right in zip(ordered, ordered[1:], strict=False):
            if left.overlaps(right):
                checker.fail(
                    "region.clients",
                    f"{left}, which overlaps {right}",
                    "list each client block once",
                )


def _check_services(checker: _Checker, services: tuple[Service, ...]) -> None:
    for index, service in enumerate(services):
        key = f"service[{index}]"
        checker.in_range(f"{key}.deadline_ms", service.deadline_ms, _DEADLINE_RANGE_MS)
        checker.in_range(f"{key}.max_wait_ms", service.max_wait_ms, _MAX_WAIT_RANGE_MS)
        if service.shift_cap is not None:
            checker.in_range(f"{key}.shift_cap", service.shift_cap, _SHIFT_CAP_RANGE)


def _check_pools(
    checker: _Checker, pools: tuple[Pool, ...], halls: set[str], services: set[str]
) -> None:
    seen: set[tuple[str, str]] = set()
    owners: dict[str, int] = {}
    for index, pool in enumerate(pools):
        key = f"pool[{index}]"
        checker.reference(f"{key}.hall", pool.hall, halls)
        checker.reference(f"{key}.service", pool.service, services)
        checker.in_range(f"{key}.slots", pool.slots, _SLOTS_RANGE)
        checker.in_range(f"{key}.connections", pool.connections, _CONNECTIONS_RANGE)
        if (pool.hall, pool.service) in seen:
            checker.fail(
                key,
                f"a second pool of {pool.service} in {pool.hall}",
                "write one pool for each pair",
            )
        seen.add((pool.hall, pool.service))
        _check_servers(checker, index, pool, owners)
    served = {pool.service for pool in pools if pool.servers}
    for name in sorted(services - served):
        checker.fail("pool", f"no server for {name!r}", f"add a [[pool]] with service = {name!r}")


def _check_servers(checker: _Checker, index: int, pool: Pool, owners: dict[str, int]) -> None:
    """Check a pool's addresses and add them to `owners`, which maps addresses to pool indexes."""
    key = f"pool[{index}].servers"
    for server in pool.servers:
        if not is_address(server):
            checker.fail(key, repr(server), "write IP:PORT with an IP address")
        if server in owners:
            checker.fail(key, f"{server} also in pool[{owners[server]}]", "list it once")
        owners[server] = index


def _check_links(checker: _Checker, configuration: Configuration, regions: set[str]) -> None:
    seen: set[frozenset[str]] = set()
    for index, link in enumerate(configuration.link):
        key = f"link[{index}]"
        checker.reference(f"{key}.a", link.a, regions)
        checker.reference(f"{key}.b", link.b, regions)
        checker.in_range(f"{key}.one_way_ms", link.one_way_ms, _ONE_WAY_RANGE_MS)
        checker.in_range(f"{key}.requests_per_s", link.requests_per_s, _LINK_REQUESTS_RANGE_PER_S)
        pair = frozenset((link.a, link.b))
        if len(pair) == 1 or pair in seen:
            checker.fail(key, f"{link.a} - {link.b}", "write one link for each pair of regions")
        seen.add(pair)


def _check_lookup(checker: _Checker, lookup: Lookup) -> None:
    checker.in_range("lookup.ttl_ms", lookup.ttl_ms, _TTL_RANGE_MS)


def _check_shift(checker: _Checker, shift: Shift) -> None:
    checker.in_range("shift.cap", shift.cap, _SHIFT_CAP_RANGE)
    checker.in_range("shift.window_s", shift.window_s, _SHIFT_WINDOW_RANGE_S)


def _check_guard(checker: _Checker, guard: Guard) -> None:
    checker.in_range("guard.ceiling", guard.ceiling, _CEILING_RANGE)
    checker.in_range("guard.stale_s", guard.stale_s, _STALE_RANGE_S)
    checker.in_range("guard.warm_step", guard.warm_step, _WARM_STEP_RANGE)
