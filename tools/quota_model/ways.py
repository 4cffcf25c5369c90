"""Ways to keep a limit on a workspace that the product does not use, to compare them with its own.

Owns two of them. Both decide at once, without asking: `EqualParts` gives each registered VM the
same part of the limit; `SharedCounts` lets each VM admit while the counts that all VMs send each
other, and its own since then, are below the limit.
"""

from collections import Counter, deque
from collections.abc import Callable, Mapping

from sprucewinch.gateway.quotas.bucket import QuotaBucket
from sprucewinch.gateway.quotas.quota import Quota
from sprucewinch.gateway.quotas.quotas import QuotaDecision, QuotaEnd, Quotas
from sprucewinch.gateway.resources import Workspace
from sprucewinch.gateway.settings import Bounds

SHARE_S = 0.5
"""Time between two messages with counts of `SharedCounts`, in seconds."""

_RETURN_S = 0.5
"""Time after which a refused caller returns, in seconds."""

_ADMITTED = QuotaDecision(QuotaEnd.ADMITTED)
_REFUSED = QuotaDecision(QuotaEnd.OVER, _RETURN_S)


class ModelWay(Quotas):
    """A way whose workspaces and bounds stay as they are for a whole play."""

    def drop(self, _unknown: Callable[[str], bool]) -> None:
        """Keep all."""


class EqualParts(ModelWay):
    """Gives each registered VM the same part of a limit.

    Args:
        vm_count: Returns how many VMs are registered.
        monotonic: Source of time, in seconds.
    """

    def __init__(self, vm_count: Callable[[], int], monotonic: Callable[[], float]) -> None:
        self.vm_count = vm_count
        self.monotonic = monotonic
        self.buckets: dict[str, QuotaBucket] = {}

    async def take(self, quota: Quota) -> QuotaDecision:
        """Return whether this VM's part allows one more request."""
        now = self.monotonic()
        limit = quota.limit
        part = 1.0 / max(1, self.vm_count())
        bucket = self.buckets.get(quota.name)
        if bucket is None:
            bucket = self.buckets[quota.name] = QuotaBucket(limit, part, now)
        bucket.resize(limit, part, now)
        return _ADMITTED if bucket.take(1, now) else _REFUSED

    def give_back(self, quota: Quota, _decision: QuotaDecision) -> None:
        """Give a request back."""
        self.buckets[quota.name].level += 1


class SharedCounts(ModelWay):
    """Admits while the counts of all VMs are below the limit.

    Args:
        workspaces: All workspaces, by name.
        bounds: The fleet's figures.
        monotonic: Source of time, in seconds.
    """

    def __init__(
        self,
        workspaces: Mapping[str, Workspace],
        bounds: Bounds,
        monotonic: Callable[[], float],
    ) -> None:
        self.workspaces = workspaces
        self.bounds = bounds
        self.monotonic = monotonic
        self.seen: dict[str, deque[tuple[float, int]]] = {}
        self.unsent: Counter[str] = Counter()

    async def take(self, quota: Quota) -> QuotaDecision:
        """Return whether the counts that this VM knows allow one more request."""
        now = self.monotonic()
        workspace = self.workspaces[quota.name]
        allowed = workspace.rate_per_s * self.bounds.quota_window_s + workspace.burst
        seen = self.seen.setdefault(workspace.name, deque())
        while seen and seen[0][0] <= now - self.bounds.quota_window_s:
            seen.popleft()
        if sum(count for _, count in seen) >= allowed:
            return _REFUSED
        seen.append((now, 1))
        self.unsent[workspace.name] += 1
        return _ADMITTED

    def give_back(self, quota: Quota, _decision: QuotaDecision) -> None:
        """Count one less."""
        self.unsent[quota.name] -= 1

    def counts(self) -> dict[str, int]:
        """Return what was admitted since the last message, by workspace."""
        sent = dict(self.unsent)
        self.unsent.clear()
        return sent

    def hear(self, counts: dict[str, int]) -> None:
        """Note what another VM has admitted."""
        for name, count in counts.items():
            self.seen.setdefault(name, deque()).append((self.monotonic(), count))
