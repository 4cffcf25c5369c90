"""What the routed request path is told: routes, services, backend servers, members."""

from typing import NamedTuple, Optional


class Part(NamedTuple):
    """One part of a route's split.

    Args:
        service: Service.
        weight: Its part of the requests, relative to the other parts.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """One route.

    Args:
        name: Its name.
        host: Host it belongs to, in lower case.
        prefix: Start of the paths, begins and ends with a slash.
        parts: Services that share its requests; one for a plain route.
        repeatable: True when a request may run more than once.
        timeout_s: Longest time to hold a request, in seconds; None when unlimited.
        aim_s: Time within which an answer earns full credit, in seconds; None when not stated.
        attempts: Most backend servers that may run one request.
        priority: Rank, 0 the highest.
        regions: Regions that may run it; empty for all.
        affinity: True when a backend server that has lately seen the object is faster.
    """

    name: str
    host: str
    prefix: str
    parts: tuple[Part, ...]
    repeatable: bool
    timeout_s: Optional[float] = None
    aim_s: Optional[float] = None
    attempts: int = 1
    priority: int = 0
    regions: tuple[str, ...] = ()
    affinity: bool = False


class ServiceRule(NamedTuple):
    """Limits of one service.

    Args:
        name: Its name.
        health_path: Path on which its backend servers say how they are; empty for none.
        connections: Connections that one backend server accepts from all machines together.
        warmup_s: How long a backend server stays cold after its start, in seconds.
        cold_per_s: Requests a second that a cold backend server bears.
    """

    name: str
    health_path: str = ""
    connections: int = 100
    warmup_s: float = 0.0
    cold_per_s: float = 0.0


class CallerLimits(NamedTuple):
    """Limits on what a caller may send.

    Args:
        header_bytes: Most bytes of a request's headers.
        body_bytes: Most bytes of a request's body.
        header_s: Longest time for the headers to arrive, in seconds.
        idle_s: Longest rest of a kept connection, in seconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 16 * 1024 * 1024
    header_s: float = 3.0
    idle_s: float = 15.0


class RouteConfiguration(NamedTuple):
    """One version of the routed configuration.

    Args:
        version: Grows with every change, in uneven steps.
        routes: All routes.
        services: Service rules by name.
        limits: Limits on callers.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceRule]
    limits: CallerLimits = CallerLimits()


class Backend(NamedTuple):
    """One incarnation of a backend server, as the store lists it.

    Args:
        id: Name of this incarnation; never used again.
        service: Service that it runs.
        address: `IP:PORT`.
        zone: Data hall.
        capacity: Requests that it works on at once.
        draining: True when it is about to leave.
        warm_in_s: How much longer it is cold, in seconds.
    """

    id: str
    service: str
    address: str
    zone: str
    capacity: int
    draining: bool = False
    warm_in_s: float = 0.0


class Member(NamedTuple):
    """One entry VM, as it registers itself.

    Args:
        name: Its name.
        zone: Data hall.
        region: Region.
        caller_address: `IP:PORT` for callers.
        peer_address: `IP:PORT` for other entry VMs, TCP and UDP.
    """

    name: str
    zone: str
    region: str
    caller_address: str
    peer_address: str


class PolicyProgram(NamedTuple):
    """A steering policy's program.

    Args:
        name: Its name.
        source: Its text.
    """

    name: str
    source: str


class PolicyChoice(NamedTuple):
    """Which policy steers a service.

    Args:
        service: Service, or `*` for all that have no choice of their own.
        policy: Name of the policy.
    """

    service: str
    policy: str


class Bounds(NamedTuple):
    """Figures that the fleet has to keep together.

    Args:
        grace_s: Time from the order to stop until the process is killed, in seconds.
        lookup_ttl_s: Longest time that callers keep a look-up answer, in seconds.
        shift_cap: Most callers of a region that may change region from one window to the next.
        retry_ratio: Repeats allowed for each request, over all machines.
        retry_window_s: Window of the retry limit, in seconds.
        retry_slack: Repeats allowed beyond the ratio in a window, over all machines.
        cold_over: Factor on a cold backend server's rate that is still borne.
        cold_slack: Requests beyond that factor in one second.
    """

    grace_s: float = 6.0
    lookup_ttl_s: float = 5.0
    shift_cap: float = 0.15
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 0.0
    cold_over: float = 1.0
    cold_slack: float = 0.0


class Names(NamedTuple):
    """Names of headers and cookies on the wire; lower case.

    Args:
        request_id: Names one attempt of a caller; echoed in the answer.
        deadline_ms: What is left of the caller's time, in milliseconds.
        affinity: Cookie that names the object a request is about.
        expected: Backend server that alone may run the request.
        signature: A backend server's mark on an answer of its own.
        not_run: A backend server's word that it did not run the request.
        load: A backend server's load: running, waiting, slots.
        cold_ms: In answers to probes, how much longer a server is cold, in milliseconds.
        instance: In answers to probes, the server's id.
    """

    request_id: str = "sprucewinch-request-id"
    deadline_ms: str = "sprucewinch-deadline-ms"
    affinity: str = "sprucewinch-affinity"
    expected: str = "sprucewinch-expected"
    signature: str = "sprucewinch-signature"
    not_run: str = "sprucewinch-not-run"
    load: str = "sprucewinch-load"
    cold_ms: str = "sprucewinch-cold-ms"
    instance: str = "sprucewinch-instance"


class GatewaySettings(NamedTuple):
    """What one entry VM is told about itself at start.

    Args:
        name: Its name.
        zone: Its data hall.
        region: Its region.
        regions: Region of each data hall.
        caller_address: `IP:PORT` for requests.
        ready_address: `IP:PORT` for readiness checks.
        directory_address: `IP:PORT` for look-ups; empty when it serves none.
        peer_address: `IP:PORT` for other entry VMs, TCP and UDP.
        metrics_address: `IP:PORT` for counters and histograms.
        store_address: `IP:PORT` of the platform's store.
        server_heartbeat_s: How often backend servers renew their entries there, in seconds.
        max_files: Descriptors that the process may open.
        memory_bytes: Memory that the process may use.
        link_mbps: Width of the machine's link.
        policy: Shipped policy of services for which operators have chosen none.
        bounds: Figures that the fleet keeps together.
    """

    name: str
    zone: str
    region: str
    regions: dict[str, str]
    caller_address: str
    ready_address: str
    directory_address: str
    peer_address: str
    metrics_address: str
    store_address: str
    server_heartbeat_s: float = 1.5
    max_files: int = 4096
    memory_bytes: int = 300 * 1024 * 1024
    link_mbps: int = 0
    policy: str = "capacity"
    bounds: Bounds = Bounds()
