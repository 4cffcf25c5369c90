"""What a play of the model kept: the most that was admitted in any window, and who was refused.

Owns the records of a play. What is below a workspace's limit is what a bucket with its rate and
burst admits that all callers share and nothing disturbs.
"""

from bisect import bisect_right
from typing import NamedTuple

from sprucewinch.gateway.resources import Workspace
from sprucewinch.gateway.settings import Bounds

SLICE_S = 2.0
"""Slices of time in which refusals below the limit are counted, in seconds."""


class IdealBucket:
    """A token bucket that all callers share.

    Args:
        workspace: Its rate and burst.
    """

    def __init__(self, workspace: Workspace) -> None:
        self.workspace = workspace
        self.level = workspace.burst
        self.at = 0.0

    def take(self, now: float) -> bool:
        """Return whether it admits a request."""
        gained = (now - self.at) * self.workspace.rate_per_s
        self.level = min(max(1.0, self.workspace.burst), self.level + gained)
        self.at = now
        if self.level < 1:
            return False
        self.level -= 1
        return True


class Outcome(NamedTuple):
    """One request of a caller.

    Args:
        at: Virtual time of its arrival, in seconds.
        admitted: True when it was admitted.
        owed: True when the ideal bucket admits it.
        waited_s: How long it waited for the decision, in seconds.
    """

    at: float
    admitted: bool
    owed: bool
    waited_s: float


class Judge:
    """Records of a play.

    Args:
        bounds: The fleet's figures.
    """

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.outcomes: dict[str, list[Outcome]] = {}
        self.ideal: dict[str, IdealBucket] = {}

    def owed(self, workspace: Workspace, now: float) -> bool:
        """Return whether a request that arrives now is below its workspace's limit."""
        ideal = self.ideal.get(workspace.name)
        if ideal is None:
            ideal = self.ideal[workspace.name] = IdealBucket(workspace)
        ideal.workspace = workspace
        return ideal.take(now)

    def note(self, name: str, outcome: Outcome) -> None:
        """Keep one request's outcome."""
        self.outcomes.setdefault(name, []).append(outcome)

    def most_over(self, workspaces: dict[str, Workspace]) -> float:
        """Return the most that was admitted in any window, as a part of the bound there."""
        return max(
            (self._over(workspaces[n], rows) for n, rows in self.outcomes.items()), default=0
        )

    def _over(self, workspace: Workspace, rows: list[Outcome]) -> float:
        window_s = self.bounds.quota_window_s
        allowed = workspace.rate_per_s * window_s + workspace.burst
        bound = allowed * (1 + self.bounds.quota_over) + self.bounds.quota_slack
        times = sorted(row.at for row in rows if row.admitted)
        most = max(
            (bisect_right(times, at + window_s) - index for index, at in enumerate(times)),
            default=0,
        )
        return most / bound

    def refused_below(self, since: float = 0.0, until: float = float("inf")) -> float:
        """Return what was refused below the limit in a time, of 1,000 requests below it.

        In each slice of time and for each workspace: what the ideal bucket admits beyond what was
        admitted. Which of the requests were admitted does not matter.
        """
        owed = missing = 0
        for rows in self.outcomes.values():
            slices: dict[int, list[int]] = {}
            for row in rows:
                if since <= row.at < until:
                    counts = slices.setdefault(int((row.at - since) / SLICE_S), [0, 0])
                    counts[0] += row.owed
                    counts[1] += row.admitted
            owed += sum(counts[0] for counts in slices.values())
            missing += sum(max(0, counts[0] - counts[1]) for counts in slices.values())
        return 1000.0 * missing / max(1, owed)

    def waited_ms(self, part: float) -> float:
        """Return a quantile of the waits for a decision, in milliseconds."""
        waits = sorted(row.waited_s for found in self.outcomes.values() for row in found)
        return 1000.0 * waits[int(part * (len(waits) - 1))] if waits else 0.0
