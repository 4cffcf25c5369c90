"""Limits the retries of each service that this VM may send, so that the fleet keeps its limit.

The limit holds over a window of time and over all VMs, while a process knows only what it did
itself: its predecessor may have been killed a moment ago, and callers may come from a VM that is
gone. So no process starts with retries in hand. Each caller's request adds a part of a retry
(`REQUEST_FRACTION` of the ratio), and time adds this VM's share of the slack; what is added can be
spent for `LIFETIME_FACTOR` of the window. The retries in a window were all added in it or in the
window before it. Each of the two adds at most half of the limit, whichever processes have spent it.

Time adds nothing in the first `_SETTLING_S` of a process, in which it may know few of the VMs that
share the slack. A budget that VMs have to agree on would fail when they cannot reach each other,
which is when retries are frequent.

Inputs are the requests and retries of this VM, monotonic time in seconds, and the number of VMs,
which is overestimated rather than underestimated (`membership.known_vms`). Ratio, slack and window
come from the settings (`Bounds`). Retries are logged in `sends` of the event `request` and counted
in `repeats_after_…`; `retries_taken` and `retries_denied` count what the budgets were asked for,
and the event `retry-budget` shows one that is spent. Tests: `test_gateway_retry_budget`,
`test_gateway_fleet_limits`, `test_gateway_pipeline.Repeats`, `test_gateway_pipeline.OwnFailures`.
"""

from collections.abc import Callable, Collection, Iterable

from ..events import EventLog
from ..settings import Bounds
from ..state.named_state import NamedStateOwner, NamedTable, NameKind
from .expiring_tokens import ExpiringTokens
from .sliding_count import SlidingCount

REQUEST_FRACTION = 0.5
"""Part of the fleet's ratio that each request adds: a window may spend what two windows added."""

SLACK_FRACTION = 0.5
"""Part of the fleet's slack that is added within one window, for the same reason."""

LIFETIME_FACTOR = 0.9
"""Lifetime of what was added, as a multiple of the window. The rest is for the time between the
decision on a retry and its arrival at the server."""

_SETTLING_S = 3.0
"""Age of the process from which time adds retries, in seconds: within it, registrations and
heartbeats of the other VMs have arrived."""

_STEP_S = 0.25
"""Interval at which the share of the slack is added, in seconds."""

_LOG_PAUSE_S = 5.0
"""Shortest time between two lines about the budget of one service, in seconds."""

_TIME_DIGITS = 3
"""Decimal places of a time in seconds, which give it to the millisecond."""


class WindowRetryBudget:
    """The retry budget of one service at this VM.

    Args:
        bounds: Limits of the fleet, from the settings.
        started_at: Monotonic time at which this process started, in seconds.
    """

    __slots__ = ("_added_until", "bounds", "requests", "retries", "tokens")

    def __init__(self, bounds: Bounds, started_at: float) -> None:
        self.bounds = bounds
        self.requests = SlidingCount(bounds.retry_window_s)
        self.retries = SlidingCount(bounds.retry_window_s)
        self.tokens = ExpiringTokens(bounds.retry_window_s * LIFETIME_FACTOR)
        self._added_until = started_at + _SETTLING_S

    def set_bounds(self, bounds: Bounds) -> None:
        """Apply new limits; what was added and spent is kept, so that a reload grants nothing.

        Args:
            bounds: Limits of the fleet, from the settings.
        """
        self.bounds = bounds
        self.requests.resize(bounds.retry_window_s)
        self.retries.resize(bounds.retry_window_s)
        self.tokens.lifetime_s = bounds.retry_window_s * LIFETIME_FACTOR

    def record_request(self, now: float, vm_count: int) -> None:
        """Count a caller's request, which adds a part of a retry.

        Args:
            now: Monotonic time, in seconds.
            vm_count: Number of VMs that share the slack.
        """
        self._add_slack(now, vm_count)
        self.requests.add(now)
        self.tokens.add(now, REQUEST_FRACTION * self.bounds.retry_ratio)

    def take(self, now: float, vm_count: int) -> bool:
        """Take one retry from the budget.

        Args:
            now: Monotonic time, in seconds.
            vm_count: Number of VMs that share the slack.

        Returns:
            False when no retry is left.
        """
        self._add_slack(now, vm_count)
        if not self.tokens.take(now):
            return False
        self.retries.add(now)
        return True

    def has_retry(self, now: float, vm_count: int) -> bool:
        """Return whether a retry is left; see `take`."""
        self._add_slack(now, vm_count)
        return self.tokens.has_one(now)

    def has_counts(self, now: float) -> bool:
        """Return whether requests or retries of the current window are counted."""
        return self.requests.count(now) > 0 or self.retries.count(now) > 0

    def _add_slack(self, now: float, vm_count: int) -> None:
        """Add this VM's share of the slack for the time since the last call."""
        per_s = (
            SLACK_FRACTION * self.bounds.retry_slack / self.bounds.retry_window_s / max(1, vm_count)
        )
        self._added_until = max(self._added_until, now - self.tokens.lifetime_s)
        while self._added_until + _STEP_S <= now:
            self.tokens.add(self._added_until, per_s * _STEP_S)
            self._added_until += _STEP_S


class RetryBudgets(NamedStateOwner):
    """The retry budgets of all services at this VM.

    Args:
        bounds: Limits of the fleet, from the settings.
        vm_count: Returns the number of VMs that share the slack.
        monotonic: Source of monotonic time, in seconds.
        events: Counts retries, and logs budgets that are spent.
    """

    __slots__ = (
        "_by_service",
        "_counted_at",
        "_logged_at",
        "_vm_count",
        "bounds",
        "events",
        "monotonic",
        "started_at",
        "vm_count",
    )

    def __init__(
        self,
        bounds: Bounds,
        *,
        vm_count: Callable[[], int],
        monotonic: Callable[[], float],
        events: EventLog,
    ) -> None:
        self.bounds = bounds
        self.vm_count = vm_count
        self.monotonic = monotonic
        self.events = events
        self.started_at = monotonic()
        self._by_service: dict[str, WindowRetryBudget] = {}
        self._vm_count = 1
        self._counted_at = float("-inf")
        self._logged_at: dict[str, float] = {}

    def named_tables(self) -> Iterable[NamedTable]:
        """Return the budgets by service; see `NamedStateOwner`."""
        yield NamedTable(
            "retry_budgets", NameKind.SERVICE, self._by_service, needs=self._has_counts
        )
        yield NamedTable("retry_budget_lines", NameKind.SERVICE, self._logged_at)

    def set_bounds(self, bounds: Bounds) -> None:
        """Apply new limits; see `WindowRetryBudget.set_bounds`."""
        self.bounds = bounds
        for budget in self._by_service.values():
            budget.set_bounds(bounds)

    def of(self, service: str) -> WindowRetryBudget:
        """Return the budget of a service, which is created on its first request."""
        budget = self._by_service.get(service)
        if budget is None:
            budget = self._by_service[service] = WindowRetryBudget(self.bounds, self.started_at)
        return budget

    def record_request(self, service: str) -> None:
        """Count a caller's request for a service."""
        now = self.monotonic()
        self.of(service).record_request(now, self._vms(now))

    def take(self, service: str) -> bool:
        """Take one retry from the budget of a service; False when none is left."""
        return self.take_any((service,))

    def take_any(self, services: Collection[str]) -> bool:
        """Take a retry that may go to any of some services from the budgets of all of them.

        Args:
            services: Names of the services.

        Returns:
            False, and nothing taken, when one of them has none left.
        """
        now = self.monotonic()
        vm_count = self._vms(now)
        spent = [each for each in services if not self.of(each).has_retry(now, vm_count)]
        if spent:
            self.events.count("retries_denied")
            self._log_spent(spent[0], now, vm_count)
            return False
        for service in services:
            self.of(service).take(now, vm_count)
        self.events.count("retries_taken")
        return True

    def _vms(self, now: float) -> int:
        """Return the number of VMs, which is counted once in `_STEP_S`, not for each request."""
        if now - self._counted_at >= _STEP_S:
            self._vm_count, self._counted_at = self.vm_count(), now
        return self._vm_count

    def _has_counts(self, service: str, now: float) -> bool:
        """Return whether a new budget of a service would grant more than the one that is held."""
        return self._by_service[service].has_counts(now)

    def _log_spent(self, service: str, now: float, vm_count: int) -> None:
        if now - self._logged_at.get(service, float("-inf")) < _LOG_PAUSE_S:
            return
        self._logged_at[service] = now
        budget = self.of(service)
        self.events.state(
            "retry-budget",
            service=service,
            retries=budget.retries.count(now),
            requests=budget.requests.count(now),
            vms=vm_count,
            age_s=round(now - self.started_at, _TIME_DIGITS),
        )
