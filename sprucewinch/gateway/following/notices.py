"""Progress notices: what a store follower sends so that other VMs know how far it is.

Owns when notices are sent and to whom. Relies on `follow_role` for what a notice says and what a
received one means. A received notice that shows this VM to be behind wakes the peer follower.
"""

import asyncio

from ..datagrams import Datagrams
from ..timing import Timing
from .follow_role import NOTICE_S, FollowRole, ProgressNotice


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
        self.behind = asyncio.Event()
        datagrams.register(ProgressNotice, self._receive)

    async def run(self) -> None:
        """Send a notice again and again while this VM follows the store."""
        while True:
            await asyncio.sleep(self.timing.jittered(NOTICE_S))
            if self.follow_role.follows_store(self.timing.monotonic()):
                self.send(changed=False)

    def send(self, *, changed: bool) -> None:
        """Send a notice, unless the store's last answer is too old to vouch for.

        Args:
            changed: True when this VM has just received a change; then all VMs get the notice.
        """
        notice = self.follow_role.notice(self.timing.monotonic())
        if notice is None:
            return
        recipients = self.follow_role.recipients(changed)
        self.datagrams.send(notice, [member.peer_address for member in recipients])

    def _receive(self, notice: ProgressNotice, now: float) -> None:
        if self.follow_role.take(notice, now):
            self.behind.set()
