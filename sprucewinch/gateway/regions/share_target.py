"""Rule: towards which shares of the regions the callers of this VM's region move.

Question: which part of the callers of one service may run in which region, before the shift cap
limits how fast that is reached. Owns nothing and has no state. Relies on `steering`: a `Policy`
wants weights, the guard (`limit_shares`) limits them.

Inputs: a snapshot (capacity in slots, load in requests, latency and distance in milliseconds, age
of figures in seconds, demand in requests a second), the shares in force, the former target.

Rule: the policy in force turns the snapshot into weights, and the guard turns these into a target
that no policy can override. A policy that fails leaves the former target as it is, or the shares in
force where there is none. A fault never falls back to another policy: that would move callers for
a reason that is not in the figures.

Constants: none of its own; the guard's are in `steering.guard.GuardLimits`. Its result shows as
`limits` of a service on `/state`; no log event carries it. Tests: `test_gateway_policies`,
`test_gateway_region_reports`, `test_guard`.
"""

from typing import NamedTuple, Optional

from ...steering.guard import GuardLimits, limit_shares
from ...steering.measures import Snapshot
from ...steering.placement import Shares
from ...steering.policy import Policy, PolicyFault

_FAULT_NOTE = "policy-fault:"
"""Start of the note on a policy that failed; operators read it on `/state`."""


class ShareTarget(NamedTuple):
    """Shares to move towards, and why they differ from what the policy wants.

    Args:
        shares: The target.
        notes: One word for each limit of the guard that took effect, or the policy's fault.
    """

    shares: Shares
    notes: tuple[str, ...]


def share_target(
    policy: Policy,
    snapshot: Snapshot,
    current: Shares,
    former: Optional[Shares],
    limits: GuardLimits,
) -> ShareTarget:
    """Return the target of one service.

    Args:
        policy: The policy in force for the service.
        snapshot: What is known of the regions.
        current: Shares in force.
        former: The target until now; None when there is none.
        limits: Limits of the guard.
    """
    wanted = policy.weights(snapshot)
    if isinstance(wanted, PolicyFault):
        return ShareTarget(former or current, (f"{_FAULT_NOTE}{wanted.problem}",))
    granted = limit_shares(wanted, current, snapshot, limits)
    return ShareTarget(granted.shares, granted.notes)
