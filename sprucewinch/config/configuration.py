"""Types of the operators' configuration and of the document that the platform stores.

Owns the regions, data halls, services, backend servers, caps and links, each as an immutable struct
whose field names are the keys of the TOML file and of the stored JSON. Checks nothing beyond types:
`loading` reads and checks. Relies on msgspec alone.
"""

from typing import Literal

import msgspec


class Struct(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """Base of all types of a configuration: immutable, without unknown fields."""


class Region(Struct, frozen=True):
    """A region and the client blocks that belong to it.

    Args:
        name: Name of the region.
        clients: Client blocks in CIDR notation; they do not overlap.
    """

    name: str
    clients: tuple[str, ...] = ()


class DataHall(Struct, frozen=True):
    """A data hall of a region.

    Args:
        name: Name of the data hall.
        region: Name of its region.
    """

    name: str
    region: str


class Service(Struct, frozen=True):
    """A service that callers use.

    Args:
        name: Name of the service; also the first part of its request path.
        repeatable: True when a request may safely run more than once, so that it may be retried.
        deadline_ms: Deadline of requests whose caller states none, in milliseconds.
        max_wait_ms: Longest wait for a free slot before a request is refused, in milliseconds.
        policy: Name of the steering policy.
        shift_cap: Cap of this service, in place of the cap in `[shift]`; None for that cap.
    """

    name: str
    repeatable: bool
    deadline_ms: int = 2000
    max_wait_ms: int = 50
    policy: str = "nearest"
    shift_cap: float | None = None


class Pool(Struct, frozen=True):
    """The backend servers of one service in one data hall.

    Args:
        hall: Data hall.
        service: Service.
        servers: Addresses, `IP:PORT`.
        slots: Requests that one backend server runs at once.
        connections: Connections that one backend server accepts.
    """

    hall: str
    service: str
    servers: tuple[str, ...]
    slots: int = 4
    connections: int = 120


class Link(Struct, frozen=True):
    """A network path between two regions, with its capacity.

    Args:
        a: One region.
        b: The other region.
        one_way_ms: One-way latency, in milliseconds.
        requests_per_s: Maximum rate of requests over it from the callers of one side, in requests
            per second.
    """

    a: str
    b: str
    one_way_ms: float
    requests_per_s: float


class Lookup(Struct, frozen=True):
    """How callers cache look-up answers.

    Args:
        ttl_ms: How long callers may cache an answer, in milliseconds.
    """

    ttl_ms: int = 2000


class Shift(Struct, frozen=True):
    """The cap on moving callers to other regions.

    Args:
        cap: Largest share of a client region's callers of one service that may be moved to
            another region within any window.
        window_s: Length of the window, in seconds.
    """

    cap: float = 0.1
    window_s: float = 10.0


class Guard(Struct, frozen=True):
    """Limits that no policy can override.

    Args:
        ceiling: Largest share of a region's slots that steering plans to use.
        stale_s: Age of a region's measurements beyond which it may not gain callers, in seconds.
        warm_step: Largest gain of callers of a region in one window, as a share of its slots.
    """

    ceiling: float = 0.8
    stale_s: float = 5.0
    warm_step: float = 0.25


class Configuration(Struct, frozen=True):
    """A whole configuration, as operators write it.

    The fields have the names of the TOML file's tables, so that lists have singular names.

    Args:
        name: Name of the deployment.
        region: All regions.
        hall: All data halls.
        service: All services.
        pool: Backend servers by hall and service.
        link: Network paths between regions.
        lookup: Caching of look-up answers.
        shift: The shift cap.
        guard: Limits on steering.
    """

    name: str
    region: tuple[Region, ...]
    hall: tuple[DataHall, ...]
    service: tuple[Service, ...]
    pool: tuple[Pool, ...]
    link: tuple[Link, ...] = ()
    lookup: Lookup = Lookup()
    shift: Shift = Shift()
    guard: Guard = Guard()


class Policy(Struct, frozen=True):
    """A policy program that is stored with the configuration.

    Args:
        name: Name of the policy.
        source: Source text of the program.
    """

    name: str
    source: str


class AuditRecord(Struct, frozen=True):
    """One accepted change.

    Args:
        revision: Configuration revision that the change made.
        operation: Unique identifier of the change.
        at: Wall-clock time of the writer, in seconds since the epoch.
        operator: Name of the operator who made the change.
        action: Kind of the change.
        detail: What was changed, on one line.
    """

    revision: int
    operation: str
    at: float
    operator: str
    action: str
    detail: str


class Document(Struct, frozen=True):
    """What the platform stores: the configuration with its revision and audit trail.

    Args:
        revision: Number of the configuration; increases by 1 with every accepted change.
        configuration: The configuration.
        policies: Loaded policy programs.
        drained: Keys of draining backend servers, data halls and regions; see `drain_key`.
        audit: The most recent changes, oldest first; limited in number.
    """

    revision: int
    configuration: Configuration
    policies: tuple[Policy, ...] = ()
    drained: tuple[str, ...] = ()
    audit: tuple[AuditRecord, ...] = ()


DrainKind = Literal["server", "hall", "region"]
"""Kind of what operators can drain: a backend server, a data hall or a region."""


def drain_key(kind: DrainKind, name: str) -> str:
    """Return the key of a draining server, data hall or region in a `Document`."""
    return f"{kind}:{name}"
