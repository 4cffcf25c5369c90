"""Decides when a backend server whose entry is missing from the store counts as gone.

An entry that is removed while the store answers, or that belonged to a draining server, counts as
gone at once. During an outage of the store and shortly after it, a running server may have been
unable to renew its entry, which then lapsed. Such a server is kept for `LAPSED_ENTRY_GRACE_S`, in
which its entry can return; a server that was dropped and found again would count as new and cold.
So is one whose entry an older copy of the store lacks.
The constant is defined in `state.outages`.

Inputs are the server's last entry, the outages of the store as this VM sees them, and monotonic
time in seconds. Owns no state; relies on `state.outages`. Results show in the event `probe` of
servers that appear meanwhile. Tests: `test_gateway_outages`.
"""

from typing import Optional

from ..resources import BackendEntry
from ..state.outages import LAPSED_ENTRY_GRACE_S, StoreOutages


class LapsedEntries:
    """Decides until when a server without an entry is kept.

    Args:
        outages: Records when the store was unreachable.
    """

    def __init__(self, outages: StoreOutages) -> None:
        self.outages = outages

    def may_lapse(self, now: float) -> bool:
        """Return whether an entry that is missing now may be that of a running server."""
        return self.outages.entries_may_have_lapsed(now)

    def kept_until(
        self, backend: BackendEntry, now: float, *, lost: bool = False
    ) -> Optional[float]:
        """Return when a server whose entry was removed is to be dropped; None for at once.

        Args:
            backend: The entry that was removed.
            now: Monotonic time, in seconds.
            lost: True when the store has lost the entry by its return from an older copy.

        Returns:
            Monotonic time, in seconds.
        """
        if backend.draining or not (lost or self.may_lapse(now)):
            return None
        return now + LAPSED_ENTRY_GRACE_S
