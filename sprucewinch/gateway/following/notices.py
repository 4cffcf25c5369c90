"""Progress notices: what a store follower sends so that other VMs know which revision it holds.

Owns when notices are sent. Relies on `follow_role` for what a notice holds, who gets it and what a
received one means. A received notice that shows this VM to be behind wakes the peer follower.
"""

import asyncio

from ..datagrams import Datagrams
from ..timing import Timing
from .follow_role import NOTICE_INTERVAL_S, FollowRole, ProgressNotice


class ProgressNotices:
    """Sends and receives progress notices.

    Args:
        follow_role: This VM's part in following the store.
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
        """Send a notice at regular times while this VM follows the store."""
        while True:
            await asyncio.sleep(self.timing.jittered(NOTICE_INTERVAL_S))
            if self.follow_role.follows_store(self.timing.monotonic()):
                self.send(changed=False)

    def send(self, *, changed: bool) -> None:
        """Send a notice, unless the store's last answer is too old.

        Args:
            changed: True when this VM has just received a change; then all VMs get the notice.
        """
        notice = self.follow_role.notice(self.timing.monotonic())
        if notice is None:
            return
        recipients = self.follow_role.recipients(changed)
        self.datagrams.send(notice, [member.peer_address for member in recipients])

    async def wait_until_behind(self, timeout_s: float) -> None:
        """Wait until a notice shows this VM to be behind, or until the time is over.

        Args:
            timeout_s: Longest wait, in seconds.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._behind.wait()
        except TimeoutError:
            # No error: after the wait the caller looks at heartbeats, as it does after a notice.
            pass
        self._behind.clear()

    def wake(self) -> None:
        """Let this VM look at once what it still lacks."""
        self._behind.set()

    def _receive(self, notice: ProgressNotice, now: float) -> None:
        if self.follow_role.receive(notice, now):
            self._behind.set()
