"""The quotas of the whole fleet, as one VM keeps them.

Question: may this request be sent, and if not, when may its caller return? Owns what this VM holds
of each quota and the order in which its requests get it: the first that
came is the first served. The decisions are `leases` (what is used, who is asked) and
`bucket` (what owners give); `exchange` carries the asks. Nothing is counted twice: a
retry of this VM's own takes no further request, and what a caller's request took is given back when
no backend server has run it.

Shows in: event `request`, `outcome` `over-quota` or `no-quota`; metrics `quota_asks`. Tests:
tests/test_gateway_quota.py, tests/test_process_workspaces.py.
"""

import abc
import asyncio
import enum
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple, Optional

from ...retry import RetryAfterSchedule
from ..timing import Timing
from .exchange import QuotaExchange
from .leases import Given, QuotaLease, asking_groups
from .owners import Owner, QuotaOwners
from .quota import Quota

LONGEST_S = 0.2
"""Longest time that a request waits for its turn and for answers of owners, in seconds: most
targets allow it, and nearly all answers come within a tenth of it."""

_LEAST_RETURN_S = 0.1
"""Shortest time until a refused caller returns, in seconds, and the spread of each return."""

_MOST_RETURN_S = 2.0
"""Longest time until a refused caller returns, in seconds."""

_MS_PER_S = 1000
"""Milliseconds in a second."""

_NEAR_ANSWER_S = 0.04
"""Time for the answer of an owner in this VM's region, in seconds: some ten times the way there and
back, so that a request has time left to ask elsewhere."""

_FAR_ANSWER_S = 0.08
"""Time for the answer of an owner in another region, in seconds: three times the way there and
back."""

_SILENT_S = 0.15
"""Time for which an owner that gave no answer is not asked again, for any quota, in seconds:
short, as after a loss of all VMs each is back some tenths of a second before the next."""

_UNKNOWN_RETURN_S = 0.2
"""Time until a caller returns whose VM reached no owner, in seconds: by then it asks them again."""


class QuotaEnd(enum.Enum):
    """Whether a request may be sent."""

    ADMITTED = "admitted"
    OVER = "over"
    """As much was sent as may be."""
    UNKNOWN = "unknown"
    """No owner of a part of it could be asked."""


class QuotaDecision(NamedTuple):
    """Whether a request may be sent.

    Args:
        end: The decision.
        retry_after_s: When its caller may return, in seconds; 0 for an admitted one.
        given: What was used for it; None where nothing is limited.
        ask_again_s: When an owner may have something to give again, in seconds.
    """

    end: QuotaEnd
    retry_after_s: float = 0.0
    given: Optional[Given] = None
    ask_again_s: float = 0.0


_UNLIMITED = QuotaDecision(QuotaEnd.ADMITTED)

_UNKNOWN = QuotaDecision(QuotaEnd.UNKNOWN, _UNKNOWN_RETURN_S, ask_again_s=_SILENT_S)


class Quotas(abc.ABC):
    """Keeps quotas."""

    @abc.abstractmethod
    async def take(self, quota: Quota) -> QuotaDecision:
        """Return whether a request may be sent, and count it if so."""

    @abc.abstractmethod
    def give_back(self, quota: Quota, decision: QuotaDecision) -> None:
        """Count an admitted request no longer, as no backend server has run it."""

    @abc.abstractmethod
    def drop(self, unknown: Callable[[str], bool]) -> None:
        """Drop what is held of quotas whose names are unknown."""


class FleetQuotas(Quotas):
    """Limits kept by owners of parts in several data halls.

    Args:
        owners: Who holds which part.
        exchange: Asks them.
        timing: Sources of time and randomness.
        hall: Data hall of this VM.
        regions: Region of each data hall.
    """

    def __init__(
        self,
        owners: QuotaOwners,
        exchange: QuotaExchange,
        timing: Timing,
        *,
        hall: str,
        regions: dict[str, str],
    ) -> None:
        self.owners = owners
        self.exchange = exchange
        self.timing = timing
        self.hall = hall
        self.regions = regions
        self.leases: dict[str, QuotaLease] = {}
        self.used: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self.silent_until: dict[str, float] = {}
        self._turns: dict[str, asyncio.Lock] = {}
        self._waiting: Counter[str] = Counter()

    def drop(self, unknown: Callable[[str], bool]) -> None:
        """Drop what is held of quotas that are gone; see `Quotas`."""
        self.exchange.parts.drop(unknown)
        self.forget(unknown)

    def forget(self, unknown: Callable[[str], bool]) -> None:
        """Drop what this VM used of quotas that it does not know; what it gives out stays."""
        for held in (self.leases, self.used, self.refused):
            for name in [name for name in held if unknown(name)]:
                del held[name]
        free = [n for n, turn in self._turns.items() if unknown(n) and not turn.locked()]
        for name in free:
            del self._turns[name]

    async def take(self, quota: Quota) -> QuotaDecision:
        """Return whether a request may be sent; see `Quotas`."""
        if quota.rate_per_s <= 0:
            return _UNLIMITED
        name = quota.name
        lease = self._lease(name)
        lease.arrived(self.timing.monotonic())
        self._waiting[name] += 1
        try:
            async with asyncio.timeout(LONGEST_S):
                async with self._turns.setdefault(name, asyncio.Lock()):
                    decision = await self._take_in_turn(quota, lease)
        except TimeoutError:
            decision = _UNKNOWN
        finally:
            self._waiting[name] -= 1
        admitted = decision.end is QuotaEnd.ADMITTED
        (self.used if admitted else self.refused)[name] += 1
        return decision

    def give_back(self, quota: Quota, decision: QuotaDecision) -> None:
        """Let another request use what this one took; see `Quotas`."""
        if decision.given is None:
            return
        self.used[quota.name] -= 1
        lease = self._lease(quota.name)
        lease.add(decision.given)
        self._return_unused(quota.name, lease)

    def sweep(self) -> None:
        """Give back what was not used, so that other VMs may, and forget quotas that are idle.

        To be called a few times a second.
        """
        now = self.timing.monotonic()
        for name, lease in list(self.leases.items()):
            self._return_unused(name, lease)
            if lease.idle(now) and not self._waiting[name]:
                del self.leases[name], self._waiting[name]
                self._turns.pop(name, None)

    def _return_unused(self, name: str, lease: QuotaLease) -> None:
        if not lease.given:
            return
        for grant in lease.unused(self.timing.monotonic()):
            self.exchange.give_back(grant.owner, name, grant.count)

    async def _take_in_turn(self, quota: Quota, lease: QuotaLease) -> QuotaDecision:
        given = lease.use(self.timing.monotonic())
        if given is None and await self._ask_for_more(quota, lease):
            given = lease.use(self.timing.monotonic())
        if given is None:
            return self._refusal(quota, lease)
        return QuotaDecision(QuotaEnd.ADMITTED, given=given)

    async def _ask_for_more(self, quota: Quota, lease: QuotaLease) -> bool:
        """Ask owners, near ones first, until one gives something."""
        answering = self._answering(quota, self.timing.monotonic())
        rng = self.timing.rng
        for group in asking_groups(answering, hall=self.hall, regions=self.regions, rng=rng):
            now = self.timing.monotonic()
            asked = [owner for owner in group if lease.is_open(owner, now)]
            given = await asyncio.gather(*(self._ask(owner, quota, lease) for owner in asked))
            if any(given):
                return True
        return False

    async def _ask(self, owner: Owner, quota: Quota, lease: QuotaLease) -> bool:
        """Ask one owner; returns whether it gave something."""
        asked_at = self.timing.monotonic()
        count = lease.wanted(self._waiting[quota.name], asked_at)
        far = self.regions.get(owner.hall) != self.regions.get(self.hall)
        longest_s = _FAR_ANSWER_S if far else _NEAR_ANSWER_S
        grant = await self.exchange.ask(owner, quota, count, longest_s)
        now = self.timing.monotonic()
        if grant is None:
            self.silent_until[owner.name] = now + _SILENT_S
            return False
        if grant.count == 0:
            lease.note_dry(owner.hall, now + grant.wait_s)
            return False
        lease.add(Given(owner, grant.count, asked_at))
        return True

    def _refusal(self, quota: Quota, lease: QuotaLease) -> QuotaDecision:
        """Return when a caller may return: each gets the next moment, in the order of arrival.

        This VM gets one more request about as often as it got one lately.
        """
        now = self.timing.monotonic()
        answering = self._answering(quota, now)
        if not answering:
            return _UNKNOWN
        part = quota.rate_per_s / max(1, self.owners.vm_count())
        wait_ms = lease.returns.retry_after_ms(now, max(part, lease.used_per_s(now)))
        ask_again_s = lease.open_in_s(answering, now)
        return QuotaDecision(QuotaEnd.OVER, wait_ms / _MS_PER_S, ask_again_s=ask_again_s)

    def _lease(self, name: str) -> QuotaLease:
        lease = self.leases.get(name)
        if lease is None:
            returns = RetryAfterSchedule(
                self.timing.rng,
                min_ms=_LEAST_RETURN_S * _MS_PER_S,
                max_ms=_MOST_RETURN_S * _MS_PER_S,
            )
            lease = self.leases[name] = QuotaLease(returns)
        return lease

    def _answering(self, quota: Quota, now: float) -> list[Owner]:
        """Return the owners of a quota's parts, but for those that gave no answer lately."""
        owners = self.owners.of_quota(quota, now)
        return [owner for owner in owners if self.silent_until.get(owner.name, 0.0) <= now]
