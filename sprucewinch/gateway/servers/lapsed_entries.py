"""When a missing entry of a backend server counts as gone.

Question: has a server left whose entry the store no longer holds? Inputs: its last entry, the
outages of the store as this VM sees them, monotonic time in seconds.

Rule: an entry that goes while the store answers, or of a server that was draining, is gone at once.
During an outage, and shortly after it, a living server's entry may have lapsed as it could not
renew it; then the server is kept for `LAPSED_ENTRY_GRACE_S`, in which the entry returns. Kept, as a
server that is dropped and found again would count as new and cold (docs/FINDINGS.md: worth 0.721,
then 0.795, journal f1ad7c86). The figure stands in `state.outages`.

Shows in: the `probe` event of servers that appear meanwhile. Tests: `test_gateway_outages`. Owns
nothing; relies on `state.outages`.
"""

from typing import Optional

from ..resources import BackendEntry
from ..state.outages import LAPSED_ENTRY_GRACE_S, StoreOutages


class LapsedEntries:
    """Decides until when a server without an entry is kept.

    Args:
        outages: When the store was out of reach.
    """

    def __init__(self, outages: StoreOutages) -> None:
        self.outages = outages

    def may_lapse(self, now: float) -> bool:
        """Return whether an entry that is missing now may be that of a living server."""
        return self.outages.entries_may_have_lapsed(now)

    def kept_until(self, backend: BackendEntry, now: float) -> Optional[float]:
        """Return when a server whose entry has gone is dropped; None for at once.

        Args:
            backend: The entry that has gone.
            now: Monotonic time, in seconds.
        """
        if backend.draining or not self.may_lapse(now):
            return None
        return now + LAPSED_ENTRY_GRACE_S
