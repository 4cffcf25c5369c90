"""A small deployment on loopback, for tests and measurements.

The configuration is one of the own interface, with two services, one of which must not run a
request twice. Its figures are small so that tests are short.
"""

from collections.abc import Sequence
from typing import Any

from sprucewinch.config.configuration import Configuration
from sprucewinch.config.loading import parse_configuration
from tools.ports import free_ports

_SERVICES = ("rates", "booking")
"""Services of the deployment; only requests of the first are repeatable."""

_DEADLINE_MS = 3000
"""Deadline of requests of both services."""

_LOOKUP_TTL_MS = 300
"""Time that callers cache the answer to a look-up."""

_ONE_WAY_MS = 5.0
"""One-way delay of a link between two regions."""

_LINK_REQUESTS_PER_S = 500.0
"""Capacity of a link."""


def small_deployment(halls: int = 2, servers: int = 1, **service: Any) -> Configuration:
    """Return a configuration with one region for each data hall, all linked to each other.

    Backend servers get free ports on loopback.

    Args:
        halls: Number of data halls.
        servers: Backend servers of each service in each data hall.
        **service: Further fields of both services.
    """
    ports = iter(free_ports(halls * servers * 2))
    names = [f"hall-{number}" for number in range(1, halls + 1)]
    regions = [f"region-{number}" for number in range(1, halls + 1)]
    tables = {
        "name": "small",
        "lookup": {"ttl_ms": _LOOKUP_TTL_MS},
        "region": [
            {"name": region, "clients": [f"10.{number}.0.0/16"]}
            for number, region in enumerate(regions, 1)
        ],
        "hall": [{"name": h, "region": r} for h, r in zip(names, regions, strict=True)],
        "service": [
            {"name": name, "repeatable": name == "rates", "deadline_ms": _DEADLINE_MS, **service}
            for name in _SERVICES
        ],
        "pool": [
            {
                "hall": hall,
                "service": name,
                "servers": [f"127.0.0.1:{next(ports)}" for _ in range(servers)],
            }
            for hall in names
            for name in _SERVICES
        ],
        "link": _links(regions),
    }
    return parse_configuration(tables, "small")


def _links(regions: Sequence[str]) -> list[dict[str, Any]]:
    return [
        {"a": a, "b": b, "one_way_ms": _ONE_WAY_MS, "requests_per_s": _LINK_REQUESTS_PER_S}
        for i, a in enumerate(regions)
        for b in regions[i + 1 :]
    ]
