"""The rule of the planner's lease: whether this VM asks for its region's lease now.

Owns the time of the last renewal; relies on the caller for the names of the region's serving VMs
and for the time (monotonic seconds), and does no I/O: `plan_rounds` calls the store.

The rule: only a VM that is among the first `CANDIDATES` of its region by name asks, and again after
`RENEW_S`. Between two renewals the answer of the last one counts. The lease is an optimization, not
a lock: a plan takes effect by compare-and-swap, and a planner whose write fails or stays unknown
starts again from the stored plan. Without the store no VM plans and the shares in force stay.

Why this way: a VM that was paused would go on trusting a lock; compare-and-swap needs no trust
(docs/DESIGN.md, "Who plans"). Constants: `LEASE_S`, `RENEW_S`, `CANDIDATES`. The result shows as
`event=planner`. Tests: `tests.test_planner_lease`, `tests.test_formats_own_lines`.
"""

import math
from collections.abc import Iterable

LEASE_S = 6.0
"""Duration of the lease, in seconds: three times `RENEW_S`, so that two renewals may be lost."""

RENEW_S = 2.0
"""Time between two renewals, in seconds. docs/CAPACITY.md computes 52 writes a second from it at
2,800 VMs, of 400 that the store bears."""

CANDIDATES = 2
"""VMs of a region that ask for its lease: one that plans and one that replaces it. Bounded for the
store's writes (docs/CAPACITY.md)."""


def is_candidate(vm: str, serving: Iterable[str]) -> bool:
    """Return whether a VM may ask for the lease of its region.

    Args:
        vm: Name of the VM.
        serving: Names of the serving VMs of the region.
    """
    return vm in sorted(serving)[:CANDIDATES]


class LeaseRenewal:
    """Knows when the lease has to be renewed."""

    def __init__(self) -> None:
        self._renewed_at = -math.inf

    def due(self, now: float) -> bool:
        """Return whether the lease has to be renewed, at a monotonic time in seconds."""
        return now - self._renewed_at >= RENEW_S

    def asked(self, now: float) -> None:
        """Record a request for the lease, at a monotonic time in seconds."""
        self._renewed_at = now

    def forget(self) -> None:
        """Make the next round ask at once."""
        self._renewed_at = -math.inf
