"""What the store holds, decoded: routes, workspaces, backend servers, VMs, policies, evacuations.

Owns the types of the resources, free of any platform's names. Relies on nothing; the adapter and
`state.own_items` make them, every part of the gateway reads them.
"""

from typing import NamedTuple, Optional, Union


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
        latency_target_s: Time within which an answer is in time, in seconds; None when not
            stated.
        max_attempts: Most backend servers that may run one request.
        priority: Rank, 0 the highest.
        regions: Regions that may run it; empty for all.
        affinity: True when a backend server that has lately seen the object is faster.
        public: True when its requests need no API key.
    """

    name: str
    host: str
    prefix: str
    parts: tuple[Part, ...]
    repeatable: bool
    timeout_s: Optional[float] = None
    latency_target_s: Optional[float] = None
    max_attempts: int = 1
    priority: int = 0
    regions: tuple[str, ...] = ()
    affinity: bool = False
    public: bool = False


class ServiceRule(NamedTuple):
    """Limits of one service.

    Args:
        name: Its name.
        health_path: Path on which its backend servers answer probes; empty for none.
        connections: Connections that one backend server accepts from all VMs together.
        warmup_s: How long a backend server stays cold after its start, in seconds.
        cold_per_s: Requests a second that a cold backend server bears.
    """

    name: str
    health_path: str = ""
    connections: int = 100
    warmup_s: float = 0.0
    cold_per_s: float = 0.0


class Workspace(NamedTuple):
    """One workspace: who its callers are, how much they may send, and where it may run.

    Args:
        name: Its name, which backend servers get instead of the key.
        keys: Digests of its API keys, see `key_digests`; the keys themselves are not held.
        priority: Rank, 0 the highest; it goes before the rank of the route.
        rate_per_s: Requests a second that it may send to the whole fleet; 0 for no limit.
        burst: Requests beyond that rate.
        regions: Regions that may run its requests; empty for all.
    """

    name: str
    keys: tuple[bytes, ...]
    priority: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0
    regions: tuple[str, ...] = ()


class CallerLimits(NamedTuple):
    """Limits on what a caller may send.

    Args:
        header_bytes: Most bytes of a request's headers.
        body_bytes: Most bytes of a request's body.
        header_s: Longest time for the headers to arrive, in seconds.
        idle_s: Longest idle time of a kept connection, in seconds.
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
        workspaces: All workspaces; none when requests need no API key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceRule]
    limits: CallerLimits = CallerLimits()
    workspaces: tuple[Workspace, ...] = ()


class BackendEntry(NamedTuple):
    """A backend server, as the store lists it.

    Args:
        id: Its name; a server that starts again may keep it.
        service: Service that it runs.
        address: `IP:PORT`.
        hall: Data hall.
        capacity: Requests that it works on at once.
        draining: True when it is about to leave.
        cold_for_s: How much longer it is cold, in seconds.
        incarnation: Which of the processes with this id it is, higher than that of any earlier one;
            None when the entry does not say so.
    """

    id: str
    service: str
    address: str
    hall: str
    capacity: int
    draining: bool = False
    cold_for_s: float = 0.0
    incarnation: Optional[int] = None


class Member(NamedTuple):
    """One entry VM, as it registers itself.

    Args:
        name: Its name.
        hall: Data hall.
        region: Region.
        caller_address: `IP:PORT` for callers.
        peer_address: `IP:PORT` for other entry VMs, TCP and UDP.
    """

    name: str
    hall: str
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


class Evacuation(NamedTuple):
    """The operators' order to send nothing to the backend servers of a data hall."""

    hall: str


class CrashEvidence(NamedTuple):
    """One backend server that ended under a quarantined request.

    Args:
        server: Its id.
        incarnation: Which process of it; 0 when that is not known.
        vms: VMs that saw it.
        age_s: How long before the quarantine, in seconds.
    """

    server: str
    incarnation: int
    vms: tuple[str, ...]
    age_s: float


class QuarantinedRequest(NamedTuple):
    """A request that is refused, as it crashes the backend servers that run it.

    Args:
        fingerprint: Names the request, in hexadecimal digits.
        target_hash: Hash of what it is for, likewise.
        what: Its method and path.
        since: Time of day of the quarantine at the VM that wrote it, in seconds since the epoch.
        crashes: The evidence.
        trials: How often it has been tried again.
        trials_left: How often it may still be.
    """

    fingerprint: str
    target_hash: str
    what: str
    since: float
    crashes: tuple[CrashEvidence, ...] = ()
    trials: int = 0
    trials_left: int = 0

    def on_trial(self) -> "QuarantinedRequest":
        """Return what the store holds once a trial is taken."""
        return self._replace(trials=self.trials + 1, trials_left=self.trials_left - 1)


Resource = Union[
    RouteConfiguration,
    Evacuation,
    BackendEntry,
    Member,
    PolicyProgram,
    PolicyChoice,
    QuarantinedRequest,
]
