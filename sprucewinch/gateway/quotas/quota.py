"""A limit on requests that all VMs keep together: what it allows, and where it is kept.

Owns the two types, and the limit of what one data hall's VMs keep. Relies on nothing; who is
limited makes the quota: a workspace (`workspaces.workspace_quota`), or a backend server
(`statements.server_quotas`).
"""

from typing import NamedTuple

_SPARE_REQUESTS = 1.5
"""Requests that the bucket of a hall's quota holds beyond `_SPARE_S` of its rate: one would often
be missed by a moment."""

_SPARE_S = 0.25
"""Time of its rate that the bucket of a hall's quota holds, in seconds."""

_FIRST_REQUESTS = 1.0
"""Requests that it begins with: its owner may change twice in a window."""


class QuotaLimit(NamedTuple):
    """What a quota allows, as buckets keep it.

    Args:
        rate_per_s: Requests a second.
        capacity: Most requests that all its buckets hold.
        first: Requests that they begin with.
    """

    rate_per_s: float
    capacity: float
    first: float


class Quota(NamedTuple):
    """One limit.

    Args:
        name: Names it between VMs.
        limit: What it allows.
        rate_per_s: Requests a second that were stated; callers are told to return by it.
        hall: Data hall whose VMs keep all of it; empty where halls keep parts.
    """

    name: str
    limit: QuotaLimit
    rate_per_s: float
    hall: str = ""


def hall_quota(name: str, rate_per_s: float, hall: str) -> Quota:
    """Return a quota that one data hall's VMs keep.

    Its rate is what is stated, without a part for what is lost: the margin that is left is for VMs
    that do not agree on who keeps it.

    Args:
        name: Names it between VMs.
        rate_per_s: Requests a second.
        hall: The data hall.
    """
    capacity = _SPARE_REQUESTS + _SPARE_S * rate_per_s
    return Quota(name, QuotaLimit(rate_per_s, capacity, _FIRST_REQUESTS), rate_per_s, hall)
