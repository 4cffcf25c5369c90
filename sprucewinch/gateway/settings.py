"""The settings of one entry VM, and the limits that the fleet keeps together.

Owns the types of the settings. Relies on nothing; an adapter fills them from a settings file.
"""

from typing import NamedTuple, Optional


class Bounds(NamedTuple):
    """Figures that the fleet has to keep together; the platform's settings give them.

    The defaults stand for a settings file that leaves one out. They are the bounds that both sites
    state, but for `retry_slack`, `cold_over` and `cold_slack`, which are stricter.

    Args:
        grace_s: Time from the order to stop until the process is killed, in seconds.
        lookup_ttl_s: Longest time that callers keep a look-up answer, in seconds.
        shift_cap: Most callers of a region that may change region from one window to the next.
        retry_ratio: Repeats allowed for each request, over all VMs.
        retry_window_s: Window of the retry limit, in seconds.
        retry_slack: Repeats allowed beyond the ratio in a window, over all VMs.
        cold_over: Factor on a cold backend server's rate that is still borne.
        cold_slack: Requests beyond that factor in one second.
        config_s: Time after which a configuration has to be in force at every VM that reaches the
            store, in seconds.
        key_trust_s: Time without word from the store after which a VM accepts no API key any more,
            in seconds; None to go on accepting those that it knows.
        quota_window_s: Window of the limit on a workspace, in seconds.
        quota_over: Part of a workspace's limit that may be passed in a window.
        quota_slack: Requests beyond that in a window.
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
        name: Its name.
        hall: Its data hall.
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
        memory_bytes: Memory that the process may use, in bytes.
        link_mbps: Width of the VM's link, in Mbit/s; 0 when unknown.
        policy: Shipped policy of services for which operators have chosen none.
        bounds: Figures that the fleet keeps together.
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
    policy: str = "capacity"
    bounds: Bounds = Bounds()
