"""A limit on requests that all VMs enforce together: what it allows, and where it is kept.

This module owns the two types, and the limit of a quota that the VMs of one data hall keep. It
relies on nothing. Whoever is limited makes the quota: a workspace (`workspaces.workspace_quota`) or
a backend server (`statements.server_quotas`).
"""

from typing import NamedTuple

_CAPACITY_REQUESTS = 1.5
"""Requests that the bucket of a hall's quota holds beyond `_CAPACITY_S` of its rate. With only one,
a request would often be missed by a moment."""

_CAPACITY_S = 0.25
"""Part of the capacity of a hall's quota that depends on its rate, as seconds of that rate."""

_INITIAL_REQUESTS = 1.0
"""Initial content of the bucket of a hall's quota, in requests: its owner may change twice in a
window."""


class QuotaLimit(NamedTuple):
    """What a quota allows, as buckets need it.

    Args:
        rate_per_s: Requests a second.
        capacity: Capacity of all its buckets together, in requests.
        first: Initial content of all its buckets together, in requests.
    """

    rate_per_s: float
    capacity: float
    first: float


class Quota(NamedTuple):
    """One limit on requests.

    Args:
        name: Name that identifies it between VMs.
        limit: What it allows.
        rate_per_s: Stated requests a second, from which the Retry-After of callers is computed.
        hall: Data hall whose VMs keep all of it; empty where several halls keep parts.
    """

    name: str
    limit: QuotaLimit
    rate_per_s: float
    hall: str = ""


def hall_quota(name: str, rate_per_s: float, hall: str) -> Quota:
    """Return a quota that the VMs of one data hall keep.

    Its rate is the stated one, without an addition for lost messages: the remaining margin covers
    VMs that disagree on the owner.

    Args:
        name: Name that identifies it between VMs.
        rate_per_s: Requests a second.
        hall: The data hall.
    """
    capacity = _CAPACITY_REQUESTS + _CAPACITY_S * rate_per_s
    return Quota(name, QuotaLimit(rate_per_s, capacity, _INITIAL_REQUESTS), rate_per_s, hall)
