"""Computes the shares of the regions that the callers of this VM's region move towards.

The target says which fraction of the callers of a service each region should serve; the shift cap
then limits how fast it is reached (`shares`). The module has no state. It relies on `steering`: a
`Policy` returns weights, and the guard (`limit_shares`) limits them. Its inputs are the shares in
force, the previous target and a snapshot: capacity in slots, load in requests, latency and distance
in milliseconds, age of the measurements in seconds, demand in requests a second.

The policy in force turns the snapshot into weights, and the guard turns these into a target that no
policy can override. If a policy fails, the previous target stays, or the shares in force if there
is none. Another policy is never used instead, as that would move callers for a reason that the
measurements do not show.

The limits of the guard are in `steering.guard.GuardLimits`; this module has none. `/state` lists
the notes as `limits` of each service; no log event contains them. Tests:
`test_gateway_policies`, `test_gateway_region_reports`, `test_guard`.
"""

from typing import NamedTuple, Optional

from ...steering.guard import GuardLimits, limit_shares
from ...steering.measures import Snapshot
from ...steering.placement import Shares
from ...steering.policy import Policy, PolicyFault

_FAULT_NOTE = "policy-fault:"
"""Prefix of the note on a policy that failed; operators read it in `/state`."""


class ShareTarget(NamedTuple):
    """The shares to move towards, and why they differ from the weights that the policy returned.

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
    previous_target: Optional[Shares],
    limits: GuardLimits,
) -> ShareTarget:
    """Return the target of one service.

    Args:
        policy: The policy in force for the service.
        snapshot: Measurements of the regions.
        current: Shares in force.
        previous_target: The target until now; None if there is none.
        limits: Limits of the guard.
    """
    wanted = policy.weights(snapshot)
    if isinstance(wanted, PolicyFault):
        return ShareTarget(previous_target or current, (f"{_FAULT_NOTE}{wanted.problem}",))
    granted = limit_shares(wanted, current, snapshot, limits)
    return ShareTarget(granted.shares, granted.notes)
