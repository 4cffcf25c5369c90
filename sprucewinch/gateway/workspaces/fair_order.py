"""Decides by how much a workspace exceeds its fair share of the requests that callers send here.

The result determines which of two requests of the same rank gets room at a server first. The inputs
are the requests of each workspace to one service at this VM, each of which counts less as it ages,
the workspace's weight (the rate that it may send), and monotonic time in seconds.

The order is fair share by decayed usage (Kay and Lauder, 1988). A workspace's usage in relation to
its weight is compared with that of all workspaces that send: twice as much is one step ahead, three
times as much two, and so on. Requests of workspaces that are not ahead are ordered by the deadlines
of their callers, as if there were one workspace.

A workspace that sends many times its usual rate fills the servers and the places in which requests
wait for room, and workspaces that stay within their share must not suffer from it. The load that
the rule is for is one workspace at 7.5 times its usual rate, beside others at nine tenths of the
servers' capacity. Start-time fair queueing is not used: its virtual time advances with what is
sent, and most requests are sent without waiting, so that a workspace which sends much is never far
ahead of it.

`_DECAY_S`, `_MIN_WEIGHT_PER_S` and `_MIN_USAGE_REQUESTS` are its parameters. The result shows only
in the order of the answers; no event tells it. tests/test_gateway_fair_order.py tests this module.
"""

import math
from typing import Optional

from ..resources import Workspace

_DECAY_S = 1.0
"""Time after which a request counts 1/e, in seconds: longer than a caller takes to send a few
requests together, shorter than a burst that fills the servers."""

_MIN_WEIGHT_PER_S = 1.0
"""Weight of a workspace without a limit, or with a smaller one, in requests a second."""

_MIN_USAGE_REQUESTS = 0.01
"""Usage below which a workspace counts as idle, in requests."""

_SWEEP_INTERVAL_REQUESTS = 256
"""Requests between two checks for idle workspaces."""


class Usage:
    """Decayed count of the requests of one workspace, or of all.

    Args:
        weight: Weight of the workspace, in requests a second.
    """

    __slots__ = ("at", "requests", "weight")

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.requests = 0.0
        self.at = 0.0

    def decay(self, now: float) -> float:
        """Decay the usage to a monotonic time in seconds, and return it in requests."""
        self.requests *= math.exp(-max(0.0, now - self.at) / _DECAY_S)
        self.at = now
        return self.requests


class FairOrder:
    """Usage of all workspaces that send to one service."""

    __slots__ = ("_all", "_since_sweep", "by_name")

    def __init__(self) -> None:
        self.by_name: dict[str, Usage] = {}
        self._all = Usage(0.0)
        self._since_sweep = 0

    def record_request(self, workspace: Optional[Workspace], now: float) -> int:
        """Count a request, and return by how many steps its workspace is ahead of its share.

        Args:
            workspace: Workspace of the request; a request without one is never ahead.
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
        weight = max(_MIN_WEIGHT_PER_S, workspace.rate_per_s)
        usage = self.by_name.get(workspace.name)
        if usage is None:
            usage = self.by_name[workspace.name] = Usage(weight)
            self._all.weight += weight
        elif usage.weight != weight:
            self._all.weight += weight - usage.weight
            usage.weight = weight
        return usage

    def _sweep(self, now: float) -> None:
        """Remove idle workspaces, so that the others are compared only with each other."""
        self._since_sweep += 1
        if self._since_sweep < _SWEEP_INTERVAL_REQUESTS:
            return
        self._since_sweep = 0
        for name in [
            n for n, usage in self.by_name.items() if usage.decay(now) < _MIN_USAGE_REQUESTS
        ]:
            del self.by_name[name]
        self._all.weight = sum(usage.weight for usage in self.by_name.values())
