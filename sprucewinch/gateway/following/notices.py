"""Sends and receives progress notices, by which other VMs know the revision of a store follower.

Owns the times at which notices are sent. Relies on `follow_role` for their content, their
recipients and the effect of a received one. A notice that shows this VM to be behind wakes the peer
follower.
"""

import asyncio

from ..datagrams import Datagrams
from ..timing import Timing
from .follow_role import NOTICE_INTERVAL_S, FollowRole, ProgressNotice


class ProgressNotices:
    """Sends and receives progress notices.

    Args:
        follow_role: Decides how this VM follows the store.
        datagrams: The endpoint between VMs.
        timing: Sources of time and randomness.
    """

    def __init__(self, follow_role: FollowRole, datagrams: Datagrams, timing: Timing) -> None:
        self.follow_role = follow_role
        self.datagrams = datagrams
        self.timing = timing
        self._behind = asyncio.Event()
        datagrams.register(ProgressNotice, self._receive)

    async def run(self) -> None:
        """Send a notice every `NOTICE_INTERVAL_S` while this VM follows the store."""
        while True:
            await asyncio.sleep(self.timing.jittered(NOTICE_INTERVAL_S))
            if self.follow_role.follows_store(self.timing.monotonic()):
                self.send(changed=False)

    def send(self, *, changed: bool) -> None:
        """Send a notice, unless the last answer of the store is too old.

        Args:
            changed: True when this VM has just received a change; then all VMs get the notice.
        """
        notice = self.follow_role.notice(self.timing.monotonic())
        if notice is None:
            return
        recipients = self.follow_role.recipients(changed)
        self.datagrams.send(notice, [member.peer_address for member in recipients])

    async def wait_until_behind(self, timeout_s: float) -> None:
        """Wait until a notice shows this VM to be behind, `wake` is called or the time is over.

        Args:
            timeout_s: Longest wait, in seconds.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._behind.wait()
        except TimeoutError:
            # A time-out is no error: the caller checks heartbeats in either case.
            pass
        self._behind.clear()

    def wake(self) -> None:
        """End the wait for a notice, so that this VM checks at once for missing changes."""
        self._behind.set()

    def _receive(self, notice: ProgressNotice, now: float) -> None:
        if self.follow_role.receive(notice, now):
            self._behind.set()
