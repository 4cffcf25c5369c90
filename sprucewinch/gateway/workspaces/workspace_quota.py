"""Rule: what a workspace may send over the whole fleet, as buckets keep it.

Question: at which rate do the buckets of a workspace's quota gain, and how wide are they? Inputs:
the workspace's rate and burst, the fleet's bounds on a window. Rule: the rate is what a window
allows, rate x window + burst, spread over the window; the width and the first content are parts of
the margin that the bounds leave.

Why so: the burst is in the rate, not in the width: a workspace that goes on above its rate is
served as much as a window allows, and one that sends its whole burst at once gets it spread over
some tenths of a second.

Constants: those below. Shows in: `operate.py workspaces`. Tests: tests/test_gateway_quota.py.
"""

from ..quotas.bucket import GRANT_RETURNABLE_S
from ..quotas.quota import Quota, QuotaLimit
from ..resources import Workspace
from ..settings import Bounds

_USED_PART = 0.2
"""Part of the excess that the bounds allow by which the rate lies above the limit, so that what is
lost on the way does not take a workspace below it."""

_WIDTH_PART = 0.7
"""Part of the margin that buckets are wide."""

_FIRST_PART = 0.15
"""Part of the margin that buckets begin with: two starts in a window are the rest of it."""

_LEAST_MARGIN = 5.0
"""Least margin that is kept for the width of buckets, in requests: one narrower than a request
would never give any."""


def workspace_quota(workspace: Workspace, bounds: Bounds) -> Quota:
    """Return the quota of a workspace within the fleet's bounds on a window."""
    return Quota(workspace.name, quota_limit(workspace, bounds), workspace.rate_per_s)


def quota_limit(workspace: Workspace, bounds: Bounds) -> QuotaLimit:
    """Return the limit of a workspace within the fleet's bounds on a window."""
    allowed = workspace.rate_per_s * bounds.quota_window_s + workspace.burst
    bound = allowed * (1 + bounds.quota_over) + bounds.quota_slack
    rate = allowed * (1 + _USED_PART * bounds.quota_over) / bounds.quota_window_s
    margin = bound - rate * (bounds.quota_window_s + GRANT_RETURNABLE_S)
    if margin < _LEAST_MARGIN:
        # Bounds that leave nothing: the burst is the margin.
        rate = max(0.0, bound - _LEAST_MARGIN) / (bounds.quota_window_s + GRANT_RETURNABLE_S)
        margin = min(bound, _LEAST_MARGIN)
    return QuotaLimit(rate, _WIDTH_PART * margin, _FIRST_PART * margin)
