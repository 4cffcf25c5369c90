"""Rule: how far a workspace is ahead of its share of what callers send here.

Question: which of two requests of the same rank gets room first? Inputs: the requests of each
workspace at this VM for a service, each counted less as it grows older, the workspace's weight (the
rate that it may send), time in monotonic seconds. Rule: fair share by decayed usage (Kay and
Lauder, 1988). A workspace's usage for its weight is compared with that of all that send; twice as
much is one step ahead, three times two, and so on. Those that are not ahead stand in the order of
their callers' deadlines, as if there were one workspace.

Why: a workspace that sends many times its usual fills servers and the places in which requests wait
for room; others that stay within their share must not pay for it. Start-time fair queueing was
ruled out: its virtual time moves with what is sent, and most requests are sent without waiting, so
that a workspace which sends much is never far ahead of it.

Load pattern: one workspace at 7.5 times its usual beside others at nine tenths of what the servers
bear. Constants: `_DECAY_S`, `_LEAST_WEIGHT`, `_FORGOTTEN`. Shows in: order of the answers; no line.
Tests: tests/test_gateway_fair_order.py.
"""

import math
from typing import Optional

from ..resources import Workspace

_DECAY_S = 1.0
"""Time after which a request counts 1/e, in seconds: longer than a caller needs for some requests
at once, shorter than a burst that fills servers."""

_LEAST_WEIGHT = 1.0
"""Weight of a workspace without a limit, or with a smaller one, in requests a second."""

_FORGOTTEN = 0.01
"""Usage below which a workspace counts as one that sends nothing, in requests."""

_SWEEP_EVERY = 256
"""Requests between two looks for workspaces that send nothing."""


class Usage:
    """What one workspace sent lately.

    Args:
        weight: Its weight.
    """

    __slots__ = ("at", "requests", "weight")

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.requests = 0.0
        self.at = 0.0

    def decay(self, now: float) -> float:
        """Return what counts at a monotonic time, in requests."""
        self.requests *= math.exp(-max(0.0, now - self.at) / _DECAY_S)
        self.at = now
        return self.requests


class FairOrder:
    """Usage of all workspaces of one service."""

    __slots__ = ("_all", "_since_sweep", "by_name")

    def __init__(self) -> None:
        self.by_name: dict[str, Usage] = {}
        self._all = Usage(0.0)
        self._since_sweep = 0

    def arrived(self, workspace: Optional[Workspace], now: float) -> int:
        """Count a request, and return by how many steps its workspace is ahead of its share.

        Args:
            workspace: Its workspace; one without is never ahead.
            now: Monotonic time, in seconds.
        """
        if workspace is None:
            return 0
        usage = self._usage(workspace)
        usage.decay(now)
        self._all.decay(now)
        usage.requests += 1.0
        self._all.requests += 1.0
        self._sweep(now)
        mean = self._all.requests / self._all.weight
        return max(0, int(usage.requests / usage.weight / mean) - 1)

    def _usage(self, workspace: Workspace) -> Usage:
        weight = max(_LEAST_WEIGHT, workspace.rate_per_s)
        usage = self.by_name.get(workspace.name)
        if usage is None:
            usage = self.by_name[workspace.name] = Usage(weight)
            self._all.weight += weight
        elif usage.weight != weight:
            self._all.weight += weight - usage.weight
            usage.weight = weight
        return usage

    def _sweep(self, now: float) -> None:
        """Forget workspaces that send nothing, so that the others are compared among themselves."""
        self._since_sweep += 1
        if self._since_sweep < _SWEEP_EVERY:
            return
        self._since_sweep = 0
        for name in [n for n, usage in self.by_name.items() if usage.decay(now) < _FORGOTTEN]:
            del self.by_name[name]
        self._all.weight = sum(usage.weight for usage in self.by_name.values())
