"""Checks of a configuration that types alone cannot make."""

import ipaddress
import math
from collections import Counter
from collections.abc import Iterable
from typing import TYPE_CHECKING

from ..errors import ConfigurationError
from ..net.address import is_address

if TYPE_CHECKING:
    from .configuration import Configuration

_SAFE = set("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.")


def check_configuration(configuration: "Configuration", source: str) -> None:
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
    _check_services(check, configuration)
    _check_pools(check, configuration, halls, services)
    _check_links(check, configuration, regions)
    _check_limits(check, configuration)


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

    def between(self, key: str, value: float, low: float, high: float) -> None:
        if not (math.isfinite(value) and low <= value <= high):
            self.fail(key, repr(value), f"write a number from {low:g} to {high:g}")


def _check_clients(check: _Check, configuration: "Configuration") -> None:
    networks = []
    for index, region in enumerate(configuration.region):
        for block in region.clients:
            key = f"region[{index}].clients"
            try:
                networks.append(ipaddress.ip_network(block))
            except ValueError:
                check.fail(key, repr(block), "write a block such as 10.1.0.0/16")
    for version in (4, 6):
        ordered = sorted(n for n in networks if n.version == version)
        for left, right in zip(ordered, ordered[1:], strict=False):
            if left.overlaps(right):
                check.fail("region.clients", f"{left} over {right}", "list each client block once")


def _check_services(check: _Check, configuration: "Configuration") -> None:
    for index, service in enumerate(configuration.service):
        key = f"service[{index}]"
        check.between(f"{key}.deadline_ms", service.deadline_ms, 1, 3_600_000)
        check.between(f"{key}.max_wait_ms", service.max_wait_ms, 0, 60_000)
        if service.shift_cap is not None:
            check.between(f"{key}.shift_cap", service.shift_cap, 0.001, 1)


def _check_pools(
    check: _Check, configuration: "Configuration", halls: set[str], services: set[str]
) -> None:
    seen: set[tuple[str, str]] = set()
    owners: dict[str, int] = {}
    for index, pool in enumerate(configuration.pool):
        key = f"pool[{index}]"
        check.known(f"{key}.hall", pool.hall, halls)
        check.known(f"{key}.service", pool.service, services)
        check.between(f"{key}.slots", pool.slots, 1, 10_000)
        check.between(f"{key}.connections", pool.connections, 1, 100_000)
        if (pool.hall, pool.service) in seen:
            check.fail(key, f"{pool.hall} {pool.service} again", "write one pool for each pair")
        seen.add((pool.hall, pool.service))
        for server in pool.servers:
            if not is_address(server):
                check.fail(f"{key}.servers", repr(server), "write IP:PORT with an IP number")
            if server in owners:
                other = owners[server]
                check.fail(f"{key}.servers", f"{server} also in pool[{other}]", "list it once")
            owners[server] = index
    served = {pool.service for pool in configuration.pool if pool.servers}
    for name in sorted(services - served):
        check.fail("pool", f"no server for {name!r}", f"add a [[pool]] with service = {name!r}")


def _check_links(check: _Check, configuration: "Configuration", regions: set[str]) -> None:
    seen: set[frozenset[str]] = set()
    for index, link in enumerate(configuration.link):
        key = f"link[{index}]"
        check.known(f"{key}.a", link.a, regions)
        check.known(f"{key}.b", link.b, regions)
        check.between(f"{key}.one_way_ms", link.one_way_ms, 0, 10_000)
        check.between(f"{key}.requests_per_s", link.requests_per_s, 0, 1e9)
        pair = frozenset((link.a, link.b))
        if len(pair) == 1 or pair in seen:
            check.fail(key, f"{link.a} - {link.b}", "write one link for each pair of regions")
        seen.add(pair)


def _check_limits(check: _Check, configuration: "Configuration") -> None:
    check.between("lookup.ttl_ms", configuration.lookup.ttl_ms, 100, 600_000)
    check.between("shift.cap", configuration.shift.cap, 0.001, 1)
    check.between("shift.window_s", configuration.shift.window_s, 1, 3600)
    check.between("guard.ceiling", configuration.guard.ceiling, 0.05, 1)
    check.between("guard.stale_s", configuration.guard.stale_s, 1, 3600)
    check.between("guard.warm_step", configuration.guard.warm_step, 0.01, 1)
