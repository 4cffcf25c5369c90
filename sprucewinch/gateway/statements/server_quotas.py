"""Rule: the quota of a backend server that states a limit.

Question: by which name, rate and data hall do VMs keep a server's limit together? Inputs: the
server's entry, the requests a second that it takes. Rule: one quota for each process of a server,
kept by the VMs of its data hall. Relies on `quotas.quota` for what it allows.
"""

from ..quotas.quota import Quota, hall_quota
from ..resources import BackendEntry

_PREFIX = "\x1fserver|"
"""Begins the names of servers' quotas; no workspace's name begins so."""


def server_quota(backend: BackendEntry, rate_per_s: float) -> Quota:
    """Return the quota of a server.

    Args:
        backend: Its entry.
        rate_per_s: Requests a second that it takes from all VMs together.
    """
    name = f"{_PREFIX}{backend.id}|{backend.incarnation or 0}"
    return hall_quota(name, rate_per_s, backend.hall)


def is_server_quota(name: str) -> bool:
    """Return whether a quota of some name is a server's."""
    return name.startswith(_PREFIX)
