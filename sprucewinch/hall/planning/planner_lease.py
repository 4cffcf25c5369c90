"""Lease of a region's planner: whether this VM requests its region's lease now.

Owns the time of the last request; relies on the caller for the names of the region's serving VMs
and for the time (monotonic seconds), and does no I/O: `plan_rounds` calls the store.

Only a VM that is among the first `MAX_CANDIDATES` of its region by name requests the lease, and
again after `RENEW_INTERVAL_S`. Between two requests the answer to the last one counts. The lease is
an optimization, not a lock: a plan takes effect by compare-and-swap, and a planner whose write
fails or stays unknown starts again from the stored plan. Without the store no VM plans and the
shares in force stay.

A VM that was paused would go on relying on a lock that it has lost; compare-and-swap makes no such
assumption (docs/DESIGN.md, "Who plans"). The result shows as `event=planner`. The tests are
`tests.test_planner_lease` and `tests.test_formats_own_lines`.
"""

import math
from collections.abc import Iterable

LEASE_DURATION_S = 6.0
"""Three times `RENEW_INTERVAL_S`, so that two renewals may be lost."""

RENEW_INTERVAL_S = 2.0
"""Time between two renewals. At 2,800 VMs it gives 52 of the 400 writes a second that the store
can take (docs/CAPACITY.md)."""

MAX_CANDIDATES = 2
"""Most VMs of a region that request its lease: one that plans and one that replaces it. More would
cost the store more writes (docs/CAPACITY.md)."""


def is_candidate(vm: str, serving: Iterable[str]) -> bool:
    """Return whether a VM may request the lease of its region.

    Args:
        vm: Name of the VM.
        serving: Names of the serving VMs of the region.
    """
    return vm in sorted(serving)[:MAX_CANDIDATES]


class LeaseRenewal:
    """Determines when the lease has to be requested or renewed."""

    def __init__(self) -> None:
        self._requested_at = -math.inf

    def due(self, now: float) -> bool:
        """Return whether the lease has to be requested, at a monotonic time in seconds."""
        return now - self._requested_at >= RENEW_INTERVAL_S

    def record_request(self, now: float) -> None:
        """Record a request for the lease, at a monotonic time in seconds."""
        self._requested_at = now

    def reset(self) -> None:
        """Make the lease due at once, as before the first request."""
        self._requested_at = -math.inf
