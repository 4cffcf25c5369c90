"""Computes the quota of a workspace from its rate, its burst and the fleet's bounds on a window.

A window allows rate x window + burst requests. The rate of the buckets is that number spread over
the window. Their capacity and initial content are parts of the margin that the bounds leave.

The burst is part of the rate and not of the capacity: a workspace that continues above its rate is
served as much as a window allows, and one that sends its whole burst at once gets it spread over
some tenths of a second.

What is used appears in `operate.py workspaces`. tests/test_gateway_quota.py tests this module.
"""

from ..quotas.bucket import GRANT_RETURNABLE_S
from ..quotas.quota import Quota, QuotaLimit
from ..resources import Workspace
from ..settings import Bounds

_RATE_EXCESS_RATIO = 0.2
"""Part of the allowed excess that is added to the rate, so that lost messages do not take a
workspace below its limit."""

_CAPACITY_RATIO = 0.7
"""Part of the margin that is the capacity of the buckets."""

_INITIAL_RATIO = 0.15
"""Part of the margin that is the initial content of the buckets: two starts of VMs in a window use
the rest of the margin."""

_MIN_MARGIN_REQUESTS = 5.0
"""Smallest margin that is kept for the capacity of buckets, in requests: a bucket that holds less
than one request would never grant any."""


def workspace_quota(workspace: Workspace, bounds: Bounds) -> Quota:
    """Return the quota of a workspace within the fleet's bounds on a window, see `Bounds`."""
    return Quota(workspace.name, quota_limit(workspace, bounds), workspace.rate_per_s)


def quota_limit(workspace: Workspace, bounds: Bounds) -> QuotaLimit:
    """Return the limit of a workspace within the fleet's bounds on a window, see `Bounds`."""
    allowed = workspace.rate_per_s * bounds.quota_window_s + workspace.burst
    bound = allowed * (1 + bounds.quota_over) + bounds.quota_slack
    rate = allowed * (1 + _RATE_EXCESS_RATIO * bounds.quota_over) / bounds.quota_window_s
    margin = bound - rate * (bounds.quota_window_s + GRANT_RETURNABLE_S)
    if margin < _MIN_MARGIN_REQUESTS:
        # The bounds leave too small a margin, so it is taken from the rate, which holds the burst.
        rate = max(0.0, bound - _MIN_MARGIN_REQUESTS) / (bounds.quota_window_s + GRANT_RETURNABLE_S)
        margin = min(bound, _MIN_MARGIN_REQUESTS)
    return QuotaLimit(rate, _CAPACITY_RATIO * margin, _INITIAL_RATIO * margin)
