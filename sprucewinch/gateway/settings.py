"""Settings of one entry VM, and the limits that the whole fleet keeps.

Owns the types of the settings. Relies on nothing; an adapter creates them from a settings file.
"""

from typing import NamedTuple, Optional


class Bounds(NamedTuple):
    """Limits that apply to the whole fleet; the platform's settings state them.

    A default applies if the settings file omits the value. The defaults are the bounds that both
    deployments so far state, except for `retry_slack`, `cold_over` and `cold_slack`, which are
    stricter.

    Args:
        grace_s: Time from the signal to stop until the process is killed, in seconds.
        lookup_ttl_s: Longest time for which callers cache a look-up answer, in seconds.
        shift_cap: Largest fraction of a region's callers that may change region from one window to
            the next.
        retry_ratio: Retries allowed for each request, over all VMs.
        retry_window_s: Window of the retry limit, in seconds.
        retry_slack: Retries allowed beyond the ratio in a window, over all VMs.
        cold_over: Factor on the rate of a cold backend server up to which it may get requests.
        cold_slack: Requests allowed beyond that factor in one second.
        config_s: Time within which a configuration must be in force at every VM that can reach the
            store, in seconds.
        key_trust_s: Time without contact to the store after which a VM accepts no API key, in
            seconds; None to keep accepting the keys that it knows.
        quota_window_s: Window of the limit on a workspace, in seconds.
        quota_over: Fraction of a workspace's limit by which it may be exceeded in a window.
        quota_slack: Requests allowed beyond that in a window.
    """

    grace_s: float = 6.0
    lookup_ttl_s: float = 5.0
    shift_cap: float = 0.15
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 0.0
    cold_over: float = 1.0
    cold_slack: float = 0.0
    config_s: float = 3.0
    key_trust_s: Optional[float] = None
    quota_window_s: float = 5.0
    quota_over: float = 0.0
    quota_slack: float = 0.0


class GatewaySettings(NamedTuple):
    """Settings of one entry VM.

    Args:
        name: Name of the VM.
        hall: Data hall of the VM.
        region: Region of the VM.
        regions: Region of each data hall.
        caller_address: `IP:PORT` for requests.
        ready_address: `IP:PORT` for readiness checks.
        directory_address: `IP:PORT` for look-ups; empty if the VM answers none.
        peer_address: `IP:PORT` for other entry VMs, TCP and UDP.
        metrics_address: `IP:PORT` for counters and histograms.
        store_address: `IP:PORT` of the platform's store.
        server_heartbeat_s: Interval at which backend servers renew their entries in the store, in
            seconds.
        max_files: File descriptors that the process may open.
        memory_bytes: Memory that the process may use, in bytes.
        link_mbps: Bandwidth of the VM's network link, in Mbit/s; 0 if unknown.
        cores: Processor time that the process gets each second, in seconds of one core; 0 if
            unknown.
        policy: Shipped policy of services for which operators have chosen none.
        bounds: Limits that apply to the whole fleet.
    """

    name: str
    hall: str
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
    cores: float = 0.0
    policy: str = "capacity"
    bounds: Bounds = Bounds()
