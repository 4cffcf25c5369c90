"""Synthetic deployments of any size, for measuring how costs grow.

Owns configurations and nodes of the own interface that are built without processes. Used by
`bench_core`, which measures them.
"""

import ipaddress
import random
from collections.abc import Iterator
from typing import NamedTuple

from sprucewinch.config.configuration import (
    Configuration,
    DataHall,
    Document,
    Link,
    Pool,
    Region,
    Service,
)
from sprucewinch.config.loading import encode_document
from sprucewinch.config.settings import Settings
from sprucewinch.hall.node import Node
from sprucewinch.hall.peers.peer_pb2 import SERVING, Member, ServiceLoad
from sprucewinch.hall.store.documents import CONFIGURATION_KEY, Revisioned


class Size(NamedTuple):
    """A deployment's size.

    Args:
        vms: Entry VMs.
        regions: Regions.
        halls: Data halls.
        services: Services; each runs in every hall, so sites are halls times services.
        blocks: Client blocks.
    """

    vms: int
    regions: int
    halls: int
    services: int
    blocks: int


TODAY = Size(12, 3, 6, 3, 3)
"""The size of the users' deployments today, as the brief gives it."""

TARGET = Size(2800, 52, 131, 24, 660_000)
"""The size of the users' long-run target; 131 halls with 24 services make 3,144 sites."""


def client_blocks(count: int) -> Iterator[str]:
    """Yield disjoint client blocks."""
    for number in range(count):
        yield f"{ipaddress.IPv4Address((1 << 24) + (number << 8))}/24"


def configuration(size: Size, *, blocks: bool = True) -> Configuration:
    """Return a deployment of a size; without blocks when they are measured apart."""
    regions = [f"region-{number:02d}" for number in range(size.regions)]
    halls = [f"hall-{number:03d}" for number in range(size.halls)]
    listed = list(client_blocks(size.blocks)) if blocks else []
    return Configuration(
        name="synthetic",
        region=tuple(
            Region(name, tuple(listed[index :: size.regions])) for index, name in enumerate(regions)
        ),
        hall=tuple(
            DataHall(name, regions[index % size.regions]) for index, name in enumerate(halls)
        ),
        service=tuple(Service(f"service-{n:02d}", repeatable=True) for n in range(size.services)),
        pool=tuple(
            Pool(
                hall=hall,
                service=f"service-{s:02d}",
                servers=(f"127.{10 + h // 200}.{h % 200}.{s + 1}:8000",),
            )
            for h, hall in enumerate(halls)
            for s in range(size.services)
        ),
        link=tuple(
            Link(a, b, one_way_ms=10.0, requests_per_s=1000.0)
            for i, a in enumerate(regions)
            for b in regions[i + 1 :]
        ),
    )


def member(size: Size, number: int, rng: random.Random) -> Member:
    """Return what one VM says of itself."""
    hall = number % size.halls
    region = f"region-{hall % size.regions:02d}"
    loads = [
        ServiceLoad(
            service=f"service-{s:02d}",
            capacity=2,
            in_use=rng.randint(0, 2),
            latency_ms=rng.uniform(5, 50),
            demand={region: rng.uniform(0, 50)},
        )
        for s in range(size.services)
    ]
    return Member(
        vm=f"vm-{number:04d}",
        hall=f"hall-{hall:03d}",
        region=region,
        incarnation=rng.getrandbits(60),
        version=1 + rng.getrandbits(16),
        peer_address=f"127.0.{number // 250}.{number % 250 + 1}:7000",
        caller_address=f"127.0.{number // 250}.{number % 250 + 1}:7001",
        operators_address=f"127.0.{number // 250}.{number % 250 + 1}:7002",
        state=SERVING,
        config_revision=1,
        loads=loads,
        hall_view="0123456789abcdef",
    )


def node(size: Size, *, blocks: bool = True, now: float = 0.0) -> Node:
    """Return a node that knows all members of a deployment."""
    settings = Settings(
        vm="vm-0000",
        hall="hall-000",
        region="region-00",
        caller_address="127.0.0.1:7001",
        peer_address="127.0.0.1:7000",
        operators_address="127.0.0.1:7002",
        operators_token="0123456789abcdef",
        platform_address="127.0.0.1:7003",
    )
    rng = random.Random(1)
    made = Node(settings, incarnation=1, ticket_key=b"k" * 32, rng=rng, now=now - 10)
    document = Document(1, configuration(size, blocks=blocks))
    made.documents.offer(Revisioned(CONFIGURATION_KEY, 1, encode_document(document)))
    for number in range(1, size.vms):
        made.membership.update(member(size, number, rng), now)
    made.tick(now)
    return made
