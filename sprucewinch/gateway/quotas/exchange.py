"""Asks the owners of parts of quotas, and answers for the parts of this VM.

This module owns the messages `QuotaRequest`, `HallQuotaRequest`, `QuotaAnswer` and `QuotaReturn`,
and the asks in progress. What a late answer grants is not used. It relies on `parts` for what this
VM grants and on `datagrams`.
"""

import asyncio
from collections.abc import Callable
from typing import Optional

import msgspec

from ..datagrams import Datagrams
from ..resources import Member
from ..state.store_view import StoreView
from ..timing import Timing
from .owners import Owner
from .parts import Grant, QuotaParts
from .quota import Quota, hall_quota

_MS_PER_S = 1000
"""Milliseconds in a second; times in messages are in milliseconds."""

_NOT_OWNER_MS = -1
"""Value of `QuotaAnswer.wait_ms` when the sender holds no part of the quota."""


class QuotaRequest(msgspec.Struct, array_like=True, frozen=True, tag="quota-ask"):
    """A VM asks for requests of a workspace; its tag on the wire is `quota-ask`.

    Args:
        number: Identifies the ask at its sender.
        workspace: Name of the workspace.
        count: Requests that it asks for.
    """

    number: int
    workspace: str
    count: int


class HallQuotaRequest(msgspec.Struct, array_like=True, frozen=True, tag="hall-quota-ask"):
    """A VM asks for requests of a quota that the VMs of one data hall keep.

    It states everything that the owner needs, which may not know the quota. Its tag on the wire is
    `hall-quota-ask`.

    Args:
        number: Identifies the ask at its sender.
        name: Name of the quota.
        count: Requests that it asks for.
        rate_per_s: Requests a second that the quota allows.
        hall: The data hall.
    """

    number: int
    name: str
    count: int
    rate_per_s: float
    hall: str


class QuotaAnswer(msgspec.Struct, array_like=True, frozen=True, tag="quota-answer"):
    """The answer to an ask; its tag on the wire is `quota-answer`.

    Args:
        number: Identifies the ask.
        count: Requests that the asker may send.
        wait_ms: Time until it may ask again when it got none, in milliseconds; `_NOT_OWNER_MS` when
            the sender holds no part of the quota.
    """

    number: int
    count: int
    wait_ms: int = 0


class QuotaReturn(msgspec.Struct, array_like=True, frozen=True, tag="quota-return"):
    """A VM returns what it did not use; its tag on the wire is `quota-return`.

    Args:
        workspace: Name of the quota.
        count: Requests that it returns.
    """

    workspace: str
    count: int


class QuotaExchange:
    """Asks owners for requests, and answers asks of other VMs.

    Args:
        parts: The parts that this VM holds.
        quota_of: Returns the quota of a workspace by name; None when the configuration has none.
        store_view: Holds the addresses of other VMs.
        datagrams: The endpoint between VMs.
        timing: Sources of time and randomness.
        name: Name of this VM.
    """

    def __init__(
        self,
        parts: QuotaParts,
        quota_of: Callable[[str], Optional[Quota]],
        store_view: StoreView,
        datagrams: Datagrams,
        timing: Timing,
        *,
        name: str,
    ) -> None:
        self.parts = parts
        self.quota_of = quota_of
        self.store_view = store_view
        self.datagrams = datagrams
        self.timing = timing
        self.name = name
        self.asked = 0
        self._number = 0
        self._pending: dict[int, asyncio.Future[QuotaAnswer]] = {}
        datagrams.register(QuotaRequest, self._on_ask)
        datagrams.register(HallQuotaRequest, self._on_hall_ask)
        datagrams.register(QuotaAnswer, self._on_answer)
        datagrams.register(QuotaReturn, self._on_return)

    async def ask(
        self, owner: Owner, quota: Quota, count: int, timeout_s: float
    ) -> Optional[Grant]:
        """Ask an owner for requests.

        Args:
            owner: The owner; no message is sent when it is this VM itself.
            quota: The quota.
            count: Requests that are asked for.
            timeout_s: Longest wait for its answer, in seconds.

        Returns:
            Its answer; None when it holds no part, or did not answer in time.
        """
        if owner.name == self.name:
            return self.parts.grant(quota, count, self.timing.monotonic())
        member = self.store_view.members.get(owner.name)
        if member is None:
            return None
        answer = await self._exchange(member, quota, count, timeout_s)
        if answer is None or answer.wait_ms == _NOT_OWNER_MS:
            return None
        return Grant(answer.count, answer.wait_ms / _MS_PER_S)

    def give_back(self, owner: Owner, name: str, count: int) -> None:
        """Return to an owner what was not used; it is lost when the message is.

        Args:
            owner: The owner that granted it.
            name: Name of the quota.
            count: Requests that were not used.
        """
        if owner.name == self.name:
            self.parts.take_back(name, count, self.timing.monotonic())
            return
        member = self.store_view.members.get(owner.name)
        if member is not None:
            self.datagrams.send(QuotaReturn(name, count), (member.peer_address,))

    def _on_return(self, message: QuotaReturn, now: float) -> None:
        self.parts.take_back(message.workspace, message.count, now)

    async def _exchange(
        self, member: Member, quota: Quota, count: int, timeout_s: float
    ) -> Optional[QuotaAnswer]:
        self._number += 1
        number = self._number
        self.asked += 1
        future = self._pending[number] = asyncio.get_running_loop().create_future()
        self.datagrams.send(_ask_message(quota, number, count), (member.peer_address,))
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            # The caller of this method asks the next owner, and this one not again for a while.
            return None
        finally:
            del self._pending[number]

    def _on_ask(self, ask: QuotaRequest, now: float) -> None:
        self._reply(ask.number, self.quota_of(ask.workspace), ask.count, now)

    def _on_hall_ask(self, ask: HallQuotaRequest, now: float) -> None:
        self._reply(ask.number, hall_quota(ask.name, ask.rate_per_s, ask.hall), ask.count, now)

    def _reply(self, number: int, quota: Optional[Quota], count: int, now: float) -> None:
        sender = self.datagrams.last_sender
        grant = self.parts.grant(quota, count, now) if quota else None
        if grant is None:
            answer = QuotaAnswer(number, 0, _NOT_OWNER_MS)
        else:
            answer = QuotaAnswer(number, grant.count, int(grant.wait_s * _MS_PER_S))
        if sender is not None:
            self.datagrams.send(answer, (sender,))

    def _on_answer(self, answer: QuotaAnswer, _now: float) -> None:
        asked = self._pending.get(answer.number)
        if asked is not None and not asked.done():
            asked.set_result(answer)


def _ask_message(quota: Quota, number: int, count: int) -> QuotaRequest | HallQuotaRequest:
    """Return the message that asks for requests of a quota."""
    if not quota.hall:
        return QuotaRequest(number, quota.name, count)
    return HallQuotaRequest(number, quota.name, count, quota.rate_per_s, quota.hall)
