"""A small deployment on loopback, for tests and measurements."""

from typing import Any

from sprucewinch.config.configuration import Configuration
from sprucewinch.config.loading import parse_configuration
from tools.fleet import free_ports


def small_deployment(halls: int = 2, servers: int = 1, **service: Any) -> Configuration:
    """Return two regions of one hall each (or more), with free ports for the backend servers."""
    ports = iter(free_ports(halls * servers * 2))
    names = [f"hall-{number}" for number in range(1, halls + 1)]
    regions = [f"region-{number}" for number in range(1, halls + 1)]
    tables = {
        "name": "small",
        "lookup": {"ttl_ms": 300},
        "region": [
            {"name": region, "clients": [f"10.{number}.0.0/16"]}
            for number, region in enumerate(regions, 1)
        ],
        "hall": [
            {"name": hall, "region": region} for hall, region in zip(names, regions, strict=True)
        ],
        "service": [
            {"name": "rates", "repeatable": True, "deadline_ms": 3000, **service},
            {"name": "booking", "repeatable": False, "deadline_ms": 3000, **service},
        ],
        "pool": [
            {
                "hall": hall,
                "service": name,
                "servers": [f"127.0.0.1:{next(ports)}" for _ in range(servers)],
            }
            for hall in names
            for name in ("rates", "booking")
        ],
        "link": [
            {"a": a, "b": b, "one_way_ms": 5.0, "requests_per_s": 500.0}
            for i, a in enumerate(regions)
            for b in regions[i + 1 :]
        ],
    }
    return parse_configuration(tables, "small")
