"""The quotas of the whole fleet, as one VM enforces them.

This module decides whether a request may be sent, and if not, when its caller may retry. It owns
what this VM holds of each quota and the order in which its requests get it, which is the order of
arrival. `leases` decides what is used and which owners are asked, `bucket` what owners grant, and
`exchange` sends the asks. Nothing is counted twice: a retry by this VM takes no further request,
and what a caller's request took is returned when no backend server has run it.

The result appears in the event `request` as `outcome` `over-quota` or `no-quota`, and in the metric
`quota_asks`. tests/test_gateway_quota.py and tests/test_process_workspaces.py test this module.
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
from .leases import LeaseGrant, QuotaLease, asking_groups
from .owners import Owner, QuotaOwners
from .quota import Quota

MAX_QUOTA_WAIT_S = 0.2
"""Longest time that a request waits for its turn and for answers of owners, in seconds: the latency
targets of most requests allow it, and nearly all answers arrive within a tenth of it."""

_MIN_RETRY_AFTER_S = 0.1
"""Shortest Retry-After of a refused caller, in seconds, and the random spread of each."""

_MAX_RETRY_AFTER_S = 2.0
"""Longest Retry-After of a refused caller, in seconds, without the spread."""

_MS_PER_S = 1000
"""Milliseconds in a second."""

_NEAR_TIMEOUT_S = 0.04
"""Longest wait for an owner in this VM's region, in seconds: some ten round trips, which leaves a
request time to ask elsewhere."""

_FAR_TIMEOUT_S = 0.08
"""Longest wait for an owner in another region, in seconds: three round trips."""

_UNRESPONSIVE_S = 0.15
"""Time for which an owner that did not answer is not asked again, for any quota, in seconds: short,
because after a loss of all VMs each restarts some tenths of a second before the next."""

_UNKNOWN_RETRY_AFTER_S = 0.2
"""Retry-After when a VM reached no owner, in seconds: by then the VM asks the owners again."""


class QuotaEnd(enum.Enum):
    """Whether a request may be sent."""

    ADMITTED = "admitted"
    OVER = "over"
    """The quota is used up."""
    UNKNOWN = "unknown"
    """No owner of a part of the quota could be asked."""


class QuotaDecision(NamedTuple):
    """Whether a request may be sent.

    Args:
        end: The decision.
        retry_after_s: Time until its caller may retry, in seconds; 0 for an admitted request.
        given: The grant that it used; None where no limit applies.
        ask_again_s: Time until an owner may have something to grant again, in seconds.
    """

    end: QuotaEnd
    retry_after_s: float = 0.0
    given: Optional[LeaseGrant] = None
    ask_again_s: float = 0.0


_UNLIMITED = QuotaDecision(QuotaEnd.ADMITTED)

_UNKNOWN = QuotaDecision(QuotaEnd.UNKNOWN, _UNKNOWN_RETRY_AFTER_S, ask_again_s=_UNRESPONSIVE_S)


class Quotas(abc.ABC):
    """Enforces quotas."""

    @abc.abstractmethod
    async def take(self, quota: Quota) -> QuotaDecision:
        """Return whether a request may be sent, and count it if so."""

    @abc.abstractmethod
    def give_back(self, quota: Quota, decision: QuotaDecision) -> None:
        """Return what an admitted request took, because no backend server has run it."""

    @abc.abstractmethod
    def drop(self, unknown: Callable[[str], bool]) -> None:
        """Drop what is held of quotas for whose names `unknown` returns True."""


class FleetQuotas(Quotas):
    """Quotas whose parts are kept by owners in several data halls.

    Args:
        owners: Tells which VM holds which part.
        exchange: Asks the owners.
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
        self.unresponsive_until: dict[str, float] = {}
        self._turns: dict[str, asyncio.Lock] = {}
        self._waiting: Counter[str] = Counter()

    def drop(self, unknown: Callable[[str], bool]) -> None:
        """Drop what is held of unknown quotas, parts of this VM included; see `Quotas`."""
        self.exchange.parts.drop(unknown)
        self.forget(unknown)

    def forget(self, unknown: Callable[[str], bool]) -> None:
        """Drop what this VM used of unknown quotas; the parts that it holds stay."""
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
            async with asyncio.timeout(MAX_QUOTA_WAIT_S):
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
        """Make what a request took available again; see `Quotas`."""
        if decision.given is None:
            return
        self.used[quota.name] -= 1
        lease = self._lease(quota.name)
        lease.add(decision.given)
        self._return_unused(quota.name, lease)

    def sweep(self) -> None:
        """Return unused grants, so that other VMs may use them, and drop idle quotas.

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
        """Ask owners, the nearest first, until one grants something; return whether one did."""
        responsive = self._responsive_owners(quota, self.timing.monotonic())
        rng = self.timing.rng
        for group in asking_groups(responsive, hall=self.hall, regions=self.regions, rng=rng):
            now = self.timing.monotonic()
            asked = [owner for owner in group if lease.is_open(owner, now)]
            given = await asyncio.gather(*(self._ask(owner, quota, lease) for owner in asked))
            if any(given):
                return True
        return False

    async def _ask(self, owner: Owner, quota: Quota, lease: QuotaLease) -> bool:
        """Ask one owner; return whether it granted something."""
        asked_at = self.timing.monotonic()
        count = lease.wanted(self._waiting[quota.name], asked_at)
        is_remote = self.regions.get(owner.hall) != self.regions.get(self.hall)
        timeout_s = _FAR_TIMEOUT_S if is_remote else _NEAR_TIMEOUT_S
        grant = await self.exchange.ask(owner, quota, count, timeout_s)
        now = self.timing.monotonic()
        if grant is None:
            self.unresponsive_until[owner.name] = now + _UNRESPONSIVE_S
            return False
        if grant.count == 0:
            lease.record_exhausted(owner.hall, now + grant.wait_s)
            return False
        lease.add(LeaseGrant(owner, grant.count, asked_at))
        return True

    def _refusal(self, quota: Quota, lease: QuotaLease) -> QuotaDecision:
        """Return a refusal that tells its caller when to retry.

        Each caller is told the next free time, in the order of arrival. It is assumed that this VM
        is granted requests as often as it was lately.
        """
        now = self.timing.monotonic()
        responsive = self._responsive_owners(quota, now)
        if not responsive:
            return _UNKNOWN
        part = quota.rate_per_s / max(1, self.owners.vm_count())
        wait_ms = lease.returns.retry_after_ms(now, max(part, lease.used_per_s(now)))
        ask_again_s = lease.next_ask_in_s(responsive, now)
        return QuotaDecision(QuotaEnd.OVER, wait_ms / _MS_PER_S, ask_again_s=ask_again_s)

    def _lease(self, name: str) -> QuotaLease:
        lease = self.leases.get(name)
        if lease is None:
            returns = RetryAfterSchedule(
                self.timing.rng,
                min_ms=_MIN_RETRY_AFTER_S * _MS_PER_S,
                max_ms=_MAX_RETRY_AFTER_S * _MS_PER_S,
            )
            lease = self.leases[name] = QuotaLease(returns)
        return lease

    def _responsive_owners(self, quota: Quota, now: float) -> list[Owner]:
        """Return the owners of a quota's parts, except those that did not answer lately."""
        owners = self.owners.of_quota(quota, now)
        return [owner for owner in owners if self.unresponsive_until.get(owner.name, 0.0) <= now]
