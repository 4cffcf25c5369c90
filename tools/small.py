"""A small deployment on loopback, for tests and measurements.

Owns one configuration of the own interface with two services, one of which must not run twice. Its
figures are guesses, never measured: they are small so that tests are short.
"""

from collections.abc import Sequence
from typing import Any

from sprucewinch.config.configuration import Configuration
from sprucewinch.config.loading import parse_configuration
from tools.ports import free_ports

_SERVICES = ("rates", "booking")
"""Services of the deployment; requests of the first may run more than once."""

_DEADLINE_MS = 3000
"""Deadline of both services, in milliseconds."""

_TTL_MS = 300
"""Time that callers keep a look-up's answer, in milliseconds."""

_ONE_WAY_MS = 5.0
"""Delay of a link between two regions, in milliseconds."""

_LINK_PER_S = 500.0
"""Requests a second that a link carries."""


def small_deployment(halls: int = 2, servers: int = 1, **service: Any) -> Configuration:
    """Return two regions of one hall each (or more), with free ports for the backend servers."""
    ports = iter(free_ports(halls * servers * 2))
    names = [f"hall-{number}" for number in range(1, halls + 1)]
    regions = [f"region-{number}" for number in range(1, halls + 1)]
    tables = {
        "name": "small",
        "lookup": {"ttl_ms": _TTL_MS},
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
        {"a": a, "b": b, "one_way_ms": _ONE_WAY_MS, "requests_per_s": _LINK_PER_S}
        for i, a in enumerate(regions)
        for b in regions[i + 1 :]
    ]
