"""Decoded items of the store: routes, workspaces, backend servers, VMs, policies and evacuations.

Owns the types of the resources, which contain no names of a platform. Relies on nothing; the
adapter and `state.own_items` create them, and every part of the gateway reads them.
"""

from typing import NamedTuple, Optional, Union


class WeightedService(NamedTuple):
    """A service that receives a part of a route's requests.

    Args:
        service: Name of the service.
        weight: Weight of the service relative to the other parts of the route.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """A route: which services answer the requests for a host and path prefix.

    Args:
        name: Name of the route.
        host: Host that it matches, in lower case.
        prefix: Prefix of the paths that it matches; begins and ends with a slash.
        parts: Services that share its requests; a single one if the route is not split.
        repeatable: True if a request may run more than once.
        timeout_s: Longest time for which a request is held, in seconds; None for no limit.
        latency_target_s: Latency within which an answer is on time, in seconds; None if not stated.
        max_attempts: Largest number of backend servers that may run one request.
        priority: Priority of its requests; 0 is the highest.
        regions: Regions that may run its requests; empty for all.
        affinity: True if a backend server that has recently seen the object answers faster.
        public: True if its requests need no API key.
    """

    name: str
    host: str
    prefix: str
    parts: tuple[WeightedService, ...]
    repeatable: bool
    timeout_s: Optional[float] = None
    latency_target_s: Optional[float] = None
    max_attempts: int = 1
    priority: int = 0
    regions: tuple[str, ...] = ()
    affinity: bool = False
    public: bool = False


class ServiceRule(NamedTuple):
    """Health check and limits of one service.

    Args:
        name: Name of the service.
        health_path: Path on which its backend servers answer probes; empty for no probes.
        connections: Connections that one backend server accepts from all VMs together.
        warmup_s: Time for which a backend server stays cold after its start, in seconds.
        cold_per_s: Requests a second that a cold backend server can handle.
    """

    name: str
    health_path: str = ""
    connections: int = 100
    warmup_s: float = 0.0
    cold_per_s: float = 0.0


class Workspace(NamedTuple):
    """A workspace: the API keys of its callers, its rate limit and its regions.

    Args:
        name: Name of the workspace, which backend servers get instead of the key.
        keys: Digests of its API keys, see `key_digests`; the keys themselves are not stored.
        priority: Priority of its requests, 0 the highest; it takes precedence over the priority
            of the route.
        rate_per_s: Requests a second that it may send to the whole fleet; 0 for no limit.
        burst: Requests that it may send beyond that rate.
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
        header_bytes: Largest size of a request's headers, in bytes.
        body_bytes: Largest size of a request's body, in bytes.
        header_s: Longest time for the headers to arrive, in seconds.
        idle_s: Longest idle time of a persistent connection, in seconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 16 * 1024 * 1024
    header_s: float = 3.0
    idle_s: float = 15.0


class RouteConfiguration(NamedTuple):
    """One version of the routed configuration.

    Args:
        version: Version number; increases with every change, not always by one.
        routes: All routes.
        services: Service rules by name.
        limits: Limits on callers.
        workspaces: All workspaces; empty if requests need no API key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceRule]
    limits: CallerLimits = CallerLimits()
    workspaces: tuple[Workspace, ...] = ()


class BackendEntry(NamedTuple):
    """The entry of a backend server in the store.

    Args:
        id: Id of the server; a server that restarts may keep it.
        service: Service that it runs.
        address: `IP:PORT`.
        hall: Data hall of the server.
        capacity: Requests that it processes at the same time.
        draining: True if it is about to leave.
        cold_for_s: Time for which it stays cold, in seconds.
        incarnation: Number of the process with this id, higher than that of any earlier process;
            None if the entry does not state it.
        sequence: Number of the server's write, higher than that of any earlier one of its process;
            None if not known.
    """

    id: str
    service: str
    address: str
    hall: str
    capacity: int
    draining: bool = False
    cold_for_s: float = 0.0
    incarnation: Optional[int] = None
    sequence: Optional[int] = None

    def states_as(self, other: object) -> bool:
        """Return whether another entry states the same, whichever was written later."""
        if not isinstance(other, BackendEntry):
            return False
        return self._replace(sequence=None) == other._replace(sequence=None)


class Member(NamedTuple):
    """The entry with which an entry VM registers itself.

    Args:
        name: Name of the VM.
        hall: Data hall of the VM.
        region: Region of the VM.
        caller_address: `IP:PORT` for callers.
        peer_address: `IP:PORT` for other entry VMs, TCP and UDP.
    """

    name: str
    hall: str
    region: str
    caller_address: str
    peer_address: str


class PolicyProgram(NamedTuple):
    """The program of a steering policy.

    Args:
        name: Name of the policy.
        source: Source text of the program.
    """

    name: str
    source: str


class PolicyChoice(NamedTuple):
    """The operators' choice of the policy that steers a service.

    Args:
        service: Name of the service, or `*` for all services without their own choice.
        policy: Name of the policy.
    """

    service: str
    policy: str


class Evacuation(NamedTuple):
    """An operators' instruction to send no requests to the backend servers of a data hall."""

    hall: str


class CrashEvidence(NamedTuple):
    """A crash of a backend server while it ran a request that is now quarantined.

    Args:
        server: Id of the server.
        incarnation: Number of its process; 0 if unknown.
        vms: VMs that observed the crash.
        age_s: Time from the crash to the quarantine, in seconds.
    """

    server: str
    incarnation: int
    vms: tuple[str, ...]
    age_s: float


class QuarantinedRequest(NamedTuple):
    """A request that is refused because it crashes the backend servers that run it.

    Args:
        fingerprint: Identifies the request, in hexadecimal digits.
        target_hash: Hash of the target of the request, in hexadecimal digits.
        what: Method and path of the request.
        since: Wall-clock time of the quarantine at the VM that wrote it, in seconds since the
            epoch.
        crashes: The crashes that led to the quarantine.
        trials: Number of trials so far, in which the request was run again.
        trials_left: Number of trials that remain.
    """

    fingerprint: str
    target_hash: str
    what: str
    since: float
    crashes: tuple[CrashEvidence, ...] = ()
    trials: int = 0
    trials_left: int = 0

    def on_trial(self) -> "QuarantinedRequest":
        """Return the entry that the store contains after a trial has been taken."""
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
